// The event loop of one thread: descriptors by edge-triggered epoll, timers by the monotonic clock,
// and tasks deferred until the running handler has returned. Not thread-safe.
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

namespace paddlestile {

// Each call of RunOnce is a round:
//
//   1. deferred tasks
//   2. one wait for descriptors and timers
//   3. urgent descriptors
//   4. tasks of RunAfterRound
//   5. all other ready descriptors, urgent ones in between
//   6. timers that are due
//
// After each handler, timer and task the deferred tasks run. The loop owns no handler: whoever
// calls Watch keeps the handler alive until Unwatch, and the descriptor open.
class EventLoop {
 public:
  // Receives the events of one descriptor.
  class Handler {
   public:
    // `events`: EPOLLIN, EPOLLOUT and the like, as epoll reports them.
    virtual void OnEvents(uint32_t events) = 0;

   protected:
    ~Handler() = default;
  };
  // Names a timer for CancelTimer. A default one names none.
  struct TimerId {
    Time due{0};
    uint64_t number = 0;  // 0: no timer
  };

  // Throws std::system_error where the kernel gives no epoll descriptor.
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Reports all edges of `fd` to `handler` until Unwatch, and sets `token`, which Unwatch needs.
  // Urgent descriptors run first in a round, and again within a long one. Returns false, with
  // `token` unused, where the kernel refuses.
  bool Watch(int fd, Handler* handler, uint64_t& token, bool urgent = false);
  // No event of `fd` is reported after this, also none that epoll has already returned.
  void Unwatch(int fd, uint64_t token);

  // Runs `then` once, `delay` from now or later.
  TimerId RunAfter(Duration delay, std::function<void()> then);
  // Cancels a timer and resets `timer`. No effect on one that has run or was cancelled.
  void CancelTimer(TimerId& timer);

  // Runs `then` after the running handler has returned and before any other.
  void RunDeferred(std::function<void()> then) { deferred_tasks_.push_back(std::move(then)); }

  // Runs `then` once this round is over, for long work that must let other handlers run.
  void RunAfterRound(std::function<void()> then) { after_round_tasks_.push_back(std::move(then)); }

  // One round. Waits `at_most` where nothing is ready before.
  void RunOnce(Duration at_most);
  // Rounds until Stop.
  void Run();
  void Stop() { stopped_ = true; }
  [[nodiscard]] bool stopped() const { return stopped_; }

  [[nodiscard]] const Clock& clock() const { return clock_; }
  [[nodiscard]] Time Now() const { return clock_.Now(); }

 private:
  // A watched descriptor. Its token is generation and index of the slot, so that an event of a
  // descriptor that is no longer watched does not reach the next user of the slot.
  struct Slot {
    Handler* handler = nullptr;  // null: free
    bool urgent = false;
    uint32_t generation = 0;  // grows with each Unwatch
  };
  void RunDeferredTasks();
  void RunEvent(uint64_t token, uint32_t events);
  void RunUrgent();
  void RunTimers();
  void RunAfterRoundTasks();

  Clock clock_;
  FileDescriptor epoll_;
  FileDescriptor urgent_epoll_;  // of the urgent descriptors; epoll_ watches it
  Time urgent_polled_at_{0};     // when RunUrgent last ran
  std::vector<Slot> slots_;
  std::vector<uint32_t> free_slots_;                                   // indexes into slots_
  std::map<std::pair<Time, uint64_t>, std::function<void()>> timers_;  // by due time and number
  uint64_t next_timer_ = 1;
  std::vector<std::function<void()>> deferred_tasks_;
  std::vector<std::function<void()>> after_round_tasks_;
  bool stopped_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_EVENT_LOOP_H_
