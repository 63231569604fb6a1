#include "lab/cluster_experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>

#include "cluster/codec.h"
#include "config/operator_config.h"
#include "event/stream.h"
#include "gateway/cluster_agent.h"
#include "lab/listener.h"
#include "peer/blocking_call.h"
#include "peer/call.h"
#include "peer/framing.h"
#include "peer/peer_connections.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr Duration kFirstChangeAt{1'500'000};           // us; the cluster has formed by then
constexpr Duration kCallTimeout{1'200'000};             // us; after this the answer counts as lost
constexpr Duration kRetryDelay{100'000};                // us; after a call without a result
constexpr Duration kBlockDuration{6'000'000};           // us
constexpr size_t kPairEvery = 5, kLostAnswerEvery = 7;  // one of so many changes
// Tenants in the first change, and tenants added by one delta.
constexpr size_t kMaxTenantsOfFirstChange = 4000, kMaxTenantsAddedByDelta = 1500;
constexpr Duration kTenantChangeInterval{20'000};  // us
constexpr Duration kDiskCopyInterval{2'000'000};  // us; between copies of disks for rollback faults
constexpr size_t kSimulatedProcesses = 10;        // each runs a tenth of the simulated members
constexpr Duration kConnectionCheckInterval{200'000};  // us
constexpr Duration kIdleMeasurementDelay{500'000};     // us; from time 0 to the first measurement
constexpr Duration kMeasurementMargin{400'000};  // us; between a measurement and the first change
constexpr Duration kMemoryInterval{1'000'000};   // us
constexpr size_t kSlowReaderEvery = 10;          // one of so many simulated members reads slowly
constexpr size_t kCommandEvery = 4;              // one of so many changes, in runs at scale
constexpr Duration kCommandPollInterval{2'000};  // us
constexpr Duration kExitTimeout{3'000'000};      // us; of a process of simulated members
constexpr Duration kExitPollInterval{10'000};    // us
// For requests whose host was chosen before a change took effect: covers connection setup and the
// delays of the lab itself.
constexpr Duration kSlack{300'000};  // us

double Ms(Duration d) {
  return static_cast<double>(d.count()) / 1000;
}

}  // namespace

// A call to a member, as operators make it. Reports the answer once; nothing if there was none.
class ClusterExperiment::Call final : public Stream::Listener {
 public:
  Call(EventLoop& loop, const Address& to, const json& call,
       std::function<void(std::optional<json>)> done)
      : loop_(loop), done_(std::move(done)) {
    bool refused = false;
    auto socket = Connect(to, nullptr, refused);
    if (socket) {
      stream_ = std::make_unique<Stream>(loop, std::move(*socket), this, true);
    }
    timer_ = loop_.RunAfter(kCallTimeout, [this] { Finish(std::nullopt); });
    if (stream_ && stream_->Start()) {
      stream_->Write(peer::EncodeCall(call));
    } else {
      Finish(std::nullopt);
    }
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  virtual ~Call() { loop_.CancelTimer(timer_); }
  void OnData() override {
    json value;
    switch (peer::TakeReply(stream_->input(), value)) {
      case peer::FrameStatus::kComplete:
        return Finish(std::move(value));
      case peer::FrameStatus::kMalformed:
      case peer::FrameStatus::kChecksumMismatch:
        return Finish(std::nullopt);
      case peer::FrameStatus::kIncomplete:
        break;
    }
    if (stream_->ended()) {
      Finish(std::nullopt);
    }
  }
  void OnError() override { Finish(std::nullopt); }

 private:
  void Finish(std::optional<json> answer) {
    if (std::exchange(finished_, true)) {
      return;
    }
    loop_.CancelTimer(timer_);
    if (stream_) {
      stream_->Close();
    }
    loop_.RunDeferred([done = done_, answer = std::move(answer)] { done(answer); });
  }
  EventLoop& loop_;
  std::function<void(std::optional<json>)> done_;
  std::unique_ptr<Stream> stream_;
  EventLoop::TimerId timer_;
  bool finished_ = false;
};

ClusterExperiment::ClusterExperiment(EventLoop& loop, const Experiment& experiment, Ledger& ledger,
                                     std::string folder, uint64_t seed, size_t first_address)
    : loop_(loop),
      experiment_(experiment),
      ledger_(ledger),
      folder_(std::move(folder)),
      random_(seed),
      fault_random_(seed ^ 0xfa17),
      first_address_(first_address),
      isolation_count_(experiment.gateway.count),
      isolated_until_(experiment.gateway.count, Time(-10'000'000)),
      invariants_(cluster::MaxDisagreement(raft::RaftTiming(), cluster::kDetectionDelay), kSlack) {
  const size_t count = experiment_.gateway.count;
  // Voters connect to all members; the others do not connect to each other.
  for (size_t a = 0; a < std::min(count, experiment_.cluster.voters); ++a) {
    for (size_t b = a + 1; b < count; ++b) {
      relays_[{a, b}] = std::make_unique<Relay>(
          loop_, LoopbackAddress(first_address_ + count + a * count + b), AddressOf(b), random_());
    }
  }
  if (experiment_.cluster.simulated_member_read_bytes_per_s > 0) {
    first_slow_reader_ = Draw(kSlowReaderEvery);
    for (size_t v = 0; v < std::min(count, experiment_.cluster.voters); ++v) {
      for (size_t n = 0; n < experiment_.cluster.simulated_members; ++n) {
        if (!IsSlowReader(n)) {
          continue;
        }
        slow_relays_.push_back(std::make_unique<Relay>(loop_, SlowRelayAddress(v, n),
                                                       SimulatedMemberAddress(n), random_()));
      }
    }
  }
  last_receipt_.assign(count, Time(-1));
  for (size_t i = 0; i < count; ++i) {
    WriteConfigFile(i);
  }
  if (experiment_.cluster.simulated_members > 0) {
    WriteSimulatedMembersConfig();
  }
  InitCluster(ReadClusterConfig(ConfigFileOf(0), "g000"), "g000");
  CopyDisks();
}

ClusterExperiment::~ClusterExperiment() = default;

std::string ClusterExperiment::ConfigFileOf(size_t i) const {
  return fmt::format("{}/bank-{}.toml", folder_, i);
}
std::string ClusterExperiment::DataFolderOf(size_t i) const {
  return fmt::format("{}/disk-g{:03}", folder_, i);
}
Address ClusterExperiment::AddressOf(size_t i) const {
  return LoopbackAddress(first_address_ + i);
}

void ClusterExperiment::WriteConfigFile(size_t i) {
  std::ofstream file(ConfigFileOf(i));
  file << "[bank]\nname = \"lab\"\n"
       << fmt::format("folder = \"{}/disk-{{name}}\"\nlab_disk = \"{}/control-{}\"\n", folder_,
                      folder_, i)
       << fmt::format("when_lost = \"{}\"\n",
                      experiment_.cluster.drains_when_disconnected ? "drain" : "serve");
  if (experiment_.cluster.uses_delta_changes) {
    file << "changes = \"delta\"\n";
  }
  for (const auto& [gateway, factor] : experiment_.cluster.clock_rates) {
    if (gateway == i) {
      file << fmt::format("lab_clock_factor = {}\n", factor);
    }
  }
  for (size_t j = 0; j < experiment_.gateway.count; ++j) {
    file << fmt::format("[[bank.members]]\nname = \"g{:03}\"\naddress = \"{}\"\nvotes = {}\n", j,
                        ToText(AddressOf(j)), j < experiment_.cluster.voters);
    const auto relay = relays_.find({i, j});
    if (relay != relays_.end()) {
      file << fmt::format("dial = \"{}\"\n",
                          ToText(LoopbackAddress(first_address_ + experiment_.gateway.count +
                                                 i * experiment_.gateway.count + j)));
    }
  }
  for (size_t n = 0; n < experiment_.cluster.simulated_members; ++n) {
    file << fmt::format("[[bank.members]]\nname = \"{}\"\naddress = \"{}\"\n",
                        SimulatedMemberName(n), ToText(SimulatedMemberAddress(n)));
    if (i < experiment_.cluster.voters && IsSlowReader(n)) {
      file << fmt::format("dial = \"{}\"\n", ToText(SlowRelayAddress(i, n)));
    }
  }
}

size_t ClusterExperiment::Draw(size_t count) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
}

void ClusterExperiment::Begin(Time zero, std::vector<ListedHost> hosts) {
  zero_ = zero;
  hosts_ = std::move(hosts);
  ledger_.set_receipt_callback([this](Time now, size_t n, size_t host, size_t copy) {
    const size_t gateway = ledger_.GatewayOf(n);
    last_receipt_[gateway] = now;
    // With when_lost = "serve", an isolated gateway goes on with the version that it has. After it
    // reconnects, it has the duration of a lease to receive newer ones.
    const bool excused = !experiment_.cluster.drains_when_disconnected &&
                         (isolation_count_[gateway] > 0 || now < isolated_until_[gateway]);
    invariants_.RecordReceipt(now, host, gateway, ledger_.RequestOf(n).class_index,
                              ledger_.SentAt(n), copy, excused, ledger_.AttemptId(n));
  });
  loop_.RunAfter(std::max(kFirstChangeAt, experiment_.cluster.quiet_after_start),
                 [this, alive = std::weak_ptr(alive_)] {
                   if (!alive.expired()) {
                     SubmitNext();
                   }
                 });
  if (experiment_.cluster.measured || experiment_.cluster.simulated_members > 0) {
    ScheduleMeasurements();
  }
}

// ---- Faults -----------------------------------------------------------------------------------

void ClusterExperiment::MarkIsolated(size_t gateway, bool isolated) {
  isolation_count_[gateway] += isolated ? 1 : -1;
  if (isolation_count_[gateway] == 0) {
    isolated_until_[gateway] =
        Now() + cluster::MaxDisagreement(raft::RaftTiming(), cluster::kDetectionDelay) +
        Duration(2'500'000);
  }
}

void ClusterExperiment::SetDown(size_t gateway, bool down) {
  MarkIsolated(gateway, down);
}

void ClusterExperiment::SetLinkFault(size_t a, size_t b, const Fault& fault, bool on) {
  const auto entry = relays_.find({std::min(a, b), std::max(a, b)});
  if (entry == relays_.end()) {
    return;
  }
  Relay& relay = *entry->second;
  // `a` sends in the direction `forward` if it is the member that connects.
  RelayDirection& outgoing = a < b ? relay.forward : relay.backward;
  RelayDirection& incoming = a < b ? relay.backward : relay.forward;
  const int cut_change = on ? 1 : -1;
  for (RelayDirection* const direction : {&outgoing, &incoming}) {
    if (fault.link_direction ==
        (direction == &outgoing ? LinkDirection::kIncoming : LinkDirection::kOutgoing)) {
      continue;
    }
    switch (fault.kind) {
      case FaultKind::kLinkSlow:
        direction->delay_ms = on ? fault.delay_ms : UniformRange{0, 0};
        direction->bytes_per_s = on ? fault.bytes_per_s : 0;
        break;
      case FaultKind::kLinkNoise:
        direction->corrupted_share = on ? fault.request_share : 0;
        break;
      default:
        direction->cuts += cut_change;
    }
  }
  relay.ApplySettings();
  if (fault.reset_connections && on) {
    relay.Reset();
  }
}

void ClusterExperiment::FlapLinks(std::vector<std::pair<size_t, size_t>> pairs, const Fault& fault,
                                  Time until, bool on) {
  for (const auto& [a, b] : pairs) {
    SetLinkFault(a, b, fault, on);
  }
  if (!on && Now() >= until) {
    return;
  }
  std::uniform_int_distribution<int64_t> next(50'000, 2'000'000);
  loop_.RunAfter(Duration(next(fault_random_)), [this, pairs = std::move(pairs), &fault, until,
                                                 on] { FlapLinks(pairs, fault, until, !on); });
}

void ClusterExperiment::InjectFault(const Fault& fault) {
  const size_t count = experiment_.gateway.count;
  std::set<size_t> side(fault.gateway_list.begin(), fault.gateway_list.end());
  if (fault.random_gateway_count) {
    // Faults use a generator of their own, so that their targets depend on the seed only.
    std::uniform_int_distribution<size_t> any(0, count - 1);
    while (side.size() < *fault.random_gateway_count) {
      side.insert(any(fault_random_));
    }
  } else if (side.empty()) {
    side.insert(fault.gateway);
  }
  if (fault.kind == FaultKind::kGatewayDisk) {
    for (const size_t i : side) {
      std::ofstream(fmt::format("{}/control-{}", folder_, i))
          << (fault.disk == DiskState::kFull   ? "full"
              : fault.disk == DiskState::kSlow ? fmt::format("slow {}", fault.delay_ms.high)
                                               : "sync-fails");
    }
    loop_.RunAfter(fault.duration, [this, side] {
      for (const size_t i : side) {
        std::ofstream(fmt::format("{}/control-{}", folder_, i)) << "";
      }
    });
    return;
  }
  std::vector<std::pair<size_t, size_t>> pairs;
  for (const size_t a : side) {
    for (size_t b = 0; b < count; ++b) {
      if (!side.contains(b)) {
        pairs.emplace_back(a, b);
      }
    }
  }
  // Either side may lack a majority, so every gateway may be isolated.
  for (size_t i = 0; i < count; ++i) {
    MarkIsolated(i, true);
  }
  loop_.RunAfter(fault.duration, [this, count] {
    for (size_t i = 0; i < count; ++i) {
      MarkIsolated(i, false);
    }
  });
  if (fault.kind == FaultKind::kLinkFlap) {
    return FlapLinks(pairs, fault, Now() + fault.duration, true);
  }
  for (const auto& [a, b] : pairs) {
    SetLinkFault(a, b, fault, true);
  }
  loop_.RunAfter(fault.duration, [this, pairs, &fault] {
    for (const auto& [a, b] : pairs) {
      SetLinkFault(a, b, fault, false);
    }
  });
}

// Copies each disk at intervals, to be restored after a kill by a rollback fault.
void ClusterExperiment::CopyDisks() {
  std::error_code error;
  for (size_t i = 0; i < experiment_.gateway.count; ++i) {
    const std::string log = DataFolderOf(i) + "/log";
    if (fs::exists(log, error) && !fs::exists(log + ".copy", error)) {
      fs::copy_file(log, log + ".copy", fs::copy_options::overwrite_existing, error);
    }
  }
  loop_.RunAfter(kDiskCopyInterval, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      CopyDisks();
    }
  });
}

void ClusterExperiment::ReplaceDisk(size_t i, DiskState disk) {
  std::error_code error;
  const std::string log = DataFolderOf(i) + "/log";
  if (disk == DiskState::kEmpty) {
    fs::remove_all(DataFolderOf(i), error);
  }
  if (disk == DiskState::kRolledBack) {
    fs::rename(log + ".copy", log, error);
  }
}

// ---- Changes ----------------------------------------------------------------------------------

const ClusterExperiment::VersionContent* ClusterExperiment::LastAcknowledged() const {
  const auto last = std::ranges::max_element(contents_, {}, &VersionContent::version);
  return last == contents_.end() || last->version == 0 ? nullptr : &*last;
}

// Submits the next change once all earlier ones are answered, and at times two at once, in no
// order. The first changes add all tenants.
void ClusterExperiment::SubmitNext() {
  if (Now() > experiment_.length - experiment_.cluster.quiet_before_end) {
    return;
  }
  const auto schedule_next = [this](Duration after) {
    loop_.RunAfter(after, [this, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        SubmitNext();
      }
    });
  };
  if (!std::ranges::all_of(changes_, &Change::done)) {
    return schedule_next(adding_tenants_ ? kTenantChangeInterval
                                         : experiment_.cluster.change_interval);
  }
  const VersionContent* const last = LastAcknowledged();
  const bool all_tenants =
      last != nullptr && last->quotas.size() == experiment_.cluster.tenants_per_version;
  if (all_tenants && std::exchange(adding_tenants_, false)) {
    if (changes_.size() > 1) {
      tenants_added_at_ = Now();
      figures_.version_bytes = static_cast<double>(DocumentOf(*last).dump().size());
    }
    if (experiment_.cluster.measured) {
      loop_.RunAfter(kMeasurementMargin, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
          Measure(changes_begin_);
        }
      });
    }
    return schedule_next(experiment_.cluster.change_interval);
  }
  adding_tenants_ = !all_tenants && (contents_.empty() || contents_.back().version > 0);
  SubmitChange();
  const bool whole = experiment_.cluster.tenants_per_version <= kMaxTenantsOfFirstChange;
  if (all_tenants && whole && changes_.size() % kPairEvery == 0) {
    SubmitChange();
  }
  schedule_next(adding_tenants_ ? kTenantChangeInterval : experiment_.cluster.change_interval);
}

void ClusterExperiment::SubmitChange() {
  const size_t change_index = changes_.size();
  ClusterInvariantChecker::RequestedRules requested;
  // No other change is pending that could get the next version.
  const bool none_pending = std::ranges::all_of(changes_, &Change::done);
  const VersionContent* const last = LastAcknowledged();
  VersionContent content;
  if (last != nullptr) {
    content.quotas = last->quotas;
  }
  // Some hosts stay excluded for longer than the bound, so that late attempts to them are detected.
  // Another one is excluded by every other change, so that each change contradicts the previous
  // one. Runs at scale exclude one host only, since their figures refer to changes of that size.
  if (!exclusion_plan_) {
    const bool at_scale = experiment_.cluster.measured || experiment_.cluster.simulated_members > 0;
    exclusion_plan_.emplace(
        hosts_.size(), at_scale ? 1 : ExclusionPlan::RecommendedCount(hosts_.size()), random_());
  }
  const auto block = static_cast<size_t>((Now() - kFirstChangeAt).count() / kBlockDuration.count());
  const bool first_of_block = change_index == 0 || block != last_block_;
  last_block_ = block;
  if (!first_of_block) {
    content.barred = exclusion_plan_->ExcludedInBlock(block);
  }
  if (change_index % 2 == 1) {
    content.barred.insert(exclusion_plan_->ExcludedByOneChange(change_index / 2));
  }
  for (const size_t host : content.barred) {
    requested.excluded_hosts.push_back(hosts_[host].host_index);
  }
  content.first_class_unsafe = experiment_.cluster.changes_idempotency && block % 2 == 1;
  if (content.first_class_unsafe) {
    requested.single_attempt_class = 0;
  }
  const size_t tenants = experiment_.cluster.tenants_per_version,
               existing_tenants = content.quotas.size();
  if (existing_tenants < tenants) {
    // As many as one change can hold, which is all of them in most experiments.
    content.quotas.resize(
        std::min(tenants, last == nullptr ? kMaxTenantsOfFirstChange
                                          : existing_tenants + kMaxTenantsAddedByDelta),
        1000);
    if (!experiment_.cluster.uses_delta_changes) {
      content.quotas.resize(tenants, 1000);
    }
  } else if (tenants > 0) {
    // The lab's clients use the first tenant. No tenant comes near its quota.
    content.quotas[change_index * 7919 % tenants] = 2000 + static_cast<int>(change_index);
  }
  cluster::ChangeRequest request;
  request.change.id = fmt::format("lab-{}", change_index);
  request.change.author = "lab";
  request.change.reason = fmt::format("change {}", change_index);
  // Measured runs and runs with many tenants use deltas, as operators of many tenants would. Others
  // alternate, because leaders derive deltas from whole versions, too.
  request.change.is_delta =
      experiment_.cluster.uses_delta_changes && last != nullptr && none_pending &&
      (experiment_.cluster.measured || change_index % 2 == 1 || tenants > kMaxTenantsOfFirstChange);
  request.change.document =
      (request.change.is_delta ? DeltaOf(*last, content) : DocumentOf(content)).dump();
  if (!request.change.is_delta) {
    figures_.version_bytes = static_cast<double>(request.change.document.size());
  }
  changes_.emplace_back().request = cluster::ToJson(request);
  contents_.push_back(std::move(content));
  invariants_.RecordSubmission(Now(), std::move(requested));
  if (experiment_.cluster.measured && !adding_tenants_ && change_index % kCommandEvery == 2) {
    return SubmitByCommand(change_index);
  }
  SubmitByCall(change_index);
}

namespace {

std::string TenantName(size_t tenant) {
  return fmt::format("t-{:06}", tenant);
}

}  // namespace

json ClusterExperiment::DocumentOf(const VersionContent& content) const {
  json document = {{"barred", json::array()}};
  for (const size_t host : content.barred) {
    document["barred"].push_back(hosts_[host].id);
  }
  if (experiment_.cluster.changes_idempotency) {
    json classes = json::parse(SettingsJson(experiment_, 0))["Classes"];
    if (content.first_class_unsafe) {
      classes[0]["Effect"] = "unsafe";
    }
    document["settings"]["Classes"] = std::move(classes);
  }
  for (size_t tenant = 0; tenant < content.quotas.size(); ++tenant) {
    document["settings"]["Tenants"].push_back(
        {{"Name", TenantName(tenant)}, {"QuotaPerS", content.quotas[tenant]}});
  }
  return document;
}

// Written by the lab as an operator would, independently of the program's own delta code.
json ClusterExperiment::DeltaOf(const VersionContent& previous,
                                const VersionContent& content) const {
  json delta = {{"barred", {{"add", json::array()}, {"remove", json::array()}}}};
  for (const size_t host : content.barred) {
    if (!previous.barred.contains(host)) {
      delta["barred"]["add"].push_back(hosts_[host].id);
    }
  }
  for (const size_t host : previous.barred) {
    if (!content.barred.contains(host)) {
      delta["barred"]["remove"].push_back(hosts_[host].id);
    }
  }
  if (previous.first_class_unsafe != content.first_class_unsafe) {
    const json first = json::parse(SettingsJson(experiment_, 0))["Classes"][0];
    delta["settings"]["Classes"][first["Name"].get<std::string>()]["Effect"] =
        content.first_class_unsafe ? json("unsafe") : first.value("Effect", json());
  }
  for (size_t tenant = 0; tenant < content.quotas.size(); ++tenant) {
    if (tenant < previous.quotas.size() && previous.quotas[tenant] == content.quotas[tenant]) {
      continue;
    }
    delta["settings"]["Tenants"][TenantName(tenant)]["QuotaPerS"] = content.quotas[tenant];
  }
  return delta;
}

// Submits a change by the program's own command, as operators do. The command retries by itself.
void ClusterExperiment::SubmitByCommand(size_t change_index) {
  const cluster::ChangeRequest request =
      *cluster::ParseChangeRequest(changes_[change_index].request);
  const std::string path = fmt::format("{}/change-{}", folder_, change_index);
  std::ofstream(path + ".json") << request.change.document << std::flush;
  std::vector<std::string> arguments = {fs::read_symlink("/proc/self/exe").string(),
                                        "bank",
                                        "change",
                                        path + ".json",
                                        "--id",
                                        request.change.id,
                                        "--author",
                                        request.change.author,
                                        "--reason",
                                        request.change.reason,
                                        "--json"};
  if (request.change.is_delta) {
    arguments.emplace_back("--delta");
  }
  const size_t first = Draw(experiment_.gateway.count);
  for (size_t i = 0; i < experiment_.gateway.count; ++i) {
    arguments.insert(arguments.end(),
                     {"--at", ToText(AddressOf((first + i) % experiment_.gateway.count))});
  }
  changes_[change_index].command_started_at = MonotonicNow();
  changes_[change_index].command = std::make_unique<Process>(
      arguments, std::vector<std::pair<std::string, std::string>>{}, path + ".log");
  // Polls only after a delay: until its exec the child has the memory of this process.
  loop_.RunAfter(kCommandPollInterval, [this, change_index, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      AwaitCommand(change_index);
    }
  });
}

void ClusterExperiment::AwaitCommand(size_t change_index) {
  Change& change = changes_[change_index];
  const auto code = change.command->ExitCode();
  if (!code) {
    const auto memory_mb = static_cast<double>(change.command->Measure().rss_kb) / 1024;
    figures_.command_rss_mb_most = std::max(figures_.command_rss_mb_most, memory_mb);
    loop_.RunAfter(kCommandPollInterval, [this, change_index, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        AwaitCommand(change_index);
      }
    });
    return;
  }
  const std::string last_line = TailOf(fmt::format("{}/change-{}.log", folder_, change_index), 1);
  const double cpu_ms = change.command->TotalCpuUs() / 1000;
  change.command.reset();
  const json answer = json::parse(last_line, nullptr, false);
  // Not acknowledged: submits the same id by a call, which must count once.
  if (*code != 0 || !answer.is_object() || !answer.contains("version")) {
    return SubmitByCall(change_index);
  }
  figures_.command_ms.push_back(Ms(MonotonicNow() - change.command_started_at));
  figures_.command_cpu_ms_most = std::max(figures_.command_cpu_ms_most, cpu_ms);
  change.done = true;
  contents_[change_index].version = answer["version"].get<uint64_t>();
  invariants_.RecordAcknowledgement(Now(), change_index, contents_[change_index].version);
}

// Submits a change through a random gateway, which may be isolated, and retries at another one if
// there is no result.
void ClusterExperiment::SubmitByCall(size_t change_index) {
  if (changes_[change_index].done) {
    return;
  }
  const Address address = AddressOf(Draw(experiment_.gateway.count));
  const auto retry = [this, change_index] {
    loop_.RunAfter(kRetryDelay, [this, change_index, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        SubmitByCall(change_index);
      }
    });
  };
  changes_[change_index].call = std::make_shared<Call>(
      loop_, address, json{{"what", "submit"}, {"wish", changes_[change_index].request}},
      [this, change_index, retry, alive = std::weak_ptr(alive_)](const std::optional<json>& value) {
        if (alive.expired()) {
          return;
        }
        const auto answer = value && value->is_object()
                                ? cluster::ParseChangeResult(value->value("answer", json()))
                                : std::nullopt;
        if (!answer) {
          return retry();
        }
        switch (answer->kind) {
          case cluster::ChangeResult::Kind::kDone:
            // Treats some answers as lost: the change is submitted again and must count once.
            if (change_index % kLostAnswerEvery == 3 &&
                !std::exchange(changes_[change_index].answer_lost, true)) {
              return retry();
            }
            changes_[change_index].done = true;
            contents_[change_index].version = answer->version;
            return invariants_.RecordAcknowledgement(Now(), change_index, answer->version);
          case cluster::ChangeResult::Kind::kRefused:
            changes_[change_index].done = true;
            return invariants_.RecordRefusal(Now(), change_index, answer->text);
          default:
            return retry();
        }
      });
}

