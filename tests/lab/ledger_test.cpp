// The account of the rules by hand, where timing on sockets would blur it: each limit just kept and
// just passed.
#include "lab/ledger.h"

#include <gtest/gtest.h>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile::lab {
namespace {

using paddlestile::testing::Ms;

LedgerRules Rules(Idempotency effect, DeduplicationScope group = DeduplicationScope::kAll) {
  LedgerRules rules;
  rules.classes.push_back({.idempotency = effect,
                           .deduplication_scope = group,
                           .deduplication_window = Ms(1000),
                           .latency_objective = Ms(100),
                           .deadline = Ms(1000),
                           .priority_weight = 2,
                           .late_value_fraction = 0.5});
  return rules;
}

struct Account : Ledger {
  explicit Account(const LedgerRules& rules) : Ledger(rules) {}
  size_t Begin(Time now) {
    const size_t n = Try(now, Ask(now, {.key = 7, .answer_bytes = 60}), 0, now + Ms(1000));
    Taken(n);
    return n;
  }
  uint64_t Count(Rule rule) const { return counts().breaches[static_cast<size_t>(rule)]; }
};

TEST(Ledger, AnAnswerCountsByItsTimeAndOnlyIfAHostMadeIt) {
  Account a(Rules(Idempotency::kSafe));
  for (const int took : {90, 300}) {
    const size_t n = a.Begin(Ms(0));
    const uint64_t receipt = a.Received(Ms(1), n, 0, 0, 0, Ms(1));
    a.Done(Ms(5), receipt, true);
    a.Answered(Ms(took), n, 200, MakeAnswerBody(a.IdOf(n), receipt, 60));
  }
  EXPECT_EQ(a.counts().served, 2u);
  EXPECT_EQ(a.counts().late, 1u);
  EXPECT_DOUBLE_EQ(a.counts().worth_served, 2 + 1);
  const size_t n = a.Begin(Ms(0));
  const uint64_t receipt = a.Received(Ms(1), n, 0, 0, 0, Ms(1));
  a.Answered(Ms(50), n, 200, MakeAnswerBody(a.IdOf(n), receipt, 60).substr(0, 59));
  EXPECT_EQ(a.Count(Rule::kNotItsAnswer), 1u);
}

TEST(Ledger, ARequestWithoutAnAnswerIsLostOnceItsTimeIsUp) {
  Account a(Rules(Idempotency::kSafe));
  a.Begin(Ms(0));
  a.Advance(Ms(1090), Ms(0));
  EXPECT_EQ(a.Count(Rule::kLost), 0u);
  a.Advance(Ms(1150), Ms(200));  // the lab itself was late
  EXPECT_EQ(a.Count(Rule::kLost), 0u);
  a.Advance(Ms(1150), Ms(0));
  EXPECT_EQ(a.Count(Rule::kLost), 1u);
}

// It was judged only at the deadline of the longer one that was handed before it.
TEST(Ledger, ARequestIsLostInItsOwnTimeBehindOneThatHasMore) {
  Account a(Rules(Idempotency::kSafe));
  a.Taken(a.Try(Ms(0), a.Ask(Ms(0), {}), 0, Ms(6000)));
  a.Begin(Ms(0));
  a.Advance(Ms(1150), Ms(0));
  EXPECT_EQ(a.Count(Rule::kLost), 1u);
}

// Only while the breach is told by itself: the look at the processes' descriptors takes time.
TEST(Ledger, ALostRequestNamesWhereItsConnectionIs) {
  constexpr int kRequests = 30;
  Account a(Rules(Idempotency::kSafe));
  int looks = 0;
  a.set_describe_connection([&](size_t) {
    ++looks;
    return std::string("in the accept queue");
  });
  for (int i = 0; i < kRequests; ++i) {
    a.Begin(Ms(0));
  }
  a.Advance(Ms(1150), Ms(0));
  EXPECT_EQ(a.Count(Rule::kLost), static_cast<uint64_t>(kRequests));
  EXPECT_EQ(static_cast<size_t>(looks), a.breaches().size());
  EXPECT_TRUE(a.breaches().front().what.ends_with(", connection in the accept queue"));
}

// A stop of its process makes an answer late, and never excuses that none comes.
TEST(Ledger, ADelayedAnswerIsExcusedAndALostOneIsNot) {
  Account a(Rules(Idempotency::kSafe));
  a.set_delay_of([](size_t) { return Ledger::Delay{Ms(700), Excuse::kProcessStopped}; });
  const size_t late = a.Begin(Ms(0));
  a.Begin(Ms(0));
  a.Advance(Ms(1790), Ms(0));
  EXPECT_EQ(a.Count(Rule::kLost), 0u);
  a.Answered(Ms(1795), late, 503, "");
  EXPECT_EQ(a.counts().excused[static_cast<size_t>(Excuse::kProcessStopped)], 1u);
  a.Advance(Ms(1850), Ms(0));
  EXPECT_EQ(a.Count(Rule::kLost), 1u);
  EXPECT_EQ(a.counts().excused[static_cast<size_t>(Excuse::kProcessStopped)], 1u);
}

TEST(Ledger, AnAnswerInItsTimeNeedsNoExcuse) {
  Account a(Rules(Idempotency::kSafe));
  a.set_delay_of([](size_t) { return Ledger::Delay{Ms(700), Excuse::kQueued}; });
  a.Answered(Ms(900), a.Begin(Ms(0)), 503, "");
  EXPECT_EQ(a.counts().excused[static_cast<size_t>(Excuse::kQueued)], 0u);
}

TEST(Ledger, ARefusalOfAGatewayThatIsUpCounts) {
  Account a(Rules(Idempotency::kSafe));
  const size_t down = a.Try(Ms(0), a.Ask(Ms(0), {}), 0, Ms(1000));
  a.Excused(down, Excuse::kGatewayDown);
  EXPECT_EQ(a.Count(Rule::kLost), 0u);
  a.Refused(Ms(0), a.Try(Ms(0), a.Ask(Ms(0), {}), 0, Ms(1000)), "refused");
  EXPECT_EQ(a.Count(Rule::kLost), 1u);
}

TEST(Ledger, AKeyGoesOutAgainWithinItsWindowAndGroupOnly) {
  for (const int second : {900, 1100}) {
    Account a(Rules(Idempotency::kKeyed));
    const size_t n = a.Begin(Ms(0));
    a.Done(Ms(1), a.Received(Ms(0), n, 0, 0, 0, Ms(0)), true);
    a.Received(Ms(second), n, 1, 1, 0, Ms(second));
    EXPECT_EQ(a.Count(Rule::kTwice), second > 1000 ? 1u : 0u);
  }
  for (const int zone : {0, 1}) {
    Account a(Rules(Idempotency::kKeyed, DeduplicationScope::kZone));
    const size_t n = a.Begin(Ms(0));
    a.Done(Ms(1), a.Received(Ms(0), n, 0, 0, 0, Ms(0)), true);
    a.Received(Ms(10), n, 1, zone, 0, Ms(10));
    EXPECT_EQ(a.Count(Rule::kTwice), zone == 1 ? 1u : 0u);
  }
}

TEST(Ledger, WhatWasTurnedAwayMayGoOutAgain) {
  Account a(Rules(Idempotency::kUnsafe));
  const size_t n = a.Begin(Ms(0));
  const uint64_t first = a.Received(Ms(0), n, 0, 0, 0, Ms(0));
  a.TurnedAway(first);
  a.Done(Ms(1), first, true);
  a.Done(Ms(11), a.Received(Ms(10), n, 1, 0, 0, Ms(10)), true);
  EXPECT_EQ(a.Count(Rule::kTwice), 0u);
  a.Received(Ms(20), n, 2, 0, 0, Ms(20));
  EXPECT_EQ(a.Count(Rule::kTwice), 1u);
}

TEST(Ledger, ACopyCountsOnlyWhereTheFirstWasStillOut) {
  enum {
    kGivenUp,
    kAnswered,
    kStays
  };
  for (const int end : {kGivenUp, kAnswered, kStays}) {
    Account a(Rules(Idempotency::kSafe));
    const size_t n = a.Begin(Ms(0));
    const uint64_t first = a.Received(Ms(0), n, 0, 0, 0, Ms(0));
    a.Received(Ms(10), n, 1, 0, 0, Ms(10));
    // Given up: its end came a moment after the second, on another connection.
    if (end != kStays) {
      a.Done(Ms(14), first, end == kAnswered);
    }
    a.Advance(Ms(70), Ms(0));
    EXPECT_EQ(a.Count(Rule::kTwice), end == kGivenUp ? 0u : 1u);
  }
}

TEST(Ledger, ASendCountsByItsFirstByteAfterTheGrace) {
  Account a(Rules(Idempotency::kSafe));
  a.Told(Ms(0), 0, 4);
  a.Told(Ms(500), 0, 4);  // told again: the first time counts
  a.Received(Ms(1200), a.Begin(Ms(1000)), 4, 0, 0, Ms(1040));
  EXPECT_EQ(a.Count(Rule::kDrain), 0u);
  a.Received(Ms(1200), a.Begin(Ms(1000)), 4, 0, 0, Ms(1060));
  EXPECT_EQ(a.Count(Rule::kDrain), 1u);
  a.Forgets(0);  // it has started anew and was not told yet
  a.Received(Ms(1200), a.Begin(Ms(1000)), 4, 0, 0, Ms(1060));
  EXPECT_EQ(a.Count(Rule::kDrain), 1u);
}

}  // namespace
}  // namespace paddlestile::lab
