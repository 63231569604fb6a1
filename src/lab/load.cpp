#include "lab/load.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <utility>

#include "event/stream.h"
#include "http/http_parser.h"

namespace paddlestile::lab {
namespace {

constexpr Duration kSlowSendInterval{20'000};  // us; between the pieces of a slowly sent request
constexpr Duration kSlowReadInterval{20'000};  // us; between the pieces of a slowly read response
constexpr size_t kSlowReadBytes = 32'768;      // of such a piece
constexpr Duration kClientTimeoutMargin{300'000};  // us; that a client waits beyond the deadline
// us; within which the gateway has to end the connection
constexpr Duration kMisbehavingClientTimeout{3'000'000};
// us; the same for a client with a large body
constexpr Duration kLargeBodyClientTimeout{6'000'000};
constexpr size_t kMaxResponseBytes = 1 << 20;
constexpr int kMaxConnects = 4;
// us; how long after sending a request the end of its connection may arrive when the gateway closed
// it before the request reached it.
constexpr Duration kMaxCloseRace{50'000};
constexpr size_t kHugeBody = 60'000'000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string RequestBody(size_t size) {
  return std::string(size, 'b');
}

Duration RetryAfter(const HttpMessage& message, std::string_view base) {
  const auto text = message.FindHeader(base, "Retry-After");
  double seconds = 0;
  if (!text) {
    return Duration(0);
  }
  std::from_chars(text->data(), text->data() + text->size(), seconds);
  return Duration(std::llround(std::clamp(seconds, 0.0, 60.0) * 1e6));
}

}  // namespace

// ---- A client's connection ----------------------------------------------------------------------

class Load::Connection final : public Stream::Listener {
 public:
  Connection(Load& load, size_t gateway, Socket socket)
      : load_(load),
        gateway_(gateway),
        client_(LocalAddress(socket.get())),
        stream_(load.loop_, std::move(socket), this, true),
        opened_at_(load.Now()) {
    stream_.set_max_unread_bytes(kMaxResponseBytes);
  }
  bool Start() { return stream_.Start(); }
  [[nodiscard]] bool closed() const { return stream_.closed(); }
  [[nodiscard]] size_t gateway() const { return gateway_; }
  [[nodiscard]] const Address& client() const { return client_; }
  [[nodiscard]] bool killed() const { return killed_; }
  void set_killed() { killed_ = true; }
  // Whether the attempt waits on this connection.
  [[nodiscard]] bool HasAttempt(size_t attempt) const {
    return attempt_ != nullptr && attempt_->number == attempt;
  }
  [[nodiscard]] bool IsIdle() const { return stream_.IsIdle(); }

  void SendRequest(std::shared_ptr<Attempt> attempt) {
    attempt_ = std::move(attempt);
    waits_beyond_deadline_ = false;
    request_sent_at_ = load_.Now();
    ++request_count_;
    const Arrival& arrival = attempt_->request->arrival;
    std::string text = load_.RequestHead(*attempt_) + RequestBody(arrival.request.body_bytes);
    const Duration left = attempt_->deadline + kClientTimeoutMargin - load_.Now();
    timer_ = load_.loop_.RunAfter(left, [this] {
      timer_ = {};
      OnTimeout();
    });
    if (arrival.client_aborts && attempt_->request->attempts == 1) {
      const auto part =
          static_cast<int64_t>(arrival.abort_position * static_cast<double>(left.count()));
      abort_timer_ = load_.loop_.RunAfter(Duration(part), [this] {
        abort_timer_ = {};
        Abort();
      });
    }
    stream_.set_max_unread_bytes(arrival.reads_slowly ? kSlowReadBytes : kMaxResponseBytes);
    if (arrival.sends_slowly && text.size() > 8) {
      return SendSlowly(std::make_shared<std::string>(std::move(text)), 3);
    }
    stream_.Write(std::move(text));
    CheckRequestSent();
  }

  void Close() {
    load_.loop_.CancelTimer(timer_);
    load_.loop_.CancelTimer(abort_timer_);
    stream_.Close();
  }

  void OnConnected() override {
    connected_ = true;
    CheckRequestSent();
  }
  void OnWriteComplete() override { CheckRequestSent(); }
  void OnData() override;
  void OnError() override { OnConnectionEnded("reset"); }

  std::list<std::shared_ptr<Connection>>::iterator position;

 private:
  // The last byte of the request was handed to the kernel on an established connection.
  void CheckRequestSent() {
    if (attempt_ != nullptr && connected_ && stream_.flushed() && !is_sending_slowly_) {
      load_.ledger_.OnRequestSent(attempt_->number);
    }
  }
  void SendSlowly(const std::shared_ptr<std::string>& text, int pieces) {
    is_sending_slowly_ = pieces > 1;
    const size_t size = pieces > 1 ? text->size() / static_cast<size_t>(pieces) : text->size();
    stream_.Write(text->substr(0, size));
    text->erase(0, size);
    if (!is_sending_slowly_) {
      load_.ledger_.OnSlowRequestSent(load_.Now(), attempt_->number);
      return CheckRequestSent();
    }
    load_.loop_.RunAfter(kSlowSendInterval, [kept = *position, text, pieces, n = attempt_->number] {
      if (kept->closed() || kept->attempt_ == nullptr || kept->attempt_->number != n) {
        return;
      }
      kept->SendSlowly(text, pieces - 1);
    });
  }
  // Reads another piece of the response after a while.
  void ReadMoreLater() {
    load_.loop_.RunAfter(kSlowReadInterval, [kept = *position, n = attempt_->number] {
      if (!kept->closed() && kept->HasAttempt(n)) {
        kept->stream_.set_max_unread_bytes(kept->stream_.input().size() + kSlowReadBytes);
        kept->stream_.ResumeReading();
      }
    });
  }
  void FinishRequest(int status, Duration retry_after, bool keep_open) {
    load_.loop_.CancelTimer(timer_);
    load_.loop_.CancelTimer(abort_timer_);
    last_attempt_ = attempt_->number;
    const auto attempt = std::exchange(attempt_, nullptr);
    is_sending_slowly_ = false;
    if (!keep_open || attempt->request->arrival.closes_after_response) {
      load_.CloseConnection(*this);
    } else {
      load_.targets_[gateway_].idle.push_back(this);
    }
    load_.FinishAttempt(attempt, status, retry_after);
  }
  void OnTimeout() {
    // The ledger judges the deadline itself; here the client only stops waiting. If the response
    // may be delayed, the client waits longer by the same time, to distinguish a late response from
    // a lost one.
    const Duration delay = load_.ledger_.AllowedDelay(attempt_->number);
    if (delay > Duration(0) && !std::exchange(waits_beyond_deadline_, true)) {
      timer_ = load_.loop_.RunAfter(attempt_->deadline + delay + kClientTimeoutMargin - load_.Now(),
                                    [this] {
                                      timer_ = {};
                                      OnTimeout();
                                    });
      return;
    }
    FinishRequest(0, Duration(0), false);
  }
  void Abort() {
    load_.ledger_.OnClientDisconnected(attempt_->number);
    attempt_->request->arrival.retry_delays.clear();
    FinishRequest(0, Duration(0), false);
  }
  void OnConnectionEnded(std::string_view reason);

  Load& load_;
  size_t gateway_;
  Address client_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse, kMaxResponseBytes};
  std::shared_ptr<Attempt> attempt_;
  EventLoop::TimerId timer_, abort_timer_;
  size_t last_attempt_ = SIZE_MAX;  // the last attempt with a response
  Time opened_at_, request_sent_at_{0};
  int request_count_ = 0;
  bool connected_ = false, is_sending_slowly_ = false;
  bool waits_beyond_deadline_ = false;  // the client waits longer for a permitted delay
  bool killed_ = false;                 // the process that had accepted it was killed
};

void Load::Connection::OnData() {
  while (!stream_.closed() && !stream_.input().empty()) {
    if (attempt_ == nullptr) {
      // No request is pending. A gateway may send 408 before it closes an idle connection.
      if (!stream_.input().view().starts_with("HTTP/1.1 408")) {
        load_.ledger_.OnUnexpectedData(
            load_.Now(), last_attempt_,
            fmt::format("{} bytes after its response", stream_.input().size()));
      }
      return load_.CloseConnection(*this);
    }
    load_.ledger_.OnResponseBegun(load_.Now(), attempt_->number);
    const ParseProgress progress = parser_.Feed(stream_.input());
    if (progress == ParseProgress::kNeedMore) {
      if (attempt_->request->arrival.reads_slowly) {
        ReadMoreLater();
      }
      break;
    }
    if (progress == ParseProgress::kMalformed) {
      return OnConnectionEnded("malformed response");
    }
    const HttpMessage message = parser_.message();
    const Buffer bytes = stream_.input().TakeFront(message.total_bytes);
    parser_.Reset();
    load_.ledger_.OnResponse(load_.Now(), attempt_->number, message.status,
                             message.body.In(bytes.view()));
    FinishRequest(message.status, RetryAfter(message, bytes.view()), message.keep_alive);
  }
  if (!stream_.closed() && stream_.ended()) {
    OnConnectionEnded("closed");
  }
}

void Load::Connection::OnConnectionEnded(std::string_view reason) {
  if (stream_.closed()) {
    return;
  }
  const auto attempt = std::exchange(attempt_, nullptr);
  const bool connected = connected_;
  const bool reused = request_count_ > 1;
  load_.loop_.CancelTimer(timer_);
  load_.loop_.CancelTimer(abort_timer_);
  const bool response_started = parser_.begun();
  load_.CloseConnection(*this);
  if (attempt == nullptr) {
    return;
  }
  if (!connected) {
    return attempt->connects_tried < kMaxConnects ? load_.SendAttempt(attempt)
                                                  : load_.OnConnectionsRefused(attempt);
  }
  if (killed_) {
    load_.ledger_.ExcuseAttempt(attempt->number, Excuse::kProcessKilled);
    return load_.FinishAttempt(attempt, 0, Duration(0));
  }
  if (response_started && load_.ledger_.IsTruncatedByHost(attempt->number)) {
    load_.ledger_.ExcuseAttempt(attempt->number, Excuse::kHostTruncated);
    return load_.FinishAttempt(attempt, 0, Duration(0));
  }
  // The gateway closed the idle connection as this request was written: resend it once on another
  // connection.
  const Duration since_sent = load_.Now() - request_sent_at_;
  const bool is_close_race = reused && !response_started &&
                             attempt->connects_tried < kMaxConnects &&
                             since_sent <= kMaxCloseRace + load_.ledger_.lab_lag() &&
                             load_.ledger_.ReceiptCount(attempt->number) == 0;
  if (is_close_race) {
    load_.ledger_.CountResend(Excuse::kCloseRace);
    return load_.SendAttempt(attempt);
  }
  load_.ledger_.OnConnectionLost(
      load_.Now(), attempt->number,
      fmt::format("its connection ended before a complete response: {}, gateway {}, "
                  "request {} on it, {:.3f} s before, opened {:.3f} s before",
                  reason, gateway_, request_count_, Seconds(since_sent),
                  Seconds(load_.Now() - opened_at_)));
  load_.FinishAttempt(attempt, 0, Duration(0));
}

// ---- A misbehaving client -----------------------------------------------------------------------

class Load::MisbehavingConnection final : public Stream::Listener {
 public:
  MisbehavingConnection(Load& load, const MisbehavingClients& clients, uint64_t number,
                        Socket socket)
      : load_(load),
        kind_(clients.kind),
        number_(number),
        stream_(load.loop_, std::move(socket), this, true) {}
  bool Start() {
    if (!stream_.Start()) {
      return false;
    }
    const bool has_large_body = kind_ == MisbehaviorKind::kHugeLength;
    timer_ = load_.loop_.RunAfter(
        has_large_body ? kLargeBodyClientTimeout : kMisbehavingClientTimeout, [this] {
          timer_ = {};
          Finish(false);
        });
    SendInput();
    return true;
  }
  void OnData() override {
    if (parser_.Feed(stream_.input()) == ParseProgress::kDone) {
      const int status = parser_.message().status;
      if (status == 200) {
        ++load_.counts_.bad_served;
      }
      return Finish(true);
    }
    if (stream_.ended()) {
      Finish(true);
    }
  }
  void OnError() override { Finish(true); }
  void OnWriteComplete() override {
    if (kind_ == MisbehaviorKind::kIncompleteRequest && input_sent_) {
      Finish(true);  // the client closes the connection
    }
    if (remaining_filler_bytes_ > 0) {
      const size_t piece = std::min<size_t>(remaining_filler_bytes_, 1 << 16);
      remaining_filler_bytes_ -= piece;
      load_.loop_.RunAfterRound([kept = *position, piece] {
        if (!kept->stream_.closed()) {
          kept->stream_.Write(std::string(piece, 'x'));
        }
      });
    }
  }
  std::list<std::shared_ptr<MisbehavingConnection>>::iterator position;

 private:
  void SendInput() {
    const std::string& class_name = load_.experiment_.classes[0].name;
    const std::string id = fmt::format("bad-{:x}", number_);
    const std::string caller =
        load_.experiment_.tenants.empty()
            ? ""
            : fmt::format("X-Caller: {}\r\n", load_.experiment_.tenants[0].name);
    const auto head = [&](std::string_view path, std::string_view more, std::string_view budget) {
      return fmt::format(
          "POST /{} HTTP/1.1\r\nHost: lab\r\nX-Call-Id: {}\r\n{}X-Budget-Ms: {}\r\n"
          "Idempotency-Key: {}\r\n{}",
          path, id, caller, budget, id, more);
    };
    std::string text;
    switch (kind_) {
      case MisbehaviorKind::kGarbage: {
        std::mt19937_64 rng(number_);
        for (int i = 0; i < 400; ++i) {
          text += static_cast<char>(rng() & 0xff);
        }
        text += "\r\n\r\n";
        break;
      }
      case MisbehaviorKind::kEndlessHeaders:
        text = head(class_name, "X-Long: ", "1000");
        remaining_filler_bytes_ = 1 << 20;
        break;
      case MisbehaviorKind::kInvalidLength:
        text = head(class_name, "Content-Length: abc\r\n\r\n", "1000");
        break;
      case MisbehaviorKind::kNegativeLength:
        text = head(class_name, "Content-Length: -5\r\n\r\n", "1000");
        break;
      case MisbehaviorKind::kHugeLength:
        text = head(class_name, fmt::format("Content-Length: {}\r\n\r\n", kHugeBody), "1000");
        remaining_filler_bytes_ = kHugeBody;
        break;
      case MisbehaviorKind::kConflictingFraming: {
        // The request hidden in the body must never reach a host.
        const std::string hidden =
            fmt::format("GET /{} HTTP/1.1\r\nX-Call-Id: hidden-{:x}\r\n{}X-Budget-Ms: 1000\r\n\r\n",
                        class_name, number_, caller);
        text = head(class_name,
                    fmt::format("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
                                hidden.size() + 5),
                    "1000") +
               "0\r\n\r\n" + hidden;
        break;
      }
      case MisbehaviorKind::kUnknownClass:
        text = head("no-such-class", "Content-Length: 0\r\n\r\n", "1000");
        break;
      case MisbehaviorKind::kInvalidBudget:
        text = head(class_name, "Content-Length: 0\r\n\r\n", "soon");
        break;
      case MisbehaviorKind::kMissingRequestId:
        text = fmt::format("GET /{} HTTP/1.1\r\n{}X-Budget-Ms: 1000\r\n\r\n", class_name, caller);
        break;
      case MisbehaviorKind::kIncompleteRequest:
        text = head(class_name, "Content-Length: 100\r\n\r\nhalf", "1000");
        break;
      case MisbehaviorKind::kUnresponsive:
        break;
      case MisbehaviorKind::kByteByByte:
        SendByteByByte(head(class_name, "Content-Length: 0\r\n\r\n", "1000"));
        return;
    }
    input_sent_ = true;
    if (!text.empty()) {
      stream_.Write(std::move(text));
    }
  }
  void SendByteByByte(std::string text) {
    stream_.Write(text.substr(0, 1));
    text.erase(0, 1);
    load_.loop_.RunAfter(Duration(200'000), [kept = *position, text] {
      if (!kept->stream_.closed() && !text.empty()) {
        kept->SendByteByByte(text);
      }
    });
  }
  void Finish(bool answered) {
    if (stream_.closed()) {
      return;
    }
    load_.loop_.CancelTimer(timer_);
    ++(answered ? load_.counts_.bad_answered : load_.counts_.bad_unanswered);
    stream_.Close();
    load_.loop_.RunDeferred([kept = *position] {});
    load_.misbehaving_connections_.erase(position);
  }

  Load& load_;
  MisbehaviorKind kind_;
  uint64_t number_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse, kMaxResponseBytes};
  EventLoop::TimerId timer_;
  size_t remaining_filler_bytes_ = 0;
  bool input_sent_ = false;
};

// ---- The load -----------------------------------------------------------------------------------

Load::Load(EventLoop& loop, const Experiment& experiment, Ledger& ledger, uint64_t seed,
           const std::vector<Address>& targets)
    : loop_(loop),
      experiment_(experiment),
      ledger_(ledger),
      arrivals_(experiment, seed),
      seed_(seed) {
  for (const Address& address : targets) {
    targets_.push_back({.address = address, .idle = {}});
  }
}

Load::~Load() {
  for (const auto& connection : connections_) {
    connection->Close();
  }
}

void Load::Start(Time start_time) {
  start_time_ = start_time;
  for (size_t i = 0; i < experiment_.load.idle_connections; ++i) {
    OpenConnection(i % targets_.size());
  }
  for (size_t i = 0; i < experiment_.load.misbehaving_clients.size(); ++i) {
    StartMisbehavingClients(experiment_.load.misbehaving_clients[i], i);
  }
  arrivals_exhausted_ = !arrivals_.Next(next_arrival_);
  ProcessArrivals();
}

void Load::SetInRotation(size_t gateway, bool in_rotation) {
  Target& target = targets_[gateway];
  target.in_rotation = in_rotation;
}

size_t Load::OpenConnectionsTo(size_t gateway) const {
  return static_cast<size_t>(
      std::ranges::count(connections_, gateway, [](const auto& c) { return c->gateway(); }));
}

std::vector<Address> Load::ClientAddressesOf(size_t gateway) const {
  std::vector<Address> clients;
  for (const auto& connection : connections_) {
    if (connection->gateway() == gateway) {
      clients.push_back(connection->client());
    }
  }
  return clients;
}

void Load::SetDown(size_t gateway, bool down) {
  targets_[gateway].down = down;
}

void Load::MarkConnectionsKilled(size_t gateway, const std::vector<Address>& clients) {
  for (const auto& connection : connections_) {
    if (connection->gateway() == gateway &&
        std::ranges::find(clients, connection->client()) != clients.end()) {
      connection->set_killed();
    }
  }
}

void Load::MarkAllConnectionsKilled(size_t gateway) {
  for (const auto& connection : connections_) {
    if (connection->gateway() == gateway) {
      connection->set_killed();
    }
  }
}

std::optional<Address> Load::ClientAddressOf(size_t attempt) const {
  const auto found = std::ranges::find_if(
      connections_, [attempt](const auto& connection) { return connection->HasAttempt(attempt); });
  return found == connections_.end() ? std::nullopt : std::optional((*found)->client());
}

void Load::ProcessArrivals() {
  while (!arrivals_exhausted_ && next_arrival_.at <= Now()) {
    auto request = std::make_shared<PendingRequest>();
    request->arrival = next_arrival_;
    request->first_sent_at = Now();
    request->ledger_request = ledger_.AddRequest(Now(), next_arrival_.request);
    StartAttempt(request);
    arrivals_exhausted_ = !arrivals_.Next(next_arrival_);
  }
  if (arrivals_exhausted_) {
    return;
  }
  loop_.RunAfter(next_arrival_.at - Now(), [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      ProcessArrivals();
    }
  });
}

bool Load::HasIdleConnection(const Target& target) {
  return std::ranges::any_of(target.idle, [](Connection* connection) {
    return !connection->closed() && !connection->killed() && connection->IsIdle();
  });
}

size_t Load::PickGateway(double position, int offset) const {
  std::vector<size_t> candidates;
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].in_rotation ||
        (experiment_.load.keeps_open_connections && HasIdleConnection(targets_[i]))) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return SIZE_MAX;
  }
  const auto first = static_cast<size_t>(position * static_cast<double>(candidates.size()));
  return candidates[(first + static_cast<size_t>(offset)) % candidates.size()];
}

