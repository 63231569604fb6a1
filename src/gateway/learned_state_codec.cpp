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
constexpr const char* kListKey = "list";
constexpr double kMaxNumber = 1e15;
constexpr double kMaxAgeMs = 1e12;
constexpr int kMaxConsecutiveEjections = 16;

// ForEachField calls `field` with the JSON key of, and a reference to, each number in a record. It
// is used for encoding and decoding. Each overload requires a member that only its record has.

template <typename Record, typename Field>
void ForEachField(Record& endpoint, const Field& field) requires requires {
  endpoint.consecutive_ejections;
}
{
  field("f", endpoint.local_estimate.mean_in_flight);
  field("busy", endpoint.local_estimate.busy_us);
  field("done", endpoint.local_estimate.finished_attempts);
  field("others", endpoint.external_in_flight);
  field("link", endpoint.round_trip_us);
  field("latency", endpoint.reported_latency_us);
  field("gap", endpoint.outcome_interval_us);
  field("err", endpoint.error_rate);
  field("cold", endpoint.slow_start_tokens);
}

template <typename Record, typename Field>
void ForEachField(Record& kind, const Field& field) requires requires {
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
void ForEachField(Record& state, const Field& field) requires requires {
  state.mean_request_time_us;
}
{
  field("mean_time", state.mean_request_time_us);
  field("mean_expected", state.mean_expected_us);
  field("pace", state.finished_work_per_us);
  field("arrivals", state.decayed_arrivals);
  field("counted", state.arrivals_span_us);
  field("retry_tokens", state.retry_tokens);
}

template <typename Record>
json EncodeFields(const Record& record) {
  json object = json::object();
  ForEachField(record, [&](const char* key, double value) { object[key] = value; });
  return object;
}

// The decoding functions throw if a value is missing, of the wrong type or out of range.

double DecodeNumber(const json& object, const char* key) {
  const double value = object.at(key).get<double>();
  if (!std::isfinite(value) || std::abs(value) > kMaxNumber) {
    throw std::out_of_range(key);
  }
  return value;
}

template <typename Record>
void DecodeFields(const json& object, Record& record) {
  ForEachField(record, [&](const char* key, double& value) { value = DecodeNumber(object, key); });
}

// Encodes a time as milliseconds before `now`, which is negative for a later time. Time(0) and
// earlier mean "never" and are encoded as null.
json EncodeTime(Time time, Time now) {
  if (time <= Time(0)) {
    return nullptr;
  }
  return static_cast<double>((now - time).count()) / 1000;
}

Time DecodeTime(const json& age, Time now, Time never) {
  if (age.is_null()) {
    return never;
  }
  const double age_ms = age.get<double>();
  if (!std::isfinite(age_ms) || std::abs(age_ms) > kMaxAgeMs) {
    throw std::out_of_range("age");
  }
  return now - Duration(std::llround(age_ms * 1000));
}

json EncodeEndpoint(const Endpoint& endpoint, Time now) {
  json object = EncodeFields(endpoint);
  object["id"] = endpoint.info.id;
  object["launched"] = EncodeTime(endpoint.info.started_at, now);
  object["reported"] = EncodeTime(endpoint.reported_at, now);
  object["judged"] = EncodeTime(endpoint.last_outcome_at, now);
  object["away"] = EncodeTime(endpoint.ejected_until, now);
  object["filled"] = EncodeTime(endpoint.slow_start_refilled_at, now);
  object["trips"] = endpoint.consecutive_ejections;
  return object;
}

Endpoint DecodeEndpoint(const json& object, Time now) {
  Endpoint endpoint;
  DecodeFields(object, endpoint);
  endpoint.info.id = object.at("id").get<std::string>();
  endpoint.info.started_at = DecodeTime(object.at("launched"), now, Time(0));
  endpoint.reported_at = DecodeTime(object.at("reported"), now, endpoint.reported_at);
  endpoint.last_outcome_at = DecodeTime(object.at("judged"), now, endpoint.last_outcome_at);
  endpoint.ejected_until = DecodeTime(object.at("away"), now, endpoint.ejected_until);
  endpoint.slow_start_refilled_at =
      DecodeTime(object.at("filled"), now, endpoint.slow_start_refilled_at);
  endpoint.consecutive_ejections =
      std::clamp(object.at("trips").get<int>(), 0, kMaxConsecutiveEjections);
  return endpoint;
}

// Calls `callback` with the name and index of each entry of `table` with an index below `size`. An
// empty table counts as one entry with an empty name.
template <typename Callback>
void ForEachName(const NameTable& table, size_t size, const Callback& callback) {
  if (table.size() == 0 && size > 0) {
    return callback(std::string(), size_t{0});
  }
  for (const auto& [name, index] : table.positions()) {
    if (index < size) {
      callback(name, index);
    }
  }
}

void DecodeKinds(const json& kinds, const NameTables& names, LearnedState& state) {
  for (const auto& [name, kind] : kinds.items()) {
    const size_t index = names.kinds.size() == 0 ? 0 : names.kinds.Find(name);
    if (index >= std::max<size_t>(names.kinds.size(), 1)) {
      continue;
    }
    state.machine_kinds.resize(std::max(state.machine_kinds.size(), index + 1));
    DecodeFields(kind, state.machine_kinds[index]);
  }
}

void DecodeClasses(const json& classes, const NameTables& names, LearnedState& state) {
  for (const auto& [name, request_class] : classes.items()) {
    const size_t index = names.classes.Find(name);
    if (index >= names.classes.size()) {
      continue;
    }
    const size_t size = std::max(state.mean_time_us.size(), index + 1);
    state.mean_time_us.resize(size);
    state.objective_met_rate.resize(size);
    state.arrival_shares.resize(size);
    state.mean_time_us[index] = DecodeNumber(request_class, "time");
    state.objective_met_rate[index] = DecodeNumber(request_class, "served");
    state.arrival_shares[index] = DecodeNumber(request_class, "share");
  }
}

json EncodeEndpoints(const LearnedState& learned, Time now) {
  json hosts = json::array();
  for (const Endpoint& endpoint : learned.endpoints) {
    if (endpoint.info.state != EndpointState::kRemoved) {
      hosts.push_back(EncodeEndpoint(endpoint, now));
    }
  }
  return hosts;
}

std::string ToText(const json& document) {
  return document.dump(-1, ' ', true, json::error_handler_t::replace);
}

}  // namespace

