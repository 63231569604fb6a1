#include "gateway/downstream.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/parse_number.h"

namespace paddlestile {
namespace {

// For a whole request: from the connect on for the first, else from its first byte; never begun
// anew, or a byte at a time would hold a descriptor for ever.
constexpr Duration kRequestTime{2'500'000};  // us
constexpr Duration kAnswerTime{10'000'000};  // us; to take an answer, or the next piece of one
// Of a body past kMaxBody: at the least so many bytes a second, after a moment, and no pause longer
// than that. The slowest that are good send four times as much.
constexpr double kBodyRate = 16'000;
constexpr Duration kBodyGrace{1'000'000}, kBodyLook{250'000};  // us
// Held whole, such a request can be repeated; all of them together, and one at the most.
constexpr size_t kHeldMost = 6U << 20, kHeldOne = 1U << 20;  // bytes
constexpr size_t kPassOnFrom = 16'384;  // bytes of a body, before it takes a host's connection
// Many ask once and keep their connection for good, and some never ask: what they hold the others
// lack, here and on their own side.
constexpr Duration kIdleTime{2'000'000};    // us; between two requests
constexpr Duration kSilentTime{1'000'000};  // us; until the first byte
constexpr Duration kSilentGrace{200'000};   // us; before which others make room first
constexpr int kAcceptAtOnce = 32;           // connections before others have their turn
// Of all descriptors: clients that say nothing come by hundreds and must leave some to the hosts.
constexpr double kShare = 0.6;
constexpr double kKeptShare = 0.25;      // of all descriptors, in use or idle; past it the idle go
constexpr Duration kLinger{1'000'000};   // us; for a client to read its last answer
constexpr Duration kAcceptAgain{5'000};  // us; while descriptors are short
constexpr Duration kDrainStep{20'000};   // us
// New connections go on coming for up to 0.4 s after SIGTERM; what comes on old ones from 0.7 s on
// may find no time to be answered, so that idle ones are closed in between.
constexpr Duration kDrainIdleAfter{450'000};  // us
constexpr Duration kDrainQuiet{150'000};      // us; without a new connection
constexpr Duration kDrainShared{600'000};     // us; an end to waiting for that
constexpr int kBacklog = 4096;
constexpr int kReceive = 1 << 17;  // bytes that the kernel may hold of a client; a request is less
constexpr size_t kReadFirst = 2048;  // bytes; most requests are short
constexpr size_t kIdMost = 64;
constexpr uint64_t kBudgetMost = 600'000;  // ms

std::string_view Reason(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 403: return "Forbidden";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 431: return "Request Header Fields Too Large";
    case 501: return "Not Implemented";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 505: return "HTTP Version Not Supported";
    default: return "Error";
  }
}

// Further figures of a request, as name=value with commas between, by the wire's names.
void ReadInfo(std::string_view info, Submit& submit) {
  while (!info.empty()) {
    const size_t comma = info.find(',');
    const std::string_view pair = Trim(info.substr(0, comma));
    info.remove_prefix(comma == std::string_view::npos ? info.size() : comma + 1);
    const size_t eq = pair.find('=');
    if (eq == std::string_view::npos) continue;
    const std::string_view name = pair.substr(0, eq), value = pair.substr(eq + 1);
    if (SameName(name, "Subject") && !value.empty()) submit.key = std::string(value);
    if (SameName(name, "IsWrite")) submit.is_write = value == "1" || value == "true";
    double ms = 0;
    const auto read = std::from_chars(value.data(), value.data() + value.size(), ms);
    const bool number = read.ec == std::errc() && read.ptr == value.data() + value.size();
    if (SameName(name, "Expected") && number && ms >= 0 && ms < 1e9) {
      submit.expected = Duration(std::llround(ms * 1000));
    }
  }
}

std::string_view FirstOfPath(std::string_view target) {
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

}  // namespace

std::string HeadForClient(const Answer& answer, bool keep_alive, bool to_http10) {
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, Reason(answer.status));
  if (answer.from) {
    const Message& m = answer.from->message;
    const std::string_view base = answer.from->bytes.view();
    for (const auto& [key, value] : m.headers) {
      const std::string_view name = key.In(base);
      if (HopByHop(m, base, name) || SameName(name, "Content-Length")) continue;
      if (SameName(name, "X-Load-Report")) continue;  // between the hosts and us
      head += fmt::format("{}: {}\r\n", name, value.In(base));
    }
  }
  if (answer.retry_after > Duration(0)) {
    head += fmt::format("Retry-After: {:.3f}\r\n",
                        static_cast<double>(answer.retry_after.count()) / 1e6);
  }
  if (!answer.why.empty()) head += "Content-Type: text/plain\r\n";
  std::optional<uint64_t> size = answer.from ? answer.from->message.body.size : answer.why.size();
  if (answer.from && answer.from->rest) size = answer.from->rest->length();
  if (size) {
    head += fmt::format("Content-Length: {}\r\n", *size);
  } else if (keep_alive || !to_http10) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  if (!keep_alive) head += "Connection: close\r\n";
  return head + "\r\n";
}

Understood Understand(const Held& request, const Names& names, const Settings& settings, Time now) {
  const Message& m = request.message;
  const std::string_view base = request.bytes.view();
  const auto bad = [](int status, std::string why) {
    return Understood{{}, status, std::move(why)};
  };
  static constexpr std::string_view kMethods[] = {"GET", "POST", "PUT", "PATCH", "DELETE"};
  if (std::ranges::find(kMethods, m.method.In(base)) == std::end(kMethods)) {
    return bad(405, "method");
  }
  // A header that decides and stands there twice could be read differently further on.
  for (const std::string_view name :
       {"X-Call-Id", "X-Budget-Ms", "X-Caller", "X-Again", "Idempotency-Key"}) {
    if (m.CountOf(base, name) > 1) return bad(400, fmt::format("{} twice", name));
  }
  Understood out;
  Submit& submit = out.submit;
  const auto id = m.Find(base, "X-Call-Id");
  if (!id || id->empty() || id->size() > kIdMost ||
      !std::ranges::all_of(*id, [](unsigned char c) { return c > 0x20 && c < 0x7f; })) {
    return bad(400, "X-Call-Id");
  }
  submit.id = *id;
  const auto budget = ToWhole(m.Find(base, "X-Budget-Ms").value_or(""));
  if (!budget || *budget == 0 || *budget > kBudgetMost) return bad(400, "X-Budget-Ms");
  submit.deadline = now + Duration(static_cast<int64_t>(*budget) * 1000);
  submit.cls = names.classes.Find(FirstOfPath(m.target.In(base)));
  if (submit.cls >= settings.classes.size() || Over(names.classes_until, submit.cls, now)) {
    return bad(404, "unknown class");
  }
  if (settings.classes[submit.cls].effect == Effect::kKeyed &&
      m.Find(base, "Idempotency-Key").value_or("").empty()) {
    return bad(400, "Idempotency-Key");  // without it a repeat would be new work
  }
  if (names.tenants.size() > 0) {
    const auto caller = m.Find(base, "X-Caller");
    if (!caller) return bad(400, "X-Caller");
    submit.tenant = names.tenants.Find(*caller);
    if (submit.tenant >= names.tenants.size() || Over(names.tenants_until, submit.tenant, now)) {
      return bad(403, "unknown X-Caller");
    }
  }
  submit.again = settings.callers_mark_retry && m.Find(base, "X-Again").value_or("") == "1";
  if (const auto info = m.Find(base, "X-Call-Info")) ReadInfo(*info, submit);
  return out;
}

// ---- Listening ------------------------------------------------------------------------------

class Clients::Listening final : public EventLoop::Handler {
 public:
  Listening(Clients& clients, const Address& listen, Fd handed, bool shared)
      : clients_(clients), loop_(clients.loop_) {
    fd_ = handed ? std::move(handed) : Listen(listen, kBacklog, shared);
    if (!fd_ || setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &kReceive, sizeof(kReceive)) != 0) {
      throw std::system_error(errno, std::generic_category(), "listen on " + ToText(listen));
    }
    clients_.address_ = BoundTo(fd_.get());  // where any port was asked for
  }
  Listening(const Listening&) = delete;
  Listening& operator=(const Listening&) = delete;
  virtual ~Listening() { Watch(false); }

  // Whether connections are told of; what waits already is told at once. False where the kernel
  // refuses.
  bool Watch(bool on) {
    if (on == watched_) return true;
    if (!on) loop_.Unwatch(fd_.get(), token_);
    watched_ = on && loop_.Watch(fd_.get(), this, token_);
    return watched_ == on;
  }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { clients_.Accept(); }

 private:
  Clients& clients_;
  EventLoop& loop_;
  Fd fd_;
  uint64_t token_ = 0;
  bool watched_ = false;
};

// ---- Connections ----------------------------------------------------------------------------

class Clients::Connection final : public Stream::Owner {
 public:
  Connection(Clients& clients, Socket socket)
      : clients_(clients),
        loop_(clients.loop_),
        stream_(clients.loop_, std::move(socket), this, false) {
    stream_.set_most_unread(kMaxHead + kMaxBody);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() { loop_.Cancel(timer_); }

  bool Start() {
    if (!stream_.Start()) return false;
    opened_ = loop_.Now();
    SetTimer(kSilentTime, [this] { OutOfTime(); });
    BecomeIdle(clients_.silent_);
    return true;
  }

  Stream& stream() { return stream_; }
  [[nodiscard]] Time opened() const { return opened_; }
  // Whether a close would cut something: a request that is worked for, an answer that its client
  // has not read yet, or a request that waits for its turn, unread or in the buffer.
  [[nodiscard]] bool in_hand() {
    const bool waits = !stream_.in().empty() && !parser_.begun();
    return state_ != State::kReading || waits || stream_.Unread();
  }

  // Before it goes: whoever works for it must not answer it any more.
  void Leave() {
    loop_.Cancel(timer_);
    StopIdling();
    GiveBack();
    if (const auto body = std::exchange(body_, nullptr)) body->Cut();
    if (const auto exchange = std::exchange(exchange_, nullptr); exchange && !exchange->over()) {
      exchange->Abandon();
      clients_.listener_->OnClientLeft(exchange);
    }
    writer_.reset();
    stream_.Close();
  }

  std::list<std::shared_ptr<Connection>>::iterator place;

 private:
  enum class State { kReading, kUploading, kWaiting, kWriting, kLingering };

  void OnRead() override {
    if (state_ == State::kReading) Read();
    if (state_ == State::kUploading && body_ && !stream_.ended()) {
      body_->More();
      return;
    }
    DropIfLeft();
  }

  // The end of what the client sends is taken for its leaving: it closes when it has gone. While
  // its request waits the end counts also behind further ones that nobody has read yet.
  void DropIfLeft() {
    if (stream_.closed() || state_ == State::kReading) return;
    if (stream_.ended() || (state_ == State::kWaiting && stream_.hung_up())) clients_.Drop(*this);
  }

  void Read() {
    if (stream_.in().empty()) {
      if (stream_.ended()) clients_.Drop(*this);
      return;
    }
    StopIdling();
    if (!parser_.begun()) {
      begun_at_ = spoken_ ? loop_.Now() : opened_;
      const Duration passed = spoken_ ? Duration(0) : loop_.Now() - opened_;
      SetTimer(kRequestTime - passed, [this] { OutOfTime(); });
    }
    spoken_ = true;
    const Progress progress = parser_.Feed(stream_.in());
    if (progress == Progress::kBad) return Refuse(parser_.status_for_bad(), "malformed request");
    if (progress == Progress::kDone) return Take();
    if (stream_.ended()) return clients_.Drop(*this);  // it broke off in the middle
    Continue();
    if (parser_.head_done()) ReadLarge();
  }

  // A body that may be past what is held of each.
  void ReadLarge() {
    if (body_at_ == Time(0)) {
      body_at_ = loop_.Now();
      const Duration passed = body_at_ - begun_at_;
      SetTimer(std::max(kRequestTime - passed, kBodyLook), [this] { LookAtRate(); });
    }
    const size_t come = parser_.body_come(stream_.in());
    if (come > came_) last_byte_ = loop_.Now();
    came_ = std::max(came_, come);
    const auto length = parser_.length();
    if (length ? *length <= kMaxBody : come < kMaxBody) return;
    if (length && held_ == 0 && *length <= kHeldOne && clients_.held_ + *length <= kHeldMost) {
      held_ = static_cast<size_t>(*length);
      clients_.held_ += held_;
      stream_.set_most_unread(kMaxHead + held_);
      stream_.set_read_at_least(kPieceMost);
      // What was left unread by the bound before has told of itself already.
      loop_.Yield([self = Self()] {
        if (!self->stream_.closed()) self->stream_.Resume();
      });
    }
    if (held_ == 0 && come >= kPassOnFrom) TakeLarge();
  }

  // By its rate: one that is slow sends on, one that stalls or drips holds a descriptor for ever.
  void LookAtRate() {
    const Time now = loop_.Now();
    const Duration since = now - body_at_ - kBodyGrace;
    const bool slow =
        static_cast<double>(came_) < kBodyRate * static_cast<double>(since.count()) / 1e6;
    // What waits here unread, or to be written, is no fault of the client's.
    const bool unread = state_ == State::kUploading && !stream_.in().empty();
    if (unread) last_byte_ = now, body_at_ = std::max(body_at_, now - kBodyGrace);
    if (!unread && (slow || now - last_byte_ > kBodyGrace)) return TooSlow();
    SetTimer(kBodyLook, [this] { LookAtRate(); });
  }

  void TooSlow() {
    ++Count().bodies_cut;
    if (state_ == State::kReading) return Refuse(408, "request too slow");
    Log(Level::kInfo, "body cut: request {} came too slowly", exchange_ ? exchange_->id() : "");
    BreakOff(408, "request too slow");
  }

  // The rest of a request that passes on cannot be had: nobody works for it any more.
  void BreakOff(int status, std::string_view why) {
    if (const auto body = std::exchange(body_, nullptr)) body->Cut();
    if (const auto exchange = std::exchange(exchange_, nullptr); exchange && !exchange->over()) {
      exchange->Abandon();
      clients_.listener_->OnClientLeft(exchange);
    }
    Refuse(status, why);
  }

  void GiveBack() { clients_.held_ -= std::exchange(held_, 0); }

  // Begins with what has come; the rest passes on.
  void TakeLarge() {
    const auto length = parser_.length();
    Held request;
    request.message = parser_.TakeHead(stream_.in(), request.bytes);
    stream_.set_most_unread(kPieceMost);
    stream_.set_read_at_least(kPieceMost);
    ++Count().requests_passed_on;
    body_ = request.rest = std::make_shared<Body>(
        length, [this](Buffer& piece) { return TakeBody(piece); }, nullptr);
    http10_ = request.message.http10;
    keep_alive_ = request.message.keep_alive;
    state_ = State::kUploading;
    Begin(std::move(request));
  }

  Progress TakeBody(Buffer& piece) {
    const Progress progress = parser_.TakeBody(stream_.in(), piece, stream_.ended());
    came_ += piece.size();
    if (!piece.empty()) last_byte_ = loop_.Now();
    // Not within this call: what comes is told to whoever is at work here.
    if (progress == Progress::kMore) {
      if (!stream_.readable()) return progress;
      loop_.Yield([self = Self()] {
        if (!self->stream_.closed() && self->state_ == State::kUploading) self->stream_.Resume();
      });
      return progress;
    }
    body_ = nullptr;
    if (progress == Progress::kBad) {
      const int status = parser_.status_for_bad();
      loop_.Defer([self = Self(), status] {
        if (!self->stream_.closed()) self->BreakOff(status, "malformed request");
      });
      return progress;
    }
    loop_.Cancel(timer_);
    EndOfRequest();
    state_ = State::kWaiting;
    if (exchange_) clients_.listener_->OnWhole(exchange_);
    return progress;
  }

  // For the next one on this connection.
  void EndOfRequest() {
    parser_.Reset();
    GiveBack();
    stream_.set_most_unread(kMaxHead + kMaxBody);
    stream_.set_read_at_least(kReadFirst);
    asked_ = false;
    body_at_ = Time(0);
    came_ = 0;
  }

  void OutOfTime() {
    if (parser_.begun()) return Refuse(408, "request too slow");
    // One whose request has come and was not read yet is about to be read.
    if (stream_.Quiet()) return clients_.Drop(*this);
    SetTimer(kAcceptAgain, [this] { OutOfTime(); });
  }

  // A client may wait to be asked for the body.
  void Continue() {
    const Message& m = parser_.message();
    if (asked_ || m.body.at == 0) return;
    asked_ = true;
    if (SameName(m.Find(stream_.in().view(), "Expect").value_or(""), "100-continue")) {
      stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void Take() {
    loop_.Cancel(timer_);
    Held request;
    request.message = parser_.message();
    request.bytes = stream_.in().TakeFront(request.message.size);
    EndOfRequest();
    http10_ = request.message.http10;
    keep_alive_ = request.message.keep_alive;
    state_ = State::kWaiting;
    Begin(std::move(request));
  }

  void Begin(Held request) {
    const std::string_view base = request.bytes.view();
    if (request.message.target.In(base) == "/_health") {
      ++Count().health_checks;
      return Reply({.status = clients_.life_.wants_clients() ? 200 : 503});
    }
    Taken taken = clients_.listener_->OnRequest(std::move(request),
                                                [this](const Answer& answer) { Reply(answer); });
    if (taken.exchange) {
      exchange_ = std::move(taken.exchange);
      return;
    }
    ++Count().requests_malformed;
    Log(Level::kInfo, "request answered {}: {}", taken.bad_status, taken.why);
    // Who sends what makes no sense is not heard out: hundreds more may lie behind it.
    keep_alive_ = keep_alive_ && taken.bad_status >= 500;
    Reply({.status = taken.bad_status, .why = taken.why + '\n'});
  }

  // Where the framing is lost nothing more can be understood on this connection.
  void Refuse(int status, std::string_view why) {
    ++Count().requests_malformed;
    Log(Level::kInfo, "request answered {}: {}", status, why);
    state_ = State::kWaiting;
    keep_alive_ = false;
    GiveBack();
    stream_.in().Consume(stream_.in().size());
    Reply({.status = status, .why = std::string(why) + '\n'});
  }

  void Reply(const Answer& answer) {
    exchange_ = nullptr;
    if (!PADDLESTILE_CHECK(state_ == State::kWaiting || state_ == State::kUploading)) return;
    // Answered before it was heard: the rest of the request is of no use.
    if (const auto body = std::exchange(body_, nullptr)) {
      body->Cut();
      keep_alive_ = false;
    }
    state_ = State::kWriting;
    const auto rest = answer.from ? answer.from->rest : nullptr;
    const bool sized = !rest || rest->length();
    keep_alive_ = keep_alive_ && !clients_.emptying_ && (sized || !http10_);
    SetTimer(kAnswerTime, [this] { clients_.Drop(*this); });  // it never reads
    if (rest) {
      writer_ = std::make_unique<BodyWriter>(stream_, rest, !sized && !http10_, true,
                                             [this](bool whole) { BodyOver(whole); });
    }
    stream_.Write(HeadForClient(answer, keep_alive_, http10_) + answer.why, answer.from,
                  answer.from ? answer.from->body() : std::string_view());
    if (writer_) writer_->Go();
  }

  // The answer that passed on is written, or its host is gone: the client is shown that it is cut.
  void BodyOver(bool whole) {
    // It may be told from within the writer.
    loop_.Defer([kept = std::shared_ptr<BodyWriter>(std::move(writer_))] {});
    if (whole) return OnFlushed();
    stream_.CloseByReset();
    loop_.Defer([self = Self()] { self->clients_.DropClosed(*self); });
  }

  void OnFlushed() override {
    if (state_ != State::kWriting) return;  // that was "100 Continue"
    if (writer_) {
      SetTimer(kAnswerTime, [this] { clients_.Drop(*this); });
      return writer_->Go();
    }
    if (keep_alive_) {
      loop_.Cancel(timer_);
      state_ = State::kReading;
      // A request that waits in the buffer is a call of its own, and hundreds may: after others.
      if (stream_.in().empty() && !stream_.ended()) {
        loop_.Defer([self = Self()] { self->Next(); });
      } else {
        loop_.Yield([self = Self()] { self->Next(); });
      }
      return;
    }
    // Closed with something unread, the kernel would reset the connection and with it the answer.
    state_ = State::kLingering;
    stream_.ShutWrite();
    SetTimer(kLinger, [this] { clients_.Drop(*this); });
    loop_.Yield([self = Self()] {
      if (!self->stream_.closed()) self->stream_.Discard();
    });
  }

  void Next() {
    if (stream_.closed() || state_ != State::kReading) return;
    if (stream_.in().empty() && !stream_.ended()) {
      SetTimer(kIdleTime, [this] { OutOfTime(); });
      BecomeIdle(clients_.idle_);
      clients_.TrimIdle();
    } else {
      Read();
      DropIfLeft();
    }
    stream_.Resume();
  }

  void OnBroken() override { clients_.Drop(*this); }

  void BecomeIdle(std::list<Connection*>& among) {
    if (among_ != nullptr) return;
    among_ = &among;
    idle_place_ = among.insert(among.end(), this);
  }
  void StopIdling() {
    if (among_ != nullptr) among_->erase(idle_place_);
    among_ = nullptr;
  }

  void SetTimer(Duration after, std::function<void()> then) {
    loop_.Cancel(timer_);
    timer_ = loop_.After(after, [this, then = std::move(then)] {
      timer_ = {};
      then();
    });
  }

  std::shared_ptr<Connection> Self() { return *place; }

  Clients& clients_;
  EventLoop& loop_;  // may outlive the clients, as what is put off may
  Stream stream_;
  MessageParser parser_{MessageParser::Kind::kRequest, kMostBody};
  State state_ = State::kReading;
  bool keep_alive_ = true, asked_ = false, http10_ = false;
  std::shared_ptr<Body> body_;                    // of a request that passes on
  std::unique_ptr<BodyWriter> writer_;            // of an answer that does
  size_t held_ = 0;                               // of the clients' bytes held whole past kMaxBody
  Time begun_at_{0}, body_at_{0}, last_byte_{0};  // of the present request; its body
  size_t came_ = 0;                               // bytes of it
  Time opened_{0};
  bool spoken_ = false;                      // has sent its first byte
  std::list<Connection*>* among_ = nullptr;  // the list it idles in
  std::list<Connection*>::iterator idle_place_;
  std::shared_ptr<Exchange> exchange_;
  EventLoop::TimerId timer_;
};

// ---- Clients --------------------------------------------------------------------------------

Clients::Clients(EventLoop& loop, Descriptors& budget, const Address& listen, const Life& life,
                 Listener* listener, Fd handed, bool shared)
    : loop_(loop),
      budget_(budget),
      life_(life),
      listener_(listener),
      address_(listen),
      shared_(shared) {
  listening_ = std::make_unique<Listening>(*this, listen, std::move(handed), shared);
  LifeChanged();
}

Clients::~Clients() {
  loop_.Cancel(accept_timer_);
  loop_.Cancel(drain_timer_);
  // No events to the listener any more: the module goes with this gateway.
  for (const auto& connection : connections_) connection->stream().Close();
}

void Clients::Accept() {
  for (int accepted = 0; listening_ && life_.accepts(); ++accepted) {
    if (accepted == kAcceptAtOnce) {
      if (std::exchange(accept_yielded_, true)) return;
      loop_.Yield([this, alive = std::weak_ptr(alive_)] {
        if (alive.expired()) return;
        accept_yielded_ = false;
        Accept();
      });
      return;
    }
    const bool share =
        static_cast<double>(connections_.size()) < kShare * static_cast<double>(budget_.most());
    if (!share || !budget_.Take()) {
      // Room is made only for somebody who waits: else the last free descriptor would cost an idle
      // connection each time.
      pollfd waiting{listening_->fd(), POLLIN, 0};
      if (poll(&waiting, 1, 0) == 0) return;
      if (!(share ? listener_->OnShort() : CloseOneIdle()) || !budget_.Take()) {
        return AcceptLater();
      }
    }
    Socket socket(Fd(accept4(listening_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)),
                  &budget_);
    if (socket.get() < 0) {
      const int error = errno;
      if (error == EINTR || error == ECONNABORTED) continue;
      if (error == EAGAIN || error == EWOULDBLOCK) return;
      // The table is full all the same: with the edge consumed, only the timer looks again.
      if (error == EMFILE && listener_->OnShort()) continue;
      return AcceptLater();
    }
    const int on = 1;
    setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++Count().clients_accepted;
    last_accept_ = loop_.Now();
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    Connection& connection = *connections_.back();
    connection.place = std::prev(connections_.end());
    if (!connection.Start()) Drop(connection);
  }
}

void Clients::AcceptLater() {
  ++Count().accept_waits;
  if (accept_timer_.number != 0) return;
  accept_timer_ = loop_.After(kAcceptAgain, [this] {
    accept_timer_ = {};
    Accept();
  });
}

void Clients::Drop(Connection& connection) {
  if (connection.stream().closed()) return;
  DropClosed(connection);
}

void Clients::DropClosed(Connection& connection) {
  connection.Leave();
  ++Count().clients_closed;
  // It may be the one whose handler is at work: its memory goes once that has returned.
  loop_.Defer([kept = *connection.place] {});
  connections_.erase(connection.place);
}

// The trouble: in a burst each newcomer was closed for the next, its request a moment behind it.
bool Clients::CloseOneIdle() {
  const Time now = loop_.Now();
  return CloseOne(silent_, now - kSilentGrace) || CloseOne(idle_, now) || CloseOne(silent_, now);
}

// Clients have a bound of their own on what they keep open to us. When each request comes on a new
// connection that is kept, they run into it and ask no more, and the gateway idles.
void Clients::TrimIdle() {
  const double most = kKeptShare * static_cast<double>(budget_.most());
  while (static_cast<double>(connections_.size() - silent_.size()) > most) {
    if (!CloseOne(idle_, loop_.Now())) return;
  }
}

bool Clients::CloseOne(std::list<Connection*>& among, Time opened_before) {
  for (Connection* const connection : among) {
    if (connection->opened() > opened_before) return false;  // the later ones are younger
    // One with a request on its way that was not read yet stays: that request is taken.
    if (!connection->stream().Quiet()) continue;
    ++Count().clients_reclaimed;
    Drop(*connection);
    return true;
  }
  return false;
}

int Clients::listening() const { return listening_ ? listening_->fd() : -1; }

void Clients::LifeChanged() {
  if (listening_ && !listening_->Watch(life_.accepts())) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  if (std::exchange(emptying_, life_.empties()) == life_.empties()) return;
  loop_.Cancel(drain_timer_);
  drain_since_ = loop_.Now();
  if (emptying_) DrainStep();
}

void Clients::End(Duration at_most, std::function<void()> done) {
  // Also where it was emptied before: connections go on coming for a while from now.
  drain_since_ = loop_.Now();
  end_at_ = drain_since_ + at_most;
  drained_ = std::move(done);
}

void Clients::EndIdle() {
  const Time now = loop_.Now();
  for (auto* const among : {&silent_, &idle_}) {
    for (auto at = among->begin(); at != among->end();) {
      Connection* const connection = *at++;
      // A newcomer's request may be a moment behind it.
      if (among == &silent_ && !drained_ && now - connection->opened() < kSilentGrace) break;
      if (connection->stream().Quiet()) Drop(*connection);
    }
  }
}

void Clients::DrainStep() {
  Accept();
  const Time now = loop_.Now();
  if (now - drain_since_ >= kDrainIdleAfter) EndIdle();
  if (drained_ && now >= end_at_) {
    // Whoever still has no request in hand had time enough; what is in hand is answered first.
    for (auto at = connections_.begin(); at != connections_.end();) {
      Connection& connection = **at++;
      if (!connection.in_hand()) Drop(connection);
    }
  }
  // What waits in the queue would be reset with it: not while accepting was put off.
  const bool taken = !accept_yielded_ && accept_timer_.number == 0;
  // Another may listen at the address: to stay would be to take what is the other's for ever.
  if (drained_ && shared_ && taken && now - drain_since_ >= kDrainShared) listening_.reset();
  const bool quiet =
      !listening_ || !life_.accepts() ||
      (taken && now - drain_since_ >= kDrainIdleAfter && now - last_accept_ >= kDrainQuiet);
  if (drained_ && quiet && connections_.empty()) {
    listening_.reset();
    drained_();
    return;
  }
  drain_timer_ = loop_.After(kDrainStep, [this] { DrainStep(); });
}

}  // namespace paddlestile
