#include "gateway/cluster_agent.h"

#include <fmt/format.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "base/log.h"
#include "cluster/codec.h"
#include "cluster/delta.h"
#include "raft/codec.h"
#include "storage/controlled_files.h"
#include "storage/write_ahead_log.h"

namespace paddlestile {
namespace {

using cluster::ClusterMember;
using cluster::EffectiveConfig;
using cluster::MemberOutput;
using nlohmann::json;

constexpr Duration kLookAgain{100'000};  // us; at the folder, while another process has it
constexpr Duration kRoomAgain{200'000};  // us; while the disk is full
constexpr size_t kCallsMost = 64;
constexpr size_t kTextsMost = 2 * cluster::kMaxVersionBytes;  // bytes of versions in one answer

std::string Packed(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

uint64_t NewLife() {
  std::random_device device;
  return (uint64_t{device()} << 32 | device()) | 1;
}

json Identity(const ClusterConfig& config, const std::string& name,
              const raft::PersistentState& disk) {
  return {{"bank", config.cluster_name},
          {"name", name},
          {"life", disk.incarnation},
          {"boot", disk.restart_count}};
}

// One record of the log; throws ConfigError for one of another bank.
void Take(const ClusterConfig& config, const std::string& name, std::string_view record,
          raft::PersistentState& disk) {
  const json value = json::from_cbor(record, true, false);
  if (value.is_object()) {
    if (value.value("bank", "") != config.cluster_name || value.value("name", "") != name) {
      throw ConfigError(fmt::format("{}: the log of {} in bank '{}', expected that of {} in '{}'",
                                    config.folder, value.value("name", ""), value.value("bank", ""),
                                    name, config.cluster_name));
    }
    disk.incarnation = value.value("life", uint64_t{0});
    disk.restart_count = value.value("boot", uint64_t{0});
  } else if (const auto write = raft::ReadWrite(value)) {
    raft::ApplyStorageWrite(disk, *write);
  }
}

}  // namespace

// Writes in order, syncs what has gathered at once, and tells the loop by an eventfd.
class DiskThread final : public EventLoop::Handler {
 public:
  DiskThread(EventLoop& loop, std::unique_ptr<storage::WriteAheadLog> log, std::string identity,
             std::function<void()> told)
      : loop_(loop),
        log_(std::move(log)),
        identity_(std::move(identity)),
        told_(std::move(told)),
        fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    loop_.Watch(fd_.get(), this, token_);
    thread_ = std::thread([this] { Work(); });
  }
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;
  virtual ~DiskThread() {
    {
      const std::scoped_lock lock(mutex_);
      over_ = true;
    }
    wake_.notify_one();
    thread_.join();
    loop_.Unwatch(fd_.get(), token_);
  }

  void Add(const raft::StorageWrite& write) {
    Job job{write.sequence_number, Packed(raft::ToJson(write)), write.commit_only,
            write.snapshot.has_value()};
    {
      const std::scoped_lock lock(mutex_);
      jobs_.push_back(std::move(job));
    }
    wake_.notify_one();
  }
  struct State {
    uint64_t durable = 0;
    bool failed = false;
    std::string why;  // it failed, or waits for room
    uint64_t bytes = 0;
  };
  State Look() {
    const std::scoped_lock lock(mutex_);
    return state_;
  }

 private:
  struct Job {
    uint64_t ticket = 0;
    std::string record;
    bool lazy = false, replaces = false;
  };
  void OnEvents(uint32_t) override {
    uint64_t count = 0;
    while (read(fd_.get(), &count, sizeof(count)) > 0) {
    }
    told_();
  }
  void Tell(const State& state) {
    {
      const std::scoped_lock lock(mutex_);
      state_ = state;
    }
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(fd_.get(), &one, sizeof(one));
  }
  void Work() {
    State state;
    std::deque<Job> batch;
    while (true) {
      {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return over_ || !jobs_.empty(); });
        if (jobs_.empty()) {
          return;
        }
        std::swap(batch, jobs_);
      }
      // What is lazy alone waits for company: a sync for nothing wears the disk.
      bool sync = false;
      while (!batch.empty() && !state.failed) {
        Job& job = batch.front();
        try {
          if (job.replaces) {
            log_->Replace({identity_, job.record});
            sync = false;
          } else {
            log_->Append(job.record);
            sync = sync || !job.lazy;
          }
          last_ = std::max(last_, job.ticket);
          batch.pop_front();
        } catch (const storage::FileError& error) {
          state.why = error.what();
          state.failed = log_->broken() || error.code() != ENOSPC;
          Tell(state);
          std::unique_lock lock(mutex_);
          if (over_) {
            return;
          }
          if (!state.failed) {
            wake_.wait_for(lock, kRoomAgain, [this] { return over_; });
          }
        }
      }
      batch.clear();
      if (state.failed) {
        continue;
      }
      try {
        if (sync) {
          log_->Sync();
        }
        state.durable = std::max(state.durable, last_);
        state.why.clear();
        state.bytes = log_->size();
      } catch (const storage::FileError& error) {
        state.failed = true;
        state.why = error.what();
      }
      Tell(state);
    }
  }

