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

constexpr size_t kLongestLine = 64 << 10;  // bytes; a line of counters has two thousand
constexpr double kLongestRun = 86'400;     // s; a table of more seconds is read by nobody
constexpr double kClockStep = 0.005;       // s; beats come a little after the full second
constexpr double kGap = 3;                 // beats without a line: said
constexpr size_t kRemarksMost = 40;
constexpr std::string_view kMark = "counters: ";

// Values of a moment; all other numbers of a line only grow.
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
constexpr size_t kFirstReason = 10;  // of the columns; from there on why requests were given up

// One line of counters.
struct Beat {
  double at = 0;
  std::string stage;
  std::map<std::string, double> counts;
};
// A process: its gateway's name and when it began.
using LifeKey = std::pair<std::string, std::string>;

// The message of a log line, in either format, whatever stands before it; nothing where it is none.
// `bad`: it ought to be JSON and is not.
std::optional<std::string> MessageOf(std::string_view line, bool& bad) {
  const size_t object = line.find("{\"time\":");
  if (object == std::string_view::npos) {
    return std::string(line);
  }
  const json parsed = json::parse(line.substr(object), nullptr, false);
  bad = !parsed.is_object() || !parsed.contains("message") || !parsed["message"].is_string();
  if (bad) {
    return std::nullopt;
  }
  return parsed["message"].get<std::string>();
}

std::optional<double> NumberOf(const std::string& text) {
  size_t used = 0;
  try {
    const double value = std::stod(text, &used);
    if (used == text.size() && std::isfinite(value) && value >= 0) {
      return value;
    }
  } catch (const std::exception&) {  // no number
  }
  return std::nullopt;
}

class Reader {
 public:
  explicit Reader(const FleetReportOptions& options) : options_(options) {
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
    if (lives_.empty()) {
      throw std::runtime_error(fmt::format(
          "{}: no line of counters with its time in {} files, expected logs of gateways started "
          "with serve --counters-every",
          folder, files.size()));
    }
    AddUp();
    return std::move(report_);
  }

 private:
  void Remark(std::string text) {
    if (report_.remarks.size() < kRemarksMost) {
      report_.remarks.push_back(std::move(text));
    } else {
      ++unsaid_;
    }
  }

  void ReadFile(const fs::path& path) {
    const std::string name = path.filename().string();
    std::ifstream file(path, std::ios::binary);
    if (!file) {
      return Remark(name + ": cannot be read, left out");
    }
    size_t number = 0, cut = 0, first_cut = 0, untimed = 0, found = 0, empty = 0;
    std::string line;
    while (std::getline(file, line)) {
      ++number;
      const bool whole = !file.eof();  // its end was read, too
      if (line.empty()) {
        ++empty;
      }
      bool bad = line.size() > kLongestLine;
      if (!bad && line.find("counters: ") != std::string::npos) {
        const std::optional<std::string> message = MessageOf(line, bad);
        const size_t at = message ? message->find(kMark) : std::string::npos;
        if (!bad && at != std::string::npos) {
          // A text line without its end may lack the last digits of its last number.
          const auto taken = whole ? Take(message->substr(at + kMark.size())) : kCut;
          bad = taken == kCut;
          untimed += taken == kUntimed ? 1 : 0;
          found += taken == kTaken ? 1 : 0;
        }
      }
      if (bad && ++cut == 1) {
        first_cut = number;
      }
    }
    if (cut > 0) {
      Remark(fmt::format("{}: {} line{} cut or malformed, left out, the first is line {}", name,
                         cut, cut == 1 ? "" : "s", first_cut));
    }
    if (untimed > 0) {
      Remark(fmt::format("{}: {} line{} of counters without gateway, since or at, left out", name,
                         untimed, untimed == 1 ? "" : "s"));
    }
    if (found + untimed + cut == 0) {
      Remark(name + ": no line of counters");
    }
    report_.lines += found;
  }

  enum Taking {
    kTaken,
    kUntimed,
    kCut
  };

