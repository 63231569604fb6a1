// One connection to an upstream endpoint: writes a request, reads its response.
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
  // After which endpoints close idle connections; the gateway closes them earlier. 0: not known.
  Duration endpoint_idle_timeout{0};
  std::vector<std::string> report_fields;  // names in a load report
  bool reports_in_responses = false;       // in the header X-Load-Report
  bool reports_in_probes = false;          // as the body of a probe's response
};

// An endpoint and its connections. Owned by the pool.
struct UpstreamHost {
  std::string endpoint;
  Address address;
  uint64_t address_version = 0;  // raised with each change of the address
  bool listed = true;            // in the present endpoint list
  size_t connection_count = 0;
  std::vector<UpstreamConnection*> idle;  // most recently used last
};

// One attempt of a request, or one probe.
struct UpstreamTransaction {
  std::shared_ptr<ProxiedRequest> request;  // null: a probe
  size_t attempt = 0;                       // of the request, from 0
  std::string endpoint;
  Time started_at{0};
  Time deadline{0};
  bool response_started = false;  // of a streamed class: the response belongs to the client
  [[nodiscard]] bool is_probe() const { return request == nullptr; }
};

// Owned by the pool, which frees it after the running handler has returned. One transaction at a
// time:
//
//   phase      | what happens                               | left for
//   -----------+--------------------------------------------+------------------------------------
//   connecting | TCP connect; a transaction waits           | writing
//   settling   | reused soon after a response; waits        | writing; another connection where
//              | whether a second response comes            | one came
//   writing    | head and body are written                  | reading, also before all is written
//   reading    | the response is parsed                     | idle, or closed: response complete
//              |                                            | streaming: its body is large
//   streaming  | the transaction is reported; the body is   | idle, or closed
//              | passed on piece by piece                   |
//   idle       | in the pool                                | settling, writing, or closed
//
// Each transaction ends once, by the owner's OnTransactionFinished or OnStreamedResponse, or moves
// by OnConnectionUnusable.
class UpstreamConnection final : public Stream::Listener {
 public:
  class Owner {
   public:
    // The connection's transaction is over. `response` is to be passed on to the client, or null.
    virtual void OnTransactionFinished(UpstreamConnection& connection, Outcome outcome,
                                       std::optional<LoadReport> report,
                                       std::shared_ptr<const BufferedMessage> response) = 0;
    // The head of a large response has come; its body follows as `response->streaming_body`.
    virtual void OnStreamedResponse(std::unique_ptr<UpstreamTransaction> transaction,
                                    Outcome outcome, std::optional<LoadReport> report,
                                    std::shared_ptr<const BufferedMessage> response) = 0;
    // The first body byte of a streamed class' response has come.
    virtual void OnResponseStarted(const UpstreamTransaction& transaction) = 0;
    // Nothing was sent in full on this connection: its transaction is to go on another one.
    virtual void OnConnectionUnusable(UpstreamConnection& connection) = 0;
    // No file descriptor is left; true where one was freed.
    virtual bool OnDescriptorsExhausted() = 0;

   protected:
    ~Owner() = default;
  };

  // What the pool keeps of the connection; only the pool changes it.
  struct PoolState {
    bool idle = false;
    Time idle_since{0};                                 // where idle
    std::list<UpstreamConnection*>::iterator position;  // where idle
    std::optional<Duration> idle_before_use{};          // nothing: this is the first use
  };

  UpstreamConnection(EventLoop& loop, UpstreamConnectionPool& pool, Owner& owner,
                     UpstreamHost& host, Socket socket);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;
  virtual ~UpstreamConnection();

  // Watches the socket while it connects; false where the kernel refuses.
  bool Open();
  // Begins a transaction, on a connection that has none.
  void Start(std::unique_ptr<UpstreamTransaction> transaction);
  // Ends the transaction and its time limits, without a report.
  std::unique_ptr<UpstreamTransaction> TakeTransaction();
  // Closes the stream; a body in transit is truncated. For the pool.
  void Shutdown();

  // Whether another request may follow: nothing is half-written or unread, and the endpoint is
  // still listed with the same address.
  [[nodiscard]] bool IsReusable() const;
  // Logs who cut the response off; without effect where none has begun, and for probes.
  void LogCutResponse(ResponseCut cut);
  // Null where there is none.
  [[nodiscard]] const UpstreamTransaction* transaction() const { return transaction_.get(); }
  // Whether the last byte of the request is with the kernel.
  [[nodiscard]] bool request_written() const { return request_written_; }
  [[nodiscard]] Stream& stream() { return stream_; }
  [[nodiscard]] UpstreamHost& host() { return host_; }
  [[nodiscard]] PoolState& pool_state() { return pool_state_; }

 private:
  void OnConnected() override;
  void OnWriteComplete() override;
  void OnData() override;
  void OnError() override;

  // Writing.
  void WriteWhenSettled();
  void WriteRequest();
  void WriteProbe();
  void WriteStreamedRequest(const BufferedMessage& request);
  void OnRequestBodyWritten();
  [[nodiscard]] Time WriteDeadline() const;

  // Reading.
  void RecordFirstByte();
  void ReadResponse();
  void CommitStreamedResponse();
  void FinishResponse();
  bool ShouldStreamResponse();
  void StartStreamedResponse();
  ParseProgress ReadBodyPiece(Buffer& piece);
  void OnResponseBodyRead(ParseProgress progress);
  void ReadOnAfterRound();
  [[nodiscard]] Outcome OutcomeOf(const BufferedMessage& response) const;
  [[nodiscard]] std::optional<LoadReport> LoadReportOf(const BufferedMessage& response,
                                                       Outcome outcome) const;

  // Time limits.
  void StartDeadlineTimer(Time deadline);
  void OnDeadline();
  void StartPauseTimer(Duration limit, std::function<void()> callback);
  void StartUploadPauseTimer();
  void StartDownloadPauseTimer();
  void StartResponsePauseTimer();
  void CancelTimers();

  void Finish(Outcome outcome);
  void FinishMalformed(ResponseCut cut);
  void ReturnToPool();

  EventLoop& loop_;  // may outlive pool and owner, as tasks that were put off may
  UpstreamConnectionPool& pool_;
  Owner& owner_;
  UpstreamHost& host_;
  uint64_t address_version_;  // of the host when this connected
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse, kMaxBodyBytes};
  std::unique_ptr<UpstreamTransaction> transaction_;
  EventLoop::TimerId deadline_timer_, connect_timer_, pause_timer_, settle_timer_;
  bool request_written_ = false;
  bool response_complete_ = false;  // in step with its request: another may follow
  bool host_broke_off_ = false;     // what came before that is passed on yet
  bool first_byte_received_ = false;
  Time first_byte_at_{0}, last_byte_at_{0};       // of the present response
  size_t passed_on_bytes_ = 0;                    // of a body that streams
  std::string streamed_request_id_;               // of a response that streams
  std::unique_ptr<BodyWriter> request_writer_;    // of a request that streams; else null
  std::shared_ptr<StreamingBody> response_body_;  // of a response that streams; else null
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this, for tasks
  PoolState pool_state_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_H_
