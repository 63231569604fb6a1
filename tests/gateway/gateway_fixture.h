// Fixture for a complete gateway: the test plays its clients, hosts and discovery.
#ifndef PADDLESTILE_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define PADDLESTILE_TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "gateway/gateway.h"
#include "gateway/test_peers.h"

namespace paddlestile::testing {

inline const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// The text of a POST request with a body of four bytes.
inline std::string RequestText(const std::string& id, const std::string& request_class = "safe",
                               int budget_ms = 1500) {
  return "POST /" + request_class + "/1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + id +
         "\r\nX-Budget-Ms: " + std::to_string(budget_ms) + "\r\nIdempotency-Key: k" + id +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

class GatewayTest : public ::testing::Test {
 protected:
  // Returns the response of a host to the request text. "" sends nothing, "reset" resets the
  // connection.
  using Responder = std::function<std::string(const std::string&)>;
  struct Host {
    std::string id;
    Port port;
    Responder responder;
    std::vector<Peer> peers;
    int requests = 0, probes = 0;
  };

  GatewayTest() {
    config.listen = {INADDR_LOOPBACK, 0};
    config.discovery = discovery_port.address();
    config.seed = 5;
    config.endpoint_idle_timeout = Ms(60000);
    config.settings = paddlestile::testing::MakeSettings();
    for (const char* const name : {"safe", "keyed", "zoned", "celled", "unsafe"}) {
      config.names.classes.Add(name);
    }
    config.names.zones.Add("a");
    config.names.zones.Add("b");
    config.names.report_fields = {"inflight", "latency_ms"};
    config.initial_endpoints.revision = 40;
    config.initial_endpoints.complete = true;
  }

  Host& AddHost(const std::string& id, Responder responder) {
    hosts.push_back(std::make_unique<Host>());
    hosts.back()->id = id;
    hosts.back()->responder = std::move(responder);
    EndpointListEntry entry;
    entry.info.id = id;
    entry.address = hosts.back()->port.address();
    config.initial_endpoints.endpoints.push_back(entry);
    return *hosts.back();
  }
  // Creates the gateway from `config`.
  void Start() {
    gateway = std::make_unique<Gateway>(loop, config, lifecycle);
    address = gateway->address();
  }

  // Lets each host accept pending connections and respond to the complete requests it has received.
  void ServeHosts() {
    for (const auto& host : hosts) {
      while (Peer peer = host->port.TryAccept()) {
        host->peers.push_back(std::move(peer));
      }
      for (Peer& peer : host->peers) {
        if (!peer || !peer.Has("\r\n\r\n")) {
          continue;
        }
        const std::string text = peer.Received();
        const bool is_probe = text.starts_with("GET /_load") || text.starts_with("GET /ping");
        if (!is_probe && !text.ends_with("body")) {
          continue;
        }
        peer.ClearReceived();
        ++(is_probe ? host->probes : host->requests);
        const std::string response = is_probe ? Http200(load_report) : host->responder(text);
        if (response == "reset") {
          peer.Reset();
        } else {
          peer.Send(response);
        }
      }
    }
  }
  // Runs the loop and the hosts until `condition` holds; returns false if `timeout` passes first.
  bool RunHostsUntil(const std::function<bool()>& condition, Duration timeout = Ms(5000)) {
    return RunUntil(
        loop,
        [&] {
          ServeHosts();
          return condition();
        },
        timeout);
  }
  // Sends a request on a new connection to the gateway.
  Peer SendRequest(const std::string& text) {
    Peer peer = Peer::To(address);
    peer.Send(text);
    return peer;
  }
  // Number of requests that all hosts have received.
  int RequestCount() const {
    int count = 0;
    for (const auto& host : hosts) {
      count += host->requests;
    }
    return count;
  }

  // Responders.
  static std::string NoResponse(const std::string&) { return ""; }
  static std::string Ok(const std::string&) { return Http200("served"); }
  static std::string Error(const std::string&) {
    return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
  }
  static std::string Rejected(const std::string&) {
    return "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
  }

  std::string load_report = "inflight=1,latency_ms=5";  // in the probe responses of all hosts
  EventLoop loop;
  Lifecycle lifecycle;
  Port discovery_port;
  GatewayConfig config;
  Address address;
  std::vector<std::unique_ptr<Host>> hosts;
  std::unique_ptr<Gateway> gateway;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