void Load::StartAttempt(const std::shared_ptr<PendingRequest>& request) {
  const Time now = Now();
  const size_t gateway = PickGateway(request->arrival.gateway_position, request->attempts++);
  const Time deadline =
      now + experiment_.classes[request->arrival.request.class_index].rules.deadline;
  auto attempt = std::make_shared<Attempt>();
  attempt->request = request;
  attempt->deadline = deadline;
  attempt->gateway = gateway == SIZE_MAX ? 0 : gateway;
  attempt->number = ledger_.AddAttempt(now, request->ledger_request, attempt->gateway, deadline);
  if (gateway == SIZE_MAX) {
    ++counts_.no_gateway;
    ledger_.ExcuseAttempt(attempt->number, Excuse::kGatewayDown);
    return FinishAttempt(attempt, 0, Duration(0));
  }
  SendAttempt(std::move(attempt));
}

void Load::SendAttempt(std::shared_ptr<Attempt> attempt) {
  Target& target = targets_[attempt->gateway];
  Connection* connection = nullptr;
  // After a failed connection, only a new one shows whether the gateway is up.
  while (attempt->connects_tried == 0 && !target.idle.empty() && connection == nullptr) {
    Connection* const idle = target.idle.back();
    target.idle.pop_back();
    if (!idle->closed() && idle->IsIdle()) {
      connection = idle;
    } else if (!idle->closed()) {
      CloseConnection(*idle);
    }
  }
  ++attempt->connects_tried;
  if (connection == nullptr) {
    connection = OpenConnection(attempt->gateway);
  }
  if (connection == nullptr) {
    ++counts_.over_connection_limit;
    ledger_.ExcuseAttempt(attempt->number, Excuse::kNoLabConnection);
    return FinishAttempt(attempt, 0, Duration(0));
  }
  std::erase(target.idle, connection);
  connection->SendRequest(std::move(attempt));
}

