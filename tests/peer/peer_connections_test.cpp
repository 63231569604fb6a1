// Frames and connections among members: who is accepted, what malformed frames and slow readers
// cost.
#include "peer/peer_connections.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <optional>

#include "gateway/test_peers.h"
#include "peer/call.h"
#include "peer/framing.h"
#include "peer/introduction.h"

namespace paddlestile::peer {
namespace {

using nlohmann::json;
using testing::Peer;

TEST(FramingTest, RejectsDeepAndIncompleteValues) {
  json deep = 1;
  for (size_t depth = 0; depth < kMaxDepth; ++depth) {
    deep = json::array({deep});
  }
  std::string bytes;
  json::to_cbor(deep, bytes);
  EXPECT_TRUE(DecodeValue(bytes));
  // One level too deep; and a megabyte of opened arrays, which would overflow the stack of a
  // recursive parser.
  EXPECT_FALSE(DecodeValue("\x81" + bytes));
  EXPECT_FALSE(DecodeValue(std::string(1 << 20, '\x81')));
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeValue(bytes.substr(0, size)));
  }
  EXPECT_FALSE(DecodeValue(bytes + bytes));
}

TEST(FramingTest, TakesCompleteFramesOfBoundedSize) {
  Buffer in;
  json value;
  const std::string frame = EncodeFrame({{"a", 1}});
  for (const char c : frame) {
    EXPECT_EQ(TakeFrame(in, value), FrameStatus::kIncomplete);
    in.Append({&c, 1});
  }
  EXPECT_EQ(TakeFrame(in, value), FrameStatus::kComplete);
  EXPECT_EQ(value["a"], 1);
  in.Append("\xff\xff\xff\x7f");
  EXPECT_EQ(TakeFrame(in, value), FrameStatus::kMalformed);
}

// The frame by which a member introduces itself, with the words of the wire.
std::string Hello(const std::string& cluster_name, const std::string& from, const std::string& to,
                  int version, int incarnation, int restart_count) {
  return EncodeFrame({{"hello", version},
                      {"bank", cluster_name},
                      {"from", from},
                      {"to", to},
                      {"life", incarnation},
                      {"boot", restart_count},
                      {"known", "x"}});
}

// The same by a build that knows checksums.
std::string CheckedHello() {
  return EncodeFrame(WithChecksum(EncodeHello({"north", "a", "b", 7, 1}, "x")));
}

// A member with its connections, which records what it received.
struct TestMember final : PeerConnections::Listener {
  TestMember(EventLoop& loop, const std::string& name, PeerConnectionOptions options)
      : connections(loop, budget, std::move(options), this), name(name) {}
  json ClaimKnownOf(const std::string&) override { return name + " knows"; }
  void OnConnected(const std::string& other, uint64_t incarnation, const json& known) override {
    connected[other] = incarnation;
    received += known.get<std::string>() + ";";
  }
  void OnDisconnected(const std::string& other) override { connected.erase(other); }
  void OnFrame(const std::string& other, const json& value) override {
    if (value.contains("x")) {
      received += other + " says " + value["x"].dump() + ";";
    }
  }
  void OnCall(uint64_t call, const json& value) override {
    if (replies) {
      connections.Reply(call, {{"to", value}});
    }
  }
  DescriptorBudget budget{512};
  PeerConnections connections;
  std::string name;
  std::string received;
  bool replies = true;                        // to calls
  std::map<std::string, uint64_t> connected;  // incarnation by name
};

