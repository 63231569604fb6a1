#include "discovery/discovery_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "discovery/discovery_call.h"
#include "event/socket.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

// Retry delay of a self-renewing watch, doubled up to kMaxRetryDoublings times: at most 0.4 s.
constexpr Duration kFirstRetryDelay = milliseconds(100);
constexpr int kMaxRetryDoublings = 2;
// When the client restarts a watch on request, counted from the time that the agent was last known
// to be reachable. The load balancer's own retry delay grows up to 6 s, after a call that may have
// been silent for 5 s, which is too late: changes must be in effect within 6 s. This leaves 0.4 s
// for the response.
constexpr Duration kRenewalDelay = milliseconds(5'600);
constexpr int kReceiveBufferBytes = 1 << 18;  // limits unread data held by the kernel

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, const Address& discovery, const NameTables& names,
                                 double revision, bool self_renewing_watch, Listener* listener)
    : loop_(loop),
      discovery_(discovery),
      names_(&names),
      revision_(revision),
      self_renewing_watch_(self_renewing_watch),
      listener_(listener) {}

DiscoveryClient::~DiscoveryClient() {
  loop_.CancelTimer(retry_timer_);
  loop_.CancelTimer(poll_retry_timer_);
  for (Call* const call : {watch_.get(), previous_watch_.get(), poll_.get()}) {
    if (call != nullptr) {
      call->Stop();
    }
  }
}

void DiscoveryClient::Start() {
  if (self_renewing_watch_) {
    Open(watch_, true);
  }
}

// Starts the new watch without waiting for the previous one to end. The agent at the previous
// address closes soon and does not receive later changes, so that waiting would miss drains.
void DiscoveryClient::Redirect(const Address& discovery) {
  if (discovery == discovery_) {
    return;
  }
  discovery_ = discovery;
  const bool watching = watch_ != nullptr || retry_timer_.number != 0;
  if (watch_ && watch_has_delivered_) {
    Close(previous_watch_);
    previous_watch_ = std::move(watch_);
  }
  consecutive_watch_failures_ = 0;
  ResetBackoff();
  loop_.CancelTimer(retry_timer_);
  if (self_renewing_watch_ || watching) {
    Open(watch_, true);
  }
  if (poll_retry_timer_.number != 0) {
    loop_.CancelTimer(poll_retry_timer_);
    Open(poll_, false);
  }
}

void DiscoveryClient::SetWatching(bool on) {
  if (self_renewing_watch_) {
    return;
  }
  loop_.CancelTimer(retry_timer_);
  const bool renewed = std::exchange(failure_reported_, false);
  if (on && renewed && watch_) {
    return;  // the client has already restarted the watch
  }
  if (!on) {
    Close(watch_);
    Close(previous_watch_);
  } else if (const Duration wait = watch_backoff_.until - loop_.Now(); wait > Duration(0)) {
    ScheduleWatch(wait);
  } else {
    Open(watch_, true);
  }
}

void DiscoveryClient::Poll() {
  if (poll_ || poll_retry_timer_.number != 0) {
    return;
  }
  const Duration wait = poll_backoff_.until - loop_.Now();
  if (wait <= Duration(0)) {
    return Open(poll_, false);
  }
  poll_retry_timer_ = loop_.RunAfter(wait, [this] {
    poll_retry_timer_ = {};
    Open(poll_, false);
  });
}

