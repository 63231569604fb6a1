// What a gateway is told at its start: the LB_* variables and the file that LB_CONFIG names.
#ifndef PADDLESTILE_CONFIG_GATEWAY_CONFIG_H_
#define PADDLESTILE_CONFIG_GATEWAY_CONFIG_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "base/config_error.h"
#include "cluster/version_content.h"
#include "config/json.h"

namespace paddlestile {

// The names that the sockets use, with their places in the settings' lists. A copy shares them
// until one of the two gets another name: settings are copied at each change, and their names are
// many and rarely new.
class NameTable {
 public:
  using Places = std::map<std::string, size_t, std::less<>>;
  // The next place; a name that stands there twice keeps its first, and those behind it theirs.
  void Add(std::string name);
  // The place of a name, or size() for one that is not there.
  [[nodiscard]] size_t Find(std::string_view name) const;
  [[nodiscard]] size_t size() const { return size_; }
  [[nodiscard]] const Places& places() const { return *places_; }

 private:
  std::shared_ptr<Places> places_ = std::make_shared<Places>();
  size_t size_ = 0;
};

struct Names {
  NameTable classes, tenants, zones, kinds;
  std::vector<std::string> report_fields;
  // Until when those that have vanished from the settings are still taken, by place; past the end
  // are those that are there.
  std::vector<Time> classes_until, tenants_until;
};

// Whether what stands at a place has vanished, and its time is over.
inline bool Over(const std::vector<Time>& until, size_t place, Time now) {
  return place < until.size() && now >= until[place];
}

// A list of hosts in discovery's form.
struct HostEntry {
  EndpointInfo info;
  Address address;
};
struct HostList {
  double revision = 0;
  bool complete = false;
  std::vector<HostEntry> members;
};

struct Config {
  std::string path, name;  // the file's path; the gateway's name
  Address listen, discovery;
  std::optional<Address> admin;  // where operators call; LB_ADMIN, else the file's `admin`
  uint64_t seed = 0;
  size_t sockets = 1024;
  Settings settings;
  Duration idle_close{0};  // hosts close idle connections after this; 0: not known
  Names names;
  HostList known;
  std::set<std::string> keys;  // of the file, by path; a newer one must have them too
  std::string text;            // the file's
};

// What the settings allow or ask for that a gateway on sockets does not do, a line each.
std::vector<std::string> NotCarriedOut(const Settings& settings);

// Reads a list; throws JsonError or ConfigError. `from_wall` turns Unix milliseconds into a Time.
HostList ParseHostList(const Json& json, const Names& names,
                       const std::function<Time(double)>& from_wall);

// The settings, nested, as the path=value pairs of the wire, which owns the mapping of names.
std::string FlattenSettings(const Json& settings);

// What the file that `was` came from says now, whole and checked: one that is half-written, lacks a
// key that was there or makes no sense says nothing. Throws ConfigError with one line that names
// what is wrong. Names keep their places; those that have vanished stay, and are taken for a while
// more. What only a start takes from the file (addresses but discovery's, seed, limits) stays as it
// was.
Config ReadAgain(const Config& was, Time now, const std::function<Time(double)>& from_wall);

// A tenant as a version has it; without figures: it is gone.
struct TenantChange {
  std::string name;
  std::optional<Tenant> figures;
};

// Throws ConfigError where `config` cannot take these.
void CheckTenants(const std::vector<TenantChange>& changes, const Config& config);

// `config` with these, as if all of its settings had been read again: places stay, new names come
// behind them, and who is gone is taken for a while more. Throws ConfigError, and then changes
// nothing.
void ChangeTenants(const std::vector<TenantChange>& changes, Time now, Config& config);

// A file's settings as the bank's rules are laid over them. They are read once, and its hosts not
// again: a version takes what its settings take, and one that changes nothing but tenants what
// those take.
class SettingsUnderRules {
 public:
  // Throws ConfigError where the file's settings cannot be read.
  explicit SettingsUnderRules(const Config& file);

  // The file's settings with the rules' laid over them, and where those are strict nothing sent
  // twice. `was` is in force until then, and came of `was_rules` by this function; null: it did
  // not. Holds no hosts and no text of the file. Throws ConfigError where the two make no sense
  // together.
  [[nodiscard]] Config With(const cluster::Content& rules, const Config& was,
                            const cluster::Content* was_rules, Time now) const;

  // How the settings of `rules` differ from those of `was`, where it is by tenants alone; nothing
  // where it is by more. Throws ConfigError where they make no sense.
  [[nodiscard]] static std::optional<std::vector<TenantChange>> TenantsChanged(
      const cluster::Content& was, const cluster::Content& rules);

 private:
  [[nodiscard]] Config Whole(const cluster::Content& rules, const Config& was, Time now) const;

  nlohmann::json settings_;
  Address discovery_;
};

// What changed from one to the other, in words for the log; empty where nothing did.
std::string Changes(const Config& was, const Config& now);

// All that is wrong in the file at `path`, a line each: where (line or field), what, and what was
// expected. Empty: a gateway can start from it. At most kMostFaults lines.
inline constexpr size_t kMostFaults = 100;
std::vector<std::string> CheckConfig(const std::string& path);

// `env` gives a variable or null. Throws ConfigError with one line that names what is wrong.
Config ReadConfig(const std::function<const char*(const char*)>& env,
                  const std::function<Time(double)>& from_wall);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_GATEWAY_CONFIG_H_