ClusterResult ClusterExperiment::Finish(Time now) {
  ledger_.set_receipt_callback(nullptr);
  return invariants_.Finish(now, experiment_.length - experiment_.cluster.quiet_before_end);
}

// ---- Runs at scale ----------------------------------------------------------------------------

Address ClusterExperiment::SimulatedMemberAddress(size_t number) const {
  const size_t count = experiment_.gateway.count;
  return LoopbackAddress(first_address_ + count + count * count + number);
}

// The configuration of simulated members lists the voters and the simulated members, without
// relays.
void ClusterExperiment::WriteSimulatedMembersConfig() const {
  std::ofstream file(folder_ + "/bank-hollow.toml");
  file << "[bank]\nname = \"lab\"\n" << fmt::format("folder = \"{}/hollow\"\n", folder_);
  for (size_t j = 0; j < std::min(experiment_.gateway.count, experiment_.cluster.voters); ++j) {
    file << fmt::format("[[bank.members]]\nname = \"g{:03}\"\naddress = \"{}\"\nvotes = true\n", j,
                        ToText(AddressOf(j)));
  }
  for (size_t n = 0; n < experiment_.cluster.simulated_members; ++n) {
    file << fmt::format("[[bank.members]]\nname = \"{}\"\naddress = \"{}\"\n",
                        SimulatedMemberName(n), ToText(SimulatedMemberAddress(n)));
  }
}

