// Names of classes, tenants, zones and machine kinds, and the positions that stand for them in
// `Settings` and in the decision module.
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

// The names of one list of the settings, each with its position in it. Copies share the names until
// one of them is added to: the configuration is copied at each change, its names are many and
// rarely new.
class NameTable {
 public:
  using Positions = std::map<std::string, size_t, std::less<>>;

  // Gives the next position to `name`. A name that is there already keeps its first position; the
  // position given here is then used up without a name.
  void Add(std::string name);

  // The position of a name; size() where the name is not there.
  [[nodiscard]] size_t Find(std::string_view name) const;

  // The number of positions given, of repeated names too.
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

  // Names that are no longer in the settings keep their positions and are accepted a while longer.
  // By position: when a name ceases to be accepted; Time::max(), or no entry, for names that the
  // settings have.
  std::vector<Time> classes_expire_at;
  std::vector<Time> tenants_expire_at;
};

// Whether the name at `position` has left the settings and is no longer accepted at `now`.
inline bool HasExpired(const std::vector<Time>& expire_at, size_t position, Time now) {
  return position < expire_at.size() && now >= expire_at[position];
}

// Whether the name at `position` is in the settings, rather than retired from them.
inline bool IsCurrent(const std::vector<Time>& expire_at, size_t position) {
  return position >= expire_at.size() || expire_at[position] == Time::max();
}

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_NAME_TABLE_H_
