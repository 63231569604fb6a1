#include "lab/scale_figures.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace paddlestile::lab {
namespace {

constexpr size_t kBrokenMost = 10;
using What = SimulatedMemberRecord::State;

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

bool Acts(const SimulatedMemberRecord& line, uint64_t version) {
  return line.state == What::kAgreed && line.version_in_force >= version;
}

}  // namespace

namespace {

// How long a member acted on a version after another had acted on a later one. `first`: when
// the first member acted on a version or a later one. `broken` takes a line for each time past the
// bound of `terms`.
template <typename Broken>
void JudgeContradictions(size_t m, const std::vector<SimulatedMemberRecord>& of,
                         const std::map<uint64_t, Duration>& first, const HollowTerms& terms,
                         ScaleFigures& figures, const Broken& broken) {
  const bool stalled = m >= terms.stalled_from && m < terms.stalled_to;
  for (size_t i = 0; i < of.size(); ++i) {
    if (of[i].state != What::kAgreed) {
      continue;
    }
    const Duration until = i + 1 < of.size() ? of[i + 1].at : terms.end;
    const auto later = first.upper_bound(of[i].version_in_force);
    if (later == first.end() || until <= later->second) {
      continue;
    }
    const Duration both = until - std::max(of[i].at, later->second);
    // A process that was stopped writes its line once it goes on, and acted on nothing meanwhile.
    const Duration excused = stalled ? terms.stalled : Duration(0);
    figures.contradiction_ms_most = std::max(figures.contradiction_ms_most, Ms(both - excused));
    if (both > terms.bound + excused) {
      broken(fmt::format("contradiction: {} acted on version {} for {:.0f} ms beside {}",
                         SimulatedMemberName(m), of[i].version_in_force, Ms(both), later->first));
    }
  }
}

}  // namespace

void JudgeHollow(std::vector<SimulatedMemberRecord> lines, const std::vector<ToldChange>& changes,
                 const HollowTerms& terms, ScaleFigures& figures) {
  const auto breaks = [&](std::string what) {
    if (figures.broken.size() < kBrokenMost) {
      figures.broken.push_back("scale: " + std::move(what));
    }
  };
  std::ranges::stable_sort(lines, {}, &SimulatedMemberRecord::at);
  std::vector<std::vector<SimulatedMemberRecord>> by_member(terms.hollow);
  std::map<uint64_t, Duration> first;  // when the first acted on a version or a later one
  for (const SimulatedMemberRecord& line : lines) {
    if (line.member >= terms.hollow) {
      breaks(fmt::format("a line of member {}, expected one below {}", line.member, terms.hollow));
      continue;
    }
    by_member[line.member].push_back(line);
    if (line.state == What::kAgreed) {
      first.emplace(line.version_in_force, line.at);
    }
  }
  uint64_t last = 0;
  for (const ToldChange& c : changes) {
    last = std::max(last, c.version);
  }

  std::vector<double> in_force;
  for (size_t m = 0; m < terms.hollow; ++m) {
    const std::vector<SimulatedMemberRecord>& of = by_member[m];
    if (of.empty() || of.back().state == What::kDown) {
      breaks(fmt::format("level: {} is not there at the end", SimulatedMemberName(m)));
      continue;
    }
    if (Acts(of.back(), last) && of.back().version_in_force == last) {
      ++figures.members_in_force;
    } else {
      breaks(fmt::format("level: {} is at version {} of {} at the end", SimulatedMemberName(m),
                         of.back().version_in_force, last));
    }
    for (const ToldChange& c : changes) {
      const auto from = std::ranges::find_if(of, [&](const SimulatedMemberRecord& l) {
        return l.at >= c.submitted && Acts(l, c.version);
      });
      if (from == of.end()) {
        continue;  // told above, where it stays so
      }
      if (c.submitted < terms.from) {
        continue;
      }
      if (c.submitted < terms.faults) {
        in_force.push_back(Ms(from->at - c.submitted));
        continue;
      }
      // One that was down meanwhile had as long as it was up.
      Duration since = c.submitted;
      for (auto l = of.begin(); l != from; ++l) {
        if (l->state == What::kUp) {
          since = std::max(since, l->at);
        }
      }
      figures.faults_in_force_ms_most =
          std::max(figures.faults_in_force_ms_most, Ms(from->at - since));
    }
    // Those that came back, until they were level with what had been told by then.
    for (auto up = of.begin(); up != of.end(); ++up) {
      if (up->state != What::kUp || up == of.begin()) {
        continue;
      }
      ++figures.returned;
      uint64_t told = 0;
      for (const ToldChange& c : changes) {
        if (c.done <= up->at) {
          told = std::max(told, c.version);
        }
      }
      const auto level =
          std::find_if(up, of.end(), [&](const SimulatedMemberRecord& l) { return Acts(l, told); });
      if (level != of.end()) {
        figures.level_ms_most = std::max(figures.level_ms_most, Ms(level->at - up->at));
      }
    }
    JudgeContradictions(m, of, first, terms, figures, breaks);
  }
  std::vector<double> told;
  for (const ToldChange& c : changes) {
    if (c.submitted >= terms.from && c.submitted < terms.faults) {
      told.push_back(Ms(c.done - c.submitted));
    }
  }
  figures.told_ms_p50 = At(told, 0.5);
  figures.told_ms_p99 = At(told, 0.99);
  figures.told_ms_most = At(told, 1);
  figures.in_force_ms_p50 = At(in_force, 0.5);
  figures.in_force_ms_p99 = At(in_force, 0.99);
  figures.in_force_ms_most = At(in_force, 1);
}

}  // namespace paddlestile::lab
