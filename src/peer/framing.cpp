#include "peer/framing.h"

#include <xxhash.h>

#include <cstdint>
#include <cstring>
#include <utility>
#include <vector>

namespace paddlestile::peer {
namespace {

using nlohmann::json;

constexpr size_t kLengthBytes = sizeof(uint32_t);
constexpr uint32_t kCheckedFlag = 0x8000'0000;  // in the length; above kMaxFrameBytes
constexpr size_t kLengthChecksumBytes = sizeof(uint32_t);
constexpr size_t kValueChecksumBytes = sizeof(uint64_t);
constexpr size_t kCheckedHeaderBytes = kLengthBytes + kLengthChecksumBytes + kValueChecksumBytes;

template <typename Number>
Number ReadNumber(const char* bytes) {
  Number number = 0;
  std::memcpy(&number, bytes, sizeof(number));
  return number;
}

// XXH32 has a 32-bit seed. The lower half of the sequence number suffices to distinguish adjacent
// frames.
uint32_t LengthChecksum(uint32_t length, uint64_t sequence_number) {
  return XXH32(&length, sizeof(length), static_cast<uint32_t>(sequence_number));
}

uint64_t ValueChecksum(std::string_view bytes, uint64_t sequence_number) {
  return XXH64(bytes.data(), bytes.size(), sequence_number);
}

// Checks the nesting depth of a value without building it, because building a value is recursive
// and could overflow the stack.
class DepthChecker final : public json::json_sax_t {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override {
    --depth_;
    return true;
  }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return false;
  }

 private:
  size_t depth_ = 0;
};

}  // namespace

std::string EncodeFrame(const json& value) {
  std::string frame(kLengthBytes, '\0');
  json::to_cbor(value, frame);
  const auto value_bytes = static_cast<uint32_t>(frame.size() - kLengthBytes);
  std::memcpy(frame.data(), &value_bytes, sizeof(value_bytes));
  return frame;
}

std::string EncodeCheckedFrame(const json& value, uint64_t sequence_number) {
  std::string frame(kCheckedHeaderBytes, '\0');
  json::to_cbor(value, frame);
  const std::string_view bytes = std::string_view(frame).substr(kCheckedHeaderBytes);
  const uint32_t length = static_cast<uint32_t>(bytes.size()) | kCheckedFlag;
  const uint32_t length_checksum = LengthChecksum(length, sequence_number);
  const uint64_t value_checksum = ValueChecksum(bytes, sequence_number);
  char* const header = frame.data();
  std::memcpy(header, &length, kLengthBytes);
  std::memcpy(header + kLengthBytes, &length_checksum, kLengthChecksumBytes);
  std::memcpy(header + kLengthBytes + kLengthChecksumBytes, &value_checksum, kValueChecksumBytes);
  return frame;
}

std::optional<json> DecodeValue(std::string_view bytes) {
  DepthChecker depth_checker;
  if (!json::sax_parse(bytes, &depth_checker, json::input_format_t::cbor)) {
    return std::nullopt;
  }
  json value = json::from_cbor(bytes, true, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

FrameStatus TakeFrame(Buffer& input, json& value) {
  if (input.size() < kLengthBytes) {
    return FrameStatus::kIncomplete;
  }
  const auto value_bytes = ReadNumber<uint32_t>(input.data());
  if (value_bytes > kMaxFrameBytes) {
    return FrameStatus::kMalformed;
  }
  if (input.size() < kLengthBytes + value_bytes) {
    return FrameStatus::kIncomplete;
  }
  auto decoded = DecodeValue(std::string_view(input.data() + kLengthBytes, value_bytes));
  input.Consume(kLengthBytes + value_bytes);
  if (!decoded) {
    return FrameStatus::kMalformed;
  }
  value = std::move(*decoded);
  return FrameStatus::kComplete;
}

FrameStatus TakeCheckedFrame(Buffer& input, uint64_t sequence_number, json& value) {
  if (input.size() < kLengthBytes + kLengthChecksumBytes) {
    return FrameStatus::kIncomplete;
  }
  const auto length = ReadNumber<uint32_t>(input.data());
  const auto length_checksum = ReadNumber<uint32_t>(input.data() + kLengthBytes);
  if (!(length & kCheckedFlag) || length_checksum != LengthChecksum(length, sequence_number)) {
    return FrameStatus::kChecksumMismatch;
  }
  const uint32_t value_bytes = length & ~kCheckedFlag;
  if (value_bytes > kMaxFrameBytes) {
    return FrameStatus::kMalformed;
  }
  if (input.size() < kCheckedHeaderBytes + value_bytes) {
    return FrameStatus::kIncomplete;
  }
  const auto value_checksum =
      ReadNumber<uint64_t>(input.data() + kLengthBytes + kLengthChecksumBytes);
  const std::string_view bytes(input.data() + kCheckedHeaderBytes, value_bytes);
  if (value_checksum != ValueChecksum(bytes, sequence_number)) {
    return FrameStatus::kChecksumMismatch;
  }
  auto decoded = DecodeValue(bytes);
  input.Consume(kCheckedHeaderBytes + value_bytes);
  if (!decoded) {
    return FrameStatus::kMalformed;
  }
  value = std::move(*decoded);
  return FrameStatus::kComplete;
}

bool BeginsWithCheckedFrame(const Buffer& input) {
  return input.size() >= kLengthBytes &&
         (ReadNumber<uint32_t>(input.view().data()) & kCheckedFlag) != 0;
}

}  // namespace paddlestile::peer
