// The clients: open-loop arrivals on persistent connections to the gateways, with retries, and
// misbehaving clients. Runs in the caller's event loop.
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
  // `targets`: the listening address of each gateway.
  Load(EventLoop& loop, const Experiment& experiment, Ledger& ledger, uint64_t seed,
       const std::vector<Address>& targets);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Starts the clients. Requests are sent to gateways that are in rotation.
  void Start(Time start_time);
  // Puts a gateway in rotation or takes it out, as a load balancer in front of the gateways does
  // when one dies or drains.
  void SetInRotation(size_t gateway, bool in_rotation);
  // While true, the gateway may refuse connections: a fault ended its process and the next one is
  // not up.
  void SetDown(size_t gateway, bool down);
  // The process that had accepted the connections of these clients was killed, so that their end is
  // expected.
  void MarkConnectionsKilled(size_t gateway, const std::vector<Address>& clients);
  // The same for all connections that are open to the gateway now.
  void MarkAllConnectionsKilled(size_t gateway);
  // The client address of the connection on which an attempt waits, if any.
  [[nodiscard]] std::optional<Address> ClientAddressOf(size_t attempt) const;

  // The client addresses of the open connections to a gateway.
  [[nodiscard]] std::vector<Address> ClientAddressesOf(size_t gateway) const;
  // The number of open connections to a gateway.
  [[nodiscard]] size_t OpenConnectionsTo(size_t gateway) const;

  // Whether all requests are finished and no more will arrive.
  [[nodiscard]] bool finished() const {
    return arrivals_exhausted_ && ledger_.open_requests() == 0;
  }

  struct Counts {
    uint64_t connections = 0;  // opened
    size_t max_open = 0;       // open at the same time
    uint64_t no_gateway = 0;   // attempts that no gateway accepted
    // Attempts that failed because of the lab's own connection limit.
    uint64_t over_connection_limit = 0;
    uint64_t bad_sent = 0, bad_answered = 0, bad_unanswered = 0, bad_served = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] uint64_t digest() const { return arrivals_.digest(); }
  [[nodiscard]] size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  class MisbehavingConnection;
  struct Target {
    Address address;
    bool in_rotation = true, down = false;
    std::vector<Connection*> idle;
  };
  // A request with all its attempts.
  struct PendingRequest {
    Arrival arrival;
    size_t ledger_request = 0;
    int attempts = 0;
    Time first_sent_at{0};
  };
  struct Attempt {
    std::shared_ptr<PendingRequest> request;
    size_t number = 0, gateway = 0;
    Time deadline{0};
    int connects_tried = 0;  // connections that were attempted
  };

  void ProcessArrivals();
  void StartAttempt(const std::shared_ptr<PendingRequest>& request);
  void SendAttempt(std::shared_ptr<Attempt> attempt);
  void FinishAttempt(const std::shared_ptr<Attempt>& attempt, int status, Duration retry_after);
  void OnConnectionsRefused(const std::shared_ptr<Attempt>& attempt);
  [[nodiscard]] static bool HasIdleConnection(const Target& target);
  [[nodiscard]] size_t PickGateway(double position, int offset) const;
  [[nodiscard]] std::string RequestHead(const Attempt& attempt) const;
  Connection* OpenConnection(size_t gateway);
  void CloseConnection(Connection& connection);
  void StartMisbehavingClients(const MisbehavingClients& clients, size_t index);
  void OpenMisbehavingConnection(const MisbehavingClients& clients, uint64_t number);
  [[nodiscard]] Time Now() const { return loop_.Now() - start_time_; }

  EventLoop& loop_;
  const Experiment& experiment_;
  Ledger& ledger_;
  Arrivals arrivals_;
  uint64_t seed_;
  std::vector<Target> targets_;
  Time start_time_{0};
  Arrival next_arrival_;
  bool arrivals_exhausted_ = false;
  std::list<std::shared_ptr<Connection>> connections_;
  std::list<std::shared_ptr<MisbehavingConnection>> misbehaving_connections_;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_LOAD_H_
