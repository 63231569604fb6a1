// A gateway that violates one guarantee of the cluster on purpose and is the program in all else.
// Experiments run it to see that their judge finds the violation.
//
//   paddlestile_faulty_cluster_member FAULT
//     acts-on       goes on acting on what it had after its lease has ended
//     applies-late  claims to have applied what it acts on only seconds later
//     takes-twice   takes a change that is submitted again for another one
//     misapplies    leaves out the hosts that a delta excludes, and compares no hash of the result
//     forgets       starts without the last records of what it had acknowledged
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "config/operator_config.h"
#include "gateway/cluster_agent.h"
#include "gateway/serve.h"
#include "storage/write_ahead_log.h"

namespace paddlestile {
namespace {

constexpr Duration kLateness{3'000'000};        // us; of acts-on and applies-late
constexpr size_t kForgottenRecords = 8;         // of forgets
constexpr size_t kMinRecordsToForgetFrom = 32;  // a shorter log is left as it is

class FaultyClusterAgent final : public ClusterAgent {
 public:
  FaultyClusterAgent(std::string fault, EventLoop& loop, ClusterConfig config, Gateway& gateway,
                     Lifecycle& lifecycle, GatewayConfig file)
      : ClusterAgent(loop, std::move(config), gateway, lifecycle, std::move(file)),
        fault_(std::move(fault)) {}

 private:
  cluster::EffectiveConfig CurrentConfig() const override {
    cluster::EffectiveConfig effective = ClusterAgent::CurrentConfig();
    if (fault_ == "acts-on" && effective.kind == cluster::EffectiveConfig::Kind::kIsolated) {
      effective.kind = cluster::EffectiveConfig::Kind::kAgreed;
      effective.valid_until = Now() + kLateness;
    }
    // Different each time: ContentOf is called again only where this differs.
    if (fault_ == "applies-late") {
      effective.latest_version = static_cast<uint64_t>(Now().count());
    }
    return effective;
  }
  cluster::VersionContent ContentOf(const cluster::EffectiveConfig& effective) const override {
    cluster::VersionContent content = ClusterAgent::ContentOf(effective);
    if (fault_ != "applies-late") {
      return content;
    }
    past_contents_.emplace_back(Now(), content);
    while (past_contents_.size() > 1 && past_contents_[1].first <= Now() - kLateness) {
      past_contents_.pop_front();
    }
    return past_contents_.front().second;
  }
  void TamperOutgoing(cluster::ChangeRequest& request) override {
    if (fault_ == "takes-twice") {
      request.change.id += "'" + std::to_string(Now().count());
    }
  }
  void TamperOutgoing(raft::Message& message) override {
    if (fault_ == "forgets") {
      message.claim_of_receiver = {};
    }
  }
  void TamperIncoming(raft::Message& message) override {
    if (fault_ != "misapplies") {
      return;
    }
    for (raft::LogEntry& entry : message.entries) {
      if (entry.kind == raft::LogEntry::Kind::kData) {
        entry.bytes = WithoutExcludedHosts(entry.bytes);
      }
    }
  }
  nlohmann::json ClaimKnownOf(const std::string& name) override {
    return fault_ == "forgets" ? nlohmann::json() : ClusterAgent::ClaimKnownOf(name);
  }

  // The entry without its hash and without the hosts that its delta excludes.
  static std::string WithoutExcludedHosts(const std::string& entry) {
    nlohmann::json value = nlohmann::json::from_cbor(entry);
    value.erase("hash");
    if (value.contains("delta")) {
      nlohmann::json delta = nlohmann::json::parse(value["delta"].get<std::string>());
      if (delta.contains("barred")) {
        delta["barred"].erase("add");
      }
      value["delta"] = delta.dump();
    }
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
  }

  std::string fault_;
  mutable std::deque<std::pair<Time, cluster::VersionContent>> past_contents_;  // by time
};

void ForgetLastRecords() {
  const ClusterConfig config =
      ReadClusterConfig(std::getenv("LB_OPERATOR"), std::getenv("LB_NAME"));
  storage::FileSystem& files = storage::SystemFiles();
  if (!files.Exists(storage::WriteAheadLog::PathIn(config.folder))) {
    return;
  }
  std::vector<std::string> records;
  storage::WriteAheadLog log(files, config.folder,
                             [&](std::string_view record) { records.emplace_back(record); });
  if (records.size() < kMinRecordsToForgetFrom) {
    return;
  }
  records.resize(records.size() - kForgottenRecords);
  log.Replace(records);
}

}  // namespace
}  // namespace paddlestile

int main(int argc, char** argv) {
  using namespace paddlestile;
  const std::string fault = argc > 1 ? argv[1] : "";
  if (fault == "forgets") {
    ForgetLastRecords();
  }
  ServeOptions options;
  options.make_cluster_agent = [fault](EventLoop& loop, ClusterConfig config, Gateway& gateway,
                                       Lifecycle& lifecycle,
                                       GatewayConfig file) -> std::unique_ptr<ClusterAgent> {
    return std::make_unique<FaultyClusterAgent>(fault, loop, std::move(config), gateway, lifecycle,
                                                std::move(file));
  };
  return Serve(options);
}
