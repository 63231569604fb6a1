// One connection to an upstream endpoint: writes requests and reads their responses.
#ifndef PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_H_
#define PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "base/time.h"
#include "event/event_loop.h"
#include "event/memory_budget.h"
#include "event/socket.h"
#include "event/stream.h"
#include "gateway/response_cut.h"
#include "http/http_parser.h"
#include "http/proxied_request.h"
#include "http/streaming_body.h"

namespace paddlestile {

class UpstreamConnection;
class UpstreamConnectionPool;

struct UpstreamOptions {
  Duration connect_timeout{0};
  // Time after which endpoints close idle connections; the gateway closes them earlier. 0: not
  // known.
  Duration endpoint_idle_timeout{0};
  std::vector<std::string> report_fields;  // names of the fields of a load report
  bool reports_in_responses = false;       // responses have the header X-Load-Report
  bool reports_in_probes = false;          // responses to probes have a load report as their body
};

// An endpoint and its connections. Owned by the pool.
struct UpstreamHost {
  std::string endpoint;
  Address address;
  uint64_t address_version = 0;  // incremented with each change of the address
  bool listed = true;            // whether it is in the current endpoint list
  size_t connection_count = 0;
  std::vector<UpstreamConnection*> idle;  // most recently used last
};

// One attempt of a request, or one probe.
struct UpstreamTransaction {
  std::shared_ptr<ProxiedRequest> request;  // null: a probe
  size_t attempt = 0;                       // index of the attempt, starting at 0
  std::string endpoint;
  Time started_at{0};
  Time deadline{0};
  // For a streamed class: the response is already being passed to the client.
  bool response_started = false;
  [[nodiscard]] bool is_probe() const { return request == nullptr; }
};

// Owned by the pool, which frees it after the running handler has returned. Handles one transaction
// at a time:
//
//   phase      | activity                                   | next phase
//   -----------+--------------------------------------------+------------------------------------
//   connecting | TCP connect; a transaction waits           | writing
//   settling   | reused soon after a response; waits for an | writing; if one arrives, the request
//              | unexpected second response                 | moves to another connection
//   writing    | head and body are written                  | reading, possibly before all is sent
//   reading    | the response is parsed                     | idle or closed: response complete
//              |                                            | streaming: its body is large
//   streaming  | the transaction has been reported; the     | idle or closed
//              | body is forwarded piece by piece           |
//   idle       | in the pool                                | settling, writing, or closed
//
// Each transaction ends exactly once, with the owner's OnTransactionFinished or OnStreamedResponse,
// unless OnConnectionUnusable moves it to another connection.
class UpstreamConnection final : public Stream::Listener {
 public:
  class Owner {
   public:
    // The transaction has ended. `response` is to be forwarded to the client, or null.
    virtual void OnTransactionFinished(UpstreamConnection& connection, Outcome outcome,
                                       std::optional<LoadReport> report,
                                       std::shared_ptr<const BufferedMessage> response) = 0;
    // The head of a large response has been received; its body follows as
    // `response->streaming_body`.
    virtual void OnStreamedResponse(std::unique_ptr<UpstreamTransaction> transaction,
                                    Outcome outcome, std::optional<LoadReport> report,
                                    std::shared_ptr<const BufferedMessage> response) = 0;
    // The first body byte of the response to a request of a streamed class has been received.
    virtual void OnResponseStarted(const UpstreamTransaction& transaction) = 0;
    // The request could not be sent in full on this connection. The owner moves the transaction to
    // another one.
    virtual void OnConnectionUnusable(UpstreamConnection& connection) = 0;
    // Called when no file descriptor is left; returns true if one was freed.
    virtual bool OnDescriptorsExhausted() = 0;

   protected:
    ~Owner() = default;
  };

  // The pool's state of the connection; changed by the pool only.
  struct PoolState {
    bool idle = false;
    Time idle_since{0};                                 // valid if idle
    std::list<UpstreamConnection*>::iterator position;  // valid if idle
    std::optional<Duration> idle_before_use{};          // nullopt during the first use
  };

  UpstreamConnection(EventLoop& loop, UpstreamConnectionPool& pool, Owner& owner,
                     UpstreamHost& host, Socket socket);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;
  virtual ~UpstreamConnection();

