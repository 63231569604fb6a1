#include "config/balancer_settings.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "config/wire_values.h"

namespace paddlestile {
namespace {

constexpr double kMaxInteger = 1e9;
constexpr int kMaxListLength = 100'000;

// The pairs by name. Records which names have been looked up.
class SettingPairs {
 public:
  // `text` must outlive this object. Throws wire::InvalidValue if a piece is not a pair.
  explicit SettingPairs(std::string_view text) {
    if (text.empty()) {
      return;
    }
    for (const std::string_view pair : wire::Split(text, ' ')) {
      const size_t equals = pair.find('=');
      if (equals == std::string_view::npos || equals == 0) {
        throw wire::InvalidValue("setting", pair);
      }
      values_.insert_or_assign(std::string(pair.substr(0, equals)), pair.substr(equals + 1));
    }
  }

  // Each Read leaves `value` unchanged if the setting is absent, and throws wire::InvalidValue if
  // it is malformed.
  void Read(const std::string& name, double& value) const {
    if (const auto text = Find(name)) {
      value = wire::ParseNumber(name, *text);
    }
  }
  void Read(const std::string& name, int& value) const {
    const auto text = Find(name);
    if (!text) {
      return;
    }
    const double number = wire::ParseNumber(name, *text);
    if (number != std::floor(number) || std::abs(number) > kMaxInteger) {
      throw wire::InvalidValue(name, *text, "a whole number");
    }
    value = static_cast<int>(number);
  }
  void Read(const std::string& name, Duration& value) const {
    if (const auto text = Find(name)) {
      value = wire::ParseMillis(name, *text);
    }
  }
  void Read(const std::string& name, bool& value) const {
    const auto text = Find(name);
    if (!text) {
      return;
    }
    if (*text != "true" && *text != "false") {
      throw wire::InvalidValue(name, *text, "true or false");
    }
    value = *text == "true";
  }
  template <typename Enum>
  void Read(const std::string& name, Enum& value,
            std::initializer_list<std::pair<std::string_view, Enum>> words) const {
    const auto text = Find(name);
    if (!text) {
      return;
    }
    std::string expected;
    for (const auto& [word, meaning] : words) {
      if (word == *text) {
        value = meaning;
        return;
      }
      expected += (expected.empty() ? "one of " : ", ") + std::string(word);
    }
    throw wire::InvalidValue(name, *text, expected);
  }

  [[nodiscard]] bool Has(const std::string& name) const { return Find(name).has_value(); }

  // Returns the items of a list of words. The result is empty if the list is empty or absent.
  [[nodiscard]] wire::Fields List(const std::string& name) const {
    const auto text = Find(name);
    return text && !text->empty() ? wire::Split(*text, ',') : wire::Fields{};
  }

  // Returns the length of a list of objects. Throws wire::InvalidValue if it is out of range.
  [[nodiscard]] int Count(const std::string& name) const {
    int count = 0;
    Read(name + ".count", count);
    if (count < 0 || count > kMaxListLength) {
      throw wire::InvalidValue(name + ".count", std::to_string(count), "0 to 100000");
    }
    return count;
  }

  // Returns the names that were never looked up.
  [[nodiscard]] std::vector<std::string> Unread() const {
    std::vector<std::string> names;
    for (const auto& [name, value] : values_) {
      if (!read_.contains(name)) {
        names.push_back(name);
      }
    }
    return names;
  }

 private:
  [[nodiscard]] std::optional<std::string_view> Find(const std::string& name) const {
    read_.insert(name);
    const auto found = values_.find(name);
    if (found == values_.end() || wire::IsAbsent(found->second)) {
      return std::nullopt;
    }
    return found->second;
  }

