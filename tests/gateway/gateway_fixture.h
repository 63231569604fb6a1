// A gateway between clients, hosts and discovery that the test plays by hand.
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

inline std::string Request(const std::string& id, const std::string& request_class = "safe",
                           int budget = 1500) {
  return "POST /" + request_class + "/1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + id +
         "\r\nX-Budget-Ms: " + std::to_string(budget) + "\r\nIdempotency-Key: k" + id +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

class GatewayTest : public ::testing::Test {
 protected:
  // The response of a host to a request, given its text; empty: none; "reset": a reset.
  using Script = std::function<std::string(const std::string&)>;
  struct Host {
    std::string id;
    Port port;
    Script script;
    std::vector<Peer> peers;
    int requests = 0, probes = 0;
  };

  GatewayTest() {
    config.listen = {INADDR_LOOPBACK, 0};
    config.discovery = agent.address();
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

  Host& AddHost(const std::string& id, Script script) {
    hosts.push_back(std::make_unique<Host>());
    hosts.back()->id = id;
    hosts.back()->script = std::move(script);
    EndpointListEntry entry;
    entry.info.id = id;
    entry.address = hosts.back()->port.address();
    config.initial_endpoints.endpoints.push_back(entry);
    return *hosts.back();
  }
  void Start() {
    gateway = std::make_unique<Gateway>(loop, config, lifecycle);
    address = gateway->address();
  }

  // Runs each host once: accepts, reads, responds.
  void PlayHosts() {
    for (const auto& host : hosts) {
      while (Peer peer = host->port.TryAccept()) {
        host->peers.push_back(std::move(peer));
      }
      for (Peer& peer : host->peers) {
        if (!peer || !peer.Has("\r\n\r\n")) {
          continue;
        }
        const std::string text = peer.Received();
        const bool probe = text.starts_with("GET /_load") || text.starts_with("GET /ping");
        if (!probe && !text.ends_with("body")) {
          continue;
        }
        peer.ClearReceived();
        ++(probe ? host->probes : host->requests);
        const std::string answer = probe ? Http200(report) : host->script(text);
        if (answer == "reset") {
          peer.Reset();
        } else {
          peer.Send(answer);
        }
      }
    }
  }
  bool Until(const std::function<bool()>& holds, Duration at_most = Ms(5000)) {
    return RunUntil(
        loop,
        [&] {
          PlayHosts();
          return holds();
        },
        at_most);
  }
  Peer Ask(const std::string& text) {
    Peer peer = Peer::To(address);
    peer.Send(text);
    return peer;
  }
  int Requests() const {
    int n = 0;
    for (const auto& host : hosts) {
      n += host->requests;
    }
    return n;
  }

  static std::string Nothing(const std::string&) { return ""; }
  static std::string Ok(const std::string&) { return Http200("served"); }
  static std::string Error(const std::string&) {
    return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
  }
  static std::string Full(const std::string&) {
    return "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
  }

  std::string report = "inflight=1,latency_ms=5";  // of all hosts
  EventLoop loop;
  Lifecycle lifecycle;
  Port agent;
  GatewayConfig config;
  Address address;
  std::vector<std::unique_ptr<Host>> hosts;
  std::unique_ptr<Gateway> gateway;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
