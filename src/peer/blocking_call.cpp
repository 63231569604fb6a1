#include "peer/blocking_call.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "base/file_descriptor.h"
#include "event/buffer.h"
#include "peer/call.h"
#include "peer/framing.h"

namespace paddlestile {
namespace {

using nlohmann::json;

constexpr size_t kReceiveBytes = 4096;

void SetTimeouts(int fd, Duration timeout) {
  const timeval limit{timeout.count() / 1'000'000, timeout.count() % 1'000'000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

bool ConnectTo(int fd, const Address& address) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  target.sin_addr.s_addr = htonl(address.host);
  return connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

std::optional<json> ReceiveFrame(int fd) {
  Buffer input;
  while (true) {
    json value;
    switch (peer::TakeReply(input, value)) {
      case peer::FrameStatus::kComplete:
        return value;
      case peer::FrameStatus::kMalformed:
      case peer::FrameStatus::kChecksumMismatch:
        return std::nullopt;
      case peer::FrameStatus::kIncomplete:
        break;
    }
    const ssize_t received = recv(fd, input.Prepare(kReceiveBytes), kReceiveBytes, 0);
    if (received <= 0) {
      return std::nullopt;
    }
    input.Commit(static_cast<size_t>(received));
  }
}

}  // namespace

json StatusCall() {
  return {{"what", "status"}};
}

std::optional<json> CallMember(const Address& address, const json& call, Duration timeout) {
  const FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  SetTimeouts(fd.get(), timeout);
  if (!fd || !ConnectTo(fd.get(), address)) {
    return std::nullopt;
  }
  if (!SendAll(fd.get(), peer::EncodeCall(call))) {
    return std::nullopt;
  }
  return ReceiveFrame(fd.get());
}

}  // namespace paddlestile
