// `paddlestile bank status`.
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "cli/cluster_client.h"
#include "cli/cluster_commands.h"
#include "cli/exit_codes.h"
#include "peer/blocking_call.h"

namespace paddlestile {
namespace {

using nlohmann::json;

// The status of a member is its reply plus its address. Without a reply it has an `error` instead.
bool HasReplied(const json& status) {
  return !status.contains("error");
}

std::vector<json> CallAllMembers(const MemberCallOptions& options) {
  std::vector<json> statuses;
  for (const Address& address : MemberAddresses(options)) {
    auto reply = CallMember(address, StatusCall(), kMemberCallTimeout);
    json status = reply ? std::move(*reply) : json{{"error", "no answer"}};
    status["address"] = ToText(address);
    statuses.push_back(std::move(status));
  }
  return statuses;
}

std::string DescribeLeader(const json& status) {
  const std::string leader = status["leader"];
  if (leader.empty()) {
    return fmt::format("nobody has led for {} ms", status["no_leader_ms"].get<int64_t>());
  }
  return leader + " leads";
}

void PrintMember(const json& status) {
  if (!HasReplied(status)) {
    fmt::print("{:<10} {:<21} {}\n", "?", status["address"].get<std::string>(), "no answer");
    return;
  }
  fmt::print(
      "{:<10} {:<21} {:<9} {:<8} version {} on, {} taken; term {}, {}; lease {} ms; disk {}\n",
      status["name"].get<std::string>(), status["address"].get<std::string>(),
      status["role"].get<std::string>(), status["stance"].get<std::string>(),
      status["version_on"].get<uint64_t>(), status["version_latest"].get<uint64_t>(),
      status["term"].get<uint64_t>(), DescribeLeader(status), status["lease_ms"].get<int64_t>(),
      status["disk"].get<std::string>());
  // Members of earlier versions do not report `changes`.
  if (!status.contains("changes")) {
    return;
  }
  fmt::print("{:<10} {:<21} changes {}; the last one {} bytes, the version {}; content {}\n", "",
             "", status["changes"].get<std::string>(), status["change_bytes"].get<uint64_t>(),
             status["version_bytes"].get<uint64_t>(), status["content"].get<std::string>());
}

void PrintBound(const json& status) {
  fmt::print(
      "bound: no two gateways act on rules that contradict each other for longer than {} ms\n",
      status["bound_ms"].get<int64_t>());
}

int Status(const MemberCallOptions& options) {
  const std::vector<json> statuses = CallAllMembers(options);
  const auto replied = std::find_if(statuses.begin(), statuses.end(), HasReplied);
  const int exit_code = replied != statuses.end() ? kExitDone : kExitFailed;
  if (options.as_json) {
    fmt::print("{}\n", json(statuses).dump(2));
    return exit_code;
  }
  for (const json& status : statuses) {
    PrintMember(status);
  }
  if (replied != statuses.end()) {
    PrintBound(*replied);
  }
  return exit_code;
}

}  // namespace

Subcommand AddClusterStatusCommand(CLI::App& bank) {
  const auto options = std::make_shared<MemberCallOptions>();
  CLI::App* const status = AddClusterSubcommand(
      bank, "status", "Print each member's role, leader and versions",
      "  paddlestile bank status --operator bank.toml", options->operator_file);
  AddCallOptions(*status, *options);
  return {status, [options] {
            return Status(*options);
          }};
}

}  // namespace paddlestile
