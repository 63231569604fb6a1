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

constexpr Duration kLag{20'000};          // us; a round that long delays others
constexpr Duration kUrgentWait{50'000};   // us; for what is urgent, within a round
constexpr int kLooksMost = 16;            // at the sockets, before timers have their turn
constexpr uint64_t kUrgentToken = ~0ULL;  // of the inner epoll

}  // namespace

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)), urgent_epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;  // by level: told as long as anything urgent is left
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
  const uint32_t place = free_slots_.back();
  token = (static_cast<uint64_t>(slots_[place].generation) << 32) | place;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = token;
  const FileDescriptor& epoll = urgent ? urgent_epoll_ : epoll_;
  if (epoll_ctl(epoll.get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    return false;
  }
  slots_[place].handler = handler;
  slots_[place].urgent = urgent;
  free_slots_.pop_back();
  return true;
}

void EventLoop::Unwatch(int fd, uint64_t token) {
  const auto place = static_cast<uint32_t>(token);
  if (!PADDLESTILE_CHECK(place < slots_.size() && slots_[place].generation == token >> 32)) {
    return;
  }
  const FileDescriptor& epoll = slots_[place].urgent ? urgent_epoll_ : epoll_;
  epoll_ctl(epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
  slots_[place].handler = nullptr;
  ++slots_[place].generation;
  free_slots_.push_back(place);
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
    std::vector<std::function<void()>> now;
    now.swap(deferred_tasks_);
    for (const auto& then : now) {
      then();
    }
  }
}

void EventLoop::RunTimers() {
  // Only those due at the beginning: one that sets itself anew must not starve the sockets.
  const Time now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
    RunDeferredTasks();
  }
}

void EventLoop::RunAfterRoundTasks() {
  std::vector<std::function<void()>> now;
  now.swap(after_round_tasks_);
  for (const auto& then : now) {
    then();
    RunDeferredTasks();
  }
}

void EventLoop::RunEvent(uint64_t token, uint32_t events) {
  const auto place = static_cast<uint32_t>(token);
  if (place >= slots_.size()) {
    return;
  }
  const Slot slot = slots_[place];
  if (slot.handler == nullptr || slot.generation != token >> 32) {
    return;  // closed meanwhile
  }
  slot.handler->OnEvents(events);
  RunDeferredTasks();
}

void EventLoop::RunUrgent() {
  urgent_polled_at_ = Now();
  std::array<epoll_event, 16> events;
  const int n = epoll_wait(urgent_epoll_.get(), events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < n; ++i) {
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
  // Rounded up, or the last part of a millisecond would be spent spinning.
  const auto ms = static_cast<int>(std::min<int64_t>((wait.count() + 999) / 1000, 60'000));
  std::array<epoll_event, 256> events;
  constexpr auto kMost = static_cast<int>(events.size());
  int n = epoll_wait(epoll_.get(), events.data(), kMost, ms);
  const Time began = Now();
  RunUrgent();
  RunAfterRoundTasks();
  for (int looks = 1;; ++looks) {
    for (int i = 0; i < n; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      if (event.data.u64 != kUrgentToken) {
        RunEvent(event.data.u64, event.events);
      }
      if (Now() - urgent_polled_at_ > kUrgentWait) {
        RunUrgent();
      }
    }
    if (n < kMost || looks == kLooksMost) {
      break;
    }
    n = epoll_wait(epoll_.get(), events.data(), kMost, 0);  // more are ready than one look shows
  }
  // After the sockets: what had come in by the time a limit is reached still counts.
  RunTimers();
  if (Now() - began > kLag) {
    ++GlobalCounters().loop_lagged;
  }
}

void EventLoop::Run() {
  while (!stopped_) {
    RunOnce(std::chrono::seconds(60));
  }
}

}  // namespace paddlestile
