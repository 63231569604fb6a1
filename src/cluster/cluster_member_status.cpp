// The fields of `bank status` that a member provides. Operators' tools use the keys and values,
// which must not change.
#include <algorithm>
#include <array>

#include "cluster/cluster_member.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

const char* RoleNameOf(const raft::RaftNode& node) {
  // A pre-candidate is reported as a follower, because a pre-vote has no effect on other members.
  constexpr std::array kNames = {"follower", "follower", "candidate", "leader"};
  return node.IsVotingMember() ? kNames[static_cast<size_t>(node.role())] : "follower";
}

json VoterNames(const raft::RaftNode& node) {
  json names = json::array();
  for (const raft::Voter& voter : node.voters()) {
    names.push_back(voter.name);
  }
  return names;
}

size_t LatestChangeBytes(const VersionHistory& history) {
  const Version* const latest = history.Find(history.latest_version());
  if (latest == nullptr) {
    return 0;
  }
  return latest->delta.empty() ? latest->document.size() : latest->delta.size();
}

}  // namespace

json ClusterMember::DescribeConnectedMembers(Time now) const {
  const bool is_leader = raft_node_.IsLeaderWithLease(now);
  const raft::Index last = raft_node_.last_log_index();
  json members = json::array();
  for (const auto& [name, incarnation] : connected_) {
    json member = {{"name", name}};
    if (is_leader) {
      member["behind"] = last - std::min(last, raft_node_.MatchIndexOf(name));
    }
    members.push_back(std::move(member));
  }
  return members;
}

json ClusterMember::Status(Time now) const {
  const EffectiveConfig effective = CurrentConfig(now);
  const std::string& mismatch = history_.content_mismatch();
  const int64_t leaderless_ms =
      raft_node_.leader().empty() ? Milliseconds(now - raft_node_.leader_heard_at()) : 0;
  return {{"name", options_.name},
          {"role", RoleNameOf(raft_node_)},
          {"votes", raft_node_.IsVotingMember()},
          {"leader", raft_node_.leader()},
          {"leads", raft_node_.IsLeaderWithLease(now)},
          {"no_leader_ms", leaderless_ms},
          {"term", raft_node_.current_term()},
          {"voters", VoterNames(raft_node_)},
          {"linked", DescribeConnectedMembers(now)},
          {"version_on", history_.version_in_force()},
          {"version_latest", history_.latest_version()},
          {"stance", StatusNameOf(effective.kind)},
          {"lease_ms", std::max<int64_t>(0, Milliseconds(effective.valid_until - now))},
          {"log_first", raft_node_.first_log_index()},
          {"log_last", raft_node_.last_log_index()},
          {"applied", raft_node_.last_applied()},
          {"to_apply", raft_node_.commit_index() - raft_node_.last_applied()},
          {"changes", options_.deltas ? "delta" : "whole"},
          {"change_bytes", LatestChangeBytes(history_)},
          {"version_bytes", history_.latest_bytes()},
          {"content", mismatch.empty() ? "agreed" : mismatch},
          {"content_differed", content_mismatch_count_},
          {"bound_ms", Milliseconds(MaxDisagreement(options_.timing, kDetectionDelay))},
          {"since_s", Seconds(now - started_at_)}};
}

}  // namespace paddlestile::cluster
