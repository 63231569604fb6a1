#include "lab/fleet.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <list>
#include <unordered_map>
#include <utility>

#include "event/stream.h"
#include "http/http_parser.h"
#include "lab/host_model.h"
#include "lab/listener.h"

namespace paddlestile::lab {
namespace {

constexpr size_t kUnreadMost = 1 << 17;
constexpr size_t kHugePiece = 1 << 18;     // bytes at once of an answer without end
constexpr Duration kResetAfter{5'000};     // us; a host that dies on a request
constexpr Duration kErrorAfter{2'000};     // us; a host that fails fast
constexpr Duration kTidyEvery{100'000};    // us; how often hosts look for idle connections
constexpr uint64_t kHuge = 3'000'000'000;  // bytes that an answer claims to have

// Even in [0, 1), from the seed and what it is for alone: the order of arrivals does not matter.
double Draw(uint64_t seed, uint64_t a, uint64_t b) {
  uint64_t x = seed ^ (a * 0x9e3779b97f4a7c15ULL) ^ (b * 0xc2b2ae3d27d4eb4fULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1.0p-53;
}

std::string Head(int status, size_t length, std::string_view more = {}) {
  return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n", status,
                     status == 200 ? "OK" : "No", more, length);
}

int64_t WallMs() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace

// ---- A connection of a gateway to a host --------------------------------------------------------

class Fleet::Connection final : public Stream::Listener {
 public:
  Connection(Host& host, EventLoop& loop, FileDescriptor fd)
      : host_(host), fd_(fd.get()), stream_(loop, Socket(std::move(fd), nullptr), this, false) {
    stream_.set_max_unread_bytes(kUnreadMost);
  }

  bool Start() { return stream_.Start(); }
  [[nodiscard]] bool busy() const { return receipt_ != kNoReceipt; }
  [[nodiscard]] uint64_t receipt() const { return receipt_; }
  [[nodiscard]] bool closed() const { return stream_.closed(); }

  void Answer(std::string text, bool over = true) {
    stream_.Write(std::move(text));
    if (over) {
      Over();
    }
  }
  // The answer to the request in hand is out; what waits behind it may come.
  void Over();
  // An answer that goes on for as long as anybody reads.
  void Flood() {
    flooding_ = true;
    OnWriteComplete();
  }
  void Reset() {
    const linger now{1, 0};
    if (!stream_.closed()) {
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    stream_.Close();
  }
  void Close() { stream_.Close(); }
  void Look() { OnData(); }

  void OnData() override;
  void OnError() override;
  void OnWriteComplete() override;

  static constexpr uint64_t kNoReceipt = UINT64_MAX;
  std::list<std::shared_ptr<Connection>>::iterator place;

 private:
  friend class Host;
  Host& host_;
  int fd_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, 1 << 20};
  bool begun_ = false, flooding_ = false, waits_ = false;
  Time first_{0};  // the first byte of the request that is read
  Time used_{0};   // when it was opened or last answered on
  uint64_t receipt_ = kNoReceipt;
  size_t try_ = 0;
};

// ---- A host -------------------------------------------------------------------------------------

class Fleet::Host {
 public:
  Host(Fleet& fleet, size_t place, const Profile& profile, std::string id, Address address,
       std::optional<Time> started)
      : fleet_(fleet), place_(place), profile_(profile), model_(TraitsOf(fleet, profile), started) {
    listed_ = {place,
               std::move(id),
               address,
               profile.group->zone,
               profile.group->kind,
               profile.group->cell,
               Phase::kActive,
               started ? WallMs() : 0};
    listener_ = std::make_unique<Listener>(fleet.loop_, address,
                                           [this](FileDescriptor fd) { Accept(std::move(fd)); });
  }
  ~Host() { fleet_.loop_.CancelTimer(timer_); }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  static HostTraits TraitsOf(const Fleet& fleet, const Profile& profile) {
    const Experiment& e = fleet.experiment_;
    HostTraits traits;
    traits.cores = profile.group->cores;
    traits.speed = profile.speed;
    traits.max_held_requests = profile.group->max_held_requests;
    traits.cancels_work_on_disconnect = profile.group->cancels_work_on_disconnect;
    traits.report_interval = Duration(std::llround(profile.report_ms * 1000));
    traits.slow_start_initial_capacity = e.slow_start_initial_capacity;
    traits.slow_start_duration = e.slow_start_duration;
    traits.overload_collapse_multiple = e.overload_collapse_multiple;
    traits.overload_collapse_duration = e.overload_collapse_duration;
    return traits;
  }

  [[nodiscard]] Time Now() const { return fleet_.Now(); }
  [[nodiscard]] bool up() const { return listener_ != nullptr; }
  [[nodiscard]] size_t connections() const { return connections_.size(); }

  void Accept(FileDescriptor fd) {
    if (connections_.size() >= profile_.group->max_connections) {
      return;  // closed at once
    }
    connections_.push_back(std::make_shared<Connection>(*this, fleet_.loop_, std::move(fd)));
    Connection& connection = *connections_.back();
    connection.place = std::prev(connections_.end());
    connection.used_ = Now();
    if (!connection.Start()) {
      return Drop(connection);
    }
    model_.AddInternalWork(Now(), profile_.group->handshake_work);
    Plan();
  }

  void Drop(Connection& connection) {
    if (connection.receipt() != Connection::kNoReceipt) {
      model_.CancelJob(Now(), connection.receipt() + 1);
      jobs_.erase(connection.receipt() + 1);
      fleet_.ledger_.OnHostFinished(Now(), connection.receipt(), false);
      connection.receipt_ = Connection::kNoReceipt;
      Plan();
    }
    connection.Close();
    fleet_.loop_.RunDeferred([kept = *connection.place] {});
    connections_.erase(connection.place);
  }

  void OnRequest(Connection& connection, const HttpMessage& m, std::string_view base) {
    const std::string_view target = m.target.In(base);
    if (target == "/_load" || target == "/ping") {
      return OnProbe(connection, target == "/_load");
    }
    const auto id = m.FindHeader(base, "X-Call-Id");
    if (!id) {
      return connection.Answer(Head(404, 0));
    }
    Ledger& ledger = fleet_.ledger_;
    const size_t n = ledger.FindAttempt(*id);
    if (n == SIZE_MAX) {
      ledger.OnUnknownRequest(Now(), *id, fmt::format("{} received {}", listed_.id, target));
      return connection.Answer(Head(400, 0));
    }
    const uint64_t receipt =
        ledger.OnHostReceived(Now(), n, place_, ZonePlace(), listed_.cell, connection.first_);
    connection.receipt_ = receipt;
    connection.try_ = n;
    if (silent > 0 || Befalls(n, half_dead, 1)) {
      return;  // swallowed: nobody ever answers
    }
    if (Befalls(n, turned_away, 2)) {
      return TurnAway(connection);
    }
    if (Befalls(n, errors, 3)) {
      return Later(kErrorAfter, connection, [](Connection& c) { c.Answer(Head(500, 0)); });
    }
    if (Befalls(n, resets, 4)) {
      return Later(kResetAfter, connection, [this](Connection& c) {
        c.Reset();
        Drop(c);
      });
    }
    const RequestSpec& facts = ledger.RequestOf(n);
    switch (model_.Arrive(Now(), receipt + 1, facts.work, facts.wait)) {
      case HostModel::Arrival::kFull:
        return TurnAway(connection);
      case HostModel::Arrival::kCollapsed:
        ledger.OnHostCollapsed(Now(), listed_.id);
        fleet_.loop_.RunDeferred([this] { Die(); });
        return;
      case HostModel::Arrival::kAccepted:
        break;
    }
    jobs_[receipt + 1] = &connection;
    Plan();
  }

  // Hosts close what has idled for as long as the gateways were told, or a moment longer.
  void CloseIdle() {
    if (cut_off || !up()) {
      return;
    }
    const Time before = Now() - fleet_.experiment_.idle_connection_timeout;
    for (auto at = connections_.begin(); at != connections_.end();) {
      Connection& connection = **at++;
      if (!connection.busy() && !connection.begun_ && connection.used_ < before) {
        Drop(connection);
      }
    }
  }

  void Die() {
    listener_.reset();
    model_.Advance(Now());
    while (!connections_.empty()) {
      Connection& connection = *connections_.front();
      connection.Reset();
      Drop(connection);
    }
    fleet_.loop_.CancelTimer(timer_);
  }

  // A link that is cut: nothing comes or goes. When it is back, the old connections are reset.
  void CutOff(bool off) {
    if (!up()) {
      return;
    }
    cut_off = off;
    if (!off) {
      while (!connections_.empty()) {
        Connection& connection = *connections_.front();
        connection.Reset();
        Drop(connection);
      }
    }
    listener_->SetPartitioned(off);
  }

  void Stand(bool still) {
    model_.SetStalled(Now(), still);
    Plan();
    if (still) {
      return;
    }
    for (auto at = connections_.begin(); at != connections_.end();) {
      const std::shared_ptr<Connection> connection = *at++;
      if (connection->waits_) {
        connection->Look();
      }
    }
  }

  void Plan() {
    fleet_.loop_.CancelTimer(timer_);
    const auto next = model_.NextCompletion();
    if (!next) {
      return;
    }
    timer_ = fleet_.loop_.RunAfter(*next - Now(), [this] {
      timer_ = {};
      Finish();
    });
  }

  void Finish() {
    for (const uint64_t job : model_.Advance(Now())) {
      const auto at = jobs_.find(job);
      if (at == jobs_.end()) {
        continue;  // its client side has gone
      }
      Connection& connection = *at->second;
      jobs_.erase(at);
      if (!cut_off) {
        Serve(connection);
      }
    }
    Plan();
  }

  ListedHost& listed() { return listed_; }
  HostModel& model() { return model_; }
  [[nodiscard]] const Profile& profile() const { return profile_; }

  int silent = 0, stalls = 0;
  double half_dead = 0, turned_away = 0, errors = 0, resets = 0, spoilt = 0;
  ResponseTampering spoil = ResponseTampering::kAny;
  bool cut_off = false;

 private:
  friend class Connection;
  [[nodiscard]] int ZonePlace() const {
    const auto& zones = fleet_.experiment_.zones;
    return static_cast<int>(std::ranges::find(zones, listed_.zone) - zones.begin());
  }
  [[nodiscard]] bool Befalls(size_t n, double share, uint64_t salt) const {
    return share > 0 && Draw(fleet_.seed_, n, place_ * 16 + salt) < share;
  }

  void OnProbe(Connection& connection, bool with_report) {
    model_.AddInternalWork(Now(), profile_.group->probe_work);
    const HostModel::Load load = model_.Report(Now());
    const std::string body =
        with_report ? fmt::format("inflight={},latency_ms={:.3f}", load.inflight, load.latency_ms)
                    : "";
    connection.Answer(Head(200, body.size()) + body);
    Plan();
  }

  void TurnAway(Connection& connection) {
    fleet_.ledger_.OnHostRejected(connection.receipt());
    connection.Answer(Head(503, 0, "X-Rejected: 1\r\n"));
  }

  void Later(Duration after, Connection& connection, std::function<void(Connection&)> then) {
    fleet_.loop_.RunAfter(
        after, [kept = *connection.place, receipt = connection.receipt(), then = std::move(then)] {
          if (!kept->closed() && kept->receipt() == receipt) {
            then(*kept);
          }
        });
  }

  void Serve(Connection& connection) {
    const size_t n = connection.try_;
    Ledger& ledger = fleet_.ledger_;
    const std::string body = MakeResponseBody(ledger.AttemptId(n), connection.receipt(),
                                              ledger.RequestOf(n).response_bytes);
    const std::string good = Head(200, body.size()) + body;
    if (!Befalls(n, spoilt, 5)) {
      return connection.Answer(good);
    }
    ResponseTampering how = spoil;
    if (how == ResponseTampering::kAny) {
      // Not a length too short with its rest behind it: that is a good answer and noise, to
      // anybody.
      constexpr std::array kAll = {
          ResponseTampering::kRandomBytes,        ResponseTampering::kMalformedHeaders,
          ResponseTampering::kEndlessHeaders,     ResponseTampering::kContentLengthTooLong,
          ResponseTampering::kEndlessBody,        ResponseTampering::kDuplicateResponse,
          ResponseTampering::kTrailingBytes,      ResponseTampering::kInterimResponses,
          ResponseTampering::kMalformedLoadReport};
      how = kAll[static_cast<size_t>(Draw(fleet_.seed_, n, 77) * kAll.size())];
    }
    // What is of no further use stays open, and its receipt is out until the other side ends it.
    switch (how) {
      case ResponseTampering::kAny:
      case ResponseTampering::kRandomBytes: {
        std::string noise;
        for (uint64_t i = 0; i < 200; ++i) {
          noise += static_cast<char>(Draw(fleet_.seed_, n, 1000 + i) * 256);
        }
        return connection.Answer(noise, false);
      }
      case ResponseTampering::kMalformedHeaders:
        return connection.Answer("HTTP/1.1 2x0 OK\r\n" + good, false);
      case ResponseTampering::kEndlessHeaders:
        return connection.Answer("HTTP/1.1 200 OK\r\nX-Long: " + std::string(1 << 16, 'y'), false);
      case ResponseTampering::kContentLengthTooShort:
        return connection.Answer(Head(200, body.size() / 2) + body);
      case ResponseTampering::kContentLengthTooLong:
        return connection.Answer(Head(200, body.size() + 100) + body, false);
      case ResponseTampering::kEndlessBody:
        connection.Answer(Head(200, kHuge) + body, false);
        return connection.Flood();
      case ResponseTampering::kDuplicateResponse:
        return connection.Answer(good + good);
      case ResponseTampering::kTrailingBytes:
        return connection.Answer(good + "noise that nobody asked for");
      case ResponseTampering::kInterimResponses:
        return connection.Answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" +
                                 good);
      case ResponseTampering::kMalformedLoadReport:
        return connection.Answer(
            Head(200, body.size(), "X-Load-Report: inflight=?,latency_ms\r\n") + body);
    }
  }

  Fleet& fleet_;
  size_t place_;
  Profile profile_;
  HostModel model_;
  ListedHost listed_;
  std::unique_ptr<Listener> listener_;
  std::list<std::shared_ptr<Connection>> connections_;
  std::unordered_map<uint64_t, Connection*> jobs_;  // by receipt + 1
  EventLoop::TimerId timer_;
};

void Fleet::Connection::Over() {
  begun_ = waits_ = false;
  used_ = host_.Now();
  if (receipt_ != kNoReceipt) {
    host_.fleet_.ledger_.OnHostFinished(host_.Now(), std::exchange(receipt_, kNoReceipt), true);
  }
  // What came meanwhile is looked at after the handler at work.
  host_.fleet_.loop_.RunDeferred([kept = *place] {
    if (!kept->closed()) {
      kept->OnData();
    }
  });
}

void Fleet::Connection::OnData() {
  if (host_.cut_off || busy() || stream_.closed()) {
    // A request in hand whose connection ends is over for its host.
    if (!host_.cut_off && busy() && stream_.ended()) {
      host_.Drop(*this);
    }
    return;
  }
  if (!stream_.input().empty() && !std::exchange(begun_, true)) {
    first_ = host_.Now();
  }
  if (!stream_.input().empty()) {
    if ((waits_ = host_.model_.stalled())) {
      return;
    }
    switch (parser_.Feed(stream_.input())) {
      case ParseProgress::kMalformed:
        return host_.Drop(*this);
      case ParseProgress::kDone: {
        const HttpMessage message = parser_.message();
        Buffer bytes = stream_.input().TakeFront(message.total_bytes);
        parser_.Reset();
        begun_ = false;
        host_.OnRequest(*this, message, bytes.view());
        if (!stream_.closed()) {
          stream_.ResumeReading();
        }
        return;
      }
      case ParseProgress::kNeedMore:
        break;
    }
  }
  if (stream_.ended()) {
    host_.Drop(*this);
  }
}

void Fleet::Connection::OnWriteComplete() {
  if (!flooding_ || stream_.closed()) {
    return;
  }
  host_.fleet_.loop_.RunAfterRound([kept = *place] {
    if (!kept->closed()) {
      kept->stream_.Write(std::string(kHugePiece, 'x'));
    }
  });
}

void Fleet::Connection::OnError() {
  host_.Drop(*this);
}

// ---- The fleet ----------------------------------------------------------------------------------

Fleet::Fleet(EventLoop& loop, const Experiment& experiment, Ledger& ledger, uint64_t seed,
             Changed changed)
    : loop_(loop),
      experiment_(experiment),
      ledger_(ledger),
      seed_(seed),
      changed_(std::move(changed)),
      rng_(seed ^ 0x5f1ee7) {}

Fleet::~Fleet() {
  loop_.CancelTimer(tidy_);
}

void Fleet::Start() {
  Tidy();
  for (const HostGroup& group : experiment_.hosts) {
    for (size_t i = 0; i < group.count; ++i) {
      const auto draw = [&](const UniformRange& span) {
        return std::uniform_real_distribution<double>(
            span.low, std::nextafter(span.high, span.high + 1))(rng_);
      };
      Profile profile{&group, 1, 20};
      profile.speed = draw(group.speed);
      profile.report_ms = draw(group.report_interval_ms);
      Add(profile, fmt::format("{}-{}", group.name, i + 1), LoopbackAddress(100 + addresses_++),
          std::nullopt);
    }
  }
}

void Fleet::Tidy() {
  tidy_ = loop_.RunAfter(kTidyEvery, [this] {
    for (const auto& host : hosts_) {
      host->CloseIdle();
    }
    Tidy();
  });
}

size_t Fleet::Add(const Profile& profile, const std::string& name, const Address& address,
                  std::optional<Time> started) {
  const size_t place = hosts_.size();
  hosts_.push_back(std::make_unique<Host>(*this, place, profile, name, address, started));
  return place;
}

std::vector<ListedHost> Fleet::List() const {
  std::vector<ListedHost> out;
  for (const auto& host : hosts_) {
    if (host->listed().phase != Phase::kLeft) {
      out.push_back(host->listed());
    }
  }
  return out;
}

std::vector<size_t> Fleet::Choose(const Fault& fault) {
  std::vector<size_t> there;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    const ListedHost& listed = hosts_[i]->listed();
    if (listed.phase != Phase::kActive || !hosts_[i]->up()) {
      continue;
    }
    if (!fault.zone.empty() && listed.zone != fault.zone) {
      continue;
    }
    // A host's successors go by its name.
    const std::string name = listed.id.substr(0, listed.id.find('.'));
    if (!fault.host_names.empty() && std::ranges::count(fault.host_names, name) == 0) {
      continue;
    }
    there.push_back(i);
  }
  if (!fault.host_names.empty()) {
    return there;
  }
  std::ranges::shuffle(there, rng_);
  const auto share =
      static_cast<size_t>(std::ceil(fault.host_share * static_cast<double>(there.size()) - 1e-9));
  there.resize(std::min(there.size(), fault.count > 0 ? fault.count : share));
  return there;
}

void Fleet::Restart(size_t place, Duration down, Duration lag) {
  Host& host = *hosts_[place];
  const Profile profile = host.profile();
  const Address address = host.listed().address;
  std::string id = host.listed().id;
  const size_t dot = id.find('.');
  const int life = dot == std::string::npos ? 2 : std::stoi(id.substr(dot + 1)) + 1;
  id = fmt::format("{}.{}", id.substr(0, dot), life);
  host.Die();
  host.listed().phase = Phase::kLeft;
  changed_(host.listed(), lag);
  loop_.RunAfter(down, [this, profile, id, address, lag, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    const size_t next = Add(profile, id, address, Now());
    changed_(hosts_[next]->listed(), lag);
  });
}

void Fleet::Begin(const Fault& fault, const std::vector<size_t>& chosen) {
  const Time now = Now();
  if (fault.kind == FaultKind::kAdd) {
    const size_t count = std::max<size_t>(fault.count, 1);
    for (size_t i = 0; i < count; ++i) {
      const HostGroup& group = experiment_.hosts[added_ % experiment_.hosts.size()];
      const double middle = (group.speed.low + group.speed.high) / 2;
      const size_t place =
          Add({&group, middle, group.report_interval_ms.low}, fmt::format("added-{}", ++added_),
              LoopbackAddress(100 + addresses_++), now);
      changed_(hosts_[place]->listed(), fault.discovery_lag);
    }
    return;
  }
  for (const size_t place : chosen) {
    Host& host = *hosts_[place];
    switch (fault.kind) {
      case FaultKind::kSlow:
        host.model().SetSlowdown(now, fault.factor);
        break;
      case FaultKind::kUnresponsive:
        ++host.silent;
        break;
      case FaultKind::kErrors:
        host.errors = fault.request_share;
        break;
      case FaultKind::kNoisyNeighbour:
        host.model().SetNeighbourShare(now, fault.factor);
        break;
      case FaultKind::kResets:
        host.resets = fault.request_share;
        break;
      case FaultKind::kRejections:
        host.turned_away = fault.request_share;
        break;
      case FaultKind::kTamperedResponses:
        host.spoilt = fault.request_share;
        host.spoil = fault.tampering;
        break;
      case FaultKind::kPartlyUnresponsive:
        host.half_dead = fault.request_share;
        break;
      case FaultKind::kPartitioned:
        host.CutOff(true);
        break;
      case FaultKind::kRestart:
        Restart(place, fault.downtime, fault.discovery_lag);
        break;
      case FaultKind::kKill:
        host.Die();
        host.listed().phase = Phase::kLeft;
        changed_(host.listed(), fault.discovery_lag);
        break;
      case FaultKind::kDrain:
        host.listed().phase = Phase::kLeaving;
        changed_(host.listed(), fault.discovery_lag);
        if (fault.exit_delay > Duration(0)) {
          loop_.RunAfter(fault.exit_delay,
                         [this, place, lag = fault.discovery_lag, alive = std::weak_ptr(alive_)] {
                           if (alive.expired()) {
                             return;
                           }
                           hosts_[place]->Die();
                           hosts_[place]->listed().phase = Phase::kLeft;
                           changed_(hosts_[place]->listed(), lag);
                         });
        }
        break;
      case FaultKind::kStall: {
        // Stands still for a while, again and again until the fault ends.
        const int turn = ++host.stalls;
        const auto stall = [this, place, turn, fault,
                            alive = std::weak_ptr(alive_)](const auto& again) -> void {
          if (alive.expired() || hosts_[place]->stalls != turn || !hosts_[place]->up()) {
            return;
          }
          hosts_[place]->Stand(true);
          loop_.RunAfter(fault.stall_duration, [this, place, alive] {
            if (!alive.expired() && hosts_[place]->up()) {
              hosts_[place]->Stand(false);
            }
          });
          loop_.RunAfter(fault.interval, [again] { again(again); });
        };
        // Not all in step.
        const double part = Draw(seed_, place, 99);
        loop_.RunAfter(
            Duration(static_cast<int64_t>(part * static_cast<double>(fault.interval.count()))),
            [stall] { stall(stall); });
        break;
      }
      default:
        break;
    }
    host.Plan();
  }
}

void Fleet::End(const Fault& fault, const std::vector<size_t>& chosen) {
  const Time now = Now();
  for (const size_t place : chosen) {
    Host& host = *hosts_[place];
    if (!host.up()) {
      continue;
    }
    switch (fault.kind) {
      case FaultKind::kSlow:
        host.model().SetSlowdown(now, 1);
        break;
      case FaultKind::kUnresponsive:
        --host.silent;
        break;
      case FaultKind::kErrors:
        host.errors = 0;
        break;
      case FaultKind::kNoisyNeighbour:
        host.model().SetNeighbourShare(now, 0);
        break;
      case FaultKind::kResets:
        host.resets = 0;
        break;
      case FaultKind::kRejections:
        host.turned_away = 0;
        break;
      case FaultKind::kTamperedResponses:
        host.spoilt = 0;
        break;
      case FaultKind::kPartlyUnresponsive:
        host.half_dead = 0;
        break;
      case FaultKind::kPartitioned:
        host.CutOff(false);
        break;
      case FaultKind::kStall:
        ++host.stalls;
        break;
      default:
        break;
    }
    host.Plan();
  }
}

std::vector<std::pair<std::string, size_t>> Fleet::InFlight() const {
  std::vector<std::pair<std::string, size_t>> out;
  for (const auto& host : hosts_) {
    if (host->up()) {
      out.emplace_back(host->listed().id, host->model().inflight());
    }
  }
  return out;
}

size_t Fleet::connections() const {
  size_t count = 0;
  for (const auto& host : hosts_) {
    count += host->connections();
  }
  return count;
}

}  // namespace paddlestile::lab
