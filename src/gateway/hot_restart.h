// Hot restart: a new process takes over from the running one without losing a connection. The old
// process passes its listening socket to the new one over a Unix socket in $TMPDIR, so the
// connections in the accept queue are kept. hot_restart_protocol.h defines the messages.
//
//   step | old process                             | new process
//   -----+-----------------------------------------+------------------------------------------
//   1    | serves                                  | calls RequestHotRestart
//   2    | sends listening socket, learned state   | starts its gateway without accepting
//   3    | serves                                  | calls ReportReady, then accepts
//   4    | stops accepting, drains connections     | serves
//   5    | exits, which closes the channel         | may use the whole descriptor budget
//
// If the new process exits, or stops answering after it was ready, the old process accepts again
// and can hand over to another new process. If the new process stopped answering, the old process
// first refuses the connections that wait to be accepted, and then revokes the new process, which
// drains and exits as soon as it reads that.
//
// If the old process is told to exit, it never revokes the new one, and a new process that is not
// ready yet becomes ready at once.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_H_

#include <string>

#include "base/address.h"

namespace paddlestile {

// Returns the path of the Unix socket of the process that listens on `listen`. `tmpdir` is the
// value of $TMPDIR; the result is empty if it is null or not an absolute path.
std::string HotRestartSocketPath(const char* tmpdir, const Address& listen);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_H_