  // Starts watching the socket, which is connecting. Returns false if it cannot be added to epoll.
  bool Open();
  // Starts a transaction. The connection must not have one.
  void Start(std::unique_ptr<UpstreamTransaction> transaction);
  // Removes the transaction and cancels its timers, without reporting it.
  std::unique_ptr<UpstreamTransaction> TakeTransaction();
  // Closes the stream and truncates a body in transit. Called by the pool.
  void Shutdown();

  // Whether the connection may carry another request: no data is partly written or unread, and the
  // endpoint is still listed with the same address.
  [[nodiscard]] bool IsReusable() const;
  // Logs why the response ended early. No effect for probes or if no response has started.
  void LogResponseCut(ResponseCut cut);
  // The current transaction; null if there is none.
  [[nodiscard]] const UpstreamTransaction* transaction() const { return transaction_.get(); }
  // Whether the last byte of the request has been passed to the kernel.
  [[nodiscard]] bool request_written() const { return request_written_; }
  [[nodiscard]] Stream& stream() { return stream_; }
  [[nodiscard]] UpstreamHost& host() { return host_; }
  [[nodiscard]] PoolState& pool_state() { return pool_state_; }

 private:
  void OnConnected() override;
  void OnWriteComplete() override;
  void OnData() override;
  void OnError() override;

  // Whether the endpoint is still listed with the address to which this connection was opened.
  [[nodiscard]] bool IsConnectedToHost() const;

  // Writing.
  void WriteWhenSettled();
  void WriteRequest();
  void WriteProbe();
  void WriteStreamedRequest(const BufferedMessage& request);
  void OnRequestBodyWritten();
  [[nodiscard]] bool IsRequestStreamed() const;
  [[nodiscard]] Time WriteDeadline() const;

  // Reading.
  void RecordFirstByte();
  void ReadResponse();
  void CommitStreamedResponse();
  void FinishResponse();
  bool ShouldStreamResponse();
  [[nodiscard]] bool IsLongResponse() const;
  [[nodiscard]] bool CanStreamWhenDue();
  bool ReserveResponseBuffer(size_t body_bytes);
  void StartStreamedResponse();
  void LimitReadAhead(StreamingBody& body);
  ParseProgress ReadBodyPiece(Buffer& piece);
  void OnResponseBodyRead(ParseProgress progress);
  // Whether the host has closed or lost the connection, so that no more bytes will arrive.
  [[nodiscard]] bool HasHostEnded() const { return stream_.ended() || host_connection_lost_; }
  void ResumeReadingAfterRound();
  [[nodiscard]] Outcome OutcomeOf(const BufferedMessage& response) const;
  [[nodiscard]] std::optional<LoadReport> LoadReportOf(const BufferedMessage& response,
                                                       Outcome outcome) const;

  // Timeouts.
  void StartDeadlineTimer(Time deadline);
  void OnDeadline();
  void StartPauseTimer(Duration limit, std::function<void()> callback);
  void StartHoldTimer();
  void StartDownloadPauseTimer();
  void CancelTimers();

  void Finish(Outcome outcome);
  void FinishMalformed(ResponseCut cut);
  void ReturnToPool();

  // Outlives `pool_` and `owner_`; deferred tasks may run after their destruction.
  EventLoop& loop_;
  UpstreamConnectionPool& pool_;
  Owner& owner_;
  UpstreamHost& host_;
  uint64_t address_version_;  // version of the address to which this connection was opened
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse, kMaxBodyBytes};
  std::unique_ptr<UpstreamTransaction> transaction_;
  EventLoop::TimerId deadline_timer_, connect_timer_, pause_timer_, settle_timer_;
  bool request_written_ = false;
  // Complete and matched to its request, so that another request may follow.
  bool response_complete_ = false;
  // The connection is lost; bytes received earlier are still to be forwarded.
  bool host_connection_lost_ = false;
  bool first_byte_received_ = false;
  Time first_byte_at_{0}, last_byte_at_{0};       // of the current response
  size_t forwarded_bytes_ = 0;                    // of a streamed body
  std::string streamed_request_id_;               // request id of a streamed response
  Time response_deadline_{0};                     // deadline of the request of a streamed response
  bool has_streamed_class_ = false;               // of that request
  std::unique_ptr<BodyWriter> request_writer_;    // writer of a streamed request; else null
  std::shared_ptr<StreamingBody> response_body_;  // body of a streamed response; else null
  MemoryBudget::Reservation response_memory_;     // for a response that is received whole
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
  PoolState pool_state_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_H_
