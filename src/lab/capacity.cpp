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

constexpr size_t kSizesOfALine = 3;  // fewer, each double the last or more, are an assumption

struct TargetKey {
  const char* key;
  double least, most;
  bool whole;
};
constexpr TargetKey kTargetKeys[] = {
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

bool Measured(CapacityKind kind) {
  return kind == CapacityKind::kSlope || kind == CapacityKind::kLimit;
}

std::string NameOf(CapacityKind kind) {
  return std::ranges::find(kKinds, kind, [](const auto& k) { return k.second; })->first;
}

[[noreturn]] void Fail(std::string_view place, std::string_view what, std::string_view expected) {
  throw CapacityError(fmt::format("{}: {}, expected {}", place, what, expected));
}

// ---- Reading TOML ---------------------------------------------------------------------------

toml::table ParseToml(std::string_view text, const std::string& path) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    Fail(fmt::format("{}:{}", path, error.source().begin.line), error.description(), "TOML");
  }
}

// A table of a file, whose keys are named with what stands before them.
class Reader {
 public:
  Reader(const std::string& path, const toml::table& table, std::string before)
      : path_(path), table_(table), before_(std::move(before)) {}

  [[nodiscard]] const toml::node* Get(std::string_view key) const { return table_.get(key); }
  [[nodiscard]] std::string Place(std::string_view key) const {
    const toml::node* const node = Get(key);
    const auto line = (node != nullptr ? *node : table_).source().begin.line;
    // What is missing from the file's outermost table is missing from no line of it.
    return line > 0 && (node != nullptr || !before_.empty())
               ? fmt::format("{}:{}: {}{}", path_, line, before_, key)
               : fmt::format("{}: {}{}", path_, before_, key);
  }
  void Known(const std::set<std::string>& keys) const {
    for (const auto& [key, node] : table_) {
      if (keys.contains(std::string(key.str()))) {
        continue;
      }
      Fail(Place(key.str()), "unknown key", fmt::format("one of {}", fmt::join(keys, ", ")));
    }
  }
  [[nodiscard]] std::string Text(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) {
      Fail(Place(key), "missing", "a text");
    }
    if (!node->is_string() || node->as_string()->get().empty()) {
      Fail(Place(key), "no text", "a text");
    }
    return node->as_string()->get();
  }
  [[nodiscard]] std::string TextOr(std::string_view key) const {
    return Get(key) != nullptr ? Text(key) : "";
  }
  [[nodiscard]] std::string OneOf(std::string_view key, const std::set<std::string>& words) const {
    std::string word = Text(key);
    if (!words.contains(word)) {
      Fail(Place(key), fmt::format("'{}'", word), fmt::format("one of {}", fmt::join(words, ", ")));
    }
    return word;
  }
  // A text, or a list of texts.
  [[nodiscard]] std::vector<std::string> Texts(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) {
      return {};
    }
    if (node->is_string()) {
      return {Text(key)};
    }
    std::vector<std::string> texts;
    const toml::array* const list = node->as_array();
    if (list == nullptr) {
      Fail(Place(key), "no list", "a list of texts");
    }
    for (const toml::node& item : *list) {
      if (!item.is_string()) {
        Fail(Place(key), "not all are texts", "a list of texts");
      }
      texts.push_back(item.as_string()->get());
    }
    return texts;
  }
  [[nodiscard]] std::optional<CapacityQuantity> Quantity(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) {
      return std::nullopt;
    }
    if (node->is_string()) {
      return CapacityQuantity{Text(key), Place(key)};
    }
    const auto number = node->value<double>();
    if (!node->is_number() || !number) {
      Fail(Place(key), "neither number nor text", "a number or figures of the target");
    }
    return CapacityQuantity{fmt::format("{}", *number), Place(key)};
  }
  // A plain value as a run would have it, as JSON.
  [[nodiscard]] std::string Plain(std::string_view key) const {
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
    Fail(Place(key), "no plain value", "a number, a text, true or false");
  }

 private:
  const std::string& path_;
  const toml::table& table_;
  std::string before_;
};

void NeedPointer(const std::string& pointer, const std::string& place) {
  if (pointer.starts_with('/')) {
    return;
  }
  Fail(place, fmt::format("'{}'", pointer), "a pointer such as /leader/cpu_core");
}

std::map<std::string, std::string> Where(const std::string& path, const toml::table& at,
                                         const Reader& read, const std::string& before) {
  std::map<std::string, std::string> where;
  const toml::node* const node = at.get("where");
  if (node == nullptr) {
    return where;
  }
  if (!node->is_table()) {
    Fail(read.Place("where"), "no table", "pointer = value");
  }
  const Reader inner(path, *node->as_table(), before + "where.");
  for (const auto& [key, value] : *node->as_table()) {
    NeedPointer(std::string(key.str()), inner.Place(key.str()));
    where.emplace(key.str(), inner.Plain(key.str()));
  }
  return where;
}

