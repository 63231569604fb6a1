#include "lab/one_gateway.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string_view>
#include <utility>

#include "base/parse_number.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "http/http_parser.h"
#include "lab/bench.h"
#include "lab/experiment.h"
#include "lab/listener.h"
#include "lab/process.h"
#include "lab/runner.h"
#include "lab/signal_watch.h"

namespace paddlestile::lab {
namespace {

using nlohmann::json;

constexpr size_t kOwnPlaces = 2'100'000;       // addresses behind those of the longest list
constexpr uint64_t kFirstRevision = 1000;      // of the whole list
constexpr Duration kEmptyEvery{1'500'000};     // us; a line is due every 2 s
constexpr Duration kReadyWithin{120'000'000};  // us
constexpr Duration kTakenWithin{60'000'000};   // us
constexpr Duration kNotTakenFor{6'000'000};    // us; how often it is asked for meanwhile
constexpr Duration kRereadWithin{60'000'000};  // us
constexpr Duration kEndWithin{10'000'000};     // us
constexpr Duration kSettle{500'000};           // us; before and after what is measured
constexpr Duration kAskCounters{25'000};       // us
constexpr Duration kProbeEvery{5'000}, kProbeStart{2'000};  // us
constexpr Duration kLookEvery{50'000};                      // us; at the machine's memory
constexpr size_t kProbesOut = 32;
// The lab's own lateness past which a wait says nothing of the gateway.
constexpr double kLateMostMs = 20;
constexpr size_t kAddedHosts = 400;  // that answer; each needs a listener
constexpr double kBend = 10;         // times the lowest rate's
constexpr double kLeastAddedMs = 0.05;

double Ms(Duration d) {
  return static_cast<double>(d.count()) / 1000;
}
double Seconds(Duration d) {
  return static_cast<double>(d.count()) / 1e6;
}
Duration FromSeconds(double s) {
  return Duration(static_cast<int64_t>(s * 1e6));
}
double Mb(uint64_t kb) {
  return static_cast<double>(kb) / 1024;
}

// ---- The list
// ------------------------------------------------------------------------------------

constexpr std::string_view kZones[] = {"a", "b", "c"};

std::string Entry(size_t place, std::string_view phase, uint64_t up_since_ms) {
  return fmt::format(
      R"({{"id":"host-{:06}","host_port":"{}","locality":"{}","cell":{},"phase":"{}",)"
      R"("size":1.0,"up_since_ms":{}}})",
      place, ToText(LoopbackAddress(place)), kZones[place % std::size(kZones)], place % 7, phase,
      up_since_ms);
}

uint64_t WallMs() {
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
}

std::string WholeList(size_t hosts, uint64_t revision) {
  constexpr uint64_t kDayMs = 86'400'000;
  const uint64_t since = WallMs() - kDayMs;
  std::string out = fmt::format(R"({{"revision":{},"complete":true,"members":[)", revision);
  constexpr size_t kEntryBytes = 160;
  out.reserve(out.size() + hosts * kEntryBytes);
  for (size_t i = 0; i < hosts; ++i) {
    if (i > 0) {
      out += ',';
    }
    out += Entry(i, "active", since);
  }
  return out + "]}";
}

// Discovery with one list, told whole on the first watch once it is let, then changes line by line.
class Source {
 public:
  Source(EventLoop& loop, const Address& at)
      : loop_(loop), listener_(loop, at, [this](FileDescriptor fd) {
          connections_.push_back(std::make_shared<Connection>(*this, std::move(fd)));
          connections_.back()->place = std::prev(connections_.end());
          if (!connections_.back()->Start()) {
            connections_.back()->OnError();
          }
        }) {
    Beat();
  }
  Source(const Source&) = delete;
  Source& operator=(const Source&) = delete;
  ~Source() { loop_.CancelTimer(beat_); }

  // What is told from now on, at once to the watches that are open.
  void Tell(std::shared_ptr<const std::string> whole) {
    whole_ = std::move(whole);
    for (const auto& connection : connections_) {
      connection->Tell();
    }
  }
  void Change(const std::string& entry) {
    const uint64_t revision = kFirstRevision + changes_.size() + 1;
    changes_.push_back(
        fmt::format(R"({{"revision":{},"complete":false,"members":[{}]}})", revision, entry));
    change_bytes_ += changes_.back().size() + 1;
    for (const auto& connection : connections_) {
      connection->Tell();
    }
  }
  [[nodiscard]] size_t asked_whole() const { return asked_whole_; }
  [[nodiscard]] size_t changes() const { return changes_.size(); }
  [[nodiscard]] size_t change_bytes() const { return change_bytes_; }

 private:
  class Connection final : public Stream::Listener {
   public:
    Connection(Source& source, FileDescriptor fd)
        : source_(source), stream_(source.loop_, Socket(std::move(fd), nullptr), this, false) {}
    bool Start() { return stream_.Start(); }
    void OnData() override {
      if (!watches_ && parser_.Feed(stream_.input()) == ParseProgress::kDone) {
        Asked();
      }
      if (stream_.ended()) {
        OnError();
      }
    }
    void OnError() override {
      if (stream_.closed()) {
        return;
      }
      stream_.Close();
      source_.loop_.RunDeferred([kept = *place] {});
      source_.connections_.erase(place);
    }
    void Empty() {
      if (watches_) {
        stream_.Write("1\r\n\n\r\n");
      }
    }
    void Tell() {
      if (!watches_ || !source_.whole_) {
        return;
      }
      if (revision_ < kFirstRevision) {
        revision_ = kFirstRevision;
        ++source_.asked_whole_;
        const auto& whole = source_.whole_;
        stream_.Write(fmt::format("{:x}\r\n", whole->size() + 1), whole, *whole);
        stream_.Write("\n\r\n");
      }
      for (; revision_ - kFirstRevision < source_.changes_.size(); ++revision_) {
        const std::string& line = source_.changes_[revision_ - kFirstRevision];
        stream_.Write(fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line));
      }
    }
    std::list<std::shared_ptr<Connection>>::iterator place;

   private:
    void Asked() {
      const HttpMessage m = parser_.message();
      const Buffer bytes = stream_.input().TakeFront(m.total_bytes);
      parser_.Reset();
      const std::string_view target = m.target.In(bytes.view());
      if (target.find("follow=1") == std::string_view::npos) {
        // None is told yet: an empty list would be obeyed.
        if (!source_.whole_) {
          return stream_.Write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        }
        ++source_.asked_whole_;
        const auto& whole = source_.whole_;
        return stream_.Write(
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole->size()), whole,
            *whole);
      }
      watches_ = true;
      if (const size_t at = target.find("since="); at != std::string_view::npos) {
        revision_ =
            ParseWholeNumber(target.substr(at + std::string_view("since=").size())).value_or(0);
      }
      stream_.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      Empty();
      Tell();
    }

    Source& source_;
    Stream stream_;
    HttpParser parser_{HttpParser::Kind::kRequest};
    bool watches_ = false;
    uint64_t revision_ = 0;  // told up to here
  };

  void Beat() {
    beat_ = loop_.RunAfter(kEmptyEvery, [this] {
      for (const auto& connection : connections_) {
        connection->Empty();
      }
      Beat();
    });
  }

  EventLoop& loop_;
  std::list<std::shared_ptr<Connection>> connections_;
  Listener listener_;
  std::shared_ptr<const std::string> whole_;
  std::vector<std::string> changes_;
  size_t asked_whole_ = 0, change_bytes_ = 0;
  EventLoop::TimerId beat_;
};

// ---- The loop's stand, from outside
// --------------------------------------------------------------

// GET /_health on kept connections at an even pace, whatever is still out.
class Prober {
 public:
  Prober(EventLoop& loop, const Address& to, Duration every) : loop_(loop), to_(to), every_(every) {
    Next();
  }
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;
  ~Prober() {
    loop_.CancelTimer(timer_);
    for (const auto& call : calls_) {
      call->Stop();
    }
  }

  void set_every(Duration every) { every_ = every; }
  [[nodiscard]] bool answered() const { return answered_; }

  // What follows is counted from here.
  void Begin() {
    begin_ = loop_.Now();
    longest_ = late_ = Duration(0);
  }
  [[nodiscard]] double LongestMs() const {
    Duration longest = longest_;
    for (const auto& call : calls_) {
      if (call->out) {
        longest = std::max(longest, loop_.Now() - std::max(call->asked, begin_));
      }
    }
    return Ms(longest);
  }
  // The lab's own lateness meanwhile.
  [[nodiscard]] double LateMs() const { return Ms(late_); }

 private:
  class Call final : public Stream::Listener {
   public:
    Call(Prober& prober, Socket socket)
        : prober_(prober), stream_(prober.loop_, std::move(socket), this, true) {}
    bool Start() { return stream_.Start(); }
    void Stop() { stream_.Close(); }
    void Ask() {
      asked = prober_.loop_.Now();
      out = true;
      stream_.Write("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n");
    }
    void OnData() override {
      if (parser_.Feed(stream_.input()) == ParseProgress::kDone) {
        const bool good = parser_.message().status == 200;
        const bool keeps = parser_.message().keep_alive;
        stream_.input().Consume(parser_.message().total_bytes);
        parser_.Reset();
        out = false;
        prober_.Answered(asked, good);
        if (!keeps) {
          return OnError();
        }
      }
      if (stream_.ended()) {
        OnError();
      }
    }
    void OnError() override {
      if (stream_.closed()) {
        return;
      }
      stream_.Close();
      prober_.loop_.RunDeferred([kept = *place] {});
      prober_.calls_.erase(place);
    }
    std::list<std::shared_ptr<Call>>::iterator place;
    Time asked{0};
    bool out = false;

   private:
    Prober& prober_;
    Stream stream_;
    HttpParser parser_{HttpParser::Kind::kResponse};
  };

  void Answered(Time asked, bool good) {
    answered_ = answered_ || good;
    longest_ = std::max(longest_, loop_.Now() - std::max(asked, begin_));
  }
  void Next() {
    due_ = loop_.Now() + every_;
    timer_ = loop_.RunAfter(every_, [this] {
      late_ = std::max(late_, loop_.Now() - due_);
      Ask();
      Next();
    });
  }
  void Ask() {
    const auto idle = std::ranges::find_if(calls_, [](const auto& call) { return !call->out; });
    if (idle != calls_.end()) {
      return (*idle)->Ask();
    }
    if (calls_.size() >= kProbesOut) {
      return;  // those that are out tell how long it stands
    }
    bool refused = false;
    auto socket = Connect(to_, nullptr, refused);
    if (!socket) {
      return;
    }
    calls_.push_back(std::make_shared<Call>(*this, std::move(*socket)));
    const auto call = calls_.back();
    call->place = std::prev(calls_.end());
    if (!call->Start()) {
      return call->OnError();
    }
    call->Ask();
  }

  EventLoop& loop_;
  Address to_;
  Duration every_;
  std::list<std::shared_ptr<Call>> calls_;
  bool answered_ = false;
  Time begin_{0}, due_{0};
  Duration longest_{0}, late_{0};
  EventLoop::TimerId timer_;
};

// ---- The gateway's log
// ---------------------------------------------------------------------------

// Lines that were not there at the last look.
class LogReader {
 public:
  explicit LogReader(std::string path) : path_(std::move(path)) {}
  std::vector<std::string> News() {
    std::ifstream file(path_, std::ios::binary);
    file.seekg(static_cast<std::streamoff>(read_));
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line) && !file.eof();) {
      read_ += line.size() + 1;
      lines.push_back(std::move(line));
    }
    return lines;
  }

