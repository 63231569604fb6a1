#include "storage/faulty_files.h"

#include <algorithm>
#include <utility>

namespace paddlestile::storage {
namespace {
constexpr size_t kPage = 64;  // bytes that reach the disk or not as one
}  // namespace

class FaultyFileSystem::Handle final : public File {
 public:
  Handle(FaultyFileSystem& disk, std::shared_ptr<Content> content)
      : disk_(disk), content_(std::move(content)) {}
  void Append(std::string_view bytes) override {
    disk_.Changes();
    const size_t fits = std::min(bytes.size(), disk_.room);
    if (disk_.room != SIZE_MAX) {
      disk_.room -= fits;
    }
    if (fits < bytes.size()) {
      throw FileError("no space left", ENOSPC);
    }
    content_->now += bytes;
  }
  void Sync() override {
    disk_.Changes();
    if (std::exchange(disk_.sync_fails, false)) {
      throw FileError("input/output error", EIO);
    }
    content_->durable = content_->now;
  }

 private:
  FaultyFileSystem& disk_;
  std::shared_ptr<Content> content_;
};

void FaultyFileSystem::Changes() {
  if (calls++ >= power_after) {
    throw FileError("no power", EIO);
  }
}

void FaultyFileSystem::Restore() {
  power_after = SIZE_MAX;
  // A name whose folder was not synced may be the old one or the new one.
  std::map<std::string, std::shared_ptr<Content>> names = durable_names_;
  std::set<std::string> all;
  for (const auto* const some : {&names_, &durable_names_}) {
    for (const auto& [name, content] : *some) {
      all.insert(name);
    }
  }
  for (const std::string& name : all) {
    if (random_() % 2 != 0) {
      continue;
    }
    if (names_.contains(name)) {
      names[name] = names_[name];
    } else {
      names.erase(name);
    }
  }
  std::set<Content*> done;
  for (const auto& [name, content] : names) {
    if (!done.insert(content.get()).second) {
      continue;
    }
    // Of what was not synced some pages are there, others are zeros; the size is any.
    std::string& now = content->now;
    std::string kept = content->durable;
    if (now.size() >= kept.size() && now.starts_with(kept)) {
      const size_t more = now.size() - kept.size();
      const size_t size = kept.size() + (more > 0 ? random_() % (more + 1) : 0);
      const size_t from = kept.size();
      kept.resize(size, '\0');
      for (size_t at = from; at < size; at += kPage) {
        if (random_() % 3 == 0) {
          continue;
        }
        std::copy_n(now.begin() + static_cast<long>(at), std::min(kPage, size - at),
                    kept.begin() + static_cast<long>(at));
      }
    }
    content->now = content->durable = kept;
  }
  names_ = durable_names_ = names;
  locks_.clear();
}

void FaultyFileSystem::Flip(const std::string& path, size_t byte, int bit) {
  Content& content = *names_.at(path);
  for (std::string* const text : {&content.now, &content.durable}) {
    if (byte < text->size()) {
      (*text)[byte] = static_cast<char>((*text)[byte] ^ (1 << bit));
    }
  }
}

void FaultyFileSystem::Cut(const std::string& path, size_t size) {
  Content& content = *names_.at(path);
  content.now.resize(std::min(content.now.size(), size));
  content.durable = content.now;
}

std::string FaultyFileSystem::Read(const std::string& path) {
  const auto at = names_.find(path);
  if (at == names_.end()) {
    throw FileError(path + ": no such file", ENOENT);
  }
  return at->second->now;
}

std::unique_ptr<File> FaultyFileSystem::Open(const std::string& path, uint64_t keep) {
  Changes();
  auto& content = names_[path];
  if (!content) {
    content = std::make_shared<Content>();
  }
  content->now.resize(std::min<size_t>(content->now.size(), keep));
  return std::make_unique<Handle>(*this, content);
}

void FaultyFileSystem::Rename(const std::string& from, const std::string& to) {
  Changes();
  names_[to] = names_.at(from);
  names_.erase(from);
}

void FaultyFileSystem::Remove(const std::string& path) {
  Changes();
  names_.erase(path);
}

void FaultyFileSystem::SyncFolder(const std::string&) {
  Changes();
  durable_names_ = names_;
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
