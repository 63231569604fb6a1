// Connections among the members of a cluster, on the gateway's event loop: one for each pair of
// members, of which the one whose name sorts first connects. Detects silent peers by heartbeats and
// reconnects with backoff. Also accepts the calls of operators' commands.
//
// Neither encrypted nor authenticated: for an operator's own network only. Frames are dropped while
// a peer reads too slowly; the layers above send again what they need.
#ifndef PADDLESTILE_PEER_PEER_CONNECTIONS_H_
#define PADDLESTILE_PEER_PEER_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "event/event_loop.h"
#include "event/stream.h"
#include "peer/connection.h"
#include "peer/hello.h"
#include "peer/statistics.h"

namespace paddlestile::peer {

struct PeerConnectionOptions {
  std::string cluster_name;  // of this member; members of another cluster are rejected
  std::string name;
  uint64_t incarnation = 0;    // of this member's storage
  uint64_t restart_count = 0;  // of this member with that storage
  Address listen;
  std::map<std::string, Address> members;  // all members by name, this one included
  uint64_t seed = 1;                       // of the jitter between attempts to connect
  Duration heartbeat_interval{1'000'000};  // at most this long passes without a frame being sent
  Duration silence_timeout{3'500'000};     // a member or call that is silent longer is closed
  // Delay between two attempts to connect, before jitter: doubles with each failure.
  Duration min_reconnect_delay{50'000};
  Duration max_reconnect_delay{2'000'000};
  Duration hello_timeout{2'000'000};    // a connection that does not identify itself is closed
  size_t max_queued_bytes = 512 << 10;  // unsent on a connection; beyond, frames are dropped
  // Accepted connections that have not identified themselves; beyond, new ones are closed.
  size_t max_unidentified = 64;
};

class PeerConnections final : private Connection::Owner {
 public:
  // Reports to the owner, on the event loop. It may call Send() and Reply() during a call.
  class Listener {
   public:
    // What this member knows of the storage of `name`, to be sent with the hello.
    virtual nlohmann::json ClaimKnownOf(const std::string& name) = 0;
    // A member connected. `claim` is what it knows of this member's storage; null: nothing.
    virtual void OnConnected(const std::string& name, uint64_t incarnation,
                             const nlohmann::json& claim) = 0;
    virtual void OnDisconnected(const std::string& name) = 0;
    // A member sent a frame; heartbeats too.
    virtual void OnFrame(const std::string& name, const nlohmann::json& value) = 0;
    // An operator's command made a call, to be answered by Reply(call, ..).
    virtual void OnCall(uint64_t call, const nlohmann::json& value) = 0;

   protected:
    ~Listener() = default;
  };
  using Statistics = PeerStatistics;

  // Listens at once. `loop`, `budget` and `listener` must outlive this object. Throws
  // std::system_error if it cannot listen.
  PeerConnections(EventLoop& loop, DescriptorBudget& budget, PeerConnectionOptions options,
                  Listener* listener);
  ~PeerConnections();
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  // Sets the members that all others keep connections to: a pair of members is connected if one of
  // the two is wanted.
  void SetWantedMembers(std::set<std::string> names);
  // Sends a frame. Dropped if the member is not connected or reads too slowly.
  void Send(const std::string& name, const nlohmann::json& value);
  // Answers a call, whose connection then ends. No effect if the caller has disconnected.
  void Reply(uint64_t call, const nlohmann::json& value);
  [[nodiscard]] const Statistics& statistics() const { return statistics_; }
  // Members connected now.
  [[nodiscard]] size_t connected_count() const { return connected_.size(); }

 private:
  class Acceptor;
  // Attempts to connect to one member.
  struct DialState {
    Duration wait{0};                  // before the next attempt, without jitter; 0: it connected
    EventLoop::TimerId timer;          // of the next attempt
    Connection* connection = nullptr;  // being established, or established; not owned
  };

  void Accept();
  void DialAll();
  void ScheduleRedial(const std::string& name);
  void Dial(const std::string& name);
  Connection& AddConnection(Socket socket, const std::string& dialed_name);

  void OnFrame(Connection& connection, const nlohmann::json& value) override;
  void OnEnd(Connection& connection, std::string_view reason) override;
  void ForgetMember(const Connection& connection, std::string_view reason);

  [[nodiscard]] nlohmann::json HelloTo(const std::string& name);
  void OnIntroduction(Connection& connection, const nlohmann::json& value);
  // `is_checked`: the other end knows checked frames.
  void OnCall(Connection& connection, const nlohmann::json& frame, const nlohmann::json& call,
              bool is_checked);
  void OnHello(Connection& connection, const nlohmann::json& frame, bool is_checked);
  // No effect where it is none of the unidentified connections.
  void RemoveFromUnidentified(Connection& connection);
  // Counts and closes a connection that is not accepted.
  void Reject(Connection& connection, const std::string& reason);
  // Why a hello is not accepted, whatever connections there are; empty: it is.
  [[nodiscard]] std::string ReasonToReject(const Connection& connection, const Hello& hello,
                                           const nlohmann::json& version) const;
  [[nodiscard]] bool IsStale(const Hello& hello) const;
  // Closes an earlier connection of the member, and remembers its incarnation if it is another.
  void ReplaceConnection(const Hello& hello);

  void SendHeartbeats();
  void SendHeartbeat(Time now, Connection& connection);

  EventLoop& loop_;
  DescriptorBudget& budget_;
  PeerConnectionOptions options_;
  Listener* listener_;                                          // not owned
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
  std::mt19937_64 random_;
  std::unique_ptr<Acceptor> acceptor_;
  std::set<std::string> wanted_;
  std::map<std::string, DialState> dials_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;  // all, with closed ones
  std::map<std::string, Connection*> connected_;                    // members, by name
  std::map<uint64_t, Connection*> calls_;                           // that are not answered
  // The latest incarnations of each member that another one has replaced.
  std::map<std::string, std::vector<uint64_t>> stale_incarnations_;
  uint64_t next_call_ = 1;
  size_t unidentified_count_ = 0;  // accepted connections that have not identified themselves
  EventLoop::TimerId heartbeat_timer_;
  Statistics statistics_;
};

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_PEER_CONNECTIONS_H_
