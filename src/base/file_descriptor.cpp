#include "base/file_descriptor.h"

#include <unistd.h>

namespace paddlestile {

void FileDescriptor::Reset() {
  // Not retried after EINTR: Linux has already closed the descriptor.
  if (fd_ >= 0) {
    close(fd_);
  }
  fd_ = -1;
}

}  // namespace paddlestile
