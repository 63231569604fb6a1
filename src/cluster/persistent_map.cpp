#include "cluster/persistent_map.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace paddlestile::cluster {
namespace {

bool Before(const MapEntry& part, std::string_view name) {
  return part.name < name;
}

PersistentMap::Hash128 HashOf(const MapEntry& part) {
  // The name's hash seeds the text's: no two splits of the same bytes are alike.
  const uint64_t seed = XXH3_64bits(part.name.data(), part.name.size());
  const XXH128_hash_t hash = XXH3_128bits_withSeed(part.text.data(), part.text.size(), seed);
  return {hash.high64, hash.low64};
}

size_t Written(const std::string& name) {
  return nlohmann::json(name).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size();
}

}  // namespace

PersistentMap::PersistentMap(std::vector<MapEntry> parts) {
  for (MapEntry& part : parts) {
    part.order = next_order_++;
    Count(part, true);
  }
  std::ranges::sort(parts, {}, &MapEntry::name);
  Chunks all;
  for (size_t at = 0; at < parts.size(); at += kMaxChunkEntries) {
    const auto first = parts.begin() + static_cast<long>(at);
    const auto end =
        parts.begin() + static_cast<long>(std::min(at + kMaxChunkEntries, parts.size()));
    all.push_back(std::make_shared<std::vector<MapEntry>>(std::make_move_iterator(first),
                                                          std::make_move_iterator(end)));
  }
  chunks_ = std::make_shared<Chunks>(std::move(all));
}

size_t PersistentMap::ChunkIndexOf(std::string_view name) const {
  const Chunks& all = chunks();
  const auto after = std::ranges::upper_bound(
      all, name, {}, [](const Chunk& c) -> std::string_view { return c->front().name; });
  return after == all.begin() ? 0 : static_cast<size_t>(after - all.begin()) - 1;
}

const MapEntry* PersistentMap::Find(std::string_view name) const {
  if (empty()) {
    return nullptr;
  }
  const std::vector<MapEntry>& chunk = *chunks()[ChunkIndexOf(name)];
  const auto at = std::lower_bound(chunk.begin(), chunk.end(), name, Before);
  return at != chunk.end() && at->name == name ? &*at : nullptr;
}

void PersistentMap::Count(const MapEntry& part, bool added) {
  const Hash128 hash = HashOf(part);
  const size_t text = part.text.size(), name = Written(part.name);
  if (added) {
    ++size_;
    text_bytes_ += text;
    name_bytes_ += name;
    hash_.high += hash.high;
    hash_.low += hash.low;
  } else {
    --size_;
    text_bytes_ -= text;
    name_bytes_ -= name;
    hash_.high -= hash.high;
    hash_.low -= hash.low;
  }
}

PersistentMap::Chunks& PersistentMap::MutableChunks() {
  if (!chunks_) {
    chunks_ = std::make_shared<Chunks>();
  }
  if (chunks_.use_count() > 1) {
    chunks_ = std::make_shared<Chunks>(*chunks_);
  }
  return *chunks_;
}

std::vector<MapEntry>& PersistentMap::MutableChunk(Chunk& chunk) {
  if (chunk.use_count() > 1) {
    chunk = std::make_shared<std::vector<MapEntry>>(*chunk);
  }
  return *chunk;
}

void PersistentMap::Set(std::string_view name, std::string text) {
  Chunks& all = MutableChunks();
  if (all.empty()) {
    all.push_back(std::make_shared<std::vector<MapEntry>>());
  }
  const size_t place = size_ == 0 ? 0 : ChunkIndexOf(name);
  std::vector<MapEntry>& chunk = MutableChunk(all[place]);
  auto at = std::lower_bound(chunk.begin(), chunk.end(), name, Before);
  if (at != chunk.end() && at->name == name) {
    Count(*at, false);
    at->text = std::move(text);
  } else {
    at = chunk.insert(at, MapEntry{std::string(name), std::move(text), next_order_++});
  }
  Count(*at, true);
  if (chunk.size() <= kMaxChunkEntries) {
    return;
  }
  // What is added behind the last, as a list that is read does, leaves full chunks.
  const bool last = place + 1 == all.size() && at + 1 == chunk.end();
  const auto half = last ? chunk.end() - 1 : chunk.begin() + kMaxChunkEntries / 2;
  auto rest = std::make_shared<std::vector<MapEntry>>(std::make_move_iterator(half),
                                                      std::make_move_iterator(chunk.end()));
  chunk.erase(half, chunk.end());
  all.insert(all.begin() + static_cast<long>(place) + 1, std::move(rest));
}

void PersistentMap::Remove(std::string_view name) {
  if (!contains(name)) {
    return;
  }
  const size_t place = ChunkIndexOf(name);
  Chunks& all = MutableChunks();
  std::vector<MapEntry>& chunk = MutableChunk(all[place]);
  const auto at = std::lower_bound(chunk.begin(), chunk.end(), name, Before);
  Count(*at, false);
  chunk.erase(at);
  if (chunk.empty()) {
    all.erase(all.begin() + static_cast<long>(place));
  }
}

std::vector<const MapEntry*> PersistentMap::EntriesInOrder() const {
  std::vector<const MapEntry*> all;
  all.reserve(size_);
  ForEach([&](const MapEntry& part) { all.push_back(&part); });
  std::ranges::sort(all, {}, &MapEntry::order);
  return all;
}

}  // namespace paddlestile::cluster
