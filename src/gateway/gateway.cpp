#include "gateway/gateway.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <fstream>
#include <unordered_set>
#include <utility>
#include <variant>

#include "balancer/learned_state.h"
#include "base/log.h"
#include "base/metrics.h"
#include "gateway/learned_state_codec.h"

namespace paddlestile {
namespace {

constexpr Duration kConnectUnknown{1'000'000};  // us; where the settings name no time-out
constexpr Duration kDrainSpare{600'000};        // us; beyond the longest deadline, after SIGTERM
constexpr Duration kReadyMost{1'000'000};       // us; without a list from discovery
constexpr size_t kNameShown = 64;               // bytes of the gateway's name in counters
constexpr size_t kRecentMost = 8192;            // ids remembered after their requests

void CountOutcome(Outcome outcome) {
  Counters& count = GlobalCounters();
  switch (outcome) {
    case Outcome::kOk:
      ++count.attempts_ok;
      break;
    case Outcome::kError:
      ++count.attempts_error;
      break;
    case Outcome::kRejected:
      ++count.attempts_rejected;
      break;
    case Outcome::kTimeout:
      ++count.attempts_timeout;
      break;
    case Outcome::kConnectFailed:
      ++count.attempts_connect_failed;
      break;
    case Outcome::kReset:
      ++count.attempts_reset;
      break;
    case Outcome::kCancelled:
      ++count.attempts_cancelled;
      break;
    case Outcome::kNotSent:
      ++count.attempts_not_sent;
      break;
    case Outcome::kInvalidResponse:
      ++count.attempts_invalid_response;
      break;
  }
}

// Resident, in kB; 0 where the system does not tell.
long ResidentKb() {
  std::ifstream file("/proc/self/statm");
  long whole = 0, resident = 0;
  return file >> whole >> resident ? resident * (sysconf(_SC_PAGESIZE) / 1024) : 0;
}

Upstream::Options ServerOptions(const GatewayConfig& config) {
  Upstream::Options options;
  options.connect_timeout = config.settings.allowed.connect_timeout;
  // Settings that name none would else fail each connection before it can come up.
  if (options.connect_timeout <= Duration(0)) {
    options.connect_timeout = kConnectUnknown;
  }
  options.endpoint_idle_timeout = config.endpoint_idle_timeout;
  options.report_fields = config.names.report_fields;
  options.reports_in_responses = config.settings.load_report.source == LoadReportSource::kResponses;
  options.reports_in_probes = config.settings.load_report.source != LoadReportSource::kNone;
  return options;
}

}  // namespace

Gateway::~Gateway() {
  lifecycle_.SetChangeCallback(nullptr);
  loop_.CancelTimer(ready_timer_);
  for (auto& [exchange, timer] : overdue_timers_) {
    loop_.CancelTimer(timer);
  }
}

Gateway::Gateway(EventLoop& loop, GatewayConfig config, Lifecycle& life, FileDescriptor handed,
                 bool shared)
    : loop_(loop),
      config_(std::make_shared<GatewayConfig>(std::move(config))),
      lifecycle_(life),
      budget_(config_->max_sockets),
      load_balancer_(config_->settings, config_->seed) {
  upstream_ = std::make_unique<Upstream>(loop_, budget_, ServerOptions(*config_), this);
  for (const RequestClass& c : config_->settings.classes) {
    longest_deadline_ = std::max(longest_deadline_, c.deadline);
  }
  const bool own_watch = config_->settings.discovery_mode == DiscoveryMode::kPush;
  discovery_ =
      std::make_unique<DiscoveryClient>(loop_, config_->discovery, config_->names,
                                        config_->initial_endpoints.revision, own_watch, this);
  ApplyEndpointList(config_->initial_endpoints, EndpointUpdateKind::kCached);
  discovery_->Start();
  // Last: a client that is let in finds all the rest at work.
  downstream_ = std::make_unique<Downstream>(loop_, budget_, config_->listen, lifecycle_, this,
                                             std::move(handed), shared);
  lifecycle_.SetChangeCallback([this] { OnLifecycleChanged(); });
  if (!lifecycle_.accepts()) {
    ready_timer_ = loop_.RunAfter(kReadyMost, [this] { lifecycle_.set_ready(); });
  }
}

void Gateway::Drain(std::function<void()> done) {
  downstream_->Shutdown(longest_deadline_ + kDrainSpare, std::move(done));
  lifecycle_.set_ending();
}

void Gateway::ApplyConfig(GatewayConfig config) {
  ValidateSettings(config.settings);
  config_ = std::make_shared<GatewayConfig>(std::move(config));
  longest_deadline_ = Duration(0);
  for (const RequestClass& c : config_->settings.classes) {
    longest_deadline_ = std::max(longest_deadline_, c.deadline);
  }
  upstream_->set_options(ServerOptions(*config_));
  discovery_->set_names(config_->names);
  LogUnsupportedSettings();
  discovery_->Redirect(config_->discovery);
}

void Gateway::ApplyTenantChanges(const std::vector<TenantChange>& changes) {
  if (changes.empty()) {
    return;
  }
  paddlestile::ApplyTenantChanges(changes, loop_.Now(), *config_);
  // Settings that still wait are told as they are now.
  const auto whole = [](const Event& e) {
    return std::holds_alternative<Settings>(e);
  };
  if (std::ranges::any_of(events_, whole)) {
    return LogUnsupportedSettings();
  }
  TenantQuotaUpdate told;
  for (const auto& [name, figures] : changes) {
    // One that is gone keeps what it had.
    if (figures) {
      told.entries.emplace_back(config_->names.tenants.Find(name), *figures);
    }
  }
  if (told.entries.empty()) {
    return;
  }
  // Ahead of what waits, and behind earlier ones, which these come to.
  const auto at = std::ranges::find_if_not(
      events_, [](const Event& e) { return std::holds_alternative<TenantQuotaUpdate>(e); });
  events_.insert(at, std::move(told));
  Enqueue();
}

// Ahead of what waits, and alone: earlier ones that wait there would come behind these, and stay.
void Gateway::LogUnsupportedSettings() {
  std::erase_if(events_, [](const Event& e) {
    return std::holds_alternative<Settings>(e) || std::holds_alternative<TenantQuotaUpdate>(e);
  });
  events_.emplace_front(config_->settings);
  Enqueue();
}

std::string Gateway::ExportLearnedState() const {
  return EncodeLearnedState(load_balancer_.learned_state(), config_->names, loop_.Now());
}

bool Gateway::ImportLearnedState(const std::string& text) {
  ProcessEvents();  // the list that the hosts are known by
  const auto told = DecodeLearnedState(text, config_->names, loop_.Now());
  if (told) {
    load_balancer_.ImportLearnedState(loop_.Now(), *told);
  }
  return told.has_value();
}

void Gateway::OnLifecycleChanged() {
  const LifecycleStage stage = lifecycle_.stage();
  if (stage == LifecycleStage::kDrained) {
    ++GlobalCounters().drains;
  }
  Log(LogLevel::kInfo, "life: {}, {} connections of clients", ToText(stage),
      downstream_->connection_count());
  downstream_->OnLifecycleChanged();
}

std::string Gateway::DescribeState() const {
  const Statistics& stats = load_balancer_.statistics();
  const auto unix_s = [](std::chrono::system_clock::time_point at) {
    return std::chrono::duration<double>(at.time_since_epoch()).count();
  };
  // One word, whatever the name has in it.
  std::string name = config_->name.substr(0, kNameShown);
  std::ranges::replace_if(
      name, [](unsigned char c) { return c <= ' ' || c == '='; }, '_');
  std::string refusals;
  for (size_t i = 0; i < stats.unserved_by_reason.size(); ++i) {
    if (stats.unserved_by_reason[i] == 0) {
      continue;
    }
    refusals += fmt::format("unserved_{}={} ", ToText(static_cast<ExclusionReason>(i)),
                            stats.unserved_by_reason[i]);
  }
  return fmt::format(
      "clients={} hosts_connected={} hosts_idle={} descriptors={} memory_kb={} in_hand={} held={} "
      "revision={:.0f} "
      "picks_cold={} picks_hot={} picks_fallback={} {}life={} gateway={} "
      "since={:.3f} at={:.3f} {}",
      downstream_->connection_count(), upstream_->connection_count(), upstream_->idle_count(),
      budget_.used(), ResidentKb(), requests_.size(), unanswered_count_, discovery_->revision(),
      stats.selections[static_cast<size_t>(SelectionMethod::kCold)],
      stats.selections[static_cast<size_t>(SelectionMethod::kHot)],
      stats.selections[static_cast<size_t>(SelectionMethod::kFallback)], refusals,
      CounterName(lifecycle_.stage()), name, unix_s(started_at_),
      unix_s(std::chrono::system_clock::now()), GlobalCounters().ToText());
}

// ---- What happens ---------------------------------------------------------------------------

AdmissionResult Gateway::OnRequest(BufferedMessage request,
                                   ProxiedRequest::ResponseCallback reply) {
  const Time now = loop_.Now();
  ParsedRequest understood = ParseRequest(request, config_->names, config_->settings, now);
  if (understood.error_status != 0) {
    return {nullptr, understood.error_status, understood.reason};
  }
  RequestArrived& submit = understood.arrival;
  // The same id again while it is in hand would run under the first one's answer. Shortly after, it
  // is a copy of somebody else's that was sent while that was in hand: hosts turn it away.
  if (requests_.contains(submit.id) || IsRecentRequestId(submit.id)) {
    return {nullptr, 409, "X-Call-Id in hand"};
  }
  const int most = config_->settings.allowed.max_held_requests;
  if (most > 0 && unanswered_count_ >= static_cast<size_t>(most)) {
    ++GlobalCounters().requests_over_limit;
    return {nullptr, 503, "too many requests held"};
  }
  ++GlobalCounters().requests_admitted;
  ++unanswered_count_;
  RememberRequestId(submit.id);
  auto exchange = std::make_shared<ProxiedRequest>(
      submit.id, std::move(request), submit.deadline,
      std::shared_ptr<const RequestClass>(config_,
                                          &config_->settings.classes[submit.request_class]),
      std::move(reply));
  exchange->set_client_timeout(submit.deadline - now);
  requests_.emplace(submit.id, exchange);
  if (exchange->message().streaming_body == nullptr) {
    StartOverdueTimer(exchange);
  }
  Enqueue(std::move(submit));
  return {std::move(exchange), 0, {}};
}

void Gateway::StartOverdueTimer(const std::shared_ptr<ProxiedRequest>& exchange) {
  const Duration slack = config_->settings.rules.response_slack;
  overdue_timers_.emplace(exchange.get(),
                          loop_.RunAfter(exchange->deadline() + slack - loop_.Now(),
                                         [this, exchange] { OnOverdue(exchange); }));
}

void Gateway::OnRequestComplete(const std::shared_ptr<ProxiedRequest>& exchange) {
  if (exchange->done()) {
    return;
  }
  exchange->set_deadline(loop_.Now() + exchange->client_timeout());
  StartOverdueTimer(exchange);
}

bool Gateway::IsRecentRequestId(const std::string& id) {
  const Time now = loop_.Now();
  while (!recent_.empty() && now - recent_.front().first > longest_deadline_) {
    recent_ids_.erase(recent_.front().second);
    recent_.pop_front();
  }
  return recent_ids_.contains(id);
}

void Gateway::RememberRequestId(const std::string& id) {
  recent_ids_.insert(id);
  recent_.emplace_back(loop_.Now(), id);
  if (recent_.size() <= kRecentMost) {
    return;
  }
  recent_ids_.erase(recent_.front().second);
  recent_.pop_front();
}

void Gateway::OnClientDisconnected(const std::shared_ptr<ProxiedRequest>& exchange) {
  ++GlobalCounters().clients_disconnected;
  --unanswered_count_;
  upstream_->OnClientDisconnected(*exchange);
  Enqueue(ClientDisconnected{exchange->id()});
  MaybeEraseRequest(exchange);
}

// The last answer is the module's to give, in time. Should it ever fail to, its client is not left
// waiting: the request ends here as it does in the simulator.
void Gateway::OnOverdue(const std::shared_ptr<ProxiedRequest>& exchange) {
  overdue_timers_.erase(exchange.get());
  if (exchange->committed_attempt() || !exchange->Respond({.status = 502})) {
    return;
  }
  ++GlobalCounters().responses_overdue;
  --unanswered_count_;
  Log(LogLevel::kError, "no answer in time to {}", exchange->id());
  Enqueue(ClientDisconnected{exchange->id()});
  MaybeEraseRequest(exchange);
}

bool Gateway::OnDescriptorsExhausted() {
  // Clients first: one that idles may never come back, and a new connection to a host costs it
  // work.
  return (downstream_ && downstream_->CloseOneIdle()) || upstream_->CloseOneIdle();
}

void Gateway::OnAttemptFinished(const std::shared_ptr<ProxiedRequest>& exchange, size_t attempt,
                                const std::string& endpoint, Outcome outcome, Duration took,
                                std::optional<LoadReport> report,
                                std::shared_ptr<const BufferedMessage> from) {
  CountOutcome(outcome);
  exchange->EndAttempt();
  if (outcome == Outcome::kOk && exchange->Respond({.status = 200, .upstream_message = from})) {
    ++GlobalCounters().responses_served;
    --unanswered_count_;
  }
  // A host that blames the request is believed: others would say the same, and none is sick for it.
  if (outcome == Outcome::kInvalidResponse && from &&
      exchange->Respond({.status = from->message.status, .upstream_message = from})) {
    ++GlobalCounters().responses_failed;
    --unanswered_count_;
  }
  // The break of a stream that had begun is the end of its request.
  if (outcome != Outcome::kOk && exchange->committed_attempt() == attempt &&
      exchange->Respond({.status = 502})) {
    ++GlobalCounters().responses_failed;
    --unanswered_count_;
  }
  AttemptFinished settled{exchange->id(), attempt, endpoint,         outcome,
                          took,           false,   std::move(report)};
  const auto tell = [this, exchange](AttemptFinished event) {
    event.request_finished = exchange->done();
    event.request_consumed = exchange->body_consumed();
    Enqueue(std::move(event));
    MaybeEraseRequest(exchange);
  };
  if (exchange->done()) {
    return tell(std::move(settled));
  }
  // A further attempt may follow. Its client may have gone while the loop stood still, and the news
  // of that be behind this event, or in none of this round: what has come by now is read first.
  loop_.RunAfterRound([this, tell, event = std::move(settled), alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    loop_.RunAfter(Duration(0), [tell, event, alive] {
      if (!alive.expired()) {
        tell(event);
      }
    });
  });
}

void Gateway::OnResponseStarted(const std::shared_ptr<ProxiedRequest>& exchange, size_t attempt,
                                const std::string& endpoint, Duration took) {
  Enqueue(ResponseStarted{exchange->id(), attempt, endpoint, took});
}

void Gateway::OnProbeFinished(const std::string& endpoint, Outcome outcome, Duration took,
                              std::optional<LoadReport> report) {
  Enqueue(ProbeFinished{endpoint, outcome, took, std::move(report)});
}

void Gateway::OnEndpointList(EndpointList list) {
  const EndpointUpdateKind kind =
      list.complete ? EndpointUpdateKind::kFull : EndpointUpdateKind::kDelta;
  ApplyEndpointList(std::move(list), kind);
  lifecycle_.set_ready();
}

void Gateway::OnDiscoveryFailed() {
  Enqueue(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
}

void Gateway::ApplyEndpointList(EndpointList list, EndpointUpdateKind kind) {
  if (kind != EndpointUpdateKind::kDelta) {
    std::unordered_set<std::string> present;
    for (const EndpointListEntry& entry : list.endpoints) {
      present.insert(entry.info.id);
    }
    for (const auto& [id, was] : listed_endpoints_) {
      if (!present.contains(id)) {
        upstream_->RemoveEndpoint(id);
      }
    }
    listed_endpoints_.clear();
  }
  EndpointUpdate members{kind, {}};
  for (EndpointListEntry& entry : list.endpoints) {
    if (entry.info.state == EndpointState::kRemoved) {
      upstream_->RemoveEndpoint(entry.info.id);
      listed_endpoints_.erase(entry.info.id);
    } else {
      upstream_->SetEndpointAddress(entry.info.id, entry.address);
      const EndpointInfo told = entry.info;
      if (all_hosts_excluded_ || excluded_hosts_.contains(told.id)) {
        entry.info.state = EndpointState::kDraining;
      }
      listed_endpoints_[told.id] = {entry.info.state == EndpointState::kDraining, told.started_at,
                                    told};
    }
    members.endpoints.push_back(std::move(entry.info));
  }
  Enqueue(std::move(members));
}

void Gateway::ExcludeHosts(std::set<std::string> hosts, bool all) {
  const std::set<std::string> before = std::exchange(excluded_hosts_, std::move(hosts));
  const bool all_before = std::exchange(all_hosts_excluded_, all);
  EndpointUpdate members{EndpointUpdateKind::kDelta, {}};
  const auto look = [&](const std::string& id, ListedEndpoint& listed) {
    const bool off = all || excluded_hosts_.contains(id);
    if (off == (all_before || before.contains(id))) {
      return;
    }
    EndpointInfo info = listed.listed_info;
    if (off) {
      info.state = EndpointState::kDraining;
    }
    listed.draining = info.state == EndpointState::kDraining;
    members.endpoints.push_back(std::move(info));
  };
  if (all || all_before) {
    for (auto& [id, listed] : listed_endpoints_) {
      look(id, listed);
    }
  } else {
    // Only those that are named: a list may be long.
    std::vector<std::string> differ;
    std::ranges::set_symmetric_difference(before, excluded_hosts_, std::back_inserter(differ));
    for (const std::string& id : differ) {
      if (const auto at = listed_endpoints_.find(id); at != listed_endpoints_.end()) {
        look(id, at->second);
      }
    }
  }
  if (members.endpoints.empty()) {
    return;
  }
  // Before what waits, so that no event after this call is decided without it; and behind it, as a
  // list that waits was read before.
  if (!events_.empty()) {
    events_.emplace_back(members);
  }
  events_.emplace_front(std::move(members));
  Enqueue();
}

void Gateway::RunBeforeEventsFrom(Time until, std::function<void()> then) {
  guard_until_ = until;
  guard_ = std::move(then);
}

// ---- The module -----------------------------------------------------------------------------

void Gateway::Enqueue(Event event) {
  events_.push_back(std::move(event));
  Enqueue();
}

void Gateway::Enqueue() {
  if (std::exchange(processing_events_, true)) {
    return;
  }
  // After the handler at work: what the module wants done must not happen within it.
  loop_.RunDeferred([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      ProcessEvents();
    }
  });
}

void Gateway::ProcessEvents() {
  while (!events_.empty()) {
    if (guard_ && loop_.Now() >= guard_until_) {
      std::exchange(guard_, nullptr)();
    }
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    ++GlobalCounters().load_balancer_events;
    try {
      load_balancer_.Handle(loop_.Now(), event, actions_);
    } catch (const std::exception& error) {
      // What it had decided until then is still carried out.
      ++GlobalCounters().load_balancer_exceptions;
      Log(LogLevel::kError, "module: {}", error.what());
    }
    for (const Action& action : actions_) {
      Execute(action);
    }
  }
  processing_events_ = false;
  // Only now: an event that waited may still have had an action for it.
  for (const auto& exchange : finished_requests_) {
    EraseRequest(exchange);
  }
  finished_requests_.clear();
}

void Gateway::Execute(const Action& action) {
  std::visit([this](const auto& a) { Execute(a); }, action);
}

std::shared_ptr<ProxiedRequest> Gateway::FindRequest(const std::string& id) {
  const auto at = requests_.find(id);
  return at == requests_.end() ? nullptr : at->second;
}

// Late outcomes still have to find it, so that it stays until its last attempt has ended.
void Gateway::MaybeEraseRequest(const std::shared_ptr<ProxiedRequest>& exchange) {
  if (exchange->done() && exchange->attempts_in_flight() == 0) {
    finished_requests_.push_back(exchange);
  }
}

void Gateway::EraseRequest(const std::shared_ptr<ProxiedRequest>& exchange) {
  if (!exchange->done() || exchange->attempts_in_flight() > 0) {
    return;
  }
  const auto timer = overdue_timers_.find(exchange.get());
  if (timer != overdue_timers_.end()) {
    loop_.CancelTimer(timer->second);
    overdue_timers_.erase(timer);
  }
  const auto at = requests_.find(exchange->id());
  if (at != requests_.end() && at->second == exchange) {
    requests_.erase(at);
  }
}

void Gateway::Execute(const StartAttempt& send) {
  ++GlobalCounters().attempts_started;
  const auto exchange = FindRequest(send.id);
  if (!exchange) {
    // It ended while the module decided: as with one over, nothing is transmitted.
    CountOutcome(Outcome::kNotSent);
    return Enqueue(
        AttemptFinished{send.id, 0, send.endpoint, Outcome::kNotSent, Duration(0), true, {}});
  }
  const size_t attempt = exchange->BeginAttempt();
  const int cap = config_->settings.allowed.max_attempts;
  if (exchange->done() || exchange->body_consumed() || static_cast<int>(attempt) >= cap) {
    return OnAttemptFinished(exchange, attempt, send.endpoint, Outcome::kNotSent, Duration(0), {},
                             nullptr);
  }
  const Time now = loop_.Now();
  const auto listed = listed_endpoints_.find(send.endpoint);
  if (listed == listed_endpoints_.end() || listed->second.draining) {
    ++GlobalCounters().attempts_to_draining_hosts;
  } else if (listed->second.started_at > Time(0) &&
             now - listed->second.started_at < config_->settings.rules.slow_start_duration) {
    ++GlobalCounters().attempts_to_warming_hosts;
  }
  const Time until = send.timeout == Duration(0)
                         ? exchange->deadline()
                         : std::min(exchange->deadline(), now + send.timeout);
  upstream_->StartAttempt(exchange, attempt, send.endpoint, until);
}

void Gateway::Execute(const RejectRequest& refuse) {
  const auto exchange = FindRequest(refuse.id);
  if (!exchange || !exchange->Respond({.status = 503, .retry_after = refuse.retry_after})) {
    return;
  }
  ++GlobalCounters().responses_rejected;
  --unanswered_count_;
  MaybeEraseRequest(exchange);
}

void Gateway::Execute(const FailRequest& fail) {
  const auto exchange = FindRequest(fail.id);
  if (!exchange || !exchange->Respond({.status = 502})) {
    return;
  }
  ++GlobalCounters().responses_failed;
  --unanswered_count_;
  MaybeEraseRequest(exchange);
}

void Gateway::Execute(const CancelAttempt& cancel) {
  const auto exchange = FindRequest(cancel.id);
  if (exchange) {
    upstream_->CancelAttempt(*exchange, cancel.attempt);
  }
}

void Gateway::Execute(const SetTimer& timer) {
  loop_.RunAfter(timer.after, [this, token = timer.token, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      Enqueue(TimerFired{token});
    }
  });
}

void Gateway::Execute(const StartProbe& probe) {
  ++GlobalCounters().probes;
  upstream_->StartProbe(probe.endpoint);
}

void Gateway::Execute(const CloseIdleConnections& close) {
  upstream_->CloseIdleConnections(close.endpoint);
}
void Gateway::Execute(const WatchEndpoints& follow) {
  discovery_->SetWatching(follow.on);
}
void Gateway::Execute(const PollEndpoints&) {
  discovery_->Poll();
}
void Gateway::Execute(const LogMessage& log) {
  Log(LogLevel::kInfo, "module: {}", log.text);
}

}  // namespace paddlestile
