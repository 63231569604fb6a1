#include "lab/scale.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>

namespace paddlestile::lab {
namespace {

using nlohmann::json;

constexpr size_t kDefaultRealMembers = 8;
constexpr size_t kMaxRealMembers = 180;  // 200 processes, less the lab and those of hollow members
constexpr double kRealMemberMb = 24;     // estimate for a gateway in a large cluster, with reserve
constexpr double kHollowMemberMb = 0.8;  // estimate for a hollow member, with reserve
constexpr double kQuietShare = 0.3;      // share of the run at its start in which nothing changes
constexpr double kFaultFreeShare = 0.3;  // share of the rest with changes but without faults
constexpr Duration kChangeInterval{450'000};  // us; ten times the rate of 19,000 per day
constexpr Duration kCatchUpTime{4'000'000};   // us; time for all to act on the last change
constexpr size_t kMaxRestarts = 200;
constexpr double kStallCatchUpSeconds = 1.5;  // for a stopped member to act on the last change

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}
double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

double HalfOfMemoryMb() {
  return static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE)) /
         2 / 1048576;
}

}  // namespace

Experiment ScaleExperiment(const ScaleOptions& options) {
  if (options.members < kScaleVoters) {
    throw ExperimentError(fmt::format("--members {}: fewer than the {} voters, expected {} or more",
                                      options.members, kScaleVoters, kScaleVoters));
  }
  const size_t real = options.real.value_or(std::min(options.members, kDefaultRealMembers));
  if (real < kScaleVoters || real > options.members) {
    throw ExperimentError(fmt::format("--real {}: expected {} voters or more, up to --members {}",
                                      real, kScaleVoters, options.members));
  }
  if (real > kMaxRealMembers) {
    throw ExperimentError(fmt::format("--real {}: max {} (200 processes)", real, kMaxRealMembers));
  }
  const size_t hollow = options.members - real;
  const double estimated_mb =
      static_cast<double>(real) * kRealMemberMb + static_cast<double>(hollow) * kHollowMemberMb;
  if (estimated_mb > HalfOfMemoryMb()) {
    throw ExperimentError(fmt::format(
        "--members {}: needs {:.0f} MB, expected at most half of the machine's memory, {:.0f} MB",
        options.members, estimated_mb, HalfOfMemoryMb()));
  }
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (options.members + 200 > limit.rlim_max) {
    throw ExperimentError(fmt::format(
        "--members {}: a voter would hold as many descriptors, expected {} at most by ulimit -n",
        options.members, limit.rlim_max - std::min<rlim_t>(200, limit.rlim_max)));
  }
  Experiment scale;
  scale.name = fmt::format("scale-{}", options.members);
  scale.about = fmt::format("{} members of a cluster, {} of them hollow", options.members, hollow);
  scale.seed = options.seed;
  scale.length = FromSeconds(options.seconds);
  scale.zones = {"a"};
  scale.kinds = {"std"};
  HostGroup hosts;
  hosts.name = "std";
  hosts.count = options.hosts;
  scale.hosts = {hosts};
  ClassSpec read_class;
  read_class.name = "read";
  read_class.rules.latency_objective = FromSeconds(0.4);
  read_class.rules.deadline = FromSeconds(1.5);
  read_class.work_ms = {2, 6};
  read_class.wait_ms = {1, 5};
  scale.classes = {read_class};
  if (options.tenants > 0) {
    scale.tenants = {{"t-000000", 1}};
  }
  scale.load.rate = {{Duration(0), options.rate}};
  scale.load.max_retries = 2;
  scale.gateway.count = real;
  scale.gateway.sockets = std::max<size_t>(1024, options.members + 512);
  if (!options.bank) {
    scale.about = fmt::format("{} gateways without a cluster", real);
    return scale;
  }
  ClusterSpec& cluster = scale.cluster;
  cluster.enabled = cluster.measured = true;
  cluster.voters = kScaleVoters;
  cluster.uses_delta_changes = options.deltas;
  cluster.changes_idempotency = options.tenants == 0;
  cluster.change_interval = kChangeInterval;
  cluster.quiet_before_end = kCatchUpTime;
  cluster.quiet_after_start = FromSeconds(options.seconds * kQuietShare);
  cluster.simulated_members = hollow;
  cluster.tenants_per_version = options.tenants;
  cluster.simulated_member_faults_at =
      FromSeconds(options.seconds * (kQuietShare + (1 - kQuietShare) * kFaultFreeShare));
  if (!options.calm) {
    cluster.simulated_member_restarts = std::min(kMaxRestarts, hollow / 5);
    cluster.simulated_member_link_cuts = hollow / 20;
    cluster.stalls_simulated_members = hollow >= 10;
    cluster.simulated_member_stall = FromSeconds(options.stall_ms / 1000);
    cluster.simulated_member_read_bytes_per_s = options.read_bytes_per_s;
    const double last_fault_s =
        ToSeconds(kSimulatedMemberFaultDuration + 2 * cluster.simulated_member_stall) +
        kStallCatchUpSeconds;  // for the members stopped last to act on the last change
    const double min_s = last_fault_s / (1 - kQuietShare - (1 - kQuietShare) * kFaultFreeShare);
    if (cluster.stalls_simulated_members && options.seconds < min_s) {
      throw ExperimentError(
          fmt::format("--stall-ms {}: expected --seconds {:.0f} or more, for all "
                      "to be level behind the last stop",
                      options.stall_ms, std::ceil(min_s)));
    }
  } else {
    cluster.simulated_member_faults_at = scale.length - kCatchUpTime;
  }
  if (options.leader_dies) {
    Fault leader_kill;
    leader_kill.kind = FaultKind::kGatewayKill;
    leader_kill.name = "gateway-kill";
    leader_kill.at = cluster.simulated_member_faults_at + FromSeconds(0.5);
    leader_kill.downtime = FromSeconds(2);
    leader_kill.gateway = 0;  // the gateway that started the cluster
    scale.faults.push_back(leader_kill);
  }
  return scale;
}

