#include "storage/log_format.h"

#include <xxhash.h>

#include <bit>
#include <cstring>

namespace paddlestile::storage {
namespace {

static_assert(std::endian::native == std::endian::little, "the file's numbers are little-endian");
static_assert(sizeof(FileHeader) == 24 && sizeof(RecordHeader) == 32, "stored layout");

constexpr std::string_view kMagic = "pdlstlog";
constexpr uint32_t kRecordHeaderSeed = 0x9a11;

uint32_t ChecksumOf(const FileHeader& header) {
  return XXH32(&header.first_record_number, sizeof(header.first_record_number), header.format);
}

uint32_t ChecksumOf(RecordHeader header) {
  header.checksum = 0;
  return XXH32(&header, sizeof(header), kRecordHeaderSeed);
}

}  // namespace

bool IsValid(const FileHeader& header) {
  return std::string_view(header.magic, sizeof(header.magic)) == kMagic &&
         header.checksum == ChecksumOf(header);
}

std::string EncodeFileHeader(uint64_t first_record_number) {
  FileHeader header{{}, kLogFormatVersion, 0, first_record_number};
  std::memcpy(header.magic, kMagic.data(), kMagic.size());
  header.checksum = ChecksumOf(header);
  return {reinterpret_cast<const char*>(&header), sizeof(header)};
}

std::string EncodeRecord(std::string_view record, uint64_t number, uint64_t synced_bytes) {
  RecordHeader header{static_cast<uint32_t>(record.size()), 0, number, synced_bytes,
                      XXH3_64bits_withSeed(record.data(), record.size(), number)};
  header.checksum = ChecksumOf(header);
  std::string bytes(reinterpret_cast<const char*>(&header), sizeof(header));
  return bytes.append(record);
}

std::optional<RecordHeader> DecodeRecordHeader(std::string_view contents, size_t offset) {
  const std::string_view rest = contents.substr(offset);
  RecordHeader header{};
  if (rest.size() < sizeof(header)) {
    return std::nullopt;
  }
  std::memcpy(&header, rest.data(), sizeof(header));
  const std::string_view after_header = rest.substr(sizeof(header));
  if (header.checksum != ChecksumOf(header) || header.size_bytes > after_header.size()) {
    return std::nullopt;
  }
  const uint64_t bytes_checksum =
      XXH3_64bits_withSeed(after_header.data(), header.size_bytes, header.number);
  if (bytes_checksum != header.bytes_checksum) {
    return std::nullopt;
  }
  return header;
}

}  // namespace paddlestile::storage
