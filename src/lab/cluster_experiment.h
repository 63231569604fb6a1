// The cluster of an experiment: its configuration files, the relays between its gateways, the
// faults of links and disks, the changes submitted during the run, and the events for the invariant
// checks.
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

class ClusterExperiment {
 public:
  // Writes the files and initializes the cluster at the first gateway. `first_address`: index of
  // the first loopback address of the range that belongs to this cluster. Throws std::system_error
  // or net::ConfigError.
  ClusterExperiment(EventLoop& loop, const Experiment& experiment, Ledger& ledger,
                    std::string folder, uint64_t seed, size_t first_address);
  ~ClusterExperiment();
  ClusterExperiment(const ClusterExperiment&) = delete;
  ClusterExperiment& operator=(const ClusterExperiment&) = delete;

  // Path of a gateway's operator configuration.
  [[nodiscard]] std::string ConfigFileOf(size_t gateway) const;
  // Starts submitting changes. `zero`: the experiment's time 0. `hosts`: the hosts of the fleet.
  void Begin(Time zero, std::vector<ListedHost> hosts);

  // Injects a fault of links or disks. The runner injects faults of processes and reports them with
  // `SetDown`.
  void InjectFault(const Fault& fault);
  void SetDown(size_t gateway, bool down);
  // Replaces the disk of a killed gateway before its restart.
  void ReplaceDisk(size_t gateway, DiskState disk);
  [[nodiscard]] size_t Draw(size_t count);

  // Starts the simulated members, which have no clients, after the gateways have started. `usage`
  // returns the resource usage of a gateway's process.
  void StartSimulatedMembers(std::function<Process::Usage(size_t)> usage);
  // Whether the first gateway leads and is connected to all members; polled before time 0.
  [[nodiscard]] bool AllMembersConnected();

  ClusterResult Finish(Time now);
  // Returns the figures of a run at scale, after `Finish`; disabled if nothing was to be measured.
  ScaleFigures FinishScaleFigures();

 private:
  class Call;
  [[nodiscard]] Time Now() const { return loop_.Now() - zero_; }
  [[nodiscard]] std::string DataFolderOf(size_t gateway) const;
  [[nodiscard]] Address AddressOf(size_t gateway) const;
  void WriteConfigFile(size_t gateway);
  void SetLinkFault(size_t a, size_t b, const Fault& fault, bool on);
  void FlapLinks(std::vector<std::pair<size_t, size_t>> pairs, const Fault& fault, Time until,
                 bool on);
  void MarkIsolated(size_t gateway, bool isolated);
  void CopyDisks();
  void SubmitNext();
  void SubmitChange();
  void SubmitByCall(size_t change_index);

  // ---- Runs at scale
  // The counters of all gateways at one moment.
  struct Sample {
    Duration at{0};
    std::vector<nlohmann::json> status;  // null without an answer
    std::vector<Process::Usage> usage;
    double hollow_cpu_us = 0;
  };
  [[nodiscard]] Address SimulatedMemberAddress(size_t number) const;
  void WriteSimulatedMembersConfig() const;
  void Measure(Sample& sample);
  void ScheduleMeasurements();
  void MeasureMemory();
  void InjectSimulatedMemberFaults();
  void StallProcess(bool stop, Time until);
  void SetSlowReading(bool on);
  // Whether a simulated member reads slowly, so that voters send to it through a relay.
  [[nodiscard]] bool IsSlowReader(size_t number) const;
  [[nodiscard]] Address SlowRelayAddress(size_t voter, size_t number) const;
  void SubmitByCommand(size_t change_index);
  void AwaitCommand(size_t change_index);
  [[nodiscard]] RoleFigures FiguresOfRole(const Sample& a, const Sample& b, bool leads,
                                          bool votes) const;
  [[nodiscard]] double LeaderBytesSent(const Sample& a, const Sample& b) const;

  EventLoop& loop_;
  const Experiment& experiment_;
  Ledger& ledger_;
  std::string folder_;
  std::mt19937_64 random_, fault_random_;
  size_t first_address_;
  Time zero_{0};
  // By pair of gateways; the one with the lower index connects.
  std::map<std::pair<size_t, size_t>, std::unique_ptr<Relay>> relays_;
  std::vector<ListedHost> hosts_;
  // By gateway: how many faults isolate it at present, and until when it counts as isolated after
  // the last one.
  std::vector<int> isolation_count_;
  std::vector<Time> isolated_until_;
  ClusterInvariantChecker invariants_;
  struct Change {
    nlohmann::json request;
    bool done = false, answer_lost = false;
    std::shared_ptr<Call> call;
    std::unique_ptr<Process> command;  // `paddlestile bank change`, if it submits the change
    Duration command_started_at{0};    // MonotonicNow()
  };
  std::deque<Change> changes_;
  // The parts of a version that differ between changes.
  struct VersionContent {
    std::set<size_t> barred;  // hosts
    bool first_class_unsafe = false;
    std::vector<int> quotas;  // by tenant
    uint64_t version = 0;     // 0: not acknowledged yet
  };
  std::deque<VersionContent> contents_;  // by change
  [[nodiscard]] const VersionContent* LastAcknowledged() const;
  [[nodiscard]] nlohmann::json DocumentOf(const VersionContent& content) const;
  [[nodiscard]] nlohmann::json DeltaOf(const VersionContent& previous,
                                       const VersionContent& content) const;
  bool adding_tenants_ = false;  // tenants are being added by successive changes
  Time tenants_added_at_{0};     // when all were added, if that took several changes
  std::optional<ExclusionPlan> exclusion_plan_;
  size_t last_block_ = 0;  // of the last change
  // Runs at scale: processes of simulated members, their faults, and the samples for the figures.
  struct SimulatedProcess {
    std::unique_ptr<Process> process;
    std::string record_file, log;
    size_t first = 0, count = 0;
  };
  std::vector<SimulatedProcess> simulated_processes_;
  size_t stalled_process_ = 0;  // the process that is repeatedly stopped and continued
  // The first simulated member that reads slowly; so does every tenth one after it.
  size_t first_slow_reader_ = 0;
  std::vector<std::unique_ptr<Relay>> slow_relays_;
  std::function<Process::Usage(size_t)> usage_;
  std::shared_ptr<Call> status_call_;
  std::vector<std::shared_ptr<Call>> measurement_calls_;
  bool all_connected_ = false, stalls_ = false;
  Duration started_at_{0}, faults_began_at_{0}, ended_at_{0};  // MonotonicNow()
  Sample idle_begin_, idle_end_, changes_begin_, changes_end_, run_end_;
  ScaleFigures figures_;
  std::vector<Time> last_receipt_;  // by gateway
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_CLUSTER_EXPERIMENT_H_
