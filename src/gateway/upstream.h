// The upstream side of the gateway: attempts and probes on pooled connections to the endpoints.
#ifndef PADDLESTILE_GATEWAY_UPSTREAM_H_
#define PADDLESTILE_GATEWAY_UPSTREAM_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "base/time.h"
#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "gateway/request_head.h"
#include "gateway/upstream_connection.h"
#include "gateway/upstream_connection_pool.h"
#include "gateway/upstream_response.h"
#include "http/proxied_request.h"

namespace paddlestile {

class Upstream final : private UpstreamConnection::Owner {
 public:
  class Listener {
   public:
    // Called exactly once per attempt. `elapsed` is the time since the start of the attempt or, for
    // a streamed request, since its last byte was written. `response` is set if it should be
    // forwarded to the client: a 200, or one that rejects the request as invalid.
    virtual void OnAttemptFinished(const std::shared_ptr<ProxiedRequest>& request, size_t attempt,
                                   const std::string& endpoint, Outcome outcome, Duration elapsed,
                                   std::optional<LoadReport> report,
                                   std::shared_ptr<const BufferedMessage> response) = 0;
    // The response to a request of a streamed class has started. OnAttemptFinished still follows.
    virtual void OnResponseStarted(const std::shared_ptr<ProxiedRequest>& request, size_t attempt,
                                   const std::string& endpoint, Duration elapsed) = 0;
    virtual void OnProbeFinished(const std::string& endpoint, Outcome outcome, Duration elapsed,
                                 std::optional<LoadReport> report) = 0;
    // Called when no file descriptor is left; returns true if one was freed.
    virtual bool OnDescriptorsExhausted() = 0;

   protected:
    ~Listener() = default;
  };

  using Options = UpstreamOptions;

  // The references and `listener` must outlive this object.
  Upstream(EventLoop& loop, DescriptorBudget& budget, Options options, Listener* listener);
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // The options apply to attempts and probes that start from now on.
  void set_options(Options options) { options_ = std::move(options); }

  // Takes the memory for responses that are received whole from `memory`; others are streamed.
  void ShareMemory(std::shared_ptr<MemoryPool> memory, size_t guaranteed_bytes) {
    pool_.response_budget().JoinPool(std::move(memory), guaranteed_bytes);
  }

  // Sets the address of an endpoint of the endpoint list. If it changed, new requests use new
  // connections.
  void SetEndpointAddress(const std::string& endpoint, const Address& address) {
    pool_.SetAddress(endpoint, address);
  }
  // Returns the address of an endpoint; nullopt if it is not known.
  [[nodiscard]] std::optional<Address> EndpointAddress(const std::string& endpoint);
  // Removes an endpoint that is no longer listed. Running transactions continue, but no connection
  // is kept.
  void RemoveEndpoint(const std::string& endpoint) { pool_.Remove(endpoint); }

  // Starts an attempt. It ends with OnAttemptFinished, during this call if it cannot start.
  void StartAttempt(std::shared_ptr<ProxiedRequest> request, size_t attempt,
                    const std::string& endpoint, Time deadline);
  // Ends the attempt with kCancelled, unless its response has started.
  void CancelAttempt(const ProxiedRequest& request, size_t attempt);
  // Ends attempts whose response has started with kCancelled, and attempts whose request is not
  // written in full with kNotSent; nothing else would end them. Other attempts continue.
  void OnClientDisconnected(const ProxiedRequest& request);
  // Starts a probe, which ends with OnProbeFinished.
  void StartProbe(const std::string& endpoint);

  // Closes the idle connections of an endpoint; no effect if it is not known.
  void CloseIdleConnections(const std::string& endpoint);
  // Closes the longest idle connection; returns false if there is none.
  bool CloseOneIdle() { return pool_.CloseOneIdle(); }
  // Closes the longest idle connections until at most `count` are left.
  void CloseIdleBeyond(size_t count) { pool_.CloseIdleBeyond(count); }

  [[nodiscard]] size_t connection_count() const { return pool_.connections().size(); }
  [[nodiscard]] size_t idle_count() const { return pool_.idle_count(); }
  [[nodiscard]] size_t host_count() const { return pool_.host_count(); }

 private:
  // UpstreamConnection::Owner.
  void OnTransactionFinished(UpstreamConnection& connection, Outcome outcome,
                             std::optional<LoadReport> report,
                             std::shared_ptr<const BufferedMessage> response) override;
  void OnStreamedResponse(std::unique_ptr<UpstreamTransaction> transaction, Outcome outcome,
                          std::optional<LoadReport> report,
                          std::shared_ptr<const BufferedMessage> response) override;
  void OnResponseStarted(const UpstreamTransaction& transaction) override;
  void OnConnectionUnusable(UpstreamConnection& connection) override;
  bool OnDescriptorsExhausted() override { return listener_->OnDescriptorsExhausted(); }

  void StartOnConnection(std::unique_ptr<UpstreamTransaction> transaction, UpstreamHost& host);
  void Report(const UpstreamTransaction& transaction, Outcome outcome,
              std::optional<LoadReport> report, std::shared_ptr<const BufferedMessage> response);
  void ReportNotSent(const UpstreamTransaction& transaction);

  EventLoop& loop_;
  Options options_;  // the pool holds a reference
  Listener* listener_;
  UpstreamConnectionPool pool_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_H_
