#include "gateway/downstream.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;
using testing::Peer;
using testing::RunFor;
using testing::RunUntil;

std::string Get(const std::string& id) {
  return "GET /read/1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 900\r\n\r\n";
}

class ClientsTest : public ::testing::Test, public Downstream::Listener {
 protected:
  explicit ClientsTest(size_t descriptors = 1024) : budget(descriptors) {
    clients = std::make_unique<Downstream>(loop, budget, Address{INADDR_LOOPBACK, 0}, life, this);
  }
  AdmissionResult OnRequest(BufferedMessage request,
                            ProxiedRequest::ResponseCallback reply) override {
    const std::string_view base = request.bytes.view();
    std::string id(request.message.FindHeader(base, "X-Call-Id").value_or("none"));
    if (id == "bad")
      return {nullptr, 400, "bad"};
    taken.push_back(std::make_shared<ProxiedRequest>(std::move(id), std::move(request), Time(0),
                                                     cls, std::move(reply)));
    return {taken.back(), 0, {}};
  }
  void OnClientDisconnected(const std::shared_ptr<ProxiedRequest>& exchange) override {
    left.push_back(exchange->id());
  }
  void OnRequestComplete(const std::shared_ptr<ProxiedRequest>& exchange) override {
    whole.push_back(exchange->id());
  }
  bool OnDescriptorsExhausted() override { return clients && clients->CloseOneIdle(); }

  Peer Dial() { return Peer::To(clients->address()); }
  bool HasTaken(size_t count) {
    return RunUntil(loop, [&] { return taken.size() >= count; });
  }
  bool Hears(Peer& peer, std::string_view text) {
    return RunUntil(loop, [&] { return peer.Has(text); });
  }
  static std::shared_ptr<const BufferedMessage> HostAnswer(const std::string& text) {
    auto held = std::make_shared<BufferedMessage>();
    HttpParser parser(HttpParser::Kind::kResponse);
    held->bytes.Append(text);
    EXPECT_EQ(parser.Feed(held->bytes), ParseProgress::kDone);
    held->message = parser.message();
    return held;
  }

  EventLoop loop;
  Lifecycle life;
  DescriptorBudget budget;
  std::shared_ptr<RequestClass> cls =
      std::make_shared<RequestClass>(paddlestile::testing::MakeClass(Idempotency::kSafe));
  std::vector<std::shared_ptr<ProxiedRequest>> taken;
  std::vector<std::string> left, whole;
  std::unique_ptr<Downstream> clients;
};

