// A stand-in of the operators' discovery: the whole list, and a watch that tells changes, each
// gateway by an agent of its own. It lags, falls silent, tells nonsense, goes back to an old
// revision and moves, as the script has it.
#ifndef PADDLESTILE_LAB_DIRECTORY_H_
#define PADDLESTILE_LAB_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "lab/fleet.h"
#include "lab/ledger.h"

namespace paddlestile::lab {

class Directory {
 public:
  Directory(EventLoop& loop, Ledger& ledger, size_t gateways, Duration empty_every);
  ~Directory();
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  // Listens for each gateway; throws std::system_error.
  void Start(const std::vector<ListedHost>& hosts);
  void Begin(Time zero) { zero_ = zero; }
  [[nodiscard]] const Address& AddressOf(size_t gateway) const;

  // A host has come, changed its phase or left; told after `lag` and what lags beside.
  void Change(const ListedHost& host, Duration lag);
  // The list as it is told now, in discovery's form; the gateway counts as told.
  std::string Whole(size_t gateway);

  void Silent(bool on);
  void Lag(Duration lag) { lag_ = lag; }
  void Malformed(bool on);
  void Old(bool on);
  // All agents are elsewhere from now on; the old ones take no new connection and close the open
  // ones after 1.5 s.
  void Move();

  [[nodiscard]] uint64_t lists_told() const { return told_; }

 private:
  struct Agent;
  class Connection;
  struct Version {
    uint64_t revision = 0;
    ListedHost host;
  };
  void Tell(Connection& connection);
  [[nodiscard]] std::string Members(const std::vector<const ListedHost*>& hosts, uint64_t revision,
                                    bool complete) const;
  [[nodiscard]] std::vector<const ListedHost*> At(uint64_t revision) const;
  void CountTold(size_t gateway, const std::vector<const ListedHost*>& hosts, bool whole);
  void TellAll();
  void CloseWatches();
  void Beat();
  [[nodiscard]] Time Now() const { return loop_.Now() - zero_; }

  EventLoop& loop_;
  Ledger& ledger_;
  size_t gateways_;
  Duration empty_every_;
  Time zero_{0};
  std::vector<Version> history_;  // by revision, from 1; those of the start first
  uint64_t first_ = 0;            // the revision of the start
  uint64_t revision_ = 0;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<std::unique_ptr<Agent>> moved_;
  size_t moves_ = 0;
  Duration lag_{0};
  bool silent_ = false, malformed_ = false, old_ = false;
  uint64_t told_ = 0;
  EventLoop::TimerId beat_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_DIRECTORY_H_
