// Frames and links among gateways: who is let in, what nonsense costs, what a slow reader costs.
#include "peer/peer_connections.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <optional>

#include "cluster/codec.h"
#include "gateway/test_peers.h"
#include "peer/framing.h"
#include "raft/codec.h"

namespace paddlestile::peer {
namespace {

using nlohmann::json;
using testing::Peer;

TEST(Frames, DeepOrCutOnesAreNonsense) {
  json deep = 1;
  for (size_t i = 0; i < kMaxDepth; ++i)
    deep = json::array({deep});
  std::string bytes;
  json::to_cbor(deep, bytes);
  EXPECT_TRUE(DecodeValue(bytes));
  // One deeper; and a megabyte of openings, which would take the stack of a reader that follows.
  EXPECT_FALSE(DecodeValue("\x81" + bytes));
  EXPECT_FALSE(DecodeValue(std::string(1 << 20, '\x81')));
  for (size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(DecodeValue(bytes.substr(0, size)));
  EXPECT_FALSE(DecodeValue(bytes + bytes));
}

TEST(Frames, AreTakenWholeAndBounded) {
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

// What goes between members and onto disks comes back as it was; cut or changed it is nothing, or
// something else, and never the end of the reader.
TEST(Codec, ReadsWhatItWrote) {
  using namespace raft;
  Message m;
  m.type = Message::Type::kInstallSnapshot;
  m.from = "a";
  m.to = "b";
  m.term = 7;
  m.index = 9;
  m.commit_index = 3;
  m.granted = true;
  m.sent_at = Time(5);
  m.asked_at = Time(-1);
  m.entries = {{1, LogEntry::Kind::kVoters, "", {{"a", 1}}},
               {2, LogEntry::Kind::kData, "\xff\0x", {}}};
  m.snapshot = {4, 2, {{"b", 2}}, std::string("\0\x80", 2)};
  m.own_claim = {1, 2, 3, 4};
  const json value = ToJson(m);
  const auto back = ReadMessage(value);
  ASSERT_TRUE(back);
  EXPECT_EQ(ToJson(*back), value);
  EXPECT_EQ(back->entries, m.entries);
  EXPECT_EQ(back->snapshot, m.snapshot);
  StorageWrite w;
  w.sequence_number = 0;
  w.current_term = 3;
  w.voted_for = "a";
  w.first_index = 2;
  w.entries = m.entries;
  w.snapshot = m.snapshot;
  EXPECT_EQ(ToJson(*ReadWrite(ToJson(w))), ToJson(w));
  for (size_t i = 0; i < value.size(); ++i) {
    json bad = value;
    bad[i] = json::object();
    EXPECT_FALSE(ReadMessage(bad)) << i;
    bad.erase(i);
    EXPECT_FALSE(ReadMessage(bad) && i == 0);
  }
  json unknown = value;
  unknown[0] = 99;
  EXPECT_FALSE(ReadMessage(unknown));
}

// One end of links, with what it heard.
struct End final : PeerConnections::Listener {
  End(EventLoop& loop, const std::string& name, PeerConnectionOptions options)
      : links(loop, budget, std::move(options), this), name(name) {}
  json ClaimKnownOf(const std::string&) override { return name + " knows"; }
  void OnConnected(const std::string& other, uint64_t life, const json& known) override {
    up[other] = life;
    heard += known.get<std::string>() + ";";
  }
  void OnDisconnected(const std::string& other) override { up.erase(other); }
  void OnFrame(const std::string& other, const json& value) override {
    if (value.contains("x"))
      heard += other + " says " + value["x"].dump() + ";";
  }
  void OnCall(uint64_t call, const json& value) override { links.Reply(call, {{"to", value}}); }
  DescriptorBudget budget{512};
  PeerConnections links;
  std::string name, heard;
  std::map<std::string, uint64_t> up;
};

class Linked : public ::testing::Test {
 protected:
  PeerConnectionOptions Options(const std::string& name, uint64_t life, uint64_t boot) {
    PeerConnectionOptions o;
    o.cluster_name = "north";
    o.name = name;
    o.incarnation = life;
    o.restart_count = boot;
    for (const char* const member : {"a", "b"})
      o.members[member] = At(member[0]);
    o.listen = o.members.at(name);
    o.heartbeat_interval = Duration(50'000);
    o.silence_timeout = Duration(300'000);
    return o;
  }
  static Address At(char member) {
    return {0x7f6c0000U | (static_cast<uint32_t>(getpid()) & 0xffffU),
            static_cast<uint16_t>(7000 + member)};
  }
  bool Until(const std::function<bool()>& that, int ms = 3000) {
    const Time end = loop.Now() + Duration(ms * 1000);
    while (!that() && loop.Now() < end)
      loop.RunOnce(Duration(5000));
    return that();
  }
  EventLoop loop;
};

TEST_F(Linked, OneConnectionAPairCarriesBothWays) {
  End a(loop, "a", Options("a", 1, 1)), b(loop, "b", Options("b", 2, 1));
  a.links.SetWantedMembers({"a"});
  b.links.SetWantedMembers({"a"});
  ASSERT_TRUE(Until([&] { return !a.up.empty() && !b.up.empty(); }));
  EXPECT_EQ(a.up["b"], 2U);
  a.links.Send("b", {{"x", 1}});
  b.links.Send("a", {{"x", 2}});
  EXPECT_TRUE(Until([&] {
    return a.heard == "b knows;b says 2;" && b.heard == "a knows;a says 1;";
  })) << a.heard
      << b.heard;
  // Beats keep it up when nobody has anything to say.
  EXPECT_FALSE(Until([&] { return a.links.statistics().disconnected > 0; }, 800));
  EXPECT_EQ(a.links.statistics().connected, 1U);
}

TEST_F(Linked, StrangersAndOldLivesAreTurnedAway) {
  End b(loop, "b", Options("b", 2, 1));
  const auto hello = [](const char* bank, const char* from, const char* to, int format, int life,
                        int boot) {
    return EncodeFrame({{"hello", format},
                        {"bank", bank},
                        {"from", from},
                        {"to", to},
                        {"life", life},
                        {"boot", boot},
                        {"known", "x"}});
  };
  const std::string good = hello("north", "a", "b", kProtocolVersion, 7, 3);
  const std::string strange[] = {hello("south", "a", "b", kProtocolVersion, 7, 3),
                                 hello("north", "z", "b", kProtocolVersion, 7, 3),
                                 hello("north", "a", "c", kProtocolVersion, 7, 3),
                                 hello("north", "a", "b", kProtocolVersion + 1, 7, 3),
                                 hello("north", "b", "b", kProtocolVersion, 7, 3),
                                 EncodeFrame({{"hello", "x"}}),
                                 EncodeFrame(3),
                                 std::string("\xff\xff\xff\xff")};
  for (const std::string& bytes : strange) {
    Peer peer = Peer::To(At('b'));
    peer.Say(bytes);
    EXPECT_TRUE(Until([&] { return peer.Ended(); })) << bytes;
    EXPECT_TRUE(b.up.empty());
  }
  Peer first = Peer::To(At('b'));
  first.Say(good);
  ASSERT_TRUE(Until([&] { return b.up.contains("a"); }));
  // The same life from before its last start; then another life, after which the first is an old
  // one.
  Peer before = Peer::To(At('b'));
  before.Say(hello("north", "a", "b", kProtocolVersion, 7, 2));
  EXPECT_TRUE(Until([&] { return before.Ended(); }));
  Peer other = Peer::To(At('b'));
  other.Say(hello("north", "a", "b", kProtocolVersion, 8, 1));
  EXPECT_TRUE(Until([&] { return b.up["a"] == 8; }));
  Peer old = Peer::To(At('b'));
  old.Say(good);
  EXPECT_TRUE(Until([&] { return old.Ended(); }));
  EXPECT_EQ(b.up["a"], 8U);
  EXPECT_EQ(b.links.statistics().stale_incarnations, 2U);
}

// A peer that stops reading, or says nothing, must cost no more than its link.
TEST_F(Linked, ASlowReaderAndASilentOneCostTheirLinkAlone) {
  PeerConnectionOptions options = Options("b", 2, 1);
  options.max_queued_bytes = 64 << 10;
  End b(loop, "b", options);
  Peer slow = Peer::To(At('b'));
  slow.Say(EncodeFrame({{"hello", kProtocolVersion},
                        {"bank", "north"},
                        {"from", "a"},
                        {"to", "b"},
                        {"life", 7},
                        {"boot", 1},
                        {"known", "x"}}));
  ASSERT_TRUE(Until([&] { return b.up.contains("a"); }));
  for (int i = 0; i < 2000; ++i)
    b.links.Send("a", {{"x", std::string(10'000, 'y')}});
  EXPECT_GT(b.links.statistics().dropped, 1000U);
  EXPECT_TRUE(Until([&] { return b.up.empty(); }));
  EXPECT_EQ(b.links.statistics().timed_out, 1U);
  Peer mute = Peer::To(At('b'));
  EXPECT_TRUE(Until([&] { return mute.Ended(); }));
}

// One that says who it is and resets at once: its link ended within the answer, and was up for good
// after that, with its memory given back. It ended gateways by a segmentation fault as a cut ended.
TEST_F(Linked, OneThatResetsBehindItsHelloIsNotUp) {
  End b(loop, "b", Options("b", 2, 1));
  for (int i = 0; i < 20; ++i) {
    Peer peer = Peer::To(At('b'));
    peer.Say(EncodeFrame({{"hello", kProtocolVersion},
                          {"bank", "north"},
                          {"from", "a"},
                          {"to", "b"},
                          {"life", 7},
                          {"boot", 1},
                          {"known", "x"}}));
    peer.Reset();
    Until([] { return false; }, 20);
    b.links.Send("a", {{"x", 1}});
    EXPECT_TRUE(b.up.empty());
    EXPECT_EQ(b.links.connected_count(), 0U);
  }
}

TEST_F(Linked, AnOperatorsCallIsAnsweredOnce) {
  End b(loop, "b", Options("b", 2, 1));
  Peer caller = Peer::To(At('b'));
  caller.Say(EncodeFrame({{"hello", kProtocolVersion}, {"call", "now"}}));
  EXPECT_TRUE(Until([&] { return caller.Ended(); }));
  const std::string heard = caller.Heard();
  ASSERT_GT(heard.size(), 4U);
  EXPECT_EQ(DecodeValue(std::string_view(heard).substr(4))->at("to"), "now");
}

}  // namespace
}  // namespace paddlestile::peer
