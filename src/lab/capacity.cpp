#include "lab/capacity.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <numeric>
#include <set>
#include <sstream>
#include <utility>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "lab/result.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using nlohmann::ordered_json;

// Sizes, each at least double the last, that a fit needs not to be called an assumption.
constexpr size_t kMinSizesForLine = 3;

struct TargetKeyRule {
  const char* key;
  double min, max;
  bool integer;
};
constexpr TargetKeyRule kTargetKeyRules[] = {
    {"gateways", 1, 1e6, true},
    {"hosts", 1, 1e8, true},
    {"services", 1, 1e6, true},
    {"requests_per_s", 1, 1e9, true},
    {"requests_per_s_per_gateway", 1, 1e6, true},
    {"routes", 1, 1e8, true},
    {"tenants", 1, 1e8, true},
    {"added_p99_ms", 0.001, 1e4, false},
    {"regions", 1, 100, true},
    {"zones_in_all", 1, 1000, true},
    {"zones_in_each", 1, 1000, true},
    {"changes_per_day", 1, 1e8, true},
    {"in_force_within_s", 0.001, 86400, false},
    {"control_gateway.cpu_core", 0.0001, 64, false},
    {"control_gateway.memory_mb", 1, 1e6, false},
    {"control_gateway.bytes_per_s", 1, 1e9, false},
    {"control_machines", 0, 1e4, true},
    {"machines_failing_per_day", 0, 1e6, true},
    {"machines_replaced_per_day", 0, 1e7, true},
    {"racks_lost_per_day", 0, 1000, false},
    {"zones_lost_per_year", 0, 1000, false},
    {"regions_parted_h", 0, 1000, false},
};

const std::set<std::string> kRoles = {
    "gateway", "voter", "leader", "relay", "discovery's agent", "operator's command", "the lab"};
const std::set<std::string> kTables = {"steady", "moments", "day"};
const std::map<std::string, CapacityKind> kKinds = {{"slope", CapacityKind::kSlope},
                                                    {"limit", CapacityKind::kLimit},
                                                    {"sum", CapacityKind::kSum},
                                                    {"none", CapacityKind::kNone},
                                                    {"unknown", CapacityKind::kUnknown}};

bool IsMeasured(CapacityKind kind) {
  return kind == CapacityKind::kSlope || kind == CapacityKind::kLimit;
}

std::string NameOf(CapacityKind kind) {
  return std::ranges::find(kKinds, kind, [](const auto& entry) { return entry.second; })->first;
}

[[noreturn]] void Fail(std::string_view location, std::string_view problem,
                       std::string_view expected) {
  throw CapacityError(fmt::format("{}: {}, expected {}", location, problem, expected));
}

// ---- Reading TOML ---------------------------------------------------------------------------

toml::table ParseToml(std::string_view text, const std::string& path) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    Fail(fmt::format("{}:{}", path, error.source().begin.line), error.description(), "TOML");
  }
}

// Reads one table of a TOML file. Errors name each key with the prefix of its table.
class TableReader {
 public:
  TableReader(const std::string& path, const toml::table& table, std::string key_prefix)
      : path_(path), table_(table), key_prefix_(std::move(key_prefix)) {}

  [[nodiscard]] const toml::node* Get(std::string_view key) const { return table_.get(key); }
  [[nodiscard]] std::string Location(std::string_view key) const {
    const toml::node* const node = Get(key);
    const auto line = (node != nullptr ? *node : table_).source().begin.line;
    // A key missing from the root table has no line to report.
    return line > 0 && (node != nullptr || !key_prefix_.empty())
               ? fmt::format("{}:{}: {}{}", path_, line, key_prefix_, key)
               : fmt::format("{}: {}{}", path_, key_prefix_, key);
  }
  void RequireKnownKeys(const std::set<std::string>& keys) const {
    for (const auto& [key, node] : table_) {
      if (keys.contains(std::string(key.str()))) {
        continue;
      }
      Fail(Location(key.str()), "unknown key", fmt::format("one of {}", fmt::join(keys, ", ")));
    }
  }
  [[nodiscard]] std::string Text(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) {
      Fail(Location(key), "missing", "a string");
    }
    if (!node->is_string() || node->as_string()->get().empty()) {
      Fail(Location(key), "not a non-empty string", "a string");
    }
    return node->as_string()->get();
  }
  [[nodiscard]] std::string TextOr(std::string_view key) const {
    return Get(key) != nullptr ? Text(key) : "";
  }
  [[nodiscard]] std::string OneOf(std::string_view key,
                                  const std::set<std::string>& allowed) const {
    std::string value = Text(key);
    if (!allowed.contains(value)) {
      Fail(Location(key), fmt::format("'{}'", value),
           fmt::format("one of {}", fmt::join(allowed, ", ")));
    }
    return value;
  }
  // Reads a string or a list of strings.
  [[nodiscard]] std::vector<std::string> Texts(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) {
      return {};
    }
    if (node->is_string()) {
      return {Text(key)};
    }
    std::vector<std::string> strings;
    const toml::array* const list = node->as_array();
    if (list == nullptr) {
      Fail(Location(key), "not a list", "a list of strings");
    }
    for (const toml::node& item : *list) {
      if (!item.is_string()) {
        Fail(Location(key), "not all are strings", "a list of strings");
      }
      strings.push_back(item.as_string()->get());
    }
    return strings;
  }
  [[nodiscard]] std::optional<CapacityQuantity> Quantity(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) {
      return std::nullopt;
    }
    if (node->is_string()) {
      return CapacityQuantity{Text(key), Location(key)};
    }
    const auto number = node->value<double>();
    if (!node->is_number() || !number) {
      Fail(Location(key), "neither a number nor a string",
           "a number or an expression of target keys");
    }
    return CapacityQuantity{fmt::format("{}", *number), Location(key)};
  }
  // Reads a scalar as JSON text, for comparison with a value in a run.
  [[nodiscard]] std::string PlainValue(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) {
      return {};
    }
    if (node->is_boolean()) {
      return json(node->as_boolean()->get()).dump();
    }
    if (node->is_integer()) {
      return json(node->as_integer()->get()).dump();
    }
    if (node->is_floating_point()) {
      return json(node->as_floating_point()->get()).dump();
    }
    if (node->is_string()) {
      return json(node->as_string()->get()).dump();
    }
    Fail(Location(key), "not a scalar", "a number, a string, true or false");
  }

 private:
  const std::string& path_;
  const toml::table& table_;
  std::string key_prefix_;
};

