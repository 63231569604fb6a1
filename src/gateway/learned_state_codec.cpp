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
  e.trips;
}
{
  field("f", e.own.f);
  field("busy", e.own.busy);
  field("done", e.own.done);
  field("others", e.others);
  field("link", e.link);
  field("latency", e.latency);
  field("gap", e.gap);
  field("err", e.err);
  field("cold", e.cold_tokens);
}
template <typename Record, typename Field>
void EachOf(Record& kind, const Field& field) requires requires {
  kind.reports;
}
{
  field("f", kind.f);
  field("busy", kind.busy);
  field("done", kind.done);
  field("held", kind.held);
  field("reports", kind.reports);
  field("latency", kind.latency);
}
template <typename Record, typename Field>
void EachOf(Record& all, const Field& field) requires requires {
  all.mean_time;
}
{
  field("mean_time", all.mean_time);
  field("mean_expected", all.mean_expected);
  field("pace", all.pace);
  field("arrivals", all.arrivals);
  field("counted", all.counted);
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
  if (!std::isfinite(value) || std::abs(value) > kMost) throw std::out_of_range(name);
  return value;
}

template <typename Record>
void Read(const json& from, Record& record) {
  EachOf(record, [&](const char* name, double& value) { value = Number(from, name); });
}

// Times as milliseconds before (or, of what is to come, after) now; null: never.
json Age(Time at, Time now) {
  if (at <= Time(0)) return nullptr;
  return static_cast<double>((now - at).count()) / 1000;
}
Time At(const json& age, Time now, Time never) {
  if (age.is_null()) return never;
  const double ms = age.get<double>();
  if (!std::isfinite(ms) || std::abs(ms) > 1e12) throw std::out_of_range("age");
  return now - Duration(std::llround(ms * 1000));
}

// By the places of a table; the one place of a table without names is "".
template <typename Then>
void EachName(const NameTable& table, size_t size, const Then& then) {
  if (table.size() == 0 && size > 0) return then(std::string(), size_t{0});
  for (const auto& [name, place] : table.places()) {
    if (place < size) then(name, place);
  }
}

}  // namespace

std::string KnowledgeText(const Records& learned, const Names& names, Time now) {
  json out = Write(learned);
  out["version"] = kVersion;
  json& hosts = out["hosts"] = json::array();
  for (const Endpoint& e : learned.eps) {
    if (e.info.state == EndpointState::kRemoved) continue;
    json host = Write(e);
    host["id"] = e.info.id;
    host["launched"] = Age(e.info.launched, now);
    host["reported"] = Age(e.reported, now);
    host["judged"] = Age(e.judged, now);
    host["away"] = Age(e.away_until, now);
    host["filled"] = Age(e.cold_filled, now);
    host["trips"] = e.trips;
    hosts.push_back(std::move(host));
  }
  json& kinds = out["kinds"] = json::object();
  EachName(names.kinds, learned.kinds.size(),
           [&](const std::string& name, size_t i) { kinds[name] = Write(learned.kinds[i]); });
  json& classes = out["classes"] = json::object();
  EachName(names.classes, learned.times.size(), [&](const std::string& name, size_t i) {
    classes[name] = {
        {"time", learned.times[i]}, {"served", learned.served[i]}, {"share", learned.shares[i]}};
  });
  std::string text = out.dump(-1, ' ', true, json::error_handler_t::replace);
  return text.size() <= kMostKnowledge ? text : std::string();
}

std::optional<Records> ParseKnowledge(const std::string& text, const Names& names, Time now) try {
  const json in = json::parse(text);
  if (in.at("version") != kVersion) return std::nullopt;
  Records told;
  Read(in, told);
  for (const json& host : in.at("hosts")) {
    Endpoint e;
    Read(host, e);
    e.info.id = host.at("id").get<std::string>();
    e.info.launched = At(host.at("launched"), now, Time(0));
    e.reported = At(host.at("reported"), now, e.reported);
    e.judged = At(host.at("judged"), now, e.judged);
    e.away_until = At(host.at("away"), now, e.away_until);
    e.cold_filled = At(host.at("filled"), now, e.cold_filled);
    e.trips = std::clamp(host.at("trips").get<int>(), 0, 16);
    told.eps.push_back(std::move(e));
  }
  // A place that nothing is told of stays empty, and is not taken over.
  const auto place = [](const NameTable& table, const std::string& name) {
    return table.size() == 0 ? 0 : table.Find(name);
  };
  for (const auto& [name, kind] : in.at("kinds").items()) {
    const size_t at = place(names.kinds, name);
    if (at >= std::max<size_t>(names.kinds.size(), 1)) continue;
    told.kinds.resize(std::max(told.kinds.size(), at + 1));
    Read(kind, told.kinds[at]);
  }
  for (const auto& [name, cls] : in.at("classes").items()) {
    const size_t at = names.classes.Find(name);
    if (at >= names.classes.size()) continue;
    const size_t n = std::max(told.times.size(), at + 1);
    told.times.resize(n), told.served.resize(n), told.shares.resize(n);
    told.times[at] = Number(cls, "time");
    told.served[at] = Number(cls, "served");
    told.shares[at] = Number(cls, "share");
  }
  return told;
} catch (const std::exception&) {
  return std::nullopt;
}

}  // namespace paddlestile
