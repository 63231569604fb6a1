// An emulated host as a state machine without I/O: cores, speed, a bounded queue, waits on others,
// slow start, falling over when it is pushed while cold, and the load that it reports. The same
// model serves behind sockets and in simulated time.
#ifndef PADDLESTILE_LAB_HOST_MODEL_H_
#define PADDLESTILE_LAB_HOST_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile::lab {

struct HostTraits {
  int cores = 3;
  double speed = 1;                        // seconds of work that a core does in a second
  size_t held_most = 256;                  // requests held; beyond, one is turned away
  bool stops_work = false;                 // work that runs ends when its connection does
  Duration report_every{20'000};           // its report is as old as that at most
  double slow_start_initial_capacity = 1;  // share of its speed at its start
  Duration slow_start_duration{0};         // until it has all of it, growing evenly
  double overload_collapse_multiple =
      3;                     // of what it can do at that moment; sent more while cold for
  Duration fall{1'500'000};  //   this long, it falls over and stays down
};

class HostModel {
 public:
  // `started`: nothing for one that has run for long.
  HostModel(const HostTraits& traits, std::optional<Time> started);

  enum class Arrival {
    kTaken,
    kFull,
    kFell
  };
  // A request with this much work for a core of speed 1 and then a wait on others. kFell: this one
  // pushed it over; it does nothing from then on.
  Arrival Arrive(Time now, uint64_t job, Duration work, Duration wait);
  // Work of the host's own (a handshake, a probe); it ends unseen.
  void Burden(Time now, Duration work);
  // Nobody waits for it any more: dropped where it has not begun, else as `stops_work` says.
  void Leave(Time now, uint64_t job);

  // Does what is due by now; the jobs that ended, in their order.
  std::vector<uint64_t> Advance(Time now);
  // When Advance next has something to tell; nothing while there is nothing to do.
  [[nodiscard]] std::optional<Time> Next() const;

  // Troubles. Each holds until it is set back.
  void Slow(Time now, double factor);      // times slower; 1: as it should be
  void Neighbour(Time now, double share);  // of the cores taken by another
  void Stand(Time now, bool still);        // stands still

  [[nodiscard]] bool fallen() const { return fallen_; }
  [[nodiscard]] bool standing() const { return standing_; }
  // Requests held, waiting or running; not its own burdens.
  [[nodiscard]] size_t inflight() const { return held_; }
  // What a report says now: both figures as they stood when it was last made.
  struct Load {
    size_t inflight = 0;
    double latency_ms = 0;  // recent service time without the wait for a core
  };
  Load Report(Time now);
  // Seconds of work it can do in a second now.
  [[nodiscard]] double Capacity(Time now) const;

 private:
  static constexpr uint64_t kOwn = 0;  // the job of a burden
  struct Running {
    uint64_t job = kOwn;
    double left = 0;  // us of work
    Duration wait{0};
    Time began{0};
  };
  struct Waiting {
    uint64_t job = kOwn;
    Duration work{0}, wait{0};
  };
  [[nodiscard]] double Rate(Time now) const;  // of one core
  [[nodiscard]] bool Cold(Time now) const;
  void Progress(Time now);
  void Fill(Time now);
  bool PushedOver(Time now, Duration work);

  HostTraits traits_;
  std::optional<Time> started_;
  Time at_{0};  // all is done up to here
  std::vector<Running> running_;
  std::deque<Waiting> waiting_;
  std::vector<std::pair<Time, uint64_t>> away_;  // jobs that wait on others, a heap by time
  std::unordered_map<uint64_t, Time> began_;     // of the jobs away
  std::deque<std::pair<Time, double>> sent_;     // work that came while cold
  double sent_work_ = 0;
  std::vector<uint64_t> done_;  // not yet told
  size_t held_ = 0;
  double slow_ = 1, taken_ = 0;
  bool standing_ = false, fallen_ = false;
  double latency_ms_ = 0;
  Load report_;
  Time reported_{-1};
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_HOST_MODEL_H_
