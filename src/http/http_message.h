// An HTTP/1.1 message, represented as ranges of the buffer that contains it. Does no I/O.
#ifndef PADDLESTILE_HTTP_HTTP_MESSAGE_H_
#define PADDLESTILE_HTTP_HTTP_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "event/buffer.h"

namespace paddlestile {

// Compares two header names case-insensitively.
bool HeaderNamesEqual(std::string_view a, std::string_view b);
// Returns `text` without leading and trailing spaces and tabs.
std::string_view Trim(std::string_view text);

// Returns whether a comma-separated header value contains `element`, compared case-insensitively.
bool ListContains(std::string_view list, std::string_view element);

struct HttpMessage {
  Range method, target;                          // of a request only
  int status = 0;                                // of a response only
  std::vector<std::pair<Range, Range>> headers;  // name; value without surrounding white space
  Range body;              // without chunk framing; empty if the body is streamed
  size_t total_bytes = 0;  // of head and body in the buffer, including framing
  bool keep_alive = true;  // another message may follow on the connection
  bool chunked = false;
  bool body_until_close = false;  // response body that ends when the connection is closed
  bool is_http10 = false;         // HTTP/1.0: the sender does not support chunked coding

  // In the following functions `base` is the content of the buffer that contains the message.
  // Returns the value of the first header named `name`, or nullopt if there is none.
  [[nodiscard]] std::optional<std::string_view> FindHeader(std::string_view base,
                                                           std::string_view name) const;
  // Returns the memory that `headers` takes.
  [[nodiscard]] size_t HeaderListBytes() const {
    return headers.capacity() * sizeof(decltype(headers)::value_type);
  }
  // Returns the number of headers named `name`.
  [[nodiscard]] size_t CountHeader(std::string_view base, std::string_view name) const;
};

// Returns whether a header applies to a single connection and must not be forwarded (RFC 9110,
// section 7.6.1).
bool IsHopByHop(const HttpMessage& message, std::string_view base, std::string_view name);

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_HTTP_MESSAGE_H_
