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
  Counters& count = Count();
  switch (outcome) {
    case Outcome::kOk: ++count.settled_ok; break;
    case Outcome::kError: ++count.settled_error; break;
    case Outcome::kFull: ++count.settled_full; break;
    case Outcome::kTimeout: ++count.settled_timeout; break;
    case Outcome::kConnectFailed: ++count.settled_connect_failed; break;
    case Outcome::kReset: ++count.settled_reset; break;
    case Outcome::kCancelled: ++count.settled_cancelled; break;
    case Outcome::kMoot: ++count.settled_moot; break;
    case Outcome::kUnusable: ++count.settled_unusable; break;
  }
}

// Resident, in kB; 0 where the system does not tell.
long ResidentKb() {
  std::ifstream file("/proc/self/statm");
  long whole = 0, resident = 0;
  return file >> whole >> resident ? resident * (sysconf(_SC_PAGESIZE) / 1024) : 0;
}

Servers::Options ServerOptions(const Config& config) {
  Servers::Options options;
  options.connect_timeout = config.settings.allowed.connect_timeout;
  // Settings that name none would else fail each connection before it can come up.
  if (options.connect_timeout <= Duration(0)) options.connect_timeout = kConnectUnknown;
  options.idle_close = config.idle_close;
  options.report_fields = config.names.report_fields;
  options.reports_in_answers = config.settings.report.source == ReportSource::kAnswers;
  options.reports_in_probes = config.settings.report.source != ReportSource::kNone;
  return options;
}

}  // namespace

Gateway::~Gateway() {
  life_.OnChange(nullptr);
  loop_.Cancel(ready_timer_);
  for (auto& [exchange, timer] : overdue_) loop_.Cancel(timer);
}

Gateway::Gateway(EventLoop& loop, Config config, Life& life, Fd handed, bool shared)
    : loop_(loop),
      config_(std::make_shared<Config>(std::move(config))),
      life_(life),
      budget_(config_->sockets),
      brain_(config_->settings, config_->seed) {
  servers_ = std::make_unique<Servers>(loop_, budget_, ServerOptions(*config_), this);
  for (const RequestClass& c : config_->settings.classes) longest_ = std::max(longest_, c.deadline);
  const bool own_watch = config_->settings.discovery == DiscoveryMode::kPush;
  list_ = std::make_unique<List>(loop_, config_->discovery, config_->names, config_->known.revision,
                                 own_watch, this);
  TakeList(config_->known, ListKind::kCached);
  list_->Start();
  // Last: a client that is let in finds all the rest at work.
  clients_ = std::make_unique<Clients>(loop_, budget_, config_->listen, life_, this,
                                       std::move(handed), shared);
  life_.OnChange([this] { LifeChanged(); });
  if (!life_.accepts()) ready_timer_ = loop_.After(kReadyMost, [this] { life_.set_ready(); });
}

void Gateway::Drain(std::function<void()> done) {
  clients_->End(longest_ + kDrainSpare, std::move(done));
  life_.set_ending();
}

void Gateway::Adopt(Config config) {
  CheckSettings(config.settings);
  config_ = std::make_shared<Config>(std::move(config));
  longest_ = Duration(0);
  for (const RequestClass& c : config_->settings.classes) longest_ = std::max(longest_, c.deadline);
  servers_->SetOptions(ServerOptions(*config_));
  list_->SetNames(config_->names);
  TellSettings();
  list_->Redirect(config_->discovery);
}

void Gateway::AdoptTenants(const std::vector<TenantChange>& changes) {
  if (changes.empty()) return;
  ChangeTenants(changes, loop_.Now(), *config_);
  // Settings that still wait are told as they are now.
  const auto whole = [](const Event& e) { return std::holds_alternative<Settings>(e); };
  if (std::ranges::any_of(events_, whole)) return TellSettings();
  TenantFigures told;
  for (const auto& [name, figures] : changes) {
    // One that is gone keeps what it had.
    if (figures) told.entries.emplace_back(config_->names.tenants.Find(name), *figures);
  }
  if (told.entries.empty()) return;
  // Ahead of what waits, and behind earlier ones, which these come to.
  const auto at = std::ranges::find_if_not(
      events_, [](const Event& e) { return std::holds_alternative<TenantFigures>(e); });
  events_.insert(at, std::move(told));
  Post();
}

