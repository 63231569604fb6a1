// A disk in memory that fails as disks do: what was not synced is lost in part at a loss of power,
// calls fail when told to, bits flip.
#ifndef PADDLESTILE_STORAGE_FAULTY_FILES_H_
#define PADDLESTILE_STORAGE_FAULTY_FILES_H_

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "storage/files.h"

namespace paddlestile::storage {

class FaultyFileSystem final : public FileSystem {
 public:
  explicit FaultyFileSystem(uint64_t seed) : random_(seed) {}

  // ---- What goes wrong ------------------------------------------------------------------------
  // After so many calls that change something, power is lost: every later call fails with EIO until
  // Restore. SIZE_MAX: never.
  size_t power_after = SIZE_MAX;
  size_t room = SIZE_MAX;   // bytes that may still be appended; then ENOSPC, after a part
  bool sync_fails = false;  // once: what was not durable may be there or not
  size_t calls = 0;         // that changed something

  // Power is back: what was synced is there, of the rest a part, in no order.
  void Restore();
  void Flip(const std::string& path, size_t byte, int bit);
  void Cut(const std::string& path, size_t size);

  bool Exists(const std::string& path) override { return names_.contains(path); }
  std::string Read(const std::string& path) override;
  std::unique_ptr<File> Open(const std::string& path, uint64_t keep) override;
  void Rename(const std::string& from, const std::string& to) override;
  void Remove(const std::string& path) override;
  void MakeFolder(const std::string&) override { Changes(); }
  void SyncFolder(const std::string& path) override;
  std::shared_ptr<void> Lock(const std::string& path) override;

 private:
  struct Content {
    std::string now, durable;
  };
  class Handle;
  void Changes();

  std::mt19937_64 random_;
  std::map<std::string, std::shared_ptr<Content>> names_, durable_names_;
  std::map<std::string, std::weak_ptr<void>> locks_;
};

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_FAULTY_FILES_H_
