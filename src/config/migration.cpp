#include "config/migration.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

#include "config/balancer_settings.h"
#include "config/gateway_config.h"

namespace paddlestile {
namespace {

// Keeps the order of keys, so that the new file has the order of the old one.
using OrderedJson = nlohmann::ordered_json;

// Values of settings.KindOfService.
constexpr const char* kProxyKind = "proxy";
constexpr const char* kMeshKind = "mesh";

// The top-level keys that the program reads, and those that it knows but ignores.
const std::set<std::string, std::less<>> kKnownKeys = {"seed",   "limits",    "known", "settings",
                                                       "listen", "discovery", "name"};

class Migrator {
 public:
  Migrator(OrderedJson json, const MigrateOptions& options)
      : json_(std::move(json)), options_(options) {}

  Migration Run() {
    MigrateSettings(json_["settings"]);
    Set(json_["limits"], "limits.", "sockets", options_.sockets);
    MigrateListenAddress();
    NoteUnreadKeys();
    return {json_.dump(2) + "\n", std::move(notes_)};
  }

 private:
  void MigrateSettings(OrderedJson& settings) {
    Set(settings, "settings.", "KindOfService", kMeshKind);
    Set(settings, "settings.", "NInstances", options_.gateways);
    Set(settings, "settings.", "Me", 0);
    AddNote(
        "not carried over: settings.Me, seed: each gateway needs its own; these are for the first "
        "gateway");
    if (options_.warm_keys) {
      Set(settings["FamilyInfo"], "settings.FamilyInfo.", "WarmKeys", true);
    }
    if (settings.contains("Allowed") && settings["Allowed"].value("PeerMessages", false)) {
      Set(settings["Allowed"], "settings.Allowed.", "PeerMessages", false);
      AddNote(
          "not carried over: settings.Allowed.PeerMessages: gateways do not send messages to each "
          "other");
    }
  }

  void MigrateListenAddress() {
    if (!json_.contains("listen")) {
      return;
    }
    const Address listen = ParseAddress(json_["listen"].get<std::string>());
    Set(json_, "", "listen", fmt::format("127.0.0.1:{}", listen.port));
    AddNote(
        "not carried over: listen: a gateway beside its client listens on the loopback address");
  }

  // Adds a note for each key that is kept although the program does not read it.
  void NoteUnreadKeys() {
    for (const auto& [key, value] : json_.items()) {
      if (!kKnownKeys.contains(key)) {
        AddNote(fmt::format("kept, but unknown: {}", key));
      }
    }
    const Json settings = Json::Parse(json_["settings"].dump());
    for (const std::string& name : UnreadSettings(FlattenSettings(settings))) {
      AddNote(fmt::format("kept, but not read by the gateway: settings.{}", name));
    }
  }

  // Sets a field of `object`, and adds a note if this changes it. `path` is the object's path with
  // a trailing dot.
  template <typename Value>
  void Set(OrderedJson& object, std::string_view path, const char* key, const Value& value) {
    const std::string before = object.contains(key) ? object[key].dump() : "absent";
    object[key] = value;
    const std::string after = object[key].dump();
    if (before != after) {
      AddNote(fmt::format("changed: {}{}: {} to {}", path, key, before, after));
    }
  }

  void AddNote(std::string line) { notes_.push_back(std::move(line)); }

  OrderedJson json_;
  MigrateOptions options_;
  std::vector<std::string> notes_;
};

// Returns an error with the file's path and the text of errno.
ConfigError WriteError(const std::string& path) {
  return ConfigError(fmt::format("{}: cannot write it: {}", path, std::strerror(errno)));
}

// Writes all of `text`. Returns false on an error, with errno set.
bool WriteAll(int fd, const std::string& text) {
  size_t written = 0;
  while (written < text.size()) {
    const ssize_t count = write(fd, text.data() + written, text.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    written += static_cast<size_t>(count);
  }
  return true;
}

// Writes, syncs and closes. Returns false on an error; errno is then that of writing or syncing.
bool WriteAndClose(int fd, const std::string& text) {
  const bool is_synced = WriteAll(fd, text) && fsync(fd) == 0;
  const int error = errno;
  const bool is_closed = close(fd) == 0;
  errno = error;
  return is_synced && is_closed;
}

}  // namespace

Migration Migrate(const std::string& path, const MigrateOptions& options) {
  const std::vector<std::string> faults = ValidateGatewayConfig(path);
  if (!faults.empty()) {
    throw ConfigError(fmt::format("{}: {}", path, faults.front()));
  }
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  OrderedJson json = OrderedJson::parse(text, nullptr, false);
  if (!json.is_object()) {
    throw ConfigError(fmt::format("{}: no JSON object, expected one", path));
  }
  const OrderedJson& settings = json["settings"];
  const std::string kind =
      settings.contains("KindOfService") ? settings["KindOfService"].dump() : "";
  if (kind == fmt::format("\"{}\"", kMeshKind)) {
    throw ConfigError(fmt::format(
        "{}: settings.KindOfService is {}: of the new shape already, expected \"{}\" or none", path,
        kind, kProxyKind));
  }
  return Migrator(std::move(json), options).Run();
}

void WriteFileAtomically(const std::string& path, const std::string& text, bool replace) {
  struct stat existing {};
  if (!replace && lstat(path.c_str(), &existing) == 0) {
    throw ConfigError(fmt::format("{}: is there already, expected a new name or --replace", path));
  }
  const std::string temporary = fmt::format("{}.{}.new", path, getpid());
  constexpr mode_t kMode = 0644;
  const int fd = open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kMode);
  if (fd < 0) {
    throw WriteError(path);
  }
  bool is_written = WriteAndClose(fd, text);
  if (is_written) {
    // Unlike rename, link fails if another process has created the file meanwhile.
    is_written = replace ? std::rename(temporary.c_str(), path.c_str()) == 0
                         : link(temporary.c_str(), path.c_str()) == 0;
  }
  const int error = errno;
  if (!is_written || !replace) {
    unlink(temporary.c_str());
  }
  errno = error;
  if (!is_written) {
    throw WriteError(path);
  }
}

}  // namespace paddlestile
