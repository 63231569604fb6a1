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

constexpr Duration kPiecePause{20'000};      // us; between the pieces of one that trickles
constexpr Duration kSpare{300'000};          // us; that a client waits beyond its budget
constexpr Duration kBadOwed{3'000'000};      // us; within which a bad client is owed an end
constexpr Duration kBadOwedLong{6'000'000};  // us; the same where it has much to send
constexpr size_t kAnswerMost = 1 << 20;
constexpr int kConnectsMost = 4;
// From the writing of a request until the end of its connection, where both were on the way.
constexpr Duration kMaxCrossing{50'000};
constexpr size_t kHugeBody = 60'000'000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string Pattern(size_t size) {
  return std::string(size, 'b');
}

Duration RetryAfter(const HttpMessage& m, std::string_view base) {
  const auto text = m.FindHeader(base, "Retry-After");
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
    stream_.set_max_unread_bytes(kAnswerMost);
  }
  bool Start() { return stream_.Start(); }
  [[nodiscard]] bool closed() const { return stream_.closed(); }
  [[nodiscard]] size_t gateway() const { return gateway_; }
  [[nodiscard]] const Address& client() const { return client_; }
  [[nodiscard]] bool killed() const { return killed_; }
  void set_killed() { killed_ = true; }
  // Whether a try waits on it.
  [[nodiscard]] bool Has(size_t n) const { return trying_ != nullptr && trying_->n == n; }
  [[nodiscard]] bool Quiet() const { return stream_.IsIdle(); }

  void Ask(std::shared_ptr<Trying> trying) {
    trying_ = std::move(trying);
    is_delayed_ = false;
    asked_at_ = load_.Now();
    ++asked_;
    const Arrival& a = trying_->asking->arrival;
    std::string text = load_.HeadOf(*trying_) + Pattern(a.request.body_bytes);
    const Duration left = trying_->deadline + kSpare - load_.Now();
    timer_ = load_.loop_.RunAfter(left, [this] {
      timer_ = {};
      OutOfTime();
    });
    if (a.client_aborts && trying_->asking->tries == 1) {
      const auto part = static_cast<int64_t>(a.abort_position * static_cast<double>(left.count()));
      leave_timer_ = load_.loop_.RunAfter(Duration(part), [this] {
        leave_timer_ = {};
        Leave();
      });
    }
    if (a.sends_slowly && text.size() > 8) {
      return Trickle(std::make_shared<std::string>(std::move(text)), 3);
    }
    stream_.Write(std::move(text));
    LookWritten();
  }

  void Close() {
    load_.loop_.CancelTimer(timer_);
    load_.loop_.CancelTimer(leave_timer_);
    stream_.Close();
  }

  void OnConnected() override {
    connected_ = true;
    LookWritten();
  }
  void OnWriteComplete() override { LookWritten(); }
  void OnData() override;
  void OnError() override { Ended("reset"); }

  std::list<std::shared_ptr<Connection>>::iterator place;

 private:
  // Its last byte is with the kernel of a connection that the gateway's machine accepted.
  void LookWritten() {
    if (trying_ != nullptr && connected_ && stream_.flushed() && !trickling_) {
      load_.ledger_.OnRequestSent(trying_->n);
    }
  }
  void Trickle(const std::shared_ptr<std::string>& text, int pieces) {
    trickling_ = pieces > 1;
    const size_t size = pieces > 1 ? text->size() / static_cast<size_t>(pieces) : text->size();
    stream_.Write(text->substr(0, size));
    text->erase(0, size);
    if (!trickling_) {
      return LookWritten();
    }
    load_.loop_.RunAfter(kPiecePause, [kept = *place, text, pieces, n = trying_->n] {
      if (kept->closed() || kept->trying_ == nullptr || kept->trying_->n != n) {
        return;
      }
      kept->Trickle(text, pieces - 1);
    });
  }
  void Done(int status, Duration come_back, bool keep) {
    load_.loop_.CancelTimer(timer_);
    load_.loop_.CancelTimer(leave_timer_);
    last_ = trying_->n;
    const auto trying = std::exchange(trying_, nullptr);
    trickling_ = false;
    if (!keep || trying->asking->arrival.closes_after_response) {
      load_.Drop(*this);
    } else {
      load_.targets_[gateway_].idle.push_back(this);
    }
    load_.End(trying, status, come_back);
  }
  void OutOfTime() {
    // The ledger has looked at the deadline itself; here the client only stops waiting. Where the
    // script delays the answer it waits as much longer, so that a lost one is told from a late one.
    const Duration delay = load_.ledger_.AllowedDelay(trying_->n);
    if (delay > Duration(0) && !std::exchange(is_delayed_, true)) {
      timer_ = load_.loop_.RunAfter(trying_->deadline + delay + kSpare - load_.Now(), [this] {
        timer_ = {};
        OutOfTime();
      });
      return;
    }
    Done(0, Duration(0), false);
  }
  void Leave() {
    load_.ledger_.OnClientDisconnected(trying_->n);
    trying_->asking->arrival.retry_delays.clear();
    Done(0, Duration(0), false);
  }
  void Ended(std::string_view how);

  Load& load_;
  size_t gateway_;
  Address client_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse, kAnswerMost};
  std::shared_ptr<Trying> trying_;
  EventLoop::TimerId timer_, leave_timer_;
  size_t last_ = SIZE_MAX;  // the try that was answered last
  Time opened_at_, asked_at_{0};
  int asked_ = 0;
  bool connected_ = false, trickling_ = false;
  bool is_delayed_ = false;  // the client waits beyond its time
  bool killed_ = false;      // the process that held it was
};

void Load::Connection::OnData() {
  while (!stream_.closed() && !stream_.input().empty()) {
    if (trying_ == nullptr) {
      // Nothing was asked for. A gateway that closes may say why.
      if (!stream_.input().view().starts_with("HTTP/1.1 408")) {
        load_.ledger_.OnUnexpectedData(
            load_.Now(), last_, fmt::format("{} bytes behind its answer", stream_.input().size()));
      }
      return load_.Drop(*this);
    }
    const ParseProgress progress = parser_.Feed(stream_.input());
    if (progress == ParseProgress::kNeedMore) {
      break;
    }
    if (progress == ParseProgress::kMalformed) {
      return Ended("an answer that can't be read");
    }
    const HttpMessage m = parser_.message();
    const Buffer bytes = stream_.input().TakeFront(m.total_bytes);
    parser_.Reset();
    load_.ledger_.OnResponse(load_.Now(), trying_->n, m.status, m.body.In(bytes.view()));
    Done(m.status, RetryAfter(m, bytes.view()), m.keep_alive);
  }
  if (!stream_.closed() && stream_.ended()) {
    Ended("closed");
  }
}

void Load::Connection::Ended(std::string_view how) {
  if (stream_.closed()) {
    return;
  }
  const auto trying = std::exchange(trying_, nullptr);
  const bool connected = connected_;
  const bool reused = asked_ > 1;
  load_.loop_.CancelTimer(timer_);
  load_.loop_.CancelTimer(leave_timer_);
  const bool answer_begun = parser_.begun();
  load_.Drop(*this);
  if (trying == nullptr) {
    return;
  }
  if (!connected) {
    return trying->connects < kConnectsMost ? load_.Send(trying) : load_.RefusedEverywhere(trying);
  }
  if (killed_) {
    load_.ledger_.ExcuseAttempt(trying->n, Excuse::kProcessKilled);
    return load_.End(trying, 0, Duration(0));
  }
  // Closed between requests just as this one was written: once more, elsewhere.
  const Duration since_asked = load_.Now() - asked_at_;
  const bool crossed = reused && !answer_begun && trying->connects < kConnectsMost &&
                       since_asked <= kMaxCrossing + load_.ledger_.lab_lag() &&
                       load_.ledger_.ReceiptCount(trying->n) == 0;
  if (crossed) {
    load_.ledger_.CountResend(Excuse::kCloseRace);
    return load_.Send(trying);
  }
  load_.ledger_.OnConnectionLost(
      load_.Now(), trying->n,
      fmt::format("its connection ended without a whole answer: {}, gateway {}, "
                  "request {} on it, {:.3f} s before, opened {:.3f} s before",
                  how, gateway_, asked_, Seconds(since_asked), Seconds(load_.Now() - opened_at_)));
  load_.End(trying, 0, Duration(0));
}

// ---- A client that does not do as it should -----------------------------------------------------

class Load::BadConnection final : public Stream::Listener {
 public:
  BadConnection(Load& load, const MisbehavingClients& bad, uint64_t number, Socket socket)
      : load_(load),
        kind_(bad.kind),
        number_(number),
        stream_(load.loop_, std::move(socket), this, true) {}
  bool Start() {
    if (!stream_.Start()) {
      return false;
    }
    const bool long_one = kind_ == MisbehaviorKind::kHugeLength;
    timer_ = load_.loop_.RunAfter(long_one ? kBadOwedLong : kBadOwed, [this] {
      timer_ = {};
      Over(false);
    });
    Speak();
    return true;
  }
  void OnData() override {
    if (parser_.Feed(stream_.input()) == ParseProgress::kDone) {
      const int status = parser_.message().status;
      if (status == 200) {
        ++load_.counts_.bad_served;
      }
      return Over(true);
    }
    if (stream_.ended()) {
      Over(true);
    }
  }
  void OnError() override { Over(true); }
  void OnWriteComplete() override {
    if (kind_ == MisbehaviorKind::kIncompleteRequest && sent_) {
      Over(true);  // it closes itself
    }
    if (more_ > 0) {
      const size_t piece = std::min<size_t>(more_, 1 << 16);
      more_ -= piece;
      load_.loop_.RunAfterRound([kept = *place, piece] {
        if (!kept->stream_.closed()) {
          kept->stream_.Write(std::string(piece, 'x'));
        }
      });
    }
  }
  std::list<std::shared_ptr<BadConnection>>::iterator place;

 private:
  void Speak() {
    const std::string& cls = load_.e_.classes[0].name;
    const std::string id = fmt::format("bad-{:x}", number_);
    const std::string caller =
        load_.e_.tenants.empty() ? "" : fmt::format("X-Caller: {}\r\n", load_.e_.tenants[0].name);
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
        text = head(cls, "X-Long: ", "1000");
        more_ = 1 << 20;
        break;
      case MisbehaviorKind::kInvalidLength:
        text = head(cls, "Content-Length: abc\r\n\r\n", "1000");
        break;
      case MisbehaviorKind::kNegativeLength:
        text = head(cls, "Content-Length: -5\r\n\r\n", "1000");
        break;
      case MisbehaviorKind::kHugeLength:
        text = head(cls, fmt::format("Content-Length: {}\r\n\r\n", kHugeBody), "1000");
        more_ = kHugeBody;
        break;
      case MisbehaviorKind::kConflictingFraming: {
        // What hides in its body must never reach a host.
        const std::string hidden =
            fmt::format("GET /{} HTTP/1.1\r\nX-Call-Id: hidden-{:x}\r\n{}X-Budget-Ms: 1000\r\n\r\n",
                        cls, number_, caller);
        text = head(cls,
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
        text = head(cls, "Content-Length: 0\r\n\r\n", "soon");
        break;
      case MisbehaviorKind::kMissingRequestId:
        text = fmt::format("GET /{} HTTP/1.1\r\n{}X-Budget-Ms: 1000\r\n\r\n", cls, caller);
        break;
      case MisbehaviorKind::kIncompleteRequest:
        text = head(cls, "Content-Length: 100\r\n\r\nhalf", "1000");
        break;
      case MisbehaviorKind::kUnresponsive:
        break;
      case MisbehaviorKind::kByteByByte:
        Trickle(head(cls, "Content-Length: 0\r\n\r\n", "1000"));
        return;
    }
    sent_ = true;
    if (!text.empty()) {
      stream_.Write(std::move(text));
    }
  }
  void Trickle(std::string text) {
    stream_.Write(text.substr(0, 1));
    text.erase(0, 1);
    load_.loop_.RunAfter(Duration(200'000), [kept = *place, text] {
      if (!kept->stream_.closed() && !text.empty()) {
        kept->Trickle(text);
      }
    });
  }
  void Over(bool answered) {
    if (stream_.closed()) {
      return;
    }
    load_.loop_.CancelTimer(timer_);
    ++(answered ? load_.counts_.bad_answered : load_.counts_.bad_unanswered);
    stream_.Close();
    load_.loop_.RunDeferred([kept = *place] {});
    load_.bad_.erase(place);
  }

  Load& load_;
  MisbehaviorKind kind_;
  uint64_t number_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse, kAnswerMost};
  EventLoop::TimerId timer_;
  size_t more_ = 0;
  bool sent_ = false;
};

// ---- The load -----------------------------------------------------------------------------------

Load::Load(EventLoop& loop, const Experiment& experiment, Ledger& ledger, uint64_t seed,
           const std::vector<Address>& targets)
    : loop_(loop), e_(experiment), ledger_(ledger), arrivals_(experiment, seed), seed_(seed) {
  for (const Address& address : targets) {
    targets_.push_back({.address = address, .idle = {}});
  }
}

Load::~Load() {
  for (const auto& connection : connections_) {
    connection->Close();
  }
}

void Load::Begin(Time zero) {
  zero_ = zero;
  for (size_t i = 0; i < e_.load.idle_connections; ++i) {
    Open(i % targets_.size());
  }
  for (size_t i = 0; i < e_.load.misbehaving_clients.size(); ++i) {
    BeginBad(e_.load.misbehaving_clients[i], i);
  }
  drawn_out_ = !arrivals_.Next(next_);
  Arrive();
}

void Load::SetIn(size_t gateway, bool in) {
  Target& target = targets_[gateway];
  target.in = in;
}

size_t Load::OpenTo(size_t gateway) const {
  return static_cast<size_t>(
      std::ranges::count(connections_, gateway, [](const auto& c) { return c->gateway(); }));
}

std::vector<Address> Load::ClientsOf(size_t gateway) const {
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

void Load::ConnectionsKilled(size_t gateway, const std::vector<Address>& clients) {
  for (const auto& connection : connections_) {
    if (connection->gateway() == gateway &&
        std::ranges::find(clients, connection->client()) != clients.end()) {
      connection->set_killed();
    }
  }
}

void Load::ConnectionsKilled(size_t gateway) {
  for (const auto& connection : connections_) {
    if (connection->gateway() == gateway) {
      connection->set_killed();
    }
  }
}

std::optional<Address> Load::ClientOf(size_t n) const {
  const auto at = std::ranges::find_if(connections_,
                                       [n](const auto& connection) { return connection->Has(n); });
  return at == connections_.end() ? std::nullopt : std::optional((*at)->client());
}

void Load::Arrive() {
  while (!drawn_out_ && next_.at <= Now()) {
    auto asking = std::make_shared<Asking>();
    asking->arrival = next_;
    asking->first = Now();
    asking->ask = ledger_.AddRequest(Now(), next_.request);
    TryOnce(asking);
    drawn_out_ = !arrivals_.Next(next_);
  }
  if (drawn_out_) {
    return;
  }
  loop_.RunAfter(next_.at - Now(), [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      Arrive();
    }
  });
}

bool Load::HasQuietConnection(const Target& target) {
  return std::ranges::any_of(target.idle, [](Connection* connection) {
    return !connection->closed() && !connection->killed() && connection->Quiet();
  });
}

size_t Load::PickGateway(double part, int further) const {
  std::vector<size_t> in;
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].in || (e_.load.keeps_open_connections && HasQuietConnection(targets_[i]))) {
      in.push_back(i);
    }
  }
  if (in.empty()) {
    return SIZE_MAX;
  }
  const auto place = static_cast<size_t>(part * static_cast<double>(in.size()));
  return in[(place + static_cast<size_t>(further)) % in.size()];
}

