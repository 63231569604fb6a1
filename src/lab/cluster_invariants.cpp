#include "lab/cluster_invariants.h"

#include <fmt/format.h>

#include <algorithm>

namespace paddlestile::lab {
namespace {

constexpr size_t kMaxViolations = 20;

double Ms(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  return values[static_cast<size_t>(quantile * static_cast<double>(values.size() - 1))];
}

}  // namespace

void ClusterInvariantChecker::ReportViolation(Time now, const std::string& violation) {
  if (result_.broken.size() >= kMaxViolations) {
    return;
  }
  result_.broken.push_back(fmt::format("bank: {} at {:.3f} s", violation, Ms(now) / 1000));
}

size_t ClusterInvariantChecker::RecordSubmission(Time now, RequestedRules requested) {
  changes_.push_back({std::move(requested), now});
  ++result_.changes;
  return changes_.size() - 1;
}

void ClusterInvariantChecker::RecordAcknowledgement(Time now, size_t change_index,
                                                    uint64_t version) {
  Change& change = changes_[change_index];
  if (change.acknowledged_at >= Time(0)) {
    if (change.version != version) {
      ++result_.duplicated;
      ReportViolation(now, fmt::format("twice: change {} was acknowledged as version {} and as {}",
                                       change_index, change.version, version));
    }
    return;
  }
  change.acknowledged_at = now;
  change.version = version;
  ++result_.acknowledged;
  const auto [entry, inserted] = change_by_version_.emplace(version, change_index);
  if (!inserted) {
    ++result_.lost;
    ReportViolation(now, fmt::format("lost: version {} was acknowledged for change {} and for {}",
                                     version, entry->second, change_index));
  }
  if (version > changes_.size()) {
    ++result_.duplicated;
    ReportViolation(now,
                    fmt::format("twice: version {} after {} changes", version, changes_.size()));
  }
  for (size_t i = 0; i < changes_.size(); ++i) {
    const Change& other = changes_[i];
    if (other.acknowledged_at < Time(0) || other.acknowledged_at >= change.submitted ||
        other.version < version) {
      continue;
    }
    ReportViolation(
        now, fmt::format(
                 "order: change {} is version {}, though {} was acknowledged as version {} before "
                 "it was submitted",
                 change_index, version, i, other.version));
  }
}

void ClusterInvariantChecker::RecordRefusal(Time now, size_t change_index,
                                            const std::string& reason) {
  ++result_.refused;
  ReportViolation(now, fmt::format("refused: change {}: {}", change_index, reason));
}

// Until when `host`, which `change` excludes, is certainly excluded: the earliest time at which a
// change without this exclusion may have taken effect.
Time ClusterInvariantChecker::ExclusionEnd(const Change& change, size_t host) const {
  Time end = Time::max();
  for (const Change& other : changes_) {
    if (&other == &change) {
      continue;
    }
    // A change acknowledged with a lower version precedes this one.
    if (other.acknowledged_at >= Time(0) && other.version < change.version) {
      continue;
    }
    if (other.acknowledged_at < Time(0) && other.submitted < change.submitted) {
      // Not acknowledged: it may precede this change or still follow it.
      if (std::ranges::find(other.requested.excluded_hosts, host) ==
          other.requested.excluded_hosts.end()) {
        end = std::min(end, change.acknowledged_at);
      }
      continue;
    }
    if (std::ranges::find(other.requested.excluded_hosts, host) ==
        other.requested.excluded_hosts.end()) {
      end = std::min(end, other.submitted);
    }
  }
  return end;
}

void ClusterInvariantChecker::RecordReceipt(Time now, size_t host, size_t gateway,
                                            size_t request_class, Time handed_over, size_t attempt,
                                            bool excused, const std::string& id) {
  for (Change& change : changes_) {
    if (now <= change.submitted) {
      continue;
    }
    const bool excludes = std::ranges::find(change.requested.excluded_hosts, host) !=
                          change.requested.excluded_hosts.end();
    const bool extra_attempt =
        change.requested.single_attempt_class == request_class && attempt > 1;
    if (!excludes && !extra_attempt) {
      continue;
    }
    if (excludes && now < ExclusionEnd(change, host) && !excused) {
      change.last_contrary_receipt = now;
    }
    if (change.acknowledged_at < Time(0)) {
      continue;
    }
    if (excludes && now > change.acknowledged_at && now < ExclusionEnd(change, host)) {
      if (excused) {
        ++result_.sent_while_isolated;
        continue;
      }
      const Duration delay = now - change.acknowledged_at;
      result_.max_contradiction_ms = std::max(result_.max_contradiction_ms, Ms(delay));
      if (delay > bound_ + slack_) {
        ReportViolation(
            now,
            fmt::format("contradiction: host {} received {} from gateway {} {:.0f} ms after it "
                        "was acknowledged to be excluded by version {}",
                        host, id, gateway, Ms(delay), change.version));
      }
    }
    // Requests handed over under this version get one attempt; under another one they may get more.
    if (!extra_attempt || handed_over < change.acknowledged_at + bound_ + slack_) {
      continue;
    }
    const bool replaced = std::ranges::any_of(changes_, [&](const Change& other) {
      const bool later = other.acknowledged_at < Time(0) || other.version > change.version;
      return later && other.requested.single_attempt_class != request_class &&
             other.submitted < now;
    });
    if (replaced) {
      continue;
    }
    ReportViolation(
        now, fmt::format("contradiction: {} of a class with one attempt under version {} was sent "
                         "in attempt {} by gateway {}",
                         id, change.version, attempt, gateway));
  }
}

std::vector<ClusterInvariantChecker::AcknowledgedChange>
ClusterInvariantChecker::acknowledged_changes() const {
  std::vector<AcknowledgedChange> acknowledged;
  for (const Change& change : changes_) {
    if (change.acknowledged_at >= Time(0)) {
      acknowledged.push_back({change.submitted, change.acknowledged_at, change.version});
    }
  }
  return acknowledged;
}

ClusterResult ClusterInvariantChecker::Finish(Time now, Time submitted_until) {
  std::vector<double> follow_ms, latency_ms;
  std::vector<Time> acknowledged_at;
  for (const Change& change : changes_) {
    if (change.acknowledged_at < Time(0)) {
      continue;
    }
    acknowledged_at.push_back(change.acknowledged_at);
    latency_ms.push_back(Ms(change.acknowledged_at - change.submitted));
    if (!change.requested.excluded_hosts.empty()) {
      follow_ms.push_back(std::max(0.0, Ms(change.last_contrary_receipt - change.submitted)));
    }
  }
  std::ranges::sort(acknowledged_at);
  Time previous = changes_.empty() ? now : changes_.front().submitted;
  for (const Time time : acknowledged_at) {
    result_.max_unavailable_ms = std::max(result_.max_unavailable_ms, Ms(time - previous));
    previous = time;
  }
  result_.max_unavailable_ms = std::max(result_.max_unavailable_ms, Ms(submitted_until - previous));
  result_.enabled = true;
  result_.bound_ms = Ms(bound_);
  result_.follow_ms_p50 = Quantile(follow_ms, 0.5);
  result_.follow_ms_p99 = Quantile(follow_ms, 0.99);
  result_.max_follow_ms = Quantile(follow_ms, 1);
  result_.done_ms_p50 = Quantile(latency_ms, 0.5);
  result_.max_done_ms = Quantile(latency_ms, 1);
  return std::move(result_);
}

}  // namespace paddlestile::lab
