// The event loop of one thread: sockets by edge-triggered epoll, timers by the monotonic clock,
// deferred tasks.
#ifndef PADDLESTILE_EVENT_EVENT_LOOP_H_
#define PADDLESTILE_EVENT_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/file_descriptor.h"
#include "base/time.h"
#include "event/round_time.h"

namespace paddlestile {

// Not thread-safe. Callbacks run one after another, in RunOnce and Run only.
class EventLoop {
 public:
  class Handler {
   public:
    // `events`: the epoll events of the descriptor.
    virtual void OnEvents(uint32_t events) = 0;

   protected:
    ~Handler() = default;
  };
  struct TimerId {
    Time due{0};
    uint64_t number = 0;  // 0: no timer
  };

  EventLoop();  // throws std::system_error
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Reports all events of a descriptor, edge-triggered, until Unwatch, which takes the `token` set
  // here. False where the kernel refuses. `urgent` ones come first in a round, and also within a
  // long one. `handler` must stay valid until Unwatch.
  bool Watch(int fd, Handler* handler, uint64_t& token, bool urgent = false);
  void Unwatch(int fd, uint64_t token);

  // Runs `callback` once, after the delay.
  TimerId RunAfter(Duration delay, std::function<void()> callback);
  // Cancels a timer that has not run, and resets the id. Without effect for one that has run.
  void CancelTimer(TimerId& timer);

  // Runs `task` after the running handler has returned, before any other handler.
  void RunDeferred(std::function<void()> task) { deferred_tasks_.push_back(std::move(task)); }

  // Runs `task` after the other events of this round: for work that could go on without end, so
  // that others have their turn.
  void RunAfterRound(std::function<void()> task) { after_round_tasks_.push_back(std::move(task)); }

  // One round: waits for events, for `max_wait` at most, and runs their handlers.
  void RunOnce(Duration max_wait);
  // Rounds until Stop.
  void Run();
  void Stop() { stopped_ = true; }
  [[nodiscard]] bool stopped() const { return stopped_; }

  [[nodiscard]] const Clock& clock() const { return clock_; }
  [[nodiscard]] Time Now() const { return clock_.Now(); }

 private:
  struct Slot {
    Handler* handler = nullptr;
    bool urgent = false;
    uint32_t generation = 0;  // raised by Unwatch: events with an older one are stale
  };
  void RunDeferredTasks();
  void RunEvent(uint64_t token, uint32_t events);
  void RunUrgent();
  void RunTimers();
  void RunAfterRoundTasks();

  Clock clock_;
  FileDescriptor epoll_, urgent_epoll_;  // the first watches the second
  Time urgent_polled_at_{0};
  RoundTime round_time_;
  std::vector<Slot> slots_;  // a token is generation (high 32 bits) and index of a slot
  std::vector<uint32_t> free_slots_;
  std::map<std::pair<Time, uint64_t>, std::function<void()>> timers_;
  uint64_t next_timer_ = 1;
  std::vector<std::function<void()>> deferred_tasks_, after_round_tasks_;
  bool stopped_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_EVENT_LOOP_H_
