// Capacity planning for the operators' target: fits lines through committed measurements,
// extrapolates them to the target's sizes and compares the results with what is allowed. Writes the
// tables of docs/CAPACITY.md.
#ifndef PADDLESTILE_LAB_CAPACITY_H_
#define PADDLESTILE_LAB_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestile::lab {

// The message is one line: the file, the line if known, the key, the problem and what is expected.
class CapacityError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The target's figures and line numbers by key; keys of an inner table are written "table.key".
struct CapacityTarget {
  std::string path;
  std::map<std::string, double> figures;
  std::map<std::string, uint32_t> lines;
};

// An arithmetic expression of numbers and target keys, separated by spaces. * and / bind tighter
// than +: "tenants * 41 + routes * 120".
struct CapacityQuantity {
  std::string text;
  std::string location;  // FILE:LINE: KEY, for error messages
};

enum class CapacityKind {
  kSlope,   // grows linearly with a size
  kLimit,   // a bound that is met up to a size
  kSum,     // the sum of other rows at the target
  kNone,    // the program has no mechanism for it
  kUnknown  // not measured yet; the note says what would measure it
};

struct CapacityRow {
  std::string id, role, what, unit, mechanism, table, note;
  CapacityKind kind = CapacityKind::kSlope;
  std::vector<std::string> figure_pointers;  // JSON pointers into a run, whose values are added
  std::string size_pointer;                  // JSON pointer to the size
  std::map<std::string, std::string> conditions;  // required values of a run as JSON, by pointer
  std::string met_value;                          // limit: the figure as JSON if the bound is met
  std::optional<CapacityQuantity> size, multiplier, allowed;
  // Sum: ids of rows that are added whole, or only with the part that grows with the size.
  std::vector<std::string> whole_rows, growth_rows;
  std::vector<std::string> covered_keys;  // of the target
};

struct CapacityAssumption {
  std::string what, unit, reason;
  CapacityQuantity value;
  std::vector<std::string> covered_keys;  // of the target
};

struct CapacityRows {
  std::string path;
  std::vector<CapacityRow> rows;
  std::vector<CapacityAssumption> assumptions;
};

struct CapacityRun {
  std::string file;  // file name without its directory
  nlohmann::json result;
};

// The fit of one row to the runs.
struct CapacityFit {
  std::vector<double> sizes;       // ascending, without duplicates
  std::vector<size_t> run_counts;  // by size
  // With one size there is no slope, and `intercept` is the mean.
  std::optional<double> intercept, slope;
  std::optional<double> rms_residual;  // in the figure's unit
  std::optional<double> spread;  // largest over the sizes with repeated runs: (max - min) / median
  // Limit: the smallest size at which the bound was not met, and the largest size below that at
  // which it was met.
  std::optional<double> largest_met, smallest_broken;
  std::vector<std::string> files;
  std::vector<uint64_t> seeds;  // one per file, in the same order
};

struct CapacityRunNote {
  std::string file, command, commit, verdict, reason;
  uint64_t seed = 0;
};

struct CapacitySlopes {
  std::map<std::string, CapacityFit> fits;  // by row id
  std::vector<CapacityRunNote> runs;        // ordered by file
};

enum class ShareKind {
  kNone,          // no mechanism, or a limit broken at the smallest measured size
  kKnown,         // a number
  kUnknown,       // not measured
  kInformational  // no allowed value to compare with
};

struct CapacityLine {
  CapacityRow row;
  CapacityFit fit;
  ShareKind share_kind = ShareKind::kInformational;
  double share = 0;
  std::optional<double> size, at_target, growth, allowed, multiplier;
  std::optional<double> largest_measured, size_ratio;  // target size / largest measured
  bool is_assumption = false;                          // measured at too few sizes for a line
};

struct EvaluatedAssumption {
  std::string what, unit, reason;
  double value = 0;
};

struct Capacity {
  std::vector<CapacityLine> lines;  // missing mechanisms first, then the highest share
  std::vector<EvaluatedAssumption> assumptions;
  std::vector<CapacityRunNote> runs;
};

// These functions throw CapacityError on invalid input.
CapacityTarget ParseTarget(std::string_view text, const std::string& path);
CapacityRows ParseRows(std::string_view text, const std::string& path);
std::vector<CapacityRun> ReadRuns(const std::string& folder);
CapacitySlopes ParseSlopes(std::string_view text, const std::string& path,
                           const CapacityRows& rows);
// Ignores void runs. A broken run gives no figure, but shows where the bound of a limit is not met.
CapacitySlopes FitRuns(const CapacityRows& rows, const std::vector<CapacityRun>& runs);
Capacity WeighCapacity(const CapacityTarget& target, const CapacityRows& rows,
                       const CapacitySlopes& slopes);

std::string ToJson(const CapacitySlopes& slopes, const CapacityRows& rows);
std::string ToJson(const Capacity& capacity);
std::string ToMarkdown(const Capacity& capacity);

// Returns the page with `tables` in place of the text between its markers.
std::string WithTables(const std::string& page, const std::string& tables, const std::string& path);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_CAPACITY_H_
