// The configuration versions that result from the log's entries. Identical on all members that have
// applied the same entries. No I/O.
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

// Invariant: if `content` is kept, at least one of `document` and `delta` is empty. Both are empty
// if the version was submitted as a delta and is the oldest one whose content is kept: its content
// is saved in snapshots, while later versions are saved as they were submitted.
struct Version {
  uint64_t number = 0;  // 1, 2, ..
  std::string id, author, reason, hash;
  double submitted_unix_s = 0;
  std::string document;   // canonical text, if submitted as a whole version
  raft::Index index = 0;  // of its log entry
  std::string delta{};    // to the previous version, if submitted as a delta
  // Kept for the last VersionHistory::kFullVersions versions, the version in force and later ones.
  // Contents share their equal parts.
  std::optional<VersionContent> content{};
};

// Returns the hash of the content's parts if the version was submitted as a delta, and of its text
// otherwise. Requires the content or the document.
std::string HashOf(const Version& version);

class VersionHistory {
 public:
  static constexpr size_t kFullVersions = 16;    // versions whose content is kept
  static constexpr size_t kMaxVersions = 256;    // versions kept at all
  static constexpr size_t kMaxChangeIds = 1024;  // change IDs kept to detect repeated changes

  // The kind and the outcome of an applied entry.
  struct Result {
    bool is_change = false, is_in_force = false;
    std::string id;              // of a change
    bool is_repeat = false;      // of a change: its ID was applied before, with this result
    uint64_t version = 0;        // that was created or came into force; 0: the change was refused
    std::string refusal_reason;  // of a refused change
  };
  // Applies an encoded entry. Entries must be applied in the order of their indexes.
  Result Apply(raft::Index index, const std::string& entry);

  // Returns the result of the change with this ID, or std::nullopt if it was not applied or is no
  // longer remembered.
  [[nodiscard]] std::optional<Result> Find(const std::string& id) const;

  // Returns a snapshot of the history, in CBOR.
  [[nodiscard]] std::string Save() const;
  // Replaces the history with that of a snapshot.
  void Load(const std::string& saved);

  // 0: none yet; only the platform's file applies.
  [[nodiscard]] uint64_t version_in_force() const { return version_in_force_; }
  // The last accepted version, in force or not; 0: none.
  [[nodiscard]] uint64_t latest_version() const {
    return versions_.empty() ? 0 : versions_.back().number;
  }
  // Index of the entry that created the latest version, which every lease holder must have applied.
  [[nodiscard]] raft::Index latest_index() const {
    return versions_.empty() ? 0 : versions_.back().index;
  }
  // The content to act on: in each part, the strictest of the version in force and all later ones.
  [[nodiscard]] const VersionContent& effective_content() const { return effective_content_; }
  [[nodiscard]] const std::deque<Version>& versions() const { return versions_; }
  // Returns the version with this number, or null if it is not kept.
  [[nodiscard]] const Version* Find(uint64_t number) const;
  // Content of the latest version; empty if there is none.
  [[nodiscard]] const VersionContent& latest_content() const { return latest_content_; }
  // Size of the latest version's text.
  [[nodiscard]] size_t latest_bytes() const {
    return versions_.empty() ? 0 : TextBytes(latest_content_);
  }
  // Calls `each` for the versions from number `first` on whose content is kept, oldest first.
  void ForEachVersion(uint64_t first,
                      const std::function<void(const Version&, const VersionContent&)>& each) const;

  // Describes how this member's content differs from the agreed content; empty if no difference was
  // detected. Cleared by a later version whose hash matches the agreed one, or that was submitted
  // as a whole version and is in force. A numbering mismatch is cleared only by Load().
  [[nodiscard]] const std::string& content_mismatch() const { return content_mismatch_; }
  // Whether this member has missed a version, so that its version numbers differ from the other
  // members' and it must not become leader.
  [[nodiscard]] bool numbering_mismatch() const { return mismatch_version_ == kNumberingMismatch; }
  // Whether all initial voters have joined.
  [[nodiscard]] bool formed() const { return formed_; }

 private:
  static constexpr uint64_t kNumberingMismatch = UINT64_MAX;

  // The content that results from a change, or the reason why the change is refused.
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
  // Compares this member's hash of `version` with the agreed one and records or clears a mismatch.
  // Has no effect if `agreed_hash` is empty, which means not stated.
  void CompareHash(uint64_t version, const std::string& own_hash, const std::string& agreed_hash);

  std::deque<Version> versions_;  // with consecutive numbers
  struct AppliedId {
    std::string id;
    Result result;
  };
  std::deque<AppliedId> applied_ids_;  // oldest first
  uint64_t version_in_force_ = 0;
  bool formed_ = false;
  VersionContent effective_content_, latest_content_;
  std::string content_mismatch_;
  // The latest version known to differ; 0: none so far; kNumberingMismatch: all later versions.
  uint64_t mismatch_version_ = 0;
  uint64_t last_whole_version_ = 0;  // the latest one submitted as a whole since the last Load()
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_VERSION_HISTORY_H_