  std::map<std::string, std::string_view> values_;
  mutable std::set<std::string> read_;
};

RequestClass ReadRequestClass(const SettingPairs& pairs, const std::string& prefix) {
  RequestClass request_class;
  pairs.Read<Idempotency>(prefix + "Effect", request_class.idempotency,
                          {{"safe", Idempotency::kSafe},
                           {"keyed", Idempotency::kKeyed},
                           {"unsafe", Idempotency::kUnsafe}});
  pairs.Read<DeduplicationScope>(prefix + "Group", request_class.deduplication_scope,
                                 {{"all", DeduplicationScope::kAll},
                                  {"zone", DeduplicationScope::kZone},
                                  {"cell", DeduplicationScope::kCell}});
  pairs.Read(prefix + "Window", request_class.deduplication_window);
  pairs.Read(prefix + "Slo", request_class.latency_objective);
  pairs.Read(prefix + "Deadline", request_class.deadline);
  pairs.Read(prefix + "AimStretch", request_class.latency_objective_stretch);
  pairs.Read(prefix + "Worth", request_class.priority_weight);
  pairs.Read(prefix + "LateShare", request_class.late_value_fraction);
  pairs.Read(prefix + "Streamed", request_class.is_streamed);
  return request_class;
}

void ReadClassesAndTenants(const SettingPairs& pairs, Settings& settings) {
  const int class_count = pairs.Count("Classes");
  for (int i = 0; i < class_count; ++i) {
    settings.classes.push_back(ReadRequestClass(pairs, "Classes." + std::to_string(i) + "."));
  }
  const int tenant_count = pairs.Count("Tenants");
  for (int i = 0; i < tenant_count; ++i) {
    const std::string prefix = "Tenants." + std::to_string(i) + ".";
    TenantQuota quota;
    pairs.Read(prefix + "QuotaPerS", quota.requests_per_second);
    pairs.Read(prefix + "Share", quota.share);
    settings.tenants.push_back(quota);
  }
  pairs.Read("OverShareWorth", settings.over_quota_priority_factor);
  bool by_work = false;
  pairs.Read<bool>("ValueBy", by_work, {{"request", false}, {"work", true}});
  settings.priority_scales_with_work = by_work;
}

void ReadEnvironment(const SettingPairs& pairs, Settings& settings) {
  pairs.Read<DiscoveryMode>(
      "RegistryMode", settings.discovery_mode,
      {{"automatic", DiscoveryMode::kPush}, {"subscribe", DiscoveryMode::kPoll}});
  pairs.Read<WeightKind>("WeightKind", settings.weight_kind,
                         {{"none", WeightKind::kNone},
                          {"nominal", WeightKind::kNominal},
                          {"rough", WeightKind::kRough},
                          {"live", WeightKind::kLive}});
  pairs.Read("Callers.MarksRetry", settings.clients_mark_retries);
  pairs.Read("FamilyInfo.WarmKeys", settings.key_affinity);
}

void ReadAllowed(const SettingPairs& pairs, Settings& settings) {
  pairs.Read("Allowed.Cancel", settings.allowed.cancel);
  pairs.Read("Allowed.ParallelTries", settings.allowed.parallel_attempts);
  pairs.Read("Allowed.Probes", settings.allowed.probes);
  pairs.Read("Allowed.PeerMessages", settings.allowed.peer_messages);
  pairs.Read("Allowed.RetryAfter", settings.allowed.retry_after);
  pairs.Read("Allowed.MaxRetryAfter", settings.allowed.max_retry_after);
  pairs.Read("Allowed.ConnectTimeout", settings.allowed.connect_timeout);
  pairs.Read("Allowed.SendCap", settings.allowed.max_attempts);
  pairs.Read("Allowed.MostHeld", settings.allowed.max_held_requests);
  pairs.Read("Allowed.MaxStreams", settings.allowed.max_streams);
  pairs.Read("Allowed.CpuUsPerS", settings.allowed.cpu_us_per_s);
}

void ReadCosts(const SettingPairs& pairs, Settings& settings) {
  pairs.Read("Charges.CrossZone", settings.costs.cross_zone);
  pairs.Read("Charges.Handshake", settings.costs.handshake);
  pairs.Read("Charges.LateFail", settings.costs.late_failure);
  pairs.Read("Charges.Probe", settings.costs.probe);
  pairs.Read("Charges.Waste", settings.costs.wasted_work);
  pairs.Read("Charges.Connection", settings.costs.connection);
}

void ReadScoreWeights(const SettingPairs& pairs, Settings& settings) {
  auto& weights = settings.score_weights;
  pairs.Read("ResultMix.Whole", weights.whole);
  pairs.Read("ResultMix.WorstClass", weights.worst_class);
  pairs.Read("ResultMix.WorstTenant", weights.worst_tenant);
  pairs.Read("ResultMix.WorstWindow", weights.worst_window);
  pairs.Read("ResultMix.NinesPart", weights.nines);
  pairs.Read("ResultMix.TopNines", weights.top_nines);
  if (pairs.Has("ResultMix.NinesPart") && weights.nines < 0) {
    throw wire::InvalidValue("ResultMix.NinesPart", std::to_string(weights.nines), "0 or more");
  }
  if (pairs.Has("ResultMix.TopNines") && weights.top_nines <= 0) {
    throw wire::InvalidValue("ResultMix.TopNines", std::to_string(weights.top_nines),
                             "a number above 0");
  }
  if (weights.nines > 0 && !pairs.Has("ResultMix.TopNines")) {
    throw wire::InvalidValue("ResultMix.NinesPart", std::to_string(weights.nines),
                             "ResultMix.TopNines beside it");
  }
}

void ReadRules(const SettingPairs& pairs, Settings& settings) {
  pairs.Read("Obligations.AnswerSlack", settings.rules.response_slack);
  pairs.Read("Obligations.DrainGrace", settings.rules.drain_grace);
  pairs.Read("Obligations.MustAskIn", settings.rules.discovery_interval);
  pairs.Read("Obligations.ColdFrom", settings.rules.slow_start_initial_capacity);
  pairs.Read("Obligations.WarmWithin", settings.rules.slow_start_duration);
  pairs.Read("Obligations.FallMultiple", settings.rules.overload_collapse_multiple);
  pairs.Read("Obligations.Fall", settings.rules.overload_collapse_duration);
}

void ReadLoadReport(const SettingPairs& pairs, Settings& settings) {
  pairs.Read<LoadReportSource>("Stats.Source", settings.load_report.source,
                               {{"answers", LoadReportSource::kResponses},
                                {"probe", LoadReportSource::kProbes},
                                {"none", LoadReportSource::kNone}});
  const wire::Fields names = pairs.List("Stats.Fields");
  for (size_t i = 0; i < names.size(); ++i) {
    if (names[i] == "inflight") {
      settings.load_report.inflight = i;
    }
    if (names[i] == "latency_ms") {
      settings.load_report.latency_ms = i;
    }
  }
}

Settings ReadSettings(const SettingPairs& pairs) {
  Settings settings;
  pairs.Read("Me", settings.instance_index);
  pairs.Read("NInstances", settings.instance_count);
  pairs.Read("Zone", settings.zone);
  const auto zone_count = static_cast<int>(pairs.List("FailureDomains").size());
  settings.zone_count = std::max(1, zone_count);
  // Only the first invalid setting is reported, so the order of the reads is observable.
  ReadClassesAndTenants(pairs, settings);
  ReadEnvironment(pairs, settings);
  ReadAllowed(pairs, settings);
  ReadCosts(pairs, settings);
  ReadScoreWeights(pairs, settings);
  ReadRules(pairs, settings);
  ReadLoadReport(pairs, settings);
  return settings;
}

// Replaces spaces and commas, which separate pairs and list items.
std::string ReplaceSeparators(std::string_view text) {
  std::string result(text);
  for (char& character : result) {
    if (character == ' ' || character == ',') {
      character = '_';
    }
  }
  return result;
}

std::string FlattenScalar(const Json& value) {
  switch (value.type()) {
    case Json::Type::kBool:
      return value.boolean() ? "true" : "false";
    case Json::Type::kNumber:
      return value.text();
    case Json::Type::kString:
      return ReplaceSeparators(value.text());
    default:
      return "-";
  }
}

std::string JoinPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

void AppendPair(const std::string& name, const std::string& value, std::string& out) {
  if (!out.empty()) {
    out += ' ';
  }
  out += name;
  out += '=';
  out += value;
}

void AppendFlattened(const std::string& path, const Json& value, std::string& out);

void AppendObject(const std::string& path, const Json& object, std::string& out) {
  for (const auto& [name, field] : object.fields()) {
    // The pair of such a name could be parsed as that of another one. No setting has such a name.
    if (name.empty() || name.find_first_of(" =.") != std::string::npos) {
      continue;
    }
    AppendFlattened(JoinPath(path, name), field, out);
  }
}

void AppendArray(const std::string& path, const std::vector<Json>& items, std::string& out) {
  if (!items.empty() && items[0].type() == Json::Type::kObject) {
    AppendPair(path + ".count", std::to_string(items.size()), out);
    for (size_t i = 0; i < items.size(); ++i) {
      AppendFlattened(path + "." + std::to_string(i), items[i], out);
    }
    return;
  }
  std::string list;
  for (const Json& item : items) {
    if (!list.empty()) {
      list += ',';
    }
    list += FlattenScalar(item);
  }
  AppendPair(path, list, out);
}

void AppendFlattened(const std::string& path, const Json& value, std::string& out) {
  switch (value.type()) {
    case Json::Type::kObject:
      return AppendObject(path, value, out);
    case Json::Type::kArray:
      return AppendArray(path, value.items(), out);
    default:
      return AppendPair(path, FlattenScalar(value), out);
  }
}

}  // namespace

Settings ParseSettings(std::string_view pairs) {
  return ReadSettings(SettingPairs(pairs));
}

std::vector<std::string> UnreadSettings(std::string_view pairs) {
  const SettingPairs settings(pairs);
  ReadSettings(settings);
  return settings.Unread();
}

std::string FlattenSettings(const Json& settings) {
  std::string out;
  AppendFlattened("", settings, out);
  return out;
}

}  // namespace paddlestile
