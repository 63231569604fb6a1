#include "cluster/cluster_member.h"

#include <algorithm>
#include <utility>

#include "cluster/change_proposal.h"

namespace paddlestile::cluster {
namespace {

// Cost of applying an entry in addition to its own size. It does not depend on the version's size.
constexpr size_t kApplyCostBytes = 4 << 10;

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    if (!text.empty()) {
      text += '\n';
    }
    text += line;
  }
  return text;
}

}  // namespace

ClusterMember::ClusterMember(Options options, raft::PersistentState state, uint64_t seed, Time now)
    : options_(std::move(options)),
      raft_node_(options_.name, options_.timing, std::move(state), seed, now),
      started_at_(now),
      voter_manager_(options_.name, options_.initial_voters, raft_node_, connected_) {
  raft_node_.set_apply_cost_bytes(kApplyCostBytes);
}

// ---- Events -----------------------------------------------------------------------------------

void ClusterMember::OnPeerConnected(Time now, const std::string& name, uint64_t incarnation,
                                    const raft::StorageClaim& claim, MemberOutput& output) {
  connected_[name] = incarnation;
  raft_node_.OnPeerConnected(now, name, incarnation, claim, output);
  AfterEvent(now, output);
}

void ClusterMember::OnPeerDisconnected(Time now, const std::string& name, MemberOutput& output) {
  connected_.erase(name);
  raft_node_.OnPeerDisconnected(name);
  AfterEvent(now, output);
}

void ClusterMember::OnMessage(Time now, const raft::Message& message, MemberOutput& output) {
  raft_node_.OnMessage(now, message, output);
  AfterEvent(now, output);
}

void ClusterMember::OnMessage(Time now, const MemberMessage& message, MemberOutput& output) {
  if (message.request) {
    PendingChange pending = MakePendingChange(now);
    pending.from_member = message.from;
    // Requests are forwarded only once; the sender then has to find the leader again.
    if (!raft_node_.IsLeaderWithLease(now)) {
      SendResult(
          pending,
          {ChangeResult::Kind::kNoLeader, message.request->change.id, 0, DescribeLeader(now)},
          output);
    } else {
      HandleRequest(now, *message.request, std::move(pending), output);
    }
  }
  if (message.result) {
    const auto pending = pending_changes_.find(message.result->id);
    if (pending != pending_changes_.end() && pending->second.is_forwarded) {
      SendResult(pending->second, *message.result, output);
      pending_changes_.erase(pending);
    }
  }
  AfterEvent(now, output);
}

void ClusterMember::OnDurable(Time now, uint64_t sequence_number, MemberOutput& output) {
  raft_node_.OnDurable(now, sequence_number, output);
  AfterEvent(now, output);
}

void ClusterMember::OnTimeout(Time now, MemberOutput& output) {
  raft_node_.OnTimeout(now, output);
  AfterEvent(now, output);
}

Time ClusterMember::NextTimeout() const {
  Time due = raft_node_.NextTimeout();
  for (const auto& [id, pending] : pending_changes_) {
    due = std::min(due, pending.deadline);
  }
  return due;
}

void ClusterMember::Submit(Time now, ChangeRequest request, uint64_t request_number,
                           MemberOutput& output) {
  PendingChange pending = MakePendingChange(now);
  pending.request_number = request_number;
  HandleRequest(now, std::move(request), std::move(pending), output);
  AfterEvent(now, output);
}

// ---- Requests ---------------------------------------------------------------------------------

ClusterMember::PendingChange ClusterMember::MakePendingChange(Time now) const {
  PendingChange pending;
  pending.deadline = now + options_.result_timeout;
  return pending;
}

std::string ClusterMember::DescribeLeader(Time now) const {
  if (!raft_node_.leader().empty()) {
    return raft_node_.leader() + " leads";
  }
  const int64_t leaderless_ms = (now - raft_node_.leader_heard_at()).count() / 1000;
  return "nobody has led for " + std::to_string(leaderless_ms) + " ms";
}

void ClusterMember::SendResult(const PendingChange& pending, ChangeResult result,
                               MemberOutput& output) {
  if (pending.request_number) {
    output.results.push_back({*pending.request_number, std::move(result)});
  } else {
    output.member_messages.push_back(
        {options_.name, pending.from_member, std::nullopt, std::move(result)});
  }
}

void ClusterMember::HandleRequest(Time now, ChangeRequest request, PendingChange pending,
                                  MemberOutput& output) {
  const std::string id = request.change.id;
  if (id.empty()) {
    return SendResult(pending, {ChangeResult::Kind::kRefused, id, 0, "a change without an id"},
                      output);
  }
  // Of two requests with the same ID, only the later one gets the result.
  if (const auto earlier = pending_changes_.find(id); earlier != pending_changes_.end()) {
    SendResult(earlier->second, {ChangeResult::Kind::kUnknown, id, 0, "asked for again elsewhere"},
               output);
    pending_changes_.erase(earlier);
  }
  if (!raft_node_.IsLeaderWithLease(now)) {
    ForwardToLeader(now, std::move(request), std::move(pending), output);
  } else if (request.kind != ChangeRequest::Kind::kChange) {
    ProposeVoterChange(now, request, std::move(pending), output);
  } else {
    ProposeChange(now, request.change, std::move(pending), output);
  }
}