void ClusterExperiment::StartSimulatedMembers(std::function<Process::Usage(size_t)> usage) {
  usage_ = std::move(usage);
  started_at_ = MonotonicNow();
  const size_t process_count = std::min(kSimulatedProcesses, experiment_.cluster.simulated_members);
  const std::string program = fs::read_symlink("/proc/self/exe").string();
  for (size_t k = 0; k < process_count; ++k) {
    SimulatedProcess simulated_process;
    simulated_process.first = experiment_.cluster.simulated_members * k / process_count;
    simulated_process.count =
        experiment_.cluster.simulated_members * (k + 1) / process_count - simulated_process.first;
    simulated_process.record_file = fmt::format("{}/hollow-{}.book", folder_, k);
    simulated_process.log = fmt::format("{}/hollow-{}.log", folder_, k);
    // This process's share of a total over all processes.
    const auto share = [&](size_t total) {
      return total * (k + 1) / process_count - total * k / process_count;
    };
    const std::vector<std::string> arguments = {
        program,
        "lab",
        "hollow",
        "--operator",
        folder_ + "/bank-hollow.toml",
        "--first",
        std::to_string(simulated_process.first),
        "--count",
        std::to_string(simulated_process.count),
        "--book",
        simulated_process.record_file,
        "--seed",
        std::to_string(random_()),
        "--restarts",
        std::to_string(share(experiment_.cluster.simulated_member_restarts)),
        "--cuts",
        std::to_string(share(experiment_.cluster.simulated_member_link_cuts))};
    simulated_process.process = std::make_unique<Process>(
        arguments, std::vector<std::pair<std::string, std::string>>{}, simulated_process.log);
    simulated_processes_.push_back(std::move(simulated_process));
  }
  if (process_count > 0) {
    stalled_process_ = Draw(process_count);
  }
}

