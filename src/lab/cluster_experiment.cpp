#include "lab/cluster_experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>

#include "cluster/codec.h"
#include "config/operator_config.h"
#include "event/stream.h"
#include "gateway/cluster_agent.h"
#include "lab/listener.h"
#include "peer/blocking_call.h"
#include "peer/call.h"
#include "peer/framing.h"
#include "peer/peer_connections.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr Duration kFirstChange{1'500'000};             // us; a bank is formed by then
constexpr Duration kCallWithin{1'200'000};              // us; then the answer counts as lost
constexpr Duration kAgain{100'000};                     // us; after an answer that is none
constexpr Duration kBlock{6'000'000};                   // us
constexpr size_t kTwins = 5, kLost = 7;                 // changes
constexpr size_t kFillWhole = 4000, kFillDelta = 1500;  // tenants of a version, and of one change
constexpr Duration kFillEvery{20'000};                  // us
constexpr Duration kCopyEvery{2'000'000};               // us; of disks, to be put back
constexpr size_t kHollowParts = 10;         // processes, of a tenth of the hollow members each
constexpr Duration kLinkedAgain{200'000};   // us
constexpr Duration kSettled{500'000};       // us; from time 0 to the first look
constexpr Duration kAside{400'000};         // us; of looks, from the first change
constexpr Duration kWeighEvery{1'000'000};  // us
constexpr size_t kSlowOf = 10;              // one of so many hollow members reads slowly
constexpr size_t kByCommand = 4;            // one of so many changes, at size
constexpr Duration kCommandLook{2'000};     // us
constexpr Duration kEndWithin{3'000'000};   // us; of a hollow process
constexpr Duration kLookEvery{10'000};      // us
// The way of a request that was decided before: a connection that comes up, the lab's own lateness.
constexpr Duration kSlack{300'000};  // us

double Ms(Duration d) {
  return static_cast<double>(d.count()) / 1000;
}

}  // namespace

// One operator's call to a member.
class BankLab::Call final : public Stream::Listener {
 public:
  Call(EventLoop& loop, const Address& to, const json& call,
       std::function<void(std::optional<json>)> done)
      : loop_(loop), done_(std::move(done)) {
    bool refused = false;
    auto socket = Connect(to, nullptr, refused);
    if (socket) {
      stream_ = std::make_unique<Stream>(loop, std::move(*socket), this, true);
    }
    timer_ = loop_.RunAfter(kCallWithin, [this] { Tell(std::nullopt); });
    if (stream_ && stream_->Start()) {
      stream_->Write(peer::EncodeCall(call));
    } else {
      Tell(std::nullopt);
    }
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  virtual ~Call() { loop_.CancelTimer(timer_); }
  void OnData() override {
    json value;
    switch (peer::TakeReply(stream_->input(), value)) {
      case peer::FrameStatus::kComplete:
        return Tell(std::move(value));
      case peer::FrameStatus::kMalformed:
      case peer::FrameStatus::kChecksumMismatch:
        return Tell(std::nullopt);
      case peer::FrameStatus::kIncomplete:
        break;
    }
    if (stream_->ended()) {
      Tell(std::nullopt);
    }
  }
  void OnError() override { Tell(std::nullopt); }

 private:
  void Tell(std::optional<json> answer) {
    if (std::exchange(told_, true)) {
      return;
    }
    loop_.CancelTimer(timer_);
    if (stream_) {
      stream_->Close();
    }
    loop_.RunDeferred([done = done_, answer = std::move(answer)] { done(answer); });
  }
  EventLoop& loop_;
  std::function<void(std::optional<json>)> done_;
  std::unique_ptr<Stream> stream_;
  EventLoop::TimerId timer_;
  bool told_ = false;
};

BankLab::BankLab(EventLoop& loop, const Experiment& experiment, Ledger& ledger, std::string folder,
                 uint64_t seed, size_t place)
    : loop_(loop),
      e_(experiment),
      ledger_(ledger),
      folder_(std::move(folder)),
      random_(seed),
      faults_(seed ^ 0xfa17),
      place_(place),
      away_(experiment.gateway.count),
      back_at_(experiment.gateway.count, Time(-10'000'000)),
      judge_(cluster::MaxDisagreement(raft::RaftTiming(), cluster::kDetectionDelay), kSlack) {
  const size_t count = e_.gateway.count;
  // Who votes is linked with all; the others have nothing to say to each other.
  for (size_t a = 0; a < std::min(count, e_.cluster.voters); ++a) {
    for (size_t b = a + 1; b < count; ++b) {
      relays_[{a, b}] = std::make_unique<Relay>(
          loop_, LoopbackAddress(place_ + count + a * count + b), SeatOf(b), random_());
    }
  }
  if (e_.cluster.simulated_member_read_bytes_per_s > 0) {
    slow_ = Draw(kSlowOf);
    for (size_t v = 0; v < std::min(count, e_.cluster.voters); ++v) {
      for (size_t n = 0; n < e_.cluster.simulated_members; ++n) {
        if (!ReadsSlowly(n)) {
          continue;
        }
        slow_relays_.push_back(
            std::make_unique<Relay>(loop_, SlowSeat(v, n), HollowSeat(n), random_()));
      }
    }
  }
  last_receipt_.assign(count, Time(-1));
  for (size_t i = 0; i < count; ++i) {
    WriteFile(i);
  }
  if (e_.cluster.simulated_members > 0) {
    WriteHollowFile();
  }
  InitCluster(ReadClusterConfig(FileOf(0), "g000"), "g000");
  Copies();
}

BankLab::~BankLab() = default;

std::string BankLab::FileOf(size_t i) const {
  return fmt::format("{}/bank-{}.toml", folder_, i);
}
std::string BankLab::FolderOf(size_t i) const {
  return fmt::format("{}/disk-g{:03}", folder_, i);
}
Address BankLab::SeatOf(size_t i) const {
  return LoopbackAddress(place_ + i);
}

void BankLab::WriteFile(size_t i) {
  std::ofstream file(FileOf(i));
  file << "[bank]\nname = \"lab\"\n"
       << fmt::format("folder = \"{}/disk-{{name}}\"\nlab_disk = \"{}/control-{}\"\n", folder_,
                      folder_, i)
       << fmt::format("when_lost = \"{}\"\n",
                      e_.cluster.drains_when_disconnected ? "drain" : "serve");
  if (e_.cluster.uses_delta_changes) {
    file << "changes = \"delta\"\n";
  }
  for (const auto& [gateway, factor] : e_.cluster.clock_rates) {
    if (gateway == i) {
      file << fmt::format("lab_clock_factor = {}\n", factor);
    }
  }
  for (size_t j = 0; j < e_.gateway.count; ++j) {
    file << fmt::format("[[bank.members]]\nname = \"g{:03}\"\naddress = \"{}\"\nvotes = {}\n", j,
                        ToText(SeatOf(j)), j < e_.cluster.voters);
    const auto relay = relays_.find({i, j});
    if (relay != relays_.end()) {
      file << fmt::format("dial = \"{}\"\n", ToText(LoopbackAddress(place_ + e_.gateway.count +
                                                                    i * e_.gateway.count + j)));
    }
  }
  for (size_t n = 0; n < e_.cluster.simulated_members; ++n) {
    file << fmt::format("[[bank.members]]\nname = \"{}\"\naddress = \"{}\"\n", HollowName(n),
                        ToText(HollowSeat(n)));
    if (i < e_.cluster.voters && ReadsSlowly(n)) {
      file << fmt::format("dial = \"{}\"\n", ToText(SlowSeat(i, n)));
    }
  }
}

size_t BankLab::Draw(size_t count) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
}

void BankLab::Begin(Time zero, std::vector<ListedHost> hosts) {
  zero_ = zero;
  hosts_ = std::move(hosts);
  ledger_.set_receipt_callback([this](Time now, size_t n, size_t host, size_t copy) {
    const size_t gateway = ledger_.GatewayOf(n);
    last_receipt_[gateway] = now;
    // Where the operator chose service, one that the script keeps away goes on with what it knows;
    // back in touch, it has as long as a lease to hear of what is new.
    const bool excused =
        !e_.cluster.drains_when_disconnected && (away_[gateway] > 0 || now < back_at_[gateway]);
    judge_.RecordReceipt(now, host, gateway, ledger_.RequestOf(n).class_index, ledger_.SentAt(n),
                         copy, excused, ledger_.AttemptId(n));
  });
  loop_.RunAfter(std::max(kFirstChange, e_.cluster.quiet_after_start),
                 [this, alive = std::weak_ptr(alive_)] {
                   if (!alive.expired()) {
                     Submit();
                   }
                 });
  if (e_.cluster.measured || e_.cluster.simulated_members > 0) {
    WatchSize();
  }
}

// ---- Faults -----------------------------------------------------------------------------------

void BankLab::Kept(size_t gateway, bool away) {
  away_[gateway] += away ? 1 : -1;
  if (away_[gateway] == 0) {
    back_at_[gateway] = Now() +
                        cluster::MaxDisagreement(raft::RaftTiming(), cluster::kDetectionDelay) +
                        Duration(2'500'000);
  }
}

void BankLab::Down(size_t gateway, bool down) {
  Kept(gateway, down);
}

void BankLab::Cut(size_t a, size_t b, const Fault& fault, bool on) {
  const auto at = relays_.find({std::min(a, b), std::max(a, b)});
  if (at == relays_.end()) {
    return;
  }
  Relay& relay = *at->second;
  // What `a` sends goes `there` where it is the one that dials.
  RelayWay& out = a < b ? relay.there : relay.back;
  RelayWay& in = a < b ? relay.back : relay.there;
  const int step = on ? 1 : -1;
  for (RelayWay* const way : {&out, &in}) {
    if (fault.link_direction ==
        (way == &out ? LinkDirection::kIncoming : LinkDirection::kOutgoing)) {
      continue;
    }
    switch (fault.kind) {
      case FaultKind::kLinkSlow:
        way->delay_ms = on ? fault.delay_ms : UniformRange{0, 0};
        way->bytes_per_s = on ? fault.bytes_per_s : 0;
        break;
      case FaultKind::kLinkNoise:
        way->noise = on ? fault.request_share : 0;
        break;
      default:
        way->cuts += step;
    }
  }
  relay.Changed();
  if (fault.reset_connections && on) {
    relay.Reset();
  }
}

void BankLab::Flap(std::vector<std::pair<size_t, size_t>> pairs, const Fault& fault, Time until,
                   bool on) {
  for (const auto& [a, b] : pairs) {
    Cut(a, b, fault, on);
  }
  if (!on && Now() >= until) {
    return;
  }
  std::uniform_int_distribution<int64_t> next(50'000, 2'000'000);
  loop_.RunAfter(Duration(next(faults_)), [this, pairs = std::move(pairs), &fault, until, on] {
    Flap(pairs, fault, until, !on);
  });
}

void BankLab::Play(const Fault& fault) {
  const size_t count = e_.gateway.count;
  std::set<size_t> side(fault.gateway_list.begin(), fault.gateway_list.end());
  if (fault.random_gateway_count) {
    // Of a generator of their own: whom a fault befalls is the seed's alone.
    std::uniform_int_distribution<size_t> any(0, count - 1);
    while (side.size() < *fault.random_gateway_count) {
      side.insert(any(faults_));
    }
  } else if (side.empty()) {
    side.insert(fault.gateway);
  }
  if (fault.kind == FaultKind::kGatewayDisk) {
    for (const size_t i : side) {
      std::ofstream(fmt::format("{}/control-{}", folder_, i))
          << (fault.disk == DiskState::kFull   ? "full"
              : fault.disk == DiskState::kSlow ? fmt::format("slow {}", fault.delay_ms.high)
                                               : "sync-fails");
    }
    loop_.RunAfter(fault.duration, [this, side] {
      for (const size_t i : side) {
        std::ofstream(fmt::format("{}/control-{}", folder_, i)) << "";
      }
    });
    return;
  }
  std::vector<std::pair<size_t, size_t>> pairs;
  for (const size_t a : side) {
    for (size_t b = 0; b < count; ++b) {
      if (!side.contains(b)) {
        pairs.emplace_back(a, b);
      }
    }
  }
  // Either side may be the smaller: whoever cannot reach a majority is away.
  for (size_t i = 0; i < count; ++i) {
    Kept(i, true);
  }
  loop_.RunAfter(fault.duration, [this, count] {
    for (size_t i = 0; i < count; ++i) {
      Kept(i, false);
    }
  });
  if (fault.kind == FaultKind::kLinkFlap) {
    return Flap(pairs, fault, Now() + fault.duration, true);
  }
  for (const auto& [a, b] : pairs) {
    Cut(a, b, fault, true);
  }
  loop_.RunAfter(fault.duration, [this, pairs, &fault] {
    for (const auto& [a, b] : pairs) {
      Cut(a, b, fault, false);
    }
  });
}

// Now and then a copy of each disk as it is, to be put back after a death.
void BankLab::Copies() {
  std::error_code error;
  for (size_t i = 0; i < e_.gateway.count; ++i) {
    const std::string log = FolderOf(i) + "/log";
    if (fs::exists(log, error) && !fs::exists(log + ".copy", error)) {
      fs::copy_file(log, log + ".copy", fs::copy_options::overwrite_existing, error);
    }
  }
  loop_.RunAfter(kCopyEvery, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      Copies();
    }
  });
}

void BankLab::ChangeDisk(size_t i, DiskState disk) {
  std::error_code error;
  const std::string log = FolderOf(i) + "/log";
  if (disk == DiskState::kEmpty) {
    fs::remove_all(FolderOf(i), error);
  }
  if (disk == DiskState::kRolledBack) {
    fs::rename(log + ".copy", log, error);
  }
}

// ---- Changes ----------------------------------------------------------------------------------

const BankLab::Shape* BankLab::LastTold() const {
  const auto last = std::ranges::max_element(shapes_, {}, &Shape::version);
  return last == shapes_.end() || last->version == 0 ? nullptr : &*last;
}

// The next one, once the last is told; now and then two at once, in no order. First all tenants.
void BankLab::Submit() {
  if (Now() > e_.length - e_.cluster.quiet_before_end) {
    return;
  }
  const auto again = [this](Duration after) {
    loop_.RunAfter(after, [this, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        Submit();
      }
    });
  };
  if (!std::ranges::all_of(changes_, &Change::done)) {
    return again(fills_ ? kFillEvery : e_.cluster.change_interval);
  }
  const Shape* const last = LastTold();
  const bool full = last != nullptr && last->quotas.size() == e_.cluster.tenants_per_version;
  if (full && std::exchange(fills_, false)) {
    if (changes_.size() > 1) {
      filled_ = Now();
      figures_.version_bytes = static_cast<double>(WholeOf(*last).dump().size());
    }
    if (e_.cluster.measured) {
      loop_.RunAfter(kAside, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
          Measure(first_changed_);
        }
      });
    }
    return again(e_.cluster.change_interval);
  }
  fills_ = !full && (shapes_.empty() || shapes_.back().version > 0);
  SubmitOne();
  const bool whole = e_.cluster.tenants_per_version <= kFillWhole;
  if (full && whole && changes_.size() % kTwins == 0) {
    SubmitOne();
  }
  again(fills_ ? kFillEvery : e_.cluster.change_interval);
}

void BankLab::SubmitOne() {
  const size_t n = changes_.size();
  ClusterInvariantChecker::RequestedRules requested;
  // Nothing else is on its way that could come between.
  const bool alone = std::ranges::all_of(changes_, &Change::done);
  const Shape* const last = LastTold();
  Shape shape;
  if (last != nullptr) {
    shape.quotas = last->quotas;
  }
  // Some hosts are barred for long, past the bound: what goes there late is seen. Another one comes
  // and goes, so that each change contradicts the one before. At size one host alone: figures are
  // of a change of so many parts.
  if (!bars_) {
    const bool at_size = e_.cluster.measured || e_.cluster.simulated_members > 0;
    bars_.emplace(hosts_.size(), at_size ? 1 : ExclusionPlan::RecommendedCount(hosts_.size()),
                  random_());
  }
  const auto block = static_cast<size_t>((Now() - kFirstChange).count() / kBlock.count());
  const bool begins = n == 0 || block != block_;
  block_ = block;
  if (!begins) {
    shape.barred = bars_->ExcludedInBlock(block);
  }
  if (n % 2 == 1) {
    shape.barred.insert(bars_->ExcludedByOneChange(n / 2));
  }
  for (const size_t at : shape.barred) {
    requested.excluded_hosts.push_back(hosts_[at].host_index);
  }
  shape.unsafe = e_.cluster.changes_idempotency && block % 2 == 1;
  if (shape.unsafe) {
    requested.single_attempt_class = 0;
  }
  const size_t tenants = e_.cluster.tenants_per_version, there = shape.quotas.size();
  if (there < tenants) {
    // So many as one change bears: all of them in most experiments.
    shape.quotas.resize(std::min(tenants, last == nullptr ? kFillWhole : there + kFillDelta), 1000);
    if (!e_.cluster.uses_delta_changes) {
      shape.quotas.resize(tenants, 1000);
    }
  } else if (tenants > 0) {
    // The first is the one whom the lab's clients name: none comes near its quota.
    shape.quotas[n * 7919 % tenants] = 2000 + static_cast<int>(n);
  }
  cluster::ChangeRequest wish;
  wish.change.id = fmt::format("lab-{}", n);
  wish.change.author = "lab";
  wish.change.reason = fmt::format("change {}", n);
  // As operators of many tenants would; elsewhere by turns, as leaders make deltas of whole ones.
  wish.change.is_delta = e_.cluster.uses_delta_changes && last != nullptr && alone &&
                         (e_.cluster.measured || n % 2 == 1 || tenants > kFillWhole);
  wish.change.document = (wish.change.is_delta ? DeltaOf(*last, shape) : WholeOf(shape)).dump();
  if (!wish.change.is_delta) {
    figures_.version_bytes = static_cast<double>(wish.change.document.size());
  }
  changes_.emplace_back().wish = cluster::ToJson(wish);
  shapes_.push_back(std::move(shape));
  judge_.RecordSubmission(Now(), std::move(requested));
  if (e_.cluster.measured && !fills_ && n % kByCommand == 2) {
    return AskByCommand(n);
  }
  Ask(n);
}

namespace {

std::string TenantName(size_t t) {
  return fmt::format("t-{:06}", t);
}

}  // namespace

json BankLab::WholeOf(const Shape& shape) const {
  json rules = {{"barred", json::array()}};
  for (const size_t at : shape.barred) {
    rules["barred"].push_back(hosts_[at].id);
  }
  if (e_.cluster.changes_idempotency) {
    json classes = json::parse(SettingsJson(e_, 0))["Classes"];
    if (shape.unsafe) {
      classes[0]["Effect"] = "unsafe";
    }
    rules["settings"]["Classes"] = std::move(classes);
  }
  for (size_t t = 0; t < shape.quotas.size(); ++t) {
    rules["settings"]["Tenants"].push_back(
        {{"Name", TenantName(t)}, {"QuotaPerS", shape.quotas[t]}});
  }
  return rules;
}

// The lab's own, as an operator would write it: not the program's difference.
json BankLab::DeltaOf(const Shape& was, const Shape& shape) const {
  json delta = {{"barred", {{"add", json::array()}, {"remove", json::array()}}}};
  for (const size_t at : shape.barred) {
    if (!was.barred.contains(at)) {
      delta["barred"]["add"].push_back(hosts_[at].id);
    }
  }
  for (const size_t at : was.barred) {
    if (!shape.barred.contains(at)) {
      delta["barred"]["remove"].push_back(hosts_[at].id);
    }
  }
  if (was.unsafe != shape.unsafe) {
    const json first = json::parse(SettingsJson(e_, 0))["Classes"][0];
    delta["settings"]["Classes"][first["Name"].get<std::string>()]["Effect"] =
        shape.unsafe ? json("unsafe") : first.value("Effect", json());
  }
  for (size_t t = 0; t < shape.quotas.size(); ++t) {
    if (t < was.quotas.size() && was.quotas[t] == shape.quotas[t]) {
      continue;
    }
    delta["settings"]["Tenants"][TenantName(t)]["QuotaPerS"] = shape.quotas[t];
  }
  return delta;
}

// As operators do, by the program's own command, which goes on asking by itself.
void BankLab::AskByCommand(size_t n) {
  const cluster::ChangeRequest wish = *cluster::ParseChangeRequest(changes_[n].wish);
  const std::string path = fmt::format("{}/change-{}", folder_, n);
  std::ofstream(path + ".json") << wish.change.document << std::flush;
  std::vector<std::string> words = {fs::read_symlink("/proc/self/exe").string(),
                                    "bank",
                                    "change",
                                    path + ".json",
                                    "--id",
                                    wish.change.id,
                                    "--author",
                                    wish.change.author,
                                    "--reason",
                                    wish.change.reason,
                                    "--json"};
  if (wish.change.is_delta) {
    words.emplace_back("--delta");
  }
  const size_t first = Draw(e_.gateway.count);
  for (size_t i = 0; i < e_.gateway.count; ++i) {
    words.insert(words.end(), {"--at", ToText(SeatOf((first + i) % e_.gateway.count))});
  }
  changes_[n].command_began = MachineNow();
  changes_[n].command = std::make_unique<Process>(
      words, std::vector<std::pair<std::string, std::string>>{}, path + ".log");
  // Not at once: until it runs its own program it holds what this one does.
  loop_.RunAfter(kCommandLook, [this, n, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      AwaitCommand(n);
    }
  });
}

void BankLab::AwaitCommand(size_t n) {
  Change& change = changes_[n];
  const auto code = change.command->ExitCode();
  if (!code) {
    const auto mb = static_cast<double>(change.command->Measure().rss_kb) / 1024;
    figures_.command_rss_mb_most = std::max(figures_.command_rss_mb_most, mb);
    loop_.RunAfter(kCommandLook, [this, n, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        AwaitCommand(n);
      }
    });
    return;
  }
  const std::string said = TailOf(fmt::format("{}/change-{}.log", folder_, n), 1);
  const double spent_ms = change.command->TotalCpuUs() / 1000;
  change.command.reset();
  const json told = json::parse(said, nullptr, false);
  // Not told done: the same id through a call, which counts once.
  if (*code != 0 || !told.is_object() || !told.contains("version")) {
    return Ask(n);
  }
  figures_.command_ms.push_back(Ms(MachineNow() - change.command_began));
  figures_.command_cpu_ms_most = std::max(figures_.command_cpu_ms_most, spent_ms);
  change.done = true;
  shapes_[n].version = told["version"].get<uint64_t>();
  judge_.RecordAcknowledgement(Now(), n, shapes_[n].version);
}

// Through any gateway, also one that is cut off; again elsewhere where the answer is none.
void BankLab::Ask(size_t n) {
  if (changes_[n].done) {
    return;
  }
  const Address at = SeatOf(Draw(e_.gateway.count));
  const auto again = [this, n] {
    loop_.RunAfter(kAgain, [this, n, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        Ask(n);
      }
    });
  };
  changes_[n].call = std::make_shared<Call>(
      loop_, at, json{{"what", "submit"}, {"wish", changes_[n].wish}},
      [this, n, again, alive = std::weak_ptr(alive_)](const std::optional<json>& value) {
        if (alive.expired()) {
          return;
        }
        const auto answer = value && value->is_object()
                                ? cluster::ParseChangeResult(value->value("answer", json()))
                                : std::nullopt;
        if (!answer) {
          return again();
        }
        switch (answer->kind) {
          case cluster::ChangeResult::Kind::kDone:
            // Now and then the answer is lost on its way: it is submitted again, and counts once.
            if (n % kLost == 3 && !std::exchange(changes_[n].answer_lost, true)) {
              return again();
            }
            changes_[n].done = true;
            shapes_[n].version = answer->version;
            return judge_.RecordAcknowledgement(Now(), n, answer->version);
          case cluster::ChangeResult::Kind::kRefused:
            changes_[n].done = true;
            return judge_.RecordRefusal(Now(), n, answer->text);
          default:
            return again();
        }
      });
}

