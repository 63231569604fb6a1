#include "lab/bank_lab.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>

#include "bank/codec.h"
#include "lab/listener.h"
#include "net/bank_config.h"
#include "net/membership.h"
#include "net/stream.h"
#include "peer/frames.h"
#include "peer/links.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr Duration kFirstChange{1'500'000};  // us; a bank is formed by then
constexpr Duration kCallWithin{1'200'000};   // us; then the answer counts as lost
constexpr Duration kAgain{100'000};          // us; after an answer that is none
constexpr Duration kBlock{6'000'000};        // us
constexpr size_t kTwins = 5, kLost = 7;      // changes
constexpr Duration kCopyEvery{2'000'000};    // us; of disks, to be put back
// The way of a request that was decided before: a connection that comes up, the lab's own lateness.
constexpr Duration kSlack{300'000};  // us

}  // namespace

// One operator's call to a member.
class BankLab::Call final : public net::Stream::Owner {
 public:
  Call(net::EventLoop& loop, const net::Address& to, const json& call,
       std::function<void(std::optional<json>)> done)
      : loop_(loop), done_(std::move(done)) {
    bool refused = false;
    auto socket = net::Connect(to, nullptr, refused);
    if (socket) stream_ = std::make_unique<net::Stream>(loop, std::move(*socket), this, true);
    timer_ = loop_.After(kCallWithin, [this] { Tell(std::nullopt); });
    if (stream_ && stream_->Start()) {
      stream_->Write(peer::FrameOf({{"hello", peer::kFormat}, {"call", call}}));
    } else {
      Tell(std::nullopt);
    }
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  virtual ~Call() { loop_.Cancel(timer_); }
  void OnRead() override {
    json value;
    switch (peer::TakeFrame(stream_->in(), value)) {
      case peer::FrameRead::kWhole: return Tell(std::move(value));
      case peer::FrameRead::kNonsense: return Tell(std::nullopt);
      case peer::FrameRead::kNone: break;
    }
    if (stream_->ended()) Tell(std::nullopt);
  }
  void OnBroken() override { Tell(std::nullopt); }

 private:
  void Tell(std::optional<json> answer) {
    if (std::exchange(told_, true)) return;
    loop_.Cancel(timer_);
    if (stream_) stream_->Close();
    loop_.Defer([done = done_, answer = std::move(answer)] { done(answer); });
  }
  net::EventLoop& loop_;
  std::function<void(std::optional<json>)> done_;
  std::unique_ptr<net::Stream> stream_;
  net::EventLoop::TimerId timer_;
  bool told_ = false;
};

BankLab::BankLab(net::EventLoop& loop, const Experiment& experiment, Ledger& ledger,
                 std::string folder, uint64_t seed, size_t place)
    : loop_(loop),
      e_(experiment),
      ledger_(ledger),
      folder_(std::move(folder)),
      random_(seed),
      faults_(seed ^ 0xfa17),
      place_(place),
      away_(experiment.gateway.count),
      back_at_(experiment.gateway.count, Time(-10'000'000)),
      judge_(bank::BoundOf(bank::Timing(), bank::kSlack), kSlack) {
  const size_t count = e_.gateway.count;
  // Who votes is linked with all; the others have nothing to say to each other.
  for (size_t a = 0; a < std::min(count, e_.bank.voters); ++a) {
    for (size_t b = a + 1; b < count; ++b) {
      relays_[{a, b}] = std::make_unique<Relay>(loop_, OwnAddress(place_ + count + a * count + b),
                                                SeatOf(b), random_());
    }
  }
  for (size_t i = 0; i < count; ++i) WriteFile(i);
  net::InitBank(net::ReadBank(FileOf(0), "g000"), "g000");
  Copies();
}

BankLab::~BankLab() = default;

std::string BankLab::FileOf(size_t i) const { return fmt::format("{}/bank-{}.toml", folder_, i); }
std::string BankLab::FolderOf(size_t i) const { return fmt::format("{}/disk-g{:03}", folder_, i); }
net::Address BankLab::SeatOf(size_t i) const { return OwnAddress(place_ + i); }

void BankLab::WriteFile(size_t i) {
  std::ofstream file(FileOf(i));
  file << "[bank]\nname = \"lab\"\n"
       << fmt::format("folder = \"{}/disk-{{name}}\"\nlab_disk = \"{}/control-{}\"\n", folder_,
                      folder_, i)
       << fmt::format("when_lost = \"{}\"\n", e_.bank.drains ? "drain" : "serve");
  for (const auto& [gateway, factor] : e_.bank.clocks) {
    if (gateway == i) file << fmt::format("lab_clock_factor = {}\n", factor);
  }
  for (size_t j = 0; j < e_.gateway.count; ++j) {
    file << fmt::format("[[bank.members]]\nname = \"g{:03}\"\naddress = \"{}\"\nvotes = {}\n", j,
                        net::ToText(SeatOf(j)), j < e_.bank.voters);
    const auto relay = relays_.find({i, j});
    if (relay != relays_.end()) {
      file << fmt::format("dial = \"{}\"\n", net::ToText(OwnAddress(place_ + e_.gateway.count +
                                                                    i * e_.gateway.count + j)));
    }
  }
}

size_t BankLab::Draw(size_t count) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
}

void BankLab::Begin(Time zero, std::vector<ListedHost> hosts) {
  zero_ = zero;
  hosts_ = std::move(hosts);
  ledger_.OnReceipt([this](Time now, size_t n, size_t host, size_t copy) {
    const size_t gateway = ledger_.GatewayOf(n);
    // Where the operator chose service, one that the script keeps away goes on with what it knows;
    // back in touch, it has as long as a lease to hear of what is new.
    const bool excused = !e_.bank.drains && (away_[gateway] > 0 || now < back_at_[gateway]);
    judge_.Received(now, host, gateway, ledger_.FactsOf(n).cls, ledger_.HandedAt(n), copy, excused,
                    ledger_.IdOf(n));
  });
  loop_.After(kFirstChange, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) Submit();
  });
}

