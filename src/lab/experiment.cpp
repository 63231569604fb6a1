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

constexpr size_t kMaxHosts = 20'000;
constexpr double kMaxSeconds = 3600;  // seconds
constexpr double kMaxRequestsPerSecond = 200'000;

const TomlWords<MisbehaviorKind> kMisbehaviorKinds = {
    {"rubbish", MisbehaviorKind::kGarbage},
    {"endless-head", MisbehaviorKind::kEndlessHeaders},
    {"bad-length", MisbehaviorKind::kInvalidLength},
    {"negative-length", MisbehaviorKind::kNegativeLength},
    {"huge-length", MisbehaviorKind::kHugeLength},
    {"two-framings", MisbehaviorKind::kConflictingFraming},
    {"unknown-class", MisbehaviorKind::kUnknownClass},
    {"bad-budget", MisbehaviorKind::kInvalidBudget},
    {"no-id", MisbehaviorKind::kMissingRequestId},
    {"half-request", MisbehaviorKind::kIncompleteRequest},
    {"silent", MisbehaviorKind::kUnresponsive},
    {"trickle", MisbehaviorKind::kByteByByte}};
const TomlWords<FaultKind> kFaultKinds = {{"slow", FaultKind::kSlow},
                                          {"silent", FaultKind::kUnresponsive},
                                          {"errors", FaultKind::kErrors},
                                          {"stall", FaultKind::kStall},
                                          {"neighbour", FaultKind::kNoisyNeighbour},
                                          {"resets", FaultKind::kResets},
                                          {"turned-away", FaultKind::kRejections},
                                          {"spoilt", FaultKind::kTamperedResponses},
                                          {"half-dead", FaultKind::kPartlyUnresponsive},
                                          {"slow-writes", FaultKind::kSlowResponses},
                                          {"ends-early", FaultKind::kTruncatedResponses},
                                          {"cut-off", FaultKind::kPartitioned},
                                          {"restart", FaultKind::kRestart},
                                          {"drain", FaultKind::kDrain},
                                          {"kill", FaultKind::kKill},
                                          {"add", FaultKind::kAdd},
                                          {"list-silent", FaultKind::kDiscoverySilent},
                                          {"list-lag", FaultKind::kDiscoveryLag},
                                          {"list-malformed", FaultKind::kDiscoveryMalformed},
                                          {"list-old", FaultKind::kDiscoveryStale},
                                          {"list-moved", FaultKind::kDiscoveryMoved},
                                          {"gateway-term", FaultKind::kGatewayTerm},
                                          {"gateway-kill", FaultKind::kGatewayKill},
                                          {"gateway-quiesce", FaultKind::kGatewayQuiesce},
                                          {"gateway-reload", FaultKind::kGatewayReload},
                                          {"gateway-upgrade", FaultKind::kGatewayUpgrade},
                                          {"gateway-hup", FaultKind::kGatewayHangup},
                                          {"gateway-hang", FaultKind::kGatewayHang},
                                          {"gateway-stop", FaultKind::kGatewayStop},
                                          {"gateway-disk", FaultKind::kGatewayDisk},
                                          {"link-cut", FaultKind::kLinkCut},
                                          {"link-slow", FaultKind::kLinkSlow},
                                          {"link-flap", FaultKind::kLinkFlap},
                                          {"link-noise", FaultKind::kLinkNoise}};
const TomlWords<LinkDirection> kLinkDirections = {{"both", LinkDirection::kBoth},
                                                  {"out", LinkDirection::kOutgoing},
                                                  {"in", LinkDirection::kIncoming}};
const TomlWords<UpgradeOutcome> kUpgradeOutcomes = {{"takes-over", UpgradeOutcome::kTakesOver},
                                                    {"killed", UpgradeOutcome::kKilled},
                                                    {"stopped", UpgradeOutcome::kStopped}};
const TomlWords<DiskState> kDiskStates = {
    {"kept", DiskState::kKept},  {"old", DiskState::kRolledBack},
    {"none", DiskState::kEmpty}, {"full", DiskState::kFull},
    {"slow", DiskState::kSlow},  {"sync-fails", DiskState::kSyncFails}};