std::string EncodeLearnedState(const LearnedState& learned, const EndpointList& endpoint_list,
                               const NameTables& names, Time now,
                               const UnixMillisFromTime& to_unix_millis) {
  json document = EncodeFields(learned);
  document["version"] = kVersion;
  document["hosts"] = EncodeEndpoints(learned, now);
  document[kListKey] = EncodeEndpointList(endpoint_list, names, to_unix_millis);
  json& kinds = document["kinds"] = json::object();
  ForEachName(names.kinds, learned.machine_kinds.size(),
              [&](const std::string& name, size_t index) {
                kinds[name] = EncodeFields(learned.machine_kinds[index]);
              });
  json& classes = document["classes"] = json::object();
  ForEachName(names.classes, learned.mean_time_us.size(),
              [&](const std::string& name, size_t index) {
                classes[name] = {{"time", learned.mean_time_us[index]},
                                 {"served", learned.objective_met_rate[index]},
                                 {"share", learned.arrival_shares[index]}};
              });
  std::string text = ToText(document);
  if (text.size() > kMaxLearnedStateBytes) {
    document["hosts"] = json::array();
    text = ToText(document);
  }
  return text.size() <= kMaxLearnedStateBytes ? text : std::string();
}

std::optional<LearnedState> DecodeLearnedState(const std::string& text, const NameTables& names,
                                               Time now) try {
  const json document = json::parse(text);
  if (document.at("version") != kVersion) {
    return std::nullopt;
  }
  LearnedState state;
  DecodeFields(document, state);
  for (const json& host : document.at("hosts")) {
    state.endpoints.push_back(DecodeEndpoint(host, now));
  }
  DecodeKinds(document.at("kinds"), names, state);
  DecodeClasses(document.at("classes"), names, state);
  return state;
} catch (const std::exception&) {
  return std::nullopt;
}

std::optional<EndpointList> DecodeHandedOverList(const std::string& text, const NameTables& names,
                                                 const TimeFromUnixMillis& from_unix_millis) {
  const json document = json::parse(text, nullptr, false);
  const auto list = document.find(kListKey);
  if (!document.is_object() || list == document.end()) {
    return std::nullopt;
  }
  return DecodeEndpointList(*list, names, from_unix_millis);
}

}  // namespace paddlestile
