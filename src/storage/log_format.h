// Layout of the write-ahead log's file: a file header, followed by records. Each record consists of
// a header and its bytes. Numbers are little-endian. Stored logs use this layout, so it must not
// change.
//
//   file header    8 bytes "pdlstlog", format (4), checksum (4), number of the first record (8)
//   record header  size of the bytes (4), checksum (4), record number (8), synced bytes (8),
//                  checksum of the bytes (8)
#ifndef PADDLESTILE_STORAGE_LOG_FORMAT_H_
#define PADDLESTILE_STORAGE_LOG_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace paddlestile::storage {

inline constexpr uint32_t kLogFormatVersion = 1;

struct FileHeader {
  char magic[8];
  uint32_t format;    // kLogFormatVersion
  uint32_t checksum;  // of the other fields except the magic
  uint64_t first_record_number;
};

struct RecordHeader {
  uint32_t size_bytes;  // of the record's bytes, without this header
  uint32_t checksum;    // of this header with a checksum of 0
  // Numbers are consecutive over the lifetime of the log, also across replaced files, so that
  // records left over from an earlier file are not mistaken for records of this one.
  uint64_t number;
  uint64_t synced_bytes;    // durable size of the file when the record was appended
  uint64_t bytes_checksum;  // of the record's bytes, seeded with the number
};

// Whether the magic and the checksum are correct. The format may be unsupported nevertheless.
[[nodiscard]] bool IsValid(const FileHeader& header);

// Returns the encoded header of a file whose first record has the given number.
[[nodiscard]] std::string EncodeFileHeader(uint64_t first_record_number);

// Returns the encoded record with its header.
[[nodiscard]] std::string EncodeRecord(std::string_view record, uint64_t number,
                                       uint64_t synced_bytes);

// Returns the header of the record at `offset` of a file's contents, or std::nullopt if there is no
// complete record with correct checksums. `offset` must not be greater than the contents' size.
[[nodiscard]] std::optional<RecordHeader> DecodeRecordHeader(std::string_view contents,
                                                             size_t offset);

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_LOG_FORMAT_H_