// Ahead of what waits, and alone: earlier ones that wait there would come behind these, and stay.
void Gateway::TellSettings() {
  std::erase_if(events_, [](const Event& e) {
    return std::holds_alternative<Settings>(e) || std::holds_alternative<TenantFigures>(e);
  });
  events_.emplace_front(config_->settings);
  Post();
}

std::string Gateway::Know() const {
  return KnowledgeText(brain_.learned(), config_->names, loop_.Now());
}

bool Gateway::Learn(const std::string& text) {
  Pump();  // the list that the hosts are known by
  const auto told = ParseKnowledge(text, config_->names, loop_.Now());
  if (told) brain_.Learn(loop_.Now(), *told);
  return told.has_value();
}

void Gateway::LifeChanged() {
  const Stage stage = life_.stage();
  if (stage == Stage::kDrained) ++Count().drains;
  Log(Level::kInfo, "life: {}, {} connections of clients", ToText(stage), clients_->connections());
  clients_->LifeChanged();
}

std::string Gateway::StateText() const {
  const Stats& stats = brain_.stats();
  const auto unix_s = [](std::chrono::system_clock::time_point at) {
    return std::chrono::duration<double>(at.time_since_epoch()).count();
  };
  // One word, whatever the name has in it.
  std::string name = config_->name.substr(0, kNameShown);
  std::ranges::replace_if(
      name, [](unsigned char c) { return c <= ' ' || c == '='; }, '_');
  std::string refusals;
  for (size_t i = 0; i < stats.given_up.size(); ++i) {
    if (stats.given_up[i] == 0) continue;
    refusals += fmt::format("given_up_{}={} ", ToText(static_cast<Bar>(i)), stats.given_up[i]);
  }
  return fmt::format(
      "clients={} hosts_connected={} hosts_idle={} descriptors={} memory_kb={} in_hand={} held={} "
      "revision={:.0f} "
      "picks_cold={} picks_hot={} picks_fallback={} {}life={} gateway={} "
      "since={:.3f} at={:.3f} {}",
      clients_->connections(), servers_->connections(), servers_->idle(), budget_.used(),
      ResidentKb(), exchanges_.size(), held_, list_->revision(),
      stats.picks[static_cast<size_t>(Regime::kCold)],
      stats.picks[static_cast<size_t>(Regime::kHot)],
      stats.picks[static_cast<size_t>(Regime::kFallback)], refusals, Word(life_.stage()), name,
      unix_s(since_), unix_s(std::chrono::system_clock::now()), Count().Text());
}

// ---- What happens ---------------------------------------------------------------------------

Taken Gateway::OnRequest(Held request, Exchange::Reply reply) {
  const Time now = loop_.Now();
  Understood understood = Understand(request, config_->names, config_->settings, now);
  if (understood.bad_status != 0) return {nullptr, understood.bad_status, understood.why};
  Submit& submit = understood.submit;
  // The same id again while it is in hand would run under the first one's answer. Shortly after, it
  // is a copy of somebody else's that was sent while that was in hand: hosts turn it away.
  if (exchanges_.contains(submit.id) || IsRecent(submit.id)) {
    return {nullptr, 409, "X-Call-Id in hand"};
  }
  const int most = config_->settings.allowed.most_held;
  if (most > 0 && held_ >= static_cast<size_t>(most)) {
    ++Count().requests_beyond;
    return {nullptr, 503, "too many requests held"};
  }
  ++Count().requests_taken;
  ++held_;
  Remember(submit.id);
  auto exchange = std::make_shared<Exchange>(
      submit.id, std::move(request), submit.deadline,
      std::shared_ptr<const RequestClass>(config_, &config_->settings.classes[submit.cls]),
      std::move(reply));
  exchange->set_patience(submit.deadline - now);
  exchanges_.emplace(submit.id, exchange);
  if (exchange->request().rest == nullptr) AwaitAnswer(exchange);
  Post(std::move(submit));
  return {std::move(exchange), 0, {}};
}

