// Simulated cluster members, many of them in one process. Each runs the program's own
// `cluster::ClusterMember` on the program's own peer connections, with a name, an incarnation and
// an address of its own, but without clients, hosts, a module or a disk: its persistent state is
// held in memory. They are followers and never vote.
#ifndef PADDLESTILE_LAB_SIMULATED_MEMBER_H_
#define PADDLESTILE_LAB_SIMULATED_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "balancer/load_balancer.h"

namespace paddlestile::lab {

// A state change of a simulated member, written as one line to the file of its process: the time by
// the machine's monotonic clock, which all processes share, the member, and what it acts on from
// then on.
struct SimulatedMemberRecord {
  enum class State : uint8_t {
    kAgreed,
    kBetween,
    kIsolated,
    kDown,
    kUp
  };
  Duration at{0};  // us; std::chrono::steady_clock
  size_t member = 0;
  State state = State::kIsolated;
  uint64_t version_in_force = 0, latest_version = 0;
};
std::string ToText(const SimulatedMemberRecord& record);
std::optional<SimulatedMemberRecord> ParseSimulatedMemberRecord(std::string_view text);

// The present time by the clock of the records.
Duration MonotonicNow();

struct HollowOptions {
  std::string operator_file;  // members whose names begin with kSimulatedMemberPrefix are simulated
  size_t first = 0, count = 0;    // range of the simulated members that this process runs
  std::string book;               // path of the file of records
  uint64_t seed = 1;              // selects the members to restart and to cut off
  size_t restarts = 0, cuts = 0;  // numbers of members, on SIGUSR1, within a second
};
inline constexpr std::string_view kSimulatedMemberPrefix = "h";
std::string SimulatedMemberName(size_t number);

// Runs the members until SIGTERM and returns an exit code. Throws net::ConfigError or
// std::system_error.
int RunHollow(const HollowOptions& options);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SIMULATED_MEMBER_H_
