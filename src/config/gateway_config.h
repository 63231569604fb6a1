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
  using Positions = std::map<std::string, size_t, std::less<>>;
  // The next place; a name that stands there twice keeps its first, and those behind it theirs.
  void Add(std::string name);
  // The place of a name, or size() for one that is not there.
  [[nodiscard]] size_t Find(std::string_view name) const;
  [[nodiscard]] size_t size() const { return size_; }
  [[nodiscard]] const Positions& positions() const { return *positions_; }

 private:
  std::shared_ptr<Positions> positions_ = std::make_shared<Positions>();
  size_t size_ = 0;
};

struct NameTables {
  NameTable classes, tenants, zones, kinds;
  std::vector<std::string> report_fields;
  // Until when those that have vanished from the settings are still taken, by place; past the end
  // are those that are there.
  std::vector<Time> classes_expire_at, tenants_expire_at;
};

// Whether what stands at a place has vanished, and its time is over.
inline bool HasExpired(const std::vector<Time>& until, size_t place, Time now) {
  return place < until.size() && now >= until[place];
}

// A list of hosts in discovery's form.
struct EndpointListEntry {
  EndpointInfo info;
  Address address;
};
struct EndpointList {
  double revision = 0;
  bool complete = false;
  std::vector<EndpointListEntry> endpoints;
};

struct GatewayConfig {
  std::string path, name;  // the file's path; the gateway's name
  Address listen, discovery;
  std::optional<Address> admin;  // where operators call; LB_ADMIN, else the file's `admin`
  uint64_t seed = 0;
  size_t max_sockets = 1024;
  Settings settings;
  Duration endpoint_idle_timeout{0};  // hosts close idle connections after this; 0: not known
  NameTables names;
  EndpointList initial_endpoints;
  std::set<std::string> file_keys;  // of the file, by path; a newer one must have them too
  std::string file_text;            // the file's
};

// What the settings allow or ask for that a gateway on sockets does not do, a line each.
std::vector<std::string> UnsupportedSettings(const Settings& settings);

// Reads a list; throws JsonError or ConfigError. `from_wall` turns Unix milliseconds into a Time.
EndpointList ParseEndpointList(const Json& json, const NameTables& names,
                               const std::function<Time(double)>& from_wall);

// The settings, nested, as the path=value pairs of the wire, which owns the mapping of names.
std::string FlattenSettings(const Json& settings);

// What the file that `was` came from says now, whole and checked: one that is half-written, lacks a
// key that was there or makes no sense says nothing. Throws ConfigError with one line that names
// what is wrong. Names keep their places; those that have vanished stay, and are taken for a while
// more. What only a start takes from the file (addresses but discovery's, seed, limits) stays as it
// was.
GatewayConfig ReloadGatewayConfig(const GatewayConfig& was, Time now,
                                  const std::function<Time(double)>& from_wall);

// A tenant as a version has it; without figures: it is gone.
struct TenantChange {
  std::string name;
  std::optional<TenantQuota> quota;
};

// Throws ConfigError where `config` cannot take these.
void ValidateTenantChanges(const std::vector<TenantChange>& changes, const GatewayConfig& config);

// `config` with these, as if all of its settings had been read again: places stay, new names come
// behind them, and who is gone is taken for a while more. Throws ConfigError, and then changes
// nothing.
void ApplyTenantChanges(const std::vector<TenantChange>& changes, Time now, GatewayConfig& config);

// A file's settings as the bank's rules are laid over them. They are read once, and its hosts not
// again: a version takes what its settings take, and one that changes nothing but tenants what
// those take.
class VersionedSettings {
 public:
  // Throws ConfigError where the file's settings cannot be read.
  explicit VersionedSettings(const GatewayConfig& file);

  // The file's settings with the rules' laid over them, and where those are strict nothing sent
  // twice. `was` is in force until then, and came of `was_rules` by this function; null: it did
  // not. Holds no hosts and no text of the file. Throws ConfigError where the two make no sense
  // together.
  [[nodiscard]] GatewayConfig ApplyVersion(const cluster::VersionContent& rules,
                                           const GatewayConfig& was,
                                           const cluster::VersionContent* was_rules,
                                           Time now) const;

  // How the settings of `rules` differ from those of `was`, where it is by tenants alone; nothing
  // where it is by more. Throws ConfigError where they make no sense.
  [[nodiscard]] static std::optional<std::vector<TenantChange>> TenantsChanged(
      const cluster::VersionContent& was, const cluster::VersionContent& rules);

 private:
  [[nodiscard]] GatewayConfig ApplyWholeVersion(const cluster::VersionContent& rules,
                                                const GatewayConfig& was, Time now) const;

  nlohmann::json settings_;
  Address discovery_;
};

// What changed from one to the other, in words for the log; empty where nothing did.
std::string DescribeChanges(const GatewayConfig& was, const GatewayConfig& now);

// All that is wrong in the file at `path`, a line each: where (line or field), what, and what was
// expected. Empty: a gateway can start from it. At most kMostFaults lines.
inline constexpr size_t kMaxReportedFaults = 100;
std::vector<std::string> ValidateGatewayConfig(const std::string& path);

// `env` gives a variable or null. Throws ConfigError with one line that names what is wrong.
GatewayConfig ReadGatewayConfig(const std::function<const char*(const char*)>& env,
                                const std::function<Time(double)>& from_wall);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_GATEWAY_CONFIG_H_
