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

using cluster::Member;
using cluster::MemberOutput;
using cluster::Stance;
using nlohmann::json;

constexpr Duration kLookAgain{100'000};  // us; at the folder, while another process has it
constexpr Duration kRoomAgain{200'000};  // us; while the disk is full
constexpr size_t kCallsMost = 64;
constexpr size_t kTextsMost = 2 * cluster::kVersionMost;  // bytes of versions in one answer

std::string Packed(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

uint64_t NewLife() {
  std::random_device device;
  return (uint64_t{device()} << 32 | device()) | 1;
}

json Identity(const BankConfig& config, const std::string& name, const raft::Disk& disk) {
  return {{"bank", config.bank}, {"name", name}, {"life", disk.life}, {"boot", disk.boot}};
}

// One record of the log; throws ConfigError for one of another bank.
void Take(const BankConfig& config, const std::string& name, std::string_view record,
          raft::Disk& disk) {
  const json value = json::from_cbor(record, true, false);
  if (value.is_object()) {
    if (value.value("bank", "") != config.bank || value.value("name", "") != name) {
      throw ConfigError(fmt::format("{}: the log of {} in bank '{}', expected that of {} in '{}'",
                                    config.folder, value.value("name", ""), value.value("bank", ""),
                                    name, config.bank));
    }
    disk.life = value.value("life", uint64_t{0});
    disk.boot = value.value("boot", uint64_t{0});
  } else if (const auto write = raft::ReadWrite(value)) {
    raft::ApplyWrite(disk, *write);
  }
}

}  // namespace

// Writes in order, syncs what has gathered at once, and tells the loop by an eventfd.
class DiskThread final : public EventLoop::Handler {
 public:
  DiskThread(EventLoop& loop, std::unique_ptr<storage::Log> log, std::string identity,
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

  void Add(const raft::Write& write) {
    Job job{write.ticket, Packed(raft::ToJson(write)), write.lazy, write.snapshot.has_value()};
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
    while (read(fd_.get(), &count, sizeof(count)) > 0) {}
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
        if (jobs_.empty()) return;
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
          if (over_) return;
          if (!state.failed) wake_.wait_for(lock, kRoomAgain, [this] { return over_; });
        }
      }
      batch.clear();
      if (state.failed) continue;
      try {
        if (sync) log_->Sync();
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
  std::unique_ptr<storage::Log> log_;
  std::string identity_;
  std::function<void()> told_;
  Fd fd_;
  uint64_t token_ = 0, last_ = 0;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  State state_;
  bool over_ = false;
  std::thread thread_;
};

Membership::Membership(EventLoop& loop, BankConfig config, Gateway& gateway, Life& life,
                       Config file)
    : loop_(loop),
      config_(std::move(config)),
      gateway_(gateway),
      life_(life),
      file_(std::move(file)),
      settings_(file_),
      zero_(loop.Now()) {
  if (!config_.disk_control.empty()) controlled_ = storage::ControlledFiles(config_.disk_control);
  Disk().MakeFolder(config_.folder);
  // Until it takes part it acts on what its disk has, as one that is alone.
  raft::Disk disk;
  try {
    storage::Log::Read(Disk(), config_.folder,
                       [&](std::string_view record) { Take(config_, file_.name, record, disk); });
  } catch (const storage::DamageError&) {
    disk = {};  // said when it is opened
  }
  Begin(std::move(disk));
  // All of it before anything is served: nothing waits yet.
  while (member_->agreement().Behind()) Tick();
  TakePart();
  Look();
}

Membership::~Membership() {
  Leave();
  loop_.Cancel(look_timer_);
}

// Takes no part any more, and holds no lease: what it has is another process's, or nobody's.
void Membership::Leave() {
  for (EventLoop::TimerId* const timer : {&timer_, &act_timer_}) loop_.Cancel(*timer);
  gateway_.Guard(Time::max(), nullptr);
  links_.reset();
  disk_.reset();
  lock_.reset();
}

// A newer process of this gateway takes its place in the bank once this one has left it; where that
// one dies, this one comes back.
void Membership::Look() {
  try {
    if (life_.handed_over() && lock_) {
      Log(Level::kInfo, "bank: leaves it to the newer process");
      Leave();
      raft::Disk disk;
      storage::Log::Read(Disk(), config_.folder,
                         [&](std::string_view record) { Take(config_, file_.name, record, disk); });
      Begin(std::move(disk));
    } else if (!life_.handed_over() && !lock_) {
      TakePart();
    }
  } catch (const std::exception& error) {
    Log(Level::kError, "bank: {}", error.what());
    Leave();
  }
  look_timer_ = loop_.After(kLookAgain, [this] { Look(); });
}

storage::Files& Membership::Disk() const {
  return controlled_ ? *controlled_ : storage::RealFiles();
}

Time Membership::Now() const {
  if (config_.clock_factor == 1) return loop_.Now();
  const auto since = static_cast<double>((loop_.Now() - zero_).count());
  return zero_ + Duration(static_cast<int64_t>(since * config_.clock_factor));
}

void Membership::Begin(raft::Disk disk) {
  Member::Options options;
  options.name = file_.name;
  options.timing = config_.timing;
  options.deltas = config_.changes == ChangeForm::kDelta;
  for (const auto& [name, seat] : config_.members) {
    if (seat.votes) options.first_voters.insert(name);
  }
  durable_ = 0;
  held_.clear();
  wanted_.clear();
  member_ = std::make_unique<Member>(std::move(options), std::move(disk), NewLife(), Now());
  stance_.reset();
  Run([&](Member& m, Time now, MemberOutput& out) { m.Tick(now, out); });
}

void Membership::TakePart() {
  lock_ = Disk().Lock(config_.folder + "/lock");
  if (lock_) OpenDisk();
}

void Membership::Link(uint64_t life, uint64_t boot) {
  peer::LinkOptions options;
  options.bank = config_.bank;
  options.name = file_.name;
  options.life = life;
  options.boot = boot;
  options.seed = NewLife();
  options.listen = config_.members.at(file_.name).address;
  for (const auto& [name, seat] : config_.members) options.members[name] = seat.dial;
  links_ = std::make_unique<peer::Links>(loop_, gateway_.budget(), std::move(options), this);
}

void Membership::OpenDisk() {
  raft::Disk disk;
  std::unique_ptr<storage::Log> log;
  const auto open = [&] {
    disk = {};
    log = std::make_unique<storage::Log>(Disk(), config_.folder, [&](std::string_view record) {
      Take(config_, file_.name, record, disk);
    });
  };
  const std::string path = storage::Log::PathIn(config_.folder);
  try {
    try {
      open();
    } catch (const storage::DamageError& error) {
      // It must not vote as if it remembered: kept for who wants to look, and begun anew.
      Log(Level::kError, "bank: {}; begins anew as one that does not vote, until it is let in",
          error.what());
      Disk().Rename(path, path + ".damaged");
      open();
    }
    if (log->cut_off() > 0) {
      Log(Level::kWarning, "bank: {}: {} bytes cut off the end, as after a loss of power", path,
          log->cut_off());
    }
    if (disk.life == 0) disk.life = NewLife();
    ++disk.boot;
    const std::string identity = Packed(Identity(config_, file_.name, disk));
    log->Append(identity);
    log->Sync();
    disk_ = std::make_unique<DiskThread>(loop_, std::move(log), identity, [this] { OnDisk(); });
    diskless_ = false;
  } catch (const storage::FileError& error) {
    return StartAnew(error.what(), false);
  }
  Link(disk.life, disk.boot);
  Begin(std::move(disk));
  Log(Level::kInfo, "bank: {} takes part in '{}', bound {} ms", file_.name, config_.bank,
      cluster::BoundOf(config_.timing, cluster::kSlack).count() / 1000);
}

// Another life under this name, on an empty log or on none: a follower, until it is let in anew.
void Membership::StartAnew(const char* why, bool on_disk) {
  Log(Level::kError, "bank: {}; begins anew as one that does not vote, until it is let in", why);
  links_.reset();
  disk_.reset();
  if (on_disk) {
    const std::string path = storage::Log::PathIn(config_.folder);
    try {
      Disk().Rename(path, path + ".forgotten");
      return OpenDisk();
    } catch (const storage::FileError& error) {
      Log(Level::kError, "bank: {}", error.what());
    }
  }
  ++disk_failures_;
  diskless_ = true;
  raft::Disk disk;
  disk.life = 0;  // it cannot be let in as a voter
  disk.boot = 1;
  Link(disk.life, disk.boot);
  Begin(std::move(disk));
}

void Membership::OnDisk() {
  if (!disk_) return;
  const DiskThread::State state = disk_->Look();
  if (state.failed) {
    loop_.Defer([this, why = state.why, alive = std::weak_ptr(lock_)] {
      if (!alive.expired()) StartAnew(why.c_str(), false);
    });
    return;
  }
  if (state.durable <= durable_) return;
  durable_ = state.durable;
  std::vector<raft::Outgoing> held = std::move(held_);
  held_.clear();
  for (raft::Outgoing& outgoing : held) {
    if (outgoing.after <= durable_) {
      links_->Send(outgoing.message.to, {{"m", raft::ToJson(outgoing.message)}});
    } else {
      held_.push_back(std::move(outgoing));
    }
  }
  Run([&](Member& m, Time now, MemberOutput& out) { m.Durable(now, state.durable, out); });
}

// ---- Links ------------------------------------------------------------------------------------

// Those that vote, or did at first, are linked with all; the others have nothing to say to each
// other.
void Membership::Wants() {
  std::set<std::string> wanted;
  for (const auto& [name, seat] : config_.members) {
    if (seat.votes) wanted.insert(name);
  }
  for (const raft::Voter& v : member_->agreement().voters()) wanted.insert(v.name);
  if (wanted == wanted_ || !links_) return;
  wanted_ = wanted;
  links_->Want(std::move(wanted));
}

json Membership::KnownOf(const std::string& name) {
  return raft::ToJson(member_->agreement().KnownOf(name));
}

void Membership::OnUp(const std::string& name, uint64_t life, const json& known) {
  const raft::Claim claim = raft::ReadClaim(known).value_or(raft::Claim{});
  Run([&](Member& m, Time now, MemberOutput& out) { m.Linked(now, name, life, claim, out); });
}

void Membership::OnDown(const std::string& name) {
  Run([&](Member& m, Time now, MemberOutput& out) { m.Unlinked(now, name, out); });
}

void Membership::OnFrame(const std::string& name, const json& value) {
  if (!value.is_object()) return;
  if (const auto at = value.find("m"); at != value.end()) {
    auto message = raft::ReadMessage(*at);
    // Nobody speaks for another.
    if (!message || message->from != name) return;
    SpoilHeard(*message);
    Run([&](Member& m, Time now, MemberOutput& out) { m.Receive(now, *message, out); });
  }
  if (const auto at = value.find("n"); at != value.end()) {
    const auto note = cluster::ReadNote(*at);
    if (!note || note->from != name) return;
    Run([&](Member& m, Time now, MemberOutput& out) { m.Receive(now, *note, out); });
  }
}

// ---- Operators --------------------------------------------------------------------------------

std::string Membership::CannotActOn(const cluster::Content& rules) const {
  try {
    if (const auto tenants = TenantsFor(rules)) {
      CheckTenants(*tenants, gateway_.config());
    } else {
      static_cast<void>(settings_.With(rules, gateway_.config(), nullptr, loop_.Now()));
    }
    return {};
  } catch (const std::exception& error) {
    return error.what();
  }
}

// How the settings in force differ from those of `rules`, where it is by tenants alone.
std::optional<std::vector<TenantChange>> Membership::TenantsFor(
    const cluster::Content& rules) const {
  if (!adopted_) return std::nullopt;
  return SettingsUnderRules::TenantsChanged(*rules_, rules);
}

// Of a change with faults of its own nothing is said here: the leader names them all.
std::string Membership::CannotTake(const cluster::Change& change) const {
  try {
    return CannotActOn(change.delta
                           ? cluster::ApplyDelta(member_->history().latest_content(), change.rules)
                           : cluster::ParseRules(change.rules));
  } catch (const std::invalid_argument&) {
    return {};
  }
}

void Membership::OnCall(uint64_t call, const json& value) {
  if (!links_) return;
  const std::string what = value.is_object() ? value.value("what", "") : "";
  if (what == "status") return links_->Answer(call, Status());
  if (what == "history") {
    // The texts that are asked for; where none is named, of as many of the last as a frame bears.
    const json wanted = value.value("texts", json());
    const cluster::History& history = member_->history();
    std::map<uint64_t, std::string> texts;
    size_t bytes = 0;
    for (auto v = history.versions().rbegin(); v != history.versions().rend(); ++v) {
      if (!v->content ||
          (wanted.is_array() && std::ranges::find(wanted, json(v->number)) == wanted.end())) {
        continue;
      }
      bytes += cluster::BytesOf(*v->content);
      if (bytes > kTextsMost) break;
      texts[v->number] = cluster::ToText(*v->content);
    }
    json all = json::array();
    for (const cluster::Version& v : member_->history().versions()) {
      all.push_back({{"version", v.number},
                     {"id", v.id},
                     {"author", v.author},
                     {"reason", v.reason},
                     {"hash", v.hash},
                     {"unix_s", v.unix_s},
                     {"rules", std::move(texts[v.number])},
                     {"on", v.number <= member_->history().on()}});
    }
    return links_->Answer(call, {{"versions", all}});
  }
  auto wish =
      value.is_object() && value.contains("wish") ? cluster::ReadWish(value["wish"]) : std::nullopt;
  if (!wish) return links_->Answer(call, {{"error", "no such call"}});
  if (wish->kind == cluster::Wish::Kind::kChange) {
    if (const std::string why = CannotTake(wish->change); !why.empty()) {
      const cluster::Answer refused{cluster::Answer::Kind::kRefused, wish->change.id, 0, why};
      return links_->Answer(call, {{"answer", cluster::ToJson(refused)}});
    }
  }
  if (calls_.size() >= kCallsMost)
    return links_->Answer(call, {{"error", "too many calls at once"}});
  Spoil(*wish);
  const uint64_t ticket = next_ticket_++;
  calls_[ticket] = call;
  Run([&](Member& m, Time now, MemberOutput& out) { m.Submit(now, *wish, ticket, out); });
}

json Membership::Status() const {
  json status = member_->Status(Now());
  status["bank"] = config_.bank;
  status["disk"] = diskless_ ? "none" : disk_ ? "good" : "another process has it";
  if (disk_) {
    const DiskThread::State state = disk_->Look();
    status["log_bytes"] = state.bytes;
    if (!state.why.empty()) status["disk"] = state.why;
  }
  if (links_) {
    const peer::Links::Counts& c = links_->counts();
    status["frames_in"] = c.frames_in, status["frames_out"] = c.frames_out;
    status["bytes_in"] = c.bytes_in, status["bytes_out"] = c.bytes_out;
    status["dropped"] = c.dropped, status["nonsense"] = c.nonsense;
    status["strangers"] = c.strangers, status["old_lives"] = c.old_lives;
  }
  return status;
}

std::string Membership::StateText() const {
  const Stance stance = member_->Acting(Now());
  constexpr std::array kStances = {"agreed", "between", "alone"};
  return fmt::format(
      "bank_stance={} bank_on={} bank_latest={} bank_term={} bank_leader={} bank_links={} "
      "bank_rule_changes={} bank_lost={} bank_disk_failures={} bank_content_differed={}",
      kStances[static_cast<size_t>(stance.kind)], stance.on, stance.latest,
      member_->agreement().term(),
      member_->agreement().leader().empty() ? "none" : member_->agreement().leader(),
      links_ ? links_->linked() : 0, changes_, lost_, disk_failures_, content_differed_);
}

// ---- The decider ------------------------------------------------------------------------------

template <typename What>
void Membership::Run(What&& what) {
  MemberOutput out;
  const uint64_t differed = member_->differed();
  what(*member_, Now(), out);
  content_differed_ += member_->differed() - differed;
  CarryOut(out);
}

void Membership::CarryOut(MemberOutput& out) {
  for (const std::string& line : out.log) Log(Level::kInfo, "{}", line);
  // Before it takes part it only looks at what its disk has.
  if (!links_) {
    Act();
    return Plan();
  }
  for (const raft::Write& write : out.writes) {
    if (disk_) {
      disk_->Add(write);
    } else {
      // It has none, and nothing that it says counts as if it had.
      durable_ = std::max(durable_, write.ticket);
    }
  }
  for (raft::Outgoing& outgoing : out.sends) {
    Spoil(outgoing.message);
    if (outgoing.after > durable_) {
      held_.push_back(std::move(outgoing));
    } else {
      links_->Send(outgoing.message.to, {{"m", raft::ToJson(outgoing.message)}});
    }
  }
  for (const cluster::Note& note : out.notes) {
    links_->Send(note.to, {{"n", cluster::ToJson(note)}});
  }
  for (const auto& [ticket, answer] : out.answers) {
    const auto at = calls_.find(ticket);
    if (at == calls_.end()) continue;
    links_->Answer(at->second, {{"answer", cluster::ToJson(answer)}});
    calls_.erase(at);
  }
  if (out.forgot) {
    loop_.Defer([this, alive = std::weak_ptr(lock_)] {
      if (!alive.expired()) {
        StartAnew("this disk has gone back to an older state, as the others tell", true);
      }
    });
  }
  // Once for a process: where the fault lies with what is sent, more of it mends nothing.
  if (!out.needs_anew.empty() && !std::exchange(anew_, true)) {
    loop_.Defer([this, alive = std::weak_ptr(lock_)] {
      if (!alive.expired()) StartAnew("its content is not what was agreed", true);
    });
  }
  Wants();
  Act();
  Plan();
}

void Membership::Plan() {
  loop_.Cancel(timer_);
  // One that takes no part has nothing else to do in time.
  if (!links_ && !member_->agreement().Behind()) return;
  const Time due = member_->NextDue();
  if (due == Time::max()) return;
  const auto wait = static_cast<double>((due - Now()).count()) / config_.clock_factor;
  timer_ =
      loop_.After(std::max(Duration(0), Duration(static_cast<int64_t>(wait))), [this] { Tick(); });
}

void Membership::Tick() {
  Run([](Member& m, Time now, MemberOutput& out) { m.Tick(now, out); });
}

void Membership::SetFile(Config file) {
  settings_ = SettingsUnderRules(file);
  file_ = std::move(file);
  rules_.reset();
  adopted_ = false;
  Act();
}

// What the gateway may act on now, in force before its next event.
void Membership::Act() {
  const Stance stance = Acting();
  const bool held = stance.kind != Stance::Kind::kAlone;
  if (held) {
    // Asked again before anything is decided past this, however late the loop is.
    const auto left = static_cast<double>((stance.until - Now()).count()) / config_.clock_factor;
    const Duration wait(static_cast<int64_t>(left));
    gateway_.Guard(loop_.Now() + wait, [this] { Act(); });
    loop_.Cancel(act_timer_);
    act_timer_ = loop_.After(wait, [this] { Act(); });
  }
  const bool was_held = stance_ && stance_->kind != Stance::Kind::kAlone;
  if (held != was_held) {
    if (!held) ++lost_;
    Log(held ? Level::kInfo : Level::kWarning, "bank: {}",
        held ? fmt::format("in touch, version {}", stance.on)
             : "out of touch: strict rules, nothing is sent twice");
  }
  // One without a lease that catches up goes on with what it had: to act on each version that has
  // come and gone since would hold up its requests for nothing.
  const bool keeps = rules_ && !held && member_->agreement().Behind();
  const bool same = rules_ && stance_ && stance_->kind == stance.kind && kept_ == keeps &&
                    (keeps || (stance_->on == stance.on && stance_->latest == stance.latest));
  stance_ = stance;
  kept_ = keeps;
  if (config_.when_lost == WhenLost::kDrain && drained_ == held) {
    // Only what was drained for this is taken back.
    drained_ = !held;
    life_.set_drained(drained_);
  }
  // Where the bound goes before service nothing may go to a host that may be barred by now.
  const bool nowhere = config_.when_lost == WhenLost::kDrain && !held;
  if (same) return;
  cluster::Content rules = keeps ? cluster::Strictest(*rules_) : RulesOf(stance);
  if (rules_ && *rules_ == rules && nowhere_ == nowhere) return;
  const Time now = loop_.Now();
  try {
    const auto tenants = TenantsFor(rules);
    if (tenants) {
      gateway_.AdoptTenants(*tenants);
    } else {
      gateway_.Adopt(settings_.With(rules, gateway_.config(), nullptr, now));
    }
    // Whoever is to be kept off is told by their names, and by the own zone's place.
    const bool hosts = !tenants || nowhere != nowhere_ || rules.barred != rules_->barred ||
                       rules.drain != rules_->drain || rules.zone_only != rules_->zone_only;
    if (hosts) gateway_.KeepOff(KeptOff(rules), nowhere);
    ++changes_;
    adopted_ = true;
  } catch (const std::exception& error) {
    Log(Level::kError, "bank: version {} cannot be acted on here: {}", stance.latest, error.what());
    cluster::Content strict = cluster::Strictest(rules);
    strict.settings = {};
    strict.classes.reset();
    strict.tenants.reset();
    gateway_.Adopt(settings_.With(strict, gateway_.config(), nullptr, now));
    std::set<std::string> off;
    strict.barred.ForEach([&](const cluster::Part& part) { off.insert(part.name); });
    gateway_.KeepOff(std::move(off), nowhere);
    adopted_ = false;
  }
  rules_ = std::move(rules);
  nowhere_ = nowhere;
}

// The hosts that take no work from this gateway.
std::set<std::string> Membership::KeptOff(const cluster::Content& rules) const {
  std::set<std::string> off;
  const auto add = [&](const cluster::Part& part) { off.insert(part.name); };
  rules.barred.ForEach(add);
  rules.drain.ForEach(add);
  const Config& config = gateway_.config();
  const auto mine = static_cast<size_t>(config.settings.zone);
  rules.zone_only.ForEach([&](const cluster::Part& part) {
    if (config.names.zones.Find(json::parse(part.text).get<std::string>()) != mine) add(part);
  });
  return off;
}

void InitBank(const BankConfig& config, const std::string& name) {
  storage::Files& files = storage::RealFiles();
  try {
    files.MakeFolder(config.folder);
    const auto lock = files.Lock(config.folder + "/lock");
    if (!lock) throw ConfigError(config.folder + ": a process has it, expected none");
    bool there = false;
    raft::Disk disk;
    storage::Log log(files, config.folder, [&](std::string_view) { there = true; });
    if (there) throw ConfigError(config.folder + ": a log is there already, expected none");
    disk.life = NewLife();
    raft::Write write;
    write.term = 1;
    write.from = 1;
    write.entries = {{1, raft::Entry::Kind::kVoters, {}, {{name, disk.life}}}};
    log.Append(Packed(Identity(config, name, disk)));
    log.Append(Packed(raft::ToJson(write)));
    log.Sync();
  } catch (const storage::FileError& error) {
    throw ConfigError(error.what());
  }
}

}  // namespace paddlestile
