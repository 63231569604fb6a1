#include "gateway/learned_state_codec.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace paddlestile {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;

// Each field of a record under one name, on both ways alike.
template <typename Record, typename Field>
void EachOf(Record& e, const Field& field) requires requires {
  e.consecutive_ejections;
}
{
  field("f", e.local_estimate.mean_in_flight);
  field("busy", e.local_estimate.busy_us);
  field("done", e.local_estimate.finished_attempts);
  field("others", e.external_in_flight);
  field("link", e.round_trip_us);
  field("latency", e.reported_latency_us);
  field("gap", e.outcome_interval_us);
  field("err", e.error_rate);
  field("cold", e.slow_start_tokens);
}
template <typename Record, typename Field>
void EachOf(Record& kind, const Field& field) requires requires {
  kind.report_count;
}
{
  field("f", kind.mean_in_flight);
  field("busy", kind.busy_us);
  field("done", kind.finished_attempts);
  field("held", kind.reported_in_flight);
  field("reports", kind.report_count);
  field("latency", kind.reported_latency_us);
}
template <typename Record, typename Field>
void EachOf(Record& all, const Field& field) requires requires {
  all.mean_request_time_us;
}
{
  field("mean_time", all.mean_request_time_us);
  field("mean_expected", all.mean_expected_us);
  field("pace", all.finished_work_per_us);
  field("arrivals", all.decayed_arrivals);
  field("counted", all.arrivals_span_us);
  field("retry_tokens", all.retry_tokens);
}

template <typename Record>
json Write(const Record& record) {
  json out = json::object();
  EachOf(record, [&](const char* name, double value) { out[name] = value; });
  return out;
}

double Number(const json& from, const char* name) {
  constexpr double kMost = 1e15;
  const double value = from.at(name).get<double>();
  if (!std::isfinite(value) || std::abs(value) > kMost) {
    throw std::out_of_range(name);
  }
  return value;
}

template <typename Record>
void Read(const json& from, Record& record) {
  EachOf(record, [&](const char* name, double& value) { value = Number(from, name); });
}

// Times as milliseconds before (or, of what is to come, after) now; null: never.
json Age(Time at, Time now) {
  if (at <= Time(0)) {
    return nullptr;
  }
  return static_cast<double>((now - at).count()) / 1000;
}
Time At(const json& age, Time now, Time never) {
  if (age.is_null()) {
    return never;
  }
  const double ms = age.get<double>();
  if (!std::isfinite(ms) || std::abs(ms) > 1e12) {
    throw std::out_of_range("age");
  }
  return now - Duration(std::llround(ms * 1000));
}

// By the places of a table; the one place of a table without names is "".
template <typename Then>
void EachName(const NameTable& table, size_t size, const Then& then) {
  if (table.size() == 0 && size > 0) {
    return then(std::string(), size_t{0});
  }
  for (const auto& [name, place] : table.positions()) {
    if (place < size) {
      then(name, place);
    }
  }
}

}  // namespace

std::string EncodeLearnedState(const LearnedState& learned, const NameTables& names, Time now) {
  json out = Write(learned);
  out["version"] = kVersion;
  json& hosts = out["hosts"] = json::array();
  for (const Endpoint& e : learned.endpoints) {
    if (e.info.state == EndpointState::kRemoved) {
      continue;
    }
    json host = Write(e);
    host["id"] = e.info.id;
    host["launched"] = Age(e.info.started_at, now);
    host["reported"] = Age(e.reported_at, now);
    host["judged"] = Age(e.last_outcome_at, now);
    host["away"] = Age(e.ejected_until, now);
    host["filled"] = Age(e.slow_start_refilled_at, now);
    host["trips"] = e.consecutive_ejections;
    hosts.push_back(std::move(host));
  }
  json& kinds = out["kinds"] = json::object();
  EachName(names.kinds, learned.machine_kinds.size(), [&](const std::string& name, size_t i) {
    kinds[name] = Write(learned.machine_kinds[i]);
  });
  json& classes = out["classes"] = json::object();
  EachName(names.classes, learned.mean_time_us.size(), [&](const std::string& name, size_t i) {
    classes[name] = {{"time", learned.mean_time_us[i]},
                     {"served", learned.objective_met_rate[i]},
                     {"share", learned.arrival_shares[i]}};
  });
  std::string text = out.dump(-1, ' ', true, json::error_handler_t::replace);
  return text.size() <= kMaxLearnedStateBytes ? text : std::string();
}

std::optional<LearnedState> DecodeLearnedState(const std::string& text, const NameTables& names,
                                               Time now) try {
  const json in = json::parse(text);
  if (in.at("version") != kVersion) {
    return std::nullopt;
  }
  LearnedState told;
  Read(in, told);
  for (const json& host : in.at("hosts")) {
    Endpoint e;
    Read(host, e);
    e.info.id = host.at("id").get<std::string>();
    e.info.started_at = At(host.at("launched"), now, Time(0));
    e.reported_at = At(host.at("reported"), now, e.reported_at);
    e.last_outcome_at = At(host.at("judged"), now, e.last_outcome_at);
    e.ejected_until = At(host.at("away"), now, e.ejected_until);
    e.slow_start_refilled_at = At(host.at("filled"), now, e.slow_start_refilled_at);
    e.consecutive_ejections = std::clamp(host.at("trips").get<int>(), 0, 16);
    told.endpoints.push_back(std::move(e));
  }
  // A place that nothing is told of stays empty, and is not taken over.
  const auto place = [](const NameTable& table, const std::string& name) {
    return table.size() == 0 ? 0 : table.Find(name);
  };
  for (const auto& [name, kind] : in.at("kinds").items()) {
    const size_t at = place(names.kinds, name);
    if (at >= std::max<size_t>(names.kinds.size(), 1)) {
      continue;
    }
    told.machine_kinds.resize(std::max(told.machine_kinds.size(), at + 1));
    Read(kind, told.machine_kinds[at]);
  }
  for (const auto& [name, cls] : in.at("classes").items()) {
    const size_t at = names.classes.Find(name);
    if (at >= names.classes.size()) {
      continue;
    }
    const size_t n = std::max(told.mean_time_us.size(), at + 1);
    told.mean_time_us.resize(n);
    told.objective_met_rate.resize(n);
    told.arrival_shares.resize(n);
    told.mean_time_us[at] = Number(cls, "time");
    told.objective_met_rate[at] = Number(cls, "served");
    told.arrival_shares[at] = Number(cls, "share");
  }
  return told;
} catch (const std::exception&) {
  return std::nullopt;
}

}  // namespace paddlestile