  EventLoop& loop_;
  std::unique_ptr<storage::WriteAheadLog> log_;
  std::string identity_;
  std::function<void()> told_;
  FileDescriptor fd_;
  uint64_t token_ = 0, last_ = 0;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  State state_;
  bool over_ = false;
  std::thread thread_;
};

ClusterAgent::ClusterAgent(EventLoop& loop, ClusterConfig config, Gateway& gateway, Lifecycle& life,
                           GatewayConfig file)
    : loop_(loop),
      config_(std::move(config)),
      gateway_(gateway),
      lifecycle_(life),
      file_(std::move(file)),
      settings_(file_),
      zero_(loop.Now()) {
  if (!config_.disk_control.empty()) {
    controlled_ = storage::ControlledFileSystem(config_.disk_control);
  }
  Disk().MakeFolder(config_.folder);
  // Until it takes part it acts on what its disk has, as one that is alone.
  raft::PersistentState disk;
  try {
    storage::WriteAheadLog::Read(Disk(), config_.folder, [&](std::string_view record) {
      Take(config_, file_.name, record, disk);
    });
  } catch (const storage::CorruptionError&) {
    disk = {};  // said when it is opened
  }
  Begin(std::move(disk));
  // All of it before anything is served: nothing waits yet.
  while (member_->raft_node().HasEntriesToApply()) {
    Tick();
  }
  TakePart();
  Look();
}

ClusterAgent::~ClusterAgent() {
  Leave();
  loop_.CancelTimer(look_timer_);
}

// Takes no part any more, and holds no lease: what it has is another process's, or nobody's.
void ClusterAgent::Leave() {
  for (EventLoop::TimerId* const timer : {&timer_, &act_timer_}) {
    loop_.CancelTimer(*timer);
  }
  gateway_.RunBeforeEventsFrom(Time::max(), nullptr);
  connections_.reset();
  disk_.reset();
  lock_.reset();
}

// A newer process of this gateway takes its place in the bank once this one has left it; where that
// one dies, this one comes back.
void ClusterAgent::Look() {
  try {
    if (lifecycle_.replaced() && lock_) {
      Log(LogLevel::kInfo, "bank: leaves it to the newer process");
      Leave();
      raft::PersistentState disk;
      storage::WriteAheadLog::Read(Disk(), config_.folder, [&](std::string_view record) {
        Take(config_, file_.name, record, disk);
      });
      Begin(std::move(disk));
    } else if (!lifecycle_.replaced() && !lock_) {
      TakePart();
    }
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "bank: {}", error.what());
    Leave();
  }
  look_timer_ = loop_.RunAfter(kLookAgain, [this] { Look(); });
}

storage::FileSystem& ClusterAgent::Disk() const {
  return controlled_ ? *controlled_ : storage::SystemFiles();
}

Time ClusterAgent::Now() const {
  if (config_.clock_factor == 1) {
    return loop_.Now();
  }
  const auto since = static_cast<double>((loop_.Now() - zero_).count());
  return zero_ + Duration(static_cast<int64_t>(since * config_.clock_factor));
}

