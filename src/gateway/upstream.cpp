#include "gateway/upstream.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <chrono>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"

namespace paddlestile {
namespace {

constexpr Duration kTidyMost{1'000'000};  // us; between two looks at what idles
constexpr Duration kTidyLeast{10'000};    // us
constexpr int kTidyPart = 10;             // looks in an idle time
// Of the hosts' idle time; a request that crosses their close would end as a reset.
constexpr double kIdleShare = 0.8;
constexpr Duration kIdleUnknown{10'000'000};  // us; where the settings name no idle time
// An answer comes in one piece from a host that lives; one that stops in the middle is spoilt, and
// to wait for its end would cost the time of the next attempt.
constexpr Duration kPause{600'000};  // us; between two reads of one answer
// One that passes on has no next attempt; its host may be slow and is given up where it is dead.
constexpr Duration kPauseLarge{5'000'000};  // us; and between two writes of a large request
// Bytes of a body that have to come before a client sees the first: a spoilt answer is short as a
// rule, and until then another attempt may serve. More where its end is not known.
constexpr size_t kPassOnFrom = 8'192, kPassOnUnknown = 16'384;
// What lies between may forget a connection that idles and break it at its next request. Where so
// many of those that idled for as long broke of late, others that old are not used.
constexpr double kBrokenMost = 0.2;  // of those tried
constexpr double kTriedLeast = 5;    // decayed
constexpr double kReuseSpan = 5e6;   // us; over which what was tried is forgotten
// A probe is given up after so many connect time-outs: one to connect, one to be answered.
constexpr int kProbeTimeouts = 2;

constexpr size_t kReadFirst = 2048;  // bytes; most answers are short
// A host may answer twice, the second time some milliseconds late: on a connection used again by
// then it would be taken for the next request's answer, which nothing in it tells apart. To wait
// out its rest costs less than another connection.
constexpr Duration kRest{10'000};  // us; after an answer

double Ms(Duration d) {
  return static_cast<double>(d.count()) / 1000;
}

}  // namespace

// ---- Words ----------------------------------------------------------------------------------

std::optional<LoadReport> ParseLoadReport(std::string_view text,
                                          const std::vector<std::string>& fields) {
  LoadReport report(fields.size(), 0);
  std::vector<bool> found(fields.size(), false);
  text = Trim(text);
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    const size_t eq = pair.find('=');
    if (eq == std::string_view::npos) {
      return std::nullopt;
    }
    const auto at = std::ranges::find(fields, Trim(pair.substr(0, eq)));
    if (at == fields.end()) {
      continue;
    }
    const std::string_view digits = Trim(pair.substr(eq + 1));
    const auto place = static_cast<size_t>(at - fields.begin());
    const char* const end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, report[place]);
    if (read.ec != std::errc() || read.ptr != end || !std::isfinite(report[place])) {
      return std::nullopt;
    }
    found[place] = true;
  }
  if (fields.empty() || !std::ranges::all_of(found, [](bool f) { return f; })) {
    return std::nullopt;
  }
  return report;
}

Outcome OutcomeOfResponse(const HttpMessage& message, std::string_view base) {
  if (message.status == 200) {
    return Outcome::kOk;
  }
  const auto rejected = message.FindHeader(base, "X-Rejected");
  const bool turned_away = rejected && *rejected == "1";
  if ((message.status == 503 || message.status == 504) && turned_away) {
    return Outcome::kRejected;
  }
  // Of the request, not of the host; but for those by which a host speaks of its own state.
  const bool own = message.status == 408 || message.status == 425 || message.status == 429;
  if (message.status >= 400 && message.status < 500 && !own) {
    return Outcome::kInvalidResponse;
  }
  return Outcome::kError;
}

std::string RequestHead(const BufferedMessage& request, Duration left) {
  const HttpMessage& m = request.message;
  const std::string_view base = request.bytes.view();
  std::string head = fmt::format("{} {} HTTP/1.1\r\n", m.method.In(base), m.target.In(base));
  for (const auto& [key, value] : m.headers) {
    const std::string_view name = key.In(base);
    if (HeaderNamesEqual(name, "X-Budget-Ms") || HeaderNamesEqual(name, "Content-Length")) {
      continue;
    }
    if (IsHopByHop(m, base, name)) {
      continue;
    }
    head += fmt::format("{}: {}\r\n", name, value.In(base));
  }
  const auto ms = std::max<int64_t>(1, left.count() / 1000);
  head += fmt::format("X-Budget-Ms: {}\r\n", ms);
  const std::optional<uint64_t> length =
      request.streaming_body ? request.streaming_body->length() : m.body.size;
  const bool bodiless = m.method.In(base) == "GET" && length == 0;
  if (!length) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (!bodiless) {
    head += fmt::format("Content-Length: {}\r\n", *length);
  }
  return head + "\r\n";
}

// ---- Connections ----------------------------------------------------------------------------

// What a connection is busy with: an attempt, or a probe where there is no exchange.
struct Upstream::Exchange {
  std::shared_ptr<ProxiedRequest> exchange;
  size_t attempt = 0;
  std::string endpoint;
  Time sent{0};
  Time until{0};
  bool established = false;
};

class Upstream::Connection final : public Stream::Listener {
 public:
  Connection(Upstream& servers, Host& host, Socket socket)
      : servers_(servers),
        loop_(servers.loop_),
        host_(host),
        epoch_(host.address_version),
        stream_(servers.loop_, std::move(socket), this, true) {
    stream_.set_max_unread_bytes(2 * kMaxBufferedBodyBytes);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() { CancelTimers(); }

  // Before it goes: who takes its answer, or gives its request, is told.
  void Leave() {
    writer_.reset();
    if (const auto body = std::exchange(body_, nullptr)) {
      body->OnTruncated();
    }
  }

  bool Open() {
    if (!stream_.Start()) {
      return false;
    }
    connect_timer_ = loop_.RunAfter(servers_.options_.connect_timeout, [this] {
      connect_timer_ = {};
      servers_.FinishExchange(*this, Outcome::kConnectFailed, std::nullopt, nullptr);
    });
    return true;
  }

  void Start(std::unique_ptr<Exchange> job) {
    job_ = std::move(job);
    parser_.Reset();
    written_ = heard_ = false;
    // One that is not held whole has its time from its last byte on.
    if (!job_->exchange || !job_->exchange->message().streaming_body) {
      SetLimit(WriteBy());
    }
    if (stream_.connected()) {
      WriteRested();
    }
  }

  void SetLimit(Time until) {
    loop_.CancelTimer(limit_);
    limit_ = loop_.RunAfter(until - loop_.Now(), [this] {
      limit_ = {};
      // With the time up before the connection is, nothing was sent and the host not shown at
      // fault, unless it had the time of a connect.
      const bool shown =
          stream_.connected() || loop_.Now() - job_->sent >= servers_.options_.connect_timeout;
      const Outcome outcome = written_ ? Outcome::kTimeout
                              : shown  ? Outcome::kConnectFailed
                                       : Outcome::kNotSent;
      servers_.FinishExchange(*this, outcome, std::nullopt, nullptr);
    });
  }

  std::unique_ptr<Exchange> Finish() {
    CancelTimers();
    return std::move(job_);
  }

  void CancelTimers() {
    loop_.CancelTimer(limit_);
    loop_.CancelTimer(connect_timer_);
    loop_.CancelTimer(pause_);
    loop_.CancelTimer(rest_);
  }

  // How long the last byte may take to be written. What repeats a key was let go for the time of a
  // connect and no longer: behind it the hosts may have forgotten the key.
  [[nodiscard]] Time WriteBy() const {
    const ProxiedRequest* const exchange = job_->exchange.get();
    const bool repeats = exchange != nullptr && job_->attempt > 0 &&
                         exchange->request_class().idempotency == Idempotency::kKeyed;
    return repeats ? std::min(job_->until, job_->sent + servers_.options_.connect_timeout)
                   : job_->until;
  }

  // Fit for the next request: nothing half-written and nothing unread.
  [[nodiscard]] bool Reusable() const {
    return reusable_ && host_.listed && epoch_ == host_.address_version && !stream_.ended() &&
           !stream_.closed() && stream_.flushed();
  }

  [[nodiscard]] Exchange* job() const { return job_.get(); }
  [[nodiscard]] bool written() const { return written_; }
  Stream& stream() { return stream_; }
  Host& host() { return host_; }

  Time idle_since{0};
  Duration idled{-1};  // before its present use; -1: this is its first
  std::list<Connection*>::iterator idle_place;
  bool idle = false;

 private:
  void OnConnected() override {
    loop_.CancelTimer(connect_timer_);
    if (job_) {
      Write();
    }
  }

  // Not before it has rested; what comes meanwhile is no answer to this job, which goes elsewhere.
  void WriteRested() {
    if (idled < Duration(0) || idled >= kRest) {
      return Write();
    }
    rest_ = loop_.RunAfter(kRest - idled, [this] {
      rest_ = {};
      if (!job_->exchange) {
        job_->sent = loop_.Now();  // a probe measures the way
      }
      stream_.IsIdle() ? Write() : servers_.RetryOnAnotherConnection(*this);
    });
  }

  void Write() {
    if (!job_->exchange) {
      const bool reports = servers_.options_.reports_in_probes;
      stream_.Write(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", reports ? "/_load" : "/ping",
                                ToText(host_.address)));
      return;
    }
    // It came up too late: for a request that is over, or whose time is.
    if (job_->exchange->done() || loop_.Now() >= WriteBy()) {
      return servers_.FinishExchange(*this, Outcome::kNotSent, std::nullopt, nullptr);
    }
    const BufferedMessage& request = job_->exchange->message();
    if (request.streaming_body) {
      return WriteRest(request);
    }
    stream_.Write(RequestHead(request, job_->until - loop_.Now()), job_->exchange, request.body());
  }

