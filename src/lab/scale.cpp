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

constexpr size_t kRealUnlessTold = 8;
constexpr size_t kRealMost = 180;            // 200 processes, less the lab and the hollow ones
constexpr double kRealMb = 24;               // of a gateway in a large bank, with room
constexpr double kHollowMb = 0.8;            // of a hollow member, with room
constexpr double kQuiet = 0.3;               // of the run: idle, nothing changes
constexpr double kCalm = 0.3;                // of the rest: changes without faults
constexpr Duration kChangeEvery{450'000};    // us; ten times 19,000 a day
constexpr Duration kLevelWithin{4'000'000};  // us; behind the last change
constexpr size_t kRestartsMost = 200;
constexpr double kLevelAgain = 1.5;  // s; of one that stood still

Duration Us(double s) {
  return Duration(static_cast<int64_t>(s * 1e6));
}
double Seconds(Duration d) {
  return static_cast<double>(d.count()) / 1e6;
}

double HalfOfMemoryMb() {
  return static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE)) /
         2 / 1048576;
}

}  // namespace

Experiment ScaleExperiment(const ScaleOptions& o) {
  if (o.members < kScaleVoters) {
    throw ExperimentError(
        fmt::format("--members {}: fewer than the {} that vote, expected {} or more", o.members,
                    kScaleVoters, kScaleVoters));
  }
  const size_t real = o.real.value_or(std::min(o.members, kRealUnlessTold));
  if (real < kScaleVoters || real > o.members) {
    throw ExperimentError(
        fmt::format("--real {}: expected the {} that vote at least, and no more than --members {}",
                    real, kScaleVoters, o.members));
  }
  if (real > kRealMost) {
    throw ExperimentError(
        fmt::format("--real {}: expected {} at most, for 200 processes in all", real, kRealMost));
  }
  const size_t hollow = o.members - real;
  const double mb = static_cast<double>(real) * kRealMb + static_cast<double>(hollow) * kHollowMb;
  if (mb > HalfOfMemoryMb()) {
    throw ExperimentError(
        fmt::format("--members {}: some {:.0f} MB, expected no more than half of the machine's "
                    "memory, {:.0f} MB",
                    o.members, mb, HalfOfMemoryMb()));
  }
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  if (o.members + 200 > files.rlim_max) {
    throw ExperimentError(fmt::format(
        "--members {}: a voter would hold as many descriptors, expected {} at most by ulimit -n",
        o.members, files.rlim_max - std::min<rlim_t>(200, files.rlim_max)));
  }
  Experiment e;
  e.name = fmt::format("scale-{}", o.members);
  e.about = fmt::format("{} members of a bank, {} of them hollow", o.members, hollow);
  e.seed = o.seed;
  e.length = Us(o.seconds);
  e.zones = {"a"};
  e.kinds = {"std"};
  HostGroup hosts;
  hosts.name = "std";
  hosts.count = o.hosts;
  e.hosts = {hosts};
  ClassSpec reads;
  reads.name = "read";
  reads.rules.latency_objective = Us(0.4);
  reads.rules.deadline = Us(1.5);
  reads.work_ms = {2, 6};
  reads.wait_ms = {1, 5};
  e.classes = {reads};
  if (o.tenants > 0) {
    e.tenants = {{"t-000000", 1}};
  }
  e.load.rate = {{Duration(0), o.rate}};
  e.load.max_retries = 2;
  e.gateway.count = real;
  e.gateway.sockets = std::max<size_t>(1024, o.members + 512);
  if (!o.bank) {
    e.about = fmt::format("{} gateways without a bank", real);
    return e;
  }
  ClusterSpec& b = e.cluster;
  b.enabled = b.measured = true;
  b.voters = kScaleVoters;
  b.uses_delta_changes = o.deltas;
  b.changes_idempotency = o.tenants == 0;
  b.change_interval = kChangeEvery;
  b.quiet_before_end = kLevelWithin;
  b.quiet_after_start = Us(o.seconds * kQuiet);
  b.simulated_members = hollow;
  b.tenants_per_version = o.tenants;
  b.simulated_member_faults_at = Us(o.seconds * (kQuiet + (1 - kQuiet) * kCalm));
  if (!o.calm) {
    b.simulated_member_restarts = std::min(kRestartsMost, hollow / 5);
    b.simulated_member_link_cuts = hollow / 20;
    b.stalls_simulated_members = hollow >= 10;
    b.simulated_member_stall = Us(o.stall_ms / 1000);
    b.simulated_member_read_bytes_per_s = o.read_bytes_per_s;
    // What stood still last has a while to be level.
    const double over =
        Seconds(kSimulatedMemberFaultDuration + 2 * b.simulated_member_stall) + kLevelAgain;
    const double needed = over / (1 - kQuiet - (1 - kQuiet) * kCalm);
    if (b.stalls_simulated_members && o.seconds < needed) {
      throw ExperimentError(
          fmt::format("--stall-ms {}: expected --seconds {:.0f} or more, for all "
                      "to be level behind the last stop",
                      o.stall_ms, std::ceil(needed)));
    }
  } else {
    b.simulated_member_faults_at = e.length - kLevelWithin;
  }
  if (o.leader_dies) {
    Fault dies;
    dies.kind = FaultKind::kGatewayKill;
    dies.name = "gateway-kill";
    dies.at = b.simulated_member_faults_at + Us(0.5);
    dies.downtime = Us(2);
    dies.gateway = 0;  // where the bank was begun
    e.faults.push_back(dies);
  }
  return e;
}

