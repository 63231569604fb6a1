// Keyed parts of a version: an immutable map from name to text whose copies share what they have in
// common. A copy costs a pointer, a change of one part the chunk that holds it and a list of
// chunks, and two that came of one another are compared by the chunks that differ. No I/O.
//
// Sorted chunks of names with copy on write: the leaves of a persistent B-tree (Driscoll and others
// 1989) under one root, as 2,000 chunks of 128 hold what the size to plan for needs. The hash is
// the sum of the parts' hashes (Bellare and Micciancio 1997, AdHash), so that a change costs its
// own parts and not a look through all; it tells accidents, not forgers.
#ifndef PADDLESTILE_CLUSTER_PERSISTENT_MAP_H_
#define PADDLESTILE_CLUSTER_PERSISTENT_MAP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestile::cluster {

struct MapEntry {
  std::string name, text;  // the text is a JSON value
  uint64_t order = 0;      // among the parts as somebody listed them; no part of hash or comparison
};

class PersistentMap {
 public:
  static constexpr size_t kMaxChunkEntries = 128;  // parts of one chunk

  PersistentMap() = default;
  // In the order in which they are given, whatever theirs says. No two may have one name.
  explicit PersistentMap(std::vector<MapEntry> parts);

  // Of 128 bits, added up over the parts.
  struct Hash128 {
    uint64_t high = 0, low = 0;
    bool operator==(const Hash128&) const = default;
  };

  [[nodiscard]] size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  // Of all texts, and of all names as JSON strings.
  [[nodiscard]] size_t text_bytes() const { return text_bytes_; }
  [[nodiscard]] size_t name_bytes() const { return name_bytes_; }
  [[nodiscard]] const Hash128& hash() const { return hash_; }

  // Null where there is none of that name; until the next change.
  [[nodiscard]] const MapEntry* Find(std::string_view name) const;
  [[nodiscard]] bool contains(std::string_view name) const { return Find(name) != nullptr; }
  // One that is there keeps its order, a new one comes last.
  void Set(std::string_view name, std::string text);
  void Remove(std::string_view name);

  // By name.
  template <typename Each>
  void ForEach(Each&& each) const {
    for (const Chunk& chunk : chunks()) {
      for (const MapEntry& part : *chunk) {
        each(part);
      }
    }
  }
  // By order.
  [[nodiscard]] std::vector<const MapEntry*> EntriesInOrder() const;

  // each(name, its text in a, its text in b), by name, for those whose texts differ; null: none.
  template <typename Each>
  static void ForEachDifference(const PersistentMap& a, const PersistentMap& b, Each&& each);

  // The same names with the same texts.
  friend bool operator==(const PersistentMap& a, const PersistentMap& b) {
    if (a.size_ != b.size_ || a.hash_ != b.hash_) {
      return false;
    }
    bool same = true;
    ForEachDifference(a, b, [&](const auto&, const auto*, const auto*) { same = false; });
    return same;
  }

 private:
  // What no other map holds is changed in its place, all else copied first.
  using Chunk = std::shared_ptr<std::vector<MapEntry>>;
  using Chunks = std::vector<Chunk>;

  [[nodiscard]] const Chunks& chunks() const {
    static const Chunks kNone;
    return chunks_ ? *chunks_ : kNone;
  }
  // The chunk that has this name, or would have it.
  [[nodiscard]] size_t ChunkIndexOf(std::string_view name) const;
  void Count(const MapEntry& part, bool added);
  Chunks& MutableChunks();
  static std::vector<MapEntry>& MutableChunk(Chunk& chunk);

  std::shared_ptr<Chunks> chunks_;  // none of them empty
  size_t size_ = 0, text_bytes_ = 0, name_bytes_ = 0;
  uint64_t next_order_ = 0;
  Hash128 hash_;
};

template <typename Each>
void PersistentMap::ForEachDifference(const PersistentMap& a, const PersistentMap& b, Each&& each) {
  if (a.chunks_ == b.chunks_) {
    return;
  }
  const Chunks &in_a = a.chunks(), &in_b = b.chunks();
  size_t i = 0, j = 0, at_a = 0, at_b = 0;  // chunk, and part within it
  const std::string* const none = nullptr;
  while (i < in_a.size() || j < in_b.size()) {
    if (i < in_a.size() && j < in_b.size() && at_a == 0 && at_b == 0 && in_a[i] == in_b[j]) {
      ++i;
      ++j;
      continue;
    }
    const bool more_a = i < in_a.size(), more_b = j < in_b.size();
    const int way = !more_a   ? 1
                    : !more_b ? -1
                              : (*in_a[i])[at_a].name.compare((*in_b[j])[at_b].name);
    if (way < 0) {
      const MapEntry& part = (*in_a[i])[at_a];
      each(part.name, &part.text, none);
    } else if (way > 0) {
      const MapEntry& part = (*in_b[j])[at_b];
      each(part.name, none, &part.text);
    } else if (const MapEntry& x = (*in_a[i])[at_a], &y = (*in_b[j])[at_b]; x.text != y.text) {
      each(x.name, &x.text, &y.text);
    }
    if (way <= 0 && ++at_a == in_a[i]->size()) {
      ++i;
      at_a = 0;
    }
    if (way >= 0 && ++at_b == in_b[j]->size()) {
      ++j;
      at_b = 0;
    }
  }
}

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_PERSISTENT_MAP_H_
