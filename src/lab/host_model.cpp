#include "lab/host_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace paddlestile::lab {
namespace {
constexpr double kLatencySmoothing = 0.1;  // weight of one request in the reported latency
constexpr Duration kWarmUpStep{50'000};  // us; step at which the speed of a warming host is updated
double Microseconds(Duration duration) {
  return static_cast<double>(duration.count());
}
}  // namespace

HostModel::HostModel(const HostTraits& traits, std::optional<Time> started)
    : traits_(traits), started_(started) {}

bool HostModel::IsWarmingUp(Time now) const {
  return started_ && now - *started_ < traits_.slow_start_duration;
}

double HostModel::CoreRate(Time now) const {
  if (stalled_ || collapsed_) {
    return 0;
  }
  double warm_up = 1;
  if (IsWarmingUp(now)) {
    const double age =
        std::max(0.0, Microseconds(now - *started_) / Microseconds(traits_.slow_start_duration));
    warm_up = traits_.slow_start_initial_capacity + (1 - traits_.slow_start_initial_capacity) * age;
  }
  return traits_.speed * warm_up * (1 - neighbour_share_) / slowdown_;
}

double HostModel::Capacity(Time now) const {
  return CoreRate(now) * traits_.cores;
}

bool HostModel::OverloadsColdHost(Time now, Duration work) {
  if (!IsWarmingUp(now)) {
    cold_arrivals_.clear();
    cold_work_us_ = 0;
    return false;
  }
  cold_arrivals_.emplace_back(now, Microseconds(work));
  cold_work_us_ += Microseconds(work);
  while (now - cold_arrivals_.front().first > traits_.overload_collapse_duration) {
    cold_work_us_ -= cold_arrivals_.front().second;
    cold_arrivals_.pop_front();
  }
  // Compares with the capacity without current faults, which the senders did not cause.
  const double age =
      std::max(0.0, Microseconds(now - *started_) / Microseconds(traits_.slow_start_duration));
  const double capacity_us =
      traits_.cores * traits_.speed *
      (traits_.slow_start_initial_capacity + (1 - traits_.slow_start_initial_capacity) * age) *
      Microseconds(traits_.overload_collapse_duration);
  return cold_work_us_ > traits_.overload_collapse_multiple * capacity_us;
}

HostModel::Arrival HostModel::Arrive(Time now, uint64_t job, Duration work, Duration wait) {
  AdvanceTo(now);
  if (collapsed_) {
    return Arrival::kFull;
  }
  if (OverloadsColdHost(now, work)) {
    collapsed_ = true;
    running_.clear();
    waiting_.clear();
    external_waits_.clear();
    started_at_.clear();
    held_requests_ = 0;
    return Arrival::kCollapsed;
  }
  if (held_requests_ >= traits_.max_held_requests) {
    return Arrival::kFull;
  }
  ++held_requests_;
  waiting_.push_back({job, work, wait});
  StartWaitingJobs(now);
  return Arrival::kAccepted;
}

void HostModel::AddInternalWork(Time now, Duration work) {
  AdvanceTo(now);
  if (collapsed_ || work <= Duration(0)) {
    return;
  }
  waiting_.push_front({kInternalJob, work, Duration(0)});
  StartWaitingJobs(now);
}

void HostModel::StartWaitingJobs(Time now) {
  while (!waiting_.empty() && running_.size() < static_cast<size_t>(traits_.cores)) {
    const Waiting next = waiting_.front();
    waiting_.pop_front();
    running_.push_back({next.job, Microseconds(next.work), next.wait, now});
  }
}

void HostModel::CancelJob(Time now, uint64_t job) {
  AdvanceTo(now);
  const auto waiting = std::ranges::find(waiting_, job, &Waiting::job);
  if (waiting != waiting_.end()) {
    waiting_.erase(waiting);
    --held_requests_;
    return;
  }
  if (!traits_.cancels_work_on_disconnect) {
    return;
  }
  const auto running = std::ranges::find(running_, job, &Running::job);
  if (running != running_.end()) {
    running_.erase(running);
    --held_requests_;
    StartWaitingJobs(now);
    return;
  }
  if (started_at_.erase(job) > 0) {
    std::erase_if(external_waits_, [&](const auto& entry) { return entry.second == job; });
    std::ranges::make_heap(external_waits_, std::greater<>());
    --held_requests_;
  }
}

std::vector<uint64_t> HostModel::Advance(Time now) {
  AdvanceTo(now);
  return std::exchange(completed_, {});
}

void HostModel::AdvanceTo(Time now) {
  // Advances from one completion to the next, so that a free core starts its next job at that time
  // and not at the time of this call.
  while (current_time_ < now && !running_.empty()) {
    const double rate = CoreRate(current_time_);
    Duration step = now - current_time_;
    if (IsWarmingUp(current_time_)) {
      step = std::min(step, kWarmUpStep);
    }
    if (rate > 0) {
      for (const Running& running : running_) {
        step =
            std::min(step, Duration(static_cast<int64_t>(std::ceil(running.remaining_us / rate))));
      }
    }
    current_time_ += step;
    for (Running& running : running_) {
      running.remaining_us -= rate * Microseconds(step);
    }
    for (size_t i = 0; i < running_.size();) {
      const Running running = running_[i];
      if (running.remaining_us > 0.5) {
        ++i;
        continue;
      }
      running_.erase(running_.begin() + static_cast<long>(i));
      if (running.job == kInternalJob) {
        continue;
      }
      started_at_[running.job] = running.started_at;
      external_waits_.emplace_back(current_time_ + running.wait, running.job);
      std::ranges::push_heap(external_waits_, std::greater<>());
    }
    StartWaitingJobs(current_time_);
  }
  current_time_ = std::max(current_time_, now);
  while (!stalled_ && !external_waits_.empty() && external_waits_.front().first <= now) {
    std::ranges::pop_heap(external_waits_, std::greater<>());
    const auto [ready, job] = external_waits_.back();
    external_waits_.pop_back();
    const double took_ms = Microseconds(ready - started_at_[job]) / 1000;
    latency_ms_ =
        latency_ms_ == 0 ? took_ms : latency_ms_ + kLatencySmoothing * (took_ms - latency_ms_);
    started_at_.erase(job);
    --held_requests_;
    completed_.push_back(job);
  }
}

std::optional<Time> HostModel::NextCompletion() const {
  if (stalled_ || collapsed_) {
    return std::nullopt;
  }
  std::optional<Time> next;
  const auto consider = [&](Time time) {
    next = next ? std::min(*next, time) : time;
  };
  if (!external_waits_.empty()) {
    consider(external_waits_.front().first);
  }
  const double rate = CoreRate(current_time_);
  for (const Running& running : running_) {
    if (rate > 0) {
      consider(current_time_ + Duration(static_cast<int64_t>(
                                   std::ceil(std::max(0.0, running.remaining_us) / rate))));
    }
  }
  return next;
}

void HostModel::SetSlowdown(Time now, double factor) {
  AdvanceTo(now);
  slowdown_ = std::max(factor, 1e-3);
}
void HostModel::SetNeighbourShare(Time now, double share) {
  AdvanceTo(now);
  neighbour_share_ = std::clamp(share, 0.0, 0.99);
}
void HostModel::SetStalled(Time now, bool still) {
  AdvanceTo(now);
  stalled_ = still;
}

HostModel::Load HostModel::Report(Time now) {
  AdvanceTo(now);
  if (reported_at_ < Time(0) || now - reported_at_ >= traits_.report_interval) {
    reported_at_ = now;
    report_ = {held_requests_, latency_ms_};
  }
  return report_;
}

}  // namespace paddlestile::lab