  void WriteRest(const BufferedMessage& request) {
    writer_ =
        std::make_unique<BodyWriter>(stream_, request.streaming_body,
                                     !request.streaming_body->length(), false, [this](bool whole) {
                                       // A client that has gone is told of by its own side,
                                       // which ends this attempt.
                                       if (whole) {
                                         Uploaded();
                                       }
                                     });
    stream_.Write(RequestHead(request, job_->until - loop_.Now()));
    if (writer_) {
      AwaitRoom();
    }
  }

  // The last byte is written: from here on it is a request like others.
  void Uploaded() {
    loop_.CancelTimer(pause_);
    // It may be told from within the writer.
    loop_.RunDeferred([kept = std::shared_ptr<BodyWriter>(std::move(writer_))] {});
    written_ = true;
    job_->sent = loop_.Now();
    job_->until = job_->exchange->deadline();
    SetLimit(job_->until);
  }

  void OnWriteComplete() override {
    if (!writer_) {
      written_ = true;
      if (job_ && WriteBy() < job_->until) {
        SetLimit(job_->until);
      }
      return;
    }
    writer_->Resume();
    if (writer_) {
      AwaitRoom();
    }
  }

  // A host that reads nothing for so long is not there.
  void AwaitRoom() {
    loop_.CancelTimer(pause_);
    pause_ = loop_.RunAfter(kPauseLarge, [this] {
      pause_ = {};
      if (stream_.flushed()) {
        return AwaitRoom();  // it is the client that is slow
      }
      servers_.FinishExchange(*this, Outcome::kConnectFailed, std::nullopt, nullptr);
    });
  }

