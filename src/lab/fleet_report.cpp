#include "lab/fleet_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string_view>
#include <system_error>
#include <tuple>
#include <utility>

#include "lab/plot.h"
#include "lab/process.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr size_t kMaxLineBytes = 64 << 10;  // a counter line has about 2,000 bytes
constexpr double kMaxRunSeconds = 86'400;   // a table with more rows would not be readable
// Counter lines are written slightly after the full second that they report.
constexpr double kReportDelaySeconds = 0.005;
// A gap between two counter lines is reported if it exceeds this many usual intervals.
constexpr double kGapIntervals = 3;
constexpr size_t kMaxRemarks = 40;
constexpr std::string_view kCountersPrefix = "counters: ";

// Momentary values. All other numbers of a line only increase.
const std::set<std::string, std::less<>> kGauges = {"clients",     "hosts_connected", "hosts_idle",
                                                    "descriptors", "memory_kb",       "in_hand",
                                                    "held",        "revision"};

struct Column {
  std::string title;
  std::vector<std::string> counters;  // added up
};

const std::vector<Column>& Columns() {
  static const std::vector<Column> kColumns = {
      {"requests", {"requests_admitted"}},
      {"served", {"responses_served"}},
      {"refused", {"responses_rejected"}},
      {"failed", {"responses_failed"}},
      {"attempts", {"attempts_started"}},
      {"to-cold", {"attempts_to_warming_hosts"}},
      {"to-drain", {"attempts_to_draining_hosts"}},
      {"connects", {"upstream_connections_opened"}},
      {"probes", {"probes"}},
      {"lists", {"discovery_watches", "discovery_polls"}},
      {"no-host", {"unserved_no_endpoint"}},
      {"by-law", {"unserved_not_permitted"}},
      {"cold", {"unserved_warming_up"}},
      {"sick", {"unserved_unhealthy"}},
      {"full", {"unserved_at_concurrency_limit"}},
      {"new", {"unserved_capacity_unknown"}},
      {"late", {"unserved_misses_latency_objective"}},
      {"spent", {"unserved_retry_budget_exhausted"}},
  };
  return kColumns;
}
constexpr size_t kFirstReasonColumn = 10;  // from this column on: reasons for unserved requests

// One counter line.
struct CounterLine {
  double at = 0;
  std::string stage;
  std::map<std::string, double> counts;
};
// Identifies a process: the gateway's name and the process's start time.
using ProcessKey = std::pair<std::string, std::string>;

// Returns the message of a log line, in either format, regardless of what precedes it. Sets
// `malformed`, and returns nullopt, if the line contains a JSON log entry that is not valid.
std::optional<std::string> ExtractMessage(std::string_view line, bool& malformed) {
  const size_t object = line.find("{\"time\":");
  if (object == std::string_view::npos) {
    return std::string(line);
  }
  const json parsed = json::parse(line.substr(object), nullptr, false);
  malformed = !parsed.is_object() || !parsed.contains("message") || !parsed["message"].is_string();
  if (malformed) {
    return std::nullopt;
  }
  return parsed["message"].get<std::string>();
}

std::optional<double> ParseNumber(const std::string& text) {
  size_t parsed_length = 0;
  try {
    const double value = std::stod(text, &parsed_length);
    if (parsed_length == text.size() && std::isfinite(value) && value >= 0) {
      return value;
    }
  } catch (const std::exception&) {  // not a number
  }
  return std::nullopt;
}

class FleetLogReader {
 public:
  explicit FleetLogReader(const FleetReportOptions& options) : options_(options) {
    report_.phases = options.phases;
  }

