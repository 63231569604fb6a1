// Write-ahead log: a sequence of byte records in a single file. After a power loss, the log
// contains all synced records, complete and in order; if they are damaged, opening the log fails.
// Not thread-safe.
#ifndef PADDLESTILE_STORAGE_WRITE_AHEAD_LOG_H_
#define PADDLESTILE_STORAGE_WRITE_AHEAD_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "storage/files.h"
#include "storage/log_format.h"

namespace paddlestile::storage {

// The file has an unsupported format, or a durable record does not match its checksum. The message
// contains the path, the offset in bytes and a description.
class CorruptionError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class WriteAheadLog {
 public:
  // Called for each record in order. The bytes are valid only during the call.
  using RecordCallback = std::function<void(std::string_view)>;

  static constexpr size_t kMaxRecordBytes = 64 << 20;
  static constexpr uint32_t kFormatVersion = kLogFormatVersion;

  // Opens or creates the log in `folder`, which must exist, and reports its records. An incomplete
  // last record was never durable and is truncated. `files` must outlive the log. Throws
  // CorruptionError, which leaves the file unchanged, or FileError.
  WriteAheadLog(FileSystem& files, std::string folder, const RecordCallback& on_record);

  // Reports the records without changing the file. Safe while another process has the log open.
  // Throws like the constructor.
  static void Read(FileSystem& files, const std::string& folder, const RecordCallback& on_record);

  // Returns the path of the log's file in `folder`.
  [[nodiscard]] static std::string PathIn(const std::string& folder) { return folder + "/log"; }

  // Appends a record of at most kMaxRecordBytes, which is durable after the next Sync(). If it
  // throws FileError, the log does not contain the record, and it may be appended again.
  void Append(std::string_view record);

  // Makes all appended records durable. If it throws FileError, the log is broken(), because it is
  // not known which records are durable.
  void Sync();

  // Durably replaces all records with `records`. If it throws FileError, the old records are still
  // in place unless the log is broken().
  void Replace(const std::vector<std::string>& records);

  // Whether a failure left the file in an unknown state. If so, every later change throws
  // FileError.
  [[nodiscard]] bool broken() const { return broken_; }
  // Size of the file in bytes.
  [[nodiscard]] uint64_t size() const { return size_bytes_; }
  // Number of bytes that were truncated when the log was opened.
  [[nodiscard]] uint64_t cut_off() const { return cut_off_bytes_; }

 private:
  struct ScanResult {
    uint64_t next_record_number = 0;
    uint64_t valid_bytes = 0;    // end of the last complete record; 0: no complete file header
    uint64_t cut_off_bytes = 0;  // after valid_bytes
  };
  // Validates the file's contents and reports the records. Throws CorruptionError.
  static ScanResult Scan(const std::string& path, const std::string& contents,
                         const RecordCallback& on_record);
  void CreateFile(const std::string& path);
  void ThrowIfBroken() const;

  FileSystem& files_;
  std::string folder_;
  std::unique_ptr<File> file_;
  uint64_t next_record_number_ = 0;
  uint64_t size_bytes_ = 0;
  uint64_t synced_bytes_ = 0;  // at most size_bytes_
  uint64_t cut_off_bytes_ = 0;
  bool broken_ = false;
};

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_WRITE_AHEAD_LOG_H_
