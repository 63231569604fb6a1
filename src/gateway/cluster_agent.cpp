#include "gateway/cluster_agent.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "cluster/codec.h"
#include "raft/codec.h"
#include "storage/controlled_files.h"
#include "storage/write_ahead_log.h"

namespace paddlestile {
namespace {

using cluster::ClusterMember;
using cluster::EffectiveConfig;
using cluster::MemberOutput;
using nlohmann::json;

// JSON keys of a frame between members.
constexpr const char* kRaftMessageKey = "m";
constexpr const char* kMemberMessageKey = "n";

bool HoldsLease(const EffectiveConfig& effective) {
  return effective.kind != EffectiveConfig::Kind::kIsolated;
}

bool IsSameConfig(const EffectiveConfig& a, const EffectiveConfig& b) {
  return a.version_in_force == b.version_in_force && a.latest_version == b.latest_version;
}

}  // namespace

ClusterAgent::ClusterAgent(EventLoop& loop, ClusterConfig config, Gateway& gateway,
                           Lifecycle& lifecycle, GatewayConfig file)
    : loop_(loop),
      config_(std::move(config)),
      gateway_(gateway),
      lifecycle_(lifecycle),
      file_(std::move(file)),
      applier_(loop, gateway, file_),
      clock_origin_(loop.Now()) {
  if (!config_.disk_control.empty()) {
    controlled_files_ = storage::ControlledFileSystem(config_.disk_control);
  }
  files().MakeFolder(config_.folder);
  raft::PersistentState state;
  try {
    state = ReadPersistentState(files(), config_, file_.name);
  } catch (const storage::CorruptionError&) {
    state = {};  // OpenLog reports the error when it opens the log
  }
  CreateMember(std::move(state));
  // Applies the whole log before the gateway serves any request.
  while (member_->raft_node().HasEntriesToApply()) {
    OnTimeout();
  }
  TryParticipate();
  CheckOwnership();
}

ClusterAgent::~ClusterAgent() {
  StopParticipating();
  loop_.CancelTimer(ownership_timer_);
}

void ClusterAgent::set_file(GatewayConfig file) {
  applier_.set_file(file);
  file_ = std::move(file);
  UpdateEffectiveConfig();
}

storage::FileSystem& ClusterAgent::files() const {
  return controlled_files_ ? *controlled_files_ : storage::SystemFiles();
}

Time ClusterAgent::Now() const {
  if (config_.clock_factor == 1) {
    return loop_.Now();
  }
  const auto since_origin_us = static_cast<double>((loop_.Now() - clock_origin_).count());
  return clock_origin_ + Duration(static_cast<int64_t>(since_origin_us * config_.clock_factor));
}

Duration ClusterAgent::LoopDuration(Duration member_duration) const {
  return Duration(
      static_cast<int64_t>(static_cast<double>(member_duration.count()) / config_.clock_factor));
}

// ---- The member -------------------------------------------------------------------------------

template <typename Step>
void ClusterAgent::RunMember(Step&& step) {
  MemberOutput output;
  const uint64_t mismatches_before = member_->content_mismatch_count();
  step(*member_, Now(), output);
  content_mismatch_count_ += member_->content_mismatch_count() - mismatches_before;
  ProcessOutput(output);
}

void ClusterAgent::ProcessOutput(MemberOutput& output) {
  for (const std::string& line : output.log) {
    Log(LogLevel::kInfo, "{}", line);
  }
  if (!connections_) {  // observing: nothing is written or sent
    UpdateEffectiveConfig();
    return ScheduleTimeout();
  }
  StoreWrites(output.writes);
  SendMessages(output);
  ReplyToCalls(output);
  if (output.storage_rolled_back) {
    RunDeferredWhileOwner([this] {
      RestartWithEmptyLog("other members report that this log was rolled back to an older state");
    });
  }
  // At most once per process: if the content that is sent is wrong, another copy does not help.
  if (!output.needs_resync.empty() && !std::exchange(has_requested_resync_, true)) {
    RunDeferredWhileOwner(
        [this] { RestartWithEmptyLog("its content differs from the agreed content"); });
  }
  UpdateWantedConnections();
  UpdateEffectiveConfig();
  ScheduleTimeout();
}

void ClusterAgent::StoreWrites(const std::vector<raft::StorageWrite>& writes) {
  for (const raft::StorageWrite& write : writes) {
    if (storage_thread_) {
      storage_thread_->Add(write);
    } else {
      // Without storage no message waits for a write. This is safe because of incarnation 0: the
      // other members do not rely on what such a member acknowledges.
      durable_sequence_number_ = std::max(durable_sequence_number_, write.sequence_number);
    }
  }
}

void ClusterAgent::SendMessages(MemberOutput& output) {
  for (raft::OutgoingMessage& outgoing : output.messages) {
    TamperOutgoing(outgoing.message);
    SendWhenDurable(std::move(outgoing));
  }
  for (const cluster::MemberMessage& message : output.member_messages) {
    connections_->Send(message.to, {{kMemberMessageKey, cluster::ToJson(message)}});
  }
}

void ClusterAgent::SendWhenDurable(raft::OutgoingMessage outgoing) {
  if (outgoing.after_sequence_number > durable_sequence_number_) {
    waiting_messages_.push_back(std::move(outgoing));
  } else {
    connections_->Send(outgoing.message.to, {{kRaftMessageKey, raft::ToJson(outgoing.message)}});
  }
}

void ClusterAgent::ReplyToCalls(const MemberOutput& output) {
  for (const auto& [request_number, result] : output.results) {
    if (const auto call = operator_calls_.TakePending(request_number)) {
      connections_->Reply(*call, OperatorCalls::ResultReply(result));
    }
  }
}

void ClusterAgent::OnStorageStateChange() {
  if (!storage_thread_) {
    return;
  }
  const StorageThread::State state = storage_thread_->state();
  if (state.failed) {
    RunDeferredWhileOwner([this, error = state.error] { RestartWithoutStorage(error); });
    return;
  }
  if (state.durable_sequence_number <= durable_sequence_number_) {
    return;
  }
  durable_sequence_number_ = state.durable_sequence_number;
  for (raft::OutgoingMessage& outgoing : std::exchange(waiting_messages_, {})) {
    SendWhenDurable(std::move(outgoing));
  }
  RunMember([&](ClusterMember& member, Time now, MemberOutput& output) {
    member.OnDurable(now, state.durable_sequence_number, output);
  });
}

// Every member connects to the current voters and to the initial voters of the file. Two members
// that are neither exchange no messages, so they need no connection.
void ClusterAgent::UpdateWantedConnections() {
  std::set<std::string> wanted;
  for (const auto& [name, member] : config_.members) {
    if (member.votes) {
      wanted.insert(name);
    }
  }
  for (const raft::Voter& voter : member_->raft_node().voters()) {
    wanted.insert(voter.name);
  }
  if (wanted == wanted_connections_ || !connections_) {
    return;
  }
  wanted_connections_ = wanted;
  connections_->SetWantedMembers(std::move(wanted));
}

void ClusterAgent::ScheduleTimeout() {
  loop_.CancelTimer(member_timer_);
  // An observing agent needs no timeouts except to apply the entries of its log.
  if (!connections_ && !member_->raft_node().HasEntriesToApply()) {
    return;
  }
  const Time due = member_->NextTimeout();
  if (due == Time::max()) {
    return;
  }
  member_timer_ =
      loop_.RunAfter(std::max(Duration(0), LoopDuration(due - Now())), [this] { OnTimeout(); });
}

void ClusterAgent::OnTimeout() {
  RunMember(
      [](ClusterMember& member, Time now, MemberOutput& output) { member.OnTimeout(now, output); });
}

json ClusterAgent::ClaimKnownOf(const std::string& name) {
  return raft::ToJson(member_->raft_node().ClaimKnownOf(name));
}

void ClusterAgent::OnConnected(const std::string& name, uint64_t incarnation, const json& known) {
  const raft::StorageClaim claim = raft::ParseStorageClaim(known).value_or(raft::StorageClaim{});
  RunMember([&](ClusterMember& member, Time now, MemberOutput& output) {
    member.OnPeerConnected(now, name, incarnation, claim, output);
  });
}

void ClusterAgent::OnDisconnected(const std::string& name) {
  RunMember([&](ClusterMember& member, Time now, MemberOutput& output) {
    member.OnPeerDisconnected(now, name, output);
  });
}

void ClusterAgent::OnFrame(const std::string& name, const json& value) {
  if (!value.is_object()) {
    return;
  }
  // A message whose sender is not the connection's member is dropped.
  if (const auto field = value.find(kRaftMessageKey); field != value.end()) {
    auto message = raft::ParseMessage(*field);
    if (!message || message->from != name) {
      return;
    }
    TamperIncoming(*message);
    RunMember([&](ClusterMember& member, Time now, MemberOutput& output) {
      member.OnMessage(now, *message, output);
    });
  }
  if (const auto field = value.find(kMemberMessageKey); field != value.end()) {
    const auto message = cluster::ParseMemberMessage(*field);
    if (!message || message->from != name) {
      return;
    }
    RunMember([&](ClusterMember& member, Time now, MemberOutput& output) {
      member.OnMessage(now, *message, output);
    });
  }
}

// ---- Operators --------------------------------------------------------------------------------

void ClusterAgent::OnCall(uint64_t call, const json& value) {
  if (!connections_) {
    return;
  }
  OperatorCalls::Request request = OperatorCalls::ParseRequest(value);
  const cluster::VersionHistory& history = member_->history();
  switch (request.kind) {
    case OperatorCalls::Request::Kind::kStatus:
      return connections_->Reply(call, Status());
    case OperatorCalls::Request::Kind::kHistory:
      return connections_->Reply(call, OperatorCalls::HistoryReply(value, history));
    case OperatorCalls::Request::Kind::kUnknown:
      return connections_->Reply(call, OperatorCalls::ErrorReply("no such call"));
    case OperatorCalls::Request::Kind::kChange:
      break;
  }
  if (const auto rejection = operator_calls_.RejectionOf(*request.change, history, applier_,
                                                         HoldsLease(CurrentConfig()))) {
    return connections_->Reply(call, *rejection);
  }
  TamperOutgoing(*request.change);
  const uint64_t request_number = operator_calls_.AddPending(call);
  RunMember([&](ClusterMember& member, Time now, MemberOutput& output) {
    member.Submit(now, *request.change, request_number, output);
  });
}

// ---- The effective configuration --------------------------------------------------------------

void ClusterAgent::UpdateEffectiveConfig() {
  const EffectiveConfig effective = CurrentConfig();
  const bool holds_lease = HoldsLease(effective);
  if (holds_lease) {
    ScheduleLeaseCheck(effective.valid_until);
  }
  LogConnectivity(effective);
  const cluster::VersionContent* const applied = applier_.applied_content();
  // A member that catches up without a lease keeps the applied content. The superseded versions
  // that it applies meanwhile may exclude fewer hosts than the latest version it knew, and applying
  // each of them would delay requests. After a storage failure the member may not know yet that
  // there are entries to apply; its latest version is then below the applied one.
  const bool catches_up =
      member_->raft_node().HasEntriesToApply() || effective.latest_version < applied_version_;
  const bool keeps_applied_content = applied != nullptr && !holds_lease && catches_up;
  const bool is_unchanged = applied != nullptr && effective_config_ &&
                            effective_config_->kind == effective.kind &&
                            keeps_applied_content_ == keeps_applied_content &&
                            (keeps_applied_content || IsSameConfig(*effective_config_, effective));
  effective_config_ = effective;
  keeps_applied_content_ = keeps_applied_content;
  UpdateDrain(holds_lease);
  if (is_unchanged) {
    return;
  }
  if (!keeps_applied_content) {
    applied_version_ = effective.latest_version;
  }
  // A gateway that drains when isolated must not send requests to any host, because a version that
  // it has not seen may exclude that host.
  const bool exclude_all_hosts =
      config_.when_disconnected == WhenDisconnected::kDrain && !holds_lease;
  applier_.Apply(keeps_applied_content ? cluster::StrictestFor(*applied) : ContentOf(effective),
                 effective.latest_version, exclude_all_hosts);
}

// Updates the effective configuration when the lease ends, and before the gateway handles any event
// after that time, however late the event loop is.
void ClusterAgent::ScheduleLeaseCheck(Time valid_until) {
  const Duration remaining = LoopDuration(valid_until - Now());
  gateway_.RunBeforeEventsFrom(loop_.Now() + remaining, [this] { UpdateEffectiveConfig(); });
  loop_.CancelTimer(lease_timer_);
  lease_timer_ = loop_.RunAfter(remaining, [this] { UpdateEffectiveConfig(); });
}

void ClusterAgent::LogConnectivity(const EffectiveConfig& effective) {
  const bool holds_lease = HoldsLease(effective);
  const bool held_lease = effective_config_ && HoldsLease(*effective_config_);
  if (holds_lease == held_lease) {
    return;
  }
  if (holds_lease) {
    Log(LogLevel::kInfo, "bank: connected to the cluster, version {} in force",
        effective.version_in_force);
  } else {
    ++isolation_count_;
    Log(LogLevel::kWarning,
        "bank: isolated from the cluster, retries are disabled until it reconnects");
  }
}

// Ends a drain only if this agent began it.
void ClusterAgent::UpdateDrain(bool holds_lease) {
  if (config_.when_disconnected == WhenDisconnected::kDrain && drained_ == holds_lease) {
    drained_ = !holds_lease;
    lifecycle_.set_isolated(drained_);
  }
}

}  // namespace paddlestile