void RequirePointer(const std::string& pointer, const std::string& location) {
  if (pointer.starts_with('/')) {
    return;
  }
  Fail(location, fmt::format("'{}'", pointer), "a pointer such as /leader/cpu_core");
}

std::map<std::string, std::string> ReadConditions(const std::string& path, const toml::table& table,
                                                  const TableReader& reader,
                                                  const std::string& key_prefix) {
  std::map<std::string, std::string> conditions;
  const toml::node* const node = table.get("where");
  if (node == nullptr) {
    return conditions;
  }
  if (!node->is_table()) {
    Fail(reader.Location("where"), "not a table", "pointer = value");
  }
  const TableReader conditions_reader(path, *node->as_table(), key_prefix + "where.");
  for (const auto& [key, value] : *node->as_table()) {
    RequirePointer(std::string(key.str()), conditions_reader.Location(key.str()));
    conditions.emplace(key.str(), conditions_reader.PlainValue(key.str()));
  }
  return conditions;
}

void RequireKeys(const TableReader& reader, CapacityKind kind) {
  const auto require = [&](std::string_view key, std::string_view expected) {
    if (reader.Get(key) == nullptr) {
      Fail(reader.Location(key), "missing", expected);
    }
  };
  if (IsMeasured(kind)) {
    require("figure", "a pointer into a run");
    require("by", "a pointer to the size");
    require("size", "the size at the target");
  }
  if (kind == CapacityKind::kLimit) {
    require("holds", "the figure's value where the bound is met");
  }
  if (kind == CapacityKind::kSum) {
    require("whole", "rows to add");
  }
}

CapacityRow ReadRow(const std::string& path, const toml::table& table, size_t index) {
  const std::string key_prefix = fmt::format("row[{}].", index);
  const TableReader reader(path, table, key_prefix);
  reader.RequireKnownKeys({"id", "role", "what", "unit", "figure", "by", "where", "holds", "size",
                           "times", "allowed", "kind", "whole", "growth", "mechanism", "table",
                           "covers", "note"});
  CapacityRow row;
  row.id = reader.Text("id");
  row.role = reader.OneOf("role", kRoles);
  row.what = reader.Text("what");
  row.unit = reader.TextOr("unit");
  row.mechanism = reader.Text("mechanism");
  row.table = reader.OneOf("table", kTables);
  row.note = reader.TextOr("note");
  std::set<std::string> kinds;
  for (const auto& [name, kind] : kKinds) {
    kinds.insert(name);
  }
  row.kind = kKinds.at(reader.OneOf("kind", kinds));
  RequireKeys(reader, row.kind);
  row.figure_pointers = reader.Texts("figure");
  for (const std::string& pointer : row.figure_pointers) {
    RequirePointer(pointer, reader.Location("figure"));
  }
  row.size_pointer = reader.TextOr("by");
  if (!row.size_pointer.empty()) {
    RequirePointer(row.size_pointer, reader.Location("by"));
  }
  row.conditions = ReadConditions(path, table, reader, key_prefix);
  row.met_value = reader.PlainValue("holds");
  row.size = reader.Quantity("size");
  row.multiplier = reader.Quantity("times");
  row.allowed = reader.Quantity("allowed");
  row.whole_rows = reader.Texts("whole");
  row.growth_rows = reader.Texts("growth");
  row.covered_keys = reader.Texts("covers");
  return row;
}

CapacityAssumption ReadAssumption(const std::string& path, const toml::table& table, size_t index) {
  const TableReader reader(path, table, fmt::format("assumption[{}].", index));
  reader.RequireKnownKeys({"what", "unit", "value", "why", "covers"});
  CapacityAssumption assumption;
  assumption.what = reader.Text("what");
  assumption.unit = reader.TextOr("unit");
  assumption.reason = reader.Text("why");
  const auto value = reader.Quantity("value");
  if (!value) {
    Fail(reader.Location("value"), "missing", "a number or an expression of target keys");
  }
  assumption.value = *value;
  assumption.covered_keys = reader.Texts("covers");
  return assumption;
}

template <typename Item>
std::vector<Item> ReadTables(const std::string& path, const toml::table& file, std::string_view key,
                             Item (*read_item)(const std::string&, const toml::table&, size_t)) {
  std::vector<Item> items;
  const TableReader reader(path, file, "");
  const toml::node* const node = reader.Get(key);
  if (node == nullptr) {
    return items;
  }
  const toml::array* const list = node->as_array();
  if (list == nullptr) {
    Fail(reader.Location(key), "not a list", fmt::format("one [[{}]] for each", key));
  }
  for (const toml::node& item : *list) {
    if (!item.is_table()) {
      Fail(reader.Location(key), "not a table", fmt::format("one [[{}]] for each", key));
    }
    items.push_back(read_item(path, *item.as_table(), items.size()));
  }
  return items;
}

// Requires unique ids, and sums that only add rows above them.
void RequireValidIds(const CapacityRows& rows) {
  std::set<std::string> ids_above;
  for (const CapacityRow& row : rows.rows) {
    const std::string location = fmt::format("{}: row '{}'", rows.path, row.id);
    for (const auto* ids : {&row.whole_rows, &row.growth_rows}) {
      for (const std::string& id : *ids) {
        if (!ids_above.contains(id)) {
          Fail(location, fmt::format("no row '{}'", id), "rows above it");
        }
      }
    }
    if (!ids_above.insert(row.id).second) {
      Fail(location, "duplicate id", "a unique id");
    }
  }
}

// ---- Quantities -----------------------------------------------------------------------------

