// Invariants over random but legal events, by seed, checked from outside the module: only events
// and actions count. Outcomes are drawn, no server is modelled.
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

struct SentAttempt {
  std::string endpoint;
  Time at{0};
  bool in_flight = true;
  bool may_have_run = true;
  bool cancelled = false;
};

struct ClientRequest {
  size_t request_class = 0;
  Time deadline{0};
  bool answered = false;  // by this gateway or known to it
  std::vector<SentAttempt> sent;
};

class RandomWorld {
 public:
  RandomWorld(Settings settings, uint64_t seed)
      : settings_(std::move(settings)), rng_(seed), balancer_(settings_, seed + 1) {}

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
    for (int i = 0; i < steps; ++i) {
      Step();
    }
    for (int i = 0; i < 4000; ++i) {  // until all is answered
      now_ += Ms(2);
      ReportDue();
    }
    for (const auto& [id, request] : requests_) {
      EXPECT_TRUE(request.answered) << id << " was lost";
    }
  }

  std::vector<std::string> trace;

 private:
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  void Step() {
    now_ += Ms(Draw() * 8);
    ReportDue();
    const double what = Draw();
    if (what < 0.6) {
      const std::string id = "r" + std::to_string(next_++);
      ClientRequest& request = requests_[id];
      RequestArrived arrival;
      arrival.id = id;
      request.request_class = arrival.request_class =
          static_cast<size_t>(Draw() * static_cast<double>(settings_.classes.size()));
      request.deadline = arrival.deadline = now_ + Ms(10 + Draw() * 900);
      Give(arrival);
    } else if (what < 0.63) {
      EndpointInfo& info = info_["e" + std::to_string(static_cast<int>(Draw() * 8))];
      if (info.state == EndpointState::kUp) {
        info.state = Draw() < 0.5 ? EndpointState::kDraining : EndpointState::kRemoved;
        left_at_[info.id] = now_;
      } else {
        info.state = EndpointState::kUp;
        info.started_at = now_;
        left_at_.erase(info.id);
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

  // Reports what is due; the outcome of an attempt was drawn when it started.
  void ReportDue() {
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      const Event event = queue_.begin()->second;
      queue_.erase(queue_.begin());
      Event give = event;
      if (auto* finished = std::get_if<AttemptFinished>(&give)) {
        ClientRequest& request = requests_[finished->id];
        SentAttempt& sent = request.sent[finished->attempt];
        if (!sent.in_flight) {
          continue;
        }
        sent.in_flight = false;
        if (sent.cancelled) {
          finished->outcome = Outcome::kCancelled;
        }
        finished->elapsed = now_ - sent.at;
        if (now_ >= request.deadline) {
          finished->outcome = Outcome::kTimeout;
        }
        sent.may_have_run = finished->outcome != Outcome::kRejected &&
                            finished->outcome != Outcome::kConnectFailed &&
                            finished->outcome != Outcome::kNotSent;
        if (finished->outcome == Outcome::kOk) {
          request.answered = true;
        }
        finished->request_finished = request.answered;
      }
      Give(give);
    }
    for (const auto& [id, request] : requests_) {
      EXPECT_FALSE(!request.answered && now_ > request.deadline + settings_.rules.response_slack)
          << id;
    }
  }

  void Give(const Event& event) {
    std::vector<Action> actions;
    balancer_.Handle(now_, event, actions);
    for (const Action& action : actions) {
      Check(action);
    }
  }

  void Check(const Action& action) {
    if (const auto* send = std::get_if<StartAttempt>(&action)) {
      trace.push_back(send->id + ">" + send->endpoint);
      CheckAttempt(*send);
    } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
      trace.push_back(reject->id + " rejected");
      ClientRequest& request = requests_.at(reject->id);
      EXPECT_FALSE(request.answered) << "two answers";
      request.answered = true;
      const RequestClass& request_class = settings_.classes[request.request_class];
      const bool free = request_class.idempotency == Idempotency::kSafe ||
                        (request_class.idempotency == Idempotency::kKeyed &&
                         request_class.deduplication_scope == DeduplicationScope::kAll);
      for (const SentAttempt& a : request.sent) {
        EXPECT_TRUE(free || !a.may_have_run) << "rejected what may run";
      }
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      trace.push_back(fail->id + " failed");
      EXPECT_FALSE(requests_.at(fail->id).answered) << "two answers";
      requests_.at(fail->id).answered = true;
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      ClientRequest& request = requests_.at(cancel->id);
      ASSERT_LT(cancel->attempt, request.sent.size());
      request.sent[cancel->attempt].cancelled = true;
      queue_.emplace(
          now_ + Ms(1),
          AttemptFinished{cancel->id, cancel->attempt, request.sent[cancel->attempt].endpoint,
                          Outcome::kCancelled, Ms(0), false, std::nullopt});
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      queue_.emplace(now_ + timer->after + Ms(Draw() * 2), TimerFired{timer->token});
    } else if (const auto* probe = std::get_if<StartProbe>(&action)) {
      queue_.emplace(now_ + Ms(1 + Draw() * 5),
                     ProbeFinished{probe->endpoint, Draw() < 0.9 ? Outcome::kOk : Outcome::kTimeout,
                                   Ms(2), LoadReport{Draw() * 6, 5 + Draw() * 40}});
    }
  }

  void CheckAttempt(const StartAttempt& send) {
    ClientRequest& request = requests_.at(send.id);
    const RequestClass& request_class = settings_.classes[request.request_class];
    EXPECT_FALSE(request.answered) << "sent for a request that is over";
    EXPECT_LT(request.sent.size(), static_cast<size_t>(settings_.allowed.max_attempts));
    const auto left_at = left_at_.find(send.endpoint);
    EXPECT_TRUE(left_at == left_at_.end() || now_ <= left_at->second + settings_.rules.drain_grace);
    const EndpointInfo& to = info_.at(send.endpoint);
    for (const SentAttempt& a : request.sent) {
      EXPECT_TRUE(settings_.allowed.parallel_attempts || !a.in_flight) << "two attempts out";
      if (!a.may_have_run) {
        continue;
      }
      EXPECT_NE(request_class.idempotency, Idempotency::kUnsafe) << "an unsafe request sent twice";
      if (request_class.idempotency != Idempotency::kKeyed) {
        continue;
      }
      const EndpointInfo& was = info_.at(a.endpoint);
      EXPECT_TRUE(request_class.deduplication_scope != DeduplicationScope::kZone ||
                  was.zone == to.zone);
      EXPECT_TRUE(request_class.deduplication_scope != DeduplicationScope::kCell ||
                  was.cell == to.cell);
      EXPECT_LT(now_, a.at + request_class.deduplication_window);
    }
    request.sent.push_back({send.endpoint, now_});
    static constexpr Outcome kDrawn[] = {
        Outcome::kOk,    Outcome::kOk,     Outcome::kOk,       Outcome::kOk,
        Outcome::kOk,    Outcome::kError,  Outcome::kRejected, Outcome::kConnectFailed,
        Outcome::kReset, Outcome::kTimeout};
    const Outcome outcome = kDrawn[static_cast<size_t>(Draw() * 10)];
    Time at = now_ + Ms(1 + Draw() * (Draw() < 0.1 ? 900 : 60));
    if (outcome == Outcome::kTimeout || at > request.deadline) {
      at = std::max(now_, request.deadline);
    }
    queue_.emplace(at, AttemptFinished{send.id, request.sent.size() - 1, send.endpoint, outcome,
                                       Ms(0), false, std::nullopt});
  }

  Settings settings_;
  std::mt19937_64 rng_;
  LoadBalancer balancer_;
  Time now_ = Ms(5'000'000);
  std::multimap<Time, Event> queue_;
  std::map<std::string, ClientRequest> requests_;
  std::map<std::string, EndpointInfo> info_;
  std::map<std::string, Time> left_at_;
  int next_ = 0;
};

