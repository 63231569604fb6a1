// Bodies past 64 KiB through the gateway, between a client and a host played by hand.
#include "http/streaming_body.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "base/metrics.h"
#include "gateway/gateway.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;
using testing::Peer;
using testing::Port;
using testing::RunFor;
using testing::RunUntil;

class StreamingBodyTest : public ::testing::Test {
 protected:
  StreamingBodyTest() {
    GatewayConfig config;
    config.listen = {INADDR_LOOPBACK, 0};
    config.discovery = agent.address();
    config.seed = 5;
    config.endpoint_idle_timeout = Ms(60000);
    config.settings = paddlestile::testing::MakeSettings();
    config.settings.allowed.probes = false;
    for (const char* const name : {"safe", "keyed", "zoned", "celled", "unsafe"}) {
      config.names.classes.Add(name);
    }
    config.names.report_fields = {"inflight", "latency_ms"};
    config.initial_endpoints.complete = true;
    for (int i = 0; i < 2; ++i) {
      EndpointListEntry entry;
      entry.info.id = "h" + std::to_string(i);
      entry.address = port.address();  // one port: the next attempt comes to it too
      config.initial_endpoints.endpoints.push_back(entry);
    }
    gateway = std::make_unique<Gateway>(loop, std::move(config), lifecycle);
    client = Peer::To(gateway->address());
  }
  void Ask(const std::string& more = "", const std::string& version = "HTTP/1.1") {
    client.Send("POST /safe " + version + "\r\nX-Call-Id: " + std::to_string(++asked) +
                "\r\nX-Budget-Ms: 1500\r\n" + more + "\r\n");
  }
  // The next connection to a host, once so much has come on it.
  bool Host(const std::string& until = "\r\n\r\n") {
    host = Peer();
    return Until([&] {
      if (!host) {
        host = port.TryAccept();
      }
      return host && host.Has(until);
    });
  }
  bool Until(const std::function<bool()>& holds, Duration at_most = Ms(4000)) {
    return RunUntil(loop, holds, at_most);
  }
  // The bytes behind the head, chunks decoded.
  static std::string BodyOf(const std::string& text) {
    Buffer in;
    in.Append(text);
    HttpParser parser(HttpParser::Kind::kResponse, kMaxBodyBytes);
    parser.Feed(in);
    parser.EndsWithConnection(in);
    return std::string(parser.message().body.In(in.view()));
  }
  // Sends a long text as fast as the peer reads it.
  void SayAll(Peer& peer, std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = send(peer.fd(), text.data(), text.size(), MSG_NOSIGNAL);
      if (n > 0) {
        text.remove_prefix(static_cast<size_t>(n));
      }
      RunFor(loop, Ms(1));
      client.Received();
    }
  }
  static std::string Noise(size_t size) {
    std::string text(size, ' ');
    for (size_t i = 0; i < size; ++i) {
      text[i] = static_cast<char>('a' + i * 7 % 26);
    }
    return text;
  }

  EventLoop loop;
  Lifecycle lifecycle;
  Port agent, port;
  std::unique_ptr<Gateway> gateway;
  Peer client, host;
  int asked = 0;
};

