#include "gateway/gateway.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <utility>
#include <variant>

#include "balancer/learned_state.h"
#include "base/log.h"
#include "base/metrics.h"
#include "gateway/learned_state_codec.h"
#include "gateway/request_parsing.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDefaultConnectTimeout = seconds(1);  // if the settings have none
constexpr Duration kDrainAllowance = milliseconds(600);  // added to the longest deadline
constexpr Duration kMaxWaitForFirstList = seconds(1);    // then serves without a list
// The maximum wait in the accept queue is the shortest deadline divided by this, so that a refused
// client has time to try another gateway.
constexpr int kAcceptWaitDivisor = 4;
constexpr Duration kMaxAcceptWait = seconds(1);
// Memory of a process without requests. Two processes run during a hot restart.
constexpr size_t kIdleProcessBytes = 8U << 20;
constexpr size_t kMaxProcesses = 2;
constexpr size_t kMinMessageMemoryBytes = 2U << 20;
// Parts of the memory for messages that are kept for requests and for responses. Either may use the
// rest.
constexpr size_t kGuaranteedRequestDivisor = 3;
constexpr size_t kGuaranteedResponseDivisor = 6;
constexpr size_t kMaxIdleUpstreamWhileEnding = 16;  // while draining or replaced
constexpr size_t kMaxNameBytes = 64;                // of the gateway's name in the counters line

// Returns the resident memory; 0 if the system does not report it.
long ResidentKilobytes() {
  std::ifstream file("/proc/self/statm");
  long total_pages = 0, resident_pages = 0;
  file >> total_pages >> resident_pages;
  return file ? resident_pages * (sysconf(_SC_PAGESIZE) / 1024) : 0;
}

double UnixSeconds(std::chrono::system_clock::time_point time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

// Replaces spaces and '=' in the name, as they are separators in the counters line.
std::string NameForCounters(const std::string& name) {
  std::string text = name.substr(0, kMaxNameBytes);
  std::ranges::replace_if(
      text, [](unsigned char c) { return c <= ' ' || c == '='; }, '_');
  return text;
}

std::string DescribeUnserved(const Statistics& statistics) {
  std::string text;
  for (size_t reason = 0; reason < statistics.unserved_by_reason.size(); ++reason) {
    if (statistics.unserved_by_reason[reason] > 0) {
      text += fmt::format("unserved_{}={} ", ToText(static_cast<ExclusionReason>(reason)),
                          statistics.unserved_by_reason[reason]);
    }
  }
  return text;
}

// Returns the part of the memory limit for the messages of this process: half of what two idle
// processes leave.
size_t MessageMemoryOf(const GatewayConfig& config) {
  constexpr size_t kIdleBytes = kMaxProcesses * kIdleProcessBytes;
  const size_t shared = config.max_memory_bytes - std::min(config.max_memory_bytes, kIdleBytes);
  return std::max(shared / kMaxProcesses, kMinMessageMemoryBytes);
}

Upstream::Options UpstreamOptionsOf(const GatewayConfig& config) {
  Upstream::Options options;
  options.connect_timeout = config.settings.allowed.connect_timeout;
  if (options.connect_timeout <= Duration(0)) {
    options.connect_timeout = kDefaultConnectTimeout;
  }
  options.endpoint_idle_timeout = config.endpoint_idle_timeout;
  options.report_fields = config.names.report_fields;
  options.reports_in_responses = config.settings.load_report.source == LoadReportSource::kResponses;
  options.reports_in_probes = config.settings.load_report.source != LoadReportSource::kNone;
  return options;
}

}  // namespace