ClusterResult BankLab::Finish(Time now) {
  ledger_.set_receipt_callback(nullptr);
  return judge_.Finish(now, e_.length - e_.cluster.quiet_before_end);
}

// ---- At size ----------------------------------------------------------------------------------

Address BankLab::HollowSeat(size_t number) const {
  const size_t count = e_.gateway.count;
  return LoopbackAddress(place_ + count + count * count + number);
}

// A hollow member knows the voters and the hollow ones; nobody reaches it through a relay.
void BankLab::WriteHollowFile() const {
  std::ofstream file(folder_ + "/bank-hollow.toml");
  file << "[bank]\nname = \"lab\"\n" << fmt::format("folder = \"{}/hollow\"\n", folder_);
  for (size_t j = 0; j < std::min(e_.gateway.count, e_.cluster.voters); ++j) {
    file << fmt::format("[[bank.members]]\nname = \"g{:03}\"\naddress = \"{}\"\nvotes = true\n", j,
                        ToText(SeatOf(j)));
  }
  for (size_t n = 0; n < e_.cluster.simulated_members; ++n) {
    file << fmt::format("[[bank.members]]\nname = \"{}\"\naddress = \"{}\"\n", HollowName(n),
                        ToText(HollowSeat(n)));
  }
}

void BankLab::StartHollow(std::function<Process::Usage(size_t)> usage) {
  usage_ = std::move(usage);
  started_ = MachineNow();
  const size_t parts = std::min(kHollowParts, e_.cluster.simulated_members);
  const std::string program = fs::read_symlink("/proc/self/exe").string();
  for (size_t k = 0; k < parts; ++k) {
    HollowPart part;
    part.first = e_.cluster.simulated_members * k / parts;
    part.count = e_.cluster.simulated_members * (k + 1) / parts - part.first;
    part.book = fmt::format("{}/hollow-{}.book", folder_, k);
    part.log = fmt::format("{}/hollow-{}.log", folder_, k);
    // So many over all of them.
    const auto of = [&](size_t all) {
      return all * (k + 1) / parts - all * k / parts;
    };
    const std::vector<std::string> words = {
        program,
        "lab",
        "hollow",
        "--operator",
        folder_ + "/bank-hollow.toml",
        "--first",
        std::to_string(part.first),
        "--count",
        std::to_string(part.count),
        "--book",
        part.book,
        "--seed",
        std::to_string(random_()),
        "--restarts",
        std::to_string(of(e_.cluster.simulated_member_restarts)),
        "--cuts",
        std::to_string(of(e_.cluster.simulated_member_link_cuts))};
    part.process = std::make_unique<Process>(
        words, std::vector<std::pair<std::string, std::string>>{}, part.log);
    hollow_.push_back(std::move(part));
  }
  if (parts > 0) {
    stalled_ = Draw(parts);
  }
}

