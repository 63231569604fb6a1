#include "gateway/upstream_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/request_head.h"
#include "gateway/upstream_connection_pool.h"
#include "gateway/upstream_response.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum time between two reads of a streamed response. Before the deadline of its request it may
// pause for longer.
constexpr Duration kResponsePauseLimit = seconds(2);
// The same for a streamed class, whose responses have no deadline once they have started.
constexpr Duration kStreamedClassPauseLimit = seconds(5);
// Number of bytes of a large body to receive before the response is streamed to the client.
// Malformed responses are usually short, and until then another attempt can still serve the
// request. More bytes are required if the length is not known.
constexpr size_t kMinStreamedBytes = 8'192;
constexpr size_t kMinStreamedBytesUnknownLength = 16'384;
// The same when they have been held for kMaxHoldTime, or when the deadline has come and no other
// attempt can follow; less may be an endless drip.
constexpr size_t kMinStreamedBytesWhenDue = 4'096;
constexpr Duration kMaxHoldTime = seconds(1);
constexpr size_t kMinReadBytes = 2048;  // most responses are short
// Maximum that is read ahead before it is known whether the response is streamed, and of one that
// is received whole.
constexpr size_t kMaxUnparsedBytes = kMaxHeadBytes + kMinStreamedBytesUnknownLength;
constexpr size_t kMaxUnreadBytes = 2 * kMaxBufferedBodyBytes;
// Maximum that is read ahead of a streamed response for which no memory is left. The memory of such
// responses is bounded by the number of connections.
constexpr size_t kMaxUncountedPieceBytes = 2048;
// An endpoint may send a second response a few milliseconds after the first. On a reused connection
// it would be taken for the response to the next request, because HTTP/1.1 responses do not
// identify their request.
constexpr Duration kSettleTime = UpstreamConnectionPool::kSettleTime;

}  // namespace

UpstreamConnection::UpstreamConnection(EventLoop& loop, UpstreamConnectionPool& pool, Owner& owner,
                                       UpstreamHost& host, Socket socket)
    : loop_(loop),
      pool_(pool),
      owner_(owner),
      host_(host),
      address_version_(host.address_version),
      stream_(loop, std::move(socket), this, true) {
  stream_.set_max_unread_bytes(kMaxUnparsedBytes);
}

UpstreamConnection::~UpstreamConnection() {
  CancelTimers();
}

bool UpstreamConnection::Open() {
  if (!stream_.Start()) {
    return false;
  }
  connect_timer_ = loop_.RunAfter(pool_.options().connect_timeout, [this] {
    connect_timer_ = {};
    Finish(Outcome::kConnectFailed);
  });
  return true;
}

void UpstreamConnection::Start(std::unique_ptr<UpstreamTransaction> transaction) {
  transaction_ = std::move(transaction);
  parser_.Reset();
  response_memory_ = {};
  stream_.set_max_unread_bytes(kMaxUnparsedBytes);
  request_written_ = false;
  first_byte_received_ = false;
  StartDeadlineTimer(WriteDeadline());
  if (stream_.connected()) {
    WriteWhenSettled();
  }
}

std::unique_ptr<UpstreamTransaction> UpstreamConnection::TakeTransaction() {
  CancelTimers();
  return std::move(transaction_);
}

void UpstreamConnection::Shutdown() {
  CancelTimers();
  stream_.Close();
  request_writer_.reset();
  if (const auto body = std::exchange(response_body_, nullptr)) {
    body->OnTruncated();
  }
}

bool UpstreamConnection::IsReusable() const {
  return response_complete_ && IsConnectedToHost() && !stream_.ended() && !stream_.closed() &&
         stream_.flushed();
}

// The address of an endpoint that has left may belong to another process by now.
bool UpstreamConnection::IsConnectedToHost() const {
  return host_.listed && address_version_ == host_.address_version;
}