  void OnData() override {
    if (body_) {  // passing on: whoever writes takes it
      AwaitBody();
      return body_->OnDataAvailable();
    }
    if (!job_) {  // idle: the host closes, or says what nobody asked for
      ++GlobalCounters().upstream_idle_lost;
      servers_.Drop(*this);
      return;
    }
    if (rest_.number != 0) {
      return servers_.RetryOnAnotherConnection(*this);
    }
    if (!heard_ && !stream_.input().empty()) {
      heard_ = true;
      if (idled >= Duration(0)) {
        servers_.RecordReuse(idled, false);
      }
    }
    const ParseProgress progress = parser_.Feed(stream_.input());
    if (progress == ParseProgress::kMalformed) {
      ++GlobalCounters().upstream_malformed;
      // Such answers come from any host alike and say little of this one.
      return servers_.FinishExchange(*this,
                                     written_ ? Outcome::kInvalidResponse : Outcome::kConnectFailed,
                                     std::nullopt, nullptr);
    }
    MaybeEstablished();
    if (progress == ParseProgress::kDone) {
      return Done();
    }
    if (stream_.ended() && parser_.EndsWithConnection(stream_.input())) {
      return Done();
    }
    if (stream_.ended()) {
      return OnError();
    }
    if (IsLarge()) {
      return PassOn();
    }
    AwaitMore();
  }

