// An emulation of the discovery service: the complete list, and a watch that sends changes. Each
// gateway has an agent of its own. As faults demand, it lags, becomes silent, sends malformed data,
// goes back to an old revision or moves. It may take time to respond to a watch. A change counts as
// told when it was sent, or kMaxChangeDelay after the agents had it without a fault of theirs.
#ifndef PADDLESTILE_LAB_DIRECTORY_H_
#define PADDLESTILE_LAB_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "lab/experiment.h"
#include "lab/fleet.h"
#include "lab/ledger.h"

namespace paddlestile::lab {

class Directory {
 public:
  Directory(EventLoop& loop, Ledger& ledger, size_t gateways, Duration keepalive_interval);
  ~Directory();
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  // Sets how long agents take to respond to a watch, drawn from `seed` for each call, and in how
  // many pieces the first list is sent.
  void SetResponseTime(UniformRange response_ms, size_t pieces, uint64_t seed);
  // Starts an agent for each gateway. Throws std::system_error.
  void Start(const std::vector<ListedHost>& hosts);
  void SetStartTime(Time start_time) {
    start_time_ = start_time;
    disturbed_at_ = Time(0);
  }
  [[nodiscard]] const Address& AddressOf(size_t gateway) const;

  // A host was added, changed its phase or left. Gateways are told after `lag`, in addition to that
  // of SetLag.
  void OnHostChange(const ListedHost& host, Duration lag);
  // The complete list as it is sent now, in discovery's JSON format. Recorded as told to the
  // gateway.
  std::string FullList(size_t gateway);
  // The complete list as it was at the start, in the same format. Not recorded as told to anyone.
  [[nodiscard]] std::string InitialList() const;

  void SetSilent(bool on);
  void SetLag(Duration lag) { lag_ = lag; }
  void SetMalformed(bool on);
  void SetStale(bool on);
  // Moves all agents to new addresses. The old ones accept no new connections and close the open
  // ones after 1.5 s.
  void MoveAgents();

  [[nodiscard]] uint64_t lists_sent() const { return lists_sent_; }

 private:
  struct Agent;
  class Connection;
  struct Version {
    uint64_t revision = 0;
    ListedHost host;
  };
  // What is to be sent on a watch, and what records that it was sent.
  struct Update {
    std::string text;
    std::function<void()> record;
  };
  // Sends the first list on a watch after the time that the agent takes to respond.
  void RespondLater(const std::shared_ptr<Connection>& connection);
  // Sends piece `number` of an update and the ones after it at intervals.
  void SendPiece(const std::shared_ptr<Connection>& connection, Update update, size_t number,
                 Duration interval);
  void SendUpdates(Connection& connection);
  Update TakeUpdate(Connection& connection);
  // Records a change as told to all gateways once it had to be known, unless it was before.
  void RecordWhenDue(Time known_at, size_t host_index);
  // Runs `task` after `delay`, unless the directory no longer exists.
  void RunAfter(Duration delay, std::function<void()> task);
  [[nodiscard]] std::string MembersJson(const std::vector<const ListedHost*>& hosts,
                                        uint64_t revision, bool complete) const;
  [[nodiscard]] std::vector<const ListedHost*> HostsAt(uint64_t revision) const;
  [[nodiscard]] std::vector<const ListedHost*> ChangesSince(uint64_t revision) const;
  void RecordNotifications(size_t gateway, const std::vector<const ListedHost*>& hosts,
                           bool complete);
  void SendUpdatesToAll();
  void CloseWatches();
  void ScheduleKeepalive();
  [[nodiscard]] Time Now() const { return loop_.Now() - start_time_; }

  EventLoop& loop_;
  Ledger& ledger_;
  size_t gateways_;
  Duration keepalive_interval_;
  Time start_time_{0};
  std::vector<Version> history_;   // by revision, from 1; starts with the initial hosts
  uint64_t initial_revision_ = 0;  // the revision of the initial list
  uint64_t revision_ = 0;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<std::unique_ptr<Agent>> previous_agents_;
  size_t moves_ = 0;
  Duration lag_{0};
  bool silent_ = false, malformed_ = false, stale_ = false;
  Time disturbed_at_{0};  // the last start or end of a fault of discovery
  UniformRange response_ms_{0, 0};
  size_t response_pieces_ = 1;
  std::mt19937_64 random_;
  uint64_t lists_sent_ = 0;
  EventLoop::TimerId keepalive_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_DIRECTORY_H_