void ClusterAgent::Begin(raft::PersistentState disk) {
  ClusterMember::Options options;
  options.name = file_.name;
  options.timing = config_.timing;
  options.deltas = config_.change_encoding == ChangeEncoding::kDelta;
  for (const auto& [name, seat] : config_.members) {
    if (seat.votes) {
      options.initial_voters.insert(name);
    }
  }
  durable_ = 0;
  held_.clear();
  wanted_.clear();
  member_ = std::make_unique<ClusterMember>(std::move(options), std::move(disk), NewLife(), Now());
  stance_.reset();
  Run([&](ClusterMember& m, Time now, MemberOutput& out) { m.OnTimeout(now, out); });
}

void ClusterAgent::TakePart() {
  lock_ = Disk().Lock(config_.folder + "/lock");
  if (lock_) {
    OpenDisk();
  }
}

void ClusterAgent::Link(uint64_t life, uint64_t boot) {
  peer::PeerConnectionOptions options;
  options.cluster_name = config_.cluster_name;
  options.name = file_.name;
  options.incarnation = life;
  options.restart_count = boot;
  options.seed = NewLife();
  options.listen = config_.members.at(file_.name).address;
  for (const auto& [name, seat] : config_.members) {
    options.members[name] = seat.dial_address;
  }
  connections_ =
      std::make_unique<peer::PeerConnections>(loop_, gateway_.budget(), std::move(options), this);
}

void ClusterAgent::OpenDisk() {
  raft::PersistentState disk;
  std::unique_ptr<storage::WriteAheadLog> log;
  const auto open = [&] {
    disk = {};
    log = std::make_unique<storage::WriteAheadLog>(
        Disk(), config_.folder,
        [&](std::string_view record) { Take(config_, file_.name, record, disk); });
  };
  const std::string path = storage::WriteAheadLog::PathIn(config_.folder);
  try {
    try {
      open();
    } catch (const storage::CorruptionError& error) {
      // It must not vote as if it remembered: kept for who wants to look, and begun anew.
      Log(LogLevel::kError, "bank: {}; begins anew as one that does not vote, until it is let in",
          error.what());
      Disk().Rename(path, path + ".damaged");
      open();
    }
    if (log->cut_off() > 0) {
      Log(LogLevel::kWarning, "bank: {}: {} bytes cut off the end, as after a loss of power", path,
          log->cut_off());
    }
    if (disk.incarnation == 0) {
      disk.incarnation = NewLife();
    }
    ++disk.restart_count;
    const std::string identity = Packed(Identity(config_, file_.name, disk));
    log->Append(identity);
    log->Sync();
    disk_ = std::make_unique<DiskThread>(loop_, std::move(log), identity, [this] { OnDisk(); });
    diskless_ = false;
  } catch (const storage::FileError& error) {
    return StartAnew(error.what(), false);
  }
  Link(disk.incarnation, disk.restart_count);
  Begin(std::move(disk));
  Log(LogLevel::kInfo, "bank: {} takes part in '{}', bound {} ms", file_.name, config_.cluster_name,
      cluster::MaxDisagreement(config_.timing, cluster::kDetectionDelay).count() / 1000);
}

// Another life under this name, on an empty log or on none: a follower, until it is let in anew.
void ClusterAgent::StartAnew(const char* why, bool on_disk) {
  Log(LogLevel::kError, "bank: {}; begins anew as one that does not vote, until it is let in", why);
  connections_.reset();
  disk_.reset();
  if (on_disk) {
    const std::string path = storage::WriteAheadLog::PathIn(config_.folder);
    try {
      Disk().Rename(path, path + ".forgotten");
      return OpenDisk();
    } catch (const storage::FileError& error) {
      Log(LogLevel::kError, "bank: {}", error.what());
    }
  }
  ++disk_failures_;
  diskless_ = true;
  raft::PersistentState disk;
  disk.incarnation = 0;  // it cannot be let in as a voter
  disk.restart_count = 1;
  Link(disk.incarnation, disk.restart_count);
  Begin(std::move(disk));
}

