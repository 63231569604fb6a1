// Fixture for the downstream side alone: the test is the listener, keeps the requests and responds
// to them explicitly.
#ifndef PADDLESTILE_TESTS_GATEWAY_DOWNSTREAM_FIXTURE_H_
#define PADDLESTILE_TESTS_GATEWAY_DOWNSTREAM_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway/downstream.h"
#include "gateway/test_peers.h"

namespace paddlestile::testing {

// The text of a GET request.
inline std::string GetRequest(const std::string& id) {
  return "GET /read/1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 900\r\n\r\n";
}

class DownstreamTest : public ::testing::Test, public Downstream::Listener {
 protected:
  explicit DownstreamTest(size_t descriptors = 1024) : budget(descriptors) {
    downstream =
        std::make_unique<Downstream>(loop, budget, Address{INADDR_LOOPBACK, 0}, lifecycle, this);
  }
  AdmissionResult OnRequest(BufferedMessage request, Time arrived_at,
                            ProxiedRequest::ResponseCallback reply) override {
    const std::string_view buffer = request.bytes.view();
    arrivals.push_back(arrived_at);
    std::string id(request.message.FindHeader(buffer, "X-Call-Id").value_or("none"));
    if (id == "bad") {
      return {nullptr, 400, "bad"};
    }
    requests.push_back(std::make_shared<ProxiedRequest>(std::move(id), std::move(request), Time(0),
                                                        request_class, std::move(reply)));
    return {requests.back(), 0, {}};
  }
  void OnClientDisconnected(const std::shared_ptr<ProxiedRequest>& request) override {
    disconnected.push_back(request->id());
  }
  bool OnDescriptorsExhausted() override { return downstream && downstream->CloseOneIdle(); }

  // Opens a client connection.
  Peer Connect() { return Peer::To(downstream->address()); }
  // Runs the loop until `count` requests have been received in all.
  bool HasRequests(size_t count) {
    return RunUntil(loop, [&] { return requests.size() >= count; });
  }
  // Runs the loop until `peer` has received `text`.
  bool Receives(Peer& peer, std::string_view text) {
    return RunUntil(loop, [&] { return peer.Has(text); });
  }
  // Parses the text of an upstream response.
  static std::shared_ptr<const BufferedMessage> UpstreamResponse(const std::string& text) {
    auto message = std::make_shared<BufferedMessage>();
    HttpParser parser(HttpParser::Kind::kResponse);
    message->bytes.Append(text);
    EXPECT_EQ(parser.Feed(message->bytes), ParseProgress::kDone);
    message->message = parser.message();
    return message;
  }

  EventLoop loop;
  Lifecycle lifecycle;
  DescriptorBudget budget;
  std::shared_ptr<RequestClass> request_class =
      std::make_shared<RequestClass>(MakeClass(Idempotency::kSafe));
  std::vector<std::shared_ptr<ProxiedRequest>> requests;  // in order of arrival
  std::vector<Time> arrivals;                             // of requests, in the same order
  std::vector<std::string> disconnected;                  // request ids
  std::unique_ptr<Downstream> downstream;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_GATEWAY_DOWNSTREAM_FIXTURE_H_
