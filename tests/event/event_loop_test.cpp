#include "event/event_loop.h"

#include <gtest/gtest.h>
#include <sys/epoll.h>

#include <functional>
#include <memory>
#include <vector>

#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;
using testing::Pair;

struct Recorder : EventLoop::Handler {
  void OnEvents(uint32_t events) override {
    ++calls;
    seen |= events;
    if (then) {
      then();
    }
  }
  int calls = 0;
  uint32_t seen = 0;
  std::function<void()> then;
};

TEST(EventLoop, TimersFireInOrderOfTheirTime) {
  EventLoop loop;
  std::vector<int> order;
  loop.RunAfter(Ms(6), [&] { order.push_back(2); });
  loop.RunAfter(Ms(1), [&] { order.push_back(1); });
  EventLoop::TimerId gone = loop.RunAfter(Ms(3), [&] { order.push_back(9); });
  loop.CancelTimer(gone);
  EXPECT_TRUE(testing::RunUntil(loop, [&] { return order.size() == 2; }));
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(EventLoop, ATimerNeverFiresEarly) {
  EventLoop loop;
  const Time begun = loop.Now();
  Time fired{0};
  loop.RunAfter(Ms(7), [&] { fired = loop.Now(); });
  ASSERT_TRUE(testing::RunUntil(loop, [&] { return fired > Time(0); }));
  EXPECT_GE(fired - begun, Ms(7));
}

// More sockets are ready than one look shows, and a limit is due: what has come by then counts, and
// is heard before the limit is.
TEST(EventLoop, TimersWaitForAllThatHasCome) {
  EventLoop loop;
  constexpr size_t kSockets = 600;
  std::vector<std::pair<FileDescriptor, testing::Peer>> pairs;
  std::vector<Recorder> recorders(kSockets);
  std::vector<uint64_t> tokens(kSockets);
  for (size_t i = 0; i < kSockets; ++i) {
    pairs.push_back(Pair());
    ASSERT_TRUE(loop.Watch(pairs[i].first.get(), &recorders[i], tokens[i]));
    pairs[i].second.Send("x");
  }
  size_t heard = 0;
  loop.RunAfter(Duration(0), [&] {
    for (const Recorder& recorder : recorders) {
      heard += (recorder.seen & EPOLLIN) != 0 ? 1 : 0;
    }
  });
  loop.RunOnce(Ms(5));
  EXPECT_EQ(heard, kSockets);
  for (size_t i = 0; i < kSockets; ++i) {
    loop.Unwatch(pairs[i].first.get(), tokens[i]);
  }
}

// One that is due again at once must leave the sockets their turn.
TEST(EventLoop, ATimerThatSetsItselfAnewStarvesNobody) {
  EventLoop loop;
  auto [fd, peer] = Pair();
  Recorder recorder;
  uint64_t token = 0;
  ASSERT_TRUE(loop.Watch(fd.get(), &recorder, token));
  std::function<void()> again = [&] {
    loop.RunAfter(Duration(0), again);
  };
  again();
  peer.Send("x");
  EXPECT_TRUE(testing::RunUntil(loop, [&] { return (recorder.seen & EPOLLIN) != 0; }));
  loop.Unwatch(fd.get(), token);
}

// What came in by the time a limit is reached counts: a loop that ran late would else throw away
// answers that are already there.
TEST(EventLoop, SocketsComeBeforeTimersOfTheSameRound) {
  EventLoop loop;
  auto [fd, peer] = Pair();
  std::vector<int> order;
  Recorder recorder;
  uint64_t token = 0;
  ASSERT_TRUE(loop.Watch(fd.get(), &recorder, token));
  loop.RunOnce(Duration(0));  // the edge of being writable
  recorder.then = [&] {
    order.push_back(1);
  };
  loop.RunAfter(Duration(0), [&] { order.push_back(2); });
  peer.Send("x");
  ASSERT_TRUE(testing::RunUntil(loop, [&] { return order.size() == 2; }));
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
  loop.Unwatch(fd.get(), token);
}

TEST(EventLoop, DeferredWorkRunsBeforeTheNextHandler) {
  EventLoop loop;
  auto [fd1, peer1] = Pair();
  auto [fd2, peer2] = Pair();
  std::vector<int> order;
  Recorder one, two;
  uint64_t token1 = 0, token2 = 0;
  ASSERT_TRUE(loop.Watch(fd1.get(), &one, token1));
  ASSERT_TRUE(loop.Watch(fd2.get(), &two, token2));
  loop.RunOnce(Duration(0));
  const auto handle = [&] {
    order.push_back(1);
    loop.RunDeferred([&] { order.push_back(2); });
  };
  one.then = two.then = handle;
  peer1.Send("x");
  peer2.Send("x");
  ASSERT_TRUE(testing::RunUntil(loop, [&] { return order.size() == 4; }));
  EXPECT_EQ(order, (std::vector<int>{1, 2, 1, 2}));
  loop.Unwatch(fd1.get(), token1);
  loop.Unwatch(fd2.get(), token2);
}

// Both descriptors are ready in one wait; the first handler closes the second and another takes
// its number. The event that is left belongs to nobody.
TEST(EventLoop, AStaleEventReachesNobody) {
  EventLoop loop;
  auto [fd1, peer1] = Pair();
  auto [fd2, peer2] = Pair();
  Recorder one, two, heir;
  uint64_t token1 = 0, token2 = 0, token3 = 0;
  ASSERT_TRUE(loop.Watch(fd1.get(), &one, token1));
  ASSERT_TRUE(loop.Watch(fd2.get(), &two, token2));
  loop.RunOnce(Duration(0));
  auto [fd3, peer3] = Pair();
  const int before = one.calls + two.calls;
  bool swapped = false;
  const auto close_other = [&](FileDescriptor& fd, uint64_t token) {
    if (std::exchange(swapped, true)) {
      return;
    }
    loop.Unwatch(fd.get(), token);
    ASSERT_TRUE(loop.Watch(fd3.get(), &heir, token3));  // takes the slot just freed
  };
  one.then = [&] {
    close_other(fd2, token2);
  };
  two.then = [&] {
    close_other(fd1, token1);
  };
  peer1.Send("x");
  peer2.Send("x");
  loop.RunOnce(Ms(100));
  EXPECT_EQ(one.calls + two.calls, before + 1);
  EXPECT_EQ(heir.calls, 0);
}

TEST(Clock, AHostsStartComesOutTheSameEachTime) {
  const Clock clock;
  const double now_ms = static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count());
  const Time first = clock.FromUnixMillis(now_ms - 5000);
  EXPECT_EQ(first, clock.FromUnixMillis(now_ms - 5000));
  EXPECT_NEAR(static_cast<double>((clock.Now() - first).count()), 5e6, 1e5);
}

TEST(Clock, LongAgoIsZero) {
  const Clock clock;
  EXPECT_EQ(clock.FromUnixMillis(0), Time(0));
  EXPECT_EQ(clock.FromUnixMillis(-5), Time(0));
  EXPECT_EQ(clock.FromUnixMillis(1000), Time(0));
  EXPECT_EQ(clock.FromUnixMillis(1e300), Time(0));
  EXPECT_GT(clock.Now(), Time(0));
}

}  // namespace
}  // namespace paddlestile