std::string ScaleText(const Result& r) {
  const ScaleFigures& s = r.scale;
  const std::string requests = fmt::format(
      "  requests: {} asked, {} lost, {} answered twice, p50 {:.1f}, p99 {:.1f} ms\n",
      r.counts.asked, r.counts.lost, r.counts.answered_twice, r.p50_us / 1000.0, r.p99_us / 1000.0);
  const auto faults = [&] {
    std::string lines;
    for (const std::string& line : r.broken) {
      lines += fmt::format("  broken: {}\n", line);
    }
    for (const std::string& line : r.late) {
      lines += fmt::format("  void: {}\n", line);
    }
    return lines;
  };
  if (!s.on) {
    return fmt::format("{}, seed {}: {}\n  {} gateways, no bank\n", r.experiment, r.seed,
                       NameOf(r.verdict), r.gateways) +
           requests + faults();
  }
  std::string text = fmt::format(
      "{}, seed {}: {}\n  members {} ({} real, {} hollow), all linked after {:.0f} ms\n",
      r.experiment, r.seed, NameOf(r.verdict), s.members, s.real, s.hollow, s.linked_ms);
  const auto role = [&](const char* name, const RoleFigures& f) {
    if (f.processes == 0) {
      return;
    }
    text += fmt::format(
        "  {:<8} {:.4f} of a core, {:.1f} MB, {:.0f} descriptors, {:.0f} bytes/s in, {:.0f} out, "
        "{:.1f} messages/s\n",
        name, f.cpu_core, f.rss_mb, f.descriptors, f.bytes_in_s, f.bytes_out_s, f.messages_s);
  };
  role("leader", s.leader);
  role("voter", s.voter);
  role("gateway", s.gateway);
  if (s.hollow > 0) {
    text += fmt::format("  hollow   {:.5f} of a core, {:.2f} MB each\n", s.hollow_cpu_core,
                        s.hollow_rss_mb);
  }
  text += fmt::format(
      "  {} changes of {:.0f} bytes, in force p50 {:.0f}, p99 {:.0f}, most {:.0f} ms, {:.0f} bytes "
      "to a member{}; beside faults {:.0f} ms at most\n  told done p50 {:.0f}, p99 {:.0f} ms; "
      "`bank change` {} times, {:.0f} ms of processor and {:.1f} MB at most\n"
      "  {} of {} members in force at the end; {} "
      "returned, level within {:.0f} ms{}\n  contradiction at most {:.0f} ms\n"
      "  machine: {:.0f} MB, {} processes at most\n",
      s.changes, s.version_bytes, s.in_force_ms_p50, s.in_force_ms_p99, s.in_force_ms_most,
      s.change_bytes_each,
      s.change_cpu_ms ? fmt::format(", {:.2f} ms of a gateway's processor", *s.change_cpu_ms) : "",
      s.faults_in_force_ms_most, s.told_ms_p50, s.told_ms_p99, s.command_ms.size(),
      s.command_cpu_ms_most, s.command_rss_mb_most, s.members_in_force, s.members, s.returned,
      s.level_ms_most,
      s.return_bytes_each ? fmt::format(", {:.0f} bytes each", *s.return_bytes_each) : "",
      std::max(s.contradiction_ms_most, r.bank.max_contradiction_ms), s.rss_mb_most,
      s.processes_most);
  return text + requests + faults();
}

namespace {

// The command line that plays this run again.
std::string ScaleCommand(const ScaleOptions& o, const ScaleFigures& s, size_t real) {
  std::string command = fmt::format(
      "paddlestile lab scale --members {} --real {} --tenants {} --seconds {} --seed {} --rate {}",
      s.on ? s.members : o.members, real, o.tenants, o.seconds, o.seed, o.rate);
  const ScaleOptions usual;
  if (o.leader_dies) {
    command += " --leader-dies";
  }
  if (o.deltas) {
    command += " --deltas";
  }
  if (o.calm) {
    command += " --calm";
  }
  if (!o.bank) {
    command += " --no-bank";
  }
  if (o.hosts != usual.hosts) {
    command += fmt::format(" --hosts {}", o.hosts);
  }
  if (o.stall_ms != usual.stall_ms) {
    command += fmt::format(" --stall-ms {}", o.stall_ms);
  }
  if (o.read_bytes_per_s > 0) {
    command += fmt::format(" --read-bytes-per-s {}", o.read_bytes_per_s);
  }
  return command;
}

}  // namespace

