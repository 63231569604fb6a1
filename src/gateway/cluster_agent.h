// Connects a gateway to its cluster. Provides the cluster member (cluster::ClusterMember, which
// does no I/O) with a clock, connections and storage, and applies the member's effective
// configuration to the gateway.
//
//   state            folder lock  connections  storage thread  effective configuration
//   observing        no           no           no              of the stored log, isolated
//   participating    held         yes          yes             by the member's lease
//   without storage  held         yes          no              by the member's lease
//
// An agent starts in the state observing, and participates as soon as no other process holds the
// folder lock. It observes again while the newer process of a hot restart serves. After a disk
// error it continues without storage; its incarnation is then 0, so that it cannot become a voter.
//
// Everything but the storage thread runs on the event loop's thread.
#ifndef PADDLESTILE_GATEWAY_CLUSTER_AGENT_H_
#define PADDLESTILE_GATEWAY_CLUSTER_AGENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_member.h"
#include "config/gateway_config.h"
#include "config/operator_config.h"
#include "event/event_loop.h"
#include "gateway/cluster_storage.h"
#include "gateway/gateway.h"
#include "gateway/lifecycle.h"
#include "gateway/operator_calls.h"
#include "gateway/storage_thread.h"
#include "gateway/version_applier.h"
#include "peer/peer_connections.h"
#include "storage/files.h"

namespace paddlestile {

class ClusterAgent : public peer::PeerConnections::Listener {
 public:
  // Applies the version stored in the folder before it returns, with retries disabled, and
  // participates if no other process holds the folder lock. `file` is the platform's configuration
  // file without the cluster's settings. The loop, the gateway and the lifecycle must outlive the
  // agent. Throws ConfigError or std::system_error with a message of one line.
  ClusterAgent(EventLoop& loop, ClusterConfig config, Gateway& gateway, Lifecycle& lifecycle,
               GatewayConfig file);
  virtual ~ClusterAgent();
  ClusterAgent(const ClusterAgent&) = delete;
  ClusterAgent& operator=(const ClusterAgent&) = delete;

  // Must be called when the platform's configuration file has been reloaded. Applies it with the
  // cluster's settings on top.
  void set_file(GatewayConfig file);
  // Returns the platform's configuration file without the cluster's settings.
  [[nodiscard]] const GatewayConfig& file() const { return file_; }

  // Returns key=value pairs, separated by spaces, for the gateway's log.
  [[nodiscard]] std::string DescribeState() const;

 protected:
  // The virtual functions are overridden by tests that inject a fault, to check that the checks of
  // an experiment detect it.
  [[nodiscard]] virtual cluster::EffectiveConfig CurrentConfig() const {
    return member_->CurrentConfig(Now());
  }
  [[nodiscard]] virtual cluster::VersionContent ContentOf(
      const cluster::EffectiveConfig& effective) const {
    return member_->ContentOf(effective);
  }
  virtual void TamperOutgoing(raft::Message& /*message*/) {}
  virtual void TamperIncoming(raft::Message& /*message*/) {}
  virtual void TamperOutgoing(cluster::ChangeRequest& /*request*/) {}
  nlohmann::json ClaimKnownOf(const std::string& name) override;

  // Returns the time by the member's clock, which is the loop's clock scaled by the configured test
  // factor.
  [[nodiscard]] Time Now() const;

 private:
  // peer::PeerConnections::Listener
  void OnConnected(const std::string& name, uint64_t incarnation,
                   const nlohmann::json& known) override;
  void OnDisconnected(const std::string& name) override;
  void OnFrame(const std::string& name, const nlohmann::json& value) override;
  void OnCall(uint64_t call, const nlohmann::json& value) override;

  // ---- Participation, see the table above.
  void CheckOwnership();
  void TryParticipate();
  void StopParticipating();
  void OpenStorage();
  // Opens the log and reads it into `state`. A corrupt log is renamed and replaced by an empty one.
  std::unique_ptr<storage::WriteAheadLog> OpenLog(raft::PersistentState& state);
  void OpenConnections(uint64_t incarnation, uint64_t restart_count);
  void CreateMember(raft::PersistentState state);
  // These restart the member as a non-voting one until it is voted in again, either with a new
  // incarnation and an empty log, or without storage.
  void RestartWithEmptyLog(const std::string& reason);
  void RestartWithoutStorage(const std::string& reason);
  void CloseForRestart(const std::string& reason);
  void RunWithoutStorage();
  // Runs `task` after the current event handler, unless the agent has stopped participating by
  // then.
  void RunDeferredWhileOwner(std::function<void()> task);
  [[nodiscard]] storage::FileSystem& files() const;

  // ---- Input and output of the member.
  // Calls step(member, now, output) and processes the output.
  template <typename Step>
  void RunMember(Step&& step);
  void ProcessOutput(cluster::MemberOutput& output);
  void StoreWrites(const std::vector<raft::StorageWrite>& writes);
  void SendMessages(cluster::MemberOutput& output);
  // Sends the message at once or, if it depends on a write that is not durable yet, later.
  void SendWhenDurable(raft::OutgoingMessage outgoing);
  void ReplyToCalls(const cluster::MemberOutput& output);
  void OnStorageStateChange();
  void UpdateWantedConnections();
  void ScheduleTimeout();
  void OnTimeout();
  // Converts a duration by the member's clock to one by the loop's clock.
  [[nodiscard]] Duration LoopDuration(Duration member_duration) const;

  // ---- The effective configuration of the gateway.
  void UpdateEffectiveConfig();
  void ScheduleLeaseCheck(Time valid_until);
  void LogConnectivity(const cluster::EffectiveConfig& effective);
  void UpdateDrain(bool holds_lease);

  [[nodiscard]] nlohmann::json Status() const;

  EventLoop& loop_;
  ClusterConfig config_;
  Gateway& gateway_;
  Lifecycle& lifecycle_;
  GatewayConfig file_;
  VersionApplier applier_;
  OperatorCalls operator_calls_;
  Time clock_origin_;  // the time at which Now() and the loop's clock agree

  std::unique_ptr<storage::FileSystem> controlled_files_;  // injects faults for the lab, or null
  std::shared_ptr<void> folder_lock_;                      // set while participating
  std::unique_ptr<StorageThread> storage_thread_;
  std::unique_ptr<peer::PeerConnections> connections_;
  std::unique_ptr<cluster::ClusterMember> member_;  // never null once constructed

  std::set<std::string> wanted_connections_;
  uint64_t durable_sequence_number_ = 0;                 // this write and all before it are durable
  std::vector<raft::OutgoingMessage> waiting_messages_;  // depend on writes not durable yet

  std::optional<cluster::EffectiveConfig> effective_config_;  // as of the last update
  bool keeps_applied_content_ = false;  // the member is isolated and catching up
  uint64_t applied_version_ = 0;        // the latest version that the applied content takes in
  bool drained_ = false;                // this agent has drained the gateway
  EventLoop::TimerId member_timer_, ownership_timer_, lease_timer_;

  bool has_requested_resync_ = false;
  bool without_storage_ = false;
  uint64_t isolation_count_ = 0;
  uint64_t storage_failure_count_ = 0;
  uint64_t content_mismatch_count_ = 0;  // summed over all members that this agent has created
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CLUSTER_AGENT_H_
