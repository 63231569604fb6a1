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

// The lab's own lateness past which its figures say nothing of the gateway.
constexpr double kLagMostMs = 300;
constexpr double kLagP99MostMs = 30;
constexpr size_t kHostsInWindow = 64;  // beyond, a window holds the spread alone

double Share(uint64_t part, uint64_t all) {
  return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0;
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
  const auto is_of_a_rule = [](const std::string& what) {
    return what.starts_with("rule: ");
  };
  return breaches + broken.size() -
         static_cast<uint64_t>(std::ranges::count_if(broken, is_of_a_rule));
}

uint32_t Quantile(std::vector<uint32_t>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(std::ceil(part * static_cast<double>(values.size())));
  const auto at =
      values.begin() + static_cast<long>(std::clamp<size_t>(rank, 1, values.size()) - 1);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

void Judge(const Experiment& e, const std::vector<Breach>& breaches, Result& r) {
  const Ledger::Counts& c = r.counts;
  for (const Breach& b : breaches) {
    r.broken.push_back(fmt::format("rule: {} at {:.3f} s, {}: {}", NameOf(b.rule),
                                   static_cast<double>(b.at.count()) / 1e6, b.id, b.what));
  }
  for (size_t i = 0; i < kRuleCount; ++i) {
    const auto told = std::ranges::count(breaches, static_cast<Rule>(i), &Breach::rule);
    if (c.breaches[i] > static_cast<uint64_t>(told)) {
      r.broken.push_back(fmt::format("rule: {}: {} more", NameOf(static_cast<Rule>(i)),
                                     c.breaches[i] - static_cast<uint64_t>(told)));
    }
  }
  r.broken.insert(r.broken.end(), r.bank.broken.begin(), r.bank.broken.end());
  r.broken.insert(r.broken.end(), r.scale.broken.begin(), r.scale.broken.end());
  const auto least = [&](const std::optional<double>& bound, double value, std::string_view name) {
    if (bound && value < *bound) {
      r.broken.push_back(fmt::format("must: {} {:.4g}, at least {:.4g}", name, value, *bound));
    }
  };
  const auto most = [&](const std::optional<double>& bound, double value, std::string_view name) {
    if (bound && value > *bound) {
      r.broken.push_back(fmt::format("must: {} {:.4g}, at most {:.4g}", name, value, *bound));
    }
  };
  const Requirements& m = e.requirements;
  least(m.min_worth_share, r.worth_share(), "worth_share");
  least(m.min_served_share, Share(c.served, c.asked), "served_share");
  most(m.max_refused_share, Share(c.refused, c.asked), "refused_share");
  most(m.max_failed_share, Share(c.failed, c.asked), "failed_share");
  most(m.max_late_share, Share(c.late, c.asked), "late_share");
  most(m.max_p50_ms, r.p50_us / 1000.0, "p50_ms");
  most(m.max_p99_ms, r.p99_us / 1000.0, "p99_ms");
  most(m.max_cpu_us, r.cpu_us_per_request, "cpu_us");
  most(m.max_rss_mb, static_cast<double>(r.rss_kb_max) / 1024, "rss_mb");
  most(m.max_rss_growth_mb, static_cast<double>(r.rss_kb_growth) / 1024, "rss_growth_mb");
  most(m.max_descriptors, static_cast<double>(r.descriptors_max), "descriptors");
  most(m.max_misbehaving_unanswered_share, Share(r.bad_unanswered, r.bad_sent),
       "bad_unanswered_share");
  if (r.bank.enabled) {
    most(m.max_unavailable_ms, r.bank.max_unavailable_ms, "unavailable_ms");
    most(m.max_p50_follow_ms, r.bank.follow_ms_p50, "follow_ms_p50");
    least(m.min_changes_done_share, Share(r.bank.acknowledged, r.bank.changes),
          "changes_done_share");
  }
  if (r.bad_served > 0) {
    r.broken.push_back(fmt::format("must: {} requests served that can't be read", r.bad_served));
  }
  for (const WindowRequirement& w : m.windows) {
    double asked = 0, served = 0;
    for (const WindowResult& window : r.windows) {
      if (window.at_s * 1e6 < static_cast<double>(w.from.count()) ||
          window.at_s * 1e6 >= static_cast<double>(w.to.count())) {
        continue;
      }
      asked += window.counts.worth_asked;
      served += window.counts.worth_served;
    }
    const double share = asked > 0 ? served / asked : 0;
    least(w.min_worth_share, share,
          fmt::format("worth_share from {:.0f} to {:.0f} s",
                      static_cast<double>(w.from.count()) / 1e6,
                      static_cast<double>(w.to.count()) / 1e6));
  }
  if (r.lab_lag_ms_max > kLagMostMs) {
    r.late.push_back(fmt::format("the lab was {:.0f} ms late once, {:.0f} at most",
                                 r.lab_lag_ms_max, kLagMostMs));
  }
  if (r.lab_lag_ms_p99 > kLagP99MostMs) {
    r.late.push_back(fmt::format("the lab was {:.0f} ms late at p99, {:.0f} at most",
                                 r.lab_lag_ms_p99, kLagP99MostMs));
  }
  r.verdict = !r.late.empty()     ? Verdict::kVoid
              : !r.broken.empty() ? Verdict::kBroken
                                  : Verdict::kHeld;
}

namespace {

json ExcusedToJson(const Ledger::Counts& counts) {
  json excused = json::object();
  for (size_t i = 0; i < kExcuseCount; ++i) {
    excused[std::string(NameOf(static_cast<Excuse>(i)))] = counts.excused[i];
  }
  return excused;
}

json WindowsToJson(const std::vector<WindowResult>& all) {
  json windows = json::array();
  for (const WindowResult& w : all) {
    std::vector<size_t> held;
    json hosts = json::object();
    for (const auto& [name, inflight] : w.inflight) {
      held.push_back(inflight);
      if (w.inflight.size() <= kHostsInWindow) {
        hosts[name] = inflight;
      }
    }
    std::ranges::sort(held);
    const auto at = [&](double part) {
      return held.empty() ? 0
                          : held[static_cast<size_t>(part * static_cast<double>(held.size() - 1))];
    };
    windows.push_back(
        {{"at_s", w.at_s},
         {"asked", w.counts.asked},
         {"served", w.counts.served},
         {"late", w.counts.late},
         {"refused", w.counts.refused},
         {"failed", w.counts.failed},
         {"worth", {{"asked", w.counts.worth_asked}, {"served", w.counts.worth_served}}},
         {"latency_us", {{"p50", w.p50_us}, {"p99", w.p99_us}}},
         {"inflight", {{"least", at(0)}, {"median", at(0.5)}, {"most", at(1)}}},
         {"hosts", hosts},
         {"cpu_share", w.cpu_share},
         {"rss_kb", w.rss_kb},
         {"descriptors", w.descriptors}});
  }
  return windows;
}

}  // namespace

std::string ToJson(const Result& r) {
  const Ledger::Counts& c = r.counts;
  const json windows = WindowsToJson(r.windows);
  json faults = json::array();
  for (const MarkedFault& f : r.faults) {
    faults.push_back(
        {{"name", f.name}, {"from_s", f.from_s}, {"to_s", f.to_s}, {"hosts", f.hosts}});
  }
  json out = {
      {"experiment", r.experiment},
      {"about", r.about},
      {"file", r.path},
      {"world", "sockets"},
      {"seed", r.seed},
      {"seconds", r.seconds},
      {"verdict", NameOf(r.verdict)},
      {"broken", r.broken},
      {"lab_late", r.late},
      {"requests",
       {{"asked", c.asked},
        {"served", c.served},
        {"late", c.late},
        {"refused", c.refused},
        {"failed", c.failed},
        {"lost", c.lost},
        {"answered_twice", c.answered_twice},
        {"tries", c.attempts},
        {"left", c.client_disconnects},
        {"excused", ExcusedToJson(c)}}},
      {"receipts",
       {{"total", c.receipts},
        {"twice_unlawful", c.twice_unlawful},
        {"keys_run_again", c.keys_run_again}}},
      {"drains", {{"late_sends", c.late_sends}}},
      {"cold", {{"fell_over", c.fell_over}}},
      {"worth", {{"asked", c.worth_asked}, {"served", c.worth_served}, {"worst_10s", r.worst_10s}}},
      {"latency_us", {{"p50", r.p50_us}, {"p99", r.p99_us}, {"p999", r.p999_us}}},
      {"gateway",
       {{"cpu_us_per_request", r.cpu_us_per_request},
        {"rss_kb_max", r.rss_kb_max},
        {"rss_kb_growth", r.rss_kb_growth},
        {"descriptors_max", r.descriptors_max}}},
      {"fleet", {{"hosts", r.hosts}, {"gateways", r.gateways}}},
      {"clients",
       {{"connections", r.client_connections},
        {"connections_most", r.client_connections_most},
        {"no_gateway", r.no_gateway},
        {"bad_sent", r.bad_sent},
        {"bad_unanswered", r.bad_unanswered},
        {"bad_served", r.bad_served},
        {"arrivals_digest", fmt::format("{:016x}", r.arrivals_digest)}}},
      {"lab",
       {{"cpu_share", r.lab_cpu_share},
        {"lag_ms_max", r.lab_lag_ms_max},
        {"lag_ms_p99", r.lab_lag_ms_p99}}},
      {"faults", faults},
      {"windows", windows},
      {"logs", r.logs}};
  if (r.bank.enabled) {
    const ClusterResult& b = r.bank;
    out["bank"] = {
        {"changes", b.changes},
        {"changes_told_done", b.acknowledged},
        {"changes_lost", b.lost},
        {"changes_twice", b.duplicated},
        {"changes_refused", b.refused},
        {"bound_ms", b.bound_ms},
        {"contradiction_ms_most", b.max_contradiction_ms},
        {"unavailable_ms_most", b.max_unavailable_ms},
        {"sent_while_alone", b.sent_while_isolated},
        {"follow_ms",
         {{"p50", b.follow_ms_p50}, {"p99", b.follow_ms_p99}, {"most", b.max_follow_ms}}},
        {"done_ms", {{"p50", b.done_ms_p50}, {"most", b.max_done_ms}}}};
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
    throw std::runtime_error(path + ": cannot read it, expected a result of lab run");
  }
  try {
    return ReadResult(json::parse(file), path);
  } catch (const json::exception& error) {
    throw std::runtime_error(
        fmt::format("{}: {}, expected a result of lab run", path, error.what()));
  }
}

std::string DescribeExcused(const Ledger::Counts& counts) {
  std::string text;
  for (size_t i = 0; i < kExcuseCount; ++i) {
    if (counts.excused[i] > 0) {
      text += fmt::format("{}{} {}", text.empty() ? "" : ", ", counts.excused[i],
                          NameOf(static_cast<Excuse>(i)));
    }
  }
  return text.empty() ? "none" : text;
}

std::string Summary(const Result& r) {
  const Ledger::Counts& c = r.counts;
  std::string out = fmt::format(
      "{}: {} (seed {}, {:.0f} s, {} hosts, {} gateway{}; emulated hosts)\n", r.experiment,
      NameOf(r.verdict), r.seed, r.seconds, r.hosts, r.gateways, r.gateways == 1 ? "" : "s");
  out += fmt::format(
      "  requests: {} asked, {} served ({} late), {} refused, {} failed, {} lost, {} answered "
      "twice\n",
      c.asked, c.served, c.late, c.refused, c.failed, c.lost, c.answered_twice);
  out += fmt::format("  excused: {}\n", DescribeExcused(c));
  out += fmt::format("  worth: {:.3f} of what was asked for, {:.3f} in the worst 10 s\n",
                     r.worth_share(), r.worst_10s);
  out += fmt::format("  latency: p50 {:.1f} ms, p99 {:.1f} ms, p99.9 {:.1f} ms\n",
                     r.p50_us / 1000.0, r.p99_us / 1000.0, r.p999_us / 1000.0);
  out += fmt::format(
      "  receipts: {}, {} unlawful; {} late sends to draining hosts; {} cold hosts fell over\n",
      c.receipts, c.twice_unlawful, c.late_sends, c.fell_over);
  out += fmt::format(
      "  gateway: {:.0f} us of CPU a request, {:.1f} MB, {} descriptors; lab: {:.2f} cores, "
      "{:.0f} ms late at most\n",
      r.cpu_us_per_request, static_cast<double>(r.rss_kb_max) / 1024, r.descriptors_max,
      r.lab_cpu_share, r.lab_lag_ms_max);
  if (r.bank.enabled) {
    const ClusterResult& b = r.bank;
    out += fmt::format(
        "  bank: {} changes, {} told done, {} lost, {} twice; done in {:.0f} ms (p50), followed in "
        "{:.0f} ms (p50), {:.0f} (most)\n",
        b.changes, b.acknowledged, b.lost, b.duplicated, b.done_ms_p50, b.follow_ms_p50,
        b.max_follow_ms);
    out += fmt::format(
        "  bank: contradiction at most {:.0f} ms, bound {:.0f}; no change could be made for {:.0f} "
        "ms "
        "at most; {} sent while out of touch\n",
        b.max_contradiction_ms, b.bound_ms, b.max_unavailable_ms, b.sent_while_isolated);
  }
  constexpr size_t kShown = 8;
  for (const auto* const list : {&r.late, &r.broken}) {
    for (size_t i = 0; i < list->size() && i < kShown; ++i) {
      out += fmt::format("  {}\n", (*list)[i]);
    }
    if (list->size() > kShown) {
      out += fmt::format("  and {} more\n", list->size() - kShown);
    }
  }
  return out;
}

}  // namespace paddlestile::lab