 private:
  std::string path_;
  size_t read_ = 0;
};

// The value of name=value in a line of counters; 0 where it is not there.
double Field(std::string_view line, std::string_view name) {
  const size_t at = line.find(fmt::format(" {}=", name));
  if (at == std::string_view::npos) {
    return 0;
  }
  return std::strtod(std::string(line.substr(at + name.size() + 2, 32)).c_str(), nullptr);
}

// What stands behind the level, cut to a length that a figure's page can bear.
std::string Reason(const std::string& line) {
  return line.substr(0, 300);
}

// ---- The measurement
// -----------------------------------------------------------------------------

class Measurement {
 public:
  Measurement(const OneGatewayOptions& options, const std::function<void(const std::string&)>& told)
      : o_(options), told_(told), signals_(loop_, [this] { interrupted_ = true; }) {
    std::signal(SIGPIPE, SIG_IGN);
    r_.options = o_;
    std::array<double, 1> load{};
    if (getloadavg(load.data(), 1) == 1) {
      r_.load = load[0];
    }
    constexpr std::string_view kText = R"(
name = "one-gateway"
[[hosts]]
count = 1
[[classes]]
name = "read"
work_ms = 0
aim_ms = 1000
deadline_ms = 3000
[load]
rate = 1
)";
    settings_ = json::parse(SettingsJson(ParseExperiment(std::string(kText), "one-gateway"), 0));
    settings_["FailureDomains"] = kZones;
    settings_["RegistryMode"] = "automatic";
    Look();
  }
  Measurement(const Measurement&) = delete;
  Measurement& operator=(const Measurement&) = delete;
  ~Measurement() { loop_.CancelTimer(look_); }

