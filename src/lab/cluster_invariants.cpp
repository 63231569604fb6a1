#include "lab/cluster_invariants.h"

#include <fmt/format.h>

#include <algorithm>

namespace paddlestile::lab {
namespace {

constexpr size_t kBrokenMost = 20;

double Ms(Duration d) {
  return static_cast<double>(d.count()) / 1000;
}

double At(std::vector<double>& of, double part) {
  if (of.empty()) {
    return 0;
  }
  std::ranges::sort(of);
  return of[static_cast<size_t>(part * static_cast<double>(of.size() - 1))];
}

}  // namespace

void BankJudge::Break(Time now, const std::string& what) {
  if (r_.broken.size() >= kBrokenMost) {
    return;
  }
  r_.broken.push_back(fmt::format("bank: {} at {:.3f} s", what, Ms(now) / 1000));
}

size_t BankJudge::Submitted(Time now, Wanted wanted) {
  changes_.push_back({std::move(wanted), now});
  ++r_.changes;
  return changes_.size() - 1;
}

void BankJudge::ToldDone(Time now, size_t n, uint64_t version) {
  Change& change = changes_[n];
  if (change.done >= Time(0)) {
    if (change.version != version) {
      ++r_.twice;
      Break(now, fmt::format("twice: change {} was told as version {} and as {}", n, change.version,
                             version));
    }
    return;
  }
  change.done = now;
  change.version = version;
  ++r_.told_done;
  const auto [at, fresh] = by_version_.emplace(version, n);
  if (!fresh) {
    ++r_.lost;
    Break(now, fmt::format("lost: version {} was told for change {} and for {}", version,
                           at->second, n));
  }
  if (version > changes_.size()) {
    ++r_.twice;
    Break(now, fmt::format("twice: version {} after {} changes", version, changes_.size()));
  }
  for (size_t i = 0; i < changes_.size(); ++i) {
    const Change& other = changes_[i];
    if (other.done < Time(0) || other.done >= change.submitted || other.version < version) {
      continue;
    }
    Break(now,
          fmt::format("order: change {} is version {}, though {} was told as version {} before "
                      "it was submitted",
                      n, version, i, other.version));
  }
}

void BankJudge::Refused(Time now, size_t n, const std::string& why) {
  ++r_.refused;
  Break(now, fmt::format("refused: change {}: {}", n, why));
}

// Until when a host that this change bars is surely barred: until somebody wanted it back.
Time BankJudge::Ends(const Change& change, size_t host) const {
  Time ends = Time::max();
  for (const Change& other : changes_) {
    if (&other == &change) {
      continue;
    }
    // One that was told before this one was submitted is behind it.
    if (other.done >= Time(0) && other.version < change.version) {
      continue;
    }
    if (other.done < Time(0) && other.submitted < change.submitted) {
      // Not told: it may have come before or may still come.
      if (std::ranges::find(other.wanted.barred, host) == other.wanted.barred.end()) {
        ends = std::min(ends, change.done);
      }
      continue;
    }
    if (std::ranges::find(other.wanted.barred, host) == other.wanted.barred.end()) {
      ends = std::min(ends, other.submitted);
    }
  }
  return ends;
}

void BankJudge::Received(Time now, size_t host, size_t gateway, size_t cls, Time handed,
                         size_t copy, bool excused, const std::string& id) {
  for (Change& change : changes_) {
    if (now <= change.submitted) {
      continue;
    }
    const bool bars = std::ranges::find(change.wanted.barred, host) != change.wanted.barred.end();
    const bool once = change.wanted.once == cls && copy > 1;
    if (!bars && !once) {
      continue;
    }
    if (bars && now < Ends(change, host) && !excused) {
      change.last_against = now;
    }
    if (change.done < Time(0)) {
      continue;
    }
    if (bars && now > change.done && now < Ends(change, host)) {
      if (excused) {
        ++r_.sent_while_alone;
        continue;
      }
      const Duration late = now - change.done;
      r_.contradiction_ms_most = std::max(r_.contradiction_ms_most, Ms(late));
      if (late > bound_ + slack_) {
        Break(now,
              fmt::format("contradiction: host {} received {} from gateway {} {:.0f} ms after it "
                          "was told to be barred by version {}",
                          host, id, gateway, Ms(late), change.version));
      }
    }
    // What was handed over under it is sent once; under another it may be sent again.
    if (!once || handed < change.done + bound_ + slack_) {
      continue;
    }
    const bool over = std::ranges::any_of(changes_, [&](const Change& other) {
      const bool later = other.done < Time(0) || other.version > change.version;
      return later && other.wanted.once != cls && other.submitted < now;
    });
    if (over) {
      continue;
    }
    Break(now,
          fmt::format("contradiction: {} of a class that version {} lets be sent once was sent "
                      "a {}th time by gateway {}",
                      id, change.version, copy, gateway));
  }
}

std::vector<BankJudge::Told> BankJudge::told() const {
  std::vector<Told> all;
  for (const Change& change : changes_) {
    if (change.done >= Time(0)) {
      all.push_back({change.submitted, change.done, change.version});
    }
  }
  return all;
}

BankResult BankJudge::Finish(Time now, Time asked_until) {
  std::vector<double> follow, done;
  std::vector<Time> told;
  for (const Change& change : changes_) {
    if (change.done < Time(0)) {
      continue;
    }
    told.push_back(change.done);
    done.push_back(Ms(change.done - change.submitted));
    if (!change.wanted.barred.empty()) {
      follow.push_back(std::max(0.0, Ms(change.last_against - change.submitted)));
    }
  }
  std::ranges::sort(told);
  Time before = changes_.empty() ? now : changes_.front().submitted;
  for (const Time at : told) {
    r_.unavailable_ms_most = std::max(r_.unavailable_ms_most, Ms(at - before));
    before = at;
  }
  r_.unavailable_ms_most = std::max(r_.unavailable_ms_most, Ms(asked_until - before));
  r_.on = true;
  r_.bound_ms = Ms(bound_);
  r_.follow_ms_p50 = At(follow, 0.5);
  r_.follow_ms_p99 = At(follow, 0.99);
  r_.follow_ms_most = At(follow, 1);
  r_.done_ms_p50 = At(done, 0.5);
  r_.done_ms_most = At(done, 1);
  return std::move(r_);
}

}  // namespace paddlestile::lab