bool BankLab::Linked() {
  if (linked_ || asking_) {
    return linked_;
  }
  const Address at = SeatOf(0);  // where the bank was begun
  asking_ =
      std::make_shared<Call>(loop_, at, StatusCall(), [this](const std::optional<json>& status) {
        const size_t others = e_.gateway.count + e_.cluster.simulated_members - 1;
        linked_ = status && status->is_object() && status->value("leads", false) &&
                  status->value("voters", json::array()).size() == e_.cluster.voters &&
                  status->value("linked", json::array()).size() == others;
        if (linked_) {
          figures_.linked_ms = Ms(MachineNow() - started_);
        }
        loop_.RunAfter(kLinkedAgain, [this, alive = std::weak_ptr(alive_)] {
          if (!alive.expired()) {
            asking_.reset();
          }
        });
      });
  return false;
}

void BankLab::Measure(Sample& into) {
  into = {};
  into.at = MachineNow();
  into.status.resize(e_.gateway.count);
  for (size_t i = 0; i < e_.gateway.count; ++i) {
    into.used.push_back(usage_(i));
    asked_.push_back(std::make_shared<Call>(
        loop_, SeatOf(i), StatusCall(),
        [&into, i, alive = std::weak_ptr(alive_)](const std::optional<json>& status) {
          if (!alive.expired() && status) {
            into.status[i] = *status;
          }
        }));
  }
  for (const HollowPart& part : hollow_) {
    into.hollow_cpu_us += part.process->Measure().cpu_us;
  }
}

