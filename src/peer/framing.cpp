#include "peer/framing.h"

#include <cstdint>
#include <cstring>
#include <utility>
#include <vector>

namespace paddlestile::peer {
namespace {

using nlohmann::json;

// Goes through a value and keeps nothing of it: the library reads nested ones by recursion.
class Depth final : public json::json_sax_t {
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
  std::string frame(4, '\0');
  json::to_cbor(value, frame);
  const auto size = static_cast<uint32_t>(frame.size() - 4);
  std::memcpy(frame.data(), &size, sizeof(size));
  return frame;
}

std::optional<json> DecodeValue(std::string_view bytes) {
  Depth depth;
  if (!json::sax_parse(bytes, &depth, json::input_format_t::cbor)) {
    return std::nullopt;
  }
  json value = json::from_cbor(bytes, true, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

FrameStatus TakeFrame(Buffer& in, json& value) {
  uint32_t size = 0;
  if (in.size() < sizeof(size)) {
    return FrameStatus::kIncomplete;
  }
  std::memcpy(&size, in.data(), sizeof(size));
  if (size > kMaxFrameBytes) {
    return FrameStatus::kMalformed;
  }
  if (in.size() < sizeof(size) + size) {
    return FrameStatus::kIncomplete;
  }
  auto parsed = DecodeValue(std::string_view(in.data() + sizeof(size), size));
  in.Consume(sizeof(size) + size);
  if (!parsed) {
    return FrameStatus::kMalformed;
  }
  value = std::move(*parsed);
  return FrameStatus::kComplete;
}

}  // namespace paddlestile::peer
