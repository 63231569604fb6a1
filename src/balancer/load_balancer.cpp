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

double Us(Duration d) { return static_cast<double>(d.count()); }
void Blend(double& mean, double sample, double weight) { mean += weight * (sample - mean); }
bool Up(const Endpoint& e) { return e.info.state == EndpointState::kUp; }

}  // namespace

struct Brain::Impl : Records {
  Impl(const Settings& settings, uint64_t seed) : rng(seed) {
    Adopt(settings);
    mean_time = target, retry_tokens = kRetryMost / 2;
  }

  // Classes and tenants keep their places, and so what was learned of them.
  void Adopt(const Settings& settings) {
    CheckSettings(settings);
    s = settings;
    const size_t n = s.classes.size();
    for (size_t i = times.size(); i < n; ++i) times.push_back(Us(s.classes[i].aim) / 4);
    target = kAimShare * Us(std::ranges::min(s.classes, {}, &RequestClass::aim).aim);
    served.assign(n, 1);  // one that is gone must not stay the worst served
    shares.resize(n, 1.0 / static_cast<double>(n));
  }
  void On(const Settings& in) { Adopt(in), Dispatch(); }
  void On(const TenantFigures& in) { TakeTenants(in, s); }  // they decide of arrivals alone

  Settings s;
  std::mt19937_64 rng;
  Stats stats;
  std::array<int, kBars> bars{};  // at the last look for an endpoint
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
  void On(const Members& m) {
    if (m.kind == ListKind::kFailed) {
      // Again, not in step with others and later each time; soon at first: what is missed is told.
      const double base = std::clamp(Us(s.obligations.must_ask_in) / 20, 2.5e5, 5e5);
      const double wait = base * std::pow(2, std::min(follow_failures++, 3)) * (0.5 + Uniform());
      return Do(SetTimer{Duration(std::llround(wait)), "follow"});
    }
    if (m.kind != ListKind::kCached) follow_failures = 0;
    if (m.kind != ListKind::kDelta) {
      set_whole = false;
      for (size_t i = 0; i < eps.size(); ++i) {
        eps[i].info.state = EndpointState::kRemoved;  // absent means gone
        gone.insert(gone.end(), i);
      }
    }
    std::vector<size_t> fresh, told;
    for (const EndpointInfo& info : m.entries) {
      const size_t ep = PlaceOf(info.id, eps, ep_index, open, pool, gone);
      Endpoint& e = eps[ep];
      told.push_back(ep);
      if (info.state == EndpointState::kUp && !e.was_up) fresh.push_back(ep);
      if (info.launched > e.info.launched) e = Restarted(e);
      e.info = info;
      e.hash = Hash(info.id);
      info.state == EndpointState::kRemoved ? void(gone.insert(ep)) : void(gone.erase(ep));
      e.info.kind = std::min(info.kind, kKindsMost);
      kinds.resize(std::max(kinds.size(), e.info.kind + 1));
    }
    // Only those told of: a look at all of a large fleet for each change would cost too much.
    if (m.kind != ListKind::kDelta) told.insert(told.end(), gone.begin(), gone.end());
    for (const size_t ep : told) {
      Endpoint& e = eps[ep];
      if (Up(e) != std::exchange(e.was_up, Up(e))) Up(e) ? ++up : --up;
      if (!Up(e)) set_whole = set_whole && !e.in_set;
    }
    Mix(fresh);
    FillSet();
    // Many may start at one moment, and the registry is small; one alone need not wait.
    const double spread = s.instances > 1 ? Us(s.obligations.must_ask_in) / 5 : 0;
    if (!std::exchange(started, true) && s.discovery == DiscoveryMode::kAsk)
      Do(SetTimer{Duration(std::llround(Uniform() * spread)), "follow"});
    Dispatch();
  }

  // Of a large fleet a gateway works with a share, met often; the sick leave their place in it.
  [[nodiscard]] bool Usable(const Endpoint& e) const { return Up(e) && now >= e.away_until; }

  // The newly listed enter a full set by any endpoint's chance; they would else be in nobody's.
  void Mix(const std::vector<size_t>& fresh) {
    for (const size_t ep : fresh) {
      const double most = Uniform() * static_cast<double>(up);
      if (eps[ep].in_set || set.empty() || most > static_cast<double>(set.size())) continue;
      eps[std::exchange(set[Below(set.size())], ep)].in_set = false;
      eps[ep].in_set = true;
      set_whole = set_whole && Usable(eps[ep]);
    }
  }