// Idle from soon after time 0; changes; faults beside changes; then all is to be level.
void BankLab::WatchSize() {
  figures_.on = e_.cluster.measured;
  const auto at = [this](Duration when, std::function<void()> then) {
    loop_.RunAfter(when, [then = std::move(then), alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        then();
      }
    });
  };
  if (e_.cluster.measured) {
    at(kSettled, [this] { Measure(idle_from_); });
    // Before the first change, and behind it: with deltas that one alone is whole. See Submit.
    at(e_.cluster.quiet_after_start - kAside, [this] { Measure(idle_to_); });
    at(e_.cluster.simulated_member_faults_at, [this] { Measure(changed_); });
    at(e_.length, [this] { Measure(last_); });
  }
  if (e_.cluster.simulated_member_faults_at > Duration(0)) {
    at(e_.cluster.simulated_member_faults_at, [this] { PlayHollow(); });
  }
  Weigh();
}

// What all processes hold, now and then.
void BankLab::Weigh() {
  uint64_t kb = Process::MeasureSelf().rss_kb;
  for (size_t i = 0; i < e_.gateway.count; ++i) {
    kb += usage_(i).rss_kb;
  }
  for (const HollowPart& part : hollow_) {
    kb += part.process->Measure().rss_kb;
  }
  figures_.rss_mb_most = std::max(figures_.rss_mb_most, static_cast<double>(kb) / 1024);
  figures_.processes_most = 1 + e_.gateway.count + hollow_.size();
  loop_.RunAfter(kWeighEvery, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      Weigh();
    }
  });
}

