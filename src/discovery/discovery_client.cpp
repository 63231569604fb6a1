#include "discovery/discovery_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "discovery/call_group.h"
#include "discovery/call_schedule.h"
#include "discovery/discovery_call.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

// Retry delay of a self-renewing watch, doubled up to kMaxRetryDoublings times: at most 0.4 s.
constexpr Duration kFirstRetryDelay = milliseconds(100);
constexpr int kMaxRetryDoublings = 2;
// When the client restarts a failed watch on request at the latest, counted from the time that the
// agent was last known to be reachable. The load balancer's own retry delay grows up to 6 s, which
// would leave the agent no time to respond within CallSchedule::kMaxChangeDelay.
constexpr Duration kRenewalDelay = CallSchedule::kMaxChangeDelay / 2;

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, const Address& discovery, const NameTables& names,
                                 double revision, bool self_renewing_watch, Listener* listener)
    : loop_(loop),
      discovery_(discovery),
      names_(&names),
      revision_(revision),
      self_renewing_watch_(self_renewing_watch),
      listener_(listener),
      watches_(std::make_unique<CallGroup>(*this, true)),
      polls_(std::make_unique<CallGroup>(*this, false)) {}

DiscoveryClient::~DiscoveryClient() {
  if (previous_watch_) {
    previous_watch_->Stop();
  }
}

void DiscoveryClient::Start() {
  if (self_renewing_watch_) {
    StartCall(*watches_);
  }
}

// Starts the new watch without waiting for the previous one to end. The agent at the previous
// address closes soon and does not receive later changes, so that waiting would miss drains.
void DiscoveryClient::Redirect(const Address& discovery) {
  if (discovery == discovery_) {
    return;
  }
  discovery_ = discovery;
  const bool watching = !watches_->empty() || watches_->start_is_scheduled();
  if (std::unique_ptr<Call> delivering = watches_->TakeLatestDelivering()) {
    Destroy(std::exchange(previous_watch_, std::move(delivering)));
  }
  watches_->EndAll();
  consecutive_watch_failures_ = 0;
  ResetBackoff();
  watches_->CancelScheduledStart();
  if (self_renewing_watch_ || watching) {
    StartCall(*watches_);
  }
  if (polls_->start_is_scheduled()) {
    polls_->CancelScheduledStart();
    StartCall(*polls_);
  }
}

void DiscoveryClient::SetWatching(bool on) {
  if (self_renewing_watch_) {
    return;
  }
  watches_->CancelScheduledStart();
  failure_reported_ = false;
  if (!on) {
    watches_->EndAll();
    Destroy(std::move(previous_watch_));
    return;
  }
  if (!watches_->NeedsCall()) {
    return;  // a watch is live, or the client has already started another one
  }
  if (const Duration wait = watches_->backoff().until - loop_.Now(); wait > Duration(0)) {
    watches_->ScheduleStart(wait);
  } else {
    StartCall(*watches_);
  }
}

void DiscoveryClient::Poll() {
  if (!polls_->empty() || polls_->start_is_scheduled()) {
    return;
  }
  if (const Duration wait = polls_->backoff().until - loop_.Now(); wait > Duration(0)) {
    polls_->ScheduleStart(wait);
  } else {
    StartCall(*polls_);
  }
}

bool DiscoveryClient::StartCall(CallGroup& group) {
  if (group.Start()) {
    return true;
  }
  RetryAfterFailure(group, CountFailure(group, loop_.Now()));
  return false;
}

void DiscoveryClient::Destroy(std::unique_ptr<Call> call) {
  if (!call) {
    return;
  }
  call->Stop();
  loop_.RunDeferred([kept = std::shared_ptr<Call>(std::move(call))] {});
}

DiscoveryClient::CallGroup& DiscoveryClient::GroupOf(const Call& call) {
  return call.is_watch() ? *watches_ : *polls_;
}

// ---- Called by CallGroup --------------------------------------------------------------------