void Gateway::AwaitAnswer(const std::shared_ptr<Exchange>& exchange) {
  const Duration slack = config_->settings.obligations.answer_slack;
  overdue_.emplace(exchange.get(), loop_.After(exchange->deadline() + slack - loop_.Now(),
                                               [this, exchange] { OnOverdue(exchange); }));
}

void Gateway::OnWhole(const std::shared_ptr<Exchange>& exchange) {
  if (exchange->over()) return;
  exchange->set_deadline(loop_.Now() + exchange->patience());
  AwaitAnswer(exchange);
}

bool Gateway::IsRecent(const std::string& id) {
  const Time now = loop_.Now();
  while (!recent_.empty() && now - recent_.front().first > longest_) {
    recent_ids_.erase(recent_.front().second);
    recent_.pop_front();
  }
  return recent_ids_.contains(id);
}

void Gateway::Remember(const std::string& id) {
  recent_ids_.insert(id);
  recent_.emplace_back(loop_.Now(), id);
  if (recent_.size() <= kRecentMost) return;
  recent_ids_.erase(recent_.front().second);
  recent_.pop_front();
}

void Gateway::OnClientLeft(const std::shared_ptr<Exchange>& exchange) {
  ++Count().clients_left;
  --held_;
  servers_->ClientLeft(*exchange);
  Post(ClientLeft{exchange->id()});
  MaybeForget(exchange);
}

// The last answer is the module's to give, in time. Should it ever fail to, its client is not left
// waiting: the request ends here as it does in the simulator.
void Gateway::OnOverdue(const std::shared_ptr<Exchange>& exchange) {
  overdue_.erase(exchange.get());
  if (exchange->stream() || !exchange->Finish({.status = 502})) return;
  ++Count().answers_overdue;
  --held_;
  Log(Level::kError, "no answer in time to {}", exchange->id());
  Post(ClientLeft{exchange->id()});
  MaybeForget(exchange);
}

bool Gateway::OnShort() {
  // Clients first: one that idles may never come back, and a new connection to a host costs it
  // work.
  return (clients_ && clients_->CloseOneIdle()) || servers_->CloseOneIdle();
}

void Gateway::OnSettled(const std::shared_ptr<Exchange>& exchange, size_t attempt,
                        const std::string& endpoint, Outcome outcome, Duration took,
                        std::optional<Report> report, std::shared_ptr<const Held> from) {
  CountOutcome(outcome);
  exchange->AttemptEnded();
  if (outcome == Outcome::kOk && exchange->Finish({.status = 200, .from = from})) {
    ++Count().answers_served;
    --held_;
  }
  // A host that blames the request is believed: others would say the same, and none is sick for it.
  if (outcome == Outcome::kUnusable && from &&
      exchange->Finish({.status = from->message.status, .from = from})) {
    ++Count().answers_failed;
    --held_;
  }
  // The break of a stream that had begun is the end of its request.
  if (outcome != Outcome::kOk && exchange->stream() == attempt &&
      exchange->Finish({.status = 502})) {
    ++Count().answers_failed;
    --held_;
  }
  Settled settled{exchange->id(), attempt, endpoint, outcome, took, false, std::move(report)};
  const auto tell = [this, exchange](Settled event) {
    event.final = exchange->over();
    event.spent = exchange->spent();
    Post(std::move(event));
    MaybeForget(exchange);
  };
  if (exchange->over()) return tell(std::move(settled));
  // A further attempt may follow. Its client may have gone while the loop stood still, and the news
  // of that be behind this event, or in none of this round: what has come by now is read first.
  loop_.Yield([this, tell, event = std::move(settled), alive = std::weak_ptr(alive_)] {
    if (alive.expired()) return;
    loop_.After(Duration(0), [tell, event, alive] {
      if (!alive.expired()) tell(event);
    });
  });
}