  Taking Take(const std::string& text) {
    Beat beat;
    LifeKey key;
    bool timed = false;
    std::set<std::string> met;
    for (size_t at = 0; at < text.size();) {
      const size_t end = std::min(text.find(' ', at), text.size());
      const std::string word = text.substr(at, end - at);
      at = end + 1;
      if (word.empty()) {
        continue;
      }
      const size_t equals = word.find('=');
      // Two lines run into one name a counter twice.
      if (equals == 0 || equals == std::string::npos) {
        return kCut;
      }
      const std::string name = word.substr(0, equals), value = word.substr(equals + 1);
      if (!met.insert(name).second) {
        return kCut;
      }
      if (name == "life") {
        beat.stage = value;
      } else if (name == "gateway") {
        key.first = value;
      } else if (name == "since") {
        if (!NumberOf(value)) {
          return kCut;
        }
        key.second = value;
      } else {
        const std::optional<double> number = NumberOf(value);
        if (!number) {
          return kCut;
        }
        if (name == "at") {
          beat.at = *number;
          timed = true;
        } else {
          beat.counts[name] = *number;
        }
      }
    }
    if (!timed || key.first.empty() || key.second.empty()) {
      return kUntimed;
    }
    lives_[key].emplace(beat.at, std::move(beat));  // the same line again is the same beat
    return kTaken;
  }

  void AddUp() {
    double first = 1e300, last = 0;
    std::set<std::string> names;
    for (const auto& [key, beats] : lives_) {
      names.insert(key.first);
      first = std::min({first, beats.begin()->first, std::stod(key.second)});
      last = std::max(last, beats.rbegin()->first);
    }
    report_.gateways = names.size();
    report_.lives = lives_.size();
    report_.from_unix_s = std::floor(first);
    if (last - first > kLongestRun) {
      throw std::runtime_error(fmt::format("{}: its lines span {:.0f} s, expected a day at most",
                                           report_.folder, last - first));
    }
    const auto seconds =
        static_cast<size_t>(std::max(1.0, std::ceil(last - kClockStep - report_.from_unix_s)));
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
        Remark(fmt::format("phase {}: begins at {} s, the run has {:.0f} s", phase.name,
                           phase.from_s, length));
      }
    }
    if (options_.expected_gateways > names.size()) {
      Remark(fmt::format("{} gateways tell of themselves, expected {}", names.size(),
                         options_.expected_gateways));
    }
    for (const auto& [key, beats] : lives_) {
      AddLife(key, beats, last);
    }
    if (unsaid_ > 0) {
      report_.remarks.push_back(fmt::format("and {} remarks more", unsaid_));
    }
  }

  void AddLife(const LifeKey& key, const std::map<double, Beat>& beats, double last) {
    double before = std::min(std::stod(key.second), beats.begin()->first);
    std::vector<double> steps;
    const std::map<std::string, double> none;
    const std::map<std::string, double>* counts = &none;
    const auto since_start = [&](double at) {
      return at - report_.from_unix_s;
    };
    for (const auto& [at, beat] : beats) {
      for (const auto& [name, value] : beat.counts) {
        if (kGauges.contains(name)) {
          Spread(name, value, since_start(at) - kClockStep, since_start(at) - kClockStep);
          continue;
        }
        const auto was = counts->find(name);
        const double grown = value - (was == counts->end() ? 0 : was->second);
        if (grown < 0) {
          Remark(fmt::format("{}: {} falls at {:.1f} s, two processes told the same start",
                             key.first, name, since_start(at)));
        } else if (grown > 0) {
          Spread(name, grown, since_start(before), since_start(at) - kClockStep);
        }
      }
      ++At(since_start(at) - kClockStep).stages[beat.stage];
      if (counts != &none) {
        steps.push_back(at - before);
      }
      before = at;
      counts = &beat.counts;
    }
    if (steps.empty()) {
      return;
    }
    std::vector<double> sorted = steps;
    std::ranges::nth_element(sorted, sorted.begin() + static_cast<long>(sorted.size() / 2));
    const double step = std::max(sorted[sorted.size() / 2], 0.1);
    auto at = beats.begin();
    for (const double gap : steps) {
      const double from = since_start((at++)->first);
      if (gap > kGap * step) {
        Remark(
            fmt::format("{}: says nothing from {:.1f} to {:.1f} s", key.first, from, from + gap));
      }
    }
    const Beat& end = beats.rbegin()->second;
    if (last - end.at > kGap * step && end.stage != "ending") {
      Remark(fmt::format("{}: says nothing after {:.1f} s, it was {}", key.first,
                         since_start(end.at), end.stage));
    }
  }

  FleetSecond& At(double second) {
    const double most = static_cast<double>(report_.seconds.size() - 1);
    return report_.seconds[static_cast<size_t>(std::clamp(second, 0.0, most))];
  }

  void Spread(const std::string& name, double value, double from, double to) {
    if (to - from < kClockStep) {
      At(to).counts[name] += value;
      return;
    }
    for (double at = from; at < to;) {
      const double next = std::min(to, std::floor(at) + 1);
      At(at).counts[name] += value * (next - at) / (to - from);
      at = next;
    }
  }

  const FleetReportOptions& options_;
  FleetReport report_;
  std::map<LifeKey, std::map<double, Beat>> lives_;
  size_t unsaid_ = 0;
};