  void FillSet() {
    if (!set_whole) {
      std::erase_if(set, [&](size_t i) {
        eps[i].in_set = Usable(eps[i]);
        return !eps[i].in_set;
      });
      set_whole = true;
    }
    const double cover = kSetCover * static_cast<double>(up) / s.instances;
    // Where keys are kept warm, any endpoint may be a key's home.
    const auto want = s.warm_keys ? up : static_cast<size_t>(std::max(kSetLeast, std::ceil(cover)));
    if (set.size() >= std::min(want, up)) return;
    // Those away only up to half: where most fail alike, none is worse than its peers.
    for (const bool away : {false, true}) {
      const size_t most = away ? (std::min(want, up) + 1) / 2 : want;
      std::vector<size_t> rest;
      for (size_t i = 0; i < eps.size(); ++i) {
        if (!eps[i].in_set && Up(eps[i]) && (away || Usable(eps[i]))) rest.push_back(i);
      }
      for (; set.size() < most && !rest.empty(); rest.pop_back()) {
        size_t pick = Below(rest.size());
        for (int more = 0; more < kNearer && eps[rest[pick]].info.zone != s.zone; ++more)
          pick = Below(rest.size());  // crossing costs; by chance, so that zones still spill over
        std::swap(rest[pick], rest.back());
        eps[rest.back()].in_set = true;
        set.push_back(rest.back());
        set_whole = set_whole && !away;
      }
    }
  }

  // ---- 2. Health and capacity ---------------------------------------------------------------
  [[nodiscard]] double Cost(const Request& r) const {
    return r.in.expected ? Us(*r.in.expected) / mean_expected : times[r.in.cls] / mean_time;
  }

  // A hung endpoint keeps answering probes: what shows is that nothing of ours comes back.
  [[nodiscard]] bool Silent(const Endpoint& e) const {
    return e.out > 0 && Us(now - e.silent_since) > kSilence * mean_time;
  }

  // One outcome's weight on the error share: where they come seldom, the last one says most.
  double Judge(Endpoint& e) {
    const double gap = Us(now - std::exchange(e.judged, now));
    e.gap = std::clamp(gap, 1.0, kAwayLong);
    return std::max(kErrBlend, s.warm_keys ? 1 - std::exp(-gap / kRateSpan) : 0);
  }

  void Failed(Endpoint& e, double weight) {
    Blend(e.err, 1, weight);
    if (e.err > kErrEject && e.in_set) Leave(e);
  }

  // Another takes the place of one that is sick or gave no connection (its table may be full).
  void Leave(Endpoint& e) {
    const double away =
        std::max(Us(kAwayFirst), e.gap) * (1 << std::min(e.trips++, kAwayDoublings));
    e.away_until = now + Duration(std::llround(away * (0.5 + Uniform())));
    set_whole = false;
    FillSet();
  }

  void Answered(Endpoint& e, const Attempt& a, Request& r, double took) {
    r.in_time = r.in_time || now <= r.arrived + r.cls.aim;
    Judge(e);
    Blend(e.err, 0, kErrBlend);
    // A trial that succeeded.
    if (e.trips > 0 && e.in_set) e.trips = 0, e.err = std::min(e.err, kErrEject * 0.7);
    Blend(times[r.in.cls], took, kBlend / 4);
    Blend(mean_time, took, kBlend / 4);
    Observe(e, a);
    pace = pace * std::exp(-Us(now - paced) / kRateSpan) + Cost(r) / kRateSpan;
    paced = now;
  }

  // What is out or ran out of time counts too: answers alone would flatter a crowded endpoint.
  void Observe(Endpoint& e, const Attempt& a) {
    e.own.Count(a.f_at_send, kBlend);
    kinds[e.info.kind].Count(kinds[e.info.kind].held, kBlend / 4);
  }

  // What a started endpoint can do by now of its work when warm, at the least.
  [[nodiscard]] double Warmth(const Endpoint& e) const {
    const Time started_at = e.info.launched, warm = s.obligations.warm_within;
    if (started_at <= Time(0) || now - started_at >= warm * 1.1) return 1;
    const double from = s.obligations.cold_from, age = Us(now - started_at) / Us(warm);
    return from + (1 - from) * std::clamp(age, 0.0, 1.0);
  }

  // Throughput, 0 while unknown: own evidence of an endpoint beside that of its kind.
  [[nodiscard]] double Tput(const Endpoint& e) const { return Warmth(e) * WarmTput(e); }

  // How much of its kind's pace an endpoint keeps by its own report, which also mixes keys.
  [[nodiscard]] double Pacing(const Endpoint& e) const {
    if (!s.warm_keys || e.latency <= 0) return 1;
    return std::min(1.0, kSlower * kinds[e.info.kind].latency / e.latency);
  }