Gateway::Gateway(EventLoop& loop, GatewayConfig config, Lifecycle& lifecycle,
                 FileDescriptor inherited, bool shared)
    : loop_(loop),
      config_(std::make_shared<GatewayConfig>(std::move(config))),
      lifecycle_(lifecycle),
      budget_(config_->max_sockets),
      load_balancer_(config_->settings, config_->seed) {
  upstream_ = std::make_unique<Upstream>(loop_, budget_, UpstreamOptionsOf(*config_), this);
  const bool self_renewing_watch = config_->settings.discovery_mode == DiscoveryMode::kPush;
  discovery_ = std::make_unique<DiscoveryClient>(loop_, config_->discovery, config_->names,
                                                 config_->initial_endpoints.revision,
                                                 self_renewing_watch, this);
  ApplyEndpointList(config_->initial_endpoints, EndpointUpdateKind::kCached);
  discovery_->Start();
  // Created last, so that clients are accepted only when everything else works.
  downstream_ = std::make_unique<Downstream>(loop_, budget_, config_->listen, lifecycle_, this,
                                             std::move(inherited), shared);
  const auto memory = std::make_shared<MemoryPool>(MessageMemoryOf(*config_));
  downstream_->ShareMemory(memory, memory->limit_bytes() / kGuaranteedRequestDivisor);
  upstream_->ShareMemory(memory, memory->limit_bytes() / kGuaranteedResponseDivisor);
  UpdateDeadlines();
  lifecycle_.SetChangeCallback([this] { OnLifecycleChanged(); });
  if (!lifecycle_.accepts()) {
    ready_timer_ = loop_.RunAfter(kMaxWaitForFirstList, [this] { lifecycle_.set_ready(); });
  }
}

Gateway::~Gateway() {
  lifecycle_.SetChangeCallback(nullptr);
  loop_.CancelTimer(ready_timer_);
  for (auto& [request, timer] : overdue_timers_) {
    loop_.CancelTimer(timer);
  }
}

void Gateway::Drain(std::function<void()> done) {
  downstream_->Shutdown(longest_deadline_ + kDrainAllowance, std::move(done));
  lifecycle_.set_ending();
}

void Gateway::OnLifecycleChanged() {
  const LifecycleStage stage = lifecycle_.stage();
  if (stage == LifecycleStage::kDrained) {
    ++GlobalCounters().drains;
  }
  Log(LogLevel::kInfo, "lifecycle: {}, {} downstream connections", ToText(stage),
      downstream_->connection_count());
  downstream_->OnLifecycleChanged();
}

std::string Gateway::DescribeState() const {
  const Statistics& statistics = load_balancer_.statistics();
  const auto selections = [&](SelectionMethod method) {
    return statistics.selections[static_cast<size_t>(method)];
  };
  return fmt::format(
      "clients={} hosts_connected={} hosts_idle={} descriptors={} memory_kb={} in_hand={} held={} "
      "revision={:.0f} "
      "picks_cold={} picks_hot={} picks_fallback={} {}life={} gateway={} "
      "since={:.3f} at={:.3f} {}",
      downstream_->connection_count(), upstream_->connection_count(), upstream_->idle_count(),
      budget_.used(), ResidentKilobytes(), requests_.size(), unanswered_count_,
      discovery_->revision(), selections(SelectionMethod::kCold), selections(SelectionMethod::kHot),
      selections(SelectionMethod::kFallback), DescribeUnserved(statistics),
      CounterName(lifecycle_.stage()), NameForCounters(config_->name), UnixSeconds(started_at_),
      UnixSeconds(std::chrono::system_clock::now()), GlobalCounters().ToText());
}

// ---- Configuration --------------------------------------------------------------------------

void Gateway::UpdateDeadlines() {
  longest_deadline_ = Duration(0);
  Duration shortest_deadline = Duration::max();
  for (const RequestClass& request_class : config_->settings.classes) {
    longest_deadline_ = std::max(longest_deadline_, request_class.deadline);
    shortest_deadline = std::min(shortest_deadline, request_class.deadline);
  }
  const Duration max_wait = std::min(shortest_deadline / kAcceptWaitDivisor, kMaxAcceptWait);
  const auto& allowed = config_->settings.allowed;
  const Duration retry_after =
      allowed.retry_after ? std::min(allowed.max_retry_after, max_wait) : Duration(0);
  downstream_->SetMaxAcceptWait(max_wait, retry_after);
}

void Gateway::ApplyConfig(GatewayConfig config) {
  ValidateSettings(config.settings);
  config_ = std::make_shared<GatewayConfig>(std::move(config));
  UpdateDeadlines();
  upstream_->set_options(UpstreamOptionsOf(*config_));
  discovery_->set_names(config_->names);
  EnqueueSettings();
  discovery_->Redirect(config_->discovery);
}

