#include "lab/process_sockets.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>

namespace paddlestile::lab {
namespace {

// States of /proc/net/tcp: established, and closed by the client alone.
constexpr unsigned kEstablished = 0x01;
constexpr unsigned kCloseWait = 0x08;

struct TcpEntry {
  Address local, remote;
  unsigned state = 0;
  uint64_t inode = 0;  // 0: no process has accepted it
};

// "0100007F:1F90": the host as the machine has it in memory, the port as a number.
Address ParseEnd(const std::string& text) {
  Address address;
  const char* const colon = text.data() + text.find(':');
  const char* const end = text.data() + text.size();
  uint32_t host = 0;
  std::from_chars(text.data(), colon, host, 16);
  std::from_chars(colon + 1, end, address.port, 16);
  address.host = ntohl(host);
  return address;
}

std::vector<TcpEntry> ConnectionsTo(const Address& listen) {
  std::vector<TcpEntry> entries;
  // Lines of other addresses are skipped unread.
  const std::string wanted = fmt::format(" {:08X}:{:04X} ", htonl(listen.host), listen.port);
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    if (line.find(wanted) == std::string::npos) {
      continue;
    }
    std::istringstream fields(line);
    std::string number, local, remote, state, queues, timer, retransmits, user, timeout;
    TcpEntry entry;
    if (!(fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >>
          timeout >> entry.inode) ||
        local.find(':') == std::string::npos || remote.find(':') == std::string::npos) {
      continue;
    }
    entry.local = ParseEnd(local);
    entry.remote = ParseEnd(remote);
    std::from_chars(state.data(), state.data() + state.size(), entry.state, 16);
    const bool is_open = entry.state == kEstablished || entry.state == kCloseWait;
    if (is_open && entry.local == listen) {
      entries.push_back(entry);
    }
  }
  return entries;
}

// The inodes of the sockets that a process holds.
std::set<uint64_t> SocketsOf(pid_t pid) {
  constexpr std::string_view kPrefix = "socket:[";
  std::set<uint64_t> inodes;
  std::error_code error;
  const std::string folder = fmt::format("/proc/{}/fd", pid);
  for (const auto& descriptor : std::filesystem::directory_iterator(folder, error)) {
    const std::string target = std::filesystem::read_symlink(descriptor.path(), error).string();
    uint64_t inode = 0;
    if (target.starts_with(kPrefix) &&
        std::from_chars(target.data() + kPrefix.size(), target.data() + target.size(), inode).ec ==
            std::errc()) {
      inodes.insert(inode);
    }
  }
  return inodes;
}

std::vector<Address> RemoteEnds(const std::vector<TcpEntry>& entries) {
  std::vector<Address> ends;
  ends.reserve(entries.size());
  for (const TcpEntry& entry : entries) {
    ends.push_back(entry.remote);
  }
  return ends;
}

}  // namespace

std::vector<Address> AcceptedConnections(pid_t pid, const Address& listen) {
  const std::set<uint64_t> sockets = SocketsOf(pid);
  std::vector<TcpEntry> entries = ConnectionsTo(listen);
  std::erase_if(entries, [&](const TcpEntry& entry) { return !sockets.contains(entry.inode); });
  return RemoteEnds(entries);
}

std::vector<Address> QueuedConnections(const Address& listen) {
  std::vector<TcpEntry> entries = ConnectionsTo(listen);
  std::erase_if(entries, [](const TcpEntry& entry) { return entry.inode != 0; });
  return RemoteEnds(entries);
}

}  // namespace paddlestile::lab
