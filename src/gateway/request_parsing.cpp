#include "gateway/request_parsing.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

#include "base/parse_number.h"
#include "http/http_parser.h"

namespace paddlestile {
namespace {

constexpr size_t kMaxRequestIdBytes = 64;
constexpr uint64_t kMaxBudgetMs = 600'000;
constexpr double kMaxExpectedWorkMs = 1e9;

ParsedRequest InvalidRequest(int status, std::string reason) {
  return ParsedRequest{{}, status, std::move(reason)};
}

bool IsSupportedMethod(std::string_view method) {
  static constexpr std::string_view kMethods[] = {"GET", "POST", "PUT", "PATCH", "DELETE"};
  return std::ranges::find(kMethods, method) != std::end(kMethods);
}

// Returns the first repeated header on which a decision depends, if any. Such requests are
// rejected, because another server on the path could use the other value.
std::optional<std::string_view> FindRepeatedHeader(const HttpMessage& message,
                                                   std::string_view buffer) {
  for (const std::string_view name :
       {"X-Call-Id", "X-Budget-Ms", "X-Caller", "X-Again", "Idempotency-Key"}) {
    if (message.CountHeader(buffer, name) > 1) {
      return name;
    }
  }
  return std::nullopt;
}

bool IsValidRequestId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxRequestIdBytes &&
         std::ranges::all_of(id, [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

void ParseInfoField(std::string_view name, std::string_view value, RequestArrived& arrival) {
  if (HeaderNamesEqual(name, "Subject") && !value.empty()) {
    arrival.key = std::string(value);
  }
  if (HeaderNamesEqual(name, "IsWrite")) {
    arrival.is_write = value == "1" || value == "true";
  }
  double expected_ms = 0;
  const char* const end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, expected_ms);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  if (HeaderNamesEqual(name, "Expected") && is_number && expected_ms >= 0 &&
      expected_ms < kMaxExpectedWorkMs) {
    arrival.expected_work = Duration(std::llround(expected_ms * 1000));
  }
}

// X-Call-Info: `name=value` pairs separated by commas. Unknown names are ignored.
void ParseInfo(std::string_view info, RequestArrived& arrival) {
  while (!info.empty()) {
    const size_t comma = info.find(',');
    const std::string_view pair = Trim(info.substr(0, comma));
    info.remove_prefix(comma == std::string_view::npos ? info.size() : comma + 1);
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      ParseInfoField(pair.substr(0, equals), pair.substr(equals + 1), arrival);
    }
  }
}

std::string_view FirstPathSegment(std::string_view target) {
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

}  // namespace

ParsedRequest ParseRequest(const BufferedMessage& request, const NameTables& names,
                           const Settings& settings, Time now) {
  const HttpMessage& message = request.message;
  const std::string_view buffer = request.bytes.view();
  if (!IsSupportedMethod(message.method.In(buffer))) {
    return InvalidRequest(405, "method");
  }
  if (const auto repeated = FindRepeatedHeader(message, buffer)) {
    return InvalidRequest(400, fmt::format("{} twice", *repeated));
  }
  ParsedRequest result;
  RequestArrived& arrival = result.arrival;
  const auto id = message.FindHeader(buffer, "X-Call-Id");
  if (!id || !IsValidRequestId(*id)) {
    return InvalidRequest(400, "X-Call-Id");
  }
  arrival.id = *id;
  const auto budget_ms = ParseWholeNumber(message.FindHeader(buffer, "X-Budget-Ms").value_or(""));
  if (!budget_ms || *budget_ms == 0 || *budget_ms > kMaxBudgetMs) {
    return InvalidRequest(400, "X-Budget-Ms");
  }
  arrival.deadline = now + Duration(static_cast<int64_t>(*budget_ms) * 1000);
  arrival.request_class = names.classes.Find(FirstPathSegment(message.target.In(buffer)));
  if (arrival.request_class >= settings.classes.size() ||
      HasExpired(names.classes_expire_at, arrival.request_class, now)) {
    return InvalidRequest(404, "unknown class");
  }
  // Without a key, endpoints would execute a retried request a second time.
  if (settings.classes[arrival.request_class].idempotency == Idempotency::kKeyed &&
      message.FindHeader(buffer, "Idempotency-Key").value_or("").empty()) {
    return InvalidRequest(400, "Idempotency-Key");
  }
  if (names.tenants.size() > 0) {
    const auto caller = message.FindHeader(buffer, "X-Caller");
    if (!caller) {
      return InvalidRequest(400, "X-Caller");
    }
    arrival.tenant = names.tenants.Find(*caller);
    if (arrival.tenant >= names.tenants.size() ||
        HasExpired(names.tenants_expire_at, arrival.tenant, now)) {
      return InvalidRequest(403, "unknown X-Caller");
    }
  }
  arrival.is_client_retry =
      settings.clients_mark_retries && message.FindHeader(buffer, "X-Again").value_or("") == "1";
  if (const auto info = message.FindHeader(buffer, "X-Call-Info")) {
    ParseInfo(*info, arrival);
  }
  return result;
}

}  // namespace paddlestile
