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

#include "config/gateway_config.h"
#include "simulator/protocol.h"

namespace paddlestile {
namespace {

using Object = nlohmann::ordered_json;

constexpr const char* kOldShape = "proxy";
constexpr const char* kNewShape = "mesh";

// What the program reads beside the settings, and what it knows them by.
const std::set<std::string, std::less<>> kTopLevel = {"seed",   "limits",    "known", "settings",
                                                      "listen", "discovery", "name"};

class Migrator {
 public:
  Migrator(Object json, const MigrateOptions& options)
      : json_(std::move(json)), options_(options) {}

  Migration Run() {
    Object& settings = json_["settings"];
    Put(settings, "settings.", "KindOfService", kNewShape);
    Put(settings, "settings.", "NInstances", options_.gateways);
    Put(settings, "settings.", "Me", 0);
    Note(
        "not carried over: settings.Me, seed: each gateway needs its own; both stand for the "
        "first");
    if (options_.warm_keys) {
      Put(settings["FamilyInfo"], "settings.FamilyInfo.", "WarmKeys", true);
    }
    if (settings.contains("Allowed") && settings["Allowed"].value("PeerMessages", false)) {
      Put(settings["Allowed"], "settings.Allowed.", "PeerMessages", false);
      Note("not carried over: settings.Allowed.PeerMessages: gateways on sockets send none");
    }
    Put(json_["limits"], "limits.", "sockets", options_.sockets);
    if (json_.contains("listen")) {
      const auto listen = ParseAddress(json_["listen"].get<std::string>());
      Put(json_, "", "listen", fmt::format("127.0.0.1:{}", listen.port));
      Note("not carried over: listen: a gateway beside its client listens on this machine alone");
    }
    Unread();
    return {json_.dump(2) + "\n", std::move(notes_)};
  }

 private:
  void Note(std::string line) { notes_.push_back(std::move(line)); }

  template <typename T>
  void Put(Object& at, std::string_view where, const char* name, const T& value) {
    const std::string was = at.contains(name) ? at[name].dump() : "absent";
    at[name] = value;
    if (was != at[name].dump()) {
      Note(fmt::format("changed: {}{}: {} to {}", where, name, was, at[name].dump()));
    }
  }

  // All that this program does not read stays as it is, and is named.
  void Unread() {
    for (const auto& [name, value] : json_.items()) {
      if (!kTopLevel.contains(name)) {
        Note(fmt::format("kept, but not known here: {}", name));
      }
    }
    for (const std::string& name :
         simulator::UnreadSettings(FlattenSettings(Json::Parse(json_["settings"].dump())))) {
      Note(fmt::format("kept, but not read by the gateway: settings.{}", name));
    }
  }

  Object json_;
  MigrateOptions options_;
  std::vector<std::string> notes_;
};

}  // namespace

Migration Migrate(const std::string& path, const MigrateOptions& options) {
  const std::vector<std::string> faults = ValidateGatewayConfig(path);
  if (!faults.empty()) {
    throw ConfigError(fmt::format("{}: {}", path, faults.front()));
  }
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  Object json = Object::parse(text, nullptr, false);
  if (!json.is_object()) {
    throw ConfigError(fmt::format("{}: no JSON object, expected one", path));
  }
  const Object& settings = json["settings"];
  const std::string shape =
      settings.contains("KindOfService") ? settings["KindOfService"].dump() : "";
  if (shape == fmt::format("\"{}\"", kNewShape)) {
    throw ConfigError(fmt::format(
        "{}: settings.KindOfService is {}: of the new shape already, expected \"{}\" or none", path,
        shape, kOldShape));
  }
  return Migrator(std::move(json), options).Run();
}

void WriteFileAtomically(const std::string& path, const std::string& text, bool replace) {
  const auto bad = [&](const std::string& what) {
    return ConfigError(fmt::format("{}: {}: {}", path, what, std::strerror(errno)));
  };
  struct stat found {};
  if (!replace && lstat(path.c_str(), &found) == 0) {
    throw ConfigError(fmt::format("{}: is there already, expected a new name or --replace", path));
  }
  const std::string beside = fmt::format("{}.{}.new", path, getpid());
  const int fd = open(beside.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644);
  if (fd < 0) {
    throw bad("cannot write it");
  }
  size_t done = 0;
  bool good = true;
  while (good && done < text.size()) {
    const ssize_t n = write(fd, text.data() + done, text.size() - done);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    good = n > 0;
    if (good) {
      done += static_cast<size_t>(n);
    }
  }
  good = good && fsync(fd) == 0;
  int error = errno;
  good = close(fd) == 0 && good;
  // Without --replace a link fails where somebody was quicker; a rename would overwrite.
  if (good) {
    good = replace ? std::rename(beside.c_str(), path.c_str()) == 0
                   : link(beside.c_str(), path.c_str()) == 0;
    error = errno;
  }
  if (!good || !replace) {
    unlink(beside.c_str());
  }
  errno = error;
  if (!good) {
    throw bad("cannot write it");
  }
}

}  // namespace paddlestile
