// Whose a connection is, by the kernel's tables.
#include "lab/process_sockets.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "event/event_loop.h"
#include "event/socket.h"
#include "lab/listener.h"

namespace paddlestile::lab {
namespace {

constexpr size_t kPlace = 39'000;  // apart from those of other tests
constexpr pid_t kNoProcess = 0;

bool Has(const std::vector<Address>& clients, const Address& client) {
  return std::ranges::find(clients, client) != clients.end();
}

TEST(ProcessSockets, TellQueuedConnectionsFromAcceptedOnes) {
  EventLoop loop;
  std::vector<FileDescriptor> accepted;
  const Address address = OwnAddress(kPlace);
  const Listener listener(loop, address,
                          [&](FileDescriptor fd) { accepted.push_back(std::move(fd)); });
  bool refused = false;
  const auto first = Connect(address, nullptr, refused);
  ASSERT_TRUE(first);
  const Address first_client = LocalAddress(first->get());
  EXPECT_TRUE(Has(QueuedConnections(address), first_client));
  EXPECT_FALSE(Has(AcceptedConnections(getpid(), address), first_client));
  for (int i = 0; i < 100 && accepted.empty(); ++i) {
    loop.RunOnce(std::chrono::milliseconds(10));
  }
  ASSERT_EQ(accepted.size(), 1u);
  const auto second = Connect(address, nullptr, refused);
  ASSERT_TRUE(second);
  EXPECT_TRUE(Has(AcceptedConnections(getpid(), address), first_client));
  EXPECT_FALSE(Has(QueuedConnections(address), first_client));
  EXPECT_TRUE(Has(QueuedConnections(address), LocalAddress(second->get())));
  EXPECT_TRUE(AcceptedConnections(kNoProcess, address).empty());
}

}  // namespace
}  // namespace paddlestile::lab
