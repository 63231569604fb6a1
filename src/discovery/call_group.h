// The open calls of one kind to the discovery agent. Used by DiscoveryClient only.
#ifndef PADDLESTILE_DISCOVERY_CALL_GROUP_H_
#define PADDLESTILE_DISCOVERY_CALL_GROUP_H_

#include <memory>
#include <vector>

#include "discovery/call_schedule.h"
#include "discovery/discovery_client.h"
#include "event/event_loop.h"

namespace paddlestile {

// Holds several watches, or several polls, that are in progress at the same time, and reports to
// the client when another has to be started beside them (CallSchedule). A call that has ended is
// destroyed after the current event handler, which may be its own.
class DiscoveryClient::CallGroup {
 public:
  // `client` and its event loop must outlive the group.
  CallGroup(DiscoveryClient& client, bool is_watch) : client_(client), is_watch_(is_watch) {}
  ~CallGroup();
  CallGroup(const CallGroup&) = delete;
  CallGroup& operator=(const CallGroup&) = delete;

  [[nodiscard]] bool is_watch() const { return is_watch_; }
  [[nodiscard]] bool empty() const { return calls_.empty(); }
  // Exponential backoff after oversized lists.
  Backoff& backoff() { return backoff_; }

  // Starts a call to the client's current address, and ends another one if too many are open.
  // Returns false if the connection has failed immediately.
  bool Start();
  // Ends a call of this group.
  void End(const Call& call);
  void EndAll();
  void EndAllExcept(const Call& kept);
  // Ends the calls that have not received a line.
  void EndUnanswered();
  // Removes and returns the watch that has received a line last; null if none has received one.
  std::unique_ptr<Call> TakeLatestDelivering();

  // Returns whether a watch has received a line so recently that no change is missed.
  [[nodiscard]] bool HasLiveCall() const;
  // Returns whether another call has to be started, as those that are open are silent or none is.
  [[nodiscard]] bool NeedsCall() const;

  // Starts a call after `delay`, unless one is scheduled already or a watch is live by then.
  void ScheduleStart(Duration delay);
  void CancelScheduledStart();
  [[nodiscard]] bool start_is_scheduled() const { return start_timer_.number != 0; }

 private:
  [[nodiscard]] CallSchedule::Calls Progress() const;
  void End(size_t index);
  // Runs CheckSilence when the next call may be due.
  void ScheduleSilenceCheck();
  void CheckSilence();

  DiscoveryClient& client_;
  bool is_watch_;
  std::vector<std::unique_ptr<Call>> calls_;  // ordered by start time
  EventLoop::TimerId start_timer_, silence_timer_;
  Backoff backoff_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_DISCOVERY_CALL_GROUP_H_
