// Output files of the lab's subcommands.
#ifndef PADDLESTILE_CLI_LAB_OUTPUT_H_
#define PADDLESTILE_CLI_LAB_OUTPUT_H_

#include <string>
#include <vector>

#include "lab/result.h"

namespace paddlestile::lab {

// Checks before a run that its result can be written to `path`. Does nothing if `path` is empty.
// Throws ExperimentError.
void RequireWritable(const std::string& path);

// Writes `text` to the file at `path`. Does nothing if `path` is empty. Throws std::runtime_error.
void WriteText(const std::string& path, const std::string& text);

// Writes the HTML report of the results like WriteText, and prints its path to standard output.
void WriteReport(const std::string& path, const std::vector<Result>& results);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_CLI_LAB_OUTPUT_H_