void UpstreamConnection::Finish(Outcome outcome) {
  owner_.OnTransactionFinished(*this, outcome, std::nullopt, nullptr);
}

// Any endpoint may send malformed responses; they say little about the state of this one.
void UpstreamConnection::FinishMalformed(ResponseCut cut) {
  LogResponseCut(cut);
  ++GlobalCounters().upstream_malformed;
  Finish(request_written_ ? Outcome::kInvalidResponse : Outcome::kConnectFailed);
}

void UpstreamConnection::LogResponseCut(ResponseCut cut) {
  const bool is_probe = transaction_ && transaction_->is_probe();
  if (!first_byte_received_ || is_probe) {
    return;
  }
  const Time now = loop_.Now();
  Log(LogLevel::kInfo,
      "response truncated: {}; request {}, host {}, {} bytes forwarded, {} bytes buffered, first "
      "byte "
      "{:.0f} ms ago, last byte {:.0f} ms ago",
      ToText(cut), transaction_ ? transaction_->request->id() : streamed_request_id_,
      host_.endpoint, forwarded_bytes_, stream_.input().size(),
      ToMilliseconds(now - first_byte_at_), ToMilliseconds(now - last_byte_at_));
}

void UpstreamConnection::ReturnToPool() {
  stream_.set_min_read_bytes(kMinReadBytes);
  pool_.Release(*this);
}

// ---- Writing --------------------------------------------------------------------------------

void UpstreamConnection::OnConnected() {
  loop_.CancelTimer(connect_timer_);
  if (!transaction_) {
    return;
  }
  if (!IsConnectedToHost()) {
    return owner_.OnConnectionUnusable(*this);
  }
  WriteRequest();
}

void UpstreamConnection::WriteWhenSettled() {
  const std::optional<Duration> idle_time = pool_state_.idle_before_use;
  if (!idle_time || *idle_time >= kSettleTime) {
    return WriteRequest();
  }
  settle_timer_ = loop_.RunAfter(kSettleTime - *idle_time, [this] {
    settle_timer_ = {};
    if (transaction_->is_probe()) {
      transaction_->started_at = loop_.Now();  // exclude the wait from the measured round-trip time
    }
    if (stream_.IsIdle() && IsConnectedToHost()) {
      WriteRequest();
    } else {
      owner_.OnConnectionUnusable(*this);
    }
  });
}

void UpstreamConnection::WriteRequest() {
  if (transaction_->is_probe()) {
    return WriteProbe();
  }
  // The request may have ended or its deadline passed during the connect.
  if (transaction_->request->done() || loop_.Now() >= WriteDeadline()) {
    return Finish(Outcome::kNotSent);
  }
  const BufferedMessage& request = transaction_->request->message();
  if (request.streaming_body) {
    return WriteStreamedRequest(request);
  }
  stream_.Write(RequestHead(request, transaction_->deadline - loop_.Now()), transaction_->request,
                request.body());
}

