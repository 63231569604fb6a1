#include "cli/lab_output.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include "lab/experiment.h"
#include "lab/report.h"

namespace paddlestile::lab {

void RequireWritable(const std::string& path) {
  if (path.empty()) {
    return;
  }
  std::ofstream file(path, std::ios::app);
  if (!file) {
    throw ExperimentError(
        fmt::format("{}: {}, expected a writable file", path, std::strerror(errno)));
  }
}

void WriteText(const std::string& path, const std::string& text) {
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
    fmt::print(stderr, "no gnuplot here: the report has no plots\n");
  }
  WriteText(path, RenderReport(results, true));
  fmt::print("report: {}\n", path);
}

}  // namespace paddlestile::lab
