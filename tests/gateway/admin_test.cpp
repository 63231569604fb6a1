// Operators call while clients keep the gateway busy, and some callers say nothing.
#include "gateway/admin.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;
using testing::Peer;
using testing::RunUntil;

class AdminTest : public ::testing::Test {
 protected:
  // What one call is told; the connection ends with it.
  std::string Call(const std::string& text) {
    Peer peer = Peer::To(admin.address());
    peer.Say(text);
    EXPECT_TRUE(RunUntil(
        loop, [&] { return peer.Ended(); }, Ms(900)))
        << text;
    return peer.Heard().substr(9, 3);
  }
  std::string Call(const std::string& method, const std::string& path) {
    return Call(method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  }
  EventLoop loop;
  Lifecycle life{false};
  Admin admin{loop, Address{INADDR_LOOPBACK, 0}, life};
};

TEST_F(AdminTest, TellsOfTheProcessAndTurnsItsLife) {
  EXPECT_EQ(Call("GET", "/admin/health"), "503");
  life.set_ready();
  EXPECT_EQ(Call("GET", "/admin/health"), "200");
  EXPECT_EQ(Call("POST", "/admin/quiesce"), "200");
  EXPECT_EQ(Call("POST", "/admin/quiesce"), "200");
  EXPECT_EQ(life.stage(), LifecycleStage::kDrained);
  EXPECT_FALSE(life.healthy());
  EXPECT_EQ(Call("GET", "/admin/health"), "200");
  EXPECT_EQ(Call("POST", "/admin/resume"), "200");
  EXPECT_TRUE(life.healthy());
  // Clients' address is the new process's by then.
  life.set_replaced(true);
  EXPECT_EQ(Call("POST", "/admin/resume"), "409");
  EXPECT_EQ(Call("GET", "/admin/health"), "503");
  EXPECT_TRUE(life.healthy());
}

TEST_F(AdminTest, WhatIsNoCallIsToldSo) {
  EXPECT_EQ(Call("GET", "/admin/quiesce"), "405");
  EXPECT_EQ(Call("POST", "/admin/health"), "405");
  EXPECT_EQ(Call("GET", "/"), "404");
  EXPECT_EQ(Call("what is this\r\n\r\n"), "400");
  EXPECT_EQ(Call("GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\n\r\n"), "431");
  EXPECT_EQ(Call("POST /admin/quiesce HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"), "413");
  EXPECT_EQ(life.stage(), LifecycleStage::kStarting);
  // One call to a connection: the second is not followed.
  Call("GET /admin/health HTTP/1.1\r\n\r\nPOST /admin/quiesce HTTP/1.1\r\n\r\n");
  life.set_ready();
  EXPECT_EQ(life.stage(), LifecycleStage::kServing);
}

TEST_F(AdminTest, CallersWhoSayNothingDelayNobodyAndAreBounded) {
  std::vector<Peer> silent;
  for (size_t i = 0; i < 3 * Admin::kMaxCallers; ++i) {
    silent.push_back(Peer::To(admin.address()));
    silent.back().Say("GET /adm");
  }
  EXPECT_EQ(Call("GET", "/admin/health"), "503");
  EXPECT_LE(admin.callers(), Admin::kMaxCallers);
}

// A round of the loop may have hundreds of clients to look after; the operator's call, which came
// last, has its turn before them.
TEST_F(AdminTest, IsServedBeforeClients) {
  struct Slow final : EventLoop::Handler {
    void OnEvents(uint32_t) override {
      if (caller.Has("503"))
        ++after;
      usleep(20'000);
      ++rounds;
    }
    Peer& caller;
    int rounds = 0, after = 0;
    explicit Slow(Peer& c) : caller(c) {}
  };
  Peer caller = Peer::To(admin.address());
  Slow slow(caller);
  std::vector<FileDescriptor> ends;
  for (int i = 0; i < 40; ++i) {
    int pair[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
    uint64_t token = 0;
    ASSERT_TRUE(loop.Watch(pair[0], &slow, token));
    ends.emplace_back(pair[0]);
    ends.emplace_back(pair[1]);
  }
  caller.Say("GET /admin/health HTTP/1.1\r\n\r\n");
  loop.RunOnce(Ms(5));
  EXPECT_EQ(slow.rounds, 40);
  EXPECT_GT(slow.after, 30);
}

}  // namespace
}  // namespace paddlestile