void ClusterAgent::OnDisk() {
  if (!disk_) {
    return;
  }
  const DiskThread::State state = disk_->Look();
  if (state.failed) {
    loop_.RunDeferred([this, why = state.why, alive = std::weak_ptr(lock_)] {
      if (!alive.expired()) {
        StartAnew(why.c_str(), false);
      }
    });
    return;
  }
  if (state.durable <= durable_) {
    return;
  }
  durable_ = state.durable;
  std::vector<raft::OutgoingMessage> held = std::move(held_);
  held_.clear();
  for (raft::OutgoingMessage& outgoing : held) {
    if (outgoing.after_sequence_number <= durable_) {
      connections_->Send(outgoing.message.to, {{"m", raft::ToJson(outgoing.message)}});
    } else {
      held_.push_back(std::move(outgoing));
    }
  }
  Run([&](ClusterMember& m, Time now, MemberOutput& out) { m.OnDurable(now, state.durable, out); });
}

// ---- PeerConnections
// ------------------------------------------------------------------------------------

// Those that vote, or did at first, are linked with all; the others have nothing to say to each
// other.
void ClusterAgent::Wants() {
  std::set<std::string> wanted;
  for (const auto& [name, seat] : config_.members) {
    if (seat.votes) {
      wanted.insert(name);
    }
  }
  for (const raft::Voter& v : member_->raft_node().voters()) {
    wanted.insert(v.name);
  }
  if (wanted == wanted_ || !connections_) {
    return;
  }
  wanted_ = wanted;
  connections_->SetWantedMembers(std::move(wanted));
}

json ClusterAgent::ClaimKnownOf(const std::string& name) {
  return raft::ToJson(member_->raft_node().ClaimKnownOf(name));
}

void ClusterAgent::OnConnected(const std::string& name, uint64_t life, const json& known) {
  const raft::StorageClaim claim = raft::ReadClaim(known).value_or(raft::StorageClaim{});
  Run([&](ClusterMember& m, Time now, MemberOutput& out) {
    m.OnPeerConnected(now, name, life, claim, out);
  });
}

void ClusterAgent::OnDisconnected(const std::string& name) {
  Run([&](ClusterMember& m, Time now, MemberOutput& out) { m.OnPeerDisconnected(now, name, out); });
}

void ClusterAgent::OnFrame(const std::string& name, const json& value) {
  if (!value.is_object()) {
    return;
  }
  if (const auto at = value.find("m"); at != value.end()) {
    auto message = raft::ReadMessage(*at);
    // Nobody speaks for another.
    if (!message || message->from != name) {
      return;
    }
    TamperIncoming(*message);
    Run([&](ClusterMember& m, Time now, MemberOutput& out) { m.OnMessage(now, *message, out); });
  }
  if (const auto at = value.find("n"); at != value.end()) {
    const auto note = cluster::ReadNote(*at);
    if (!note || note->from != name) {
      return;
    }
    Run([&](ClusterMember& m, Time now, MemberOutput& out) { m.OnMessage(now, *note, out); });
  }
}

// ---- Operators --------------------------------------------------------------------------------

std::string ClusterAgent::CannotActOn(const cluster::VersionContent& rules) const {
  try {
    if (const auto tenants = TenantsFor(rules)) {
      ValidateTenantChanges(*tenants, gateway_.config());
    } else {
      static_cast<void>(settings_.ApplyVersion(rules, gateway_.config(), nullptr, loop_.Now()));
    }
    return {};
  } catch (const std::exception& error) {
    return error.what();
  }
}

// How the settings in force differ from those of `rules`, where it is by tenants alone.
std::optional<std::vector<TenantChange>> ClusterAgent::TenantsFor(
    const cluster::VersionContent& rules) const {
  if (!adopted_) {
    return std::nullopt;
  }
  return VersionedSettings::TenantsChanged(*rules_, rules);
}

// Of a change with faults of its own nothing is said here: the leader names them all.
std::string ClusterAgent::CannotTake(const cluster::Change& change) const {
  try {
    return CannotActOn(
        change.is_delta ? cluster::ApplyDelta(member_->history().latest_content(), change.document)
                        : cluster::ParseDocument(change.document));
  } catch (const std::invalid_argument&) {
    return {};
  }
}