  [[nodiscard]] double WarmTput(const Endpoint& e) const {
    const Pace& kind = kinds[e.info.kind];
    // Before attempts tell: what reports say that its kind holds, over the mean time.
    const double tput = kind.done >= kFewSamples ? kind.Tput() : kind.held / mean_time;
    const double like = kind.reports >= kFewSamples ? tput * Pacing(e) : 0;
    const double own = e.own.done >= kFewSamples ? e.own.Tput() : 0;
    if (own <= 0 || like <= 0) return std::max(own, like);
    return like + (own - like) * e.own.done / (e.own.done + kFewSamples);
  }

  void TrackOut(Endpoint& e) {
    e.own.busy += Us(now - e.out_at) * e.out;
    kinds[e.info.kind].busy += Us(now - e.out_at) * e.out;
    e.out_at = now;
  }

  // An old report tells little of now: what it says fades towards the mean of its kind.
  [[nodiscard]] double Load(const Endpoint& e) const {
    const Pace& kind = kinds[e.info.kind];
    const double age = e.reported < Time(0) ? kReportFade * 10 : Us(now - e.reported);
    return kind.held + (e.others - kind.held) * std::exp(-age / kReportFade) + e.out;
  }

  // Limit on all that an endpoint holds: what it can finish within the target; past it, queueing
  // adds only delay, and some slow down and stay slow. Nothing known yet: a few.
  [[nodiscard]] double Limit(const Endpoint& e, bool strict) const {
    const Pace& kind = kinds[e.info.kind];
    const double tput = Tput(e), tight = s.warm_keys ? kTight : 1;
    const double room = e.own.Time() < target ? 1 : 0;  // one more, to learn whether it can do more
    const double learned = room + tput * target * tight;
    // What is asked before each send may be let hold more, as long as its kind is quick.
    const double spare = s.warm_keys && !strict ? kLimitLeast * (1 - kind.latency / target) : 0;
    const double first = s.warm_keys || tput <= 0 || kind.done < kFewSamples ? kLimitAtFirst : 2;
    return std::max({2.0, Pacing(e) * std::max(first, spare), learned});
  }

  [[nodiscard]] double Predict(const Endpoint& e, const Request& r) const {
    const double tput = Tput(e);
    return tput > 0 ? e.link + (Load(e) + std::min(Cost(r), 2.0)) / tput : 0;
  }

  // ---- 3. Probe pool and pick ---------------------------------------------------------------
  [[nodiscard]] size_t PoolBound() const {
    const auto share = static_cast<size_t>(kPoolShare * static_cast<double>(set.size()));
    return std::clamp<size_t>(share, 2, kPoolMost);
  }

  [[nodiscard]] double ProbeRate() const {
    if (!s.allowed.probes) return 0;
    // At the start as many as the set has: a first view, before the first seconds crowd it.
    if (s.charges.probe <= 0 || probed < static_cast<int>(set.size())) return kProbeMost;
    return std::clamp(kProbeSpend / s.charges.probe, kProbeLeast, kProbeMost);
  }

  // Uses of one answer, by the paper's formula; once outside its domain.
  double ReuseBudget() const {
    const double m = static_cast<double>(PoolBound()), n = static_cast<double>(set.size());
    const double net = (1 - m / n) * ProbeRate() - ProbeRate() * kRemovePerProbe;
    if (n <= m || net <= 0) return 1;
    return std::max(1.0, 2 / net);  // 2: one more than the paper's delta of 1
  }

  // Answers serve for a second, or where requests are few for as long as their probes fill the
  // pool.
  void Purge() {
    const double probes = std::max(ProbeRate() * arrivals / counted, 1e-6);
    const double age = std::max(kPoolAge, static_cast<double>(PoolBound()) / probes);
    std::erase_if(pool, [&](const PoolEntry& p) {
      return p.uses <= 0 || Us(now - p.at) > age || !eps[p.ep].in_set || !Up(eps[p.ep]);
    });
  }

  void AddToPool(size_t ep, double latency, double way) {
    std::erase_if(pool, [&](const PoolEntry& p) { return p.ep == ep; });
    const int uses = static_cast<int>(ReuseBudget() + Uniform());
    if (pool.size() >= PoolBound()) pool.erase(pool.begin());  // the oldest
    pool.push_back({ep, latency, way, now, uses});
  }

  // Exact rank over the pool's in-flight figures.
  [[nodiscard]] double ColdCut(double at) const {
    std::vector<double> rifs;
    for (const PoolEntry& p : pool) rifs.push_back(Load(eps[p.ep]));
    const auto rank = static_cast<size_t>(at * static_cast<double>(rifs.size() - 1));
    std::nth_element(rifs.begin(), rifs.begin() + static_cast<long>(rank), rifs.end());
    return rifs[rank];
  }

