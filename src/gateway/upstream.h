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
    // Each attempt ends once. `elapsed`: since its start, or since the last byte of a request that
    // streams. `response` is to be passed on: a 200, or one that blames the request; else null.
    virtual void OnAttemptFinished(const std::shared_ptr<ProxiedRequest>& request, size_t attempt,
                                   const std::string& endpoint, Outcome outcome, Duration elapsed,
                                   std::optional<LoadReport> report,
                                   std::shared_ptr<const BufferedMessage> response) = 0;
    // The response of a streamed class has begun; its attempt ends with OnAttemptFinished.
    virtual void OnResponseStarted(const std::shared_ptr<ProxiedRequest>& request, size_t attempt,
                                   const std::string& endpoint, Duration elapsed) = 0;
    virtual void OnProbeFinished(const std::string& endpoint, Outcome outcome, Duration elapsed,
                                 std::optional<LoadReport> report) = 0;
    // No file descriptor is left; true where one was freed.
    virtual bool OnDescriptorsExhausted() = 0;

   protected:
    ~Listener() = default;
  };

  using Options = UpstreamOptions;

  // The references and `listener` must outlive this object.
  Upstream(EventLoop& loop, DescriptorBudget& budget, Options options, Listener* listener);
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // For what is sent from now on.
  void set_options(Options options) { options_ = std::move(options); }

  // Where an endpoint is, by the endpoint list. A changed address means new connections.
  void SetEndpointAddress(const std::string& endpoint, const Address& address) {
    pool_.SetAddress(endpoint, address);
  }
  // The endpoint has left the list: transactions go on, no connection is kept.
  void RemoveEndpoint(const std::string& endpoint) { pool_.Remove(endpoint); }

  // Starts an attempt, which ends by OnAttemptFinished: within this call where it cannot start.
  void StartAttempt(std::shared_ptr<ProxiedRequest> request, size_t attempt,
                    const std::string& endpoint, Time deadline);
  // Ends the attempt with kCancelled; not one whose response has started.
  void CancelAttempt(const ProxiedRequest& request, size_t attempt);
  // Ends the attempts whose response has started with kCancelled, and those that are not written in
  // full with kNotSent: nothing else would end them.
  void OnClientDisconnected(const ProxiedRequest& request);
  // Starts a probe, which ends by OnProbeFinished.
  void StartProbe(const std::string& endpoint);

  // Closes the idle connections of an endpoint; no effect for an unknown one.
  void CloseIdleConnections(const std::string& endpoint);
  // Closes the connection that has idled longest; false where none idles.
  bool CloseOneIdle() { return pool_.CloseOneIdle(); }
  // Closes the longest idle connections until `count` are left.
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
  Options options_;  // the pool refers to it
  Listener* listener_;
  UpstreamConnectionPool pool_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_H_
