// `paddlestile lab hollow`, which is started by `lab scale` and not listed in the help.
#include <memory>

#include "cli/lab_commands.h"
#include "lab/simulated_member.h"

namespace paddlestile::lab {

Subcommand AddHollowCommand(CLI::App& lab) {
  const auto options = std::make_shared<HollowOptions>();
  CLI::App* const hollow =
      lab.add_subcommand("hollow", "Run hollow members of a cluster")->group("");
  hollow->add_option("--operator", options->operator_file)->required();
  hollow->add_option("--first", options->first)->required();
  hollow->add_option("--count", options->count)->required();
  hollow->add_option("--book", options->book)->required();
  hollow->add_option("--seed", options->seed);
  hollow->add_option("--restarts", options->restarts);
  hollow->add_option("--cuts", options->cuts);
  return {hollow, [options] {
            return RunHollow(*options);
          }};
}

}  // namespace paddlestile::lab
