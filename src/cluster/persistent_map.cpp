#include "cluster/persistent_map.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/document_json.h"

namespace paddlestile::cluster {
namespace {

PersistentMap::Hash128 HashOf(const MapEntry& entry) {
  // The name's hash seeds the text's hash, so that the boundary between name and text matters.
  const uint64_t seed = XXH3_64bits(entry.name.data(), entry.name.size());
  const XXH128_hash_t hash = XXH3_128bits_withSeed(entry.text.data(), entry.text.size(), seed);
  return {hash.high64, hash.low64};
}

size_t JsonBytes(const std::string& name) {
  return DumpJson(name).size();
}

// Returns the position of the entry with this name in a chunk, or where it would be inserted.
template <typename Entries>
auto LowerBound(Entries& chunk, std::string_view name) {
  return std::lower_bound(chunk.begin(), chunk.end(), name,
                          [](const MapEntry& entry, std::string_view searched_name) {
                            return entry.name.compare(searched_name) < 0;
                          });
}

}  // namespace

PersistentMap::Hash128& PersistentMap::Hash128::operator+=(const Hash128& other) {
  high += other.high;
  low += other.low;
  return *this;
}

PersistentMap::Hash128& PersistentMap::Hash128::operator-=(const Hash128& other) {
  high -= other.high;
  low -= other.low;
  return *this;
}

PersistentMap::PersistentMap(std::vector<MapEntry> entries) {
  for (MapEntry& entry : entries) {
    entry.order = next_order_++;
    AddToTotals(entry);
  }
  std::ranges::sort(entries, {}, &MapEntry::name);
  Chunks chunks;
  for (size_t begin = 0; begin < entries.size(); begin += kMaxChunkEntries) {
    const size_t end = std::min(begin + kMaxChunkEntries, entries.size());
    chunks.push_back(std::make_shared<std::vector<MapEntry>>(
        std::make_move_iterator(entries.begin() + static_cast<long>(begin)),
        std::make_move_iterator(entries.begin() + static_cast<long>(end))));
  }
  chunks_ = std::make_shared<Chunks>(std::move(chunks));
}

size_t PersistentMap::ChunkIndexOf(std::string_view name) const {
  const Chunks& all = chunks();
  const auto after = std::ranges::upper_bound(
      all, name, {}, [](const Chunk& chunk) -> std::string_view { return chunk->front().name; });
  return after == all.begin() ? 0 : static_cast<size_t>(after - all.begin()) - 1;
}

const MapEntry* PersistentMap::Find(std::string_view name) const {
  if (empty()) {
    return nullptr;
  }
  const std::vector<MapEntry>& chunk = *chunks()[ChunkIndexOf(name)];
  const auto entry = LowerBound(chunk, name);
  return entry != chunk.end() && entry->name == name ? &*entry : nullptr;
}

void PersistentMap::AddToTotals(const MapEntry& entry) {
  ++size_;
  text_bytes_ += entry.text.size();
  name_bytes_ += JsonBytes(entry.name);
  hash_ += HashOf(entry);
}

void PersistentMap::SubtractFromTotals(const MapEntry& entry) {
  --size_;
  text_bytes_ -= entry.text.size();
  name_bytes_ -= JsonBytes(entry.name);
  hash_ -= HashOf(entry);
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
  const size_t index = size_ == 0 ? 0 : ChunkIndexOf(name);
  std::vector<MapEntry>& chunk = MutableChunk(all[index]);
  auto entry = LowerBound(chunk, name);
  if (entry != chunk.end() && entry->name == name) {
    SubtractFromTotals(*entry);
    entry->text = std::move(text);
  } else {
    entry = chunk.insert(entry, MapEntry{std::string(name), std::move(text), next_order_++});
  }
  AddToTotals(*entry);
  if (chunk.size() <= kMaxChunkEntries) {
    return;
  }
  // If entries are added in the order of their names, as when reading a list, chunks stay full.
  const bool is_last = index + 1 == all.size() && entry + 1 == chunk.end();
  SplitChunk(all, index, is_last ? chunk.end() - 1 : chunk.begin() + kMaxChunkEntries / 2);
}

void PersistentMap::SplitChunk(Chunks& chunks, size_t index,
                               std::vector<MapEntry>::iterator first) {
  std::vector<MapEntry>& chunk = *chunks[index];
  auto new_chunk = std::make_shared<std::vector<MapEntry>>(std::make_move_iterator(first),
                                                           std::make_move_iterator(chunk.end()));
  chunk.erase(first, chunk.end());
  chunks.insert(chunks.begin() + static_cast<long>(index) + 1, std::move(new_chunk));
}

void PersistentMap::Remove(std::string_view name) {
  if (!contains(name)) {
    return;
  }
  const size_t index = ChunkIndexOf(name);
  Chunks& all = MutableChunks();
  std::vector<MapEntry>& chunk = MutableChunk(all[index]);
  const auto entry = LowerBound(chunk, name);
  SubtractFromTotals(*entry);
  chunk.erase(entry);
  if (chunk.empty()) {
    all.erase(all.begin() + static_cast<long>(index));
  }
}

std::vector<const MapEntry*> PersistentMap::EntriesInOrder() const {
  std::vector<const MapEntry*> entries;
  entries.reserve(size_);
  ForEach([&](const MapEntry& entry) { entries.push_back(&entry); });
  std::ranges::sort(entries, {}, &MapEntry::order);
  return entries;
}

}  // namespace paddlestile::cluster
