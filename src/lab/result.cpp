#include "lab/result.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace paddlestile::lab {
namespace {

using nlohmann::json;

// If the lab itself is later than this, its measurements say nothing about the gateway.
constexpr double kMaxLagMs = 300;
constexpr double kMaxLagP99Ms = 30;
constexpr size_t kMaxHostsPerWindow = 64;  // with more hosts, a window has only the spread

double Share(uint64_t count, uint64_t total) {
  return total > 0 ? static_cast<double>(count) / static_cast<double>(total) : 0;
}

}  // namespace

std::string_view NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kHeld:
      return "held";
    case Verdict::kBroken:
      return "broken";
    case Verdict::kVoid:
      return "void";
  }
  return "";
}

std::optional<Verdict> ParseVerdict(std::string_view name) {
  for (const Verdict verdict : {Verdict::kHeld, Verdict::kBroken, Verdict::kVoid}) {
    if (NameOf(verdict) == name) {
      return verdict;
    }
  }
  return std::nullopt;
}

uint64_t Result::broken_count() const {
  const uint64_t breaches = counts.all_breaches();
  if (breaches == 0) {
    return broken.size();
  }
  const auto is_rule_breach = [](const std::string& message) {
    return message.starts_with("rule: ");
  };
  return breaches + broken.size() -
         static_cast<uint64_t>(std::ranges::count_if(broken, is_rule_breach));
}

