// A persistent map from name to text, whose copies share their common parts. Copying a map costs a
// pointer, a change costs one chunk and the list of chunks, and comparing two maps with a common
// origin costs only the chunks that differ. No I/O.
//
// The entries are in sorted chunks that are copied on write, like the leaves of a persistent B-tree
// (Driscoll, Sarnak, Sleator and Tarjan 1989) under a single root. About 2,000 chunks of up to 128
// entries hold the 240,000 entries that the map is designed for. The hash is the sum of the
// entries' hashes (AdHash, Bellare and Micciancio 1997), so that a change costs only its own entry.
// It protects against accidental differences, not against forgery.
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
  std::string name;
  std::string text;    // a JSON value
  uint64_t order = 0;  // position in the original list; neither compared nor hashed
};

class PersistentMap {
 public:
  static constexpr size_t kMaxChunkEntries = 128;

  PersistentMap() = default;
  // Numbers the entries in the given order. Their names must be unique.
  explicit PersistentMap(std::vector<MapEntry> entries);

  struct Hash128 {
    uint64_t high = 0, low = 0;
    bool operator==(const Hash128&) const = default;
    Hash128& operator+=(const Hash128& other);  // adds each half modulo 2^64
    Hash128& operator-=(const Hash128& other);
  };

  [[nodiscard]] size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  // Total size of all texts, and of all names as JSON strings.
  [[nodiscard]] size_t text_bytes() const { return text_bytes_; }
  [[nodiscard]] size_t name_bytes() const { return name_bytes_; }
  // Sum of the entries' hashes; independent of their order.
  [[nodiscard]] const Hash128& hash() const { return hash_; }

  // Returns the entry with this name, or null. The pointer is valid until the next change of this
  // map.
  [[nodiscard]] const MapEntry* Find(std::string_view name) const;
  [[nodiscard]] bool contains(std::string_view name) const { return Find(name) != nullptr; }
  // Adds or replaces an entry. An existing entry keeps its order; a new one becomes the last.
  void Set(std::string_view name, std::string text);
  // Has no effect if there is no entry with this name.
  void Remove(std::string_view name);

  // Calls each(entry) for all entries, sorted by name.
  template <typename Each>
  void ForEach(Each&& each) const {
    for (const Chunk& chunk : chunks()) {
      for (const MapEntry& entry : *chunk) {
        each(entry);
      }
    }
  }
  // Returns all entries, sorted by MapEntry::order.
  [[nodiscard]] std::vector<const MapEntry*> EntriesInOrder() const;

  // Calls each(name, text in a, text in b), sorted by name, for all names whose texts differ. The
  // text is null if the map has no such entry.
  template <typename Each>
  static void ForEachDifference(const PersistentMap& a, const PersistentMap& b, Each&& each);

  // Whether the maps have the same names with the same texts.
  friend bool operator==(const PersistentMap& a, const PersistentMap& b) {
    if (a.size_ != b.size_ || a.hash_ != b.hash_) {
      return false;
    }
    bool is_equal = true;
    ForEachDifference(a, b, [&](const auto&, const auto*, const auto*) { is_equal = false; });
    return is_equal;
  }

 private:
  // Entries sorted by name. A chunk or list of chunks that is shared with another map is copied
  // before it is changed.
  using Chunk = std::shared_ptr<std::vector<MapEntry>>;
  using Chunks = std::vector<Chunk>;

  // Iterates over the entries of a list of chunks.
  class Cursor {
   public:
    explicit Cursor(const Chunks& chunks) : chunks_(chunks) {}
    [[nodiscard]] bool at_end() const { return chunk_ == chunks_.size(); }
    [[nodiscard]] const MapEntry& entry() const { return (*chunks_[chunk_])[entry_]; }
    void Next() {
      if (++entry_ == chunks_[chunk_]->size()) {
        NextChunk();
      }
    }
    void NextChunk() {
      ++chunk_;
      entry_ = 0;
    }
    // Whether both cursors are at the beginning of a chunk that the two lists share.
    [[nodiscard]] bool IsAtSharedChunk(const Cursor& other) const {
      return !at_end() && !other.at_end() && entry_ == 0 && other.entry_ == 0 &&
             chunks_[chunk_] == other.chunks_[other.chunk_];
    }

   private:
    const Chunks& chunks_;
    size_t chunk_ = 0, entry_ = 0;
  };

  [[nodiscard]] const Chunks& chunks() const {
    static const Chunks kNone;
    return chunks_ ? *chunks_ : kNone;
  }
  // Returns the index of the chunk that contains this name, or that it would be inserted into.
  [[nodiscard]] size_t ChunkIndexOf(std::string_view name) const;
  void AddToTotals(const MapEntry& entry);
  void SubtractFromTotals(const MapEntry& entry);
  Chunks& MutableChunks();
  static std::vector<MapEntry>& MutableChunk(Chunk& chunk);
  // Moves the entries from `first` on into a new chunk after the one at `index`.
  static void SplitChunk(Chunks& chunks, size_t index, std::vector<MapEntry>::iterator first);

  std::shared_ptr<Chunks> chunks_;  // may be null; contains no empty chunks
  size_t size_ = 0, text_bytes_ = 0, name_bytes_ = 0;
  uint64_t next_order_ = 0;
  Hash128 hash_;
};

template <typename Each>
void PersistentMap::ForEachDifference(const PersistentMap& a, const PersistentMap& b, Each&& each) {
  if (a.chunks_ == b.chunks_) {
    return;
  }
  const std::string* const absent = nullptr;
  Cursor in_a(a.chunks());
  Cursor in_b(b.chunks());
  while (!in_a.at_end() || !in_b.at_end()) {
    if (in_a.IsAtSharedChunk(in_b)) {
      in_a.NextChunk();
      in_b.NextChunk();
      continue;
    }
    // Negative: the name is only in a; positive: only in b.
    const int comparison = in_a.at_end()   ? 1
                           : in_b.at_end() ? -1
                                           : in_a.entry().name.compare(in_b.entry().name);
    if (comparison < 0) {
      each(in_a.entry().name, &in_a.entry().text, absent);
    } else if (comparison > 0) {
      each(in_b.entry().name, absent, &in_b.entry().text);
    } else if (in_a.entry().text != in_b.entry().text) {
      each(in_a.entry().name, &in_a.entry().text, &in_b.entry().text);
    }
    if (comparison <= 0) {
      in_a.Next();
    }
    if (comparison >= 0) {
      in_b.Next();
    }
  }
}

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_PERSISTENT_MAP_H_