  // The hot-cold order: the cold before the hot, the cold by latency, the hot by in-flight.
  using Key = std::pair<bool, double>;
  [[nodiscard]] Key Rank(const PoolEntry& p, double cut, const Request* r = nullptr) const {
    const double rif = Load(eps[p.ep]);  // as of now, own sends and ends with it
    return rif <= cut ? Key{false, p.latency * (r ? Chill(*r, p.ep) : 1) + p.way} : Key{true, rif};
  }

  // The part of the usual time that an endpoint takes for this request, by how warm its key is.
  [[nodiscard]] double Chill(const Request& r, size_t ep) const {
    const auto at = std::ranges::find(r.homes, ep) - r.homes.begin();
    return r.homes.empty() ? 1 : std::min(1.0, kWarmTime + kLessWarm * static_cast<double>(at));
  }

  // Place in the pool of the best entry that is allowed, ties at random.
  template <typename Filter>
  size_t HotCold(const Filter& allowed, const Request& r) {
    size_t best = kNone, ties = 0;
    Key best_key;
    // A heavy request gains most where its key is warm, a light one where little else is at work.
    const double cut = ColdCut(s.warm_keys ? std::clamp(kWarmRank * Cost(r), 0.6, 1.0) : kColdRank);
    for (size_t i = 0; i < pool.size(); ++i) {
      const Key key = Rank(pool[i], cut, &r);
      if (!allowed(pool[i].ep) || (best != kNone && key > best_key)) continue;
      ties = best != kNone && key == best_key ? ties + 1 : 1;
      if (Below(ties) == 0) best = i, best_key = key;
    }
    stats.last = best_key.first ? Regime::kHot : Regime::kCold;
    return best;
  }

  // Removal on the request's beat: alternately the oldest and the worst of the pool.
  void Degrade() {
    for (remove_due += ProbeRate() * kRemovePerProbe; remove_due >= 1; remove_due -= 1) {
      if (pool.empty()) continue;
      const double cut = ColdCut(s.warm_keys ? kWarmRank : kColdRank);
      const auto rank = [&](const PoolEntry& p) { return Rank(p, cut); };
      pool.erase(remove_oldest ? pool.begin() : std::ranges::max_element(pool, {}, rank));
      remove_oldest = !remove_oldest;
    }
  }

  // A key's homes by weighted rendezvous: gateways with the same list agree on them without a word.
  void FindHomes(Request& r) {
    if (!s.warm_keys || !r.in.key) return;
    const uint64_t key = Hash(*r.in.key);
    std::vector<std::pair<double, size_t>> all;
    for (size_t i = 0; i < eps.size(); ++i) {
      const double weight = std::max(eps[i].info.weight, 1e-3);
      if (Up(eps[i])) all.emplace_back(std::log(Drawn(key, eps[i].hash)) / weight, i);
    }
    const size_t n = std::min(kHomes, all.size());
    std::ranges::partial_sort(all, all.begin() + static_cast<long>(n), std::greater{});
    for (size_t k = 0; k < n; ++k) r.homes.push_back(all[k].second);
  }

  // Whether the probes that ride on a request have told of its homes, or had their time.
  [[nodiscard]] bool Heard(const Request& r) const {
    if (now - r.asked >= kProbeWait || now + 2 * kSweep >= r.in.deadline) return true;
    return std::ranges::none_of(
        r.homes, [&](size_t i) { return eps[i].probes_out > 0 && eps[i].reported < r.asked; });
  }

  void SendProbe(Endpoint& e) {
    ++e.probes_out, ++probed;
    Do(Probe{e.info.id});
  }

  // Probes those of a request's homes of which nothing fresh is known; it waits for the answers.
  void Ask(Request& r, size_t most) {
    for (r.asked = now; r.known < most; ++r.known) {
      Endpoint& e = eps[r.homes[r.known]];
      const bool old = now - e.reported > kFresh && e.probes_out == 0;
      if (s.allowed.probes && e.in_set && old) SendProbe(e);
    }
  }

  // Where the first home is crowded the others are asked, then two more by chance.
  bool Widen(Request& r, size_t most) {
    if (r.homes.empty() || now + 2 * kSweep >= r.in.deadline) return false;
    for (int draw = 0; draw < kDraws && !set.empty() && r.homes.size() < most; ++draw) {
      const size_t ep = set[Below(set.size())];
      if (std::ranges::count(r.homes, ep) == 0) r.homes.push_back(ep);
    }
    if (r.known >= std::min(most, r.homes.size())) return false;
    Ask(r, std::min(most, r.homes.size()));
    return true;
  }