double TermValue(const std::string& token, const CapacityQuantity& quantity,
                 const CapacityTarget& target) {
  if (const auto found = target.figures.find(token); found != target.figures.end()) {
    return found->second;
  }
  double number = 0;
  const char* const end = token.data() + token.size();
  const auto parsed = std::from_chars(token.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    Fail(quantity.location, fmt::format("'{}'", token), "a number or a key of " + target.path);
  }
  return number;
}

double Evaluate(const CapacityQuantity& quantity, const CapacityTarget& target) {
  std::istringstream tokens(quantity.text);
  std::string token;
  const auto next_term = [&] {
    if (!(tokens >> token)) {
      Fail(quantity.location, fmt::format("'{}'", quantity.text), "a term at the end");
    }
    return TermValue(token, quantity, target);
  };
  double sum = 0, product = next_term();
  while (tokens >> token) {
    if (token == "*") {
      product *= next_term();
    } else if (token == "/") {
      product /= next_term();
    } else if (token == "+") {
      sum += product;
      product = next_term();
    } else {
      Fail(quantity.location, fmt::format("'{}'", token), "*, / or + between terms");
    }
  }
  return sum + product;
}

std::optional<double> Evaluate(const std::optional<CapacityQuantity>& quantity,
                               const CapacityTarget& target) {
  return quantity ? std::optional(Evaluate(*quantity, target)) : std::nullopt;
}

// ---- Runs -----------------------------------------------------------------------------------

// Returns the entry with the nearest rate, or null: an entry over half of `rate` away was measured
// at another load. Of two entries at the same distance, the first is returned.
const json* NearestByRate(const json& list, double rate) {
  const json* nearest = nullptr;
  double min_distance = rate / 2;
  for (const json& entry : list) {
    if (!entry.is_object() || !entry.contains("rate") || !entry["rate"].is_number()) {
      continue;
    }
    const double distance = std::abs(entry["rate"].get<double>() - rate);
    if (distance > min_distance || (nearest != nullptr && distance == min_distance)) {
      continue;
    }
    nearest = &entry;
    min_distance = distance;
  }
  return nearest;
}

// Returns the value at a pointer, or null. "@160" selects the list entry whose rate is nearest to
// 160 requests per second.
const json* Resolve(const json& value, const std::string& pointer) {
  const json* current = &value;
  std::istringstream steps(pointer.substr(1));
  for (std::string step; current != nullptr && std::getline(steps, step, '/');) {
    if (step.starts_with('@') && current->is_array()) {
      current = NearestByRate(*current, std::strtod(step.c_str() + 1, nullptr));
    } else {
      current = current->is_object() && current->contains(step) ? &(*current)[step] : nullptr;
    }
  }
  return current == nullptr || current->is_null() ? nullptr : current;
}

std::optional<double> NumberAt(const CapacityRun& run, const std::string& pointer) {
  const json* const value = Resolve(run.result, pointer);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_number()) {
    Fail(run.file + ": " + pointer, "not a number", "a number or null");
  }
  return value->get<double>();
}

bool MeetsConditions(const CapacityRow& row, const CapacityRun& run) {
  return std::ranges::all_of(row.conditions, [&](const auto& condition) {
    const json* const value = Resolve(run.result, condition.first);
    return value != nullptr && *value == json::parse(condition.second);
  });
}

std::string VerdictOf(const CapacityRun& run) {
  return run.result.at("verdict");
}

// The size and figure of one row in one run.
struct Point {
  double size = 0, value = 0;
  const CapacityRun* run = nullptr;
};

std::optional<double> SlopeFigure(const CapacityRow& row, const CapacityRun& run) {
  if (VerdictOf(run) != "held") {
    return std::nullopt;
  }
  double sum = 0;
  for (const std::string& pointer : row.figure_pointers) {
    const auto part = NumberAt(run, pointer);
    if (!part) {
      return std::nullopt;
    }
    sum += *part;
  }
  return sum;
}

// Returns 1 if the bound was met and 0 if not. A broken run only counts where the bound was not
// met: a bound met in a broken run proves nothing.
std::optional<double> LimitFigure(const CapacityRow& row, const CapacityRun& run) {
  const json* const value = Resolve(run.result, row.figure_pointers.front());
  if (value == nullptr || VerdictOf(run) == "void") {
    return std::nullopt;
  }
  if (*value != json::parse(row.met_value)) {
    return 0.0;
  }
  return VerdictOf(run) == "held" ? std::optional(1.0) : std::nullopt;
}

std::vector<Point> PointsOf(const CapacityRow& row, const std::vector<CapacityRun>& runs) {
  std::vector<Point> points;
  for (const CapacityRun& run : runs) {
    const auto size = NumberAt(run, row.size_pointer);
    if (!size || !MeetsConditions(row, run)) {
      continue;
    }
    // A failure at size 0 is not caused by the size.
    if (row.kind == CapacityKind::kLimit && *size <= 0) {
      continue;
    }
    const auto figure =
        row.kind == CapacityKind::kLimit ? LimitFigure(row, run) : SlopeFigure(row, run);
    if (figure) {
      points.push_back({*size, *figure, &run});
    }
  }
  return points;
}

// ---- Fitting --------------------------------------------------------------------------------

// Counts the sizes that are at least double the last counted one; only these support a line.
size_t DoubledSizes(const std::vector<double>& sizes) {
  size_t count = 0;
  double last = 0;
  for (const double size : sizes) {
    if (count > 0 && size < 2 * last) {
      continue;
    }
    last = size;
    ++count;
  }
  return count;
}

bool IsAssumption(const CapacityFit& fit) {
  return DoubledSizes(fit.sizes) < kMinSizesForLine;
}

double Rounded(double value) {
  return std::stod(fmt::format("{:.4g}", value));
}

// Rounds values that are only floating-point error at this scale to 0, so that the result is the
// same on every machine.
double Rounded(double value, double scale) {
  return std::abs(value) < 1e-9 * scale ? 0 : Rounded(value);
}

std::map<double, std::vector<double>> FiguresBySize(const std::vector<Point>& points) {
  std::map<double, std::vector<double>> sizes;
  for (const Point& point : points) {
    sizes[point.size].push_back(point.value);
  }
  for (auto& [size, figures] : sizes) {
    std::ranges::sort(figures);
  }
  return sizes;
}

