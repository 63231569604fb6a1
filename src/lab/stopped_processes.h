// What the script's stops of gateway processes must cost: answers that are late by the time that a
// process stood, and nothing else. No I/O; all times are the experiment's own.
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
  // The only process of a gateway is stopped until `to`, as planned. Its number, for Continue.
  size_t StopGateway(size_t gateway, Time from, Time to);
  // One of the two processes of a hot restart is stopped until `to`, as planned. `accepted`: the
  // clients' ends of the connections that it holds. The other one has to accept what is queued
  // within `queue_bound`.
  size_t StopOneOfTwo(size_t gateway, Time from, Time to, std::vector<Address> accepted,
                      Duration queue_bound);
  // It goes on, later than planned where the lab was late.
  void Continue(size_t stop, Time now);
  // Whether Queued wants to hear what is in the queue of a gateway.
  [[nodiscard]] bool WatchesQueue(size_t gateway, Time now) const;
  // Nobody has accepted these connections of clients yet. To be called each 50 ms.
  void Queued(size_t gateway, Time now, const std::vector<Address>& clients);

  // By how much the answer to a request may be late that was handed over on this client's
  // connection: its time stands still while no running process has it.
  [[nodiscard]] std::optional<Ledger::Delay> DelayOf(size_t gateway, const Address& client,
                                                     Time handed, Time deadline) const;

 private:
  struct QueuedConnection {
    Address client;
    Time first_seen{0}, last_seen{0};
  };
  struct Stop {
    size_t gateway = 0;
    Time from{0}, to{0};
    bool is_one_of_two = false;  // the others are for such a stop
    std::vector<Address> accepted = {};
    Duration queue_bound{0};
    std::vector<QueuedConnection> queued = {};
  };
  static bool WatchesQueue(const Stop& stop, size_t gateway, Time now);
  static std::optional<Ledger::Delay> DelayBy(const Stop& stop, const Address& client, Time handed,
                                              Time deadline);

  std::vector<Stop> stops_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_STOPPED_PROCESSES_H_
