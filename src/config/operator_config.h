// The operator's file: `[bank]` and its members. Off where there is none.
#ifndef PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_
#define PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "raft/raft_node.h"

namespace paddlestile {

// What a gateway does with hosts that others may have barred, once it has lost the bank.
enum class WhenDisconnected {
  kServe,  // goes on with what it knows, nothing sent twice
  kDrain   // empties itself and gives up what comes, until it is in touch again
};

// How a leader proposes a version: as a whole, or by what differs from the one before.
enum class ChangeEncoding {
  kWhole,
  kDelta
};

struct ClusterConfig {
  std::string path, cluster_name;
  std::string folder;  // of this member, `{name}` replaced
  struct MemberAddress {
    Address address;
    Address dial_address;  // where the others reach it, if elsewhere
    bool votes = false;
  };
  std::map<std::string, MemberAddress> members;
  raft::RaftTiming timing;
  WhenDisconnected when_disconnected = WhenDisconnected::kServe;
  ChangeEncoding change_encoding = ChangeEncoding::kWhole;
  // Of a lab: this process's clock runs so much faster; what its disk does, see controlled_files.h.
  double clock_factor = 1;
  std::string disk_control;
};

// All that is wrong in the file, a line each: "FILE:LINE: KEY: what, expected ...". Empty: good.
std::vector<std::string> ValidateClusterConfig(std::string_view text, const std::string& path);

// The members' addresses by name; throws ConfigError with those lines.
std::map<std::string, Address> ReadMemberAddresses(std::string_view text, const std::string& path);

// For the member `name`; throws ConfigError with those lines, or where the name is none of them.
ClusterConfig ReadClusterConfig(const std::string& path, const std::string& name);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_OPERATOR_CONFIG_H_