uint32_t Quantile(std::vector<uint32_t>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(std::ceil(fraction * static_cast<double>(values.size())));
  const auto position =
      values.begin() + static_cast<long>(std::clamp<size_t>(rank, 1, values.size()) - 1);
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

void Judge(const Experiment& experiment, const std::vector<Breach>& breaches, Result& result) {
  const Ledger::Counts& counts = result.counts;
  for (const Breach& breach : breaches) {
    result.broken.push_back(fmt::format("rule: {} at {:.3f} s, {}: {}", NameOf(breach.rule),
                                        static_cast<double>(breach.at.count()) / 1e6, breach.id,
                                        breach.what));
  }
  for (size_t rule = 0; rule < kRuleCount; ++rule) {
    const auto reported = std::ranges::count(breaches, static_cast<Rule>(rule), &Breach::rule);
    if (counts.breaches[rule] > static_cast<uint64_t>(reported)) {
      result.broken.push_back(fmt::format("rule: {}: {} more", NameOf(static_cast<Rule>(rule)),
                                          counts.breaches[rule] - static_cast<uint64_t>(reported)));
    }
  }
  result.broken.insert(result.broken.end(), result.bank.broken.begin(), result.bank.broken.end());
  result.broken.insert(result.broken.end(), result.scale.broken.begin(), result.scale.broken.end());
  const auto require_at_least = [&](const std::optional<double>& bound, double value,
                                    std::string_view name) {
    if (bound && value < *bound) {
      result.broken.push_back(fmt::format("must: {} {:.4g}, at least {:.4g}", name, value, *bound));
    }
  };
  const auto require_at_most = [&](const std::optional<double>& bound, double value,
                                   std::string_view name) {
    if (bound && value > *bound) {
      result.broken.push_back(fmt::format("must: {} {:.4g}, at most {:.4g}", name, value, *bound));
    }
  };
  const Requirements& requirements = experiment.requirements;
  require_at_least(requirements.min_worth_share, result.worth_share(), "worth_share");
  require_at_least(requirements.min_served_share, Share(counts.served, counts.asked),
                   "served_share");
  require_at_most(requirements.max_refused_share, Share(counts.refused, counts.asked),
                  "refused_share");
  require_at_most(requirements.max_failed_share, Share(counts.failed, counts.asked),
                  "failed_share");
  require_at_most(requirements.max_late_share, Share(counts.late, counts.asked), "late_share");
  require_at_most(requirements.max_p50_ms, result.p50_us / 1000.0, "p50_ms");
  require_at_most(requirements.max_p99_ms, result.p99_us / 1000.0, "p99_ms");
  require_at_most(requirements.max_cpu_us, result.cpu_us_per_request, "cpu_us");
  require_at_most(requirements.max_rss_mb, static_cast<double>(result.rss_kb_max) / 1024, "rss_mb");
  require_at_most(requirements.max_rss_growth_mb, static_cast<double>(result.rss_kb_growth) / 1024,
                  "rss_growth_mb");
  require_at_most(requirements.max_descriptors, static_cast<double>(result.descriptors_max),
                  "descriptors");
  require_at_most(requirements.max_misbehaving_unanswered_share,
                  Share(result.bad_unanswered, result.bad_sent), "bad_unanswered_share");
  if (result.bank.enabled) {
    require_at_most(requirements.max_unavailable_ms, result.bank.max_unavailable_ms,
                    "unavailable_ms");
    require_at_most(requirements.max_p50_follow_ms, result.bank.follow_ms_p50, "follow_ms_p50");
    require_at_least(requirements.min_changes_done_share,
                     Share(result.bank.acknowledged, result.bank.changes), "changes_done_share");
  }
  if (result.bad_served > 0) {
    result.broken.push_back(
        fmt::format("must: {} malformed requests were served", result.bad_served));
  }
  for (const WindowRequirement& requirement : requirements.windows) {
    double asked = 0, served = 0;
    for (const WindowResult& window : result.windows) {
      if (window.at_s * 1e6 < static_cast<double>(requirement.from.count()) ||
          window.at_s * 1e6 >= static_cast<double>(requirement.to.count())) {
        continue;
      }
      asked += window.counts.worth_asked;
      served += window.counts.worth_served;
    }
    const double share = asked > 0 ? served / asked : 0;
    require_at_least(requirement.min_worth_share, share,
                     fmt::format("worth_share from {:.0f} to {:.0f} s",
                                 static_cast<double>(requirement.from.count()) / 1e6,
                                 static_cast<double>(requirement.to.count()) / 1e6));
  }
  if (result.lab_lag_ms_max > kMaxLagMs) {
    result.late.push_back(fmt::format("the lab was {:.0f} ms late once, expected at most {:.0f}",
                                      result.lab_lag_ms_max, kMaxLagMs));
  }
  if (result.lab_lag_ms_p99 > kMaxLagP99Ms) {
    result.late.push_back(fmt::format("the lab was {:.0f} ms late at p99, expected at most {:.0f}",
                                      result.lab_lag_ms_p99, kMaxLagP99Ms));
  }
  result.verdict = !result.late.empty()     ? Verdict::kVoid
                   : !result.broken.empty() ? Verdict::kBroken
                                            : Verdict::kHeld;
}

namespace {

json ExcusedToJson(const Ledger::Counts& counts) {
  json excused = json::object();
  for (size_t excuse = 0; excuse < kExcuseCount; ++excuse) {
    excused[std::string(NameOf(static_cast<Excuse>(excuse)))] = counts.excused[excuse];
  }
  return excused;
}

json WindowsToJson(const std::vector<WindowResult>& window_results) {
  json windows = json::array();
  for (const WindowResult& window : window_results) {
    std::vector<size_t> counts;
    json hosts = json::object();
    for (const auto& [name, inflight] : window.inflight) {
      counts.push_back(inflight);
      if (window.inflight.size() <= kMaxHostsPerWindow) {
        hosts[name] = inflight;
      }
    }
    std::ranges::sort(counts);
    const auto quantile = [&](double fraction) {
      return counts.empty()
                 ? 0
                 : counts[static_cast<size_t>(fraction * static_cast<double>(counts.size() - 1))];
    };
    windows.push_back(
        {{"at_s", window.at_s},
         {"asked", window.counts.asked},
         {"served", window.counts.served},
         {"late", window.counts.late},
         {"refused", window.counts.refused},
         {"failed", window.counts.failed},
         {"worth", {{"asked", window.counts.worth_asked}, {"served", window.counts.worth_served}}},
         {"latency_us", {{"p50", window.p50_us}, {"p99", window.p99_us}}},
         {"inflight", {{"least", quantile(0)}, {"median", quantile(0.5)}, {"most", quantile(1)}}},
         {"hosts", hosts},
         {"cpu_share", window.cpu_share},
         {"rss_kb", window.rss_kb},
         {"descriptors", window.descriptors}});
  }
  return windows;
}

}  // namespace

std::string ToJson(const Result& result) {
  const Ledger::Counts& counts = result.counts;
  const json windows = WindowsToJson(result.windows);
  json faults = json::array();
  for (const MarkedFault& fault : result.faults) {
    faults.push_back({{"name", fault.name},
                      {"from_s", fault.from_s},
                      {"to_s", fault.to_s},
                      {"hosts", fault.hosts}});
  }
  json out = {
      {"experiment", result.experiment},
      {"about", result.about},
      {"file", result.path},
      {"world", "sockets"},
      {"seed", result.seed},
      {"seconds", result.seconds},
      {"verdict", NameOf(result.verdict)},
      {"broken", result.broken},
      {"lab_late", result.late},
      {"requests",
       {{"asked", counts.asked},
        {"served", counts.served},
        {"late", counts.late},
        {"refused", counts.refused},
        {"failed", counts.failed},
        {"lost", counts.lost},
        {"answered_twice", counts.answered_twice},
        {"tries", counts.attempts},
        {"left", counts.client_disconnects},
        {"excused", ExcusedToJson(counts)}}},
      {"receipts",
       {{"total", counts.receipts},
        {"twice_unlawful", counts.twice_unlawful},
        {"keys_run_again", counts.keys_run_again}}},
      {"drains", {{"late_sends", counts.late_sends}}},
      {"cold", {{"fell_over", counts.fell_over}}},
      {"worth",
       {{"asked", counts.worth_asked},
        {"served", counts.worth_served},
        {"worst_10s", result.worst_10s}}},
      {"latency_us", {{"p50", result.p50_us}, {"p99", result.p99_us}, {"p999", result.p999_us}}},
      {"gateway",
       {{"cpu_us_per_request", result.cpu_us_per_request},
        {"rss_kb_max", result.rss_kb_max},
        {"rss_kb_growth", result.rss_kb_growth},
        {"descriptors_max", result.descriptors_max}}},
      {"fleet", {{"hosts", result.hosts}, {"gateways", result.gateways}}},
      {"clients",
       {{"connections", result.client_connections},
        {"connections_most", result.client_connections_most},
        {"no_gateway", result.no_gateway},
        {"bad_sent", result.bad_sent},
        {"bad_unanswered", result.bad_unanswered},
        {"bad_served", result.bad_served},
        {"arrivals_digest", fmt::format("{:016x}", result.arrivals_digest)}}},
      {"lab",
       {{"cpu_share", result.lab_cpu_share},
        {"lag_ms_max", result.lab_lag_ms_max},
        {"lag_ms_p99", result.lab_lag_ms_p99}}},
      {"faults", faults},
      {"windows", windows},
      {"logs", result.logs}};
  if (result.bank.enabled) {
    const ClusterResult& bank = result.bank;
    out["bank"] = {
        {"changes", bank.changes},
        {"changes_told_done", bank.acknowledged},
        {"changes_lost", bank.lost},
        {"changes_twice", bank.duplicated},
        {"changes_refused", bank.refused},
        {"bound_ms", bank.bound_ms},
        {"contradiction_ms_most", bank.max_contradiction_ms},
        {"unavailable_ms_most", bank.max_unavailable_ms},
        {"sent_while_alone", bank.sent_while_isolated},
        {"follow_ms",
         {{"p50", bank.follow_ms_p50}, {"p99", bank.follow_ms_p99}, {"most", bank.max_follow_ms}}},
        {"done_ms", {{"p50", bank.done_ms_p50}, {"most", bank.max_done_ms}}}};
  }
  return out.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

namespace {

Ledger::Counts ReadCounts(const json& file) {
  const json& requests = file.at("requests");
  Ledger::Counts counts;
  counts.asked = requests.at("asked");
  counts.served = requests.at("served");
  counts.late = requests.at("late");
  counts.refused = requests.at("refused");
  counts.failed = requests.at("failed");
  counts.lost = requests.at("lost");
  counts.answered_twice = requests.at("answered_twice");
  counts.attempts = requests.at("tries");
  counts.receipts = file.at("receipts").at("total");
  counts.twice_unlawful = file.at("receipts").at("twice_unlawful");
  counts.late_sends = file.at("drains").at("late_sends");
  counts.fell_over = file.at("cold").at("fell_over");
  counts.worth_asked = file.at("worth").at("asked");
  counts.worth_served = file.at("worth").at("served");
  return counts;
}

// Requests in flight by host; in a window of many hosts only their spread.
std::vector<std::pair<std::string, size_t>> ReadInflight(const json& window) {
  std::vector<std::pair<std::string, size_t>> inflight;
  for (const auto& [name, value] : window.at("hosts").items()) {
    inflight.emplace_back(name, value.get<size_t>());
  }
  if (!inflight.empty()) {
    return inflight;
  }
  for (const char* const name : {"least", "median", "most"}) {
    inflight.emplace_back(name, window.at("inflight").at(name).get<size_t>());
  }
  return inflight;
}

WindowResult ReadWindow(const json& file) {
  WindowResult window;
  window.at_s = file.at("at_s");
  window.counts.asked = file.at("asked");
  window.counts.served = file.at("served");
  window.counts.late = file.at("late");
  window.counts.refused = file.at("refused");
  window.counts.failed = file.at("failed");
  window.counts.worth_asked = file.at("worth").at("asked");
  window.counts.worth_served = file.at("worth").at("served");
  window.p50_us = file.at("latency_us").at("p50");
  window.p99_us = file.at("latency_us").at("p99");
  window.inflight = ReadInflight(file);
  window.cpu_share = file.at("cpu_share");
  window.rss_kb = file.at("rss_kb");
  window.descriptors = file.at("descriptors");
  return window;
}

void ReadFigures(const json& file, Result& result) {
  result.worst_10s = file.at("worth").at("worst_10s");
  result.p50_us = file.at("latency_us").at("p50");
  result.p99_us = file.at("latency_us").at("p99");
  result.p999_us = file.at("latency_us").at("p999");
  result.cpu_us_per_request = file.at("gateway").at("cpu_us_per_request");
  result.rss_kb_max = file.at("gateway").at("rss_kb_max");
  result.descriptors_max = file.at("gateway").at("descriptors_max");
  result.hosts = file.at("fleet").at("hosts");
  result.gateways = file.at("fleet").at("gateways");
  result.lab_cpu_share = file.at("lab").at("cpu_share");
  result.lab_lag_ms_max = file.at("lab").at("lag_ms_max");
}

Result ReadResult(const json& file, const std::string& path) {
  Result result;
  result.experiment = file.at("experiment");
  result.about = file.value("about", "");
  result.path = path;
  result.seed = file.at("seed");
  result.seconds = file.at("seconds");
  const std::string verdict = file.at("verdict");
  result.verdict = ParseVerdict(verdict).value_or(Verdict::kVoid);
  result.broken = file.at("broken").get<std::vector<std::string>>();
  result.late = file.at("lab_late").get<std::vector<std::string>>();
  result.counts = ReadCounts(file);
  ReadFigures(file, result);
  for (const json& fault : file.at("faults")) {
    result.faults.push_back({fault.at("from_s"), fault.at("to_s"), fault.at("name"),
                             fault.at("hosts").get<std::vector<std::string>>()});
  }
  for (const json& window : file.at("windows")) {
    result.windows.push_back(ReadWindow(window));
  }
  result.logs = file.at("logs").get<std::vector<std::string>>();
  return result;
}

}  // namespace

Result ResultFromJson(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error(path + ": cannot be read, expected a result file of lab run");
  }
  try {
    return ReadResult(json::parse(file), path);
  } catch (const json::exception& error) {
    throw std::runtime_error(
        fmt::format("{}: {}, expected a result file of lab run", path, error.what()));
  }
}

std::string DescribeExcused(const Ledger::Counts& counts) {
  std::string text;
  for (size_t excuse = 0; excuse < kExcuseCount; ++excuse) {
    if (counts.excused[excuse] > 0) {
      text += fmt::format("{}{} {}", text.empty() ? "" : ", ", counts.excused[excuse],
                          NameOf(static_cast<Excuse>(excuse)));
    }
  }
  return text.empty() ? "none" : text;
}

std::string Summary(const Result& result) {
  const Ledger::Counts& counts = result.counts;
  std::string text =
      fmt::format("{}: {} (seed {}, {:.0f} s, {} hosts, {} gateway{}; emulated hosts)\n",
                  result.experiment, NameOf(result.verdict), result.seed, result.seconds,
                  result.hosts, result.gateways, result.gateways == 1 ? "" : "s");
  text += fmt::format(
      "  requests: {} asked, {} served ({} late), {} refused, {} failed, {} lost, {} answered "
      "twice\n",
      counts.asked, counts.served, counts.late, counts.refused, counts.failed, counts.lost,
      counts.answered_twice);
  text += fmt::format("  excused: {}\n", DescribeExcused(counts));
  text += fmt::format("  worth: {:.3f} of what was asked for, {:.3f} in the worst 10 s\n",
                      result.worth_share(), result.worst_10s);
  text += fmt::format("  latency: p50 {:.1f} ms, p99 {:.1f} ms, p99.9 {:.1f} ms\n",
                      result.p50_us / 1000.0, result.p99_us / 1000.0, result.p999_us / 1000.0);
  text += fmt::format(
      "  receipts: {}, {} unlawful; {} late sends to draining hosts; {} cold hosts collapsed\n",
      counts.receipts, counts.twice_unlawful, counts.late_sends, counts.fell_over);
  text += fmt::format(
      "  gateway: {:.0f} us of CPU per request, {:.1f} MB, {} descriptors; lab: {:.2f} cores, "
      "at most {:.0f} ms late\n",
      result.cpu_us_per_request, static_cast<double>(result.rss_kb_max) / 1024,
      result.descriptors_max, result.lab_cpu_share, result.lab_lag_ms_max);
  if (result.bank.enabled) {
    const ClusterResult& bank = result.bank;
    text += fmt::format(
        "  bank: {} changes, {} confirmed, {} lost, {} applied twice; confirmed in {:.0f} ms "
        "(p50), followed in "
        "{:.0f} ms (p50), {:.0f} ms (maximum)\n",
        bank.changes, bank.acknowledged, bank.lost, bank.duplicated, bank.done_ms_p50,
        bank.follow_ms_p50, bank.max_follow_ms);
    text += fmt::format(
        "  bank: contradiction at most {:.0f} ms, bound {:.0f} ms; changes unavailable for at most "
        "{:.0f} ms; {} sent while disconnected\n",
        bank.max_contradiction_ms, bank.bound_ms, bank.max_unavailable_ms,
        bank.sent_while_isolated);
  }
  constexpr size_t kMaxLinesPerList = 8;
  for (const auto* const list : {&result.late, &result.broken}) {
    for (size_t i = 0; i < list->size() && i < kMaxLinesPerList; ++i) {
      text += fmt::format("  {}\n", (*list)[i]);
    }
    if (list->size() > kMaxLinesPerList) {
      text += fmt::format("  and {} more\n", list->size() - kMaxLinesPerList);
    }
  }
  return text;
}

}  // namespace paddlestile::lab
