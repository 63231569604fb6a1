// Renders one result, or two side by side, as one HTML page without external references. Plots are
// drawn by gnuplot and embedded as SVG.
#ifndef PADDLESTILE_LAB_REPORT_H_
#define PADDLESTILE_LAB_REPORT_H_

#include <string>
#include <vector>

#include "lab/result.h"

namespace paddlestile::lab {

// Whether gnuplot is on the PATH.
bool HaveGnuplot();

// Returns the page. If `with_plots` is false or gnuplot is not found, it has tables only and says
// so. Throws std::system_error if there is no space for the data of the plots.
std::string RenderReport(const std::vector<Result>& results, bool with_plots);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_REPORT_H_
