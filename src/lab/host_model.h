// A model of a host without I/O: cores, speed, a bounded queue, waits without CPU use, slow start,
// collapse under overload while cold, and the load that it reports. Used by the emulated hosts on
// sockets and in simulated time.
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
  double speed = 1;                         // seconds of work that one core does in a second
  size_t max_held_requests = 256;           // requests beyond this many are rejected
  bool cancels_work_on_disconnect = false;  // running work is cancelled when its connection closes
  Duration report_interval{20'000};         // maximum age of the load report
  double slow_start_initial_capacity = 1;   // share of the full speed at its start
  Duration slow_start_duration{0};          // time until full speed; the speed increases linearly
  // A cold host that receives more than this multiple of its capacity within
  // `overload_collapse_duration` collapses and stays down.
  double overload_collapse_multiple = 3;
  Duration overload_collapse_duration{1'500'000};
};

class HostModel {
 public:
  // `started`: when the host started; nullopt for a host that is already warm.
  HostModel(const HostTraits& traits, std::optional<Time> started);

  enum class Arrival {
    kAccepted,
    kFull,
    kCollapsed
  };
  // Adds a request: `work` is the CPU time at speed 1, followed by `wait` without CPU use.
  // kCollapsed: this request overloaded the host, which does nothing from then on.
  Arrival Arrive(Time now, uint64_t job, Duration work, Duration wait);
  // Adds work of the host itself (a handshake, a probe), which Advance does not report.
  void AddInternalWork(Time now, Duration work);
  // The client no longer waits for the job. A queued job is dropped; a running one is cancelled if
  // `cancels_work_on_disconnect` is set.
  void CancelJob(Time now, uint64_t job);

  // Advances the model to `now` and returns the completed jobs in order of completion.
  std::vector<uint64_t> Advance(Time now);
  // The next time at which Advance has to be called; nullopt if no work is pending.
  [[nodiscard]] std::optional<Time> NextCompletion() const;

  // Faults. Each stays in force until it is reset.
  void SetSlowdown(Time now, double factor);  // 1: full speed
  // Share of the CPU taken by another tenant of the machine.
  void SetNeighbourShare(Time now, double share);
  void SetStalled(Time now, bool stalled);

  [[nodiscard]] bool collapsed() const { return collapsed_; }
  [[nodiscard]] bool stalled() const { return stalled_; }
  // Requests that wait or run, without the host's internal work.
  [[nodiscard]] size_t inflight() const { return held_requests_; }
  // The load report. Both values date from when the report was last updated.
  struct Load {
    size_t inflight = 0;
    double latency_ms = 0;  // recent service time, without queueing
  };
  Load Report(Time now);
  // Seconds of work that the host can do per second now.
  [[nodiscard]] double Capacity(Time now) const;

 private:
  static constexpr uint64_t kInternalJob = 0;  // the job id of internal work
  struct Running {
    uint64_t job = kInternalJob;
    double remaining_us = 0;  // us of work at speed 1
    Duration wait{0};
    Time started_at{0};
  };
  struct Waiting {
    uint64_t job = kInternalJob;
    Duration work{0}, wait{0};
  };
  [[nodiscard]] double CoreRate(Time now) const;  // work per unit of time of one core
  [[nodiscard]] bool IsWarmingUp(Time now) const;
  void AdvanceTo(Time now);
  void StartWaitingJobs(Time now);
  bool OverloadsColdHost(Time now, Duration work);

  HostTraits traits_;
  std::optional<Time> started_;
  Time current_time_{0};  // the state is advanced to this time
  std::vector<Running> running_;
  std::deque<Waiting> waiting_;
  std::vector<std::pair<Time, uint64_t>> external_waits_;  // a min-heap by end time
  std::unordered_map<uint64_t, Time> started_at_;  // start times of the jobs in external_waits_
  // Work that arrived within the collapse duration, while cold.
  std::deque<std::pair<Time, double>> cold_arrivals_;
  double cold_work_us_ = 0;
  std::vector<uint64_t> completed_;  // not yet returned by Advance
  size_t held_requests_ = 0;
  double slowdown_ = 1, neighbour_share_ = 0;
  bool stalled_ = false, collapsed_ = false;
  double latency_ms_ = 0;
  Load report_;
  Time reported_at_{-1};
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_HOST_MODEL_H_
