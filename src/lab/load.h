// The clients: open-loop arrivals on kept connections to the gateways, their retries, and clients
// that do not do as they should. One thread, the caller's loop.
#ifndef PADDLESTILE_LAB_LOAD_H_
#define PADDLESTILE_LAB_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "lab/arrivals.h"
#include "lab/experiment.h"
#include "lab/ledger.h"

namespace paddlestile::lab {

class Load {
 public:
  // `targets`: where each gateway listens.
  Load(EventLoop& loop, const Experiment& experiment, Ledger& ledger, uint64_t seed,
       const std::vector<Address>& targets);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // The experiment's time 0 is now. Requests are handed to gateways that are in.
  void Begin(Time zero);
  // The front before the gateways: takes one in, or out (it has died or drains).
  void SetIn(size_t gateway, bool in);
  // The script has ended the gateway's process, and the next one is not up yet: it may refuse.
  void SetDown(size_t gateway, bool down);
  // The process that held these connections of clients was killed: they end by that. Without
  // `clients`: all that are open to the gateway now.
  void ConnectionsKilled(size_t gateway, const std::vector<Address>& clients);
  void ConnectionsKilled(size_t gateway);
  // The client's end of the connection on which a try waits; none where it waits on none.
  [[nodiscard]] std::optional<Address> ClientOf(size_t n) const;

  // The clients' ends of the connections open to a gateway.
  [[nodiscard]] std::vector<Address> ClientsOf(size_t gateway) const;
  // Connections open to a gateway.
  [[nodiscard]] size_t OpenTo(size_t gateway) const;

  // Whether all that was asked for is over.
  [[nodiscard]] bool finished() const { return drawn_out_ && ledger_.open_requests() == 0; }

  struct Counts {
    uint64_t connections = 0;  // opened
    size_t open_most = 0;      // at once
    uint64_t no_gateway = 0;   // tries that no gateway took
    uint64_t beyond = 0;       // tries for which the lab itself had no connection left
    uint64_t bad_sent = 0, bad_answered = 0, bad_unanswered = 0, bad_served = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] uint64_t digest() const { return arrivals_.digest(); }
  [[nodiscard]] size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  class BadConnection;
  struct Target {
    Address address;
    bool in = true, down = false;
    std::vector<Connection*> idle;
  };
  // A request with all its tries.
  struct Asking {
    Arrival arrival;
    size_t ask = 0;
    int tries = 0;
    Time first{0};
  };
  struct Trying {
    std::shared_ptr<Asking> asking;
    size_t n = 0, gateway = 0;
    Time deadline{0};
    int connects = 0;  // connections tried
  };

  void Arrive();
  void TryOnce(const std::shared_ptr<Asking>& asking);
  void Send(std::shared_ptr<Trying> trying);
  void End(const std::shared_ptr<Trying>& trying, int status, Duration come_back);
  void RefusedEverywhere(const std::shared_ptr<Trying>& trying);
  [[nodiscard]] static bool HasQuietConnection(const Target& target);
  [[nodiscard]] size_t PickGateway(double part, int further) const;
  [[nodiscard]] std::string HeadOf(const Trying& trying) const;
  Connection* Open(size_t gateway);
  void Drop(Connection& connection);
  void BeginBad(const MisbehavingClients& bad, size_t place);
  void SendBad(const MisbehavingClients& bad, uint64_t number);
  [[nodiscard]] Time Now() const { return loop_.Now() - zero_; }

  EventLoop& loop_;
  const Experiment& e_;
  Ledger& ledger_;
  Arrivals arrivals_;
  uint64_t seed_;
  std::vector<Target> targets_;
  Time zero_{0};
  Arrival next_;
  bool drawn_out_ = false;
  std::list<std::shared_ptr<Connection>> connections_;
  std::list<std::shared_ptr<BadConnection>> bad_;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_LOAD_H_
