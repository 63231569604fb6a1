// The lines that the two processes of a hot restart exchange. They are an outside format: processes
// of different versions read them. No I/O.
//
//   new process                          old process
//   paddlestile 1 take 10.0.0.4:5000     paddlestile 1 listen 180 7012   with the listening socket
//                                        7012 bytes of learned state, JSON
//                                        monitors                        the old one wants answers
//   ready                                holds 164                       repeated
//   alive                                                                answers `holds`
//                                        revoked                         in place of `holds`
//                                        ending                          it was told to end
//                                        paddlestile 1 busy              in place of `listen`
//
// `holds`, and the first number of `listen`, say how many descriptors the old process keeps of the
// budget that both share; the second one of `listen` is the size of the learned state in bytes.
// `revoked`: the new process did not answer, the old one serves again, the new one ends. A new
// process that is told to end closes the channel, and the old one serves again, unless it is
// ending too.
//
// New processes of builds without `monitors` ignore it, and old ones of such builds do not send it:
// nothing is answered then, and nothing revoked.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_PROTOCOL_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/address.h"
#include "event/buffer.h"

namespace paddlestile::hot_restart {

constexpr size_t kMaxLineBytes = 256;
constexpr std::string_view kReadyLine = "ready";
constexpr std::string_view kMonitorsLine = "monitors";
constexpr std::string_view kAliveLine = "alive";
constexpr std::string_view kRevokedLine = "revoked";
constexpr std::string_view kEndingLine = "ending";

// The line without its end.
std::string RequestLine(const Address& listen);
std::string ListenLine(size_t descriptors_held, size_t learned_state_bytes);
std::string BusyLine();
std::string HoldsLine(size_t descriptors_held);

struct ListenReply {
  size_t descriptors_held = 0;
  size_t learned_state_bytes = 0;
};
// Nothing where the line is another.
std::optional<ListenReply> ParseListenLine(std::string_view line);
std::optional<size_t> ParseHoldsLine(std::string_view line);

// Calls `on_line` with each complete line in `in`, without its end, and consumes it. False where a
// line is too long.
template <typename LineCallback>
bool ConsumeLines(Buffer& in, const LineCallback& on_line) {
  for (size_t end = 0; (end = in.view().find('\n')) != std::string_view::npos;) {
    const std::string line(in.view().substr(0, end));
    in.Consume(end + 1);
    on_line(line);
  }
  return in.size() < kMaxLineBytes;
}

}  // namespace paddlestile::hot_restart

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_PROTOCOL_H_
