// The agent's status reply and log line. Operators' tools read them, so keys and values must not
// change.
#include <fmt/format.h>

#include "gateway/cluster_agent.h"

namespace paddlestile {

using cluster::EffectiveConfig;
using nlohmann::json;

json ClusterAgent::Status() const {
  json status = member_->Status(Now());
  status["bank"] = config_.cluster_name;
  status["disk"] = without_storage_ ? "none" : storage_thread_ ? "good" : "another process has it";
  if (storage_thread_) {
    const StorageThread::State state = storage_thread_->state();
    status["log_bytes"] = state.log_bytes;
    if (!state.error.empty()) {
      status["disk"] = state.error;
    }
  }
  if (connections_) {
    const peer::PeerConnections::Statistics& statistics = connections_->statistics();
    status["frames_in"] = statistics.frames_in;
    status["frames_out"] = statistics.frames_out;
    status["bytes_in"] = statistics.bytes_in;
    status["bytes_out"] = statistics.bytes_out;
    status["dropped"] = statistics.dropped;
    status["nonsense"] = statistics.malformed_frames;
    status["checksum_mismatches"] = statistics.checksum_mismatches;
    status["strangers"] = statistics.unidentified;
    status["old_lives"] = statistics.stale_incarnations;
  }
  return status;
}

std::string ClusterAgent::DescribeState() const {
  const EffectiveConfig effective = member_->CurrentConfig(Now());
  const std::string& leader = member_->raft_node().leader();
  return fmt::format(
      "bank_stance={} bank_on={} bank_latest={} bank_term={} bank_leader={} bank_links={} "
      "bank_rule_changes={} bank_lost={} bank_disk_failures={} bank_content_differed={}",
      cluster::StatusNameOf(effective.kind), effective.version_in_force, effective.latest_version,
      member_->raft_node().current_term(), leader.empty() ? "none" : leader,
      connections_ ? connections_->connected_count() : 0, applier_.applied_count(),
      isolation_count_, storage_failure_count_, content_mismatch_count_);
}

}  // namespace paddlestile
