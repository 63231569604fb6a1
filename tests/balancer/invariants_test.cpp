// Tests of invariants over random but legal events, by seed. They check only the actions that
// follow the events. Outcomes of attempts are drawn at random; servers are not modelled.
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
  Time sent_at{0};
  bool in_flight = true;
  bool may_have_run = true;
  bool cancelled = false;
};

struct ClientRequest {
  size_t request_class = 0;
  Time deadline{0};
  bool answered = false;  // or the client has disconnected
  std::vector<SentAttempt> attempts;
};

class RandomEventDriver {
 public:
  RandomEventDriver(Settings settings, uint64_t seed)
      : settings_(std::move(settings)), rng_(seed), balancer_(settings_, seed + 1) {}

  void Run(int steps) {
    EndpointUpdate initial_list{EndpointUpdateKind::kCached, {}};
    for (int i = 0; i < 8; ++i) {
      EndpointInfo info;
      info.id = "e" + std::to_string(i);
      info.zone = i % 2;
      info.cell = i % 3;
      endpoint_infos_[info.id] = info;
      initial_list.endpoints.push_back(info);
    }
    Deliver(initial_list);
    for (int i = 0; i < steps; ++i) {
      Step();
    }
    for (int i = 0; i < 4000; ++i) {  // until all requests are answered
      now_ += Ms(2);
      ReportDue();
    }
    for (const auto& [id, request] : requests_) {
      EXPECT_TRUE(request.answered) << id << " was never answered";
    }
  }

  std::vector<std::string> trace;

 private:
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  void Step() {
    now_ += Ms(Draw() * 8);
    ReportDue();
    const double choice = Draw();
    if (choice < 0.6) {
      const std::string id = "r" + std::to_string(next_request_++);
      ClientRequest& request = requests_[id];
      RequestArrived arrival;
      arrival.id = id;
      request.request_class = arrival.request_class =
          static_cast<size_t>(Draw() * static_cast<double>(settings_.classes.size()));
      request.deadline = arrival.deadline = now_ + Ms(10 + Draw() * 900);
      Deliver(arrival);
    } else if (choice < 0.63) {
      EndpointInfo& info = endpoint_infos_["e" + std::to_string(static_cast<int>(Draw() * 8))];
      if (info.state == EndpointState::kUp) {
        info.state = Draw() < 0.5 ? EndpointState::kDraining : EndpointState::kRemoved;
        not_up_since_[info.id] = now_;
      } else {
        info.state = EndpointState::kUp;
        info.started_at = now_;
        not_up_since_.erase(info.id);
      }
      Deliver(EndpointUpdate{EndpointUpdateKind::kDelta, {info}});
    } else if (choice < 0.65 && !requests_.empty()) {
      auto entry = requests_.begin();
      std::advance(entry, static_cast<long>(Draw() * static_cast<double>(requests_.size())));
      if (!entry->second.answered) {
        entry->second.answered = true;
        Deliver(ClientDisconnected{entry->first});
      }
    }
  }

  // Delivers the events that are due. The outcome of an attempt was drawn when it started.
  void ReportDue() {
    while (!pending_events_.empty() && pending_events_.begin()->first <= now_) {
      const Event event = pending_events_.begin()->second;
      pending_events_.erase(pending_events_.begin());
      Event delivered = event;
      if (auto* finished = std::get_if<AttemptFinished>(&delivered)) {
        ClientRequest& request = requests_[finished->id];
        SentAttempt& attempt = request.attempts[finished->attempt];
        if (!attempt.in_flight) {
          continue;
        }
        attempt.in_flight = false;
        if (attempt.cancelled) {
          finished->outcome = Outcome::kCancelled;
        }
        finished->elapsed = now_ - attempt.sent_at;
        if (now_ >= request.deadline) {
          finished->outcome = Outcome::kTimeout;
        }
        attempt.may_have_run = finished->outcome != Outcome::kRejected &&
                               finished->outcome != Outcome::kConnectFailed &&
                               finished->outcome != Outcome::kNotSent;
        if (finished->outcome == Outcome::kOk) {
          request.answered = true;
        }
        finished->request_finished = request.answered;
      }
      Deliver(delivered);
    }
    for (const auto& [id, request] : requests_) {
      EXPECT_FALSE(!request.answered && now_ > request.deadline + settings_.rules.response_slack)
          << id;
    }
  }

