// Tests of bodies larger than 64 KiB, streamed through a gateway between a client and a host that
// the test plays.
#include "http/streaming_body.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "gateway/gateway.h"
#include "gateway/streaming_body_fixture.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;
using testing::Peer;
using testing::Port;
using testing::RunFor;
using testing::StreamingBodyTest;

TEST_F(StreamingBodyTest, ResponseStartsArrivingBeforeItIsComplete) {
  const std::string body = PatternBody(300'000);
  SendRequestHead("Content-Length: 0\r\n");
  ASSERT_TRUE(AcceptHost());
  host.Send("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body.substr(0, 20'000));
  ASSERT_TRUE(RunLoopUntil([&] { return client.Has(body.substr(0, 20'000)); }));
  SendAll(host, body.substr(20'000));
  ASSERT_TRUE(RunLoopUntil([&] { return client.Received().ends_with(body.substr(20'000)); }));
  EXPECT_EQ(BodyOf(client.Received()), body);
  // Both connections are reused.
  client.ClearReceived();
  host.ClearReceived();
  SendRequestHead("Content-Length: 0\r\n");
  Peer second;  // the other host may get the request
  ASSERT_TRUE(RunLoopUntil([&] {
    if (!second)
      second = port.TryAccept();
    return host.Has("\r\n\r\n") || (second && second.Has("\r\n\r\n"));
  }));
  (host.Has("\r\n\r\n") ? host : second).Send(testing::Http200("short"));
  EXPECT_TRUE(RunLoopUntil([&] { return client.Has("short"); }));
}

// All framings that a host may use and a client may need.
TEST_F(StreamingBodyTest, ResponseOfAnyFramingIsComplete) {
  const std::string body = PatternBody(200'000);
  std::string chunks;
  for (size_t at = 0; at < body.size(); at += 999) {
    const std::string part = body.substr(at, 999);
    chunks += fmt::format("{:08x};x=\"y\"\r\n{}\r\n", part.size(), part);
  }
  chunks += "0\r\nX-Trailer: z\r\n\r\n";
  const auto check_framing = [&](const std::string& head, const std::string& rest, bool close,
                                 const std::string& version) {
    client = Peer::To(gateway->address());
    SendRequestHead("Content-Length: 0\r\n", version);
    ASSERT_TRUE(AcceptHost());
    host.Send("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
    SendAll(host, head + rest);
    if (close) {
      host.Close();
    }
    RunLoopUntil([&] { return client.Ended() || BodyOf(client.Received()).size() == body.size(); });
    EXPECT_EQ(BodyOf(client.Received()), body) << head << version;
    const bool chunked = client.Has("Transfer-Encoding: chunked");
    EXPECT_EQ(chunked, head.find("Content-Length") == std::string::npos && version != "HTTP/1.0");
    host.Close();
    RunFor(loop, Ms(20));
  };
  for (const char* const version : {"HTTP/1.1", "HTTP/1.0"}) {
    check_framing("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", body, false, version);
    check_framing("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks, false, version);
    check_framing("HTTP/1.1 200 OK\r\n\r\n", body, true, version);
    check_framing("HTTP/1.0 200 OK\r\n\r\n", body, true, version);
  }
}

// Once a response has started, the request is not retried on another host, and the client can tell
// that the response is truncated.
TEST_F(StreamingBodyTest, TruncatedResponseIsVisibleToTheClient) {
  for (const char* const framing_header :
       {"Content-Length: 300000", "Transfer-Encoding: chunked"}) {
    client = Peer::To(gateway->address());
    SendRequestHead("Content-Length: 0\r\n");
    ASSERT_TRUE(AcceptHost());
    host.Send("HTTP/1.1 200 OK\r\n" + std::string(framing_header) + "\r\n\r\n11170\r\n" +
              PatternBody(60'000));
    ASSERT_TRUE(RunLoopUntil([&] { return client.Has(PatternBody(60'000).substr(50'000)); }));
    host.Close();
    ASSERT_TRUE(RunLoopUntil([&] { return client.Ended(); }));
    EXPECT_FALSE(client.Received().ends_with("0\r\n\r\n"));
    EXPECT_FALSE(RunLoopUntil([&] { return static_cast<bool>(port.TryAccept()); }, Ms(100)));
  }
  EXPECT_EQ(GlobalCounters().bodies_truncated, 2u);
}

// A client that reads nothing stalls its own host only, and little of the response is buffered.
TEST_F(StreamingBodyTest, SlowReaderStallsItsHostAndUsesLittleMemory) {
  SendRequestHead("Content-Length: 0\r\n");
  ASSERT_TRUE(AcceptHost());
  host.Send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
  const std::string part = PatternBody(1 << 20);
  size_t sent_bytes = 0;
  for (int i = 0; i < 200; ++i) {
    const ssize_t n = send(host.fd(), part.data(), part.size(), MSG_NOSIGNAL);
    if (n > 0) {
      sent_bytes += static_cast<size_t>(n);
    }
    RunFor(loop, Ms(1));
  }
  EXPECT_LT(sent_bytes, 20U << 20);  // the kernel's buffers in both directions
  Peer other = Peer::To(gateway->address());
  other.Send("POST /safe HTTP/1.1\r\nX-Call-Id: o\r\nX-Budget-Ms: 900\r\n\r\n");
  Peer second;
  ASSERT_TRUE(RunLoopUntil([&] {
    if (!second)
      second = port.TryAccept();
    return second && second.Has("\r\n\r\n");
  }));
  second.Send(testing::Http200("quick"));
  EXPECT_TRUE(RunLoopUntil([&] { return other.Has("quick"); }));
  // When the client disconnects, the upstream connection is closed.
  client.Close();
  EXPECT_TRUE(RunLoopUntil([&] { return host.Ended(); }));
}

TEST_F(StreamingBodyTest, RequestStreams) {
  const std::string body = PatternBody(3'000'000);
  SendRequestHead("Content-Length: 3000000\r\nExpect: 100-continue\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return client.Has("100 Continue"); }));
  client.ClearReceived();
  client.Send(body.substr(0, 40'000));
  ASSERT_TRUE(AcceptHost(body.substr(0, 40'000)));
  EXPECT_TRUE(host.Has("Content-Length: 3000000\r\n"));
  SendAll(client, body.substr(40'000));
  ASSERT_TRUE(RunLoopUntil([&] { return host.Received().ends_with("\r\n\r\n" + body); }));
  host.Send(testing::Http200("served"));
  EXPECT_TRUE(RunLoopUntil([&] { return client.Has("served"); }));
  EXPECT_FALSE(client.Has("Connection: close"));
}

TEST_F(StreamingBodyTest, ChunkedRequestStreamsInChunks) {
  SendRequestHead("Transfer-Encoding: chunked\r\n");
  const std::string part = PatternBody(50'000);
  for (int i = 0; i < 4; ++i) {
    SendAll(client, "c350;e\r\n" + part + "\r\n");
  }
  ASSERT_TRUE(AcceptHost("Transfer-Encoding: chunked\r\n"));
  SendAll(client, "0\r\nT: t\r\n\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return host.Received().ends_with("\r\n0\r\n\r\n"); }));
  Buffer in;
  in.Append(host.Received());
  HttpParser parser(HttpParser::Kind::kRequest, kMaxBodyBytes);
  ASSERT_EQ(parser.Feed(in), ParseProgress::kDone);
  EXPECT_EQ(parser.message().body.In(in.view()), part + part + part + part);
  host.Send(testing::Http200("served"));
  EXPECT_TRUE(RunLoopUntil([&] { return client.Has("served"); }));
}

// A buffered request may be retried. A streamed one may not, and gets an error response at once.
TEST_F(StreamingBodyTest, OnlyBufferedRequestsAreRetried) {
  const std::string body = PatternBody(100'000);
  SendRequestHead("Content-Length: 100000\r\n");
  SendAll(client, body);
  ASSERT_TRUE(AcceptHost(body.substr(90'000)));
  host.Reset();
  ASSERT_TRUE(AcceptHost(body.substr(90'000)));
  host.Send(testing::Http200("served"));
  ASSERT_TRUE(RunLoopUntil([&] { return client.Has("served"); }));

  client = Peer::To(gateway->address());
  SendRequestHead("Content-Length: 3000000\r\n");
  client.Send(body);
  ASSERT_TRUE(AcceptHost(body.substr(0, 90'000)));
  host.Reset();
  ASSERT_TRUE(RunLoopUntil([&] { return client.Has("HTTP/1.1 50"); }));
  EXPECT_TRUE(client.Has("Connection: close"));
  EXPECT_FALSE(RunLoopUntil([&] { return static_cast<bool>(port.TryAccept()); }, Ms(100)));
}

class StreamingBodyManyHostsTest : public StreamingBodyTest {
 protected:
  StreamingBodyManyHostsTest() : StreamingBodyTest(20) {}
};

// Guards against a memory bound that holds only until a body has been received: a request keeps its
// body until it has ended, and bodies of up to 1 MiB in such requests were not bounded.
TEST_F(StreamingBodyManyHostsTest, BufferedBodyCountsUntilItsRequestHasEnded) {
  constexpr size_t kBodyBytes = 1'000'000;
  constexpr size_t kBufferedBodies = 6;  // that fit into the budget of 6 MiB
  const std::string body = PatternBody(kBodyBytes);
  const uint64_t streamed_before = GlobalCounters().requests_streamed;
  std::vector<Peer> clients, hosts;
  const auto send_request = [&] {
    client = Peer::To(gateway->address());
    SendRequestHead("Content-Length: " + std::to_string(kBodyBytes) + "\r\n");
    SendAll(client, body);
    RunFor(loop, Ms(10));
    clients.push_back(std::move(client));
  };
  for (size_t i = 0; i < kBufferedBodies; ++i) {
    send_request();
    ASSERT_TRUE(AcceptHost(body.substr(kBodyBytes - 10'000)));
    hosts.push_back(std::move(host));
  }
  EXPECT_EQ(GlobalCounters().requests_streamed - streamed_before, 0u);
  send_request();
  EXPECT_EQ(GlobalCounters().requests_streamed - streamed_before, 1u);
  // The memory of a request is available again once it has its response.
  hosts.front().Send(testing::Http200("served"));
  ASSERT_TRUE(RunLoopUntil([&] { return clients.front().Has("served"); }));
  send_request();
  EXPECT_EQ(GlobalCounters().requests_streamed - streamed_before, 1u);
}

TEST_F(StreamingBodyTest, EarlyResponseIsForwarded) {
  SendRequestHead("Content-Length: 3000000\r\n");
  client.Send(PatternBody(50'000));
  ASSERT_TRUE(AcceptHost(PatternBody(50'000).substr(40'000)));
  host.Send("HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nmuch");
  ASSERT_TRUE(RunLoopUntil([&] { return client.Has("much"); }));
  EXPECT_TRUE(client.Has("Connection: close"));
}

// If the client disconnects during the upload, the request is never executed, and the upstream
// connection is closed.
TEST_F(StreamingBodyTest, DisconnectDuringTheUploadEndsTheAttempt) {
  SendRequestHead("Content-Length: 3000000\r\n");
  client.Send(PatternBody(50'000));
  ASSERT_TRUE(AcceptHost(PatternBody(50'000).substr(40'000)));
  client.Close();
  EXPECT_TRUE(RunLoopUntil([&] { return host.Ended(); }));
  EXPECT_EQ(gateway->request_count(), 0u);
}

TEST_F(StreamingBodyTest, MalformedChunksAreRejectedAndNotForwarded) {
  SendRequestHead("Transfer-Encoding: chunked\r\n");
  SendAll(client, "249f0\r\n" + PatternBody(150'000) + "\r\n");
  ASSERT_TRUE(AcceptHost(PatternBody(150'000).substr(100'000)));
  client.Send("no number\r\n");
  ASSERT_TRUE(RunLoopUntil([&] { return client.Has("HTTP/1.1 400"); }));
  EXPECT_TRUE(RunLoopUntil([&] { return host.Ended(); }));
  EXPECT_FALSE(host.Has("\r\n0\r\n\r\n"));
}

// Uploads are judged by their rate: 64 kB per second is slow but served, however small the pieces.
// Uploads that pause or send single bytes are rejected.
TEST_F(StreamingBodyTest, SlowUploadsAreServedAndStalledOnesRejected) {
  Peer dripping_client = Peer::To(gateway->address()),
       stalled_client = Peer::To(gateway->address());
  for (Peer* const peer : {&dripping_client, &stalled_client}) {
    peer->Send("POST /safe HTTP/1.1\r\nX-Call-Id: x" + std::to_string(peer->fd()) +
               "\r\nX-Budget-Ms: 900\r\nContent-Length: 200000\r\n\r\n");
  }
  SendRequestHead("Content-Length: 200000\r\n");
  const std::string body = PatternBody(200'000);
  const Time started_at = loop.Now();
  size_t sent_bytes = 0;
  while (sent_bytes < body.size() && !client.Ended()) {
    // Sends 64,000 bytes per second.
    const auto due_bytes = std::min<size_t>(
        body.size(), static_cast<size_t>((loop.Now() - started_at).count() * 64 / 1000));
    if (due_bytes - sent_bytes >= 3200 || due_bytes == body.size()) {
      client.Send(body.substr(sent_bytes, due_bytes - sent_bytes));
      sent_bytes = due_bytes;
      dripping_client.Send("x");
    }
    RunFor(loop, Ms(5));
  }
  ASSERT_TRUE(AcceptHost(body.substr(190'000)));
  host.Send(testing::Http200("served"));
  EXPECT_TRUE(RunLoopUntil([&] { return client.Has("served"); }));
  EXPECT_TRUE(dripping_client.Has("408 "));
  EXPECT_TRUE(stalled_client.Has("408 "));
}

// The parser's result does not depend on where the input is split. The input has chunk extensions,
// a trailer and a following message.
TEST(HttpParserTakeBodyTest, ResultDoesNotDependOnHowTheInputIsSplit) {
  const std::string wire =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;a=b\r\nhello\r\n00006\r\n world\r\n0\r\nA: b\r\n\r\nnext";
  for (size_t split = 0; split <= wire.size(); ++split) {
    Buffer in, head;
    HttpParser parser(HttpParser::Kind::kResponse, kMaxBodyBytes);
    in.Append(wire.substr(0, split));
    parser.Feed(in);
    std::string body;
    bool head_taken = false;
    ParseProgress progress = ParseProgress::kNeedMore;
    const auto take_body = [&] {
      if (!head_taken && !parser.head_done()) {
        return;
      }
      if (!std::exchange(head_taken, true)) {
        parser.TakeHead(in, head);
      }
      Buffer piece;
      progress = parser.TakeBody(in, piece, false);
      body += piece.view();
    };
    take_body();
    in.Append(wire.substr(split));
    if (!head_taken && parser.Feed(in) == ParseProgress::kDone) {
      continue;  // the first part already contained the complete message
    }
    take_body();
    EXPECT_EQ(progress, ParseProgress::kDone) << split;
    EXPECT_EQ(body, "hello world") << split;
    EXPECT_EQ(in.view(), "next") << split;
  }
}

TEST(HttpParserTakeBodyTest, IgnoresTheBodyOfStatusesWithoutOne) {
  for (const char* const status : {"204 No", "304 Not"}) {
    Buffer in;
    in.Append("HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 9\r\n\r\nHTTP");
    HttpParser parser(HttpParser::Kind::kResponse);
    EXPECT_EQ(parser.Feed(in), ParseProgress::kDone);
    EXPECT_EQ(parser.message().body.size, 0u);
  }
}

}  // namespace
}  // namespace paddlestile