bool ClusterExperiment::AllMembersConnected() {
  if (all_connected_ || status_call_) {
    return all_connected_;
  }
  const Address address = AddressOf(0);  // where the cluster was initialized
  status_call_ = std::make_shared<Call>(
      loop_, address, StatusCall(), [this](const std::optional<json>& status) {
        const size_t others = experiment_.gateway.count + experiment_.cluster.simulated_members - 1;
        all_connected_ =
            status && status->is_object() && status->value("leads", false) &&
            status->value("voters", json::array()).size() == experiment_.cluster.voters &&
            status->value("linked", json::array()).size() == others;
        if (all_connected_) {
          figures_.linked_ms = Ms(MonotonicNow() - started_at_);
        }
        loop_.RunAfter(kConnectionCheckInterval, [this, alive = std::weak_ptr(alive_)] {
          if (!alive.expired()) {
            status_call_.reset();
          }
        });
      });
  return false;
}

void ClusterExperiment::Measure(Sample& sample) {
  sample = {};
  sample.at = MonotonicNow();
  sample.status.resize(experiment_.gateway.count);
  for (size_t i = 0; i < experiment_.gateway.count; ++i) {
    sample.usage.push_back(usage_(i));
    measurement_calls_.push_back(std::make_shared<Call>(
        loop_, AddressOf(i), StatusCall(),
        [&sample, i, alive = std::weak_ptr(alive_)](const std::optional<json>& status) {
          if (!alive.expired() && status) {
            sample.status[i] = *status;
          }
        }));
  }
  for (const SimulatedProcess& simulated_process : simulated_processes_) {
    sample.hollow_cpu_us += simulated_process.process->Measure().cpu_us;
  }
}

