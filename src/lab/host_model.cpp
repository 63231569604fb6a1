#include "lab/host_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace paddlestile::lab {
namespace {
constexpr double kLatencyBlend = 0.1;  // weight of one request in the reported latency
constexpr Duration kWarmStep{50'000};  // us; how often the speed of a warming host is set anew
double Us(Duration d) {
  return static_cast<double>(d.count());
}
}  // namespace

HostModel::HostModel(const HostTraits& traits, std::optional<Time> started)
    : traits_(traits), started_(started) {}

bool HostModel::Cold(Time now) const {
  return started_ && now - *started_ < traits_.slow_start_duration;
}

double HostModel::Rate(Time now) const {
  if (standing_ || fallen_) {
    return 0;
  }
  double warm = 1;
  if (Cold(now)) {
    const double age = std::max(0.0, Us(now - *started_) / Us(traits_.slow_start_duration));
    warm = traits_.slow_start_initial_capacity + (1 - traits_.slow_start_initial_capacity) * age;
  }
  return traits_.speed * warm * (1 - taken_) / slow_;
}

double HostModel::Capacity(Time now) const {
  return Rate(now) * traits_.cores;
}

bool HostModel::PushedOver(Time now, Duration work) {
  if (!Cold(now)) {
    sent_.clear();
    sent_work_ = 0;
    return false;
  }
  sent_.emplace_back(now, Us(work));
  sent_work_ += Us(work);
  while (now - sent_.front().first > traits_.fall) {
    sent_work_ -= sent_.front().second;
    sent_.pop_front();
  }
  // By what it could do without its present troubles: those are not the senders' doing.
  const double age = std::max(0.0, Us(now - *started_) / Us(traits_.slow_start_duration));
  const double can =
      traits_.cores * traits_.speed *
      (traits_.slow_start_initial_capacity + (1 - traits_.slow_start_initial_capacity) * age) *
      Us(traits_.fall);
  return sent_work_ > traits_.overload_collapse_multiple * can;
}

HostModel::Arrival HostModel::Arrive(Time now, uint64_t job, Duration work, Duration wait) {
  Progress(now);
  if (fallen_) {
    return Arrival::kFull;
  }
  if (PushedOver(now, work)) {
    fallen_ = true;
    running_.clear();
    waiting_.clear();
    away_.clear();
    began_.clear();
    held_ = 0;
    return Arrival::kFell;
  }
  if (held_ >= traits_.held_most) {
    return Arrival::kFull;
  }
  ++held_;
  waiting_.push_back({job, work, wait});
  Fill(now);
  return Arrival::kTaken;
}

void HostModel::Burden(Time now, Duration work) {
  Progress(now);
  if (fallen_ || work <= Duration(0)) {
    return;
  }
  waiting_.push_front({kOwn, work, Duration(0)});
  Fill(now);
}

void HostModel::Fill(Time now) {
  while (!waiting_.empty() && running_.size() < static_cast<size_t>(traits_.cores)) {
    const Waiting next = waiting_.front();
    waiting_.pop_front();
    running_.push_back({next.job, Us(next.work), next.wait, now});
  }
}

void HostModel::Leave(Time now, uint64_t job) {
  Progress(now);
  const auto waits = std::ranges::find(waiting_, job, &Waiting::job);
  if (waits != waiting_.end()) {
    waiting_.erase(waits);
    --held_;
    return;
  }
  if (!traits_.stops_work) {
    return;
  }
  const auto runs = std::ranges::find(running_, job, &Running::job);
  if (runs != running_.end()) {
    running_.erase(runs);
    --held_;
    Fill(now);
    return;
  }
  if (began_.erase(job) > 0) {
    std::erase_if(away_, [&](const auto& entry) { return entry.second == job; });
    std::ranges::make_heap(away_, std::greater<>());
    --held_;
  }
}

std::vector<uint64_t> HostModel::Advance(Time now) {
  Progress(now);
  return std::exchange(done_, {});
}

void HostModel::Progress(Time now) {
  // In steps from one end of work to the next, so that a core that becomes free takes its next job
  // at that moment and not at this call.
  while (at_ < now && !running_.empty()) {
    const double rate = Rate(at_);
    Duration step = now - at_;
    if (Cold(at_)) {
      step = std::min(step, kWarmStep);
    }
    if (rate > 0) {
      for (const Running& r : running_) {
        step = std::min(step, Duration(static_cast<int64_t>(std::ceil(r.left / rate))));
      }
    }
    at_ += step;
    for (Running& r : running_) {
      r.left -= rate * Us(step);
    }
    for (size_t i = 0; i < running_.size();) {
      const Running r = running_[i];
      if (r.left > 0.5) {
        ++i;
        continue;
      }
      running_.erase(running_.begin() + static_cast<long>(i));
      if (r.job == kOwn) {
        continue;
      }
      began_[r.job] = r.began;
      away_.emplace_back(at_ + r.wait, r.job);
      std::ranges::push_heap(away_, std::greater<>());
    }
    Fill(at_);
  }
  at_ = std::max(at_, now);
  while (!standing_ && !away_.empty() && away_.front().first <= now) {
    std::ranges::pop_heap(away_, std::greater<>());
    const auto [ready, job] = away_.back();
    away_.pop_back();
    const double took = Us(ready - began_[job]) / 1000;
    latency_ms_ = latency_ms_ == 0 ? took : latency_ms_ + kLatencyBlend * (took - latency_ms_);
    began_.erase(job);
    --held_;
    done_.push_back(job);
  }
}

std::optional<Time> HostModel::Next() const {
  if (standing_ || fallen_) {
    return std::nullopt;
  }
  std::optional<Time> next;
  const auto at = [&](Time t) {
    next = next ? std::min(*next, t) : t;
  };
  if (!away_.empty()) {
    at(away_.front().first);
  }
  const double rate = Rate(at_);
  for (const Running& r : running_) {
    if (rate > 0) {
      at(at_ + Duration(static_cast<int64_t>(std::ceil(std::max(0.0, r.left) / rate))));
    }
  }
  return next;
}

void HostModel::Slow(Time now, double factor) {
  Progress(now);
  slow_ = std::max(factor, 1e-3);
}
void HostModel::Neighbour(Time now, double share) {
  Progress(now);
  taken_ = std::clamp(share, 0.0, 0.99);
}
void HostModel::Stand(Time now, bool still) {
  Progress(now);
  standing_ = still;
}

HostModel::Load HostModel::Report(Time now) {
  Progress(now);
  if (reported_ < Time(0) || now - reported_ >= traits_.report_every) {
    reported_ = now;
    report_ = {held_, latency_ms_};
  }
  return report_;
}

}  // namespace paddlestile::lab
