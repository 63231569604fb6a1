#include "config/operator_config.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace paddlestile {
namespace {

class Reader {
 public:
  Reader(std::string path, std::vector<std::string>& faults)
      : path_(std::move(path)), faults_(faults) {}

  void Fault(const toml::node* node, std::string_view key, std::string_view what,
             std::string_view expected) {
    const auto line = node != nullptr ? node->source().begin.line : 0;
    faults_.push_back(
        line > 0 ? fmt::format("{}:{}: {}: {}, expected {}", path_, line, key, what, expected)
                 : fmt::format("{}: {}: {}, expected {}", path_, key, what, expected));
  }
  std::string Text(const toml::table& at, std::string_view key, const std::string& name) {
    const toml::node* const node = at.get(key);
    const auto text = node != nullptr ? node->value<std::string>() : std::nullopt;
    if (!text || text->empty()) {
      Fault(node != nullptr ? node : &at, name, node != nullptr ? "no text" : "missing", "a text");
      return {};
    }
    return *text;
  }
  std::optional<Address> Place(const toml::table& at, std::string_view key,
                               const std::string& name) {
    const std::string text = Text(at, key, name);
    if (text.empty()) {
      return std::nullopt;
    }
    try {
      return ParseAddress(text);
    } catch (const ConfigError&) {
      Fault(at.get(key), name, fmt::format("'{}'", text), "an address such as 127.0.0.1:7000");
      return std::nullopt;
    }
  }
  void Number(const toml::table& at, std::string_view key, double& value, double least,
              double most) {
    const toml::node* const node = at.get(key);
    if (node == nullptr) {
      return;
    }
    const auto read = node->value<double>();
    if (!read || !(*read >= least && *read <= most)) {
      return Fault(node, fmt::format("bank.{}", key), "out of range or no number",
                   fmt::format("a number from {} to {}", least, most));
    }
    value = *read;
  }
  void Known(const toml::table& at, const std::string& where, const std::set<std::string>& keys) {
    for (const auto& [key, node] : at) {
      if (keys.contains(std::string(key.str()))) {
        continue;
      }
      Fault(&node, fmt::format("{}{}", where, key.str()), "unknown key",
            fmt::format("one of {}", fmt::join(keys, ", ")));
    }
  }