  FleetReport Read(const std::string& folder) {
    report_.folder = folder;
    std::error_code error;
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(folder, error)) {
      if (entry.is_regular_file(error)) {
        files.push_back(entry.path());
      }
    }
    if (error) {
      throw std::runtime_error(
          fmt::format("{}: {}, expected a folder of gateways' logs", folder, error.message()));
    }
    std::ranges::sort(files);
    for (const fs::path& file : files) {
      ReadFile(file);
    }
    report_.files = files.size();
    if (processes_.empty()) {
      throw std::runtime_error(fmt::format(
          "{}: no line of counters with its time in {} files, expected logs of gateways started "
          "with serve --counters-every",
          folder, files.size()));
    }
    ComputeSums();
    return std::move(report_);
  }

 private:
  void AddRemark(std::string text) {
    if (report_.remarks.size() < kMaxRemarks) {
      report_.remarks.push_back(std::move(text));
    } else {
      ++omitted_remarks_;
    }
  }

  void ReadFile(const fs::path& path) {
    const std::string name = path.filename().string();
    std::ifstream file(path, std::ios::binary);
    if (!file) {
      return AddRemark(name + ": cannot be read, skipped");
    }
    size_t line_number = 0, malformed_count = 0, first_malformed = 0, untimed = 0, accepted = 0,
           empty = 0;
    std::string line;
    while (std::getline(file, line)) {
      ++line_number;
      const bool complete = !file.eof();  // the newline was read, too
      if (line.empty()) {
        ++empty;
      }
      bool malformed = line.size() > kMaxLineBytes;
      if (!malformed && line.find("counters: ") != std::string::npos) {
        const std::optional<std::string> message = ExtractMessage(line, malformed);
        const size_t prefix_at = message ? message->find(kCountersPrefix) : std::string::npos;
        if (!malformed && prefix_at != std::string::npos) {
          // Without its newline, a text line may lack the last digits of its last number.
          const auto outcome =
              complete ? AddLine(message->substr(prefix_at + kCountersPrefix.size())) : kMalformed;
          malformed = outcome == kMalformed;
          untimed += outcome == kUntimed ? 1 : 0;
          accepted += outcome == kAccepted ? 1 : 0;
        }
      }
      if (malformed && ++malformed_count == 1) {
        first_malformed = line_number;
      }
    }
    if (malformed_count > 0) {
      AddRemark(fmt::format("{}: skipped {} truncated or malformed line{}, the first is line {}",
                            name, malformed_count, malformed_count == 1 ? "" : "s",
                            first_malformed));
    }
    if (untimed > 0) {
      AddRemark(fmt::format("{}: skipped {} counter line{} without gateway, since or at", name,
                            untimed, untimed == 1 ? "" : "s"));
    }
    if (accepted + untimed + malformed_count == 0) {
      AddRemark(name + ": no counter lines");
    }
    report_.lines += accepted;
  }

  enum LineOutcome {
    kAccepted,
    kUntimed,
    kMalformed
  };

  LineOutcome AddLine(const std::string& text) {
    CounterLine counter_line;
    ProcessKey key;
    bool has_time = false;
    std::set<std::string> seen_names;
    for (size_t position = 0; position < text.size();) {
      const size_t end = std::min(text.find(' ', position), text.size());
      const std::string word = text.substr(position, end - position);
      position = end + 1;
      if (word.empty()) {
        continue;
      }
      const size_t equals = word.find('=');
      // Two lines joined into one contain a counter twice.
      if (equals == 0 || equals == std::string::npos) {
        return kMalformed;
      }
      const std::string name = word.substr(0, equals), value = word.substr(equals + 1);
      if (!seen_names.insert(name).second) {
        return kMalformed;
      }
      if (name == "life") {
        counter_line.stage = value;
      } else if (name == "gateway") {
        key.first = value;
      } else if (name == "since") {
        if (!ParseNumber(value)) {
          return kMalformed;
        }
        key.second = value;
      } else {
        const std::optional<double> number = ParseNumber(value);
        if (!number) {
          return kMalformed;
        }
        if (name == "at") {
          counter_line.at = *number;
          has_time = true;
        } else {
          counter_line.counts[name] = *number;
        }
      }
    }
    if (!has_time || key.first.empty() || key.second.empty()) {
      return kUntimed;
    }
    processes_[key].emplace(counter_line.at, std::move(counter_line));  // ignores a repeated line
    return kAccepted;
  }

  void ComputeSums() {
    double first = 1e300, last = 0;
    std::set<std::string> names;
    for (const auto& [key, counter_lines] : processes_) {
      names.insert(key.first);
      first = std::min({first, counter_lines.begin()->first, std::stod(key.second)});
      last = std::max(last, counter_lines.rbegin()->first);
    }
    report_.gateways = names.size();
    report_.lives = processes_.size();
    report_.from_unix_s = std::floor(first);
    if (last - first > kMaxRunSeconds) {
      throw std::runtime_error(fmt::format("{}: its lines span {:.0f} s, expected at most a day",
                                           report_.folder, last - first));
    }
    const auto seconds = static_cast<size_t>(
        std::max(1.0, std::ceil(last - kReportDelaySeconds - report_.from_unix_s)));
    report_.seconds.resize(seconds);
    for (size_t i = 0; i < seconds; ++i) {
      report_.seconds[i].at_s = static_cast<double>(i);
    }
    const double length = static_cast<double>(seconds);
    if (report_.phases.empty()) {
      report_.phases.push_back({"all", 0, length});
    }
    for (const Phase& phase : report_.phases) {
      if (phase.from_s >= length) {
        AddRemark(fmt::format("phase {}: starts at {} s, but the run lasts {:.0f} s", phase.name,
                              phase.from_s, length));
      }
    }
    if (options_.expected_gateways > names.size()) {
      AddRemark(fmt::format("{} gateways tell of themselves, expected {}", names.size(),
                            options_.expected_gateways));
    }
    for (const auto& [key, counter_lines] : processes_) {
      AddProcess(key, counter_lines, last);
    }
    if (omitted_remarks_ > 0) {
      report_.remarks.push_back(fmt::format("and {} more remarks", omitted_remarks_));
    }
  }

  void AddProcess(const ProcessKey& key, const std::map<double, CounterLine>& counter_lines,
                  double last) {
    double previous_at = std::min(std::stod(key.second), counter_lines.begin()->first);
    std::vector<double> intervals;
    const std::map<std::string, double> no_counts;
    const std::map<std::string, double>* previous_counts = &no_counts;
    const auto to_run_time = [&](double at) {
      return at - report_.from_unix_s;
    };
    for (const auto& [at, counter_line] : counter_lines) {
      for (const auto& [name, value] : counter_line.counts) {
        if (kGauges.contains(name)) {
          AddSpread(name, value, to_run_time(at) - kReportDelaySeconds,
                    to_run_time(at) - kReportDelaySeconds);
          continue;
        }
        const auto previous_value = previous_counts->find(name);
        const double increase =
            value - (previous_value == previous_counts->end() ? 0 : previous_value->second);
        if (increase < 0) {
          AddRemark(
              fmt::format("{}: {} decreases at {:.1f} s, two processes reported the same start",
                          key.first, name, to_run_time(at)));
        } else if (increase > 0) {
          AddSpread(name, increase, to_run_time(previous_at),
                    to_run_time(at) - kReportDelaySeconds);
        }
      }
      ++SecondAt(to_run_time(at) - kReportDelaySeconds).stages[counter_line.stage];
      if (previous_counts != &no_counts) {
        intervals.push_back(at - previous_at);
      }
      previous_at = at;
      previous_counts = &counter_line.counts;
    }
    if (intervals.empty()) {
      return;
    }
    std::vector<double> sorted = intervals;
    std::ranges::nth_element(sorted, sorted.begin() + static_cast<long>(sorted.size() / 2));
    const double usual_interval = std::max(sorted[sorted.size() / 2], 0.1);
    auto at = counter_lines.begin();
    for (const double gap : intervals) {
      const double from = to_run_time((at++)->first);
      if (gap > kGapIntervals * usual_interval) {
        AddRemark(fmt::format("{}: no counter lines from {:.1f} to {:.1f} s", key.first, from,
                              from + gap));
      }
    }
    const CounterLine& last_line = counter_lines.rbegin()->second;
    if (last - last_line.at > kGapIntervals * usual_interval && last_line.stage != "ending") {
      AddRemark(fmt::format("{}: no counter lines after {:.1f} s, its last state was {}", key.first,
                            to_run_time(last_line.at), last_line.stage));
    }
  }

  FleetSecond& SecondAt(double second) {
    const double last_second = static_cast<double>(report_.seconds.size() - 1);
    return report_.seconds[static_cast<size_t>(std::clamp(second, 0.0, last_second))];
  }

  void AddSpread(const std::string& name, double value, double from, double to) {
    if (to - from < kReportDelaySeconds) {
      SecondAt(to).counts[name] += value;
      return;
    }
    for (double at = from; at < to;) {
      const double part_end = std::min(to, std::floor(at) + 1);
      SecondAt(at).counts[name] += value * (part_end - at) / (to - from);
      at = part_end;
    }
  }

  const FleetReportOptions& options_;
  FleetReport report_;
  std::map<ProcessKey, std::map<double, CounterLine>> processes_;
  size_t omitted_remarks_ = 0;
};

