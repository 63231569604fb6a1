// Hot restart: a new process takes over from the running one without losing a connection. The
// listening socket goes from process to process over a Unix socket in $TMPDIR; the connections in
// its queue stay. hot_restart_protocol.h has the lines.
//
//   step | old process                             | new process
//   -----+-----------------------------------------+------------------------------------------
//   1    | serves                                  | RequestHotRestart
//   2    | passes listening socket, learned state  | starts its gateway, accepts nothing
//   3    | serves                                  | ReportReady, then accepts
//   4    | accepts no more, ends what is open      | serves
//   5    | ends; its channel closes                | has all of the descriptor budget
//
// Where the new process vanishes, or no longer answers once it was ready, the old one accepts again
// and waits for another new process. One that finds itself revoked drains and ends. Until it is
// revoked the old one refuses what waits. An old process that is told to end revokes nobody, and a
// new one that is not ready becomes so.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_H_

#include <string>

#include "base/address.h"

namespace paddlestile {

// The socket of the process that listens at `listen`; empty where `tmpdir`, the value of $TMPDIR,
// is null or not absolute.
std::string HotRestartSocketPath(const char* tmpdir, const Address& listen);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_H_
