#include "gateway/hot_restart_protocol.h"

#include <fmt/format.h>

#include "base/parse_number.h"

namespace paddlestile::hot_restart {
namespace {

constexpr std::string_view kVersion = "paddlestile 1 ";
constexpr std::string_view kTookPrefix = "took ";

// Returns the number after `prefix`, or nullopt if `text` is not the prefix and a whole number.
std::optional<uint64_t> NumberAfter(std::string_view text, std::string_view prefix) {
  if (!text.starts_with(prefix)) {
    return std::nullopt;
  }
  return ParseWholeNumber(text.substr(prefix.size()));
}

}  // namespace

std::string RequestLine(const Address& listen) {
  return fmt::format("{}take {}", kVersion, ToText(listen));
}

std::string ListenLine(size_t descriptors_held, size_t learned_state_bytes) {
  return fmt::format("{}listen {} {}", kVersion, descriptors_held, learned_state_bytes);
}

std::string BusyLine() {
  return fmt::format("{}busy", kVersion);
}

std::string HoldsLine(size_t descriptors_held) {
  return fmt::format("holds {}", descriptors_held);
}

std::string TookLine(const std::string& request_id) {
  return std::string(kTookPrefix) + request_id;
}

std::optional<ListenReply> ParseListenLine(std::string_view line) {
  const size_t space = line.rfind(' ');
  if (space == std::string_view::npos) {
    return std::nullopt;
  }
  const auto descriptors = NumberAfter(line.substr(0, space), std::string(kVersion) + "listen ");
  const auto bytes = ParseWholeNumber(line.substr(space + 1));
  if (!descriptors || !bytes) {
    return std::nullopt;
  }
  return ListenReply{static_cast<size_t>(*descriptors), static_cast<size_t>(*bytes)};
}

std::optional<size_t> ParseHoldsLine(std::string_view line) {
  const auto descriptors = NumberAfter(line, "holds ");
  if (!descriptors) {
    return std::nullopt;
  }
  return static_cast<size_t>(*descriptors);
}

std::optional<std::string> ParseTookLine(std::string_view line) {
  if (!line.starts_with(kTookPrefix)) {
    return std::nullopt;
  }
  return std::string(line.substr(kTookPrefix.size()));
}

}  // namespace paddlestile::hot_restart