  void Deliver(const Event& event) {
    std::vector<Action> actions;
    balancer_.Handle(now_, event, actions);
    for (const Action& action : actions) {
      Check(action);
    }
  }

  void Check(const Action& action) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      trace.push_back(start->id + ">" + start->endpoint);
      CheckAttempt(*start);
    } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
      trace.push_back(reject->id + " rejected");
      ClientRequest& request = requests_.at(reject->id);
      EXPECT_FALSE(request.answered) << "request answered twice";
      request.answered = true;
      const RequestClass& request_class = settings_.classes[request.request_class];
      const bool repeat_is_harmless =
          request_class.idempotency == Idempotency::kSafe ||
          (request_class.idempotency == Idempotency::kKeyed &&
           request_class.deduplication_scope == DeduplicationScope::kAll);
      for (const SentAttempt& attempt : request.attempts) {
        EXPECT_TRUE(repeat_is_harmless || !attempt.may_have_run)
            << "request rejected although an attempt may have run";
      }
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      trace.push_back(fail->id + " failed");
      EXPECT_FALSE(requests_.at(fail->id).answered) << "request answered twice";
      requests_.at(fail->id).answered = true;
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      ClientRequest& request = requests_.at(cancel->id);
      ASSERT_LT(cancel->attempt, request.attempts.size());
      request.attempts[cancel->attempt].cancelled = true;
      pending_events_.emplace(
          now_ + Ms(1),
          AttemptFinished{cancel->id, cancel->attempt, request.attempts[cancel->attempt].endpoint,
                          Outcome::kCancelled, Ms(0), false, std::nullopt});
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      pending_events_.emplace(now_ + timer->after + Ms(Draw() * 2), TimerFired{timer->token});
    } else if (const auto* probe = std::get_if<StartProbe>(&action)) {
      pending_events_.emplace(
          now_ + Ms(1 + Draw() * 5),
          ProbeFinished{probe->endpoint, Draw() < 0.9 ? Outcome::kOk : Outcome::kTimeout, Ms(2),
                        LoadReport{Draw() * 6, 5 + Draw() * 40}});
    }
  }

  void CheckAttempt(const StartAttempt& start) {
    ClientRequest& request = requests_.at(start.id);
    const RequestClass& request_class = settings_.classes[request.request_class];
    EXPECT_FALSE(request.answered) << "attempt for a finished request";
    EXPECT_LT(request.attempts.size(), static_cast<size_t>(settings_.allowed.max_attempts));
    const auto not_up_since = not_up_since_.find(start.endpoint);
    EXPECT_TRUE(not_up_since == not_up_since_.end() ||
                now_ <= not_up_since->second + settings_.rules.drain_grace);
    const EndpointInfo& target = endpoint_infos_.at(start.endpoint);
    for (const SentAttempt& earlier : request.attempts) {
      EXPECT_TRUE(settings_.allowed.parallel_attempts || !earlier.in_flight)
          << "parallel attempts are not allowed";
      if (!earlier.may_have_run) {
        continue;
      }
      EXPECT_NE(request_class.idempotency, Idempotency::kUnsafe) << "unsafe request sent again";
      if (request_class.idempotency != Idempotency::kKeyed) {
        continue;
      }
      const EndpointInfo& earlier_target = endpoint_infos_.at(earlier.endpoint);
      EXPECT_TRUE(request_class.deduplication_scope != DeduplicationScope::kZone ||
                  earlier_target.zone == target.zone);
      EXPECT_TRUE(request_class.deduplication_scope != DeduplicationScope::kCell ||
                  earlier_target.cell == target.cell);
      EXPECT_LT(now_, earlier.sent_at + request_class.deduplication_window);
    }
    request.attempts.push_back({start.endpoint, now_});
    static constexpr Outcome kOutcomes[] = {
        Outcome::kOk,    Outcome::kOk,     Outcome::kOk,       Outcome::kOk,
        Outcome::kOk,    Outcome::kError,  Outcome::kRejected, Outcome::kConnectFailed,
        Outcome::kReset, Outcome::kTimeout};
    const Outcome outcome = kOutcomes[static_cast<size_t>(Draw() * 10)];
    Time ends_at = now_ + Ms(1 + Draw() * (Draw() < 0.1 ? 900 : 60));
    if (outcome == Outcome::kTimeout || ends_at > request.deadline) {
      ends_at = std::max(now_, request.deadline);
    }
    pending_events_.emplace(
        ends_at, AttemptFinished{start.id, request.attempts.size() - 1, start.endpoint, outcome,
                                 Ms(0), false, std::nullopt});
  }

  Settings settings_;
  std::mt19937_64 rng_;
  LoadBalancer balancer_;
  Time now_ = Ms(5'000'000);
  std::multimap<Time, Event> pending_events_;
  std::map<std::string, ClientRequest> requests_;
  std::map<std::string, EndpointInfo> endpoint_infos_;
  std::map<std::string, Time> not_up_since_;
  int next_request_ = 0;
};

