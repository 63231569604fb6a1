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
std::optional<Report> ParseReport(std::string_view text, const std::vector<std::string>& fields);

// What a host's whole answer to an attempt says of it.
Outcome OutcomeOf(const Message& message, std::string_view base);

// The head that a request goes to a host with: what concerns this connection only is left out and
// the time that is left takes the place of the client's.
std::string HeadForHost(const Held& request, Duration left);

class Servers {
 public:
  class Listener {
   public:
    // Each attempt ends once; `from` is a whole 200 of a host, or one that blames the request, or
    // null.
    virtual void OnSettled(const std::shared_ptr<Exchange>& exchange, size_t attempt,
                           const std::string& endpoint, Outcome outcome, Duration took,
                           std::optional<Report> report, std::shared_ptr<const Held> from) = 0;
    virtual void OnEstablished(const std::shared_ptr<Exchange>& exchange, size_t attempt,
                               const std::string& endpoint, Duration took) = 0;
    virtual void OnProbed(const std::string& endpoint, Outcome outcome, Duration took,
                          std::optional<Report> report) = 0;
    // Descriptors are short; true where one was set free.
    virtual bool OnShort() = 0;

   protected:
    ~Listener() = default;
  };

  struct Options {
    Duration connect_timeout{0};
    Duration idle_close{0};  // the hosts'; ours come sooner. 0: not known
    std::vector<std::string> report_fields;
    bool reports_in_answers = false;
    bool reports_in_probes = false;
  };

  Servers(EventLoop& loop, Descriptors& budget, Options options, Listener* listener);
  ~Servers();
  Servers(const Servers&) = delete;
  Servers& operator=(const Servers&) = delete;

  // For what is sent from now on.
  void SetOptions(Options options) { options_ = std::move(options); }

  // Where a host is, from the list. A changed address means new connections.
  void SetAddress(const std::string& endpoint, const Address& address);
  // It has left the list: what is out goes on, nothing is kept for later.
  void Left(const std::string& endpoint);

  // Begins an attempt. The listener hears its one outcome, within this call where it cannot begin.
  void Send(std::shared_ptr<Exchange> exchange, size_t attempt, const std::string& endpoint,
            Time until);
  void Cancel(const Exchange& exchange, size_t attempt);
  // An answer that has begun to stream ends with its client, and so does an attempt that is not
  // written whole, wherever it waits: nothing else would end them.
  void ClientLeft(const Exchange& exchange);
  void Probe(const std::string& endpoint);

  // Closes the idle connections to a host; those with an attempt stay. Nothing for one not known.
  void CloseIdle(const std::string& endpoint);
  // Closes the connection that has idled longest; false where none idles.
  bool CloseOneIdle();

  [[nodiscard]] size_t connections() const { return connections_.size(); }
  [[nodiscard]] size_t idle() const { return idle_.size(); }
  [[nodiscard]] size_t hosts() const { return hosts_.size(); }

 private:
  class Connection;
  struct Job;
  struct Host {
    std::string id;
    Address address;
    uint64_t epoch = 0;  // raised with each change of the address
    bool listed = true;
    size_t open = 0;                // connections
    std::vector<Connection*> idle;  // the last used at the end
  };

  // How connections fared that were used again after idling for about as long.
  struct Reuse {
    double tried = 0, broken = 0;  // decayed
    Time at{0};
  };
  Reuse& ReuseAfter(Duration idle);
  void CountReuse(Duration idle, bool broken);
  [[nodiscard]] bool TooOld(Duration idle);

  Host* Find(const std::string& endpoint);
  void Begin(std::unique_ptr<Job> job, Host& host);
  // Sends what a connection could not take on another one to the same host.
  void Again(Connection& connection);
  void End(Connection& connection, Outcome outcome, std::optional<Report> report,
           std::shared_ptr<const Held> from);
  void Tell(std::unique_ptr<Job> job, Outcome outcome, std::optional<Report> report,
            std::shared_ptr<const Held> from);
  void Park(Connection& connection);
  void Drop(Connection& connection);
  void DropIdle(Host& host);
  void MaybeForget(const Host& host);
  // How long a connection may idle before it is used or closed; less than the hosts' own time.
  [[nodiscard]] Duration IdleMost() const;
  void Tidy();

  EventLoop& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  Descriptors& budget_;
  Options options_;
  Listener* listener_;
  std::unordered_map<std::string, std::unique_ptr<Host>> hosts_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::list<Connection*> idle_;  // of all hosts, the longest idle first
  EventLoop::TimerId tidy_;
  std::array<Reuse, 16> reuse_;  // by the binary logarithm of the milliseconds idle
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_H_
