// The side towards the hosts: their connections, the attempts and probes on them, load reports.
#ifndef PADDLESTILE_GATEWAY_UPSTREAM_H_
#define PADDLESTILE_GATEWAY_UPSTREAM_H_

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balancer/load_balancer.h"
#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "http/http_parser.h"
#include "http/proxied_request.h"

namespace paddlestile {

// A load report, as `name=value` with commas between; nothing where a field is missing or no
// number. The values come in the order of `fields`.
std::optional<LoadReport> ParseLoadReport(std::string_view text,
                                          const std::vector<std::string>& fields);

// What a host's whole answer to an attempt says of it.
Outcome OutcomeOfResponse(const HttpMessage& message, std::string_view base);

// The head that a request goes to a host with: what concerns this connection only is left out and
// the time that is left takes the place of the client's.
std::string RequestHead(const BufferedMessage& request, Duration left);

class Upstream {
 public:
  class Listener {
   public:
    // Each attempt ends once; `from` is a whole 200 of a host, or one that blames the request, or
    // null.
    virtual void OnAttemptFinished(const std::shared_ptr<ProxiedRequest>& exchange, size_t attempt,
                                   const std::string& endpoint, Outcome outcome, Duration took,
                                   std::optional<LoadReport> report,
                                   std::shared_ptr<const BufferedMessage> from) = 0;
    virtual void OnResponseStarted(const std::shared_ptr<ProxiedRequest>& exchange, size_t attempt,
                                   const std::string& endpoint, Duration took) = 0;
    virtual void OnProbeFinished(const std::string& endpoint, Outcome outcome, Duration took,
                                 std::optional<LoadReport> report) = 0;
    // DescriptorBudget are short; true where one was set free.
    virtual bool OnDescriptorsExhausted() = 0;

   protected:
    ~Listener() = default;
  };

  struct Options {
    Duration connect_timeout{0};
    Duration endpoint_idle_timeout{0};  // the hosts'; ours come sooner. 0: not known
    std::vector<std::string> report_fields;
    bool reports_in_responses = false;
    bool reports_in_probes = false;
  };

  Upstream(EventLoop& loop, DescriptorBudget& budget, Options options, Listener* listener);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // For what is sent from now on.
  void set_options(Options options) { options_ = std::move(options); }

  // Where a host is, from the list. A changed address means new connections.
  void SetEndpointAddress(const std::string& endpoint, const Address& address);
  // It has left the list: what is out goes on, nothing is kept for later.
  void RemoveEndpoint(const std::string& endpoint);

  // Begins an attempt. The listener hears its one outcome, within this call where it cannot begin.
  void StartAttempt(std::shared_ptr<ProxiedRequest> exchange, size_t attempt,
                    const std::string& endpoint, Time until);
  void CancelAttempt(const ProxiedRequest& exchange, size_t attempt);
  // An answer that has begun to stream ends with its client, and so does an attempt that is not
  // written whole, wherever it waits: nothing else would end them.
  void OnClientDisconnected(const ProxiedRequest& exchange);
  void StartProbe(const std::string& endpoint);

  // Closes the idle connections to a host; those with an attempt stay. Nothing for one not known.
  void CloseIdleConnections(const std::string& endpoint);
  // Closes the connection that has idled longest; false where none idles.
  bool CloseOneIdle();

  [[nodiscard]] size_t connection_count() const { return connections_.size(); }
  [[nodiscard]] size_t idle_count() const { return idle_.size(); }
  [[nodiscard]] size_t host_count() const { return hosts_.size(); }

 private:
  class Connection;
  struct Exchange;
  struct Host {
    std::string id;
    Address address;
    uint64_t address_version = 0;  // raised with each change of the address
    bool listed = true;
    size_t connection_count = 0;    // connections
    std::vector<Connection*> idle;  // the last used at the end
  };

  // How connections fared that were used again after idling for about as long.
  struct ReuseStatistics {
    double attempted = 0, failed = 0;  // decayed
    Time updated_at{0};
  };
  ReuseStatistics& ReuseAfter(Duration idle);
  void RecordReuse(Duration idle, bool broken);
  [[nodiscard]] bool IsTooOldToReuse(Duration idle);

  Host* Find(const std::string& endpoint);
  void Begin(std::unique_ptr<Exchange> job, Host& host);
  // Sends what a connection could not take on another one to the same host.
  void RetryOnAnotherConnection(Connection& connection);
  void FinishExchange(Connection& connection, Outcome outcome, std::optional<LoadReport> report,
                      std::shared_ptr<const BufferedMessage> from);
  void ReportOutcome(std::unique_ptr<Exchange> job, Outcome outcome,
                     std::optional<LoadReport> report, std::shared_ptr<const BufferedMessage> from);
  void ReleaseToPool(Connection& connection);
  void Drop(Connection& connection);
  void DropIdle(Host& host);
  void MaybeEraseHost(const Host& host);
  // How long a connection may idle before it is used or closed; less than the hosts' own time.
  [[nodiscard]] Duration MaxIdleTime() const;
  void CloseExpiredIdle();

  EventLoop& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  DescriptorBudget& budget_;
  Options options_;
  Listener* listener_;
  std::unordered_map<std::string, std::unique_ptr<Host>> hosts_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::list<Connection*> idle_;  // of all hosts, the longest idle first
  EventLoop::TimerId idle_timer_;
  std::array<ReuseStatistics, 16> reuse_;  // by the binary logarithm of the milliseconds idle
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_H_
