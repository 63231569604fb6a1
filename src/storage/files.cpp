#include "storage/files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <cstring>
#include <utility>

namespace paddlestile::storage {
namespace {

[[noreturn]] void ThrowFileError(const std::string& path, int code) {
  throw FileError(path + ": " + std::strerror(code), code);
}

constexpr size_t kReadBytes = 1 << 16;

// Owns a file descriptor, or none if it is negative.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  [[nodiscard]] int get() const { return fd_; }

 private:
  int fd_;
};

class PosixFile final : public File {
 public:
  // Takes ownership of `fd`, the descriptor of a file of `size_bytes`.
  PosixFile(std::string path, int fd, uint64_t size_bytes)
      : path_(std::move(path)), fd_(fd), size_bytes_(size_bytes) {}

  void Append(std::string_view bytes) override {
    uint64_t offset = size_bytes_;
    while (!bytes.empty()) {
      const ssize_t written =
          pwrite(fd_.get(), bytes.data(), bytes.size(), static_cast<off_t>(offset));
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written <= 0) {
        UndoAppend(written < 0 ? errno : ENOSPC);
      }
      offset += static_cast<uint64_t>(written);
      bytes.remove_prefix(static_cast<size_t>(written));
    }
    size_bytes_ = offset;
  }

  void Sync() override {
    if (fdatasync(fd_.get()) != 0) {
      ThrowFileError(path_, errno);
    }
  }

 private:
  // Removes the partially written data of an append that failed with errno `code`, and throws.
  [[noreturn]] void UndoAppend(int code) {
    if (ftruncate(fd_.get(), static_cast<off_t>(size_bytes_)) != 0) {
      ThrowFileError(path_, errno);
    }
    ThrowFileError(path_, code);
  }

  std::string path_;
  Descriptor fd_;
  uint64_t size_bytes_;
};

class PosixFileSystem final : public FileSystem {
 public:
  bool Exists(const std::string& path) override { return access(path.c_str(), F_OK) == 0; }

  std::string Read(const std::string& path) override {
    const Descriptor fd(open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.get() < 0) {
      ThrowFileError(path, errno);
    }
    std::string contents;
    std::array<char, kReadBytes> buffer;
    while (true) {
      const ssize_t count = read(fd.get(), buffer.data(), buffer.size());
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        ThrowFileError(path, errno);
      }
      if (count == 0) {
        return contents;
      }
      contents.append(buffer.data(), static_cast<size_t>(count));
    }
  }

  std::unique_ptr<File> Open(const std::string& path, uint64_t keep_bytes) override {
    const int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0) {
      ThrowFileError(path, errno);
    }
    auto file = std::make_unique<PosixFile>(path, fd, keep_bytes);
    if (ftruncate(fd, static_cast<off_t>(keep_bytes)) != 0) {
      ThrowFileError(path, errno);
    }
    return file;
  }

  void Rename(const std::string& from, const std::string& to) override {
    if (rename(from.c_str(), to.c_str()) != 0) {
      ThrowFileError(from, errno);
    }
  }

  void Remove(const std::string& path) override {
    if (unlink(path.c_str()) != 0 && errno != ENOENT) {
      ThrowFileError(path, errno);
    }
  }

  void MakeFolder(const std::string& path) override {
    if (mkdir(path.c_str(), 0700) != 0 && errno != EEXIST) {
      ThrowFileError(path, errno);
    }
  }

  void SyncFolder(const std::string& path) override {
    const Descriptor fd(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.get() < 0 || fsync(fd.get()) != 0) {
      ThrowFileError(path, errno);
    }
  }

  std::shared_ptr<void> Lock(const std::string& path) override {
    auto fd = std::make_shared<Descriptor>(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (fd->get() < 0) {
      ThrowFileError(path, errno);
    }
    if (flock(fd->get(), LOCK_EX | LOCK_NB) == 0) {
      return fd;
    }
    if (errno != EWOULDBLOCK) {
      ThrowFileError(path, errno);
    }
    return nullptr;
  }
};

}  // namespace

FileSystem& SystemFiles() {
  static PosixFileSystem files;
  return files;
}

}  // namespace paddlestile::storage
