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

constexpr size_t kLinesOfHosts = 40;  // more lines than that in one plot tell nothing
constexpr size_t kBrokenShown = 50;

Series By(const Result& r, std::string name, const std::function<double(const WindowResult&)>& of) {
  Series series{std::move(name), {}};
  for (const WindowResult& w : r.windows) {
    series.points.emplace_back(w.at_s + 0.5, of(w));
  }
  return series;
}

double Part(double part, double all) {
  return all > 0 ? part / all : -1;
}

std::vector<Plot> PlotsOf(const Result& r) {
  const auto asked = [](const WindowResult& w) {
    return static_cast<double>(w.counts.asked);
  };
  std::vector<Plot> plots;
  plots.push_back(
      {"worth",
       "Worth served of what was asked for, and what became of the rest",
       "share",
       {By(r, "worth served",
           [](const WindowResult& w) { return Part(w.counts.worth_served, w.counts.worth_asked); }),
        By(r, "late",
           [&](const WindowResult& w) {
             return Part(static_cast<double>(w.counts.late), asked(w));
           }),
        By(r, "refused",
           [&](const WindowResult& w) {
             return Part(static_cast<double>(w.counts.refused), asked(w));
           }),
        By(r, "failed",
           [&](const WindowResult& w) {
             return Part(static_cast<double>(w.counts.failed), asked(w));
           })},
       true});
  plots.push_back({"latency",
                   "Latency of what was served, from the first try on",
                   "ms",
                   {By(r, "p50", [](const WindowResult& w) { return w.p50_us / 1000.0; }),
                    By(r, "p99", [](const WindowResult& w) { return w.p99_us / 1000.0; })}});
  plots.push_back({"rate",
                   "Requests asked and served",
                   "a second",
                   {By(r, "asked", asked), By(r, "served", [](const WindowResult& w) {
                      return static_cast<double>(w.counts.served);
                    })}});
  Plot inflight{"inflight", "Requests held by each host", "requests", {}};
  std::map<std::string, Series> hosts;
  for (const WindowResult& w : r.windows) {
    for (const auto& [name, held] : w.inflight) {
      Series& series = hosts.try_emplace(name, Series{name, {}}).first->second;
      series.points.emplace_back(w.at_s + 0.5, static_cast<double>(held));
    }
  }
  for (auto& [name, series] : hosts) {
    if (inflight.series.size() < kLinesOfHosts) {
      inflight.series.push_back(std::move(series));
    }
  }
  plots.push_back(std::move(inflight));
  plots.push_back(
      {"memory", "Memory of all gateways", "MB", {By(r, "resident", [](const WindowResult& w) {
         return static_cast<double>(w.rss_kb) / 1024;
       })}});
  plots.push_back({"descriptors",
                   "Descriptors of all gateways",
                   "open",
                   {By(r, "descriptors",
                       [](const WindowResult& w) { return static_cast<double>(w.descriptors); })}});
  plots.push_back({"cpu", "CPU of all gateways", "cores", {By(r, "cpu", [](const WindowResult& w) {
                     return w.cpu_share;
                   })}});
  return plots;
}

std::vector<PlotMark> Marks(const Result& r) {
  std::vector<PlotMark> marks;
  for (const MarkedFault& f : r.faults) {
    marks.push_back({f.from_s, f.to_s, f.name});
  }
  return marks;
}

struct Row {
  std::string name;
  std::function<double(const Result&)> of;
  int digits = 0;
};

std::vector<Row> Rows() {
  const auto count = [](uint64_t Ledger::Counts::*field) {
    return [field](const Result& r) {
      return static_cast<double>(r.counts.*field);
    };
  };
  using C = Ledger::Counts;
  return {{"requests asked", count(&C::asked)},
          {"served", count(&C::served)},
          {"of those, late", count(&C::late)},
          {"refused", count(&C::refused)},
          {"failed", count(&C::failed)},
          {"lost", count(&C::lost)},
          {"answered twice", count(&C::answered_twice)},
          {"receipts at the hosts", count(&C::receipts)},
          {"of those, unlawful", count(&C::twice_unlawful)},
          {"sends to draining hosts past the grace", count(&C::late_sends)},
          {"cold hosts that fell over", count(&C::fell_over)},
          {"worth served, share", [](const Result& r) { return r.worth_share(); }, 4},
          {"of the worst 10 s", [](const Result& r) { return r.worst_10s; }, 4},
          {"latency p50, ms", [](const Result& r) { return r.p50_us / 1000.0; }, 1},
          {"latency p99, ms", [](const Result& r) { return r.p99_us / 1000.0; }, 1},
          {"latency p99.9, ms", [](const Result& r) { return r.p999_us / 1000.0; }, 1},
          {"gateway: CPU a request, us", [](const Result& r) { return r.cpu_us_per_request; }, 1},
          {"gateway: memory at most, MB",
           [](const Result& r) { return static_cast<double>(r.rss_kb_max) / 1024; }, 1},
          {"gateway: descriptors at most",
           [](const Result& r) {
             return static_cast<double>(r.descriptors_max);
           }},
          {"lab: cores", [](const Result& r) { return r.lab_cpu_share; }, 2},
          {"lab: late at most, ms", [](const Result& r) { return r.lab_lag_ms_max; }, 1}};
}

}  // namespace