void BankLab::PlayHollow() {
  faults_from_ = MachineNow();
  for (const HollowPart& part : hollow_) {
    part.process->Signal(SIGUSR1);
  }
  if (e_.cluster.stalls_simulated_members && !hollow_.empty()) {
    Stall(true, Now() + kSimulatedMemberFaultDuration);
  }
  if (slow_relays_.empty()) {
    return;
  }
  ReadSlowly(true);
  loop_.RunAfter(kSimulatedMemberFaultDuration, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      ReadSlowly(false);
    }
  });
}

bool BankLab::ReadsSlowly(size_t number) const {
  return e_.cluster.simulated_member_read_bytes_per_s > 0 && number % kSlowOf == slow_;
}

Address BankLab::SlowSeat(size_t voter, size_t number) const {
  const size_t count = e_.gateway.count;
  return LoopbackAddress(place_ + count + count * count +
                         e_.cluster.simulated_members * (1 + voter) + number);
}

// What voters send them waits, as behind a reader that takes so much and no more.
void BankLab::ReadSlowly(bool on) {
  for (const auto& relay : slow_relays_) {
    relay->there.bytes_per_s = on ? e_.cluster.simulated_member_read_bytes_per_s : 0;
    relay->Changed();
  }
}

// A tenth of the members reads late: their process stands still and goes on by turns.
void BankLab::Stall(bool stop, Time until) {
  hollow_[stalled_].process->Signal(stop ? SIGSTOP : SIGCONT);
  if (!stop && Now() >= until) {
    return;
  }
  loop_.RunAfter(e_.cluster.simulated_member_stall,
                 [this, stop, until, alive = std::weak_ptr(alive_)] {
                   if (!alive.expired()) {
                     Stall(!stop, until);
                   }
                 });
}

