// The file layer: what the log asks of a disk, as an interface, so that tests can take the disk
// away under it. Every call throws FileError where the disk refuses; after a failed Sync nothing
// that was written since the last good one may be trusted to be there.
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
  [[nodiscard]] int code() const { return code_; }  // errno; 0: none

 private:
  int code_;
};

class File {
 public:
  virtual ~File() = default;
  // At the end, whole or not at all as far as the caller may know: cut back where it fails.
  virtual void Append(std::string_view bytes) = 0;
  // All that was appended survives a loss of power from here on.
  virtual void Sync() = 0;
};

// Paths are the caller's; a folder holds files alone.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  [[nodiscard]] virtual bool Exists(const std::string& path) = 0;
  virtual std::string Read(const std::string& path) = 0;
  // Opens for appending behind the first `keep` bytes; the rest goes. Created where it is not
  // there.
  virtual std::unique_ptr<File> Open(const std::string& path, uint64_t keep) = 0;
  virtual void Rename(const std::string& from, const std::string& to) = 0;
  virtual void Remove(const std::string& path) = 0;
  virtual void MakeFolder(const std::string& path) = 0;
  // What was created, renamed or removed there survives a loss of power from here on.
  virtual void SyncFolder(const std::string& path) = 0;
  // Keeps other processes out for as long as it lives; null where one has it.
  virtual std::shared_ptr<void> Lock(const std::string& path) = 0;
};

// The system's own.
FileSystem& SystemFiles();

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_FILES_H_
