#include "cluster/change_proposal.h"

#include <algorithm>
#include <optional>
#include <stdexcept>

#include "cluster/delta.h"

namespace paddlestile::cluster {
namespace {

std::vector<std::string> FaultsOf(const Change& change, bool has_mismatch,
                                  const std::string& leader_name, bool encodes_deltas) {
  if (!change.is_delta) {
    return ValidateDocument(change.document);
  }
  // A whole version is the same from any leader; a delta from one with other content is not.
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

// `history` with the entries that are still to be applied: they come before what is proposed now,
// in whatever term they are committed. Nothing where there are none.
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

// The entry of a delta that was submitted, or of a whole version where its delta is smaller. Throws
// std::invalid_argument with the fault of the change.
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
  std::vector<std::string> faults = FaultsOf(change, has_mismatch, leader_name, encodes_deltas);
  if (!faults.empty()) {
    return {{}, std::move(faults)};
  }
  if (!encodes_deltas || has_mismatch) {
    return {EncodeChangeEntry(change), {}};
  }
  const std::optional<VersionHistory> ahead = HistoryWithPendingEntries(history, raft_node);
  try {
    return {EncodeAsDelta(change, ahead ? *ahead : history), {}};
  } catch (const std::invalid_argument& fault) {
    return {{}, {fault.what()}};
  }
}

}  // namespace paddlestile::cluster