void ClusterMember::ForwardToLeader(Time now, ChangeRequest request, PendingChange pending,
                                    MemberOutput& output) {
  const std::string id = request.change.id;
  const std::string& leader = raft_node_.leader();
  if (leader.empty() || leader == options_.name || !connected_.contains(leader)) {
    return SendResult(pending, {ChangeResult::Kind::kNoLeader, id, 0, DescribeLeader(now)}, output);
  }
  pending.is_forwarded = true;
  output.member_messages.push_back({options_.name, leader, std::move(request), std::nullopt});
  pending_changes_[id] = std::move(pending);
}

void ClusterMember::ProposeVoterChange(Time now, const ChangeRequest& request,
                                       PendingChange pending, MemberOutput& output) {
  const std::string& id = request.change.id;
  VoterManager::Proposal proposal = voter_manager_.Propose(now, request, output);
  if (proposal.index == 0) {
    return SendResult(
        pending, {ChangeResult::Kind::kRefused, id, 0, std::move(proposal.refusal_reason)}, output);
  }
  pending.voters_index = proposal.index;
  pending.term = raft_node_.current_term();
  pending_changes_[id] = std::move(pending);
}

void ClusterMember::ProposeChange(Time now, const Change& change, PendingChange pending,
                                  MemberOutput& output) {
  const auto send_result = [&](ChangeResult::Kind kind, std::string text) {
    SendResult(pending, {kind, change.id, 0, std::move(text)}, output);
  };
  // Otherwise, computing each proposal would require applying all pending entries first.
  if (raft_node_.HasEntriesToApply()) {
    return send_result(ChangeResult::Kind::kNoLeader, DescribeLeader(now) + ", and catches up");
  }
  if (const auto earlier = history_.Find(change.id)) {
    if (earlier->version == 0) {
      return send_result(ChangeResult::Kind::kRefused, earlier->refusal_reason);
    }
    pending.version = earlier->version;
    pending_changes_[change.id] = std::move(pending);
    return;
  }
  const ChangeProposal proposal =
      MakeChangeProposal(change, history_, raft_node_, options_.name, options_.deltas);
  if (!proposal.errors.empty()) {
    return send_result(ChangeResult::Kind::kRefused, JoinLines(proposal.errors));
  }
  raft_node_.Propose(now, proposal.entry, output);
  pending.term = raft_node_.current_term();
  pending_changes_[change.id] = std::move(pending);
}

// ---- After each event -------------------------------------------------------------------------

void ClusterMember::AfterEvent(Time now, MemberOutput& output) {
  // Repeated if this step commits entries immediately, as in a cluster with one voter.
  do {
    ApplyEntries(output);
    UpdateContentMismatch(output);
    raft_node_.RequireAppliedForLease(history_.latest_index());
    // A member that has missed a version must not become leader. While the cluster is being formed,
    // a member whose disk was reset could otherwise lead a cluster of its own.
    raft_node_.set_may_campaign(!history_.numbering_mismatch() &&
                                (history_.formed() || voter_manager_.IsInitialMajorityConnected()));
    const bool is_leader = raft_node_.IsLeaderWithLease(now);
    if (is_leader) {
      RunLeaderTasks(now, output);
    } else {
      voter_manager_.Abandon();
    }
    FinishPendingChanges(now, is_leader, output);
    CompactLog(output);
  } while (!output.applied.empty());
}

void ClusterMember::ApplyEntries(MemberOutput& output) {
  for (const raft::AppliedEntry& applied : std::exchange(output.applied, {})) {
    if (applied.snapshot) {
      history_.Load(applied.snapshot->bytes);
    } else if (applied.entry.kind == raft::LogEntry::Kind::kData) {
      ApplyEntry(applied, output);
    }
  }
}

void ClusterMember::ApplyEntry(const raft::AppliedEntry& applied, MemberOutput& output) {
  const VersionHistory::Result result = history_.Apply(applied.index, applied.entry.bytes);
  if (result.is_change && result.version > 0 && !result.is_repeat) {
    const Version& version = history_.versions().back();
    output.log.push_back("bank: version " + std::to_string(version.number) + " accepted, author " +
                         version.author + ": " + version.reason);
  }
  if (result.is_in_force) {
    output.log.push_back("bank: version " + std::to_string(history_.version_in_force()) + " is on");
  }
  const auto pending = pending_changes_.find(result.id);
  if (!result.is_change || pending == pending_changes_.end() || pending->second.is_forwarded) {
    return;
  }
  pending->second.version = result.version;
  if (result.version == 0) {
    SendResult(pending->second, {ChangeResult::Kind::kRefused, result.id, 0, result.refusal_reason},
               output);
    pending_changes_.erase(pending);
  }
}

