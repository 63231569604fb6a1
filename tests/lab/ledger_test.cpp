// The rules of the ledger at the edges of each limit, which the timing of real sockets would blur.
#include "lab/ledger.h"

#include <gtest/gtest.h>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile::lab {
namespace {

using paddlestile::testing::Ms;

LedgerRules MakeRules(Idempotency idempotency,
                      DeduplicationScope scope = DeduplicationScope::kAll) {
  LedgerRules rules;
  rules.classes.push_back({.idempotency = idempotency,
                           .deduplication_scope = scope,
                           .deduplication_window = Ms(1000),
                           .latency_objective = Ms(100),
                           .deadline = Ms(1000),
                           .priority_weight = 2,
                           .late_value_fraction = 0.5});
  return rules;
}

struct TestLedger : Ledger {
  explicit TestLedger(const LedgerRules& rules) : Ledger(rules) {}
  size_t StartAttempt(Time now) {
    const size_t attempt =
        AddAttempt(now, AddRequest(now, {.key = 7, .response_bytes = 60}), 0, now + Ms(1000));
    OnRequestSent(attempt);
    return attempt;
  }
  uint64_t BreachCount(Rule rule) const { return counts().breaches[static_cast<size_t>(rule)]; }
};

TEST(Ledger, ResponseIsJudgedByItsTimeAndItsBody) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  for (const int took : {90, 300}) {
    const size_t attempt = ledger.StartAttempt(Ms(0));
    const uint64_t receipt = ledger.OnHostReceived(Ms(1), attempt, 0, 0, 0, Ms(1));
    ledger.OnHostFinished(Ms(5), receipt, true);
    ledger.OnResponse(Ms(took), attempt, 200,
                      MakeResponseBody(ledger.AttemptId(attempt), receipt, 60));
  }
  EXPECT_EQ(ledger.counts().served, 2u);
  EXPECT_EQ(ledger.counts().late, 1u);
  EXPECT_DOUBLE_EQ(ledger.counts().worth_served, 2 + 1);
  const size_t attempt = ledger.StartAttempt(Ms(0));
  const uint64_t receipt = ledger.OnHostReceived(Ms(1), attempt, 0, 0, 0, Ms(1));
  ledger.OnResponse(Ms(50), attempt, 200,
                    MakeResponseBody(ledger.AttemptId(attempt), receipt, 60).substr(0, 59));
  EXPECT_EQ(ledger.BreachCount(Rule::kWrongResponse), 1u);
}

// A gateway that ends a response which its host is still writing is at fault, unless little of the
// client's time was left then or the host would have been too late.
TEST(Ledger, RefusalAfterACutResponseIsLost) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  const auto refuse_after_cut = [&](Duration complete_at, Duration refused_at) {
    const size_t attempt = ledger.StartAttempt(Ms(0));
    const uint64_t receipt = ledger.OnHostReceived(Ms(1), attempt, 0, 0, 0, Ms(1));
    ledger.OnResponseCut(receipt, complete_at);
    ledger.OnHostFinished(Ms(300), receipt, false);
    ledger.OnResponse(refused_at, attempt, 503, "");
  };
  refuse_after_cut(Ms(700), Ms(860));
  refuse_after_cut(Ms(860), Ms(400));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 0u);
  refuse_after_cut(Ms(840), Ms(840));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 1u);
}

TEST(Ledger, LongResponseThatHasBegunMayBeCompletedLater) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  for (const size_t bytes : {65'536U, 65'537U}) {
    const size_t request = ledger.AddRequest(Ms(0), {.response_bytes = bytes});
    const size_t attempt = ledger.AddAttempt(Ms(0), request, 0, Ms(1000));
    ledger.OnRequestSent(attempt);
    ledger.OnResponseBegun(Ms(990), attempt);
  }
  ledger.Advance(Ms(3090), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 1u);
  ledger.Advance(Ms(3110), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 2u);
}

