// Emulated hosts on sockets, spoken to by hand.
#include "lab/fleet.h"

#include <gtest/gtest.h>

#include <string>

#include "gateway/test_peers.h"

namespace paddlestile::lab {
namespace {

using paddlestile::testing::Ms;
using testing::Peer;
using testing::RunFor;
using testing::RunUntil;

class FleetTest : public ::testing::Test {
 protected:
  explicit FleetTest(const std::string& rules = "idle_close_s = 0.4\n")
      : experiment_(ParseExperiment("name = \"x\"\n[load]\nrate = 1\n[[hosts]]\nhandshake_ms = 0\n"
                                    "[[classes]]\nname = \"a\"\nwork_ms = 1\n[rules]\n" +
                                        rules,
                                    "x")),
        ledger_({.classes = {experiment_.classes[0].rules}}),
        fleet_(loop_, experiment_, ledger_, 1, [](const ListedHost&, Duration) {}) {
    fleet_.Start();
    fleet_.Begin(loop_.Now());
    address_ = fleet_.List()[0].address;
  }
  Fault All(FaultKind kind) {
    Fault fault;
    fault.kind = kind;
    fault.host_share = 1;
    return fault;
  }

  EventLoop loop_;
  Experiment experiment_;
  Ledger ledger_;
  Fleet fleet_;
  Address address_;
};

// A gateway that keeps connections for too long has to meet it.
TEST_F(FleetTest, HostsCloseWhatHasIdled) {
  Peer peer = Peer::To(address_);
  RunFor(loop_, Ms(200));
  peer.Say("GET /ping HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] { return peer.Has("200 OK"); }));
  RunFor(loop_, Ms(300));
  EXPECT_FALSE(peer.Ended());  // counted from its last answer
  EXPECT_TRUE(RunUntil(
      loop_, [&] { return peer.Ended(); }, Ms(600)));
}

// Nothing comes or goes, no new connection comes up, and none is refused; then all are reset.
TEST_F(FleetTest, AMachineThatIsCutOffSaysNothing) {
  Peer peer = Peer::To(address_);
  RunFor(loop_, Ms(20));
  const Fault fault = All(FaultKind::kPartitioned);
  const auto hosts = fleet_.Choose(fault);
  ASSERT_EQ(hosts.size(), 1u);
  fleet_.Begin(fault, hosts);
  peer.Say("GET /ping HTTP/1.1\r\n\r\n");
  bool refused = false;
  auto late = Connect(address_, nullptr, refused);
  ASSERT_TRUE(late);
  EXPECT_FALSE(refused);
  RunFor(loop_, Ms(150));
  EXPECT_EQ(peer.Heard(), "");
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  EXPECT_NE(getpeername(late->get(), reinterpret_cast<sockaddr*>(&name), &size), 0);
  fleet_.End(fault, hosts);
  EXPECT_TRUE(RunUntil(loop_, [&] { return peer.Ended(); }));
  Peer again = Peer::To(address_);
  again.Say("GET /ping HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(RunUntil(loop_, [&] { return again.Has("200 OK"); }));
}

}  // namespace
}  // namespace paddlestile::lab
