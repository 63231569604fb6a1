// For tests: in-memory files that simulate the failures of disks. A power loss discards a part of
// the unsynced data, calls fail on demand, and bits can be flipped.
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
  // `seed` determines which unsynced data survives a power loss.
  explicit FaultyFileSystem(uint64_t seed) : random_(seed) {}

  // ---- Faults ---------------------------------------------------------------------------------
  // Simulates a power loss after this many modifying calls: every later one throws FileError with
  // EIO until RestorePower() is called. SIZE_MAX: never.
  size_t power_loss_after_calls = SIZE_MAX;
  // Remaining space. An append that exceeds it throws FileError with ENOSPC.
  size_t free_bytes = SIZE_MAX;
  // Whether the next sync fails. The appended data may or may not be durable then.
  bool next_sync_fails = false;
  // Number of modifying calls so far.
  size_t modifying_calls = 0;

  // Ends a power loss. Keeps the synced data and a random part of the unsynced data, and releases
  // all locks.
  void RestorePower();
  // Flips bit `bit` (0 to 7) of a byte, both in the current and in the durable data. No effect
  // beyond the end of the file.
  void FlipBit(const std::string& path, size_t byte, int bit);
  // Truncates the file to `size_bytes`, both in the current and in the durable data.
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
  // Counts a modifying call. Throws FileError during a power loss.
  void CountModifyingCall();
  // Returns the folder entries that survive a power loss. Changes of names since the last folder
  // sync are kept or lost at random.
  Files DrawSurvivingNames();
  // Returns the contents of a file that survive a power loss. The size is random between the synced
  // and the current one; of the unsynced pages, some survive and the others are zeros.
  std::string DrawSurvivingBytes(const FileData& data);

  std::mt19937_64 random_;
  Files files_;
  Files durable_files_;  // as of the last folder sync
  std::map<std::string, std::weak_ptr<void>> locks_;
};

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_FAULTY_FILES_H_
