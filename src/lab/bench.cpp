#include "lab/bench.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lab/experiment.h"
#include "lab/runner.h"

namespace paddlestile::lab {
namespace {

constexpr double kLadderGrowth = 1.5;
constexpr int kLadderSteps = 8;
constexpr double kFullCore = 0.97;  // of a core; nothing more is to be had

// Hosts that answer after a millisecond and are never crowded: what is measured is the way there.
Experiment Plain(double rate, size_t idle, size_t hosts) {
  Experiment e = ParseExperiment(fmt::format(R"(
name = "bench"
[[hosts]]
count = {}
cores = 256
held_most = 100000
connections_most = 100000
handshake_ms = 0
probe_work_ms = 0
[[classes]]
name = "read"
work_ms = 0
wait_ms = 1
aim_ms = 1000
deadline_ms = 3000
answer_bytes = 500
[load]
rate = {}
idle_connections = {}
[gateway]
sockets = {}
)",
                                             hosts, rate, idle, 4096 + 2 * idle),
                                 "bench");
  return e;
}

double Median(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const size_t n = values.size();
  return n % 2 == 1 ? values[n / 2] : (values[n / 2 - 1] + values[n / 2]) / 2;
}

struct Spread {
  double median = 0, least = 0, most = 0;
};
Spread SpreadOf(const std::vector<double>& values) {
  if (values.empty()) {
    return {};
  }
  return {Median(values), *std::ranges::min_element(values), *std::ranges::max_element(values)};
}

// The three quantiles by place: 0 p50, 1 p99, 2 p99.9.
Spread Added(const BenchResult& r, size_t place) {
  std::vector<double> values;
  for (const BenchRound& round : r.rounds) {
    values.push_back(static_cast<double>(round.through_us[place]) - round.straight_us[place]);
  }
  return SpreadOf(values);
}
Spread Cpu(const BenchResult& r) {
  std::vector<double> values;
  for (const BenchRound& round : r.rounds) {
    values.push_back(round.cpu_us);
  }
  return SpreadOf(values);
}

const BenchStep* LastHeld(const BenchResult& r) {
  const BenchStep* last = nullptr;
  for (const BenchStep& step : r.ladder) {
    if (step.held) {
      last = &step;
    }
  }
  return last;
}

}  // namespace

Result PlayPart(const BenchOptions& o, double rate, size_t idle, bool straight) {
  return RunExperiment(Plain(rate, idle, o.hosts), {o.seed, o.seconds, o.gateway, "", straight});
}

BenchResult RunBench(const BenchOptions& o, const std::function<void(const std::string&)>& told) {
  BenchResult out;
  for (int i = 0; i < o.rounds; ++i) {
    const Result straight = PlayPart(o, o.rate, 0, true), through = PlayPart(o, o.rate, 0, false);
    BenchRound round{{straight.p50_us, straight.p99_us, straight.p999_us},
                     {through.p50_us, through.p99_us, through.p999_us},
                     through.cpu_us_per_request};
    out.rounds.push_back(round);
    told(fmt::format("round {}: p50 {} us straight, {} us through; {:.0f} us of CPU a request",
                     i + 1, straight.p50_us, through.p50_us, through.cpu_us_per_request));
  }
  double rate = o.rate;
  for (int i = 0; i < kLadderSteps; ++i, rate *= kLadderGrowth) {
    const Result r = PlayPart(o, rate, 0, false);
    BenchStep step;
    step.rate = rate;
    step.cpu_us = r.cpu_us_per_request;
    step.cpu_share = r.cpu_us_per_request * rate / 1e6;
    step.served_share = r.counts.asked > 0 ? static_cast<double>(r.counts.served - r.counts.late) /
                                                 static_cast<double>(r.counts.asked)
                                           : 0;
    step.lab_share = r.lab_cpu_share;
    step.p99_us = r.p99_us;
    step.held = r.verdict == Verdict::kHeld && step.served_share > 0.99;
    out.ladder.push_back(step);
    told(fmt::format("{:.0f} a second: {:.3f} served in their aim, {:.2f} of a core, lab {:.2f}",
                     rate, step.served_share, step.cpu_share, step.lab_share));
    if (!step.held || step.cpu_share > kFullCore) {
      break;
    }
  }
  const Result without = PlayPart(o, 100, 0, false), with = PlayPart(o, 100, o.connections, false);
  out.connections = o.connections;
  out.kb_per_connection =
      o.connections > 0
          ? (static_cast<double>(with.rss_kb_max) - static_cast<double>(without.rss_kb_max)) /
                static_cast<double>(o.connections)
          : 0;
  told(fmt::format("{} idle connections: {:.2f} kB each", o.connections, out.kb_per_connection));
  return out;
}

std::string ToText(const BenchResult& r) {
  std::string out =
      "Against the same load sent straight to the hosts, emulated, in the same run:\n";
  constexpr const char* kNames[] = {"p50", "p99", "p99.9"};
  for (size_t i = 0; i < 3; ++i) {
    const Spread s = Added(r, i);
    out += fmt::format("  added latency {}: {:.0f} us ({:.0f} to {:.0f} over {} rounds)\n",
                       kNames[i], s.median, s.least, s.most, r.rounds.size());
  }
  const Spread cpu = Cpu(r);
  out += fmt::format("  CPU of the gateway: {:.1f} us a request ({:.1f} to {:.1f})\n", cpu.median,
                     cpu.least, cpu.most);
  if (const BenchStep* const last = LastHeld(r)) {
    out += fmt::format(
        "  held {:.0f} requests a second with {:.2f} of one core ({:.1f} us each, so about {:.0f} "
        "a "
        "second of a whole one)\n",
        last->rate, last->cpu_share, last->cpu_us, 1e6 / std::max(last->cpu_us, 1e-9));
  }
  out += fmt::format("  memory of an idle client connection: {:.2f} kB ({} of them)\n",
                     r.kb_per_connection, r.connections);
  return out;
}

std::string ToJson(const BenchResult& r) {
  using nlohmann::json;
  const auto spread = [](const Spread& s) {
    return json{{"median", s.median}, {"least", s.least}, {"most", s.most}};
  };
  json ladder = json::array();
  for (const BenchStep& s : r.ladder) {
    ladder.push_back({{"rate", s.rate},
                      {"held", s.held},
                      {"cpu_us", s.cpu_us},
                      {"cpu_share", s.cpu_share},
                      {"served_share", s.served_share},
                      {"lab_share", s.lab_share},
                      {"p99_us", s.p99_us}});
  }
  const json out = {
      {"added_latency_us",
       {{"p50", spread(Added(r, 0))}, {"p99", spread(Added(r, 1))}, {"p999", spread(Added(r, 2))}}},
      {"cpu_us_per_request", spread(Cpu(r))},
      {"ladder", ladder},
      {"kb_per_connection", r.kb_per_connection},
      {"connections", r.connections}};
  return out.dump(1) + "\n";
}

}  // namespace paddlestile::lab