void Load::TryOnce(const std::shared_ptr<Asking>& asking) {
  const Time now = Now();
  const size_t gateway = PickGateway(asking->arrival.gateway_position, asking->tries++);
  const Time deadline = now + e_.classes[asking->arrival.request.class_index].rules.deadline;
  auto trying = std::make_shared<Trying>();
  trying->asking = asking;
  trying->deadline = deadline;
  trying->gateway = gateway == SIZE_MAX ? 0 : gateway;
  trying->n = ledger_.AddAttempt(now, asking->ask, trying->gateway, deadline);
  if (gateway == SIZE_MAX) {
    ++counts_.no_gateway;
    ledger_.ExcuseAttempt(trying->n, Excuse::kGatewayDown);
    return End(trying, 0, Duration(0));
  }
  Send(std::move(trying));
}

void Load::Send(std::shared_ptr<Trying> trying) {
  Target& target = targets_[trying->gateway];
  Connection* connection = nullptr;
  // After a break only a new connection tells whether the gateway is there.
  while (trying->connects == 0 && !target.idle.empty() && connection == nullptr) {
    Connection* const kept = target.idle.back();
    target.idle.pop_back();
    if (!kept->closed() && kept->Quiet()) {
      connection = kept;
    } else if (!kept->closed()) {
      Drop(*kept);
    }
  }
  ++trying->connects;
  if (connection == nullptr) {
    connection = Open(trying->gateway);
  }
  if (connection == nullptr) {
    ++counts_.beyond;
    ledger_.ExcuseAttempt(trying->n, Excuse::kNoLabConnection);
    return End(trying, 0, Duration(0));
  }
  std::erase(target.idle, connection);
  connection->Ask(std::move(trying));
}