std::string ScaleText(const Result& result) {
  const ScaleFigures& figures = result.scale;
  const std::string requests =
      fmt::format("  requests: {} asked, {} lost, {} answered twice, p50 {:.1f}, p99 {:.1f} ms\n",
                  result.counts.asked, result.counts.lost, result.counts.answered_twice,
                  result.p50_us / 1000.0, result.p99_us / 1000.0);
  const auto problems = [&] {
    std::string lines;
    for (const std::string& line : result.broken) {
      lines += fmt::format("  broken: {}\n", line);
    }
    for (const std::string& line : result.late) {
      lines += fmt::format("  void: {}\n", line);
    }
    return lines;
  };
  if (!figures.on) {
    return fmt::format("{}, seed {}: {}\n  {} gateways, no cluster\n", result.experiment,
                       result.seed, NameOf(result.verdict), result.gateways) +
           requests + problems();
  }
  std::string text = fmt::format(
      "{}, seed {}: {}\n  members {} ({} real, {} hollow), all connected after {:.0f} ms\n",
      result.experiment, result.seed, NameOf(result.verdict), figures.members, figures.real,
      figures.hollow, figures.linked_ms);
  const auto add_role = [&](const char* name, const RoleFigures& role_figures) {
    if (role_figures.processes == 0) {
      return;
    }
    text += fmt::format(
        "  {:<8} {:.4f} of a core, {:.1f} MB, {:.0f} descriptors, {:.0f} bytes/s in, {:.0f} out, "
        "{:.1f} messages/s\n",
        name, role_figures.cpu_core, role_figures.rss_mb, role_figures.descriptors,
        role_figures.bytes_in_s, role_figures.bytes_out_s, role_figures.messages_s);
  };
  add_role("leader", figures.leader);
  add_role("voter", figures.voter);
  add_role("gateway", figures.gateway);
  if (figures.hollow > 0) {
    text += fmt::format("  hollow   {:.5f} of a core, {:.2f} MB each\n", figures.hollow_cpu_core,
                        figures.hollow_rss_mb);
  }
  text += fmt::format(
      "  {} changes of {:.0f} bytes, in force p50 {:.0f}, p99 {:.0f}, maximum {:.0f} ms, {:.0f} "
      "bytes per member{}; at most {:.0f} ms during faults\n  confirmed p50 {:.0f}, p99 {:.0f} ms; "
      "`bank change` {} times, at most {:.0f} ms of CPU time and {:.1f} MB\n"
      "  {} of {} members up to date at the end; {} "
      "restarted, up to date within {:.0f} ms{}\n  contradiction at most {:.0f} ms\n"
      "  machine: at most {:.0f} MB and {} processes\n",
      figures.changes, figures.version_bytes, figures.in_force_ms_p50, figures.in_force_ms_p99,
      figures.in_force_ms_most, figures.change_bytes_each,
      figures.change_cpu_ms
          ? fmt::format(", {:.2f} ms of CPU time of a gateway", *figures.change_cpu_ms)
          : "",
      figures.faults_in_force_ms_most, figures.told_ms_p50, figures.told_ms_p99,
      figures.command_ms.size(), figures.command_cpu_ms_most, figures.command_rss_mb_most,
      figures.members_in_force, figures.members, figures.returned, figures.level_ms_most,
      figures.return_bytes_each ? fmt::format(", {:.0f} bytes each", *figures.return_bytes_each)
                                : "",
      std::max(figures.contradiction_ms_most, result.bank.max_contradiction_ms),
      figures.rss_mb_most, figures.processes_most);
  return text + requests + problems();
}