std::string Load::RequestHead(const Attempt& attempt) const {
  const Arrival& arrival = attempt.request->arrival;
  const ClassSpec& request_class = experiment_.classes[arrival.request.class_index];
  const bool keyed = request_class.rules.idempotency == Idempotency::kKeyed;
  const bool has_body = keyed || request_class.rules.idempotency == Idempotency::kUnsafe ||
                        arrival.request.body_bytes > 0;
  const auto budget = std::max<int64_t>(1, (attempt.deadline - Now()).count() / 1000);
  std::string head = fmt::format(
      "{} /{} HTTP/1.1\r\nHost: lab\r\nX-Call-Id: {}\r\nX-Budget-Ms: {}\r\n",
      has_body ? "POST" : "GET", request_class.name, ledger_.AttemptId(attempt.number), budget);
  if (!experiment_.tenants.empty()) {
    head += fmt::format("X-Caller: {}\r\n", experiment_.tenants[arrival.request.tenant_index].name);
  }
  if (keyed) {
    head += fmt::format("Idempotency-Key: {:016x}{:016x}\r\n", seed_, arrival.request.key);
  }
  if (experiment_.marks_retries && attempt.request->attempts > 1) {
    head += "X-Again: 1\r\n";
  }
  if (has_body) {
    head += fmt::format("Content-Length: {}\r\n", arrival.request.body_bytes);
  }
  return head + "\r\n";
}

