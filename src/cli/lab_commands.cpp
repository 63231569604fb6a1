#include "cli/lab_commands.h"

#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "lab/bench.h"
#include "lab/capacity.h"
#include "lab/cluster_simulation.h"
#include "lab/experiment.h"
#include "lab/fleet_report.h"
#include "lab/one_gateway.h"
#include "lab/report.h"
#include "lab/result.h"
#include "lab/runner.h"
#include "lab/scale.h"
#include "lab/simulated_member.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;

constexpr int kDone = 0;
constexpr int kDidNotHold = 1;
constexpr int kWrongUsage = 2;

struct Words {
  std::string file, folder = "lab/experiments", json, html, logs;
  std::optional<uint64_t> seed;
  std::optional<double> seconds;
  std::vector<std::string> gateway, results, phases;
  size_t gateways = 0;
  bool module = false;
  BenchOptions bench;
  WorldsOptions worlds;
  ScaleOptions scale;
  HollowOptions hollow;
  OneGatewayOptions one;
  std::string mischief = "none", changes = "mixed";
  std::string fit, target = "lab/capacity/target.toml", rows = "lab/capacity/rows.toml",
                   slopes = "lab/capacity/slopes.json", page;
  bool as_json = false;
};

int Fail(std::string_view text) {
  fmt::print(stderr, "paddlestile: {}\n", text);
  return kWrongUsage;
}

// Before anything is played: a run whose result has nowhere to go is a run for nothing.
void NeedWritable(const std::string& path) {
  if (path.empty()) {
    return;
  }
  std::ofstream file(path, std::ios::app);
  if (!file) {
    throw ExperimentError(
        fmt::format("{}: {}, expected a file that can be written", path, std::strerror(errno)));
  }
}

void Write(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return;
  }
  std::ofstream file(path, std::ios::trunc);
  file << text << std::flush;
  if (!file) {
    throw std::runtime_error(fmt::format("{}: {}", path, std::strerror(errno)));
  }
}

void WriteReport(const std::string& path, const std::vector<Result>& results) {
  if (path.empty()) {
    return;
  }
  if (!HaveGnuplot()) {
    fmt::print(stderr, "no gnuplot here: the report comes without plots\n");
  }
  Write(path, RenderReport(results, true));
  fmt::print("report: {}\n", path);
}

int Run(const Words& w) {
  NeedWritable(w.json);
  NeedWritable(w.html);
  const Result result =
      RunExperiment(ReadExperiment(w.file), {w.seed, w.seconds, w.gateway, w.logs, false});
  fmt::print("{}", Summary(result));
  for (const std::string& log : result.logs) {
    fmt::print("  {}", log);
  }
  Write(w.json, ToJson(result));
  WriteReport(w.html, {result});
  return result.verdict == Verdict::kHeld ? kDone : kDidNotHold;
}

int List(const Words& w) {
  std::vector<fs::path> files;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(w.folder, error)) {
    if (entry.path().extension() == ".toml") {
      files.push_back(entry.path());
    }
  }
  if (error) {
    return Fail(fmt::format("{}: {}, expected a folder", w.folder, error.message()));
  }
  std::ranges::sort(files);
  int code = kDone;
  for (const fs::path& path : files) {
    try {
      const Experiment e = ReadExperiment(path.string());
      fmt::print("{:<20} {:>4.0f} s  {:>5} hosts {:>3} gateways  {}\n", e.name,
                 static_cast<double>(e.length.count()) / 1e6, e.host_count(), e.gateway.count,
                 e.about);
    } catch (const ExperimentError& bad) {
      fmt::print(stderr, "{}\n", bad.what());
      code = kWrongUsage;
    }
  }
  return code;
}

int Report(const Words& w) {
  NeedWritable(w.html);
  std::vector<Result> results;
  for (const std::string& path : w.results) {
    results.push_back(ResultFromJson(path));
  }
  for (const Result& result : results) {
    fmt::print("{}", Summary(result));
  }
  WriteReport(w.html, results);
  return kDone;
}

