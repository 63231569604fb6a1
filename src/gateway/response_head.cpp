#include "gateway/response_head.h"

#include <fmt/format.h>

#include <cstdint>
#include <optional>
#include <string_view>

#include "http/http_parser.h"

namespace paddlestile {
namespace {

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

// Headers of an upstream response that are not forwarded: the body framing is generated anew, and
// load reports are meant for the gateway only.
bool IsDroppedFromResponse(const HttpMessage& message, std::string_view buffer,
                           std::string_view name) {
  return IsHopByHop(message, buffer, name) || HeaderNamesEqual(name, "Content-Length") ||
         HeaderNamesEqual(name, "X-Load-Report");
}

std::string ForwardedHeaders(const BufferedMessage& upstream_message) {
  const HttpMessage& message = upstream_message.message;
  const std::string_view buffer = upstream_message.bytes.view();
  std::string headers;
  for (const auto& [key, value] : message.headers) {
    const std::string_view name = key.In(buffer);
    if (!IsDroppedFromResponse(message, buffer, name)) {
      headers += fmt::format("{}: {}\r\n", name, value.In(buffer));
    }
  }
  return headers;
}

// Returns nullopt if the length is not known before the end of the body.
std::optional<uint64_t> BodyLength(const Response& response) {
  if (!response.upstream_message) {
    return response.reason.size();
  }
  const BufferedMessage& upstream_message = *response.upstream_message;
  return upstream_message.streaming_body ? upstream_message.streaming_body->length()
                                         : upstream_message.message.body.size;
}

}  // namespace

std::string ResponseHead(const Response& response, bool keep_alive, bool to_http10) {
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\n", response.status, ReasonPhrase(response.status));
  if (response.upstream_message) {
    head += ForwardedHeaders(*response.upstream_message);
  }
  if (response.retry_after > Duration(0)) {
    const double seconds = static_cast<double>(response.retry_after.count()) / 1e6;
    head += fmt::format("Retry-After: {:.3f}\r\n", seconds);
  }
  if (!response.reason.empty()) {
    head += "Content-Type: text/plain\r\n";
  }
  if (const std::optional<uint64_t> length = BodyLength(response)) {
    head += fmt::format("Content-Length: {}\r\n", *length);
  } else if (keep_alive || !to_http10) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  if (!keep_alive) {
    head += "Connection: close\r\n";
  }
  return head + "\r\n";
}

}  // namespace paddlestile
