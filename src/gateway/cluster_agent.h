// A gateway's side of the bank: the disk, the clock and the links that its decider (bank::Member)
// knows nothing of, and the rules that it gives to the gateway. The disk has a thread of its own:
// one that stands still holds no request.
#ifndef PADDLESTILE_GATEWAY_CLUSTER_AGENT_H_
#define PADDLESTILE_GATEWAY_CLUSTER_AGENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_member.h"
#include "config/gateway_config.h"
#include "config/operator_config.h"
#include "event/event_loop.h"
#include "gateway/gateway.h"
#include "gateway/lifecycle.h"
#include "peer/peer_connections.h"
#include "storage/files.h"

namespace paddlestile {

class DiskThread;

class ClusterAgent : public peer::PeerConnections::Listener {
 public:
  // Reads what the disk has and acts on that at once, under strict rules; takes part once no other
  // process has the folder. Throws ConfigError or std::system_error with one line.
  ClusterAgent(EventLoop& loop, ClusterConfig config, Gateway& gateway, Lifecycle& life,
               GatewayConfig file);
  virtual ~ClusterAgent();
  ClusterAgent(const ClusterAgent&) = delete;
  ClusterAgent& operator=(const ClusterAgent&) = delete;

  // The platform's file was read again: the bank's rules lie over it.
  void set_file(GatewayConfig file);
  // What the platform's file says, without the bank's rules.
  [[nodiscard]] const GatewayConfig& file() const { return file_; }

  [[nodiscard]] std::string DescribeState() const;

 protected:
  // What tests put wrong, to see that a judge finds it out.
  [[nodiscard]] virtual cluster::EffectiveConfig CurrentConfig() const {
    return member_->CurrentConfig(Now());
  }
  [[nodiscard]] virtual cluster::VersionContent ContentOf(
      const cluster::EffectiveConfig& stance) const {
    return member_->ContentOf(stance);
  }
  virtual void TamperOutgoing(raft::Message&) {}
  virtual void TamperIncoming(raft::Message&) {}
  virtual void TamperOutgoing(cluster::ChangeRequest&) {}
  nlohmann::json ClaimKnownOf(const std::string& name) override;
  [[nodiscard]] Time Now() const;

 private:
  void OnConnected(const std::string& name, uint64_t life, const nlohmann::json& known) override;
  void OnDisconnected(const std::string& name) override;
  void OnFrame(const std::string& name, const nlohmann::json& value) override;
  void OnCall(uint64_t call, const nlohmann::json& value) override;

  void Look();
  void Leave();
  void TakePart();
  void Link(uint64_t life, uint64_t boot);
  void Begin(raft::PersistentState disk);
  void OpenDisk();
  void OnDisk();
  void StartAnew(const char* why, bool on_disk);
  void Wants();
  template <typename What>
  void Run(What&& what);
  void CarryOut(cluster::MemberOutput& out);
  void Plan();
  void Act();
  void Tick();
  [[nodiscard]] storage::FileSystem& Disk() const;
  [[nodiscard]] nlohmann::json Status() const;
  // Why this gateway cannot act on these rules; empty: it can.
  [[nodiscard]] std::string CannotActOn(const cluster::VersionContent& rules) const;
  [[nodiscard]] std::string CannotTake(const cluster::Change& change) const;

  EventLoop& loop_;
  ClusterConfig config_;
  Gateway& gateway_;
  Lifecycle& lifecycle_;
  GatewayConfig file_;
  VersionedSettings settings_;  // of that file
  Time zero_;
  std::unique_ptr<storage::FileSystem> controlled_;  // of a lab
  std::shared_ptr<void> lock_;
  std::unique_ptr<DiskThread> disk_;
  std::unique_ptr<cluster::ClusterMember> member_;
  std::unique_ptr<peer::PeerConnections> connections_;
  std::set<std::string> wanted_;
  uint64_t durable_ = 0, next_ticket_ = 1;
  std::vector<raft::OutgoingMessage> held_;
  std::map<uint64_t, uint64_t> calls_;  // ticket to call
  std::optional<cluster::EffectiveConfig> stance_;
  std::optional<cluster::VersionContent> rules_;
  bool adopted_ = false;  // the gateway's settings came of `rules_`
  [[nodiscard]] std::optional<std::vector<TenantChange>> TenantsFor(
      const cluster::VersionContent& rules) const;
  [[nodiscard]] std::set<std::string> KeptOff(const cluster::VersionContent& rules) const;
  bool kept_ = false;  // it acts on what it had, until what its log holds is applied
  EventLoop::TimerId timer_, look_timer_, act_timer_;
  bool anew_ = false;  // has asked for all content once
  bool drained_ = false, diskless_ = false, nowhere_ = false;
  uint64_t changes_ = 0, lost_ = 0, disk_failures_ = 0, content_differed_ = 0;
};

// ---- Without a gateway ------------------------------------------------------------------------

// Makes the folder of the bank's first member, the only one that votes until the others come.
// Throws ConfigError where there is a log already.
void InitCluster(const ClusterConfig& config, const std::string& name);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CLUSTER_AGENT_H_
