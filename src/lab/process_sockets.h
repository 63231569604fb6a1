// Finds the client connections that a child process has accepted, from copies of its descriptors.
// The cost depends on its number of descriptors, not on all sockets of the machine.
#ifndef PADDLESTILE_LAB_PROCESS_SOCKETS_H_
#define PADDLESTILE_LAB_PROCESS_SOCKETS_H_

#include <sys/types.h>

#include <vector>

#include "base/address.h"

namespace paddlestile::lab {

// The client addresses of the connections to `listen` that the process has accepted. Exact only
// while the process is stopped; empty if it has exited.
std::vector<Address> AcceptedConnections(pid_t pid, const Address& listen);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PROCESS_SOCKETS_H_
