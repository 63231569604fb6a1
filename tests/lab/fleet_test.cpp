// Emulated hosts on sockets.
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
    fleet_.SetStartTime(loop_.Now());
    address_ = fleet_.ListHosts()[0].address;
  }
  Fault AllHosts(FaultKind kind) {
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

// Hosts close idle connections, so that gateways that keep them too long are exposed.
TEST_F(FleetTest, HostsCloseIdleConnections) {
  Peer peer = Peer::To(address_);
  RunFor(loop_, Ms(200));
  peer.Send("GET /ping HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] { return peer.Has("200 OK"); }));
  RunFor(loop_, Ms(300));
  EXPECT_FALSE(peer.Ended());  // counted from the last response
  EXPECT_TRUE(RunUntil(
      loop_, [&] { return peer.Ended(); }, Ms(600)));
}

// No data passes and new connections are neither established nor refused; at the end, all
// connections are reset.
TEST_F(FleetTest, PartitionedHostIsUnreachable) {
  Peer peer = Peer::To(address_);
  RunFor(loop_, Ms(20));
  const Fault fault = AllHosts(FaultKind::kPartitioned);
  const auto hosts = fleet_.ChooseHosts(fault);
  ASSERT_EQ(hosts.size(), 1u);
  fleet_.BeginFault(fault, hosts);
  peer.Send("GET /ping HTTP/1.1\r\n\r\n");
  bool refused = false;
  auto second_connection = Connect(address_, nullptr, refused);
  ASSERT_TRUE(second_connection);
  EXPECT_FALSE(refused);
  RunFor(loop_, Ms(150));
  EXPECT_EQ(peer.Received(), "");
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  EXPECT_NE(getpeername(second_connection->get(), reinterpret_cast<sockaddr*>(&name), &size), 0);
  fleet_.EndFault(fault, hosts);
  EXPECT_TRUE(RunUntil(loop_, [&] { return peer.Ended(); }));
  Peer new_peer = Peer::To(address_);
  new_peer.Send("GET /ping HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(RunUntil(loop_, [&] { return new_peer.Has("200 OK"); }));
}

}  // namespace
}  // namespace paddlestile::lab
