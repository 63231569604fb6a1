#include "event/stream.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;
using testing::Pair;
using testing::Peer;
using testing::RunUntil;

struct Owner : Stream::Listener {
  void OnConnected() override { ++connected; }
  void OnData() override {
    ++reads;
    if (on_data) {
      on_data();
    }
  }
  void OnWriteComplete() override { ++flushed; }
  void OnError() override { ++errors; }
  int connected = 0, reads = 0, flushed = 0, errors = 0;
  std::function<void()> on_data;
};

class StreamTest : public ::testing::Test {
 protected:
  StreamTest() {
    auto [fd, remote] = Pair();
    peer = std::move(remote);
    stream = std::make_unique<Stream>(loop, Socket(std::move(fd), nullptr), &owner, false);
    EXPECT_TRUE(stream->Start());
    loop.RunOnce(Duration(0));
  }
  EventLoop loop;
  Owner owner;
  Peer peer;
  std::unique_ptr<Stream> stream;
};

TEST_F(StreamTest, ReadsAllAvailableDataOnOneEdge) {
  peer.Send(std::string(50000, 'x'));
  ASSERT_TRUE(RunUntil(loop, [&] { return stream->input().size() == 50000; }));
  peer.Send("y");
  EXPECT_TRUE(RunUntil(loop, [&] { return stream->input().size() == 50001; }));
}

TEST_F(StreamTest, WritesTheRemainderWhenWritable) {
  const auto body = std::make_shared<std::string>(4'000'000, 'b');
  stream->Write("head", body, *body);
  EXPECT_EQ(owner.flushed, 0);  // larger than the socket buffer
  ASSERT_TRUE(RunUntil(loop, [&] { return peer.Received().size() == 4'000'004; }));
  EXPECT_EQ(owner.flushed, 1);
  EXPECT_EQ(peer.Received().substr(0, 6), "headbb");
}

TEST_F(StreamTest, KeepsUnwrittenDataAlive) {
  auto body = std::make_shared<std::string>(4'000'000, 'b');
  const std::weak_ptr<std::string> held = body;
  const std::string_view view = *body;
  stream->Write("", std::move(body), view);
  EXPECT_FALSE(held.expired());
  ASSERT_TRUE(RunUntil(loop, [&] { return peer.Received().size() == 4'000'000; }));
  EXPECT_TRUE(held.expired());
}

TEST_F(StreamTest, ReportsTheEndWithoutAnError) {
  peer.Send("last");
  peer.Close();
  ASSERT_TRUE(RunUntil(loop, [&] { return stream->ended(); }));
  EXPECT_EQ(stream->input().view(), "last");
  EXPECT_EQ(owner.errors, 0);
}

TEST_F(StreamTest, WriteToAClosedPeerReportsAnErrorWithoutASignal) {
  peer.Close();
  stream->Write("x");  // SIGPIPE would terminate the process
  EXPECT_TRUE(RunUntil(loop, [&] { return owner.errors == 1; }));
}

TEST_F(StreamTest, StopsReadingAtTheLimitAndResumes) {
  stream->set_max_unread_bytes(10000);
  peer.Send(std::string(60000, 'x'));
  ASSERT_TRUE(RunUntil(loop, [&] { return stream->input().size() >= 10000; }));
  testing::RunFor(loop, Ms(20));
  EXPECT_LT(stream->input().size(), 30000u);
  size_t received = 0;
  ASSERT_TRUE(RunUntil(loop, [&] {
    received += stream->input().size();
    stream->input().Consume(stream->input().size());
    stream->ResumeReading();
    return received >= 60000;
  }));
  EXPECT_EQ(received, 60000u);
}

TEST_F(StreamTest, ListenerMayCloseTheStream) {
  owner.on_data = [&] {
    stream->Close();
  };
  peer.Send("x");
  ASSERT_TRUE(RunUntil(loop, [&] { return owner.reads == 1; }));
  testing::RunFor(loop, Ms(5));
  EXPECT_EQ(owner.reads, 1);
  EXPECT_TRUE(peer.Ended());
}

TEST_F(StreamTest, IsNotIdleWithUnreadBytes) {
  EXPECT_TRUE(stream->IsIdle());
  peer.Send("x");
  EXPECT_FALSE(stream->IsIdle());  // detected before the loop reports the event
}

TEST_F(StreamTest, IsNotIdleAfterThePeerCloses) {
  peer.Close();
  EXPECT_FALSE(stream->IsIdle());
}

TEST(Connect, ConnectsToAListener) {
  EventLoop loop;
  DescriptorBudget budget(1024);
  testing::Port port;
  bool refused = true;
  std::optional<Socket> socket = Connect(port.address(), &budget, refused);
  ASSERT_TRUE(socket);
  EXPECT_FALSE(refused);
  Owner owner;
  Stream stream(loop, std::move(*socket), &owner, true);
  ASSERT_TRUE(stream.Start());
  EXPECT_TRUE(RunUntil(loop, [&] { return owner.connected == 1; }));
}

TEST(Connect, RefusedConnectionReportsAnError) {
  EventLoop loop;
  DescriptorBudget budget(1024);
  testing::Port port;
  port.Close();
  bool refused = false;
  std::optional<Socket> socket = Connect(port.address(), &budget, refused);
  if (!socket) {
    EXPECT_TRUE(refused);
    return;
  }
  Owner owner;
  Stream stream(loop, std::move(*socket), &owner, true);
  ASSERT_TRUE(stream.Start());
  EXPECT_TRUE(RunUntil(loop, [&] { return owner.errors == 1; }));
  EXPECT_EQ(owner.connected, 0);
}

TEST(Descriptors, CountsOpenSockets) {
  DescriptorBudget budget(DescriptorBudget::kReserve * 2 + 1);
  EXPECT_EQ(budget.limit(), DescriptorBudget::kReserve + 1);
  testing::Port port;
  bool refused = false;
  {
    std::optional<Socket> socket = Connect(port.address(), &budget, refused);
    EXPECT_EQ(budget.used(), 1u);
    Socket moved = std::move(*socket);
    socket.reset();
    EXPECT_EQ(budget.used(), 1u);
  }
  EXPECT_EQ(budget.used(), 0u);
}

TEST(Descriptors, EnforcesTheLimit) {
  DescriptorBudget budget(DescriptorBudget::kReserve + 34);
  testing::Port port;
  bool refused = false;
  std::vector<Socket> held;
  while (auto socket = Connect(port.address(), &budget, refused)) {
    held.push_back(std::move(*socket));
  }
  EXPECT_EQ(held.size(), budget.limit());
  EXPECT_FALSE(refused);
}

}  // namespace
}  // namespace paddlestile
