// Determines which delays are permitted because the lab stopped gateway processes: responses may be
// late by the time for which the process was stopped. No I/O; all times are relative to the start
// of the experiment.
#ifndef PADDLESTILE_LAB_STOPPED_PROCESSES_H_
#define PADDLESTILE_LAB_STOPPED_PROCESSES_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/address.h"
#include "base/time.h"
#include "lab/ledger.h"

namespace paddlestile::lab {

class StoppedProcesses {
 public:
  // The only process of a gateway is stopped, as planned until `to`. Returns the number of the
  // stop, for Continue.
  size_t StopGateway(size_t gateway, Time from, Time to);
  // One of the two processes of a hot restart is stopped, as planned until `to`. `accepted`: the
  // client addresses of its connections. The other process has to accept queued connections within
  // `queue_bound`.
  size_t StopHotRestartProcess(size_t gateway, Time from, Time to, std::vector<Address> accepted,
                               Duration queue_bound);
  // The process was continued, possibly later than planned if the lab was late.
  void Continue(size_t stop, Time now);
  // Whether RecordQueued has to be called for a gateway.
  [[nodiscard]] bool WatchesQueue(size_t gateway, Time now) const;
  // The connections of these clients are in the accept queue. Call it every 50 ms while
  // WatchesQueue is true.
  void RecordQueued(size_t gateway, Time now, const std::vector<Address>& clients);

  // By how much the response may be late to a request that was sent on this client's connection:
  // time does not count while no running process holds the connection.
  [[nodiscard]] std::optional<Ledger::Delay> DelayOf(size_t gateway, const Address& client,
                                                     Time sent_at, Time deadline) const;

 private:
  struct QueuedConnection {
    Address client;
    Time first_seen{0}, last_seen{0};
  };
  struct Stop {
    size_t gateway = 0;
    Time from{0}, to{0};
    bool is_hot_restart = false;  // the following fields apply only to such a stop
    std::vector<Address> accepted = {};
    Duration queue_bound{0};
    std::vector<QueuedConnection> queued = {};
  };
  static bool WatchesQueue(const Stop& stop, size_t gateway, Time now);
  static std::optional<Ledger::Delay> DelayByStop(const Stop& stop, const Address& client,
                                                  Time sent_at, Time deadline);

  std::vector<Stop> stops_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_STOPPED_PROCESSES_H_