TEST_F(ClientsTest, HealthIsAnsweredWithoutTheModule) {
  Peer peer = Dial();
  peer.Say("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(Hears(peer, "HTTP/1.1 200 OK\r\n"));
  EXPECT_TRUE(taken.empty());
}

TEST_F(ClientsTest, TakesARequestAndPassesTheHostsAnswerOn) {
  Peer peer = Dial();
  peer.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  taken[0]->Respond({.status = 200,
                     .upstream_message = HostAnswer(
                         "HTTP/1.1 200 OK\r\nContent-Type: t\r\nConnection: close\r\n"
                         "X-Load-Report: inflight=1\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "4\r\nbody\r\n0\r\n\r\n")});
  ASSERT_TRUE(Hears(peer, "body"));
  EXPECT_EQ(peer.Heard(), "HTTP/1.1 200 OK\r\nContent-Type: t\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_F(ClientsTest, RefusalsTellWhenToComeBack) {
  Peer peer = Dial();
  peer.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  taken[0]->Respond({.status = 503, .retry_after = Ms(75)});
  ASSERT_TRUE(Hears(peer, "\r\n\r\n"));
  EXPECT_EQ(peer.Heard(),
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.075\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(ClientsTest, ARequestAByteAtATimeIsTakenWithItsLastByte) {
  Peer peer = Dial();
  const std::string text = Get("a");
  for (const char c : text) {
    EXPECT_TRUE(taken.empty());
    peer.Say(std::string(1, c));
    loop.RunOnce(Duration(0));
  }
  EXPECT_TRUE(HasTaken(1));
}

TEST_F(ClientsTest, APipelinedRequestWaitsForItsTurn) {
  Peer peer = Dial();
  peer.Say(Get("a") + Get("b") + Get("c"));
  ASSERT_TRUE(HasTaken(1));
  RunFor(loop, Ms(20));
  EXPECT_EQ(taken.size(), 1u);
  taken[0]->Respond({.status = 502});
  ASSERT_TRUE(HasTaken(2));
  EXPECT_EQ(taken[1]->id(), "b");
  taken[1]->Respond({.status = 502});
  ASSERT_TRUE(HasTaken(3));
  taken[2]->Respond({.status = 502});
  RunFor(loop, Ms(10));
  EXPECT_EQ(clients->connection_count(), 1u);
}

TEST_F(ClientsTest, LostFramingIsAnsweredAndClosed) {
  const std::pair<std::string, std::string> cases[] = {
      {"GET /read HTTP/1.1\nX: y\n\n", "HTTP/1.1 400 "},
      {"POST /read HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", "HTTP/1.1 413 "},
      {"GET /" + std::string(20000, 'a'), "HTTP/1.1 431 "},
      {"POST /read HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 501 "}};
  for (const auto& [text, start] : cases) {
    Peer peer = Dial();
    peer.Say(text);
    ASSERT_TRUE(RunUntil(loop, [&] { return peer.Ended(); })) << text.substr(0, 60);
    EXPECT_EQ(peer.Heard().substr(0, start.size()), start);
    EXPECT_TRUE(peer.Has("Connection: close\r\n"));
  }
  EXPECT_TRUE(taken.empty());
}

// Closing with bytes unread would reset the connection and take the answer with it.
TEST_F(ClientsTest, TheAnswerToTooLongABodyArrivesThoughTheClientGoesOnSending) {
  Peer peer = Dial();
  peer.Say("POST /read HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  for (int i = 0; i < 100; ++i) {
    peer.Say(std::string(2000, 'x'));
    loop.RunOnce(Duration(0));
  }
  ASSERT_TRUE(RunUntil(loop, [&] { return peer.Ended(); }));
  EXPECT_TRUE(peer.Has("HTTP/1.1 413 "));
}

// Hundreds at once that make no sense: one answer, and nothing behind it is looked at.
TEST_F(ClientsTest, WhoMakesNoSenseIsAnsweredOnceAndClosed) {
  Peer peer = Dial();
  std::string all;
  for (int i = 0; i < 300; ++i)
    all += Get("bad");
  peer.Say(all + Get("a"));
  ASSERT_TRUE(RunUntil(loop, [&] { return peer.Ended(); }));
  EXPECT_EQ(peer.Heard().substr(0, 13), "HTTP/1.1 400 ");
  EXPECT_TRUE(peer.Heard().ends_with("Connection: close\r\n\r\nbad\n"));  // and says why
  EXPECT_EQ(peer.Heard().rfind("HTTP/1.1"), 0u);
  EXPECT_TRUE(taken.empty());
}

// Each is its own turn of the loop: a long row of requests keeps nobody else waiting.
TEST_F(ClientsTest, ARowOfRequestsLeavesOthersTheirTurn) {
  Peer greedy = Dial();
  std::string all;
  for (int i = 0; i < 400; ++i)
    all += "GET /_health HTTP/1.1\r\n\r\n";
  greedy.Say(all);
  Peer peer = Dial();
  peer.Say(Get("a"));
  const uint64_t before = GlobalCounters().health_checks;
  ASSERT_TRUE(HasTaken(1));
  EXPECT_LT(GlobalCounters().health_checks - before, 20u);
  EXPECT_TRUE(RunUntil(loop, [&] { return GlobalCounters().health_checks - before == 400; }));
}

// Connections by hundreds: the requests of those let in come between.
TEST_F(ClientsTest, AcceptingLeavesOthersTheirTurn) {
  std::vector<Peer> peers;
  for (int i = 0; i < 200; ++i)
    peers.push_back(Dial());
  peers[0].Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  EXPECT_LT(clients->connection_count(), 100u);
  EXPECT_TRUE(RunUntil(loop, [&] { return clients->connection_count() == 200; }));
}

// Owed within 3 s of connecting: an error or a close, whatever little comes meanwhile.
TEST_F(ClientsTest, TheSilentAndTheSlowAreClosedInTime) {
  Peer silent = Dial(), slow = Dial();
  const std::string text = Get("a");
  size_t said = 0;
  const Time began = loop.Now();
  Time next{0}, silent_ended{0};
  const bool in_time = RunUntil(
      loop,
      [&] {
        if (loop.Now() > next) {
          slow.Say(text.substr(said++, 1));
          next = loop.Now() + Ms(200);
        }
        if (silent_ended == Time(0) && silent.Ended())
          silent_ended = loop.Now() - began;
        return silent.Ended() && slow.Ended();
      },
      Ms(2900));
  EXPECT_TRUE(in_time);
  EXPECT_EQ(silent.Heard(), "");
  EXPECT_LT(silent_ended, Ms(1800));
  EXPECT_TRUE(slow.Has("HTTP/1.1 408 "));
  EXPECT_TRUE(taken.empty());
}

// Some ask once and keep their connection for good.
TEST_F(ClientsTest, AnIdleConnectionIsClosedInTheEnd) {
  Peer peer = Dial();
  peer.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  taken[0]->Respond({.status = 502});
  RunFor(loop, Ms(1500));
  EXPECT_FALSE(peer.Ended());
  EXPECT_TRUE(RunUntil(
      loop, [&] { return peer.Ended(); }, Ms(1500)));
  EXPECT_EQ(clients->connection_count(), 0u);
}

// Sixty megabytes behind a refused head are not read to their end.
TEST_F(ClientsTest, ALongBodyBehindARefusalIsNotReadToItsEnd) {
  Peer peer = Dial();
  peer.Say("POST /read HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  const std::string part(1 << 16, 'x');
  size_t sent = 0;
  ASSERT_TRUE(RunUntil(loop, [&] {
    const ssize_t n = send(peer.fd(), part.data(), part.size(), MSG_NOSIGNAL);
    if (n > 0)
      sent += static_cast<size_t>(n);
    return peer.Ended();
  }));
  EXPECT_TRUE(peer.Has("HTTP/1.1 413 "));
  RunFor(loop, Ms(1500));
  EXPECT_EQ(clients->connection_count(), 0u);
  EXPECT_LT(sent, 16u << 20);
}

TEST_F(ClientsTest, ConnectionCloseIsHonoured) {
  Peer peer = Dial();
  peer.Say("GET /read/1 HTTP/1.1\r\nConnection: close\r\nX-Call-Id: a\r\n\r\n");
  ASSERT_TRUE(HasTaken(1));
  taken[0]->Respond({.status = 502});
  ASSERT_TRUE(RunUntil(loop, [&] { return peer.Ended(); }));
  EXPECT_TRUE(peer.Has("Connection: close\r\n"));
}

TEST_F(ClientsTest, AClientThatClosesHasLeft) {
  Peer peer = Dial();
  peer.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  peer.Close();
  ASSERT_TRUE(RunUntil(loop, [&] { return left.size() == 1; }));
  EXPECT_FALSE(taken[0]->Respond({.status = 502}));
  EXPECT_EQ(clients->connection_count(), 0u);
}

TEST_F(ClientsTest, AClientThatResetsHasLeft) {
  Peer peer = Dial();
  peer.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  peer.Reset();
  EXPECT_TRUE(RunUntil(loop, [&] { return left.size() == 1; }));
}

TEST_F(ClientsTest, AClientThatBreaksOffInTheMiddleAskedForNothing) {
  Peer peer = Dial();
  peer.Say(Get("a").substr(0, 30));
  RunFor(loop, Ms(10));
  peer.Close();
  ASSERT_TRUE(RunUntil(loop, [&] { return clients->connection_count() == 0; }));
  EXPECT_TRUE(taken.empty());
  EXPECT_TRUE(left.empty());
}

// The whole request and the close may come in one read: it is taken all the same.
TEST_F(ClientsTest, ARequestThatComesWithItsCloseIsTaken) {
  Peer peer = Dial();
  peer.Say(Get("a"));
  peer.Close();
  ASSERT_TRUE(HasTaken(1));
  EXPECT_TRUE(RunUntil(loop, [&] { return left.size() == 1; }));
}

TEST_F(ClientsTest, AClientThatSendsNoEndHoldsLittleMemory) {
  Peer peer = Dial();
  peer.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  // It goes on sending while its request is in hand.
  testing::MakeNonBlocking(peer.fd());
  size_t sent = 0;
  const std::string more(10000, 'x');
  for (int i = 0; i < 2000; ++i) {
    const ssize_t n = send(peer.fd(), more.data(), more.size(), MSG_NOSIGNAL);
    if (n > 0)
      sent += static_cast<size_t>(n);
    loop.RunOnce(Duration(0));
  }
  EXPECT_LT(sent, 12'000'000u);  // the kernel's part and 80 KiB; 20 MB were offered
  EXPECT_EQ(clients->connection_count(), 1u);
}

// Requests behind one another and nothing read: no next one is taken before the last answer has
// left for the kernel, so that answers do not pile up here; once it reads, it gets them all.
TEST_F(ClientsTest, AClientThatNeverReadsHoldsOneAnswer) {
  constexpr size_t kRequests = 300;
  const auto answer = HostAnswer(testing::Http200(std::string(60000, 'a')));
  Peer peer = Dial();
  std::string all;
  for (size_t i = 0; i < kRequests; ++i)
    all += Get("id" + std::to_string(i));
  size_t answered = 0;
  const auto serve = [&] {
    for (; answered < taken.size(); ++answered) {
      taken[answered]->Respond({.status = 200, .upstream_message = answer});
    }
  };
  peer.Say(all);
  RunUntil(
      loop, [&] { return serve(), false; }, Ms(300));
  EXPECT_GT(taken.size(), 5u);
  EXPECT_LT(taken.size(), kRequests);  // 18 MB are more than the kernel holds
  ASSERT_TRUE(RunUntil(loop, [&] { return serve(), peer.Heard().size() > kRequests * 60000; }));
  EXPECT_EQ(taken.size(), kRequests);
}

TEST_F(ClientsTest, ExpectContinueIsAsked) {
  Peer peer = Dial();
  peer.Say(
      "POST /read HTTP/1.1\r\nExpect: 100-continue\r\nX-Call-Id: a\r\nContent-Length: 2\r\n\r\n");
  ASSERT_TRUE(Hears(peer, "HTTP/1.1 100 Continue\r\n\r\n"));
  peer.Say("ok");
  ASSERT_TRUE(HasTaken(1));
  EXPECT_EQ(taken[0]->message().body(), "ok");
  taken[0]->Respond({.status = 502});
  EXPECT_TRUE(Hears(peer, "HTTP/1.1 502 "));
}

// An operator's drain: the front takes a yes back within tenths of a second, but clients go on with
// the connections that they have, and some never ask again.
TEST_F(ClientsTest, DrainedItEndsWhatIsOpenAndTakesClientsAgain) {
  Peer idle = Dial(), busy = Dial();
  idle.Say("GET /_health HTTP/1.1\r\n\r\n");
  busy.Say(Get("a"));
  ASSERT_TRUE(Hears(idle, "200 OK"));
  ASSERT_TRUE(HasTaken(1));
  for (int twice = 0; twice < 2; ++twice) {
    life.set_drained(true);
    clients->OnLifecycleChanged();
  }
  Peer front = Dial();
  front.Say("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(Hears(front, "503 "));
  EXPECT_TRUE(RunUntil(
      loop, [&] { return idle.Ended(); }, Ms(1000)));
  EXPECT_FALSE(busy.Ended());
  taken[0]->Respond({.status = 200});
  EXPECT_TRUE(Hears(busy, "Connection: close"));
  EXPECT_TRUE(RunUntil(loop, [&] { return busy.Ended(); }));
  life.set_drained(false);
  clients->OnLifecycleChanged();
  Peer again = Dial();
  again.Say(Get("b"));
  ASSERT_TRUE(HasTaken(2));
  taken[1]->Respond({.status = 200});
  EXPECT_TRUE(Hears(again, "200 OK"));
  EXPECT_FALSE(again.Has("Connection: close"));
}

TEST_F(ClientsTest, DrainingServesWhatComesAndClosesAfterEachAnswer) {
  Peer old = Dial(), idle = Dial();
  old.Say("GET /_health HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(Hears(old, "\r\n\r\n"));
  bool done = false;
  clients->Shutdown(Ms(3600), [&] { done = true; });
  life.set_ending();
  clients->OnLifecycleChanged();
  old.Say(Get("a"));
  Peer fresh = Dial();  // still let in
  fresh.Say(Get("b"));
  ASSERT_TRUE(HasTaken(2));
  RunFor(loop, Ms(700));
  EXPECT_TRUE(idle.Ended());  // closed between requests
  EXPECT_FALSE(done);         // two are in hand
  for (const auto& exchange : taken)
    exchange->Respond({.status = 502});
  ASSERT_TRUE(Hears(old, "Connection: close\r\n"));
  ASSERT_TRUE(Hears(fresh, "Connection: close\r\n"));
  old.Close();
  fresh.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

TEST_F(ClientsTest, DrainingKeepsAcceptingForAWhile) {
  bool done = false;
  clients->Shutdown(Ms(3600), [&] { done = true; });
  life.set_ending();
  clients->OnLifecycleChanged();
  RunFor(loop, Ms(400));
  EXPECT_FALSE(done);
  Peer late = Dial();
  late.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  taken[0]->Respond({.status = 502});
  EXPECT_TRUE(RunUntil(loop, [&] { return late.Ended(); }));
  late.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

TEST_F(ClientsTest, DrainingEndsInTimeThoughAClientNeverEndsItsRequest) {
  Peer stuck = Dial();
  stuck.Say(Get("a").substr(0, 20));
  bool done = false;
  const Time begun = loop.Now();
  clients->Shutdown(Ms(800), [&] { done = true; });
  life.set_ending();
  clients->OnLifecycleChanged();
  ASSERT_TRUE(RunUntil(loop, [&] { return done; }));
  EXPECT_LT(loop.Now() - begun, Ms(1000));
}

// Whatever the time: to leave with a request in hand would lose it.
TEST_F(ClientsTest, DrainingWaitsForWhatIsInHand) {
  Peer client = Dial();
  client.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  bool done = false;
  clients->Shutdown(Ms(500), [&] { done = true; });
  life.set_ending();
  clients->OnLifecycleChanged();
  RunFor(loop, Ms(800));
  EXPECT_FALSE(done);
  taken[0]->Respond({.status = 502});
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
  EXPECT_TRUE(client.Has("HTTP/1.1 502 "));
}

// The table may be full before our own count is: accepting fails, waits, and goes on; the edge of
// the listener has been used up by then, and the backlog is not forgotten.
TEST_F(ClientsTest, AFullTableOfTheSystemDelaysButLosesNothing) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "UBSan opens a pipe to look at an object, and finds no descriptor for it";
#endif
  std::vector<Peer> peers;
  for (int i = 0; i < 5; ++i) {
    peers.push_back(Dial());
    peers.back().Say(Get("id" + std::to_string(i)));
  }
  rlimit held{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &held), 0);
  const FileDescriptor probe(dup(0));
  rlimit none = held;
  none.rlim_cur = static_cast<rlim_t>(probe.get()) + 1;  // not one more than there are
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
  const uint64_t waits = GlobalCounters().accept_waits;
  RunFor(loop, Ms(60));
  EXPECT_EQ(taken.size(), 0u);
  EXPECT_GT(GlobalCounters().accept_waits, waits);
  EXPECT_LT(GlobalCounters().accept_waits - waits, 40u);  // and did not spin
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &held), 0);
  EXPECT_TRUE(HasTaken(5));
}

class FewDescriptors : public ClientsTest {
 protected:
  FewDescriptors() : ClientsTest(DescriptorBudget::kReserve + 55) {}  // 33 connections of clients
};

// With every descriptor in use by a request, the next connection waits in the backlog and is
// served once one is free; no loop spins meanwhile.
TEST_F(FewDescriptors, AcceptingWaitsAndLosesNothing) {
  std::vector<Peer> peers;
  for (int i = 0; i < 40; ++i) {
    peers.push_back(Dial());
    peers.back().Say(Get("id" + std::to_string(i)));
  }
  ASSERT_TRUE(HasTaken(33));
  const uint64_t waits = GlobalCounters().accept_waits;
  RunFor(loop, Ms(60));
  EXPECT_EQ(taken.size(), 33u);
  EXPECT_LT(GlobalCounters().accept_waits - waits, 40u);
  for (size_t i = 0; i < 33; ++i)
    taken[i]->Respond({.status = 502});
  EXPECT_TRUE(HasTaken(40));
}

TEST_F(FewDescriptors, IdleConnectionsMakeRoom) {
  std::vector<Peer> idle;
  for (int i = 0; i < 33; ++i)
    idle.push_back(Dial());
  ASSERT_TRUE(RunUntil(loop, [&] { return clients->connection_count() == 33; }));
  Peer fresh = Dial();
  fresh.Say(Get("a"));
  EXPECT_TRUE(HasTaken(1));
  EXPECT_TRUE(idle[0].Ended());  // the longest idle
  EXPECT_FALSE(idle[32].Ended());
}

// A burst on a full table: nobody is closed for the next one before its request could come.
TEST_F(FewDescriptors, ANewcomerIsNotClosedForTheNext) {
  std::vector<Peer> kept;
  for (int i = 0; i < 33; ++i) {
    kept.push_back(Dial());
    RunFor(loop, Ms(i == 32 ? 250 : 1));
  }
  std::vector<Peer> burst;
  for (int i = 0; i < 12; ++i)
    burst.push_back(Dial());
  RunFor(loop, Ms(20));
  for (int i = 0; i < 12; ++i)
    burst[static_cast<size_t>(i)].Say(Get("id" + std::to_string(i)));
  EXPECT_TRUE(HasTaken(12));
  EXPECT_TRUE(kept[0].Ended());
}

// Each request on a connection of its own, kept for good: clients hold a third of the descriptors
// at most and would have none left to ask on.
TEST_F(FewDescriptors, OfTheKeptConnectionsTheLongestIdleGo) {
  std::vector<Peer> kept;
  for (size_t i = 0; i < 30; ++i) {
    kept.push_back(Dial());
    kept.back().Say(Get("id" + std::to_string(i)));
    ASSERT_TRUE(HasTaken(i + 1));
    taken[i]->Respond({.status = 502});
    ASSERT_TRUE(Hears(kept.back(), "HTTP/1.1 502"));
  }
  RunFor(loop, Ms(10));
  EXPECT_LE(clients->connection_count(), 14u);  // a quarter of 55
  EXPECT_GE(clients->connection_count(), 10u);
  EXPECT_TRUE(kept[0].Ended());
  EXPECT_FALSE(kept[29].Ended());
}

// Those that say nothing come by hundreds: they go first, and the hosts keep their descriptors.
TEST_F(FewDescriptors, TheSilentMakeRoomBeforeThoseThatHaveAsked) {
  Peer usual = Dial();
  usual.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  taken[0]->Respond({.status = 502});
  std::vector<Peer> silent;
  for (int i = 0; i < 32; ++i)
    silent.push_back(Dial());
  RunFor(loop, Ms(250));
  for (int i = 0; i < 20; ++i)
    silent.push_back(Dial());
  RunFor(loop, Ms(10));
  Peer fresh = Dial();
  fresh.Say(Get("b"));
  EXPECT_TRUE(HasTaken(2));
  EXPECT_FALSE(usual.Ended());
  EXPECT_TRUE(silent[0].Ended());
  EXPECT_LE(budget.used(), 33u);
  usual.Say(Get("c"));
  EXPECT_TRUE(HasTaken(3));
}

// ---- Where two events cross (docs/crossings.md) ----------------------------------------------

// Behind a request that was answered within the same read: the end had been told of by then, and
// the leaving of that client was never noticed.
TEST_F(ClientsTest, ARequestBehindAnotherOneEndsWithItsClient) {
  for (const char* const how : {"end", "half-close"}) {
    taken.clear();
    left.clear();
    Peer peer = Dial();
    peer.Say("GET /_health HTTP/1.1\r\n\r\n" + Get("a"));
    if (how == std::string("end"))
      peer.Close();
    if (peer)
      peer.ShutWrite();
    ASSERT_TRUE(HasTaken(1)) << how;
    EXPECT_TRUE(RunUntil(
        loop, [&] { return left.size() == 1; }, Ms(300)))
        << how;
    EXPECT_FALSE(taken[0]->Respond({.status = 502}));
  }
}

// One that sends much at once and goes: its end lies behind what there is no room to read while its
// first request waits.
TEST_F(ClientsTest, AnEndBehindWhatIsNotReadIsNoticed) {
  for (const char* const how : {"end", "half-close", "reset"}) {
    taken.clear();
    left.clear();
    Peer peer = Dial();
    peer.Say(Get("a"));
    ASSERT_TRUE(HasTaken(1));
    std::string rest;
    for (int i = 0; rest.size() < 110'000; ++i)
      rest += Get("more" + std::to_string(i));
    peer.Say(rest);
    RunFor(loop, Ms(20));
    EXPECT_TRUE(left.empty());
    if (how == std::string("end"))
      peer.Close();
    if (how == std::string("reset"))
      peer.Reset();
    if (peer)
      peer.ShutWrite();
    EXPECT_TRUE(RunUntil(
        loop, [&] { return left.size() == 1; }, Ms(300)))
        << how;
    RunFor(loop, Ms(20));
    EXPECT_EQ(taken.size(), 1u) << how;
  }
}

// It waited in the queue for a descriptor and left there: it is told of and ended in one turn.
TEST_F(FewDescriptors, AClientThatLeftInTheQueueHasLeft) {
  std::vector<Peer> busy;
  for (int i = 0; i < 33; ++i) {
    busy.push_back(Dial());
    busy.back().Say(Get("id" + std::to_string(i)));
  }
  ASSERT_TRUE(HasTaken(33));
  Peer ended = Dial(), reset = Dial(), half = Dial();
  ended.Say(Get("ended"));
  reset.Say(Get("reset"));
  half.Say(Get("half"));
  ended.Close();
  reset.Reset();
  half.ShutWrite();
  RunFor(loop, Ms(30));
  EXPECT_EQ(taken.size(), 33u);
  for (size_t i = 0; i < 33; ++i)
    taken[i]->Respond({.status = 502});
  RunFor(loop, Ms(100));
  for (size_t i = 33; i < taken.size(); ++i)
    EXPECT_FALSE(taken[i]->Respond({.status = 502}));
  EXPECT_EQ(left.size(), taken.size() - 33);
}

// At the end of a drain: what is in the kernel by then was taken, and is answered.
TEST_F(ClientsTest, ARequestThatComesAsTheDrainEndsIsTaken) {
  Peer late = Dial();
  late.Say(Get("a").substr(0, 20));
  bool done = false;
  clients->Shutdown(Ms(600), [&] { done = true; });
  life.set_ending();
  clients->OnLifecycleChanged();
  RunFor(loop, Ms(560));
  // Its rest and the end of the drain come while the loop is elsewhere.
  late.Say(Get("a").substr(20));
  Peer later = Dial();  // accepted by the kernel alone
  later.Say(Get("b"));
  usleep(60'000);
  ASSERT_TRUE(HasTaken(2));
  EXPECT_FALSE(done);
  for (const auto& exchange : taken)
    exchange->Respond({.status = 502});
  EXPECT_TRUE(Hears(late, "HTTP/1.1 502 "));
  EXPECT_TRUE(Hears(later, "HTTP/1.1 502 "));
  late.Close();
  later.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

// Our close of a connection that idled against the client's next request: what has come is read.
TEST_F(ClientsTest, ARequestThatComesAsItsConnectionIsClosedIsTaken) {
  Peer peer = Dial();
  peer.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  taken[0]->Respond({.status = 502});
  ASSERT_TRUE(Hears(peer, "HTTP/1.1 502 "));
  peer.Forget();
  RunFor(loop, Ms(1960));
  peer.Say(Get("b"));
  usleep(80'000);
  ASSERT_TRUE(HasTaken(2));
  taken[1]->Respond({.status = 502});
  EXPECT_TRUE(Hears(peer, "HTTP/1.1 502 "));
}

// An answer half-written when the drain ends: cut there, its request would be lost.
TEST_F(ClientsTest, AnAnswerHalfReadAsTheDrainEndsComesWhole) {
  Peer slow = Dial();
  slow.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  const std::string body(6 << 20, 'b');
  auto held = std::make_shared<BufferedMessage>();
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  held->bytes.Append(head + body);
  held->message = HostAnswer(head)->message;
  held->message.body = {head.size(), body.size()};
  bool done = false;
  clients->Shutdown(Ms(500), [&] { done = true; });
  life.set_ending();
  clients->OnLifecycleChanged();
  taken[0]->Respond({.status = 200, .upstream_message = held});
  RunFor(loop, Ms(700));
  EXPECT_FALSE(done);
  EXPECT_TRUE(RunUntil(loop, [&] { return slow.Heard().size() > body.size(); }));
  slow.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

// Emptied by an operator some time before it is told to end: connections go on coming for a while
// from then, as at any end.
TEST_F(ClientsTest, EndedAfterItWasDrainedItKeepsAcceptingForAWhile) {
  life.set_drained(true);
  clients->OnLifecycleChanged();
  RunFor(loop, Ms(700));
  bool done = false;
  clients->Shutdown(Ms(3600), [&] { done = true; });
  life.set_ending();
  clients->OnLifecycleChanged();
  RunFor(loop, Ms(300));
  EXPECT_FALSE(done);
  Peer late = Dial();
  late.Say(Get("a"));
  ASSERT_TRUE(HasTaken(1));
  taken[0]->Respond({.status = 502});
  EXPECT_TRUE(Hears(late, "HTTP/1.1 502 "));
  late.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

// Short of descriptors while it drains: whoever waits in the queue is let in before it closes, also
// where another process listens at the address.
class SharedFewDescriptors : public FewDescriptors {
 protected:
  SharedFewDescriptors() {
    clients = std::make_unique<Downstream>(loop, budget, Address{INADDR_LOOPBACK, 0}, life, this,
                                           FileDescriptor(), true);
  }
};
TEST_F(SharedFewDescriptors, DrainingLetsInWhoWaitsForADescriptor) {
  std::vector<Peer> peers;
  for (int i = 0; i < 40; ++i) {
    peers.push_back(Dial());
    peers.back().Say(Get("id" + std::to_string(i)));
  }
  ASSERT_TRUE(HasTaken(33));
  bool done = false;
  clients->Shutdown(Ms(3600), [&] { done = true; });
  life.set_ending();
  clients->OnLifecycleChanged();
  RunFor(loop, Ms(750));
  for (size_t i = 0; i < 33; ++i)
    taken[i]->Respond({.status = 502});
  ASSERT_TRUE(HasTaken(40));
  for (size_t i = 33; i < 40; ++i)
    taken[i]->Respond({.status = 502});
  for (Peer& peer : peers)
    EXPECT_TRUE(Hears(peer, "HTTP/1.1 502 "));
  peers.clear();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

// ---- Understanding --------------------------------------------------------------------------

class UnderstandTest : public ::testing::Test {
 protected:
  UnderstandTest() {
    settings = paddlestile::testing::MakeSettings();
    settings.classes.resize(2);  // 0 safe, 1 keyed
    settings.clients_mark_retries = true;
    names.classes.Add("read");
    names.classes.Add("book");
    names.tenants.Add("acme");
    names.tenants.Add("other");
  }
  ParsedRequest Of(const std::string& text) {
    BufferedMessage held;
    HttpParser parser(HttpParser::Kind::kRequest);
    held.bytes.Append(text);
    EXPECT_EQ(parser.Feed(held.bytes), ParseProgress::kDone) << text;
    held.message = parser.message();
    return ParseRequest(held, names, settings, Time(1'000'000));
  }
  Settings settings;
  NameTables names;
};

const std::string kGood = "X-Call-Id: 9b1f\r\nX-Caller: other\r\nX-Budget-Ms: 480\r\n";

TEST_F(UnderstandTest, ReadsWhatTheModuleNeeds) {
  const ParsedRequest u =
      Of("POST /book/x?y HTTP/1.1\r\n" + kGood +
         "Idempotency-Key: k\r\nX-Again: 1\r\nX-Call-Info: Expected=12.5,Subject=s1,IsWrite=1,z=2"
         "\r\n\r\n");
  ASSERT_EQ(u.error_status, 0) << u.reason;
  EXPECT_EQ(u.arrival.id, "9b1f");
  EXPECT_EQ(u.arrival.request_class, 1u);
  EXPECT_EQ(u.arrival.tenant, 1u);
  EXPECT_EQ(u.arrival.deadline, Time(1'480'000));
  EXPECT_TRUE(u.arrival.is_client_retry);
  EXPECT_TRUE(u.arrival.is_write);
  EXPECT_EQ(u.arrival.key, "s1");
  EXPECT_EQ(u.arrival.expected_work, Duration(12'500));
}

TEST_F(UnderstandTest, RepeatsAreMarkedOnlyWhereClientsMarkThem) {
  settings.clients_mark_retries = false;
  EXPECT_FALSE(Of("GET /read HTTP/1.1\r\n" + kGood + "X-Again: 1\r\n\r\n").arrival.is_client_retry);
}

TEST_F(UnderstandTest, TenantsAreNotAskedForWhereThereAreNone) {
  names.tenants = NameTable();
  EXPECT_EQ(Of("GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Budget-Ms: 5\r\n\r\n").error_status, 0);
}

TEST_F(UnderstandTest, RefusesWhatItCannotPlace) {
  const std::pair<std::string, int> cases[] = {
      {"GET /read HTTP/1.1\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id:\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a b\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: " + std::string(65, 'a') +
           "\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n\r\n",
       400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget-Ms: 0\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget-Ms: 4.5\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget-Ms: -4\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget-Ms: 99999999999\r\n\r\n",
       400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: b\r\n" + kGood + "\r\n", 400},  // the id twice
      {"GET /nothing HTTP/1.1\r\n" + kGood + "\r\n", 404},
      {"GET / HTTP/1.1\r\n" + kGood + "\r\n", 404},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Budget-Ms: 480\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: who\r\nX-Budget-Ms: 480\r\n\r\n", 403},
      {"POST /book HTTP/1.1\r\n" + kGood + "\r\n", 400},  // no key to know a repeat by
      {"CONNECT /read HTTP/1.1\r\n" + kGood + "\r\n", 405},
      {"HEAD /read HTTP/1.1\r\n" + kGood + "\r\n", 405},
  };
  for (const auto& [text, status] : cases)
    EXPECT_EQ(Of(text).error_status, status) << text;
}

}  // namespace
}  // namespace paddlestile