  // Probes ride on requests and go to the homes of its key, else to random endpoints.
  void ProbeSome(Request& r) {
    if (!r.homes.empty()) return Ask(r, std::min<size_t>(kAskFirst, r.homes.size()));
    probe_due += ProbeRate();
    for (; probe_due >= 1; probe_due -= 1) {
      // One never heard of comes first: a newcomer would else wait for its turn by chance.
      auto at = set.end();
      const auto idle = [&](size_t i) { return eps[i].probes_out == 0; };
      if (set.size() <= kListMost) {
        at = std::ranges::find_if(set,
                                  [&](size_t i) { return eps[i].reported < Time(0) && idle(i); });
      }
      for (int draw = 0; draw < kDraws && !set.empty() && at == set.end(); ++draw) {
        at = set.begin() + static_cast<long>(Below(set.size()));
        if (!idle(*at)) at = set.end();
      }
      if (at != set.end()) SendProbe(eps[*at]);
    }
  }

  // slack 0: only where it is predicted well in time; 1: where nothing speaks against it; 2: all.
  Bar Barred(const Request& r, size_t ep, int slack) {
    Endpoint& e = eps[ep];
    if (!MaySend(r, e)) return Warmth(e) < 1 ? Bar::kCold : Bar::kLaw;
    if (Silent(e) || (e.trips > 0 && e.out > 0)) return Bar::kSick;  // one trial at a time
    const bool doubtful = e.trips > 0 || e.err > kErrDoubt;  // no trials with what may not repeat
    if (slack < 2 && doubtful && r.cls.effect == Effect::kUnsafe) return Bar::kSick;
    if (std::ranges::count(r.attempts, ep, &Attempt::ep) > 0) return Bar::kLaw;
    // Asked before each send: who else knows what an endpoint holds by now?
    const auto fresh = [&](size_t i) { return (now - eps[i].reported <= kFresh); };
    if (now - e.reported > kFresh && std::ranges::any_of(r.homes, fresh)) return Bar::kNew;
    const double stretch = 1 + kStretch * (2 * r.standing - 1);
    if (Load(e) + 1 > Limit(e, slack == 0) * stretch) return Tput(e) > 0 ? Bar::kFull : Bar::kNew;
    const bool late = slack == 0 && Predict(e, r) > kAimShare * Us(r.arrived + r.cls.aim - now);
    return late ? Bar::kLate : Bar::kNone;
  }

  // The endpoint for a request, or kNone where none may take it.
  size_t Pick(const Request& r, int slack) {
    Purge();
    bars = {};
    const auto allowed = [&](size_t ep) {
      const Bar bar = Barred(r, ep, slack);
      return ++bars[static_cast<size_t>(bar)], bar == Bar::kNone;
    };
    if (pool.size() >= 2 && std::ranges::any_of(pool, allowed, &PoolEntry::ep))
      return pool[HotCold(allowed, r)].ep;
    // Fallback without probes: two random choices by own attempts out, from a large set by draws.
    size_t a = kNone, b = kNone;
    for (int draw = 0; set.size() > kListMost && draw < kDraws && b == kNone; ++draw) {
      const size_t ep = set[Below(set.size())];
      if (allowed(ep)) (a == kNone ? a : b) = ep;
    }
    if (b == kNone) {
      std::vector<size_t> to;
      for (const size_t i : set)
        if (allowed(i)) to.push_back(i);
      if (to.empty()) return kNone;
      a = to[Below(to.size())], b = to[Below(to.size())];
    }
    stats.last = Regime::kFallback;
    return eps[b].out < eps[a].out ? b : a;
  }

  // ---- 4. Legality gate: every send, refusal and failure passes here -------------------------
  bool MaySend(const Request& r, Endpoint& e) {
    if (r.over || now >= r.in.deadline) return false;
    if (std::ssize(r.attempts) >= std::min(r.send_cap, s.allowed.send_cap)) return false;
    if (!Up(e) || (!s.allowed.parallel_tries && r.out > 0)) return false;  // drains hold once told
    for (const Attempt& a : r.attempts) {
      if (!a.may_have_run) continue;
      if (r.cls.effect == Effect::kUnsafe) return false;
      if (r.cls.effect == Effect::kSafe) continue;
      const EndpointInfo &was = eps[a.ep].info, &to = e.info;
      if (r.cls.group == DedupGroup::kZone && was.zone != to.zone) return false;
      if (r.cls.group == DedupGroup::kCell && was.cell != to.cell) return false;
      // A margin for the way there, so that the repeat arrives while it is still remembered.
      if (now - a.sent + s.allowed.connect_timeout >= r.cls.window) return false;
    }
    return WithinColdBudget(e, Cost(r));
  }