const TomlWords<ResponseTampering> kResponseTamperings = {
    {"any", ResponseTampering::kAny},
    {"noise", ResponseTampering::kRandomBytes},
    {"bad-head", ResponseTampering::kMalformedHeaders},
    {"endless-head", ResponseTampering::kEndlessHeaders},
    {"short-length", ResponseTampering::kContentLengthTooShort},
    {"long-length", ResponseTampering::kContentLengthTooLong},
    {"huge", ResponseTampering::kEndlessBody},
    {"second-answer", ResponseTampering::kDuplicateResponse},
    {"noise-behind", ResponseTampering::kTrailingBytes},
    {"interim", ResponseTampering::kInterimResponses},
    {"bad-report", ResponseTampering::kMalformedLoadReport}};
const TomlWords<Idempotency> kIdempotencies = {
    {"safe", Idempotency::kSafe}, {"keyed", Idempotency::kKeyed}, {"unsafe", Idempotency::kUnsafe}};
const TomlWords<DeduplicationScope> kDeduplicationScopes = {{"all", DeduplicationScope::kAll},
                                                            {"zone", DeduplicationScope::kZone},
                                                            {"cell", DeduplicationScope::kCell}};

bool AffectsHosts(FaultKind kind) {
  return kind < FaultKind::kAdd;
}

void ThrowIfInvalid(const TomlFaults& faults) {
  if (!faults.lines().empty()) {
    throw ExperimentError(fmt::format("{}", fmt::join(faults.lines(), "\n")));
  }
}

