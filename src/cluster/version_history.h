// The versions that the log's entries make, the same at every member that has applied the same
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

#include "cluster/change_request.h"
#include "cluster/version_content.h"
#include "raft/raft_node.h"

namespace paddlestile::cluster {

// What the leader that proposed a delta made of it: whoever makes another version of it has other
// content than the bank.
struct DeltaResult {
  uint64_t base_version = 0;  // the version that it was applied to
  std::string hash;           // of the version that it makes
};

struct Version {
  uint64_t number = 0;
  std::string id, author, reason, hash;
  double submitted_unix_s = 0;
  // How it came: whole, or as a delta to the version before. Of the last kWhole alone, and neither
  // is told of the oldest of them where it came as a delta.
  std::string document;
  raft::Index index = 0;
  std::string delta{};
  std::optional<VersionContent>
      content{};  // of the last kWhole; they share what they have in common
};

// Of a version that came as a delta by its parts, of one that came whole of its text.
std::string HashOf(const Version& version);

class VersionHistory {
 public:
  static constexpr size_t kFullVersions = 16;    // versions kept whole
  static constexpr size_t kMaxVersions = 256;    // versions remembered
  static constexpr size_t kMaxChangeIds = 1024;  // changes by whose ids a repeat is known

  // The entries.
  static std::string ChangeEntry(const Change& change, const DeltaResult& made = {});
  // `hash`: of that version; empty: none is told.
  static std::string InForceEntry(uint64_t version, const std::string& hash = "");
  static std::string FormedEntry();

  struct Result {
    bool is_change = false, is_in_force = false;  // what the entry was
    std::string id;                               // of a change
    bool is_repeat = false;                       // it had been taken before
    uint64_t version = 0;                         // 0: refused
    std::string refusal_reason;
  };
  Result Apply(raft::Index index, const std::string& entry);

  // Whether this id was taken, and as what.
  [[nodiscard]] std::optional<Result> Find(const std::string& id) const;

  [[nodiscard]] std::string Save() const;
  void Load(const std::string& saved);

  // The version in force, and the last that was taken: it comes into force once every member that
  // may act has it. 0: none yet, the platform's alone.
  [[nodiscard]] uint64_t version_in_force() const { return version_in_force_; }
  [[nodiscard]] uint64_t latest_version() const {
    return versions_.empty() ? 0 : versions_.back().number;
  }
  // The entry that every member that holds a lease must have applied.
  [[nodiscard]] raft::Index latest_index() const {
    return versions_.empty() ? 0 : versions_.back().index;
  }
  // What to act on: the version in force, and of those behind it only what is stricter.
  [[nodiscard]] const VersionContent& effective_content() const { return effective_content_; }
  [[nodiscard]] const std::deque<Version>& versions() const { return versions_; }
  [[nodiscard]] const Version* Find(uint64_t number) const;
  // The content of the last version, the platform's alone where there is none.
  [[nodiscard]] const VersionContent& latest_content() const { return latest_content_; }
  [[nodiscard]] size_t latest_bytes() const {
    return versions_.empty() ? 0 : TextBytes(latest_content_);
  }
  // The kept versions from `first` on, in their order.
  void ForEachVersion(uint64_t first,
                      const std::function<void(const Version&, const VersionContent&)>& each) const;
  // Why the content here is not what the bank has agreed on; empty: nothing speaks against it. A
  // later version settles it where its hash is as agreed, or where it came whole and is on.
  [[nodiscard]] const std::string& content_mismatch() const { return content_mismatch_; }
  // A version is missing here: its numbers are not those of the others, and it must not lead.
  [[nodiscard]] bool numbering_mismatch() const { return mismatch_version_ == UINT64_MAX; }
  // All voters that the operator's file named at first have joined.
  [[nodiscard]] bool formed() const { return formed_; }

 private:
  void PutInForce(uint64_t version);
  void Trim();
  void RecordMismatch(uint64_t version, const std::string& why);
  void CompareHash(uint64_t version, const std::string& here, const std::string& agreed);

  std::deque<Version> versions_;
  std::deque<std::pair<std::string, Result>> ids_;
  uint64_t version_in_force_ = 0;
  bool formed_ = false;
  VersionContent effective_content_, latest_content_;
  std::string content_mismatch_;
  uint64_t mismatch_version_ =
      0;  // the last version of which it is known; UINT64_MAX: it has no number
  uint64_t last_full_version_ = 0;  // the last version that came whole
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_VERSION_HISTORY_H_
