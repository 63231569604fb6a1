// The versions that the log's entries make: the same at every member that has applied the same
// entries. No I/O.
#ifndef PADDLESTILE_CLUSTER_VERSION_HISTORY_H_
#define PADDLESTILE_CLUSTER_VERSION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_entry.h"
#include "cluster/version_content.h"
#include "raft/raft_node.h"

namespace paddlestile::cluster {

// Invariant: a version whose `content` is kept has `document`, `delta` or both empty. Both are
// empty where the version came as a delta and is the oldest whose content is kept: it is saved by
// its content, and the ones behind it by what they came as.
struct Version {
  uint64_t number = 0;  // 1, 2, ..
  std::string id, author, reason, hash;
  double submitted_unix_s = 0;
  std::string document;   // canonical text, if it came whole
  raft::Index index = 0;  // of its entry
  std::string delta{};    // to the version before, if it came as one
  // Of the last VersionHistory::kFullVersions and those not superseded; they share what is equal.
  std::optional<VersionContent> content{};
};

// Of the content's parts where the version came as a delta, else of its text. Needs the content or
// the document.
std::string HashOf(const Version& version);

class VersionHistory {
 public:
  static constexpr size_t kFullVersions = 16;    // versions whose content is kept
  static constexpr size_t kMaxVersions = 256;    // versions remembered
  static constexpr size_t kMaxChangeIds = 1024;  // changes by whose ids a repeat is recognized

  // What an entry was, and what came of it.
  struct Result {
    bool is_change = false, is_in_force = false;
    std::string id;              // of a change
    bool is_repeat = false;      // of a change: its id was applied before, with this result
    uint64_t version = 0;        // that the change made or that comes into force; 0: refused
    std::string refusal_reason;  // of a refused change
  };
  // Applies an entry's bytes. Entries must come in the order of their indexes.
  Result Apply(raft::Index index, const std::string& entry);

  // What came of the change with this id; nothing: it was not applied, or too long ago.
  [[nodiscard]] std::optional<Result> Find(const std::string& id) const;

  // A snapshot of it, in CBOR, and the history of a snapshot.
  [[nodiscard]] std::string Save() const;
  void Load(const std::string& saved);

  // 0: none yet, the platform's file alone.
  [[nodiscard]] uint64_t version_in_force() const { return version_in_force_; }
  // The last version that was taken, in force or not; 0: none.
  [[nodiscard]] uint64_t latest_version() const {
    return versions_.empty() ? 0 : versions_.back().number;
  }
  // The entry of the latest version, which every lease holder must have applied.
  [[nodiscard]] raft::Index latest_index() const {
    return versions_.empty() ? 0 : versions_.back().index;
  }
  // What to act on: in each part the strictest of the version in force and those behind it.
  [[nodiscard]] const VersionContent& effective_content() const { return effective_content_; }
  [[nodiscard]] const std::deque<Version>& versions() const { return versions_; }
  // Null where it is not remembered.
  [[nodiscard]] const Version* Find(uint64_t number) const;
  // Of the latest version; empty where there is none.
  [[nodiscard]] const VersionContent& latest_content() const { return latest_content_; }
  // Of its text.
  [[nodiscard]] size_t latest_bytes() const {
    return versions_.empty() ? 0 : TextBytes(latest_content_);
  }
  // The versions from `first` on whose content is kept, oldest first.
  void ForEachVersion(uint64_t first,
                      const std::function<void(const Version&, const VersionContent&)>& each) const;

  // Why the content here is not what was agreed; empty: no evidence of that. A later version clears
  // it: one whose hash is as agreed, or one that came whole once it is in force.
  [[nodiscard]] const std::string& content_mismatch() const { return content_mismatch_; }
  // A version is missing here, so that numbers differ from the others': this member must not lead.
  [[nodiscard]] bool numbering_mismatch() const { return mismatch_version_ == kNumberingMismatch; }
  // All initial voters have joined.
  [[nodiscard]] bool formed() const { return formed_; }

 private:
  static constexpr uint64_t kNumberingMismatch = UINT64_MAX;

  // The content that a change makes, or why it makes none.
  struct AppliedChange {
    VersionContent content;
    std::string refusal_reason;
  };
  void ApplyInForce(const ClusterEntry& entry);
  Result ApplyChange(raft::Index index, const ClusterEntry& entry);
  AppliedChange MakeContent(const ClusterEntry& entry);
  void AddVersion(raft::Index index, const ClusterEntry& entry, VersionContent content);
  void PutInForce(uint64_t version);
  void Trim();
  void RecordMismatch(uint64_t version, const std::string& reason);
  // Compares the hash of `version` here with the agreed one; an empty one was not stated.
  void CompareHash(uint64_t version, const std::string& here, const std::string& agreed);

  std::deque<Version> versions_;  // numbers without gaps
  struct AppliedId {
    std::string id;
    Result result;
  };
  std::deque<AppliedId> applied_ids_;  // oldest first
  uint64_t version_in_force_ = 0;
  bool formed_ = false;
  VersionContent effective_content_, latest_content_;
  std::string content_mismatch_;
  // The latest version known to differ; 0: none ever, kNumberingMismatch: all from here on.
  uint64_t mismatch_version_ = 0;
  uint64_t last_whole_version_ = 0;  // the latest that came whole since the last Load()
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_VERSION_HISTORY_H_
