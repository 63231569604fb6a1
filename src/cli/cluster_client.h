// Options and calls to cluster members that the subcommands of `bank` share.
#ifndef PADDLESTILE_CLI_CLUSTER_CLIENT_H_
#define PADDLESTILE_CLI_CLUSTER_CLIENT_H_

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "cluster/cluster_member.h"

namespace paddlestile {

inline constexpr Duration kMemberCallTimeout{5'000'000};  // us

// Which members to call, and how to print their replies.
struct MemberCallOptions {
  std::string operator_file;         // path of an operator's file, whose members are called
  std::vector<std::string> members;  // addresses of members to call before those of the file
  bool as_json = false;
};

// Options of a call that submits a change.
struct SubmitOptions {
  MemberCallOptions call;
  std::string id;  // of the change; if empty, a new id is generated
  std::string author;
  std::string reason;
  double timeout_s = 10;
};

// Adds a subcommand with the common footer and the option --operator.
CLI::App* AddClusterSubcommand(CLI::App& parent, const char* name, const char* description,
                               const char* examples, std::string& operator_file);

// Adds the options --at and --json.
void AddCallOptions(CLI::App& command, MemberCallOptions& options);

// Adds the options of AddCallOptions and --id, --author, --reason and --within.
void AddSubmitOptions(CLI::App& command, SubmitOptions& options);

// Prints one line to standard error and returns the exit code.
int FailClusterCommand(int exit_code, const std::string& text);

// Like FailClusterCommand, for the case that no member replied.
int FailNoReply();

// Returns the members to call, in order. Throws ConfigError if none is given or the operator's file
// cannot be read or is invalid.
std::vector<Address> MemberAddresses(const MemberCallOptions& options);

// Calls the members in order and returns the first reply, or nullopt if no member replies.
std::optional<nlohmann::json> CallAnyMember(const MemberCallOptions& options,
                                            const nlohmann::json& call);

// Submits a change to the members in turn until one reports it as done or refused, or until the
// timeout. A change is applied once, however often its id is submitted. Prints the result and
// returns the exit code.
int SubmitChange(const SubmitOptions& options, cluster::ChangeRequest request);

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_CLUSTER_CLIENT_H_