 private:
  std::string path_;
  std::vector<std::string>& faults_;
};

Duration Millis(double ms) {
  return Duration(static_cast<int64_t>(ms * 1000));
}

ClusterConfig Read(std::string_view text, const std::string& path,
                   std::vector<std::string>& faults) {
  ClusterConfig config;
  config.path = path;
  Reader read(path, faults);
  toml::table file;
  try {
    file = toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    faults.push_back(fmt::format("{}:{}: {}, expected TOML", path, error.source().begin.line,
                                 error.description()));
    return config;
  }
  const toml::table* const bank = file["bank"].as_table();
  if (bank == nullptr) {
    read.Fault(file.get("bank"), "bank", "missing", "a table [bank]");
    return config;
  }
  read.Known(file, "", {"bank"});
  read.Known(*bank, "bank.",
             {"name", "folder", "heartbeat_ms", "election_ms", "lease_ms", "clock_rate",
              "when_lost", "changes", "members", "lab_clock_factor", "lab_disk"});
  config.cluster_name = read.Text(*bank, "name", "bank.name");
  config.folder = read.Text(*bank, "folder", "bank.folder");
  double heartbeat = 100, election = 500, lease = 1000;
  read.Number(*bank, "heartbeat_ms", heartbeat, 5, 10'000);
  read.Number(*bank, "election_ms", election, 15, 60'000);
  read.Number(*bank, "lease_ms", lease, 15, 60'000);
  read.Number(*bank, "clock_rate", config.timing.clock_rate_error, 0, 0.2);
  read.Number(*bank, "lab_clock_factor", config.clock_factor, 0.5, 2);
  if (bank->get("lab_disk") != nullptr) {
    config.disk_control = read.Text(*bank, "lab_disk", "bank.lab_disk");
  }
  if (election < 3 * heartbeat) {
    read.Fault(bank->get("election_ms"), "bank.election_ms", "too short", "3 heartbeats at least");
  }
  if (lease < 3 * heartbeat) {
    read.Fault(bank->get("lease_ms"), "bank.lease_ms", "too short", "3 heartbeats at least");
  }
  config.timing.heartbeat_interval = Millis(heartbeat);
  config.timing.election_timeout = Millis(election);
  config.timing.lease_duration = Millis(lease);
  if (const toml::node* const lost = bank->get("when_lost")) {
    const std::string word = lost->value<std::string>().value_or("");
    if (word != "serve" && word != "drain") {
      read.Fault(lost, "bank.when_lost", fmt::format("'{}'", word), "serve or drain");
    }
    config.when_disconnected =
        word == "drain" ? WhenDisconnected::kDrain : WhenDisconnected::kServe;
  }
  if (const toml::node* const changes = bank->get("changes")) {
    const std::string word = changes->value<std::string>().value_or("");
    if (word != "whole" && word != "delta") {
      read.Fault(changes, "bank.changes", fmt::format("'{}'", word), "whole or delta");
    }
    config.change_encoding = word == "delta" ? ChangeEncoding::kDelta : ChangeEncoding::kWhole;
  }
  const toml::array* const members = (*bank)["members"].as_array();
  if (members == nullptr || members->empty()) {
    read.Fault(bank->get("members"), "bank.members", "missing", "[[bank.members]], one each");
    return config;
  }
  size_t votes = 0;
  std::set<std::pair<uint32_t, uint16_t>> taken;
  for (size_t i = 0; i < members->size(); ++i) {
    const std::string where = fmt::format("bank.members.{}.", i);
    const toml::table* const member = members->get(i)->as_table();
    if (member == nullptr) {
      read.Fault(members->get(i), where, "no table", "name, address, votes");
      continue;
    }
    read.Known(*member, where, {"name", "address", "dial", "votes"});
    ClusterConfig::MemberAddress seat;
    const std::string name = read.Text(*member, "name", where + "name");
    const auto address = read.Place(*member, "address", where + "address");
    if (address) {
      seat.address = seat.dial_address = *address;
    }
    if (address && !taken.emplace(address->host, address->port).second) {
      read.Fault(member->get("address"), where + "address", "another member has it", "its own");
    }
    if (member->get("dial") != nullptr) {
      seat.dial_address = read.Place(*member, "dial", where + "dial").value_or(seat.dial_address);
    }
    if (const toml::node* const node = member->get("votes")) {
      const auto vote = node->value<bool>();
      if (!vote) {
        read.Fault(node, where + "votes", "no boolean", "true or false");
      }
      seat.votes = vote.value_or(false);
    }
    votes += seat.votes ? 1 : 0;
    if (!config.members.emplace(name, seat).second && !name.empty()) {
      read.Fault(member->get("name"), where + "name", fmt::format("'{}' a second time", name),
                 "each member once");
    }
  }
  if (votes % 2 == 0 || votes > raft::kMaxVoters) {
    read.Fault(members, "bank.members", fmt::format("{} members vote", votes),
               "an odd number of them, 3 or 5 for a bank that bears a loss");
  }
  return config;
}

}  // namespace

std::vector<std::string> ValidateClusterConfig(std::string_view text, const std::string& path) {
  std::vector<std::string> faults;
  Read(text, path, faults);
  return faults;
}

std::map<std::string, Address> ReadMemberAddresses(std::string_view text, const std::string& path) {
  std::vector<std::string> faults;
  const ClusterConfig config = Read(text, path, faults);
  if (!faults.empty()) {
    throw ConfigError(fmt::format("{}", fmt::join(faults, "\n")));
  }
  std::map<std::string, Address> members;
  for (const auto& [name, seat] : config.members) {
    members[name] = seat.address;
  }
  return members;
}

ClusterConfig ReadClusterConfig(const std::string& path, const std::string& name) {
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file) {
    throw ConfigError(fmt::format("{}: cannot read it, expected the operator's file", path));
  }
  std::vector<std::string> faults;
  ClusterConfig config = Read(text, path, faults);
  if (!faults.empty()) {
    throw ConfigError(fmt::format("{}", fmt::join(faults, "\n")));
  }
  if (!config.members.contains(name)) {
    throw ConfigError(
        fmt::format("{}: bank.members: no '{}', expected this gateway's LB_NAME", path, name));
  }
  const size_t at = config.folder.find("{name}");
  if (at != std::string::npos) {
    config.folder.replace(at, 6, name);
  }
  return config;
}

}  // namespace paddlestile
