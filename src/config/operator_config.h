// The operator's file (TOML): the cluster of gateways that a gateway belongs to. The file's keys
// call the cluster `bank`; a gateway without such a file has none.
#ifndef PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_
#define PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "raft/raft_node.h"

namespace paddlestile {

// What a gateway does once it has lost contact with the cluster, and others may have excluded
// endpoints that it still uses.
enum class WhenDisconnected {
  kServe,  // goes on with the configuration that it has, and sends no request twice
  kDrain   // finishes its requests and rejects new ones until it is in contact again
};

// How a leader proposes a version.
enum class ChangeEncoding {
  kWhole,  // its whole content
  kDelta   // what differs from the version before
};

struct ClusterConfig {
  struct MemberAddress {
    Address address;
    Address dial_address;  // where the other members reach it; `address` unless the file differs
    bool votes = false;
  };

  std::string path;  // of the file
  std::string cluster_name;
  std::string folder;                            // of this member's state, `{name}` replaced
  std::map<std::string, MemberAddress> members;  // by name; an odd number of them vote
  raft::RaftTiming timing;
  WhenDisconnected when_disconnected = WhenDisconnected::kServe;
  ChangeEncoding change_encoding = ChangeEncoding::kWhole;

  // For the lab alone: this process's clock runs so much faster than the machine's, and the file
  // that controls faults of its disk (see controlled_files.h).
  double clock_factor = 1;
  std::string disk_control;
};

// All faults of the file's text, a line each: "FILE:LINE: KEY: what, expected ...". Empty: valid.
// `path` is used in the lines alone.
std::vector<std::string> ValidateClusterConfig(std::string_view text, const std::string& path);

// The members' addresses by name. Throws ConfigError with the lines of ValidateClusterConfig.
std::map<std::string, Address> ReadMemberAddresses(std::string_view text, const std::string& path);

// The file at `path` as the member `name` uses it. Throws ConfigError with the lines of
// ValidateClusterConfig, or with one line where there is no file or no such member.
ClusterConfig ReadClusterConfig(const std::string& path, const std::string& name);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_
