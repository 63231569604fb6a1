// For tests: files in memory that fail as disks do. A power loss drops a part of what was not
// synced, calls fail on demand, bits flip.
#ifndef PADDLESTILE_STORAGE_FAULTY_FILES_H_
#define PADDLESTILE_STORAGE_FAULTY_FILES_H_

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "storage/files.h"

namespace paddlestile::storage {

class FaultyFileSystem final : public FileSystem {
 public:
  // `seed` decides what a power loss leaves of data that was not synced.
  explicit FaultyFileSystem(uint64_t seed) : random_(seed) {}

  // ---- Faults ---------------------------------------------------------------------------------
  // Power is lost after this many modifying calls: every later one throws FileError with EIO until
  // RestorePower(). SIZE_MAX: never.
  size_t power_loss_after_calls = SIZE_MAX;
  // Bytes that may still be appended; an append beyond that throws FileError with ENOSPC.
  size_t free_bytes = SIZE_MAX;
  // The next sync fails; what was appended may be durable or not.
  bool next_sync_fails = false;
  // Modifying calls so far.
  size_t modifying_calls = 0;

  // Leaves what was synced, and a random part of the rest in any order. Releases all locks.
  void RestorePower();
  // Flips bit `bit` (0 to 7) of a byte, in memory and on disk. No effect behind the file's end.
  void FlipBit(const std::string& path, size_t byte, int bit);
  // Cuts the file off behind `size_bytes`, in memory and on disk.
  void Truncate(const std::string& path, size_t size_bytes);

  // ---- FileSystem -----------------------------------------------------------------------------
  bool Exists(const std::string& path) override { return files_.contains(path); }
  std::string Read(const std::string& path) override;
  std::unique_ptr<File> Open(const std::string& path, uint64_t keep_bytes) override;
  void Rename(const std::string& from, const std::string& to) override;
  void Remove(const std::string& path) override;
  void MakeFolder(const std::string&) override { CountModifyingCall(); }
  void SyncFolder(const std::string& path) override;
  std::shared_ptr<void> Lock(const std::string& path) override;

 private:
  struct FileData {
    std::string current;
    std::string durable;  // as of the last sync
  };
  using Files = std::map<std::string, std::shared_ptr<FileData>>;
  class OpenFile;
  // Throws FileError while power is lost.
  void CountModifyingCall();
  Files DrawSurvivingNames();
  std::string DrawSurvivingBytes(const FileData& data);

  std::mt19937_64 random_;
  Files files_;
  Files durable_files_;  // as of the last folder sync
  std::map<std::string, std::weak_ptr<void>> locks_;
};

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_FAULTY_FILES_H_