  // Not to be held whole, and enough of it has come.
  [[nodiscard]] bool IsLarge() {
    if (!parser_.head_done()) {
      return false;
    }
    const auto length = parser_.body_length();
    if (length && *length <= kMaxBufferedBodyBytes) {
      return false;
    }
    return parser_.body_bytes_received(stream_.input()) >= (length ? kPassOnFrom : kPassOnUnknown);
  }

  void PassOn() {
    auto held = std::make_shared<BufferedMessage>();
    const auto length = parser_.body_length();
    held->message = parser_.TakeHead(stream_.input(), held->bytes);
    const Outcome outcome = OutcomeNow(*held);
    auto report = ReportOf(*held, outcome);
    // Of what is not served only the head tells anything; the rest costs the connection.
    if (outcome != Outcome::kOk || !job_->exchange) {
      return servers_.FinishExchange(*this, outcome, std::move(report), nullptr);
    }
    stream_.set_max_unread_bytes(kMaxPieceBytes);
    stream_.set_min_read_bytes(kMaxPieceBytes);
    body_ = held->streaming_body = std::make_shared<StreamingBody>(
        length, [this](Buffer& piece) { return TakeBody(piece); },
        [this] {
          body_ = nullptr;
          servers_.Drop(*this);
        });
    CancelTimers();
    AwaitBody();
    writer_.reset();  // a host that answers before it has heard all
    const auto body = body_;
    auto job = std::move(job_);
    ++GlobalCounters().responses_streamed;
    servers_.ReportOutcome(std::move(job), outcome, std::move(report), std::move(held));
    if (!body->has_writer()) {
      body->Cancel();  // nobody waits for it any more
    }
  }

