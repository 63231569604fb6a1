#include "base/file_descriptor.h"

#include <unistd.h>

namespace paddlestile {

void FileDescriptor::Reset() {
  // Not repeated on EINTR: Linux has closed the descriptor by then.
  if (fd_ >= 0) {
    close(fd_);
  }
  fd_ = -1;
}

}  // namespace paddlestile