void Gateway::ApplyTenantChanges(const std::vector<TenantChange>& changes) {
  if (changes.empty()) {
    return;
  }
  paddlestile::ApplyTenantChanges(changes, loop_.Now(), *config_);
  const bool settings_queued = std::ranges::any_of(
      events_, [](const Event& event) { return std::holds_alternative<Settings>(event); });
  if (settings_queued) {
    return EnqueueSettings();  // the current settings, which include the changes
  }
  TenantQuotaUpdate update;
  for (const auto& [name, quota] : changes) {
    if (quota) {  // a removed tenant keeps its quota until it expires
      update.entries.emplace_back(config_->names.tenants.Find(name), *quota);
    }
  }
  if (update.entries.empty()) {
    return;
  }
  // Inserted ahead of all other events, but behind earlier updates.
  const auto position = std::ranges::find_if_not(
      events_, [](const Event& event) { return std::holds_alternative<TenantQuotaUpdate>(event); });
  events_.insert(position, std::move(update));
  ScheduleProcessing();
}

// Removes queued settings and quota updates: they would be handled after the new settings and
// override them.
void Gateway::EnqueueSettings() {
  std::erase_if(events_, [](const Event& event) {
    return std::holds_alternative<Settings>(event) ||
           std::holds_alternative<TenantQuotaUpdate>(event);
  });
  events_.emplace_front(config_->settings);
  ScheduleProcessing();
}

void Gateway::ExcludeHosts(std::set<std::string> hosts, bool all) {
  EndpointUpdate update = listed_endpoints_.SetExcluded(std::move(hosts), all);
  if (update.endpoints.empty()) {
    return;
  }
  // Queued twice: first, so that no queued event is handled without the exclusion; and last,
  // because a queued endpoint list was built before the exclusion.
  if (!events_.empty()) {
    events_.emplace_back(update);
  }
  events_.emplace_front(std::move(update));
  ScheduleProcessing();
}

void Gateway::RunBeforeEventsFrom(Time time, std::function<void()> callback) {
  callback_time_ = time;
  callback_before_events_ = std::move(callback);
}

// ---- Learned state --------------------------------------------------------------------------

EndpointList Gateway::CurrentEndpointList() const {
  EndpointList list;
  list.revision = discovery_->revision();
  list.complete = true;
  for (EndpointInfo& info : listed_endpoints_.AllListed()) {
    if (const auto listed_address = upstream_->EndpointAddress(info.id)) {
      list.endpoints.push_back({std::move(info), *listed_address});
    }
  }
  return list;
}

std::string Gateway::ExportLearnedState() const {
  return EncodeLearnedState(load_balancer_.learned_state(), CurrentEndpointList(), config_->names,
                            loop_.Now(),
                            [&](Time time) { return loop_.clock().ToUnixMillis(time); });
}

bool Gateway::ImportLearnedState(const std::string& text) {
  ProcessEvents();  // applies queued endpoint lists, which the learned state refers to
  const auto learned_state = DecodeLearnedState(text, config_->names, loop_.Now());
  if (learned_state) {
    load_balancer_.ImportLearnedState(loop_.Now(), *learned_state);
  }
  return learned_state.has_value();
}

// ---- Discovery ------------------------------------------------------------------------------

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
    for (const std::string& id : listed_endpoints_.MissingFrom(list)) {
      upstream_->RemoveEndpoint(id);
    }
    listed_endpoints_.Clear();
  }
  EndpointUpdate update{kind, {}};
  for (EndpointListEntry& entry : list.endpoints) {
    if (entry.info.state == EndpointState::kRemoved) {
      upstream_->RemoveEndpoint(entry.info.id);
      listed_endpoints_.Remove(entry.info.id);
      update.endpoints.push_back(std::move(entry.info));
    } else {
      upstream_->SetEndpointAddress(entry.info.id, entry.address);
      update.endpoints.push_back(listed_endpoints_.Set(entry.info));
    }
  }
  Enqueue(std::move(update));
}

// ---- Requests -------------------------------------------------------------------------------

std::optional<AdmissionResult> Gateway::CheckAdmission(const std::string& id) {
  // A request with the id of one in progress would receive the response of the first one. If the
  // first has just finished, the second is a duplicate that was sent meanwhile, which endpoints
  // reject.
  if (requests_.contains(id) || recent_request_ids_.Contains(id, loop_.Now(), longest_deadline_)) {
    return AdmissionResult{nullptr, 409, "X-Call-Id in hand"};
  }
  const int max_requests = config_->settings.allowed.max_held_requests;
  if (max_requests > 0 && unanswered_count_ >= static_cast<size_t>(max_requests)) {
    ++GlobalCounters().requests_over_limit;
    return AdmissionResult{nullptr, 503, "too many requests held"};
  }
  return std::nullopt;
}

