// What a discovery agent sends on a watch, for the tests of its client.
#ifndef PADDLESTILE_TESTS_DISCOVERY_AGENT_MESSAGES_H_
#define PADDLESTILE_TESTS_DISCOVERY_AGENT_MESSAGES_H_

#include <fmt/format.h>

#include <string>

namespace paddlestile::testing {

// The head of the response to a watch.
inline const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// An entry of a list.
inline std::string Entry(const std::string& id, const std::string& phase = "active") {
  return R"({"id":")" + id + R"(","host_port":"127.0.0.1:81","locality":"a","phase":")" + phase +
         R"(","up_since_ms":0,"new_field":[1]})";
}

// A complete list or a change, with its line end.
inline std::string Line(int revision, bool complete, const std::string& members) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
         (complete ? "true" : "false") + R"(,"members":[)" + members + "]}\n";
}

inline std::string Chunk(const std::string& text) {
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_DISCOVERY_AGENT_MESSAGES_H_