void Load::FinishAttempt(const std::shared_ptr<Attempt>& attempt, int status,
                         Duration retry_after) {
  const auto& request = attempt->request;
  const size_t retry_index = static_cast<size_t>(request->attempts) - 1;
  const auto& delays = request->arrival.retry_delays;
  if (status == 200 || retry_index >= delays.size()) {
    return ledger_.OnRequestFinished(Now(), request->ledger_request);
  }
  loop_.RunAfter(std::max(delays[retry_index], retry_after),
                 [this, request, alive = std::weak_ptr(alive_)] {
                   if (!alive.expired()) {
                     StartAttempt(request);
                   }
                 });
}

void Load::OnConnectionsRefused(const std::shared_ptr<Attempt>& attempt) {
  ++counts_.no_gateway;
  if (targets_[attempt->gateway].down) {
    ledger_.ExcuseAttempt(attempt->number, Excuse::kGatewayDown);
  } else {
    ledger_.OnConnectionRefused(
        Now(), attempt->number,
        fmt::format("gateway {} refused connections while it should be up", attempt->gateway));
  }
  FinishAttempt(attempt, 0, Duration(0));
}

Load::Connection* Load::OpenConnection(size_t gateway) {
  if (connections_.size() >= experiment_.load.max_connections) {
    return nullptr;
  }
  bool refused = false;
  auto socket = Connect(targets_[gateway].address, nullptr, refused);
  if (!socket) {
    return nullptr;
  }
  connections_.push_back(std::make_shared<Connection>(*this, gateway, std::move(*socket)));
  Connection& connection = *connections_.back();
  connection.position = std::prev(connections_.end());
  ++counts_.connections;
  counts_.max_open = std::max(counts_.max_open, connections_.size());
  if (connection.Start()) {
    return &connection;
  }
  CloseConnection(connection);
  return nullptr;
}

