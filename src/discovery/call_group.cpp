#include "discovery/call_group.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "base/metrics.h"
#include "discovery/discovery_call.h"
#include "event/socket.h"

namespace paddlestile {
namespace {

constexpr int kReceiveBufferBytes = 1 << 18;  // limits unread data held by the kernel

}  // namespace

DiscoveryClient::CallGroup::~CallGroup() {
  client_.loop_.CancelTimer(start_timer_);
  client_.loop_.CancelTimer(silence_timer_);
  for (const std::unique_ptr<Call>& call : calls_) {
    call->Stop();
  }
}

CallSchedule::Calls DiscoveryClient::CallGroup::Progress() const {
  CallSchedule::Calls progress;
  for (const std::unique_ptr<Call>& call : calls_) {
    progress.push_back(call->progress());
  }
  return progress;
}

// ---- Calls ----------------------------------------------------------------------------------

bool DiscoveryClient::CallGroup::Start() {
  EventLoop& loop = client_.loop_;
  if (const auto replaced = CallSchedule::CallToReplace(Progress(), loop.Now())) {
    End(*replaced);
  }
  ++(is_watch_ ? GlobalCounters().discovery_watches : GlobalCounters().discovery_polls);
  bool refused = false;
  std::optional<Socket> socket = Connect(client_.discovery_, nullptr, refused);
  if (!socket) {
    return false;
  }
  setsockopt(socket->get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  calls_.push_back(std::make_unique<Call>(client_, std::move(*socket), is_watch_));
  if (!calls_.back()->Start()) {
    End(calls_.size() - 1);
    return false;
  }
  ScheduleSilenceCheck();
  return true;
}

void DiscoveryClient::CallGroup::End(size_t index) {
  client_.Destroy(std::move(calls_[index]));
  calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
}

void DiscoveryClient::CallGroup::End(const Call& call) {
  const auto found =
      std::ranges::find_if(calls_, [&call](const auto& open) { return open.get() == &call; });
  if (found != calls_.end()) {
    End(static_cast<size_t>(found - calls_.begin()));
  }
}

void DiscoveryClient::CallGroup::EndAll() {
  client_.loop_.CancelTimer(silence_timer_);
  while (!calls_.empty()) {
    End(calls_.size() - 1);
  }
}

void DiscoveryClient::CallGroup::EndAllExcept(const Call& kept) {
  for (size_t i = calls_.size(); i-- > 0;) {
    if (calls_[i].get() != &kept) {
      End(i);
    }
  }
}

void DiscoveryClient::CallGroup::EndUnanswered() {
  for (size_t i = calls_.size(); i-- > 0;) {
    if (!calls_[i]->progress().has_line()) {
      End(i);
    }
  }
}

std::unique_ptr<DiscoveryClient::Call> DiscoveryClient::CallGroup::TakeLatestDelivering() {
  const auto latest = std::ranges::max_element(
      calls_, {}, [](const auto& call) { return call->progress().last_line_at; });
  if (latest == calls_.end() || !(*latest)->progress().has_line()) {
    return nullptr;
  }
  std::unique_ptr<Call> taken = std::move(*latest);
  calls_.erase(latest);
  return taken;
}

// ---- Silence --------------------------------------------------------------------------------

bool DiscoveryClient::CallGroup::HasLiveCall() const {
  return CallSchedule::HasLiveCall(Progress(), client_.loop_.Now());
}

bool DiscoveryClient::CallGroup::NeedsCall() const {
  return calls_.empty() || client_.loop_.Now() >= CallSchedule::NextStart(Progress());
}

void DiscoveryClient::CallGroup::ScheduleStart(Duration delay) {
  if (start_is_scheduled()) {
    return;
  }
  start_timer_ = client_.loop_.RunAfter(delay, [this] {
    start_timer_ = {};
    if (HasLiveCall()) {
      return ScheduleSilenceCheck();
    }
    client_.StartCall(*this);
  });
}

void DiscoveryClient::CallGroup::CancelScheduledStart() {
  client_.loop_.CancelTimer(start_timer_);
  ScheduleSilenceCheck();
}

// The timer is not moved when a line arrives; CheckSilence compares the times again.
void DiscoveryClient::CallGroup::ScheduleSilenceCheck() {
  if (silence_timer_.number != 0 || calls_.empty() || start_is_scheduled()) {
    return;
  }
  // A call that is due has not been started only because of the backoff.
  const Duration until_due = CallSchedule::NextStart(Progress()) - client_.loop_.Now();
  const Duration delay = until_due > Duration(0) ? until_due : CallSchedule::kMaxSilence;
  silence_timer_ = client_.loop_.RunAfter(delay, [this] {
    silence_timer_ = {};
    CheckSilence();
  });
}

void DiscoveryClient::CallGroup::CheckSilence() {
  const Time now = client_.loop_.Now();
  for (const size_t superseded : CallSchedule::SupersededCalls(Progress(), now)) {
    End(superseded);
  }
  if (calls_.empty() || start_is_scheduled()) {
    return;
  }
  if (NeedsCall() && now >= backoff_.until) {
    return client_.OnSilence(*this);
  }
  ScheduleSilenceCheck();
}

}  // namespace paddlestile