HostGroup ReadHosts(TomlTable& table) {
  HostGroup group;
  table.Read("name", group.name);
  table.Read<size_t>("count", group.count, 1, kMaxHosts);
  table.Read<int>("cores", group.cores, 1, 1024);
  table.ReadRange("speed", group.speed.low, group.speed.high, 0.01, 100);
  table.Read("zone", group.zone);
  table.Read("kind", group.kind);
  table.Read<int>("cell", group.cell, 0, 1'000'000);
  table.Read<size_t>("held_most", group.max_held_requests, 1, 1'000'000);
  table.Read<size_t>("connections_most", group.max_connections, 1, 1'000'000);
  table.ReadMillis("handshake_ms", group.handshake_work);
  table.ReadMillis("probe_work_ms", group.probe_work);
  table.ReadRange("report_ms", group.report_interval_ms.low, group.report_interval_ms.high, 0,
                  10'000);
  table.Read("stops_work", group.cancels_work_on_disconnect);
  if (group.name.empty()) {
    table.Fault("name", "empty", "a name");
  }
  return group;
}

ClassSpec ReadClass(TomlTable& table) {
  ClassSpec spec;
  spec.rules.latency_objective = Duration(1'000'000);
  spec.rules.deadline = Duration(3'000'000);
  table.Read("name", spec.name);
  if (spec.name.empty() || spec.name.find_first_of("/? ,") != std::string::npos) {
    table.Fault("name", "empty or not usable in a path", "a word");
  }
  table.Read("effect", spec.rules.idempotency, kIdempotencies);
  table.Read("group", spec.rules.deduplication_scope, kDeduplicationScopes);
  table.ReadMillis("window_ms", spec.rules.deduplication_window);
  table.ReadMillis("aim_ms", spec.rules.latency_objective);
  table.ReadMillis("deadline_ms", spec.rules.deadline);
  table.Read("worth", spec.rules.priority_weight, 0, 1e6);
  table.Read("late_share", spec.rules.late_value_fraction, 0, 1);
  table.Read("share", spec.share, 0, 1e6);
  table.ReadRange("work_ms", spec.work_ms.low, spec.work_ms.high, 0, 60'000);
  table.ReadRange("wait_ms", spec.wait_ms.low, spec.wait_ms.high, 0, 60'000);
  table.ReadRange("body_bytes", spec.body_bytes.low, spec.body_bytes.high, 0, 65'536);
  table.ReadRange("answer_bytes", spec.response_bytes.low, spec.response_bytes.high, 0, 65'000);
  if (spec.rules.latency_objective <= Duration(0)) {
    table.Fault("aim_ms", "0", "more than 0");
  }
  if (spec.rules.deadline < spec.rules.latency_objective) {
    table.Fault("deadline_ms", "under aim_ms", "at least aim_ms");
  }
  if (spec.rules.idempotency == Idempotency::kKeyed &&
      spec.rules.deduplication_window <= Duration(0)) {
    table.Fault("window_ms", "missing", "how long hosts drop duplicates of a keyed request");
  }
  return spec;
}

void ReadOptionalMillis(TomlTable& table, const char* key, std::optional<Duration>& value) {
  if (table.Get(key) != nullptr) {
    value = Duration(0);
    table.ReadMillis(key, *value);
  }
}

Fault ReadFault(TomlTable& table) {
  Fault fault;
  if (table.Get("kind") == nullptr) {
    table.Fault("kind", "missing", "a fault kind");
  }
  table.Read("kind", fault.kind, kFaultKinds);
  table.Read("kind", fault.name);
  table.ReadSeconds("at_s", fault.at);
  table.ReadSeconds("for_s", fault.duration);
  table.Read("hosts", fault.host_share, 0, 1);
  table.Read<size_t>("count", fault.count, 1, kMaxHosts);
  if (const toml::node* const names = table.Get("names")) {
    if (const toml::array* const list = names->as_array()) {
      for (const toml::node& name : *list) {
        fault.host_names.push_back(name.value_exact<std::string>().value_or(""));
      }
    } else {
      table.Fault("names", "not a list", "a list of host names");
    }
  }
  table.Read("zone", fault.zone);
  table.Read("factor", fault.factor, 0.01, 1000);
  table.Read("share", fault.request_share, 0, 1);
  table.ReadSeconds("down_s", fault.downtime);
  table.ReadSeconds("leave_s", fault.exit_delay);
  table.ReadMillis("stop_ms", fault.stall_duration);
  table.ReadSeconds("every_s", fault.interval);
  table.ReadMillis("lag_ms", fault.discovery_lag);
  table.Read("how", fault.tampering, kResponseTamperings);
  table.Read<size_t>("gateway", fault.gateway, 0, 10'000);
  table.Read("class", fault.request_class);
  if (table.Get("gateways") != nullptr) {
    size_t count = 1;
    table.Read<size_t>("gateways", count, 1, 10'000);
    fault.random_gateway_count = count;
  }
  if (const toml::node* const from = table.Get("from")) {
    if (const toml::array* const list = from->as_array()) {
      for (const toml::node& one : *list) {
        fault.gateway_list.push_back(static_cast<size_t>(one.value_exact<int64_t>().value_or(0)));
      }
    } else {
      table.Fault("from", "not a list", "a list of gateway numbers");
    }
  }
  table.Read("ways", fault.link_direction, kLinkDirections);
  table.Read("resets", fault.reset_connections);
  table.ReadRange("delay_ms", fault.delay_ms.low, fault.delay_ms.high, 0, 60'000);
  table.Read<size_t>("bytes_per_s", fault.bytes_per_s, 1, 1'000'000'000);
  table.Read("disk", fault.disk, kDiskStates);
  ReadOptionalMillis(table, "second_term_ms", fault.second_term_after);
  ReadOptionalMillis(table, "hup_ms", fault.hup_after);
  table.Read("kill_at_earliest", fault.kill_at_earliest);
  table.Read("fate", fault.upgrade_outcome, kUpgradeOutcomes);
  table.ReadMillis("fate_after_ms", fault.upgrade_outcome_delay);
  table.Read("old_known", fault.has_initial_list);
  const int selections = (fault.host_share > 0 ? 1 : 0) + (fault.count > 0 ? 1 : 0) +
                         (fault.host_names.empty() ? 0 : 1);
  if (AffectsHosts(fault.kind) && selections != 1) {
    table.Fault("hosts", selections == 0 ? "no host selected" : "selected in several ways",
                "one of hosts (a share), count or names");
  }
  if (fault.kind == FaultKind::kNoisyNeighbour && fault.factor >= 1) {
    table.Fault("factor", "all cores or more", "the share of the cores taken, under 1");
  }
  if (fault.kind == FaultKind::kStall && fault.interval <= fault.stall_duration) {
    table.Fault("every_s", "no longer than stop_ms", "more than stop_ms");
  }
  return fault;
}

void ReadLoad(TomlTable& table, LoadSpec& load) {
  const toml::node* const rate = table.Get("rate");
  if (rate == nullptr) {
    table.Fault("rate", "missing", "requests per second, or [[second, rate], ...]");
  } else if (rate->is_array()) {
    for (const toml::node& step : *rate->as_array()) {
      const toml::array* const pair = step.as_array();
      const auto at = pair != nullptr && pair->size() == 2 ? pair->get(0)->value<double>()
                                                           : std::optional<double>();
      const auto per_s = at ? pair->get(1)->value<double>() : std::optional<double>();
      if (!per_s || *at < 0 || *at > kMaxSeconds || *per_s < 0 || *per_s > kMaxRequestsPerSecond ||
          (!load.rate.empty() && *at * 1e6 <= static_cast<double>(load.rate.back().at.count()))) {
        table.Fault("rate", "an invalid step",
                    fmt::format("[second, rate] with increasing seconds and rates up to {}",
                                kMaxRequestsPerSecond));
        break;
      }
      load.rate.push_back({Duration(std::llround(*at * 1e6)), *per_s});
    }
  } else {
    double per_s = 0;
    table.Read("rate", per_s, 0, kMaxRequestsPerSecond);
    load.rate.push_back({Duration(0), per_s});
  }
  table.Read<size_t>("connections_most", load.max_connections, 1, 100'000);
  table.Read<size_t>("idle_connections", load.idle_connections, 0, 100'000);
  table.Read<int>("retries", load.max_retries, 0, 10);
  table.ReadRange("retry_wait_ms", load.retry_delay_ms.low, load.retry_delay_ms.high, 0, 60'000);
  table.Read("leave_share", load.client_abort_share, 0, 1);
  table.Read("trickle_share", load.slow_send_share, 0, 1);
  table.Read("slow_read_share", load.slow_read_share, 0, 1);
  table.Read("once_share", load.close_after_response_share, 0, 1);
  table.Read("keeps_connections", load.keeps_open_connections);
  table.ReadEach("bad", [&](TomlTable& entry) {
    MisbehavingClients clients;
    clients.to = Duration(std::llround(kMaxSeconds * 1e6));
    if (entry.Get("kind") == nullptr) {
      entry.Fault("kind", "missing", "a kind of misbehaving client");
    }
    entry.Read("kind", clients.kind, kMisbehaviorKinds);
    entry.Read("per_s", clients.per_s, 0.01, 10'000);
    entry.ReadSeconds("from_s", clients.from);
    entry.ReadSeconds("to_s", clients.to);
    load.misbehaving_clients.push_back(clients);
  });
}

void ReadRequirements(TomlTable& table, Requirements& must) {
  table.Read("worth_share_least", must.min_worth_share, 0, 1);
  table.Read("served_share_least", must.min_served_share, 0, 1);
  table.Read("refused_share_most", must.max_refused_share, 0, 1);
  table.Read("failed_share_most", must.max_failed_share, 0, 1);
  table.Read("late_share_most", must.max_late_share, 0, 1);
  table.Read("p50_ms_most", must.max_p50_ms, 0, 1e6);
  table.Read("p99_ms_most", must.max_p99_ms, 0, 1e6);
  table.Read("cpu_us_most", must.max_cpu_us, 0, 1e6);
  table.Read("rss_mb_most", must.max_rss_mb, 0, 1e6);
  table.Read("rss_growth_mb_most", must.max_rss_growth_mb, 0, 1e6);
  table.Read("descriptors_most", must.max_descriptors, 0, 1e6);
  table.Read("bad_unanswered_share_most", must.max_misbehaving_unanswered_share, 0, 1);
  table.Read("unavailable_ms_most", must.max_unavailable_ms, 0, 1e6);
  table.Read("follow_ms_p50_most", must.max_p50_follow_ms, 0, 1e6);
  table.Read("changes_done_share_least", must.min_changes_done_share, 0, 1);
  table.ReadEach("window", [&](TomlTable& entry) {
    WindowRequirement window;
    entry.ReadSeconds("from_s", window.from);
    entry.ReadSeconds("to_s", window.to);
    entry.Read("worth_share_least", window.min_worth_share, 0, 1);
    if (window.to <= window.from) {
      entry.Fault("to_s", "not after from_s", "a time after from_s");
    }
    must.windows.push_back(window);
  });
}

void ReadRules(TomlTable& table, Experiment& experiment) {
  table.ReadSeconds("drain_grace_s", experiment.drain_grace);
  table.Read("cold_from", experiment.slow_start_initial_capacity, 0.01, 1);
  table.ReadSeconds("warm_s", experiment.slow_start_duration);
  table.Read("fall_multiple", experiment.overload_collapse_multiple, 1, 100);
  table.ReadSeconds("fall_s", experiment.overload_collapse_duration);
  table.Read<int>("send_cap", experiment.max_attempts, 1, 100);
  table.ReadMillis("connect_timeout_ms", experiment.connect_timeout);
  table.ReadSeconds("idle_close_s", experiment.idle_connection_timeout);
  table.ReadSeconds("list_every_s", experiment.discovery_keepalive_interval);
  table.ReadRange("list_response_ms", experiment.discovery_response_ms.low,
                  experiment.discovery_response_ms.high, 0, 60'000);
  table.Read<size_t>("list_pieces", experiment.discovery_response_pieces, 1, 1000);
  table.Read("probes", experiment.probes);
  table.Read("retry_after", experiment.retry_after);
  table.Read("marks_retry", experiment.marks_retries);
}

void CheckConsistency(TomlTable& table, Experiment& experiment) {
  if (experiment.hosts.empty()) {
    table.Fault("hosts", "missing", "at least one [[hosts]]");
  }
  if (experiment.classes.empty()) {
    table.Fault("classes", "missing", "at least one [[classes]]");
  }
  if (experiment.host_count() > kMaxHosts) {
    table.Fault("hosts", fmt::format("{} in total", experiment.host_count()),
                fmt::format("at most {}", kMaxHosts));
  }
  std::set<std::string> names, classes;
  for (const ClassSpec& spec : experiment.classes) {
    if (!classes.insert(spec.name).second) {
      table.Fault("classes", spec.name + " twice", "unique names");
    }
  }
  for (const HostGroup& group : experiment.hosts) {
    for (size_t i = 0; i < group.count; ++i) {
      if (!names.insert(fmt::format("{}-{}", group.name, i + 1)).second) {
        table.Fault("hosts", fmt::format("{}-{} twice", group.name, i + 1), "unique names");
        break;
      }
    }
    if (std::ranges::count(experiment.zones, group.zone) == 0) {
      experiment.zones.push_back(group.zone);
    }
    if (std::ranges::count(experiment.kinds, group.kind) == 0) {
      experiment.kinds.push_back(group.kind);
    }
  }
  for (size_t i = 0; i < experiment.faults.size(); ++i) {
    const Fault& fault = experiment.faults[i];
    const std::string key_prefix = fmt::format("faults[{}]", i);
    const toml::node* where = table.Get("faults");
    if (where != nullptr && where->is_array()) {
      where = where->as_array()->get(i);
    }
    const auto report = [&](std::string_view key, std::string_view what,
                            std::string_view expected) {
      table.FaultAt(where, fmt::format("{}.{}", key_prefix, key), what, expected);
    };
    if (fault.at > experiment.length) {
      report("at_s", "after the end of the experiment", "a time within it");
    }
    for (const std::string& name : fault.host_names) {
      if (!names.contains(name)) {
        report("names", fmt::format("no host '{}'", name), "the name of a host");
      }
    }
    if (!fault.zone.empty() && std::ranges::count(experiment.zones, fault.zone) == 0) {
      report("zone", fmt::format("no host in '{}'", fault.zone), "a zone used in [[hosts]]");
    }
    if (fault.count > experiment.host_count() && fault.kind != FaultKind::kAdd) {
      report("count", fmt::format("{} of {} hosts", fault.count, experiment.host_count()),
             "at most the number that exists");
    }
    if (fault.kind >= FaultKind::kGatewayTerm && fault.gateway >= experiment.gateway.count) {
      report("gateway", fmt::format("no gateway {}", fault.gateway),
             fmt::format("0 to {}", experiment.gateway.count - 1));
    }
    const bool needs_cluster =
        fault.kind >= FaultKind::kGatewayDisk || fault.disk != DiskState::kKept;
    if (needs_cluster && !experiment.cluster.enabled) {
      report("kind", "a fault of clusters without a cluster", "a [bank] table");
    }
    for (const size_t gateway : fault.gateway_list) {
      if (gateway >= experiment.gateway.count) {
        report("from", fmt::format("no gateway {}", gateway),
               fmt::format("0 to {}", experiment.gateway.count - 1));
      }
    }
    if (fault.random_gateway_count && *fault.random_gateway_count > experiment.gateway.count) {
      report("gateways",
             fmt::format("{} of {}", *fault.random_gateway_count, experiment.gateway.count),
             "at most the number that exists");
    }
    if (fault.kind != FaultKind::kGatewayReload) {
      continue;
    }
    const auto request_class =
        std::ranges::find(experiment.classes, fault.request_class, &ClassSpec::name);
    if (request_class == experiment.classes.end()) {
      report("class", fmt::format("no class '{}'", fault.request_class),
             "the class that the reload adds");
    } else {
      request_class->in_initial_settings = false;
      request_class->available_from = fault.at + kReloadCompletionDelay + kMaxReloadTime;
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
  Experiment experiment;
  experiment.path = path;
  TomlFaults faults(path);
  const std::optional<toml::table> root = faults.Parse(text);
  ThrowIfInvalid(faults);
  {
    TomlTable table(*root, "", faults);
    table.Read("name", experiment.name);
    table.Read("about", experiment.about);
    table.Read<uint64_t>("seed", experiment.seed, 0, INT64_MAX);
    table.ReadSeconds("seconds", experiment.length);
    if (experiment.name.empty()) {
      table.Fault("name", "missing", "the experiment's name");
    }
    if (experiment.length < Duration(1'000'000)) {
      table.Fault("seconds", "under 1", "1 to 3600");
    }
    table.ReadEach("hosts",
                   [&](TomlTable& hosts) { experiment.hosts.push_back(ReadHosts(hosts)); });
    table.ReadEach("classes",
                   [&](TomlTable& classes) { experiment.classes.push_back(ReadClass(classes)); });
    table.ReadEach("tenants", [&](TomlTable& tenants) {
      TenantSpec tenant;
      tenants.Read("name", tenant.name);
      tenants.Read("share", tenant.share, 0, 1);
      if (tenant.name.empty()) {
        tenants.Fault("name", "missing", "a tenant's name");
      }
      experiment.tenants.push_back(tenant);
    });
    if (table.Get("load") == nullptr) {
      table.Fault("load", "missing", "[load]");
    }
    table.ReadTable("load", [&](TomlTable& load) { ReadLoad(load, experiment.load); });
    table.ReadTable("gateway", [&](TomlTable& gateway) {
      gateway.Read<size_t>("count", experiment.gateway.count, 1, 200);
      gateway.Read<size_t>("sockets", experiment.gateway.sockets, 64, 1'000'000);
      gateway.Read("listen", experiment.gateway.listen);
      if (const toml::node* const settings = gateway.Get("settings")) {
        experiment.gateway.settings_json = ToJson(*settings).dump();
      }
    });
    table.ReadTable("bank", [&](TomlTable& bank) {
      experiment.cluster.enabled = true;
      bank.Read<size_t>("voters", experiment.cluster.voters, 1, 9);
      bank.ReadMillis("change_every_ms", experiment.cluster.change_interval);
      bank.ReadSeconds("quiet_last_s", experiment.cluster.quiet_before_end);
      bank.Read("drains", experiment.cluster.drains_when_disconnected);
      bank.Read("effects", experiment.cluster.changes_idempotency);
      bank.Read<size_t>("hollow", experiment.cluster.simulated_members, 0, 5000);
      bank.Read<size_t>("hollow_restarts", experiment.cluster.simulated_member_restarts, 0, 5000);
      bank.Read<size_t>("hollow_cuts", experiment.cluster.simulated_member_link_cuts, 0, 5000);
      bank.Read("hollow_stalls", experiment.cluster.stalls_simulated_members);
      bank.ReadMillis("hollow_stall_ms", experiment.cluster.simulated_member_stall);
      bank.Read<size_t>("hollow_read_bytes_per_s",
                        experiment.cluster.simulated_member_read_bytes_per_s, 0, 1'000'000'000);
      bank.ReadSeconds("hollow_faults_at_s", experiment.cluster.simulated_member_faults_at);
      bank.Read("deltas", experiment.cluster.uses_delta_changes);
      bank.Read<size_t>("version_tenants", experiment.cluster.tenants_per_version, 0, 70'000);
      if (bank.Get("clocks") != nullptr) {
        bank.ReadTable("clocks", [&](TomlTable& clocks) {
          for (size_t i = 0; i < experiment.gateway.count; ++i) {
            double factor = 1;
            clocks.Read(fmt::format("g{}", i), factor, 0.5, 2);
            if (factor != 1) {
              experiment.cluster.clock_rates.emplace_back(i, factor);
            }
          }
        });
      }
      if (experiment.cluster.voters % 2 == 0) {
        bank.Fault("voters", "an even number", "an odd number");
      }
      if (experiment.cluster.voters > experiment.gateway.count) {
        bank.Fault("voters", "more than there are gateways", "at most gateway.count");
      }
      if (experiment.cluster.change_interval <= Duration(0)) {
        bank.Fault("change_every_ms", "0", "more than 0");
      }
      if (experiment.cluster.simulated_member_stall <= Duration(0)) {
        bank.Fault("hollow_stall_ms", "0", "more than 0");
      }
    });
    table.ReadTable("rules", [&](TomlTable& rules) { ReadRules(rules, experiment); });
    table.ReadEach("faults",
                   [&](TomlTable& fault) { experiment.faults.push_back(ReadFault(fault)); });
    table.ReadTable("must",
                    [&](TomlTable& must) { ReadRequirements(must, experiment.requirements); });
    CheckConsistency(table, experiment);
  }
  ThrowIfInvalid(faults);
  return experiment;
}

Experiment ReadExperiment(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw ExperimentError(fmt::format("{}: cannot be read, expected a readable file", path));
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return ParseExperiment(text, path);
}

std::string SettingsJson(const Experiment& experiment, size_t gateway) {
  using nlohmann::json;
  const auto to_millis = [](Duration duration) {
    return static_cast<double>(duration.count()) / 1000;
  };
  json classes = json::array(), tenants = json::array();
  for (const ClassSpec& spec : experiment.classes) {
    if (!spec.in_initial_settings) {
      continue;
    }
    json entry = {{"Name", spec.name},
                  {"Effect", kIdempotencies[static_cast<size_t>(spec.rules.idempotency)].first},
                  {"Slo", to_millis(spec.rules.latency_objective)},
                  {"Deadline", to_millis(spec.rules.deadline)},
                  {"Worth", spec.rules.priority_weight},
                  {"LateShare", spec.rules.late_value_fraction}};
    if (spec.rules.idempotency == Idempotency::kKeyed) {
      entry["Group"] =
          kDeduplicationScopes[static_cast<size_t>(spec.rules.deduplication_scope)].first;
      entry["Window"] = to_millis(spec.rules.deduplication_window);
    }
    classes.push_back(std::move(entry));
  }
  for (const TenantSpec& tenant : experiment.tenants) {
    tenants.push_back({{"Name", tenant.name}, {"Share", tenant.share}});
  }
  json settings = {
      {"Me", gateway},
      {"NInstances", experiment.gateway.count},
      {"Zone", gateway % std::max<size_t>(experiment.zones.size(), 1)},
      {"FailureDomains", experiment.zones},
      {"Kinds", experiment.kinds},
      {"Classes", classes},
      {"Tenants", tenants},
      {"RegistryMode", "automatic"},
      {"Callers", {{"MarksRetry", experiment.marks_retries}}},
      {"Allowed",
       {{"Cancel", true},
        {"ParallelTries", false},
        {"Probes", experiment.probes},
        {"RetryAfter", experiment.retry_after},
        {"MaxRetryAfter", 1000.0},
        {"ConnectTimeout", to_millis(experiment.connect_timeout)},
        {"SendCap", experiment.max_attempts},
        {"IdleClose", to_millis(experiment.idle_connection_timeout)}}},
      {"Charges", {{"CrossZone", 0.01}, {"Handshake", 0.02}, {"Probe", 0.04}, {"Waste", 0.04}}},
      {"ResultMix",
       {{"Whole", 0.25}, {"WorstWindow", 0.45}, {"WorstClass", 0.2}, {"WorstTenant", 0.1}}},
      {"Obligations",
       {{"AnswerSlack", 50.0},
        {"DrainGrace", to_millis(experiment.drain_grace)},
        {"ColdFrom", experiment.slow_start_initial_capacity},
        {"WarmWithin", to_millis(experiment.slow_start_duration)},
        {"FallMultiple", experiment.overload_collapse_multiple},
        {"Fall", to_millis(experiment.overload_collapse_duration)}}},
      {"Stats",
       {{"Source", experiment.probes ? "probe" : "none"}, {"Fields", {"inflight", "latency_ms"}}}}};
  if (!experiment.gateway.settings_json.empty()) {
    settings.merge_patch(json::parse(experiment.gateway.settings_json));
  }
  return settings.dump();
}

}  // namespace paddlestile::lab