void ClusterAgent::OnCall(uint64_t call, const json& value) {
  if (!connections_) {
    return;
  }
  const std::string what = value.is_object() ? value.value("what", "") : "";
  if (what == "status") {
    return connections_->Reply(call, Status());
  }
  if (what == "history") {
    // The texts that are asked for; where none is named, of as many of the last as a frame bears.
    const json wanted = value.value("texts", json());
    const cluster::VersionHistory& history = member_->history();
    std::map<uint64_t, std::string> texts;
    size_t bytes = 0;
    for (auto v = history.versions().rbegin(); v != history.versions().rend(); ++v) {
      if (!v->content ||
          (wanted.is_array() && std::ranges::find(wanted, json(v->number)) == wanted.end())) {
        continue;
      }
      bytes += cluster::TextBytes(*v->content);
      if (bytes > kTextsMost) {
        break;
      }
      texts[v->number] = cluster::ToText(*v->content);
    }
    json all = json::array();
    for (const cluster::Version& v : member_->history().versions()) {
      all.push_back({{"version", v.number},
                     {"id", v.id},
                     {"author", v.author},
                     {"reason", v.reason},
                     {"hash", v.hash},
                     {"unix_s", v.submitted_unix_s},
                     {"rules", std::move(texts[v.number])},
                     {"on", v.number <= member_->history().version_in_force()}});
    }
    return connections_->Reply(call, {{"versions", all}});
  }
  auto wish =
      value.is_object() && value.contains("wish") ? cluster::ReadWish(value["wish"]) : std::nullopt;
  if (!wish) {
    return connections_->Reply(call, {{"error", "no such call"}});
  }
  if (wish->kind == cluster::ChangeRequest::Kind::kChange) {
    if (const std::string why = CannotTake(wish->change); !why.empty()) {
      const cluster::ChangeResult refused{cluster::ChangeResult::Kind::kRefused, wish->change.id, 0,
                                          why};
      return connections_->Reply(call, {{"answer", cluster::ToJson(refused)}});
    }
  }
  if (calls_.size() >= kCallsMost) {
    return connections_->Reply(call, {{"error", "too many calls at once"}});
  }
  TamperOutgoing(*wish);
  const uint64_t ticket = next_ticket_++;
  calls_[ticket] = call;
  Run([&](ClusterMember& m, Time now, MemberOutput& out) { m.Submit(now, *wish, ticket, out); });
}

json ClusterAgent::Status() const {
  json status = member_->Status(Now());
  status["bank"] = config_.cluster_name;
  status["disk"] = diskless_ ? "none" : disk_ ? "good" : "another process has it";
  if (disk_) {
    const DiskThread::State state = disk_->Look();
    status["log_bytes"] = state.bytes;
    if (!state.why.empty()) {
      status["disk"] = state.why;
    }
  }
  if (connections_) {
    const peer::PeerConnections::Statistics& c = connections_->statistics();
    status["frames_in"] = c.frames_in;
    status["frames_out"] = c.frames_out;
    status["bytes_in"] = c.bytes_in;
    status["bytes_out"] = c.bytes_out;
    status["dropped"] = c.dropped;
    status["nonsense"] = c.malformed_frames;
    status["strangers"] = c.unidentified;
    status["old_lives"] = c.stale_incarnations;
  }
  return status;
}

std::string ClusterAgent::DescribeState() const {
  const EffectiveConfig stance = member_->CurrentConfig(Now());
  constexpr std::array kStances = {"agreed", "between", "alone"};
  return fmt::format(
      "bank_stance={} bank_on={} bank_latest={} bank_term={} bank_leader={} bank_links={} "
      "bank_rule_changes={} bank_lost={} bank_disk_failures={} bank_content_differed={}",
      kStances[static_cast<size_t>(stance.kind)], stance.version_in_force, stance.latest_version,
      member_->raft_node().current_term(),
      member_->raft_node().leader().empty() ? "none" : member_->raft_node().leader(),
      connections_ ? connections_->connected_count() : 0, changes_, lost_, disk_failures_,
      content_differed_);
}

// ---- The decider ------------------------------------------------------------------------------

