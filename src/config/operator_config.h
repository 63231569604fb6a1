// The operator's file (TOML), which describes the cluster of gateways that a gateway belongs to. In
// the file's keys the cluster is called `bank`. A gateway without such a file belongs to no
// cluster.
#ifndef PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_
#define PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "raft/raft_node.h"

namespace paddlestile {

// What a gateway does while it is disconnected from the cluster, when other gateways may have
// excluded endpoints that it still uses.
enum class WhenDisconnected {
  kServe,  // serves with the configuration that it has, without retries
  kDrain   // finishes its requests and rejects new ones until it is connected again
};

// How a leader encodes a proposed version.
enum class ChangeEncoding {
  kWhole,  // as its whole content
  kDelta   // as the difference from the previous version
};

struct ClusterConfig {
  struct MemberAddress {
    Address address;
    Address dial_address;  // to which other members connect; `address` unless the file sets `dial`
    bool votes = false;
  };

  std::string path;  // of the file
  std::string cluster_name;
  std::string folder;                            // for this member's state, with `{name}` replaced
  std::map<std::string, MemberAddress> members;  // by name; an odd number of them vote
  raft::RaftTiming timing;
  WhenDisconnected when_disconnected = WhenDisconnected::kServe;
  ChangeEncoding change_encoding = ChangeEncoding::kWhole;

  // Set by the lab only.
  double clock_factor = 1;   // the speed of this process's clock relative to the machine's
  std::string disk_control;  // path of the file that injects disk faults, see controlled_files.h
};

// Returns the faults of the file's text, one line each: "FILE:LINE: KEY: what, expected ...". If
// the result is empty, the file is valid. `path` is used only in these lines.
std::vector<std::string> ValidateClusterConfig(std::string_view text, const std::string& path);

// Returns the members' addresses by name. Throws ConfigError with the lines of
// ValidateClusterConfig.
std::map<std::string, Address> ReadMemberAddresses(std::string_view text, const std::string& path);

// Reads the file at `path` for the member `name`. Throws ConfigError with the lines of
// ValidateClusterConfig, or with one line if there is no such file or member.
ClusterConfig ReadClusterConfig(const std::string& path, const std::string& name);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_