// Phases: idle from shortly after time 0, then changes, then faults during changes; in the end all
// members must have the last version.
void ClusterExperiment::ScheduleMeasurements() {
  figures_.on = experiment_.cluster.measured;
  const auto schedule = [this](Duration delay, std::function<void()> action) {
    loop_.RunAfter(delay, [action = std::move(action), alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        action();
      }
    });
  };
  if (experiment_.cluster.measured) {
    schedule(kIdleMeasurementDelay, [this] { Measure(idle_begin_); });
    // Ends before the first change. The figures of changes begin after it, since with deltas only
    // the first change is a whole version; see SubmitNext.
    schedule(experiment_.cluster.quiet_after_start - kMeasurementMargin,
             [this] { Measure(idle_end_); });
    schedule(experiment_.cluster.simulated_member_faults_at, [this] { Measure(changes_end_); });
    schedule(experiment_.length, [this] { Measure(run_end_); });
  }
  if (experiment_.cluster.simulated_member_faults_at > Duration(0)) {
    schedule(experiment_.cluster.simulated_member_faults_at,
             [this] { InjectSimulatedMemberFaults(); });
  }
  MeasureMemory();
}

// Measures the memory of all processes at intervals.
void ClusterExperiment::MeasureMemory() {
  uint64_t memory_kb = Process::MeasureSelf().rss_kb;
  for (size_t i = 0; i < experiment_.gateway.count; ++i) {
    memory_kb += usage_(i).rss_kb;
  }
  for (const SimulatedProcess& simulated_process : simulated_processes_) {
    memory_kb += simulated_process.process->Measure().rss_kb;
  }
  figures_.rss_mb_most = std::max(figures_.rss_mb_most, static_cast<double>(memory_kb) / 1024);
  figures_.processes_most = 1 + experiment_.gateway.count + simulated_processes_.size();
  loop_.RunAfter(kMemoryInterval, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      MeasureMemory();
    }
  });
}