  [[nodiscard]] bool MayRefuse(const Request& r) const {
    if (r.cls.effect == Effect::kSafe) return true;
    if (r.cls.effect == Effect::kKeyed && r.cls.group == DedupGroup::kAll) return true;
    return std::ranges::none_of(r.attempts, &Attempt::may_have_run);
  }

  // A cold endpoint falls over if all gateways send too much; each keeps to its part of that.
  bool WithinColdBudget(Endpoint& e, double cost) {
    const double share = Warmth(e);
    if (share >= 1) return true;
    // Of what it does when warm, the part of each gateway that works with it; never more than the
    // arrivals ask of each endpoint. The own pace falls as requests are refused; for unknown kinds.
    const auto size = static_cast<double>(std::max<size_t>(set.size(), 1));
    const double sharers = std::max(1.0, s.instances * size / static_cast<double>(up));
    const double tput =
        WarmTput(e) > 0 ? std::min(WarmTput(e) / sharers, arrivals / counted / size) : pace / size;
    const double rate = tput * share * s.obligations.fall_multiple * kColdSafety;
    // Each begins at a place of its own under a whole request: not all at once, and not all late.
    const bool first = e.cold_filled < Time(0);
    e.cold_tokens += first ? Uniform() * (cost + kColdOverhead) : rate * Us(now - e.cold_filled);
    e.cold_filled = now;
    e.cold_tokens = std::min(e.cold_tokens, std::max(1.5, rate * Us(s.obligations.fall) / 4));
    return e.cold_tokens >= cost + kColdOverhead;
  }

  void SendTo(Request& r, size_t ep) {
    Endpoint& e = eps[ep];
    if (!MaySend(r, e)) throw std::logic_error("a send that the rules forbid");
    e.cold_tokens -= Cost(r) + kColdOverhead;
    TrackOut(e);
    if (e.out++ == 0) e.silent_since = now;
    r.attempts.push_back({.ep = ep, .sent = now, .f_at_send = Load(e)});
    ++r.out;
    ++stats.picks[static_cast<size_t>(stats.last)];
    for (PoolEntry& p : pool) p.uses -= p.ep == ep && stats.last != Regime::kFallback ? 1 : 0;
    Do(Send{r.in.id, e.info.id, Duration(0)});
    Degrade();
  }

  // A refusal while that is lawful. A client told to stay away for long comes back too late.
  void GiveUp(Request& r, Bar why) {
    if (std::exchange(r.over, true)) return;
    ++stats.given_up[static_cast<size_t>(why)];
    if (!MayRefuse(r)) return Do(Fail{r.in.id});
    const Duration away = std::min(s.allowed.max_retry_after, r.cls.aim / kAwayPart);
    Do(Refuse{r.in.id, s.allowed.retry_after ? away : Duration(0)});
  }

  // ---- 5. Attempts --------------------------------------------------------------------------

  Request* Find(const std::string& id) {
    const auto at = by_id.find(id);
    return at == by_id.end() ? nullptr : &open.at(at->second);
  }

  void On(const Settled& in) {
    Request* const known = Find(in.id);
    if (!known || in.attempt >= known->attempts.size() || !known->attempts[in.attempt].out) return;
    Request& r = *known;
    Attempt& a = r.attempts[in.attempt];
    a.out = false, --r.out;
    a.may_have_run = in.outcome != Outcome::kFull && in.outcome != Outcome::kConnectFailed &&
                     in.outcome != Outcome::kMoot;
    Endpoint& e = eps[a.ep];
    const bool was_silent = Silent(e);
    TrackOut(e), --e.out;
    if (in.report) Learn(a.ep, *in.report);
    const bool silent = in.outcome == Outcome::kTimeout || in.outcome == Outcome::kCancelled;
    if (!silent && (a.may_have_run || in.outcome == Outcome::kFull)) e.silent_since = now;
    if (silent) Observe(e, a);
    if (in.outcome == Outcome::kOk) Answered(e, a, r, Us(in.took));
    if (in.outcome == Outcome::kError) Failed(e, Judge(e));
    if (in.outcome == Outcome::kReset || in.outcome == Outcome::kUnusable) Failed(e, kErrBlend / 4);
    if (in.outcome == Outcome::kConnectFailed && e.in_set) Leave(e);  // once, however many at once
    if (silent && was_silent) Failed(e, 2 * kErrBlend);
    r.over = r.over || in.final;
    if (!r.over && r.out == 0) {
      // What was turned away cost its endpoint nothing; a fraction of a token keeps storms off.
      const double price = in.outcome == Outcome::kFull ? kFullPrice : 1;
      if (in.spent || retry_tokens < price ||
          Us(r.arrived + r.cls.aim - now) < times[r.in.cls] / 2) {
        GiveUp(r, Bar::kSpent);
      } else {
        retry_tokens -= price, r.waiting = true, r.known = 0;
        if (!r.homes.empty()) Ask(r, r.homes.size());
        waiting.push_back(r.seq);
      }
    }
    if (e.out == 0 && s.warm_keys && s.charges.connection > 0) Do(CloseIdle{e.info.id});
    Forget(r);
    Dispatch();
  }

