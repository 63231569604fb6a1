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
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

// Further figures of a request, as name=value with commas between, by the wire's names.
void ReadInfo(std::string_view info, RequestArrived& submit) {
  while (!info.empty()) {
    const size_t comma = info.find(',');
    const std::string_view pair = Trim(info.substr(0, comma));
    info.remove_prefix(comma == std::string_view::npos ? info.size() : comma + 1);
    const size_t eq = pair.find('=');
    if (eq == std::string_view::npos) {
      continue;
    }
    const std::string_view name = pair.substr(0, eq), value = pair.substr(eq + 1);
    if (HeaderNamesEqual(name, "Subject") && !value.empty()) {
      submit.key = std::string(value);
    }
    if (HeaderNamesEqual(name, "IsWrite")) {
      submit.is_write = value == "1" || value == "true";
    }
    double ms = 0;
    const auto read = std::from_chars(value.data(), value.data() + value.size(), ms);
    const bool number = read.ec == std::errc() && read.ptr == value.data() + value.size();
    if (HeaderNamesEqual(name, "Expected") && number && ms >= 0 && ms < 1e9) {
      submit.expected_work = Duration(std::llround(ms * 1000));
    }
  }
}

std::string_view FirstOfPath(std::string_view target) {
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

}  // namespace

std::string ResponseHead(const Response& answer, bool keep_alive, bool to_http10) {
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, Reason(answer.status));
  if (answer.upstream_message) {
    const HttpMessage& m = answer.upstream_message->message;
    const std::string_view base = answer.upstream_message->bytes.view();
    for (const auto& [key, value] : m.headers) {
      const std::string_view name = key.In(base);
      if (IsHopByHop(m, base, name) || HeaderNamesEqual(name, "Content-Length")) {
        continue;
      }
      if (HeaderNamesEqual(name, "X-Load-Report")) {
        continue;  // between the hosts and us
      }
      head += fmt::format("{}: {}\r\n", name, value.In(base));
    }
  }
  if (answer.retry_after > Duration(0)) {
    head += fmt::format("Retry-After: {:.3f}\r\n",
                        static_cast<double>(answer.retry_after.count()) / 1e6);
  }
  if (!answer.reason.empty()) {
    head += "Content-Type: text/plain\r\n";
  }
  std::optional<uint64_t> size =
      answer.upstream_message ? answer.upstream_message->message.body.size : answer.reason.size();
  if (answer.upstream_message && answer.upstream_message->streaming_body) {
    size = answer.upstream_message->streaming_body->length();
  }
  if (size) {
    head += fmt::format("Content-Length: {}\r\n", *size);
  } else if (keep_alive || !to_http10) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  if (!keep_alive) {
    head += "Connection: close\r\n";
  }
  return head + "\r\n";
}

ParsedRequest ParseRequest(const BufferedMessage& request, const NameTables& names,
                           const Settings& settings, Time now) {
  const HttpMessage& m = request.message;
  const std::string_view base = request.bytes.view();
  const auto bad = [](int status, std::string why) {
    return ParsedRequest{{}, status, std::move(why)};
  };
  static constexpr std::string_view kMethods[] = {"GET", "POST", "PUT", "PATCH", "DELETE"};
  if (std::ranges::find(kMethods, m.method.In(base)) == std::end(kMethods)) {
    return bad(405, "method");
  }
  // A header that decides and stands there twice could be read differently further on.
  for (const std::string_view name :
       {"X-Call-Id", "X-Budget-Ms", "X-Caller", "X-Again", "Idempotency-Key"}) {
    if (m.CountHeader(base, name) > 1) {
      return bad(400, fmt::format("{} twice", name));
    }
  }
  ParsedRequest out;
  RequestArrived& submit = out.arrival;
  const auto id = m.FindHeader(base, "X-Call-Id");
  if (!id || id->empty() || id->size() > kIdMost ||
      !std::ranges::all_of(*id, [](unsigned char c) { return c > 0x20 && c < 0x7f; })) {
    return bad(400, "X-Call-Id");
  }
  submit.id = *id;
  const auto budget = ParseWholeNumber(m.FindHeader(base, "X-Budget-Ms").value_or(""));
  if (!budget || *budget == 0 || *budget > kBudgetMost) {
    return bad(400, "X-Budget-Ms");
  }
  submit.deadline = now + Duration(static_cast<int64_t>(*budget) * 1000);
  submit.request_class = names.classes.Find(FirstOfPath(m.target.In(base)));
  if (submit.request_class >= settings.classes.size() ||
      HasExpired(names.classes_expire_at, submit.request_class, now)) {
    return bad(404, "unknown class");
  }
  if (settings.classes[submit.request_class].idempotency == Idempotency::kKeyed &&
      m.FindHeader(base, "Idempotency-Key").value_or("").empty()) {
    return bad(400, "Idempotency-Key");  // without it a repeat would be new work
  }
  if (names.tenants.size() > 0) {
    const auto caller = m.FindHeader(base, "X-Caller");
    if (!caller) {
      return bad(400, "X-Caller");
    }
    submit.tenant = names.tenants.Find(*caller);
    if (submit.tenant >= names.tenants.size() ||
        HasExpired(names.tenants_expire_at, submit.tenant, now)) {
      return bad(403, "unknown X-Caller");
    }
  }
  submit.is_client_retry =
      settings.clients_mark_retries && m.FindHeader(base, "X-Again").value_or("") == "1";
  if (const auto info = m.FindHeader(base, "X-Call-Info")) {
    ReadInfo(*info, submit);
  }
  return out;
}