std::optional<double> SpreadOf(const std::map<double, std::vector<double>>& sizes) {
  std::optional<double> widest;
  for (const auto& [size, sorted] : sizes) {
    const size_t count = sorted.size();
    const double median = (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
    if (count < 2 || median == 0) {
      continue;
    }
    widest = std::max(widest.value_or(0), (sorted.back() - sorted.front()) / std::abs(median));
  }
  return widest;
}

void FitLine(const std::vector<Point>& points, CapacityFit& fit) {
  const auto count = static_cast<double>(points.size());
  double mean_size = 0, mean_value = 0;
  for (const Point& point : points) {
    mean_size += point.size / count;
    mean_value += point.value / count;
  }
  double squared_size_deviations = 0, codeviations = 0;
  for (const Point& point : points) {
    squared_size_deviations += (point.size - mean_size) * (point.size - mean_size);
    codeviations += (point.size - mean_size) * (point.value - mean_value);
  }
  // No cost falls as the fleet grows: a negative slope is noise and would understate the cost.
  const double slope =
      squared_size_deviations > 0 ? std::max(0.0, codeviations / squared_size_deviations) : 0;
  const double intercept = mean_value - slope * mean_size;
  double squared_residuals = 0, largest_value = 0, largest_size = 0;
  for (const Point& point : points) {
    squared_residuals += std::pow(point.value - intercept - slope * point.size, 2);
    largest_value = std::max(largest_value, std::abs(point.value));
    largest_size = std::max(largest_size, point.size);
  }
  fit.intercept = Rounded(intercept, largest_value);
  if (squared_size_deviations > 0) {
    fit.slope = Rounded(slope, largest_value / largest_size);
  }
  fit.rms_residual = Rounded(std::sqrt(squared_residuals / count), largest_value);
}

void FitLimit(const std::vector<Point>& points, CapacityFit& fit) {
  for (const Point& point : points) {
    if (point.value == 0) {
      fit.smallest_broken = std::min(fit.smallest_broken.value_or(point.size), point.size);
    }
  }
  for (const Point& point : points) {
    if (point.value == 0 || (fit.smallest_broken && point.size >= *fit.smallest_broken)) {
      continue;
    }
    fit.largest_met = std::max(fit.largest_met.value_or(0), point.size);
  }
}

CapacityFit FitRow(const CapacityRow& row, const std::vector<CapacityRun>& runs) {
  CapacityFit fit;
  const std::vector<Point> points = PointsOf(row, runs);
  const auto sizes = FiguresBySize(points);
  for (const auto& [size, figures] : sizes) {
    fit.sizes.push_back(size);
    fit.run_counts.push_back(figures.size());
  }
  for (const Point& point : points) {
    fit.files.push_back(point.run->file);
    fit.seeds.push_back(point.run->result.at("seed").get<uint64_t>());
  }
  if (points.empty()) {
    return fit;
  }
  if (row.kind == CapacityKind::kLimit) {
    FitLimit(points, fit);
  } else {
    FitLine(points, fit);
    if (const auto spread = SpreadOf(sizes)) {
      fit.spread = Rounded(*spread);
    }
  }
  return fit;
}

std::string ReasonsOf(const json& result) {
  std::vector<std::string> reasons;
  for (const char* key : {"void", "broken"}) {
    const auto list = result.find(key);
    if (list == result.end() || !list->is_array()) {
      continue;
    }
    for (const json& reason : *list) {
      reasons.push_back(reason.is_string() ? reason.get<std::string>() : reason.dump());
    }
  }
  return fmt::format("{}", fmt::join(reasons, "; "));
}

void RequireValidRun(const CapacityRun& run, const std::string& path) {
  const auto require = [&](const char* key, bool valid, std::string_view expected) {
    if (!run.result.contains(key)) {
      Fail(fmt::format("{}: {}", path, key), "missing", expected);
    }
    if (!valid) {
      Fail(fmt::format("{}: {}", path, key), "wrong value", expected);
    }
  };
  if (!run.result.is_object()) {
    Fail(path, "not an object", "what a lab command wrote with --json");
  }
  const json& result = run.result;
  require("command", result.contains("command") && result["command"].is_string(), "a string");
  require("commit", result.contains("commit") && result["commit"].is_string(), "a string");
  require("seed", result.contains("seed") && result["seed"].is_number_unsigned(), "a whole number");
  const bool has_verdict = result.contains("verdict") && result["verdict"].is_string() &&
                           ParseVerdict(result["verdict"].get<std::string>()).has_value();
  require("verdict", has_verdict, "held, broken or void");
  if (!result.contains("members") && !result.contains("hosts")) {
    Fail(path + ": members", "missing, as is hosts", "one of them as the size of the run");
  }
}

// ---- Slopes as JSON -------------------------------------------------------------------------

template <typename Value>
ordered_json OrNull(const std::optional<Value>& value) {
  return value ? ordered_json(*value) : ordered_json(nullptr);
}

ordered_json ToJson(const CapacityFit& fit, CapacityKind kind) {
  ordered_json out;
  out["kind"] = NameOf(kind);
  out["sizes"] = fit.sizes;
  out["runs"] = fit.run_counts;
  if (kind == CapacityKind::kLimit) {
    out["held_to"] = OrNull(fit.largest_met);
    out["broken_from"] = OrNull(fit.smallest_broken);
  } else {
    out["fixed"] = OrNull(fit.intercept);
    out["slope"] = OrNull(fit.slope);
    out["residue"] = OrNull(fit.rms_residual);
    out["spread"] = OrNull(fit.spread);
  }
  out["assumption"] = IsAssumption(fit);
  out["files"] = fit.files;
  out["seeds"] = fit.seeds;
  return out;
}

// Reads one object of the slopes file. All expected keys must be present, and no others.
class SlopesReader {
 public:
  SlopesReader(const json& object, std::string location)
      : object_(object), location_(std::move(location)) {
    if (!object_.is_object()) {
      Fail(location_, "not an object", "what lab capacity --fit writes");
    }
  }
  template <typename Value>
  void Read(const std::string& key, Value& value) {
    known_.insert(key);
    const auto found = object_.find(key);
    if (found == object_.end()) {
      Fail(location_ + "." + key, "missing", "what --fit writes");
    }
    try {
      value = found->get<Value>();
    } catch (const json::exception&) {
      Fail(location_ + "." + key, "wrong type", "what --fit writes");
    }
  }
  void Read(const std::string& key, std::optional<double>& value) {
    json json_value;
    Read(key, json_value);
    if (json_value.is_null()) {
      return;
    }
    if (!json_value.is_number()) {
      Fail(location_ + "." + key, "wrong type", "a number or null");
    }
    value = json_value.get<double>();
  }
  void RequireNoOtherKeys() const {
    for (const auto& [key, value] : object_.items()) {
      if (!known_.contains(key)) {
        Fail(location_ + "." + key, "unknown key", "what --fit writes");
      }
    }
  }

 private:
  const json& object_;
  std::string location_;
  std::set<std::string> known_;
};

CapacityFit ReadFit(const json& object, const std::string& location, const CapacityRow& row) {
  SlopesReader reader(object, location);
  CapacityFit fit;
  std::string kind;
  bool assumption = false;
  reader.Read("kind", kind);
  if (kind != NameOf(row.kind)) {
    Fail(location + ".kind", "'" + kind + "'", NameOf(row.kind));
  }
  reader.Read("sizes", fit.sizes);
  reader.Read("runs", fit.run_counts);
  if (row.kind == CapacityKind::kLimit) {
    reader.Read("held_to", fit.largest_met);
    reader.Read("broken_from", fit.smallest_broken);
  } else {
    reader.Read("fixed", fit.intercept);
    reader.Read("slope", fit.slope);
    reader.Read("residue", fit.rms_residual);
    reader.Read("spread", fit.spread);
  }
  reader.Read("assumption", assumption);
  reader.Read("files", fit.files);
  reader.Read("seeds", fit.seeds);
  reader.RequireNoOtherKeys();
  return fit;
}

CapacityRunNote ReadNote(const json& object, const std::string& location) {
  SlopesReader reader(object, location);
  CapacityRunNote note;
  reader.Read("file", note.file);
  reader.Read("command", note.command);
  reader.Read("commit", note.commit);
  reader.Read("seed", note.seed);
  reader.Read("verdict", note.verdict);
  reader.Read("why", note.reason);
  reader.RequireNoOtherKeys();
  return note;
}

// ---- Evaluation -----------------------------------------------------------------------------

void EvaluateSlope(CapacityLine& line) {
  const CapacityFit& fit = line.fit;
  if (!fit.intercept || !line.size) {
    return;
  }
  const double multiplier = line.multiplier.value_or(1);
  // One measured size can't be extrapolated to larger ones.
  if (!fit.slope && *line.size > fit.sizes.back()) {
    return;
  }
  line.growth = fit.slope.value_or(0) * *line.size * multiplier;
  line.at_target = *fit.intercept * multiplier + *line.growth;
}

void EvaluateSum(CapacityLine& line, const std::vector<CapacityLine>& previous_lines) {
  const auto find_line = [&](const std::string& id) -> const CapacityLine& {
    return *std::ranges::find(previous_lines, id,
                              [](const CapacityLine& other) { return other.row.id; });
  };
  std::optional<double> sum = 0;
  const auto add_figure = [&](const CapacityLine& part, std::optional<double> figure) {
    sum = sum && figure ? std::optional(*sum + *figure) : std::nullopt;
    line.is_assumption |= part.is_assumption;
    if (part.size_ratio) {
      line.size_ratio = std::max(line.size_ratio.value_or(0), *part.size_ratio);
    }
  };
  for (const std::string& id : line.row.whole_rows) {
    add_figure(find_line(id), find_line(id).at_target);
  }
  for (const std::string& id : line.row.growth_rows) {
    add_figure(find_line(id), find_line(id).growth);
  }
  line.at_target = sum;
}

ShareKind ShareKindOf(const CapacityLine& line) {
  const bool is_limit = line.row.kind == CapacityKind::kLimit;
  // A limit that was already broken at the smallest measured size counts as no mechanism at all.
  const bool never_met = is_limit && line.fit.smallest_broken && !line.fit.largest_met;
  if (line.row.kind == CapacityKind::kNone || never_met) {
    return ShareKind::kNone;
  }
  if (line.allowed && line.at_target) {
    return ShareKind::kKnown;
  }
  const bool has_bound = line.allowed || is_limit || line.row.kind == CapacityKind::kUnknown;
  return has_bound ? ShareKind::kUnknown : ShareKind::kInformational;
}

CapacityLine EvaluateRow(const CapacityRow& row, const CapacityTarget& target,
                         const CapacitySlopes& slopes,
                         const std::vector<CapacityLine>& previous_lines) {
  CapacityLine line;
  line.row = row;
  line.size = Evaluate(row.size, target);
  line.multiplier = Evaluate(row.multiplier, target);
  line.allowed = Evaluate(row.allowed, target);
  if (IsMeasured(row.kind)) {
    line.fit = slopes.fits.at(row.id);
    line.is_assumption = IsAssumption(line.fit);
    if (!line.fit.sizes.empty() && line.fit.sizes.back() > 0) {
      line.largest_measured = line.fit.sizes.back();
      line.size_ratio = *line.size / *line.largest_measured;
    }
  }
  if (row.kind == CapacityKind::kSlope) {
    EvaluateSlope(line);
  }
  if (row.kind == CapacityKind::kSum) {
    EvaluateSum(line, previous_lines);
  }
  if (row.kind == CapacityKind::kNone) {
    line.at_target = line.size;
  }
  if (row.kind == CapacityKind::kLimit) {
    line.at_target = line.size;
    line.allowed = line.fit.largest_met;
  }
  line.share_kind = ShareKindOf(line);
  if (line.share_kind == ShareKind::kKnown) {
    line.share = *line.at_target / *line.allowed;
  }
  return line;
}

void RequireAllKeysCovered(const CapacityTarget& target, const CapacityRows& rows) {
  std::set<std::string> covered;
  const auto add_keys = [&](const std::vector<std::string>& keys, const std::string& owner) {
    for (const std::string& key : keys) {
      if (!target.figures.contains(key)) {
        Fail(fmt::format("{}: {}: covers", rows.path, owner), fmt::format("'{}'", key),
             "a key of " + target.path);
      }
      covered.insert(key);
    }
  };
  for (const CapacityRow& row : rows.rows) {
    add_keys(row.covered_keys, "row '" + row.id + "'");
  }
  for (const CapacityAssumption& assumption : rows.assumptions) {
    add_keys(assumption.covered_keys, "assumption '" + assumption.what + "'");
  }
  for (const auto& [key, line] : target.lines) {
    if (covered.contains(key)) {
      continue;
    }
    Fail(fmt::format("{}:{}: {}", target.path, line, key), "not covered",
         "a row or an assumption of " + rows.path + " that covers it");
  }
}

// ---- Markdown -------------------------------------------------------------------------------

std::string FormatNumber(double value) {
  if (std::abs(value) < 1000) {
    return fmt::format("{:.3g}", value);
  }
  std::string digits = fmt::format("{:.0f}", std::abs(value));
  for (size_t position = digits.size(); position > 3; position -= 3) {
    digits.insert(position - 3, ",");
  }
  return (value < 0 ? "-" : "") + digits;
}

std::string FormatNumber(const std::optional<double>& value) {
  return value ? FormatNumber(*value) : "-";
}

template <typename Values>
std::string FormatNumbers(const Values& values) {
  std::vector<std::string> texts;
  texts.reserve(values.size());
  for (const auto& value : values) {
    texts.push_back(FormatNumber(static_cast<double>(value)));
  }
  return texts.empty() ? "-" : fmt::format("{}", fmt::join(texts, "; "));
}

std::string FormatShare(const CapacityLine& line) {
  switch (line.share_kind) {
    case ShareKind::kNone:
      return "**none**";
    case ShareKind::kUnknown:
      return "not known";
    case ShareKind::kInformational:
      return "told";
    case ShareKind::kKnown:
      break;
  }
  const std::string share = FormatNumber(line.share) + (line.is_assumption ? " (assumption)" : "");
  return line.share > 1 ? "**" + share + "**" : share;
}

// Adds the parentheses that a quantity of several terms needs as a factor.
std::string Parenthesized(const CapacityQuantity& quantity) {
  return quantity.text.find(' ') == std::string::npos ? quantity.text : "(" + quantity.text + ")";
}

std::string FormatFormula(const CapacityLine& line) {
  const CapacityFit& fit = line.fit;
  const CapacityRow& row = line.row;
  if (row.kind == CapacityKind::kSum) {
    std::vector<std::string> parts = row.whole_rows;
    for (const std::string& id : row.growth_rows) {
      parts.push_back("growth of " + id);
    }
    return fmt::format("{}", fmt::join(parts, " + "));
  }
  if (row.kind == CapacityKind::kLimit) {
    if (!fit.largest_met && !fit.smallest_broken) {
      return "-";
    }
    return fmt::format("held to {}, broken from {}", FormatNumber(fit.largest_met),
                       FormatNumber(fit.smallest_broken));
  }
  if (!fit.intercept) {
    return "-";
  }
  std::string text = FormatNumber(*fit.intercept);
  if (fit.slope) {
    text += fmt::format(" + {} x {}", FormatNumber(*fit.slope), Parenthesized(*row.size));
  }
  if (row.multiplier) {
    text = fmt::format("({}) x {}", text, Parenthesized(*row.multiplier));
  }
  return text + fmt::format(", off by {}", FormatNumber(*fit.rms_residual));
}

std::string TableOf(const Capacity& capacity, const std::string& table) {
  std::string text =
      "| role | what | at target | allowed | share | fixed + slope x size | sizes measured | runs "
      "| spread | target past largest | mechanism | row |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const CapacityLine& line : capacity.lines) {
    const CapacityRow& row = line.row;
    if (row.table != table) {
      continue;
    }
    text += fmt::format(
        "| {} | {}{} | {} | {} | {} | {} | {} | {} | {} | {} | {} | `{}` |\n", row.role, row.what,
        row.unit.empty() ? "" : ", " + row.unit, FormatNumber(line.at_target),
        FormatNumber(line.allowed), FormatShare(line), FormatFormula(line),
        FormatNumbers(line.fit.sizes), FormatNumbers(line.fit.run_counts),
        line.fit.spread ? fmt::format("{:.0f}%", *line.fit.spread * 100) : "-",
        line.size_ratio ? FormatNumber(*line.size_ratio) + " x" : "-", row.mechanism, row.id);
  }
  return text;
}

