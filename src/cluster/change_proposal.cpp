#include "cluster/change_proposal.h"

#include <algorithm>
#include <optional>
#include <stdexcept>

#include "cluster/delta.h"

namespace paddlestile::cluster {
namespace {

std::vector<std::string> ValidateChange(const Change& change, bool has_mismatch,
                                        const std::string& leader_name, bool encodes_deltas) {
  if (!change.is_delta) {
    return ValidateDocument(change.document);
  }
  // A whole version does not depend on the leader's content, but a delta does.
  if (has_mismatch) {
    return {"a delta, and the content of " + leader_name +
            ", which leads, is not what was agreed; expected a whole version"};
  }
  if (!encodes_deltas) {
    return {"a delta, and " + leader_name +
            " leads with whole changes, expected changes = \"delta\" in its operator's file"};
  }
  return ValidateDelta(change.document);
}

// Returns a copy of `history` with all unapplied log entries applied, or std::nullopt if there are
// none. If a new entry is committed, they are too, because they precede it in the log.
std::optional<VersionHistory> HistoryWithPendingEntries(const VersionHistory& history,
                                                        const raft::RaftNode& raft_node) {
  std::optional<VersionHistory> ahead;
  for (raft::Index index = std::max(raft_node.last_applied() + 1, raft_node.first_log_index());
       index <= raft_node.last_log_index(); ++index) {
    const raft::LogEntry& entry = raft_node.EntryAt(index);
    if (entry.kind != raft::LogEntry::Kind::kData) {
      continue;
    }
    if (!ahead) {
      ahead = history;
    }
    ahead->Apply(index, entry.bytes);
  }
  return ahead;
}

// Encodes a submitted delta, or a whole version as a delta if that is smaller and as a whole
// version otherwise. Throws std::invalid_argument with the error if the change is invalid.
std::string EncodeAsDelta(const Change& change, const VersionHistory& latest) {
  const VersionContent& base = latest.latest_content();
  Change delta = change;
  delta.is_delta = true;
  const VersionContent next = change.is_delta ? ApplyDelta(base, change.document)
                                              : VersionContent(ParseDocument(change.document));
  if (!change.is_delta) {
    delta.document = ComputeDelta(base, next);
    if (delta.document.size() > std::min(kMaxDeltaBytes, change.document.size())) {
      return EncodeChangeEntry(change);
    }
  }
  return EncodeChangeEntry(delta, {latest.latest_version(), HashOf(next)});
}

}  // namespace

ChangeProposal MakeChangeProposal(const Change& change, const VersionHistory& history,
                                  const raft::RaftNode& raft_node, const std::string& leader_name,
                                  bool encodes_deltas) {
  const bool has_mismatch = !history.content_mismatch().empty();
  std::vector<std::string> errors =
      ValidateChange(change, has_mismatch, leader_name, encodes_deltas);
  if (!errors.empty()) {
    return {{}, std::move(errors)};
  }
  if (!encodes_deltas || has_mismatch) {
    return {EncodeChangeEntry(change), {}};
  }
  const std::optional<VersionHistory> ahead = HistoryWithPendingEntries(history, raft_node);
  try {
    return {EncodeAsDelta(change, ahead ? *ahead : history), {}};
  } catch (const std::invalid_argument& error) {
    return {{}, {error.what()}};
  }
}

}  // namespace paddlestile::cluster