double ColumnSum(const FleetSecond& second, const Column& column) {
  double sum = 0;
  for (const std::string& counter : column.counters) {
    const auto at = second.counts.find(counter);
    if (at != second.counts.end()) {
      sum += at->second;
    }
  }
  return sum;
}

double ColumnSum(const FleetReport& report, const Column& column, const Phase& phase) {
  double sum = 0;
  for (const std::string& counter : column.counters) {
    sum += report.Sum(counter, phase);
  }
  return sum;
}

size_t ReportingGateways(const FleetSecond& second) {
  size_t gateways = 0;
  for (const auto& [stage, count] : second.stages) {
    gateways += count;
  }
  return gateways;
}

double PhaseSeconds(const FleetReport& report, const Phase& phase) {
  const double to = std::min(phase.to_s, static_cast<double>(report.seconds.size()));
  return std::max(0.0, to - phase.from_s);
}

std::string Headline(const FleetReport& report) {
  return fmt::format("{}: {} gateways in {} processes, {} counter lines in {} files, {} s",
                     report.folder, report.gateways, report.lives, report.lines, report.files,
                     report.seconds.size());
}

std::vector<Plot> MakePlots(const FleetReport& report) {
  const auto make_series = [&](const Column& column) {
    Series series{column.title, {}};
    for (const FleetSecond& second : report.seconds) {
      series.points.emplace_back(second.at_s + 0.5, ColumnSum(second, column));
    }
    return series;
  };
  const auto make_plot = [&](std::string id, std::string title, size_t from, size_t to) {
    Plot plot{std::move(id), std::move(title), "per second", {}};
    for (size_t i = from; i < to; ++i) {
      plot.series.push_back(make_series(Columns()[i]));
    }
    return plot;
  };
  std::vector<Plot> plots = {
      make_plot("requests", "Requests and responses, all gateways", 0, 4),
      make_plot("reasons", "Reasons for unserved requests", kFirstReasonColumn, Columns().size()),
      make_plot("attempts", "Attempts, in all and to cold and draining hosts", 4, 7),
      make_plot("costs", "New connections to hosts, probes and discovery requests", 7, 10)};
  Plot stages{"stages", "Gateways with counter lines, by life stage", "gateways", {}};
  std::set<std::string> names;
  for (const FleetSecond& second : report.seconds) {
    for (const auto& [stage, count] : second.stages) {
      names.insert(stage);
    }
  }
  Plot gauges{"gauges", "Mean memory and file descriptors of a gateway", "MB; tens", {}};
  for (const auto& [title, counter, unit] : {std::tuple{"memory, MB", "memory_kb", 1024.0},
                                             {"descriptors, tens", "descriptors", 10.0}}) {
    Series series{title, {}};
    for (const FleetSecond& second : report.seconds) {
      const auto at = second.counts.find(counter);
      const auto gateways = static_cast<double>(ReportingGateways(second));
      series.points.emplace_back(second.at_s + 0.5, at == second.counts.end() || gateways <= 0
                                                        ? -1
                                                        : at->second / gateways / unit);
    }
    gauges.series.push_back(std::move(series));
  }
  for (const std::string& name : names) {
    Series series{name, {}};
    for (const FleetSecond& second : report.seconds) {
      const auto at = second.stages.find(name);
      series.points.emplace_back(second.at_s + 0.5,
                                 at == second.stages.end() ? 0.0 : static_cast<double>(at->second));
    }
    stages.series.push_back(std::move(series));
  }
  plots.push_back(std::move(stages));
  plots.push_back(std::move(gauges));
  return plots;
}

}  // namespace