  // ---- 6. Admission and fairness ------------------------------------------------------------
  // Whether this request is beyond its tenant's part of the arrivals here.
  bool BeyondShare(size_t tenant) {
    const double passed = counted > 0 ? Us(now - arrivals_at) : kRateSpan / 10;
    const double kept = std::exp(-passed / kRateSpan);
    Blend(counted, kRateSpan, 1 - kept), arrivals = arrivals * kept + 1, arrivals_at = now;
    if (tenant >= s.tenants.size()) return false;
    const double rate = kQuotaSlack * arrivals / counted, share = s.tenants[tenant].share;
    tenant_tokens.resize(s.tenants.size(), {1, credit});
    auto& [tokens, at] = tenant_tokens[tenant];  // of its own alone: there may be very many
    credit += rate * passed;
    tokens = std::min(tokens + share * (credit - at), 2 + rate * share * kQuotaBurst), at = credit;
    return tokens < 1 || --tokens < 0;
  }

  // Worth for work. The class served worst here gains what the result mix adds for it.
  [[nodiscard]] double Priority(size_t cls) const {
    double worth = s.classes[cls].worth, mean_worth = 0;
    for (size_t i = 0; i < shares.size(); ++i) mean_worth += shares[i] * s.classes[i].worth;
    if (served[cls] <= std::ranges::min(served)) {
      const double whole = std::max(s.mix.whole + s.mix.worst_window + s.mix.nines, 0.1);
      worth += s.mix.worst_class / whole * mean_worth / std::max(shares[cls], kBlend);
    }
    return worth / (s.worth_by_work ? 1 : times[cls]);
  }

  // Where a request stands in the arriving work, from the least worth (0) to the most (1), with the
  // excess of tenants below. Orders what waits and stretches the limits: one for all sheds all.
  [[nodiscard]] double Standing(const Request& r) {
    double below = 0, all = 0;
    for (size_t i = 0; i < shares.size(); ++i) {
      const double work = shares[i] * times[i];
      all += work;
      if (i == r.in.cls) below += work * Uniform();
      if (Priority(i) < Priority(r.in.cls)) below += work;
    }
    const double part = below / all;
    return r.beyond ? beyond_part * part : beyond_part + (1 - beyond_part) * part;
  }

  void On(const Submit& in) {
    if (by_id.contains(in.id)) return;
    if (now >= refill_at) {  // places in the set that nobody could fill
      refill_at = now + kAwayFirst;
      FillSet();
    }
    const uint64_t seq = by_id[in.id] = next_seq++;
    const size_t cls = std::min(in.cls, s.classes.size() - 1);
    for (size_t i = 0; i < shares.size(); ++i) Blend(shares[i], i == cls ? 1 : 0, kBlend / 4);
    Request& r = open[seq] = Request{seq, s.classes[cls], s.allowed.send_cap, in, now, {}};
    r.in.cls = cls;
    retry_tokens = std::min(kRetryMost, retry_tokens + kRetryEarn);
    const double expected = std::max(in.expected ? Us(*in.expected) : 0, 1.0);
    Blend(mean_expected, expected, mean_expected > 0 ? kBlend / 4 : 1);
    r.beyond = BeyondShare(in.tenant);
    Blend(beyond_part, r.beyond ? 1 : 0, kBlend / 4);
    r.standing = Standing(r);
    FindHomes(r);
    if (!in.again || !r.homes.empty()) ProbeSome(r);  // else the first try's probes serve it
    waiting.push_back(seq);
    Dispatch();
  }

