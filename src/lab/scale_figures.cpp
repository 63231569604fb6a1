#include "lab/scale_figures.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace paddlestile::lab {
namespace {

constexpr size_t kMaxBroken = 10;
using What = SimulatedMemberRecord::State;

double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

double QuantileOf(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  return values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
}

bool ActsOn(const SimulatedMemberRecord& line, uint64_t version) {
  return line.state == What::kAgreed && line.version_in_force >= version;
}

}  // namespace

namespace {

// Measures how long a member acted on a version after another had acted on a later one.
// `first_acted` has, by version, when a member first acted on it. Calls `add_broken` with a message
// for each time that exceeds the bound of `terms`.
template <typename AddBroken>
void JudgeContradictions(size_t member, const std::vector<SimulatedMemberRecord>& lines,
                         const std::map<uint64_t, Duration>& first_acted, const HollowTerms& terms,
                         ScaleFigures& figures, const AddBroken& add_broken) {
  const bool stalled = member >= terms.stalled_from && member < terms.stalled_to;
  for (size_t i = 0; i < lines.size(); ++i) {
    if (lines[i].state != What::kAgreed) {
      continue;
    }
    const Duration until = i + 1 < lines.size() ? lines[i + 1].at : terms.end;
    const auto later_version = first_acted.upper_bound(lines[i].version_in_force);
    if (later_version == first_acted.end() || until <= later_version->second) {
      continue;
    }
    const Duration overlap = until - std::max(lines[i].at, later_version->second);
    // A stopped process writes its line only after it continues, and acts on nothing meanwhile.
    const Duration allowance = stalled ? terms.stalled : Duration(0);
    figures.contradiction_ms_most =
        std::max(figures.contradiction_ms_most, ToMilliseconds(overlap - allowance));
    if (overlap > terms.bound + allowance) {
      add_broken(fmt::format(
          "contradiction: {} acted on version {} for {:.0f} ms while another acted on {}",
          SimulatedMemberName(member), lines[i].version_in_force, ToMilliseconds(overlap),
          later_version->first));
    }
  }
}

}  // namespace

void JudgeHollow(std::vector<SimulatedMemberRecord> lines, const std::vector<ToldChange>& changes,
                 const HollowTerms& terms, ScaleFigures& figures) {
  const auto add_broken = [&](std::string message) {
    if (figures.broken.size() < kMaxBroken) {
      figures.broken.push_back("scale: " + std::move(message));
    }
  };
  std::ranges::stable_sort(lines, {}, &SimulatedMemberRecord::at);
  std::vector<std::vector<SimulatedMemberRecord>> by_member(terms.hollow);
  // By version, when a member first acted on it.
  std::map<uint64_t, Duration> first_acted;
  for (const SimulatedMemberRecord& line : lines) {
    if (line.member >= terms.hollow) {
      add_broken(fmt::format("a line of member {}, expected a member below {}", line.member,
                             terms.hollow));
      continue;
    }
    by_member[line.member].push_back(line);
    if (line.state == What::kAgreed) {
      first_acted.emplace(line.version_in_force, line.at);
    }
  }
  uint64_t last_version = 0;
  for (const ToldChange& change : changes) {
    last_version = std::max(last_version, change.version);
  }

  std::vector<double> in_force_ms;
  for (size_t member = 0; member < terms.hollow; ++member) {
    const std::vector<SimulatedMemberRecord>& member_lines = by_member[member];
    if (member_lines.empty() || member_lines.back().state == What::kDown) {
      add_broken(fmt::format("level: {} is not running at the end", SimulatedMemberName(member)));
      continue;
    }
    if (ActsOn(member_lines.back(), last_version) &&
        member_lines.back().version_in_force == last_version) {
      ++figures.members_in_force;
    } else {
      add_broken(fmt::format("level: {} is at version {} of {} at the end",
                             SimulatedMemberName(member), member_lines.back().version_in_force,
                             last_version));
    }
    for (const ToldChange& change : changes) {
      const auto acting =
          std::ranges::find_if(member_lines, [&](const SimulatedMemberRecord& line) {
            return line.at >= change.submitted && ActsOn(line, change.version);
          });
      if (acting == member_lines.end()) {
        continue;  // reported above, if it is still so at the end
      }
      if (change.submitted < terms.from) {
        continue;
      }
      if (change.submitted < terms.faults) {
        in_force_ms.push_back(ToMilliseconds(acting->at - change.submitted));
        continue;
      }
      // A member that was down meanwhile is timed from its start.
      Duration since = change.submitted;
      for (auto line = member_lines.begin(); line != acting; ++line) {
        if (line->state == What::kUp) {
          since = std::max(since, line->at);
        }
      }
      figures.faults_in_force_ms_most =
          std::max(figures.faults_in_force_ms_most, ToMilliseconds(acting->at - since));
    }
    // Restarted members are timed until they act on the last change confirmed before their start.
    for (auto start = member_lines.begin(); start != member_lines.end(); ++start) {
      if (start->state != What::kUp || start == member_lines.begin()) {
        continue;
      }
      ++figures.returned;
      uint64_t confirmed_version = 0;
      for (const ToldChange& change : changes) {
        if (change.done <= start->at) {
          confirmed_version = std::max(confirmed_version, change.version);
        }
      }
      const auto up_to_date = std::find_if(
          start, member_lines.end(),
          [&](const SimulatedMemberRecord& line) { return ActsOn(line, confirmed_version); });
      if (up_to_date != member_lines.end()) {
        figures.level_ms_most =
            std::max(figures.level_ms_most, ToMilliseconds(up_to_date->at - start->at));
      }
    }
    JudgeContradictions(member, member_lines, first_acted, terms, figures, add_broken);
  }
  std::vector<double> confirmed_ms;
  for (const ToldChange& change : changes) {
    if (change.submitted >= terms.from && change.submitted < terms.faults) {
      confirmed_ms.push_back(ToMilliseconds(change.done - change.submitted));
    }
  }
  figures.told_ms_p50 = QuantileOf(confirmed_ms, 0.5);
  figures.told_ms_p99 = QuantileOf(confirmed_ms, 0.99);
  figures.told_ms_most = QuantileOf(confirmed_ms, 1);
  figures.in_force_ms_p50 = QuantileOf(in_force_ms, 0.5);
  figures.in_force_ms_p99 = QuantileOf(in_force_ms, 0.99);
  figures.in_force_ms_most = QuantileOf(in_force_ms, 1);
}

}  // namespace paddlestile::lab
