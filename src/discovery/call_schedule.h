// When a call to the discovery agent is started beside those that are open, and which of them end.
// Pure decisions on the progress of the calls, used by DiscoveryClient.
#ifndef PADDLESTILE_DISCOVERY_CALL_SCHEDULE_H_
#define PADDLESTILE_DISCOVERY_CALL_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"

namespace paddlestile {

// What a call has received so far. A line is a list, a change or a keep-alive; a poll has none
// until its response is complete.
struct CallProgress {
  Time started_at{0};
  Time last_line_at{-1};        // -1: no complete line
  Time last_bytes_at{-1};       // -1: no bytes
  size_t unfinished_bytes = 0;  // received of a head or line that is not complete

  [[nodiscard]] bool has_line() const { return last_line_at >= Time(0); }
};

// An agent may be slow to respond, or not respond at all, and one time limit cannot serve both: a
// call that is ended too soon never delivers, and one that is awaited too long delays the change.
// So a silent call stays open while further ones are started beside it, at intervals. A change that
// was missed since the last line is then received within kMaxChangeDelay if the agent responds to
// one of these calls within kMaxChangeDelay - kMaxSilence.
class CallSchedule {
 public:
  // A change must be in effect at the latest this long after discovery had it and was reachable.
  static constexpr Duration kMaxChangeDelay = std::chrono::seconds(6);
  // Between two lines, and from the start of a call to its first line, until another call is
  // started. Agents send at least an empty line every 2 s.
  static constexpr Duration kMaxSilence = std::chrono::milliseconds(2'200);
  // The interval while kMaxCalls are open: an agent that is crowded is called less often.
  static constexpr Duration kCrowdedInterval = std::chrono::seconds(3);
  // Calls of one kind that are open at the same time. Bounds the descriptors and the unread data.
  static constexpr size_t kMaxCalls = 4;

  using Calls = std::vector<CallProgress>;  // ordered by start time

  // Returns when another call has to be started. `calls` must not be empty.
  [[nodiscard]] static Time NextStart(const Calls& calls);
  // Returns whether one of the calls has delivered a line so recently that none is missed.
  [[nodiscard]] static bool HasLiveCall(const Calls& calls, Time now);
  // Returns the index of the call that ends so that another can be started, if too many are open.
  [[nodiscard]] static std::optional<size_t> CallToReplace(const Calls& calls, Time now);
  // Returns the indexes, in descending order, of the calls that cannot deliver anything that a
  // live call would not have delivered.
  [[nodiscard]] static std::vector<size_t> SupersededCalls(const Calls& calls, Time now);
};

}  // namespace paddlestile

#endif  // PADDLESTILE_DISCOVERY_CALL_SCHEDULE_H_
