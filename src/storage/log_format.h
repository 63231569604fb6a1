// Layout of the write-ahead log's file: a file header, then records, each a header and its bytes.
// Numbers are little-endian. The layout is that of stored logs and must not change.
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
  uint32_t checksum;  // of the other fields but the magic
  uint64_t first_record_number;
};

struct RecordHeader {
  uint32_t size_bytes;  // of the record's bytes, without this header
  uint32_t checksum;    // of this header with a checksum of 0
  // Numbers are consecutive over the life of the log, so that records left from an earlier file are
  // not taken for those of this one.
  uint64_t number;
  uint64_t synced_bytes;    // size of the file that was durable when the record was appended
  uint64_t bytes_checksum;  // of the record's bytes, seeded with the number
};

// Whether the magic and the checksum are right; the format may be another.
[[nodiscard]] bool IsValid(const FileHeader& header);

// The header of a file that begins with the given record number, as it is stored.
[[nodiscard]] std::string EncodeFileHeader(uint64_t first_record_number);

// The record with its header, as it is stored.
[[nodiscard]] std::string EncodeRecord(std::string_view record, uint64_t number,
                                       uint64_t synced_bytes);

// The header of the record at `offset` of a file's contents, which must not be behind its end.
// Nothing if no complete record with right checksums is there.
[[nodiscard]] std::optional<RecordHeader> DecodeRecordHeader(std::string_view contents,
                                                             size_t offset);

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_LOG_FORMAT_H_
