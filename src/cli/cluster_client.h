// What the subcommands of `bank` have in common: their options, and calls to the members.
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

// Which members to ask, and how to print what they reply.
struct MemberCallOptions {
  std::string operator_file;         // the operator's file: all members in it
  std::vector<std::string> members;  // addresses, before those of the file
  bool as_json = false;
};

// Options of a call that changes something.
struct SubmitOptions {
  MemberCallOptions call;
  std::string id;  // of the change; empty: a new one
  std::string author;
  std::string reason;
  double timeout_s = 10;
};

// Adds a subcommand with the footer that all of them have, and the option --operator.
CLI::App* AddClusterSubcommand(CLI::App& parent, const char* name, const char* description,
                               const char* examples, std::string& operator_file);

// Adds the options --at and --json.
void AddCallOptions(CLI::App& command, MemberCallOptions& options);

// Adds those of AddCallOptions and --id, --author, --reason and --within.
void AddSubmitOptions(CLI::App& command, SubmitOptions& options);

// Prints one line to standard error and returns the exit code.
int FailClusterCommand(int exit_code, const std::string& text);

// As FailClusterCommand, where no member replied.
int FailNoReply();

// The members to ask, in turn. Throws ConfigError where none is named, or the file is unusable.
std::vector<Address> MemberAddresses(const MemberCallOptions& options);

// The reply of the first member that gives one; nullopt where none does.
std::optional<nlohmann::json> CallAnyMember(const MemberCallOptions& options,
                                            const nlohmann::json& call);

// Submits a change to the members in turn until one reports it done or refused, or the time is
// over. The same id counts once, however often it arrives. Prints the result and returns the exit
// code.
int SubmitChange(const SubmitOptions& options, cluster::ChangeRequest request);

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_CLUSTER_CLIENT_H_
