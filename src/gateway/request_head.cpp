#include "gateway/request_head.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "http/http_parser.h"

namespace paddlestile {

std::string RequestHead(const BufferedMessage& request, Duration remaining) {
  const HttpMessage& message = request.message;
  const std::string_view buffer = request.bytes.view();
  const std::string_view method = message.method.In(buffer);
  std::string head = fmt::format("{} {} HTTP/1.1\r\n", method, message.target.In(buffer));
  for (const auto& [key, value] : message.headers) {
    const std::string_view name = key.In(buffer);
    const bool replaced =
        HeaderNamesEqual(name, "X-Budget-Ms") || HeaderNamesEqual(name, "Content-Length");
    if (!replaced && !IsHopByHop(message, buffer, name)) {
      head += fmt::format("{}: {}\r\n", name, value.In(buffer));
    }
  }
  head += fmt::format("X-Budget-Ms: {}\r\n", std::max<int64_t>(1, remaining.count() / 1000));
  const std::optional<uint64_t> length =
      request.streaming_body ? request.streaming_body->length() : message.body.size;
  const bool has_no_body = method == "GET" && length == 0;
  if (!length) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (!has_no_body) {
    head += fmt::format("Content-Length: {}\r\n", *length);
  }
  return head + "\r\n";
}

}  // namespace paddlestile