  // Sends what waits, the highest standing first; gives up at once on what cannot make it.
  void Dispatch() {
    if (waiting.empty()) return;
    std::vector<std::pair<double, uint64_t>> order;
    for (const uint64_t seq : waiting) order.emplace_back(-open.at(seq).standing, seq);
    std::ranges::sort(order);
    waiting.clear();
    bool full = false;
    for (const auto& [priority, seq] : order) {
      Request& r = open.at(seq);
      const bool repeat = !r.attempts.empty();
      bool wait = !r.over && !Heard(r);
      size_t ep = kNone;
      if (!wait && !r.over && (repeat || !full)) {
        ep = Pick(r, 0);
        wait = (ep == kNone || stats.last == Regime::kHot) && Widen(r, kHomes);
        if (!wait && ep == kNone) ep = Pick(r, 1);
        wait = wait || (ep == kNone && Widen(r, kHomes + 2));
        if (!wait && ep == kNone) ep = Pick(r, 2);
      }
      // No timer comes early: a try that is given up soon gets its answer at this look.
      const bool late = repeat || now + 2 * kSweep >= r.in.deadline ||
                        Us(now - r.arrived) > kHoldShare * Us(r.cls.aim);
      if (!wait && ep != kNone) SendTo(r, ep);
      if (!wait && ep == kNone && late)
        GiveUp(r, Bar(std::ranges::max_element(bars) - bars.begin()));
      if (!wait && ep == kNone && !r.over) wait = full = true;
      r.waiting = wait;
      wait ? waiting.push_back(seq) : Forget(r);
    }
    if (!waiting.empty() && !std::exchange(sweeping, true)) Do(SetTimer{kSweep, "sweep"});
  }

  void Forget(Request& r) {
    if (!r.over || r.out > 0 || r.waiting) return;
    Blend(served[r.in.cls], r.in_time ? 1 : 0, kBlend / 4);
    by_id.erase(r.in.id);
    open.erase(r.seq);
  }

  // ---- 7. Events ----------------------------------------------------------------------------
  void Learn(size_t ep, const Report& report) {
    Endpoint& e = eps[ep];
    const auto value = [&](size_t i) { return i < report.size() ? std::max(0.0, report[i]) : -1; };
    const double inflight = value(s.report.inflight), latency = value(s.report.latency_ms);
    if (inflight < 0) return;
    const double w =
        e.reported < Time(0) || s.warm_keys ? 1 : 1 - std::exp(-Us(now - e.reported) / kOthersSpan);
    Blend(e.others, std::max(0.0, inflight - e.out), w);
    Pace& kind = kinds[e.info.kind];
    kind.reports = kind.reports * (1 - kBlend) + 1;
    Blend(kind.held, inflight, 1 / kind.reports);
    if (latency > 0) Blend(kind.latency, latency * 1000, 1 / kind.reports);
    e.latency = latency * 1000;
    e.reported = now;
    // Reported latency omits the link: the measured way and the price of crossing come on top.
    const double price = e.info.zone != s.zone ? s.charges.cross_zone * target / kAimShare : 0;
    AddToPool(ep, std::max(latency, 0.0) * 1000, e.link + price);
  }

  void On(const ProbeResult& in) {
    const auto at = ep_index.find(in.endpoint);
    if (at == ep_index.end()) return;
    Endpoint& e = eps[at->second];
    e.probes_out = std::max(0, e.probes_out - 1);
    if (in.outcome == Outcome::kOk) {
      Blend(e.link, Us(in.took), e.link > 0 ? kBlend : 1);
      if (in.report && Up(e)) Learn(at->second, *in.report);
    } else if (in.outcome == Outcome::kConnectFailed || in.outcome == Outcome::kTimeout) {
      Failed(e, kErrBlend);
    }
    Dispatch();
  }

  void On(const TimerFired& in) {
    if (in.token == "sweep") sweeping = false, Dispatch();  // nothing ticks where nothing waits
    if (in.token == "follow" && s.discovery == DiscoveryMode::kAsk) Do(Follow{true});
  }

  // Established: the attempt is its client's from here. PeerNote: each decides by what it sees.
  template <typename T>
  void On(const T&) {}

  void On(const ClientLeft& in) {
    if (Request* const r = Find(in.id)) r->over = true, Forget(*r);
  }
};

Brain::Brain(const Settings& settings, uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Brain::~Brain() = default;
Brain::Brain(Brain&&) noexcept = default;
Brain& Brain::operator=(Brain&&) noexcept = default;

void Brain::Handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->now = now;
  impl_->act = &actions;
  std::visit([this](const auto& e) { impl_->On(e); }, event);
}

const Stats& Brain::stats() const { return impl_->stats; }
const Records& Brain::learned() const { return *impl_; }
void Brain::Learn(Time now, const Records& told) { TakeOver(*impl_, told, now); }

}  // namespace paddlestile
