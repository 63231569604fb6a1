// What a run at size comes to, and what is judged of hollow members from the lines that their
// processes wrote. No I/O.
#ifndef PADDLESTILE_LAB_SCALE_FIGURES_H_
#define PADDLESTILE_LAB_SCALE_FIGURES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/simulated_member.h"

namespace paddlestile::lab {

// One process of a role, in the mean over those of the role. Bytes and messages are those of the
// links among gateways, as the frames that go on them: without the network's own heads.
struct RoleFigures {
  size_t processes = 0;
  double cpu_core = 0, rss_mb = 0, descriptors = 0;
  double bytes_in_s = 0, bytes_out_s = 0, messages_s = 0;
};

struct ScaleFigures {
  bool on = false;
  size_t members = 0, real = 0, hollow = 0;
  double linked_ms = 0;                // from the processes' start until one leads all of them
  RoleFigures leader, voter, gateway;  // idle
  double hollow_cpu_core = 0, hollow_rss_mb = 0;  // of one hollow member
  // Of the changes before the faults, from submitted to acted on, over all members.
  double in_force_ms_p50 = 0, in_force_ms_p99 = 0, in_force_ms_most = 0;
  size_t changes = 0;
  double version_bytes = 0;      // of the last version submitted
  double change_bytes_each = 0;  // that the leader sent a member for a change
  // Processor time of a gateway that follows for a change; nothing where none was seen to.
  std::optional<double> change_cpu_ms;
  // From submitted to told done, of the changes before the faults.
  double told_ms_p50 = 0, told_ms_p99 = 0, told_ms_most = 0;
  // Of `paddlestile bank change`, which submitted some of all changes: each's time from its start
  // to its end, and the most that one took.
  std::vector<double> command_ms;
  double command_cpu_ms_most = 0, command_rss_mb_most = 0;
  size_t members_in_force = 0;  // at the end
  // Of those that were restarted.
  size_t returned = 0;
  double level_ms_most = 0;
  std::optional<double> return_bytes_each;  // nothing where the leader died meanwhile
  double faults_in_force_ms_most = 0;       // of the changes while faults were played
  double contradiction_ms_most = 0;
  double rss_mb_most = 0;
  size_t processes_most = 0;
  std::vector<std::string> broken;
};

// A change as its submitter was told of it, by the machine's clock.
struct ToldChange {
  Duration submitted{0}, done{0};
  uint64_t version = 0;
};

struct HollowTerms {
  size_t hollow = 0;
  Duration from{0};                         // what was submitted before fills the versions
  Duration faults{0};                       // from when faults are played; the machine's clock
  Duration end{0};                          // when all was over
  Duration bound{0};                        // of a contradiction
  size_t stalled_from = 0, stalled_to = 0;  // members whose process was stopped now and then,
  Duration stalled{0};                      // for so long at a time
};

// Works out what the lines say, into `figures`: who acted on what when, who came back and was level
// when, and who acted on a version for longer than the bound after another acted on a later one.
// `lines` in any order.
void JudgeHollow(std::vector<SimulatedMemberRecord> lines, const std::vector<ToldChange>& changes,
                 const HollowTerms& terms, ScaleFigures& figures);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SCALE_FIGURES_H_
