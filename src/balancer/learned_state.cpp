#include "balancer/learned_state.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace paddlestile {

void CheckSettings(const Settings& s) {
  constexpr Duration kLongest = std::chrono::hours(1);
  constexpr int kMostSends = 1000;
  const auto fail = [](const std::string& name, const char* expected) {
    throw std::invalid_argument("setting out of range: " + name + ", expected " + expected);
  };
  const auto need = [&](bool ok, const char* name, const char* expected) {
    if (!ok) fail(name, expected);
  };
  // Its name is put together where it is told: the items are many, and looked at with each change.
  const auto need_of = [&](bool ok, const char* list, size_t place, const char* name,
                           const char* expected) {
    if (!ok) fail(std::string(list) + '.' + std::to_string(place) + '.' + name, expected);
  };
  constexpr const char *kTime = "over 0 and an hour at most", *kNotNegative = "0 or more";
  need(s.instances >= 1, "NInstances", "1 or more");
  need(!s.classes.empty(), "Classes", "one at the least");
  for (size_t i = 0; i < s.classes.size(); ++i) {
    const RequestClass& c = s.classes[i];
    need_of(c.aim > Duration(0) && c.aim <= kLongest, "Classes", i, "Slo", kTime);
    need_of(c.deadline > Duration(0) && c.deadline <= kLongest, "Classes", i, "Deadline", kTime);
    need_of(c.worth >= 0, "Classes", i, "Worth", kNotNegative);
    need_of(c.window >= Duration(0), "Classes", i, "Window", kNotNegative);
  }
  for (size_t i = 0; i < s.tenants.size(); ++i) {
    need_of(s.tenants[i].share >= 0, "Tenants", i, "Share", kNotNegative);
  }
  need(s.allowed.send_cap >= 1 && s.allowed.send_cap <= kMostSends, "Allowed.SendCap", "1 to 1000");
  need(s.allowed.connect_timeout >= Duration(0), "Allowed.ConnectTimeout", kNotNegative);
  need(s.obligations.cold_from >= 0 && s.obligations.cold_from <= 1, "Obligations.ColdFrom",
       "0 to 1");
}

void TakeTenants(const TenantFigures& figures, Settings& s) {
  for (const auto& [place, tenant] : figures.entries) {
    if (tenant.share >= 0) continue;
    throw std::invalid_argument("setting out of range: Tenants." + std::to_string(place) +
                                ".Share, expected 0 or more");
  }
  for (const auto& [place, tenant] : figures.entries) {
    s.tenants.resize(std::max(s.tenants.size(), place + 1));
    s.tenants[place] = tenant;
  }
}

void TakeOver(Records& mine, const Records& told, Time now) {
  constexpr Duration kSameStart{100'000};  // us; clocks are read apart
  for (const Endpoint& was : told.eps) {
    const auto at = mine.ep_index.find(was.info.id);
    if (at == mine.ep_index.end()) continue;
    Endpoint& e = mine.eps[at->second];
    const Duration apart = e.info.launched - was.info.launched;
    if (apart > kSameStart || apart < -kSameStart) continue;
    e.others = was.others, e.reported = was.reported;
    e.link = was.link, e.latency = was.latency;
    e.gap = was.gap, e.judged = was.judged, e.err = was.err;
    e.away_until = was.away_until, e.trips = was.trips;
    e.own = was.own;
    e.cold_tokens = was.cold_tokens, e.cold_filled = was.cold_filled;
  }
  for (size_t i = 0; i < std::min(mine.kinds.size(), told.kinds.size()); ++i) {
    if (told.kinds[i].done > 0) mine.kinds[i] = told.kinds[i];
  }
  for (size_t i = 0; i < std::min(mine.times.size(), told.times.size()); ++i) {
    if (told.times[i] <= 0) continue;
    mine.times[i] = told.times[i];
    mine.served[i] = told.served[i];
    mine.shares[i] = std::max(told.shares[i], 1e-6);
  }
  if (told.mean_time > 0) mine.mean_time = told.mean_time;
  mine.mean_expected = std::max(told.mean_expected, 0.0);
  mine.pace = told.pace;
  mine.arrivals = told.arrivals;
  mine.counted = told.counted > 0 ? told.counted : 5e6;  // an older version tells none
  mine.retry_tokens = std::min(told.retry_tokens, mine.retry_tokens);
  mine.paced = mine.arrivals_at = now;
}

uint64_t Hash(const std::string& text) {
  uint64_t h = 0xcbf29ce484222325;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return h;
}

double Drawn(uint64_t a, uint64_t b) {
  uint64_t h = a ^ b;
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9;
  h = (h ^ (h >> 27)) * 0x94d049bb133111eb;
  return (static_cast<double>((h ^ (h >> 31)) >> 11) + 0.5) * 0x1p-53;
}

size_t PlaceOf(const std::string& id, std::vector<Endpoint>& eps,
               std::unordered_map<std::string, size_t>& index,
               const std::map<uint64_t, Request>& open, const std::vector<PoolEntry>& pool,
               const std::set<size_t>& gone) {
  if (const auto at = index.find(id); at != index.end()) return at->second;
  const auto unused = [&](const Endpoint& e) {
    if (e.info.state != EndpointState::kRemoved || e.was_up || e.in_set || e.out > 0) return false;
    const auto place = static_cast<size_t>(&e - eps.data());
    const auto named = [&](const auto& request) {
      return std::ranges::count(request.second.attempts, place, &Attempt::ep) > 0;
    };
    return std::ranges::none_of(open, named) &&
           std::ranges::count(pool, place, &PoolEntry::ep) == 0;
  };
  // The first that fits, without a look at all the others of a large fleet.
  const auto free = std::ranges::find_if(gone, [&](size_t i) { return unused(eps[i]); });
  auto at = eps.begin() + (free == gone.end() ? 0 : static_cast<long>(*free));
  if (free == gone.end()) {
    at = eps.insert(eps.end(), Endpoint{});
  } else {
    index.erase(at->info.id);
    *at = Endpoint{};
  }
  at->info.id = id;
  return index[id] = static_cast<size_t>(at - eps.begin());
}

}  // namespace paddlestile
