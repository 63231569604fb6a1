// Sums the counters of all gateways of a fleet per second, from the counter lines in their logs
// (`serve --counters-every 1`, or SIGUSR1). Logs may be text or JSON, complete or truncated, and a
// file may hold the lines of one gateway or of several.
#ifndef PADDLESTILE_LAB_FLEET_REPORT_H_
#define PADDLESTILE_LAB_FLEET_REPORT_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace paddlestile::lab {

// A named period of the run, in seconds since its first second.
struct Phase {
  std::string name;
  double from_s = 0, to_s = 0;
};

// Parses text such as "restart=10-20.5". Throws std::runtime_error with a message of one line.
Phase ParsePhase(const std::string& text);

// Sums over all gateways in one second, by counter. The increase of a gateway's counter between two
// lines is spread evenly over the time between them.
struct FleetSecond {
  double at_s = 0;  // since the first second of the run
  std::map<std::string, double> counts;
  std::map<std::string, size_t> stages;  // counter lines in this second by life stage
};

struct FleetReport {
  std::string folder;
  // `lives` counts processes: a gateway has one more with each restart. `lines` counts counter
  // lines.
  size_t files = 0, gateways = 0, lives = 0, lines = 0;
  double from_unix_s = 0;
  std::vector<FleetSecond> seconds;
  std::vector<Phase> phases;         // the whole run if none was requested
  std::vector<std::string> remarks;  // problems found, such as unreadable files or missing lines

  // The sum of a counter over a phase. A second that the phase covers partly counts partly.
  [[nodiscard]] double Sum(const std::string& counter, const Phase& phase) const;
};

struct FleetReportOptions {
  std::vector<Phase> phases;
  size_t expected_gateways = 0;  // 0: unknown
};

// Reads all files directly in the folder. A line that occurs twice counts once. Throws
// std::runtime_error with a message of one line if the folder cannot be read, has no counter line
// with a time, or its lines span more than a day.
FleetReport ReadFleet(const std::string& folder, const FleetReportOptions& options);

std::string ToText(const FleetReport& report);
std::string ToJson(const FleetReport& report);
// An HTML page without external references. It has no plots if gnuplot is not found.
std::string ToHtml(const FleetReport& report);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_FLEET_REPORT_H_