AdmissionResult Gateway::OnRequest(BufferedMessage message, Time arrived_at,
                                   ProxiedRequest::ResponseCallback reply) {
  ParsedRequest parsed = ParseRequest(message, config_->names, config_->settings, arrived_at);
  if (parsed.error_status != 0) {
    return {nullptr, parsed.error_status, parsed.reason};
  }
  RequestArrived& arrival = parsed.arrival;
  if (const auto error = CheckAdmission(arrival.id)) {
    return *error;
  }
  ++GlobalCounters().requests_admitted;
  ++unanswered_count_;
  recent_request_ids_.Add(arrival.id, loop_.Now());
  if (admission_callback_) {
    admission_callback_(arrival.id);
  }
  // Shares ownership of the configuration that was in force when the request arrived.
  std::shared_ptr<const RequestClass> request_class(
      config_, &config_->settings.classes[arrival.request_class]);
  auto request = std::make_shared<ProxiedRequest>(arrival.id, std::move(message), arrival.deadline,
                                                  std::move(request_class), std::move(reply));
  request->set_client_timeout(arrival.deadline - arrived_at);
  requests_.emplace(arrival.id, request);
  StartOverdueTimer(request);
  Enqueue(std::move(arrival));
  return {std::move(request), 0, {}};
}

void Gateway::OnClientDisconnected(const RequestPtr& request) {
  ++GlobalCounters().clients_disconnected;
  --unanswered_count_;
  upstream_->OnClientDisconnected(*request);
  Enqueue(ClientDisconnected{request->id()});
  MaybeEraseRequest(request);
}

bool Gateway::Respond(ProxiedRequest& request, const Response& response,
                      uint64_t Counters::*counter) {
  if (!request.Respond(response)) {
    return false;
  }
  ++(GlobalCounters().*counter);
  --unanswered_count_;
  return true;
}

void Gateway::StartOverdueTimer(const RequestPtr& request) {
  const Duration slack = config_->settings.rules.response_slack;
  overdue_timers_.emplace(request.get(), loop_.RunAfter(request->deadline() + slack - loop_.Now(),
                                                        [this, request] { OnOverdue(request); }));
}

// The load balancer ends each request by its deadline. This is a safeguard: if it ever fails to do
// so, the client still gets a response.
void Gateway::OnOverdue(const RequestPtr& request) {
  overdue_timers_.erase(request.get());
  const Duration slack = config_->settings.rules.response_slack;
  if (!request->done() && request->deadline() + slack > loop_.Now()) {
    return StartOverdueTimer(request);  // the client was still sending
  }
  if (request->committed_attempt() ||
      !Respond(*request, {.status = 502}, &Counters::responses_overdue)) {
    return;
  }
  Log(LogLevel::kError, "request {} had no response by its deadline; responded with 502",
      request->id());
  Enqueue(ClientDisconnected{request->id()});
  MaybeEraseRequest(request);
}

// Keeps one connection per client, because its next request may need it.
void Gateway::TrimIdleUpstream() {
  upstream_->CloseIdleBeyond(
      std::min(downstream_->connection_count(), kMaxIdleUpstreamWhileEnding));
}

bool Gateway::OnDescriptorsExhausted() {
  // Closes a downstream connection first: an idle client may never send again, whereas a new
  // upstream connection costs the endpoint work.
  return (downstream_ && downstream_->CloseOneIdle()) || upstream_->CloseOneIdle();
}

Gateway::RequestPtr Gateway::FindRequest(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second;
}

void Gateway::MaybeEraseRequest(const RequestPtr& request) {
  if (request->done() && request->attempts_in_flight() == 0) {
    finished_requests_.push_back(request);
  }
}

void Gateway::EraseRequest(const RequestPtr& request) {
  if (!request->done() || request->attempts_in_flight() > 0) {
    return;
  }
  const auto timer = overdue_timers_.find(request.get());
  if (timer != overdue_timers_.end()) {
    loop_.CancelTimer(timer->second);
    overdue_timers_.erase(timer);
  }
  const auto found = requests_.find(request->id());
  if (found != requests_.end() && found->second == request) {
    requests_.erase(found);
  }
}

}  // namespace paddlestile
