#include "config/wire_values.h"

#include <cmath>

namespace paddlestile::wire {
namespace {

constexpr uint32_t kMaxIndex = 1'000'000;
constexpr double kMaxMillis = 1e12;  // as microseconds this fits easily in 64 bits
constexpr double kMicrosPerMilli = 1000.0;

std::string ErrorText(std::string_view name, std::string_view value, std::string_view expected) {
  std::string text = "bad " + std::string(name) + " '" + std::string(value) + "'";
  if (!expected.empty()) {
    text += ", expected " + std::string(expected);
  }
  return text;
}

}  // namespace

InvalidValue::InvalidValue(std::string_view name, std::string_view value, std::string_view expected)
    : std::invalid_argument(ErrorText(name, value, expected)), name_(name) {}

Fields Split(std::string_view text, char separator) {
  Fields fields;
  for (size_t begin = 0;;) {
    const size_t end = text.find(separator, begin);
    fields.push_back(text.substr(begin, end - begin));
    if (end == std::string_view::npos) {
      return fields;
    }
    begin = end + 1;
  }
}

bool IsAbsent(std::string_view text) {
  return text == "-";
}

double ParseNumber(std::string_view name, std::string_view text) {
  double value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc() || end != text_end || !std::isfinite(value)) {
    throw InvalidValue(name, text, "a number");
  }
  return value;
}

uint32_t ParseIndex(std::string_view name, std::string_view text) {
  const auto value = ParseInteger<uint32_t>(name, text);
  if (value > kMaxIndex) {
    throw InvalidValue(name, text);
  }
  return value;
}

Duration ParseMillis(std::string_view name, std::string_view text) {
  const double millis = ParseNumber(name, text);
  if (std::abs(millis) > kMaxMillis) {
    throw InvalidValue(name, text);
  }
  return Duration(std::llround(millis * kMicrosPerMilli));
}

}  // namespace paddlestile::wire