std::string AssumptionsOf(const Capacity& capacity) {
  std::string text = "| what | value | why |\n| --- | --- | --- |\n";
  for (const EvaluatedAssumption& assumption : capacity.assumptions) {
    text += fmt::format("| {} | {}{} | {} |\n", assumption.what, FormatNumber(assumption.value),
                        assumption.unit.empty() ? "" : " " + assumption.unit, assumption.reason);
  }
  for (const CapacityLine& line : capacity.lines) {
    if (!line.is_assumption || line.fit.sizes.empty()) {
      continue;
    }
    text += fmt::format(
        "| {}: {} (`{}`) | {} {} | measured at {} alone, not at three sizes, each "
        "double the last or more |\n",
        line.row.role, line.row.what, line.row.id, FormatNumber(line.at_target), line.row.unit,
        FormatNumbers(line.fit.sizes));
  }
  return text;
}

std::string UnknownOf(const Capacity& capacity) {
  std::string text = "| role | what | what would have to be measured |\n| --- | --- | --- |\n";
  for (const CapacityLine& line : capacity.lines) {
    const CapacityRow& row = line.row;
    if (row.kind == CapacityKind::kUnknown) {
      text += fmt::format("| {} | {} (`{}`) | {} |\n", row.role, row.what, row.id, row.note);
    } else if (IsMeasured(row.kind) && line.fit.sizes.empty()) {
      std::vector<std::string> where;
      for (const auto& [pointer, value] : row.conditions) {
        where.push_back(fmt::format("`{}` = {}", pointer, value));
      }
      text += fmt::format("| {} | {} (`{}`) | `{}` by `{}`{}{} |\n", row.role, row.what, row.id,
                          fmt::join(row.figure_pointers, "` + `"), row.size_pointer,
                          where.empty() ? "" : " where ", fmt::join(where, ", "));
    }
  }
  return text;
}

