// Unix stream sockets between processes of the same user, and descriptors passed over them.
#ifndef PADDLESTILE_GATEWAY_UNIX_SOCKET_H_
#define PADDLESTILE_GATEWAY_UNIX_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/file_descriptor.h"
#include "base/time.h"

namespace paddlestile {

// Connects to the socket at `path`. Blocks for up to half a second. Returns an empty descriptor if
// no process listens there or its accept queue is full.
FileDescriptor ConnectUnix(const std::string& path);
// Returns a non-blocking listening socket at `path`, which only the current user can access. Any
// file at `path` is replaced. Returns an empty descriptor, with errno set, on failure.
FileDescriptor ListenUnix(const std::string& path);

// Returns whether the peer process runs as the current user.
bool IsPeerOfSameUser(int fd);

// Returns the inode of a file, or 0 if there is no file.
uint64_t InodeOf(const std::string& path);

// Sends `line` and, unless it is -1, the descriptor `passed_fd` with it. Returns false unless the
// whole line was sent.
bool SendLine(int fd, const std::string& line, int passed_fd);

enum class InputStatus {
  kReadable,  // there are bytes to read
  kEnded,     // the peer has closed the connection, and no bytes are left
  kNone       // neither within the timeout
};
// Waits for input on a stream socket without reading it.
InputStatus WaitForInput(int fd, Duration timeout);

// Appends the next bytes, up to `max_bytes`, to `text`. A descriptor that arrives with them
// replaces `passed_fd`. Returns false if nothing arrives within `timeout` or the connection has
// ended.
bool ReceiveBytes(int fd, size_t max_bytes, Duration timeout, std::string& text,
                  FileDescriptor& passed_fd);
// Receives one line, without its line feed, and reads nothing after it. Returns false if no line of
// at most `max_bytes` arrives. `timeout` applies to each byte.
bool ReceiveLine(int fd, size_t max_bytes, Duration timeout, std::string& line,
                 FileDescriptor& passed_fd);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UNIX_SOCKET_H_
