// Tests frames and connections between members: which peers are accepted, and the effects of
// malformed frames and slow readers.
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
  // One level too deep, and a megabyte of nested arrays, which would overflow the stack of a
  // recursive parser.
  EXPECT_FALSE(DecodeValue("\x81" + bytes));
  EXPECT_FALSE(DecodeValue(std::string(1 << 20, '\x81')));
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeValue(bytes.substr(0, size)));
  }
  EXPECT_FALSE(DecodeValue(bytes + bytes));
}

TEST(FramingTest, AcceptsCompleteFramesOfLimitedSize) {
  Buffer input;
  json value;
  const std::string frame = EncodeFrame({{"a", 1}});
  for (const char c : frame) {
    EXPECT_EQ(TakeFrame(input, value), FrameStatus::kIncomplete);
    input.Append({&c, 1});
  }
  EXPECT_EQ(TakeFrame(input, value), FrameStatus::kComplete);
  EXPECT_EQ(value["a"], 1);
  input.Append("\xff\xff\xff\x7f");
  EXPECT_EQ(TakeFrame(input, value), FrameStatus::kMalformed);
}

// Returns a plain frame with a member's hello, using the keys of the wire protocol.
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

// Returns the hello of a build that supports checksums.
std::string CheckedHello() {
  return EncodeFrame(WithChecksum(EncodeHello({"north", "a", "b", 7, 1}, "x")));
}

// A member with its connections. Records everything that it receives.
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
  bool replies = true;                        // whether it replies to calls
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
  // Runs the event loop until `condition` holds or the timeout expires. Returns whether it holds.
  bool RunUntil(const std::function<bool()>& condition, int timeout_ms = 3000) {
    const Time end = loop.Now() + Duration(timeout_ms * 1000);
    while (!condition() && loop.Now() < end) {
      loop.RunOnce(Duration(5000));
    }
    return condition();
  }
  EventLoop loop;
};

TEST_F(PeerConnectionsTest, UsesOneConnectionPerPairForBothDirections) {
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
  // Heartbeats keep the connection open while nothing else is sent.
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
  // A process of the same incarnation from before its last restart is stale. Once another
  // incarnation has connected, the first one is stale too.
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

// Covers a peer that stops reading and one that sends nothing.
TEST_F(PeerConnectionsTest, ClosesOnlyTheConnectionOfASlowOrSilentPeer) {
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

// A frame that takes longer than the silence timeout was cut off each time, so that a member on a
// slow link never received a snapshot. One that drips must not keep a connection open.
TEST_F(PeerConnectionsTest, AwaitsAFrameThatArrivesSlowlyButNotOneThatDrips) {
  TestMember b(loop, "b", Options("b", 2, 1));
  const std::string frame = EncodeFrame({{"x", std::string(100'000, 'y')}});
  for (const size_t piece_bytes : {size_t{2'000}, size_t{1}}) {
    ASSERT_TRUE(RunUntil([&] { return b.connected.empty(); }));
    Peer slow = Peer::To(At('b'));
    slow.Send(Hello("north", "a", "b", kProtocolVersion, 7, 1));
    ASSERT_TRUE(RunUntil([&] { return b.connected.contains("a"); }));
    b.received.clear();
    size_t sent = 0;
    while (sent < frame.size() && !slow.Ended()) {
      slow.Send(frame.substr(sent, piece_bytes));
      sent += piece_bytes;
      RunUntil([&] { return false; }, 20);
    }
    RunUntil([&] { return !b.received.empty(); }, 100);
    EXPECT_EQ(b.received.empty(), piece_bytes == 1);
    EXPECT_EQ(slow.Ended(), piece_bytes == 1);
    EXPECT_LT(sent, frame.size() + piece_bytes);
  }
  EXPECT_EQ(b.connections.statistics().timed_out, 1U);
}

// Guards against a use-after-free: the connection ends while the reply to its hello is written. If
// it were then registered as connected, the process would access freed memory.
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

// A frame that was modified or repeated in transit must be discarded and its connection closed.
TEST_F(PeerConnectionsTest, ClosesAConnectionWithAModifiedOrRepeatedFrame) {
  TestMember b(loop, "b", Options("b", 2, 1));
  const std::string first = EncodeCheckedFrame({{"x", 1}}, 0);
  std::string modified = EncodeCheckedFrame({{"x", 2}}, 1);
  modified.back() = static_cast<char>(modified.back() ^ 1);  // the number; still valid CBOR
  const std::string plain = EncodeFrame({{"x", 3}});
  uint64_t mismatches = 0;
  for (const std::string& second : {modified, first, plain}) {
    b.received.clear();
    Peer peer = Peer::To(At('b'));
    peer.Send(CheckedHello());
    ASSERT_TRUE(RunUntil([&] { return b.connected.contains("a"); }));
    peer.Send(first + second);
    EXPECT_TRUE(RunUntil([&] { return peer.Ended(); }));
    EXPECT_EQ(b.received, "x;a says 1;");
    EXPECT_EQ(b.connections.statistics().checksum_mismatches, ++mismatches);
  }
  // A hello that was modified and has another incarnation.
  std::string hello = CheckedHello();
  const size_t incarnation = hello.find("life") + 4;
  hello[incarnation] = static_cast<char>(hello[incarnation] ^ 1);
  Peer peer = Peer::To(At('b'));
  peer.Send(hello);
  EXPECT_TRUE(RunUntil([&] { return peer.Ended(); }));
  EXPECT_TRUE(b.connected.empty());
  EXPECT_EQ(b.connections.statistics().checksum_mismatches, ++mismatches);
}

// Members are upgraded one at a time, so builds with and without checksums must interoperate.
TEST_F(PeerConnectionsTest, UsesPlainFramesWithABuildWithoutChecksums) {
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

TEST_F(PeerConnectionsTest, RepliesWithAChecksumToACallerThatSupportsChecksums) {
  TestMember b(loop, "b", Options("b", 2, 1));
  Peer caller = Peer::To(At('b'));
  caller.Send(EncodeCall("now"));
  EXPECT_TRUE(RunUntil([&] { return caller.Ended(); }));
  EXPECT_EQ(caller.Received(), EncodeCheckedFrame({{"to", "now"}}, 0));
}

// Guards against removing a connection twice from the count of unidentified connections. The count
// would wrap below zero, and every later connection would be rejected.
TEST_F(PeerConnectionsTest, RejectsAHelloAfterACallAndStillAcceptsOthers) {
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

TEST_F(PeerConnectionsTest, RepliesToAnOperatorsCallAndClosesTheConnection) {
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