void ClusterExperiment::InjectSimulatedMemberFaults() {
  faults_began_at_ = MonotonicNow();
  for (const SimulatedProcess& simulated_process : simulated_processes_) {
    simulated_process.process->Signal(SIGUSR1);
  }
  if (experiment_.cluster.stalls_simulated_members && !simulated_processes_.empty()) {
    StallProcess(true, Now() + kSimulatedMemberFaultDuration);
  }
  if (slow_relays_.empty()) {
    return;
  }
  SetSlowReading(true);
  loop_.RunAfter(kSimulatedMemberFaultDuration, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      SetSlowReading(false);
    }
  });
}

bool ClusterExperiment::IsSlowReader(size_t number) const {
  return experiment_.cluster.simulated_member_read_bytes_per_s > 0 &&
         number % kSlowReaderEvery == first_slow_reader_;
}

Address ClusterExperiment::SlowRelayAddress(size_t voter, size_t number) const {
  const size_t count = experiment_.gateway.count;
  return LoopbackAddress(first_address_ + count + count * count +
                         experiment_.cluster.simulated_members * (1 + voter) + number);
}

// Limits the rate at which voters' data reaches the slow readers.
void ClusterExperiment::SetSlowReading(bool on) {
  for (const auto& relay : slow_relays_) {
    relay->forward.bytes_per_s = on ? experiment_.cluster.simulated_member_read_bytes_per_s : 0;
    relay->ApplySettings();
  }
}

