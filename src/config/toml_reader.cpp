#include "config/toml_reader.h"

#include <cmath>

namespace paddlestile {
namespace {

constexpr double kMaxDurationSeconds = 3600;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;

std::optional<double> NumberOf(const toml::node& node) {
  if (node.is_integer()) {
    return static_cast<double>(*node.value_exact<int64_t>());
  }
  if (node.is_floating_point()) {
    return node.value_exact<double>();
  }
  return std::nullopt;
}

}  // namespace

void TomlFaults::Add(const toml::node* node, std::string_view key, std::string_view what,
                     std::string_view expected) {
  const auto line = node != nullptr ? node->source().begin.line : 0;
  const std::string place = line > 0 ? fmt::format("{}:{}", path_, line) : path_;
  lines_.push_back(fmt::format("{}: {}: {}, expected {}", place, key, what, expected));
}

std::optional<toml::table> TomlFaults::Parse(std::string_view text) {
  try {
    return toml::parse(text, path_);
  } catch (const toml::parse_error& error) {
    lines_.push_back(fmt::format("{}:{}: {}, expected TOML", path_, error.source().begin.line,
                                 error.description()));
    return std::nullopt;
  }
}

TomlTable::~TomlTable() {
  if (!unknown_reported_) {
    ReportUnknownKeys(known_);
  }
}

const toml::node* TomlTable::Get(std::string_view key) {
  known_.insert(std::string(key));
  return table_.get(key);
}

std::string TomlTable::Path(std::string_view key) const {
  return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

void TomlTable::Fault(std::string_view key, std::string_view what, std::string_view expected) {
  const toml::node* const node = table_.get(key);
  faults_.Add(node != nullptr ? node : &table_, Path(key), what, expected);
}

void TomlTable::FaultAt(const toml::node* node, std::string_view key, std::string_view what,
                        std::string_view expected) {
  faults_.Add(node, key, what, expected);
}

void TomlTable::ReportUnknownKeys(const std::set<std::string>& known) {
  unknown_reported_ = true;
  for (const auto& [key, node] : table_) {
    if (!known.contains(std::string(key.str()))) {
      faults_.Add(&node, Path(key.str()), "unknown key",
                  fmt::format("one of {}", fmt::join(known, ", ")));
    }
  }
}

void TomlTable::Read(std::string_view key, double& value, double min, double max) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  const auto number = NumberOf(*node);
  if (!number || !(*number >= min && *number <= max)) {
    return faults_.Add(node, Path(key), "out of range or not a number",
                       fmt::format("a number from {} to {}", min, max));
  }
  value = *number;
}

void TomlTable::Read(std::string_view key, std::optional<double>& value, double min, double max) {
  if (Get(key) == nullptr) {
    return;
  }
  double number = min;
  Read(key, number, min, max);
  value = number;
}

void TomlTable::Read(std::string_view key, bool& value) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  if (!node->is_boolean()) {
    return faults_.Add(node, Path(key), "not a boolean", "true or false");
  }
  value = *node->value_exact<bool>();
}

void TomlTable::Read(std::string_view key, std::string& value) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  if (!node->is_string()) {
    return faults_.Add(node, Path(key), "not a string", "a quoted string");
  }
  value = *node->value_exact<std::string>();
}

void TomlTable::ReadDuration(std::string_view key, Duration& value, double unit_us, double max) {
  double units = static_cast<double>(value.count()) / unit_us;
  Read(key, units, 0, max);
  value = Duration(std::llround(units * unit_us));
}

void TomlTable::ReadSeconds(std::string_view key, Duration& value) {
  ReadDuration(key, value, kMicrosPerSecond, kMaxDurationSeconds);
}

void TomlTable::ReadMillis(std::string_view key, Duration& value) {
  ReadDuration(key, value, kMicrosPerMilli, kMaxDurationSeconds * 1000);
}

void TomlTable::ReadRange(std::string_view key, double& low, double& high, double min, double max) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  std::optional<double> first;
  std::optional<double> last;
  const toml::array* const both = node->as_array();
  if (both != nullptr && both->size() == 2) {
    first = NumberOf(*both->get(0));
    last = NumberOf(*both->get(1));
  } else {
    first = NumberOf(*node);
    last = first;
  }
  if (!first || !last || !(*first >= min && *first <= *last && *last <= max)) {
    return faults_.Add(node, Path(key), "not a valid range",
                       fmt::format("a number, or [low, high], from {} to {}", min, max));
  }
  low = *first;
  high = *last;
}

std::string TomlTable::RequireText(std::string_view key) {
  const toml::node* const node = Get(key);
  const auto text = node != nullptr ? node->value_exact<std::string>() : std::nullopt;
  if (!text || text->empty()) {
    Fault(key, node != nullptr ? "not a string or empty" : "missing", "a string");
    return {};
  }
  return *text;
}

}  // namespace paddlestile
