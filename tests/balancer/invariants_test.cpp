// Seeded random but legal event sequences, with the four rules checked from outside the module:
// only what went in and came out counts. Outcomes are drawn, no server is modelled.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "balancer/load_balancer.h"
#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::MakeSettings;
using testing::Ms;

struct Sent {
  std::string endpoint;
  Time at{0};
  bool out = true;
  bool may_have_run = true;
  bool called_off = false;
};

struct Known {
  size_t cls = 0;
  Time deadline{0};
  bool answered = false;  // by this gateway or known to it
  std::vector<Sent> sent;
};

class World {
 public:
  World(Settings settings, uint64_t seed)
      : s_(std::move(settings)), rng_(seed), brain_(s_, seed + 1) {}

  void Run(int steps) {
    EndpointUpdate all{EndpointUpdateKind::kCached, {}};
    for (int i = 0; i < 8; ++i) {
      EndpointInfo info;
      info.id = "e" + std::to_string(i);
      info.zone = i % 2;
      info.cell = i % 3;
      info_[info.id] = info;
      all.endpoints.push_back(info);
    }
    Give(all);
    for (int i = 0; i < steps; ++i)
      Step();
    for (int i = 0; i < 4000; ++i) {  // until all is answered
      now_ += Ms(2);
      Due();
    }
    for (const auto& [id, r] : requests_)
      EXPECT_TRUE(r.answered) << id << " was lost";
  }

  std::vector<std::string> trace;

 private:
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  void Step() {
    now_ += Ms(Draw() * 8);
    Due();
    const double what = Draw();
    if (what < 0.6) {
      const std::string id = "r" + std::to_string(next_++);
      Known& r = requests_[id];
      RequestArrived submit;
      submit.id = id;
      r.cls = submit.request_class =
          static_cast<size_t>(Draw() * static_cast<double>(s_.classes.size()));
      r.deadline = submit.deadline = now_ + Ms(10 + Draw() * 900);
      Give(submit);
    } else if (what < 0.63) {
      EndpointInfo& info = info_["e" + std::to_string(static_cast<int>(Draw() * 8))];
      if (info.state == EndpointState::kUp) {
        info.state = Draw() < 0.5 ? EndpointState::kDraining : EndpointState::kRemoved;
        told_[info.id] = now_;
      } else {
        info.state = EndpointState::kUp;
        info.started_at = now_;
        told_.erase(info.id);
      }
      Give(EndpointUpdate{EndpointUpdateKind::kDelta, {info}});
    } else if (what < 0.65 && !requests_.empty()) {
      auto at = requests_.begin();
      std::advance(at, static_cast<long>(Draw() * static_cast<double>(requests_.size())));
      if (!at->second.answered) {
        at->second.answered = true;
        Give(ClientDisconnected{at->first});
      }
    }
  }

