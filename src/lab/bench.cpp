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
constexpr double kSaturatedCpuShare = 0.97;  // of a core; a higher rate cannot be served

// Hosts answer after one millisecond and are never overloaded, so that the measured latency is that
// of the path to them.
Experiment BenchExperiment(double rate, size_t idle_connections, size_t hosts) {
  Experiment experiment =
      ParseExperiment(fmt::format(R"(
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
                                  hosts, rate, idle_connections, 4096 + 2 * idle_connections),
                      "bench");
  return experiment;
}

double Median(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const size_t count = values.size();
  return count % 2 == 1 ? values[count / 2] : (values[count / 2 - 1] + values[count / 2]) / 2;
}

struct Spread {
  double median = 0, least = 0, most = 0;
};
Spread ComputeSpread(const std::vector<double>& values) {
  if (values.empty()) {
    return {};
  }
  return {Median(values), *std::ranges::min_element(values), *std::ranges::max_element(values)};
}

// The latency added by the gateway, by index of the quantile: 0 is p50, 1 is p99, 2 is p99.9.
Spread AddedLatency(const BenchResult& result, size_t quantile) {
  std::vector<double> values;
  for (const BenchRound& round : result.rounds) {
    values.push_back(static_cast<double>(round.gateway_us[quantile]) - round.direct_us[quantile]);
  }
  return ComputeSpread(values);
}
Spread CpuPerRequest(const BenchResult& result) {
  std::vector<double> values;
  for (const BenchRound& round : result.rounds) {
    values.push_back(round.cpu_us);
  }
  return ComputeSpread(values);
}

const BenchStep* LastHeld(const BenchResult& result) {
  const BenchStep* last = nullptr;
  for (const BenchStep& step : result.ladder) {
    if (step.held) {
      last = &step;
    }
  }
  return last;
}

}  // namespace

Result PlayPart(const BenchOptions& options, double rate, size_t idle_connections, bool direct) {
  return RunExperiment(BenchExperiment(rate, idle_connections, options.hosts),
                       {options.seed, options.seconds, options.gateway, "", direct});
}

BenchResult RunBench(const BenchOptions& options,
                     const std::function<void(const std::string&)>& report_progress) {
  BenchResult bench;
  for (int round_index = 0; round_index < options.rounds; ++round_index) {
    const Result direct = PlayPart(options, options.rate, 0, true),
                 through_gateway = PlayPart(options, options.rate, 0, false);
    BenchRound round{{direct.p50_us, direct.p99_us, direct.p999_us},
                     {through_gateway.p50_us, through_gateway.p99_us, through_gateway.p999_us},
                     through_gateway.cpu_us_per_request};
    bench.rounds.push_back(round);
    report_progress(fmt::format(
        "round {}: p50 {} us directly, {} us through the gateway; {:.0f} us of CPU per request",
        round_index + 1, direct.p50_us, through_gateway.p50_us,
        through_gateway.cpu_us_per_request));
  }
  double rate = options.rate;
  for (int i = 0; i < kLadderSteps; ++i, rate *= kLadderGrowth) {
    const Result result = PlayPart(options, rate, 0, false);
    BenchStep step;
    step.rate = rate;
    step.cpu_us = result.cpu_us_per_request;
    step.cpu_share = result.cpu_us_per_request * rate / 1e6;
    step.served_share = result.counts.asked > 0
                            ? static_cast<double>(result.counts.served - result.counts.late) /
                                  static_cast<double>(result.counts.asked)
                            : 0;
    step.lab_share = result.lab_cpu_share;
    step.p99_us = result.p99_us;
    step.held = result.verdict == Verdict::kHeld && step.served_share > 0.99;
    bench.ladder.push_back(step);
    report_progress(
        fmt::format("{:.0f} per second: {:.3f} served in time, {:.2f} of a core, lab {:.2f}", rate,
                    step.served_share, step.cpu_share, step.lab_share));
    if (!step.held || step.cpu_share > kSaturatedCpuShare) {
      break;
    }
  }
  const Result without_idle = PlayPart(options, 100, 0, false),
               with_idle = PlayPart(options, 100, options.connections, false);
  bench.connections = options.connections;
  bench.kb_per_connection = options.connections > 0
                                ? (static_cast<double>(with_idle.rss_kb_max) -
                                   static_cast<double>(without_idle.rss_kb_max)) /
                                      static_cast<double>(options.connections)
                                : 0;
  report_progress(fmt::format("{} idle connections: {:.2f} kB each", options.connections,
                              bench.kb_per_connection));
  return bench;
}

std::string ToText(const BenchResult& result) {
  std::string text =
      "Compared with the same load sent directly to the emulated hosts in the same run:\n";
  constexpr const char* kQuantileNames[] = {"p50", "p99", "p99.9"};
  for (size_t quantile = 0; quantile < 3; ++quantile) {
    const Spread added = AddedLatency(result, quantile);
    text += fmt::format("  added latency {}: {:.0f} us ({:.0f} to {:.0f} over {} rounds)\n",
                        kQuantileNames[quantile], added.median, added.least, added.most,
                        result.rounds.size());
  }
  const Spread cpu = CpuPerRequest(result);
  text += fmt::format("  CPU of the gateway: {:.1f} us per request ({:.1f} to {:.1f})\n",
                      cpu.median, cpu.least, cpu.most);
  if (const BenchStep* const last = LastHeld(result)) {
    text += fmt::format(
        "  sustained {:.0f} requests per second with {:.2f} of one core ({:.1f} us each, or about "
        "{:.0f} per second with a whole core)\n",
        last->rate, last->cpu_share, last->cpu_us, 1e6 / std::max(last->cpu_us, 1e-9));
  }
  text += fmt::format("  memory of an idle client connection: {:.2f} kB ({} connections)\n",
                      result.kb_per_connection, result.connections);
  return text;
}

std::string ToJson(const BenchResult& result) {
  using nlohmann::json;
  const auto spread = [](const Spread& values) {
    return json{{"median", values.median}, {"least", values.least}, {"most", values.most}};
  };
  json ladder = json::array();
  for (const BenchStep& step : result.ladder) {
    ladder.push_back({{"rate", step.rate},
                      {"held", step.held},
                      {"cpu_us", step.cpu_us},
                      {"cpu_share", step.cpu_share},
                      {"served_share", step.served_share},
                      {"lab_share", step.lab_share},
                      {"p99_us", step.p99_us}});
  }
  const json out = {{"added_latency_us",
                     {{"p50", spread(AddedLatency(result, 0))},
                      {"p99", spread(AddedLatency(result, 1))},
                      {"p999", spread(AddedLatency(result, 2))}}},
                    {"cpu_us_per_request", spread(CpuPerRequest(result))},
                    {"ladder", ladder},
                    {"kb_per_connection", result.kb_per_connection},
                    {"connections", result.connections}};
  return out.dump(1) + "\n";
}

}  // namespace paddlestile::lab