bool HaveGnuplot() {
  return !FindGnuplot().empty();
}

std::string RenderReport(const std::vector<Result>& results, bool plots) {
  const std::string gnuplot = plots ? FindGnuplot() : "";
  std::string title = "paddlestile lab:";
  for (const Result& r : results) {
    title += " " + r.experiment;
  }
  std::string out = fmt::format(
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>{1}"
      "</style></head><body><h1>{0}</h1>\n",
      Escape(title), kPageStyle);
  out +=
      "<p>Emulated hosts, clients and sources on one machine; the world is "
      "sockets.</p>\n<table><tr>"
      "<th></th>";
  for (const Result& r : results) {
    out += fmt::format("<th>{}, seed {}<br><span class=\"{}\">{}</span></th>", Escape(r.experiment),
                       r.seed, NameOf(r.verdict), NameOf(r.verdict));
  }
  if (results.size() == 2) {
    out += "<th>second over first</th>";
  }
  out += "</tr>\n";
  for (const Row& row : Rows()) {
    out += fmt::format("<tr><td>{}</td>", row.name);
    for (const Result& r : results) {
      out += fmt::format("<td>{:.{}f}</td>", row.of(r), row.digits);
    }
    if (results.size() == 2) {
      const double first = row.of(results[0]), second = row.of(results[1]);
      out += first > 0 ? fmt::format("<td>{:.3f}</td>", second / first) : "<td></td>";
    }
    out += "</tr>\n";
  }
  out += "</table>\n";
  for (const Result& r : results) {
    out += fmt::format("<h2>{}: {}</h2>\n<p>{}</p>\n", Escape(r.experiment), NameOf(r.verdict),
                       Escape(r.about));
    for (const auto* const list : {&r.late, &r.broken}) {
      if (list->empty()) {
        continue;
      }
      out += "<ul>";
      for (size_t i = 0; i < std::min(kBrokenShown, list->size()); ++i) {
        out += fmt::format("<li class=\"broken\">{}</li>", Escape((*list)[i]));
      }
      out += "</ul>\n";
    }
    if (!r.faults.empty()) {
      out += "<table><tr><th>fault</th><th>from s</th><th>to s</th><th>hosts</th></tr>";
      for (const MarkedFault& f : r.faults) {
        out += fmt::format("<tr><td>{}</td><td>{:.1f}</td><td>{:.1f}</td><td>{}</td></tr>",
                           Escape(f.name), f.from_s, f.to_s,
                           Escape(fmt::format("{}", fmt::join(f.hosts, ", "))));
      }
      out += "</table>\n";
    }
  }
  if (gnuplot.empty()) {
    out += "<p>Without plots: gnuplot is not on this machine.</p>\n";
  } else {
    const TemporaryDirectory folder;
    std::vector<std::vector<Plot>> all;
    all.reserve(results.size());
    for (const Result& r : results) {
      all.push_back(PlotsOf(r));
    }
    for (size_t p = 0; !all.empty() && p < all[0].size(); ++p) {
      out += fmt::format("<h2>{}</h2><div class=\"plots\">", Escape(all[0][p].title));
      for (size_t i = 0; i < results.size(); ++i) {
        const std::string svg = Draw(all[i][p], results[i].seconds, Marks(results[i]),
                                     fmt::format("{}_{}", all[i][p].id, i), folder, gnuplot);
        out += fmt::format("<div>{}</div>", svg.empty() ? "gnuplot drew nothing here" : svg);
      }
      out += "</div>\n";
    }
  }
  for (const Result& r : results) {
    for (const std::string& log : r.logs) {
      out += fmt::format("<pre>{}</pre>\n", Escape(log));
    }
  }
  return out + "</body></html>\n";
}

}  // namespace paddlestile::lab
