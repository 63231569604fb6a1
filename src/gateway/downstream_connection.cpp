#include "gateway/downstream_connection.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/downstream_connections.h"
#include "gateway/response_head.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time limit for receiving a complete request. It starts at the connect for the first request, and
// at the first byte for later ones. Further bytes do not extend it; otherwise a client could hold a
// descriptor indefinitely by sending one byte at a time.
constexpr Duration kRequestTimeout = milliseconds(2'500);
// Time limit for the client to read any more of a response.
constexpr Duration kWriteTimeout = seconds(10);
constexpr Duration kUploadCheckInterval = milliseconds(250);
// Clients keep connections open that they do not reuse, and open some that they never use.
constexpr Duration kIdleTimeout = seconds(2);       // between two requests
constexpr Duration kFirstByteTimeout = seconds(1);  // after the connect
constexpr Duration kLingerTimeout = seconds(1);     // for the client to read the last response
constexpr Duration kUnreadRecheckInterval = milliseconds(5);  // a request has arrived but is unread
constexpr size_t kMinReadBytes = 2048;                        // most requests are short
// Number of body bytes to receive before a streamed request is dispatched and uses an upstream
// connection.
constexpr size_t kMinStreamedBytes = 16'384;
// Maximum that is read ahead of a request: until its head and the start of its body have been
// received, and while the previous request is in progress.
constexpr size_t kMaxUnparsedBytes = kMaxHeadBytes + kMinStreamedBytes;
constexpr size_t kMaxPipelinedBytes = 4096;
// Maximum that the kernels of both sides hold of a body. While more of it is missing, its client
// cannot have sent the last byte.
constexpr size_t kMaxBytesInKernels = 16U << 20;
// The memory of smaller requests is bounded by the number of connections.
constexpr size_t kMaxUncountedBytes = 5120;

}  // namespace

DownstreamConnection::DownstreamConnection(EventLoop& loop, DownstreamConnections& owner,
                                           Socket socket)
    : owner_(owner), loop_(loop), stream_(loop, std::move(socket), this, false) {
  stream_.set_max_unread_bytes(kMaxUnparsedBytes);
}

DownstreamConnection::~DownstreamConnection() {
  loop_.CancelTimer(timer_);
}

bool DownstreamConnection::Start() {
  if (!stream_.Start()) {
    return false;
  }
  opened_at_ = loop_.Now();
  SetTimer(kFirstByteTimeout, [this] { OnReadTimeout(); });
  owner_.MarkUnused(*this);
  return true;
}

void DownstreamConnection::Shutdown() {
  loop_.CancelTimer(timer_);
  owner_.MarkActive(*this);
  memory_ = {};
  TruncateBody();
  AbandonRequest();
  response_writer_.reset();
  stream_.Close();
}

void DownstreamConnection::StopReadingAhead() {
  if (state_ == State::kWaiting || state_ == State::kWriting) {
    stream_.set_max_unread_bytes(0);
  }
}

bool DownstreamConnection::HasUnfinishedWork() {
  const bool buffered = !stream_.input().empty() && !parser_.begun();
  return state_ != State::kReading || buffered || stream_.HasUnreadBytes();
}

void DownstreamConnection::OnData() {
  if (state_ == State::kReading) {
    ReadRequest();
  }
  if (state_ == State::kUploading && request_body_ && !stream_.hung_up()) {
    request_body_->OnDataAvailable();
    return;
  }
  CloseIfClientDisconnected();
}

void DownstreamConnection::OnError() {
  LogResponseCut(ResponseCut::kClientReset);
  owner_.Close(*this);
}

// ---- Reading a request ----------------------------------------------------------------------

// Treats a client that has closed its sending side as disconnected, because clients do this only
// when they disconnect. While a request is in progress, the end of the stream counts even if more
// of the request, or pipelined requests, are still unread.
void DownstreamConnection::CloseIfClientDisconnected() {
  if (stream_.closed() || state_ == State::kReading) {
    return;
  }
  const bool is_request_in_progress = state_ != State::kLingering;
  if (stream_.ended() || (is_request_in_progress && stream_.hung_up())) {
    LogResponseCut(ResponseCut::kClientClosed);
    owner_.Close(*this);
  }
}

