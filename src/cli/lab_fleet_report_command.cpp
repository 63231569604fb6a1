// `paddlestile lab fleet-report`.
#include <fmt/format.h>

#include <memory>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "cli/lab_output.h"
#include "lab/fleet_report.h"

namespace paddlestile::lab {
namespace {

struct FleetReportCommandOptions {
  std::string folder;
  std::string json;
  std::string html;
  std::vector<std::string> phases;
  size_t gateways = 0;
};

int ReportFleet(const FleetReportCommandOptions& options) {
  FleetReportOptions report_options;
  report_options.expected_gateways = options.gateways;
  for (const std::string& phase : options.phases) {
    report_options.phases.push_back(ParsePhase(phase));
  }
  RequireWritable(options.json);
  RequireWritable(options.html);
  const FleetReport report = ReadFleet(options.folder, report_options);
  fmt::print("{}", ToText(report));
  WriteText(options.json, ToJson(report));
  if (!options.html.empty()) {
    WriteText(options.html, ToHtml(report));
  }
  return kExitDone;
}

}  // namespace

Subcommand AddFleetReportCommand(CLI::App& lab) {
  const auto options = std::make_shared<FleetReportCommandOptions>();
  CLI::App* const fleet = lab.add_subcommand(
      "fleet-report", "Add up the counters of all gateways of a fleet from their logs");
  fleet->add_option("DIR", options->folder, "a folder of the gateways' logs, text or JSON")
      ->required();
  fleet->add_option("--json", options->json, "write the totals to this file");
  fleet->add_option("--html", options->html, "write the HTML page to this file");
  fleet->add_option("--phase", options->phases, "a named time span: NAME=FROM-TO, in seconds")
      ->take_all();
  fleet
      ->add_option("--gateways", options->gateways,
                   "the expected number of gateways, to report missing ones")
      ->check(CLI::Range(1, 1'000'000));
  fleet->footer(
      "The gateways log their counters where they run as `serve --counters-every 1`; what is kept "
      "with\n`lab run --logs` does.\n\n"
      "Example:\n  paddlestile lab fleet-report logs --phase restart=10-20 --html fleet.html");
  return {fleet, [options] {
            return ReportFleet(*options);
          }};
}

}  // namespace paddlestile::lab
