#include "balancer/learned_state.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace paddlestile {

void ValidateSettings(const Settings& s) {
  constexpr Duration kLongest = std::chrono::hours(1);
  constexpr int kMostSends = 1000;
  const auto fail = [](const std::string& name, const char* expected) {
    throw std::invalid_argument("setting out of range: " + name + ", expected " + expected);
  };
  const auto need = [&](bool ok, const char* name, const char* expected) {
    if (!ok) {
      fail(name, expected);
    }
  };
  // Its name is put together where it is told: the items are many, and looked at with each change.
  const auto need_of = [&](bool ok, const char* list, size_t place, const char* name,
                           const char* expected) {
    if (!ok) {
      fail(std::string(list) + '.' + std::to_string(place) + '.' + name, expected);
    }
  };
  constexpr const char *kTime = "over 0 and an hour at most", *kNotNegative = "0 or more";
  need(s.instance_count >= 1, "NInstances", "1 or more");
  need(!s.classes.empty(), "Classes", "one at the least");
  for (size_t i = 0; i < s.classes.size(); ++i) {
    const RequestClass& c = s.classes[i];
    need_of(c.latency_objective > Duration(0) && c.latency_objective <= kLongest, "Classes", i,
            "Slo", kTime);
    need_of(c.deadline > Duration(0) && c.deadline <= kLongest, "Classes", i, "Deadline", kTime);
    need_of(c.priority_weight >= 0, "Classes", i, "Worth", kNotNegative);
    need_of(c.deduplication_window >= Duration(0), "Classes", i, "Window", kNotNegative);
  }
  for (size_t i = 0; i < s.tenants.size(); ++i) {
    need_of(s.tenants[i].share >= 0, "Tenants", i, "Share", kNotNegative);
  }
  need(s.allowed.max_attempts >= 1 && s.allowed.max_attempts <= kMostSends, "Allowed.SendCap",
       "1 to 1000");
  need(s.allowed.connect_timeout >= Duration(0), "Allowed.ConnectTimeout", kNotNegative);
  need(s.rules.slow_start_initial_capacity >= 0 && s.rules.slow_start_initial_capacity <= 1,
       "Obligations.ColdFrom", "0 to 1");
}

void ApplyTenantQuotas(const TenantQuotaUpdate& figures, Settings& s) {
  for (const auto& [place, tenant] : figures.entries) {
    if (tenant.share >= 0) {
      continue;
    }
    throw std::invalid_argument("setting out of range: Tenants." + std::to_string(place) +
                                ".Share, expected 0 or more");
  }
  for (const auto& [place, tenant] : figures.entries) {
    s.tenants.resize(std::max(s.tenants.size(), place + 1));
    s.tenants[place] = tenant;
  }
}

void ImportState(LearnedState& mine, const LearnedState& told, Time now) {
  constexpr Duration kSameStart{100'000};  // us; clocks are read apart
  for (const Endpoint& was : told.endpoints) {
    const auto at = mine.endpoint_index.find(was.info.id);
    if (at == mine.endpoint_index.end()) {
      continue;
    }
    Endpoint& e = mine.endpoints[at->second];
    const Duration apart = e.info.started_at - was.info.started_at;
    if (apart > kSameStart || apart < -kSameStart) {
      continue;
    }
    e.external_in_flight = was.external_in_flight;
    e.reported_at = was.reported_at;
    e.round_trip_us = was.round_trip_us;
    e.reported_latency_us = was.reported_latency_us;
    e.outcome_interval_us = was.outcome_interval_us;
    e.last_outcome_at = was.last_outcome_at;
    e.error_rate = was.error_rate;
    e.ejected_until = was.ejected_until;
    e.consecutive_ejections = was.consecutive_ejections;
    e.local_estimate = was.local_estimate;
    e.slow_start_tokens = was.slow_start_tokens;
    e.slow_start_refilled_at = was.slow_start_refilled_at;
  }
  for (size_t i = 0; i < std::min(mine.machine_kinds.size(), told.machine_kinds.size()); ++i) {
    if (told.machine_kinds[i].finished_attempts > 0) {
      mine.machine_kinds[i] = told.machine_kinds[i];
    }
  }
  for (size_t i = 0; i < std::min(mine.mean_time_us.size(), told.mean_time_us.size()); ++i) {
    if (told.mean_time_us[i] <= 0) {
      continue;
    }
    mine.mean_time_us[i] = told.mean_time_us[i];
    mine.objective_met_rate[i] = told.objective_met_rate[i];
    mine.arrival_shares[i] = std::max(told.arrival_shares[i], 1e-6);
  }
  if (told.mean_request_time_us > 0) {
    mine.mean_request_time_us = told.mean_request_time_us;
  }
  mine.mean_expected_us = std::max(told.mean_expected_us, 0.0);
  mine.finished_work_per_us = told.finished_work_per_us;
  mine.decayed_arrivals = told.decayed_arrivals;
  mine.arrivals_span_us =
      told.arrivals_span_us > 0 ? told.arrivals_span_us : 5e6;  // an older version tells none
  mine.retry_tokens = std::min(told.retry_tokens, mine.retry_tokens);
  mine.finished_work_updated_at = mine.arrivals_updated_at = now;
}

uint64_t HashOfId(const std::string& text) {
  uint64_t h = 0xcbf29ce484222325;
  for (const char c : text) {
    h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  }
  return h;
}

double UniformFromHashes(uint64_t a, uint64_t b) {
  uint64_t h = a ^ b;
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9;
  h = (h ^ (h >> 27)) * 0x94d049bb133111eb;
  return (static_cast<double>((h ^ (h >> 31)) >> 11) + 0.5) * 0x1p-53;
}

size_t EndpointSlotFor(const std::string& id, std::vector<Endpoint>& eps,
                       std::unordered_map<std::string, size_t>& index,
                       const std::map<uint64_t, Request>& open, const std::vector<PoolEntry>& pool,
                       const std::set<size_t>& gone) {
  if (const auto at = index.find(id); at != index.end()) {
    return at->second;
  }
  const auto unused = [&](const Endpoint& e) {
    if (e.info.state != EndpointState::kRemoved || e.was_up || e.in_subset ||
        e.attempts_in_flight > 0) {
      return false;
    }
    const auto place = static_cast<size_t>(&e - eps.data());
    const auto named = [&](const auto& request) {
      return std::ranges::count(request.second.attempts, place, &Attempt::endpoint) > 0;
    };
    return std::ranges::none_of(open, named) &&
           std::ranges::count(pool, place, &PoolEntry::endpoint) == 0;
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