// Repeatedly stops and continues one process, so that its members, a tenth of all, read late.
void ClusterExperiment::StallProcess(bool stop, Time until) {
  simulated_processes_[stalled_process_].process->Signal(stop ? SIGSTOP : SIGCONT);
  if (!stop && Now() >= until) {
    return;
  }
  loop_.RunAfter(experiment_.cluster.simulated_member_stall,
                 [this, stop, until, alive = std::weak_ptr(alive_)] {
                   if (!alive.expired()) {
                     StallProcess(!stop, until);
                   }
                 });
}

RoleFigures ClusterExperiment::FiguresOfRole(const Sample& a, const Sample& b, bool leads,
                                             bool votes) const {
  RoleFigures figures;
  const double seconds = static_cast<double>((b.at - a.at).count()) / 1e6;
  for (size_t i = 0; i < b.status.size() && i < a.status.size(); ++i) {
    const json &from = a.status[i], &to = b.status[i];
    if (!from.is_object() || !to.is_object()) {
      continue;
    }
    if (to.value("leads", false) != leads || to.value("votes", false) != votes) {
      continue;
    }
    ++figures.processes;
    const auto growth = [&](const char* key) {
      return to.value(key, 0.0) - from.value(key, 0.0);
    };
    // Without the answer to the first status call and without the second status call.
    const auto answer = static_cast<double>(peer::EncodeCheckedFrame(from, 0).size());
    const auto question = static_cast<double>(peer::EncodeCall(StatusCall()).size());
    figures.cpu_core += (b.usage[i].cpu_us - a.usage[i].cpu_us) / 1e6 / seconds;
    figures.rss_mb += static_cast<double>(b.usage[i].rss_kb) / 1024;
    figures.descriptors += static_cast<double>(b.usage[i].descriptors);
    figures.bytes_in_s += (growth("bytes_in") - question) / seconds;
    figures.bytes_out_s += (growth("bytes_out") - answer) / seconds;
    figures.messages_s += (growth("frames_in") + growth("frames_out") - 2) / seconds;
  }
  if (figures.processes == 0) {
    return figures;
  }
  const auto process_count = static_cast<double>(figures.processes);
  for (double* const figure : {&figures.cpu_core, &figures.rss_mb, &figures.descriptors,
                               &figures.bytes_in_s, &figures.bytes_out_s, &figures.messages_s}) {
    *figure /= process_count;
  }
  return figures;
}

// Bytes that the leader sent between two samples beyond its idle rate; negative if the leader
// changed.
double ClusterExperiment::LeaderBytesSent(const Sample& a, const Sample& b) const {
  const RoleFigures figures = FiguresOfRole(a, b, true, true);
  const bool same_leader =
      figures.processes == 1 && std::ranges::any_of(a.status, [&](const json& status) {
        return status.is_object() && status.value("leads", false);
      });
  if (!same_leader) {
    return -1;
  }
  const double seconds = static_cast<double>((b.at - a.at).count()) / 1e6;
  return (figures.bytes_out_s - figures_.leader.bytes_out_s) * seconds;
}