void UpstreamConnection::WriteProbe() {
  const std::string_view path = pool_.options().reports_in_probes ? "/_load" : "/ping";
  stream_.Write(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", path, ToText(host_.address)));
}

void UpstreamConnection::WriteStreamedRequest(const BufferedMessage& request) {
  const bool chunked = !request.streaming_body->length();
  request_writer_ = std::make_unique<BodyWriter>(stream_, request.streaming_body, chunked, false,
                                                 [this](bool complete) {
                                                   // If the body is incomplete, the downstream side
                                                   // reports that the client disconnected, which
                                                   // ends the attempt.
                                                   if (complete) {
                                                     OnRequestBodyWritten();
                                                   }
                                                 });
  stream_.Write(RequestHead(request, transaction_->deadline - loop_.Now()));
}

void UpstreamConnection::OnRequestBodyWritten() {
  // The writer may be the caller, so it is destroyed later.
  loop_.RunDeferred([retained = std::shared_ptr<BodyWriter>(std::move(request_writer_))] {});
  request_written_ = true;
  transaction_->started_at = loop_.Now();
  transaction_->deadline = transaction_->request->deadline();
  StartDeadlineTimer(transaction_->deadline);
}

void UpstreamConnection::OnWriteComplete() {
  if (request_writer_) {
    return request_writer_->Resume();
  }
  request_written_ = true;
  if (transaction_ && WriteDeadline() < transaction_->deadline) {
    StartDeadlineTimer(transaction_->deadline);
  }
}

bool UpstreamConnection::IsRequestStreamed() const {
  return !transaction_->is_probe() && transaction_->request->message().streaming_body != nullptr;
}

// The time by which the last byte of the request must be written. A retry with an idempotency key
// must be written within the connect timeout: later, endpoints may have forgotten the key and would
// execute the request again. A streamed request is retried only if no endpoint has got any of it.
Time UpstreamConnection::WriteDeadline() const {
  const UpstreamTransaction& transaction = *transaction_;
  const bool is_streamed = IsRequestStreamed();
  const bool is_keyed_retry =
      !transaction.is_probe() && !is_streamed && transaction.attempt > 0 &&
      transaction.request->request_class().idempotency == Idempotency::kKeyed;
  if (is_streamed) {
    return transaction.request->deadline();
  }
  if (!is_keyed_retry) {
    return transaction.deadline;
  }
  return std::min(transaction.deadline, transaction.started_at + pool_.options().connect_timeout);
}

// ---- Reading --------------------------------------------------------------------------------

void UpstreamConnection::OnData() {
  if (response_body_) {
    last_byte_at_ = loop_.Now();
    StartDownloadPauseTimer();
    return response_body_->OnDataAvailable();
  }
  if (!transaction_) {  // idle: the endpoint closes the connection or sends unsolicited data
    ++GlobalCounters().upstream_idle_lost;
    return pool_.Close(*this);
  }
  if (settle_timer_.number != 0) {
    return owner_.OnConnectionUnusable(*this);
  }
  RecordFirstByte();
  ReadResponse();
}

void UpstreamConnection::RecordFirstByte() {
  last_byte_at_ = loop_.Now();
  if (first_byte_received_ || stream_.input().empty()) {
    return;
  }
  first_byte_received_ = true;
  first_byte_at_ = last_byte_at_;
  forwarded_bytes_ = 0;
  if (pool_state_.idle_before_use) {
    pool_.RecordReuse(*pool_state_.idle_before_use, false);
  }
}

void UpstreamConnection::ReadResponse() {
  const ParseProgress progress = parser_.Feed(stream_.input());
  if (progress == ParseProgress::kMalformed) {
    return FinishMalformed(ResponseCut::kHostMalformed);
  }
  CommitStreamedResponse();
  if (progress == ParseProgress::kDone) {
    return FinishResponse();
  }
  if (stream_.ended() && parser_.EndsWithConnection(stream_.input())) {
    return FinishResponse();
  }
  if (stream_.ended()) {
    return OnError();
  }
  if (ShouldStreamResponse()) {
    return StartStreamedResponse();
  }
  StartHoldTimer();
}

// Once a response of a streamed class has started, it is passed to the client and the deadline no
// longer applies.
void UpstreamConnection::CommitStreamedResponse() {
  UpstreamTransaction& transaction = *transaction_;
  if (transaction.is_probe() || transaction.response_started ||
      !transaction.request->request_class().is_streamed) {
    return;
  }
  if (parser_.message().body.at == 0 || parser_.message().status != 200) {
    return;
  }
  if (!transaction.request->CommitTo(transaction.attempt)) {
    return;  // the response of another attempt has started earlier
  }
  transaction.response_started = true;
  loop_.CancelTimer(deadline_timer_);
  owner_.OnResponseStarted(transaction);
}

void UpstreamConnection::FinishResponse() {
  auto response = std::make_shared<BufferedMessage>();
  response->message = parser_.message();
  response->bytes = stream_.input().TakeFront(response->message.total_bytes);
  response->memory = std::move(response_memory_);
  // Bytes after the response belong to no request, so responses can no longer be matched to
  // requests on this connection.
  response_complete_ = response->message.keep_alive && request_written_ && stream_.input().empty();
  const Outcome outcome = OutcomeOf(*response);
  std::optional<LoadReport> report = LoadReportOf(*response, outcome);
  const bool forward_response = outcome == Outcome::kOk || outcome == Outcome::kInvalidResponse;
  owner_.OnTransactionFinished(*this, outcome, std::move(report),
                               forward_response ? std::move(response) : nullptr);
}

// Whether the body is too large to be buffered, or there is no memory left for it, and enough of it
// has been received.
bool UpstreamConnection::ShouldStreamResponse() {
  if (!parser_.head_done()) {
    return false;
  }
  const auto length = parser_.body_length();
  if (length && *length <= kMaxBufferedBodyBytes &&
      ReserveResponseBuffer(static_cast<size_t>(*length))) {
    return false;
  }
  return parser_.body_bytes_received(stream_.input()) >=
         (length ? kMinStreamedBytes : kMinStreamedBytesUnknownLength);
}

// Whether an incomplete response is a long one.
bool UpstreamConnection::IsLongResponse() const {
  if (transaction_->is_probe() || !request_written_ || !parser_.head_done()) {
    return false;
  }
  const auto length = parser_.body_length();
  return !length || *length > kMaxBufferedBodyBytes;
}

// Whether the response, which is incomplete at its deadline or has been held for long, is a long
// one that its endpoint is still writing. Its client has to get the first bytes in time, and the
// rest as it comes.
bool UpstreamConnection::CanStreamWhenDue() {
  return IsLongResponse() &&
         parser_.body_bytes_received(stream_.input()) >= kMinStreamedBytesWhenDue;
}

// Reserves memory for the response on the first call. Returns false if too little is left.
bool UpstreamConnection::ReserveResponseBuffer(size_t body_bytes) {
  if (response_memory_.bytes() > 0) {
    return true;
  }
  auto memory = pool_.response_budget().Reserve(kMaxHeadBytes + body_bytes);
  if (!memory) {
    return false;
  }
  response_memory_ = std::move(*memory);
  stream_.set_max_unread_bytes(kMaxUnreadBytes);
  ResumeReadingAfterRound();
  return true;
}

void UpstreamConnection::StartStreamedResponse() {
  auto response = std::make_shared<BufferedMessage>();
  const auto length = parser_.body_length();
  response->message = parser_.TakeHead(stream_.input(), response->bytes);
  const Outcome outcome = OutcomeOf(*response);
  auto report = LoadReportOf(*response, outcome);
  // Only the head of a response that is not forwarded is needed; the connection closes.
  if (outcome != Outcome::kOk || transaction_->is_probe()) {
    return owner_.OnTransactionFinished(*this, outcome, std::move(report), nullptr);
  }
  response_body_ = response->streaming_body = std::make_shared<StreamingBody>(
      length, [this](Buffer& piece) { return ReadBodyPiece(piece); },
      [this] {
        response_body_ = nullptr;
        pool_.Close(*this);
      });
  LimitReadAhead(*response_body_);
  CancelTimers();
  response_deadline_ = transaction_->deadline;
  has_streamed_class_ = transaction_->request->request_class().is_streamed;
  StartDownloadPauseTimer();
  request_writer_.reset();  // the endpoint may respond before it has read the whole request
  const auto body = response_body_;
  auto transaction = std::move(transaction_);
  streamed_request_id_ = transaction->request->id();
  ++GlobalCounters().responses_streamed;
  owner_.OnStreamedResponse(std::move(transaction), outcome, std::move(report),
                            std::move(response));
  if (!body->has_writer()) {
    LogResponseCut(ResponseCut::kRequestFinished);
    body->Cancel();
  }
}

// Reserves memory for the pieces of a streamed response. If too little is left, the response is
// read in small pieces instead.
void UpstreamConnection::LimitReadAhead(StreamingBody& body) {
  size_t piece_bytes = kMaxUncountedPieceBytes;
  if (auto memory = pool_.response_budget().Reserve(kStreamingBodyBytes)) {
    body.HoldMemory(std::move(*memory));
    piece_bytes = kMaxPieceBytes;
  }
  stream_.set_max_unread_bytes(piece_bytes);
  stream_.set_min_read_bytes(piece_bytes);
}

ParseProgress UpstreamConnection::ReadBodyPiece(Buffer& piece) {
  ParseProgress progress = parser_.TakeBody(stream_.input(), piece, stream_.ended());
  forwarded_bytes_ += piece.size();
  if (host_connection_lost_ && progress == ParseProgress::kNeedMore && piece.empty()) {
    progress = ParseProgress::kMalformed;  // all received bytes have been forwarded
  }
  if (progress == ParseProgress::kNeedMore) {
    ResumeReadingAfterRound();
  } else {
    OnResponseBodyRead(progress);
  }
  return progress;
}

void UpstreamConnection::OnResponseBodyRead(ParseProgress progress) {
  loop_.CancelTimer(pause_timer_);
  response_body_ = nullptr;
  if (progress == ParseProgress::kMalformed) {
    ++GlobalCounters().bodies_truncated;
    Log(LogLevel::kInfo, "response body truncated: host {} sent an incomplete or malformed body",
        host_.endpoint);
    LogResponseCut(HasHostEnded() ? ResponseCut::kHostClosed : ResponseCut::kHostMalformed);
  }
  response_complete_ = progress == ParseProgress::kDone && !host_connection_lost_ &&
                       parser_.message().keep_alive && request_written_ && stream_.input().empty();
  if (IsReusable()) {
    ReturnToPool();
  } else {
    pool_.Close(*this);
  }
}

// Deferred, because new bytes are reported to the body writer, which may be the caller.
void UpstreamConnection::ResumeReadingAfterRound() {
  if (!stream_.readable() && !HasHostEnded()) {
    return;
  }
  loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
    if (alive.expired() || stream_.closed()) {
      return;
    }
    // The stream reports the end once, possibly together with the last bytes.
    if (HasHostEnded() && response_body_) {
      return response_body_->OnDataAvailable();
    }
    stream_.ResumeReading();
  });
}

