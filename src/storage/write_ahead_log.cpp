#include "storage/write_ahead_log.h"

#include <cstddef>
#include <cstring>
#include <optional>
#include <utility>

namespace paddlestile::storage {
namespace {

// A new file is written under this name and then renamed, so that it replaces the old file
// atomically.
std::string TemporaryPath(const std::string& path) {
  return path + ".new";
}

std::string LocationPrefix(const std::string& path, uint64_t offset) {
  return path + " at " + std::to_string(offset) + ": ";
}

void CheckFileHeader(const std::string& path, const FileHeader& header) {
  if (!IsValid(header)) {
    throw CorruptionError(LocationPrefix(path, 0) + "invalid log file header");
  }
  if (header.format != kLogFormatVersion) {
    throw CorruptionError(LocationPrefix(path, offsetof(FileHeader, format)) + "format " +
                          std::to_string(header.format) + ", expected " +
                          std::to_string(kLogFormatVersion));
  }
}

// Whether a record after `offset` shows that the data at `offset` was durable. If so, the record at
// `offset` is damaged rather than incomplete.
bool WasDurable(std::string_view contents, uint64_t offset, uint64_t record_number) {
  for (size_t position = offset; position + sizeof(RecordHeader) <= contents.size(); ++position) {
    const std::optional<RecordHeader> header = DecodeRecordHeader(contents, position);
    if (header && header->number >= record_number && header->synced_bytes > offset) {
      return true;
    }
  }
  return false;
}

}  // namespace

WriteAheadLog::ScanResult WriteAheadLog::Scan(const std::string& path, const std::string& contents,
                                              const RecordCallback& on_record) {
  FileHeader file_header{};
  if (contents.size() < sizeof(file_header)) {
    return {};
  }
  std::memcpy(&file_header, contents.data(), sizeof(file_header));
  CheckFileHeader(path, file_header);
  ScanResult result{file_header.first_record_number, sizeof(file_header), 0};
  while (result.valid_bytes < contents.size()) {
    const std::optional<RecordHeader> header = DecodeRecordHeader(contents, result.valid_bytes);
    if (!header || header->number != result.next_record_number) {
      break;
    }
    const uint64_t begin = result.valid_bytes + sizeof(RecordHeader);
    on_record(std::string_view(contents).substr(begin, header->size_bytes));
    result.valid_bytes = begin + header->size_bytes;
    ++result.next_record_number;
  }
  if (WasDurable(contents, result.valid_bytes, result.next_record_number)) {
    throw CorruptionError(LocationPrefix(path, result.valid_bytes) +
                          "a record that does not check out, but a later one shows it was durable");
  }
  result.cut_off_bytes = contents.size() - result.valid_bytes;
  return result;
}

WriteAheadLog::WriteAheadLog(FileSystem& files, std::string folder, const RecordCallback& on_record)
    : files_(files), folder_(std::move(folder)) {
  const std::string path = PathIn(folder_);
  const std::string contents = files_.Exists(path) ? files_.Read(path) : std::string();
  const ScanResult result = Scan(path, contents, on_record);
  cut_off_bytes_ = result.cut_off_bytes;
  next_record_number_ = result.next_record_number;
  size_bytes_ = result.valid_bytes;
  files_.Remove(TemporaryPath(path));  // left over from an unfinished replacement
  if (size_bytes_ == 0) {
    CreateFile(path);
  } else {
    file_ = files_.Open(path, size_bytes_);
    file_->Sync();
  }
  files_.SyncFolder(folder_);
  synced_bytes_ = size_bytes_;
}

void WriteAheadLog::CreateFile(const std::string& path) {
  const std::string header = EncodeFileHeader(0);
  file_ = files_.Open(TemporaryPath(path), 0);
  file_->Append(header);
  file_->Sync();
  files_.Rename(TemporaryPath(path), path);
  size_bytes_ = header.size();
}

void WriteAheadLog::Read(FileSystem& files, const std::string& folder,
                         const RecordCallback& on_record) {
  const std::string path = PathIn(folder);
  if (files.Exists(path)) {
    Scan(path, files.Read(path), on_record);
  }
}

void WriteAheadLog::ThrowIfBroken() const {
  if (broken_) {
    throw FileError(PathIn(folder_) + ": unusable after an earlier failure", 0);
  }
}

void WriteAheadLog::Append(std::string_view record) {
  ThrowIfBroken();
  if (record.size() > kMaxRecordBytes) {
    throw FileError("record is larger than 64 MiB", 0);
  }
  const std::string bytes = EncodeRecord(record, next_record_number_, synced_bytes_);
  file_->Append(bytes);
  ++next_record_number_;
  size_bytes_ += bytes.size();
}

void WriteAheadLog::Sync() {
  ThrowIfBroken();
  try {
    file_->Sync();
  } catch (const FileError&) {
    broken_ = true;
    throw;
  }
  synced_bytes_ = size_bytes_;
}

void WriteAheadLog::Replace(const std::vector<std::string>& records) {
  ThrowIfBroken();
  const std::string path = PathIn(folder_);
  std::string contents = EncodeFileHeader(next_record_number_);
  uint64_t record_number = next_record_number_;
  for (const std::string& record : records) {
    contents += EncodeRecord(record, record_number, 0);
    ++record_number;
  }
  std::unique_ptr<File> file = files_.Open(TemporaryPath(path), 0);
  file->Append(contents);
  file->Sync();
  try {
    files_.Rename(TemporaryPath(path), path);
    files_.SyncFolder(folder_);
  } catch (const FileError&) {
    broken_ = true;  // the path may refer to the old or the new file
    throw;
  }
  file_ = std::move(file);
  next_record_number_ = record_number;
  size_bytes_ = contents.size();
  synced_bytes_ = size_bytes_;
}

}  // namespace paddlestile::storage