template <typename What>
void ClusterAgent::Run(What&& what) {
  MemberOutput out;
  const uint64_t differed = member_->content_mismatch_count();
  what(*member_, Now(), out);
  content_differed_ += member_->content_mismatch_count() - differed;
  CarryOut(out);
}

void ClusterAgent::CarryOut(MemberOutput& out) {
  for (const std::string& line : out.log) {
    Log(LogLevel::kInfo, "{}", line);
  }
  // Before it takes part it only looks at what its disk has.
  if (!connections_) {
    Act();
    return Plan();
  }
  for (const raft::StorageWrite& write : out.writes) {
    if (disk_) {
      disk_->Add(write);
    } else {
      // It has none, and nothing that it says counts as if it had.
      durable_ = std::max(durable_, write.sequence_number);
    }
  }
  for (raft::OutgoingMessage& outgoing : out.messages) {
    TamperOutgoing(outgoing.message);
    if (outgoing.after_sequence_number > durable_) {
      held_.push_back(std::move(outgoing));
    } else {
      connections_->Send(outgoing.message.to, {{"m", raft::ToJson(outgoing.message)}});
    }
  }
  for (const cluster::MemberMessage& note : out.member_messages) {
    connections_->Send(note.to, {{"n", cluster::ToJson(note)}});
  }
  for (const auto& [ticket, answer] : out.results) {
    const auto at = calls_.find(ticket);
    if (at == calls_.end()) {
      continue;
    }
    connections_->Reply(at->second, {{"answer", cluster::ToJson(answer)}});
    calls_.erase(at);
  }
  if (out.storage_rolled_back) {
    loop_.RunDeferred([this, alive = std::weak_ptr(lock_)] {
      if (!alive.expired()) {
        StartAnew("this disk has gone back to an older state, as the others tell", true);
      }
    });
  }
  // Once for a process: where the fault lies with what is sent, more of it mends nothing.
  if (!out.needs_resync.empty() && !std::exchange(anew_, true)) {
    loop_.RunDeferred([this, alive = std::weak_ptr(lock_)] {
      if (!alive.expired()) {
        StartAnew("its content is not what was agreed", true);
      }
    });
  }
  Wants();
  Act();
  Plan();
}

void ClusterAgent::Plan() {
  loop_.CancelTimer(timer_);
  // One that takes no part has nothing else to do in time.
  if (!connections_ && !member_->raft_node().HasEntriesToApply()) {
    return;
  }
  const Time due = member_->NextTimeout();
  if (due == Time::max()) {
    return;
  }
  const auto wait = static_cast<double>((due - Now()).count()) / config_.clock_factor;
  timer_ = loop_.RunAfter(std::max(Duration(0), Duration(static_cast<int64_t>(wait))),
                          [this] { Tick(); });
}

void ClusterAgent::Tick() {
  Run([](ClusterMember& m, Time now, MemberOutput& out) { m.OnTimeout(now, out); });
}

void ClusterAgent::set_file(GatewayConfig file) {
  settings_ = VersionedSettings(file);
  file_ = std::move(file);
  rules_.reset();
  adopted_ = false;
  Act();
}