TEST(Ledger, TimeOfASlowlySentRequestBeginsWithItsLastByte) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  const size_t attempt = ledger.StartAttempt(Ms(0));
  ledger.OnSlowRequestSent(Ms(40), attempt);
  ledger.Advance(Ms(1130), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 0u);
  ledger.Advance(Ms(1150), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 1u);
}

TEST(Ledger, RequestWithoutResponseIsLostAfterItsDeadline) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  ledger.StartAttempt(Ms(0));
  ledger.Advance(Ms(1090), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 0u);
  ledger.Advance(Ms(1150), Ms(200));  // the lab itself was late
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 0u);
  ledger.Advance(Ms(1150), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 1u);
}

// Guards against judging a request only at the deadline of an earlier request with a longer one.
TEST(Ledger, RequestIsLostAtItsOwnDeadlineBehindALongerOne) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  ledger.OnRequestSent(ledger.AddAttempt(Ms(0), ledger.AddRequest(Ms(0), {}), 0, Ms(6000)));
  ledger.StartAttempt(Ms(0));
  ledger.Advance(Ms(1150), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 1u);
}

// The connection is looked up only for breaches that are reported individually, since reading the
// processes' descriptors takes time.
TEST(Ledger, LostRequestReportsWhereItsConnectionIs) {
  constexpr int kRequests = 30;
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  int lookups = 0;
  ledger.set_describe_connection([&](size_t) {
    ++lookups;
    return std::string("in the accept queue");
  });
  for (int i = 0; i < kRequests; ++i) {
    ledger.StartAttempt(Ms(0));
  }
  ledger.Advance(Ms(1150), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), static_cast<uint64_t>(kRequests));
  EXPECT_EQ(static_cast<size_t>(lookups), ledger.breaches().size());
  EXPECT_TRUE(ledger.breaches().front().what.ends_with(", connection in the accept queue"));
}

// A stop of the process permits a late response, but not a missing one.
TEST(Ledger, DelayedResponseIsExcusedAndMissingOneIsNot) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  ledger.set_delay_provider([](size_t) { return Ledger::Delay{Ms(700), Excuse::kProcessStopped}; });
  const size_t late = ledger.StartAttempt(Ms(0));
  ledger.StartAttempt(Ms(0));
  ledger.Advance(Ms(1790), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 0u);
  ledger.OnResponse(Ms(1795), late, 503, "");
  EXPECT_EQ(ledger.counts().excused[static_cast<size_t>(Excuse::kProcessStopped)], 1u);
  ledger.Advance(Ms(1850), Ms(0));
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 1u);
  EXPECT_EQ(ledger.counts().excused[static_cast<size_t>(Excuse::kProcessStopped)], 1u);
}

TEST(Ledger, ResponseInTimeCountsNoExcuse) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  ledger.set_delay_provider([](size_t) { return Ledger::Delay{Ms(700), Excuse::kInAcceptQueue}; });
  ledger.OnResponse(Ms(900), ledger.StartAttempt(Ms(0)), 503, "");
  EXPECT_EQ(ledger.counts().excused[static_cast<size_t>(Excuse::kInAcceptQueue)], 0u);
}

TEST(Ledger, RefusedConnectionOfARunningGatewayIsLost) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  const size_t down = ledger.AddAttempt(Ms(0), ledger.AddRequest(Ms(0), {}), 0, Ms(1000));
  ledger.ExcuseAttempt(down, Excuse::kGatewayDown);
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 0u);
  ledger.OnConnectionRefused(
      Ms(0), ledger.AddAttempt(Ms(0), ledger.AddRequest(Ms(0), {}), 0, Ms(1000)), "refused");
  EXPECT_EQ(ledger.BreachCount(Rule::kLost), 1u);
}

