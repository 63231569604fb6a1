// Names of classes, tenants, zones and machine kinds, and the positions by which `Settings` and the
// decision module refer to them.
#ifndef PADDLESTILE_CONFIG_NAME_TABLE_H_
#define PADDLESTILE_CONFIG_NAME_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile {

// The names in one list of the settings, each with its position in the list. Copies share the names
// until a name is added to one of them, because the configuration is copied at each change, and its
// many names rarely change.
class NameTable {
 public:
  using Positions = std::map<std::string, size_t, std::less<>>;

  // Assigns the next position to `name`. A name that is already in the table keeps its first
  // position, and the new position then belongs to no name.
  void Add(std::string name);

  // Returns the position of a name, or size() if the name is not in the table.
  [[nodiscard]] size_t Find(std::string_view name) const;

  // Returns the number of positions assigned, including those for repeated names.
  [[nodiscard]] size_t size() const { return size_; }

  [[nodiscard]] const Positions& positions() const { return *positions_; }

 private:
  std::shared_ptr<Positions> positions_ = std::make_shared<Positions>();
  size_t size_ = 0;
};

// The tables of one configuration.
struct NameTables {
  NameTable classes;
  NameTable tenants;
  NameTable zones;
  NameTable kinds;                         // machine kinds
  std::vector<std::string> report_fields;  // of a load report, in the order of its values

  // The times at which retired names are no longer accepted, by position. Names in the settings
  // have Time::max() or no entry.
  std::vector<Time> classes_expire_at;
  std::vector<Time> tenants_expire_at;
};

// Returns whether the name at `position` is retired and no longer accepted at `now`.
inline bool HasExpired(const std::vector<Time>& expire_at, size_t position, Time now) {
  return position < expire_at.size() && now >= expire_at[position];
}

// Returns whether the name at `position` is in the settings, rather than retired.
inline bool IsCurrent(const std::vector<Time>& expire_at, size_t position) {
  return position >= expire_at.size() || expire_at[position] == Time::max();
}

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_NAME_TABLE_H_