// ---- Faults -----------------------------------------------------------------------------------

void BankLab::Kept(size_t gateway, bool away) {
  away_[gateway] += away ? 1 : -1;
  if (away_[gateway] == 0) {
    back_at_[gateway] = Now() + bank::BoundOf(bank::Timing(), bank::kSlack) + Duration(2'500'000);
  }
}

void BankLab::Down(size_t gateway, bool down) { Kept(gateway, down); }

void BankLab::Cut(size_t a, size_t b, const Fault& fault, bool on) {
  const auto at = relays_.find({std::min(a, b), std::max(a, b)});
  if (at == relays_.end()) return;
  Relay& relay = *at->second;
  // What `a` sends goes `there` where it is the one that dials.
  RelayWay& out = a < b ? relay.there : relay.back;
  RelayWay& in = a < b ? relay.back : relay.there;
  const int step = on ? 1 : -1;
  for (RelayWay* const way : {&out, &in}) {
    if (fault.ways == (way == &out ? Ways::kIn : Ways::kOut)) continue;
    switch (fault.kind) {
      case FaultKind::kLinkSlow:
        way->delay_ms = on ? fault.delay_ms : Span{0, 0};
        way->bytes_per_s = on ? fault.bytes_per_s : 0;
        break;
      case FaultKind::kLinkNoise: way->noise = on ? fault.share : 0; break;
      default: way->cuts += step;
    }
  }
  relay.Changed();
  if (fault.resets && on) relay.Reset();
}

void BankLab::Flap(std::vector<std::pair<size_t, size_t>> pairs, const Fault& fault, Time until,
                   bool on) {
  for (const auto& [a, b] : pairs) Cut(a, b, fault, on);
  if (!on && Now() >= until) return;
  std::uniform_int_distribution<int64_t> next(50'000, 2'000'000);
  loop_.After(Duration(next(faults_)), [this, pairs = std::move(pairs), &fault, until, on] {
    Flap(pairs, fault, until, !on);
  });
}

void BankLab::Play(const Fault& fault) {
  const size_t count = e_.gateway.count;
  std::set<size_t> side(fault.from.begin(), fault.from.end());
  if (fault.gateways) {
    // Of a generator of their own: whom a fault befalls is the seed's alone.
    std::uniform_int_distribution<size_t> any(0, count - 1);
    while (side.size() < *fault.gateways) side.insert(any(faults_));
  } else if (side.empty()) {
    side.insert(fault.gateway);
  }
  if (fault.kind == FaultKind::kGatewayDisk) {
    for (const size_t i : side) {
      std::ofstream(fmt::format("{}/control-{}", folder_, i))
          << (fault.disk == DiskIs::kFull   ? "full"
              : fault.disk == DiskIs::kSlow ? fmt::format("slow {}", fault.delay_ms.high)
                                            : "sync-fails");
    }
    loop_.After(fault.lasts, [this, side] {
      for (const size_t i : side) std::ofstream(fmt::format("{}/control-{}", folder_, i)) << "";
    });
    return;
  }
  std::vector<std::pair<size_t, size_t>> pairs;
  for (const size_t a : side) {
    for (size_t b = 0; b < count; ++b) {
      if (!side.contains(b)) pairs.emplace_back(a, b);
    }
  }
  // Either side may be the smaller: whoever cannot reach a majority is away.
  for (size_t i = 0; i < count; ++i) Kept(i, true);
  loop_.After(fault.lasts, [this, count] {
    for (size_t i = 0; i < count; ++i) Kept(i, false);
  });
  if (fault.kind == FaultKind::kLinkFlap) return Flap(pairs, fault, Now() + fault.lasts, true);
  for (const auto& [a, b] : pairs) Cut(a, b, fault, true);
  loop_.After(fault.lasts, [this, pairs, &fault] {
    for (const auto& [a, b] : pairs) Cut(a, b, fault, false);
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
  loop_.After(kCopyEvery, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) Copies();
  });
}

void BankLab::ChangeDisk(size_t i, DiskIs disk) {
  std::error_code error;
  const std::string log = FolderOf(i) + "/log";
  if (disk == DiskIs::kNone) fs::remove_all(FolderOf(i), error);
  if (disk == DiskIs::kOld) fs::rename(log + ".copy", log, error);
}

// ---- Changes ----------------------------------------------------------------------------------

// The next one, once the last is told; now and then two at once, in no order.
void BankLab::Submit() {
  if (Now() > e_.length - e_.bank.quiet_last) return;
  loop_.After(e_.bank.change_every, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) Submit();
  });
  if (!std::ranges::all_of(changes_, &Change::done)) return;
  SubmitOne();
  if (changes_.size() % kTwins == 0) SubmitOne();
}

