// A single-threaded event loop with edge-triggered epoll for sockets, timers on the monotonic
// clock, and deferred tasks.
#ifndef PADDLESTILE_EVENT_EVENT_LOOP_H_
#define PADDLESTILE_EVENT_EVENT_LOOP_H_

#include <sys/epoll.h>

#include <array>
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

// Not thread-safe. Callbacks run one at a time, and only within RunOnce and Run.
class EventLoop {
 public:
  class Handler {
   public:
    // Called with the epoll events of the descriptor.
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

  // Reports all events of `fd` to `handler`, edge-triggered, until Unwatch is called with the
  // `token` that is set here. Returns false if epoll rejects the descriptor. Events of `urgent`
  // descriptors are handled first in each round, and repeatedly during a long one. `handler` must
  // stay valid until Unwatch.
  bool Watch(int fd, Handler* handler, uint64_t& token, bool urgent = false);
  void Unwatch(int fd, uint64_t token);

  // Runs `callback` once, after `delay`.
  TimerId RunAfter(Duration delay, std::function<void()> callback);
  // Cancels a timer and resets the id. A timer that has already run is not affected.
  void CancelTimer(TimerId& timer);

  // Runs `task` after the current handler has returned and before any other handler.
  void RunDeferred(std::function<void()> task) { deferred_tasks_.push_back(std::move(task)); }

  // Runs `task` after the other events of this round. Used for work that could otherwise continue
  // indefinitely and starve other connections.
  void RunAfterRound(std::function<void()> task) { after_round_tasks_.push_back(std::move(task)); }

  // Runs one round: waits for events for at most `max_wait` and runs their handlers.
  void RunOnce(Duration max_wait);
  // Runs rounds until Stop is called.
  void Run();
  void Stop() { stopped_ = true; }
  [[nodiscard]] bool stopped() const { return stopped_; }

  [[nodiscard]] const Clock& clock() const { return clock_; }
  [[nodiscard]] Time Now() const { return clock_.Now(); }

 private:
  struct Slot {
    Handler* handler = nullptr;
    bool urgent = false;
    uint32_t generation = 0;  // incremented by Unwatch; events with an older one are stale
  };
  using ReadyEvents = std::array<epoll_event, 256>;
  // Returns the number of ready events, or -1 if the wait was interrupted.
  int Poll(ReadyEvents& events, int wait_ms);
  // Handles the first `count` events, and if there is no room for more, those that are ready too.
  void RunEvents(ReadyEvents& events, int count);
  void RunDeferredTasks();
  void RunEvent(uint64_t token, uint32_t events);
  void RunUrgent();
  void RunTimers();
  void RunAfterRoundTasks();

  Clock clock_;
  FileDescriptor epoll_, urgent_epoll_;  // epoll_ watches urgent_epoll_
  Time urgent_polled_at_{0};
  RoundTime round_time_;
  std::vector<Slot> slots_;  // a token holds generation (high 32 bits) and index of a slot
  std::vector<uint32_t> free_slots_;
  std::map<std::pair<Time, uint64_t>, std::function<void()>> timers_;
  uint64_t next_timer_ = 1;
  std::vector<std::function<void()>> deferred_tasks_, after_round_tasks_;
  bool stopped_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_EVENT_LOOP_H_