void NeedKeys(const Reader& read, CapacityKind kind) {
  const auto need = [&](std::string_view key, std::string_view expected) {
    if (read.Get(key) == nullptr) {
      Fail(read.Place(key), "missing", expected);
    }
  };
  if (Measured(kind)) {
    need("figure", "a pointer into a run");
    need("by", "a pointer to the size");
    need("size", "the size at the target");
  }
  if (kind == CapacityKind::kLimit) {
    need("holds", "the figure's value where the bound is met");
  }
  if (kind == CapacityKind::kSum) {
    need("whole", "rows to add");
  }
}

CapacityRow ReadRow(const std::string& path, const toml::table& at, size_t index) {
  const std::string before = fmt::format("row[{}].", index);
  const Reader read(path, at, before);
  read.Known({"id", "role", "what", "unit", "figure", "by", "where", "holds", "size", "times",
              "allowed", "kind", "whole", "growth", "mechanism", "table", "covers", "note"});
  CapacityRow row;
  row.id = read.Text("id");
  row.role = read.OneOf("role", kRoles);
  row.what = read.Text("what");
  row.unit = read.TextOr("unit");
  row.mechanism = read.Text("mechanism");
  row.table = read.OneOf("table", kTables);
  row.note = read.TextOr("note");
  std::set<std::string> kinds;
  for (const auto& [name, kind] : kKinds) {
    kinds.insert(name);
  }
  row.kind = kKinds.at(read.OneOf("kind", kinds));
  NeedKeys(read, row.kind);
  row.figure = read.Texts("figure");
  for (const std::string& pointer : row.figure) {
    NeedPointer(pointer, read.Place("figure"));
  }
  row.by = read.TextOr("by");
  if (!row.by.empty()) {
    NeedPointer(row.by, read.Place("by"));
  }
  row.where = Where(path, at, read, before);
  row.holds = read.Plain("holds");
  row.size = read.Quantity("size");
  row.times = read.Quantity("times");
  row.allowed = read.Quantity("allowed");
  row.whole = read.Texts("whole");
  row.growth = read.Texts("growth");
  row.covers = read.Texts("covers");
  return row;
}

CapacityAssumption ReadAssumption(const std::string& path, const toml::table& at, size_t index) {
  const Reader read(path, at, fmt::format("assumption[{}].", index));
  read.Known({"what", "unit", "value", "why", "covers"});
  CapacityAssumption assumption;
  assumption.what = read.Text("what");
  assumption.unit = read.TextOr("unit");
  assumption.why = read.Text("why");
  const auto value = read.Quantity("value");
  if (!value) {
    Fail(read.Place("value"), "missing", "a number or figures of the target");
  }
  assumption.value = *value;
  assumption.covers = read.Texts("covers");
  return assumption;
}

template <typename Item>
std::vector<Item> ReadTables(const std::string& path, const toml::table& file, std::string_view key,
                             Item (*read)(const std::string&, const toml::table&, size_t)) {
  std::vector<Item> items;
  const Reader top(path, file, "");
  const toml::node* const node = top.Get(key);
  if (node == nullptr) {
    return items;
  }
  const toml::array* const list = node->as_array();
  if (list == nullptr) {
    Fail(top.Place(key), "no list", fmt::format("[[{}]], one each", key));
  }
  for (const toml::node& item : *list) {
    if (!item.is_table()) {
      Fail(top.Place(key), "no table", fmt::format("[[{}]], one each", key));
    }
    items.push_back(read(path, *item.as_table(), items.size()));
  }
  return items;
}

// Rows are found by their ids, and a sum adds what stands above it.
void CheckIds(const CapacityRows& rows) {
  std::set<std::string> above;
  for (const CapacityRow& row : rows.rows) {
    const std::string place = fmt::format("{}: row '{}'", rows.path, row.id);
    for (const auto* ids : {&row.whole, &row.growth}) {
      for (const std::string& id : *ids) {
        if (!above.contains(id)) {
          Fail(place, fmt::format("no row '{}'", id), "rows above it");
        }
      }
    }
    if (!above.insert(row.id).second) {
      Fail(place, "twice", "an id of its own");
    }
  }
}

// ---- Quantities -----------------------------------------------------------------------------

double Term(const std::string& word, const CapacityQuantity& q, const CapacityTarget& target) {
  if (const auto found = target.figures.find(word); found != target.figures.end()) {
    return found->second;
  }
  double number = 0;
  const char* const end = word.data() + word.size();
  const auto read = std::from_chars(word.data(), end, number);
  if (read.ec != std::errc() || read.ptr != end) {
    Fail(q.place, fmt::format("'{}'", word), "a number or a key of " + target.path);
  }
  return number;
}

