// A gateway that breaks one term of the bank on purpose, and is the program in all else.
//   paddlestile_faulty_cluster_member acts-on       acts on what it had after its lease is over
//                            applies-late  says that it has applied what it acts on only seconds
//                            later takes-twice   takes a change that is submitted again for another
//                            misapplies    leaves out the hosts that a delta bars, and holds what
//                            comes of it against no hash
//                            forgets       starts without the last of what it had acknowledged
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

constexpr Duration kLate{3'000'000};  // us
constexpr size_t kForgets = 8;        // records

class Breaker final : public ClusterAgent {
 public:
  Breaker(std::string how, EventLoop& loop, ClusterConfig config, Gateway& gateway, Lifecycle& life,
          GatewayConfig file)
      : ClusterAgent(loop, std::move(config), gateway, life, std::move(file)),
        how_(std::move(how)) {}

 private:
  cluster::EffectiveConfig CurrentConfig() const override {
    cluster::EffectiveConfig stance = ClusterAgent::CurrentConfig();
    if (how_ == "acts-on" && stance.kind == cluster::EffectiveConfig::Kind::kIsolated) {
      stance.kind = cluster::EffectiveConfig::Kind::kAgreed;
      stance.valid_until = Now() + kLate;
    }
    // Looked at again and again, or nothing would come late.
    if (how_ == "applies-late") {
      stance.latest_version = static_cast<uint64_t>(Now().count());
    }
    return stance;
  }
  cluster::VersionContent ContentOf(const cluster::EffectiveConfig& stance) const override {
    cluster::VersionContent rules = ClusterAgent::ContentOf(stance);
    if (how_ != "applies-late") {
      return rules;
    }
    past_.emplace_back(Now(), rules);
    while (past_.size() > 1 && past_[1].first <= Now() - kLate) {
      past_.pop_front();
    }
    return past_.front().second;
  }
  void TamperOutgoing(cluster::ChangeRequest& wish) override {
    if (how_ == "takes-twice") {
      wish.change.id += "'" + std::to_string(Now().count());
    }
  }
  void TamperOutgoing(raft::Message& message) override {
    if (how_ == "forgets") {
      message.claim_of_receiver = {};
    }
  }
  void TamperIncoming(raft::Message& message) override {
    if (how_ != "misapplies") {
      return;
    }
    for (raft::LogEntry& entry : message.entries) {
      if (entry.kind != raft::LogEntry::Kind::kData) {
        continue;
      }
      nlohmann::json value = nlohmann::json::from_cbor(entry.bytes);
      value.erase("hash");
      if (value.contains("delta")) {
        nlohmann::json delta = nlohmann::json::parse(value["delta"].get<std::string>());
        if (delta.contains("barred")) {
          delta["barred"].erase("add");
        }
        value["delta"] = delta.dump();
      }
      entry.bytes.clear();
      nlohmann::json::to_cbor(value, entry.bytes);
    }
  }
  nlohmann::json ClaimKnownOf(const std::string& name) override {
    return how_ == "forgets" ? nlohmann::json() : ClusterAgent::ClaimKnownOf(name);
  }

  std::string how_;
  mutable std::deque<std::pair<Time, cluster::VersionContent>> past_;
};

void Forget() {
  const ClusterConfig config =
      ReadClusterConfig(std::getenv("LB_OPERATOR"), std::getenv("LB_NAME"));
  storage::FileSystem& files = storage::SystemFiles();
  if (!files.Exists(storage::WriteAheadLog::PathIn(config.folder))) {
    return;
  }
  std::vector<std::string> records;
  storage::WriteAheadLog log(files, config.folder,
                             [&](std::string_view r) { records.emplace_back(r); });
  if (records.size() < 4 * kForgets) {
    return;
  }
  records.resize(records.size() - kForgets);
  log.Replace(records);
}

}  // namespace
}  // namespace paddlestile

int main(int argc, char** argv) {
  using namespace paddlestile;
  const std::string how = argc > 1 ? argv[1] : "";
  if (how == "forgets") {
    Forget();
  }
  ServeOptions options;
  options.membership = [how](EventLoop& loop, ClusterConfig config, Gateway& gateway,
                             Lifecycle& life, GatewayConfig file) -> std::unique_ptr<ClusterAgent> {
    return std::make_unique<Breaker>(how, loop, std::move(config), gateway, life, std::move(file));
  };
  return Serve(options);
}
