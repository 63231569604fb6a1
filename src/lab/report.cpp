#include "lab/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "lab/plot.h"
#include "lab/process.h"

namespace paddlestile::lab {
namespace {

constexpr size_t kMaxHostSeries = 40;  // a plot with more lines is unreadable
constexpr size_t kMaxMessagesPerList = 50;

Series MakeSeries(const Result& result, std::string name,
                  const std::function<double(const WindowResult&)>& value) {
  Series series{std::move(name), {}};
  for (const WindowResult& window : result.windows) {
    series.points.emplace_back(window.at_s + 0.5, value(window));
  }
  return series;
}

// Returns -1, which is a gap in the plot, if the total is 0.
double ShareOrGap(double count, double total) {
  return total > 0 ? count / total : -1;
}

std::vector<Plot> MakePlots(const Result& result) {
  const auto asked = [](const WindowResult& window) {
    return static_cast<double>(window.counts.asked);
  };
  std::vector<Plot> plots;
  plots.push_back(
      {"worth",
       "Share of the worth served, and of requests late, refused and failed",
       "share",
       {MakeSeries(result, "worth served",
                   [](const WindowResult& window) {
                     return ShareOrGap(window.counts.worth_served, window.counts.worth_asked);
                   }),
        MakeSeries(result, "late",
                   [&](const WindowResult& window) {
                     return ShareOrGap(static_cast<double>(window.counts.late), asked(window));
                   }),
        MakeSeries(result, "refused",
                   [&](const WindowResult& window) {
                     return ShareOrGap(static_cast<double>(window.counts.refused), asked(window));
                   }),
        MakeSeries(result, "failed",
                   [&](const WindowResult& window) {
                     return ShareOrGap(static_cast<double>(window.counts.failed), asked(window));
                   })},
       true});
  plots.push_back({"latency",
                   "Latency of served requests, from the first attempt",
                   "ms",
                   {MakeSeries(result, "p50",
                               [](const WindowResult& window) { return window.p50_us / 1000.0; }),
                    MakeSeries(result, "p99", [](const WindowResult& window) {
                      return window.p99_us / 1000.0;
                    })}});
  plots.push_back({"rate",
                   "Requests made and served",
                   "per second",
                   {MakeSeries(result, "asked", asked),
                    MakeSeries(result, "served", [](const WindowResult& window) {
                      return static_cast<double>(window.counts.served);
                    })}});
  Plot inflight{"inflight", "Requests in flight by host", "requests", {}};
  std::map<std::string, Series> hosts;
  for (const WindowResult& window : result.windows) {
    for (const auto& [name, count] : window.inflight) {
      Series& series = hosts.try_emplace(name, Series{name, {}}).first->second;
      series.points.emplace_back(window.at_s + 0.5, static_cast<double>(count));
    }
  }
  for (auto& [name, series] : hosts) {
    if (inflight.series.size() < kMaxHostSeries) {
      inflight.series.push_back(std::move(series));
    }
  }
  plots.push_back(std::move(inflight));
  plots.push_back({"memory",
                   "Memory of all gateways",
                   "MB",
                   {MakeSeries(result, "resident", [](const WindowResult& window) {
                     return static_cast<double>(window.rss_kb) / 1024;
                   })}});
  plots.push_back({"descriptors",
                   "File descriptors of all gateways",
                   "open",
                   {MakeSeries(result, "descriptors", [](const WindowResult& window) {
                     return static_cast<double>(window.descriptors);
                   })}});
  plots.push_back(
      {"cpu",
       "CPU of all gateways",
       "cores",
       {MakeSeries(result, "cpu", [](const WindowResult& window) { return window.cpu_share; })}});
  return plots;
}

std::vector<PlotMark> FaultMarks(const Result& result) {
  std::vector<PlotMark> marks;
  for (const MarkedFault& fault : result.faults) {
    marks.push_back({fault.from_s, fault.to_s, fault.name});
  }
  return marks;
}

struct Row {
  std::string name;
  std::function<double(const Result&)> value;
  int digits = 0;
};

std::vector<Row> TableRows() {
  const auto count = [](uint64_t Ledger::Counts::*field) {
    return [field](const Result& result) {
      return static_cast<double>(result.counts.*field);
    };
  };
  using Counts = Ledger::Counts;
  return {{"requests asked", count(&Counts::asked)},
          {"served", count(&Counts::served)},
          {"of those, late", count(&Counts::late)},
          {"refused", count(&Counts::refused)},
          {"failed", count(&Counts::failed)},
          {"lost", count(&Counts::lost)},
          {"answered twice", count(&Counts::answered_twice)},
          {"receipts at the hosts", count(&Counts::receipts)},
          {"of those, unlawful", count(&Counts::twice_unlawful)},
          {"sends to draining hosts after the grace period", count(&Counts::late_sends)},
          {"cold hosts that collapsed", count(&Counts::fell_over)},
          {"worth served, share", [](const Result& result) { return result.worth_share(); }, 4},
          {"worth served in the worst 10 s, share",
           [](const Result& result) { return result.worst_10s; }, 4},
          {"latency p50, ms", [](const Result& result) { return result.p50_us / 1000.0; }, 1},
          {"latency p99, ms", [](const Result& result) { return result.p99_us / 1000.0; }, 1},
          {"latency p99.9, ms", [](const Result& result) { return result.p999_us / 1000.0; }, 1},
          {"gateway: CPU per request, us",
           [](const Result& result) { return result.cpu_us_per_request; }, 1},
          {"gateway: maximum memory, MB",
           [](const Result& result) { return static_cast<double>(result.rss_kb_max) / 1024; }, 1},
          {"gateway: maximum file descriptors",
           [](const Result& result) {
             return static_cast<double>(result.descriptors_max);
           }},
          {"lab: CPU, cores", [](const Result& result) { return result.lab_cpu_share; }, 2},
          {"lab: maximum lag, ms", [](const Result& result) { return result.lab_lag_ms_max; }, 1}};
}

}  // namespace

bool HaveGnuplot() {
  return !FindGnuplot().empty();
}

std::string RenderReport(const std::vector<Result>& results, bool with_plots) {
  const std::string gnuplot = with_plots ? FindGnuplot() : "";
  std::string title = "paddlestile lab:";
  for (const Result& result : results) {
    title += " " + result.experiment;
  }
  std::string html = fmt::format(
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>{1}"
      "</style></head><body><h1>{0}</h1>\n",
      EscapeHtml(title), kPageStyle);
  html +=
      "<p>Real gateway processes with emulated hosts, clients and discovery "
      "on one machine.</p>\n<table><tr>"
      "<th></th>";
  for (const Result& result : results) {
    html += fmt::format("<th>{}, seed {}<br><span class=\"{}\">{}</span></th>",
                        EscapeHtml(result.experiment), result.seed, NameOf(result.verdict),
                        NameOf(result.verdict));
  }
  if (results.size() == 2) {
    html += "<th>ratio of second to first</th>";
  }
  html += "</tr>\n";
  for (const Row& row : TableRows()) {
    html += fmt::format("<tr><td>{}</td>", row.name);
    for (const Result& result : results) {
      html += fmt::format("<td>{:.{}f}</td>", row.value(result), row.digits);
    }
    if (results.size() == 2) {
      const double first = row.value(results[0]), second = row.value(results[1]);
      html += first > 0 ? fmt::format("<td>{:.3f}</td>", second / first) : "<td></td>";
    }
    html += "</tr>\n";
  }
  html += "</table>\n";
  for (const Result& result : results) {
    html += fmt::format("<h2>{}: {}</h2>\n<p>{}</p>\n", EscapeHtml(result.experiment),
                        NameOf(result.verdict), EscapeHtml(result.about));
    for (const auto* const list : {&result.late, &result.broken}) {
      if (list->empty()) {
        continue;
      }
      html += "<ul>";
      for (size_t i = 0; i < std::min(kMaxMessagesPerList, list->size()); ++i) {
        html += fmt::format("<li class=\"broken\">{}</li>", EscapeHtml((*list)[i]));
      }
      html += "</ul>\n";
    }
    if (!result.faults.empty()) {
      html += "<table><tr><th>fault</th><th>from s</th><th>to s</th><th>hosts</th></tr>";
      for (const MarkedFault& fault : result.faults) {
        html += fmt::format("<tr><td>{}</td><td>{:.1f}</td><td>{:.1f}</td><td>{}</td></tr>",
                            EscapeHtml(fault.name), fault.from_s, fault.to_s,
                            EscapeHtml(fmt::format("{}", fmt::join(fault.hosts, ", "))));
      }
      html += "</table>\n";
    }
  }
  if (gnuplot.empty()) {
    html += "<p>Without plots: gnuplot was not found.</p>\n";
  } else {
    const TemporaryDirectory folder;
    std::vector<std::vector<Plot>> plots_by_result;
    plots_by_result.reserve(results.size());
    for (const Result& result : results) {
      plots_by_result.push_back(MakePlots(result));
    }
    for (size_t plot_index = 0; !plots_by_result.empty() && plot_index < plots_by_result[0].size();
         ++plot_index) {
      html += fmt::format("<h2>{}</h2><div class=\"plots\">",
                          EscapeHtml(plots_by_result[0][plot_index].title));
      for (size_t i = 0; i < results.size(); ++i) {
        const std::string svg =
            DrawPlot(plots_by_result[i][plot_index], results[i].seconds, FaultMarks(results[i]),
                     fmt::format("{}_{}", plots_by_result[i][plot_index].id, i), folder, gnuplot);
        html += fmt::format("<div>{}</div>", svg.empty() ? "gnuplot produced no plot" : svg);
      }
      html += "</div>\n";
    }
  }
  for (const Result& result : results) {
    for (const std::string& log : result.logs) {
      html += fmt::format("<pre>{}</pre>\n", EscapeHtml(log));
    }
  }
  return html + "</body></html>\n";
}

}  // namespace paddlestile::lab