void DownstreamConnection::ReadRequest() {
  if (stream_.input().empty()) {
    if (stream_.ended()) {
      owner_.Close(*this);
    }
    return;
  }
  owner_.MarkActive(*this);
  if (!parser_.begun()) {
    StartRequestTimer();
  }
  received_any_bytes_ = true;
  const ParseProgress progress = parser_.Feed(stream_.input());
  if (progress == ParseProgress::kMalformed) {
    return RejectMalformed(parser_.error_status(), "malformed request");
  }
  if (!ReserveInput()) {
    return RejectForMemory();
  }
  if (progress == ParseProgress::kDone) {
    return FinishBufferedRequest();
  }
  if (stream_.ended()) {
    return owner_.Close(*this);  // in the middle of a request
  }
  SendContinueIfExpected();
  if (parser_.head_done()) {
    OnBodyBytes();
  }
}

void DownstreamConnection::StartRequestTimer() {
  request_started_at_ = received_any_bytes_ ? loop_.Now() : opened_at_;
  const Duration elapsed = received_any_bytes_ ? Duration(0) : loop_.Now() - opened_at_;
  SetTimer(kRequestTimeout - elapsed, [this] { OnReadTimeout(); });
}

void DownstreamConnection::SendContinueIfExpected() {
  const HttpMessage& message = parser_.message();
  if (continue_handled_ || message.body.at == 0) {
    return;
  }
  continue_handled_ = true;
  if (HeaderNamesEqual(message.FindHeader(stream_.input().view(), "Expect").value_or(""),
                       "100-continue")) {
    stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

// Once the body is known to be large, decides whether it is buffered or streamed.
void DownstreamConnection::OnBodyBytes() {
  if (!upload_.started()) {
    const Time now = loop_.Now();
    upload_.Start(now);
    SetTimer(std::max(kRequestTimeout - (now - request_started_at_), kUploadCheckInterval),
             [this] { CheckUploadRate(); });
  }
  const size_t received_bytes = parser_.body_bytes_received(stream_.input());
  upload_.SetReceived(received_bytes, loop_.Now());
  const auto length = parser_.body_length();
  const bool is_small =
      length ? *length <= kMaxBufferedBodyBytes : received_bytes < kMaxBufferedBodyBytes;
  if (is_small) {
    return AllowUnread(kMaxHeadBytes + kMaxBufferedBodyBytes);
  }
  if (!ReserveBodyBuffer() && received_bytes >= kMinStreamedBytes) {
    StartStreamedRequest();
  }
}

// Reserves memory for what has been received of the request. Returns false if too little is left.
bool DownstreamConnection::ReserveInput() {
  const size_t bytes = stream_.input().capacity() + parser_.message().HeaderListBytes();
  return bytes <= kMaxUncountedBytes || buffers_large_body_ ||
         owner_.request_budget().Enlarge(memory_, bytes);
}

// Whether the large body is buffered. Reserves the memory for it on the first call.
bool DownstreamConnection::ReserveBodyBuffer() {
  if (buffers_large_body_) {
    return true;
  }
  const auto length = parser_.body_length();
  if (!length) {
    return false;
  }
  auto memory = owner_.ReserveBodyBuffer(static_cast<size_t>(*length));
  if (!memory) {
    return false;
  }
  memory_ = std::move(*memory);
  buffers_large_body_ = true;
  stream_.set_min_read_bytes(kMaxPieceBytes);
  AllowUnread(kMaxHeadBytes + memory_.bytes());
  return true;
}

// Raises the limit up to which the request is read.
void DownstreamConnection::AllowUnread(size_t bytes) {
  stream_.set_max_unread_bytes(bytes);
  if (!stream_.readable()) {
    return;
  }
  // Bytes left unread because of the previous limit have already been reported and would not be
  // reported again.
  loop_.RunAfterRound([self = shared_from_this()] {
    if (!self->stream_.closed()) {
      self->stream_.ResumeReading();
    }
  });
}

void DownstreamConnection::FinishBufferedRequest() {
  loop_.CancelTimer(timer_);
  BufferedMessage request;
  request.message = parser_.message();
  request.bytes = stream_.input().TakeFront(request.message.total_bytes);
  request.memory = std::move(memory_);
  ResetForNextRequest();
  is_http10_ = request.message.is_http10;
  keep_alive_ = request.message.keep_alive;
  state_ = State::kWaiting;
  request_fully_read_ = true;
  Dispatch(std::move(request));
}

void DownstreamConnection::ResetForNextRequest() {
  parser_.Reset();
  memory_ = {};
  buffers_large_body_ = false;
  stream_.set_max_unread_bytes(owner_.reads_ahead() ? kMaxPipelinedBytes : 0);
  stream_.set_min_read_bytes(kMinReadBytes);
  continue_handled_ = false;
  upload_.Reset();
}

void DownstreamConnection::Dispatch(BufferedMessage request) {
  const std::string_view buffer = request.bytes.view();
  if (request.message.target.In(buffer) == "/_health") {
    ++GlobalCounters().health_checks;
    return SendResponse({.status = owner_.lifecycle().healthy() ? 200 : 503});
  }
  const Time arrived_at = stream_.ArrivalOf(stream_.input().size());
  AdmissionResult admission = owner_.listener().OnRequest(
      std::move(request), arrived_at, [this](const Response& response) { SendResponse(response); });
  if (admission.request) {
    request_ = std::move(admission.request);
    return;
  }
  ++GlobalCounters().requests_malformed;
  Log(LogLevel::kInfo, "request rejected with status {}: {}", admission.error_status,
      admission.reason);
  // Closes the connection, because hundreds of further invalid requests may follow on it.
  keep_alive_ = keep_alive_ && admission.error_status >= 500;
  SendResponse({.status = admission.error_status, .reason = admission.reason + '\n'});
}

// ---- Requests with a streamed body ----------------------------------------------------------

void DownstreamConnection::StartStreamedRequest() {
  MemoryBudget& budget = owner_.request_budget();
  BufferedMessage request;
  const size_t head_bytes = parser_.message().body.at + parser_.message().HeaderListBytes();
  const bool is_head_reserved =
      head_bytes <= kMaxUncountedBytes || budget.Enlarge(request.memory, head_bytes);
  if (!is_head_reserved || !budget.Enlarge(memory_, kStreamingBodyBytes)) {
    return RejectForMemory();
  }
  const auto length = parser_.body_length();
  request.message = parser_.TakeHead(stream_.input(), request.bytes);
  stream_.set_max_unread_bytes(kMaxPieceBytes);
  stream_.set_min_read_bytes(kMaxPieceBytes);
  ++GlobalCounters().requests_streamed;
  request_body_ = request.streaming_body = std::make_shared<StreamingBody>(
      length, [this](Buffer& piece) { return ReadBodyPiece(piece); }, nullptr);
  request_body_->HoldMemory(std::move(memory_));
  request_body_->SetEarliestEnd([this] { return EarliestEndOfBody(); });
  is_http10_ = request.message.is_http10;
  keep_alive_ = request.message.keep_alive;
  state_ = State::kUploading;
  request_fully_read_ = false;
  Dispatch(std::move(request));
}

ParseProgress DownstreamConnection::ReadBodyPiece(Buffer& piece) {
  const ParseProgress progress = parser_.TakeBody(stream_.input(), piece, stream_.ended());
  upload_.AddReceived(piece.size(), loop_.Now());
  if (progress == ParseProgress::kNeedMore) {
    ResumeReadingAfterRound();
    return progress;
  }
  request_body_ = nullptr;
  if (progress == ParseProgress::kMalformed) {
    const int status = parser_.error_status();
    loop_.RunDeferred([self = shared_from_this(), status] {
      if (!self->stream_.closed()) {
        self->AbortStreamedRequest(status, "malformed request");
      }
    });
    return progress;
  }
  FinishStreamedRequest();
  return progress;
}

// Deferred, because new bytes are reported to the body writer, which may be the caller.
void DownstreamConnection::ResumeReadingAfterRound() {
  if (!stream_.readable()) {
    return;
  }
  loop_.RunAfterRound([self = shared_from_this()] {
    if (!self->stream_.closed() && self->state_ == State::kUploading) {
      self->stream_.ResumeReading();
    }
  });
}

// The client's time begins with the last byte that it sends. While the gateway itself does not
// read, because it waits for a host, the client may have sent that byte long before it is read.
Time DownstreamConnection::EarliestEndOfBody() const {
  const bool is_client_awaited =
      stream_.awaits_peer() || parser_.body_bytes_left() > kMaxBytesInKernels;
  return is_client_awaited ? loop_.Now() : stream_.newest_arrival();
}

void DownstreamConnection::FinishStreamedRequest() {
  loop_.CancelTimer(timer_);
  if (request_) {
    const Time sent_at = stream_.ArrivalOf(stream_.input().size());
    request_->set_deadline(sent_at + request_->client_timeout());
  }
  ResetForNextRequest();
  state_ = State::kWaiting;
  request_fully_read_ = true;
}

void DownstreamConnection::AbortStreamedRequest(int status, std::string_view reason) {
  TruncateBody();
  AbandonRequest();
  RejectMalformed(status, reason);
}

void DownstreamConnection::AbandonRequest() {
  const auto request = std::exchange(request_, nullptr);
  if (request && !request->done()) {
    request->Abandon();
    owner_.listener().OnClientDisconnected(request);
  }
}

void DownstreamConnection::TruncateBody() {
  if (const auto body = std::exchange(request_body_, nullptr)) {
    body->OnTruncated();
  }
}

// ---- Timeouts -------------------------------------------------------------------------------

void DownstreamConnection::OnReadTimeout() {
  if (parser_.begun()) {
    return RejectMalformed(408, "request too slow");
  }
  if (stream_.IsIdle()) {
    return owner_.Close(*this);
  }
  SetTimer(kUnreadRecheckInterval, [this] { OnReadTimeout(); });
}

void DownstreamConnection::CheckUploadRate() {
  const Time now = loop_.Now();
  const bool waiting_for_gateway = state_ == State::kUploading && !stream_.input().empty();
  if (waiting_for_gateway) {
    upload_.ExcludeGatewayDelay(now);
  } else if (upload_.IsTooSlow(now)) {
    return OnUploadTooSlow();
  }
  SetTimer(kUploadCheckInterval, [this] { CheckUploadRate(); });
}

void DownstreamConnection::OnUploadTooSlow() {
  ++GlobalCounters().bodies_truncated;
  if (state_ == State::kReading) {
    return RejectMalformed(408, "request too slow");
  }
  Log(LogLevel::kInfo, "request body truncated: request {} arrived too slowly",
      request_ ? request_->id() : "");
  AbortStreamedRequest(408, "request too slow");
}

void DownstreamConnection::SetTimer(Duration delay, std::function<void()> callback) {
  loop_.CancelTimer(timer_);
  timer_ = loop_.RunAfter(delay, [this, callback = std::move(callback)] {
    timer_ = {};
    callback();
  });
}

// The kernel may hold so much of a response that nothing can be written to it for a long time,
// while the client reads slowly but steadily.
void DownstreamConnection::StartWriteTimer() {
  SetTimer(kWriteTimeout, [this, delivered_bytes = stream_.delivered_bytes()] {
    if (stream_.delivered_bytes() > delivered_bytes) {
      return StartWriteTimer();
    }
    LogResponseCut(ResponseCut::kClientTooSlow);
    owner_.Close(*this);
  });
}

// ---- Responses ------------------------------------------------------------------------------

// After a framing error nothing more can be parsed on this connection.
void DownstreamConnection::RejectMalformed(int status, std::string_view reason) {
  ++GlobalCounters().requests_malformed;
  Log(LogLevel::kInfo, "request rejected with status {}: {}", status, reason);
  RejectUnread({.status = status, .reason = std::string(reason) + '\n'});
}

void DownstreamConnection::RejectForMemory() {
  ++GlobalCounters().requests_over_memory;
  RejectUnread({.status = 503, .retry_after = owner_.retry_after()});
}

// Responds without reading the rest of the request, and closes the connection.
void DownstreamConnection::RejectUnread(const Response& response) {
  state_ = State::kWaiting;
  keep_alive_ = false;
  request_fully_read_ = false;
  memory_ = {};
  stream_.input().Consume(stream_.input().size());
  SendResponse(response);
}

void DownstreamConnection::SendResponse(const Response& response) {
  response_request_id_ = request_ ? request_->id() : std::string();
  response_started_at_ = loop_.Now();
  request_ = nullptr;
  if (!PADDLESTILE_CHECK(state_ == State::kWaiting || state_ == State::kUploading)) {
    return;
  }
  // For an early response, the rest of the request body is no longer needed.
  if (request_body_) {
    TruncateBody();
    keep_alive_ = false;
  }
  state_ = State::kWriting;
  const auto& message = response.upstream_message;
  const auto body = message ? message->streaming_body : nullptr;
  const bool has_length = !body || body->length();
  keep_alive_ =
      keep_alive_ && (!owner_.draining() || HasRequestToAnswer()) && (has_length || !is_http10_);
  StartWriteTimer();
  if (body) {
    response_writer_ =
        std::make_unique<BodyWriter>(stream_, body, !has_length && !is_http10_, true,
                                     [this](bool complete) { OnResponseBodyFinished(complete); });
  }
  stream_.Write(ResponseHead(response, keep_alive_, is_http10_) + response.reason, message,
                message ? message->body() : std::string_view());
  if (response_writer_) {
    response_writer_->Resume();
  }
}

// Whether a request waits behind the current one that is lost if the connection closes: one that
// has been read, or may still be read.
bool DownstreamConnection::HasRequestToAnswer() {
  if (owner_.reads_ahead()) {
    return !stream_.input().empty() || stream_.HasUnreadBytes();
  }
  Buffer copy;
  copy.Append(stream_.input().view());
  HttpParser parser(HttpParser::Kind::kRequest, kMaxBodyBytes);
  return parser.Feed(copy) == ParseProgress::kDone;
}

void DownstreamConnection::LogResponseCut(ResponseCut cut) const {
  if (state_ != State::kWriting || (!response_writer_ && stream_.flushed())) {
    return;
  }
  Log(LogLevel::kInfo, "response truncated: {}; request {}, response started {:.0f} ms ago",
      ToText(cut), response_request_id_, ToMilliseconds(loop_.Now() - response_started_at_));
}

// Called when a streamed response has been written or the upstream side broke it off. In the latter
// case the connection is reset, so that the client can tell that the response is incomplete.
void DownstreamConnection::OnResponseBodyFinished(bool complete) {
  // The writer may be the caller, so it is destroyed later.
  loop_.RunDeferred([retained = std::shared_ptr<BodyWriter>(std::move(response_writer_))] {});
  if (complete) {
    return OnWriteComplete();
  }
  stream_.CloseByReset();
  loop_.RunDeferred([self = shared_from_this()] { self->owner_.Remove(*self); });
}

void DownstreamConnection::OnWriteComplete() {
  if (state_ != State::kWriting) {
    return;  // only "100 Continue" has been written
  }
  if (response_writer_) {
    StartWriteTimer();
    return response_writer_->Resume();
  }
  if (!keep_alive_) {
    return Linger();
  }
  loop_.CancelTimer(timer_);
  state_ = State::kReading;
  // If a pipelined request is already buffered, other connections are served first.
  if (stream_.input().empty() && !stream_.ended()) {
    loop_.RunDeferred([self = shared_from_this()] { self->StartNextRequest(); });
  } else {
    loop_.RunAfterRound([self = shared_from_this()] { self->StartNextRequest(); });
  }
}

// If the socket were closed with unread bytes, the kernel would reset the connection and the client
// could lose the response.
void DownstreamConnection::Linger() {
  state_ = State::kLingering;
  stream_.ShutdownWrite();
  if (request_fully_read_) {
    owner_.MarkLingering(*this);
  }
  SetTimer(kLingerTimeout, [this] { owner_.Close(*this); });
  loop_.RunAfterRound([self = shared_from_this()] {
    if (!self->stream_.closed()) {
      self->stream_.DiscardInput();
      self->memory_ = {};
    }
  });
}

void DownstreamConnection::StartNextRequest() {
  if (stream_.closed() || state_ != State::kReading) {
    return;
  }
  stream_.set_max_unread_bytes(kMaxUnparsedBytes);
  if (stream_.input().empty() && !stream_.ended()) {
    SetTimer(kIdleTimeout, [this] { OnReadTimeout(); });
    owner_.MarkIdle(*this);
    owner_.CloseIdleBeyondShare();
  } else {
    ReadRequest();
    CloseIfClientDisconnected();
  }
  stream_.ResumeReading();
}

}  // namespace paddlestile
