// What the operators' target takes of each role: lines through committed measurements, carried to
// the target's sizes and set beside what is allowed. The tables of docs/CAPACITY.md.
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

// One plain line: the file, the line where it has one, the key, what is wrong and what is expected.
class CapacityError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The operators' figures; a table's keys as "table.key".
struct CapacityTarget {
  std::string path;
  std::map<std::string, double> figures;
  std::map<std::string, uint32_t> lines;
};

// A number of the target's terms: numbers and keys of the target, apart by blanks, with *, / and +
// between them, the first two binding tighter: "tenants * 41 + routes * 120".
struct CapacityQuantity {
  std::string text;
  std::string place;  // FILE:LINE: KEY, for what is wrong with it
};

enum class CapacityKind {
  kSlope,   // grows with a size, along a line
  kLimit,   // met up to a size, and not beyond
  kSum,     // of other rows at the target
  kNone,    // the program has nothing that would carry it
  kUnknown  // nothing measures it yet; the note says what would
};

struct CapacityRow {
  std::string id, role, what, unit, mechanism, table, note;
  CapacityKind kind = CapacityKind::kSlope;
  std::vector<std::string> figure;           // pointers into a run, added up
  std::string by;                            // the pointer of the size
  std::map<std::string, std::string> where;  // what a run must have to count: a value as JSON
  std::string holds;                         // a limit: the figure where the bound is met, as JSON
  std::optional<CapacityQuantity> size, times, allowed;
  std::vector<std::string> whole, growth;  // a sum: rows added whole, and by what grows alone
  std::vector<std::string> covers;
};

struct CapacityAssumption {
  std::string what, unit, why;
  CapacityQuantity value;
  std::vector<std::string> covers;
};

struct CapacityRows {
  std::string path;
  std::vector<CapacityRow> rows;
  std::vector<CapacityAssumption> assumptions;
};

struct CapacityRun {
  std::string file;  // its name within the folder
  nlohmann::json result;
};

// What the runs say of one row.
struct CapacityFit {
  std::vector<double> sizes;  // growing, each once
  std::vector<size_t> runs;   // at each size
  // With one size there is no slope, and `fixed` is the mean.
  std::optional<double> fixed, slope;
  std::optional<double> residue;               // root mean square, in the figure's unit
  std::optional<double> spread;                // the widest of repeats: (most - least) / median
  std::optional<double> held_to, broken_from;  // a limit: the largest size below the first broken
  std::vector<std::string> files;
  std::vector<uint64_t> seeds;  // of the files, in their order
};

struct CapacityRunNote {
  std::string file, command, commit, verdict, why;
  uint64_t seed = 0;
};

struct CapacitySlopes {
  std::map<std::string, CapacityFit> fits;  // by row
  std::vector<CapacityRunNote> runs;        // by file
};

enum class ShareKind {
  kNone,     // nothing carries it: broken at any size
  kKnown,    // a number
  kUnknown,  // not measured
  kTold      // nothing is allowed or refused
};

struct CapacityLine {
  CapacityRow row;
  CapacityFit fit;
  ShareKind share_kind = ShareKind::kTold;
  double share = 0;
  std::optional<double> size, at_target, growth, allowed, times;
  std::optional<double> largest_measured, past;  // the target's size over that
  bool assumed = false;                          // fewer sizes than a line needs
};

struct CapacityAssumed {
  std::string what, unit, why;
  double value = 0;
};

struct Capacity {
  std::vector<CapacityLine> lines;  // the worst share first
  std::vector<CapacityAssumed> assumptions;
  std::vector<CapacityRunNote> runs;
};

// All of these throw CapacityError.
CapacityTarget ParseTarget(std::string_view text, const std::string& path);
CapacityRows ParseRows(std::string_view text, const std::string& path);
std::vector<CapacityRun> ReadRuns(const std::string& folder);
CapacitySlopes ParseSlopes(std::string_view text, const std::string& path,
                           const CapacityRows& rows);
// Void runs give nothing. Broken ones give no figure; what they show is where a limit ends.
CapacitySlopes FitRuns(const CapacityRows& rows, const std::vector<CapacityRun>& runs);
Capacity WeighCapacity(const CapacityTarget& target, const CapacityRows& rows,
                       const CapacitySlopes& slopes);

std::string ToJson(const CapacitySlopes& slopes, const CapacityRows& rows);
std::string ToJson(const Capacity& capacity);
std::string ToMarkdown(const Capacity& capacity);

// The page with `tables` between its markers.
std::string WithTables(const std::string& page, const std::string& tables, const std::string& path);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_CAPACITY_H_