int Fleet(const Words& w) {
  FleetReportOptions options;
  options.expected_gateways = w.gateways;
  for (const std::string& phase : w.phases) {
    options.phases.push_back(ParsePhase(phase));
  }
  NeedWritable(w.json);
  NeedWritable(w.html);
  const FleetReport report = ReadFleet(w.file, options);
  fmt::print("{}", ToText(report));
  Write(w.json, ToJson(report));
  if (!w.html.empty()) {
    Write(w.html, ToHtml(report));
  }
  return kDone;
}

int Bench(const Words& w) {
  if (w.module) {
    const fs::path beside =
        fs::read_symlink("/proc/self/exe").parent_path() / "paddlestile_module_bench";
    const std::string program = beside.string();
    execl(program.c_str(), program.c_str(), "--benchmark_min_time=0.2",
          static_cast<char*>(nullptr));
    return Fail(
        fmt::format("{}: {}, expected the program of `make bench`", program, std::strerror(errno)));
  }
  NeedWritable(w.json);
  const BenchResult result =
      RunBench(w.bench, [](const std::string& line) { fmt::print("{}\n", line); });
  fmt::print("{}", ToText(result));
  Write(w.json, ToJson(result));
  return kDone;
}

// Bad words end it with one line and exit code 2, before anything is played.
int Scale(const Words& w) {
  NeedWritable(w.json);
  const double load = MachineLoad();
  const Result result =
      RunExperiment(ScaleExperiment(w.scale), {std::nullopt, std::nullopt, {}, w.logs, false});
  fmt::print("{}", ScaleText(result));
  Write(w.json, ScaleJson(w.scale, result, load));
  return result.verdict == Verdict::kHeld ? kDone : kDidNotHold;
}

// The words of this process, as they were given.
std::string CommandLine() {
  std::ifstream file("/proc/self/cmdline", std::ios::binary);
  std::string program, rest;
  std::getline(file, program, '\0');
  std::string out = fs::path(program).filename().string();
  while (std::getline(file, rest, '\0')) {
    out += ' ' + rest;
  }
  return out;
}

int OneGateway(Words& w) {
  NeedWritable(w.json);
  w.one.command = CommandLine();
  const OneGatewayResult result = MeasureOneGateway(w.one, [](const std::string& line) {
    fmt::print("{}\n", line);
    std::fflush(stdout);
  });
  fmt::print("{}", ToText(result));
  Write(w.json, ToJson(result));
  return result.verdict == Verdict::kHeld ? kDone : kDidNotHold;
}

int Worlds(Words& w) {
  for (const WorldChanges c : {WorldChanges::kMixed, WorldChanges::kWhole, WorldChanges::kDelta}) {
    if (w.changes == NameOf(c)) {
      w.worlds.changes = c;
    }
  }
  for (int i = 0; i < kMischiefs; ++i) {
    if (w.mischief == NameOf(static_cast<Mischief>(i))) {
      w.worlds.world.mischief = static_cast<Mischief>(i);
    }
  }
  const WorldsResult result = PlayWorlds(w.worlds);
  fmt::print("{}", ToText(result, w.worlds));
  return result.broken == 0 ? kDone : kDidNotHold;
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file) {
    throw CapacityError(fmt::format("{}: can't be read, expected a file", path));
  }
  return text;
}

int Fit(const Words& w) {
  const CapacityRows rows = ParseRows(ReadText(w.rows), w.rows);
  const CapacitySlopes slopes = FitRuns(rows, ReadRuns(w.fit));
  Write(w.slopes, ToJson(slopes, rows));
  fmt::print("{}: written, {} rows of {} runs\n", w.slopes, slopes.fits.size(), slopes.runs.size());
  return kDone;
}

int Weigh(const Words& w) {
  const CapacityTarget target = ParseTarget(ReadText(w.target), w.target);
  const CapacityRows rows = ParseRows(ReadText(w.rows), w.rows);
  const CapacitySlopes slopes = ParseSlopes(ReadText(w.slopes), w.slopes, rows);
  const Capacity capacity = WeighCapacity(target, rows, slopes);
  if (!w.page.empty()) {
    Write(w.page, WithTables(ReadText(w.page), ToMarkdown(capacity), w.page));
    fmt::print("{}: written\n", w.page);
  } else {
    fmt::print("{}", w.as_json ? ToJson(capacity) : ToMarkdown(capacity));
  }
  return kDone;
}

}  // namespace

