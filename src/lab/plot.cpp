#include "lab/plot.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace paddlestile::lab {
namespace {

constexpr int kGnuplotTimeoutMs = 20'000;

}  // namespace

const char* const kPageStyle =
    "body{font:14px/1.45 sans-serif;margin:2em;max-width:1600px;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid "
    "#ddd;text-align:right}td:first-child,th:first-child{text-align:left}.held{color:#060}"
    ".broken{color:#b00}.void{color:#a60}.plots{display:flex;flex-wrap:wrap;gap:1em}"
    ".plots>div{flex:1 1 700px}h2{margin-top:1.6em;font-size:1.1em}pre{background:#f4f4f4;"
    "padding:.8em;overflow-x:auto}";

std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string FindGnuplot() {
  const char* const path = std::getenv("PATH");
  for (std::string_view remaining = path != nullptr ? path : ""; !remaining.empty();) {
    const size_t separator = remaining.find(':');
    std::string candidate = fmt::format("{}/gnuplot", remaining.substr(0, separator));
    if (access(candidate.c_str(), X_OK) == 0) {
      return candidate;
    }
    remaining.remove_prefix(separator == std::string_view::npos ? remaining.size() : separator + 1);
  }
  return "";
}

std::string DrawPlot(const Plot& plot, double seconds, const std::vector<PlotMark>& marks,
                     const std::string& name, const TemporaryDirectory& folder,
                     const std::string& gnuplot) {
  const std::string base = fmt::format("{}/{}", folder.path(), name);
  std::string script = fmt::format(
      "set term svg size 760,260 dynamic name \"{}\" font \"sans,11\" background \"white\"\n"
      "set output \"{}.svg\"\nset grid ytics lc rgb \"#dddddd\"\nset border 3\n"
      "set xtics nomirror\nset ytics nomirror\nset xrange [0:{}]\nset yrange [0:{}]\n"
      "set ylabel \"{}\"\nset xlabel \"seconds\"\nset datafile missing \"-\"\n",
      name, base, seconds, plot.from_zero_to_one ? "1.05" : "*", plot.unit);
  script += plot.series.size() > 8 ? "unset key\n" : "set key outside right top\n";
  size_t object_number = 1;
  for (const PlotMark& mark : marks) {
    script += fmt::format(
        "set obj {} rect from {},graph 0 to {},graph 1 fc rgb \"#c04000\" fs solid 0.08 noborder "
        "behind\nset label {} \"{}\" at {},graph {} font \",8\" tc rgb \"#904000\" noenhanced\n",
        object_number, mark.from_s, std::max(mark.to_s, mark.from_s + seconds / 400), object_number,
        mark.name, mark.from_s, 0.97 - 0.08 * static_cast<double>((object_number - 1) % 3));
    ++object_number;
  }
  std::string plot_command;
  for (size_t i = 0; i < plot.series.size(); ++i) {
    const std::string data_path = fmt::format("{}.{}.dat", base, i);
    std::ofstream file(data_path);
    for (const auto& [time_s, value] : plot.series[i].points) {
      file << (value < 0 ? fmt::format("{} -\n", time_s) : fmt::format("{} {}\n", time_s, value));
    }
    plot_command += fmt::format("{}\"{}\" using 1:2 with lines lw 1.5 title \"{}\" noenhanced",
                                i > 0 ? ", " : "plot ", data_path, plot.series[i].name);
  }
  if (plot_command.empty()) {
    return "";
  }
  std::ofstream(base + ".gp") << script << plot_command << "\n";
  Process process({gnuplot, base + ".gp"}, {}, base + ".log");
  for (int waited_ms = 0; waited_ms < kGnuplotTimeoutMs && !process.ExitCode(); waited_ms += 2) {
    usleep(2000);
  }
  if (process.ExitCode().value_or(1) != 0) {
    return "";
  }
  std::ifstream file(base + ".svg");
  const std::string svg((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  // Leaves out the document type, which refers to an external page.
  const size_t begin = svg.find("<svg");
  return begin == std::string::npos ? "" : svg.substr(begin);
}

}  // namespace paddlestile::lab
