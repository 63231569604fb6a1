// Hollow members of a bank: many share a process. Each is the program's own `bank::Member` on the
// program's own links, with a name, a life and an address of its own, and without clients, hosts,
// module or disk: what it would write is held in memory. It follows and never votes.
#ifndef PADDLESTILE_LAB_SIMULATED_MEMBER_H_
#define PADDLESTILE_LAB_SIMULATED_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "balancer/load_balancer.h"

namespace paddlestile::lab {

// What a hollow process has written down of one of its members, a line each: when, by the
// machine's monotonic clock, which all processes share; who; what it acts on from now on.
struct HollowLine {
  enum class What : uint8_t {
    kAgreed,
    kBetween,
    kAlone,
    kDown,
    kUp
  };
  Duration at{0};  // us, of std::chrono::steady_clock
  size_t member = 0;
  What what = What::kAlone;
  uint64_t on = 0, latest = 0;
};
std::string ToText(const HollowLine& line);
std::optional<HollowLine> ParseHollowLine(std::string_view text);

// Now, by the clock of those lines.
Duration MachineNow();

struct HollowOptions {
  std::string operator_file;  // whose members are hollow where their names begin with kHollowPrefix
  size_t first = 0, count = 0;    // of the hollow ones, those that this process has
  std::string book;               // the file of its lines
  uint64_t seed = 1;              // draws who is restarted and who is cut off
  size_t restarts = 0, cuts = 0;  // at SIGUSR1: so many, within a second
};
inline constexpr std::string_view kHollowPrefix = "h";
std::string HollowName(size_t number);

// Runs until SIGTERM; an exit code. Throws net::ConfigError or std::system_error.
int RunHollow(const HollowOptions& options);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SIMULATED_MEMBER_H_