void DiscoveryClient::OnSilence(CallGroup& group) {
  Log(LogLevel::kWarning, "discovery {}: silent, starting another beside it",
      group.is_watch() ? "watch" : "poll");
  if (StartCall(group)) {
    ++GlobalCounters().discovery_failures;
    ReportFailure(group);
  }
}

// ---- Called by Call -------------------------------------------------------------------------

void DiscoveryClient::OnLineReceived(const Call& call) {
  if (&call == previous_watch_.get()) {
    return;
  }
  consecutive_watch_failures_ = 0;
  Destroy(std::move(previous_watch_));
}

void DiscoveryClient::OnCallFailed(Call& call, std::string_view reason) {
  Log(LogLevel::kWarning, "discovery {}: {}", call.is_watch() ? "watch" : "poll", reason);
  if (&call == previous_watch_.get()) {
    return Destroy(std::move(previous_watch_));  // not restarted
  }
  CallGroup& group = GroupOf(call);
  const Time reachable_at = call.reachable_at();
  group.End(call);
  RetryAfterFailure(group, CountFailure(group, reachable_at));
}

void DiscoveryClient::OnOversizedList(Call& call) {
  ++GlobalCounters().discovery_too_long;
  if (&call == previous_watch_.get()) {
    return OnCallFailed(call, "list too long");
  }
  CallGroup& group = GroupOf(call);
  Backoff& backoff = group.backoff();
  if (backoff.tries == 0) {
    Log(LogLevel::kWarning,
        "discovery {}: list too long (over {} bytes); keeping the current list and retrying with "
        "exponential backoff up to {:.0f} s",
        group.is_watch() ? "watch" : "poll", max_list_bytes_,
        static_cast<double>(oversize_backoff_max_.count()) / 1e6);
  }
  const Duration delay = NextOversizeDelay(backoff);
  const Time reachable_at = call.reachable_at();
  group.End(call);
  group.EndUnanswered();  // they would receive the same list
  // In on-request mode, SetWatching may start the watch as soon as the backoff has expired.
  RetryAfterFailure(group,
                    self_renewing_watch_ ? delay : std::max(delay, RetryDelay(reachable_at)));
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
    EndSupersededCalls(source);
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

// The other watches must end too: what they deliver is not relative to the next list.
void DiscoveryClient::ForgetRevision(const Call& current) {
  revision_ = 0;
  stale_since_ = Time(-1);
  EndSupersededCalls(current);
}

void DiscoveryClient::EndSupersededCalls(const Call& source) {
  if (&source != previous_watch_.get()) {
    GroupOf(source).EndAllExcept(source);
  }
}

// ---- Retries --------------------------------------------------------------------------------

Duration DiscoveryClient::RetryDelay(Time reachable_at) const {
  if (!self_renewing_watch_) {
    return reachable_at + kRenewalDelay - loop_.Now();
  }
  return kFirstRetryDelay * (1 << std::min(consecutive_watch_failures_, kMaxRetryDoublings));
}

Duration DiscoveryClient::CountFailure(const CallGroup& group, Time reachable_at) {
  const Duration delay = RetryDelay(reachable_at);
  if (group.is_watch()) {
    ++consecutive_watch_failures_;
  }
  return delay;
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

void DiscoveryClient::RetryAfterFailure(CallGroup& group, Duration retry_delay) {
  ++GlobalCounters().discovery_failures;
  if (group.is_watch()) {
    if (group.HasLiveCall()) {
      return;
    }
    group.ScheduleStart(retry_delay);
  } else if (!group.empty()) {
    return;
  }
  ReportFailure(group);
}

// The load balancer responds to each reported watch failure with a new SetWatching call, possibly
// immediately. Further watch failures are not reported until that call.
void DiscoveryClient::ReportFailure(const CallGroup& group) {
  const bool already_reported = group.is_watch() && failure_reported_;
  if (group.is_watch()) {
    failure_reported_ = !self_renewing_watch_;
  }
  if (!already_reported) {
    listener_->OnDiscoveryFailed();
  }
}

void DiscoveryClient::ResetBackoff() {
  watches_->backoff() = Backoff{};
  polls_->backoff() = Backoff{};
}

}  // namespace paddlestile
