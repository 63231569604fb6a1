// Which connections of clients a process has accepted, by the kernel's tables under /proc.
#ifndef PADDLESTILE_LAB_PROCESS_SOCKETS_H_
#define PADDLESTILE_LAB_PROCESS_SOCKETS_H_

#include <sys/types.h>

#include <vector>

#include "base/address.h"

namespace paddlestile::lab {

// The clients' ends of the connections to `listen` that the process holds. Exact where the process
// is stopped; empty where it has ended.
std::vector<Address> AcceptedConnections(pid_t pid, const Address& listen);

// The clients' ends of the connections to `listen` that no process has accepted yet.
std::vector<Address> QueuedConnections(const Address& listen);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PROCESS_SOCKETS_H_