// Compares the selection from generated pools with a simple reference implementation, which finds
// the cut by sorting and accepts every eligible entry that no other eligible entry beats. One entry
// in three has a load far above any concurrency limit and is therefore not eligible.
TEST(HotColdOrderTest, MatchesAReferenceImplementationOnGeneratedPools) {
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
      double in_flight;
      int latency;
    };
    std::vector<Entry> pool, eligible;
    for (int i = 0, n = 2 + draw(14); i < n; ++i) {
      const double in_flight = i > 1 && i % 3 == 0 ? 30 : draw(8) * 0.2;
      pool.push_back({"e" + std::to_string(i), in_flight, 5 + draw(6)});
      gateway.FinishProbe(pool.back().id, pool.back().in_flight, pool.back().latency);
    }
    std::vector<double> in_flight_values;
    for (const Entry& entry : pool) {
      in_flight_values.push_back(entry.in_flight);
      if (entry.in_flight < 2) {
        eligible.push_back(entry);
      }
    }
    if (eligible.size() < 2) {
      continue;
    }
    std::sort(in_flight_values.begin(), in_flight_values.end());
    const double cut = in_flight_values[(in_flight_values.size() - 1) / 4];
    std::set<std::string> best;
    for (const Entry& entry : eligible) {
      bool beaten = false;
      for (const Entry& other : eligible) {
        const bool entry_cold = entry.in_flight <= cut, other_cold = other.in_flight <= cut;
        beaten = beaten || (other_cold && !entry_cold) ||
                 (other_cold && entry_cold && other.latency < entry.latency) ||
                 (!other_cold && !entry_cold && other.in_flight < entry.in_flight);
      }
      if (!beaten) {
        best.insert(entry.id);
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
  Settings settings = MakeSettings();
  settings.allowed.parallel_attempts = GetParam() % 2 == 0;
  settings.allowed.cancel = GetParam() % 3 != 0;
  if (GetParam() >= 6) {
    settings.allowed.max_attempts = 2;
  }
  RandomEventDriver driver(settings, GetParam());
  driver.Run(3000);
  EXPECT_GT(driver.trace.size(), 500U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEventsTest, ::testing::Range<uint64_t>(0, 12));

TEST(DeterminismTest, TheSameEventsGiveTheSameActionsBesideOtherInstances) {
  RandomEventDriver first(MakeSettings(), 3);
  first.Run(800);
  RandomEventDriver other(MakeSettings(), 4);
  RandomEventDriver repeated(MakeSettings(), 3);
  other.Run(400);
  repeated.Run(800);
  EXPECT_EQ(first.trace, repeated.trace);
  EXPECT_NE(first.trace, other.trace);
}

}  // namespace
}  // namespace paddlestile
