// One connection of a client: reads requests, hands each to the listener, writes the response.
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

// Owned by a DownstreamConnections, which closes it; tasks that were put off may keep the object
// alive for longer, with its stream closed. One request at a time: pipelined ones wait unread.
//
//   state        | what happens                               | left for
//   -------------+--------------------------------------------+---------------------------------
//   kReading     | between requests, or a request comes in    | kWaiting: it is complete or bad
//                |                                            | kUploading: its body streams
//   kUploading   | the body is passed on piece by piece       | kWaiting: it is complete
//                |                                            | kWriting: early response
//   kWaiting     | the request is with the listener           | kWriting: response
//   kWriting     | the response is written                    | kReading: keep-alive
//                |                                            | kLingering: else
//   kLingering   | write side shut; the client may still read | closed
//
// Any state ends with the connection when the stream fails, a time limit expires or the client
// leaves.
class DownstreamConnection final : public Stream::Listener,
                                   public std::enable_shared_from_this<DownstreamConnection> {
 public:
  // Where the owner keeps the connection; only the owner uses it.
  struct Registration {
    std::list<std::shared_ptr<DownstreamConnection>>::iterator position;
    std::list<DownstreamConnection*>* idle_list = nullptr;  // null: a request is in progress
    std::list<DownstreamConnection*>::iterator idle_position;
  };

  // `owner` must outlive every event of the connection, until its stream is closed.
  DownstreamConnection(EventLoop& loop, DownstreamConnections& owner, Socket socket);
  DownstreamConnection(const DownstreamConnection&) = delete;
  DownstreamConnection& operator=(const DownstreamConnection&) = delete;
  virtual ~DownstreamConnection();

  // Begins to read and to be watched; false where the kernel refuses.
  bool Start();
  // Ends the connection: abandons its request, gives back what it reserved, closes its stream. For
  // the owner, which forgets it then.
  void Shutdown();

  [[nodiscard]] Stream& stream() { return stream_; }
  [[nodiscard]] Time opened_at() const { return opened_at_; }
  [[nodiscard]] Registration& registration() { return registration_; }
  // Whether a close would cut something off: a request in progress, a response that its client has
  // not read yet, or a request that waits, unread or in the buffer.
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
  void CloseIfClientLeft();
  void ReadRequest();
  void StartRequestTimer();
  void SendContinueIfExpected();
  void OnBodyBytes();
  bool ReserveBodyBuffer();
  void ReleaseBodyBuffer();
  void FinishBufferedRequest();
  void ResetForNextRequest();
  void Dispatch(BufferedMessage request);

  // A request whose body streams.
  void StartStreamedRequest();
  ParseProgress ReadBodyPiece(Buffer& piece);
  void FinishStreamedRequest();
  void AbortStreamedRequest(int status, std::string_view reason);
  void AbandonRequest();
  void TruncateBody();
  void ResumeReadingAfterRound();

  // Time limits.
  void OnReadTimeout();
  void CheckUploadRate();
  void OnUploadTooSlow();
  void SetTimer(Duration delay, std::function<void()> callback);
  void StartWriteTimer();

  // Responses.
  void RejectMalformed(int status, std::string_view reason);
  void SendResponse(const Response& response);
  void OnResponseBodyFinished(bool complete);
  // Logs who cut off a response that is being written; else without effect.
  void LogCutResponse(ResponseCut cut) const;
  void StartNextRequest();
  void Linger();

  DownstreamConnections& owner_;
  EventLoop& loop_;  // may outlive the owner, as tasks that were put off may
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, kMaxBodyBytes};
  State state_ = State::kReading;
  bool keep_alive_ = true;            // of the present request: whether another may follow
  bool is_http10_ = false;            // the client of the present request knows no chunks
  bool continue_considered_ = false;  // "100 Continue" was sent, or is not expected
  bool request_whole_ = false;        // all of the present request has been read
  bool received_any_ = false;         // the client has sent its first byte
  std::shared_ptr<StreamingBody> request_body_;  // of a request that streams; else null
  std::unique_ptr<BodyWriter> response_writer_;  // of a response that streams; else null
  size_t reserved_bytes_ = 0;                    // of the owner's budget for large bodies
  Time request_started_at_{0};                   // first byte; of the first request, the connect
  UploadProgress upload_;                        // of the present request's body
  Time opened_at_{0};
  std::shared_ptr<ProxiedRequest> request_;  // with the listener, not responded to; else null
  std::string answered_request_id_;          // of the present response; empty: not known
  Time response_started_at_{0};
  EventLoop::TimerId timer_;  // the time limit of the present state
  Registration registration_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTION_H_