ScaleFigures ClusterExperiment::FinishScaleFigures() {
  ScaleFigures& figures = figures_;
  if (!figures.on && simulated_processes_.empty()) {
    return figures;
  }
  ended_at_ = MonotonicNow();
  figures.hollow = experiment_.cluster.simulated_members;
  figures.real = experiment_.gateway.count;
  figures.members = figures.real + figures.hollow;
  figures.leader = FiguresOfRole(idle_begin_, idle_end_, true, true);
  figures.voter = FiguresOfRole(idle_begin_, idle_end_, false, true);
  figures.gateway = FiguresOfRole(idle_begin_, idle_end_, false, false);
  const double idle_s = static_cast<double>((idle_end_.at - idle_begin_.at).count()) / 1e6;
  if (figures.hollow > 0 && idle_s > 0) {
    const auto hollow = static_cast<double>(figures.hollow);
    figures.hollow_cpu_core =
        (idle_end_.hollow_cpu_us - idle_begin_.hollow_cpu_us) / 1e6 / idle_s / hollow;
    for (const SimulatedProcess& child : simulated_processes_) {
      figures.hollow_rss_mb += static_cast<double>(child.process->Measure().rss_kb) / 1024 / hollow;
    }
  }
  std::vector<SimulatedMemberRecord> lines;
  for (SimulatedProcess& child : simulated_processes_) {
    if (const auto code = child.process->ExitCode()) {
      figures.broken.push_back(fmt::format("scale: members {} to {} ended with {}: {}", child.first,
                                           child.first + child.count - 1, *code,
                                           TailOf(child.log, 3)));
    }
    child.process->Signal(SIGCONT);
    child.process->Signal(SIGTERM);
  }
  for (SimulatedProcess& child : simulated_processes_) {
    const Duration until = MonotonicNow() + kExitTimeout;
    while (!child.process->ExitCode() && MonotonicNow() < until) {
      loop_.RunOnce(kExitPollInterval);
    }
    std::ifstream record_file(child.record_file);
    for (std::string text; std::getline(record_file, text);) {
      if (const auto line = ParseSimulatedMemberRecord(text)) {
        lines.push_back(*line);
      } else {
        figures.broken.push_back(fmt::format("scale: malformed record: {}", text));
      }
    }
  }
  const Duration zero = MonotonicNow() - Now();  // converts the experiment's time to MonotonicNow()
  std::vector<ToldChange> changes;
  Time last_acknowledged_at{0};
  for (const ClusterInvariantChecker::AcknowledgedChange& change :
       invariants_.acknowledged_changes()) {
    changes.push_back({change.submitted + zero, change.acknowledged_at + zero, change.version});
    last_acknowledged_at = std::max(last_acknowledged_at, change.acknowledged_at);
  }
  figures.changes = changes.size();
  HollowTerms limits;
  limits.hollow = figures.hollow;
  limits.faults = faults_began_at_ > Duration(0) ? faults_began_at_ : ended_at_;
  if (tenants_added_at_ > Time(0)) {
    limits.from = tenants_added_at_ + zero;
  }
  limits.end = ended_at_;
  limits.bound = cluster::MaxDisagreement(raft::RaftTiming(), cluster::kDetectionDelay);
  if (experiment_.cluster.stalls_simulated_members && !simulated_processes_.empty()) {
    limits.stalled_from = simulated_processes_[stalled_process_].first;
    limits.stalled_to = limits.stalled_from + simulated_processes_[stalled_process_].count;
    limits.stalled = experiment_.cluster.simulated_member_stall;
  }
  JudgeHollow(std::move(lines), changes, limits, figures);
  for (size_t i = 0; i < experiment_.gateway.count; ++i) {
    if (last_receipt_[i] > last_acknowledged_at) {
      ++figures.members_in_force;  // the invariants check that it sends to no excluded host
    } else {
      figures.broken.push_back(fmt::format(
          "scale: level: no host received a request from gateway {} after the last change", i));
    }
  }
  const auto within = [&](const Sample& a, const Sample& b) {
    return static_cast<double>(std::ranges::count_if(changes, [&](const ToldChange& change) {
      return change.submitted >= a.at && change.submitted < b.at;
    }));
  };
  const auto others = static_cast<double>(figures.members - 1);
  const double before = within(changes_begin_, changes_end_),
               after = within(changes_end_, run_end_);
  if (const double out = LeaderBytesSent(changes_begin_, changes_end_); out > 0 && before > 0) {
    figures.change_bytes_each = out / before / others;
  }
  const RoleFigures changing = FiguresOfRole(changes_begin_, changes_end_, false, false);
  if (figures.gateway.processes > 0 && changing.processes > 0 && before > 0) {
    const double seconds = static_cast<double>((changes_end_.at - changes_begin_.at).count()) / 1e6;
    figures.change_cpu_ms =
        std::max(0.0, changing.cpu_core - figures.gateway.cpu_core) * seconds * 1000 / before;
  }
  if (const double out = LeaderBytesSent(changes_end_, run_end_); out > 0 && figures.returned > 0) {
    figures.return_bytes_each = std::max(0.0, out - after * others * figures.change_bytes_each) /
                                static_cast<double>(figures.returned);
  }
  return figures;
}

}  // namespace paddlestile::lab