// The selection against a slow reference on generated pools: the cut by sorting, then every entry
// that no other eligible entry beats. One in three is far above any limit and so not eligible.
TEST(HotColdOrderTest, AgreesWithASlowReferenceOnGeneratedPools) {
  std::mt19937_64 rng(11);
  const auto draw = [&](int n) {
    return static_cast<int>(rng() % static_cast<uint64_t>(n));
  };
  int cold = 0, hot = 0;
  for (int round = 0; round < 400; ++round) {
    testing::LoadBalancerHarness gateway(MakeSettings(), static_cast<uint64_t>(round));
    gateway.ListEndpoints(30);
    struct Entry {
      std::string id;
      double rif;
      int latency;
    };
    std::vector<Entry> pool, allowed;
    for (int i = 0, n = 2 + draw(14); i < n; ++i) {
      const double rif = i > 1 && i % 3 == 0 ? 30 : draw(8) * 0.2;
      pool.push_back({"e" + std::to_string(i), rif, 5 + draw(6)});
      gateway.FinishProbe(pool.back().id, pool.back().rif, pool.back().latency);
    }
    std::vector<double> rifs;
    for (const Entry& e : pool) {
      rifs.push_back(e.rif);
      if (e.rif < 2) {
        allowed.push_back(e);
      }
    }
    if (allowed.size() < 2) {
      continue;
    }
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
      if (!beaten) {
        best.insert(e.id);
      }
    }
    gateway.Arrive("r", 4);
    ASSERT_EQ(gateway.attempts.size(), 1U);
    EXPECT_TRUE(best.contains(gateway.attempts[0].endpoint)) << "round " << round;
    ++(gateway.balancer.statistics().last_selection == SelectionMethod::kCold ? cold : hot);
  }
  EXPECT_GT(cold, 200);
}

class RandomEventsTest : public ::testing::TestWithParam<uint64_t> {};

TEST_P(RandomEventsTest, InvariantsHoldOverRandomLegalEvents) {
  Settings s = MakeSettings();
  s.allowed.parallel_attempts = GetParam() % 2 == 0;
  s.allowed.cancel = GetParam() % 3 != 0;
  if (GetParam() >= 6) {
    s.allowed.max_attempts = 2;
  }
  RandomWorld world(s, GetParam());
  world.Run(3000);
  EXPECT_GT(world.trace.size(), 500U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEventsTest, ::testing::Range<uint64_t>(0, 12));

TEST(DeterminismTest, TheSameEventsGiveTheSameActionsWhateverRunsBeside) {
  RandomWorld alone(MakeSettings(), 3);
  alone.Run(800);
  RandomWorld other(MakeSettings(), 4);
  RandomWorld again(MakeSettings(), 3);
  other.Run(400);
  again.Run(800);
  EXPECT_EQ(alone.trace, again.trace);
  EXPECT_NE(alone.trace, other.trace);
}

}  // namespace
}  // namespace paddlestile
