// One HTML file of one result, or of two side by side, without outside references; plots by gnuplot
// as SVG within it.
#ifndef PADDLESTILE_LAB_REPORT_H_
#define PADDLESTILE_LAB_REPORT_H_

#include <string>
#include <vector>

#include "lab/result.h"

namespace paddlestile::lab {

// Whether gnuplot is on this machine's PATH.
bool HaveGnuplot();

// `plots` false, or no gnuplot: tables alone, and the page says so. Throws std::system_error where
// there is no room for the plots' data.
std::string RenderReport(const std::vector<Result>& results, bool plots);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_REPORT_H_
