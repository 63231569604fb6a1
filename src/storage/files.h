// File layer: what the write-ahead log needs of a disk, as an interface, so that tests and
// experiments can make it fail. Every call throws FileError if the disk refuses.
#ifndef PADDLESTILE_STORAGE_FILES_H_
#define PADDLESTILE_STORAGE_FILES_H_

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace paddlestile::storage {

class FileError : public std::runtime_error {
 public:
  FileError(const std::string& what, int code) : std::runtime_error(what), code_(code) {}
  // The errno value; 0 if the error has none.
  [[nodiscard]] int code() const { return code_; }

 private:
  int code_;
};

// A file that is open for appending; closed by the destructor.
class File {
 public:
  virtual ~File() = default;
  // Appends all of `bytes`. If it throws, the file is as before the call.
  virtual void Append(std::string_view bytes) = 0;
  // Makes all that was appended durable. If it throws, nothing that was appended since the last
  // successful call can be relied on.
  virtual void Sync() = 0;
};

// A file system with folders that contain only files. Paths are those of the caller.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  [[nodiscard]] virtual bool Exists(const std::string& path) = 0;
  // The contents of a file.
  virtual std::string Read(const std::string& path) = 0;
  // Opens a file for appending, cut off behind its first `keep_bytes`. Creates it if it does not
  // exist.
  virtual std::unique_ptr<File> Open(const std::string& path, uint64_t keep_bytes) = 0;
  // Replaces a file of the name `to`.
  virtual void Rename(const std::string& from, const std::string& to) = 0;
  // No effect for a file that does not exist.
  virtual void Remove(const std::string& path) = 0;
  // No effect for a folder that exists.
  virtual void MakeFolder(const std::string& path) = 0;
  // Makes durable what was created, renamed or removed in a folder.
  virtual void SyncFolder(const std::string& path) = 0;
  // Locks a file against other processes for the lifetime of the result; null if another holder has
  // it locked.
  virtual std::shared_ptr<void> Lock(const std::string& path) = 0;
};

// The operating system's files.
FileSystem& SystemFiles();

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_FILES_H_