void Load::CloseConnection(Connection& connection) {
  if (connection.closed()) {
    return;
  }
  std::erase(targets_[connection.gateway()].idle, &connection);
  connection.Close();
  loop_.RunDeferred([kept = *connection.position] {});
  connections_.erase(connection.position);
}

void Load::StartMisbehavingClients(const MisbehavingClients& clients, size_t index) {
  // At a constant rate, starting after half an interval.
  const auto interval = Duration(std::llround(1e6 / clients.per_s));
  const auto open_next = [this, &clients, index, interval, alive = std::weak_ptr(alive_)](
                             uint64_t number, const auto& again) -> void {
    if (alive.expired()) {
      return;
    }
    const Time now = Now();
    if (now >= clients.to || now >= experiment_.length) {
      return;
    }
    if (now >= clients.from) {
      OpenMisbehavingConnection(clients, index << 40 | number);
    }
    loop_.RunAfter(interval, [number, again] { again(number + 1, again); });
  };
  loop_.RunAfter(interval / 2, [open_next] { open_next(0, open_next); });
}

void Load::OpenMisbehavingConnection(const MisbehavingClients& clients, uint64_t number) {
  const size_t gateway = PickGateway(static_cast<double>(number % 97) / 97, 0);
  if (gateway == SIZE_MAX) {
    return;
  }
  bool refused = false;
  auto socket = Connect(targets_[gateway].address, nullptr, refused);
  if (!socket) {
    return;
  }
  ++counts_.bad_sent;
  misbehaving_connections_.push_back(
      std::make_shared<MisbehavingConnection>(*this, clients, number, std::move(*socket)));
  MisbehavingConnection& connection = *misbehaving_connections_.back();
  connection.position = std::prev(misbehaving_connections_.end());
  if (!connection.Start()) {
    misbehaving_connections_.pop_back();
  }
}

}  // namespace paddlestile::lab