TEST_F(StreamingBodyTest, FirstBytesOfAResponseArriveBeforeItsLast) {
  const std::string body = Noise(300'000);
  Ask("Content-Length: 0\r\n");
  ASSERT_TRUE(Host());
  host.Send("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body.substr(0, 20'000));
  ASSERT_TRUE(Until([&] { return client.Has(body.substr(0, 20'000)); }));
  SayAll(host, body.substr(20'000));
  ASSERT_TRUE(Until([&] { return client.Received().ends_with(body.substr(20'000)); }));
  EXPECT_EQ(BodyOf(client.Received()), body);
  // Both connections stay in use.
  client.ClearReceived();
  host.ClearReceived();
  Ask("Content-Length: 0\r\n");
  Peer second;  // the other host may be asked
  ASSERT_TRUE(Until([&] {
    if (!second)
      second = port.TryAccept();
    return host.Has("\r\n\r\n") || (second && second.Has("\r\n\r\n"));
  }));
  (host.Has("\r\n\r\n") ? host : second).Send(testing::Http200("short"));
  EXPECT_TRUE(Until([&] { return client.Has("short"); }));
}

// The framings that a host may use and a client may need.
TEST_F(StreamingBodyTest, ResponseOfAnyFramingIsComplete) {
  const std::string body = Noise(200'000);
  std::string chunks;
  for (size_t at = 0; at < body.size(); at += 999) {
    const std::string part = body.substr(at, 999);
    chunks += fmt::format("{:08x};x=\"y\"\r\n{}\r\n", part.size(), part);
  }
  chunks += "0\r\nX-Trailer: z\r\n\r\n";
  const auto form = [&](const std::string& head, const std::string& rest, bool close,
                        const std::string& version) {
    client = Peer::To(gateway->address());
    Ask("Content-Length: 0\r\n", version);
    ASSERT_TRUE(Host());
    host.Send("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
    SayAll(host, head + rest);
    if (close) {
      host.Close();
    }
    Until([&] { return client.Ended() || BodyOf(client.Received()).size() == body.size(); });
    EXPECT_EQ(BodyOf(client.Received()), body) << head << version;
    const bool chunked = client.Has("Transfer-Encoding: chunked");
    EXPECT_EQ(chunked, head.find("Content-Length") == std::string::npos && version != "HTTP/1.0");
    host.Close();
    RunFor(loop, Ms(20));
  };
  for (const char* const version : {"HTTP/1.1", "HTTP/1.0"}) {
    form("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", body, false, version);
    form("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks, false, version);
    form("HTTP/1.1 200 OK\r\n\r\n", body, true, version);
    form("HTTP/1.0 200 OK\r\n\r\n", body, true, version);
  }
}

// A response that has begun is never taken from another host, and the client can tell that it is
// truncated.
TEST_F(StreamingBodyTest, TruncatedResponseIsVisible) {
  for (const char* const form : {"Content-Length: 300000", "Transfer-Encoding: chunked"}) {
    client = Peer::To(gateway->address());
    Ask("Content-Length: 0\r\n");
    ASSERT_TRUE(Host());
    host.Send("HTTP/1.1 200 OK\r\n" + std::string(form) + "\r\n\r\n11170\r\n" + Noise(60'000));
    ASSERT_TRUE(Until([&] { return client.Has(Noise(60'000).substr(50'000)); }));
    host.Close();
    ASSERT_TRUE(Until([&] { return client.Ended(); }));
    EXPECT_FALSE(client.Received().ends_with("0\r\n\r\n"));
    EXPECT_FALSE(Until([&] { return static_cast<bool>(port.TryAccept()); }, Ms(100)));
  }
  EXPECT_EQ(GlobalCounters().bodies_truncated, 2u);
}

// A client that reads nothing stops its host, and no other.
TEST_F(StreamingBodyTest, SlowReaderStopsTheHostAndHoldsNoMemory) {
  Ask("Content-Length: 0\r\n");
  ASSERT_TRUE(Host());
  host.Send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
  const std::string part = Noise(1 << 20);
  size_t taken = 0;
  for (int i = 0; i < 200; ++i) {
    const ssize_t n = send(host.fd(), part.data(), part.size(), MSG_NOSIGNAL);
    if (n > 0) {
      taken += static_cast<size_t>(n);
    }
    RunFor(loop, Ms(1));
  }
  EXPECT_LT(taken, 20U << 20);  // the kernel's buffers on both ways
  Peer other = Peer::To(gateway->address());
  other.Send("POST /safe HTTP/1.1\r\nX-Call-Id: o\r\nX-Budget-Ms: 900\r\n\r\n");
  Peer second;
  ASSERT_TRUE(Until([&] {
    if (!second)
      second = port.TryAccept();
    return second && second.Has("\r\n\r\n");
  }));
  second.Send(testing::Http200("quick"));
  EXPECT_TRUE(Until([&] { return other.Has("quick"); }));
  // The client leaves: the upstream connection is not kept.
  client.Close();
  EXPECT_TRUE(Until([&] { return host.Ended(); }));
}

TEST_F(StreamingBodyTest, RequestStreams) {
  const std::string body = Noise(3'000'000);
  Ask("Content-Length: 3000000\r\nExpect: 100-continue\r\n");
  ASSERT_TRUE(Until([&] { return client.Has("100 Continue"); }));
  client.ClearReceived();
  client.Send(body.substr(0, 40'000));
  ASSERT_TRUE(Host(body.substr(0, 40'000)));
  EXPECT_TRUE(host.Has("Content-Length: 3000000\r\n"));
  SayAll(client, body.substr(40'000));
  ASSERT_TRUE(Until([&] { return host.Received().ends_with("\r\n\r\n" + body); }));
  host.Send(testing::Http200("served"));
  EXPECT_TRUE(Until([&] { return client.Has("served"); }));
  EXPECT_FALSE(client.Has("Connection: close"));
}

TEST_F(StreamingBodyTest, ChunkedRequestStreamsInChunks) {
  Ask("Transfer-Encoding: chunked\r\n");
  const std::string part = Noise(50'000);
  for (int i = 0; i < 4; ++i) {
    SayAll(client, "c350;e\r\n" + part + "\r\n");
  }
  ASSERT_TRUE(Host("Transfer-Encoding: chunked\r\n"));
  SayAll(client, "0\r\nT: t\r\n\r\n");
  ASSERT_TRUE(Until([&] { return host.Received().ends_with("\r\n0\r\n\r\n"); }));
  Buffer in;
  in.Append(host.Received());
  HttpParser parser(HttpParser::Kind::kRequest, kMaxBodyBytes);
  ASSERT_EQ(parser.Feed(in), ParseProgress::kDone);
  EXPECT_EQ(parser.message().body.In(in.view()), part + part + part + part);
  host.Send(testing::Http200("served"));
  EXPECT_TRUE(Until([&] { return client.Has("served"); }));
}

// A buffered request may be retried; a streamed one may not, and is responded to at once.
TEST_F(StreamingBodyTest, OnlyBufferedRequestsAreRetried) {
  const std::string body = Noise(100'000);
  Ask("Content-Length: 100000\r\n");
  SayAll(client, body);
  ASSERT_TRUE(Host(body.substr(90'000)));
  host.Reset();
  ASSERT_TRUE(Host(body.substr(90'000)));
  host.Send(testing::Http200("served"));
  ASSERT_TRUE(Until([&] { return client.Has("served"); }));

  client = Peer::To(gateway->address());
  Ask("Content-Length: 3000000\r\n");
  client.Send(body);
  ASSERT_TRUE(Host(body.substr(0, 90'000)));
  host.Reset();
  ASSERT_TRUE(Until([&] { return client.Has("HTTP/1.1 50"); }));
  EXPECT_TRUE(client.Has("Connection: close"));
  EXPECT_FALSE(Until([&] { return static_cast<bool>(port.TryAccept()); }, Ms(100)));
}

TEST_F(StreamingBodyTest, EarlyResponseIsPassedOn) {
  Ask("Content-Length: 3000000\r\n");
  client.Send(Noise(50'000));
  ASSERT_TRUE(Host(Noise(50'000).substr(40'000)));
  host.Send("HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nmuch");
  ASSERT_TRUE(Until([&] { return client.Has("much"); }));
  EXPECT_TRUE(client.Has("Connection: close"));
}

// A client that leaves midway: nothing ran, and the upstream connection closes.
TEST_F(StreamingBodyTest, DisconnectMidwayEndsTheAttempt) {
  Ask("Content-Length: 3000000\r\n");
  client.Send(Noise(50'000));
  ASSERT_TRUE(Host(Noise(50'000).substr(40'000)));
  client.Close();
  EXPECT_TRUE(Until([&] { return host.Ended(); }));
  EXPECT_EQ(gateway->request_count(), 0u);
}

TEST_F(StreamingBodyTest, MalformedChunksMidwayAreRejectedAndNotPassedOn) {
  Ask("Transfer-Encoding: chunked\r\n");
  SayAll(client, "249f0\r\n" + Noise(150'000) + "\r\n");
  ASSERT_TRUE(Host(Noise(150'000).substr(100'000)));
  client.Send("no number\r\n");
  ASSERT_TRUE(Until([&] { return client.Has("HTTP/1.1 400"); }));
  EXPECT_TRUE(Until([&] { return host.Ended(); }));
  EXPECT_FALSE(host.Has("\r\n0\r\n\r\n"));
}

// By rate: 64 kB a second is slow and served, however small the pieces; pauses and drips are not.
TEST_F(StreamingBodyTest, SlowUploadsAreServedAndStalledOnesAreNot) {
  Peer drips = Peer::To(gateway->address()), stalls = Peer::To(gateway->address());
  for (Peer* const peer : {&drips, &stalls}) {
    peer->Send("POST /safe HTTP/1.1\r\nX-Call-Id: x" + std::to_string(peer->fd()) +
               "\r\nX-Budget-Ms: 900\r\nContent-Length: 200000\r\n\r\n");
  }
  Ask("Content-Length: 200000\r\n");
  const std::string body = Noise(200'000);
  const Time began = loop.Now();
  size_t said = 0;
  while (said < body.size() && !client.Ended()) {
    // 64,000 bytes a second.
    const auto due = std::min<size_t>(
        body.size(), static_cast<size_t>((loop.Now() - began).count() * 64 / 1000));
    if (due - said >= 3200 || due == body.size()) {
      client.Send(body.substr(said, due - said));
      said = due;
      drips.Send("x");
    }
    RunFor(loop, Ms(5));
  }
  ASSERT_TRUE(Host(body.substr(190'000)));
  host.Send(testing::Http200("served"));
  EXPECT_TRUE(Until([&] { return client.Has("served"); }));
  EXPECT_TRUE(drips.Has("408 "));
  EXPECT_TRUE(stalls.Has("408 "));
}

// Split anywhere, with extensions, trailers and what follows behind it.
TEST(HttpParserTakeBodyTest, IsTheSameHoweverItIsSplit) {
  const std::string wire =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;a=b\r\nhello\r\n00006\r\n world\r\n0\r\nA: b\r\n\r\nnext";
  for (size_t split = 0; split <= wire.size(); ++split) {
    Buffer in, head;
    HttpParser parser(HttpParser::Kind::kResponse, kMaxBodyBytes);
    in.Append(wire.substr(0, split));
    parser.Feed(in);
    std::string body;
    bool taken = false;
    ParseProgress progress = ParseProgress::kNeedMore;
    const auto take = [&] {
      if (!taken && !parser.head_done()) {
        return;
      }
      if (!std::exchange(taken, true)) {
        parser.TakeHead(in, head);
      }
      Buffer piece;
      progress = parser.TakeBody(in, piece, false);
      body += piece.view();
    };
    take();
    in.Append(wire.substr(split));
    if (!taken && parser.Feed(in) == ParseProgress::kDone) {
      continue;  // whole at once
    }
    take();
    EXPECT_EQ(progress, ParseProgress::kDone) << split;
    EXPECT_EQ(body, "hello world") << split;
    EXPECT_EQ(in.view(), "next") << split;
  }
}

TEST(HttpParserTakeBodyTest, NoBodyWhereNoneMayBe) {
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