void ClusterMember::UpdateContentMismatch(MemberOutput& output) {
  const bool has_mismatch = !history_.content_mismatch().empty();
  if (has_mismatch && !has_content_mismatch_) {
    ++content_mismatch_count_;
    output.log.push_back("bank: content differs from the agreed content: " +
                         history_.content_mismatch() + "; using strict rules until it matches");
    if (!raft_node_.IsVotingMember() && !raft_node_.storage_rolled_back()) {
      output.needs_resync = history_.content_mismatch();
    }
  }
  if (!has_mismatch && has_content_mismatch_) {
    output.log.emplace_back("bank: content matches the agreed content again");
  }
  has_content_mismatch_ = has_mismatch;
}

void ClusterMember::RunLeaderTasks(Time now, MemberOutput& output) {
  if (const auto index = voter_manager_.Advance(now, history_.formed(), output)) {
    // A replacement is finished once the voter has been added again.
    for (auto& [id, pending] : pending_changes_) {
      if (pending.voters_index > 0) {
        pending.voters_index = *index;
      }
    }
  }
  ProposeInForce(now, output);
}

// The latest version comes into force once every gateway that may hold a lease has applied it.
void ClusterMember::ProposeInForce(Time now, MemberOutput& output) {
  const InForceProposal proposal{raft_node_.current_term(), history_.latest_version()};
  if (history_.version_in_force() >= history_.latest_version() ||
      last_in_force_proposal_ == proposal ||
      !raft_node_.AllLeaseHoldersApplied(now, history_.latest_index())) {
    return;
  }
  const bool includes_hash = options_.deltas && !has_content_mismatch_;
  const std::string entry = EncodeInForceEntry(
      history_.latest_version(), includes_hash ? history_.versions().back().hash : std::string());
  if (raft_node_.Propose(now, entry, output)) {
    last_in_force_proposal_ = proposal;
  }
}

void ClusterMember::FinishPendingChanges(Time now, bool is_leader, MemberOutput& output) {
  for (auto pending = pending_changes_.begin(); pending != pending_changes_.end();) {
    std::optional<ChangeResult> result =
        FindResult(pending->first, pending->second, now, is_leader);
    if (!result) {
      ++pending;
      continue;
    }
    SendResult(pending->second, std::move(*result), output);
    pending = pending_changes_.erase(pending);
  }
}

std::optional<ChangeResult> ClusterMember::FindResult(const std::string& id,
                                                      const PendingChange& pending, Time now,
                                                      bool is_leader) const {
  if (!pending.is_forwarded) {
    if (pending.version > 0 && pending.version <= history_.version_in_force()) {
      return ChangeResult{ChangeResult::Kind::kDone, id, pending.version, ""};
    }
    if (pending.voters_index > 0 && !voter_manager_.is_replacing() &&
        raft_node_.last_applied() >= pending.voters_index &&
        pending.term == raft_node_.current_term()) {
      return ChangeResult{ChangeResult::Kind::kDone, id, 0, ""};
    }
  }
  const bool lost_leadership = !pending.is_forwarded && !is_leader;
  if (now >= pending.deadline || lost_leadership) {
    return ChangeResult{
        ChangeResult::Kind::kUnknown, id, 0,
        "no answer in time; submit it again under the same id; " + DescribeLeader(now)};
  }
  return std::nullopt;
}

// Content that differs from the agreed content must not be saved in a snapshot, because the log
// still allows recovering the correct content.
void ClusterMember::CompactLog(MemberOutput& output) {
  if (!has_content_mismatch_ &&
      raft_node_.last_applied() >= raft_node_.first_log_index() + options_.compact_after) {
    raft_node_.TakeSnapshot(raft_node_.last_applied(), history_.Save(), output);
  }
}

// ---- Effective configuration ------------------------------------------------------------------

EffectiveConfig ClusterMember::CurrentConfig(Time now) const {
  EffectiveConfig effective;
  effective.version_in_force = history_.version_in_force();
  effective.latest_version = history_.latest_version();
  effective.valid_until = raft_node_.LeaseUntil(now);
  if (now < effective.valid_until && history_.content_mismatch().empty()) {
    effective.kind = effective.version_in_force == effective.latest_version
                         ? EffectiveConfig::Kind::kAgreed
                         : EffectiveConfig::Kind::kInTransition;
  }
  return effective;
}

VersionContent ClusterMember::ContentOf(const EffectiveConfig& effective) const {
  return effective.kind == EffectiveConfig::Kind::kIsolated
             ? StrictestFor(history_.effective_content())
             : history_.effective_content();
}

}  // namespace paddlestile::cluster
