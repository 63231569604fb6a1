// One client connection: reads requests, passes each to the listener, and writes the responses.
#ifndef PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTION_H_
#define PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "event/event_loop.h"
#include "event/memory_budget.h"
#include "event/socket.h"
#include "event/stream.h"
#include "gateway/request_listener.h"
#include "gateway/response_cut.h"
#include "gateway/upload_progress.h"
#include "http/http_parser.h"
#include "http/proxied_request.h"
#include "http/streaming_body.h"

namespace paddlestile {

class DownstreamConnections;

// Owned by a DownstreamConnections, which closes it. Deferred tasks may keep the object alive for
// longer, with its stream closed. Handles one request at a time; pipelined requests wait unread.
//
//   state        | activity                                   | next state
//   -------------+--------------------------------------------+---------------------------------
//   kReading     | between requests, or receiving a request   | kWaiting: complete or malformed
//                |                                            | kUploading: its body is streamed
//   kUploading   | the body is forwarded piece by piece       | kWaiting: it is complete
//                |                                            | kWriting: early response
//   kWaiting     | the listener processes the request         | kWriting: response
//   kWriting     | the response is being written              | kReading: keep-alive
//                |                                            | kLingering: otherwise
//   kLingering   | write side shut down; client may read      | closed
//
// In any state the connection closes when the stream fails, a timeout expires or the client
// disconnects.
class DownstreamConnection final : public Stream::Listener,
                                   public std::enable_shared_from_this<DownstreamConnection> {
 public:
  // The position of the connection in the owner's lists; used by the owner only.
  struct Registration {
    std::list<std::shared_ptr<DownstreamConnection>>::iterator position;
    std::list<DownstreamConnection*>* idle_list = nullptr;  // null while a request is in progress
    std::list<DownstreamConnection*>::iterator idle_position;
  };

  // `owner` must outlive every event of the connection, until its stream is closed.
  DownstreamConnection(EventLoop& loop, DownstreamConnections& owner, Socket socket);
  DownstreamConnection(const DownstreamConnection&) = delete;
  DownstreamConnection& operator=(const DownstreamConnection&) = delete;
  virtual ~DownstreamConnection();

  // Starts reading; returns false if the socket cannot be added to epoll.
  bool Start();
  // Abandons the current request, releases reserved memory and closes the stream. Called by the
  // owner, which then removes the connection.
  void Shutdown();

  // Leaves requests unread that arrive while another one is in progress. Called by the owner.
  void StopReadingAhead();

  [[nodiscard]] Stream& stream() { return stream_; }
  [[nodiscard]] Time opened_at() const { return opened_at_; }
  [[nodiscard]] Registration& registration() { return registration_; }
  // Whether closing would lose data: a request in progress, a response that the client has not read
  // yet, or a received request, buffered or still unread.
  [[nodiscard]] bool HasUnfinishedWork();

 private:
  enum class State {
    kReading,
    kUploading,
    kWaiting,
    kWriting,
    kLingering
  };

  void OnData() override;
  void OnWriteComplete() override;
  void OnError() override;

  // Reading a request.
  void CloseIfClientDisconnected();
  void ReadRequest();
  void StartRequestTimer();
  void SendContinueIfExpected();
  void OnBodyBytes();
  bool ReserveInput();
  bool ReserveBodyBuffer();
  void AllowUnread(size_t bytes);
  void FinishBufferedRequest();
  void ResetForNextRequest();
  void Dispatch(BufferedMessage request);

  // Requests with a streamed body.
  void StartStreamedRequest();
  ParseProgress ReadBodyPiece(Buffer& piece);
  [[nodiscard]] Time EarliestEndOfBody() const;
  void FinishStreamedRequest();
  void AbortStreamedRequest(int status, std::string_view reason);
  void AbandonRequest();
  void TruncateBody();
  void ResumeReadingAfterRound();

  // Timeouts.
  void OnReadTimeout();
  void CheckUploadRate();
  void OnUploadTooSlow();
  void SetTimer(Duration delay, std::function<void()> callback);
  void StartWriteTimer();

  // Responses.
  void RejectMalformed(int status, std::string_view reason);
  void RejectForMemory();
  void RejectUnread(const Response& response);
  void SendResponse(const Response& response);
  void OnResponseBodyFinished(bool complete);
  [[nodiscard]] bool HasRequestToAnswer();
  // Logs why a response that is being written ends early; otherwise no effect.
  void LogResponseCut(ResponseCut cut) const;
  void StartNextRequest();
  void Linger();

  DownstreamConnections& owner_;
  EventLoop& loop_;  // outlives `owner_`; deferred tasks may run after its destruction
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, kMaxBodyBytes};
  State state_ = State::kReading;
  bool keep_alive_ = true;  // whether the connection stays open after the current request
  bool is_http10_ = false;  // the client of the current request does not support chunked bodies
  bool continue_handled_ = false;                // "100 Continue" was sent or is not needed
  bool request_fully_read_ = false;              // the current request has been read in full
  bool received_any_bytes_ = false;              // the client has sent at least one byte
  std::shared_ptr<StreamingBody> request_body_;  // body of a streamed request; else null
  std::unique_ptr<BodyWriter> response_writer_;  // writer of a streamed response; else null
  MemoryBudget::Reservation memory_;             // for the request that is being received
  bool buffers_large_body_ = false;              // memory_ is for its whole body
  Time request_started_at_{0};  // time of its first byte; for the first request, of the connect
  UploadProgress upload_;       // of the current request's body
  Time opened_at_{0};
  std::shared_ptr<ProxiedRequest> request_;  // the request without a response; else null
  std::string response_request_id_;          // id of the request being responded to; may be empty
  Time response_started_at_{0};
  EventLoop::TimerId timer_;  // the timeout of the current state
  Registration registration_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTION_H_
