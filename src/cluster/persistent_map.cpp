#include "cluster/persistent_map.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace paddlestile::cluster {
namespace {

bool Before(const Part& part, std::string_view name) { return part.name < name; }

Parts::Sum HashOf(const Part& part) {
  // The name's hash seeds the text's: no two splits of the same bytes are alike.
  const uint64_t seed = XXH3_64bits(part.name.data(), part.name.size());
  const XXH128_hash_t hash = XXH3_128bits_withSeed(part.text.data(), part.text.size(), seed);
  return {hash.high64, hash.low64};
}

size_t Written(const std::string& name) {
  return nlohmann::json(name).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size();
}

}  // namespace

Parts::Parts(std::vector<Part> parts) {
  for (Part& part : parts) {
    part.order = next_order_++;
    Count(part, true);
  }
  std::ranges::sort(parts, {}, &Part::name);
  Chunks all;
  for (size_t at = 0; at < parts.size(); at += kChunkMost) {
    const auto first = parts.begin() + static_cast<long>(at);
    const auto end = parts.begin() + static_cast<long>(std::min(at + kChunkMost, parts.size()));
    all.push_back(std::make_shared<std::vector<Part>>(std::make_move_iterator(first),
                                                      std::make_move_iterator(end)));
  }
  chunks_ = std::make_shared<Chunks>(std::move(all));
}

size_t Parts::PlaceOf(std::string_view name) const {
  const Chunks& all = chunks();
  const auto after = std::ranges::upper_bound(
      all, name, {}, [](const Chunk& c) -> std::string_view { return c->front().name; });
  return after == all.begin() ? 0 : static_cast<size_t>(after - all.begin()) - 1;
}

const Part* Parts::Find(std::string_view name) const {
  if (empty()) return nullptr;
  const std::vector<Part>& chunk = *chunks()[PlaceOf(name)];
  const auto at = std::lower_bound(chunk.begin(), chunk.end(), name, Before);
  return at != chunk.end() && at->name == name ? &*at : nullptr;
}

void Parts::Count(const Part& part, bool added) {
  const Sum hash = HashOf(part);
  const size_t text = part.text.size(), name = Written(part.name);
  if (added) {
    ++size_, text_bytes_ += text, name_bytes_ += name;
    sum_.high += hash.high, sum_.low += hash.low;
  } else {
    --size_, text_bytes_ -= text, name_bytes_ -= name;
    sum_.high -= hash.high, sum_.low -= hash.low;
  }
}

Parts::Chunks& Parts::OwnChunks() {
  if (!chunks_) chunks_ = std::make_shared<Chunks>();
  if (chunks_.use_count() > 1) chunks_ = std::make_shared<Chunks>(*chunks_);
  return *chunks_;
}

std::vector<Part>& Parts::Own(Chunk& chunk) {
  if (chunk.use_count() > 1) chunk = std::make_shared<std::vector<Part>>(*chunk);
  return *chunk;
}

void Parts::Set(std::string_view name, std::string text) {
  Chunks& all = OwnChunks();
  if (all.empty()) all.push_back(std::make_shared<std::vector<Part>>());
  const size_t place = size_ == 0 ? 0 : PlaceOf(name);
  std::vector<Part>& chunk = Own(all[place]);
  auto at = std::lower_bound(chunk.begin(), chunk.end(), name, Before);
  if (at != chunk.end() && at->name == name) {
    Count(*at, false);
    at->text = std::move(text);
  } else {
    at = chunk.insert(at, Part{std::string(name), std::move(text), next_order_++});
  }
  Count(*at, true);
  if (chunk.size() <= kChunkMost) return;
  // What is added behind the last, as a list that is read does, leaves full chunks.
  const bool last = place + 1 == all.size() && at + 1 == chunk.end();
  const auto half = last ? chunk.end() - 1 : chunk.begin() + kChunkMost / 2;
  auto rest = std::make_shared<std::vector<Part>>(std::make_move_iterator(half),
                                                  std::make_move_iterator(chunk.end()));
  chunk.erase(half, chunk.end());
  all.insert(all.begin() + static_cast<long>(place) + 1, std::move(rest));
}

void Parts::Remove(std::string_view name) {
  if (!contains(name)) return;
  const size_t place = PlaceOf(name);
  Chunks& all = OwnChunks();
  std::vector<Part>& chunk = Own(all[place]);
  const auto at = std::lower_bound(chunk.begin(), chunk.end(), name, Before);
  Count(*at, false);
  chunk.erase(at);
  if (chunk.empty()) all.erase(all.begin() + static_cast<long>(place));
}

std::vector<const Part*> Parts::Ordered() const {
  std::vector<const Part*> all;
  all.reserve(size_);
  ForEach([&](const Part& part) { all.push_back(&part); });
  std::ranges::sort(all, {}, &Part::order);
  return all;
}

}  // namespace paddlestile::cluster
