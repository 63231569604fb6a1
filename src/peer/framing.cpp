#include "peer/framing.h"

#include <cstdint>
#include <cstring>
#include <utility>
#include <vector>

namespace paddlestile::peer {
namespace {

using nlohmann::json;

constexpr size_t kLengthBytes = sizeof(uint32_t);

// Checks the depth of a value without building it: building is recursive and could overflow the
// stack.
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
  uint32_t value_bytes = 0;
  if (input.size() < kLengthBytes) {
    return FrameStatus::kIncomplete;
  }
  std::memcpy(&value_bytes, input.data(), sizeof(value_bytes));
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

}  // namespace paddlestile::peer
