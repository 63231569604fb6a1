#include "peer/blocking_call.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/file_descriptor.h"
#include "event/buffer.h"
#include "peer/framing.h"
#include "peer/peer_connections.h"

namespace paddlestile {

using nlohmann::json;

json StatusCall() {
  return {{"what", "status"}};
}

std::optional<json> CallMember(const Address& at, const json& call, Duration within) {
  const FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval limit{within.count() / 1'000'000, within.count() % 1'000'000};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  address.sin_addr.s_addr = htonl(at.host);
  if (!fd || connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    return std::nullopt;
  }
  const std::string frame = peer::EncodeFrame({{"hello", peer::kProtocolVersion}, {"call", call}});
  for (size_t sent = 0; sent < frame.size();) {
    const ssize_t n = send(fd.get(), frame.data() + sent, frame.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return std::nullopt;
    }
    sent += static_cast<size_t>(n);
  }
  Buffer in;
  while (true) {
    json value;
    switch (peer::TakeFrame(in, value)) {
      case peer::FrameStatus::kComplete:
        return value;
      case peer::FrameStatus::kMalformed:
        return std::nullopt;
      case peer::FrameStatus::kIncomplete:
        break;
    }
    const ssize_t n = recv(fd.get(), in.Prepare(4096), 4096, 0);
    if (n <= 0) {
      return std::nullopt;
    }
    in.Commit(static_cast<size_t>(n));
  }
}

}  // namespace paddlestile