void Gateway::OnEstablished(const std::shared_ptr<Exchange>& exchange, size_t attempt,
                            const std::string& endpoint, Duration took) {
  Post(Established{exchange->id(), attempt, endpoint, took});
}

void Gateway::OnProbed(const std::string& endpoint, Outcome outcome, Duration took,
                       std::optional<Report> report) {
  Post(ProbeResult{endpoint, outcome, took, std::move(report)});
}

void Gateway::OnList(HostList list) {
  const ListKind kind = list.complete ? ListKind::kFull : ListKind::kDelta;
  TakeList(std::move(list), kind);
  life_.set_ready();
}

void Gateway::OnListFailed() { Post(Members{ListKind::kFailed, {}}); }

void Gateway::TakeList(HostList list, ListKind kind) {
  if (kind != ListKind::kDelta) {
    std::unordered_set<std::string> present;
    for (const HostEntry& entry : list.members) present.insert(entry.info.id);
    for (const auto& [id, was] : listed_) {
      if (!present.contains(id)) servers_->Left(id);
    }
    listed_.clear();
  }
  Members members{kind, {}};
  for (HostEntry& entry : list.members) {
    if (entry.info.state == EndpointState::kRemoved) {
      servers_->Left(entry.info.id);
      listed_.erase(entry.info.id);
    } else {
      servers_->SetAddress(entry.info.id, entry.address);
      const EndpointInfo told = entry.info;
      if (all_kept_off_ || kept_off_.contains(told.id)) entry.info.state = EndpointState::kDraining;
      listed_[told.id] = {entry.info.state == EndpointState::kDraining, told.launched, told};
    }
    members.entries.push_back(std::move(entry.info));
  }
  Post(std::move(members));
}

void Gateway::KeepOff(std::set<std::string> hosts, bool all) {
  const std::set<std::string> before = std::exchange(kept_off_, std::move(hosts));
  const bool all_before = std::exchange(all_kept_off_, all);
  Members members{ListKind::kDelta, {}};
  const auto look = [&](const std::string& id, Listed& listed) {
    const bool off = all || kept_off_.contains(id);
    if (off == (all_before || before.contains(id))) return;
    EndpointInfo info = listed.told;
    if (off) info.state = EndpointState::kDraining;
    listed.draining = info.state == EndpointState::kDraining;
    members.entries.push_back(std::move(info));
  };
  if (all || all_before) {
    for (auto& [id, listed] : listed_) look(id, listed);
  } else {
    // Only those that are named: a list may be long.
    std::vector<std::string> differ;
    std::ranges::set_symmetric_difference(before, kept_off_, std::back_inserter(differ));
    for (const std::string& id : differ) {
      if (const auto at = listed_.find(id); at != listed_.end()) look(id, at->second);
    }
  }
  if (members.entries.empty()) return;
  // Before what waits, so that no event after this call is decided without it; and behind it, as a
  // list that waits was read before.
  if (!events_.empty()) events_.emplace_back(members);
  events_.emplace_front(std::move(members));
  Post();
}

void Gateway::Guard(Time until, std::function<void()> then) {
  guard_until_ = until;
  guard_ = std::move(then);
}

// ---- The module -----------------------------------------------------------------------------

void Gateway::Post(Event event) {
  events_.push_back(std::move(event));
  Post();
}

void Gateway::Post() {
  if (std::exchange(pumping_, true)) return;
  // After the handler at work: what the module wants done must not happen within it.
  loop_.Defer([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) Pump();
  });
}

void Gateway::Pump() {
  while (!events_.empty()) {
    if (guard_ && loop_.Now() >= guard_until_) std::exchange(guard_, nullptr)();
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    ++Count().module_events;
    try {
      brain_.Handle(loop_.Now(), event, actions_);
    } catch (const std::exception& error) {
      // What it had decided until then is still carried out.
      ++Count().module_faults;
      Log(Level::kError, "module: {}", error.what());
    }
    for (const Action& action : actions_) Apply(action);
  }
  pumping_ = false;
  // Only now: an event that waited may still have had an action for it.
  for (const auto& exchange : ending_) Forget(exchange);
  ending_.clear();
}