  // What comes back for an attempt: drawn when it is sent.
  void Due() {
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      const Event event = queue_.begin()->second;
      queue_.erase(queue_.begin());
      Event give = event;
      if (auto* settled = std::get_if<AttemptFinished>(&give)) {
        Known& r = requests_[settled->id];
        Sent& sent = r.sent[settled->attempt];
        if (!sent.out)
          continue;
        sent.out = false;
        if (sent.called_off)
          settled->outcome = Outcome::kCancelled;
        settled->elapsed = now_ - sent.at;
        if (now_ >= r.deadline)
          settled->outcome = Outcome::kTimeout;
        sent.may_have_run = settled->outcome != Outcome::kRejected &&
                            settled->outcome != Outcome::kConnectFailed &&
                            settled->outcome != Outcome::kNotSent;
        if (settled->outcome == Outcome::kOk)
          r.answered = true;
        settled->request_finished = r.answered;
      }
      Give(give);
    }
    for (const auto& [id, r] : requests_) {
      EXPECT_FALSE(!r.answered && now_ > r.deadline + s_.rules.response_slack) << id;
    }
  }

  void Give(const Event& event) {
    std::vector<Action> actions;
    brain_.Handle(now_, event, actions);
    for (const Action& action : actions)
      Take(action);
  }

  void Take(const Action& action) {
    if (const auto* send = std::get_if<StartAttempt>(&action)) {
      trace.push_back(send->id + ">" + send->endpoint);
      TakeSend(*send);
    } else if (const auto* refuse = std::get_if<RejectRequest>(&action)) {
      trace.push_back(refuse->id + " refused");
      Known& r = requests_.at(refuse->id);
      EXPECT_FALSE(r.answered) << "two answers";
      r.answered = true;
      const RequestClass& c = s_.classes[r.cls];
      const bool free = c.idempotency == Idempotency::kSafe ||
                        (c.idempotency == Idempotency::kKeyed &&
                         c.deduplication_scope == DeduplicationScope::kAll);
      for (const Sent& a : r.sent)
        EXPECT_TRUE(free || !a.may_have_run) << "refused what may run";
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      trace.push_back(fail->id + " failed");
      EXPECT_FALSE(requests_.at(fail->id).answered) << "two answers";
      requests_.at(fail->id).answered = true;
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      Known& r = requests_.at(cancel->id);
      ASSERT_LT(cancel->attempt, r.sent.size());
      r.sent[cancel->attempt].called_off = true;
      queue_.emplace(now_ + Ms(1),
                     AttemptFinished{cancel->id, cancel->attempt, r.sent[cancel->attempt].endpoint,
                                     Outcome::kCancelled, Ms(0), false, std::nullopt});
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      queue_.emplace(now_ + timer->after + Ms(Draw() * 2), TimerFired{timer->token});
    } else if (const auto* probe = std::get_if<StartProbe>(&action)) {
      queue_.emplace(now_ + Ms(1 + Draw() * 5),
                     ProbeFinished{probe->endpoint, Draw() < 0.9 ? Outcome::kOk : Outcome::kTimeout,
                                   Ms(2), LoadReport{Draw() * 6, 5 + Draw() * 40}});
    }
  }

  void TakeSend(const StartAttempt& send) {
    Known& r = requests_.at(send.id);
    const RequestClass& c = s_.classes[r.cls];
    EXPECT_FALSE(r.answered) << "sent for a request that is over";
    EXPECT_LT(r.sent.size(), static_cast<size_t>(s_.allowed.max_attempts));
    const auto told = told_.find(send.endpoint);
    EXPECT_TRUE(told == told_.end() || now_ <= told->second + s_.rules.drain_grace);
    const EndpointInfo& to = info_.at(send.endpoint);
    for (const Sent& a : r.sent) {
      EXPECT_TRUE(s_.allowed.parallel_attempts || !a.out) << "two attempts out";
      if (!a.may_have_run)
        continue;
      EXPECT_NE(c.idempotency, Idempotency::kUnsafe) << "an unsafe request sent twice";
      if (c.idempotency != Idempotency::kKeyed)
        continue;
      const EndpointInfo& was = info_.at(a.endpoint);
      EXPECT_TRUE(c.deduplication_scope != DeduplicationScope::kZone || was.zone == to.zone);
      EXPECT_TRUE(c.deduplication_scope != DeduplicationScope::kCell || was.cell == to.cell);
      EXPECT_LT(now_, a.at + c.deduplication_window);
    }
    r.sent.push_back({send.endpoint, now_});
    static constexpr Outcome kDrawn[] = {
        Outcome::kOk,    Outcome::kOk,     Outcome::kOk,       Outcome::kOk,
        Outcome::kOk,    Outcome::kError,  Outcome::kRejected, Outcome::kConnectFailed,
        Outcome::kReset, Outcome::kTimeout};
    const Outcome outcome = kDrawn[static_cast<size_t>(Draw() * 10)];
    Time at = now_ + Ms(1 + Draw() * (Draw() < 0.1 ? 900 : 60));
    if (outcome == Outcome::kTimeout || at > r.deadline)
      at = std::max(now_, r.deadline);
    queue_.emplace(at, AttemptFinished{send.id, r.sent.size() - 1, send.endpoint, outcome, Ms(0),
                                       false, std::nullopt});
  }

  Settings s_;
  std::mt19937_64 rng_;
  LoadBalancer brain_;
  Time now_ = Ms(5'000'000);
  std::multimap<Time, Event> queue_;
  std::map<std::string, Known> requests_;
  std::map<std::string, EndpointInfo> info_;
  std::map<std::string, Time> told_;
  int next_ = 0;
};

