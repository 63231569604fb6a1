#include "storage/faulty_files.h"

#include <algorithm>
#include <set>
#include <utility>

namespace paddlestile::storage {
namespace {

constexpr size_t kPageBytes = 64;  // unit that survives a power loss completely or not at all

}  // namespace

class FaultyFileSystem::OpenFile final : public File {
 public:
  OpenFile(FaultyFileSystem& files, std::shared_ptr<FileData> data)
      : files_(files), data_(std::move(data)) {}

  void Append(std::string_view bytes) override {
    files_.CountModifyingCall();
    const size_t fitting_bytes = std::min(bytes.size(), files_.free_bytes);
    if (files_.free_bytes != SIZE_MAX) {
      files_.free_bytes -= fitting_bytes;
    }
    if (fitting_bytes < bytes.size()) {
      throw FileError("no space left", ENOSPC);
    }
    data_->current += bytes;
  }

  void Sync() override {
    files_.CountModifyingCall();
    if (std::exchange(files_.next_sync_fails, false)) {
      throw FileError("input/output error", EIO);
    }
    data_->durable = data_->current;
  }

 private:
  FaultyFileSystem& files_;
  std::shared_ptr<FileData> data_;
};

void FaultyFileSystem::CountModifyingCall() {
  if (modifying_calls++ >= power_loss_after_calls) {
    throw FileError("simulated power loss", EIO);
  }
}

FaultyFileSystem::Files FaultyFileSystem::DrawSurvivingNames() {
  std::set<std::string> names;
  for (const Files* const files : {&files_, &durable_files_}) {
    for (const auto& [name, data] : *files) {
      names.insert(name);
    }
  }
  Files surviving = durable_files_;
  for (const std::string& name : names) {
    if (random_() % 2 != 0) {
      continue;
    }
    if (files_.contains(name)) {
      surviving[name] = files_[name];
    } else {
      surviving.erase(name);
    }
  }
  return surviving;
}

std::string FaultyFileSystem::DrawSurvivingBytes(const FileData& data) {
  std::string surviving = data.durable;
  if (!data.current.starts_with(data.durable)) {
    return surviving;
  }
  const size_t begin = data.durable.size();
  const size_t unsynced_bytes = data.current.size() - begin;
  const size_t end = begin + (unsynced_bytes > 0 ? random_() % (unsynced_bytes + 1) : 0);
  surviving.resize(end, '\0');
  for (size_t page = begin; page < end; page += kPageBytes) {
    if (random_() % 3 == 0) {
      continue;
    }
    std::copy_n(data.current.begin() + static_cast<long>(page), std::min(kPageBytes, end - page),
                surviving.begin() + static_cast<long>(page));
  }
  return surviving;
}

void FaultyFileSystem::RestorePower() {
  power_loss_after_calls = SIZE_MAX;
  const Files surviving = DrawSurvivingNames();
  std::set<FileData*> processed;  // a file may have two names
  for (const auto& [name, data] : surviving) {
    if (processed.insert(data.get()).second) {
      data->durable = DrawSurvivingBytes(*data);
      data->current = data->durable;
    }
  }
  files_ = surviving;
  durable_files_ = surviving;
  locks_.clear();
}

void FaultyFileSystem::FlipBit(const std::string& path, size_t byte, int bit) {
  FileData& data = *files_.at(path);
  for (std::string* const bytes : {&data.current, &data.durable}) {
    if (byte < bytes->size()) {
      (*bytes)[byte] = static_cast<char>((*bytes)[byte] ^ (1 << bit));
    }
  }
}

void FaultyFileSystem::Truncate(const std::string& path, size_t size_bytes) {
  FileData& data = *files_.at(path);
  data.current.resize(std::min(data.current.size(), size_bytes));
  data.durable = data.current;
}

std::string FaultyFileSystem::Read(const std::string& path) {
  const auto found = files_.find(path);
  if (found == files_.end()) {
    throw FileError(path + ": no such file", ENOENT);
  }
  return found->second->current;
}

std::unique_ptr<File> FaultyFileSystem::Open(const std::string& path, uint64_t keep_bytes) {
  CountModifyingCall();
  auto& data = files_[path];
  if (!data) {
    data = std::make_shared<FileData>();
  }
  data->current.resize(std::min<size_t>(data->current.size(), keep_bytes));
  return std::make_unique<OpenFile>(*this, data);
}

void FaultyFileSystem::Rename(const std::string& from, const std::string& to) {
  CountModifyingCall();
  files_[to] = files_.at(from);
  files_.erase(from);
}

void FaultyFileSystem::Remove(const std::string& path) {
  CountModifyingCall();
  files_.erase(path);
}

void FaultyFileSystem::SyncFolder(const std::string&) {
  CountModifyingCall();
  durable_files_ = files_;
}

std::shared_ptr<void> FaultyFileSystem::Lock(const std::string& path) {
  if (!locks_[path].expired()) {
    return nullptr;
  }
  auto lock = std::make_shared<int>(0);
  locks_[path] = lock;
  return lock;
}

}  // namespace paddlestile::storage