RoleFigures BankLab::RoleOf(const Sample& a, const Sample& b, bool leads, bool votes) const {
  RoleFigures f;
  const double s = static_cast<double>((b.at - a.at).count()) / 1e6;
  for (size_t i = 0; i < b.status.size() && i < a.status.size(); ++i) {
    const json &from = a.status[i], &to = b.status[i];
    if (!from.is_object() || !to.is_object()) {
      continue;
    }
    if (to.value("leads", false) != leads || to.value("votes", false) != votes) {
      continue;
    }
    ++f.processes;
    const auto grew = [&](const char* key) {
      return to.value(key, 0.0) - from.value(key, 0.0);
    };
    // Less the answer to the first of the two questions, and the second question.
    const auto answer = static_cast<double>(peer::EncodeCheckedFrame(from, 0).size());
    const auto question = static_cast<double>(peer::EncodeCall(StatusCall()).size());
    f.cpu_core += (b.used[i].cpu_us - a.used[i].cpu_us) / 1e6 / s;
    f.rss_mb += static_cast<double>(b.used[i].rss_kb) / 1024;
    f.descriptors += static_cast<double>(b.used[i].descriptors);
    f.bytes_in_s += (grew("bytes_in") - question) / s;
    f.bytes_out_s += (grew("bytes_out") - answer) / s;
    f.messages_s += (grew("frames_in") + grew("frames_out") - 2) / s;
  }
  if (f.processes == 0) {
    return f;
  }
  const auto n = static_cast<double>(f.processes);
  for (double* const v :
       {&f.cpu_core, &f.rss_mb, &f.descriptors, &f.bytes_in_s, &f.bytes_out_s, &f.messages_s}) {
    *v /= n;
  }
  return f;
}

