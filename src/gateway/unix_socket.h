// Unix stream sockets between processes of one user, and descriptors passed over them.
#ifndef PADDLESTILE_GATEWAY_UNIX_SOCKET_H_
#define PADDLESTILE_GATEWAY_UNIX_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/file_descriptor.h"
#include "base/time.h"

namespace paddlestile {

// Connects to the socket at `path`, blocking half a second at most; no descriptor where no process
// listens there or its queue is full.
FileDescriptor ConnectUnix(const std::string& path);
// Listens at `path`, non-blocking, in place of a file that is there, with access for the present
// user alone. No descriptor, with errno set, where that fails.
FileDescriptor ListenUnix(const std::string& path);

// Whether the peer runs under the present user.
bool IsPeerOfSameUser(int fd);

// The inode of a file; 0 where there is none.
uint64_t InodeOf(const std::string& path);

// Sends a line, and the descriptor `passed` with it unless that is -1; false where not all is sent.
bool SendLine(int fd, const std::string& line, int passed);

enum class InputStatus {
  kReadable,  // bytes have come
  kEnded,     // the peer has closed, and no bytes are left
  kNone       // neither within the time
};
// Waits for input on a stream socket, without reading.
InputStatus WaitForInput(int fd, Duration timeout);

// Appends the next bytes, `max_bytes` at most, to `text`. A descriptor that comes with them
// replaces `passed`. False where nothing comes within `timeout`.
bool ReceiveBytes(int fd, size_t max_bytes, Duration timeout, std::string& text,
                  FileDescriptor& passed);
// Receives one line, without its end, and nothing behind it. False where no line of at most
// `max_bytes` comes; `timeout` is for each byte.
bool ReceiveLine(int fd, size_t max_bytes, Duration timeout, std::string& line,
                 FileDescriptor& passed);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UNIX_SOCKET_H_
