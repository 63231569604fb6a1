// Records of bytes in the order that they were appended, in one file of a folder: what was synced
// is there after a loss of power, whole and in its order, or the file is refused. Not for threads.
#ifndef PADDLESTILE_STORAGE_WRITE_AHEAD_LOG_H_
#define PADDLESTILE_STORAGE_WRITE_AHEAD_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage/files.h"

namespace paddlestile::storage {

// A record that was durable and no longer checks out: file, offset, what was found.
class CorruptionError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class WriteAheadLog {
 public:
  static constexpr size_t kMaxRecordBytes = 64 << 20;  // bytes
  static constexpr uint32_t kFormatVersion = 1;

  // Opens or makes the log in `folder`, which is there, and tells its records in order. A last
  // record that was cut while it was written is cut off: that was never promised. Throws
  // CorruptionError and changes nothing where one before the end does not check out, or the format
  // is another; FileError.
  WriteAheadLog(FileSystem& files, std::string folder,
                const std::function<void(std::string_view)>& record);

  // The same without a change to it: what a reader beside the owner may do.
  static void Read(FileSystem& files, const std::string& folder,
                   const std::function<void(std::string_view)>& record);
  [[nodiscard]] static std::string PathIn(const std::string& folder) { return folder + "/log"; }

  // Throws FileError: the record is not there then, and may be appended again once there is room.
  void Append(std::string_view record);
  // All appended ones are durable after it. Throws FileError; the log is of no use after that, as
  // nobody knows what the disk has.
  void Sync();
  // Puts these in the place of all that is there, durable when it returns. Where it throws
  // FileError before the exchange the old ones stand; broken() tells whether it was after.
  void Replace(const std::vector<std::string>& records);

  [[nodiscard]] bool broken() const { return broken_; }
  [[nodiscard]] uint64_t size() const { return size_; }        // bytes
  [[nodiscard]] uint64_t cut_off() const { return cut_off_; }  // bytes at the start

 private:
  struct Found {
    uint64_t next = 0, good = 0;  // the next record's number; where the last whole one ends
    uint64_t cut = 0;
  };
  static Found Scan(const std::string& path, const std::string& bytes,
                    const std::function<void(std::string_view)>& record);

  FileSystem& files_;
  std::string folder_;
  std::unique_ptr<File> file_;
  uint64_t next_ = 0, size_ = 0, synced_ = 0, cut_off_ = 0;
  bool broken_ = false;
};

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_WRITE_AHEAD_LOG_H_