namespace {

// The command line that repeats this run.
std::string ScaleCommand(const ScaleOptions& options, const ScaleFigures& figures, size_t real) {
  std::string command = fmt::format(
      "paddlestile lab scale --members {} --real {} --tenants {} --seconds {} --seed {} --rate {}",
      figures.on ? figures.members : options.members, real, options.tenants, options.seconds,
      options.seed, options.rate);
  const ScaleOptions defaults;
  if (options.leader_dies) {
    command += " --leader-dies";
  }
  if (options.deltas) {
    command += " --deltas";
  }
  if (options.calm) {
    command += " --calm";
  }
  if (!options.bank) {
    command += " --no-bank";
  }
  if (options.hosts != defaults.hosts) {
    command += fmt::format(" --hosts {}", options.hosts);
  }
  if (options.stall_ms != defaults.stall_ms) {
    command += fmt::format(" --stall-ms {}", options.stall_ms);
  }
  if (options.read_bytes_per_s > 0) {
    command += fmt::format(" --read-bytes-per-s {}", options.read_bytes_per_s);
  }
  return command;
}

}  // namespace

std::string ScaleJson(const ScaleOptions& options, const Result& result, double machine_load) {
  const ScaleFigures& figures = result.scale;
  const auto role_to_json = [](const RoleFigures& role_figures) -> json {
    if (role_figures.processes == 0) {
      return nullptr;
    }
    return {{"processes", role_figures.processes},   {"cpu_core", role_figures.cpu_core},
            {"rss_mb", role_figures.rss_mb},         {"descriptors", role_figures.descriptors},
            {"bytes_in_s", role_figures.bytes_in_s}, {"bytes_out_s", role_figures.bytes_out_s},
            {"messages_s", role_figures.messages_s}};
  };
  const size_t real = figures.on ? figures.real : result.gateways;
  const std::string command = ScaleCommand(options, figures, real);
  const ScaleOptions defaults;
  // Figures during faults have other keys if some members are slower than by default.
  const bool slow = options.read_bytes_per_s > 0 || options.stall_ms > defaults.stall_ms;
  const json null_value;
  const auto value_if = [&](bool condition, double value) {
    return condition ? json(value) : null_value;
  };
  json root = {
      {"command", command},
      {"commit", options.commit},
      {"members", figures.on ? json(figures.members) : null_value},
      {"real", real},
      {"hollow", figures.hollow},
      {"seed", result.seed},
      {"seconds", result.seconds},
      {"tenants", options.tenants},
      {"hosts", options.hosts},
      {"bank", options.bank},
      {"load", machine_load},
      {"linked_ms", figures.linked_ms},
      {"leader", role_to_json(figures.leader)},
      {"voter", role_to_json(figures.voter)},
      {"gateway", role_to_json(figures.gateway)},
      {"hollow_member", {{"cpu_core", figures.hollow_cpu_core}, {"rss_mb", figures.hollow_rss_mb}}},
      {"change",
       {{"count", figures.changes},
        {"version_bytes", figures.version_bytes},
        {"in_force_ms",
         {{"p50", figures.in_force_ms_p50},
          {"p99", figures.in_force_ms_p99},
          {"most", figures.in_force_ms_most}}},
        {"faults_in_force_ms_most",
         value_if(!options.calm && !slow, figures.faults_in_force_ms_most)},
        {"slow_in_force_ms_most", value_if(!options.calm && slow, figures.faults_in_force_ms_most)},
        {"told_ms",
         {{"p50", figures.told_ms_p50},
          {"p99", figures.told_ms_p99},
          {"most", figures.told_ms_most}}},
        {"members_in_force", figures.members_in_force},
        {"bytes_each", figures.change_bytes_each},
        {"cpu_ms_each", figures.change_cpu_ms ? json(*figures.change_cpu_ms) : json()}}},
      {"return",
       {{"members", figures.returned},
        {"level_ms_most", value_if(figures.returned > 0 && !slow, figures.level_ms_most)},
        {"slow_level_ms_most", value_if(figures.returned > 0 && slow, figures.level_ms_most)},
        {"bytes_each", figures.return_bytes_each ? json(*figures.return_bytes_each) : json()}}},
      {"operator",
       {{"changes", figures.command_ms.size()},
        {"most_ms",
         value_if(!figures.command_ms.empty(),
                  figures.command_ms.empty() ? 0 : std::ranges::max(figures.command_ms))},
        {"cpu_s", value_if(!figures.command_ms.empty(), figures.command_cpu_ms_most / 1000)},
        {"memory_mb", value_if(!figures.command_ms.empty(), figures.command_rss_mb_most)}}},
      {"contradiction_ms_most",
       std::max(figures.contradiction_ms_most, result.bank.max_contradiction_ms)},
      {"unavailable_ms_most", result.bank.max_unavailable_ms},
      {"requests",
       {{"asked", result.counts.asked},
        {"served", result.counts.served},
        {"lost", result.counts.lost},
        {"answered_twice", result.counts.answered_twice},
        {"p50_ms", result.p50_us / 1000.0},
        {"p99_ms", result.p99_us / 1000.0}}},
      {"machine",
       {{"rss_mb_most", figures.rss_mb_most},
        {"processes_most", figures.processes_most},
        {"lab_cpu_core", result.lab_cpu_share},
        {"lab_late_ms_most", result.lab_lag_ms_max}}},
      {"leader_dies", options.leader_dies},
      {"changes", options.deltas ? "delta" : "whole"},
      {"verdict", NameOf(result.verdict)},
      {"broken", result.broken},
      {"void", result.late}};
  if (!options.bank) {
    for (const char* const key :
         {"linked_ms", "leader", "voter", "gateway", "hollow_member", "change", "return",
          "operator", "contradiction_ms_most", "unavailable_ms_most"}) {
      root[key] = null_value;
    }
  }
  return root.dump(2) + "\n";
}

double MachineLoad() {
  double load = 0;
  return getloadavg(&load, 1) == 1 ? load : 0;
}

}  // namespace paddlestile::lab