class PeerConnectionsTest : public ::testing::Test {
 protected:
  PeerConnectionOptions Options(const std::string& name, uint64_t incarnation,
                                uint64_t restart_count) {
    PeerConnectionOptions options;
    options.cluster_name = "north";
    options.name = name;
    options.incarnation = incarnation;
    options.restart_count = restart_count;
    for (const char* const member : {"a", "b"}) {
      options.members[member] = At(member[0]);
    }
    options.listen = options.members.at(name);
    options.heartbeat_interval = Duration(50'000);
    options.silence_timeout = Duration(300'000);
    return options;
  }
  static Address At(char member) {
    return {0x7f6c0000U | (static_cast<uint32_t>(getpid()) & 0xffffU),
            static_cast<uint16_t>(7000 + member)};
  }
  // Runs the event loop until `condition` holds, and returns whether it does.
  bool RunUntil(const std::function<bool()>& condition, int timeout_ms = 3000) {
    const Time end = loop.Now() + Duration(timeout_ms * 1000);
    while (!condition() && loop.Now() < end) {
      loop.RunOnce(Duration(5000));
    }
    return condition();
  }
  EventLoop loop;
};

TEST_F(PeerConnectionsTest, OneConnectionAPairCarriesBothDirections) {
  TestMember a(loop, "a", Options("a", 1, 1));
  TestMember b(loop, "b", Options("b", 2, 1));
  a.connections.SetWantedMembers({"a"});
  b.connections.SetWantedMembers({"a"});
  ASSERT_TRUE(RunUntil([&] { return !a.connected.empty() && !b.connected.empty(); }));
  EXPECT_EQ(a.connected["b"], 2U);
  a.connections.Send("b", {{"x", 1}});
  b.connections.Send("a", {{"x", 2}});
  EXPECT_TRUE(RunUntil([&] {
    return a.received == "b knows;b says 2;" && b.received == "a knows;a says 1;";
  })) << a.received
      << b.received;
  // Heartbeats keep it up when nothing else is sent.
  EXPECT_FALSE(RunUntil([&] { return a.connections.statistics().disconnected > 0; }, 800));
  EXPECT_EQ(a.connections.statistics().connected, 1U);
}

TEST_F(PeerConnectionsTest, RejectsUnidentifiedPeersAndStaleIncarnations) {
  TestMember b(loop, "b", Options("b", 2, 1));
  const std::string valid = Hello("north", "a", "b", kProtocolVersion, 7, 3);
  const std::string rejected[] = {Hello("south", "a", "b", kProtocolVersion, 7, 3),
                                  Hello("north", "z", "b", kProtocolVersion, 7, 3),
                                  Hello("north", "a", "c", kProtocolVersion, 7, 3),
                                  Hello("north", "a", "b", kProtocolVersion + 1, 7, 3),
                                  Hello("north", "b", "b", kProtocolVersion, 7, 3),
                                  EncodeFrame({{"hello", "x"}}),
                                  EncodeFrame(3),
                                  std::string("\xff\xff\xff\xff")};
  for (const std::string& bytes : rejected) {
    Peer peer = Peer::To(At('b'));
    peer.Send(bytes);
    EXPECT_TRUE(RunUntil([&] { return peer.Ended(); })) << bytes;
    EXPECT_TRUE(b.connected.empty());
  }
  Peer first = Peer::To(At('b'));
  first.Send(valid);
  ASSERT_TRUE(RunUntil([&] { return b.connected.contains("a"); }));
  // The same incarnation before its last restart; then another incarnation, after which the first
  // one is stale.
  Peer before_restart = Peer::To(At('b'));
  before_restart.Send(Hello("north", "a", "b", kProtocolVersion, 7, 2));
  EXPECT_TRUE(RunUntil([&] { return before_restart.Ended(); }));
  Peer other_incarnation = Peer::To(At('b'));
  other_incarnation.Send(Hello("north", "a", "b", kProtocolVersion, 8, 1));
  EXPECT_TRUE(RunUntil([&] { return b.connected["a"] == 8; }));
  Peer stale = Peer::To(At('b'));
  stale.Send(valid);
  EXPECT_TRUE(RunUntil([&] { return stale.Ended(); }));
  EXPECT_EQ(b.connected["a"], 8U);
  EXPECT_EQ(b.connections.statistics().stale_incarnations, 2U);
}

// A peer that stops reading, or sends nothing.
TEST_F(PeerConnectionsTest, ASlowOrSilentPeerCostsItsOwnConnectionAlone) {
  PeerConnectionOptions options = Options("b", 2, 1);
  options.max_queued_bytes = 64 << 10;
  TestMember b(loop, "b", options);
  Peer slow = Peer::To(At('b'));
  slow.Send(Hello("north", "a", "b", kProtocolVersion, 7, 1));
  ASSERT_TRUE(RunUntil([&] { return b.connected.contains("a"); }));
  for (int i = 0; i < 2000; ++i) {
    b.connections.Send("a", {{"x", std::string(10'000, 'y')}});
  }
  EXPECT_GT(b.connections.statistics().dropped, 1000U);
  EXPECT_TRUE(RunUntil([&] { return b.connected.empty(); }));
  EXPECT_EQ(b.connections.statistics().timed_out, 1U);
  Peer silent = Peer::To(At('b'));
  EXPECT_TRUE(RunUntil([&] { return silent.Ended(); }));
}

// The connection ends while the answer to its hello is written. It was then taken for connected
// with its memory freed, and the process crashed.
TEST_F(PeerConnectionsTest, APeerThatResetsAfterItsHelloIsNotConnected) {
  TestMember b(loop, "b", Options("b", 2, 1));
  for (int i = 0; i < 20; ++i) {
    Peer peer = Peer::To(At('b'));
    peer.Send(Hello("north", "a", "b", kProtocolVersion, 7, 1));
    peer.Reset();
    RunUntil([] { return false; }, 20);
    b.connections.Send("a", {{"x", 1}});
    EXPECT_TRUE(b.connected.empty());
    EXPECT_EQ(b.connections.connected_count(), 0U);
  }
}

// What is believed of a frame that was changed or repeated on the way: nothing.
TEST_F(PeerConnectionsTest, AFrameThatWasChangedOrRepeatedEndsItsConnection) {
  TestMember b(loop, "b", Options("b", 2, 1));
  const std::string first = EncodeCheckedFrame({{"x", 1}}, 0);
  std::string changed = EncodeCheckedFrame({{"x", 2}}, 1);
  changed.back() = static_cast<char>(changed.back() ^ 1);  // the number: still CBOR
  const std::string plain = EncodeFrame({{"x", 3}});
  uint64_t mismatches = 0;
  for (const std::string& second : {changed, first, plain}) {
    b.received.clear();
    Peer peer = Peer::To(At('b'));
    peer.Send(CheckedHello());
    ASSERT_TRUE(RunUntil([&] { return b.connected.contains("a"); }));
    peer.Send(first + second);
    EXPECT_TRUE(RunUntil([&] { return peer.Ended(); }));
    EXPECT_EQ(b.received, "x;a says 1;");
    EXPECT_EQ(b.connections.statistics().checksum_mismatches, ++mismatches);
  }
  // A hello that was changed: the incarnation is another.
  std::string hello = CheckedHello();
  const size_t incarnation = hello.find("life") + 4;
  hello[incarnation] = static_cast<char>(hello[incarnation] ^ 1);
  Peer peer = Peer::To(At('b'));
  peer.Send(hello);
  EXPECT_TRUE(RunUntil([&] { return peer.Ended(); }));
  EXPECT_TRUE(b.connected.empty());
  EXPECT_EQ(b.connections.statistics().checksum_mismatches, ++mismatches);
}

// A fleet is upgraded a member at a time.
TEST_F(PeerConnectionsTest, TalksPlainFramesWithABuildWithoutChecksums) {
  TestMember b(loop, "b", Options("b", 2, 1));
  Peer peer = Peer::To(At('b'));
  peer.Send(Hello("north", "a", "b", kProtocolVersion, 7, 1));
  ASSERT_TRUE(RunUntil([&] { return b.connected.contains("a"); }));
  peer.Send(EncodeFrame({{"x", 1}}));
  EXPECT_TRUE(RunUntil([&] { return b.received == "x;a says 1;"; }));
  peer.ClearReceived();
  b.connections.Send("a", {{"x", 2}});
  const std::string expected = EncodeFrame({{"x", 2}});
  EXPECT_TRUE(RunUntil([&] { return peer.Has(expected); }));
}

TEST_F(PeerConnectionsTest, RepliesWithAChecksumToACallerThatKnowsThem) {
  TestMember b(loop, "b", Options("b", 2, 1));
  Peer caller = Peer::To(At('b'));
  caller.Send(EncodeCall("now"));
  EXPECT_TRUE(RunUntil([&] { return caller.Ended(); }));
  EXPECT_EQ(caller.Received(), EncodeCheckedFrame({{"to", "now"}}, 0));
}

// The connection was counted out twice of those that have not identified themselves, below zero:
// every connection that came after it was turned away.
TEST_F(PeerConnectionsTest, AHelloAfterACallIsRejectedAndLocksNobodyOut) {
  TestMember b(loop, "b", Options("b", 2, 1));
  b.replies = false;
  Peer caller = Peer::To(At('b'));
  caller.Send(EncodeFrame({{"hello", kProtocolVersion}, {"call", "now"}}) +
              Hello("north", "a", "b", kProtocolVersion, 7, 1));
  EXPECT_TRUE(RunUntil([&] { return caller.Ended(); }));
  EXPECT_TRUE(b.connected.empty());
  Peer member = Peer::To(At('b'));
  member.Send(Hello("north", "a", "b", kProtocolVersion, 7, 1));
  EXPECT_TRUE(RunUntil([&] { return b.connected.contains("a"); }));
}

TEST_F(PeerConnectionsTest, AnswersAnOperatorsCallOnce) {
  TestMember b(loop, "b", Options("b", 2, 1));
  Peer caller = Peer::To(At('b'));
  caller.Send(EncodeFrame({{"hello", kProtocolVersion}, {"call", "now"}}));
  EXPECT_TRUE(RunUntil([&] { return caller.Ended(); }));
  const std::string reply = caller.Received();
  ASSERT_GT(reply.size(), 4U);
  EXPECT_EQ(DecodeValue(std::string_view(reply).substr(4))->at("to"), "now");
}

}  // namespace
}  // namespace paddlestile::peer
