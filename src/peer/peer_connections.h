// The connections between the members of a cluster, on the gateway's event loop. There is one
// connection per pair of members, and the member whose name sorts first establishes it. Detects
// unresponsive peers by heartbeats and reconnects with backoff. Also accepts calls from operators'
// commands.
//
// Connections are neither encrypted nor authenticated, so they must be used only in an operator's
// own network. Frames are dropped while a peer reads too slowly; the layers above resend what they
// need.
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
  std::string cluster_name;    // of this member; members of other clusters are rejected
  std::string name;            // of this member
  uint64_t incarnation = 0;    // of this member's storage
  uint64_t restart_count = 0;  // starts of this member with that storage
  Address listen;
  std::map<std::string, Address> members;  // all members by name, including this one
  uint64_t seed = 1;                       // for the jitter between attempts to connect
  Duration heartbeat_interval{1'000'000};  // between two heartbeats to a member
  // An identified connection on which nothing was received for longer is closed (see
  // Connection::IsSilent).
  Duration silence_timeout{3'500'000};
  // Delay between two attempts to connect, before jitter; doubles with each failure.
  Duration min_reconnect_delay{50'000};
  Duration max_reconnect_delay{2'000'000};
  Duration hello_timeout{2'000'000};    // an unidentified connection is closed after this time
  size_t max_queued_bytes = 512 << 10;  // unsent bytes per connection; excess frames are dropped
  // Accepted connections that have not been identified yet; excess connections are closed.
  size_t max_unidentified = 64;
};

class PeerConnections final : private Connection::Owner {
 public:
  // Receives events on the event loop. A callback may call Send() and Reply().
  class Listener {
   public:
    // Returns the latest known claim of the storage of `name`, to be sent with the hello; null:
    // none.
    virtual nlohmann::json ClaimKnownOf(const std::string& name) = 0;
    // A member connected. `claim` is the claim of this member's storage that it knows; null: none.
    virtual void OnConnected(const std::string& name, uint64_t incarnation,
                             const nlohmann::json& claim) = 0;
    virtual void OnDisconnected(const std::string& name) = 0;
    // A member sent a frame, which may be a heartbeat.
    virtual void OnFrame(const std::string& name, const nlohmann::json& value) = 0;
    // An operator's command made a call, which must be answered by Reply(call, ..).
    virtual void OnCall(uint64_t call, const nlohmann::json& value) = 0;

   protected:
    ~Listener() = default;
  };
  using Statistics = PeerStatistics;

  // Starts listening immediately. `loop`, `budget` and `listener` must outlive this object. Throws
  // std::system_error if it cannot listen.
  PeerConnections(EventLoop& loop, DescriptorBudget& budget, PeerConnectionOptions options,
                  Listener* listener);
  ~PeerConnections();
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  // Sets the members to which all members keep connections: a pair of members is connected if at
  // least one of the two is in `names`.
  void SetWantedMembers(std::set<std::string> names);
  // Sends a frame. It is dropped if the member is not connected or reads too slowly.
  void Send(const std::string& name, const nlohmann::json& value);
  // Answers a call, whose connection then ends. No effect if the caller has disconnected.
  void Reply(uint64_t call, const nlohmann::json& value);
  [[nodiscard]] const Statistics& statistics() const { return statistics_; }
  // Number of currently connected members.
  [[nodiscard]] size_t connected_count() const { return connected_.size(); }

 private:
  class Acceptor;
  // State of the attempts to connect to one member.
  struct DialState {
    Duration delay{0};         // latest delay, without jitter; 0: no failure since connected
    EventLoop::TimerId timer;  // for the next attempt
    Connection* connection = nullptr;  // being established or established; not owned
  };

  void Accept();
  void DialAll();
  void ScheduleRedial(const std::string& name);
  void Dial(const std::string& name);
  Connection& AddConnection(Socket socket, const std::string& dialed_name);

  void OnFrame(Connection& connection, const nlohmann::json& value) override;
  void OnEnd(Connection& connection, std::string_view reason) override;
  // Removes the connection from connected_ and reports the member as disconnected, if this is its
  // current connection.
  void RemoveMember(const Connection& connection, std::string_view reason);

  [[nodiscard]] nlohmann::json MakeHelloTo(const std::string& name);
  void OnIntroduction(Connection& connection, const nlohmann::json& value);
  // `is_checked`: whether the other end supports checked frames.
  void OnCall(Connection& connection, const nlohmann::json& frame, const nlohmann::json& call,
              bool is_checked);
  void OnHello(Connection& connection, const nlohmann::json& frame, bool is_checked);
  // No effect if the connection is not one of the unidentified connections.
  void RemoveFromUnidentified(Connection& connection);
  // Counts, logs and closes a connection whose introduction is not accepted.
  void Reject(Connection& connection, const std::string& reason);
  // Returns the reason why a hello is not accepted, regardless of other connections; empty if it is
  // accepted.
  [[nodiscard]] std::string ReasonToReject(const Connection& connection, const Hello& hello,
                                           const nlohmann::json& version) const;
  // Whether the hello is from an earlier process or storage of the member.
  [[nodiscard]] bool IsStale(const Hello& hello) const;
  // Closes an earlier connection of the member. Records the earlier connection's incarnation as
  // stale if it differs from that of `hello`.
  void ReplaceConnection(const Hello& hello);

  // Closes the connections that have received nothing for too long, and sends heartbeats on those
  // to members.
  void MaintainConnections();
  void MaintainConnection(Time now, Connection& connection);

  EventLoop& loop_;
  DescriptorBudget& budget_;
  PeerConnectionOptions options_;
  Listener* listener_;                                          // not owned
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
  std::mt19937_64 random_;
  std::unique_ptr<Acceptor> acceptor_;
  std::set<std::string> wanted_;
  std::map<std::string, DialState> dials_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;  // all, including closed ones
  std::map<std::string, Connection*> connected_;                    // connected members by name
  std::map<uint64_t, Connection*> calls_;                           // unanswered calls
  // The most recent incarnations of each member that were replaced by another one.
  std::map<std::string, std::vector<uint64_t>> stale_incarnations_;
  uint64_t next_call_ = 1;
  size_t unidentified_count_ = 0;  // accepted connections that have not been identified yet
  EventLoop::TimerId maintenance_timer_;
  Statistics statistics_;
};

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_PEER_CONNECTIONS_H_