void BankLab::SubmitOne() {
  const size_t n = changes_.size();
  BankJudge::Wanted wanted;
  json rules = {{"barred", json::array()}};
  // One host is barred for long, past the bound: what goes there late is seen. Another one comes
  // and goes, so that each change contradicts the one before.
  const auto block = static_cast<size_t>((Now() - kFirstChange).count() / kBlock.count());
  const bool begins = n == 0 || block != block_;
  if (begins) kept_off_ = Draw(hosts_.size()), block_ = block;
  std::set<size_t> barred;
  if (!begins) barred.insert(kept_off_);
  if (n % 2 == 1) barred.insert(Draw(hosts_.size()));
  for (const size_t at : barred) {
    wanted.barred.push_back(hosts_[at].host);
    rules["barred"].push_back(hosts_[at].id);
  }
  if (e_.bank.effects) {
    json classes = json::parse(SettingsJson(e_, 0))["Classes"];
    if (block % 2 == 1) {
      wanted.once = 0;
      classes[0]["Effect"] = "unsafe";
    }
    rules["settings"]["Classes"] = std::move(classes);
  }
  bank::Wish wish;
  wish.change.id = fmt::format("lab-{}", n);
  wish.change.author = "lab";
  wish.change.reason = fmt::format("change {}", n);
  wish.change.rules = rules.dump();
  changes_.push_back({bank::ToJson(wish), false, false, nullptr});
  judge_.Submitted(Now(), std::move(wanted));
  Ask(n);
}

// Through any gateway, also one that is cut off; again elsewhere where the answer is none.
void BankLab::Ask(size_t n) {
  if (changes_[n].done) return;
  const net::Address at = SeatOf(Draw(e_.gateway.count));
  const auto again = [this, n] {
    loop_.After(kAgain, [this, n, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) Ask(n);
    });
  };
  changes_[n].call = std::make_shared<Call>(
      loop_, at, json{{"what", "submit"}, {"wish", changes_[n].wish}},
      [this, n, again, alive = std::weak_ptr(alive_)](const std::optional<json>& value) {
        if (alive.expired()) return;
        const auto answer = value && value->is_object()
                                ? bank::ReadAnswer(value->value("answer", json()))
                                : std::nullopt;
        if (!answer) return again();
        switch (answer->kind) {
          case bank::Answer::Kind::kDone:
            // Now and then the answer is lost on its way: it is submitted again, and counts once.
            if (n % kLost == 3 && !std::exchange(changes_[n].answer_lost, true)) return again();
            changes_[n].done = true;
            return judge_.ToldDone(Now(), n, answer->version);
          case bank::Answer::Kind::kRefused:
            changes_[n].done = true;
            return judge_.Refused(Now(), n, answer->text);
          default: return again();
        }
      });
}

BankResult BankLab::Finish(Time now) {
  ledger_.OnReceipt(nullptr);
  return judge_.Finish(now, e_.length - e_.bank.quiet_last);
}

}  // namespace paddlestile::lab
