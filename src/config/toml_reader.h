// Reads TOML files that are written by hand: the operator's file and experiments. One pass collects
// all faults, each as "FILE:LINE: KEY: what, expected ...".
#ifndef PADDLESTILE_CONFIG_TOML_READER_H_
#define PADDLESTILE_CONFIG_TOML_READER_H_

#include <fmt/format.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "balancer/load_balancer.h"

namespace paddlestile {

// The faults of one file, in the order in which they were found.
class TomlFaults {
 public:
  // `path` is the file name used in the lines.
  explicit TomlFaults(std::string path) : path_(std::move(path)) {}

  // Adds a fault at the line of `node`, or without a line if `node` is null.
  void Add(const toml::node* node, std::string_view key, std::string_view what,
           std::string_view expected);

  // Parses the file's text. Adds a fault and returns nullopt if it is not valid TOML.
  std::optional<toml::table> Parse(std::string_view text);

  [[nodiscard]] const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::string path_;
  std::vector<std::string> lines_;
};

// The words that a setting may have, each with its meaning.
template <typename Enum>
using TomlWords = std::vector<std::pair<std::string_view, Enum>>;

template <typename Int>
concept TomlInteger = std::is_integral_v<Int> && !std::is_same_v<Int, bool>;

// Reads one table of a file. Each function that reads a key marks it as known; the destructor
// reports the unknown keys of the table as faults unless ReportUnknownKeys was called. Each Read
// function leaves the value unchanged if the key is absent, and also if it is malformed, which adds
// a fault. The table and the faults must outlive this object.
class TomlTable {
 public:
  // `path` is the table's key within the file, empty for the file's root.
  TomlTable(const toml::table& table, std::string path, TomlFaults& faults)
      : table_(table), path_(std::move(path)), faults_(faults) {}
  TomlTable(const TomlTable&) = delete;
  TomlTable& operator=(const TomlTable&) = delete;
  ~TomlTable();

  // Returns the node of a key and marks the key as known. Returns null if the key is absent.
  [[nodiscard]] const toml::node* Get(std::string_view key);

  // Returns the key's full path within the file.
  [[nodiscard]] std::string Path(std::string_view key) const;

  // Adds a fault at the line of `key`, or of the table if the key is absent.
  void Fault(std::string_view key, std::string_view what, std::string_view expected);

  // Adds a fault with a full key path, at the line of `node` or without a line if `node` is null.
  void FaultAt(const toml::node* node, std::string_view key, std::string_view what,
               std::string_view expected);

  // Reports all keys other than these as unknown now, instead of in the destructor.
  void ReportUnknownKeys(const std::set<std::string>& known);

  // Reads a number from `min` to `max`.
  void Read(std::string_view key, double& value, double min, double max);
  void Read(std::string_view key, std::optional<double>& value, double min, double max);

  // Reads an integer from `min` to `max`.
  template <TomlInteger Int>
  void Read(std::string_view key, Int& value, Int min, Int max);

  void Read(std::string_view key, bool& value);

  // Reads a string, which may be empty.
  void Read(std::string_view key, std::string& value);

  // Reads one of the words. `expected` describes them in a fault; by default they are listed.
  template <typename Enum>
  void Read(std::string_view key, Enum& value, const TomlWords<Enum>& words,
            std::string_view expected = {});

  // These read a duration of at most one hour, which the file has in seconds or in milliseconds.
  void ReadSeconds(std::string_view key, Duration& value);
  void ReadMillis(std::string_view key, Duration& value);

  // Reads a list [low, high], or one number for both.
  void ReadRange(std::string_view key, double& low, double& high, double min, double max);

  // Returns a string that must be present and not empty. Adds a fault and returns an empty string
  // otherwise.
  [[nodiscard]] std::string RequireText(std::string_view key);

  // Calls `read(TomlTable&)` for each table of the list of tables `key`.
  template <typename Reader>
  void ReadEach(std::string_view key, const Reader& read);

  // Calls `read(TomlTable&)` for the table `key`.
  template <typename Reader>
  void ReadTable(std::string_view key, const Reader& read);

 private:
  void ReadDuration(std::string_view key, Duration& value, double unit_us, double max);

  const toml::table& table_;
  std::string path_;
  TomlFaults& faults_;
  std::set<std::string> known_;
  bool unknown_reported_ = false;
};

template <TomlInteger Int>
void TomlTable::Read(std::string_view key, Int& value, Int min, Int max) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  const auto number = node->value_exact<int64_t>();
  const bool in_range = number && *number >= static_cast<int64_t>(min) &&
                        static_cast<uint64_t>(*number) <= static_cast<uint64_t>(max);
  if (!in_range) {
    return faults_.Add(node, Path(key), "out of range or not a whole number",
                       fmt::format("a whole number from {} to {}", min, max));
  }
  value = static_cast<Int>(*number);
}

template <typename Enum>
void TomlTable::Read(std::string_view key, Enum& value, const TomlWords<Enum>& words,
                     std::string_view expected) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  const auto text = node->value_exact<std::string>().value_or("");
  std::vector<std::string_view> known_words;
  for (const auto& [word, meaning] : words) {
    if (word == text) {
      value = meaning;
      return;
    }
    known_words.push_back(word);
  }
  const std::string listed = fmt::format("one of {}", fmt::join(known_words, ", "));
  faults_.Add(node, Path(key), fmt::format("'{}'", text), expected.empty() ? listed : expected);
}

template <typename Reader>
void TomlTable::ReadEach(std::string_view key, const Reader& read) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  const toml::array* const list = node->as_array();
  if (list == nullptr || !list->is_array_of_tables()) {
    return faults_.Add(node, Path(key), "not a list of tables", fmt::format("[[{}]]", Path(key)));
  }
  size_t index = 0;
  for (const toml::node& entry : *list) {
    TomlTable table(*entry.as_table(), fmt::format("{}[{}]", Path(key), index), faults_);
    ++index;
    read(table);
  }
}

template <typename Reader>
void TomlTable::ReadTable(std::string_view key, const Reader& read) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  if (!node->is_table()) {
    return faults_.Add(node, Path(key), "not a table", fmt::format("[{}]", Path(key)));
  }
  TomlTable table(*node->as_table(), Path(key), faults_);
  read(table);
}

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_TOML_READER_H_
