#include "storage/write_ahead_log.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <utility>

namespace paddlestile::storage {
namespace {

static_assert(std::endian::native == std::endian::little, "the file's numbers are little-endian");

constexpr std::string_view kMagic = "pdlstlog";

struct FileHead {
  char magic[8];
  uint32_t format, check;
  uint64_t first;  // number of the first record
};
struct RecordHead {
  uint32_t size, check;  // the check of the other fields
  uint64_t number;
  uint64_t synced;  // bytes of the file that were durable when it was appended
  uint64_t body;    // the check of what follows
};

uint32_t CheckOf(const FileHead& head) {
  return XXH32(&head.first, sizeof(head.first), head.format);
}

uint32_t CheckOf(RecordHead head) {
  head.check = 0;
  return XXH32(&head, sizeof(head), 0x9a11);
}

std::string Whole(std::string_view record, uint64_t number, uint64_t synced) {
  RecordHead head{static_cast<uint32_t>(record.size()), 0, number, synced,
                  XXH3_64bits_withSeed(record.data(), record.size(), number)};
  head.check = CheckOf(head);
  std::string bytes(reinterpret_cast<const char*>(&head), sizeof(head));
  return bytes.append(record);
}

std::string HeadOf(uint64_t first) {
  FileHead head{{}, WriteAheadLog::kFormatVersion, 0, first};
  std::memcpy(head.magic, kMagic.data(), kMagic.size());
  head.check = CheckOf(head);
  return {reinterpret_cast<const char*>(&head), sizeof(head)};
}

// The record at `at`, if one is whole there.
bool RecordAt(std::string_view bytes, size_t at, RecordHead& head) {
  if (bytes.size() - at < sizeof(head)) {
    return false;
  }
  std::memcpy(&head, bytes.data() + at, sizeof(head));
  if (head.check != CheckOf(head) || head.size > bytes.size() - at - sizeof(head)) {
    return false;
  }
  return head.body ==
         XXH3_64bits_withSeed(bytes.data() + at + sizeof(head), head.size, head.number);
}

}  // namespace

WriteAheadLog::Found WriteAheadLog::Scan(const std::string& path, const std::string& bytes,
                                         const std::function<void(std::string_view)>& record) {
  FileHead file{};
  if (bytes.size() < sizeof(file)) {
    return {};
  }
  std::memcpy(&file, bytes.data(), sizeof(file));
  if (std::string_view(file.magic, sizeof(file.magic)) != kMagic || file.check != CheckOf(file)) {
    throw CorruptionError(path + " at 0: no head of a log");
  }
  if (file.format != kFormatVersion) {
    throw CorruptionError(path + " at 8: format " + std::to_string(file.format) + ", expected " +
                          std::to_string(kFormatVersion));
  }
  Found found{file.first, sizeof(file), 0};
  RecordHead head{};
  while (found.good < bytes.size()) {
    if (!RecordAt(bytes, found.good, head) || head.number != found.next) {
      break;
    }
    record(std::string_view(bytes).substr(found.good + sizeof(head), head.size));
    found.good += sizeof(head) + head.size;
    ++found.next;
  }
  // Behind the last whole one: cut while it was written, unless a later one tells that it was
  // durable.
  for (size_t at = found.good; at + sizeof(head) <= bytes.size(); ++at) {
    if (RecordAt(bytes, at, head) && head.number >= found.next && head.synced > found.good) {
      throw CorruptionError(path + " at " + std::to_string(found.good) +
                            ": a record that does not check out, with whole ones behind it");
    }
  }
  found.cut = bytes.size() - found.good;
  return found;
}

WriteAheadLog::WriteAheadLog(FileSystem& files, std::string folder,
                             const std::function<void(std::string_view)>& record)
    : files_(files), folder_(std::move(folder)) {
  const std::string path = PathIn(folder_);
  const std::string bytes = files_.Exists(path) ? files_.Read(path) : std::string();
  const Found found = Scan(path, bytes, record);
  cut_off_ = found.cut;
  next_ = found.next;
  size_ = found.good;
  // What a death left of an exchange that did not come about.
  files_.Remove(path + ".new");
  if (size_ == 0) {
    // Whole or not at all: a head that is cut would be damage.
    const std::string head = HeadOf(0);
    file_ = files_.Open(path + ".new", 0);
    file_->Append(head);
    file_->Sync();
    files_.Rename(path + ".new", path);
    size_ = head.size();
  } else {
    file_ = files_.Open(path, size_);
    file_->Sync();
  }
  files_.SyncFolder(folder_);
  synced_ = size_;
}

void WriteAheadLog::Read(FileSystem& files, const std::string& folder,
                         const std::function<void(std::string_view)>& record) {
  const std::string path = PathIn(folder);
  if (files.Exists(path)) {
    Scan(path, files.Read(path), record);
  }
}

void WriteAheadLog::Append(std::string_view record) {
  if (broken_) {
    throw FileError(PathIn(folder_) + ": of no use since it failed", 0);
  }
  if (record.size() > kMaxRecordBytes) {
    throw FileError("a record over 64 MiB", 0);
  }
  const std::string bytes = Whole(record, next_, synced_);
  file_->Append(bytes);
  ++next_;
  size_ += bytes.size();
}

void WriteAheadLog::Sync() {
  if (broken_) {
    throw FileError(PathIn(folder_) + ": of no use since it failed", 0);
  }
  try {
    file_->Sync();
  } catch (const FileError&) {
    broken_ = true;
    throw;
  }
  synced_ = size_;
}

void WriteAheadLog::Replace(const std::vector<std::string>& records) {
  if (broken_) {
    throw FileError(PathIn(folder_) + ": of no use since it failed", 0);
  }
  const std::string path = PathIn(folder_), part = path + ".new";
  std::string bytes = HeadOf(next_);
  uint64_t next = next_;
  for (const std::string& record : records) {
    bytes += Whole(record, next++, 0);
  }
  std::unique_ptr<File> file = files_.Open(part, 0);
  file->Append(bytes);
  file->Sync();
  try {
    files_.Rename(part, path);
    files_.SyncFolder(folder_);
  } catch (const FileError&) {
    broken_ = true;  // the old or the new: nobody knows
    throw;
  }
  file_ = std::move(file);
  next_ = next;
  size_ = synced_ = bytes.size();
}

}  // namespace paddlestile::storage