// ---- Listening ------------------------------------------------------------------------------

class Downstream::Acceptor final : public EventLoop::Handler {
 public:
  Acceptor(Downstream& clients, const Address& listen, FileDescriptor handed, bool shared)
      : clients_(clients), loop_(clients.loop_) {
    fd_ = handed ? std::move(handed) : Listen(listen, kBacklog, shared);
    if (!fd_ || setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &kReceive, sizeof(kReceive)) != 0) {
      throw std::system_error(errno, std::generic_category(), "listen on " + ToText(listen));
    }
    clients_.address_ = LocalAddress(fd_.get());  // where any port was asked for
  }
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;
  virtual ~Acceptor() { Watch(false); }

  // Whether connections are told of; what waits already is told at once. False where the kernel
  // refuses.
  bool Watch(bool on) {
    if (on == watched_) {
      return true;
    }
    if (!on) {
      loop_.Unwatch(fd_.get(), token_);
    }
    watched_ = on && loop_.Watch(fd_.get(), this, token_);
    return watched_ == on;
  }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { clients_.Accept(); }

 private:
  Downstream& clients_;
  EventLoop& loop_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
  bool watched_ = false;
};

// ---- Connections ----------------------------------------------------------------------------

class Downstream::Connection final : public Stream::Listener {
 public:
  Connection(Downstream& clients, Socket socket)
      : clients_(clients),
        loop_(clients.loop_),
        stream_(clients.loop_, std::move(socket), this, false) {
    stream_.set_max_unread_bytes(kMaxHeadBytes + kMaxBufferedBodyBytes);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() { loop_.CancelTimer(timer_); }

  bool Start() {
    if (!stream_.Start()) {
      return false;
    }
    opened_ = loop_.Now();
    SetTimer(kSilentTime, [this] { OutOfTime(); });
    BecomeIdle(clients_.never_used_);
    return true;
  }

  Stream& stream() { return stream_; }
  [[nodiscard]] Time opened() const { return opened_; }
  // Whether a close would cut something: a request that is worked for, an answer that its client
  // has not read yet, or a request that waits for its turn, unread or in the buffer.
  [[nodiscard]] bool in_hand() {
    const bool waits = !stream_.input().empty() && !parser_.begun();
    return state_ != State::kReading || waits || stream_.HasUnreadBytes();
  }

  // Before it goes: whoever works for it must not answer it any more.
  void Leave() {
    loop_.CancelTimer(timer_);
    StopIdling();
    GiveBack();
    if (const auto body = std::exchange(body_, nullptr)) {
      body->OnTruncated();
    }
    if (const auto exchange = std::exchange(exchange_, nullptr); exchange && !exchange->done()) {
      exchange->Abandon();
      clients_.listener_->OnClientDisconnected(exchange);
    }
    writer_.reset();
    stream_.Close();
  }

  std::list<std::shared_ptr<Connection>>::iterator place;

 private:
  enum class State {
    kReading,
    kUploading,
    kWaiting,
    kWriting,
    kLingering
  };

  void OnData() override {
    if (state_ == State::kReading) {
      Read();
    }
    if (state_ == State::kUploading && body_ && !stream_.ended()) {
      body_->OnDataAvailable();
      return;
    }
    DropIfLeft();
  }

  // The end of what the client sends is taken for its leaving: it closes when it has gone. While
  // its request waits the end counts also behind further ones that nobody has read yet.
  void DropIfLeft() {
    if (stream_.closed() || state_ == State::kReading) {
      return;
    }
    if (stream_.ended() || (state_ == State::kWaiting && stream_.hung_up())) {
      clients_.Drop(*this);
    }
  }

  void Read() {
    if (stream_.input().empty()) {
      if (stream_.ended()) {
        clients_.Drop(*this);
      }
      return;
    }
    StopIdling();
    if (!parser_.begun()) {
      begun_at_ = spoken_ ? loop_.Now() : opened_;
      const Duration passed = spoken_ ? Duration(0) : loop_.Now() - opened_;
      SetTimer(kRequestTime - passed, [this] { OutOfTime(); });
    }
    spoken_ = true;
    const ParseProgress progress = parser_.Feed(stream_.input());
    if (progress == ParseProgress::kMalformed) {
      return Refuse(parser_.error_status(), "malformed request");
    }
    if (progress == ParseProgress::kDone) {
      return Take();
    }
    if (stream_.ended()) {
      return clients_.Drop(*this);  // it broke off in the middle
    }
    Continue();
    if (parser_.head_done()) {
      ReadLarge();
    }
  }

  // A body that may be past what is held of each.
  void ReadLarge() {
    if (body_at_ == Time(0)) {
      body_at_ = loop_.Now();
      const Duration passed = body_at_ - begun_at_;
      SetTimer(std::max(kRequestTime - passed, kBodyLook), [this] { LookAtRate(); });
    }
    const size_t come = parser_.body_bytes_received(stream_.input());
    if (come > came_) {
      last_byte_ = loop_.Now();
    }
    came_ = std::max(came_, come);
    const auto length = parser_.body_length();
    if (length ? *length <= kMaxBufferedBodyBytes : come < kMaxBufferedBodyBytes) {
      return;
    }
    if (length && held_ == 0 && *length <= kHeldOne &&
        clients_.buffered_bytes_ + *length <= kHeldMost) {
      held_ = static_cast<size_t>(*length);
      clients_.buffered_bytes_ += held_;
      stream_.set_max_unread_bytes(kMaxHeadBytes + held_);
      stream_.set_min_read_bytes(kMaxPieceBytes);
      // What was left unread by the bound before has told of itself already.
      loop_.RunAfterRound([self = Self()] {
        if (!self->stream_.closed()) {
          self->stream_.ResumeReading();
        }
      });
    }
    if (held_ == 0 && come >= kPassOnFrom) {
      TakeLarge();
    }
  }

  // By its rate: one that is slow sends on, one that stalls or drips holds a descriptor for ever.
  void LookAtRate() {
    const Time now = loop_.Now();
    const Duration since = now - body_at_ - kBodyGrace;
    const bool slow =
        static_cast<double>(came_) < kBodyRate * static_cast<double>(since.count()) / 1e6;
    // What waits here unread, or to be written, is no fault of the client's.
    const bool unread = state_ == State::kUploading && !stream_.input().empty();
    if (unread) {
      last_byte_ = now;
      body_at_ = std::max(body_at_, now - kBodyGrace);
    }
    if (!unread && (slow || now - last_byte_ > kBodyGrace)) {
      return TooSlow();
    }
    SetTimer(kBodyLook, [this] { LookAtRate(); });
  }

  void TooSlow() {
    ++GlobalCounters().bodies_truncated;
    if (state_ == State::kReading) {
      return Refuse(408, "request too slow");
    }
    Log(LogLevel::kInfo, "body cut: request {} came too slowly", exchange_ ? exchange_->id() : "");
    BreakOff(408, "request too slow");
  }

  // The rest of a request that passes on cannot be had: nobody works for it any more.
  void BreakOff(int status, std::string_view why) {
    if (const auto body = std::exchange(body_, nullptr)) {
      body->OnTruncated();
    }
    if (const auto exchange = std::exchange(exchange_, nullptr); exchange && !exchange->done()) {
      exchange->Abandon();
      clients_.listener_->OnClientDisconnected(exchange);
    }
    Refuse(status, why);
  }

  void GiveBack() { clients_.buffered_bytes_ -= std::exchange(held_, 0); }

  // Begins with what has come; the rest passes on.
  void TakeLarge() {
    const auto length = parser_.body_length();
    BufferedMessage request;
    request.message = parser_.TakeHead(stream_.input(), request.bytes);
    stream_.set_max_unread_bytes(kMaxPieceBytes);
    stream_.set_min_read_bytes(kMaxPieceBytes);
    ++GlobalCounters().requests_streamed;
    body_ = request.streaming_body = std::make_shared<StreamingBody>(
        length, [this](Buffer& piece) { return TakeBody(piece); }, nullptr);
    http10_ = request.message.is_http10;
    keep_alive_ = request.message.keep_alive;
    state_ = State::kUploading;
    Begin(std::move(request));
  }

  ParseProgress TakeBody(Buffer& piece) {
    const ParseProgress progress = parser_.TakeBody(stream_.input(), piece, stream_.ended());
    came_ += piece.size();
    if (!piece.empty()) {
      last_byte_ = loop_.Now();
    }
    // Not within this call: what comes is told to whoever is at work here.
    if (progress == ParseProgress::kNeedMore) {
      if (!stream_.readable()) {
        return progress;
      }
      loop_.RunAfterRound([self = Self()] {
        if (!self->stream_.closed() && self->state_ == State::kUploading) {
          self->stream_.ResumeReading();
        }
      });
      return progress;
    }
    body_ = nullptr;
    if (progress == ParseProgress::kMalformed) {
      const int status = parser_.error_status();
      loop_.RunDeferred([self = Self(), status] {
        if (!self->stream_.closed()) {
          self->BreakOff(status, "malformed request");
        }
      });
      return progress;
    }
    loop_.CancelTimer(timer_);
    EndOfRequest();
    state_ = State::kWaiting;
    if (exchange_) {
      clients_.listener_->OnRequestComplete(exchange_);
    }
    return progress;
  }

  // For the next one on this connection.
  void EndOfRequest() {
    parser_.Reset();
    GiveBack();
    stream_.set_max_unread_bytes(kMaxHeadBytes + kMaxBufferedBodyBytes);
    stream_.set_min_read_bytes(kReadFirst);
    asked_ = false;
    body_at_ = Time(0);
    came_ = 0;
  }

  void OutOfTime() {
    if (parser_.begun()) {
      return Refuse(408, "request too slow");
    }
    // One whose request has come and was not read yet is about to be read.
    if (stream_.IsIdle()) {
      return clients_.Drop(*this);
    }
    SetTimer(kAcceptAgain, [this] { OutOfTime(); });
  }

  // A client may wait to be asked for the body.
  void Continue() {
    const HttpMessage& m = parser_.message();
    if (asked_ || m.body.at == 0) {
      return;
    }
    asked_ = true;
    if (HeaderNamesEqual(m.FindHeader(stream_.input().view(), "Expect").value_or(""),
                         "100-continue")) {
      stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void Take() {
    loop_.CancelTimer(timer_);
    BufferedMessage request;
    request.message = parser_.message();
    request.bytes = stream_.input().TakeFront(request.message.total_bytes);
    EndOfRequest();
    http10_ = request.message.is_http10;
    keep_alive_ = request.message.keep_alive;
    state_ = State::kWaiting;
    Begin(std::move(request));
  }

  void Begin(BufferedMessage request) {
    const std::string_view base = request.bytes.view();
    if (request.message.target.In(base) == "/_health") {
      ++GlobalCounters().health_checks;
      return Reply({.status = clients_.lifecycle_.healthy() ? 200 : 503});
    }
    AdmissionResult taken = clients_.listener_->OnRequest(
        std::move(request), [this](const Response& answer) { Reply(answer); });
    if (taken.request) {
      exchange_ = std::move(taken.request);
      return;
    }
    ++GlobalCounters().requests_malformed;
    Log(LogLevel::kInfo, "request answered {}: {}", taken.error_status, taken.reason);
    // Who sends what makes no sense is not heard out: hundreds more may lie behind it.
    keep_alive_ = keep_alive_ && taken.error_status >= 500;
    Reply({.status = taken.error_status, .reason = taken.reason + '\n'});
  }

  // Where the framing is lost nothing more can be understood on this connection.
  void Refuse(int status, std::string_view why) {
    ++GlobalCounters().requests_malformed;
    Log(LogLevel::kInfo, "request answered {}: {}", status, why);
    state_ = State::kWaiting;
    keep_alive_ = false;
    GiveBack();
    stream_.input().Consume(stream_.input().size());
    Reply({.status = status, .reason = std::string(why) + '\n'});
  }

  void Reply(const Response& answer) {
    exchange_ = nullptr;
    if (!PADDLESTILE_CHECK(state_ == State::kWaiting || state_ == State::kUploading)) {
      return;
    }
    // Answered before it was heard: the rest of the request is of no use.
    if (const auto body = std::exchange(body_, nullptr)) {
      body->OnTruncated();
      keep_alive_ = false;
    }
    state_ = State::kWriting;
    const auto rest = answer.upstream_message ? answer.upstream_message->streaming_body : nullptr;
    const bool sized = !rest || rest->length();
    keep_alive_ = keep_alive_ && !clients_.draining_ && (sized || !http10_);
    SetTimer(kAnswerTime, [this] { clients_.Drop(*this); });  // it never reads
    if (rest) {
      writer_ = std::make_unique<BodyWriter>(stream_, rest, !sized && !http10_, true,
                                             [this](bool whole) { BodyOver(whole); });
    }
    stream_.Write(ResponseHead(answer, keep_alive_, http10_) + answer.reason,
                  answer.upstream_message,
                  answer.upstream_message ? answer.upstream_message->body() : std::string_view());
    if (writer_) {
      writer_->Resume();
    }
  }

  // The answer that passed on is written, or its host is gone: the client is shown that it is cut.
  void BodyOver(bool whole) {
    // It may be told from within the writer.
    loop_.RunDeferred([kept = std::shared_ptr<BodyWriter>(std::move(writer_))] {});
    if (whole) {
      return OnWriteComplete();
    }
    stream_.CloseByReset();
    loop_.RunDeferred([self = Self()] { self->clients_.DropClosed(*self); });
  }

  void OnWriteComplete() override {
    if (state_ != State::kWriting) {
      return;  // that was "100 Continue"
    }
    if (writer_) {
      SetTimer(kAnswerTime, [this] { clients_.Drop(*this); });
      return writer_->Resume();
    }
    if (keep_alive_) {
      loop_.CancelTimer(timer_);
      state_ = State::kReading;
      // A request that waits in the buffer is a call of its own, and hundreds may: after others.
      if (stream_.input().empty() && !stream_.ended()) {
        loop_.RunDeferred([self = Self()] { self->Next(); });
      } else {
        loop_.RunAfterRound([self = Self()] { self->Next(); });
      }
      return;
    }
    // Closed with something unread, the kernel would reset the connection and with it the answer.
    state_ = State::kLingering;
    stream_.ShutdownWrite();
    SetTimer(kLinger, [this] { clients_.Drop(*this); });
    loop_.RunAfterRound([self = Self()] {
      if (!self->stream_.closed()) {
        self->stream_.DiscardInput();
      }
    });
  }

  void Next() {
    if (stream_.closed() || state_ != State::kReading) {
      return;
    }
    if (stream_.input().empty() && !stream_.ended()) {
      SetTimer(kIdleTime, [this] { OutOfTime(); });
      BecomeIdle(clients_.idle_);
      clients_.TrimIdle();
    } else {
      Read();
      DropIfLeft();
    }
    stream_.ResumeReading();
  }

  void OnError() override { clients_.Drop(*this); }

  void BecomeIdle(std::list<Connection*>& among) {
    if (among_ != nullptr) {
      return;
    }
    among_ = &among;
    idle_place_ = among.insert(among.end(), this);
  }
  void StopIdling() {
    if (among_ != nullptr) {
      among_->erase(idle_place_);
    }
    among_ = nullptr;
  }

  void SetTimer(Duration after, std::function<void()> then) {
    loop_.CancelTimer(timer_);
    timer_ = loop_.RunAfter(after, [this, then = std::move(then)] {
      timer_ = {};
      then();
    });
  }

  std::shared_ptr<Connection> Self() { return *place; }

  Downstream& clients_;
  EventLoop& loop_;  // may outlive the clients, as what is put off may
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, kMaxBodyBytes};
  State state_ = State::kReading;
  bool keep_alive_ = true, asked_ = false, http10_ = false;
  std::shared_ptr<StreamingBody> body_;           // of a request that passes on
  std::unique_ptr<BodyWriter> writer_;            // of an answer that does
  size_t held_ = 0;                               // of the clients' bytes held whole past kMaxBody
  Time begun_at_{0}, body_at_{0}, last_byte_{0};  // of the present request; its body
  size_t came_ = 0;                               // bytes of it
  Time opened_{0};
  bool spoken_ = false;                      // has sent its first byte
  std::list<Connection*>* among_ = nullptr;  // the list it idles in
  std::list<Connection*>::iterator idle_place_;
  std::shared_ptr<ProxiedRequest> exchange_;
  EventLoop::TimerId timer_;
};

// ---- Clients --------------------------------------------------------------------------------

Downstream::Downstream(EventLoop& loop, DescriptorBudget& budget, const Address& listen,
                       const Lifecycle& life, Listener* listener, FileDescriptor handed,
                       bool shared)
    : loop_(loop),
      budget_(budget),
      lifecycle_(life),
      listener_(listener),
      address_(listen),
      shared_(shared) {
  acceptor_ = std::make_unique<Acceptor>(*this, listen, std::move(handed), shared);
  OnLifecycleChanged();
}

Downstream::~Downstream() {
  loop_.CancelTimer(accept_timer_);
  loop_.CancelTimer(drain_timer_);
  // No events to the listener any more: the module goes with this gateway.
  for (const auto& connection : connections_) {
    connection->stream().Close();
  }
}

void Downstream::Accept() {
  for (int accepted = 0; acceptor_ && lifecycle_.accepts(); ++accepted) {
    if (accepted == kAcceptAtOnce) {
      if (std::exchange(accept_yielded_, true)) {
        return;
      }
      loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
        if (alive.expired()) {
          return;
        }
        accept_yielded_ = false;
        Accept();
      });
      return;
    }
    const bool share =
        static_cast<double>(connections_.size()) < kShare * static_cast<double>(budget_.limit());
    if (!share || !budget_.TryAcquire()) {
      // Room is made only for somebody who waits: else the last free descriptor would cost an idle
      // connection each time.
      pollfd waiting{acceptor_->fd(), POLLIN, 0};
      if (poll(&waiting, 1, 0) == 0) {
        return;
      }
      if (!(share ? listener_->OnDescriptorsExhausted() : CloseOneIdle()) ||
          !budget_.TryAcquire()) {
        return AcceptLater();
      }
    }
    Socket socket(
        FileDescriptor(accept4(acceptor_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)),
        &budget_);
    if (socket.get() < 0) {
      const int error = errno;
      if (error == EINTR || error == ECONNABORTED) {
        continue;
      }
      if (error == EAGAIN || error == EWOULDBLOCK) {
        return;
      }
      // The table is full all the same: with the edge consumed, only the timer looks again.
      if (error == EMFILE && listener_->OnDescriptorsExhausted()) {
        continue;
      }
      return AcceptLater();
    }
    const int on = 1;
    setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++GlobalCounters().downstream_connections_accepted;
    last_accept_ = loop_.Now();
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    Connection& connection = *connections_.back();
    connection.place = std::prev(connections_.end());
    if (!connection.Start()) {
      Drop(connection);
    }
  }
}