std::string Load::HeadOf(const Trying& trying) const {
  const Arrival& a = trying.asking->arrival;
  const ClassSpec& cls = e_.classes[a.request.class_index];
  const bool keyed = cls.rules.idempotency == Idempotency::kKeyed;
  const bool body =
      keyed || cls.rules.idempotency == Idempotency::kUnsafe || a.request.body_bytes > 0;
  const auto budget = std::max<int64_t>(1, (trying.deadline - Now()).count() / 1000);
  std::string head =
      fmt::format("{} /{} HTTP/1.1\r\nHost: lab\r\nX-Call-Id: {}\r\nX-Budget-Ms: {}\r\n",
                  body ? "POST" : "GET", cls.name, ledger_.AttemptId(trying.n), budget);
  if (!e_.tenants.empty()) {
    head += fmt::format("X-Caller: {}\r\n", e_.tenants[a.request.tenant_index].name);
  }
  if (keyed) {
    head += fmt::format("Idempotency-Key: {:016x}{:016x}\r\n", seed_, a.request.key);
  }
  if (e_.marks_retries && trying.asking->tries > 1) {
    head += "X-Again: 1\r\n";
  }
  if (body) {
    head += fmt::format("Content-Length: {}\r\n", a.request.body_bytes);
  }
  return head + "\r\n";
}

