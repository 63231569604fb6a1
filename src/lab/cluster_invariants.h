// The judge of a bank's history, from outside: what submitters were told, and what hosts received.
// No I/O; nothing that a gateway says of itself is taken for true. All times are the experiment's.
#ifndef PADDLESTILE_LAB_CLUSTER_INVARIANTS_H_
#define PADDLESTILE_LAB_CLUSTER_INVARIANTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile::lab {

struct BankResult {
  bool on = false;
  uint64_t changes = 0, told_done = 0, lost = 0, twice = 0, refused = 0;
  double bound_ms = 0, contradiction_ms_most = 0, unavailable_ms_most = 0;
  double follow_ms_p50 = 0, follow_ms_p99 = 0, follow_ms_most = 0;
  double done_ms_p50 = 0, done_ms_most = 0;
  uint64_t sent_while_alone = 0;  // to hosts barred meanwhile, where the operator chose service
  std::vector<std::string> broken;
};

class BankJudge {
 public:
  // `bound`: the longest that two may act on rules that contradict each other. `slack`: what the
  // lab allows beside it for the way of a request that was decided before.
  BankJudge(Duration bound, Duration slack) : bound_(bound), slack_(slack) {}

  struct Wanted {
    std::vector<size_t> barred;  // hosts
    std::optional<size_t> once;  // a class of which nothing is sent twice
  };
  // A change is submitted for the first time; its place.
  size_t Submitted(Time now, Wanted wanted);
  void ToldDone(Time now, size_t change, uint64_t version);
  void Refused(Time now, size_t change, const std::string& why);

  // A host received a try of a client's request, its `copy`th, which was handed to `gateway` at
  // `handed`. `excused`: the script keeps that gateway from the others, and the operator chose that
  // it goes on.
  void Received(Time now, size_t host, size_t gateway, size_t cls, Time handed, size_t copy,
                bool excused, const std::string& id);

  // What was told so far: submitted, done, version.
  struct Told {
    Time submitted{0}, done{0};
    uint64_t version = 0;
  };
  [[nodiscard]] std::vector<Told> told() const;

  // All is over: what was told counts as it is.
  BankResult Finish(Time now, Time asked_until);

 private:
  struct Change {
    Wanted wanted;
    Time submitted{0}, done{-1};
    uint64_t version = 0;
    Time last_against{-1};  // when a host that it bars last received something
  };
  [[nodiscard]] Time Ends(const Change& change, size_t host) const;
  void Break(Time now, const std::string& what);

  Duration bound_, slack_;
  std::vector<Change> changes_;
  std::map<uint64_t, size_t> by_version_;
  BankResult r_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_CLUSTER_INVARIANTS_H_
