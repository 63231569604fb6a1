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

constexpr Duration kLongRound{20'000};       // us; a longer round is counted as a lag
constexpr Duration kMaxUrgentDelay{50'000};  // us; of urgent descriptors within a round
constexpr int kMaxPollsPerRound = 16;        // of epoll, before the timers run
constexpr uint64_t kUrgentToken = ~0ULL;     // of urgent_epoll_ in epoll_
constexpr size_t kEventsPerPoll = 256;
constexpr size_t kUrgentEventsPerPoll = 16;

}  // namespace

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)), urgent_epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;  // level-triggered: reported as long as an urgent event is left
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
  Slot& slot = slots_[index];
  const FileDescriptor& epoll = slot.urgent ? urgent_epoll_ : epoll_;
  epoll_ctl(epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
  slot.handler = nullptr;
  ++slot.generation;
  free_slots_.push_back(index);
}

EventLoop::TimerId EventLoop::RunAfter(Duration delay, std::function<void()> then) {
  const TimerId id{Now() + std::max(delay, Duration(0)), next_timer_++};
  timers_.emplace(std::pair(id.due, id.number), std::move(then));
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
  // Only those due at the beginning: a timer that sets itself again must not starve the sockets.
  const Time now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
    RunDeferredTasks();
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
    return;  // no longer watched
  }
  slot.handler->OnEvents(events);
  RunDeferredTasks();
}

void EventLoop::RunUrgent() {
  urgent_polled_at_ = Now();
  std::array<epoll_event, kUrgentEventsPerPoll> events;
  const int count =
      epoll_wait(urgent_epoll_.get(), events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<size_t>(i)];
    RunEvent(event.data.u64, event.events);
  }
}

void EventLoop::RunOnce(Duration at_most) {
  RunDeferredTasks();
  Duration wait = after_round_tasks_.empty() ? std::max(at_most, Duration(0)) : Duration(0);
  if (!timers_.empty()) {
    wait = std::clamp(timers_.begin()->first.first - Now(), Duration(0), wait);
  }
  // Rounded up, so that the last part of a millisecond is not spent spinning.
  const auto wait_ms = static_cast<int>(std::min<int64_t>((wait.count() + 999) / 1000, 60'000));
  std::array<epoll_event, kEventsPerPoll> events;
  constexpr auto kMaxEvents = static_cast<int>(kEventsPerPoll);
  int count = epoll_wait(epoll_.get(), events.data(), kMaxEvents, wait_ms);
  const Time round_began = Now();
  RunUrgent();
  RunAfterRoundTasks();
  for (int polls = 1;; ++polls) {
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      if (event.data.u64 != kUrgentToken) {
        RunEvent(event.data.u64, event.events);
      }
      if (Now() - urgent_polled_at_ > kMaxUrgentDelay) {
        RunUrgent();
      }
    }
    if (count < kMaxEvents || polls == kMaxPollsPerRound) {
      break;
    }
    count = epoll_wait(epoll_.get(), events.data(), kMaxEvents, 0);  // more may be ready
  }
  // After the sockets: what arrived before a time limit was reached still counts.
  RunTimers();
  if (Now() - round_began > kLongRound) {
    ++GlobalCounters().loop_lagged;
  }
}

void EventLoop::Run() {
  while (!stopped_) {
    RunOnce(std::chrono::seconds(60));
  }
}

}  // namespace paddlestile