std::string NotesOf(const Capacity& capacity) {
  std::string text = "| row | note |\n| --- | --- |\n";
  for (const CapacityLine& line : capacity.lines) {
    if (line.row.note.empty() || line.row.kind == CapacityKind::kUnknown) {
      continue;
    }
    text += fmt::format("| `{}` | {} |\n", line.row.id, line.row.note);
  }
  return text;
}

std::string RunsOf(const Capacity& capacity, bool held) {
  std::string text = held ? "| run | command | commit | seed |\n| --- | --- | --- | --- |\n"
                          : "| run | verdict | why |\n| --- | --- | --- |\n";
  size_t count = 0;
  for (const CapacityRunNote& run : capacity.runs) {
    if ((run.verdict == "held") != held) {
      continue;
    }
    ++count;
    text +=
        held ? fmt::format("| {} | `{}` | {} | {} |\n", run.file, run.command, run.commit, run.seed)
             : fmt::format("| {} | {} | {} |\n", run.file, run.verdict, run.reason);
  }
  return count > 0 ? text : "None.\n";
}

ordered_json ToJson(const CapacityLine& line) {
  ordered_json out;
  out["id"] = line.row.id;
  out["role"] = line.row.role;
  out["what"] = line.row.what;
  out["unit"] = line.row.unit;
  out["table"] = line.row.table;
  out["kind"] = NameOf(line.row.kind);
  out["at_target"] = OrNull(line.at_target);
  out["allowed"] = OrNull(line.allowed);
  out["share"] = line.share_kind == ShareKind::kKnown  ? ordered_json(line.share)
                 : line.share_kind == ShareKind::kNone ? ordered_json("none")
                                                       : ordered_json(nullptr);
  out["mechanism"] = line.row.mechanism;
  out["largest_measured"] = OrNull(line.largest_measured);
  out["target_size"] = OrNull(line.size);
  out["past_largest"] = OrNull(line.size_ratio);
  out["assumption"] = line.is_assumption;
  out["sizes"] = line.fit.sizes;
  out["runs"] = line.fit.run_counts;
  out["fixed"] = OrNull(line.fit.intercept);
  out["slope"] = OrNull(line.fit.slope);
  out["residue"] = OrNull(line.fit.rms_residual);
  out["spread"] = OrNull(line.fit.spread);
  out["held_to"] = OrNull(line.fit.largest_met);
  out["broken_from"] = OrNull(line.fit.smallest_broken);
  out["files"] = line.fit.files;
  return out;
}

