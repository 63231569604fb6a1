// Connects a gateway to its cluster: gives the cluster member (cluster::ClusterMember, which does
// no I/O) time, connections and storage, and the gateway what the member says may be acted on.
//
//   state            owns the folder's lock  connections  storage thread  acts on
//   observing        no                      no           no              the stored log, isolated
//   participating    yes                     yes          yes             the member's lease
//   without storage  yes                     yes          no              the member's lease; its
//                                                                         incarnation is 0, so that
//                                                                         it cannot become a voter
//
// An agent starts observing and participates as soon as no other process owns the folder. It
// observes again while a hot restart's newer process runs, and runs without storage after a disk
// error. Everything but the storage thread runs on the event loop's thread.
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
  // Applies what the folder holds before it returns, with nothing retried, and participates if no
  // other process owns the folder. `file` is the platform's file without the cluster's settings.
  // The loop, the gateway and the lifecycle must outlive the agent. Throws ConfigError or
  // std::system_error with one line.
  ClusterAgent(EventLoop& loop, ClusterConfig config, Gateway& gateway, Lifecycle& lifecycle,
               GatewayConfig file);
  virtual ~ClusterAgent();
  ClusterAgent(const ClusterAgent&) = delete;
  ClusterAgent& operator=(const ClusterAgent&) = delete;

  // The platform's file was read again: the cluster's settings are laid over it.
  void set_file(GatewayConfig file);
  // The platform's file without the cluster's settings.
  [[nodiscard]] const GatewayConfig& file() const { return file_; }

  // One line of key=value pairs for the gateway's log.
  [[nodiscard]] std::string DescribeState() const;

 protected:
  // Overridden by tests that inject a fault, to see that an experiment's judge finds it.
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

  // The member's clock: the loop's, sped up or slowed down by the configured test factor.
  [[nodiscard]] Time Now() const;

 private:
  // peer::PeerConnections::Listener
  void OnConnected(const std::string& name, uint64_t incarnation,
                   const nlohmann::json& known) override;
  void OnDisconnected(const std::string& name) override;
  void OnFrame(const std::string& name, const nlohmann::json& value) override;
  void OnCall(uint64_t call, const nlohmann::json& value) override;

  // ---- Participation: see the table above.
  void CheckOwnership();
  void TryParticipate();
  void StopParticipating();
  void OpenStorage();
  // Opens the log, after setting a corrupt one aside, and reads it into `state`.
  std::unique_ptr<storage::WriteAheadLog> OpenLog(raft::PersistentState& state);
  void OpenConnections(uint64_t incarnation, uint64_t restart_count);
  void CreateMember(raft::PersistentState state);
  // A non-voting member until it is voted in again: with a new incarnation on an empty log, or
  // without storage.
  void RestartWithEmptyLog(const std::string& reason);
  void RestartWithoutStorage(const std::string& reason);
  void CloseForRestart(const std::string& reason);
  void RunWithoutStorage();
  // Runs `task` after the current event unless the agent has stopped participating by then.
  void RunDeferredWhileOwner(std::function<void()> task);
  [[nodiscard]] storage::FileSystem& files() const;

  // ---- The member: its input and its output.
  // Calls step(member, now, output) and carries the output out.
  template <typename Step>
  void RunMember(Step&& step);
  void CarryOut(cluster::MemberOutput& output);
  void StoreWrites(const std::vector<raft::StorageWrite>& writes);
  void SendMessages(cluster::MemberOutput& output);
  // Sends the message once the writes that it depends on are durable.
  void SendWhenDurable(raft::OutgoingMessage outgoing);
  void ReplyToCalls(const cluster::MemberOutput& output);
  void OnStorageStateChange();
  void UpdateWantedConnections();
  void ScheduleTimeout();
  void OnTimeout();
  // A duration by the member's clock as one by the loop's.
  [[nodiscard]] Duration LoopDuration(Duration member_duration) const;

  // ---- What the gateway acts on.
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
  Time clock_origin_;  // where Now() and the loop's clock agree

  std::unique_ptr<storage::FileSystem> controlled_files_;  // with faults injected by the lab
  std::shared_ptr<void> folder_lock_;                      // set while participating
  std::unique_ptr<StorageThread> storage_thread_;
  std::unique_ptr<peer::PeerConnections> connections_;
  std::unique_ptr<cluster::ClusterMember> member_;  // never null once constructed

  std::set<std::string> wanted_connections_;
  uint64_t durable_sequence_number_ = 0;                 // all writes up to it are durable
  std::vector<raft::OutgoingMessage> waiting_messages_;  // for later writes to become durable

  std::optional<cluster::EffectiveConfig> effective_config_;  // as last acted on
  bool keeps_applied_content_ = false;  // isolated and catching up: acts on what it had
  uint64_t applied_version_ = 0;        // the latest version of what it acts on
  bool drained_ = false;                // drained by this agent
  EventLoop::TimerId member_timer_, ownership_timer_, lease_timer_;

  bool has_requested_resync_ = false;
  bool without_storage_ = false;
  uint64_t isolation_count_ = 0;
  uint64_t storage_failure_count_ = 0;
  uint64_t content_mismatch_count_ = 0;  // of all members that this agent has created
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CLUSTER_AGENT_H_