void Downstream::AcceptLater() {
  ++GlobalCounters().accept_waits;
  if (accept_timer_.number != 0) {
    return;
  }
  accept_timer_ = loop_.RunAfter(kAcceptAgain, [this] {
    accept_timer_ = {};
    Accept();
  });
}

void Downstream::Drop(Connection& connection) {
  if (connection.stream().closed()) {
    return;
  }
  DropClosed(connection);
}

void Downstream::DropClosed(Connection& connection) {
  connection.Leave();
  ++GlobalCounters().downstream_connections_closed;
  // It may be the one whose handler is at work: its memory goes once that has returned.
  loop_.RunDeferred([kept = *connection.place] {});
  connections_.erase(connection.place);
}

// The trouble: in a burst each newcomer was closed for the next, its request a moment behind it.
bool Downstream::CloseOneIdle() {
  const Time now = loop_.Now();
  return CloseOne(never_used_, now - kSilentGrace) || CloseOne(idle_, now) ||
         CloseOne(never_used_, now);
}

// Clients have a bound of their own on what they keep open to us. When each request comes on a new
// connection that is kept, they run into it and ask no more, and the gateway idles.
void Downstream::TrimIdle() {
  const double most = kKeptShare * static_cast<double>(budget_.limit());
  while (static_cast<double>(connections_.size() - never_used_.size()) > most) {
    if (!CloseOne(idle_, loop_.Now())) {
      return;
    }
  }
}

