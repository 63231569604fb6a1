// Drives the module: what happens on sockets becomes its events, one after another, and its
// actions are carried out. Nothing is decided here.
#ifndef PADDLESTILE_GATEWAY_GATEWAY_H_
#define PADDLESTILE_GATEWAY_GATEWAY_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "balancer/load_balancer.h"
#include "config/gateway_config.h"
#include "discovery/discovery_client.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "gateway/downstream.h"
#include "gateway/lifecycle.h"
#include "gateway/upstream.h"
#include "http/proxied_request.h"

namespace paddlestile {

class Gateway final : public Downstream::Listener,
                      public Upstream::Listener,
                      public DiscoveryClient::Listener {
 public:
  // Listens at once, on `handed` where it is a listening socket; throws std::system_error, or
  // std::invalid_argument for bad settings. A life that is not ready becomes so with the first list
  // from discovery, or after a second without one. `shared`: another process may listen there too.
  Gateway(EventLoop& loop, GatewayConfig config, Lifecycle& life,
          FileDescriptor handed = FileDescriptor(), bool shared = false);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  virtual ~Gateway();

  // Takes no longer part after this: serves what still comes, then calls `done`.
  void Drain(std::function<void()> done);

  // What is in force; it changes with Adopt and AdoptTenants alone, whole.
  [[nodiscard]] const GatewayConfig& config() const { return *config_; }
  // For all that comes from now on: new settings and the address of discovery. `config` is one that
  // ReloadGatewayConfig gave for the present one. Throws std::invalid_argument and changes nothing
  // where the module does not take its settings.
  void ApplyConfig(GatewayConfig config);
  // The same where tenants alone change; nothing else is looked at or copied.
  void ApplyTenantChanges(const std::vector<TenantChange>& changes);

  // Hosts that take no further work, whatever the lists say of them, until another call; `all`:
  // every one. What is known of them stays. In force before the next event.
  void ExcludeHosts(std::set<std::string> hosts, bool all = false);
  // Runs `then` before any event from `until` on, once; one at a time.
  void RunBeforeEventsFrom(Time until, std::function<void()> then);

  // What the module has learned, for another process, and taking over what one told. False where
  // that makes no sense; it is then left out.
  [[nodiscard]] std::string ExportLearnedState() const;
  bool ImportLearnedState(const std::string& text);

  // Counters and the present state, one line.
  [[nodiscard]] std::string DescribeState() const;

  [[nodiscard]] const Address& address() const { return downstream_->address(); }
  [[nodiscard]] const Downstream& downstream() const { return *downstream_; }
  [[nodiscard]] DescriptorBudget& budget() { return budget_; }
  [[nodiscard]] size_t request_count() const { return requests_.size(); }
  [[nodiscard]] const Statistics& stats() const { return load_balancer_.statistics(); }

 private:
  AdmissionResult OnRequest(BufferedMessage request,
                            ProxiedRequest::ResponseCallback reply) override;
  void OnClientDisconnected(const std::shared_ptr<ProxiedRequest>& exchange) override;
  void OnRequestComplete(const std::shared_ptr<ProxiedRequest>& exchange) override;
  bool OnDescriptorsExhausted() override;
  void OnAttemptFinished(const std::shared_ptr<ProxiedRequest>& exchange, size_t attempt,
                         const std::string& endpoint, Outcome outcome, Duration took,
                         std::optional<LoadReport> report,
                         std::shared_ptr<const BufferedMessage> from) override;
  void OnResponseStarted(const std::shared_ptr<ProxiedRequest>& exchange, size_t attempt,
                         const std::string& endpoint, Duration took) override;
  void OnProbeFinished(const std::string& endpoint, Outcome outcome, Duration took,
                       std::optional<LoadReport> report) override;
  void OnEndpointList(EndpointList list) override;
  void OnDiscoveryFailed() override;

  void OnLifecycleChanged();
  void ApplyEndpointList(EndpointList list, EndpointUpdateKind kind);
  void Enqueue(Event event);
  void Enqueue();
  void ProcessEvents();
  void Execute(const Action& action);
  void Execute(const StartAttempt& send);
  void Execute(const RejectRequest& refuse);
  void Execute(const FailRequest& fail);
  void Execute(const CancelAttempt& cancel);
  void Execute(const SetTimer& timer);
  void Execute(const StartProbe& probe);
  void Execute(const CloseIdleConnections& close);
  void Execute(const WatchEndpoints& follow);
  void Execute(const PollEndpoints& fetch);
  void Execute(const LogMessage& log);
  void LogUnsupportedSettings();
  std::shared_ptr<ProxiedRequest> FindRequest(const std::string& id);
  // Whether an id was taken within the longest deadline.
  bool IsRecentRequestId(const std::string& id);
  void RememberRequestId(const std::string& id);
  void StartOverdueTimer(const std::shared_ptr<ProxiedRequest>& exchange);
  void OnOverdue(const std::shared_ptr<ProxiedRequest>& exchange);
  void MaybeEraseRequest(const std::shared_ptr<ProxiedRequest>& exchange);
  void EraseRequest(const std::shared_ptr<ProxiedRequest>& exchange);

  EventLoop& loop_;
  const std::chrono::system_clock::time_point started_at_ = std::chrono::system_clock::now();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  std::shared_ptr<GatewayConfig> config_;
  Lifecycle& lifecycle_;
  EventLoop::TimerId ready_timer_;
  DescriptorBudget budget_;
  LoadBalancer load_balancer_;
  std::unordered_map<std::string, std::shared_ptr<ProxiedRequest>> requests_;
  std::vector<std::shared_ptr<ProxiedRequest>>
      finished_requests_;  // over, to be forgotten after the events
  std::unordered_map<const ProxiedRequest*, EventLoop::TimerId> overdue_timers_;
  size_t unanswered_count_ = 0;   // exchanges without their answer
  Duration longest_deadline_{0};  // deadline of any class
  std::deque<std::pair<Time, std::string>> recent_;
  std::unordered_set<std::string> recent_ids_;
  std::deque<Event> events_;
  bool processing_events_ = false;
  std::set<std::string> excluded_hosts_;
  bool all_hosts_excluded_ = false;
  Time guard_until_ = Time::max();
  std::function<void()> guard_;
  std::vector<Action> actions_;
  struct ListedEndpoint {
    bool draining = false;
    Time started_at{0};
    EndpointInfo listed_info;  // as the list has it
  };
  std::unordered_map<std::string, ListedEndpoint>
      listed_endpoints_;  // all but those that have left
  std::unique_ptr<Upstream> upstream_;
  std::unique_ptr<DiscoveryClient> discovery_;
  std::unique_ptr<Downstream> downstream_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_GATEWAY_H_