  ParseProgress TakeBody(Buffer& piece) {
    const ParseProgress progress = parser_.TakeBody(stream_.input(), piece, stream_.ended());
    if (progress == ParseProgress::kNeedMore) {
      // Not within this call: what comes is told to whoever is at work here.
      if (!stream_.readable()) {
        return progress;
      }
      loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired() && !stream_.closed()) {
          stream_.ResumeReading();
        }
      });
      return progress;
    }
    loop_.CancelTimer(pause_);
    body_ = nullptr;
    if (progress == ParseProgress::kMalformed) {
      ++GlobalCounters().bodies_truncated;
      Log(LogLevel::kInfo, "body cut: {} broke off within an answer", host_.id);
    }
    reusable_ = progress == ParseProgress::kDone && parser_.message().keep_alive && written_ &&
                stream_.input().empty();
    Reusable() ? Rest() : servers_.Drop(*this);
    return progress;
  }

  // Between requests again.
  void Rest() {
    stream_.set_max_unread_bytes(2 * kMaxBufferedBodyBytes);
    stream_.set_min_read_bytes(kReadFirst);
    servers_.ReleaseToPool(*this);
  }

  void AwaitBody() {
    loop_.CancelTimer(pause_);
    pause_ = loop_.RunAfter(kPauseLarge, [this] {
      pause_ = {};
      if (!body_) {
        return;
      }
      if (!stream_.input().empty()) {
        return AwaitBody();  // it is the client that is slow
      }
      ++GlobalCounters().bodies_truncated;
      Log(LogLevel::kInfo, "body cut: {} says nothing more within an answer", host_.id);
      servers_.Drop(*this);
    });
  }

  std::optional<LoadReport> ReportOf(const BufferedMessage& held, Outcome outcome) {
    const Options& options = servers_.options_;
    std::optional<std::string_view> text;
    if (options.reports_in_responses) {
      text = held.message.FindHeader(held.bytes.view(), "X-Load-Report");
    }
    if (!job_->exchange && options.reports_in_probes && outcome == Outcome::kOk) {
      text = held.body();
    }
    if (!text) {
      return std::nullopt;
    }
    auto report = ParseLoadReport(*text, options.report_fields);
    if (!report) {
      ++GlobalCounters().load_reports_malformed;
    }
    return report;
  }

  void AwaitMore() {
    loop_.CancelTimer(pause_);
    if (job_->exchange && job_->exchange->request_class().is_streamed) {
      return;  // its pauses are its own
    }
    pause_ = loop_.RunAfter(kPause, [this] {
      pause_ = {};
      ++GlobalCounters().upstream_malformed;
      servers_.FinishExchange(*this, written_ ? Outcome::kInvalidResponse : Outcome::kConnectFailed,
                              std::nullopt, nullptr);
    });
  }

  // A streamed answer has begun: it belongs to its client, and no time limit runs on.
  void MaybeEstablished() {
    if (!job_->exchange || job_->established || !job_->exchange->request_class().is_streamed) {
      return;
    }
    if (parser_.message().body.at == 0 || parser_.message().status != 200) {
      return;
    }
    if (!job_->exchange->CommitTo(job_->attempt)) {
      return;  // another one has begun before
    }
    job_->established = true;
    loop_.CancelTimer(limit_);
    servers_.listener_->OnResponseStarted(job_->exchange, job_->attempt, job_->endpoint,
                                          loop_.Now() - job_->sent);
  }

  // A host begins with the last byte: what it says to have done before is another request's, and
  // this one never runs. Told of a refusal it may be at any time, and of a body that passes on.
  [[nodiscard]] Outcome OutcomeNow(const BufferedMessage& held) const {
    const Outcome outcome = OutcomeOfResponse(held.message, held.bytes.view());
    const bool whole = job_->exchange && !job_->exchange->message().streaming_body;
    if (written_ || !whole || outcome != Outcome::kOk) {
      return outcome;
    }
    ++GlobalCounters().upstream_malformed;
    return Outcome::kNotSent;
  }

  void Done() {
    auto held = std::make_shared<BufferedMessage>();
    held->message = parser_.message();
    held->bytes = stream_.input().TakeFront(held->message.total_bytes);
    // Bytes behind the answer belong to nothing that was asked: the connection is out of step.
    reusable_ = held->message.keep_alive && written_ && stream_.input().empty();
    const Outcome outcome = OutcomeNow(*held);
    std::optional<LoadReport> report = ReportOf(*held, outcome);
    const bool pass_on = outcome == Outcome::kOk || outcome == Outcome::kInvalidResponse;
    servers_.FinishExchange(*this, outcome, std::move(report), pass_on ? std::move(held) : nullptr);
  }

  void OnError() override {
    if (body_) {
      ++GlobalCounters().bodies_truncated;
      Log(LogLevel::kInfo, "body cut: {} broke off within an answer", host_.id);
      return servers_.Drop(*this);
    }
    if (!job_) {
      ++GlobalCounters().upstream_idle_lost;
      servers_.Drop(*this);
      return;
    }
    const bool came_up = stream_.connected();
    if (came_up && !heard_ && idled >= Duration(0)) {
      servers_.RecordReuse(idled, true);
      // Nothing whole was sent: the same send goes on a connection that lives.
      if (!written_ && !job_->exchange) {
        return servers_.RetryOnAnotherConnection(*this);
      }
      if (!written_ && !job_->exchange->body_consumed()) {
        return servers_.RetryOnAnotherConnection(*this);
      }
    }
    // One that came up and broke before all was written shows no host at fault.
    servers_.FinishExchange(*this,
                            written_  ? Outcome::kReset
                            : came_up ? Outcome::kNotSent
                                      : Outcome::kConnectFailed,
                            std::nullopt, nullptr);
  }

  Upstream& servers_;
  EventLoop& loop_;  // may outlive the servers, as what is put off may
  Host& host_;
  uint64_t epoch_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse, kMaxBodyBytes};
  std::unique_ptr<Exchange> job_;
  EventLoop::TimerId limit_, connect_timer_, pause_, rest_;
  bool written_ = false, reusable_ = false;
  std::unique_ptr<BodyWriter> writer_;   // of a request that is not held whole
  std::shared_ptr<StreamingBody> body_;  // of an answer that passes on
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  bool heard_ = false;  // the first byte of the answer has come
};