bool Downstream::CloseOne(std::list<Connection*>& among, Time opened_before) {
  for (Connection* const connection : among) {
    if (connection->opened() > opened_before) {
      return false;  // the later ones are younger
    }
    // One with a request on its way that was not read yet stays: that request is taken.
    if (!connection->stream().IsIdle()) {
      continue;
    }
    ++GlobalCounters().downstream_connections_reclaimed;
    Drop(*connection);
    return true;
  }
  return false;
}

int Downstream::listening_socket() const {
  return acceptor_ ? acceptor_->fd() : -1;
}

void Downstream::OnLifecycleChanged() {
  if (acceptor_ && !acceptor_->Watch(lifecycle_.accepts())) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  if (std::exchange(draining_, lifecycle_.draining()) == lifecycle_.draining()) {
    return;
  }
  loop_.CancelTimer(drain_timer_);
  drain_since_ = loop_.Now();
  if (draining_) {
    DrainStep();
  }
}

void Downstream::Shutdown(Duration at_most, std::function<void()> done) {
  // Also where it was emptied before: connections go on coming for a while from now.
  drain_since_ = loop_.Now();
  shutdown_at_ = drain_since_ + at_most;
  on_drained_ = std::move(done);
}

void Downstream::EndIdle() {
  const Time now = loop_.Now();
  for (auto* const among : {&never_used_, &idle_}) {
    for (auto at = among->begin(); at != among->end();) {
      Connection* const connection = *at++;
      // A newcomer's request may be a moment behind it.
      if (among == &never_used_ && !on_drained_ && now - connection->opened() < kSilentGrace) {
        break;
      }
      if (connection->stream().IsIdle()) {
        Drop(*connection);
      }
    }
  }
}

