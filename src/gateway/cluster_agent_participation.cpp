// The agent's participation in its cluster. cluster_agent.h has the table of states.
#include <exception>
#include <utility>

#include "base/log.h"
#include "gateway/cluster_agent.h"
#include "storage/write_ahead_log.h"

namespace paddlestile {
namespace {

constexpr Duration kOwnershipCheckInterval{100'000};  // us

}  // namespace

void ClusterAgent::CheckOwnership() {
  try {
    if (lifecycle_.replaced() && folder_lock_) {
      Log(LogLevel::kInfo, "bank: stops participating, the new process takes over as the member");
      StopParticipating();
      CreateMember(ReadPersistentState(files(), config_, file_.name));
    } else if (!lifecycle_.replaced() && !folder_lock_) {
      TryParticipate();
    }
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "bank: {}", error.what());
    StopParticipating();
  }
  ownership_timer_ = loop_.RunAfter(kOwnershipCheckInterval, [this] { CheckOwnership(); });
}

void ClusterAgent::TryParticipate() {
  folder_lock_ = files().Lock(LockPathIn(config_.folder));
  if (folder_lock_) {
    OpenStorage();
  }
}

void ClusterAgent::StopParticipating() {
  loop_.CancelTimer(member_timer_);
  loop_.CancelTimer(lease_timer_);
  gateway_.RunBeforeEventsFrom(Time::max(), nullptr);
  connections_.reset();
  storage_thread_.reset();
  folder_lock_.reset();
}

void ClusterAgent::OpenStorage() {
  raft::PersistentState state;
  try {
    std::unique_ptr<storage::WriteAheadLog> log = OpenLog(state);
    if (state.incarnation == 0) {
      state.incarnation = NewIncarnation();
    }
    ++state.restart_count;
    const std::string identity = EncodeIdentityRecord(config_, file_.name, state);
    log->Append(identity);
    log->Sync();
    storage_thread_ = std::make_unique<StorageThread>(loop_, std::move(log), identity,
                                                      [this] { OnStorageStateChange(); });
    without_storage_ = false;
  } catch (const storage::FileError& error) {
    return RestartWithoutStorage(error.what());
  }
  OpenConnections(state.incarnation, state.restart_count);
  CreateMember(std::move(state));
  Log(LogLevel::kInfo,
      "bank: {} participates in '{}', members contradict each other for at most {} ms", file_.name,
      config_.cluster_name,
      cluster::MaxDisagreement(config_.timing, cluster::kDetectionDelay).count() / 1000);
}

std::unique_ptr<storage::WriteAheadLog> ClusterAgent::OpenLog(raft::PersistentState& state) {
  const auto open = [&] {
    state = {};
    return std::make_unique<storage::WriteAheadLog>(
        files(), config_.folder,
        [&](std::string_view record) { ApplyLogRecord(config_, file_.name, record, state); });
  };
  const std::string path = storage::WriteAheadLog::PathIn(config_.folder);
  std::unique_ptr<storage::WriteAheadLog> log;
  try {
    log = open();
  } catch (const storage::CorruptionError& error) {
    // The member must not vote, since it may have lost the votes it gave. The file is kept for
    // investigation.
    Log(LogLevel::kError, "bank: {}; restarts as a non-voting member until it is voted in",
        error.what());
    files().Rename(path, path + ".damaged");
    log = open();
  }
  if (log->cut_off() > 0) {
    Log(LogLevel::kWarning, "bank: {}: removed {} bytes of an incomplete record at the end", path,
        log->cut_off());
  }
  return log;
}

void ClusterAgent::OpenConnections(uint64_t incarnation, uint64_t restart_count) {
  peer::PeerConnectionOptions options;
  options.cluster_name = config_.cluster_name;
  options.name = file_.name;
  options.incarnation = incarnation;
  options.restart_count = restart_count;
  options.seed = NewIncarnation();
  options.listen = config_.members.at(file_.name).address;
  for (const auto& [name, member] : config_.members) {
    options.members[name] = member.dial_address;
  }
  connections_ =
      std::make_unique<peer::PeerConnections>(loop_, gateway_.budget(), std::move(options), this);
}

void ClusterAgent::CreateMember(raft::PersistentState state) {
  cluster::ClusterMember::Options options;
  options.name = file_.name;
  options.timing = config_.timing;
  options.deltas = config_.change_encoding == ChangeEncoding::kDelta;
  for (const auto& [name, member] : config_.members) {
    if (member.votes) {
      options.initial_voters.insert(name);
    }
  }
  durable_sequence_number_ = 0;
  waiting_messages_.clear();
  wanted_connections_.clear();
  member_ = std::make_unique<cluster::ClusterMember>(std::move(options), std::move(state),
                                                     NewIncarnation(), Now());
  effective_config_.reset();
  OnTimeout();
}

void ClusterAgent::RestartWithEmptyLog(const std::string& reason) {
  CloseForRestart(reason);
  const std::string path = storage::WriteAheadLog::PathIn(config_.folder);
  try {
    files().Rename(path, path + ".forgotten");
    return OpenStorage();
  } catch (const storage::FileError& error) {
    Log(LogLevel::kError, "bank: {}", error.what());
  }
  RunWithoutStorage();
}

void ClusterAgent::RestartWithoutStorage(const std::string& reason) {
  CloseForRestart(reason);
  RunWithoutStorage();
}

void ClusterAgent::CloseForRestart(const std::string& reason) {
  Log(LogLevel::kError, "bank: {}; restarts as a non-voting member until it is voted in", reason);
  connections_.reset();
  storage_thread_.reset();
}

void ClusterAgent::RunWithoutStorage() {
  ++storage_failure_count_;
  without_storage_ = true;
  raft::PersistentState state;
  state.incarnation = 0;  // a member without storage cannot become a voter
  state.restart_count = 1;
  OpenConnections(state.incarnation, state.restart_count);
  CreateMember(std::move(state));
}

void ClusterAgent::RunDeferredWhileOwner(std::function<void()> task) {
  loop_.RunDeferred([task = std::move(task), owner = std::weak_ptr(folder_lock_)] {
    if (!owner.expired()) {
      task();
    }
  });
}

}  // namespace paddlestile
