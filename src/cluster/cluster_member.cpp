#include "cluster/cluster_member.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include "cluster/delta.h"

namespace paddlestile::cluster {
namespace {

constexpr raft::Index kNear = 64;  // entries that one who is to vote may be behind

// What an entry takes to apply beside its own bytes, whatever the version's size: parsed, its parts
// found, what they contradict.
constexpr size_t kEntryWork = 4 << 10;

double Seconds(Duration d) {
  return static_cast<double>(d.count()) / 1e6;
}

}  // namespace

Duration MaxDisagreement(const raft::RaftTiming& timing, Duration slack) {
  return raft::LeaseWaitDuration(timing) + slack;
}

ClusterMember::ClusterMember(Options options, raft::PersistentState disk, uint64_t seed, Time now)
    : options_(std::move(options)),
      raft_node_(options_.name, options_.timing, std::move(disk), seed, now),
      started_(now) {
  raft_node_.set_apply_cost_bytes(kEntryWork);
}

void ClusterMember::OnPeerConnected(Time now, const std::string& name, uint64_t life,
                                    const raft::StorageClaim& of_you, MemberOutput& out) {
  linked_[name] = life;
  raft_node_.OnPeerConnected(now, name, life, of_you, out);
  After(now, out);
}

void ClusterMember::OnPeerDisconnected(Time now, const std::string& name, MemberOutput& out) {
  linked_.erase(name);
  raft_node_.OnPeerDisconnected(name);
  After(now, out);
}

void ClusterMember::OnMessage(Time now, const raft::Message& message, MemberOutput& out) {
  raft_node_.OnMessage(now, message, out);
  After(now, out);
}

void ClusterMember::OnDurable(Time now, uint64_t ticket, MemberOutput& out) {
  raft_node_.OnDurable(now, ticket, out);
  After(now, out);
}

void ClusterMember::OnTimeout(Time now, MemberOutput& out) {
  raft_node_.OnTimeout(now, out);
  After(now, out);
}

Time ClusterMember::NextTimeout() const {
  Time due = raft_node_.NextTimeout();
  for (const auto& [id, waiting] : pending_changes_) {
    due = std::min(due, waiting.until);
  }
  return due;
}

// ---- Changes ----------------------------------------------------------------------------------

std::string ClusterMember::WhoLeads(Time now) const {
  if (!raft_node_.leader().empty()) {
    return raft_node_.leader() + " leads";
  }
  return "nobody has led for " +
         std::to_string((now - raft_node_.leader_heard_at()).count() / 1000) + " ms";
}

void ClusterMember::Give(const PendingChange& waiting, ChangeResult answer, MemberOutput& out) {
  if (waiting.ticket) {
    out.results.emplace_back(*waiting.ticket, std::move(answer));
  } else {
    out.member_messages.push_back({options_.name, waiting.from, std::nullopt, std::move(answer)});
  }
}

void ClusterMember::Submit(Time now, ChangeRequest wish, uint64_t ticket, MemberOutput& out) {
  PendingChange waiting;
  waiting.ticket = ticket;
  waiting.until = now + options_.result_timeout;
  Take(now, std::move(wish), std::move(waiting), out);
  After(now, out);
}

void ClusterMember::OnMessage(Time now, const MemberMessage& note, MemberOutput& out) {
  if (note.request) {
    PendingChange waiting;
    waiting.from = note.from;
    waiting.until = now + options_.result_timeout;
    // A leader that is not: the one that asked learns it, and looks again.
    if (!raft_node_.IsLeaderWithLease(now)) {
      Give(waiting, {ChangeResult::Kind::kNoLeader, note.request->change.id, 0, WhoLeads(now)},
           out);
    } else {
      Take(now, *note.request, std::move(waiting), out);
    }
  }
  if (note.result) {
    const auto at = pending_changes_.find(note.result->id);
    if (at != pending_changes_.end() && at->second.sent) {
      Give(at->second, *note.result, out);
      pending_changes_.erase(at);
    }
  }
  After(now, out);
}

void ClusterMember::Take(Time now, ChangeRequest wish, PendingChange waiting, MemberOutput& out) {
  const std::string id = wish.change.id;
  const auto give = [&](ChangeResult::Kind kind, std::string text) {
    Give(waiting, {kind, id, 0, std::move(text)}, out);
  };
  if (id.empty()) {
    return give(ChangeResult::Kind::kRefused, "a change without an id");
  }
  if (const auto at = pending_changes_.find(id); at != pending_changes_.end()) {
    // The same again: the newer one gets the answer.
    Give(at->second, {ChangeResult::Kind::kUnknown, id, 0, "asked for again elsewhere"}, out);
    pending_changes_.erase(at);
  }
  if (!raft_node_.IsLeaderWithLease(now)) {
    const std::string& leader = raft_node_.leader();
    if (leader.empty() || leader == options_.name || !linked_.contains(leader)) {
      return give(ChangeResult::Kind::kNoLeader, WhoLeads(now));
    }
    waiting.sent = true;
    out.member_messages.push_back({options_.name, leader, std::move(wish), std::nullopt});
    pending_changes_[id] = std::move(waiting);
    return;
  }
  if (wish.kind != ChangeRequest::Kind::kChange) {
    return TakeVoters(now, wish, std::move(waiting), out);
  }
  // Each change would be worked out behind all of that.
  if (raft_node_.HasEntriesToApply()) {
    return give(ChangeResult::Kind::kNoLeader, WhoLeads(now) + ", and catches up");
  }
  if (const auto before = history_.Find(id)) {
    if (before->version == 0) {
      return give(ChangeResult::Kind::kRefused, before->refusal_reason);
    }
    waiting.version = before->version;
    pending_changes_[id] = std::move(waiting);
    return;
  }
  std::vector<std::string> faults;
  const auto entry = EntryOf(wish.change, faults);
  if (!entry) {
    std::string all;
    for (const std::string& fault : faults) {
      all += (all.empty() ? "" : "\n") + fault;
    }
    return give(ChangeResult::Kind::kRefused, all);
  }
  raft_node_.Propose(now, *entry, out);
  waiting.term = raft_node_.current_term();
  pending_changes_[id] = std::move(waiting);
}

// The entry that a leader makes of a change; nothing where it has faults.
std::optional<std::string> ClusterMember::EntryOf(const Change& change,
                                                  std::vector<std::string>& faults) const {
  faults = change.is_delta ? ValidateDelta(change.document) : ValidateDocument(change.document);
  if (change.is_delta && !options_.deltas) {
    faults = {"a delta, and " + options_.name +
              " leads with whole changes, expected changes = \"delta\" in its operator's file"};
  }
  // A leader that has other content knows no delta: a whole version is the same from any.
  const bool differs = !history_.content_mismatch().empty();
  if (change.is_delta && differs) {
    faults = {"a delta, and the content of " + options_.name +
              ", which leads, is not what was agreed; expected a whole version"};
  }
  if (!faults.empty()) {
    return std::nullopt;
  }
  if (!options_.deltas || differs) {
    return VersionHistory::ChangeEntry(change);
  }
  // What is proposed already comes before it, in whatever term it is agreed.
  const VersionHistory* latest = &history_;
  std::optional<VersionHistory> ahead;
  for (raft::Index i = std::max(raft_node_.last_applied() + 1, raft_node_.first_log_index());
       i <= raft_node_.last_log_index(); ++i) {
    const raft::LogEntry& entry = raft_node_.EntryAt(i);
    if (entry.kind != raft::LogEntry::Kind::kData) {
      continue;
    }
    if (!ahead) {
      latest = &ahead.emplace(history_);
    }
    ahead->Apply(i, entry.bytes);
  }
  try {
    Change delta = change;
    delta.is_delta = true;
    const VersionContent next = change.is_delta
                                    ? ApplyDelta(latest->latest_content(), change.document)
                                    : VersionContent(ParseDocument(change.document));
    if (!change.is_delta) {
      delta.document = ComputeDelta(latest->latest_content(), next);
    }
    const bool smaller = delta.document.size() <= std::min(kMaxDeltaBytes, change.document.size());
    if (!change.is_delta && !smaller) {
      return VersionHistory::ChangeEntry(change);
    }
    return VersionHistory::ChangeEntry(delta, {latest->latest_version(), HashOf(next)});
  } catch (const std::invalid_argument& fault) {
    faults = {fault.what()};
    return std::nullopt;
  }
}

void ClusterMember::TakeVoters(Time now, const ChangeRequest& wish, PendingChange waiting,
                               MemberOutput& out) {
  std::vector<raft::Voter> voters = raft_node_.voters();
  const auto at = std::ranges::find(voters, wish.name, &raft::Voter::name);
  const auto linked = linked_.find(wish.name);
  const uint64_t life = wish.name == options_.name ? raft_node_.incarnation()
                        : linked != linked_.end()  ? linked->second
                                                   : 0;
  const auto refuse = [&](const std::string& text) {
    Give(waiting, {ChangeResult::Kind::kRefused, wish.change.id, 0, wish.name + ": " + text}, out);
  };
  if (wish.kind == ChangeRequest::Kind::kRemoveVoter) {
    if (at == voters.end()) {
      return refuse("does not vote");
    }
    if (voters.size() == 1) {
      return refuse("is the last that votes");
    }
    voters.erase(at);
  } else {
    if (life == 0) {
      return refuse("is not linked to the leader, or has no disk");
    }
    if (at != voters.end() && at->incarnation == life) {
      return refuse("votes already");
    }
    if (wish.kind == ChangeRequest::Kind::kAddVoter) {
      if (at != voters.end()) {
        return refuse("votes with another disk, expected replace");
      }
      if (raft_node_.MatchIndexOf(wish.name) + kNear < raft_node_.last_log_index()) {
        return refuse("is far behind");
      }
      if (voters.size() >= raft::kMaxVoters) {
        return refuse("is one more than may vote");
      }
      voters.push_back({wish.name, life});
    } else {
      if (at == voters.end()) {
        return refuse("does not vote, expected add");
      }
      // Not both at once: a majority of the old voters and one of the new need one in common.
      voters.erase(at);
    }
  }
  const auto here = std::ranges::count_if(voters, [&](const raft::Voter& v) {
    const auto link = linked_.find(v.name);
    return v == raft::Voter{options_.name, raft_node_.incarnation()} ||
           (link != linked_.end() && link->second == v.incarnation);
  });
  if (2 * static_cast<size_t>(here) <= voters.size()) {
    return refuse("too few of the voters that were left are here with their disks");
  }
  const auto index = raft_node_.ProposeVoters(now, std::move(voters), out);
  if (!index) {
    return refuse("an earlier change of voters is not agreed yet");
  }
  if (wish.kind == ChangeRequest::Kind::kReplaceVoter) {
    then_add_ = wish.name;
  }
  waiting.index = *index;
  waiting.term = raft_node_.current_term();
  pending_changes_[wish.change.id] = std::move(waiting);
}

// The voters that the file names join one by one as they come, until all are there.
void ClusterMember::Form(Time now, MemberOutput& out) {
  if (then_add_) {
    const auto linked = linked_.find(*then_add_);
    if (linked == linked_.end()) {
      return;
    }
    std::vector<raft::Voter> voters = raft_node_.voters();
    if (std::ranges::find(voters, *then_add_, &raft::Voter::name) != voters.end()) {
      return then_add_.reset();
    }
    voters.push_back({*then_add_, linked->second});
    if (const auto index = raft_node_.ProposeVoters(now, std::move(voters), out)) {
      for (auto& [id, waiting] : pending_changes_) {
        if (waiting.index > 0) {
          waiting.index = *index;
        }
      }
      then_add_.reset();
    }
    return;
  }
  if (history_.formed() || formed_proposed_) {
    return;
  }
  std::vector<raft::Voter> voters = raft_node_.voters();
  bool all = true;
  for (const std::string& name : options_.initial_voters) {
    if (std::ranges::find(voters, name, &raft::Voter::name) != voters.end()) {
      continue;
    }
    all = false;
    const auto linked = linked_.find(name);
    if (linked == linked_.end() ||
        raft_node_.MatchIndexOf(name) + kNear < raft_node_.last_log_index()) {
      continue;
    }
    voters.push_back({name, linked->second});
    raft_node_.ProposeVoters(now, std::move(voters), out);
    return;
  }
  if (all) {
    formed_proposed_ = raft_node_.Propose(now, VersionHistory::FormedEntry(), out).has_value();
  }
}

// What follows from what has happened, until nothing more does.
void ClusterMember::After(Time now, MemberOutput& out) {
  std::vector<raft::AppliedEntry> applied = std::move(out.applied);
  out.applied.clear();
  for (const raft::AppliedEntry& a : applied) {
    if (a.snapshot) {
      history_.Load(a.snapshot->bytes);
    } else if (a.entry.kind == raft::LogEntry::Kind::kData) {
      const VersionHistory::Result result = history_.Apply(a.index, a.entry.bytes);
      if (result.is_change && result.version > 0 && !result.is_repeat) {
        const Version& v = history_.versions().back();
        out.log.push_back("bank: version " + std::to_string(v.number) + " is taken, by " +
                          v.author + ": " + v.reason);
      }
      if (result.is_in_force) {
        out.log.push_back("bank: version " + std::to_string(history_.version_in_force()) +
                          " is on");
      }
      const auto at = pending_changes_.find(result.id);
      if (result.is_change && at != pending_changes_.end() && !at->second.sent) {
        at->second.version = result.version;
        if (result.version == 0) {
          Give(at->second, {ChangeResult::Kind::kRefused, result.id, 0, result.refusal_reason},
               out);
          pending_changes_.erase(at);
        }
      }
    }
  }
  const bool differs = !history_.content_mismatch().empty();
  if (differs && !differs_) {
    ++differed_;
    out.log.push_back("bank: its content is not what was agreed: " + history_.content_mismatch() +
                      "; strict rules until it is");
    if (!raft_node_.IsVotingMember() && !raft_node_.storage_rolled_back()) {
      out.needs_resync = history_.content_mismatch();
    }
  }
  if (!differs && differs_) {
    out.log.emplace_back("bank: its content is what was agreed again");
  }
  differs_ = differs;
  raft_node_.RequireAppliedForLease(history_.latest_index());
  const auto here = static_cast<size_t>(std::ranges::count_if(
      options_.initial_voters,
      [&](const std::string& name) { return name == options_.name || linked_.contains(name); }));
  raft_node_.set_may_campaign(!history_.numbering_mismatch() &&
                              (history_.formed() || here > options_.initial_voters.size() / 2));
  const bool leads = raft_node_.IsLeaderWithLease(now);
  if (leads) {
    Form(now, out);
    const std::pair on{raft_node_.current_term(), history_.latest_version()};
    if (history_.version_in_force() < history_.latest_version() && on_proposed_ != on &&
        raft_node_.AllLeaseHoldersApplied(now, history_.latest_index()) &&
        raft_node_.Propose(
            now,
            VersionHistory::InForceEntry(
                history_.latest_version(),
                options_.deltas && !differs ? history_.versions().back().hash : std::string()),
            out)) {
      on_proposed_ = on;
    }
  } else {
    then_add_.reset();
    formed_proposed_ = false;
  }
  for (auto at = pending_changes_.begin(); at != pending_changes_.end();) {
    const PendingChange& w = at->second;
    std::optional<ChangeResult> answer;
    if (!w.sent && w.version > 0 && w.version <= history_.version_in_force()) {
      answer = {ChangeResult::Kind::kDone, at->first, w.version, ""};
    } else if (!w.sent && w.index > 0 && !then_add_ && raft_node_.last_applied() >= w.index &&
               w.term == raft_node_.current_term()) {
      answer = {ChangeResult::Kind::kDone, at->first, 0, ""};
    } else if (now >= w.until || (!w.sent && !leads) ||
               (w.sent && !linked_.contains(raft_node_.leader()) && now >= w.until)) {
      answer = {ChangeResult::Kind::kUnknown, at->first, 0,
                "no answer in time; submit it again under the same id; " + WhoLeads(now)};
    }
    if (!answer) {
      ++at;
      continue;
    }
    Give(w, std::move(*answer), out);
    at = pending_changes_.erase(at);
  }
  // Other content goes into no snapshot: the log still tells the right one.
  if (!differs &&
      raft_node_.last_applied() >= raft_node_.first_log_index() + options_.compact_after) {
    raft_node_.TakeSnapshot(raft_node_.last_applied(), history_.Save(), out);
  }
  // An entry of a bank of one is agreed at once where its disk has nothing to wait for.
  if (!out.applied.empty()) {
    After(now, out);
  }
}

// ---- What is acted on -------------------------------------------------------------------------

EffectiveConfig ClusterMember::CurrentConfig(Time now) const {
  const Time until = raft_node_.LeaseUntil(now);
  EffectiveConfig stance;
  stance.version_in_force = history_.version_in_force();
  stance.latest_version = history_.latest_version();
  stance.valid_until = until;
  if (now < until && history_.content_mismatch().empty()) {
    stance.kind = stance.version_in_force == stance.latest_version
                      ? EffectiveConfig::Kind::kAgreed
                      : EffectiveConfig::Kind::kInTransition;
  }
  return stance;
}

VersionContent ClusterMember::ContentOf(const EffectiveConfig& stance) const {
  return stance.kind == EffectiveConfig::Kind::kIsolated
             ? StrictestFor(history_.effective_content())
             : history_.effective_content();
}

nlohmann::json ClusterMember::Status(Time now) const {
  using nlohmann::json;
  const EffectiveConfig stance = CurrentConfig(now);
  const Version* const last = history_.Find(history_.latest_version());
  json voters = json::array(), linked = json::array();
  for (const raft::Voter& v : raft_node_.voters()) {
    voters.push_back(v.name);
  }
  for (const auto& [name, life] : linked_) {
    json one = {{"name", name}};
    if (raft_node_.IsLeaderWithLease(now)) {
      one["behind"] = raft_node_.last_log_index() -
                      std::min(raft_node_.last_log_index(), raft_node_.MatchIndexOf(name));
    }
    linked.push_back(std::move(one));
  }
  constexpr std::array kRoles = {"follower", "follower", "candidate", "leader"};
  constexpr std::array kStances = {"agreed", "between", "alone"};
  return {{"name", options_.name},
          {"role", raft_node_.IsVotingMember() ? kRoles[static_cast<size_t>(raft_node_.role())]
                                               : "follower"},
          {"votes", raft_node_.IsVotingMember()},
          {"leader", raft_node_.leader()},
          {"leads", raft_node_.IsLeaderWithLease(now)},
          {"no_leader_ms",
           raft_node_.leader().empty() ? (now - raft_node_.leader_heard_at()).count() / 1000 : 0},
          {"term", raft_node_.current_term()},
          {"voters", voters},
          {"linked", linked},
          {"version_on", history_.version_in_force()},
          {"version_latest", history_.latest_version()},
          {"stance", kStances[static_cast<size_t>(stance.kind)]},
          {"lease_ms", std::max<int64_t>(0, (stance.valid_until - now).count() / 1000)},
          {"log_first", raft_node_.first_log_index()},
          {"log_last", raft_node_.last_log_index()},
          {"applied", raft_node_.last_applied()},
          {"to_apply", raft_node_.commit_index() - raft_node_.last_applied()},
          {"changes", options_.deltas ? "delta" : "whole"},
          {"change_bytes", last == nullptr       ? 0
                           : last->delta.empty() ? last->document.size()
                                                 : last->delta.size()},
          {"version_bytes", history_.latest_bytes()},
          {"content", history_.content_mismatch().empty() ? "agreed" : history_.content_mismatch()},
          {"content_differed", differed_},
          {"bound_ms", MaxDisagreement(options_.timing, kDetectionDelay).count() / 1000},
          {"since_s", Seconds(now - started_)}};
}

}  // namespace paddlestile::cluster
