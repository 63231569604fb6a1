// The results of `lab scale`, and the checks of hollow members from the lines that their processes
// wrote. No I/O.
#ifndef PADDLESTILE_LAB_SCALE_FIGURES_H_
#define PADDLESTILE_LAB_SCALE_FIGURES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/simulated_member.h"

namespace paddlestile::lab {

// Means per process of a role. Bytes and messages are those of the frames on the links between
// gateways, without network headers.
struct RoleFigures {
  size_t processes = 0;
  double cpu_core = 0, rss_mb = 0, descriptors = 0;
  double bytes_in_s = 0, bytes_out_s = 0, messages_s = 0;
};

struct ScaleFigures {
  bool on = false;
  size_t members = 0, real = 0, hollow = 0;
  double linked_ms = 0;  // from the start of the processes until a leader is connected to all
  RoleFigures leader, voter, gateway;             // while idle
  double hollow_cpu_core = 0, hollow_rss_mb = 0;  // per hollow member
  // Time from the submission of a change until a member acts on it, over all members and the
  // changes before the faults.
  double in_force_ms_p50 = 0, in_force_ms_p99 = 0, in_force_ms_most = 0;
  size_t changes = 0;
  double version_bytes = 0;      // of the last version submitted
  double change_bytes_each = 0;  // sent by the leader per member and change
  // CPU time per change of a gateway that does not vote; nullopt if there is no measurement.
  std::optional<double> change_cpu_ms;
  // Time from the submission of a change until it is confirmed, over the changes before the faults.
  double told_ms_p50 = 0, told_ms_p99 = 0, told_ms_most = 0;
  // `paddlestile bank change`, which submitted some of the changes: the duration of each call, and
  // the maximum CPU time and memory of one.
  std::vector<double> command_ms;
  double command_cpu_ms_most = 0, command_rss_mb_most = 0;
  size_t members_in_force = 0;  // at the end
  // Members that were restarted, and the maximum time until one was up to date again.
  size_t returned = 0;
  double level_ms_most = 0;
  std::optional<double> return_bytes_each;  // nullopt if the leader died meanwhile
  double faults_in_force_ms_most = 0;       // of the changes during faults
  double contradiction_ms_most = 0;
  double rss_mb_most = 0;
  size_t processes_most = 0;
  std::vector<std::string> broken;
};

// A confirmed change as its submitter saw it, in times of the machine's clock.
struct ToldChange {
  Duration submitted{0}, done{0};
  uint64_t version = 0;
};

// What JudgeHollow checks against. Times are those of the machine's clock.
struct HollowTerms {
  size_t hollow = 0;
  Duration from{0};    // changes submitted earlier only fill the versions and are not measured
  Duration faults{0};  // start of the faults
  Duration end{0};     // end of the run
  Duration bound{0};   // maximum duration of a contradiction
  size_t stalled_from = 0, stalled_to = 0;  // members whose process was stopped at times,
  Duration stalled{0};                      // for this duration each
};

// Computes the figures of hollow members from their lines, which may be in any order: when members
// acted on each change, and how long restarted members took to be up to date. Adds to
// `figures.broken` each member that is not up to date at the end, and each that acted on a version
// for longer than the bound after another member acted on a later one.
void JudgeHollow(std::vector<SimulatedMemberRecord> lines, const std::vector<ToldChange>& changes,
                 const HollowTerms& terms, ScaleFigures& figures);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SCALE_FIGURES_H_
