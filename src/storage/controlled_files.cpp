#include "storage/controlled_files.h"

#include <cerrno>
#include <chrono>
#include <cstring>
#include <fstream>
#include <thread>
#include <utility>

namespace paddlestile::storage {
namespace {

// The contents of the control file; see the header.
struct Command {
  std::string word;
  double delay_ms = 0;
};

Command ReadCommand(const std::string& control_path) {
  std::ifstream file(control_path);
  Command command;
  file >> command.word >> command.delay_ms;
  return command;
}

class ControlledFile final : public File {
 public:
  ControlledFile(std::string control_path, std::unique_ptr<File> file)
      : control_path_(std::move(control_path)), file_(std::move(file)) {}

  void Append(std::string_view bytes) override {
    if (ReadCommand(control_path_).word == "full") {
      throw FileError(std::strerror(ENOSPC), ENOSPC);
    }
    file_->Append(bytes);
  }

  void Sync() override {
    const Command command = ReadCommand(control_path_);
    if (command.word == "sync-fails") {
      throw FileError(std::strerror(EIO), EIO);
    }
    if (command.word == "slow") {
      std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(command.delay_ms));
    }
    file_->Sync();
  }

 private:
  std::string control_path_;
  std::unique_ptr<File> file_;
};

class ControlledFiles final : public FileSystem {
 public:
  explicit ControlledFiles(std::string control_path) : control_path_(std::move(control_path)) {}
  bool Exists(const std::string& path) override { return files_.Exists(path); }
  std::string Read(const std::string& path) override { return files_.Read(path); }
  std::unique_ptr<File> Open(const std::string& path, uint64_t keep_bytes) override {
    return std::make_unique<ControlledFile>(control_path_, files_.Open(path, keep_bytes));
  }
  void Rename(const std::string& from, const std::string& to) override { files_.Rename(from, to); }
  void Remove(const std::string& path) override { files_.Remove(path); }
  void MakeFolder(const std::string& path) override { files_.MakeFolder(path); }
  void SyncFolder(const std::string& path) override { files_.SyncFolder(path); }
  std::shared_ptr<void> Lock(const std::string& path) override { return files_.Lock(path); }

 private:
  std::string control_path_;
  FileSystem& files_ = SystemFiles();
};

}  // namespace

std::unique_ptr<FileSystem> ControlledFileSystem(std::string control_path) {
  return std::make_unique<ControlledFiles>(std::move(control_path));
}

}  // namespace paddlestile::storage