// What the gateway may act on now, in force before its next event.
void ClusterAgent::Act() {
  const EffectiveConfig stance = CurrentConfig();
  const bool held = stance.kind != EffectiveConfig::Kind::kIsolated;
  if (held) {
    // Asked again before anything is decided past this, however late the loop is.
    const auto left =
        static_cast<double>((stance.valid_until - Now()).count()) / config_.clock_factor;
    const Duration wait(static_cast<int64_t>(left));
    gateway_.RunBeforeEventsFrom(loop_.Now() + wait, [this] { Act(); });
    loop_.CancelTimer(act_timer_);
    act_timer_ = loop_.RunAfter(wait, [this] { Act(); });
  }
  const bool was_held = stance_ && stance_->kind != EffectiveConfig::Kind::kIsolated;
  if (held != was_held) {
    if (!held) {
      ++lost_;
    }
    Log(held ? LogLevel::kInfo : LogLevel::kWarning, "bank: {}",
        held ? fmt::format("in touch, version {}", stance.version_in_force)
             : "out of touch: strict rules, nothing is sent twice");
  }
  // One without a lease that catches up goes on with what it had: to act on each version that has
  // come and gone since would hold up its requests for nothing.
  const bool keeps = rules_ && !held && member_->raft_node().HasEntriesToApply();
  const bool same = rules_ && stance_ && stance_->kind == stance.kind && kept_ == keeps &&
                    (keeps || (stance_->version_in_force == stance.version_in_force &&
                               stance_->latest_version == stance.latest_version));
  stance_ = stance;
  kept_ = keeps;
  if (config_.when_disconnected == WhenDisconnected::kDrain && drained_ == held) {
    // Only what was drained for this is taken back.
    drained_ = !held;
    lifecycle_.set_drained(drained_);
  }
  // Where the bound goes before service nothing may go to a host that may be barred by now.
  const bool nowhere = config_.when_disconnected == WhenDisconnected::kDrain && !held;
  if (same) {
    return;
  }
  cluster::VersionContent rules = keeps ? cluster::StrictestFor(*rules_) : ContentOf(stance);
  if (rules_ && *rules_ == rules && nowhere_ == nowhere) {
    return;
  }
  const Time now = loop_.Now();
  try {
    const auto tenants = TenantsFor(rules);
    if (tenants) {
      gateway_.ApplyTenantChanges(*tenants);
    } else {
      gateway_.ApplyConfig(settings_.ApplyVersion(rules, gateway_.config(), nullptr, now));
    }
    // Whoever is to be kept off is told by their names, and by the own zone's place.
    const bool hosts = !tenants || nowhere != nowhere_ || rules.excluded != rules_->excluded ||
                       rules.draining != rules_->draining || rules.zone_only != rules_->zone_only;
    if (hosts) {
      gateway_.ExcludeHosts(KeptOff(rules), nowhere);
    }
    ++changes_;
    adopted_ = true;
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "bank: version {} cannot be acted on here: {}", stance.latest_version,
        error.what());
    cluster::VersionContent strict = cluster::StrictestFor(rules);
    strict.settings = {};
    strict.classes.reset();
    strict.tenants.reset();
    gateway_.ApplyConfig(settings_.ApplyVersion(strict, gateway_.config(), nullptr, now));
    std::set<std::string> off;
    strict.excluded.ForEach([&](const cluster::MapEntry& part) { off.insert(part.name); });
    gateway_.ExcludeHosts(std::move(off), nowhere);
    adopted_ = false;
  }
  rules_ = std::move(rules);
  nowhere_ = nowhere;
}

// The hosts that take no work from this gateway.
std::set<std::string> ClusterAgent::KeptOff(const cluster::VersionContent& rules) const {
  std::set<std::string> off;
  const auto add = [&](const cluster::MapEntry& part) {
    off.insert(part.name);
  };
  rules.excluded.ForEach(add);
  rules.draining.ForEach(add);
  const GatewayConfig& config = gateway_.config();
  const auto mine = static_cast<size_t>(config.settings.zone);
  rules.zone_only.ForEach([&](const cluster::MapEntry& part) {
    if (config.names.zones.Find(json::parse(part.text).get<std::string>()) != mine) {
      add(part);
    }
  });
  return off;
}

void InitCluster(const ClusterConfig& config, const std::string& name) {
  storage::FileSystem& files = storage::SystemFiles();
  try {
    files.MakeFolder(config.folder);
    const auto lock = files.Lock(config.folder + "/lock");
    if (!lock) {
      throw ConfigError(config.folder + ": a process has it, expected none");
    }
    bool there = false;
    raft::PersistentState disk;
    storage::WriteAheadLog log(files, config.folder, [&](std::string_view) { there = true; });
    if (there) {
      throw ConfigError(config.folder + ": a log is there already, expected none");
    }
    disk.incarnation = NewLife();
    raft::StorageWrite write;
    write.current_term = 1;
    write.first_index = 1;
    write.entries = {{1, raft::LogEntry::Kind::kVoters, {}, {{name, disk.incarnation}}}};
    log.Append(Packed(Identity(config, name, disk)));
    log.Append(Packed(raft::ToJson(write)));
    log.Sync();
  } catch (const storage::FileError& error) {
    throw ConfigError(error.what());
  }
}

}  // namespace paddlestile