// Bytes that the one that leads at both moments has sent beyond what it sends idle; below 0 where
// another leads.
double BankLab::LeaderSent(const Sample& a, const Sample& b) const {
  const RoleFigures f = RoleOf(a, b, true, true);
  const bool same = f.processes == 1 && std::ranges::any_of(a.status, [&](const json& s) {
                      return s.is_object() && s.value("leads", false);
                    });
  if (!same) {
    return -1;
  }
  const double s = static_cast<double>((b.at - a.at).count()) / 1e6;
  return (f.bytes_out_s - figures_.leader.bytes_out_s) * s;
}

ScaleFigures BankLab::FinishScale() {
  ScaleFigures& f = figures_;
  if (!f.on && hollow_.empty()) {
    return f;
  }
  over_ = MachineNow();
  f.hollow = e_.cluster.simulated_members;
  f.real = e_.gateway.count;
  f.members = f.real + f.hollow;
  f.leader = RoleOf(idle_from_, idle_to_, true, true);
  f.voter = RoleOf(idle_from_, idle_to_, false, true);
  f.gateway = RoleOf(idle_from_, idle_to_, false, false);
  const double idle_s = static_cast<double>((idle_to_.at - idle_from_.at).count()) / 1e6;
  if (f.hollow > 0 && idle_s > 0) {
    const auto hollow = static_cast<double>(f.hollow);
    f.hollow_cpu_core = (idle_to_.hollow_cpu_us - idle_from_.hollow_cpu_us) / 1e6 / idle_s / hollow;
    for (const HollowPart& part : hollow_) {
      f.hollow_rss_mb += static_cast<double>(part.process->Measure().rss_kb) / 1024 / hollow;
    }
  }
  std::vector<HollowLine> lines;
  for (HollowPart& part : hollow_) {
    if (const auto code = part.process->ExitCode()) {
      f.broken.push_back(fmt::format("scale: members {} to {} ended with {}: {}", part.first,
                                     part.first + part.count - 1, *code, TailOf(part.log, 3)));
    }
    part.process->Signal(SIGCONT);
    part.process->Signal(SIGTERM);
  }
  for (HollowPart& part : hollow_) {
    const Duration until = MachineNow() + kEndWithin;
    while (!part.process->ExitCode() && MachineNow() < until) {
      loop_.RunOnce(kLookEvery);
    }
    std::ifstream book(part.book);
    for (std::string text; std::getline(book, text);) {
      if (const auto line = ParseHollowLine(text)) {
        lines.push_back(*line);
      } else {
        f.broken.push_back(fmt::format("scale: a line that makes no sense: {}", text));
      }
    }
  }
  // From the experiment's time to the machine's.
  const Duration zero = MachineNow() - Now();
  std::vector<ToldChange> changes;
  Time last_done{0};
  for (const ClusterInvariantChecker::AcknowledgedChange& acknowledged :
       judge_.acknowledged_changes()) {
    changes.push_back(
        {acknowledged.submitted + zero, acknowledged.acknowledged_at + zero, acknowledged.version});
    last_done = std::max(last_done, acknowledged.acknowledged_at);
  }
  f.changes = changes.size();
  HollowTerms terms;
  terms.hollow = f.hollow;
  terms.faults = faults_from_ > Duration(0) ? faults_from_ : over_;
  if (filled_ > Time(0)) {
    terms.from = filled_ + zero;
  }
  terms.end = over_;
  terms.bound = cluster::MaxDisagreement(raft::RaftTiming(), cluster::kDetectionDelay);
  if (e_.cluster.stalls_simulated_members && !hollow_.empty()) {
    terms.stalled_from = hollow_[stalled_].first;
    terms.stalled_to = terms.stalled_from + hollow_[stalled_].count;
    terms.stalled = e_.cluster.simulated_member_stall;
  }
  JudgeHollow(std::move(lines), changes, terms, f);
  // A gateway acts on the last version as far as hosts have seen: it has sent to them since, and to
  // none that is barred, which the bank's judge looks at.
  for (size_t i = 0; i < e_.gateway.count; ++i) {
    if (last_receipt_[i] > last_done) {
      ++f.members_in_force;
    } else {
      f.broken.push_back(
          fmt::format("scale: level: gateway {} was not seen to serve after the last change", i));
    }
  }
  const auto within = [&](const Sample& a, const Sample& b) {
    return static_cast<double>(std::ranges::count_if(
        changes, [&](const ToldChange& c) { return c.submitted >= a.at && c.submitted < b.at; }));
  };
  const auto others = static_cast<double>(f.members - 1);
  const double before = within(first_changed_, changed_), after = within(changed_, last_);
  if (const double sent = LeaderSent(first_changed_, changed_); sent > 0 && before > 0) {
    f.change_bytes_each = sent / before / others;
  }
  const RoleFigures changing = RoleOf(first_changed_, changed_, false, false);
  if (f.gateway.processes > 0 && changing.processes > 0 && before > 0) {
    const double s = static_cast<double>((changed_.at - first_changed_.at).count()) / 1e6;
    f.change_cpu_ms = std::max(0.0, changing.cpu_core - f.gateway.cpu_core) * s * 1000 / before;
  }
  if (const double sent = LeaderSent(changed_, last_); sent > 0 && f.returned > 0) {
    f.return_bytes_each = std::max(0.0, sent - after * others * f.change_bytes_each) /
                          static_cast<double>(f.returned);
  }
  return f;
}

}  // namespace paddlestile::lab
