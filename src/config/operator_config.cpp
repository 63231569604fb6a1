#include "config/operator_config.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "config/toml_reader.h"

namespace paddlestile {
namespace {

constexpr int kMinHeartbeatsPerTimeout = 3;
constexpr std::string_view kMemberNamePlaceholder = "{name}";

// The timing values of the file, in milliseconds.
struct TimingMillis {
  double heartbeat = 100;
  double election = 500;
  double lease = 1000;
};

Duration FromMillis(double millis) {
  return Duration(static_cast<int64_t>(millis * 1000));
}

// Checks that an election timeout or a lease outlasts the loss of one or two heartbeats.
void CheckOutlastsHeartbeats(TomlTable& cluster, std::string_view key, double millis,
                             double heartbeat_millis) {
  if (millis < kMinHeartbeatsPerTimeout * heartbeat_millis) {
    cluster.FaultAt(cluster.Get(key), cluster.Path(key), "too short", "3 heartbeats at least");
  }
}

void ReadTiming(TomlTable& cluster, ClusterConfig& config) {
  TimingMillis millis;
  cluster.Read("heartbeat_ms", millis.heartbeat, 5, 10'000);
  cluster.Read("election_ms", millis.election, 15, 60'000);
  cluster.Read("lease_ms", millis.lease, 15, 60'000);
  cluster.Read("clock_rate", config.timing.clock_rate_error, 0, 0.2);
  cluster.Read("lab_clock_factor", config.clock_factor, 0.5, 2);
  if (cluster.Get("lab_disk") != nullptr) {
    config.disk_control = cluster.RequireText("lab_disk");
  }
  CheckOutlastsHeartbeats(cluster, "election_ms", millis.election, millis.heartbeat);
  CheckOutlastsHeartbeats(cluster, "lease_ms", millis.lease, millis.heartbeat);
  config.timing.heartbeat_interval = FromMillis(millis.heartbeat);
  config.timing.election_timeout = FromMillis(millis.election);
  config.timing.lease_duration = FromMillis(millis.lease);
}

void ReadPolicies(TomlTable& cluster, ClusterConfig& config) {
  static const TomlWords<WhenDisconnected> kWhenDisconnected = {
      {"serve", WhenDisconnected::kServe}, {"drain", WhenDisconnected::kDrain}};
  static const TomlWords<ChangeEncoding> kChangeEncodings = {{"whole", ChangeEncoding::kWhole},
                                                             {"delta", ChangeEncoding::kDelta}};
  cluster.Read("when_lost", config.when_disconnected, kWhenDisconnected, "serve or drain");
  cluster.Read("changes", config.change_encoding, kChangeEncodings, "whole or delta");
}

std::optional<Address> RequireAddress(TomlTable& member, std::string_view key) {
  const std::string text = member.RequireText(key);
  if (text.empty()) {
    return std::nullopt;
  }
  try {
    return ParseAddress(text);
  } catch (const ConfigError&) {
    member.Fault(key, fmt::format("'{}'", text), "an address such as 127.0.0.1:7000");
    return std::nullopt;
  }
}

bool ReadVotes(TomlTable& member) {
  const toml::node* const node = member.Get("votes");
  if (node == nullptr) {
    return false;
  }
  // value() also accepts numbers, unlike value_exact(), because existing files may have 0 or 1.
  const auto votes = node->value<bool>();
  if (!votes) {
    member.Fault("votes", "not a boolean", "true or false");
  }
  return votes.value_or(false);
}

// Reads one member into `config` and returns whether it votes. `addresses` has the addresses of the
// members read before.
bool ReadMember(TomlTable& member, std::set<std::pair<uint32_t, uint16_t>>& addresses,
                ClusterConfig& config) {
  member.ReportUnknownKeys({"name", "address", "dial", "votes"});
  ClusterConfig::MemberAddress entry;
  const std::string name = member.RequireText("name");
  const auto address = RequireAddress(member, "address");
  if (address) {
    entry.address = *address;
    entry.dial_address = *address;
    if (!addresses.emplace(address->host, address->port).second) {
      member.Fault("address", "used by another member", "a unique address");
    }
  }
  if (member.Get("dial") != nullptr) {
    entry.dial_address = RequireAddress(member, "dial").value_or(entry.dial_address);
  }
  entry.votes = ReadVotes(member);
  const bool is_new = config.members.emplace(name, entry).second;
  if (!is_new && !name.empty()) {
    member.Fault("name", fmt::format("duplicate '{}'", name), "unique names");
  }
  return entry.votes;
}

void CheckVoterCount(const toml::node* members, size_t voters, TomlFaults& faults) {
  if (voters % 2 == 0 || voters > raft::kMaxVoters) {
    faults.Add(members, "bank.members", fmt::format("{} members vote", voters),
               "an odd number, 3 or 5 for a cluster that tolerates a failure");
  }
}

void ReadMembers(const toml::node* node, TomlFaults& faults, ClusterConfig& config) {
  const toml::array* const members = node != nullptr ? node->as_array() : nullptr;
  if (members == nullptr || members->empty()) {
    return faults.Add(node, "bank.members", "missing", "[[bank.members]], one each");
  }
  std::set<std::pair<uint32_t, uint16_t>> addresses;
  size_t voters = 0;
  for (size_t i = 0; i < members->size(); ++i) {
    const std::string path = fmt::format("bank.members.{}", i);
    const toml::table* const table = members->get(i)->as_table();
    if (table == nullptr) {
      faults.Add(members->get(i), path + ".", "not a table", "name, address, votes");
      continue;
    }
    TomlTable member(*table, path, faults);
    voters += ReadMember(member, addresses, config) ? 1 : 0;
  }
  CheckVoterCount(members, voters, faults);
}

void ReadCluster(const toml::table& table, TomlFaults& faults, ClusterConfig& config) {
  TomlTable cluster(table, "bank", faults);
  cluster.ReportUnknownKeys({"name", "folder", "heartbeat_ms", "election_ms", "lease_ms",
                             "clock_rate", "when_lost", "changes", "members", "lab_clock_factor",
                             "lab_disk"});
  config.cluster_name = cluster.RequireText("name");
  config.folder = cluster.RequireText("folder");
  ReadTiming(cluster, config);
  ReadPolicies(cluster, config);
  ReadMembers(cluster.Get("members"), faults, config);
}

// In the file's TOML keys the cluster is called `bank`.
ClusterConfig ParseClusterConfig(std::string_view text, const std::string& path,
                                 TomlFaults& faults) {
  ClusterConfig config;
  config.path = path;
  const std::optional<toml::table> file = faults.Parse(text);
  if (!file) {
    return config;
  }
  const toml::table* const cluster = (*file)["bank"].as_table();
  if (cluster == nullptr) {
    faults.Add(file->get("bank"), "bank", "missing", "a table [bank]");
    return config;
  }
  TomlTable(*file, "", faults).ReportUnknownKeys({"bank"});
  ReadCluster(*cluster, faults, config);
  return config;
}

// Like ParseClusterConfig. Throws ConfigError with all faults, one line each.
ClusterConfig ParseValidClusterConfig(std::string_view text, const std::string& path) {
  TomlFaults faults(path);
  ClusterConfig config = ParseClusterConfig(text, path, faults);
  if (!faults.lines().empty()) {
    throw ConfigError(fmt::format("{}", fmt::join(faults.lines(), "\n")));
  }
  return config;
}

}  // namespace

std::vector<std::string> ValidateClusterConfig(std::string_view text, const std::string& path) {
  TomlFaults faults(path);
  ParseClusterConfig(text, path, faults);
  return faults.lines();
}

std::map<std::string, Address> ReadMemberAddresses(std::string_view text, const std::string& path) {
  const ClusterConfig config = ParseValidClusterConfig(text, path);
  std::map<std::string, Address> addresses;
  for (const auto& [name, member] : config.members) {
    addresses[name] = member.address;
  }
  return addresses;
}

ClusterConfig ReadClusterConfig(const std::string& path, const std::string& name) {
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file) {
    throw ConfigError(fmt::format("{}: cannot read it, expected the operator's file", path));
  }
  ClusterConfig config = ParseValidClusterConfig(text, path);
  if (!config.members.contains(name)) {
    throw ConfigError(
        fmt::format("{}: bank.members: no '{}', expected this gateway's LB_NAME", path, name));
  }
  const size_t placeholder = config.folder.find(kMemberNamePlaceholder);
  if (placeholder != std::string::npos) {
    config.folder.replace(placeholder, kMemberNamePlaceholder.size(), name);
  }
  return config;
}

}  // namespace paddlestile
