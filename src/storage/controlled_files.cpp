#include "storage/controlled_files.h"

#include <cerrno>
#include <chrono>
#include <cstring>
#include <fstream>
#include <thread>
#include <utility>

namespace paddlestile::storage {
namespace {

class Controlled final : public FileSystem {
 public:
  explicit Controlled(std::string control) : control_(std::move(control)) {}
  bool Exists(const std::string& path) override { return real_.Exists(path); }
  std::string Read(const std::string& path) override { return real_.Read(path); }
  std::unique_ptr<File> Open(const std::string& path, uint64_t keep) override {
    return std::make_unique<Opened>(*this, real_.Open(path, keep));
  }
  void Rename(const std::string& from, const std::string& to) override { real_.Rename(from, to); }
  void Remove(const std::string& path) override { real_.Remove(path); }
  void MakeFolder(const std::string& path) override { real_.MakeFolder(path); }
  void SyncFolder(const std::string& path) override { real_.SyncFolder(path); }
  std::shared_ptr<void> Lock(const std::string& path) override { return real_.Lock(path); }

 private:
  class Opened final : public File {
   public:
    Opened(Controlled& of, std::unique_ptr<File> file) : of_(of), file_(std::move(file)) {}
    void Append(std::string_view bytes) override {
      double ms = 0;
      if (of_.Word(ms) == "full") {
        throw FileError(std::strerror(ENOSPC), ENOSPC);
      }
      file_->Append(bytes);
    }
    void Sync() override {
      double ms = 0;
      const std::string word = of_.Word(ms);
      if (word == "sync-fails") {
        throw FileError(std::strerror(EIO), EIO);
      }
      if (word == "slow") {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
      }
      file_->Sync();
    }

   private:
    Controlled& of_;
    std::unique_ptr<File> file_;
  };
  [[nodiscard]] std::string Word(double& ms) const {
    std::ifstream file(control_);
    std::string word;
    file >> word >> ms;
    return word;
  }

  std::string control_;
  FileSystem& real_ = SystemFiles();
};

}  // namespace

std::unique_ptr<FileSystem> ControlledFileSystem(std::string control) {
  return std::make_unique<Controlled>(std::move(control));
}

}  // namespace paddlestile::storage