std::vector<std::string> CheckExperiment(const std::string& path) {
  try {
    ReadExperiment(path);
    return {};
  } catch (const ExperimentError& error) {
    std::vector<std::string> lines;
    std::istringstream text(error.what());
    for (std::string line; std::getline(text, line);) {
      lines.push_back(line);
    }
    return lines;
  }
}

std::function<int()> AddCommands(CLI::App& app) {
  const auto words = std::make_shared<Words>();
  CLI::App* const lab = app.add_subcommand("lab", "Play experiments on emulated hosts");
  lab->require_subcommand(1);

  CLI::App* const run = lab->add_subcommand("run", "Play one experiment and judge it");
  run->add_option("FILE", words->file, "an experiment (TOML)")->required();
  run->add_option("--seed", words->seed, "instead of the file's");
  run->add_option("--seconds", words->seconds, "its first seconds only")
      ->check(CLI::Range(1.0, 3600.0));
  run->add_option("--json", words->json, "write the result here");
  run->add_option("--html", words->html, "write the report here");
  run->add_option("--logs", words->logs, "a folder to keep the gateways' logs in")
      ->check(CLI::ExistingDirectory);
  run->add_option("--gateway", words->gateway,
                  "the words that start a gateway, instead of this program");
  run->footer(
      "Exit codes: 0 held, 1 broken or void (the lab itself was late), 2 wrong usage.\n\n"
      "Examples:\n"
      "  paddlestile lab run lab/experiments/troubles.toml --html troubles.html\n"
      "  paddlestile lab run lab/experiments/drain.toml --seed 7 --json drain.json");

  CLI::App* const list = lab->add_subcommand("list", "List the experiments of a folder");
  list->add_option("FOLDER", words->folder, "lab/experiments where none is given");
  list->footer("Example:\n  paddlestile lab list");

  CLI::App* const report =
      lab->add_subcommand("report", "One page of a result, or of two side by side");
  report->add_option("RESULT", words->results, "what lab run wrote with --json")
      ->required()
      ->expected(1, 2);
  report->add_option("--html", words->html, "write the page here")->required();
  report->footer("Example:\n  paddlestile lab report before.json after.json --html both.html");

  CLI::App* const fleet = lab->add_subcommand(
      "fleet-report", "Add up what all gateways of a fleet did, from their logs");
  fleet->add_option("DIR", words->file, "a folder of their logs, text or JSON")->required();
  fleet->add_option("--json", words->json, "write the sums here");
  fleet->add_option("--html", words->html, "write the page here");
  fleet->add_option("--phase", words->phases, "a span with a name: NAME=FROM-TO, in seconds")
      ->take_all();
  fleet->add_option("--gateways", words->gateways, "how many there are, to say who is missing")
      ->check(CLI::Range(1, 1'000'000));
  fleet->footer(
      "The gateways log their counters where they run as `serve --counters-every 1`; what is kept "
      "with\n`lab run --logs` does.\n\n"
      "Example:\n  paddlestile lab fleet-report logs --phase restart=10-20 --html fleet.html");

  CLI::App* const bench =
      lab->add_subcommand("bench", "Weigh the gateway against the same load sent straight");
  bench->add_option("--seconds", words->bench.seconds, "of each part")
      ->check(CLI::Range(1.0, 60.0));
  bench->add_option("--rounds", words->bench.rounds, "straight and through, by turns")
      ->check(CLI::Range(1, 100));
  bench->add_option("--rate", words->bench.rate, "requests a second of the rounds")
      ->check(CLI::Range(1.0, 100'000.0));
  bench->add_option("--connections", words->bench.connections, "idle ones, to weigh one")
      ->check(CLI::Range(0, 20'000));
  bench->add_option("--seed", words->bench.seed, "of the arrivals");
  bench->add_option("--json", words->json, "write the figures here");
  bench->add_option("--gateway", words->bench.gateway,
                    "the words that start a gateway, instead of this program");
  bench->add_flag("--module", words->module, "the decision module alone (make bench builds it)");
  bench->footer("Example:\n  paddlestile lab bench --seconds 5 --json bench.json");

  CLI::App* const gateway = lab->add_subcommand(
      "gateway", "Measure one gateway with a long list, many tenants, and the latency it adds");
  gateway->add_option("--hosts", words->one.hosts, "of the list, up to 2,000,000")
      ->check(CLI::Range(1, 2'000'000))
      ->capture_default_str();
  gateway->add_option("--tenants", words->one.tenants, "with a quota each; 0 leaves settings out")
      ->check(CLI::Range(0, 1'000'000))
      ->capture_default_str();
  gateway
      ->add_option("--seconds", words->one.seconds,
                   "idle, with changes, and of each part of a rate")
      ->check(CLI::Range(1.0, 600.0))
      ->capture_default_str();
  gateway->add_option("--seed", words->one.seed, "of changes and arrivals")->capture_default_str();
  gateway->add_option("--changes", words->one.changes, "entries of the list changed a second")
      ->check(CLI::Range(0.0, 1000.0))
      ->capture_default_str();
  gateway
      ->add_option("--rates", words->one.rates,
                   "requests a second at which the latency added is measured: 100,200,400")
      ->delimiter(',')
      ->check(CLI::Range(1.0, 100'000.0));
  gateway->add_option("--commit", words->one.commit, "kept in the figures as given");
  gateway->add_option("--json", words->json, "write the figures here");
  gateway->footer(
      "Exit codes: 0 measured, 1 broken or void (the lab itself was late), 2 wrong usage.\n\n"
      "Examples:\n"
      "  paddlestile lab gateway --hosts 20000 --tenants 500 --json gateway.json\n"
      "  paddlestile lab gateway --rates 500,1000,2000,4000 --seconds 5");

  CLI::App* const world = lab->add_subcommand(
      "world", "Play the bank's deciders in simulated time, a schedule of faults a seed");
  world->add_option("--schedules", words->worlds.schedules, "how many, each with the next seed")
      ->check(CLI::Range(1, 1'000'000'000))
      ->capture_default_str();
  world->add_option("--seed", words->worlds.world.seed, "of the first")->capture_default_str();
  world->add_option("--jobs", words->worlds.jobs, "threads")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  world->add_option("--followers", words->worlds.world.followers, "beside three or five voters")
      ->check(CLI::Range(0, 10'000))
      ->capture_default_str();
  world->add_option("--faults", words->worlds.world.faults, "in each schedule")
      ->check(CLI::Range(0, 1000))
      ->capture_default_str();
  std::vector<std::string> mischiefs;
  mischiefs.reserve(kMischiefs);
  for (int i = 0; i < kMischiefs; ++i) {
    mischiefs.emplace_back(NameOf(static_cast<Mischief>(i)));
  }
  world->add_option("--mischief", words->mischief, "members that break a term on purpose")
      ->check(CLI::IsMember(mischiefs))
      ->capture_default_str();
  world->add_option("--changes", words->changes, "whole, as deltas, or by turns")
      ->check(CLI::IsMember({"mixed", "whole", "delta"}))
      ->capture_default_str();
  world->add_flag("--trace", words->worlds.world.trace, "say what happens, on standard error");
  world->footer(
      "Exit codes: 0 all held, 1 a term was broken: each seed with the command that plays it.\n\n"
      "Examples:\n  paddlestile lab world --schedules 100000 --jobs 8\n"
      "  paddlestile lab world --schedules 100 --mischief acts-on");

  CLI::App* const scale = lab->add_subcommand(
      "scale", "Play a bank of many members, most of them hollow, and take its figures");
  scale->add_option("--members", words->scale.members, "in all, five of them vote")->required();
  scale->add_option("--real", words->scale.real,
                    "of them, as processes of their own; 8 where none is given");
  scale->add_option("--tenants", words->scale.tenants, "quotas that each version holds")
      ->check(CLI::Range(0, 1'000'000));
  scale->add_option("--seconds", words->scale.seconds, "from all linked to the end")
      ->check(CLI::Range(kScaleLeastSeconds, 3600.0))
      ->capture_default_str();
  scale->add_option("--seed", words->scale.seed, "of who restarts, is cut off and stops")
      ->capture_default_str();
  scale->add_option("--rate", words->scale.rate, "requests a second, over the real ones")
      ->check(CLI::Range(1.0, 100'000.0))
      ->capture_default_str();
  scale->add_flag("--leader-dies", words->scale.leader_dies, "while others restart");
  scale->add_option("--hosts", words->scale.hosts, "emulated, that the real ones send to")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
  scale
      ->add_option("--stall-ms", words->scale.stall_ms,
                   "how long a tenth of the hollow ones stands still at a time")
      ->check(CLI::Range(10.0, kScaleStallMost))
      ->capture_default_str();
  scale->add_option("--read-bytes-per-s", words->scale.read_bytes_per_s,
                    "what a tenth of the hollow ones reads of each voter for 4 s; 0: all");
  scale->add_flag("!--no-bank", words->scale.bank,
                  "the same real ones and requests without a bank, to compare");
  scale->add_option("--commit", words->scale.commit, "of what is played, kept in the figures");
  scale->add_flag("--deltas", words->scale.deltas, "changes go as deltas of the version before");
  scale->add_flag("--calm", words->scale.calm, "nobody restarts, is cut off or stops");
  scale->add_option("--json", words->json, "write the figures here");
  scale->add_option("--logs", words->logs, "a folder to keep the gateways' logs in")
      ->check(CLI::ExistingDirectory);
  scale->footer(
      "Exit codes: 0 held, 1 broken or void (the machine was too busy), 2 wrong usage.\n\n"
      "Example:\n  paddlestile lab scale --members 400 --seed 3 --json scale.json");

  // Of `lab scale` alone.
  CLI::App* const hollow = lab->add_subcommand("hollow", "Hollow members of a bank")->group("");
  hollow->add_option("--operator", words->hollow.operator_file)->required();
  hollow->add_option("--first", words->hollow.first)->required();
  hollow->add_option("--count", words->hollow.count)->required();
  hollow->add_option("--book", words->hollow.book)->required();
  hollow->add_option("--seed", words->hollow.seed);
  hollow->add_option("--restarts", words->hollow.restarts);
  hollow->add_option("--cuts", words->hollow.cuts);
  CLI::App* const capacity = lab->add_subcommand(
      "capacity", "What the operators' target takes of each role, from committed measurements");
  capacity->add_option("--target", words->target, "the operators' figures")->capture_default_str();
  capacity->add_option("--rows", words->rows, "what is weighed")->capture_default_str();
  capacity->add_option("--slopes", words->slopes, "the lines through the runs")
      ->capture_default_str();
  CLI::Option* const fit =
      capacity->add_option("--fit", words->fit, "make the slopes anew from this folder of runs");
  capacity->add_option("--page", words->page, "put the tables between the markers of this file")
      ->excludes(fit);
  capacity->add_flag("--json", words->as_json, "as JSON instead of tables")
      ->excludes(fit)
      ->excludes("--page");
  capacity->footer(
      "Exit codes: 0 done, whatever the shares are; 2 wrong usage or a file that is not good.\n\n"
      "Examples:\n  paddlestile lab capacity --fit lab/capacity/runs\n"
      "  paddlestile lab capacity --page docs/CAPACITY.md");

  return [=] {
    if (!lab->parsed()) {
      return -1;
    }
    try {
      if (run->parsed()) {
        return Run(*words);
      }
      if (list->parsed()) {
        return List(*words);
      }
      if (report->parsed()) {
        return Report(*words);
      }
      if (fleet->parsed()) {
        return Fleet(*words);
      }
      if (world->parsed()) {
        return Worlds(*words);
      }
      if (scale->parsed()) {
        return Scale(*words);
      }
      if (hollow->parsed()) {
        return RunHollow(words->hollow);
      }
      if (capacity->parsed()) {
        return words->fit.empty() ? Weigh(*words) : Fit(*words);
      }
      if (gateway->parsed()) {
        return OneGateway(*words);
      }
      return Bench(*words);
    } catch (const Interrupted& error) {
      fmt::print(stderr, "paddlestile: {}\n", error.what());
      return kDidNotHold;
    } catch (const ExperimentError& error) {
      fmt::print(stderr, "{}\n", error.what());
      return kWrongUsage;
    } catch (const CapacityError& error) {
      fmt::print(stderr, "{}\n", error.what());
      return kWrongUsage;
    } catch (const std::exception& error) {  // a port in use, a file that is no result
      return Fail(error.what());
    }
  };
}

}  // namespace paddlestile::lab