// An endpoint executes a request only after its last byte. A success before that is the response to
// another request, and this request is never executed. Rejections may arrive earlier, and so may
// responses to streamed requests.
Outcome UpstreamConnection::OutcomeOf(const BufferedMessage& response) const {
  const Outcome outcome = OutcomeOfResponse(response.message, response.bytes.view());
  const bool is_buffered = !transaction_->is_probe() && !IsRequestStreamed();
  if (request_written_ || !is_buffered || outcome != Outcome::kOk) {
    return outcome;
  }
  ++GlobalCounters().upstream_malformed;
  return Outcome::kNotSent;
}

std::optional<LoadReport> UpstreamConnection::LoadReportOf(const BufferedMessage& response,
                                                           Outcome outcome) const {
  const UpstreamOptions& options = pool_.options();
  std::optional<std::string_view> text;
  if (options.reports_in_responses) {
    text = response.message.FindHeader(response.bytes.view(), "X-Load-Report");
  }
  if (transaction_->is_probe() && options.reports_in_probes && outcome == Outcome::kOk) {
    text = response.body();
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

void UpstreamConnection::OnError() {
  if (response_body_ && !stream_.input().empty()) {
    // Bytes received before the connection was lost have not been forwarded yet, because the client
    // reads slowly. They may be the rest of the body.
    host_connection_lost_ = true;
    loop_.CancelTimer(pause_timer_);
    return response_body_->OnDataAvailable();
  }
  if (response_body_) {
    ++GlobalCounters().bodies_truncated;
    Log(LogLevel::kInfo, "response body truncated: host {} closed the connection", host_.endpoint);
    LogResponseCut(ResponseCut::kHostClosed);
    return pool_.Close(*this);
  }
  if (!transaction_) {
    ++GlobalCounters().upstream_idle_lost;
    return pool_.Close(*this);
  }
  const bool connected = stream_.connected();
  if (connected && !first_byte_received_ && pool_state_.idle_before_use) {
    pool_.RecordReuse(*pool_state_.idle_before_use, true);
    const bool can_send_again = transaction_->is_probe() || !transaction_->request->body_consumed();
    if (!request_written_ && can_send_again) {
      return owner_.OnConnectionUnusable(*this);
    }
  }
  LogResponseCut(ResponseCut::kHostClosed);
  if (request_written_) {
    return Finish(Outcome::kReset);
  }
  // If the connection breaks before the request is written in full, that is no evidence against the
  // endpoint.
  Finish(connected ? Outcome::kNotSent : Outcome::kConnectFailed);
}

// ---- Timeouts -------------------------------------------------------------------------------

void UpstreamConnection::StartDeadlineTimer(Time deadline) {
  loop_.CancelTimer(deadline_timer_);
  deadline_timer_ = loop_.RunAfter(deadline - loop_.Now(), [this] {
    deadline_timer_ = {};
    OnDeadline();
  });
}

void UpstreamConnection::OnDeadline() {
  if (IsRequestStreamed() && !request_written_ && WriteDeadline() > loop_.Now()) {
    return StartDeadlineTimer(WriteDeadline());  // the client was still sending
  }
  if (CanStreamWhenDue()) {
    return StartStreamedResponse();
  }
  if (request_written_) {
    LogResponseCut(ResponseCut::kDeadline);
    return Finish(Outcome::kTimeout);
  }
  // The request was not sent. This counts against the endpoint only if the connect used its full
  // timeout, or if an established connection accepted no bytes.
  const bool endpoint_at_fault = stream_.connected() || loop_.Now() - transaction_->started_at >=
                                                            pool_.options().connect_timeout;
  Finish(endpoint_at_fault ? Outcome::kConnectFailed : Outcome::kNotSent);
}

void UpstreamConnection::StartPauseTimer(Duration limit, std::function<void()> callback) {
  loop_.CancelTimer(pause_timer_);
  pause_timer_ = loop_.RunAfter(limit, [this, callback = std::move(callback)] {
    pause_timer_ = {};
    callback();
  });
}

// While a long response is held back.
void UpstreamConnection::StartHoldTimer() {
  if (pause_timer_.number != 0 || !IsLongResponse()) {
    return;
  }
  StartPauseTimer(kMaxHoldTime, [this] {
    if (CanStreamWhenDue()) {
      return StartStreamedResponse();
    }
    StartHoldTimer();
  });
}

// While a response is streamed.
void UpstreamConnection::StartDownloadPauseTimer() {
  const Duration limit = has_streamed_class_
                             ? kStreamedClassPauseLimit
                             : std::max(kResponsePauseLimit, response_deadline_ - loop_.Now());
  StartPauseTimer(limit, [this] {
    if (!response_body_) {
      return;
    }
    if (!stream_.input().empty()) {
      return StartDownloadPauseTimer();  // the client is slow, not the endpoint
    }
    ++GlobalCounters().bodies_truncated;
    Log(LogLevel::kInfo, "response body truncated: host {} stopped sending data", host_.endpoint);
    LogResponseCut(ResponseCut::kHostPaused);
    pool_.Close(*this);
  });
}

void UpstreamConnection::CancelTimers() {
  loop_.CancelTimer(deadline_timer_);
  loop_.CancelTimer(connect_timer_);
  loop_.CancelTimer(pause_timer_);
  loop_.CancelTimer(settle_timer_);
}

}  // namespace paddlestile
