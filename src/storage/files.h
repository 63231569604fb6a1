// File system interface with the operations that the write-ahead log needs, so that tests and
// experiments can inject faults. Every call throws FileError if the operation fails.
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
  // The errno value; 0 if there is none.
  [[nodiscard]] int code() const { return code_; }

 private:
  int code_;
};

// A file that is open for appending. The destructor closes it.
class File {
 public:
  virtual ~File() = default;
  // Appends all of `bytes`. If it throws, the file is unchanged.
  virtual void Append(std::string_view bytes) = 0;
  // Makes all appended data durable. If it throws, it is not known which data appended since the
  // last successful call is durable.
  virtual void Sync() = 0;
};

// A file system with folders that contain only files. Paths are used as given by the caller.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  [[nodiscard]] virtual bool Exists(const std::string& path) = 0;
  // Returns the contents of a file.
  virtual std::string Read(const std::string& path) = 0;
  // Opens a file for appending after truncating it to `keep_bytes`. Creates it if it does not
  // exist.
  virtual std::unique_ptr<File> Open(const std::string& path, uint64_t keep_bytes) = 0;
  // Replaces the file `to` if it exists.
  virtual void Rename(const std::string& from, const std::string& to) = 0;
  // No effect if the file does not exist.
  virtual void Remove(const std::string& path) = 0;
  // No effect if the folder exists.
  virtual void MakeFolder(const std::string& path) = 0;
  // Makes the creation, renaming and removal of files in a folder durable.
  virtual void SyncFolder(const std::string& path) = 0;
  // Locks a file exclusively for the lifetime of the result. Returns null if it is already locked.
  virtual std::shared_ptr<void> Lock(const std::string& path) = 0;
};

// Returns the file system of the operating system.
FileSystem& SystemFiles();

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_FILES_H_
