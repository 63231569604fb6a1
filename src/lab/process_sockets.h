// Which connections of clients a child process has accepted, by copies of its own descriptors: the
// cost goes with what it has open, not with all sockets of the machine.
#ifndef PADDLESTILE_LAB_PROCESS_SOCKETS_H_
#define PADDLESTILE_LAB_PROCESS_SOCKETS_H_

#include <sys/types.h>

#include <vector>

#include "base/address.h"

namespace paddlestile::lab {

// The clients' ends of the connections to `listen` that the process holds. Exact where the process
// is stopped; empty where it has ended.
std::vector<Address> AcceptedConnections(pid_t pid, const Address& listen);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PROCESS_SOCKETS_H_
