// Key affinity, with a gateway beside every client process: which endpoint a key goes to, and how
// long a request waits for its probes.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile::testing {
namespace {

Settings MakeAffinitySettings() {
  Settings settings = MakeSettings();
  settings.instance_count = 900;
  settings.key_affinity = true;
  settings.costs.probe = 0.004;
  return settings;
}

class AffinityGateway : public LoadBalancerHarness {
 public:
  explicit AffinityGateway(const Settings& settings, uint64_t seed = 7)
      : LoadBalancerHarness(settings, seed) {
    ListEndpoints(20);
  }

  std::vector<Action> ArriveWithKey(const std::string& id, const std::string& key,
                                    size_t request_class = 0, Duration time_left = Ms(1000)) {
    RequestArrived arrival;
    arrival.id = id;
    arrival.request_class = request_class;
    arrival.deadline = now + time_left;
    arrival.key = key;
    arrival.expected_work = Ms(50);
    return Handle(arrival);
  }

  // Finishes all probes in flight with the load given for each endpoint, once.
  void AnswerProbes(const std::map<std::string, double>& in_flight = {},
                    double other_in_flight = 1) {
    for (; answered_actions < log.size(); ++answered_actions) {
      const auto* const probe = std::get_if<StartProbe>(&log[answered_actions]);
      if (probe == nullptr) {
        continue;
      }
      const std::string id = probe->endpoint;
      FinishProbe(id, in_flight.contains(id) ? in_flight.at(id) : other_in_flight, 20);
    }
  }

  // The endpoint that a request of the key goes to; it is served at once.
  std::string EndpointOfKey(const std::string& key,
                            const std::map<std::string, double>& in_flight = {}) {
    const std::string id = "k" + std::to_string(request_count++);
    const size_t before = attempts.size();
    ArriveWithKey(id, key);
    AnswerProbes(in_flight);
    Advance(Ms(200));
    if (attempts.size() == before) {
      return "";
    }
    FinishAttempt(id, 0, attempts.back().endpoint, Outcome::kOk, Ms(20), true);
    return attempts.back().endpoint;
  }

  // Whether the request was rejected or failed.
  [[nodiscard]] bool IsUnserved(const std::string& id) const {
    return std::ranges::any_of(log, [&](const Action& a) {
      const auto* const refuse = std::get_if<RejectRequest>(&a);
      const auto* const fail = std::get_if<FailRequest>(&a);
      return (refuse != nullptr && refuse->id == id) || (fail != nullptr && fail->id == id);
    });
  }

