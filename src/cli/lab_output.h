// Files that the lab's subcommands read and write.
#ifndef PADDLESTILE_CLI_LAB_OUTPUT_H_
#define PADDLESTILE_CLI_LAB_OUTPUT_H_

#include <string>
#include <vector>

#include "lab/result.h"

namespace paddlestile::lab {

// Checks before a run that its result can be written to `path`; an empty path is valid. Throws
// ExperimentError.
void RequireWritable(const std::string& path);

// Writes `text` to the file at `path`; an empty path writes nothing. Throws std::runtime_error.
void WriteText(const std::string& path, const std::string& text);

// Writes the HTML report of the results, as WriteText does, and says so on standard output.
void WriteReport(const std::string& path, const std::vector<Result>& results);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_CLI_LAB_OUTPUT_H_
