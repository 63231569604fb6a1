// Emulated hosts on sockets: each is a HostModel with a listener, connections and faults. The hosts
// chosen for a fault and the affected requests depend only on the seed.
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

// A host as discovery lists it.
struct ListedHost {
  size_t host_index = 0;  // index in the fleet and in the ledger
  std::string id;
  Address address;
  std::string zone, kind;
  int cell = 0;
  Phase phase = Phase::kActive;
  int64_t started_at_unix_ms = 0;  // Unix time; 0: long before the start
};

class Fleet {
 public:
  // Called when discovery has to report a host; `lag` delays the report.
  using HostChangeCallback = std::function<void(const ListedHost&, Duration lag)>;
  Fleet(EventLoop& loop, const Experiment& experiment, Ledger& ledger, uint64_t seed,
        HostChangeCallback on_host_change);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all hosts of the experiment. Throws std::system_error.
  void Start();
  // Sets the time of the loop at which the experiment starts.
  void SetStartTime(Time start_time) { start_time_ = start_time; }

  [[nodiscard]] std::vector<ListedHost> ListHosts() const;
  // The hosts that a fault affects. Draws from the seed, so call it once per fault, in order.
  std::vector<size_t> ChooseHosts(const Fault& fault);
  void BeginFault(const Fault& fault, const std::vector<size_t>& hosts);
  void EndFault(const Fault& fault, const std::vector<size_t>& hosts);

  // Id and number of requests in flight of each running host.
  [[nodiscard]] std::vector<std::pair<std::string, size_t>> InFlight() const;
  [[nodiscard]] size_t connections() const;
  [[nodiscard]] size_t size() const { return hosts_.size(); }

 private:
  class Host;
  class Connection;
  struct Profile {
    const HostGroup* group = nullptr;
    double speed = 1;
    double report_interval_ms = 20;
  };
  size_t AddHost(const Profile& profile, const std::string& name, const Address& address,
                 std::optional<Time> started);
  void RestartHost(size_t index, Duration downtime, Duration lag);
  [[nodiscard]] Time Now() const { return loop_.Now() - start_time_; }

  EventLoop& loop_;
  const Experiment& experiment_;
  Ledger& ledger_;
  uint64_t seed_;
  HostChangeCallback on_host_change_;
  Time start_time_{0};
  std::mt19937_64 rng_;
  std::vector<std::unique_ptr<Host>> hosts_;
  void ScheduleIdleCheck();
  EventLoop::TimerId idle_check_timer_;
  size_t used_addresses_ = 0, added_hosts_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_FLEET_H_
