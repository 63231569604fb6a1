#include "lab/experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "config/toml_reader.h"

namespace paddlestile::lab {
namespace {

constexpr size_t kHostsMost = 20'000;
constexpr double kLengthMost = 3600;  // s
constexpr double kRateMost = 200'000;

const TomlWords<BadKind> kBadKinds = {{"rubbish", BadKind::kRubbish},
                                      {"endless-head", BadKind::kEndlessHead},
                                      {"bad-length", BadKind::kBadLength},
                                      {"negative-length", BadKind::kNegativeLength},
                                      {"huge-length", BadKind::kHugeLength},
                                      {"two-framings", BadKind::kTwoFramings},
                                      {"unknown-class", BadKind::kUnknownClass},
                                      {"bad-budget", BadKind::kBadBudget},
                                      {"no-id", BadKind::kNoId},
                                      {"half-request", BadKind::kHalfRequest},
                                      {"silent", BadKind::kSilent},
                                      {"trickle", BadKind::kTrickle}};
const TomlWords<FaultKind> kFaultKinds = {{"slow", FaultKind::kSlow},
                                          {"silent", FaultKind::kSilent},
                                          {"errors", FaultKind::kErrors},
                                          {"stall", FaultKind::kStall},
                                          {"neighbour", FaultKind::kNeighbour},
                                          {"resets", FaultKind::kResets},
                                          {"turned-away", FaultKind::kTurnedAway},
                                          {"spoilt", FaultKind::kSpoilt},
                                          {"half-dead", FaultKind::kHalfDead},
                                          {"cut-off", FaultKind::kCutOff},
                                          {"restart", FaultKind::kRestart},
                                          {"drain", FaultKind::kDrain},
                                          {"kill", FaultKind::kKill},
                                          {"add", FaultKind::kAdd},
                                          {"list-silent", FaultKind::kListSilent},
                                          {"list-lag", FaultKind::kListLag},
                                          {"list-malformed", FaultKind::kListMalformed},
                                          {"list-old", FaultKind::kListOld},
                                          {"list-moved", FaultKind::kListMoved},
                                          {"gateway-term", FaultKind::kGatewayTerm},
                                          {"gateway-kill", FaultKind::kGatewayKill},
                                          {"gateway-quiesce", FaultKind::kGatewayQuiesce},
                                          {"gateway-reload", FaultKind::kGatewayReload},
                                          {"gateway-upgrade", FaultKind::kGatewayUpgrade},
                                          {"gateway-hup", FaultKind::kGatewayHup},
                                          {"gateway-hang", FaultKind::kGatewayHang},
                                          {"gateway-stop", FaultKind::kGatewayStop},
                                          {"gateway-disk", FaultKind::kGatewayDisk},
                                          {"link-cut", FaultKind::kLinkCut},
                                          {"link-slow", FaultKind::kLinkSlow},
                                          {"link-flap", FaultKind::kLinkFlap},
                                          {"link-noise", FaultKind::kLinkNoise}};
const TomlWords<Ways> kWays = {{"both", Ways::kBoth}, {"out", Ways::kOut}, {"in", Ways::kIn}};
const TomlWords<UpgradeFate> kFates = {{"takes-over", UpgradeFate::kTakesOver},
                                       {"killed", UpgradeFate::kKilled},
                                       {"stopped", UpgradeFate::kStopped}};
const TomlWords<DiskIs> kDisks = {{"kept", DiskIs::kKept}, {"old", DiskIs::kOld},
                                  {"none", DiskIs::kNone}, {"full", DiskIs::kFull},
                                  {"slow", DiskIs::kSlow}, {"sync-fails", DiskIs::kSyncFails}};
const TomlWords<TamperOutgoing> kSpoils = {{"any", TamperOutgoing::kAny},
                                           {"noise", TamperOutgoing::kNoise},
                                           {"bad-head", TamperOutgoing::kBadHead},
                                           {"endless-head", TamperOutgoing::kEndlessHead},
                                           {"short-length", TamperOutgoing::kShortLength},
                                           {"long-length", TamperOutgoing::kLongLength},
                                           {"huge", TamperOutgoing::kHuge},
                                           {"second-answer", TamperOutgoing::kSecondAnswer},
                                           {"noise-behind", TamperOutgoing::kNoiseBehind},
                                           {"interim", TamperOutgoing::kInterim},
                                           {"bad-report", TamperOutgoing::kBadReport}};
const TomlWords<Idempotency> kEffects = {
    {"safe", Idempotency::kSafe}, {"keyed", Idempotency::kKeyed}, {"unsafe", Idempotency::kUnsafe}};
const TomlWords<DeduplicationScope> kGroups = {{"all", DeduplicationScope::kAll},
                                               {"zone", DeduplicationScope::kZone},
                                               {"cell", DeduplicationScope::kCell}};

bool OnHosts(FaultKind kind) {
  return kind < FaultKind::kAdd;
}

void ThrowFaults(const TomlFaults& faults) {
  if (!faults.lines().empty()) {
    throw ExperimentError(fmt::format("{}", fmt::join(faults.lines(), "\n")));
  }
}

HostGroup ReadHosts(TomlTable& t) {
  HostGroup g;
  t.Read("name", g.name);
  t.Read<size_t>("count", g.count, 1, kHostsMost);
  t.Read<int>("cores", g.cores, 1, 1024);
  t.ReadRange("speed", g.speed.low, g.speed.high, 0.01, 100);
  t.Read("zone", g.zone);
  t.Read("kind", g.kind);
  t.Read<int>("cell", g.cell, 0, 1'000'000);
  t.Read<size_t>("held_most", g.held_most, 1, 1'000'000);
  t.Read<size_t>("connections_most", g.connections_most, 1, 1'000'000);
  t.ReadMillis("handshake_ms", g.handshake);
  t.ReadMillis("probe_work_ms", g.probe_work);
  t.ReadRange("report_ms", g.report_ms.low, g.report_ms.high, 0, 10'000);
  t.Read("stops_work", g.stops_work);
  if (g.name.empty()) {
    t.Fault("name", "empty", "a name");
  }
  return g;
}

ClassSpec ReadClass(TomlTable& t) {
  ClassSpec c;
  c.rules.latency_objective = Duration(1'000'000);
  c.rules.deadline = Duration(3'000'000);
  t.Read("name", c.name);
  if (c.name.empty() || c.name.find_first_of("/? ,") != std::string::npos) {
    t.Fault("name", "empty or not fit for a path", "a word");
  }
  t.Read("effect", c.rules.idempotency, kEffects);
  t.Read("group", c.rules.deduplication_scope, kGroups);
  t.ReadMillis("window_ms", c.rules.deduplication_window);
  t.ReadMillis("aim_ms", c.rules.latency_objective);
  t.ReadMillis("deadline_ms", c.rules.deadline);
  t.Read("worth", c.rules.priority_weight, 0, 1e6);
  t.Read("late_share", c.rules.late_value_fraction, 0, 1);
  t.Read("share", c.share, 0, 1e6);
  t.ReadRange("work_ms", c.work_ms.low, c.work_ms.high, 0, 60'000);
  t.ReadRange("wait_ms", c.wait_ms.low, c.wait_ms.high, 0, 60'000);
  t.ReadRange("body_bytes", c.body_bytes.low, c.body_bytes.high, 0, 65'536);
  t.ReadRange("answer_bytes", c.answer_bytes.low, c.answer_bytes.high, 0, 65'000);
  if (c.rules.latency_objective <= Duration(0)) {
    t.Fault("aim_ms", "0", "more than 0");
  }
  if (c.rules.deadline < c.rules.latency_objective) {
    t.Fault("deadline_ms", "under aim_ms", "at least aim_ms");
  }
  if (c.rules.idempotency == Idempotency::kKeyed && c.rules.deduplication_window <= Duration(0)) {
    t.Fault("window_ms", "missing", "how long a keyed class's repeats are dropped");
  }
  return c;
}

void ReadOptionalMillis(TomlTable& t, const char* key, std::optional<Duration>& value) {
  if (t.Get(key) != nullptr) {
    value = Duration(0);
    t.ReadMillis(key, *value);
  }
}

Fault ReadFault(TomlTable& t) {
  Fault f;
  if (t.Get("kind") == nullptr) {
    t.Fault("kind", "missing", "a kind of fault");
  }
  t.Read("kind", f.kind, kFaultKinds);
  t.Read("kind", f.name);
  t.ReadSeconds("at_s", f.at);
  t.ReadSeconds("for_s", f.lasts);
  t.Read("hosts", f.hosts, 0, 1);
  t.Read<size_t>("count", f.count, 1, kHostsMost);
  if (const toml::node* const names = t.Get("names")) {
    if (const toml::array* const list = names->as_array()) {
      for (const toml::node& name : *list) {
        f.names.push_back(name.value_exact<std::string>().value_or(""));
      }
    } else {
      t.Fault("names", "no list", "a list of hosts' names");
    }
  }
  t.Read("zone", f.zone);
  t.Read("factor", f.factor, 0.01, 1000);
  t.Read("share", f.share, 0, 1);
  t.ReadSeconds("down_s", f.down);
  t.ReadSeconds("leave_s", f.leave);
  t.ReadMillis("stop_ms", f.stop);
  t.ReadSeconds("every_s", f.every);
  t.ReadMillis("lag_ms", f.lag);
  t.Read("how", f.spoil, kSpoils);
  t.Read<size_t>("gateway", f.gateway, 0, 10'000);
  t.Read("class", f.cls);
  if (t.Get("gateways") != nullptr) {
    size_t count = 1;
    t.Read<size_t>("gateways", count, 1, 10'000);
    f.gateways = count;
  }
  if (const toml::node* const from = t.Get("from")) {
    if (const toml::array* const list = from->as_array()) {
      for (const toml::node& one : *list) {
        f.from.push_back(static_cast<size_t>(one.value_exact<int64_t>().value_or(0)));
      }
    } else {
      t.Fault("from", "no list", "a list of gateways");
    }
  }
  t.Read("ways", f.ways, kWays);
  t.Read("resets", f.resets);
  t.ReadRange("delay_ms", f.delay_ms.low, f.delay_ms.high, 0, 60'000);
  t.Read<size_t>("bytes_per_s", f.bytes_per_s, 1, 1'000'000'000);
  t.Read("disk", f.disk, kDisks);
  ReadOptionalMillis(t, "second_term_ms", f.second_term_after);
  ReadOptionalMillis(t, "hup_ms", f.hup_after);
  t.Read("kill_at_earliest", f.kill_at_earliest);
  t.Read("fate", f.fate, kFates);
  t.ReadMillis("fate_after_ms", f.fate_after);
  const int ways = (f.hosts > 0 ? 1 : 0) + (f.count > 0 ? 1 : 0) + (f.names.empty() ? 0 : 1);
  if (OnHosts(f.kind) && ways != 1) {
    t.Fault("hosts", ways == 0 ? "no host named" : "named twice over",
            "one of hosts (a share), count or names");
  }
  if (f.kind == FaultKind::kNeighbour && f.factor >= 1) {
    t.Fault("factor", "all cores or more", "the share of the cores taken, under 1");
  }
  if (f.kind == FaultKind::kStall && f.every <= f.stop) {
    t.Fault("every_s", "no longer than stop_ms", "more");
  }
  return f;
}

void ReadLoad(TomlTable& t, LoadSpec& load) {
  const toml::node* const rate = t.Get("rate");
  if (rate == nullptr) {
    t.Fault("rate", "missing", "requests a second, or [[second, rate], ...]");
  } else if (rate->is_array()) {
    for (const toml::node& step : *rate->as_array()) {
      const toml::array* const pair = step.as_array();
      const auto at = pair != nullptr && pair->size() == 2 ? pair->get(0)->value<double>()
                                                           : std::optional<double>();
      const auto per_s = at ? pair->get(1)->value<double>() : std::optional<double>();
      if (!per_s || *at < 0 || *at > kLengthMost || *per_s < 0 || *per_s > kRateMost ||
          (!load.rate.empty() && *at * 1e6 <= static_cast<double>(load.rate.back().at.count()))) {
        t.Fault("rate", "a step that makes no sense",
                fmt::format("[second, rate] with growing seconds and rates to {}", kRateMost));
        break;
      }
      load.rate.push_back({Duration(std::llround(*at * 1e6)), *per_s});
    }
  } else {
    double per_s = 0;
    t.Read("rate", per_s, 0, kRateMost);
    load.rate.push_back({Duration(0), per_s});
  }
  t.Read<size_t>("connections_most", load.connections_most, 1, 100'000);
  t.Read<size_t>("idle_connections", load.idle_connections, 0, 100'000);
  t.Read<int>("retries", load.retries, 0, 10);
  t.ReadRange("retry_wait_ms", load.retry_wait_ms.low, load.retry_wait_ms.high, 0, 60'000);
  t.Read("leave_share", load.leave_share, 0, 1);
  t.Read("trickle_share", load.trickle_share, 0, 1);
  t.Read("once_share", load.once_share, 0, 1);
  t.Read("keeps_connections", load.keeps_connections);
  t.ReadEach("bad", [&](TomlTable& b) {
    BadClients bad;
    bad.to = Duration(std::llround(kLengthMost * 1e6));
    if (b.Get("kind") == nullptr) {
      b.Fault("kind", "missing", "a kind of bad client");
    }
    b.Read("kind", bad.kind, kBadKinds);
    b.Read("per_s", bad.per_s, 0.01, 10'000);
    b.ReadSeconds("from_s", bad.from);
    b.ReadSeconds("to_s", bad.to);
    load.bad.push_back(bad);
  });
}

void ReadMust(TomlTable& t, Must& must) {
  t.Read("worth_share_least", must.worth_share_least, 0, 1);
  t.Read("served_share_least", must.served_share_least, 0, 1);
  t.Read("refused_share_most", must.refused_share_most, 0, 1);
  t.Read("failed_share_most", must.failed_share_most, 0, 1);
  t.Read("late_share_most", must.late_share_most, 0, 1);
  t.Read("p50_ms_most", must.p50_ms_most, 0, 1e6);
  t.Read("p99_ms_most", must.p99_ms_most, 0, 1e6);
  t.Read("cpu_us_most", must.cpu_us_most, 0, 1e6);
  t.Read("rss_mb_most", must.rss_mb_most, 0, 1e6);
  t.Read("rss_growth_mb_most", must.rss_growth_mb_most, 0, 1e6);
  t.Read("descriptors_most", must.descriptors_most, 0, 1e6);
  t.Read("bad_unanswered_share_most", must.bad_unanswered_share_most, 0, 1);
  t.Read("unavailable_ms_most", must.unavailable_ms_most, 0, 1e6);
  t.Read("follow_ms_p50_most", must.follow_ms_p50_most, 0, 1e6);
  t.Read("changes_done_share_least", must.changes_done_share_least, 0, 1);
  t.ReadEach("window", [&](TomlTable& w) {
    WindowMust window;
    w.ReadSeconds("from_s", window.from);
    w.ReadSeconds("to_s", window.to);
    w.Read("worth_share_least", window.worth_share_least, 0, 1);
    if (window.to <= window.from) {
      w.Fault("to_s", "not after from_s", "a later second");
    }
    must.windows.push_back(window);
  });
}

void ReadRules(TomlTable& t, Experiment& e) {
  t.ReadSeconds("drain_grace_s", e.drain_grace);
  t.Read("cold_from", e.slow_start_initial_capacity, 0.01, 1);
  t.ReadSeconds("warm_s", e.slow_start_duration);
  t.Read("fall_multiple", e.overload_collapse_multiple, 1, 100);
  t.ReadSeconds("fall_s", e.fall);
  t.Read<int>("send_cap", e.max_attempts, 1, 100);
  t.ReadMillis("connect_timeout_ms", e.connect_timeout);
  t.ReadSeconds("idle_close_s", e.idle_close);
  t.ReadSeconds("list_every_s", e.list_every);
  t.Read("probes", e.probes);
  t.Read("retry_after", e.retry_after);
  t.Read("marks_retry", e.marks_retry);
}

void CheckTogether(TomlTable& t, Experiment& e) {
  if (e.hosts.empty()) {
    t.Fault("hosts", "missing", "at least one [[hosts]]");
  }
  if (e.classes.empty()) {
    t.Fault("classes", "missing", "at least one [[classes]]");
  }
  if (e.host_count() > kHostsMost) {
    t.Fault("hosts", fmt::format("{} in all", e.host_count()),
            fmt::format("{} at most", kHostsMost));
  }
  std::set<std::string> names, classes;
  for (const ClassSpec& c : e.classes) {
    if (!classes.insert(c.name).second) {
      t.Fault("classes", c.name + " twice", "names that differ");
    }
  }
  for (const HostGroup& g : e.hosts) {
    for (size_t i = 0; i < g.count; ++i) {
      if (!names.insert(fmt::format("{}-{}", g.name, i + 1)).second) {
        t.Fault("hosts", fmt::format("{}-{} twice", g.name, i + 1), "names that differ");
        break;
      }
    }
    if (std::ranges::count(e.zones, g.zone) == 0) {
      e.zones.push_back(g.zone);
    }
    if (std::ranges::count(e.kinds, g.kind) == 0) {
      e.kinds.push_back(g.kind);
    }
  }
  for (size_t i = 0; i < e.faults.size(); ++i) {
    const Fault& f = e.faults[i];
    const std::string at = fmt::format("faults[{}]", i);
    const toml::node* where = t.Get("faults");
    if (where != nullptr && where->is_array()) {
      where = where->as_array()->get(i);
    }
    const auto fault = [&](std::string_view key, std::string_view what, std::string_view expected) {
      t.FaultAt(where, fmt::format("{}.{}", at, key), what, expected);
    };
    if (f.at > e.length) {
      fault("at_s", "after the end", "a second of the experiment");
    }
    for (const std::string& name : f.names) {
      if (!names.contains(name)) {
        fault("names", fmt::format("no host '{}'", name), "a host's name");
      }
    }
    if (!f.zone.empty() && std::ranges::count(e.zones, f.zone) == 0) {
      fault("zone", fmt::format("no host in '{}'", f.zone), "a zone of [[hosts]]");
    }
    if (f.count > e.host_count() && f.kind != FaultKind::kAdd) {
      fault("count", fmt::format("{} of {} hosts", f.count, e.host_count()),
            "no more than there are");
    }
    if (f.kind >= FaultKind::kGatewayTerm && f.gateway >= e.gateway.count) {
      fault("gateway", fmt::format("no gateway {}", f.gateway),
            fmt::format("0 to {}", e.gateway.count - 1));
    }
    const bool among = f.kind >= FaultKind::kGatewayDisk || f.disk != DiskIs::kKept;
    if (among && !e.bank.on) {
      fault("kind", "no bank", "[bank]");
    }
    for (const size_t gateway : f.from) {
      if (gateway >= e.gateway.count) {
        fault("from", fmt::format("no gateway {}", gateway),
              fmt::format("0 to {}", e.gateway.count - 1));
      }
    }
    if (f.gateways && *f.gateways > e.gateway.count) {
      fault("gateways", fmt::format("{} of {}", *f.gateways, e.gateway.count),
            "no more than there are");
    }
    if (f.kind != FaultKind::kGatewayReload) {
      continue;
    }
    const auto cls = std::ranges::find(e.classes, f.cls, &ClassSpec::name);
    if (cls == e.classes.end()) {
      fault("class", fmt::format("no class '{}'", f.cls), "the class that it brings");
    } else {
      cls->listed = false;
      cls->from = f.at + kReloadPause + kReloadWithin;
    }
  }
}

nlohmann::json ToJson(const toml::node& node) {
  if (const toml::table* const table = node.as_table()) {
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [key, value] : *table) {
      out[std::string(key.str())] = ToJson(value);
    }
    return out;
  }
  if (const toml::array* const array = node.as_array()) {
    nlohmann::json out = nlohmann::json::array();
    for (const toml::node& value : *array) {
      out.push_back(ToJson(value));
    }
    return out;
  }
  if (node.is_integer()) {
    return *node.value_exact<int64_t>();
  }
  if (node.is_floating_point()) {
    return *node.value_exact<double>();
  }
  if (node.is_boolean()) {
    return *node.value_exact<bool>();
  }
  return node.value_exact<std::string>().value_or("");
}

}  // namespace

size_t Experiment::host_count() const {
  size_t count = 0;
  for (const HostGroup& group : hosts) {
    count += group.count;
  }
  return count;
}

Experiment ParseExperiment(std::string_view text, const std::string& path) {
  Experiment e;
  e.path = path;
  TomlFaults faults(path);
  const std::optional<toml::table> root = faults.Parse(text);
  ThrowFaults(faults);
  {
    TomlTable t(*root, "", faults);
    t.Read("name", e.name);
    t.Read("about", e.about);
    t.Read<uint64_t>("seed", e.seed, 0, INT64_MAX);
    t.ReadSeconds("seconds", e.length);
    if (e.name.empty()) {
      t.Fault("name", "missing", "the experiment's name");
    }
    if (e.length < Duration(1'000'000)) {
      t.Fault("seconds", "under 1", "1 to 3600");
    }
    t.ReadEach("hosts", [&](TomlTable& h) { e.hosts.push_back(ReadHosts(h)); });
    t.ReadEach("classes", [&](TomlTable& c) { e.classes.push_back(ReadClass(c)); });
    t.ReadEach("tenants", [&](TomlTable& n) {
      TenantSpec tenant;
      n.Read("name", tenant.name);
      n.Read("share", tenant.share, 0, 1);
      if (tenant.name.empty()) {
        n.Fault("name", "missing", "a tenant's name");
      }
      e.tenants.push_back(tenant);
    });
    if (t.Get("load") == nullptr) {
      t.Fault("load", "missing", "[load]");
    }
    t.ReadTable("load", [&](TomlTable& l) { ReadLoad(l, e.load); });
    t.ReadTable("gateway", [&](TomlTable& g) {
      g.Read<size_t>("count", e.gateway.count, 1, 200);
      g.Read<size_t>("sockets", e.gateway.sockets, 64, 1'000'000);
      g.Read("listen", e.gateway.listen);
      if (const toml::node* const settings = g.Get("settings")) {
        e.gateway.settings_json = ToJson(*settings).dump();
      }
    });
    t.ReadTable("bank", [&](TomlTable& b) {
      e.bank.on = true;
      b.Read<size_t>("voters", e.bank.voters, 1, 9);
      b.ReadMillis("change_every_ms", e.bank.change_every);
      b.ReadSeconds("quiet_last_s", e.bank.quiet_last);
      b.Read("drains", e.bank.drains);
      b.Read("effects", e.bank.effects);
      b.Read<size_t>("hollow", e.bank.hollow, 0, 5000);
      b.Read<size_t>("hollow_restarts", e.bank.hollow_restarts, 0, 5000);
      b.Read<size_t>("hollow_cuts", e.bank.hollow_cuts, 0, 5000);
      b.Read("hollow_stalls", e.bank.hollow_stalls);
      b.ReadMillis("hollow_stall_ms", e.bank.hollow_stall);
      b.Read<size_t>("hollow_read_bytes_per_s", e.bank.hollow_read_bytes_per_s, 0, 1'000'000'000);
      b.ReadSeconds("hollow_faults_at_s", e.bank.hollow_faults_at);
      b.Read("deltas", e.bank.deltas);
      b.Read<size_t>("version_tenants", e.bank.version_tenants, 0, 70'000);
      if (b.Get("clocks") != nullptr) {
        b.ReadTable("clocks", [&](TomlTable& clocks) {
          for (size_t i = 0; i < e.gateway.count; ++i) {
            double factor = 1;
            clocks.Read(fmt::format("g{}", i), factor, 0.5, 2);
            if (factor != 1) {
              e.bank.clocks.emplace_back(i, factor);
            }
          }
        });
      }
      if (e.bank.voters % 2 == 0) {
        b.Fault("voters", "an even number", "an odd one");
      }
      if (e.bank.voters > e.gateway.count) {
        b.Fault("voters", "more than gateways", "gateway.count at most");
      }
      if (e.bank.change_every <= Duration(0)) {
        b.Fault("change_every_ms", "0", "more than 0");
      }
      if (e.bank.hollow_stall <= Duration(0)) {
        b.Fault("hollow_stall_ms", "0", "more than 0");
      }
    });
    t.ReadTable("rules", [&](TomlTable& r) { ReadRules(r, e); });
    t.ReadEach("faults", [&](TomlTable& f) { e.faults.push_back(ReadFault(f)); });
    t.ReadTable("must", [&](TomlTable& m) { ReadMust(m, e.must); });
    CheckTogether(t, e);
  }
  ThrowFaults(faults);
  return e;
}

Experiment ReadExperiment(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw ExperimentError(fmt::format("{}: cannot read it, expected a file", path));
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return ParseExperiment(text, path);
}

std::string SettingsJson(const Experiment& e, size_t gateway) {
  using nlohmann::json;
  const auto ms = [](Duration d) {
    return static_cast<double>(d.count()) / 1000;
  };
  json classes = json::array(), tenants = json::array();
  for (const ClassSpec& c : e.classes) {
    if (!c.listed) {
      continue;
    }
    json entry = {{"Name", c.name},
                  {"Effect", kEffects[static_cast<size_t>(c.rules.idempotency)].first},
                  {"Slo", ms(c.rules.latency_objective)},
                  {"Deadline", ms(c.rules.deadline)},
                  {"Worth", c.rules.priority_weight},
                  {"LateShare", c.rules.late_value_fraction}};
    if (c.rules.idempotency == Idempotency::kKeyed) {
      entry["Group"] = kGroups[static_cast<size_t>(c.rules.deduplication_scope)].first;
      entry["Window"] = ms(c.rules.deduplication_window);
    }
    classes.push_back(std::move(entry));
  }
  for (const TenantSpec& t : e.tenants) {
    tenants.push_back({{"Name", t.name}, {"Share", t.share}});
  }
  json settings = {
      {"Me", gateway},
      {"NInstances", e.gateway.count},
      {"Zone", gateway % std::max<size_t>(e.zones.size(), 1)},
      {"FailureDomains", e.zones},
      {"Kinds", e.kinds},
      {"Classes", classes},
      {"Tenants", tenants},
      {"RegistryMode", "automatic"},
      {"Callers", {{"MarksRetry", e.marks_retry}}},
      {"Allowed",
       {{"Cancel", true},
        {"ParallelTries", false},
        {"Probes", e.probes},
        {"RetryAfter", e.retry_after},
        {"MaxRetryAfter", 1000.0},
        {"ConnectTimeout", ms(e.connect_timeout)},
        {"SendCap", e.max_attempts},
        {"IdleClose", ms(e.idle_close)}}},
      {"Charges", {{"CrossZone", 0.01}, {"Handshake", 0.02}, {"Probe", 0.04}, {"Waste", 0.04}}},
      {"ResultMix",
       {{"Whole", 0.25}, {"WorstWindow", 0.45}, {"WorstClass", 0.2}, {"WorstTenant", 0.1}}},
      {"Obligations",
       {{"AnswerSlack", 50.0},
        {"DrainGrace", ms(e.drain_grace)},
        {"ColdFrom", e.slow_start_initial_capacity},
        {"WarmWithin", ms(e.slow_start_duration)},
        {"FallMultiple", e.overload_collapse_multiple},
        {"Fall", ms(e.fall)}}},
      {"Stats", {{"Source", e.probes ? "probe" : "none"}, {"Fields", {"inflight", "latency_ms"}}}}};
  if (!e.gateway.settings_json.empty()) {
    settings.merge_patch(json::parse(e.gateway.settings_json));
  }
  return settings.dump();
}

}  // namespace paddlestile::lab
