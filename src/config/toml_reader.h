// Reading of TOML files that people write: the operator's file and the experiments. One pass
// collects all faults, each as "FILE:LINE: KEY: what, expected ...".
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
  // `path` names the file in each line.
  explicit TomlFaults(std::string path) : path_(std::move(path)) {}

  // `node` gives the line; null: the fault has none.
  void Add(const toml::node* node, std::string_view key, std::string_view what,
           std::string_view expected);

  // Parses the file's text; nullopt, and a fault, where it is no TOML.
  std::optional<toml::table> Parse(std::string_view text);

  [[nodiscard]] const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::string path_;
  std::vector<std::string> lines_;
};

// The words of a setting that has one of several meanings.
template <typename Enum>
using TomlWords = std::vector<std::pair<std::string_view, Enum>>;

template <typename Int>
concept TomlInteger = std::is_integral_v<Int> && !std::is_same_v<Int, bool>;

// One table of a file. Keys become known by being asked for; those that were never asked for are
// reported as unknown when the reader is destroyed, unless ReportUnknownKeys has done it. Each Read
// leaves the value as it is where the key is not there, and where it is malformed, which it
// reports. Keeps references to the table and to the faults.
class TomlTable {
 public:
  // `path` is the table's key within the file, empty for the file's root.
  TomlTable(const toml::table& table, std::string path, TomlFaults& faults)
      : table_(table), path_(std::move(path)), faults_(faults) {}
  TomlTable(const TomlTable&) = delete;
  TomlTable& operator=(const TomlTable&) = delete;
  ~TomlTable();

  // The node of a key, which becomes known; null where it is not there.
  [[nodiscard]] const toml::node* Get(std::string_view key);

  // The key within the file.
  [[nodiscard]] std::string Path(std::string_view key) const;

  // Reports a fault at the line of `key`, or of the table where the key is not there.
  void Fault(std::string_view key, std::string_view what, std::string_view expected);

  // Reports a fault at the line of `node` with the key as it is given; null: with no line.
  void FaultAt(const toml::node* node, std::string_view key, std::string_view what,
               std::string_view expected);

  // Reports keys other than these now instead of at the end.
  void ReportUnknownKeys(const std::set<std::string>& known);

  // A number from `least` to `most`.
  void Read(std::string_view key, double& value, double least, double most);
  void Read(std::string_view key, std::optional<double>& value, double least, double most);

  // An integer from `least` to `most`.
  template <TomlInteger Int>
  void Read(std::string_view key, Int& value, Int least, Int most);

  void Read(std::string_view key, bool& value);

  // A text, which may be empty.
  void Read(std::string_view key, std::string& value);

  // One of the words; `expected` names them in a fault, and by default lists them.
  template <typename Enum>
  void Read(std::string_view key, Enum& value, const TomlWords<Enum>& words,
            std::string_view expected = {});

  // A duration of an hour at most, in the unit of the file.
  void ReadSeconds(std::string_view key, Duration& value);
  void ReadMillis(std::string_view key, Duration& value);

  // A number for both, or a list [low, high].
  void ReadRange(std::string_view key, double& low, double& high, double least, double most);

  // A text that must be there and not be empty; empty after a fault.
  [[nodiscard]] std::string RequireText(std::string_view key);

  // Calls `read(TomlTable&)` for each table of the list of tables `key`.
  template <typename Reader>
  void ReadEach(std::string_view key, const Reader& read);

  // Calls `read(TomlTable&)` for the table `key`.
  template <typename Reader>
  void ReadTable(std::string_view key, const Reader& read);

 private:
  void ReadDuration(std::string_view key, Duration& value, double unit_us, double most);

  const toml::table& table_;
  std::string path_;
  TomlFaults& faults_;
  std::set<std::string> known_;
  bool unknown_reported_ = false;
};

template <TomlInteger Int>
void TomlTable::Read(std::string_view key, Int& value, Int least, Int most) {
  const toml::node* const node = Get(key);
  if (node == nullptr) {
    return;
  }
  const auto number = node->value_exact<int64_t>();
  const bool in_range = number && *number >= static_cast<int64_t>(least) &&
                        static_cast<uint64_t>(*number) <= static_cast<uint64_t>(most);
  if (!in_range) {
    return faults_.Add(node, Path(key), "out of range or no whole number",
                       fmt::format("a whole number from {} to {}", least, most));
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
    return faults_.Add(node, Path(key), "no list of tables", fmt::format("[[{}]]", Path(key)));
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
    return faults_.Add(node, Path(key), "no table", fmt::format("[{}]", Path(key)));
  }
  TomlTable table(*node->as_table(), Path(key), faults_);
  read(table);
}

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_TOML_READER_H_