void Gateway::Apply(const Action& action) {
  std::visit([this](const auto& a) { Apply(a); }, action);
}

std::shared_ptr<Exchange> Gateway::FindExchange(const std::string& id) {
  const auto at = exchanges_.find(id);
  return at == exchanges_.end() ? nullptr : at->second;
}

// Late outcomes still have to find it, so that it stays until its last attempt has ended.
void Gateway::MaybeForget(const std::shared_ptr<Exchange>& exchange) {
  if (exchange->over() && exchange->out() == 0) ending_.push_back(exchange);
}

void Gateway::Forget(const std::shared_ptr<Exchange>& exchange) {
  if (!exchange->over() || exchange->out() > 0) return;
  const auto timer = overdue_.find(exchange.get());
  if (timer != overdue_.end()) {
    loop_.Cancel(timer->second);
    overdue_.erase(timer);
  }
  const auto at = exchanges_.find(exchange->id());
  if (at != exchanges_.end() && at->second == exchange) exchanges_.erase(at);
}

void Gateway::Apply(const Send& send) {
  ++Count().sends;
  const auto exchange = FindExchange(send.id);
  if (!exchange) {
    // It ended while the module decided: as with one over, nothing is transmitted.
    CountOutcome(Outcome::kMoot);
    return Post(Settled{send.id, 0, send.endpoint, Outcome::kMoot, Duration(0), true, {}});
  }
  const size_t attempt = exchange->NextAttempt();
  const int cap = config_->settings.allowed.send_cap;
  if (exchange->over() || exchange->spent() || static_cast<int>(attempt) >= cap) {
    return OnSettled(exchange, attempt, send.endpoint, Outcome::kMoot, Duration(0), {}, nullptr);
  }
  const Time now = loop_.Now();
  const auto listed = listed_.find(send.endpoint);
  if (listed == listed_.end() || listed->second.draining) {
    ++Count().sends_draining;
  } else if (listed->second.launched > Time(0) &&
             now - listed->second.launched < config_->settings.obligations.warm_within) {
    ++Count().sends_cold;
  }
  const Time until = send.timeout == Duration(0)
                         ? exchange->deadline()
                         : std::min(exchange->deadline(), now + send.timeout);
  servers_->Send(exchange, attempt, send.endpoint, until);
}

void Gateway::Apply(const Refuse& refuse) {
  const auto exchange = FindExchange(refuse.id);
  if (!exchange || !exchange->Finish({.status = 503, .retry_after = refuse.stay_away})) return;
  ++Count().answers_refused;
  --held_;
  MaybeForget(exchange);
}

void Gateway::Apply(const Fail& fail) {
  const auto exchange = FindExchange(fail.id);
  if (!exchange || !exchange->Finish({.status = 502})) return;
  ++Count().answers_failed;
  --held_;
  MaybeForget(exchange);
}

void Gateway::Apply(const Cancel& cancel) {
  const auto exchange = FindExchange(cancel.id);
  if (exchange) servers_->Cancel(*exchange, cancel.attempt);
}

void Gateway::Apply(const SetTimer& timer) {
  loop_.After(timer.after, [this, token = timer.token, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) Post(TimerFired{token});
  });
}

void Gateway::Apply(const Probe& probe) {
  ++Count().probes;
  servers_->Probe(probe.endpoint);
}

void Gateway::Apply(const CloseIdle& close) { servers_->CloseIdle(close.endpoint); }
void Gateway::Apply(const Follow& follow) { list_->Follow(follow.on); }
void Gateway::Apply(const FetchList&) { list_->Fetch(); }
void Gateway::Apply(const LogMessage& log) { Log(Level::kInfo, "module: {}", log.text); }

}  // namespace paddlestile
