#include "cli/cluster_client.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <thread>
#include <utility>

#include "cli/exit_codes.h"
#include "cluster/codec.h"
#include "config/operator_config.h"
#include "peer/blocking_call.h"

namespace paddlestile {
namespace {

using cluster::ChangeRequest;
using cluster::ChangeResult;
using nlohmann::json;

constexpr Duration kRetryDelay{100'000};  // us, after all members have been called

std::string NewChangeId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

std::string AuthorOf(const SubmitOptions& options) {
  if (!options.author.empty()) {
    return options.author;
  }
  const char* const user = std::getenv("USER");
  return user != nullptr ? user : "operator";
}

double UnixSeconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(since_epoch).count();
}

void PrintDone(const ChangeResult& result, bool as_json) {
  if (as_json) {
    fmt::print("{}\n", json{{"id", result.id}, {"version", result.version}}.dump());
  } else if (result.version > 0) {
    fmt::print("{}: version {} is on\n", result.id, result.version);
  } else {
    fmt::print("{}: done\n", result.id);
  }
}

// Handles a member's reply to a submitted change. Returns an exit code if the change is done or
// refused. Otherwise sets `reason` to the reason that the reply gives, if any.
std::optional<int> HandleSubmitReply(const json& reply, bool as_json, std::string& reason) {
  if (reply.contains("error")) {
    reason = reply["error"].get<std::string>();
    return std::nullopt;
  }
  const auto result = cluster::ParseChangeResult(reply.value("answer", json()));
  if (!result) {
    return std::nullopt;
  }
  if (result->kind == ChangeResult::Kind::kDone) {
    PrintDone(*result, as_json);
    return kExitDone;
  }
  if (result->kind == ChangeResult::Kind::kRefused) {
    return FailClusterCommand(kExitFailed, "refused: " + result->text);
  }
  reason = result->text;
  return std::nullopt;
}

}  // namespace

CLI::App* AddClusterSubcommand(CLI::App& parent, const char* name, const char* description,
                               const char* examples, std::string& operator_file) {
  CLI::App* const command = parent.add_subcommand(name, description);
  command->footer(std::string("Exit codes: 0 done, 1 not done, 2 wrong usage.\n\nExamples:\n") +
                  examples);
  command->add_option("--operator", operator_file,
                      "an operator's file, whose members are called in turn");
  return command;
}

void AddCallOptions(CLI::App& command, MemberCallOptions& options) {
  command.add_option("--at", options.members,
                     "the address of a member; several are called in turn");
  command.add_flag("--json", options.as_json, "print JSON");
}

void AddSubmitOptions(CLI::App& command, SubmitOptions& options) {
  AddCallOptions(command, options.call);
  command.add_option("--id", options.id,
                     "of the change; a change submitted again with the same id is applied once");
  command.add_option("--author", options.author, "who makes the change; by default $USER");
  command.add_option("--reason", options.reason, "the reason, for the history");
  command.add_option("--within", options.timeout_s, "seconds until it gives up")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
}

int FailClusterCommand(int exit_code, const std::string& text) {
  fmt::print(stderr, "paddlestile: bank: {}\n", text);
  return exit_code;
}

int FailNoReply() {
  return FailClusterCommand(kExitFailed, "no member replied");
}

std::vector<Address> MemberAddresses(const MemberCallOptions& options) {
  std::vector<Address> addresses;
  for (const std::string& text : options.members) {
    addresses.push_back(ParseAddress(text));
  }
  if (!options.operator_file.empty()) {
    std::ifstream file(options.operator_file, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    if (!file) {
      throw ConfigError(options.operator_file + ": cannot read it, expected the operator's file");
    }
    for (const auto& [name, address] : ReadMemberAddresses(text, options.operator_file)) {
      addresses.push_back(address);
    }
  }
  if (addresses.empty()) {
    throw ConfigError("nobody to ask, expected --at ADDRESS or --operator FILE");
  }
  return addresses;
}

std::optional<json> CallAnyMember(const MemberCallOptions& options, const json& call) {
  for (const Address& address : MemberAddresses(options)) {
    if (auto reply = CallMember(address, call, kMemberCallTimeout)) {
      return reply;
    }
  }
  return std::nullopt;
}

int SubmitChange(const SubmitOptions& options, ChangeRequest request) {
  request.change.id = options.id.empty() ? NewChangeId() : options.id;
  request.change.author = AuthorOf(options);
  request.change.reason = options.reason;
  request.change.submitted_unix_s = UnixSeconds();
  // In the members' protocol the key of the request is "wish", and that of its result "answer".
  const json call = {{"what", "submit"}, {"wish", cluster::ToJson(request)}};
  const std::vector<Address> addresses = MemberAddresses(options.call);
  using Clock = std::chrono::steady_clock;
  const auto deadline = Clock::now() + std::chrono::duration<double>(options.timeout_s);
  std::string reason = "no member replied";
  for (size_t attempt = 0; attempt == 0 || Clock::now() < deadline; ++attempt) {
    if (attempt >= addresses.size()) {
      std::this_thread::sleep_for(kRetryDelay);
    }
    const Address& address = addresses[attempt % addresses.size()];
    const auto reply = CallMember(address, call, kMemberCallTimeout);
    if (!reply) {
      continue;
    }
    if (const auto exit_code = HandleSubmitReply(*reply, options.call.as_json, reason)) {
      return *exit_code;
    }
  }
  return FailClusterCommand(
      kExitFailed, fmt::format("{}; not told done within {} s: submit it again with --id {}",
                               reason, options.timeout_s, request.change.id));
}

}  // namespace paddlestile