void Downstream::DrainStep() {
  Accept();
  const Time now = loop_.Now();
  if (now - drain_since_ >= kDrainIdleAfter) {
    EndIdle();
  }
  if (on_drained_ && now >= shutdown_at_) {
    // Whoever still has no request in hand had time enough; what is in hand is answered first.
    for (auto at = connections_.begin(); at != connections_.end();) {
      Connection& connection = **at++;
      if (!connection.in_hand()) {
        Drop(connection);
      }
    }
  }
  // What waits in the queue would be reset with it: not while accepting was put off.
  const bool taken = !accept_yielded_ && accept_timer_.number == 0;
  // Another may listen at the address: to stay would be to take what is the other's for ever.
  if (on_drained_ && shared_ && taken && now - drain_since_ >= kDrainShared) {
    acceptor_.reset();
  }
  const bool quiet =
      !acceptor_ || !lifecycle_.accepts() ||
      (taken && now - drain_since_ >= kDrainIdleAfter && now - last_accept_ >= kDrainQuiet);
  if (on_drained_ && quiet && connections_.empty()) {
    acceptor_.reset();
    on_drained_();
    return;
  }
  drain_timer_ = loop_.RunAfter(kDrainStep, [this] { DrainStep(); });
}

}  // namespace paddlestile