std::string ScaleJson(const ScaleOptions& o, const Result& r, double load) {
  const ScaleFigures& s = r.scale;
  const auto role = [](const RoleFigures& f) -> json {
    if (f.processes == 0) {
      return nullptr;
    }
    return {{"processes", f.processes},   {"cpu_core", f.cpu_core},
            {"rss_mb", f.rss_mb},         {"descriptors", f.descriptors},
            {"bytes_in_s", f.bytes_in_s}, {"bytes_out_s", f.bytes_out_s},
            {"messages_s", f.messages_s}};
  };
  const size_t real = s.on ? s.real : r.gateways;
  const std::string command = ScaleCommand(o, s, real);
  const ScaleOptions usual;
  // What faults take is told apart where some members read slower than they usually do.
  const bool slow = o.read_bytes_per_s > 0 || o.stall_ms > usual.stall_ms;
  const json none;
  const auto when = [&](bool so, double value) {
    return so ? json(value) : none;
  };
  json all = {
      {"command", command},
      {"commit", o.commit},
      {"members", s.on ? json(s.members) : none},
      {"real", real},
      {"hollow", s.hollow},
      {"seed", r.seed},
      {"seconds", r.seconds},
      {"tenants", o.tenants},
      {"hosts", o.hosts},
      {"bank", o.bank},
      {"load", load},
      {"linked_ms", s.linked_ms},
      {"leader", role(s.leader)},
      {"voter", role(s.voter)},
      {"gateway", role(s.gateway)},
      {"hollow_member", {{"cpu_core", s.hollow_cpu_core}, {"rss_mb", s.hollow_rss_mb}}},
      {"change",
       {{"count", s.changes},
        {"version_bytes", s.version_bytes},
        {"in_force_ms",
         {{"p50", s.in_force_ms_p50}, {"p99", s.in_force_ms_p99}, {"most", s.in_force_ms_most}}},
        {"faults_in_force_ms_most", when(!o.calm && !slow, s.faults_in_force_ms_most)},
        {"slow_in_force_ms_most", when(!o.calm && slow, s.faults_in_force_ms_most)},
        {"told_ms", {{"p50", s.told_ms_p50}, {"p99", s.told_ms_p99}, {"most", s.told_ms_most}}},
        {"members_in_force", s.members_in_force},
        {"bytes_each", s.change_bytes_each},
        {"cpu_ms_each", s.change_cpu_ms ? json(*s.change_cpu_ms) : json()}}},
      {"return",
       {{"members", s.returned},
        {"level_ms_most", when(s.returned > 0 && !slow, s.level_ms_most)},
        {"slow_level_ms_most", when(s.returned > 0 && slow, s.level_ms_most)},
        {"bytes_each", s.return_bytes_each ? json(*s.return_bytes_each) : json()}}},
      {"operator",
       {{"changes", s.command_ms.size()},
        {"most_ms",
         when(!s.command_ms.empty(), s.command_ms.empty() ? 0 : std::ranges::max(s.command_ms))},
        {"cpu_s", when(!s.command_ms.empty(), s.command_cpu_ms_most / 1000)},
        {"memory_mb", when(!s.command_ms.empty(), s.command_rss_mb_most)}}},
      {"contradiction_ms_most", std::max(s.contradiction_ms_most, r.bank.max_contradiction_ms)},
      {"unavailable_ms_most", r.bank.max_unavailable_ms},
      {"requests",
       {{"asked", r.counts.asked},
        {"served", r.counts.served},
        {"lost", r.counts.lost},
        {"answered_twice", r.counts.answered_twice},
        {"p50_ms", r.p50_us / 1000.0},
        {"p99_ms", r.p99_us / 1000.0}}},
      {"machine",
       {{"rss_mb_most", s.rss_mb_most},
        {"processes_most", s.processes_most},
        {"lab_cpu_core", r.lab_cpu_share},
        {"lab_late_ms_most", r.lab_lag_ms_max}}},
      {"leader_dies", o.leader_dies},
      {"changes", o.deltas ? "delta" : "whole"},
      {"verdict", NameOf(r.verdict)},
      {"broken", r.broken},
      {"void", r.late}};
  if (!o.bank) {
    for (const char* const key :
         {"linked_ms", "leader", "voter", "gateway", "hollow_member", "change", "return",
          "operator", "contradiction_ms_most", "unavailable_ms_most"}) {
      all[key] = none;
    }
  }
  return all.dump(2) + "\n";
}

double MachineLoad() {
  double one = 0;
  return getloadavg(&one, 1) == 1 ? one : 0;
}

}  // namespace paddlestile::lab
