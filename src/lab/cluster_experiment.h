// The bank of an experiment: its files, the relays between its gateways, the faults on them, the
// changes that are submitted throughout, and what the judge is told.
#ifndef PADDLESTILE_LAB_CLUSTER_EXPERIMENT_H_
#define PADDLESTILE_LAB_CLUSTER_EXPERIMENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "event/event_loop.h"
#include "lab/cluster_invariants.h"
#include "lab/exclusion_plan.h"
#include "lab/experiment.h"
#include "lab/fleet.h"
#include "lab/ledger.h"
#include "lab/process.h"
#include "lab/relay.h"
#include "lab/scale_figures.h"

namespace paddlestile::lab {

class BankLab {
 public:
  // Makes the files and begins the bank at the first gateway. `place`: the first of the addresses
  // that are its own. Throws std::system_error or net::ConfigError.
  BankLab(EventLoop& loop, const Experiment& experiment, Ledger& ledger, std::string folder,
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
  void ChangeDisk(size_t gateway, DiskState disk);
  [[nodiscard]] size_t Draw(size_t count);

  // Members without clients beside the gateways, and figures of all; the gateways have started.
  // `usage`: of a gateway's process.
  void StartHollow(std::function<Process::Usage(size_t)> usage);
  // Whether one leads them all; asked again and again before time 0.
  [[nodiscard]] bool Linked();

  ClusterResult Finish(Time now);
  // Behind Finish: what a run at size came to; off where nothing was to be measured.
  ScaleFigures FinishScale();

 private:
  class Call;
  [[nodiscard]] Time Now() const { return loop_.Now() - zero_; }
  [[nodiscard]] std::string FolderOf(size_t gateway) const;
  [[nodiscard]] Address SeatOf(size_t gateway) const;
  void WriteFile(size_t gateway);
  void Cut(size_t a, size_t b, const Fault& fault, bool on);
  void Flap(std::vector<std::pair<size_t, size_t>> pairs, const Fault& fault, Time until, bool on);
  void Kept(size_t gateway, bool away);
  void Copies();
  void Submit();
  void SubmitOne();
  void Ask(size_t change);

  // ---- At size
  // The state of all gateways at one moment, by their own counters.
  struct Sample {
    Duration at{0};
    std::vector<nlohmann::json> status;  // null where none came
    std::vector<Process::Usage> used;
    double hollow_cpu_us = 0;
  };
  [[nodiscard]] Address HollowSeat(size_t number) const;
  void WriteHollowFile() const;
  void Measure(Sample& into);
  void WatchSize();
  void Weigh();
  void PlayHollow();
  void Stall(bool stop, Time until);
  void ReadSlowly(bool on);
  // Whether what voters send a hollow member passes a relay of the lab's; its address.
  [[nodiscard]] bool ReadsSlowly(size_t number) const;
  [[nodiscard]] Address SlowSeat(size_t voter, size_t number) const;
  void AskByCommand(size_t change);
  void AwaitCommand(size_t change);
  [[nodiscard]] RoleFigures RoleOf(const Sample& a, const Sample& b, bool leads, bool votes) const;
  [[nodiscard]] double LeaderSent(const Sample& a, const Sample& b) const;

  EventLoop& loop_;
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
  ClusterInvariantChecker judge_;
  struct Change {
    nlohmann::json wish;
    bool done = false, answer_lost = false;
    std::shared_ptr<Call> call;
    std::unique_ptr<Process> command;  // `paddlestile bank change`, where that submits it
    Duration command_began{0};         // the machine's clock
  };
  std::deque<Change> changes_;
  // What the version of a change holds, beside what never changes.
  struct Shape {
    std::set<size_t> barred;  // hosts
    bool unsafe = false;      // the first class
    std::vector<int> quotas;  // by tenant
    uint64_t version = 0;     // as it was told; 0: not yet
  };
  std::deque<Shape> shapes_;  // by change
  [[nodiscard]] const Shape* LastTold() const;
  [[nodiscard]] nlohmann::json WholeOf(const Shape& shape) const;
  [[nodiscard]] nlohmann::json DeltaOf(const Shape& was, const Shape& shape) const;
  bool fills_ = false;  // the tenants come with one change after another
  Time filled_{0};      // when all were there, where that took several
  std::optional<ExclusionPlan> bars_;
  size_t block_ = 0;  // of the last change
  // At size: hollow processes, what befalls them, and the samples by which figures are taken.
  struct HollowPart {
    std::unique_ptr<Process> process;
    std::string book, log;
    size_t first = 0, count = 0;
  };
  std::vector<HollowPart> hollow_;
  size_t stalled_ = 0;  // the part that is stopped by turns
  size_t slow_ = 0;     // the first hollow member that reads slowly, and those a tenth behind it
  std::vector<std::unique_ptr<Relay>> slow_relays_;
  std::function<Process::Usage(size_t)> usage_;
  std::shared_ptr<Call> asking_;
  std::vector<std::shared_ptr<Call>> asked_;
  bool linked_ = false, stalls_ = false;
  Duration started_{0}, faults_from_{0}, over_{0};  // the machine's clock
  Sample idle_from_, idle_to_, first_changed_, changed_, last_;
  ScaleFigures figures_;
  std::vector<Time> last_receipt_;  // by gateway
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_CLUSTER_EXPERIMENT_H_
