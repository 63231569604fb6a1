// Limits on the HTTP messages that the gateway reads.
#ifndef PADDLESTILE_HTTP_HTTP_LIMITS_H_
#define PADDLESTILE_HTTP_HTTP_LIMITS_H_

#include <cstddef>

namespace paddlestile {

constexpr size_t kMaxHeadBytes = 16'384;          // start line and headers; also limits a trailer
constexpr size_t kMaxBufferedBodyBytes = 65'536;  // larger bodies are usually streamed
constexpr size_t kMaxBodyBytes = 34U << 20;       // body of any message
constexpr size_t kMaxHeaders = 100;

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_HTTP_LIMITS_H_