// ---- Servers --------------------------------------------------------------------------------

Upstream::Upstream(EventLoop& loop, DescriptorBudget& budget, Options options, Listener* listener)
    : loop_(loop), budget_(budget), options_(std::move(options)), listener_(listener) {
  CloseExpiredIdle();
}

Upstream::~Upstream() {
  loop_.CancelTimer(idle_timer_);
  connections_.clear();
}

Upstream::Host* Upstream::Find(const std::string& endpoint) {
  const auto at = hosts_.find(endpoint);
  return at == hosts_.end() ? nullptr : at->second.get();
}

void Upstream::SetEndpointAddress(const std::string& endpoint, const Address& address) {
  std::unique_ptr<Host>& host = hosts_[endpoint];
  if (!host) {
    host = std::make_unique<Host>(Host{.id = endpoint, .address = address, .idle = {}});
  }
  host->listed = true;
  if (host->address == address) {
    return;
  }
  host->address = address;
  ++host->address_version;
  DropIdle(*host);
}

void Upstream::RemoveEndpoint(const std::string& endpoint) {
  Host* const host = Find(endpoint);
  if (host == nullptr) {
    return;
  }
  host->listed = false;
  DropIdle(*host);
  MaybeEraseHost(*host);
}

void Upstream::StartAttempt(std::shared_ptr<ProxiedRequest> exchange, size_t attempt,
                            const std::string& endpoint, Time until) {
  auto job = std::make_unique<Exchange>();
  job->exchange = std::move(exchange);
  job->attempt = attempt;
  job->endpoint = endpoint;
  job->sent = loop_.Now();
  job->until = until;
  Host* const host = Find(endpoint);
  if (host == nullptr || until <= job->sent) {
    return ReportOutcome(std::move(job), Outcome::kNotSent, std::nullopt, nullptr);
  }
  Begin(std::move(job), *host);
}

void Upstream::StartProbe(const std::string& endpoint) {
  auto job = std::make_unique<Exchange>();
  job->endpoint = endpoint;
  job->sent = loop_.Now();
  job->until = job->sent + kProbeTimeouts * options_.connect_timeout;
  Host* const host = Find(endpoint);
  if (host == nullptr) {
    return ReportOutcome(std::move(job), Outcome::kNotSent, std::nullopt, nullptr);
  }
  Begin(std::move(job), *host);
}

void Upstream::Begin(std::unique_ptr<Exchange> job, Host& host) {
  // The last used first, but for those that have just answered; of these the first to have rested.
  auto rested = std::ranges::find_if(host.idle, [&](const Connection* connection) {
    return loop_.Now() - connection->idle_since < kRest;
  });
  if (rested == host.idle.begin() && rested != host.idle.end()) {
    ++rested;
  }
  while (rested != host.idle.begin()) {
    Connection& connection = **--rested;
    rested = host.idle.erase(rested);
    idle_.erase(connection.idle_place);
    connection.idle = false;
    connection.idled = loop_.Now() - connection.idle_since;
    // The host may have closed it, and the news of that be waiting behind this event.
    const bool quiet = connection.stream().IsIdle();
    const bool old = IsTooOldToReuse(connection.idled) || connection.idled > MaxIdleTime();
    if (quiet && !old) {
      return connection.Start(std::move(job));
    }
    ++(quiet ? GlobalCounters().upstream_idle_closed : GlobalCounters().upstream_idle_lost);
    Drop(connection);
  }
  // Half of the descriptors are left to clients, without whom no connection to a host is of use.
  const bool room = connections_.size() < budget_.limit() / 2 || CloseOneIdle();
  bool refused = false;
  std::optional<Socket> socket;
  if (room) {
    socket = Connect(host.address, &budget_, refused);
  }
  if (room && !socket && !refused && listener_->OnDescriptorsExhausted()) {
    socket = Connect(host.address, &budget_, refused);
  }
  if (!socket) {
    // A lack of our own says nothing of the host: nothing was transmitted.
    if (!refused) {
      ++GlobalCounters().upstream_no_descriptor;
    }
    return ReportOutcome(std::move(job), refused ? Outcome::kConnectFailed : Outcome::kNotSent,
                         std::nullopt, nullptr);
  }
  ++GlobalCounters().upstream_connections_opened;
  const auto connection = std::make_shared<Connection>(*this, host, std::move(*socket));
  connections_.emplace(connection.get(), connection);
  ++host.connection_count;
  if (!connection->Open()) {
    Drop(*connection);
    return ReportOutcome(std::move(job), Outcome::kNotSent, std::nullopt, nullptr);
  }
  connection->Start(std::move(job));
}

