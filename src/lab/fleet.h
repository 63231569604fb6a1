// Emulated hosts behind sockets: each a model with a listener, its connections and its troubles.
// Which hosts are chosen for a fault, and what befalls a request, is drawn from the seed alone.
#ifndef PADDLESTILE_LAB_FLEET_H_
#define PADDLESTILE_LAB_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "lab/experiment.h"
#include "lab/ledger.h"

namespace paddlestile::lab {

enum class Phase {
  kActive,
  kLeaving,
  kLeft
};

// A host as a source of servers tells of it.
struct ListedHost {
  size_t host = 0;  // its place in the fleet and in the ledger
  std::string id;
  Address address;
  std::string zone, kind;
  int cell = 0;
  Phase phase = Phase::kActive;
  int64_t up_since_ms = 0;  // Unix time; 0: long ago
};

class Fleet {
 public:
  // `changed`: what the source of servers is to tell, after this long.
  using Changed = std::function<void(const ListedHost&, Duration lag)>;
  Fleet(EventLoop& loop, const Experiment& experiment, Ledger& ledger, uint64_t seed,
        Changed changed);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Brings up all hosts of the experiment; throws std::system_error.
  void Start();
  // The experiment's time 0.
  void Begin(Time zero) { zero_ = zero; }

  [[nodiscard]] std::vector<ListedHost> List() const;
  // What a fault is to befall; drawn once, in the order of the faults.
  std::vector<size_t> Choose(const Fault& fault);
  void Begin(const Fault& fault, const std::vector<size_t>& hosts);
  void End(const Fault& fault, const std::vector<size_t>& hosts);

  // Of the hosts that run: name and requests held.
  [[nodiscard]] std::vector<std::pair<std::string, size_t>> InFlight() const;
  [[nodiscard]] size_t connections() const;
  [[nodiscard]] size_t size() const { return hosts_.size(); }

 private:
  class Host;
  class Connection;
  struct Profile {
    const HostGroup* group = nullptr;
    double speed = 1;
    double report_ms = 20;
  };
  size_t Add(const Profile& profile, const std::string& name, const Address& address,
             std::optional<Time> started);
  void Restart(size_t host, Duration down, Duration lag);
  [[nodiscard]] Time Now() const { return loop_.Now() - zero_; }

  EventLoop& loop_;
  const Experiment& experiment_;
  Ledger& ledger_;
  uint64_t seed_;
  Changed changed_;
  Time zero_{0};
  std::mt19937_64 rng_;
  std::vector<std::unique_ptr<Host>> hosts_;
  void Tidy();
  EventLoop::TimerId tidy_;
  size_t addresses_ = 0, added_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_FLEET_H_