void Load::End(const std::shared_ptr<Trying>& trying, int status, Duration come_back) {
  const auto& asking = trying->asking;
  const size_t place = static_cast<size_t>(asking->tries) - 1;
  const auto& waits = asking->arrival.retry_delays;
  if (status == 200 || place >= waits.size()) {
    return ledger_.OnRequestFinished(Now(), asking->ask);
  }
  loop_.RunAfter(std::max(waits[place], come_back), [this, asking, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      TryOnce(asking);
    }
  });
}

void Load::RefusedEverywhere(const std::shared_ptr<Trying>& trying) {
  ++counts_.no_gateway;
  if (targets_[trying->gateway].down) {
    ledger_.ExcuseAttempt(trying->n, Excuse::kGatewayDown);
  } else {
    ledger_.OnConnectionRefused(
        Now(), trying->n,
        fmt::format("gateway {} refused its connections though it was up", trying->gateway));
  }
  End(trying, 0, Duration(0));
}

Load::Connection* Load::Open(size_t gateway) {
  if (connections_.size() >= e_.load.max_connections) {
    return nullptr;
  }
  bool refused = false;
  auto socket = Connect(targets_[gateway].address, nullptr, refused);
  if (!socket) {
    return nullptr;
  }
  connections_.push_back(std::make_shared<Connection>(*this, gateway, std::move(*socket)));
  Connection& connection = *connections_.back();
  connection.place = std::prev(connections_.end());
  ++counts_.connections;
  counts_.open_most = std::max(counts_.open_most, connections_.size());
  if (connection.Start()) {
    return &connection;
  }
  Drop(connection);
  return nullptr;
}