double Evaluate(const CapacityQuantity& q, const CapacityTarget& target) {
  std::istringstream words(q.text);
  std::string word;
  const auto next = [&] {
    if (!(words >> word)) {
      Fail(q.place, fmt::format("'{}'", q.text), "a term at its end");
    }
    return Term(word, q, target);
  };
  double sum = 0, product = next();
  while (words >> word) {
    if (word == "*") {
      product *= next();
    } else if (word == "/") {
      product /= next();
    } else if (word == "+") {
      sum += product;
      product = next();
    } else {
      Fail(q.place, fmt::format("'{}'", word), "*, / or + between terms");
    }
  }
  return sum + product;
}

std::optional<double> Evaluate(const std::optional<CapacityQuantity>& q,
                               const CapacityTarget& target) {
  return q ? std::optional(Evaluate(*q, target)) : std::nullopt;
}

// ---- Runs -----------------------------------------------------------------------------------

// The entry whose rate is nearest: one that is half of it away was measured at something else.
const json* Nearest(const json& list, double rate) {
  const json* nearest = nullptr;
  double least = rate / 2;
  for (const json& entry : list) {
    if (!entry.is_object() || !entry.contains("rate") || !entry["rate"].is_number()) {
      continue;
    }
    const double away = std::abs(entry["rate"].get<double>() - rate);
    if (away > least || (nearest != nullptr && away == least)) {
      continue;
    }
    nearest = &entry;
    least = away;
  }
  return nearest;
}

// What a pointer leads to, or null; "@160" is the entry of a list whose rate is nearest to 160.
const json* Follow(const json& value, const std::string& pointer) {
  const json* at = &value;
  std::istringstream steps(pointer.substr(1));
  for (std::string step; at != nullptr && std::getline(steps, step, '/');) {
    if (step.starts_with('@') && at->is_array()) {
      at = Nearest(*at, std::strtod(step.c_str() + 1, nullptr));
    } else {
      at = at->is_object() && at->contains(step) ? &(*at)[step] : nullptr;
    }
  }
  return at == nullptr || at->is_null() ? nullptr : at;
}

std::optional<double> NumberAt(const CapacityRun& run, const std::string& pointer) {
  const json* const value = Follow(run.result, pointer);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_number()) {
    Fail(run.file + ": " + pointer, "no number", "a number or null");
  }
  return value->get<double>();
}

bool Counts(const CapacityRow& row, const CapacityRun& run) {
  return std::ranges::all_of(row.where, [&](const auto& need) {
    const json* const value = Follow(run.result, need.first);
    return value != nullptr && *value == json::parse(need.second);
  });
}

std::string VerdictOf(const CapacityRun& run) {
  return run.result.at("verdict");
}

// One run's word on one row.
struct Point {
  double size = 0, figure = 0;
  const CapacityRun* run = nullptr;
};

std::optional<double> SlopeFigure(const CapacityRow& row, const CapacityRun& run) {
  if (VerdictOf(run) != "held") {
    return std::nullopt;
  }
  double sum = 0;
  for (const std::string& pointer : row.figure) {
    const auto part = NumberAt(run, pointer);
    if (!part) {
      return std::nullopt;
    }
    sum += *part;
  }
  return sum;
}

// 1 where the bound was met, 0 where not. A broken run shows the latter alone: that something held
// in it as well says nothing.
std::optional<double> LimitFigure(const CapacityRow& row, const CapacityRun& run) {
  const json* const value = Follow(run.result, row.figure.front());
  if (value == nullptr || VerdictOf(run) == "void") {
    return std::nullopt;
  }
  if (*value != json::parse(row.holds)) {
    return 0.0;
  }
  return VerdictOf(run) == "held" ? std::optional(1.0) : std::nullopt;
}