  size_t answered_actions = 0;
  int request_count = 0;
};

// Else a thousand gateways scatter each key over all endpoints and none keeps it warm.
TEST(AffinityTest, GatewaysWithoutSharedStateAgreeOnAKeysEndpoint) {
  AffinityGateway one(MakeAffinitySettings(), 1), other(MakeAffinitySettings(), 2);
  std::set<std::string> endpoints;
  for (int k = 0; k < 40; ++k) {
    const std::string key = "key" + std::to_string(k);
    const std::string first = one.EndpointOfKey(key);
    EXPECT_NE(first, "");
    EXPECT_EQ(other.EndpointOfKey(key), first) << key;
    endpoints.insert(first);
  }
  EXPECT_GT(endpoints.size(), 12u);
}

TEST(AffinityTest, WithoutAffinityNoRequestWaitsForProbes) {
  Settings settings = MakeAffinitySettings();
  settings.key_affinity = false;
  AffinityGateway gateway(settings);
  gateway.ArriveWithKey("r", "key");
  EXPECT_EQ(gateway.attempts.size(), 1u);
}

// At the start of a burst requests must not go to endpoints whose last report is seconds old.
TEST(AffinityTest, ACrowdedEndpointIsPassedOverAndACrowdedFleetRejectsAtOnce) {
  AffinityGateway gateway(MakeAffinitySettings());
  for (int k = 0; k < 60; ++k) {
    gateway.EndpointOfKey("other" + std::to_string(k));  // all were idle then
  }
  const std::string first = gateway.EndpointOfKey("key");
  gateway.Advance(Ms(500));
  const std::string second = gateway.EndpointOfKey("key", {{first, 50}});
  EXPECT_NE(second, "");
  EXPECT_NE(second, first);
  gateway.Advance(Ms(500));
  const size_t before = gateway.attempts.size();
  gateway.ArriveWithKey("full", "key");
  for (int i = 0; i < 20; ++i) {
    gateway.AnswerProbes({}, 50), gateway.Advance(Ms(5));
  }
  EXPECT_EQ(gateway.attempts.size(), before);
  EXPECT_TRUE(
      gateway.IsUnserved("full"));  // within a tenth of a second of a deadline a second away
}

// A retry must not wait for its probes past its deadline.
TEST(AffinityTest, TheWaitForProbesEndsBeforeTheDeadline) {
  for (const double left : {1.0, 15.0, 25.0, 45.0, 70.0}) {
    AffinityGateway gateway(MakeAffinitySettings());
    gateway.EndpointOfKey("key");
    gateway.Advance(Ms(500));
    gateway.ArriveWithKey("r", "key", 0, Ms(100));
    gateway.AnswerProbes();
    ASSERT_EQ(gateway.attempts.back().id, "r");
    gateway.Advance(Ms(100 - left));
    gateway.FinishAttempt("r", 0, gateway.attempts.back().endpoint, Outcome::kRejected, Ms(1));
    gateway.Advance(Ms(left));  // no probe answers any more
    EXPECT_TRUE(gateway.IsUnserved("r") ||
                gateway.attempts.back().endpoint != gateway.attempts.front().endpoint)
        << left;
    AffinityGateway first(MakeAffinitySettings());
    first.ArriveWithKey("r", "key", 0, Ms(left));
    first.Advance(Ms(left));
    EXPECT_TRUE(first.IsUnserved("r") || !first.attempts.empty()) << left;
  }
}

// A timer every ten milliseconds would be costly at a thousand idle gateways.
TEST(AffinityTest, AGatewayWithoutQueuedRequestsSetsNoTimer) {
  AffinityGateway gateway(MakeAffinitySettings());
  gateway.EndpointOfKey("key");
  gateway.Advance(Ms(1000));
  const size_t before = gateway.log.size();
  gateway.Advance(Ms(60'000));
  EXPECT_EQ(gateway.log.size(), before);
}

// Where an endpoint is used once in many seconds, two errors in a row are learned of too late.
TEST(AffinityTest, OneErrorEjectsWhereOutcomesAreRare) {
  AffinityGateway gateway(MakeAffinitySettings());
  const std::string first = gateway.EndpointOfKey("key");
  gateway.Advance(Ms(20'000));
  gateway.ArriveWithKey("bad", "key");
  gateway.AnswerProbes();
  ASSERT_EQ(gateway.attempts.back().endpoint, first);
  gateway.FinishAttempt("bad", 0, first, Outcome::kError, Ms(2), true);
  EXPECT_NE(gateway.EndpointOfKey("key"), first);
  for (int i = 0; i < 5; ++i) {  // in the subset by then, but on a half-open trial
    gateway.Advance(Ms(10'000));
    const std::string id = "unsafe" + std::to_string(i);
    gateway.ArriveWithKey(id, "key", 4);
    gateway.AnswerProbes();
    EXPECT_NE(gateway.attempts.back().endpoint, first) << i;
    gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint, Outcome::kOk, Ms(20), true);
  }
}

// Each of a thousand gateways uses every endpoint, and one accepts a few hundred connections.
TEST(AffinityTest, IdleConnectionsAreClosedWhereTheyAreCharged) {
  for (const double charge : {0.0, 0.02}) {
    Settings settings = MakeAffinitySettings();
    settings.costs.connection = charge;
    AffinityGateway gateway(settings);
    const std::string first = gateway.EndpointOfKey("key");
    const auto closed = LoadBalancerHarness::ActionsOf<CloseIdleConnections>(gateway.log);
    ASSERT_EQ(closed.size(), charge > 0 ? 1u : 0u);
    for (const CloseIdleConnections& close : closed) {
      EXPECT_EQ(close.endpoint, first);
    }
  }
}

// A burst after a long pause, with and without a fleet that warms up: each request is answered once
// and in time, and no endpoint gets more than its share of the burst.
TEST(AffinityTest, ABurstAfterALongPauseIsAnsweredAndKeepsToTheLimits) {
  for (const bool cold : {false, true}) {
    AffinityGateway gateway(MakeAffinitySettings());
    for (int k = 0; k < 30; ++k) {
      gateway.EndpointOfKey("key" + std::to_string(k));
    }
    gateway.Advance(Ms(600'000));
    if (cold) {
      for (int i = 0; i < 20; ++i) {
        gateway.UpdateEndpoint("e" + std::to_string(i), EndpointState::kUp, gateway.now, i % 2);
      }
    }
    const size_t before = gateway.attempts.size();
    for (int i = 0; i < 300; ++i) {
      gateway.ArriveWithKey("b" + std::to_string(i), "key" + std::to_string(i % 30));
      gateway.AnswerProbes();
    }
    for (int i = 0; i < 200; ++i) {
      gateway.AnswerProbes(), gateway.Advance(Ms(5));
    }
    std::map<std::string, int> at;
    std::set<std::string> done;
    for (size_t i = before; i < gateway.attempts.size(); ++i) {
      ++at[gateway.attempts[i].endpoint];
      done.insert(gateway.attempts[i].id);
    }
    for (const auto& [host, n] : at) {
      EXPECT_LE(n, cold ? 2 : 12) << host;
    }
    for (int i = 0; i < 300; ++i) {
      const std::string id = "b" + std::to_string(i);
      EXPECT_NE(done.contains(id), gateway.IsUnserved(id)) << id;
    }
  }
}

TEST(AffinityTest, NoProbesNoListAndOneEndpoint) {
  Settings settings = MakeAffinitySettings();
  settings.allowed.probes = false;  // forbidden, so none is sent; the request goes by the fallback
  AffinityGateway blind(settings);
  blind.ArriveWithKey("r", "key");
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<StartProbe>(blind.log).empty());
  EXPECT_EQ(blind.attempts.size(), 1u);

  LoadBalancerHarness empty(MakeAffinitySettings());  // no list yet: rejected, not lost
  RequestArrived arrival;
  arrival.id = "early";
  arrival.deadline = empty.now + Ms(1000);
  arrival.key = "key";
  empty.Handle(arrival);
  empty.Advance(Ms(200));
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<RejectRequest>(empty.log).size(), 1u);

  LoadBalancerHarness one(MakeAffinitySettings());
  one.ListEndpoints(1);
  one.Handle(arrival);
  one.Handle(PeerMessage{4711, std::string("\xff\x00wrong", 7)});  // not by a gateway: ignored
  one.FinishProbe("e0", 1, 20);
  EXPECT_EQ(one.attempts.size(), 1u);
}

}  // namespace
}  // namespace paddlestile::testing
