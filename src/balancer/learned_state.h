// The records that the decision module keeps of endpoints, requests and probe answers, and the
// check of its settings. No decision stands here: those are all in brain.cpp.
#ifndef PADDLESTILE_BALANCER_LEARNED_STATE_H_
#define PADDLESTILE_BALANCER_LEARNED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile {

// Throws std::invalid_argument, naming the setting, where the settings make no sense.
void CheckSettings(const Settings& s);
// Puts them in. Throws std::invalid_argument as CheckSettings does, and then changes nothing.
void TakeTenants(const TenantFigures& figures, Settings& s);

// Requests in flight at send and the time that attempts spent, averaged alike.
struct Pace {
  double f = 0, busy = 0, done = 0;  // busy: us; done: attempts ended, decayed
  double held = 0, reports = 0;      // mean in flight by the reports, of a kind; reports, decayed
  double latency = 0;                // us; mean of the reported latencies, of a kind

  void Count(double f_at_send, double weight) {
    done = done * (1 - weight) + 1;
    busy *= 1 - weight;
    f += (f_at_send - f) / done;
  }
  [[nodiscard]] double Time() const { return done > 0 ? busy / done : 0; }
  [[nodiscard]] double Tput() const { return busy > 0 ? f / Time() : 0; }  // Little's law
};

struct Endpoint {
  EndpointInfo info;
  uint64_t hash = 0;  // of its id, the same at every gateway
  int out = 0;        // own attempts out
  int probes_out = 0;
  bool in_set = false, was_up = false;  // of the working set; by the last list
  double others = 0;                    // in flight there from elsewhere, by the last reports
  Time reported{-1'000'000};            // when a report last came; below 0: never
  Time out_at{0};
  double link = 0;       // us; probe round trip, 0 unknown
  double latency = 0;    // us; as last reported
  double gap = 0;        // us; between the last two outcomes, bounded
  Time judged{0};        // when an outcome last told of its health
  double err = 0;        // share of failed outcomes, recent
  Time away_until{0};    // out of the working set till then
  int trips = 0;         // ejections in a row
  Time silent_since{0};  // last answer, or the send that found none out
  Pace own;
  double cold_tokens = 0;  // this gateway's part of the cold budget, in mean requests
  Time cold_filled{-1};
};

// The record of an endpoint whose process is new: what is out there stays known, nothing else.
inline Endpoint Restarted(const Endpoint& was) {
  Endpoint e;
  e.out = was.out, e.probes_out = was.probes_out, e.in_set = was.in_set, e.was_up = was.was_up;
  return e;
}

struct Attempt {
  size_t ep = 0;
  Time sent{0};
  bool out = true;
  bool may_have_run = true;  // until an outcome proves otherwise
  double f_at_send = 0;
};

struct Request {
  uint64_t seq = 0;
  RequestClass cls;  // as they were when it came
  int send_cap = 1;
  Submit in;
  Time arrived{0};
  std::vector<Attempt> attempts;
  std::vector<size_t>
      homes{};       // endpoints where its key is kept warm, best first, and others asked
  Time asked{0};     // when they were last probed for it
  size_t known = 0;  // how many of them were asked
  int out = 0;
  bool over = false;
  bool waiting = true;
  bool in_time = false;  // answered within its aim
  double standing = 0;   // in the arriving work, from the least worth (0) to the most (1)
  bool beyond = false;   // beyond its tenant's share
};

struct PoolEntry {
  size_t ep = 0;
  double latency = 0;  // us; reported, and on top of it the way and the price of crossing
  double way = 0;
  Time at{0};
  int uses = 1;
};

// What a module has learned; see the fields' users in brain.cpp.
struct Records {
  std::vector<Endpoint> eps;
  std::unordered_map<std::string, size_t> ep_index;  // look-up only, never iterated
  std::vector<Pace> kinds;                           // of each kind of machine
  std::vector<double> served, shares;  // of each class: served in its aim, part of the arrivals
  std::vector<double> times;           // us; mean time of each class
  double mean_expected = 0;            // us; of the hints, where requests carry one
  double mean_time = 0;                // us; of a request over all classes
  double pace = 0;                     // own finished work of late, in mean requests per us
  double arrivals = 0, counted = 0;    // decayed; us that they were counted over, decayed alike
  double retry_tokens = 0;
  Time paced{0}, arrivals_at{0};  // when pace and arrivals were last brought up to date
};

// Takes over what another module has learned of the same fleet, at the moment `now`: of endpoints
// that are known here and have not started anew since, of kinds and classes that are told of.
void TakeOver(Records& mine, const Records& told, Time now);

// The same at every gateway and in every build, unlike std::hash (FNV-1a).
uint64_t Hash(const std::string& text);
// A number in (0, 1) for a pair of hashes, as good as drawn (the finish of splitmix64).
double Drawn(uint64_t a, uint64_t b);

// Where the record of an endpoint lies; a new one for an id not met before. Endpoints that are
// replaced come with ids ever new: the place of one that is gone, and that no open request and no
// probe answer names any more, is taken again. `gone`: the places whose endpoints have left the
// list, and none else.
size_t PlaceOf(const std::string& id, std::vector<Endpoint>& eps,
               std::unordered_map<std::string, size_t>& index,
               const std::map<uint64_t, Request>& open, const std::vector<PoolEntry>& pool,
               const std::set<size_t>& gone);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_LEARNED_STATE_H_