  OneGatewayResult Run() {
    MeasureList();
    if (Fine() && o_.tenants > 0) {
      MeasureSettings();
    }
    Stop();
    loop_.CancelTimer(look_);
    for (const double rate : Ascending(o_.rates)) {
      if (!Fine() || !MeasureAdded(rate)) {
        break;
      }
    }
    r_.verdict = !r_.late.empty()     ? Verdict::kVoid
                 : !r_.broken.empty() ? Verdict::kBroken
                                      : Verdict::kHeld;
    return std::move(r_);
  }

 private:
  static std::vector<double> Ascending(std::vector<double> rates) {
    std::ranges::sort(rates);
    return rates;
  }
  [[nodiscard]] bool Fine() const { return r_.broken.empty(); }

  // ---- Time -------------------------------------------------------------------------------------
  // Until then, or the time is over, or it is no use to go on; whether it came.
  bool Until(const std::function<bool()>& holds, Duration within) {
    const Time end = loop_.Now() + within;
    while (Fine() && !holds()) {
      if (loop_.Now() >= end) {
        return false;
      }
      loop_.RunOnce(Duration(2'000));
      if (interrupted_) {
        throw Interrupted("interrupted; nothing is left running");
      }
      if (!process_) {
        continue;
      }
      if (const auto code = process_->ExitCode(); code && !ending_ && !may_refuse_) {
        Broken(fmt::format("the gateway ended with {}", *code));
      }
    }
    return Fine();
  }
  void Pass(Duration time) {
    Until([] { return false; }, time);
  }
  void Broken(const std::string& what) {
    constexpr size_t kTailLines = 3;
    r_.broken.push_back(what);
    if (!log_path_.empty()) {
      told_(what + "; the last of its log:\n" + TailOf(log_path_, kTailLines));
    }
  }

  // Half of the machine's memory is not ours to take.
  void Look() {
    uint64_t own_kb = 0;
    std::ifstream file("/proc/self/statm");
    uint64_t size = 0, resident = 0;
    const auto page_kb = static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
    if (file >> size >> resident) {
      own_kb = resident * page_kb;
    }
    const bool runs = process_ && !process_->ExitCode();
    const double used = Mb(own_kb + (runs ? process_->Measure().rss_kb : 0));
    r_.rss_mb_most = std::max(r_.rss_mb_most, used);
    r_.processes_most = std::max<size_t>(r_.processes_most, runs ? 2 : 1);
    const double all = Mb(static_cast<uint64_t>(sysconf(_SC_PHYS_PAGES)) * page_kb);
    if (used > all / 2 && Fine()) {
      Broken(fmt::format("{:.0f} MB held, over half of the machine's", used));
      if (process_) {
        process_->Signal(SIGKILL);
      }
    }
    look_ = loop_.RunAfter(kLookEvery, [this] { Look(); });
  }

  // ---- The gateway ------------------------------------------------------------------------------
  void WriteConfig(const json& settings, std::string_view known) {
    const json config = {{"name", "g0"},
                         {"listen", ToText(address_)},
                         {"discovery", ToText(source_at_)},
                         {"seed", fmt::format("{:x}", o_.seed)},
                         {"limits", {{"cores", 1.0}, {"sockets", 4096}}},
                         {"settings", settings}};
    std::string text = config.dump();
    text.back() = ',';
    const std::string part = config_path_ + ".part";
    {
      std::ofstream file(part, std::ios::binary);
      file << text << "\"known\":" << known << '}';
    }
    config_bytes_ = std::filesystem::file_size(part);
    std::filesystem::rename(part, config_path_);
  }

  // Until its first yes to /_health; the time that took, or nothing.
  std::optional<double> Start(const json& settings, std::string_view known) {
    Stop();
    ++starts_;
    address_ = LoopbackAddress(kOwnPlaces + 2 * starts_);
    source_at_ = LoopbackAddress(kOwnPlaces + 2 * starts_ + 1);
    config_path_ = fmt::format("{}/config-{}.json", folder_.path(), starts_);
    log_path_ = fmt::format("{}/gateway-{}.log", folder_.path(), starts_);
    WriteConfig(settings, known);
    source_ = std::make_unique<Source>(loop_, source_at_);
    log_ = std::make_unique<LogReader>(log_path_);
    const Time began = loop_.Now();
    process_ = std::make_unique<Process>(
        std::vector<std::string>{std::filesystem::read_symlink("/proc/self/exe").string(), "serve"},
        std::vector<std::pair<std::string, std::string>>{{"LB_NAME", "g0"},
                                                         {"LB_LISTEN", ToText(address_)},
                                                         {"LB_DISCOVERY", ToText(source_at_)},
                                                         {"LB_CONFIG", config_path_}},
        log_path_);
    prober_ = std::make_unique<Prober>(loop_, address_, kProbeStart);
    const bool ready =
        Until([&] { return prober_->answered() || process_->ExitCode(); }, kReadyWithin);
    prober_->set_every(kProbeEvery);
    if (ready && prober_->answered()) {
      return Ms(loop_.Now() - began);
    }
    return std::nullopt;
  }

  void Stop() {
    prober_.reset();
    if (process_ && !process_->ExitCode()) {
      ending_ = true;
      process_->Signal(SIGTERM);
      const bool ended = Until([&] { return process_->ExitCode().has_value(); }, kEndWithin);
      if (Fine() && !ended) {
        Broken("the gateway did not end after SIGTERM");
      }
      if (ended && *process_->ExitCode() != 0) {
        Broken(fmt::format("the gateway ended with {}", *process_->ExitCode()));
      }
      ending_ = false;
    }
    process_.reset();
    source_.reset();
  }

  // Lines of counters as they come; others are kept for reasons.
  void ReadLog(std::string& counters) {
    for (std::string& line : log_->News()) {
      if (line.find("counters: ") != std::string::npos) {
        counters = std::move(line);
      } else {
        said_.push_back(std::move(line));
      }
    }
  }
  // The first such line.
  [[nodiscard]] std::string Said(std::string_view part) const {
    for (const std::string& line : said_) {
      if (line.find(part) != std::string::npos) {
        return Reason(line);
      }
    }
    return {};
  }
  // Asks for counters again and again until they say so.
  bool UntilCounters(const std::function<bool(const std::string&)>& say, Duration within) {
    Time next = loop_.Now();
    std::string counters;
    return Until(
        [&] {
          if (loop_.Now() >= next) {
            process_->Signal(SIGUSR1);
            next = loop_.Now() + kAskCounters;
          }
          ReadLog(counters);
          return !counters.empty() && say(counters);
        },
        within);
  }

  double WindowEnds(std::string_view what) {
    const double stand = prober_->LongestMs(), late = prober_->LateMs();
    if (late > std::max(kLateMostMs, stand / 2)) {
      r_.late.push_back(fmt::format("{}: the lab was {:.0f} ms late once, {:.0f} at most", what,
                                    late, kLateMostMs));
    }
    return stand;
  }

  // ---- The parts --------------------------------------------------------------------------------
  void MeasureList() {
    ListCost& list = r_.list;
    const auto whole = std::make_shared<const std::string>(WholeList(o_.hosts, kFirstRevision));
    list.bytes = whole->size();
    const auto known = Start(settings_, *whole);
    if (!known) {
      return NotReady("the known list");
    }
    list.ready_known_ms = *known;
    Pass(kSettle);
    list.rss_mb_known = Mb(process_->Measure().rss_kb);
    told_(fmt::format("known list of {} hosts, {} bytes: ready after {:.0f} ms, {:.0f} MB",
                      o_.hosts, list.bytes, list.ready_known_ms, list.rss_mb_known));

    if (!Start(settings_, WholeList(0, 0))) {
      return NotReady("no known list");
    }
    Pass(kSettle);
    if (!Fine()) {
      return;
    }
    const Process::Usage before = process_->Measure();
    list.rss_mb_before = Mb(before.rss_kb);
    prober_->Begin();
    const Time told = loop_.Now();
    source_->Tell(whole);
    Time not_taken = Time::max();
    UntilCounters(
        [&](const std::string& counters) {
          list.taken = Field(counters, "discovery_updates") > 0 &&
                       Field(counters, "revision") >= static_cast<double>(kFirstRevision);
          if (not_taken == Time::max() && Field(counters, "discovery_failures") > 0) {
            not_taken = loop_.Now();
          }
          return list.taken || (not_taken < Time::max() && loop_.Now() - not_taken > kNotTakenFor);
        },
        kTakenWithin);
    if (list.taken) {
      list.taken_ms = Ms(loop_.Now() - told);
    }
    Pass(kSettle);
    if (!Fine()) {
      return;
    }
    const Process::Usage after = process_->Measure();
    list.cpu_s = (after.cpu_us - before.cpu_us) / 1e6;
    const Duration list_took = loop_.Now() - told;
    list.rss_mb = Mb(after.rss_kb);
    list.stand_ms = WindowEnds("list");
    list.asked_whole = source_->asked_whole();
    if (!list.taken) {
      list.reason = Said("too long");
      if (list.reason.empty()) {
        list.reason = Said("discovery");
      }
      told_(fmt::format("told list: not taken, asked for {} times: {}", list.asked_whole,
                        list.reason));
      return;
    }
    told_(fmt::format(
        "told list: taken after {:.0f} ms, longest stand {:.0f} ms, {:.2f} s of CPU, {:.0f} to "
        "{:.0f} MB",
        list.taken_ms, list.stand_ms, list.cpu_s, list.rss_mb_before, list.rss_mb));
    MeasureChanges(list_took);
  }

  void MeasureChanges(Duration list_took) {
    const Duration span = FromSeconds(o_.seconds);
    const double idle_before = process_->Measure().cpu_us;
    const Time idle_from = loop_.Now();
    Pass(span);
    if (!Fine()) {
      return;
    }
    const double idle_core = (process_->Measure().cpu_us - idle_before) /
                             static_cast<double>((loop_.Now() - idle_from).count());
    // Its health calls and the counters it was asked for are not the list's.
    r_.list.cpu_s = std::max(0.0, r_.list.cpu_s - idle_core * Seconds(list_took));

    std::mt19937_64 random(o_.seed);
    std::uniform_int_distribution<size_t> host(0, o_.hosts - 1);
    ChangesCost cost;
    prober_->Begin();
    const double before = process_->Measure().cpu_us;
    const Time from = loop_.Now();
    size_t told = 0, at = 0;
    for (; o_.changes > 0; ++told) {
      // Evenly, so that the figures of two runs are of as many.
      const Time next = from + FromSeconds((static_cast<double>(told) + 0.5) / o_.changes);
      if (next >= from + span) {
        break;
      }
      if (!PassUntil(next)) {
        return;
      }
      // A restart is three entries: it leaves, it has left, it is back.
      constexpr std::string_view kPhases[] = {"leaving", "left", "active"};
      if (told % std::size(kPhases) == 0) {
        at = host(random);
      }
      source_->Change(Entry(at, kPhases[told % std::size(kPhases)], WallMs()));
    }
    if (!PassUntil(from + span)) {
      return;
    }
    const double took = Seconds(loop_.Now() - from);
    cost.per_s = static_cast<double>(told) / took;
    cost.cpu_core = (process_->Measure().cpu_us - before) / 1e6 / took - idle_core;
    cost.stand_ms = WindowEnds("list_changes");
    cost.bytes_s = static_cast<double>(source_->change_bytes()) / took;
    r_.changes = cost;
    const auto all = static_cast<double>(kFirstRevision + source_->changes());
    if (!UntilCounters([&](const auto& counters) { return Field(counters, "revision") >= all; },
                       kTakenWithin) &&
        Fine()) {
      Broken(fmt::format("not all of {} changes were taken", told));
    }
    r_.list.asked_whole = source_->asked_whole();
    told_(fmt::format(
        "{:.2f} changes a second: {:.4f} of a core beyond idle's {:.4f}, longest stand {:.0f} ms, "
        "{:.0f} bytes a second",
        cost.per_s, cost.cpu_core, idle_core, cost.stand_ms, cost.bytes_s));
  }
  bool PassUntil(Time until) {
    if (until > loop_.Now()) {
      Pass(until - loop_.Now());
    }
    return Fine();
  }

  json WithTenants(double first_quota) const {
    json settings = settings_;
    json tenants = json::array();
    for (size_t i = 0; i < o_.tenants; ++i) {
      tenants.push_back({{"Name", fmt::format("tenant-{:06}", i)},
                         {"QuotaPerS", i == 0 ? first_quota : 100.0},
                         {"Share", 1.0 / static_cast<double>(o_.tenants)}});
    }
    settings["Tenants"] = std::move(tenants);
    return settings;
  }

  void MeasureSettings() {
    SettingsCost cost;
    const std::string none = WholeList(0, 0);
    const json first = WithTenants(100);
    // A start that is refused ends it, which breaks nothing.
    may_refuse_ = true;
    said_.clear();
    const auto ready = Start(first, none);
    may_refuse_ = false;
    cost.bytes = config_bytes_;
    std::string counters;
    if (!ready) {
      if (!Fine() || !process_->ExitCode()) {
        return NotReady("settings");
      }
      ReadLog(counters);
      cost.refused = true;
      cost.reason = said_.empty() ? "no word" : Reason(said_.back());
      told_(fmt::format("settings with {} tenants: refused: {}", o_.tenants, cost.reason));
      r_.settings = cost;
      return;
    }
    cost.ready_ms = *ready;
    Pass(kSettle);
    if (!Fine()) {
      return;
    }
    const Process::Usage before = process_->Measure();
    cost.rss_mb = Mb(before.rss_kb);
    WriteConfig(WithTenants(50), none);
    ReadLog(counters);
    said_.clear();
    prober_->Begin();
    const Time from = loop_.Now();
    process_->Signal(SIGHUP);
    const bool said = Until(
        [&] {
          ReadLog(counters);
          cost.refused = !Said("configuration kept as it was").empty();
          return cost.refused || !Said("configuration read again").empty();
        },
        kRereadWithin);
    if (!Fine()) {
      return;
    }
    if (!said) {
      return Broken("no word of the configuration read again");
    }
    if (cost.refused) {
      cost.reason = Said("configuration kept as it was");
      told_(fmt::format("settings with {} tenants: not read again: {}", o_.tenants, cost.reason));
    } else {
      cost.reread_ms = Ms(loop_.Now() - from);
      Pass(kSettle);  // what it brings with it is done by then
      if (!Fine()) {
        return;
      }
      cost.reread_cpu_s = (process_->Measure().cpu_us - before.cpu_us) / 1e6;
      cost.stand_ms = WindowEnds("settings");
      told_(fmt::format(
          "settings with {} tenants, {} bytes: ready after {:.0f} ms, {:.0f} MB; read again after "
          "{:.0f} ms, {:.2f} s of CPU, longest stand {:.0f} ms",
          o_.tenants, cost.bytes, cost.ready_ms, cost.rss_mb, cost.reread_ms, cost.reread_cpu_s,
          cost.stand_ms));
    }
    r_.settings = cost;
  }

  void NotReady(std::string_view what) {
    if (!Fine()) {
      return;
    }
    const auto code = process_->ExitCode();
    Broken(fmt::format(
        "{}: {}", what,
        code ? fmt::format("the gateway ended with {}", *code)
             : fmt::format("no yes to /_health within {:.0f} s", Seconds(kReadyWithin))));
  }

  // False where there is no use in a higher rate.
  bool MeasureAdded(double rate) {
    BenchOptions bench;
    bench.seconds = o_.seconds;
    bench.seed = o_.seed;
    bench.hosts = std::min(o_.hosts, kAddedHosts);
    const Result straight = PlayPart(bench, rate, 0, true),
                 through = PlayPart(bench, rate, 0, false);
    AddedCost cost;
    cost.rate = rate;
    cost.hosts = bench.hosts;
    const auto ms = [](uint32_t us) {
      return us / 1000.0;
    };
    cost.straight_p50_ms = ms(straight.p50_us);
    cost.straight_p99_ms = ms(straight.p99_us);
    cost.through_p50_ms = ms(through.p50_us);
    cost.through_p99_ms = ms(through.p99_us);
    for (const Result* const part : {&straight, &through}) {
      if (cost.late.empty() && !part->late.empty()) {
        cost.late = part->late.front();
      }
    }
    r_.rss_mb_most = std::max(r_.rss_mb_most, Mb(through.rss_kb_max));
    r_.processes_most = std::max<size_t>(r_.processes_most, 2);
    r_.added.push_back(cost);
    for (const std::string& what : through.broken) {
      r_.broken.push_back(fmt::format("rate {}: {}", rate, what));
    }
    const double added = cost.through_p99_ms - cost.straight_p99_ms;
    told_(fmt::format("{:.0f} requests a second: p50 {:.2f} ms added, p99 {:.2f} ms{}", rate,
                      cost.through_p50_ms - cost.straight_p50_ms, added,
                      cost.late.empty() ? "" : "; void: " + cost.late));
    const AddedCost& lowest = r_.added.front();
    const double base = std::max(kLeastAddedMs, lowest.through_p99_ms - lowest.straight_p99_ms);
    // Above the bend lateness is the bend; a first rate that was late leaves nothing to compare.
    if (!cost.late.empty() && r_.added.size() == 1) {
      r_.late.push_back("added: " + cost.late);
    }
    return cost.late.empty() && (r_.added.size() == 1 || added <= kBend * base);
  }

  OneGatewayOptions o_;
  std::function<void(const std::string&)> told_;
  OneGatewayResult r_;
  EventLoop loop_;
  bool interrupted_ = false, ending_ = false;
  bool may_refuse_ = false;  // an end is an answer
  SignalWatch signals_;
  TemporaryDirectory folder_;
  json settings_;
  Address address_, source_at_;
  std::string config_path_, log_path_;
  size_t starts_ = 0, config_bytes_ = 0;
  std::unique_ptr<Source> source_;
  std::unique_ptr<LogReader> log_;
  std::vector<std::string> said_;  // lines that are no counters
  std::unique_ptr<Process> process_;
  std::unique_ptr<Prober> prober_;
  EventLoop::TimerId look_;
};

}  // namespace

OneGatewayResult MeasureOneGateway(const OneGatewayOptions& options,
                                   const std::function<void(const std::string&)>& told) {
  Measurement measurement(options, told);
  return measurement.Run();
}

std::string ToText(const OneGatewayResult& r) {
  std::string out = fmt::format("{} (load {:.2f} before, {:.0f} MB at most)\n", NameOf(r.verdict),
                                r.load, r.rss_mb_most);
  for (const std::string& what : r.broken) {
    out += fmt::format("  broken: {}\n", what);
  }
  for (const std::string& what : r.late) {
    out += fmt::format("  void: {}\n", what);
  }
  return out;
}

std::string ToJson(const OneGatewayResult& r) {
  const auto number = [](bool there, double value) {
    return there ? json(value) : json();
  };
  const ListCost& l = r.list;
  json added = json::array();
  for (const AddedCost& a : r.added) {
    added.push_back({{"rate", a.rate},
                     {"hosts", a.hosts},
                     {"straight_p50_ms", a.straight_p50_ms},
                     {"straight_p99_ms", a.straight_p99_ms},
                     {"through_p50_ms", a.through_p50_ms},
                     {"through_p99_ms", a.through_p99_ms},
                     {"p50_ms", a.through_p50_ms - a.straight_p50_ms},
                     {"p99_ms", a.through_p99_ms - a.straight_p99_ms},
                     {"void", a.late}});
  }
  json changes, settings;
  if (r.changes) {
    changes = {{"per_s", r.changes->per_s},
               {"cpu_core", r.changes->cpu_core},
               {"loop_stand_ms_most", r.changes->stand_ms},
               {"bytes_s", r.changes->bytes_s}};
  }
  if (r.settings) {
    const SettingsCost& s = *r.settings;
    const bool ready = s.ready_ms > 0, reread = ready && !s.refused;
    settings = {{"bytes", s.bytes},
                {"ready_ms", number(ready, s.ready_ms)},
                {"refused", s.refused},
                {"reason", s.reason},
                {"rss_mb", number(ready, s.rss_mb)},
                {"reread_ms", number(reread, s.reread_ms)},
                {"reread_cpu_s", number(reread, s.reread_cpu_s)},
                {"loop_stand_ms_most", number(reread, s.stand_ms)}};
  }
  const json out = {
      {"command", r.options.command},
      {"commit", r.options.commit},
      {"seed", r.options.seed},
      {"load", r.load},
      {"hosts", r.options.hosts},
      {"tenants", r.options.tenants},
      {"list",
       {{"bytes", l.bytes},
        {"taken", l.taken},
        {"reason", l.reason},
        {"asked_whole", l.asked_whole},
        {"ready_known_ms", l.ready_known_ms},
        {"rss_mb_known", l.rss_mb_known},
        {"taken_ms", number(l.taken, l.taken_ms)},
        {"loop_stand_ms_most", l.stand_ms},
        {"cpu_s", l.cpu_s},
        {"rss_mb_before", l.rss_mb_before},
        {"rss_mb", l.rss_mb}}},
      {"list_changes", changes},
      {"settings", settings},
      {"added", added},
      {"machine", {{"rss_mb_most", r.rss_mb_most}, {"processes_most", r.processes_most}}},
      {"verdict", NameOf(r.verdict)},
      {"broken", r.broken},
      {"void", r.late}};
  return out.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace paddlestile::lab
