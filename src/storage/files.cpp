#include "storage/files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace paddlestile::storage {
namespace {

[[noreturn]] void Fail(const std::string& path, int code) {
  throw FileError(path + ": " + std::strerror(code), code);
}

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

class RealFile final : public File {
 public:
  RealFile(std::string path, int fd, uint64_t size)
      : path_(std::move(path)), fd_(fd), size_(size) {}
  void Append(std::string_view bytes) override {
    uint64_t at = size_;
    while (!bytes.empty()) {
      const ssize_t n = pwrite(fd_.get(), bytes.data(), bytes.size(), static_cast<off_t>(at));
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n <= 0) {
        const int code = n < 0 ? errno : ENOSPC;
        // What got through would stand before the next.
        if (ftruncate(fd_.get(), static_cast<off_t>(size_)) != 0) {
          Fail(path_, errno);
        }
        Fail(path_, code);
      }
      at += static_cast<uint64_t>(n);
      bytes.remove_prefix(static_cast<size_t>(n));
    }
    size_ = at;
  }
  void Sync() override {
    if (fdatasync(fd_.get()) != 0) {
      Fail(path_, errno);
    }
  }

 private:
  std::string path_;
  Descriptor fd_;
  uint64_t size_;
};

class PosixFileSystem final : public FileSystem {
 public:
  bool Exists(const std::string& path) override { return access(path.c_str(), F_OK) == 0; }
  std::string Read(const std::string& path) override {
    const Descriptor fd(open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.get() < 0) {
      Fail(path, errno);
    }
    std::string text;
    std::array<char, 1 << 16> part;
    while (true) {
      const ssize_t n = read(fd.get(), part.data(), part.size());
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        Fail(path, errno);
      }
      if (n == 0) {
        return text;
      }
      text.append(part.data(), static_cast<size_t>(n));
    }
  }
  std::unique_ptr<File> Open(const std::string& path, uint64_t keep) override {
    const int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0) {
      Fail(path, errno);
    }
    auto file = std::make_unique<RealFile>(path, fd, keep);
    if (ftruncate(fd, static_cast<off_t>(keep)) != 0) {
      Fail(path, errno);
    }
    return file;
  }
  void Rename(const std::string& from, const std::string& to) override {
    if (rename(from.c_str(), to.c_str()) != 0) {
      Fail(from, errno);
    }
  }
  void Remove(const std::string& path) override {
    if (unlink(path.c_str()) != 0 && errno != ENOENT) {
      Fail(path, errno);
    }
  }
  void MakeFolder(const std::string& path) override {
    if (mkdir(path.c_str(), 0700) != 0 && errno != EEXIST) {
      Fail(path, errno);
    }
  }
  void SyncFolder(const std::string& path) override {
    const Descriptor fd(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.get() < 0 || fsync(fd.get()) != 0) {
      Fail(path, errno);
    }
  }
  std::shared_ptr<void> Lock(const std::string& path) override {
    auto fd = std::make_shared<Descriptor>(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (fd->get() < 0) {
      Fail(path, errno);
    }
    if (flock(fd->get(), LOCK_EX | LOCK_NB) == 0) {
      return fd;
    }
    if (errno != EWOULDBLOCK) {
      Fail(path, errno);
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
