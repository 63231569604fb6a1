// Formats and parses the lines that the two processes of a hot restart exchange. The format must
// stay compatible, since the processes may run different versions. Does no I/O.
//
//   new process                          old process
//   paddlestile 1 take 10.0.0.4:5000     paddlestile 1 listen 180 7012   with the listening socket
//                                        7012 bytes of learned state, JSON
//                                        accepts-ids                     it reads the lines below
//                                        monitors                        it expects answers
//   ready                                holds 164                       sent periodically
//   alive                                                                the answer to `holds`
//                                        revoked                         instead of `holds`
//                                        ending                          it was told to exit
//   replaced                                                             another process serves
//   serves                                                               it serves again
//   took 9b1f03aa5c7e2d41                took 9b1f03aa5c7e2d41           the id of a request
//                                        paddlestile 1 busy              instead of `listen`
//
// The number in `holds`, and the first number in `listen`, is how many descriptors of the shared
// budget the old process holds. The second number in `listen` is the size of the learned state in
// bytes.
//
// `took` is sent for each id that a process has admitted lately or admits from then on, so that the
// other one does not admit it again. New processes without it ignore it. Old processes without it
// do not send `accepts-ids`, which precedes `monitors`, and get none.
//
// `replaced` is sent once a third process has taken over from the new one: the old one does not
// serve again when the new one ends. `serves` takes that back. Sent after `accepts-ids` alone, as
// `took` is.
//
// `revoked` means that the new process did not answer and the old one serves again; the new process
// then exits. A new process that is told to exit closes the channel, and the old one serves again
// unless it is exiting too.
//
// Builds without `monitors` ignore it as the new process and do not send it as the old process. In
// both cases no report is answered and no process is revoked.
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
constexpr std::string_view kAcceptsIdsLine = "accepts-ids";
constexpr std::string_view kReplacedLine = "replaced";
constexpr std::string_view kServesLine = "serves";
constexpr std::string_view kMonitorsLine = "monitors";
constexpr std::string_view kAliveLine = "alive";
constexpr std::string_view kRevokedLine = "revoked";
constexpr std::string_view kEndingLine = "ending";

// These return a line without its line feed.
std::string RequestLine(const Address& listen);
std::string ListenLine(size_t descriptors_held, size_t learned_state_bytes);
std::string BusyLine();
std::string HoldsLine(size_t descriptors_held);
std::string TookLine(const std::string& request_id);

struct ListenReply {
  size_t descriptors_held = 0;
  size_t learned_state_bytes = 0;
};
// These return nullopt if `line` is malformed or of another kind.
std::optional<ListenReply> ParseListenLine(std::string_view line);
std::optional<size_t> ParseHoldsLine(std::string_view line);
std::optional<std::string> ParseTookLine(std::string_view line);

// Consumes each complete line in `input` and calls `on_line` with it, without its line feed.
// Returns false if the incomplete rest has kMaxLineBytes or more.
template <typename LineCallback>
bool ConsumeLines(Buffer& input, const LineCallback& on_line) {
  for (size_t end = 0; (end = input.view().find('\n')) != std::string_view::npos;) {
    const std::string line(input.view().substr(0, end));
    input.Consume(end + 1);
    on_line(line);
  }
  return input.size() < kMaxLineBytes;
}

}  // namespace paddlestile::hot_restart

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_PROTOCOL_H_