ordered_json ToJson(const CapacityRunNote& note) {
  return {{"file", note.file}, {"command", note.command}, {"commit", note.commit},
          {"seed", note.seed}, {"verdict", note.verdict}, {"why", note.reason}};
}

}  // namespace

CapacityTarget ParseTarget(std::string_view text, const std::string& path) {
  const toml::table file = ParseToml(text, path);
  CapacityTarget target{path, {}, {}};
  std::set<std::string> root_keys = {"control_gateway"}, control_keys;
  for (const TargetKeyRule& rule : kTargetKeyRules) {
    const std::string key = rule.key;
    const size_t dot = key.find('.');
    (dot == std::string::npos ? root_keys : control_keys).insert(key.substr(dot + 1));
  }
  const TableReader reader(path, file, "");
  reader.RequireKnownKeys(root_keys);
  const toml::node* const control_node = reader.Get("control_gateway");
  if (control_node == nullptr) {
    Fail(reader.Location("control_gateway"), "missing", "a table");
  }
  if (!control_node->is_table()) {
    Fail(reader.Location("control_gateway"), "not a table", "a table");
  }
  const TableReader control_reader(path, *control_node->as_table(), "control_gateway.");
  control_reader.RequireKnownKeys(control_keys);
  for (const TargetKeyRule& rule : kTargetKeyRules) {
    const std::string name = rule.key;
    const size_t dot = name.find('.');
    const std::string key = name.substr(dot + 1);
    const TableReader& key_reader = dot == std::string::npos ? reader : control_reader;
    const std::string expected =
        fmt::format("a {}number from {} to {}", rule.integer ? "whole " : "", rule.min, rule.max);
    const toml::node* const node = key_reader.Get(key);
    if (node == nullptr) {
      Fail(key_reader.Location(key), "missing", expected);
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || (rule.integer && !node->is_integer())) {
      Fail(key_reader.Location(key), rule.integer ? "not a whole number" : "not a number",
           expected);
    }
    if (!(*value >= rule.min && *value <= rule.max)) {
      Fail(key_reader.Location(key), fmt::format("{} is out of range", *value), expected);
    }
    target.figures[name] = *value;
    target.lines[name] = node->source().begin.line;
  }
  return target;
}

CapacityRows ParseRows(std::string_view text, const std::string& path) {
  const toml::table file = ParseToml(text, path);
  TableReader(path, file, "").RequireKnownKeys({"row", "assumption"});
  CapacityRows rows{path, ReadTables(path, file, "row", &ReadRow),
                    ReadTables(path, file, "assumption", &ReadAssumption)};
  RequireValidIds(rows);
  return rows;
}