void Load::Drop(Connection& connection) {
  if (connection.closed()) {
    return;
  }
  std::erase(targets_[connection.gateway()].idle, &connection);
  connection.Close();
  loop_.RunDeferred([kept = *connection.place] {});
  connections_.erase(connection.place);
}

void Load::BeginBad(const MisbehavingClients& bad, size_t place) {
  // Evenly, begun at a place of its own.
  const auto every = Duration(std::llround(1e6 / bad.per_s));
  const auto step = [this, &bad, place, every, alive = std::weak_ptr(alive_)](
                        uint64_t number, const auto& again) -> void {
    if (alive.expired()) {
      return;
    }
    const Time now = Now();
    if (now >= bad.to || now >= e_.length) {
      return;
    }
    if (now >= bad.from) {
      SendBad(bad, place << 40 | number);
    }
    loop_.RunAfter(every, [number, again] { again(number + 1, again); });
  };
  loop_.RunAfter(every / 2, [step] { step(0, step); });
}

void Load::SendBad(const MisbehavingClients& bad, uint64_t number) {
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
  bad_.push_back(std::make_shared<BadConnection>(*this, bad, number, std::move(*socket)));
  BadConnection& connection = *bad_.back();
  connection.place = std::prev(bad_.end());
  if (!connection.Start()) {
    bad_.pop_back();
  }
}

}  // namespace paddlestile::lab