TEST(Ledger, KeyMayBeResentOnlyWithinItsWindowAndScope) {
  for (const int second : {900, 1100}) {
    TestLedger ledger(MakeRules(Idempotency::kKeyed));
    const size_t attempt = ledger.StartAttempt(Ms(0));
    ledger.OnHostFinished(Ms(1), ledger.OnHostReceived(Ms(0), attempt, 0, 0, 0, Ms(0)), true);
    ledger.OnHostReceived(Ms(second), attempt, 1, 1, 0, Ms(second));
    EXPECT_EQ(ledger.BreachCount(Rule::kUnlawfulResend), second > 1000 ? 1u : 0u);
  }
  for (const int zone : {0, 1}) {
    TestLedger ledger(MakeRules(Idempotency::kKeyed, DeduplicationScope::kZone));
    const size_t attempt = ledger.StartAttempt(Ms(0));
    ledger.OnHostFinished(Ms(1), ledger.OnHostReceived(Ms(0), attempt, 0, 0, 0, Ms(0)), true);
    ledger.OnHostReceived(Ms(10), attempt, 1, zone, 0, Ms(10));
    EXPECT_EQ(ledger.BreachCount(Rule::kUnlawfulResend), zone == 1 ? 1u : 0u);
  }
}

TEST(Ledger, RejectedRequestMayBeResent) {
  TestLedger ledger(MakeRules(Idempotency::kUnsafe));
  const size_t attempt = ledger.StartAttempt(Ms(0));
  const uint64_t first = ledger.OnHostReceived(Ms(0), attempt, 0, 0, 0, Ms(0));
  ledger.OnHostRejected(first);
  ledger.OnHostFinished(Ms(1), first, true);
  ledger.OnHostFinished(Ms(11), ledger.OnHostReceived(Ms(10), attempt, 1, 0, 0, Ms(10)), true);
  EXPECT_EQ(ledger.BreachCount(Rule::kUnlawfulResend), 0u);
  ledger.OnHostReceived(Ms(20), attempt, 2, 0, 0, Ms(20));
  EXPECT_EQ(ledger.BreachCount(Rule::kUnlawfulResend), 1u);
}

TEST(Ledger, DuplicateCountsOnlyIfTheFirstCopyWasStillOpen) {
  enum {
    kGivenUp,
    kAnswered,
    kStays
  };
  for (const int end : {kGivenUp, kAnswered, kStays}) {
    TestLedger ledger(MakeRules(Idempotency::kSafe));
    const size_t attempt = ledger.StartAttempt(Ms(0));
    const uint64_t first = ledger.OnHostReceived(Ms(0), attempt, 0, 0, 0, Ms(0));
    ledger.OnHostReceived(Ms(10), attempt, 1, 0, 0, Ms(10));
    // kGivenUp: the end of the first copy is seen shortly after the second one, on another
    // connection.
    if (end != kStays) {
      ledger.OnHostFinished(Ms(14), first, end == kAnswered);
    }
    ledger.Advance(Ms(70), Ms(0));
    EXPECT_EQ(ledger.BreachCount(Rule::kUnlawfulResend), end == kGivenUp ? 0u : 1u);
  }
}

TEST(Ledger, SendToADrainingHostIsJudgedByItsFirstByte) {
  TestLedger ledger(MakeRules(Idempotency::kSafe));
  ledger.OnGatewayNotified(Ms(0), 0, 4);
  ledger.OnGatewayNotified(Ms(500), 0, 4);  // a repeated notice: the first one counts
  ledger.OnHostReceived(Ms(1200), ledger.StartAttempt(Ms(1000)), 4, 0, 0, Ms(1040));
  EXPECT_EQ(ledger.BreachCount(Rule::kSentToDrainingHost), 0u);
  ledger.OnHostReceived(Ms(1200), ledger.StartAttempt(Ms(1000)), 4, 0, 0, Ms(1060));
  EXPECT_EQ(ledger.BreachCount(Rule::kSentToDrainingHost), 1u);
  ledger.OnGatewayRestarted(0);  // restarted and not yet notified
  ledger.OnHostReceived(Ms(1200), ledger.StartAttempt(Ms(1000)), 4, 0, 0, Ms(1060));
  EXPECT_EQ(ledger.BreachCount(Rule::kSentToDrainingHost), 1u);
}

}  // namespace
}  // namespace paddlestile::lab
