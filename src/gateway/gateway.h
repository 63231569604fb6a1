// One gateway: turns what happens on its connections into events of the load balancer, one after
// another, and carries the resulting actions out. It takes no decision itself.
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

// Owns downstream, upstream, discovery client and load balancer. All runs on the event loop's
// thread. The way of a request: OnRequest, Execute(StartAttempt), OnAttemptFinished, which responds
// where the attempt succeeded; or Execute(RejectRequest) or Execute(FailRequest).
class Gateway final : public Downstream::Listener,
                      public Upstream::Listener,
                      public DiscoveryClient::Listener {
 public:
  // Listens at once, on `inherited` where it is a listening socket; throws std::system_error, or
  // std::invalid_argument for invalid settings. A lifecycle that is not ready becomes so with the
  // first list from discovery, or after a second without one. `shared`: another process may listen
  // on the address too. `loop` and `lifecycle` must outlive the gateway.
  Gateway(EventLoop& loop, GatewayConfig config, Lifecycle& lifecycle,
          FileDescriptor inherited = FileDescriptor(), bool shared = false);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  virtual ~Gateway();

  // Ends the lifecycle: serves what still comes for a while, then calls `done`.
  void Drain(std::function<void()> done);

  // The configuration in force. Only ApplyConfig and ApplyTenantChanges change it.
  [[nodiscard]] const GatewayConfig& config() const { return *config_; }
  // Puts a configuration in force for all that comes from now on: settings, and the address of
  // discovery. It must come from ReloadGatewayConfig for the present one. Throws
  // std::invalid_argument, and changes nothing, where the settings are invalid.
  void ApplyConfig(GatewayConfig config);
  // The same for tenants alone; nothing else is read or copied.
  void ApplyTenantChanges(const std::vector<TenantChange>& changes);

  // Replaces the set of hosts that take no new work, whatever the endpoint lists say; `all`: every
  // one. Their learned state stays. In force before the next event.
  void ExcludeHosts(std::set<std::string> hosts, bool all = false);
  // Runs `callback` once, before the first event that is handled at `time` or later. Replaces an
  // earlier one; null: none.
  void RunBeforeEventsFrom(Time time, std::function<void()> callback);

  // The learned state as text, for another process; empty where it is too long.
  [[nodiscard]] std::string ExportLearnedState() const;
  // Imports what another process exported. False, without effect, where it is malformed.
  bool ImportLearnedState(const std::string& text);

  // Counters and present state, on one line.
  [[nodiscard]] std::string DescribeState() const;

  [[nodiscard]] const Address& address() const { return downstream_->address(); }
  [[nodiscard]] Downstream& downstream() { return *downstream_; }
  [[nodiscard]] DescriptorBudget& budget() { return budget_; }
  // Requests that have no response yet, or attempts in flight.
  [[nodiscard]] size_t request_count() const { return requests_.size(); }
  [[nodiscard]] const Statistics& stats() const { return load_balancer_.statistics(); }

 private:
  using RequestPtr = std::shared_ptr<ProxiedRequest>;

  // Downstream::Listener.
  AdmissionResult OnRequest(BufferedMessage request,
                            ProxiedRequest::ResponseCallback reply) override;
  void OnClientDisconnected(const RequestPtr& request) override;
  void OnRequestComplete(const RequestPtr& request) override;
  void TrimIdleUpstream() override;
  // Of Upstream::Listener too.
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
  // What follows from the classes' deadlines.
  void UpdateDeadlines();
  void ApplyEndpointList(EndpointList list, EndpointUpdateKind kind);

  // ---- Requests.
  // Status and reason of an error where the request is not admitted.
  [[nodiscard]] std::optional<AdmissionResult> CheckAdmission(const std::string& id);
  RequestPtr FindRequest(const std::string& id);
  // Sends the response and counts it; false where the request is done.
  bool Respond(ProxiedRequest& request, const Response& response, uint64_t Counters::*counter);
  // Responds by the attempt's outcome where that ends the request.
  void RespondToOutcome(ProxiedRequest& request, size_t attempt, Outcome outcome,
                        const std::shared_ptr<const BufferedMessage>& response);
  void EnqueueAttemptFinished(const RequestPtr& request, AttemptFinished event);
  void StartOverdueTimer(const RequestPtr& request);
  void OnOverdue(const RequestPtr& request);
  // Erases the request after the present events where it is done and has no attempt in flight.
  void MaybeEraseRequest(const RequestPtr& request);
  void EraseRequest(const RequestPtr& request);

  // ---- Events and actions of the load balancer.
  void Enqueue(Event event);
  // Replaces settings that wait; ahead of all events that do.
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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this, for tasks
  std::shared_ptr<GatewayConfig> config_;  // requests share the one that they came under
  Lifecycle& lifecycle_;
  EventLoop::TimerId ready_timer_;
  DescriptorBudget budget_;
  LoadBalancer load_balancer_;
  std::unordered_map<std::string, RequestPtr> requests_;  // by id
  std::vector<RequestPtr> finished_requests_;             // to be erased after the events
  std::unordered_map<const ProxiedRequest*, EventLoop::TimerId> overdue_timers_;
  size_t unanswered_count_ = 0;   // requests without a response
  Duration longest_deadline_{0};  // of any class
  RecentRequestIds recent_request_ids_;
  std::deque<Event> events_;        // not yet handled
  bool processing_events_ = false;  // or scheduled
  std::vector<Action> actions_;     // of the present event
  Time callback_time_ = Time::max();
  std::function<void()> callback_before_events_;  // from callback_time_ on
  ListedEndpoints listed_endpoints_;
  std::unique_ptr<Upstream> upstream_;
  std::unique_ptr<DiscoveryClient> discovery_;
  std::unique_ptr<Downstream> downstream_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_GATEWAY_H_