void DiscoveryClient::Open(std::unique_ptr<Call>& call, bool watch) {
  Close(call);
  ++(watch ? GlobalCounters().discovery_watches : GlobalCounters().discovery_polls);
  if (watch) {
    watch_has_delivered_ = false;
  }
  bool refused = false;
  std::optional<Socket> socket = Connect(discovery_, nullptr, refused);
  if (socket) {
    setsockopt(socket->get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
    call = std::make_unique<Call>(*this, std::move(*socket), watch);
    if (call->Start()) {
      return;
    }
    Close(call);
  }
  const Duration retry_delay = RetryDelay(loop_.Now());
  if (watch) {
    ++consecutive_watch_failures_;
  }
  ReportFailure(watch, retry_delay);
}

void DiscoveryClient::Close(std::unique_ptr<Call>& call) {
  if (!call) {
    return;
  }
  call->Stop();
  loop_.RunDeferred([kept = std::shared_ptr<Call>(std::move(call))] {});
}

// ---- Called by Call -------------------------------------------------------------------------

void DiscoveryClient::OnDelivered(const Call& call) {
  if (&call != watch_.get()) {
    return;
  }
  consecutive_watch_failures_ = 0;
  watch_has_delivered_ = true;
  Close(previous_watch_);
}

void DiscoveryClient::OnCallFailed(Call& call, std::string_view reason) {
  const bool watch = call.is_watch();
  Log(LogLevel::kWarning, "discovery {}: {}", watch ? "watch" : "poll", reason);
  if (&call == previous_watch_.get()) {
    return Close(previous_watch_);  // not restarted
  }
  const Time reachable_at = call.reachable_at();
  Close(watch ? watch_ : poll_);
  const Duration retry_delay = RetryDelay(reachable_at);
  if (watch) {
    ++consecutive_watch_failures_;
  }
  ReportFailure(watch, retry_delay);
}

void DiscoveryClient::OnOversizedList(Call& call) {
  ++GlobalCounters().discovery_too_long;
  const bool watch = call.is_watch();
  if (&call == previous_watch_.get()) {
    return OnCallFailed(call, "list too long");
  }
  Backoff& backoff = watch ? watch_backoff_ : poll_backoff_;
  if (backoff.tries == 0) {
    Log(LogLevel::kWarning,
        "discovery {}: list too long (over {} bytes); keeping the current list and retrying with "
        "exponential backoff up to {:.0f} s",
        watch ? "watch" : "poll", max_list_bytes_,
        static_cast<double>(oversize_backoff_max_.count()) / 1e6);
  }
  const Duration delay = NextOversizeDelay(backoff);
  const Time reachable_at = call.reachable_at();
  Close(watch ? watch_ : poll_);
  // In on-request mode, SetWatching may start the watch as soon as the backoff has expired.
  ReportFailure(watch, self_renewing_watch_ ? delay : std::max(delay, RetryDelay(reachable_at)));
}

bool DiscoveryClient::OnMalformed(std::string_view reason) {
  ++GlobalCounters().discovery_malformed;
  Log(LogLevel::kWarning, "discovery: {}", reason);
  return false;
}

bool DiscoveryClient::Parse(JsonParser& parser, std::string_view text) {
  try {
    parser.Feed(text);
  } catch (const JsonError& error) {
    return OnMalformed(error.what());
  }
  return true;
}

bool DiscoveryClient::AcceptList(const Call& source, JsonParser& parser, bool must_be_complete) {
  try {
    const Clock& clock = loop_.clock();
    EndpointList list = ParseEndpointList(
        parser.End(), *names_, [&](double unix_ms) { return clock.FromUnixMillis(unix_ms); });
    if (must_be_complete && !list.complete) {
      throw JsonError("the list in a poll response is not complete");
    }
    if (!RecordStaleness(list.revision)) {
      return !must_be_complete;
    }
    // A list from the previous address does not show that the current agent has recovered, and
    // neither does a change that was received before.
    const bool is_new = list.complete || list.revision > revision_;
    if (is_new && &source != previous_watch_.get()) {
      ResetBackoff();
    }
    revision_ = list.revision;
    ++GlobalCounters().discovery_updates;
    listener_->OnEndpointList(std::move(list));
    return true;
  } catch (const std::exception& error) {
    return OnMalformed(error.what());
  }
}

// An older list would bring back endpoints that have left, so it is ignored. A lagging agent
// catches up on the same watch. An agent that does not catch up uses a different revision sequence,
// which is accepted after max_staleness_.
bool DiscoveryClient::RecordStaleness(double list_revision) {
  if (list_revision >= revision_) {
    stale_since_ = Time(-1);
    return true;
  }
  ++GlobalCounters().discovery_stale;
  Log(LogLevel::kWarning, "discovery: ignoring revision {:.0f}, older than the current {:.0f}",
      list_revision, revision_);
  if (stale_since_ < Time(0)) {
    stale_since_ = loop_.Now();
  }
  return false;
}

bool DiscoveryClient::StaleForTooLong() const {
  return stale_since_ >= Time(0) && loop_.Now() - stale_since_ >= max_staleness_;
}

// ---- Retries --------------------------------------------------------------------------------

Duration DiscoveryClient::RetryDelay(Time reachable_at) const {
  if (!self_renewing_watch_) {
    return reachable_at + kRenewalDelay - loop_.Now();
  }
  return kFirstRetryDelay * (1 << std::min(consecutive_watch_failures_, kMaxRetryDoublings));
}

Duration DiscoveryClient::NextOversizeDelay(Backoff& backoff) const {
  Duration delay = oversize_backoff_first_;
  for (int i = 0; i < backoff.tries && delay < oversize_backoff_max_; ++i) {
    delay *= 2;
  }
  delay = std::min(delay, oversize_backoff_max_);
  ++backoff.tries;
  backoff.until = loop_.Now() + delay;
  return delay;
}

// The load balancer responds to each reported watch failure with a new SetWatching call, possibly
// immediately. Further watch failures are not reported until that call.
void DiscoveryClient::ReportFailure(bool watch, Duration retry_delay) {
  ++GlobalCounters().discovery_failures;
  const bool already_reported = watch && failure_reported_;
  if (watch) {
    failure_reported_ = !self_renewing_watch_;
    ScheduleWatch(retry_delay);
  }
  if (!already_reported) {
    listener_->OnDiscoveryFailed();
  }
}

void DiscoveryClient::ScheduleWatch(Duration delay) {
  if (retry_timer_.number != 0) {
    return;
  }
  retry_timer_ = loop_.RunAfter(delay, [this] {
    retry_timer_ = {};
    Open(watch_, true);
  });
}

void DiscoveryClient::ResetBackoff() {
  watch_backoff_ = Backoff{};
  poll_backoff_ = Backoff{};
}

}  // namespace paddlestile
