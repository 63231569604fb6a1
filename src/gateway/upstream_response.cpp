#include "gateway/upstream_response.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace paddlestile {
namespace {

// Returns nullopt unless the whole text is a finite number.
std::optional<double> ParseFiniteNumber(std::string_view digits) {
  double number = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view text,
                                          const std::vector<std::string>& fields) {
  LoadReport report(fields.size(), 0);
  std::vector<bool> found(fields.size(), false);
  text = Trim(text);
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    const size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    const auto field = std::ranges::find(fields, Trim(pair.substr(0, equals)));
    if (field == fields.end()) {
      continue;
    }
    const std::optional<double> value = ParseFiniteNumber(Trim(pair.substr(equals + 1)));
    if (!value) {
      return std::nullopt;
    }
    const auto index = static_cast<size_t>(field - fields.begin());
    report[index] = *value;
    found[index] = true;
  }
  if (fields.empty() || !std::ranges::all_of(found, [](bool is_found) { return is_found; })) {
    return std::nullopt;
  }
  return report;
}

Outcome OutcomeOfResponse(const HttpMessage& message, std::string_view buffer) {
  const int status = message.status;
  if (status == 200) {
    return Outcome::kOk;
  }
  const auto rejected = message.FindHeader(buffer, "X-Rejected");
  if ((status == 503 || status == 504) && rejected && *rejected == "1") {
    return Outcome::kRejected;
  }
  // A 4xx status means that the request is invalid, except for those that report the state of the
  // endpoint: request timeout, too early, too many requests.
  const bool reports_endpoint_state = status == 408 || status == 425 || status == 429;
  if (status >= 400 && status < 500 && !reports_endpoint_state) {
    return Outcome::kInvalidResponse;
  }
  return Outcome::kError;
}

}  // namespace paddlestile
