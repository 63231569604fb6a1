// Fixture for bodies larger than 64 KiB: a gateway between one client and a host that the test
// plays.
#ifndef PADDLESTILE_TESTS_GATEWAY_STREAMING_BODY_FIXTURE_H_
#define PADDLESTILE_TESTS_GATEWAY_STREAMING_BODY_FIXTURE_H_

#include <gtest/gtest.h>

#include <cerrno>
#include <memory>
#include <string>
#include <utility>

#include "gateway/gateway.h"
#include "gateway/test_peers.h"

namespace paddlestile::testing {

class StreamingBodyTest : public ::testing::Test {
 protected:
  explicit StreamingBodyTest(int host_count = 2) {
    GatewayConfig config;
    config.listen = {INADDR_LOOPBACK, 0};
    config.discovery = discovery_port.address();
    config.seed = 5;
    config.endpoint_idle_timeout = Ms(60000);
    config.settings = MakeSettings();
    config.settings.allowed.probes = false;
    for (const char* const name : {"safe", "keyed", "zoned", "celled", "unsafe"}) {
      config.names.classes.Add(name);
    }
    config.names.report_fields = {"inflight", "latency_ms"};
    config.initial_endpoints.complete = true;
    for (int i = 0; i < host_count; ++i) {
      EndpointListEntry entry;
      entry.info.id = "h" + std::to_string(i);
      entry.address = port.address();  // all hosts share one port, which receives retries too
      config.initial_endpoints.endpoints.push_back(entry);
    }
    gateway = std::make_unique<Gateway>(loop, std::move(config), lifecycle);
    client = Peer::To(gateway->address());
  }
  // Sends the head of a request, with additional header lines, on the client connection.
  void SendRequestHead(const std::string& headers = "", const std::string& version = "HTTP/1.1") {
    client.Send("POST /safe " + version + "\r\nX-Call-Id: " + std::to_string(++request_count) +
                "\r\nX-Budget-Ms: 1500\r\n" + headers + "\r\n");
  }
  // Accepts the next connection to a host and waits until it has received `until`.
  bool AcceptHost(const std::string& until = "\r\n\r\n") {
    host = Peer();
    return RunLoopUntil([&] {
      if (!host) {
        host = port.TryAccept();
      }
      return host && host.Has(until);
    });
  }
  bool RunLoopUntil(const std::function<bool()>& condition, Duration timeout = Ms(4000)) {
    return RunUntil(loop, condition, timeout);
  }
  // Returns the body of a response, with chunks decoded.
  static std::string BodyOf(const std::string& text) {
    Buffer in;
    in.Append(text);
    HttpParser parser(HttpParser::Kind::kResponse, kMaxBodyBytes);
    parser.Feed(in);
    parser.EndsWithConnection(in);
    return std::string(parser.message().body.In(in.view()));
  }
  // Sends a long text as fast as the peer reads it, while the client keeps reading. Stops if the
  // connection breaks.
  void SendAll(Peer& peer, std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = send(peer.fd(), text.data(), text.size(), MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN) {
        return;
      }
      if (n > 0) {
        text.remove_prefix(static_cast<size_t>(n));
      }
      RunFor(loop, Ms(1));
      client.Received();
    }
  }
  // Returns a body of `size` bytes with a repeating pattern.
  static std::string PatternBody(size_t size) {
    std::string text(size, ' ');
    for (size_t i = 0; i < size; ++i) {
      text[i] = static_cast<char>('a' + i * 7 % 26);
    }
    return text;
  }

  EventLoop loop;
  Lifecycle lifecycle;
  Port discovery_port, port;
  std::unique_ptr<Gateway> gateway;
  Peer client, host;
  int request_count = 0;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_GATEWAY_STREAMING_BODY_FIXTURE_H_
