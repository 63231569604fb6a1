// Tests of the admin interface, including while clients keep the gateway busy and while callers
// send nothing.
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
  // Makes one call and returns the status of its response. Expects the connection to close
  // afterwards.
  std::string Call(const std::string& text) {
    Peer peer = Peer::To(admin.address());
    peer.Send(text);
    EXPECT_TRUE(RunUntil(
        loop, [&] { return peer.Ended(); }, Ms(900)))
        << text;
    return peer.Received().substr(9, 3);
  }
  std::string Call(const std::string& method, const std::string& path) {
    return Call(method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  }
  EventLoop loop;
  Lifecycle lifecycle{false};
  Admin admin{loop, Address{INADDR_LOOPBACK, 0}, lifecycle};
};

TEST_F(AdminTest, ReportsHealthAndDrainsAndResumes) {
  EXPECT_EQ(Call("GET", "/admin/health"), "503");
  lifecycle.set_ready();
  EXPECT_EQ(Call("GET", "/admin/health"), "200");
  EXPECT_EQ(Call("POST", "/admin/quiesce"), "200");
  EXPECT_EQ(Call("POST", "/admin/quiesce"), "200");
  EXPECT_EQ(lifecycle.stage(), LifecycleStage::kDrained);
  EXPECT_FALSE(lifecycle.healthy());
  EXPECT_EQ(Call("GET", "/admin/health"), "200");
  EXPECT_EQ(Call("POST", "/admin/resume"), "200");
  EXPECT_TRUE(lifecycle.healthy());
  // From here on the new process of a hot restart serves the address.
  lifecycle.set_replaced(true);
  EXPECT_EQ(Call("POST", "/admin/resume"), "409");
  EXPECT_EQ(Call("GET", "/admin/health"), "503");
  EXPECT_TRUE(lifecycle.healthy());
}

TEST_F(AdminTest, RejectsMalformedCalls) {
  EXPECT_EQ(Call("GET", "/admin/quiesce"), "405");
  EXPECT_EQ(Call("POST", "/admin/health"), "405");
  EXPECT_EQ(Call("GET", "/"), "404");
  EXPECT_EQ(Call("what is this\r\n\r\n"), "400");
  EXPECT_EQ(Call("GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\n\r\n"), "431");
  EXPECT_EQ(Call("POST /admin/quiesce HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"), "413");
  EXPECT_EQ(lifecycle.stage(), LifecycleStage::kStarting);
  // Only one call per connection: the second one is ignored.
  Call("GET /admin/health HTTP/1.1\r\n\r\nPOST /admin/quiesce HTTP/1.1\r\n\r\n");
  lifecycle.set_ready();
  EXPECT_EQ(lifecycle.stage(), LifecycleStage::kServing);
}

TEST_F(AdminTest, SilentCallersAreLimitedAndDelayNoOthers) {
  std::vector<Peer> silent;
  for (size_t i = 0; i < 3 * Admin::kMaxCallers; ++i) {
    silent.push_back(Peer::To(admin.address()));
    silent.back().Send("GET /adm");
  }
  EXPECT_EQ(Call("GET", "/admin/health"), "503");
  EXPECT_LE(admin.callers(), Admin::kMaxCallers);
}

// A round of the event loop may have events of hundreds of clients. An admin call is handled before
// them, even if it arrived last.
TEST_F(AdminTest, IsServedBeforeClients) {
  struct SlowHandler final : EventLoop::Handler {
    void OnEvents(uint32_t) override {
      if (caller.Has("503")) {
        ++events_after_response;
      }
      usleep(20'000);
      ++events;
    }
    Peer& caller;
    int events = 0, events_after_response = 0;
    explicit SlowHandler(Peer& admin_caller) : caller(admin_caller) {}
  };
  Peer caller = Peer::To(admin.address());
  SlowHandler clients(caller);
  std::vector<FileDescriptor> sockets;
  for (int i = 0; i < 40; ++i) {
    int pair[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
    uint64_t token = 0;
    ASSERT_TRUE(loop.Watch(pair[0], &clients, token));
    sockets.emplace_back(pair[0]);
    sockets.emplace_back(pair[1]);
  }
  caller.Send("GET /admin/health HTTP/1.1\r\n\r\n");
  loop.RunOnce(Ms(5));
  EXPECT_EQ(clients.events, 40);
  EXPECT_GT(clients.events_after_response, 30);
}

}  // namespace
}  // namespace paddlestile
