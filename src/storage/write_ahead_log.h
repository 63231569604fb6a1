// Write-ahead log: records of bytes in the order in which they were appended, in one file of a
// folder. Records that were synced are there after a power loss, complete and in order, or the file
// is refused. Not thread-safe.
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

// The file has another format, or a record that was durable does not match its checksum. The
// message has the path, the offset in bytes and what was found.
class CorruptionError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class WriteAheadLog {
 public:
  // Called for each record in order. The bytes are valid during the call only.
  using RecordCallback = std::function<void(std::string_view)>;

  static constexpr size_t kMaxRecordBytes = 64 << 20;
  static constexpr uint32_t kFormatVersion = kLogFormatVersion;

  // Opens the log in `folder`, which must exist, or creates it, and reports its records. A last
  // record that is incomplete was never durable and is cut off. `files` must outlive the log.
  // Throws CorruptionError, which leaves the file as it is, or FileError.
  WriteAheadLog(FileSystem& files, std::string folder, const RecordCallback& on_record);

  // Reports the records without changing anything; safe beside a process that has the log open.
  // Throws like the constructor.
  static void Read(FileSystem& files, const std::string& folder, const RecordCallback& on_record);

  // Path of the log's file in `folder`.
  [[nodiscard]] static std::string PathIn(const std::string& folder) { return folder + "/log"; }

  // Appends a record of at most kMaxRecordBytes; durable after the next Sync(). Throws FileError:
  // the log does not contain the record then, and it may be appended again.
  void Append(std::string_view record);

  // Makes all appended records durable. Throws FileError: the log is broken() then, as it is not
  // known which records are durable.
  void Sync();

  // Replaces all records by `records`, durably. Throws FileError: unless broken(), the old records
  // are still in place.
  void Replace(const std::vector<std::string>& records);

  // Whether a failure left the file in an unknown state. Every later change throws FileError.
  [[nodiscard]] bool broken() const { return broken_; }
  // Size of the file in bytes.
  [[nodiscard]] uint64_t size() const { return size_bytes_; }
  // Bytes that were cut off when the log was opened.
  [[nodiscard]] uint64_t cut_off() const { return cut_off_bytes_; }

 private:
  struct ScanResult {
    uint64_t next_record_number = 0;
    uint64_t valid_bytes = 0;    // end of the last complete record; 0: not even a file header
    uint64_t cut_off_bytes = 0;  // behind it
  };
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
