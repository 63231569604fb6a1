// Plots for the HTML pages of the lab, drawn as SVG by gnuplot, and the style and escaping that all
// pages share.
#ifndef PADDLESTILE_LAB_PLOT_H_
#define PADDLESTILE_LAB_PLOT_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/process.h"

namespace paddlestile::lab {

// The style sheet of all pages.
extern const char* const kPageStyle;

// Escapes text for HTML.
std::string EscapeHtml(std::string_view text);

// Points of time in seconds and value; a negative value is a gap.
struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};
struct Plot {
  std::string id, title, unit;
  std::vector<Series> series;
  bool from_zero_to_one = false;
};

// A named period, such as that of a fault, marked on the time axis.
struct PlotMark {
  double from_s = 0, to_s = 0;
  std::string name;
};

// The path of gnuplot, searched in PATH; empty if it is not found.
std::string FindGnuplot();

// Draws the plot from 0 to `seconds` with the program `gnuplot` and returns the SVG element, or an
// empty string if gnuplot fails. Files are written to `folder`, with names that start with `name`.
std::string DrawPlot(const Plot& plot, double seconds, const std::vector<PlotMark>& marks,
                     const std::string& name, const TemporaryDirectory& folder,
                     const std::string& gnuplot);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PLOT_H_