void Upstream::FinishExchange(Connection& connection, Outcome outcome,
                              std::optional<LoadReport> report,
                              std::shared_ptr<const BufferedMessage> from) {
  if (connection.idle) {
    return;  // dropped by its host's address; ended already
  }
  auto job = connection.Finish();
  const bool whole = from || outcome == Outcome::kError || outcome == Outcome::kRejected;
  if (whole && connection.Reusable()) {
    ReleaseToPool(connection);
  } else {
    Drop(connection);
  }
  if (PADDLESTILE_CHECK(job != nullptr)) {
    ReportOutcome(std::move(job), outcome, std::move(report), std::move(from));
  }
}

void Upstream::RetryOnAnotherConnection(Connection& connection) {
  auto job = connection.Finish();
  Host& host = connection.host();
  ++GlobalCounters().upstream_idle_lost;
  ++host.connection_count;  // stays while the send looks for another connection
  Drop(connection);
  --host.connection_count;
  const bool over = job->exchange && job->exchange->done();
  if (over || !host.listed || job->until <= loop_.Now()) {
    ReportOutcome(std::move(job), Outcome::kNotSent, std::nullopt, nullptr);
    return MaybeEraseHost(host);
  }
  Begin(std::move(job), host);
}

Upstream::ReuseStatistics& Upstream::ReuseAfter(Duration idle) {
  const auto ms = static_cast<uint64_t>(std::max<int64_t>(idle.count() / 1000, 0));
  ReuseStatistics& reuse = reuse_[std::min<size_t>(std::bit_width(ms), reuse_.size() - 1)];
  const Time now = loop_.Now();
  const double left = std::exp(-static_cast<double>((now - reuse.updated_at).count()) / kReuseSpan);
  reuse.attempted *= left;
  reuse.failed *= left;
  reuse.updated_at = now;
  return reuse;
}

void Upstream::RecordReuse(Duration idle, bool broken) {
  ReuseStatistics& reuse = ReuseAfter(idle);
  reuse.attempted += 1;
  reuse.failed += broken ? 1 : 0;
}

bool Upstream::IsTooOldToReuse(Duration idle) {
  const ReuseStatistics& reuse = ReuseAfter(idle);
  return reuse.attempted >= kTriedLeast && reuse.failed > kBrokenMost * reuse.attempted;
}

void Upstream::ReportOutcome(std::unique_ptr<Exchange> job, Outcome outcome,
                             std::optional<LoadReport> report,
                             std::shared_ptr<const BufferedMessage> from) {
  const Duration took = loop_.Now() - job->sent;
  if (!job->exchange) {
    if (outcome == Outcome::kOk) {
      ++GlobalCounters().probes_ok;
    }
    listener_->OnProbeFinished(job->endpoint, outcome, took, std::move(report));
    return;
  }
  if (IsLogEnabled(LogLevel::kDebug)) {
    Log(LogLevel::kDebug, "attempt {} of {} at {}: outcome {} after {:.1f} ms", job->attempt,
        job->exchange->id(), job->endpoint, static_cast<int>(outcome), Ms(took));
  }
  listener_->OnAttemptFinished(job->exchange, job->attempt, job->endpoint, outcome, took,
                               std::move(report), std::move(from));
}

