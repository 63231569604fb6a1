// Which process has accepted a connection.
#include "lab/process_sockets.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <vector>

#include "event/event_loop.h"
#include "event/socket.h"
#include "lab/listener.h"

namespace paddlestile::lab {
namespace {

constexpr size_t kAddressIndex = 39'000;  // not used by other tests
constexpr pid_t kNoProcess = 0;

TEST(ProcessSockets, ListsAcceptedAndNotQueuedConnections) {
  EventLoop loop;
  std::vector<FileDescriptor> accepted;
  const Address address = LoopbackAddress(kAddressIndex);
  const Listener listener(loop, address,
                          [&](FileDescriptor fd) { accepted.push_back(std::move(fd)); });
  bool refused = false;
  const auto first = Connect(address, nullptr, refused);
  ASSERT_TRUE(first);
  const Address first_client = LocalAddress(first->get());
  EXPECT_TRUE(AcceptedConnections(getpid(), address).empty());
  for (int i = 0; i < 100 && accepted.empty(); ++i) {
    loop.RunOnce(std::chrono::milliseconds(10));
  }
  ASSERT_EQ(accepted.size(), 1u);
  const auto second = Connect(address, nullptr, refused);
  ASSERT_TRUE(second);
  EXPECT_EQ(AcceptedConnections(getpid(), address), std::vector<Address>{first_client});
  EXPECT_TRUE(AcceptedConnections(kNoProcess, address).empty());
  accepted.clear();
  EXPECT_TRUE(AcceptedConnections(getpid(), address).empty());
}

}  // namespace
}  // namespace paddlestile::lab
