// Tests of key affinity, where a gateway runs beside every client process: which endpoint a key
// goes to, and how long a request waits for its probes.
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

  // Finishes each probe that has not been answered yet with the load given for its endpoint.
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

  // Sends and serves a request of the key. Returns its endpoint, or "" if it was not sent.
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
    return std::ranges::any_of(log, [&](const Action& action) {
      const auto* const reject = std::get_if<RejectRequest>(&action);
      const auto* const fail = std::get_if<FailRequest>(&action);
      return (reject != nullptr && reject->id == id) || (fail != nullptr && fail->id == id);
    });
  }

  size_t answered_actions = 0;
  int request_count = 0;
};

// Guards against a thousand gateways spreading each key over all endpoints, so that none has its
// work cached.
TEST(AffinityTest, GatewaysWithoutSharedStateSelectTheSameEndpointForAKey) {
  AffinityGateway one(MakeAffinitySettings(), 1), other(MakeAffinitySettings(), 2);
  std::set<std::string> endpoints;
  for (int i = 0; i < 40; ++i) {
    const std::string key = "key" + std::to_string(i);
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

// Guards against sending the first requests of a burst by load reports that are seconds old.
TEST(AffinityTest, AnOverloadedEndpointIsSkippedAndAnOverloadedFleetRejectsPromptly) {
  AffinityGateway gateway(MakeAffinitySettings());
  for (int i = 0; i < 60; ++i) {
    gateway.EndpointOfKey("other" + std::to_string(i));  // all endpoints report that they are idle
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
  // Rejected within 100 ms, although the deadline is 1 s away.
  EXPECT_TRUE(gateway.IsUnserved("full"));
}

// Guards against requests and retries that wait for their probes beyond the deadline.
TEST(AffinityTest, TheWaitForProbesEndsBeforeTheDeadline) {
  for (const double time_left : {1.0, 15.0, 25.0, 45.0, 70.0}) {
    AffinityGateway gateway(MakeAffinitySettings());
    gateway.EndpointOfKey("key");
    gateway.Advance(Ms(500));
    gateway.ArriveWithKey("r", "key", 0, Ms(100));
    gateway.AnswerProbes();
    ASSERT_EQ(gateway.attempts.back().id, "r");
    gateway.Advance(Ms(100 - time_left));
    gateway.FinishAttempt("r", 0, gateway.attempts.back().endpoint, Outcome::kRejected, Ms(1));
    gateway.Advance(Ms(time_left));  // no further probe is answered
    EXPECT_TRUE(gateway.IsUnserved("r") ||
                gateway.attempts.back().endpoint != gateway.attempts.front().endpoint)
        << time_left;
    AffinityGateway first(MakeAffinitySettings());
    first.ArriveWithKey("r", "key", 0, Ms(time_left));
    first.Advance(Ms(time_left));
    EXPECT_TRUE(first.IsUnserved("r") || !first.attempts.empty()) << time_left;
  }
}

// Guards against a timer every 10 ms on each of a thousand idle gateways.
TEST(AffinityTest, AGatewayWithoutQueuedRequestsSetsNoTimer) {
  AffinityGateway gateway(MakeAffinitySettings());
  gateway.EndpointOfKey("key");
  gateway.Advance(Ms(1000));
  const size_t before = gateway.log.size();
  gateway.Advance(Ms(60'000));
  EXPECT_EQ(gateway.log.size(), before);
}

// A gateway that uses an endpoint only once in many seconds would otherwise need many seconds to
// see the two errors in a row that eject it.
TEST(AffinityTest, OneErrorEjectsWhereOutcomesAreRare) {
  AffinityGateway gateway(MakeAffinitySettings());
  const std::string first = gateway.EndpointOfKey("key");
  gateway.Advance(Ms(20'000));
  gateway.ArriveWithKey("bad", "key");
  gateway.AnswerProbes();
  ASSERT_EQ(gateway.attempts.back().endpoint, first);
  gateway.FinishAttempt("bad", 0, first, Outcome::kError, Ms(2), true);
  EXPECT_NE(gateway.EndpointOfKey("key"), first);
  for (int i = 0; i < 5; ++i) {  // back in the subset, but on a half-open trial
    gateway.Advance(Ms(10'000));
    const std::string id = "unsafe" + std::to_string(i);
    gateway.ArriveWithKey(id, "key", 4);
    gateway.AnswerProbes();
    EXPECT_NE(gateway.attempts.back().endpoint, first) << i;
    gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint, Outcome::kOk, Ms(20), true);
  }
}

// Each of a thousand gateways uses every endpoint, but an endpoint accepts only a few hundred
// connections.
TEST(AffinityTest, IdleConnectionsAreClosedWhereTheyHaveACost) {
  for (const double connection_cost : {0.0, 0.02}) {
    Settings settings = MakeAffinitySettings();
    settings.costs.connection = connection_cost;
    AffinityGateway gateway(settings);
    const std::string first = gateway.EndpointOfKey("key");
    const auto closed = LoadBalancerHarness::ActionsOf<CloseIdleConnections>(gateway.log);
    ASSERT_EQ(closed.size(), connection_cost > 0 ? 1u : 0u);
    for (const CloseIdleConnections& close : closed) {
      EXPECT_EQ(close.endpoint, first);
    }
  }
}

// A burst after a long pause, with a warm fleet and with one that is warming up. Each request must
// be answered once, by an attempt or a rejection, and no endpoint may get more than its share.
TEST(AffinityTest, ABurstAfterALongPauseIsAnsweredWithinTheLimits) {
  for (const bool warming_up : {false, true}) {
    AffinityGateway gateway(MakeAffinitySettings());
    for (int i = 0; i < 30; ++i) {
      gateway.EndpointOfKey("key" + std::to_string(i));
    }
    gateway.Advance(Ms(600'000));
    if (warming_up) {
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
    std::map<std::string, int> attempts_by_endpoint;
    std::set<std::string> attempted;
    for (size_t i = before; i < gateway.attempts.size(); ++i) {
      ++attempts_by_endpoint[gateway.attempts[i].endpoint];
      attempted.insert(gateway.attempts[i].id);
    }
    for (const auto& [endpoint, count] : attempts_by_endpoint) {
      EXPECT_LE(count, warming_up ? 2 : 12) << endpoint;
    }
    for (int i = 0; i < 300; ++i) {
      const std::string id = "b" + std::to_string(i);
      EXPECT_NE(attempted.contains(id), gateway.IsUnserved(id)) << id;
    }
  }
}

TEST(AffinityTest, RequestsWithoutProbesOrListOrWithOneEndpoint) {
  Settings settings = MakeAffinitySettings();
  settings.allowed.probes = false;  // no probe is sent; the fallback selects the endpoint
  AffinityGateway without_probes(settings);
  without_probes.ArriveWithKey("r", "key");
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<StartProbe>(without_probes.log).empty());
  EXPECT_EQ(without_probes.attempts.size(), 1u);

  LoadBalancerHarness empty(MakeAffinitySettings());  // no list yet: the request is rejected
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
  one.Handle(PeerMessage{4711, std::string("\xff\x00wrong", 7)});  // not from a gateway: ignored
  one.FinishProbe("e0", 1, 20);
  EXPECT_EQ(one.attempts.size(), 1u);
}

}  // namespace
}  // namespace paddlestile::testing