std::vector<CapacityRun> ReadRuns(const std::string& folder) {
  std::vector<CapacityRun> runs;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error)) {
    if (entry.path().extension() != ".json") {
      continue;
    }
    const std::string path = entry.path().string();
    std::ifstream file(path);
    CapacityRun run{entry.path().filename().string(), json::parse(file, nullptr, false)};
    if (run.result.is_discarded()) {
      Fail(path, "invalid JSON", "what a lab command wrote with --json");
    }
    RequireValidRun(run, path);
    runs.push_back(std::move(run));
  }
  if (error) {
    Fail(folder, error.message(), "a folder of runs");
  }
  std::ranges::sort(runs, {}, &CapacityRun::file);
  return runs;
}

CapacitySlopes FitRuns(const CapacityRows& rows, const std::vector<CapacityRun>& runs) {
  CapacitySlopes slopes;
  for (const CapacityRow& row : rows.rows) {
    if (IsMeasured(row.kind)) {
      slopes.fits[row.id] = FitRow(row, runs);
    }
  }
  for (const CapacityRun& run : runs) {
    const json& result = run.result;
    slopes.runs.push_back({run.file, result.at("command"), result.at("commit"),
                           result.at("verdict"), ReasonsOf(result),
                           result.at("seed").get<uint64_t>()});
  }
  return slopes;
}

CapacitySlopes ParseSlopes(std::string_view text, const std::string& path,
                           const CapacityRows& rows) {
  const json file = json::parse(text, nullptr, false);
  if (file.is_discarded()) {
    Fail(path, "invalid JSON", "what lab capacity --fit writes");
  }
  SlopesReader reader(file, path + ": slopes");
  json fits, notes;
  reader.Read("rows", fits);
  reader.Read("runs", notes);
  reader.RequireNoOtherKeys();
  if (!fits.is_object()) {
    Fail(path + ": rows", "not an object", "a fit for each row");
  }
  if (!notes.is_array()) {
    Fail(path + ": runs", "not a list", "a note for each run");
  }
  CapacitySlopes slopes;
  for (const CapacityRow& row : rows.rows) {
    if (!IsMeasured(row.kind)) {
      continue;
    }
    const std::string location = fmt::format("{}: rows.{}", path, row.id);
    if (!fits.contains(row.id)) {
      Fail(location, "missing", "a fit of this row; make it with --fit");
    }
    slopes.fits[row.id] = ReadFit(fits[row.id], location, row);
  }
  for (const auto& [id, fit] : fits.items()) {
    if (slopes.fits.contains(id)) {
      continue;
    }
    Fail(fmt::format("{}: rows.{}", path, id), "no such row", "a row of " + rows.path);
  }
  for (const json& note : notes) {
    slopes.runs.push_back(ReadNote(note, fmt::format("{}: runs[{}]", path, slopes.runs.size())));
  }
  return slopes;
}

Capacity WeighCapacity(const CapacityTarget& target, const CapacityRows& rows,
                       const CapacitySlopes& slopes) {
  RequireAllKeysCovered(target, rows);
  Capacity capacity;
  for (const CapacityRow& row : rows.rows) {
    capacity.lines.push_back(EvaluateRow(row, target, slopes, capacity.lines));
  }
  std::ranges::stable_sort(capacity.lines, [](const CapacityLine& left, const CapacityLine& right) {
    return left.share_kind != right.share_kind ? left.share_kind < right.share_kind
                                               : left.share > right.share;
  });
  for (const CapacityAssumption& assumption : rows.assumptions) {
    capacity.assumptions.push_back(
        {assumption.what, assumption.unit, assumption.reason, Evaluate(assumption.value, target)});
  }
  capacity.runs = slopes.runs;
  return capacity;
}

std::string ToJson(const CapacitySlopes& slopes, const CapacityRows& rows) {
  ordered_json out;
  out["rows"] = ordered_json::object();
  for (const CapacityRow& row : rows.rows) {  // in the order of the rows file
    if (IsMeasured(row.kind)) {
      out["rows"][row.id] = ToJson(slopes.fits.at(row.id), row.kind);
    }
  }
  out["runs"] = ordered_json::array();
  for (const CapacityRunNote& note : slopes.runs) {
    out["runs"].push_back(ToJson(note));
  }
  return out.dump(1) + "\n";
}

std::string ToJson(const Capacity& capacity) {
  ordered_json out;
  out["rows"] = ordered_json::array();
  for (const CapacityLine& line : capacity.lines) {
    out["rows"].push_back(ToJson(line));
  }
  out["assumptions"] = ordered_json::array();
  for (const EvaluatedAssumption& assumption : capacity.assumptions) {
    out["assumptions"].push_back({{"what", assumption.what},
                                  {"value", assumption.value},
                                  {"unit", assumption.unit},
                                  {"why", assumption.reason}});
  }
  out["runs"] = ordered_json::array();
  for (const CapacityRunNote& note : capacity.runs) {
    out["runs"].push_back(ToJson(note));
  }
  return out.dump(1) + "\n";
}

std::string ToMarkdown(const Capacity& capacity) {
  return "## Steady state\n\n" + TableOf(capacity, "steady") + "\n## Moments\n\n" +
         TableOf(capacity, "moments") + "\n## A day's bytes\n\n" + TableOf(capacity, "day") +
         "\n## Assumptions\n\n" + AssumptionsOf(capacity) + "\n## What is not known\n\n" +
         UnknownOf(capacity) + "\n## Notes on rows\n\n" + NotesOf(capacity) +
         "\n## Runs behind the figures\n\n" + RunsOf(capacity, true) +
         "\n## Void and broken runs\n\n" + RunsOf(capacity, false);
}

std::string WithTables(const std::string& page, const std::string& tables,
                       const std::string& path) {
  const std::string begin_marker = "<!-- tables: begin -->\n", end_marker = "<!-- tables: end -->";
  const size_t begin_position = page.find(begin_marker), end_position = page.find(end_marker);
  if (begin_position == std::string::npos || end_position == std::string::npos ||
      end_position < begin_position) {
    Fail(path, "no markers for the tables",
         "the lines <!-- tables: begin --> and <!-- tables: end -->");
  }
  return page.substr(0, begin_position + begin_marker.size()) + "\n" + tables + "\n" +
         page.substr(end_position);
}

}  // namespace paddlestile::lab