Phase ParsePhase(const std::string& text) {
  const size_t equals = text.find('='),
               dash = text.find('-', equals == std::string::npos ? 0 : equals);
  if (equals != std::string::npos && equals > 0 && dash != std::string::npos) {
    const auto from = ParseNumber(text.substr(equals + 1, dash - equals - 1));
    const auto to = ParseNumber(text.substr(dash + 1));
    if (from && to && *from < *to) {
      return {text.substr(0, equals), *from, *to};
    }
  }
  throw std::runtime_error(
      fmt::format("--phase {}: expected NAME=FROM-TO in seconds, such as restart=10-20", text));
}

double FleetReport::Sum(const std::string& counter, const Phase& phase) const {
  double sum = 0;
  for (const FleetSecond& second : seconds) {
    const double overlap =
        std::min(second.at_s + 1, phase.to_s) - std::max(second.at_s, phase.from_s);
    const auto at = second.counts.find(counter);
    if (overlap > 0 && at != second.counts.end()) {
      sum += overlap * at->second;
    }
  }
  return sum;
}

FleetReport ReadFleet(const std::string& folder, const FleetReportOptions& options) {
  return FleetLogReader(options).Read(folder);
}

std::string ToText(const FleetReport& report) {
  std::string text = Headline(report) + "\n";
  for (const std::string& remark : report.remarks) {
    text += "  " + remark + "\n";
  }
  text += fmt::format("{:>10} {:>8}", "second", "gateways");
  for (const Column& column : Columns()) {
    text += fmt::format(" {:>8}", column.title);
  }
  text += "\n";
  for (const FleetSecond& second : report.seconds) {
    text += fmt::format("{:>10.0f} {:>8}", second.at_s, ReportingGateways(second));
    for (const Column& column : Columns()) {
      text += fmt::format(" {:>8.0f}", ColumnSum(second, column));
    }
    text += "\n";
  }
  for (const Phase& phase : report.phases) {
    text += fmt::format("{:>10.10} {:>8}", phase.name, "sum");
    for (const Column& column : Columns()) {
      text += fmt::format(" {:>8.0f}", ColumnSum(report, column, phase));
    }
    text += "\n";
  }
  return text;
}

