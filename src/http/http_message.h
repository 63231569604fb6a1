// An HTTP/1.1 message, as ranges of the buffer that it lies in. No I/O.
#ifndef PADDLESTILE_HTTP_HTTP_MESSAGE_H_
#define PADDLESTILE_HTTP_HTTP_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "event/buffer.h"

namespace paddlestile {

// Whether two header names are equal, in any case of letters.
bool HeaderNamesEqual(std::string_view a, std::string_view b);
// Without the spaces and tabs at both ends.
std::string_view Trim(std::string_view text);

// Whether a comma-separated header value contains an element, in any case of letters.
bool ListContains(std::string_view list, std::string_view element);

struct HttpMessage {
  Range method, target;                          // of a request
  int status = 0;                                // of a response
  std::vector<std::pair<Range, Range>> headers;  // name, value without surrounding white space
  Range body;                                    // without its framing; empty where it streams
  size_t total_bytes = 0;  // of head and body in the buffer, the framing included
  bool keep_alive = true;  // another message may follow on the connection
  bool chunked = false;
  bool body_until_close = false;  // of a response: the body ends with the connection
  bool is_http10 = false;         // HTTP/1.0: the sender knows no chunks

  // `base` is the buffer's content in both.
  // The value of a header, the first where it occurs more than once; nothing where it is absent.
  [[nodiscard]] std::optional<std::string_view> FindHeader(std::string_view base,
                                                           std::string_view name) const;
  // How often a header occurs.
  [[nodiscard]] size_t CountHeader(std::string_view base, std::string_view name) const;
};

// Whether a header concerns one connection only and is not passed on (RFC 9110, 7.6.1).
bool IsHopByHop(const HttpMessage& message, std::string_view base, std::string_view name);

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_HTTP_MESSAGE_H_
