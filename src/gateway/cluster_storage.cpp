#include "gateway/cluster_storage.h"

#include <fmt/format.h>

#include <optional>
#include <random>

#include "raft/codec.h"
#include "storage/write_ahead_log.h"

namespace paddlestile {

using nlohmann::json;

uint64_t NewIncarnation() {
  std::random_device device;
  return (uint64_t{device()} << 32 | device()) | 1;
}

std::string LockPathIn(const std::string& folder) {
  return folder + "/lock";
}

std::string EncodeLogRecord(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

std::string EncodeIdentityRecord(const ClusterConfig& config, const std::string& member_name,
                                 const raft::PersistentState& state) {
  // In stored records, "bank" is the cluster's name, "life" the incarnation and "boot" the restart
  // count.
  return EncodeLogRecord({{"bank", config.cluster_name},
                          {"name", member_name},
                          {"life", state.incarnation},
                          {"boot", state.restart_count}});
}

void ApplyLogRecord(const ClusterConfig& config, const std::string& member_name,
                    std::string_view record, raft::PersistentState& state) {
  const json value = json::from_cbor(record, true, false);
  if (value.is_object()) {  // an identity record; storage writes are arrays
    const std::string cluster_name = value.value("bank", "");
    const std::string name = value.value("name", "");
    if (cluster_name != config.cluster_name || name != member_name) {
      throw ConfigError(fmt::format("{}: the log of {} in bank '{}', expected that of {} in '{}'",
                                    config.folder, name, cluster_name, member_name,
                                    config.cluster_name));
    }
    state.incarnation = value.value("life", uint64_t{0});
    state.restart_count = value.value("boot", uint64_t{0});
  } else if (const auto write = raft::ParseStorageWrite(value)) {
    raft::ApplyStorageWrite(state, *write);
  }
}

raft::PersistentState ReadPersistentState(storage::FileSystem& files, const ClusterConfig& config,
                                          const std::string& member_name) {
  raft::PersistentState state;
  storage::WriteAheadLog::Read(files, config.folder, [&](std::string_view record) {
    ApplyLogRecord(config, member_name, record, state);
  });
  return state;
}

void InitCluster(const ClusterConfig& config, const std::string& name) {
  storage::FileSystem& files = storage::SystemFiles();
  try {
    files.MakeFolder(config.folder);
    const auto lock = files.Lock(LockPathIn(config.folder));
    if (!lock) {
      throw ConfigError(config.folder + ": in use by another process, expected an unused folder");
    }
    bool has_records = false;
    storage::WriteAheadLog log(files, config.folder, [&](std::string_view) { has_records = true; });
    if (has_records) {
      throw ConfigError(config.folder + ": already contains a log, expected none");
    }
    raft::PersistentState state;
    state.incarnation = NewIncarnation();
    raft::StorageWrite write;
    write.current_term = 1;
    write.first_index = 1;
    write.entries = {{1, raft::LogEntry::Kind::kVoters, {}, {{name, state.incarnation}}}};
    log.Append(EncodeIdentityRecord(config, name, state));
    log.Append(EncodeLogRecord(raft::ToJson(write)));
    log.Sync();
  } catch (const storage::FileError& error) {
    throw ConfigError(error.what());
  }
}

}  // namespace paddlestile