std::vector<Point> PointsOf(const CapacityRow& row, const std::vector<CapacityRun>& runs) {
  std::vector<Point> points;
  for (const CapacityRun& run : runs) {
    const auto size = NumberAt(run, row.by);
    if (!size || !Counts(row, run)) {
      continue;
    }
    // What went wrong with none at all did not go wrong by their number.
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

// How many of the sizes are at least double the one before: what a line may rest on.
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

bool Assumed(const CapacityFit& fit) {
  return DoubledSizes(fit.sizes) < kSizesOfALine;
}

double Rounded(double value) {
  return std::stod(fmt::format("{:.4g}", value));
}

// What the machine's own rounding leaves of figures as large as `of` is nothing, on any machine.
double Rounded(double value, double of) {
  return std::abs(value) < 1e-9 * of ? 0 : Rounded(value);
}

std::map<double, std::vector<double>> BySize(const std::vector<Point>& points) {
  std::map<double, std::vector<double>> sizes;
  for (const Point& p : points) {
    sizes[p.size].push_back(p.figure);
  }
  for (auto& [size, figures] : sizes) {
    std::ranges::sort(figures);
  }
  return sizes;
}

std::optional<double> SpreadOf(const std::map<double, std::vector<double>>& sizes) {
  std::optional<double> widest;
  for (const auto& [size, sorted] : sizes) {
    const size_t n = sorted.size();
    const double median = (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
    if (n < 2 || median == 0) {
      continue;
    }
    widest = std::max(widest.value_or(0), (sorted.back() - sorted.front()) / std::abs(median));
  }
  return widest;
}

void FitLine(const std::vector<Point>& points, CapacityFit& fit) {
  const auto n = static_cast<double>(points.size());
  double mean_size = 0, mean = 0;
  for (const Point& p : points) {
    mean_size += p.size / n;
    mean += p.figure / n;
  }
  double across = 0, along = 0;
  for (const Point& p : points) {
    across += (p.size - mean_size) * (p.size - mean_size);
    along += (p.size - mean_size) * (p.figure - mean);
  }
  // No cost falls as the fleet grows: a line that does is noise, and would promise room.
  const double slope = across > 0 ? std::max(0.0, along / across) : 0;
  const double fixed = mean - slope * mean_size;
  double squares = 0, largest = 0, largest_size = 0;
  for (const Point& p : points) {
    squares += std::pow(p.figure - fixed - slope * p.size, 2);
    largest = std::max(largest, std::abs(p.figure));
    largest_size = std::max(largest_size, p.size);
  }
  fit.fixed = Rounded(fixed, largest);
  if (across > 0) {
    fit.slope = Rounded(slope, largest / largest_size);
  }
  fit.residue = Rounded(std::sqrt(squares / n), largest);
}

void FitLimit(const std::vector<Point>& points, CapacityFit& fit) {
  for (const Point& p : points) {
    if (p.figure == 0) {
      fit.broken_from = std::min(fit.broken_from.value_or(p.size), p.size);
    }
  }
  for (const Point& p : points) {
    if (p.figure == 0 || (fit.broken_from && p.size >= *fit.broken_from)) {
      continue;
    }
    fit.held_to = std::max(fit.held_to.value_or(0), p.size);
  }
}

CapacityFit FitRow(const CapacityRow& row, const std::vector<CapacityRun>& runs) {
  CapacityFit fit;
  const std::vector<Point> points = PointsOf(row, runs);
  const auto sizes = BySize(points);
  for (const auto& [size, figures] : sizes) {
    fit.sizes.push_back(size);
    fit.runs.push_back(figures.size());
  }
  for (const Point& p : points) {
    fit.files.push_back(p.run->file);
    fit.seeds.push_back(p.run->result.at("seed").get<uint64_t>());
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

std::string Why(const json& result) {
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

void CheckRun(const CapacityRun& run, const std::string& path) {
  const auto need = [&](const char* key, bool good, std::string_view expected) {
    if (!run.result.contains(key)) {
      Fail(fmt::format("{}: {}", path, key), "missing", expected);
    }
    if (!good) {
      Fail(fmt::format("{}: {}", path, key), "wrong value", expected);
    }
  };
  if (!run.result.is_object()) {
    Fail(path, "no object", "what a lab command wrote with --json");
  }
  const json& r = run.result;
  need("command", r.contains("command") && r["command"].is_string(), "a text");
  need("commit", r.contains("commit") && r["commit"].is_string(), "a text");
  need("seed", r.contains("seed") && r["seed"].is_number_unsigned(), "a whole number");
  const bool has_verdict = r.contains("verdict") && r["verdict"].is_string() &&
                           ParseVerdict(r["verdict"].get<std::string>()).has_value();
  need("verdict", has_verdict, "held, broken or void");
  if (!r.contains("members") && !r.contains("hosts")) {
    Fail(path + ": members", "missing, and hosts as well", "one of them, the run's size");
  }
}

// ---- Slopes as JSON -------------------------------------------------------------------------

template <typename Value>
ordered_json Maybe(const std::optional<Value>& value) {
  return value ? ordered_json(*value) : ordered_json(nullptr);
}

ordered_json ToJson(const CapacityFit& fit, CapacityKind kind) {
  ordered_json out;
  out["kind"] = NameOf(kind);
  out["sizes"] = fit.sizes;
  out["runs"] = fit.runs;
  if (kind == CapacityKind::kLimit) {
    out["held_to"] = Maybe(fit.held_to);
    out["broken_from"] = Maybe(fit.broken_from);
  } else {
    out["fixed"] = Maybe(fit.fixed);
    out["slope"] = Maybe(fit.slope);
    out["residue"] = Maybe(fit.residue);
    out["spread"] = Maybe(fit.spread);
  }
  out["assumption"] = Assumed(fit);
  out["files"] = fit.files;
  out["seeds"] = fit.seeds;
  return out;
}

// Keys of one object of the slopes, each of which must be there and known.
class SlopesReader {
 public:
  SlopesReader(const json& object, std::string place) : object_(object), place_(std::move(place)) {
    if (!object_.is_object()) {
      Fail(place_, "no object", "what lab capacity --fit writes");
    }
  }
  template <typename Value>
  void Take(const std::string& key, Value& value) {
    known_.insert(key);
    const auto found = object_.find(key);
    if (found == object_.end()) {
      Fail(place_ + "." + key, "missing", "what --fit writes");
    }
    try {
      value = found->get<Value>();
    } catch (const json::exception&) {
      Fail(place_ + "." + key, "wrong type", "what --fit writes");
    }
  }
  void Take(const std::string& key, std::optional<double>& value) {
    json plain;
    Take(key, plain);
    if (plain.is_null()) {
      return;
    }
    if (!plain.is_number()) {
      Fail(place_ + "." + key, "wrong type", "a number or null");
    }
    value = plain.get<double>();
  }
  void End() const {
    for (const auto& [key, value] : object_.items()) {
      if (!known_.contains(key)) {
        Fail(place_ + "." + key, "unknown key", "what --fit writes");
      }
    }
  }

 private:
  const json& object_;
  std::string place_;
  std::set<std::string> known_;
};

CapacityFit ReadFit(const json& object, const std::string& place, const CapacityRow& row) {
  SlopesReader read(object, place);
  CapacityFit fit;
  std::string kind;
  bool assumption = false;
  read.Take("kind", kind);
  if (kind != NameOf(row.kind)) {
    Fail(place + ".kind", "'" + kind + "'", NameOf(row.kind));
  }
  read.Take("sizes", fit.sizes);
  read.Take("runs", fit.runs);
  if (row.kind == CapacityKind::kLimit) {
    read.Take("held_to", fit.held_to);
    read.Take("broken_from", fit.broken_from);
  } else {
    read.Take("fixed", fit.fixed);
    read.Take("slope", fit.slope);
    read.Take("residue", fit.residue);
    read.Take("spread", fit.spread);
  }
  read.Take("assumption", assumption);
  read.Take("files", fit.files);
  read.Take("seeds", fit.seeds);
  read.End();
  return fit;
}

CapacityRunNote ReadNote(const json& object, const std::string& place) {
  SlopesReader read(object, place);
  CapacityRunNote note;
  read.Take("file", note.file);
  read.Take("command", note.command);
  read.Take("commit", note.commit);
  read.Take("seed", note.seed);
  read.Take("verdict", note.verdict);
  read.Take("why", note.why);
  read.End();
  return note;
}

// ---- Weighing -------------------------------------------------------------------------------

void WeighSlope(CapacityLine& line) {
  const CapacityFit& fit = line.fit;
  if (!fit.fixed || !line.size) {
    return;
  }
  const double times = line.times.value_or(1);
  // One size says nothing of larger ones.
  if (!fit.slope && *line.size > fit.sizes.back()) {
    return;
  }
  line.growth = fit.slope.value_or(0) * *line.size * times;
  line.at_target = *fit.fixed * times + *line.growth;
}

void WeighSum(CapacityLine& line, const std::vector<CapacityLine>& above) {
  const auto find = [&](const std::string& id) -> const CapacityLine& {
    return *std::ranges::find(above, id, [](const CapacityLine& l) { return l.row.id; });
  };
  std::optional<double> sum = 0;
  const auto add = [&](const CapacityLine& part, std::optional<double> figure) {
    sum = sum && figure ? std::optional(*sum + *figure) : std::nullopt;
    line.assumed |= part.assumed;
    if (part.past) {
      line.past = std::max(line.past.value_or(0), *part.past);
    }
  };
  for (const std::string& id : line.row.whole) {
    add(find(id), find(id).at_target);
  }
  for (const std::string& id : line.row.growth) {
    add(find(id), find(id).growth);
  }
  line.at_target = sum;
}

ShareKind ShareKindOf(const CapacityLine& line) {
  const bool limit = line.row.kind == CapacityKind::kLimit;
  // A limit that ends below the smallest size that was tried is as if there were nothing.
  const bool never = limit && line.fit.broken_from && !line.fit.held_to;
  if (line.row.kind == CapacityKind::kNone || never) {
    return ShareKind::kNone;
  }
  if (line.allowed && line.at_target) {
    return ShareKind::kKnown;
  }
  const bool weighed = line.allowed || limit || line.row.kind == CapacityKind::kUnknown;
  return weighed ? ShareKind::kUnknown : ShareKind::kTold;
}

CapacityLine Weigh(const CapacityRow& row, const CapacityTarget& target,
                   const CapacitySlopes& slopes, const std::vector<CapacityLine>& above) {
  CapacityLine line;
  line.row = row;
  line.size = Evaluate(row.size, target);
  line.times = Evaluate(row.times, target);
  line.allowed = Evaluate(row.allowed, target);
  if (Measured(row.kind)) {
    line.fit = slopes.fits.at(row.id);
    line.assumed = Assumed(line.fit);
    if (!line.fit.sizes.empty() && line.fit.sizes.back() > 0) {
      line.largest_measured = line.fit.sizes.back();
      line.past = *line.size / *line.largest_measured;
    }
  }
  if (row.kind == CapacityKind::kSlope) {
    WeighSlope(line);
  }
  if (row.kind == CapacityKind::kSum) {
    WeighSum(line, above);
  }
  if (row.kind == CapacityKind::kNone) {
    line.at_target = line.size;
  }
  if (row.kind == CapacityKind::kLimit) {
    line.at_target = line.size;
    line.allowed = line.fit.held_to;
  }
  line.share_kind = ShareKindOf(line);
  if (line.share_kind == ShareKind::kKnown) {
    line.share = *line.at_target / *line.allowed;
  }
  return line;
}

void CheckCovered(const CapacityTarget& target, const CapacityRows& rows) {
  std::set<std::string> covered;
  const auto add = [&](const std::vector<std::string>& keys, const std::string& of) {
    for (const std::string& key : keys) {
      if (!target.figures.contains(key)) {
        Fail(fmt::format("{}: {}: covers", rows.path, of), fmt::format("'{}'", key),
             "a key of " + target.path);
      }
      covered.insert(key);
    }
  };
  for (const CapacityRow& row : rows.rows) {
    add(row.covers, "row '" + row.id + "'");
  }
  for (const CapacityAssumption& a : rows.assumptions) {
    add(a.covers, "assumption '" + a.what + "'");
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

std::string Show(double value) {
  if (std::abs(value) < 1000) {
    return fmt::format("{:.3g}", value);
  }
  std::string digits = fmt::format("{:.0f}", std::abs(value));
  for (size_t at = digits.size(); at > 3; at -= 3) {
    digits.insert(at - 3, ",");
  }
  return (value < 0 ? "-" : "") + digits;
}

std::string Show(const std::optional<double>& value) {
  return value ? Show(*value) : "-";
}

template <typename Values>
std::string ShowAll(const Values& values) {
  std::vector<std::string> texts;
  texts.reserve(values.size());
  for (const auto& value : values) {
    texts.push_back(Show(static_cast<double>(value)));
  }
  return texts.empty() ? "-" : fmt::format("{}", fmt::join(texts, "; "));
}

std::string ShowShare(const CapacityLine& line) {
  switch (line.share_kind) {
    case ShareKind::kNone:
      return "**none**";
    case ShareKind::kUnknown:
      return "not known";
    case ShareKind::kTold:
      return "told";
    case ShareKind::kKnown:
      break;
  }
  const std::string share = Show(line.share) + (line.assumed ? " (assumption)" : "");
  return line.share > 1 ? "**" + share + "**" : share;
}

// As it stands behind a multiplication.
std::string Factor(const CapacityQuantity& q) {
  return q.text.find(' ') == std::string::npos ? q.text : "(" + q.text + ")";
}

std::string ShowLine(const CapacityLine& line) {
  const CapacityFit& fit = line.fit;
  const CapacityRow& row = line.row;
  if (row.kind == CapacityKind::kSum) {
    std::vector<std::string> parts = row.whole;
    for (const std::string& id : row.growth) {
      parts.push_back("growth of " + id);
    }
    return fmt::format("{}", fmt::join(parts, " + "));
  }
  if (row.kind == CapacityKind::kLimit) {
    if (!fit.held_to && !fit.broken_from) {
      return "-";
    }
    return fmt::format("held to {}, broken from {}", Show(fit.held_to), Show(fit.broken_from));
  }
  if (!fit.fixed) {
    return "-";
  }
  std::string text = Show(*fit.fixed);
  if (fit.slope) {
    text += fmt::format(" + {} x {}", Show(*fit.slope), Factor(*row.size));
  }
  if (row.times) {
    text = fmt::format("({}) x {}", text, Factor(*row.times));
  }
  return text + fmt::format(", off by {}", Show(*fit.residue));
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
    text += fmt::format("| {} | {}{} | {} | {} | {} | {} | {} | {} | {} | {} | {} | `{}` |\n",
                        row.role, row.what, row.unit.empty() ? "" : ", " + row.unit,
                        Show(line.at_target), Show(line.allowed), ShowShare(line), ShowLine(line),
                        ShowAll(line.fit.sizes), ShowAll(line.fit.runs),
                        line.fit.spread ? fmt::format("{:.0f}%", *line.fit.spread * 100) : "-",
                        line.past ? Show(*line.past) + " x" : "-", row.mechanism, row.id);
  }
  return text;
}

std::string AssumptionsOf(const Capacity& capacity) {
  std::string text = "| what | value | why |\n| --- | --- | --- |\n";
  for (const CapacityAssumed& a : capacity.assumptions) {
    text += fmt::format("| {} | {}{} | {} |\n", a.what, Show(a.value),
                        a.unit.empty() ? "" : " " + a.unit, a.why);
  }
  for (const CapacityLine& line : capacity.lines) {
    if (!line.assumed || line.fit.sizes.empty()) {
      continue;
    }
    text += fmt::format(
        "| {}: {} (`{}`) | {} {} | measured at {} alone, not at three sizes, each "
        "double the last or more |\n",
        line.row.role, line.row.what, line.row.id, Show(line.at_target), line.row.unit,
        ShowAll(line.fit.sizes));
  }
  return text;
}

std::string UnknownOf(const Capacity& capacity) {
  std::string text = "| role | what | what would have to be measured |\n| --- | --- | --- |\n";
  for (const CapacityLine& line : capacity.lines) {
    const CapacityRow& row = line.row;
    if (row.kind == CapacityKind::kUnknown) {
      text += fmt::format("| {} | {} (`{}`) | {} |\n", row.role, row.what, row.id, row.note);
    } else if (Measured(row.kind) && line.fit.sizes.empty()) {
      std::vector<std::string> where;
      for (const auto& [pointer, value] : row.where) {
        where.push_back(fmt::format("`{}` = {}", pointer, value));
      }
      text += fmt::format("| {} | {} (`{}`) | `{}` by `{}`{}{} |\n", row.role, row.what, row.id,
                          fmt::join(row.figure, "` + `"), row.by, where.empty() ? "" : " where ",
                          fmt::join(where, ", "));
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

std::string RunsOf(const Capacity& capacity, bool good) {
  std::string text = good ? "| run | command | commit | seed |\n| --- | --- | --- | --- |\n"
                          : "| run | verdict | why |\n| --- | --- | --- |\n";
  size_t count = 0;
  for (const CapacityRunNote& run : capacity.runs) {
    if ((run.verdict == "held") != good) {
      continue;
    }
    ++count;
    text +=
        good ? fmt::format("| {} | `{}` | {} | {} |\n", run.file, run.command, run.commit, run.seed)
             : fmt::format("| {} | {} | {} |\n", run.file, run.verdict, run.why);
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
  out["at_target"] = Maybe(line.at_target);
  out["allowed"] = Maybe(line.allowed);
  out["share"] = line.share_kind == ShareKind::kKnown  ? ordered_json(line.share)
                 : line.share_kind == ShareKind::kNone ? ordered_json("none")
                                                       : ordered_json(nullptr);
  out["mechanism"] = line.row.mechanism;
  out["largest_measured"] = Maybe(line.largest_measured);
  out["target_size"] = Maybe(line.size);
  out["past_largest"] = Maybe(line.past);
  out["assumption"] = line.assumed;
  out["sizes"] = line.fit.sizes;
  out["runs"] = line.fit.runs;
  out["fixed"] = Maybe(line.fit.fixed);
  out["slope"] = Maybe(line.fit.slope);
  out["residue"] = Maybe(line.fit.residue);
  out["spread"] = Maybe(line.fit.spread);
  out["held_to"] = Maybe(line.fit.held_to);
  out["broken_from"] = Maybe(line.fit.broken_from);
  out["files"] = line.fit.files;
  return out;
}

ordered_json ToJson(const CapacityRunNote& note) {
  return {{"file", note.file}, {"command", note.command}, {"commit", note.commit},
          {"seed", note.seed}, {"verdict", note.verdict}, {"why", note.why}};
}

}  // namespace

CapacityTarget ParseTarget(std::string_view text, const std::string& path) {
  const toml::table file = ParseToml(text, path);
  CapacityTarget target{path, {}, {}};
  std::set<std::string> top = {"control_gateway"}, inner;
  for (const TargetKey& known : kTargetKeys) {
    const std::string key = known.key;
    const size_t dot = key.find('.');
    (dot == std::string::npos ? top : inner).insert(key.substr(dot + 1));
  }
  const Reader read(path, file, "");
  read.Known(top);
  const toml::node* const node = read.Get("control_gateway");
  if (node == nullptr) {
    Fail(read.Place("control_gateway"), "missing", "a table");
  }
  if (!node->is_table()) {
    Fail(read.Place("control_gateway"), "no table", "a table");
  }
  const Reader control(path, *node->as_table(), "control_gateway.");
  control.Known(inner);
  for (const TargetKey& known : kTargetKeys) {
    const std::string name = known.key;
    const size_t dot = name.find('.');
    const std::string key = name.substr(dot + 1);
    const Reader& from = dot == std::string::npos ? read : control;
    const std::string expected = fmt::format("a {}number from {} to {}",
                                             known.whole ? "whole " : "", known.least, known.most);
    const toml::node* const found = from.Get(key);
    if (found == nullptr) {
      Fail(from.Place(key), "missing", expected);
    }
    const auto value = found->is_number() ? found->value<double>() : std::nullopt;
    if (!value || (known.whole && !found->is_integer())) {
      Fail(from.Place(key), known.whole ? "no whole number" : "no number", expected);
    }
    if (!(*value >= known.least && *value <= known.most)) {
      Fail(from.Place(key), fmt::format("{} is out of range", *value), expected);
    }
    target.figures[name] = *value;
    target.lines[name] = found->source().begin.line;
  }
  return target;
}

CapacityRows ParseRows(std::string_view text, const std::string& path) {
  const toml::table file = ParseToml(text, path);
  Reader(path, file, "").Known({"row", "assumption"});
  CapacityRows rows{path, ReadTables(path, file, "row", &ReadRow),
                    ReadTables(path, file, "assumption", &ReadAssumption)};
  CheckIds(rows);
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
      Fail(path, "no JSON", "what a lab command wrote with --json");
    }
    CheckRun(run, path);
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
    if (Measured(row.kind)) {
      slopes.fits[row.id] = FitRow(row, runs);
    }
  }
  for (const CapacityRun& run : runs) {
    const json& r = run.result;
    slopes.runs.push_back({run.file, r.at("command"), r.at("commit"), r.at("verdict"), Why(r),
                           r.at("seed").get<uint64_t>()});
  }
  return slopes;
}

CapacitySlopes ParseSlopes(std::string_view text, const std::string& path,
                           const CapacityRows& rows) {
  const json file = json::parse(text, nullptr, false);
  if (file.is_discarded()) {
    Fail(path, "no JSON", "what lab capacity --fit writes");
  }
  SlopesReader read(file, path + ": slopes");
  json fits, notes;
  read.Take("rows", fits);
  read.Take("runs", notes);
  read.End();
  if (!fits.is_object()) {
    Fail(path + ": rows", "no object", "a fit for each row");
  }
  if (!notes.is_array()) {
    Fail(path + ": runs", "no list", "a note for each run");
  }
  CapacitySlopes slopes;
  for (const CapacityRow& row : rows.rows) {
    if (!Measured(row.kind)) {
      continue;
    }
    const std::string place = fmt::format("{}: rows.{}", path, row.id);
    if (!fits.contains(row.id)) {
      Fail(place, "missing", "a fit of this row; make it with --fit");
    }
    slopes.fits[row.id] = ReadFit(fits[row.id], place, row);
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
  CheckCovered(target, rows);
  Capacity capacity;
  for (const CapacityRow& row : rows.rows) {
    capacity.lines.push_back(Weigh(row, target, slopes, capacity.lines));
  }
  std::ranges::stable_sort(capacity.lines, [](const CapacityLine& a, const CapacityLine& b) {
    return a.share_kind != b.share_kind ? a.share_kind < b.share_kind : a.share > b.share;
  });
  for (const CapacityAssumption& a : rows.assumptions) {
    capacity.assumptions.push_back({a.what, a.unit, a.why, Evaluate(a.value, target)});
  }
  capacity.runs = slopes.runs;
  return capacity;
}

std::string ToJson(const CapacitySlopes& slopes, const CapacityRows& rows) {
  ordered_json out;
  out["rows"] = ordered_json::object();
  for (const CapacityRow& row : rows.rows) {  // in the order of the rows' file
    if (Measured(row.kind)) {
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
  for (const CapacityAssumed& a : capacity.assumptions) {
    out["assumptions"].push_back(
        {{"what", a.what}, {"value", a.value}, {"unit", a.unit}, {"why", a.why}});
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
  const std::string begin = "<!-- tables: begin -->\n", end = "<!-- tables: end -->";
  const size_t from = page.find(begin), to = page.find(end);
  if (from == std::string::npos || to == std::string::npos || to < from) {
    Fail(path, "no place for the tables",
         "the lines <!-- tables: begin --> and <!-- tables: end -->");
  }
  return page.substr(0, from + begin.size()) + "\n" + tables + "\n" + page.substr(to);
}

}  // namespace paddlestile::lab
