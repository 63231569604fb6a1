// One gateway: converts network activity into events of the load balancer, which are handled one at
// a time, and executes the resulting actions. It makes no load-balancing decision itself.
#ifndef PADDLESTILE_GATEWAY_GATEWAY_H_
#define PADDLESTILE_GATEWAY_GATEWAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/metrics.h"
#include "config/gateway_config.h"
#include "discovery/discovery_client.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "gateway/downstream.h"
#include "gateway/lifecycle.h"
#include "gateway/listed_endpoints.h"
#include "gateway/recent_request_ids.h"
#include "gateway/upstream.h"
#include "http/proxied_request.h"

namespace paddlestile {

// Owns the downstream side, the upstream side, the discovery client and the load balancer.
// Everything runs on the event loop's thread. A request passes through OnRequest,
// Execute(StartAttempt) and OnAttemptFinished, which responds if the attempt succeeded. Otherwise
// it ends in Execute(RejectRequest) or Execute(FailRequest).
class Gateway final : public Downstream::Listener,
                      public Upstream::Listener,
                      public DiscoveryClient::Listener {
 public:
  // Starts listening, on `inherited` if it is a listening socket. Throws std::system_error, or
  // std::invalid_argument for invalid settings. If the lifecycle is not ready, it becomes ready
  // with the first endpoint list from discovery, or after one second without one. `shared`: another
  // process may listen on the same address. `loop` and `lifecycle` must outlive the gateway.
  Gateway(EventLoop& loop, GatewayConfig config, Lifecycle& lifecycle,
          FileDescriptor inherited = FileDescriptor(), bool shared = false);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  virtual ~Gateway();

  // Moves the lifecycle to kEnding. Still serves requests that arrive for a while, then calls
  // `done`.
  void Drain(std::function<void()> done);

  // The configuration in force. Only ApplyConfig and ApplyTenantChanges change it.
  [[nodiscard]] const GatewayConfig& config() const { return *config_; }
  // Applies a configuration, including settings and the address of discovery, to everything that
  // follows. It must come from ReloadGatewayConfig for the current configuration. Throws
  // std::invalid_argument, without any change, if the settings are invalid.
  void ApplyConfig(GatewayConfig config);
  // Applies changes of tenants only, without copying or re-reading the rest of the configuration.
  void ApplyTenantChanges(const std::vector<TenantChange>& changes);

  // Replaces the set of hosts that get no new requests, regardless of the endpoint lists. `all`:
  // excludes every host. Excluded hosts keep their learned state. Takes effect before the next
  // event.
  void ExcludeHosts(std::set<std::string> hosts, bool all = false);
  // Runs `callback` once, before the first event that is handled at or after `time`. Replaces a
  // previous callback; null removes it.
  void RunBeforeEventsFrom(Time time, std::function<void()> callback);

  // Returns the endpoint list in force, without the exclusions.
  [[nodiscard]] EndpointList CurrentEndpointList() const;
  // Returns the learned state and the endpoint list in force as text for another process; empty if
  // it is too long.
  [[nodiscard]] std::string ExportLearnedState() const;
  // Imports the learned state that another process exported, without its endpoint list. Returns
  // false, without any change, if it is malformed.
  bool ImportLearnedState(const std::string& text);

  // Returns the ids of recently admitted requests, oldest first.
  [[nodiscard]] std::vector<std::string> AdmittedRequestIds() const {
    return recent_request_ids_.All();
  }
  // Rejects requests with this id from now on, as if it had been admitted here.
  void AddAdmittedRequestId(const std::string& id) { recent_request_ids_.Add(id, loop_.Now()); }
  // Sets a callback for the id of each request that is admitted; null removes it.
  void SetAdmissionCallback(std::function<void(const std::string& id)> callback) {
    admission_callback_ = std::move(callback);
  }

  // Describes counters and current state on one line.
  [[nodiscard]] std::string DescribeState() const;

  [[nodiscard]] const Address& address() const { return downstream_->address(); }
  [[nodiscard]] Downstream& downstream() { return *downstream_; }
  [[nodiscard]] DescriptorBudget& budget() { return budget_; }
  // Number of requests without a response or with attempts in flight.
  [[nodiscard]] size_t request_count() const { return requests_.size(); }
  [[nodiscard]] const Statistics& stats() const { return load_balancer_.statistics(); }

 private:
  using RequestPtr = std::shared_ptr<ProxiedRequest>;

  // Downstream::Listener.
  AdmissionResult OnRequest(BufferedMessage request, Time arrived_at,
                            ProxiedRequest::ResponseCallback reply) override;
  void OnClientDisconnected(const RequestPtr& request) override;
  void TrimIdleUpstream() override;
  // Also of Upstream::Listener.
  bool OnDescriptorsExhausted() override;
  // Upstream::Listener.
  void OnAttemptFinished(const RequestPtr& request, size_t attempt, const std::string& endpoint,
                         Outcome outcome, Duration elapsed, std::optional<LoadReport> report,
                         std::shared_ptr<const BufferedMessage> response) override;
  void OnResponseStarted(const RequestPtr& request, size_t attempt, const std::string& endpoint,
                         Duration elapsed) override;
  void OnProbeFinished(const std::string& endpoint, Outcome outcome, Duration elapsed,
                       std::optional<LoadReport> report) override;
  // DiscoveryClient::Listener.
  void OnEndpointList(EndpointList list) override;
  void OnDiscoveryFailed() override;

  void OnLifecycleChanged();
  // Updates what is derived from the deadlines of the request classes.
  void UpdateDeadlines();
  void ApplyEndpointList(EndpointList list, EndpointUpdateKind kind);

  // ---- Requests.
  // Returns an error status and reason if the request is not admitted, else nullopt.
  [[nodiscard]] std::optional<AdmissionResult> CheckAdmission(const std::string& id);
  RequestPtr FindRequest(const std::string& id);
  // Sends the response and increments `counter`; returns false if the request is already done.
  bool Respond(ProxiedRequest& request, const Response& response, uint64_t Counters::*counter);
  // Responds if the outcome of the attempt ends the request.
  void RespondToOutcome(ProxiedRequest& request, size_t attempt, Outcome outcome,
                        const std::shared_ptr<const BufferedMessage>& response);
  void EnqueueAttemptFinished(const RequestPtr& request, AttemptFinished event);
  void StartOverdueTimer(const RequestPtr& request);
  void OnOverdue(const RequestPtr& request);
  // Schedules the request for erasure after the current events if it is done and has no attempt in
  // flight.
  void MaybeEraseRequest(const RequestPtr& request);
  void EraseRequest(const RequestPtr& request);

  // ---- Events and actions of the load balancer.
  void Enqueue(Event event);
  // Queues the current settings ahead of all other events and drops queued ones.
  void EnqueueSettings();
  void ScheduleProcessing();
  void ProcessEvents();
  void Execute(const Action& action);
  void Execute(const StartAttempt& action);
  void Execute(const RejectRequest& action);
  void Execute(const FailRequest& action);
  void Execute(const CancelAttempt& action);
  void Execute(const SetTimer& action);
  void Execute(const StartProbe& action);
  void Execute(const CloseIdleConnections& action);
  void Execute(const WatchEndpoints& action);
  void Execute(const PollEndpoints& action);
  void Execute(const LogMessage& action);
  void CountUnavailableEndpoint(const std::string& endpoint) const;

  EventLoop& loop_;
  const std::chrono::system_clock::time_point started_at_ = std::chrono::system_clock::now();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
  std::shared_ptr<GatewayConfig> config_;  // shared by the requests that arrived under it
  Lifecycle& lifecycle_;
  EventLoop::TimerId ready_timer_;
  DescriptorBudget budget_;
  LoadBalancer load_balancer_;
  std::unordered_map<std::string, RequestPtr> requests_;  // by id
  std::vector<RequestPtr> finished_requests_;             // to be erased after the current events
  std::unordered_map<const ProxiedRequest*, EventLoop::TimerId> overdue_timers_;
  size_t unanswered_count_ = 0;   // requests without a response
  Duration longest_deadline_{0};  // of all request classes
  RecentRequestIds recent_request_ids_;
  std::function<void(const std::string&)> admission_callback_;  // may be null
  std::deque<Event> events_;                                    // not yet handled
  bool processing_events_ = false;  // events are being processed or scheduled for it
  std::vector<Action> actions_;     // of the current event
  Time callback_time_ = Time::max();
  std::function<void()> callback_before_events_;  // due at callback_time_
  ListedEndpoints listed_endpoints_;
  std::unique_ptr<Upstream> upstream_;
  std::unique_ptr<DiscoveryClient> discovery_;
  std::unique_ptr<Downstream> downstream_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_GATEWAY_H_
