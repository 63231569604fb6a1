// One thread's events: sockets by plain edge-triggered epoll, timers by the monotonic clock, and
// work put off until the present handler has returned.
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

class EventLoop {
 public:
  class Handler {
   public:
    virtual void OnEvents(uint32_t events) = 0;

   protected:
    ~Handler() = default;
  };
  struct TimerId {
    Time due{0};
    uint64_t number = 0;  // 0: none
  };

  EventLoop();  // throws std::system_error
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Reports all edges of a descriptor until Unwatch. False where the kernel refuses. What is urgent
  // has its turn before all else of a round, and within a long one.
  bool Watch(int fd, Handler* handler, uint64_t& token, bool urgent = false);
  void Unwatch(int fd, uint64_t token);

  TimerId RunAfter(Duration delay, std::function<void()> then);
  void CancelTimer(TimerId& timer);

  // Runs after the handler now at work has returned and before any other.
  void RunDeferred(std::function<void()> then) { deferred_tasks_.push_back(std::move(then)); }

  // Runs after all that this round of the loop has still to do: for work that would go on and on
  // and must let others have their turn.
  void RunAfterRound(std::function<void()> then) { after_round_tasks_.push_back(std::move(then)); }

  // One wait, until something is due, and what it brought.
  void RunOnce(Duration at_most);
  void Run();
  void Stop() { stopped_ = true; }
  [[nodiscard]] bool stopped() const { return stopped_; }

  [[nodiscard]] const Clock& clock() const { return clock_; }
  [[nodiscard]] Time Now() const { return clock_.Now(); }

 private:
  struct Slot {
    Handler* handler = nullptr;
    bool urgent = false;
    uint32_t generation = 0;  // tells a stale event of a closed descriptor from one of its heir
  };
  void RunDeferredTasks();
  void RunEvent(uint64_t token, uint32_t events);
  void RunUrgent();
  void RunTimers();
  void RunAfterRoundTasks();

  Clock clock_;
  FileDescriptor epoll_, urgent_epoll_;  // the second is watched by the first
  Time urgent_polled_at_{0};             // when what is urgent last had its turn
  std::vector<Slot> slots_;
  std::vector<uint32_t> free_slots_;
  std::map<std::pair<Time, uint64_t>, std::function<void()>> timers_;
  uint64_t next_timer_ = 1;
  std::vector<std::function<void()>> deferred_tasks_, after_round_tasks_;
  bool stopped_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_EVENT_LOOP_H_
