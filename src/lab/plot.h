// Plots for the lab's pages: SVG by gnuplot, and what all pages have in common.
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

// Text as it may stand in a page.
std::string Escape(std::string_view text);

// A series by window; a value of -1 is a gap.
struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};
struct Plot {
  std::string id, title, unit;
  std::vector<Series> series;
  bool from_zero_to_one = false;
};

// What befell somebody, marked on the time axis.
struct PlotMark {
  double from_s = 0, to_s = 0;
  std::string name;
};

// Where gnuplot lies on this machine's PATH; empty: nowhere.
std::string FindGnuplot();

// The plot over 0 to `seconds`, drawn in `folder` under files of that name; empty where gnuplot
// drew nothing.
std::string Draw(const Plot& plot, double seconds, const std::vector<PlotMark>& marks,
                 const std::string& name, const TemporaryDirectory& folder,
                 const std::string& gnuplot);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PLOT_H_