// The pick against a slow reference, on generated pools: the cut by sorting, then every entry that
// no other allowed entry beats. One in three holds far more than any limit there, so not allowed.
TEST(HotCold, AgreesWithASlowReferenceOnGeneratedPools) {
  std::mt19937_64 rng(11);
  const auto draw = [&](int n) {
    return static_cast<int>(rng() % static_cast<uint64_t>(n));
  };
  int cold = 0, hot = 0;
  for (int round = 0; round < 400; ++round) {
    testing::LoadBalancerHarness g(MakeSettings(), static_cast<uint64_t>(round));
    g.Endpoints(30);
    struct Entry {
      std::string id;
      double rif;
      int latency;
    };
    std::vector<Entry> pool, allowed;
    for (int i = 0, n = 2 + draw(14); i < n; ++i) {
      const double rif = i > 1 && i % 3 == 0 ? 30 : draw(8) * 0.2;
      pool.push_back({"e" + std::to_string(i), rif, 5 + draw(6)});
      g.Probed(pool.back().id, pool.back().rif, pool.back().latency);
    }
    std::vector<double> rifs;
    for (const Entry& e : pool) {
      rifs.push_back(e.rif);
      if (e.rif < 2)
        allowed.push_back(e);
    }
    if (allowed.size() < 2)
      continue;
    std::sort(rifs.begin(), rifs.end());
    const double cut = rifs[(rifs.size() - 1) / 4];
    std::set<std::string> best;
    for (const Entry& e : allowed) {
      bool beaten = false;
      for (const Entry& o : allowed) {
        const bool e_cold = e.rif <= cut, o_cold = o.rif <= cut;
        beaten = beaten || (o_cold && !e_cold) || (o_cold && e_cold && o.latency < e.latency) ||
                 (!o_cold && !e_cold && o.rif < e.rif);
      }
      if (!beaten)
        best.insert(e.id);
    }
    g.Ask("r", 4);
    ASSERT_EQ(g.sends.size(), 1U);
    EXPECT_TRUE(best.contains(g.sends[0].endpoint)) << "round " << round;
    ++(g.brain.statistics().last_selection == SelectionMethod::kCold ? cold : hot);
  }
  EXPECT_GT(cold, 200);
}

class Rules : public ::testing::TestWithParam<uint64_t> {};

TEST_P(Rules, HoldOverRandomLegalEvents) {
  Settings s = MakeSettings();
  s.allowed.parallel_attempts = GetParam() % 2 == 0;
  s.allowed.cancel = GetParam() % 3 != 0;
  if (GetParam() >= 6)
    s.allowed.max_attempts = 2;
  World world(s, GetParam());
  world.Run(3000);
  EXPECT_GT(world.trace.size(), 500U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Rules, ::testing::Range<uint64_t>(0, 12));

TEST(Determinism, TheSameEventsGiveTheSameActionsWhateverRunsBeside) {
  World alone(MakeSettings(), 3);
  alone.Run(800);
  World other(MakeSettings(), 4);
  World again(MakeSettings(), 3);
  other.Run(400);
  again.Run(800);
  EXPECT_EQ(alone.trace, again.trace);
  EXPECT_NE(alone.trace, other.trace);
}

}  // namespace
}  // namespace paddlestile
