// One connection a pair of members on the gateway's loop: who dials, who is let in, what silence
// is. Not secured: for an operator's own network alone. Sending drops where a link's reader is
// slow: what goes on it is sent again by those who need it.
#ifndef PADDLESTILE_PEER_PEER_CONNECTIONS_H_
#define PADDLESTILE_PEER_PEER_CONNECTIONS_H_

#include <cstdint>
#include <functional>
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

namespace paddlestile::peer {

inline constexpr int kProtocolVersion = 1;  // of all that a link carries

struct PeerConnectionOptions {
  std::string cluster_name, name;
  uint64_t incarnation = 0, restart_count = 0;
  Address listen;
  std::map<std::string, Address> members;  // the others too
  uint64_t seed = 1;                       // of the back-off's jitter
  Duration heartbeat_interval{1'000'000};  // us; something is sent this often
  Duration silence_timeout{3'500'000};     // us; a link that hears nothing for so long is ended
  Duration min_reconnect_delay{50'000},
      max_reconnect_delay{2'000'000};  // us; between two tries to connect
  Duration hello_timeout{2'000'000};   // us
  size_t max_queued_bytes =
      512 << 10;                 // bytes unsent on a link, beyond which what comes is dropped
  size_t max_unidentified = 64;  // connections that have not said who they are
};

class PeerConnections {
 public:
  class Listener {
   public:
    // What goes with the hello to this member, and came with its.
    virtual nlohmann::json ClaimKnownOf(const std::string& name) = 0;
    virtual void OnConnected(const std::string& name, uint64_t life,
                             const nlohmann::json& known) = 0;
    virtual void OnDisconnected(const std::string& name) = 0;
    virtual void OnFrame(const std::string& name, const nlohmann::json& value) = 0;
    // An operator's call; Answer ends it.
    virtual void OnCall(uint64_t call, const nlohmann::json& value) = 0;

   protected:
    ~Listener() = default;
  };
  struct Statistics {
    uint64_t connected = 0, disconnected = 0, frames_in = 0, frames_out = 0, bytes_in = 0,
             bytes_out = 0;
    uint64_t dropped = 0, malformed_frames = 0, unidentified = 0, stale_incarnations = 0,
             timed_out = 0;
  };

  // Listens at once; throws std::system_error.
  PeerConnections(EventLoop& loop, DescriptorBudget& budget, PeerConnectionOptions options,
                  Listener* listener);
  ~PeerConnections();
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  // With whom links are kept; the one of a pair whose name comes first dials.
  void SetWantedMembers(std::set<std::string> names);
  void Send(const std::string& name, const nlohmann::json& value);
  void Reply(uint64_t call, const nlohmann::json& value);
  [[nodiscard]] const Statistics& statistics() const { return statistics_; }
  [[nodiscard]] size_t connected_count() const { return connected_.size(); }

 private:
  class Acceptor;
  class Connection;
  struct DialState {
    Duration wait{0};
    EventLoop::TimerId timer;
    Connection* connection = nullptr;  // on its way, or up
  };
  void Accept();
  void DialAll();
  void ScheduleRedial(const std::string& name);
  void Connect(const std::string& name);
  void Drop(Connection& link, std::string_view why);
  void SendHeartbeats();
  void OnHello(Connection& link, const nlohmann::json& value);
  [[nodiscard]] nlohmann::json HelloTo(const std::string& name);

  EventLoop& loop_;
  DescriptorBudget& budget_;
  PeerConnectionOptions options_;
  Listener* listener_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::mt19937_64 random_;
  std::unique_ptr<Acceptor> acceptor_;
  std::set<std::string> wanted_;
  std::map<std::string, DialState> dials_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<std::string, Connection*> connected_;
  std::map<uint64_t, Connection*> calls_;
  std::map<std::string, std::vector<uint64_t>> stale_incarnations_;
  uint64_t next_call_ = 1;
  size_t unidentified_count_ = 0;
  EventLoop::TimerId heartbeat_timer_;
  Statistics statistics_;
};

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_PEER_CONNECTIONS_H_
