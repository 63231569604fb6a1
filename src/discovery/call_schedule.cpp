#include "discovery/call_schedule.h"

#include <algorithm>

namespace paddlestile {
namespace {

// Counted from the last line: until then, bytes of an unfinished line put off the next call.
// Bounded, because the line may never end.
constexpr Duration kMaxLineTime = CallSchedule::kMaxSilence * 3 / 2;

bool IsLive(const CallProgress& call, Time now) {
  return call.has_line() && now - call.last_line_at < CallSchedule::kMaxSilence;
}

bool IsReceiving(const CallProgress& call, Time now) {
  return call.unfinished_bytes > 0 && now - call.last_bytes_at < CallSchedule::kMaxSilence;
}

// The time of the last line, or of the first call if there is no line.
Time SilentSince(const CallSchedule::Calls& calls) {
  Time last_line_at{-1};
  for (const CallProgress& call : calls) {
    last_line_at = std::max(last_line_at, call.last_line_at);
  }
  return last_line_at >= Time(0) ? last_line_at : calls.front().started_at;
}

}  // namespace

Time CallSchedule::NextStart(const Calls& calls) {
  const Time silent_since = SilentSince(calls);
  const Time last_event_at = std::max(silent_since, calls.back().started_at);
  Time next = last_event_at + (calls.size() < kMaxCalls ? kMaxSilence : kCrowdedInterval);
  const Time latest_with_progress = silent_since + kMaxLineTime;
  for (const CallProgress& call : calls) {
    if (call.unfinished_bytes > 0) {
      next = std::max(next, std::min(call.last_bytes_at + kMaxSilence, latest_with_progress));
    }
  }
  return next;
}

bool CallSchedule::HasLiveCall(const Calls& calls, Time now) {
  return std::ranges::any_of(calls, [now](const CallProgress& call) { return IsLive(call, now); });
}

// Ends the oldest call, except that the one that has received most of its line is kept: a list
// that takes long to transfer would otherwise never arrive. Only one is kept, so that calls that
// receive bytes without end leave room for others.
std::optional<size_t> CallSchedule::CallToReplace(const Calls& calls, Time now) {
  if (calls.size() < kMaxCalls) {
    return std::nullopt;
  }
  std::optional<size_t> furthest;
  for (size_t i = 0; i < calls.size(); ++i) {
    if (IsReceiving(calls[i], now) &&
        (!furthest || calls[i].unfinished_bytes > calls[*furthest].unfinished_bytes)) {
      furthest = i;
    }
  }
  return furthest == size_t{0} ? 1 : 0;
}

std::vector<size_t> CallSchedule::SupersededCalls(const Calls& calls, Time now) {
  const auto is_old = [now](const CallProgress& call) {
    return now - call.started_at >= kMaxChangeDelay;
  };
  std::optional<size_t> established;  // the newest one
  for (size_t i = 0; i < calls.size(); ++i) {
    if (IsLive(calls[i], now) && is_old(calls[i])) {
      established = i;
    }
  }
  std::vector<size_t> superseded;
  for (size_t i = calls.size(); established && i-- > 0;) {
    if (i != *established && is_old(calls[i])) {
      superseded.push_back(i);
    }
  }
  return superseded;
}

}  // namespace paddlestile
