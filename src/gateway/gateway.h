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

class Gateway final : public Clients::Listener, public Servers::Listener, public List::Listener {
 public:
  // Listens at once, on `handed` where it is a listening socket; throws std::system_error, or
  // std::invalid_argument for bad settings. A life that is not ready becomes so with the first list
  // from discovery, or after a second without one. `shared`: another process may listen there too.
  Gateway(EventLoop& loop, Config config, Life& life, Fd handed = Fd(), bool shared = false);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  virtual ~Gateway();

  // Takes no longer part after this: serves what still comes, then calls `done`.
  void Drain(std::function<void()> done);

  // What is in force; it changes with Adopt and AdoptTenants alone, whole.
  [[nodiscard]] const Config& config() const { return *config_; }
  // For all that comes from now on: new settings and the address of discovery. `config` is one that
  // ReadAgain gave for the present one. Throws std::invalid_argument and changes nothing where the
  // module does not take its settings.
  void Adopt(Config config);
  // The same where tenants alone change; nothing else is looked at or copied.
  void AdoptTenants(const std::vector<TenantChange>& changes);

  // Hosts that take no further work, whatever the lists say of them, until another call; `all`:
  // every one. What is known of them stays. In force before the next event.
  void KeepOff(std::set<std::string> hosts, bool all = false);
  // Runs `then` before any event from `until` on, once; one at a time.
  void Guard(Time until, std::function<void()> then);

  // What the module has learned, for another process, and taking over what one told. False where
  // that makes no sense; it is then left out.
  [[nodiscard]] std::string Know() const;
  bool Learn(const std::string& text);

  // Counters and the present state, one line.
  [[nodiscard]] std::string StateText() const;

  [[nodiscard]] const Address& address() const { return clients_->address(); }
  [[nodiscard]] const Clients& clients() const { return *clients_; }
  [[nodiscard]] Descriptors& budget() { return budget_; }
  [[nodiscard]] size_t in_hand() const { return exchanges_.size(); }
  [[nodiscard]] const Stats& stats() const { return brain_.stats(); }

 private:
  Taken OnRequest(Held request, Exchange::Reply reply) override;
  void OnClientLeft(const std::shared_ptr<Exchange>& exchange) override;
  void OnWhole(const std::shared_ptr<Exchange>& exchange) override;
  bool OnShort() override;
  void OnSettled(const std::shared_ptr<Exchange>& exchange, size_t attempt,
                 const std::string& endpoint, Outcome outcome, Duration took,
                 std::optional<Report> report, std::shared_ptr<const Held> from) override;
  void OnEstablished(const std::shared_ptr<Exchange>& exchange, size_t attempt,
                     const std::string& endpoint, Duration took) override;
  void OnProbed(const std::string& endpoint, Outcome outcome, Duration took,
                std::optional<Report> report) override;
  void OnList(HostList list) override;
  void OnListFailed() override;

  void LifeChanged();
  void TakeList(HostList list, ListKind kind);
  void Post(Event event);
  void Post();
  void Pump();
  void Apply(const Action& action);
  void Apply(const Send& send);
  void Apply(const Refuse& refuse);
  void Apply(const Fail& fail);
  void Apply(const Cancel& cancel);
  void Apply(const SetTimer& timer);
  void Apply(const Probe& probe);
  void Apply(const CloseIdle& close);
  void Apply(const Follow& follow);
  void Apply(const FetchList& fetch);
  void Apply(const LogMessage& log);
  void TellSettings();
  std::shared_ptr<Exchange> FindExchange(const std::string& id);
  // Whether an id was taken within the longest deadline.
  bool IsRecent(const std::string& id);
  void Remember(const std::string& id);
  void AwaitAnswer(const std::shared_ptr<Exchange>& exchange);
  void OnOverdue(const std::shared_ptr<Exchange>& exchange);
  void MaybeForget(const std::shared_ptr<Exchange>& exchange);
  void Forget(const std::shared_ptr<Exchange>& exchange);

  EventLoop& loop_;
  const std::chrono::system_clock::time_point since_ = std::chrono::system_clock::now();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  std::shared_ptr<Config> config_;
  Life& life_;
  EventLoop::TimerId ready_timer_;
  Descriptors budget_;
  Brain brain_;
  std::unordered_map<std::string, std::shared_ptr<Exchange>> exchanges_;
  std::vector<std::shared_ptr<Exchange>> ending_;  // over, to be forgotten after the events
  std::unordered_map<const Exchange*, EventLoop::TimerId> overdue_;
  size_t held_ = 0;      // exchanges without their answer
  Duration longest_{0};  // deadline of any class
  std::deque<std::pair<Time, std::string>> recent_;
  std::unordered_set<std::string> recent_ids_;
  std::deque<Event> events_;
  bool pumping_ = false;
  std::set<std::string> kept_off_;
  bool all_kept_off_ = false;
  Time guard_until_ = Time::max();
  std::function<void()> guard_;
  std::vector<Action> actions_;
  struct Listed {
    bool draining = false;
    Time launched{0};
    EndpointInfo told;  // as the list has it
  };
  std::unordered_map<std::string, Listed> listed_;  // all but those that have left
  std::unique_ptr<Servers> servers_;
  std::unique_ptr<List> list_;
  std::unique_ptr<Clients> clients_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_GATEWAY_H_
