#include "event/event_loop.h"

#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/time.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
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
    seen_events |= events;
    if (on_events) {
      on_events();
    }
  }
  int calls = 0;
  uint32_t seen_events = 0;
  std::function<void()> on_events;
};

TEST(EventLoop, TimersFireInOrderOfDueTime) {
  EventLoop loop;
  std::vector<int> order;
  loop.RunAfter(Ms(6), [&] { order.push_back(2); });
  loop.RunAfter(Ms(1), [&] { order.push_back(1); });
  EventLoop::TimerId cancelled = loop.RunAfter(Ms(3), [&] { order.push_back(9); });
  loop.CancelTimer(cancelled);
  EXPECT_TRUE(testing::RunUntil(loop, [&] { return order.size() == 2; }));
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(EventLoop, TimerDoesNotFireEarly) {
  EventLoop loop;
  const Time started_at = loop.Now();
  Time fired_at{0};
  loop.RunAfter(Ms(7), [&] { fired_at = loop.Now(); });
  ASSERT_TRUE(testing::RunUntil(loop, [&] { return fired_at > Time(0); }));
  EXPECT_GE(fired_at - started_at, Ms(7));
}

int peer_of_handler = -1;

// Data arrives, and the timer of the test becomes due, while this handler interrupts the wait.
void SendAndWait(int) {
  const timespec past_timer{0, 60'000'000};
  static_cast<void>(write(peer_of_handler, "x", 1));
  nanosleep(&past_timer, nullptr);
}

// Guards against responses that are cut off as silent when a stopped process continues: its wait
// was interrupted, and timers ran before what had arrived meanwhile was read.
TEST(EventLoop, TimersRunAfterPendingEventsOfAnInterruptedWait) {
  EventLoop loop;
  auto [socket, peer] = Pair();
  Recorder recorder;
  uint64_t token = 0;
  ASSERT_TRUE(loop.Watch(socket.get(), &recorder, token));
  loop.RunOnce(Duration(0));  // writable
  recorder.seen_events = 0;
  bool was_read_before = false, has_fired = false;
  loop.RunAfter(Ms(50), [&] {
    was_read_before = (recorder.seen_events & EPOLLIN) != 0;
    has_fired = true;
  });
  peer_of_handler = peer.fd();
  struct sigaction action {
  }, previous{};
  action.sa_handler = SendAndWait;
  sigaction(SIGALRM, &action, &previous);
  const itimerval once{{0, 0}, {0, 20'000}};
  setitimer(ITIMER_REAL, &once, nullptr);
  EXPECT_TRUE(testing::RunUntil(loop, [&] { return has_fired; }));
  sigaction(SIGALRM, &previous, nullptr);
  EXPECT_TRUE(was_read_before);
  loop.Unwatch(socket.get(), token);
}

// The same for a process that is stopped after it has polled its sockets.
TEST(EventLoop, TimersRunAfterEventsThatArriveWithinTheRound) {
  EventLoop loop;
  auto [first_socket, first_peer] = Pair();
  auto [second_socket, second_peer] = Pair();
  Recorder first, second;
  uint64_t first_token = 0, second_token = 0;
  ASSERT_TRUE(loop.Watch(first_socket.get(), &first, first_token));
  ASSERT_TRUE(loop.Watch(second_socket.get(), &second, second_token));
  loop.RunOnce(Duration(0));  // writable
  second.seen_events = 0;
  bool was_read_before = false;
  loop.RunAfter(Ms(20), [&] { was_read_before = (second.seen_events & EPOLLIN) != 0; });
  first.on_events = [&] {
    second_peer.Send("x");
    usleep(30'000);  // until the timer is due
  };
  first_peer.Send("x");
  loop.RunOnce(Ms(10));
  EXPECT_TRUE(was_read_before);
  loop.Unwatch(first_socket.get(), first_token);
  loop.Unwatch(second_socket.get(), second_token);
}

// More sockets are ready than one epoll_wait call returns, and a timer is due. The events of all of
// them must be handled before the timer.
TEST(EventLoop, TimersRunAfterAllPendingEvents) {
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
  size_t handled = 0;
  loop.RunAfter(Duration(0), [&] {
    for (const Recorder& recorder : recorders) {
      handled += (recorder.seen_events & EPOLLIN) != 0 ? 1 : 0;
    }
  });
  loop.RunOnce(Ms(5));
  EXPECT_EQ(handled, kSockets);
  for (size_t i = 0; i < kSockets; ++i) {
    loop.Unwatch(pairs[i].first.get(), tokens[i]);
  }
}

// A timer that is immediately due again must not starve the sockets.
TEST(EventLoop, SelfRestartingTimerDoesNotStarveSockets) {
  EventLoop loop;
  auto [fd, peer] = Pair();
  Recorder recorder;
  uint64_t token = 0;
  ASSERT_TRUE(loop.Watch(fd.get(), &recorder, token));
  std::function<void()> restart = [&] {
    loop.RunAfter(Duration(0), restart);
  };
  restart();
  peer.Send("x");
  EXPECT_TRUE(testing::RunUntil(loop, [&] { return (recorder.seen_events & EPOLLIN) != 0; }));
  loop.Unwatch(fd.get(), token);
}

// Data that was received before a timeout must be processed first. Otherwise a delayed loop would
// discard responses that have already arrived.
TEST(EventLoop, SocketsAreHandledBeforeTimersInARound) {
  EventLoop loop;
  auto [fd, peer] = Pair();
  std::vector<int> order;
  Recorder recorder;
  uint64_t token = 0;
  ASSERT_TRUE(loop.Watch(fd.get(), &recorder, token));
  loop.RunOnce(Duration(0));  // consumes the initial EPOLLOUT edge
  recorder.on_events = [&] {
    order.push_back(1);
  };
  loop.RunAfter(Duration(0), [&] { order.push_back(2); });
  peer.Send("x");
  ASSERT_TRUE(testing::RunUntil(loop, [&] { return order.size() == 2; }));
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
  loop.Unwatch(fd.get(), token);
}

TEST(EventLoop, DeferredTaskRunsBeforeTheNextHandler) {
  EventLoop loop;
  auto [fd1, peer1] = Pair();
  auto [fd2, peer2] = Pair();
  std::vector<int> order;
  Recorder first_handler, second_handler;
  uint64_t token1 = 0, token2 = 0;
  ASSERT_TRUE(loop.Watch(fd1.get(), &first_handler, token1));
  ASSERT_TRUE(loop.Watch(fd2.get(), &second_handler, token2));
  loop.RunOnce(Duration(0));
  const auto handle = [&] {
    order.push_back(1);
    loop.RunDeferred([&] { order.push_back(2); });
  };
  first_handler.on_events = second_handler.on_events = handle;
  peer1.Send("x");
  peer2.Send("x");
  ASSERT_TRUE(testing::RunUntil(loop, [&] { return order.size() == 4; }));
  EXPECT_EQ(order, (std::vector<int>{1, 2, 1, 2}));
  loop.Unwatch(fd1.get(), token1);
  loop.Unwatch(fd2.get(), token2);
}

// Both descriptors are ready in one epoll_wait. The first handler unwatches the other one, and a
// new descriptor takes its slot. The remaining stale event must not reach the new handler.
TEST(EventLoop, StaleEventIsIgnored) {
  EventLoop loop;
  auto [fd1, peer1] = Pair();
  auto [fd2, peer2] = Pair();
  Recorder first_handler, second_handler, successor;
  uint64_t token1 = 0, token2 = 0, token3 = 0;
  ASSERT_TRUE(loop.Watch(fd1.get(), &first_handler, token1));
  ASSERT_TRUE(loop.Watch(fd2.get(), &second_handler, token2));
  loop.RunOnce(Duration(0));
  auto [fd3, peer3] = Pair();
  const int before = first_handler.calls + second_handler.calls;
  bool replaced = false;
  const auto close_other = [&](FileDescriptor& fd, uint64_t token) {
    if (std::exchange(replaced, true)) {
      return;
    }
    loop.Unwatch(fd.get(), token);
    ASSERT_TRUE(loop.Watch(fd3.get(), &successor, token3));  // reuses the freed slot
  };
  first_handler.on_events = [&] {
    close_other(fd2, token2);
  };
  second_handler.on_events = [&] {
    close_other(fd1, token1);
  };
  peer1.Send("x");
  peer2.Send("x");
  loop.RunOnce(Ms(100));
  EXPECT_EQ(first_handler.calls + second_handler.calls, before + 1);
  EXPECT_EQ(successor.calls, 0);
}

TEST(Clock, ConvertsTheSameUnixTimeConsistently) {
  const Clock clock;
  const double now_ms = static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count());
  const Time first = clock.FromUnixMillis(now_ms - 5000);
  EXPECT_EQ(first, clock.FromUnixMillis(now_ms - 5000));
  EXPECT_NEAR(static_cast<double>((clock.Now() - first).count()), 5e6, 1e5);
}

TEST(Clock, TimesBeforeTheOriginAreZero) {
  const Clock clock;
  EXPECT_EQ(clock.FromUnixMillis(0), Time(0));
  EXPECT_EQ(clock.FromUnixMillis(-5), Time(0));
  EXPECT_EQ(clock.FromUnixMillis(1000), Time(0));
  EXPECT_EQ(clock.FromUnixMillis(1e300), Time(0));
  EXPECT_GT(clock.Now(), Time(0));
}

}  // namespace
}  // namespace paddlestile
