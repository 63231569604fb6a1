// Every decision of the balancer; its interface (settings, events, actions) is brain.h. In order:
// membership, health and capacity, pool and pick, legality gate, attempts, admission, events.
#include "balancer/load_balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "balancer/learned_state.h"

namespace paddlestile {
namespace {

// ---- Constants: unit and reason for each ----------------------------------------------------
constexpr Duration kSweep{10'000};  // us; a fraction of any useful aim, cheap to run
constexpr size_t kPoolMost = 16;    // entries; the paper's pool
constexpr double kSetLeast = 8;  // endpoints; each met often enough to be known, and connected once
constexpr double kSetCover = 4;  // gateways that should use each endpoint, on average
constexpr size_t kListMost = 64;    // endpoints of a set that is gone through one by one
constexpr int kDraws = 32;          // from a larger one; most of it is allowed, or it is overload
constexpr int kNearer = 2;          // further draws for an endpoint of the own zone
constexpr double kPoolShare = 0.8;  // of the endpoints; m < n keeps the reuse formula defined
constexpr double kPoolAge = 1e6;    // us; the design page's starting point
constexpr double kColdRank = 0.25;  // of the pool's in-flight figures; crowded endpoints slow down
// Where endpoints keep keys warm: a thin gateway asks a key's homes and waits before it sends.
constexpr size_t kHomes = 3;         // endpoints; a popular key needs two or three
constexpr size_t kAskFirst = 2;      // of them; the first may be slow or crowded
constexpr double kWarmTime = 0.3;    // of the usual time at the first home
constexpr double kLessWarm = 0.3;    // more of it at each further one, which met the key less often
constexpr double kWarmRank = 0.9;    // the cut for a request of mean cost; 0.6 at least
constexpr Duration kFresh{100'000};  // us; some arrivals at an endpoint
constexpr Duration kProbeWait{20'000};  // us; some round trips, little of any aim
constexpr double kTight = 0.65;         // of the limit: nothing needs to queue where all ask first
constexpr double kLimitLeast = 12;      // requests, of an idle kind; some choke a little above
constexpr double kSlower = 2;           // times its kind's latency: by then it is no chance of keys
constexpr double kErrDoubt = 0.1;       // error share: four successes after a failure
constexpr double kAwayLong = 4e6;       // us; an endpoint met so seldom is away so long at first
constexpr double kProbeSpend = 0.008;   // of the result; what probing may cost where it is priced
constexpr double kProbeLeast = 0.25;    // probes a request; keeps a pool over a small set filled
constexpr double kProbeMost = 2;        // probes a request; more tells nothing new
constexpr double kRemovePerProbe = 1.0 / 12;  // removals a probe; well inside the formula's domain
constexpr double kBlend = 0.1;                // weight of one new sample in a slow average
constexpr double kErrBlend = 0.2;             // weight of one outcome in the error share
constexpr double kErrEject = 0.3;             // error share: two failures in a row, or seven breaks
constexpr Duration kAwayFirst{1'000'000};     // us; doubles with each failed trial or connect
constexpr int kAwayDoublings = 4;             // up to 16 s, the order of a short outage
constexpr double kSilence = 3;                // typical times without any answer: suspect
constexpr double kAimShare = 0.4;             // of the aim that the predicted time may take
constexpr int kAwayPart = 16;                 // a refused client comes back after the aim over this
constexpr double kHoldShare = 0.1;            // of the aim that a request may wait here
constexpr double kStretch = 0.3;        // of the limit, less for the least worth, more for the most
constexpr double kRetryEarn = 0.2;      // further attempts earned by each request
constexpr double kRetryMost = 10;       // further attempts saved up
constexpr double kFullPrice = 0.2;      // further attempts; of one after a turning away
constexpr double kColdSafety = 0.8;     // of the cold budget; sizes differ and work is random
constexpr double kColdOverhead = 0.25;  // requests; a handshake on top of each send
constexpr double kRateSpan = 5e6;       // us; span over which an endpoint's pace is remembered
constexpr double kReportFade = 6e6;     // us; queues turn over within some service times
constexpr double kOthersSpan = 2e6;     // us; all gateways rush at once to what looks idle now
constexpr double kLimitAtFirst = 4;     // requests; small enough not to crowd before it is known
constexpr double kQuotaSlack = 1.3;     // tenants are not spread alike over the gateways
constexpr double kQuotaBurst = 1e6;     // us; of a tenant's rate that may come at once
constexpr double kFewSamples = 4;  // answers before an average is trusted; a kind's weight in them

constexpr size_t kKindsMost = 64;                  // kinds told apart; a fleet has a handful
constexpr size_t kNone = static_cast<size_t>(-1);  // no endpoint, no entry

double Us(Duration d) {
  return static_cast<double>(d.count());
}
void Blend(double& mean, double sample, double weight) {
  mean += weight * (sample - mean);
}
bool Up(const Endpoint& e) {
  return e.info.state == EndpointState::kUp;
}

}  // namespace

struct LoadBalancer::Impl : LearnedState {
  Impl(const Settings& settings, uint64_t seed) : rng(seed) {
    Adopt(settings);
    mean_request_time_us = target;
    retry_tokens = kRetryMost / 2;
  }

  // Classes and tenants keep their places, and so what was learned of them.
  void Adopt(const Settings& settings) {
    ValidateSettings(settings);
    s = settings;
    const size_t n = s.classes.size();
    for (size_t i = mean_time_us.size(); i < n; ++i) {
      mean_time_us.push_back(Us(s.classes[i].latency_objective) / 4);
    }
    target =
        kAimShare *
        Us(std::ranges::min(s.classes, {}, &RequestClass::latency_objective).latency_objective);
    objective_met_rate.assign(n, 1);  // one that is gone must not stay the worst served
    arrival_shares.resize(n, 1.0 / static_cast<double>(n));
  }
  void On(const Settings& in) {
    Adopt(in);
    Dispatch();
  }
  void On(const TenantQuotaUpdate& in) {
    ApplyTenantQuotas(in, s);
  }  // they decide of arrivals alone

  Settings s;
  std::mt19937_64 rng;
  Statistics stats;
  std::array<int, kExclusionReasonCount> bars{};  // at the last look for an endpoint
  Time now{0}, refill_at{0};
  std::vector<Action>* act = nullptr;

  std::map<uint64_t, Request> open;                 // in order of arrival
  std::unordered_map<std::string, uint64_t> by_id;  // look-up only
  std::vector<uint64_t> waiting;                    // held requests, unsorted
  std::vector<PoolEntry> pool;
  std::vector<size_t> set;  // the endpoints that this gateway works with
  bool set_whole = false;   // each of the set was usable at the last look, and nothing befell one
  std::set<size_t> gone;    // endpoints that have left the list
  uint64_t next_seq = 0;
  bool started = false, remove_oldest = true, sweeping = false;
  double probe_due = 0, remove_due = 0;
  int follow_failures = 0, probed = 0;
  double target = 0;                                     // us; aimed at
  size_t up = 0;                                         // endpoints that may get work
  std::vector<std::pair<double, double>> tenant_tokens;  // requests within its share, at `credit`
  double credit = 0;       // requests that a tenant whose share is all may have had since the start
  double beyond_part = 0;  // decayed; of the arrivals, beyond their tenant's share

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(rng); }
  size_t Below(size_t n) { return static_cast<size_t>(Uniform() * static_cast<double>(n)) % n; }
  void Do(Action action) { act->push_back(std::move(action)); }

  // ---- 1. Membership ------------------------------------------------------------------------
  void On(const EndpointUpdate& m) {
    if (m.kind == EndpointUpdateKind::kFailed) {
      // Again, not in step with others and later each time; soon at first: what is missed is told.
      const double base = std::clamp(Us(s.rules.discovery_interval) / 20, 2.5e5, 5e5);
      const double wait = base * std::pow(2, std::min(follow_failures++, 3)) * (0.5 + Uniform());
      return Do(SetTimer{Duration(std::llround(wait)), "follow"});
    }
    if (m.kind != EndpointUpdateKind::kCached) {
      follow_failures = 0;
    }
    if (m.kind != EndpointUpdateKind::kDelta) {
      set_whole = false;
      for (size_t i = 0; i < endpoints.size(); ++i) {
        endpoints[i].info.state = EndpointState::kRemoved;  // absent means gone
        gone.insert(gone.end(), i);
      }
    }
    std::vector<size_t> fresh, told;
    for (const EndpointInfo& info : m.endpoints) {
      const size_t ep = EndpointSlotFor(info.id, endpoints, endpoint_index, open, pool, gone);
      Endpoint& e = endpoints[ep];
      told.push_back(ep);
      if (info.state == EndpointState::kUp && !e.was_up) {
        fresh.push_back(ep);
      }
      if (info.started_at > e.info.started_at) {
        e = ResetForRestart(e);
      }
      e.info = info;
      e.id_hash = HashOfId(info.id);
      info.state == EndpointState::kRemoved ? void(gone.insert(ep)) : void(gone.erase(ep));
      e.info.machine_kind = std::min(info.machine_kind, kKindsMost);
      machine_kinds.resize(std::max(machine_kinds.size(), e.info.machine_kind + 1));
    }
    // Only those told of: a look at all of a large fleet for each change would cost too much.
    if (m.kind != EndpointUpdateKind::kDelta) {
      told.insert(told.end(), gone.begin(), gone.end());
    }
    for (const size_t ep : told) {
      Endpoint& e = endpoints[ep];
      if (Up(e) != std::exchange(e.was_up, Up(e))) {
        Up(e) ? ++up : --up;
      }
      if (!Up(e)) {
        set_whole = set_whole && !e.in_subset;
      }
    }
    Mix(fresh);
    FillSet();
    // Many may start at one moment, and the registry is small; one alone need not wait.
    const double spread = s.instance_count > 1 ? Us(s.rules.discovery_interval) / 5 : 0;
    if (!std::exchange(started, true) && s.discovery_mode == DiscoveryMode::kPoll) {
      Do(SetTimer{Duration(std::llround(Uniform() * spread)), "follow"});
    }
    Dispatch();
  }

  // Of a large fleet a gateway works with a share, met often; the sick leave their place in it.
  [[nodiscard]] bool Usable(const Endpoint& e) const { return Up(e) && now >= e.ejected_until; }

  // The newly listed enter a full set by any endpoint's chance; they would else be in nobody's.
  void Mix(const std::vector<size_t>& fresh) {
    for (const size_t ep : fresh) {
      const double most = Uniform() * static_cast<double>(up);
      if (endpoints[ep].in_subset || set.empty() || most > static_cast<double>(set.size())) {
        continue;
      }
      endpoints[std::exchange(set[Below(set.size())], ep)].in_subset = false;
      endpoints[ep].in_subset = true;
      set_whole = set_whole && Usable(endpoints[ep]);
    }
  }

  void FillSet() {
    if (!set_whole) {
      std::erase_if(set, [&](size_t i) {
        endpoints[i].in_subset = Usable(endpoints[i]);
        return !endpoints[i].in_subset;
      });
      set_whole = true;
    }
    const double cover = kSetCover * static_cast<double>(up) / s.instance_count;
    // Where keys are kept warm, any endpoint may be a key's home.
    const auto want =
        s.key_affinity ? up : static_cast<size_t>(std::max(kSetLeast, std::ceil(cover)));
    if (set.size() >= std::min(want, up)) {
      return;
    }
    // Those away only up to half: where most fail alike, none is worse than its peers.
    for (const bool away : {false, true}) {
      const size_t most = away ? (std::min(want, up) + 1) / 2 : want;
      std::vector<size_t> rest;
      for (size_t i = 0; i < endpoints.size(); ++i) {
        if (!endpoints[i].in_subset && Up(endpoints[i]) && (away || Usable(endpoints[i]))) {
          rest.push_back(i);
        }
      }
      for (; set.size() < most && !rest.empty(); rest.pop_back()) {
        size_t pick = Below(rest.size());
        for (int more = 0; more < kNearer && endpoints[rest[pick]].info.zone != s.zone; ++more) {
          pick = Below(rest.size());  // crossing costs; by chance, so that zones still spill over
        }
        std::swap(rest[pick], rest.back());
        endpoints[rest.back()].in_subset = true;
        set.push_back(rest.back());
        set_whole = set_whole && !away;
      }
    }
  }

  // ---- 2. Health and capacity ---------------------------------------------------------------
  [[nodiscard]] double Cost(const Request& r) const {
    return r.arrival.expected_work ? Us(*r.arrival.expected_work) / mean_expected_us
                                   : mean_time_us[r.arrival.request_class] / mean_request_time_us;
  }

  // A hung endpoint keeps answering probes: what shows is that nothing of ours comes back.
  [[nodiscard]] bool Silent(const Endpoint& e) const {
    return e.attempts_in_flight > 0 &&
           Us(now - e.last_response_at) > kSilence * mean_request_time_us;
  }

  // One outcome's weight on the error share: where they come seldom, the last one says most.
  double Judge(Endpoint& e) {
    const double gap = Us(now - std::exchange(e.last_outcome_at, now));
    e.outcome_interval_us = std::clamp(gap, 1.0, kAwayLong);
    return std::max(kErrBlend, s.key_affinity ? 1 - std::exp(-gap / kRateSpan) : 0);
  }

  void Failed(Endpoint& e, double weight) {
    Blend(e.error_rate, 1, weight);
    if (e.error_rate > kErrEject && e.in_subset) {
      Leave(e);
    }
  }

  // Another takes the place of one that is sick or gave no connection (its table may be full).
  void Leave(Endpoint& e) {
    const double away = std::max(Us(kAwayFirst), e.outcome_interval_us) *
                        (1 << std::min(e.consecutive_ejections++, kAwayDoublings));
    e.ejected_until = now + Duration(std::llround(away * (0.5 + Uniform())));
    set_whole = false;
    FillSet();
  }

  void Answered(Endpoint& e, const Attempt& a, Request& r, double took) {
    r.met_objective = r.met_objective || now <= r.arrived_at + r.request_class.latency_objective;
    Judge(e);
    Blend(e.error_rate, 0, kErrBlend);
    // A trial that succeeded.
    if (e.consecutive_ejections > 0 && e.in_subset) {
      e.consecutive_ejections = 0;
      e.error_rate = std::min(e.error_rate, kErrEject * 0.7);
    }
    Blend(mean_time_us[r.arrival.request_class], took, kBlend / 4);
    Blend(mean_request_time_us, took, kBlend / 4);
    Observe(e, a);
    finished_work_per_us =
        finished_work_per_us * std::exp(-Us(now - finished_work_updated_at) / kRateSpan) +
        Cost(r) / kRateSpan;
    finished_work_updated_at = now;
  }

  // What is out or ran out of time counts too: answers alone would flatter a crowded endpoint.
  void Observe(Endpoint& e, const Attempt& a) {
    e.local_estimate.Record(a.in_flight_at_send, kBlend);
    machine_kinds[e.info.machine_kind].Record(machine_kinds[e.info.machine_kind].reported_in_flight,
                                              kBlend / 4);
  }

  // What a started endpoint can do by now of its work when warm, at the least.
  [[nodiscard]] double Warmth(const Endpoint& e) const {
    const Time started_at = e.info.started_at, warm = s.rules.slow_start_duration;
    if (started_at <= Time(0) || now - started_at >= warm * 1.1) {
      return 1;
    }
    const double from = s.rules.slow_start_initial_capacity, age = Us(now - started_at) / Us(warm);
    return from + (1 - from) * std::clamp(age, 0.0, 1.0);
  }

  // Throughput, 0 while unknown: own evidence of an endpoint beside that of its kind.
  [[nodiscard]] double Tput(const Endpoint& e) const { return Warmth(e) * WarmTput(e); }

  // How much of its kind's pace an endpoint keeps by its own report, which also mixes keys.
  [[nodiscard]] double Pacing(const Endpoint& e) const {
    if (!s.key_affinity || e.reported_latency_us <= 0) {
      return 1;
    }
    return std::min(1.0, kSlower * machine_kinds[e.info.machine_kind].reported_latency_us /
                             e.reported_latency_us);
  }

  [[nodiscard]] double WarmTput(const Endpoint& e) const {
    const ThroughputEstimate& kind = machine_kinds[e.info.machine_kind];
    // Before attempts tell: what reports say that its kind holds, over the mean time.
    const double tput = kind.finished_attempts >= kFewSamples
                            ? kind.RequestsPerUs()
                            : kind.reported_in_flight / mean_request_time_us;
    const double like = kind.report_count >= kFewSamples ? tput * Pacing(e) : 0;
    const double own =
        e.local_estimate.finished_attempts >= kFewSamples ? e.local_estimate.RequestsPerUs() : 0;
    if (own <= 0 || like <= 0) {
      return std::max(own, like);
    }
    return like + (own - like) * e.local_estimate.finished_attempts /
                      (e.local_estimate.finished_attempts + kFewSamples);
  }

  void TrackOut(Endpoint& e) {
    e.local_estimate.busy_us += Us(now - e.busy_counted_until) * e.attempts_in_flight;
    machine_kinds[e.info.machine_kind].busy_us +=
        Us(now - e.busy_counted_until) * e.attempts_in_flight;
    e.busy_counted_until = now;
  }

  // An old report tells little of now: what it says fades towards the mean of its kind.
  [[nodiscard]] double Load(const Endpoint& e) const {
    const ThroughputEstimate& kind = machine_kinds[e.info.machine_kind];
    const double age = e.reported_at < Time(0) ? kReportFade * 10 : Us(now - e.reported_at);
    return kind.reported_in_flight +
           (e.external_in_flight - kind.reported_in_flight) * std::exp(-age / kReportFade) +
           e.attempts_in_flight;
  }

  // Limit on all that an endpoint holds: what it can finish within the target; past it, queueing
  // adds only delay, and some slow down and stay slow. Nothing known yet: a few.
  [[nodiscard]] double Limit(const Endpoint& e, bool strict) const {
    const ThroughputEstimate& kind = machine_kinds[e.info.machine_kind];
    const double tput = Tput(e), tight = s.key_affinity ? kTight : 1;
    const double room = e.local_estimate.MeanTimeUs() < target
                            ? 1
                            : 0;  // one more, to learn whether it can do more
    const double learned = room + tput * target * tight;
    // What is asked before each send may be let hold more, as long as its kind is quick.
    const double spare =
        s.key_affinity && !strict ? kLimitLeast * (1 - kind.reported_latency_us / target) : 0;
    const double first =
        s.key_affinity || tput <= 0 || kind.finished_attempts < kFewSamples ? kLimitAtFirst : 2;
    return std::max({2.0, Pacing(e) * std::max(first, spare), learned});
  }

  [[nodiscard]] double Predict(const Endpoint& e, const Request& r) const {
    const double tput = Tput(e);
    return tput > 0 ? e.round_trip_us + (Load(e) + std::min(Cost(r), 2.0)) / tput : 0;
  }

  // ---- 3. Probe pool and pick ---------------------------------------------------------------
  [[nodiscard]] size_t PoolBound() const {
    const auto share = static_cast<size_t>(kPoolShare * static_cast<double>(set.size()));
    return std::clamp<size_t>(share, 2, kPoolMost);
  }

  [[nodiscard]] double ProbeRate() const {
    if (!s.allowed.probes) {
      return 0;
    }
    // At the start as many as the set has: a first view, before the first seconds crowd it.
    if (s.costs.probe <= 0 || probed < static_cast<int>(set.size())) {
      return kProbeMost;
    }
    return std::clamp(kProbeSpend / s.costs.probe, kProbeLeast, kProbeMost);
  }

  // Uses of one answer, by the paper's formula; once outside its domain.
  double ReuseBudget() const {
    const double m = static_cast<double>(PoolBound()), n = static_cast<double>(set.size());
    const double net = (1 - m / n) * ProbeRate() - ProbeRate() * kRemovePerProbe;
    if (n <= m || net <= 0) {
      return 1;
    }
    return std::max(1.0, 2 / net);  // 2: one more than the paper's delta of 1
  }

  // Answers serve for a second, or where requests are few for as long as their probes fill the
  // pool.
  void Purge() {
    const double probes = std::max(ProbeRate() * decayed_arrivals / arrivals_span_us, 1e-6);
    const double age = std::max(kPoolAge, static_cast<double>(PoolBound()) / probes);
    std::erase_if(pool, [&](const PoolEntry& p) {
      return p.uses_left <= 0 || Us(now - p.received_at) > age ||
             !endpoints[p.endpoint].in_subset || !Up(endpoints[p.endpoint]);
    });
  }

  void AddToPool(size_t ep, double latency, double way) {
    std::erase_if(pool, [&](const PoolEntry& p) { return p.endpoint == ep; });
    const int uses = static_cast<int>(ReuseBudget() + Uniform());
    if (pool.size() >= PoolBound()) {
      pool.erase(pool.begin());  // the oldest
    }
    pool.push_back({ep, latency, way, now, uses});
  }

  // Exact rank over the pool's in-flight figures.
  [[nodiscard]] double ColdCut(double at) const {
    std::vector<double> rifs;
    for (const PoolEntry& p : pool) {
      rifs.push_back(Load(endpoints[p.endpoint]));
    }
    const auto rank = static_cast<size_t>(at * static_cast<double>(rifs.size() - 1));
    std::nth_element(rifs.begin(), rifs.begin() + static_cast<long>(rank), rifs.end());
    return rifs[rank];
  }

  // The hot-cold order: the cold before the hot, the cold by latency, the hot by in-flight.
  using Key = std::pair<bool, double>;
  [[nodiscard]] Key Rank(const PoolEntry& p, double cut, const Request* r = nullptr) const {
    const double rif = Load(endpoints[p.endpoint]);  // as of now, own sends and ends with it
    return rif <= cut ? Key{false, p.latency_us * (r ? Chill(*r, p.endpoint) : 1) + p.round_trip_us}
                      : Key{true, rif};
  }

  // The part of the usual time that an endpoint takes for this request, by how warm its key is.
  [[nodiscard]] double Chill(const Request& r, size_t ep) const {
    const auto at = std::ranges::find(r.affinity_endpoints, ep) - r.affinity_endpoints.begin();
    return r.affinity_endpoints.empty()
               ? 1
               : std::min(1.0, kWarmTime + kLessWarm * static_cast<double>(at));
  }

  // Place in the pool of the best entry that is allowed, ties at random.
  template <typename Filter>
  size_t HotCold(const Filter& allowed, const Request& r) {
    size_t best = kNone, ties = 0;
    Key best_key;
    // A heavy request gains most where its key is warm, a light one where little else is at work.
    const double cut =
        ColdCut(s.key_affinity ? std::clamp(kWarmRank * Cost(r), 0.6, 1.0) : kColdRank);
    for (size_t i = 0; i < pool.size(); ++i) {
      const Key key = Rank(pool[i], cut, &r);
      if (!allowed(pool[i].endpoint) || (best != kNone && key > best_key)) {
        continue;
      }
      ties = best != kNone && key == best_key ? ties + 1 : 1;
      if (Below(ties) == 0) {
        best = i;
        best_key = key;
      }
    }
    stats.last_selection = best_key.first ? SelectionMethod::kHot : SelectionMethod::kCold;
    return best;
  }

  // Removal on the request's beat: alternately the oldest and the worst of the pool.
  void Degrade() {
    for (remove_due += ProbeRate() * kRemovePerProbe; remove_due >= 1; remove_due -= 1) {
      if (pool.empty()) {
        continue;
      }
      const double cut = ColdCut(s.key_affinity ? kWarmRank : kColdRank);
      const auto rank = [&](const PoolEntry& p) {
        return Rank(p, cut);
      };
      pool.erase(remove_oldest ? pool.begin() : std::ranges::max_element(pool, {}, rank));
      remove_oldest = !remove_oldest;
    }
  }

  // A key's homes by weighted rendezvous: gateways with the same list agree on them without a word.
  void FindHomes(Request& r) {
    if (!s.key_affinity || !r.arrival.key) {
      return;
    }
    const uint64_t key = HashOfId(*r.arrival.key);
    std::vector<std::pair<double, size_t>> all;
    for (size_t i = 0; i < endpoints.size(); ++i) {
      const double weight = std::max(endpoints[i].info.weight, 1e-3);
      if (Up(endpoints[i])) {
        all.emplace_back(std::log(UniformFromHashes(key, endpoints[i].id_hash)) / weight, i);
      }
    }
    const size_t n = std::min(kHomes, all.size());
    std::ranges::partial_sort(all, all.begin() + static_cast<long>(n), std::greater{});
    for (size_t k = 0; k < n; ++k) {
      r.affinity_endpoints.push_back(all[k].second);
    }
  }

  // Whether the probes that ride on a request have told of its homes, or had their time.
  [[nodiscard]] bool Heard(const Request& r) const {
    if (now - r.probed_at >= kProbeWait || now + 2 * kSweep >= r.arrival.deadline) {
      return true;
    }
    return std::ranges::none_of(r.affinity_endpoints, [&](size_t i) {
      return endpoints[i].probes_in_flight > 0 && endpoints[i].reported_at < r.probed_at;
    });
  }

  void SendProbe(Endpoint& e) {
    ++e.probes_in_flight;
    ++probed;
    Do(StartProbe{e.info.id});
  }

  // Probes those of a request's homes of which nothing fresh is known; it waits for the answers.
  void Ask(Request& r, size_t most) {
    for (r.probed_at = now; r.probed_count < most; ++r.probed_count) {
      Endpoint& e = endpoints[r.affinity_endpoints[r.probed_count]];
      const bool old = now - e.reported_at > kFresh && e.probes_in_flight == 0;
      if (s.allowed.probes && e.in_subset && old) {
        SendProbe(e);
      }
    }
  }

  // Where the first home is crowded the others are asked, then two more by chance.
  bool Widen(Request& r, size_t most) {
    if (r.affinity_endpoints.empty() || now + 2 * kSweep >= r.arrival.deadline) {
      return false;
    }
    for (int draw = 0; draw < kDraws && !set.empty() && r.affinity_endpoints.size() < most;
         ++draw) {
      const size_t ep = set[Below(set.size())];
      if (std::ranges::count(r.affinity_endpoints, ep) == 0) {
        r.affinity_endpoints.push_back(ep);
      }
    }
    if (r.probed_count >= std::min(most, r.affinity_endpoints.size())) {
      return false;
    }
    Ask(r, std::min(most, r.affinity_endpoints.size()));
    return true;
  }

  // Probes ride on requests and go to the homes of its key, else to random endpoints.
  void ProbeSome(Request& r) {
    if (!r.affinity_endpoints.empty()) {
      return Ask(r, std::min<size_t>(kAskFirst, r.affinity_endpoints.size()));
    }
    probe_due += ProbeRate();
    for (; probe_due >= 1; probe_due -= 1) {
      // One never heard of comes first: a newcomer would else wait for its turn by chance.
      auto at = set.end();
      const auto idle = [&](size_t i) {
        return endpoints[i].probes_in_flight == 0;
      };
      if (set.size() <= kListMost) {
        at = std::ranges::find_if(
            set, [&](size_t i) { return endpoints[i].reported_at < Time(0) && idle(i); });
      }
      for (int draw = 0; draw < kDraws && !set.empty() && at == set.end(); ++draw) {
        at = set.begin() + static_cast<long>(Below(set.size()));
        if (!idle(*at)) {
          at = set.end();
        }
      }
      if (at != set.end()) {
        SendProbe(endpoints[*at]);
      }
    }
  }

  // slack 0: only where it is predicted well in time; 1: where nothing speaks against it; 2: all.
  ExclusionReason Barred(const Request& r, size_t ep, int slack) {
    Endpoint& e = endpoints[ep];
    if (!MaySend(r, e)) {
      return Warmth(e) < 1 ? ExclusionReason::kWarmingUp : ExclusionReason::kNotPermitted;
    }
    if (Silent(e) || (e.consecutive_ejections > 0 && e.attempts_in_flight > 0)) {
      return ExclusionReason::kUnhealthy;  // one trial at a time
    }
    const bool doubtful = e.consecutive_ejections > 0 ||
                          e.error_rate > kErrDoubt;  // no trials with what may not repeat
    if (slack < 2 && doubtful && r.request_class.idempotency == Idempotency::kUnsafe) {
      return ExclusionReason::kUnhealthy;
    }
    if (std::ranges::count(r.attempts, ep, &Attempt::endpoint) > 0) {
      return ExclusionReason::kNotPermitted;
    }
    // Asked before each send: who else knows what an endpoint holds by now?
    const auto fresh = [&](size_t i) {
      return (now - endpoints[i].reported_at <= kFresh);
    };
    if (now - e.reported_at > kFresh && std::ranges::any_of(r.affinity_endpoints, fresh)) {
      return ExclusionReason::kCapacityUnknown;
    }
    const double stretch = 1 + kStretch * (2 * r.priority_percentile - 1);
    if (Load(e) + 1 > Limit(e, slack == 0) * stretch) {
      return Tput(e) > 0 ? ExclusionReason::kAtConcurrencyLimit : ExclusionReason::kCapacityUnknown;
    }
    const bool late =
        slack == 0 &&
        Predict(e, r) > kAimShare * Us(r.arrived_at + r.request_class.latency_objective - now);
    return late ? ExclusionReason::kMissesLatencyObjective : ExclusionReason::kNone;
  }

  // The endpoint for a request, or kNone where none may take it.
  size_t Pick(const Request& r, int slack) {
    Purge();
    bars = {};
    const auto allowed = [&](size_t ep) {
      const ExclusionReason bar = Barred(r, ep, slack);
      ++bars[static_cast<size_t>(bar)];
      return bar == ExclusionReason::kNone;
    };
    if (pool.size() >= 2 && std::ranges::any_of(pool, allowed, &PoolEntry::endpoint)) {
      return pool[HotCold(allowed, r)].endpoint;
    }
    // Fallback without probes: two random choices by own attempts out, from a large set by draws.
    size_t a = kNone, b = kNone;
    for (int draw = 0; set.size() > kListMost && draw < kDraws && b == kNone; ++draw) {
      const size_t ep = set[Below(set.size())];
      if (allowed(ep)) {
        (a == kNone ? a : b) = ep;
      }
    }
    if (b == kNone) {
      std::vector<size_t> to;
      for (const size_t i : set) {
        if (allowed(i)) {
          to.push_back(i);
        }
      }
      if (to.empty()) {
        return kNone;
      }
      a = to[Below(to.size())];
      b = to[Below(to.size())];
    }
    stats.last_selection = SelectionMethod::kFallback;
    return endpoints[b].attempts_in_flight < endpoints[a].attempts_in_flight ? b : a;
  }

  // ---- 4. Legality gate: every send, refusal and failure passes here -------------------------
  bool MaySend(const Request& r, Endpoint& e) {
    if (r.finished || now >= r.arrival.deadline) {
      return false;
    }
    if (std::ssize(r.attempts) >= std::min(r.max_attempts, s.allowed.max_attempts)) {
      return false;
    }
    if (!Up(e) || (!s.allowed.parallel_attempts && r.attempts_in_flight > 0)) {
      return false;  // drains hold once told
    }
    for (const Attempt& a : r.attempts) {
      if (!a.may_have_run) {
        continue;
      }
      if (r.request_class.idempotency == Idempotency::kUnsafe) {
        return false;
      }
      if (r.request_class.idempotency == Idempotency::kSafe) {
        continue;
      }
      const EndpointInfo &was = endpoints[a.endpoint].info, &to = e.info;
      if (r.request_class.deduplication_scope == DeduplicationScope::kZone && was.zone != to.zone) {
        return false;
      }
      if (r.request_class.deduplication_scope == DeduplicationScope::kCell && was.cell != to.cell) {
        return false;
      }
      // A margin for the way there, so that the repeat arrives while it is still remembered.
      if (now - a.sent_at + s.allowed.connect_timeout >= r.request_class.deduplication_window) {
        return false;
      }
    }
    return WithinColdBudget(e, Cost(r));
  }

  [[nodiscard]] bool MayRefuse(const Request& r) const {
    if (r.request_class.idempotency == Idempotency::kSafe) {
      return true;
    }
    if (r.request_class.idempotency == Idempotency::kKeyed &&
        r.request_class.deduplication_scope == DeduplicationScope::kAll) {
      return true;
    }
    return std::ranges::none_of(r.attempts, &Attempt::may_have_run);
  }

  // A cold endpoint falls over if all gateways send too much; each keeps to its part of that.
  bool WithinColdBudget(Endpoint& e, double cost) {
    const double share = Warmth(e);
    if (share >= 1) {
      return true;
    }
    // Of what it does when warm, the part of each gateway that works with it; never more than the
    // arrivals ask of each endpoint. The own pace falls as requests are refused; for unknown kinds.
    const auto size = static_cast<double>(std::max<size_t>(set.size(), 1));
    const double sharers = std::max(1.0, s.instance_count * size / static_cast<double>(up));
    const double tput = WarmTput(e) > 0 ? std::min(WarmTput(e) / sharers,
                                                   decayed_arrivals / arrivals_span_us / size)
                                        : finished_work_per_us / size;
    const double rate = tput * share * s.rules.overload_collapse_multiple * kColdSafety;
    // Each begins at a place of its own under a whole request: not all at once, and not all late.
    const bool first = e.slow_start_refilled_at < Time(0);
    e.slow_start_tokens +=
        first ? Uniform() * (cost + kColdOverhead) : rate * Us(now - e.slow_start_refilled_at);
    e.slow_start_refilled_at = now;
    e.slow_start_tokens = std::min(
        e.slow_start_tokens, std::max(1.5, rate * Us(s.rules.overload_collapse_duration) / 4));
    return e.slow_start_tokens >= cost + kColdOverhead;
  }

  void SendTo(Request& r, size_t ep) {
    Endpoint& e = endpoints[ep];
    if (!MaySend(r, e)) {
      throw std::logic_error("a send that the rules forbid");
    }
    e.slow_start_tokens -= Cost(r) + kColdOverhead;
    TrackOut(e);
    if (e.attempts_in_flight++ == 0) {
      e.last_response_at = now;
    }
    r.attempts.push_back({.endpoint = ep, .sent_at = now, .in_flight_at_send = Load(e)});
    ++r.attempts_in_flight;
    ++stats.selections[static_cast<size_t>(stats.last_selection)];
    for (PoolEntry& p : pool) {
      p.uses_left -= p.endpoint == ep && stats.last_selection != SelectionMethod::kFallback ? 1 : 0;
    }
    Do(StartAttempt{r.arrival.id, e.info.id, Duration(0)});
    Degrade();
  }

  // A refusal while that is lawful. A client told to stay away for long comes back too late.
  void GiveUp(Request& r, ExclusionReason why) {
    if (std::exchange(r.finished, true)) {
      return;
    }
    ++stats.unserved_by_reason[static_cast<size_t>(why)];
    if (!MayRefuse(r)) {
      return Do(FailRequest{r.arrival.id});
    }
    const Duration away =
        std::min(s.allowed.max_retry_after, r.request_class.latency_objective / kAwayPart);
    Do(RejectRequest{r.arrival.id, s.allowed.retry_after ? away : Duration(0)});
  }

  // ---- 5. Attempts --------------------------------------------------------------------------

  Request* Find(const std::string& id) {
    const auto at = by_id.find(id);
    return at == by_id.end() ? nullptr : &open.at(at->second);
  }

  void On(const AttemptFinished& in) {
    Request* const known = Find(in.id);
    if (!known || in.attempt >= known->attempts.size() || !known->attempts[in.attempt].in_flight) {
      return;
    }
    Request& r = *known;
    Attempt& a = r.attempts[in.attempt];
    a.in_flight = false;
    --r.attempts_in_flight;
    a.may_have_run = in.outcome != Outcome::kRejected && in.outcome != Outcome::kConnectFailed &&
                     in.outcome != Outcome::kNotSent;
    Endpoint& e = endpoints[a.endpoint];
    const bool was_silent = Silent(e);
    TrackOut(e);
    --e.attempts_in_flight;
    if (in.load_report) {
      Learn(a.endpoint, *in.load_report);
    }
    const bool silent = in.outcome == Outcome::kTimeout || in.outcome == Outcome::kCancelled;
    if (!silent && (a.may_have_run || in.outcome == Outcome::kRejected)) {
      e.last_response_at = now;
    }
    if (silent) {
      Observe(e, a);
    }
    if (in.outcome == Outcome::kOk) {
      Answered(e, a, r, Us(in.elapsed));
    }
    if (in.outcome == Outcome::kError) {
      Failed(e, Judge(e));
    }
    if (in.outcome == Outcome::kReset || in.outcome == Outcome::kInvalidResponse) {
      Failed(e, kErrBlend / 4);
    }
    if (in.outcome == Outcome::kConnectFailed && e.in_subset) {
      Leave(e);  // once, however many at once
    }
    if (silent && was_silent) {
      Failed(e, 2 * kErrBlend);
    }
    r.finished = r.finished || in.request_finished;
    if (!r.finished && r.attempts_in_flight == 0) {
      // What was turned away cost its endpoint nothing; a fraction of a token keeps storms off.
      const double price = in.outcome == Outcome::kRejected ? kFullPrice : 1;
      if (in.request_consumed || retry_tokens < price ||
          Us(r.arrived_at + r.request_class.latency_objective - now) <
              mean_time_us[r.arrival.request_class] / 2) {
        GiveUp(r, ExclusionReason::kRetryBudgetExhausted);
      } else {
        retry_tokens -= price;
        r.waiting = true;
        r.probed_count = 0;
        if (!r.affinity_endpoints.empty()) {
          Ask(r, r.affinity_endpoints.size());
        }
        waiting.push_back(r.sequence_number);
      }
    }
    if (e.attempts_in_flight == 0 && s.key_affinity && s.costs.connection > 0) {
      Do(CloseIdleConnections{e.info.id});
    }
    Forget(r);
    Dispatch();
  }

  // ---- 6. Admission and fairness ------------------------------------------------------------
  // Whether this request is beyond its tenant's part of the arrivals here.
  bool BeyondShare(size_t tenant) {
    const double passed = arrivals_span_us > 0 ? Us(now - arrivals_updated_at) : kRateSpan / 10;
    const double kept = std::exp(-passed / kRateSpan);
    Blend(arrivals_span_us, kRateSpan, 1 - kept);
    decayed_arrivals = decayed_arrivals * kept + 1;
    arrivals_updated_at = now;
    if (tenant >= s.tenants.size()) {
      return false;
    }
    const double rate = kQuotaSlack * decayed_arrivals / arrivals_span_us,
                 share = s.tenants[tenant].share;
    tenant_tokens.resize(s.tenants.size(), {1, credit});
    auto& [tokens, at] = tenant_tokens[tenant];  // of its own alone: there may be very many
    credit += rate * passed;
    tokens = std::min(tokens + share * (credit - at), 2 + rate * share * kQuotaBurst);
    at = credit;
    return tokens < 1 || --tokens < 0;
  }

  // Worth for work. The class served worst here gains what the result mix adds for it.
  [[nodiscard]] double Priority(size_t cls) const {
    double worth = s.classes[cls].priority_weight, mean_worth = 0;
    for (size_t i = 0; i < arrival_shares.size(); ++i) {
      mean_worth += arrival_shares[i] * s.classes[i].priority_weight;
    }
    if (objective_met_rate[cls] <= std::ranges::min(objective_met_rate)) {
      const double whole = std::max(
          s.score_weights.whole + s.score_weights.worst_window + s.score_weights.nines, 0.1);
      worth +=
          s.score_weights.worst_class / whole * mean_worth / std::max(arrival_shares[cls], kBlend);
    }
    return worth / (s.priority_scales_with_work ? 1 : mean_time_us[cls]);
  }

  // Where a request stands in the arriving work, from the least worth (0) to the most (1), with the
  // excess of tenants below. Orders what waits and stretches the limits: one for all sheds all.
  [[nodiscard]] double Standing(const Request& r) {
    double below = 0, all = 0;
    for (size_t i = 0; i < arrival_shares.size(); ++i) {
      const double work = arrival_shares[i] * mean_time_us[i];
      all += work;
      if (i == r.arrival.request_class) {
        below += work * Uniform();
      }
      if (Priority(i) < Priority(r.arrival.request_class)) {
        below += work;
      }
    }
    const double part = below / all;
    return r.over_quota ? beyond_part * part : beyond_part + (1 - beyond_part) * part;
  }

  void On(const RequestArrived& in) {
    if (by_id.contains(in.id)) {
      return;
    }
    if (now >= refill_at) {  // places in the set that nobody could fill
      refill_at = now + kAwayFirst;
      FillSet();
    }
    const uint64_t seq = by_id[in.id] = next_seq++;
    const size_t cls = std::min(in.request_class, s.classes.size() - 1);
    for (size_t i = 0; i < arrival_shares.size(); ++i) {
      Blend(arrival_shares[i], i == cls ? 1 : 0, kBlend / 4);
    }
    Request& r = open[seq] = Request{seq, s.classes[cls], s.allowed.max_attempts, in, now, {}};
    r.arrival.request_class = cls;
    retry_tokens = std::min(kRetryMost, retry_tokens + kRetryEarn);
    const double expected = std::max(in.expected_work ? Us(*in.expected_work) : 0, 1.0);
    Blend(mean_expected_us, expected, mean_expected_us > 0 ? kBlend / 4 : 1);
    r.over_quota = BeyondShare(in.tenant);
    Blend(beyond_part, r.over_quota ? 1 : 0, kBlend / 4);
    r.priority_percentile = Standing(r);
    FindHomes(r);
    if (!in.is_client_retry || !r.affinity_endpoints.empty()) {
      ProbeSome(r);  // else the first try's probes serve it
    }
    waiting.push_back(seq);
    Dispatch();
  }

  // Sends what waits, the highest standing first; gives up at once on what cannot make it.
  void Dispatch() {
    if (waiting.empty()) {
      return;
    }
    std::vector<std::pair<double, uint64_t>> order;
    for (const uint64_t seq : waiting) {
      order.emplace_back(-open.at(seq).priority_percentile, seq);
    }
    std::ranges::sort(order);
    waiting.clear();
    bool full = false;
    for (const auto& [priority, seq] : order) {
      Request& r = open.at(seq);
      const bool repeat = !r.attempts.empty();
      bool wait = !r.finished && !Heard(r);
      size_t ep = kNone;
      if (!wait && !r.finished && (repeat || !full)) {
        ep = Pick(r, 0);
        wait = (ep == kNone || stats.last_selection == SelectionMethod::kHot) && Widen(r, kHomes);
        if (!wait && ep == kNone) {
          ep = Pick(r, 1);
        }
        wait = wait || (ep == kNone && Widen(r, kHomes + 2));
        if (!wait && ep == kNone) {
          ep = Pick(r, 2);
        }
      }
      // No timer comes early: a try that is given up soon gets its answer at this look.
      const bool late = repeat || now + 2 * kSweep >= r.arrival.deadline ||
                        Us(now - r.arrived_at) > kHoldShare * Us(r.request_class.latency_objective);
      if (!wait && ep != kNone) {
        SendTo(r, ep);
      }
      if (!wait && ep == kNone && late) {
        GiveUp(r, ExclusionReason(std::ranges::max_element(bars) - bars.begin()));
      }
      if (!wait && ep == kNone && !r.finished) {
        wait = full = true;
      }
      r.waiting = wait;
      wait ? waiting.push_back(seq) : Forget(r);
    }
    if (!waiting.empty() && !std::exchange(sweeping, true)) {
      Do(SetTimer{kSweep, "sweep"});
    }
  }

  void Forget(Request& r) {
    if (!r.finished || r.attempts_in_flight > 0 || r.waiting) {
      return;
    }
    Blend(objective_met_rate[r.arrival.request_class], r.met_objective ? 1 : 0, kBlend / 4);
    by_id.erase(r.arrival.id);
    open.erase(r.sequence_number);
  }

  // ---- 7. Events ----------------------------------------------------------------------------
  void Learn(size_t ep, const LoadReport& report) {
    Endpoint& e = endpoints[ep];
    const auto value = [&](size_t i) {
      return i < report.size() ? std::max(0.0, report[i]) : -1;
    };
    const double inflight = value(s.load_report.inflight),
                 latency = value(s.load_report.latency_ms);
    if (inflight < 0) {
      return;
    }
    const double w = e.reported_at < Time(0) || s.key_affinity
                         ? 1
                         : 1 - std::exp(-Us(now - e.reported_at) / kOthersSpan);
    Blend(e.external_in_flight, std::max(0.0, inflight - e.attempts_in_flight), w);
    ThroughputEstimate& kind = machine_kinds[e.info.machine_kind];
    kind.report_count = kind.report_count * (1 - kBlend) + 1;
    Blend(kind.reported_in_flight, inflight, 1 / kind.report_count);
    if (latency > 0) {
      Blend(kind.reported_latency_us, latency * 1000, 1 / kind.report_count);
    }
    e.reported_latency_us = latency * 1000;
    e.reported_at = now;
    // Reported latency omits the link: the measured way and the price of crossing come on top.
    const double price = e.info.zone != s.zone ? s.costs.cross_zone * target / kAimShare : 0;
    AddToPool(ep, std::max(latency, 0.0) * 1000, e.round_trip_us + price);
  }

  void On(const ProbeFinished& in) {
    const auto at = endpoint_index.find(in.endpoint);
    if (at == endpoint_index.end()) {
      return;
    }
    Endpoint& e = endpoints[at->second];
    e.probes_in_flight = std::max(0, e.probes_in_flight - 1);
    if (in.outcome == Outcome::kOk) {
      Blend(e.round_trip_us, Us(in.elapsed), e.round_trip_us > 0 ? kBlend : 1);
      if (in.load_report && Up(e)) {
        Learn(at->second, *in.load_report);
      }
    } else if (in.outcome == Outcome::kConnectFailed || in.outcome == Outcome::kTimeout) {
      Failed(e, kErrBlend);
    }
    Dispatch();
  }

  void On(const TimerFired& in) {
    if (in.token == "sweep") {
      sweeping = false;  // nothing ticks where nothing waits
      Dispatch();
    }
    if (in.token == "follow" && s.discovery_mode == DiscoveryMode::kPoll) {
      Do(WatchEndpoints{true});
    }
  }

  // Established: the attempt is its client's from here. PeerMessage: each decides by what it sees.
  template <typename T>
  void On(const T&) {}

  void On(const ClientDisconnected& in) {
    if (Request* const r = Find(in.id)) {
      r->finished = true;
      Forget(*r);
    }
  }
};

LoadBalancer::LoadBalancer(const Settings& settings, uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;
LoadBalancer& LoadBalancer::operator=(LoadBalancer&&) noexcept = default;

void LoadBalancer::Handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->now = now;
  impl_->act = &actions;
  std::visit([this](const auto& e) { impl_->On(e); }, event);
}

const Statistics& LoadBalancer::statistics() const {
  return impl_->stats;
}
const LearnedState& LoadBalancer::learned_state() const {
  return *impl_;
}
void LoadBalancer::ImportLearnedState(Time now, const LearnedState& told) {
  ImportState(*impl_, told, now);
}

}  // namespace paddlestile