double Of(const FleetSecond& second, const Column& column) {
  double sum = 0;
  for (const std::string& counter : column.counters) {
    const auto at = second.counts.find(counter);
    if (at != second.counts.end()) {
      sum += at->second;
    }
  }
  return sum;
}

double Of(const FleetReport& report, const Column& column, const Phase& phase) {
  double sum = 0;
  for (const std::string& counter : column.counters) {
    sum += report.Sum(counter, phase);
  }
  return sum;
}

size_t Tellers(const FleetSecond& second) {
  size_t n = 0;
  for (const auto& [stage, count] : second.stages) {
    n += count;
  }
  return n;
}

double SecondsOf(const FleetReport& report, const Phase& phase) {
  const double to = std::min(phase.to_s, static_cast<double>(report.seconds.size()));
  return std::max(0.0, to - phase.from_s);
}

std::string Head(const FleetReport& r) {
  return fmt::format("{}: {} gateways in {} lives, {} lines of counters in {} files, {} s",
                     r.folder, r.gateways, r.lives, r.lines, r.files, r.seconds.size());
}

std::vector<Plot> PlotsOf(const FleetReport& r) {
  const auto by = [&](const Column& column) {
    Series series{column.title, {}};
    for (const FleetSecond& s : r.seconds) {
      series.points.emplace_back(s.at_s + 0.5, Of(s, column));
    }
    return series;
  };
  const auto plot = [&](std::string id, std::string title, size_t from, size_t to) {
    Plot p{std::move(id), std::move(title), "a second", {}};
    for (size_t i = from; i < to; ++i) {
      p.series.push_back(by(Columns()[i]));
    }
    return p;
  };
  std::vector<Plot> plots = {
      plot("requests", "Requests and their answers, all gateways", 0, 4),
      plot("reasons", "Why requests were given up", kFirstReason, Columns().size()),
      plot("attempts", "Attempts, and those to cold and draining hosts", 4, 7),
      plot("costs", "New connections to hosts, probes, calls for lists", 7, 10)};
  Plot stages{
      "stages", "Gateways that told of themselves, by the stage of their lives", "gateways", {}};
  std::set<std::string> names;
  for (const FleetSecond& s : r.seconds) {
    for (const auto& [stage, count] : s.stages) {
      names.insert(stage);
    }
  }
  Plot gauges{"gauges", "Memory and descriptors of a gateway, in the mean", "MB; tens", {}};
  for (const auto& [title, counter, unit] : {std::tuple{"memory, MB", "memory_kb", 1024.0},
                                             {"descriptors, tens", "descriptors", 10.0}}) {
    Series series{title, {}};
    for (const FleetSecond& s : r.seconds) {
      const auto at = s.counts.find(counter);
      const auto tellers = static_cast<double>(Tellers(s));
      series.points.emplace_back(
          s.at_s + 0.5, at == s.counts.end() || tellers <= 0 ? -1 : at->second / tellers / unit);
    }
    gauges.series.push_back(std::move(series));
  }
  for (const std::string& name : names) {
    Series series{name, {}};
    for (const FleetSecond& s : r.seconds) {
      const auto at = s.stages.find(name);
      series.points.emplace_back(s.at_s + 0.5,
                                 at == s.stages.end() ? 0.0 : static_cast<double>(at->second));
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
    const auto from = NumberOf(text.substr(equals + 1, dash - equals - 1));
    const auto to = NumberOf(text.substr(dash + 1));
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
    const double part = std::min(second.at_s + 1, phase.to_s) - std::max(second.at_s, phase.from_s);
    const auto at = second.counts.find(counter);
    if (part > 0 && at != second.counts.end()) {
      sum += part * at->second;
    }
  }
  return sum;
}

FleetReport ReadFleet(const std::string& folder, const FleetReportOptions& options) {
  return Reader(options).Read(folder);
}

std::string ToText(const FleetReport& r) {
  std::string out = Head(r) + "\n";
  for (const std::string& remark : r.remarks) {
    out += "  " + remark + "\n";
  }
  out += fmt::format("{:>10} {:>8}", "second", "gateways");
  for (const Column& column : Columns()) {
    out += fmt::format(" {:>8}", column.title);
  }
  out += "\n";
  for (const FleetSecond& s : r.seconds) {
    out += fmt::format("{:>10.0f} {:>8}", s.at_s, Tellers(s));
    for (const Column& column : Columns()) {
      out += fmt::format(" {:>8.0f}", Of(s, column));
    }
    out += "\n";
  }
  for (const Phase& phase : r.phases) {
    out += fmt::format("{:>10.10} {:>8}", phase.name, "sum");
    for (const Column& column : Columns()) {
      out += fmt::format(" {:>8.0f}", Of(r, column, phase));
    }
    out += "\n";
  }
  return out;
}

std::string ToJson(const FleetReport& r) {
  json seconds = json::array(), phases = json::array();
  for (const FleetSecond& s : r.seconds) {
    seconds.push_back({{"at_s", s.at_s}, {"counts", s.counts}, {"stages", s.stages}});
  }
  std::set<std::string> names;
  for (const FleetSecond& s : r.seconds) {
    for (const auto& [name, value] : s.counts) {
      if (!kGauges.contains(name)) {
        names.insert(name);
      }
    }
  }
  for (const Phase& phase : r.phases) {
    json sums = json::object();
    for (const std::string& name : names) {
      sums[name] = r.Sum(name, phase);
    }
    phases.push_back(
        {{"name", phase.name}, {"from_s", phase.from_s}, {"to_s", phase.to_s}, {"counts", sums}});
  }
  const json out = {{"folder", r.folder},   {"files", r.files}, {"gateways", r.gateways},
                    {"lives", r.lives},     {"lines", r.lines}, {"from_unix_s", r.from_unix_s},
                    {"remarks", r.remarks}, {"phases", phases}, {"seconds", seconds}};
  return out.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string ToHtml(const FleetReport& r) {
  std::string out = fmt::format(
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>paddlestile fleet: "
      "{0}</title><style>{1}</style></head><body><h1>paddlestile fleet: {0}</h1>\n<p>{2}</p>\n",
      EscapeHtml(r.folder), kPageStyle, EscapeHtml(Head(r)));
  if (!r.remarks.empty()) {
    out += "<ul>";
    for (const std::string& remark : r.remarks) {
      out += fmt::format("<li>{}</li>", EscapeHtml(remark));
    }
    out += "</ul>\n";
  }
  out += "<table><tr><th>a second, in</th>";
  for (const Phase& p : r.phases) {
    out += fmt::format("<th>{}</th>", EscapeHtml(p.name));
  }
  out += "</tr>\n";
  for (const Column& column : Columns()) {
    out += fmt::format("<tr><td>{}</td>", column.title);
    for (const Phase& p : r.phases) {
      const double seconds = SecondsOf(r, p);
      out += fmt::format("<td>{:.1f}</td>", seconds > 0 ? Of(r, column, p) / seconds : 0);
    }
    out += "</tr>\n";
  }
  out += "</table>\n";
  const std::string gnuplot = FindGnuplot();
  if (gnuplot.empty()) {
    out += "<p>Without plots: gnuplot is not on this machine.</p>\n";
  } else {
    const TemporaryDirectory folder;
    std::vector<PlotMark> marks;
    const double length = static_cast<double>(r.seconds.size());
    for (const Phase& p : r.phases) {
      if (p.name != "all") {
        marks.push_back({p.from_s, std::min(p.to_s, length), p.name});
      }
    }
    for (const Plot& plot : PlotsOf(r)) {
      const std::string svg = DrawPlot(plot, length, marks, plot.id, folder, gnuplot);
      out += fmt::format("<h2>{}</h2><div class=\"plots\"><div>{}</div></div>",
                         EscapeHtml(plot.title), svg.empty() ? "gnuplot drew nothing here" : svg);
    }
  }
  return out + "</body></html>\n";
}

}  // namespace paddlestile::lab