void Upstream::CancelAttempt(const ProxiedRequest& exchange, size_t attempt) {
  for (const auto& [connection, owned] : connections_) {
    const Exchange* const job = connection->job();
    if (job == nullptr || job->exchange.get() != &exchange || job->attempt != attempt) {
      continue;
    }
    if (job->established) {
      return;  // begun streams belong to their clients
    }
    return FinishExchange(*connection, Outcome::kCancelled, std::nullopt, nullptr);
  }
}

void Upstream::OnClientDisconnected(const ProxiedRequest& exchange) {
  std::vector<Connection*> unwritten, begun;
  for (const auto& [connection, owned] : connections_) {
    const Exchange* const job = connection->job();
    if (job == nullptr || job->exchange.get() != &exchange) {
      continue;
    }
    // What has not been written whole never runs: not now, and not when its connection comes up.
    if (!connection->written()) {
      unwritten.push_back(connection);
    }
    if (job->established) {
      begun.push_back(connection);
    }
  }
  for (Connection* const c : unwritten) {
    FinishExchange(*c, Outcome::kNotSent, std::nullopt, nullptr);
  }
  for (Connection* const c : begun) {
    FinishExchange(*c, Outcome::kCancelled, std::nullopt, nullptr);
  }
}

void Upstream::ReleaseToPool(Connection& connection) {
  connection.idle = true;
  connection.idle_since = loop_.Now();
  connection.idle_place = idle_.insert(idle_.end(), &connection);
  connection.host().idle.push_back(&connection);
}

void Upstream::Drop(Connection& connection) {
  const auto at = connections_.find(&connection);
  if (!PADDLESTILE_CHECK(at != connections_.end())) {
    return;
  }
  if (connection.idle) {
    idle_.erase(connection.idle_place);
    std::erase(connection.host().idle, &connection);
    connection.idle = false;
  }
  connection.CancelTimers();
  connection.stream().Close();
  connection.Leave();
  --connection.host().connection_count;
  MaybeEraseHost(connection.host());
  // It may be the one whose handler is at work: its memory goes once that has returned.
  loop_.RunDeferred([kept = std::move(at->second)] {});
  connections_.erase(at);
}

// Hosts that are replaced come with new ids: those gone for good must not pile up.
void Upstream::MaybeEraseHost(const Host& host) {
  if (host.listed || host.connection_count > 0) {
    return;
  }
  loop_.RunDeferred([this, alive = std::weak_ptr(alive_), id = host.id] {
    if (alive.expired()) {
      return;
    }
    const Host* const now = Find(id);
    if (now != nullptr && !now->listed && now->connection_count == 0) {
      hosts_.erase(id);
    }
  });
}

void Upstream::DropIdle(Host& host) {
  while (!host.idle.empty()) {
    ++GlobalCounters().upstream_idle_closed;
    Drop(*host.idle.back());
  }
}

void Upstream::CloseIdleConnections(const std::string& endpoint) {
  if (Host* const host = Find(endpoint)) {
    DropIdle(*host);
  }
}

bool Upstream::CloseOneIdle() {
  if (idle_.empty()) {
    return false;
  }
  ++GlobalCounters().upstream_idle_closed;
  Drop(*idle_.front());
  return true;
}

Duration Upstream::MaxIdleTime() const {
  if (options_.endpoint_idle_timeout <= Duration(0)) {
    return kIdleUnknown;
  }
  return Duration(
      std::llround(kIdleShare * static_cast<double>(options_.endpoint_idle_timeout.count())));
}

void Upstream::CloseExpiredIdle() {
  const Duration most = MaxIdleTime();
  const Duration every = std::clamp(most / kTidyPart, kTidyLeast, kTidyMost);
  while (!idle_.empty() && loop_.Now() - idle_.front()->idle_since + every > most) {
    CloseOneIdle();
  }
  idle_timer_ = loop_.RunAfter(every, [this] { CloseExpiredIdle(); });
}

}  // namespace paddlestile
