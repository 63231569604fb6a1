#include "event/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <system_error>

#include "base/metrics.h"

namespace paddlestile {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr Duration kLagThreshold = std::chrono::milliseconds(20);    // longer rounds are counted
constexpr Duration kUrgentInterval = std::chrono::milliseconds(50);  // urgent polls in a long round
constexpr int kMaxPollsPerRound = 16;     // epoll_wait calls before timers run
constexpr uint64_t kUrgentToken = ~0ULL;  // identifies urgent_epoll_

}  // namespace

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)), urgent_epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;  // level-triggered: reported while an urgent event is pending
  event.data.u64 = kUrgentToken;
  if (!epoll_ || !urgent_epoll_ ||
      epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, urgent_epoll_.get(), &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
}

bool EventLoop::Watch(int fd, Handler* handler, uint64_t& token, bool urgent) {
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const uint32_t index = free_slots_.back();
  token = (static_cast<uint64_t>(slots_[index].generation) << 32) | index;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = token;
  const FileDescriptor& epoll = urgent ? urgent_epoll_ : epoll_;
  if (epoll_ctl(epoll.get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    return false;
  }
  slots_[index].handler = handler;
  slots_[index].urgent = urgent;
  free_slots_.pop_back();
  return true;
}

void EventLoop::Unwatch(int fd, uint64_t token) {
  const auto index = static_cast<uint32_t>(token);
  if (!PADDLESTILE_CHECK(index < slots_.size() && slots_[index].generation == token >> 32)) {
    return;
  }
  const FileDescriptor& epoll = slots_[index].urgent ? urgent_epoll_ : epoll_;
  epoll_ctl(epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
  slots_[index].handler = nullptr;
  ++slots_[index].generation;
  free_slots_.push_back(index);
}

EventLoop::TimerId EventLoop::RunAfter(Duration delay, std::function<void()> callback) {
  const TimerId id{Now() + std::max(delay, Duration(0)), next_timer_++};
  timers_.emplace(std::pair(id.due, id.number), std::move(callback));
  return id;
}

void EventLoop::CancelTimer(TimerId& timer) {
  if (timer.number != 0) {
    timers_.erase({timer.due, timer.number});
  }
  timer = {};
}

void EventLoop::RunDeferredTasks() {
  while (!deferred_tasks_.empty()) {
    std::vector<std::function<void()>> tasks;
    tasks.swap(deferred_tasks_);
    for (const auto& task : tasks) {
      task();
    }
  }
}

void EventLoop::RunTimers() {
  // Runs only the timers due at the start, so that one that restarts itself cannot starve the
  // sockets.
  const Time now = Now();
  if (timers_.empty() || timers_.begin()->first.first > now) {
    return;
  }
  // What arrived before a timer was due is handled before it, even if the process was stopped after
  // the sockets were polled, or the wait for them was interrupted.
  ReadyEvents events;
  const int count = Poll(events, 0);
  RunUrgent();
  RunEvents(events, count);
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
    RunDeferredTasks();
    round_time_.EndStep(RoundStep::kTimer, Now());
  }
}

void EventLoop::RunAfterRoundTasks() {
  std::vector<std::function<void()>> tasks;
  tasks.swap(after_round_tasks_);
  for (const auto& task : tasks) {
    task();
    RunDeferredTasks();
  }
}

void EventLoop::RunEvent(uint64_t token, uint32_t events) {
  const auto index = static_cast<uint32_t>(token);
  if (index >= slots_.size()) {
    return;
  }
  const Slot slot = slots_[index];
  if (slot.handler == nullptr || slot.generation != token >> 32) {
    return;  // the descriptor was unwatched within this round
  }
  slot.handler->OnEvents(events);
  RunDeferredTasks();
}

void EventLoop::RunUrgent() {
  urgent_polled_at_ = Now();
  std::array<epoll_event, 16> events;
  const int count =
      epoll_wait(urgent_epoll_.get(), events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<size_t>(i)];
    RunEvent(event.data.u64, event.events);
  }
}

int EventLoop::Poll(ReadyEvents& events, int wait_ms) {
  return epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), wait_ms);
}

void EventLoop::RunEvents(ReadyEvents& events, int count) {
  for (int polls = 1;; ++polls) {
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      if (event.data.u64 != kUrgentToken) {
        RunEvent(event.data.u64, event.events);
      }
      const Time now = Now();
      round_time_.EndStep(RoundStep::kEvent, now);
      if (now - urgent_polled_at_ > kUrgentInterval) {
        RunUrgent();
      }
    }
    if (count < static_cast<int>(events.size()) || polls == kMaxPollsPerRound) {
      return;
    }
    count = Poll(events, 0);  // more may be ready
  }
}

void EventLoop::RunOnce(Duration max_wait) {
  RunDeferredTasks();
  Duration wait = after_round_tasks_.empty() ? std::max(max_wait, Duration(0)) : Duration(0);
  if (!timers_.empty()) {
    wait = std::clamp(timers_.begin()->first.first - Now(), Duration(0), wait);
  }
  // Rounded up to avoid busy-waiting during the last fraction of a millisecond.
  const auto wait_ms = static_cast<int>(std::min<int64_t>((wait.count() + 999) / 1000, 60'000));
  ReadyEvents events;
  const int count = Poll(events, wait_ms);
  const Time started_at = Now();
  round_time_.Start(started_at);
  RunUrgent();
  RunAfterRoundTasks();
  round_time_.EndStep(RoundStep::kTasks, Now());
  RunEvents(events, count);
  // Timers run after the sockets, so that data received before a timeout is still processed.
  RunTimers();
  const Time ended_at = Now();
  if (ended_at - started_at > kLagThreshold) {
    ++GlobalCounters().loop_lagged;
  }
  round_time_.LogIfLong(ended_at);
}

void EventLoop::Run() {
  while (!stopped_) {
    RunOnce(std::chrono::seconds(60));
  }
}

}  // namespace paddlestile
