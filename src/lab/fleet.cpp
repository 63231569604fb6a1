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
#include "lab/response_plan.h"

namespace paddlestile::lab {
namespace {

constexpr size_t kMaxUnreadBytes = (1 << 20) + (1 << 16);  // the largest request that is parsed
constexpr size_t kFloodWriteBytes = 1 << 18;               // bytes per write of an endless response
constexpr Duration kResetDelay{5'000};                     // us; from a request to the reset
constexpr Duration kErrorDelay{2'000};                   // us; from a request to the error response
constexpr Duration kIdleCheckInterval{100'000};          // us; between checks for idle connections
constexpr uint64_t kFloodContentLength = 3'000'000'000;  // Content-Length of an endless response

// A value in [0, 1) that depends only on the seed and its purpose, not on the order of arrivals.
double UniformDraw(uint64_t seed, uint64_t stream, uint64_t index) {
  uint64_t x = seed ^ (stream * 0x9e3779b97f4a7c15ULL) ^ (index * 0xc2b2ae3d27d4eb4fULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1.0p-53;
}

std::string ResponseHead(int status, size_t length, std::string_view extra_headers = {}) {
  return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n", status,
                     status == 200 ? "OK" : "No", extra_headers, length);
}

int64_t UnixMillis() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace

// ---- A connection of a gateway to a host --------------------------------------------------------

class Fleet::Connection final : public Stream::Listener {
 public:
  Connection(Host& host, EventLoop& loop, FileDescriptor fd)
      : host_(host), fd_(fd.get()), stream_(loop, Socket(std::move(fd), nullptr), this, false) {
    stream_.set_max_unread_bytes(kMaxUnreadBytes);
  }

  bool Start() { return stream_.Start(); }
  [[nodiscard]] bool busy() const { return receipt_ != kNoReceipt; }
  [[nodiscard]] uint64_t receipt() const { return receipt_; }
  [[nodiscard]] bool closed() const { return stream_.closed(); }

  void Respond(std::string text, bool finished = true) {
    stream_.Write(std::move(text));
    if (finished) {
      FinishResponse();
    }
  }
  // The response to the current request was written; parses the next request, if any.
  void FinishResponse();
  // Sends data for as long as the gateway reads it.
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
  void ResumeParsing() { OnData(); }

  void OnData() override;
  void OnError() override;
  void OnWriteComplete() override;
  // The gateway has closed or reset the connection.
  void OnEndedByGateway();

  static constexpr uint64_t kNoReceipt = UINT64_MAX;
  std::list<std::shared_ptr<Connection>>::iterator position;

 private:
  friend class Host;
  Host& host_;
  int fd_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, 1 << 20};
  bool request_started_ = false, flooding_ = false, waits_for_host_ = false;
  Time first_byte_at_{0};  // first byte of the current request
  Time last_used_{0};      // when it was opened or last sent a response
  uint64_t receipt_ = kNoReceipt;
  size_t attempt_ = 0;
  std::optional<Time> response_complete_at_;  // while a response is written in pieces
};

// ---- A host -------------------------------------------------------------------------------------

class Fleet::Host {
 public:
  Host(Fleet& fleet, size_t index, const Profile& profile, std::string id, Address address,
       std::optional<Time> started)
      : fleet_(fleet), index_(index), profile_(profile), model_(TraitsOf(fleet, profile), started) {
    listed_ = {index,
               std::move(id),
               address,
               profile.group->zone,
               profile.group->kind,
               profile.group->cell,
               Phase::kActive,
               started ? UnixMillis() : 0};
    listener_ = std::make_unique<Listener>(fleet.loop_, address,
                                           [this](FileDescriptor fd) { Accept(std::move(fd)); });
  }
  ~Host() { fleet_.loop_.CancelTimer(timer_); }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  static HostTraits TraitsOf(const Fleet& fleet, const Profile& profile) {
    const Experiment& experiment = fleet.experiment_;
    HostTraits traits;
    traits.cores = profile.group->cores;
    traits.speed = profile.speed;
    traits.max_held_requests = profile.group->max_held_requests;
    traits.cancels_work_on_disconnect = profile.group->cancels_work_on_disconnect;
    traits.report_interval = Duration(std::llround(profile.report_interval_ms * 1000));
    traits.slow_start_initial_capacity = experiment.slow_start_initial_capacity;
    traits.slow_start_duration = experiment.slow_start_duration;
    traits.overload_collapse_multiple = experiment.overload_collapse_multiple;
    traits.overload_collapse_duration = experiment.overload_collapse_duration;
    return traits;
  }

  [[nodiscard]] Time Now() const { return fleet_.Now(); }
  [[nodiscard]] bool up() const { return listener_ != nullptr; }
  [[nodiscard]] size_t connections() const { return connections_.size(); }

  void Accept(FileDescriptor fd) {
    if (connections_.size() >= profile_.group->max_connections) {
      return;  // the connection table is full; closes the connection
    }
    connections_.push_back(std::make_shared<Connection>(*this, fleet_.loop_, std::move(fd)));
    Connection& connection = *connections_.back();
    connection.position = std::prev(connections_.end());
    connection.last_used_ = Now();
    if (!connection.Start()) {
      return CloseConnection(connection);
    }
    model_.AddInternalWork(Now(), profile_.group->handshake_work);
    ScheduleCompletion();
  }

  void CloseConnection(Connection& connection) {
    if (connection.receipt() != Connection::kNoReceipt) {
      model_.CancelJob(Now(), connection.receipt() + 1);
      jobs_.erase(connection.receipt() + 1);
      fleet_.ledger_.OnHostFinished(Now(), connection.receipt(), false);
      connection.receipt_ = Connection::kNoReceipt;
      ScheduleCompletion();
    }
    connection.Close();
    fleet_.loop_.RunDeferred([kept = *connection.position] {});
    connections_.erase(connection.position);
  }

  void OnRequest(Connection& connection, const HttpMessage& message, std::string_view base) {
    const std::string_view target = message.target.In(base);
    if (target == "/_load" || target == "/ping") {
      return OnProbe(connection, target == "/_load");
    }
    const auto id = message.FindHeader(base, "X-Call-Id");
    if (!id) {
      return connection.Respond(ResponseHead(404, 0));
    }
    Ledger& ledger = fleet_.ledger_;
    const size_t attempt = ledger.FindAttempt(*id);
    if (attempt == SIZE_MAX) {
      ledger.OnUnknownRequest(Now(), *id, fmt::format("{} received {}", listed_.id, target));
      return connection.Respond(ResponseHead(400, 0));
    }
    const uint64_t receipt = ledger.OnHostReceived(Now(), attempt, index_, ZoneIndex(),
                                                   listed_.cell, connection.first_byte_at_);
    connection.receipt_ = receipt;
    connection.attempt_ = attempt;
    if (unresponsive_faults > 0 || IsAffected(attempt, unresponsive_share, 1)) {
      return;  // never answered
    }
    if (IsAffected(attempt, rejection_share, 2)) {
      return Reject(connection);
    }
    if (IsAffected(attempt, error_share, 3)) {
      return RunLater(kErrorDelay, connection,
                      [](Connection& c) { c.Respond(ResponseHead(500, 0)); });
    }
    if (IsAffected(attempt, reset_share, 4)) {
      return RunLater(kResetDelay, connection, [this](Connection& c) {
        c.Reset();
        CloseConnection(c);
      });
    }
    const RequestSpec& spec = ledger.RequestOf(attempt);
    switch (model_.Arrive(Now(), receipt + 1, spec.work, spec.wait)) {
      case HostModel::Arrival::kFull:
        return Reject(connection);
      case HostModel::Arrival::kCollapsed:
        ledger.OnHostCollapsed(Now(), listed_.id);
        fleet_.loop_.RunDeferred([this] { Terminate(); });
        return;
      case HostModel::Arrival::kAccepted:
        break;
    }
    jobs_[receipt + 1] = &connection;
    ScheduleCompletion();
  }

  // Closes connections that were idle for longer than the timeout that the gateways were given.
  void CloseIdle() {
    if (is_partitioned || !up()) {
      return;
    }
    const Time before = Now() - fleet_.experiment_.idle_connection_timeout;
    for (auto at = connections_.begin(); at != connections_.end();) {
      Connection& connection = **at++;
      if (!connection.busy() && !connection.request_started_ && connection.last_used_ < before) {
        CloseConnection(connection);
      }
    }
  }

  void Terminate() {
    listener_.reset();
    model_.Advance(Now());
    while (!connections_.empty()) {
      Connection& connection = *connections_.front();
      connection.Reset();
      CloseConnection(connection);
    }
    fleet_.loop_.CancelTimer(timer_);
  }

  // Simulates a cut link: no data passes in either direction. At the end, the old connections are
  // reset.
  void SetPartitioned(bool partitioned) {
    if (!up()) {
      return;
    }
    is_partitioned = partitioned;
    if (!partitioned) {
      while (!connections_.empty()) {
        Connection& connection = *connections_.front();
        connection.Reset();
        CloseConnection(connection);
      }
    }
    listener_->SetPartitioned(partitioned);
  }

  // Sets the share of requests to which a fault of single requests applies. No effect for others.
  void SetRequestFault(const Fault& fault, double share) {
    switch (fault.kind) {
      case FaultKind::kErrors:
        error_share = share;
        break;
      case FaultKind::kResets:
        reset_share = share;
        break;
      case FaultKind::kRejections:
        rejection_share = share;
        break;
      case FaultKind::kPartlyUnresponsive:
        unresponsive_share = share;
        break;
      case FaultKind::kTruncatedResponses:
        truncation_share = share;
        break;
      case FaultKind::kTamperedResponses:
        tampering_share = share;
        tampering = fault.tampering;
        break;
      case FaultKind::kSlowResponses:
        slow_response_share = share;
        max_writing_time = fault.stall_duration;
        break;
      default:
        break;
    }
  }

  void SetStalled(bool stalled) {
    model_.SetStalled(Now(), stalled);
    ScheduleCompletion();
    if (stalled) {
      return;
    }
    for (auto at = connections_.begin(); at != connections_.end();) {
      const std::shared_ptr<Connection> connection = *at++;
      if (connection->waits_for_host_) {
        connection->ResumeParsing();
      }
    }
  }

  void ScheduleCompletion() {
    fleet_.loop_.CancelTimer(timer_);
    const auto next = model_.NextCompletion();
    if (!next) {
      return;
    }
    timer_ = fleet_.loop_.RunAfter(*next - Now(), [this] {
      timer_ = {};
      CompleteJobs();
    });
  }

  void CompleteJobs() {
    for (const uint64_t job : model_.Advance(Now())) {
      const auto at = jobs_.find(job);
      if (at == jobs_.end()) {
        continue;  // its connection is closed
      }
      Connection& connection = *at->second;
      jobs_.erase(at);
      if (!is_partitioned) {
        SendResponse(connection);
      }
    }
    ScheduleCompletion();
  }

  ListedHost& listed() { return listed_; }
  HostModel& model() { return model_; }
  [[nodiscard]] const Profile& profile() const { return profile_; }

  int unresponsive_faults = 0, stall_generation = 0;
  double unresponsive_share = 0, rejection_share = 0, error_share = 0, reset_share = 0,
         tampering_share = 0, slow_response_share = 0, truncation_share = 0;
  Duration max_writing_time{0};  // of a slow response
  ResponseTampering tampering = ResponseTampering::kAny;
  bool is_partitioned = false;

 private:
  friend class Connection;
  [[nodiscard]] int ZoneIndex() const {
    const auto& zones = fleet_.experiment_.zones;
    return static_cast<int>(std::ranges::find(zones, listed_.zone) - zones.begin());
  }
  [[nodiscard]] bool IsAffected(size_t attempt, double share, uint64_t salt) const {
    return share > 0 && UniformDraw(fleet_.seed_, attempt, index_ * 16 + salt) < share;
  }

  void OnProbe(Connection& connection, bool with_report) {
    model_.AddInternalWork(Now(), profile_.group->probe_work);
    const HostModel::Load load = model_.Report(Now());
    const std::string body =
        with_report ? fmt::format("inflight={},latency_ms={:.3f}", load.inflight, load.latency_ms)
                    : "";
    connection.Respond(ResponseHead(200, body.size()) + body);
    ScheduleCompletion();
  }

  void Reject(Connection& connection) {
    fleet_.ledger_.OnHostRejected(connection.receipt());
    connection.Respond(ResponseHead(503, 0, "X-Rejected: 1\r\n"));
  }

  void RunLater(Duration delay, Connection& connection, std::function<void(Connection&)> task) {
    fleet_.loop_.RunAfter(delay, [kept = *connection.position, receipt = connection.receipt(),
                                  then = std::move(task)] {
      if (!kept->closed() && kept->receipt() == receipt) {
        then(*kept);
      }
    });
  }

  // Writes piece `index` of the response, and schedules the next one.
  void WritePiece(Connection& connection, const std::shared_ptr<std::string>& response,
                  const ResponsePlan& plan, size_t index) {
    const size_t begin = index == 0 ? 0 : plan.piece_ends[index - 1];
    connection.Respond(response->substr(begin, plan.piece_ends[index] - begin), false);
    if (index + 1 < plan.piece_ends.size()) {
      return RunLater(plan.pause, connection, [this, response, plan, index](Connection& later) {
        WritePiece(later, response, plan, index + 1);
      });
    }
    if (plan.end == ResponsePlan::End::kComplete) {
      return connection.FinishResponse();
    }
    if (plan.end == ResponsePlan::End::kReset) {
      connection.Reset();
    }
    CloseConnection(connection);
  }

  void SendResponse(Connection& connection) {
    const size_t attempt = connection.attempt_;
    Ledger& ledger = fleet_.ledger_;
    const std::string body = MakeResponseBody(ledger.AttemptId(attempt), connection.receipt(),
                                              ledger.RequestOf(attempt).response_bytes);
    const std::string response = ResponseHead(200, body.size()) + body;
    if (IsAffected(attempt, truncation_share, 6)) {
      ledger.OnHostTruncated(connection.receipt());
      const auto plan = DrawTruncatedResponse(response.size(), fleet_.seed_ ^ attempt);
      return WritePiece(connection, std::make_shared<std::string>(response), plan, 0);
    }
    if (IsAffected(attempt, slow_response_share, 7)) {
      const auto plan = DrawSlowResponse(response.size(), max_writing_time, fleet_.seed_ ^ attempt);
      connection.response_complete_at_ = Now() + plan.WritingTime();
      return WritePiece(connection, std::make_shared<std::string>(response), plan, 0);
    }
    if (!IsAffected(attempt, tampering_share, 5)) {
      return connection.Respond(response);
    }
    ResponseTampering chosen = tampering;
    if (chosen == ResponseTampering::kAny) {
      // Not kContentLengthTooShort: a receiver sees a valid response followed by extra bytes.
      constexpr std::array kRandomTamperings = {
          ResponseTampering::kRandomBytes,        ResponseTampering::kMalformedHeaders,
          ResponseTampering::kEndlessHeaders,     ResponseTampering::kContentLengthTooLong,
          ResponseTampering::kEndlessBody,        ResponseTampering::kDuplicateResponse,
          ResponseTampering::kTrailingBytes,      ResponseTampering::kInterimResponses,
          ResponseTampering::kMalformedLoadReport};
      chosen = kRandomTamperings[static_cast<size_t>(UniformDraw(fleet_.seed_, attempt, 77) *
                                                     kRandomTamperings.size())];
    }
    // Invalid responses leave the connection and its receipt open until the gateway closes it.
    switch (chosen) {
      case ResponseTampering::kAny:
      case ResponseTampering::kRandomBytes: {
        std::string bytes;
        for (uint64_t i = 0; i < 200; ++i) {
          bytes += static_cast<char>(UniformDraw(fleet_.seed_, attempt, 1000 + i) * 256);
        }
        return connection.Respond(bytes, false);
      }
      case ResponseTampering::kMalformedHeaders:
        return connection.Respond("HTTP/1.1 2x0 OK\r\n" + response, false);
      case ResponseTampering::kEndlessHeaders:
        return connection.Respond("HTTP/1.1 200 OK\r\nX-Long: " + std::string(1 << 16, 'y'), false);
      case ResponseTampering::kContentLengthTooShort:
        return connection.Respond(ResponseHead(200, body.size() / 2) + body);
      case ResponseTampering::kContentLengthTooLong:
        return connection.Respond(ResponseHead(200, body.size() + 100) + body, false);
      case ResponseTampering::kEndlessBody:
        connection.Respond(ResponseHead(200, kFloodContentLength) + body, false);
        return connection.Flood();
      case ResponseTampering::kDuplicateResponse:
        return connection.Respond(response + response);
      case ResponseTampering::kTrailingBytes:
        return connection.Respond(response + "noise that nobody asked for");
      case ResponseTampering::kInterimResponses:
        return connection.Respond(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" + response);
      case ResponseTampering::kMalformedLoadReport:
        return connection.Respond(
            ResponseHead(200, body.size(), "X-Load-Report: inflight=?,latency_ms\r\n") + body);
    }
  }

  Fleet& fleet_;
  size_t index_;
  Profile profile_;
  HostModel model_;
  ListedHost listed_;
  std::unique_ptr<Listener> listener_;
  std::list<std::shared_ptr<Connection>> connections_;
  std::unordered_map<uint64_t, Connection*> jobs_;  // by job: receipt + 1
  EventLoop::TimerId timer_;
};

void Fleet::Connection::FinishResponse() {
  request_started_ = waits_for_host_ = false;
  last_used_ = host_.Now();
  response_complete_at_.reset();
  if (receipt_ != kNoReceipt) {
    host_.fleet_.ledger_.OnHostFinished(host_.Now(), std::exchange(receipt_, kNoReceipt), true);
  }
  // Data that has already arrived is parsed after the current handler returns.
  host_.fleet_.loop_.RunDeferred([kept = *position] {
    if (!kept->closed()) {
      kept->OnData();
    }
  });
}

void Fleet::Connection::OnData() {
  if (host_.is_partitioned || busy() || stream_.closed()) {
    // A request whose connection ends is finished for its host.
    if (!host_.is_partitioned && busy() && stream_.ended()) {
      OnEndedByGateway();
    }
    return;
  }
  if (!stream_.input().empty() && !std::exchange(request_started_, true)) {
    first_byte_at_ = host_.Now();
  }
  if (!stream_.input().empty()) {
    if ((waits_for_host_ = host_.model_.stalled())) {
      return;
    }
    switch (parser_.Feed(stream_.input())) {
      case ParseProgress::kMalformed:
        return host_.CloseConnection(*this);
      case ParseProgress::kDone: {
        const HttpMessage message = parser_.message();
        Buffer bytes = stream_.input().TakeFront(message.total_bytes);
        parser_.Reset();
        request_started_ = false;
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
    host_.CloseConnection(*this);
  }
}

void Fleet::Connection::OnWriteComplete() {
  if (!flooding_ || stream_.closed()) {
    return;
  }
  host_.fleet_.loop_.RunAfterRound([kept = *position] {
    if (!kept->closed()) {
      kept->stream_.Write(std::string(kFloodWriteBytes, 'x'));
    }
  });
}

void Fleet::Connection::OnError() {
  OnEndedByGateway();
}

void Fleet::Connection::OnEndedByGateway() {
  if (response_complete_at_ && busy()) {
    host_.fleet_.ledger_.OnResponseCut(receipt_, *response_complete_at_);
  }
  host_.CloseConnection(*this);
}

// ---- The fleet ----------------------------------------------------------------------------------

Fleet::Fleet(EventLoop& loop, const Experiment& experiment, Ledger& ledger, uint64_t seed,
             HostChangeCallback changed)
    : loop_(loop),
      experiment_(experiment),
      ledger_(ledger),
      seed_(seed),
      on_host_change_(std::move(changed)),
      rng_(seed ^ 0x5f1ee7) {}

Fleet::~Fleet() {
  loop_.CancelTimer(idle_check_timer_);
}

void Fleet::Start() {
  ScheduleIdleCheck();
  for (const HostGroup& group : experiment_.hosts) {
    for (size_t i = 0; i < group.count; ++i) {
      const auto draw = [&](const UniformRange& range) {
        return std::uniform_real_distribution<double>(
            range.low, std::nextafter(range.high, range.high + 1))(rng_);
      };
      Profile profile{&group, 1, 20};
      profile.speed = draw(group.speed);
      profile.report_interval_ms = draw(group.report_interval_ms);
      AddHost(profile, fmt::format("{}-{}", group.name, i + 1),
              LoopbackAddress(100 + used_addresses_++), std::nullopt);
    }
  }
}

void Fleet::ScheduleIdleCheck() {
  idle_check_timer_ = loop_.RunAfter(kIdleCheckInterval, [this] {
    for (const auto& host : hosts_) {
      host->CloseIdle();
    }
    ScheduleIdleCheck();
  });
}

size_t Fleet::AddHost(const Profile& profile, const std::string& name, const Address& address,
                      std::optional<Time> started) {
  const size_t index = hosts_.size();
  hosts_.push_back(std::make_unique<Host>(*this, index, profile, name, address, started));
  return index;
}

std::vector<ListedHost> Fleet::ListHosts() const {
  std::vector<ListedHost> hosts;
  for (const auto& host : hosts_) {
    if (host->listed().phase != Phase::kLeft) {
      hosts.push_back(host->listed());
    }
  }
  return hosts;
}

std::vector<size_t> Fleet::ChooseHosts(const Fault& fault) {
  std::vector<size_t> candidates;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    const ListedHost& listed = hosts_[i]->listed();
    if (listed.phase != Phase::kActive || !hosts_[i]->up()) {
      continue;
    }
    if (!fault.zone.empty() && listed.zone != fault.zone) {
      continue;
    }
    // Restarted hosts share the name and differ by a suffix.
    const std::string name = listed.id.substr(0, listed.id.find('.'));
    if (!fault.host_names.empty() && std::ranges::count(fault.host_names, name) == 0) {
      continue;
    }
    candidates.push_back(i);
  }
  if (!fault.host_names.empty()) {
    return candidates;
  }
  std::ranges::shuffle(candidates, rng_);
  const auto share = static_cast<size_t>(
      std::ceil(fault.host_share * static_cast<double>(candidates.size()) - 1e-9));
  candidates.resize(std::min(candidates.size(), fault.count > 0 ? fault.count : share));
  return candidates;
}

void Fleet::RestartHost(size_t index, Duration downtime, Duration lag) {
  Host& host = *hosts_[index];
  const Profile profile = host.profile();
  const Address address = host.listed().address;
  std::string id = host.listed().id;
  const size_t dot = id.find('.');
  const int generation = dot == std::string::npos ? 2 : std::stoi(id.substr(dot + 1)) + 1;
  id = fmt::format("{}.{}", id.substr(0, dot), generation);
  host.Terminate();
  host.listed().phase = Phase::kLeft;
  on_host_change_(host.listed(), lag);
  loop_.RunAfter(downtime, [this, profile, id, address, lag, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    const size_t successor = AddHost(profile, id, address, Now());
    on_host_change_(hosts_[successor]->listed(), lag);
  });
}

void Fleet::BeginFault(const Fault& fault, const std::vector<size_t>& chosen) {
  const Time now = Now();
  if (fault.kind == FaultKind::kAdd) {
    const size_t count = std::max<size_t>(fault.count, 1);
    for (size_t i = 0; i < count; ++i) {
      const HostGroup& group = experiment_.hosts[added_hosts_ % experiment_.hosts.size()];
      const double middle_speed = (group.speed.low + group.speed.high) / 2;
      const size_t index = AddHost({&group, middle_speed, group.report_interval_ms.low},
                                   fmt::format("added-{}", ++added_hosts_),
                                   LoopbackAddress(100 + used_addresses_++), now);
      on_host_change_(hosts_[index]->listed(), fault.discovery_lag);
    }
    return;
  }
  for (const size_t index : chosen) {
    Host& host = *hosts_[index];
    switch (fault.kind) {
      case FaultKind::kSlow:
        host.model().SetSlowdown(now, fault.factor);
        break;
      case FaultKind::kUnresponsive:
        ++host.unresponsive_faults;
        break;
      case FaultKind::kNoisyNeighbour:
        host.model().SetNeighbourShare(now, fault.factor);
        break;
      case FaultKind::kPartitioned:
        host.SetPartitioned(true);
        break;
      case FaultKind::kRestart:
        RestartHost(index, fault.downtime, fault.discovery_lag);
        break;
      case FaultKind::kKill:
        host.Terminate();
        host.listed().phase = Phase::kLeft;
        on_host_change_(host.listed(), fault.discovery_lag);
        break;
      case FaultKind::kDrain:
        host.listed().phase = Phase::kLeaving;
        on_host_change_(host.listed(), fault.discovery_lag);
        if (fault.exit_delay > Duration(0)) {
          loop_.RunAfter(fault.exit_delay,
                         [this, index, lag = fault.discovery_lag, alive = std::weak_ptr(alive_)] {
                           if (alive.expired()) {
                             return;
                           }
                           hosts_[index]->Terminate();
                           hosts_[index]->listed().phase = Phase::kLeft;
                           on_host_change_(hosts_[index]->listed(), lag);
                         });
        }
        break;
      case FaultKind::kStall: {
        // Stalls the host repeatedly until the fault ends.
        const int generation = ++host.stall_generation;
        const auto stall = [this, index, generation, fault,
                            alive = std::weak_ptr(alive_)](const auto& again) -> void {
          if (alive.expired() || hosts_[index]->stall_generation != generation ||
              !hosts_[index]->up()) {
            return;
          }
          hosts_[index]->SetStalled(true);
          loop_.RunAfter(fault.stall_duration, [this, index, alive] {
            if (!alive.expired() && hosts_[index]->up()) {
              hosts_[index]->SetStalled(false);
            }
          });
          loop_.RunAfter(fault.interval, [again] { again(again); });
        };
        // Hosts stall at different times.
        const double phase = UniformDraw(seed_, index, 99);
        loop_.RunAfter(
            Duration(static_cast<int64_t>(phase * static_cast<double>(fault.interval.count()))),
            [stall] { stall(stall); });
        break;
      }
      default:
        host.SetRequestFault(fault, fault.request_share);
        break;
    }
    host.ScheduleCompletion();
  }
}

void Fleet::EndFault(const Fault& fault, const std::vector<size_t>& chosen) {
  const Time now = Now();
  for (const size_t index : chosen) {
    Host& host = *hosts_[index];
    if (!host.up()) {
      continue;
    }
    switch (fault.kind) {
      case FaultKind::kSlow:
        host.model().SetSlowdown(now, 1);
        break;
      case FaultKind::kUnresponsive:
        --host.unresponsive_faults;
        break;
      case FaultKind::kNoisyNeighbour:
        host.model().SetNeighbourShare(now, 0);
        break;
      case FaultKind::kPartitioned:
        host.SetPartitioned(false);
        break;
      case FaultKind::kStall:
        ++host.stall_generation;
        break;
      default:
        host.SetRequestFault(fault, 0);
        break;
    }
    host.ScheduleCompletion();
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