std::string ToJson(const FleetReport& report) {
  json seconds = json::array(), phases = json::array();
  for (const FleetSecond& second : report.seconds) {
    seconds.push_back(
        {{"at_s", second.at_s}, {"counts", second.counts}, {"stages", second.stages}});
  }
  std::set<std::string> names;
  for (const FleetSecond& second : report.seconds) {
    for (const auto& [name, value] : second.counts) {
      if (!kGauges.contains(name)) {
        names.insert(name);
      }
    }
  }
  for (const Phase& phase : report.phases) {
    json sums = json::object();
    for (const std::string& name : names) {
      sums[name] = report.Sum(name, phase);
    }
    phases.push_back(
        {{"name", phase.name}, {"from_s", phase.from_s}, {"to_s", phase.to_s}, {"counts", sums}});
  }
  const json out = {
      {"folder", report.folder},   {"files", report.files}, {"gateways", report.gateways},
      {"lives", report.lives},     {"lines", report.lines}, {"from_unix_s", report.from_unix_s},
      {"remarks", report.remarks}, {"phases", phases},      {"seconds", seconds}};
  return out.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string ToHtml(const FleetReport& report) {
  std::string html = fmt::format(
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>paddlestile fleet: "
      "{0}</title><style>{1}</style></head><body><h1>paddlestile fleet: {0}</h1>\n<p>{2}</p>\n",
      EscapeHtml(report.folder), kPageStyle, EscapeHtml(Headline(report)));
  if (!report.remarks.empty()) {
    html += "<ul>";
    for (const std::string& remark : report.remarks) {
      html += fmt::format("<li>{}</li>", EscapeHtml(remark));
    }
    html += "</ul>\n";
  }
  html += "<table><tr><th>per second, in</th>";
  for (const Phase& phase : report.phases) {
    html += fmt::format("<th>{}</th>", EscapeHtml(phase.name));
  }
  html += "</tr>\n";
  for (const Column& column : Columns()) {
    html += fmt::format("<tr><td>{}</td>", column.title);
    for (const Phase& phase : report.phases) {
      const double seconds = PhaseSeconds(report, phase);
      html += fmt::format("<td>{:.1f}</td>",
                          seconds > 0 ? ColumnSum(report, column, phase) / seconds : 0);
    }
    html += "</tr>\n";
  }
  html += "</table>\n";
  const std::string gnuplot = FindGnuplot();
  if (gnuplot.empty()) {
    html += "<p>Without plots: gnuplot was not found.</p>\n";
  } else {
    const TemporaryDirectory folder;
    std::vector<PlotMark> marks;
    const double length = static_cast<double>(report.seconds.size());
    for (const Phase& phase : report.phases) {
      if (phase.name != "all") {
        marks.push_back({phase.from_s, std::min(phase.to_s, length), phase.name});
      }
    }
    for (const Plot& plot : MakePlots(report)) {
      const std::string svg = DrawPlot(plot, length, marks, plot.id, folder, gnuplot);
      html += fmt::format("<h2>{}</h2><div class=\"plots\"><div>{}</div></div>",
                          EscapeHtml(plot.title), svg.empty() ? "gnuplot produced no plot" : svg);
    }
  }
  return html + "</body></html>\n";
}

}  // namespace paddlestile::lab
