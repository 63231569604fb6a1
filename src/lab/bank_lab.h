// The bank of an experiment: its files, the relays between its gateways, the faults on them, the
// changes that are submitted throughout, and what the judge is told.
#ifndef PADDLESTILE_LAB_BANK_LAB_H_
#define PADDLESTILE_LAB_BANK_LAB_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/bank_judge.h"
#include "lab/experiment.h"
#include "lab/fleet.h"
#include "lab/ledger.h"
#include "lab/relay.h"
#include "net/event_loop.h"

namespace paddlestile::lab {

class BankLab {
 public:
  // Makes the files and begins the bank at the first gateway. `place`: the first of the addresses
  // that are its own. Throws std::system_error or net::ConfigError.
  BankLab(net::EventLoop& loop, const Experiment& experiment, Ledger& ledger, std::string folder,
          uint64_t seed, size_t place);
  ~BankLab();
  BankLab(const BankLab&) = delete;
  BankLab& operator=(const BankLab&) = delete;

  // The operator's file of a gateway.
  [[nodiscard]] std::string FileOf(size_t gateway) const;
  // The experiment's time 0; `hosts` of the fleet, by their places.
  void Begin(Time zero, std::vector<ListedHost> hosts);

  // Faults on links and disks; those on processes are the runner's, which tells of them here.
  void Play(const Fault& fault);
  void Down(size_t gateway, bool down);
  // What a killed gateway finds when it comes back.
  void ChangeDisk(size_t gateway, DiskIs disk);
  [[nodiscard]] size_t Draw(size_t count);

  BankResult Finish(Time now);

 private:
  class Call;
  [[nodiscard]] Time Now() const { return loop_.Now() - zero_; }
  [[nodiscard]] std::string FolderOf(size_t gateway) const;
  [[nodiscard]] net::Address SeatOf(size_t gateway) const;
  void WriteFile(size_t gateway);
  void Cut(size_t a, size_t b, const Fault& fault, bool on);
  void Flap(std::vector<std::pair<size_t, size_t>> pairs, const Fault& fault, Time until, bool on);
  void Kept(size_t gateway, bool away);
  void Copies();
  void Submit();
  void SubmitOne();
  void Ask(size_t change);

  net::EventLoop& loop_;
  const Experiment& e_;
  Ledger& ledger_;
  std::string folder_;
  std::mt19937_64 random_, faults_;
  size_t place_;
  Time zero_{0};
  std::map<std::pair<size_t, size_t>, std::unique_ptr<Relay>> relays_;  // the lower dials
  std::vector<ListedHost> hosts_;
  // Gateways that the script keeps from the others, by how many faults, and since when not.
  std::vector<int> away_;
  std::vector<Time> back_at_;
  BankJudge judge_;
  struct Change {
    nlohmann::json wish;
    bool done = false, answer_lost = false;
    std::shared_ptr<Call> call;
  };
  std::deque<Change> changes_;
  size_t kept_off_ = 0, block_ = 0;  // a host; since which block
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_BANK_LAB_H_
