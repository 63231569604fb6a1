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

// Index of the first loopback address for gateways and discovery, beyond those of the longest list.
constexpr size_t kFirstOwnAddress = 2'100'000;
constexpr uint64_t kFullListRevision = 1000;
constexpr Duration kKeepAliveInterval{1'500'000};   // us; the gateway expects a line every 2 s
constexpr Duration kReadyTimeout{120'000'000};      // us
constexpr Duration kListTimeout{60'000'000};        // us
constexpr Duration kRejectionWatchTime{6'000'000};  // us; counts the requests for a rejected list
constexpr Duration kReloadTimeout{60'000'000};      // us
constexpr Duration kExitTimeout{10'000'000};        // us
constexpr Duration kSettleTime{500'000};            // us; before and after a measurement
constexpr Duration kCountersInterval{25'000};       // us
constexpr Duration kProbeInterval{5'000}, kStartupProbeInterval{2'000};  // us
constexpr Duration kMemoryCheckInterval{50'000};                         // us
constexpr size_t kMaxOutstandingProbes = 32;
// Beyond this delay of the lab itself, response times say nothing about the gateway.
constexpr double kMaxLabDelayMs = 20;
constexpr size_t kMaxAnsweringHosts = 400;  // each needs a listener
constexpr double kSaturationFactor = 10;    // of the added p99 latency at the lowest rate
constexpr double kMinAddedLatencyMs = 0.05;

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}
double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}
Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}
double Megabytes(uint64_t kb) {
  return static_cast<double>(kb) / 1024;
}

// ---- The host list ------------------------------------------------------------------------------

constexpr std::string_view kZones[] = {"a", "b", "c"};

std::string MemberJson(size_t index, std::string_view phase, uint64_t up_since_ms) {
  return fmt::format(
      R"({{"id":"host-{:06}","host_port":"{}","locality":"{}","cell":{},"phase":"{}",)"
      R"("size":1.0,"up_since_ms":{}}})",
      index, ToText(LoopbackAddress(index)), kZones[index % std::size(kZones)], index % 7, phase,
      up_since_ms);
}

uint64_t WallClockMs() {
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
}

std::string FullListJson(size_t hosts, uint64_t revision) {
  constexpr uint64_t kDayMs = 86'400'000;
  const uint64_t since = WallClockMs() - kDayMs;
  std::string out = fmt::format(R"({{"revision":{},"complete":true,"members":[)", revision);
  constexpr size_t kEntryBytes = 160;
  out.reserve(out.size() + hosts * kEntryBytes);
  for (size_t i = 0; i < hosts; ++i) {
    if (i > 0) {
      out += ',';
    }
    out += MemberJson(i, "active", since);
  }
  return out + "]}";
}

// A discovery server with one list. A watch that doesn't resume at a known revision receives the
// full list once it is published; then each change is sent as one line.
class DiscoveryServer {
 public:
  DiscoveryServer(EventLoop& loop, const Address& address)
      : loop_(loop), listener_(loop, address, [this](FileDescriptor fd) {
          connections_.push_back(std::make_shared<Connection>(*this, std::move(fd)));
          connections_.back()->position = std::prev(connections_.end());
          if (!connections_.back()->Start()) {
            connections_.back()->OnError();
          }
        }) {
    ScheduleKeepAlive();
  }
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;
  ~DiscoveryServer() { loop_.CancelTimer(keep_alive_timer_); }

  // Publishes the full list: open watches receive it at once, later ones when they start.
  void PublishList(std::shared_ptr<const std::string> list) {
    list_ = std::move(list);
    for (const auto& connection : connections_) {
      connection->SendUpdates();
    }
  }
  void PublishChange(const std::string& member_json) {
    const uint64_t revision = kFullListRevision + changes_.size() + 1;
    changes_.push_back(
        fmt::format(R"({{"revision":{},"complete":false,"members":[{}]}})", revision, member_json));
    change_bytes_ += changes_.back().size() + 1;
    for (const auto& connection : connections_) {
      connection->SendUpdates();
    }
  }
  [[nodiscard]] size_t full_list_requests() const { return full_list_requests_; }
  [[nodiscard]] size_t changes() const { return changes_.size(); }
  [[nodiscard]] size_t change_bytes() const { return change_bytes_; }

 private:
  class Connection final : public Stream::Listener {
   public:
    Connection(DiscoveryServer& server, FileDescriptor fd)
        : server_(server), stream_(server.loop_, Socket(std::move(fd), nullptr), this, false) {}
    bool Start() { return stream_.Start(); }
    void OnData() override {
      if (!watching_ && parser_.Feed(stream_.input()) == ParseProgress::kDone) {
        OnRequest();
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
      server_.loop_.RunDeferred([connection = *position] {});
      server_.connections_.erase(position);
    }
    void SendKeepAlive() {
      if (watching_) {
        stream_.Write("1\r\n\n\r\n");
      }
    }
    void SendUpdates() {
      if (!watching_ || !server_.list_) {
        return;
      }
      if (sent_revision_ < kFullListRevision) {
        sent_revision_ = kFullListRevision;
        ++server_.full_list_requests_;
        const auto& list = server_.list_;
        stream_.Write(fmt::format("{:x}\r\n", list->size() + 1), list, *list);
        stream_.Write("\n\r\n");
      }
      for (; sent_revision_ - kFullListRevision < server_.changes_.size(); ++sent_revision_) {
        const std::string& line = server_.changes_[sent_revision_ - kFullListRevision];
        stream_.Write(fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line));
      }
    }
    std::list<std::shared_ptr<Connection>>::iterator position;

   private:
    void OnRequest() {
      const HttpMessage message = parser_.message();
      const Buffer bytes = stream_.input().TakeFront(message.total_bytes);
      parser_.Reset();
      const std::string_view target = message.target.In(bytes.view());
      if (target.find("follow=1") == std::string_view::npos) {
        // Not published yet; the gateway would apply an empty list.
        if (!server_.list_) {
          return stream_.Write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        }
        ++server_.full_list_requests_;
        const auto& list = server_.list_;
        return stream_.Write(
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list->size()), list,
            *list);
      }
      watching_ = true;
      if (const size_t since = target.find("since="); since != std::string_view::npos) {
        sent_revision_ =
            ParseWholeNumber(target.substr(since + std::string_view("since=").size())).value_or(0);
      }
      stream_.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      SendKeepAlive();
      SendUpdates();
    }

    DiscoveryServer& server_;
    Stream stream_;
    HttpParser parser_{HttpParser::Kind::kRequest};
    bool watching_ = false;
    uint64_t sent_revision_ = 0;  // revision of the last line sent
  };

  void ScheduleKeepAlive() {
    keep_alive_timer_ = loop_.RunAfter(kKeepAliveInterval, [this] {
      for (const auto& connection : connections_) {
        connection->SendKeepAlive();
      }
      ScheduleKeepAlive();
    });
  }

  EventLoop& loop_;
  std::list<std::shared_ptr<Connection>> connections_;
  Listener listener_;
  std::shared_ptr<const std::string> list_;
  std::vector<std::string> changes_;
  size_t full_list_requests_ = 0, change_bytes_ = 0;
  EventLoop::TimerId keep_alive_timer_;
};

// ---- Event loop stalls, measured by health checks -----------------------------------------------

// Sends GET /_health on persistent connections at a fixed interval, even while earlier probes are
// outstanding.
class Prober {
 public:
  Prober(EventLoop& loop, const Address& address, Duration interval)
      : loop_(loop), address_(address), interval_(interval) {
    ScheduleNext();
  }
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;
  ~Prober() {
    loop_.CancelTimer(timer_);
    for (const auto& connection : connections_) {
      connection->Stop();
    }
  }

  void set_interval(Duration interval) { interval_ = interval; }
  [[nodiscard]] bool ever_healthy() const { return ever_healthy_; }

  // Starts a measurement window: response times and delays count from now on.
  void StartWindow() {
    window_start_ = loop_.Now();
    longest_response_ = max_delay_ = Duration(0);
  }
  [[nodiscard]] double LongestResponseMs() const {
    Duration longest = longest_response_;
    for (const auto& connection : connections_) {
      if (connection->outstanding) {
        longest = std::max(longest, loop_.Now() - std::max(connection->sent_at, window_start_));
      }
    }
    return Milliseconds(longest);
  }
  // The longest delay of the lab's own probe timer in this window.
  [[nodiscard]] double MaxDelayMs() const { return Milliseconds(max_delay_); }

 private:
  class Connection final : public Stream::Listener {
   public:
    Connection(Prober& prober, Socket socket)
        : prober_(prober), stream_(prober.loop_, std::move(socket), this, true) {}
    bool Start() { return stream_.Start(); }
    void Stop() { stream_.Close(); }
    void Send() {
      sent_at = prober_.loop_.Now();
      outstanding = true;
      stream_.Write("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n");
    }
    void OnData() override {
      if (parser_.Feed(stream_.input()) == ParseProgress::kDone) {
        const bool healthy = parser_.message().status == 200;
        const bool keep_alive = parser_.message().keep_alive;
        stream_.input().Consume(parser_.message().total_bytes);
        parser_.Reset();
        outstanding = false;
        prober_.OnResponse(sent_at, healthy);
        if (!keep_alive) {
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
      prober_.loop_.RunDeferred([connection = *position] {});
      prober_.connections_.erase(position);
    }
    std::list<std::shared_ptr<Connection>>::iterator position;
    Time sent_at{0};
    bool outstanding = false;

   private:
    Prober& prober_;
    Stream stream_;
    HttpParser parser_{HttpParser::Kind::kResponse};
  };

  void OnResponse(Time sent_at, bool healthy) {
    ever_healthy_ = ever_healthy_ || healthy;
    longest_response_ = std::max(longest_response_, loop_.Now() - std::max(sent_at, window_start_));
  }
  void ScheduleNext() {
    due_at_ = loop_.Now() + interval_;
    timer_ = loop_.RunAfter(interval_, [this] {
      max_delay_ = std::max(max_delay_, loop_.Now() - due_at_);
      SendProbe();
      ScheduleNext();
    });
  }
  void SendProbe() {
    const auto idle = std::ranges::find_if(
        connections_, [](const auto& connection) { return !connection->outstanding; });
    if (idle != connections_.end()) {
      return (*idle)->Send();
    }
    if (connections_.size() >= kMaxOutstandingProbes) {
      return;  // the outstanding probes already measure the stall
    }
    bool refused = false;
    auto socket = Connect(address_, nullptr, refused);
    if (!socket) {
      return;
    }
    connections_.push_back(std::make_shared<Connection>(*this, std::move(*socket)));
    const auto connection = connections_.back();
    connection->position = std::prev(connections_.end());
    if (!connection->Start()) {
      return connection->OnError();
    }
    connection->Send();
  }

  EventLoop& loop_;
  Address address_;
  Duration interval_;
  std::list<std::shared_ptr<Connection>> connections_;
  bool ever_healthy_ = false;
  Time window_start_{0}, due_at_{0};
  Duration longest_response_{0}, max_delay_{0};
  EventLoop::TimerId timer_;
};

// ---- The gateway's log --------------------------------------------------------------------------

// Reads the lines that were appended to a log file since the last read.
class LogReader {
 public:
  explicit LogReader(std::string path) : path_(std::move(path)) {}
  std::vector<std::string> ReadNewLines() {
    std::ifstream file(path_, std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset_));
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line) && !file.eof();) {
      offset_ += line.size() + 1;
      lines.push_back(std::move(line));
    }
    return lines;
  }

 private:
  std::string path_;
  size_t offset_ = 0;
};

// The value of name=value in a line of counters; 0 where it is not there.
double CounterValue(std::string_view line, std::string_view name) {
  const size_t position = line.find(fmt::format(" {}=", name));
  if (position == std::string_view::npos) {
    return 0;
  }
  return std::strtod(std::string(line.substr(position + name.size() + 2, 32)).c_str(), nullptr);
}

// Returns a log line, cut to 300 characters so that it fits into the results.
std::string Truncated(const std::string& line) {
  return line.substr(0, 300);
}

// ---- The measurement ----------------------------------------------------------------------------

class Measurement {
 public:
  Measurement(const OneGatewayOptions& options,
              const std::function<void(const std::string&)>& report)
      : options_(options), report_(report), signals_(loop_, [this] { interrupted_ = true; }) {
    std::signal(SIGPIPE, SIG_IGN);
    result_.options = options_;
    std::array<double, 1> load{};
    if (getloadavg(load.data(), 1) == 1) {
      result_.load_average = load[0];
    }
    constexpr std::string_view kExperimentToml = R"(
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
    settings_ =
        json::parse(SettingsJson(ParseExperiment(std::string(kExperimentToml), "one-gateway"), 0));
    settings_["FailureDomains"] = kZones;
    settings_["RegistryMode"] = "automatic";
    CheckMemory();
  }
  Measurement(const Measurement&) = delete;
  Measurement& operator=(const Measurement&) = delete;
  ~Measurement() { loop_.CancelTimer(memory_check_timer_); }

  OneGatewayResult Run() {
    MeasureList();
    if (NothingBroken() && options_.tenants > 0) {
      MeasureSettings();
    }
    StopGateway();
    loop_.CancelTimer(memory_check_timer_);
    for (const double rate : Ascending(options_.rates)) {
      if (!NothingBroken() || !MeasureAddedLatency(rate)) {
        break;
      }
    }
    result_.verdict = !result_.void_reasons.empty()     ? Verdict::kVoid
                      : !result_.broken_reasons.empty() ? Verdict::kBroken
                                                        : Verdict::kHeld;
    return std::move(result_);
  }

 private:
  static std::vector<double> Ascending(std::vector<double> rates) {
    std::ranges::sort(rates);
    return rates;
  }
  [[nodiscard]] bool NothingBroken() const { return result_.broken_reasons.empty(); }

  // ---- Time -------------------------------------------------------------------------------------
  // Runs the loop until the condition holds, the timeout passes or the measurement is broken, which
  // includes an unexpected exit of the gateway. Returns false after a timeout or when broken.
  // Throws Interrupted after an interrupt signal.
  bool WaitUntil(const std::function<bool()>& condition, Duration timeout) {
    const Time deadline = loop_.Now() + timeout;
    while (NothingBroken() && !condition()) {
      if (loop_.Now() >= deadline) {
        return false;
      }
      loop_.RunOnce(Duration(2'000));
      if (interrupted_) {
        throw Interrupted("interrupted; nothing is left running");
      }
      if (!process_) {
        continue;
      }
      if (const auto exit_code = process_->ExitCode(); exit_code && !stopping_ && !may_exit_) {
        ReportBroken(fmt::format("the gateway exited with status {}", *exit_code));
      }
    }
    return NothingBroken();
  }
  void RunFor(Duration time) {
    WaitUntil([] { return false; }, time);
  }
  void ReportBroken(const std::string& reason) {
    constexpr size_t kTailLines = 3;
    result_.broken_reasons.push_back(reason);
    if (!log_path_.empty()) {
      report_(reason + "; last lines of its log:\n" + TailOf(log_path_, kTailLines));
    }
  }

  // Breaks the measurement off when the gateway and the lab hold over half of the machine's memory.
  void CheckMemory() {
    uint64_t own_kb = 0;
    std::ifstream statm("/proc/self/statm");
    uint64_t virtual_pages = 0, resident_pages = 0;
    const auto page_kb = static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
    if (statm >> virtual_pages >> resident_pages) {
      own_kb = resident_pages * page_kb;
    }
    const bool running = process_ && !process_->ExitCode();
    const double used_mb = Megabytes(own_kb + (running ? process_->Measure().rss_kb : 0));
    result_.max_rss_mb = std::max(result_.max_rss_mb, used_mb);
    result_.max_processes = std::max<size_t>(result_.max_processes, running ? 2 : 1);
    const double total_mb = Megabytes(static_cast<uint64_t>(sysconf(_SC_PHYS_PAGES)) * page_kb);
    if (used_mb > total_mb / 2 && NothingBroken()) {
      ReportBroken(fmt::format("{:.0f} MB resident, over half of the machine's memory", used_mb));
      if (process_) {
        process_->Signal(SIGKILL);
      }
    }
    memory_check_timer_ = loop_.RunAfter(kMemoryCheckInterval, [this] { CheckMemory(); });
  }

  // ---- The gateway ------------------------------------------------------------------------------
  void WriteConfig(const json& settings, std::string_view known_list) {
    const json config = {{"name", "g0"},
                         {"listen", ToText(address_)},
                         {"discovery", ToText(discovery_address_)},
                         {"seed", fmt::format("{:x}", options_.seed)},
                         {"limits", {{"cores", 1.0}, {"sockets", 4096}}},
                         {"settings", settings}};
    std::string text = config.dump();
    text.back() = ',';
    const std::string temporary_path = config_path_ + ".part";
    {
      std::ofstream file(temporary_path, std::ios::binary);
      file << text << "\"known\":" << known_list << '}';
    }
    config_bytes_ = std::filesystem::file_size(temporary_path);
    std::filesystem::rename(temporary_path, config_path_);
  }

  // Starts a gateway and waits for its first 200 from /_health. Returns the time in milliseconds,
  // or nothing if the gateway did not become ready.
  std::optional<double> StartGateway(const json& settings, std::string_view known_list) {
    StopGateway();
    ++start_count_;
    address_ = LoopbackAddress(kFirstOwnAddress + 2 * start_count_);
    discovery_address_ = LoopbackAddress(kFirstOwnAddress + 2 * start_count_ + 1);
    config_path_ = fmt::format("{}/config-{}.json", directory_.path(), start_count_);
    log_path_ = fmt::format("{}/gateway-{}.log", directory_.path(), start_count_);
    WriteConfig(settings, known_list);
    discovery_ = std::make_unique<DiscoveryServer>(loop_, discovery_address_);
    log_ = std::make_unique<LogReader>(log_path_);
    const Time started_at = loop_.Now();
    process_ = std::make_unique<Process>(
        std::vector<std::string>{std::filesystem::read_symlink("/proc/self/exe").string(), "serve"},
        std::vector<std::pair<std::string, std::string>>{
            {"LB_NAME", "g0"},
            {"LB_LISTEN", ToText(address_)},
            {"LB_DISCOVERY", ToText(discovery_address_)},
            {"LB_CONFIG", config_path_}},
        log_path_);
    prober_ = std::make_unique<Prober>(loop_, address_, kStartupProbeInterval);
    const bool ready =
        WaitUntil([&] { return prober_->ever_healthy() || process_->ExitCode(); }, kReadyTimeout);
    prober_->set_interval(kProbeInterval);
    if (ready && prober_->ever_healthy()) {
      return Milliseconds(loop_.Now() - started_at);
    }
    return std::nullopt;
  }

  void StopGateway() {
    prober_.reset();
    if (process_ && !process_->ExitCode()) {
      stopping_ = true;
      process_->Signal(SIGTERM);
      const bool exited = WaitUntil([&] { return process_->ExitCode().has_value(); }, kExitTimeout);
      if (NothingBroken() && !exited) {
        ReportBroken("the gateway did not exit after SIGTERM");
      }
      if (exited && *process_->ExitCode() != 0) {
        ReportBroken(fmt::format("the gateway exited with status {}", *process_->ExitCode()));
      }
      stopping_ = false;
    }
    process_.reset();
    discovery_.reset();
  }

  // Reads new log lines. Stores the latest line of counters; keeps the others, in which FindLogLine
  // looks for reasons.
  void ReadLog(std::string& counters) {
    for (std::string& line : log_->ReadNewLines()) {
      if (line.find("counters: ") != std::string::npos) {
        counters = std::move(line);
      } else {
        log_lines_.push_back(std::move(line));
      }
    }
  }
  // Returns the first kept log line that contains the text, or an empty string.
  [[nodiscard]] std::string FindLogLine(std::string_view text) const {
    for (const std::string& line : log_lines_) {
      if (line.find(text) != std::string::npos) {
        return Truncated(line);
      }
    }
    return {};
  }
  // Requests counters with SIGUSR1 at a fixed interval until they meet the condition.
  bool WaitForCounters(const std::function<bool(const std::string&)>& condition, Duration timeout) {
    Time next_request = loop_.Now();
    std::string counters;
    return WaitUntil(
        [&] {
          if (loop_.Now() >= next_request) {
            process_->Signal(SIGUSR1);
            next_request = loop_.Now() + kCountersInterval;
          }
          ReadLog(counters);
          return !counters.empty() && condition(counters);
        },
        timeout);
  }

  double EndWindow(std::string_view phase) {
    const double stall_ms = prober_->LongestResponseMs(), delay_ms = prober_->MaxDelayMs();
    if (delay_ms > std::max(kMaxLabDelayMs, stall_ms / 2)) {
      result_.void_reasons.push_back(
          fmt::format("{}: the lab was {:.0f} ms late, more than the {:.0f} ms allowed", phase,
                      delay_ms, kMaxLabDelayMs));
    }
    return stall_ms;
  }

  // ---- Phases -----------------------------------------------------------------------------------
  void MeasureList() {
    ListCost& list = result_.list;
    const auto full_list =
        std::make_shared<const std::string>(FullListJson(options_.hosts, kFullListRevision));
    list.bytes = full_list->size();
    const auto ready_with_known_list = StartGateway(settings_, *full_list);
    if (!ready_with_known_list) {
      return ReportNotReady("the known list");
    }
    list.ready_with_known_list_ms = *ready_with_known_list;
    RunFor(kSettleTime);
    list.rss_mb_with_known_list = Megabytes(process_->Measure().rss_kb);
    report_(fmt::format(
        "started with a known list of {} hosts, {} bytes: ready after {:.0f} ms, {:.0f} MB",
        options_.hosts, list.bytes, list.ready_with_known_list_ms, list.rss_mb_with_known_list));

    if (!StartGateway(settings_, FullListJson(0, 0))) {
      return ReportNotReady("no known list");
    }
    RunFor(kSettleTime);
    if (!NothingBroken()) {
      return;
    }
    const Process::Usage usage_before = process_->Measure();
    list.rss_mb_before = Megabytes(usage_before.rss_kb);
    prober_->StartWindow();
    const Time published_at = loop_.Now();
    discovery_->PublishList(full_list);
    Time rejected_at = Time::max();
    WaitForCounters(
        [&](const std::string& counters) {
          list.applied =
              CounterValue(counters, "discovery_updates") > 0 &&
              CounterValue(counters, "revision") >= static_cast<double>(kFullListRevision);
          if (rejected_at == Time::max() && CounterValue(counters, "discovery_failures") > 0) {
            rejected_at = loop_.Now();
          }
          return list.applied ||
                 (rejected_at < Time::max() && loop_.Now() - rejected_at > kRejectionWatchTime);
        },
        kListTimeout);
    if (list.applied) {
      list.applied_ms = Milliseconds(loop_.Now() - published_at);
    }
    RunFor(kSettleTime);
    if (!NothingBroken()) {
      return;
    }
    const Process::Usage usage_after = process_->Measure();
    list.cpu_s = (usage_after.cpu_us - usage_before.cpu_us) / 1e6;
    const Duration list_duration = loop_.Now() - published_at;
    list.rss_mb = Megabytes(usage_after.rss_kb);
    list.max_loop_stall_ms = EndWindow("list");
    list.full_list_requests = discovery_->full_list_requests();
    if (!list.applied) {
      list.reason = FindLogLine("too long");
      if (list.reason.empty()) {
        list.reason = FindLogLine("discovery");
      }
      report_(fmt::format("published list: not applied, requested {} times: {}",
                          list.full_list_requests, list.reason));
      return;
    }
    report_(fmt::format(
        "published list: applied after {:.0f} ms, longest loop stall {:.0f} ms, {:.2f} s of CPU, "
        "{:.0f} to {:.0f} MB",
        list.applied_ms, list.max_loop_stall_ms, list.cpu_s, list.rss_mb_before, list.rss_mb));
    MeasureChanges(list_duration);
  }

  void MeasureChanges(Duration list_duration) {
    const Duration duration = FromSeconds(options_.seconds);
    const double idle_before = process_->Measure().cpu_us;
    const Time idle_from = loop_.Now();
    RunFor(duration);
    if (!NothingBroken()) {
      return;
    }
    const double idle_core = (process_->Measure().cpu_us - idle_before) /
                             static_cast<double>((loop_.Now() - idle_from).count());
    // Health checks and counter requests also cost CPU time, which is not the list's.
    result_.list.cpu_s = std::max(0.0, result_.list.cpu_s - idle_core * Seconds(list_duration));

    std::mt19937_64 generator(options_.seed);
    std::uniform_int_distribution<size_t> random_host(0, options_.hosts - 1);
    ChangesCost cost;
    prober_->StartWindow();
    const double cpu_before = process_->Measure().cpu_us;
    const Time started_at = loop_.Now();
    size_t published_changes = 0, index = 0;
    for (; options_.changes > 0; ++published_changes) {
      // At even intervals, so that two runs have the same number of changes.
      const Time due = started_at + FromSeconds((static_cast<double>(published_changes) + 0.5) /
                                                options_.changes);
      if (due >= started_at + duration) {
        break;
      }
      if (!RunUntil(due)) {
        return;
      }
      // A host restart is three changes: leaving, left and active again.
      constexpr std::string_view kPhases[] = {"leaving", "left", "active"};
      if (published_changes % std::size(kPhases) == 0) {
        index = random_host(generator);
      }
      discovery_->PublishChange(
          MemberJson(index, kPhases[published_changes % std::size(kPhases)], WallClockMs()));
    }
    if (!RunUntil(started_at + duration)) {
      return;
    }
    const double elapsed_s = Seconds(loop_.Now() - started_at);
    cost.changes_per_s = static_cast<double>(published_changes) / elapsed_s;
    cost.cpu_cores = (process_->Measure().cpu_us - cpu_before) / 1e6 / elapsed_s - idle_core;
    cost.max_loop_stall_ms = EndWindow("list_changes");
    cost.bytes_per_s = static_cast<double>(discovery_->change_bytes()) / elapsed_s;
    result_.changes = cost;
    const auto last_revision = static_cast<double>(kFullListRevision + discovery_->changes());
    if (!WaitForCounters(
            [&](const auto& counters) {
              return CounterValue(counters, "revision") >= last_revision;
            },
            kListTimeout) &&
        NothingBroken()) {
      ReportBroken(fmt::format("not all of {} changes were applied", published_changes));
    }
    result_.list.full_list_requests = discovery_->full_list_requests();
    report_(fmt::format(
        "{:.2f} changes per second: {:.4f} cores above the idle {:.4f}, longest loop stall {:.0f} "
        "ms, {:.0f} bytes per second",
        cost.changes_per_s, cost.cpu_cores, idle_core, cost.max_loop_stall_ms, cost.bytes_per_s));
  }
  bool RunUntil(Time deadline) {
    if (deadline > loop_.Now()) {
      RunFor(deadline - loop_.Now());
    }
    return NothingBroken();
  }

  json SettingsWithTenants(double first_quota) const {
    json settings = settings_;
    json tenants = json::array();
    for (size_t i = 0; i < options_.tenants; ++i) {
      tenants.push_back({{"Name", fmt::format("tenant-{:06}", i)},
                         {"QuotaPerS", i == 0 ? first_quota : 100.0},
                         {"Share", 1.0 / static_cast<double>(options_.tenants)}});
    }
    settings["Tenants"] = std::move(tenants);
    return settings;
  }

  void MeasureSettings() {
    SettingsCost cost;
    const std::string empty_list = FullListJson(0, 0);
    const json settings = SettingsWithTenants(100);
    // A gateway that rejects its settings exits at startup; that is a result, not a failure.
    may_exit_ = true;
    log_lines_.clear();
    const auto ready_ms = StartGateway(settings, empty_list);
    may_exit_ = false;
    cost.bytes = config_bytes_;
    std::string counters;
    if (!ready_ms) {
      if (!NothingBroken() || !process_->ExitCode()) {
        return ReportNotReady("settings");
      }
      ReadLog(counters);
      cost.rejected = true;
      cost.reason = log_lines_.empty() ? "no log line" : Truncated(log_lines_.back());
      report_(fmt::format("settings with {} tenants: rejected at startup: {}", options_.tenants,
                          cost.reason));
      result_.settings = cost;
      return;
    }
    cost.ready_ms = *ready_ms;
    RunFor(kSettleTime);
    if (!NothingBroken()) {
      return;
    }
    const Process::Usage usage_before = process_->Measure();
    cost.rss_mb = Megabytes(usage_before.rss_kb);
    WriteConfig(SettingsWithTenants(50), empty_list);
    ReadLog(counters);
    log_lines_.clear();
    prober_->StartWindow();
    const Time signalled_at = loop_.Now();
    process_->Signal(SIGHUP);
    const bool logged = WaitUntil(
        [&] {
          ReadLog(counters);
          cost.rejected = !FindLogLine("configuration kept as it was").empty();
          return cost.rejected || !FindLogLine("configuration read again").empty();
        },
        kReloadTimeout);
    if (!NothingBroken()) {
      return;
    }
    if (!logged) {
      return ReportBroken("no log line about the configuration reload");
    }
    if (cost.rejected) {
      cost.reason = FindLogLine("configuration kept as it was");
      report_(fmt::format("settings with {} tenants: reload rejected: {}", options_.tenants,
                          cost.reason));
    } else {
      cost.reload_ms = Milliseconds(loop_.Now() - signalled_at);
      RunFor(kSettleTime);  // until the work that follows a reload is done
      if (!NothingBroken()) {
        return;
      }
      cost.reload_cpu_s = (process_->Measure().cpu_us - usage_before.cpu_us) / 1e6;
      cost.max_loop_stall_ms = EndWindow("settings");
      report_(fmt::format(
          "settings with {} tenants, {} bytes: ready after {:.0f} ms, {:.0f} MB; reloaded after "
          "{:.0f} ms, {:.2f} s of CPU, longest loop stall {:.0f} ms",
          options_.tenants, cost.bytes, cost.ready_ms, cost.rss_mb, cost.reload_ms,
          cost.reload_cpu_s, cost.max_loop_stall_ms));
    }
    result_.settings = cost;
  }

  void ReportNotReady(std::string_view phase) {
    if (!NothingBroken()) {
      return;
    }
    const auto exit_code = process_->ExitCode();
    ReportBroken(fmt::format(
        "{}: {}", phase,
        exit_code ? fmt::format("the gateway exited with status {}", *exit_code)
                  : fmt::format("no 200 from /_health within {:.0f} s", Seconds(kReadyTimeout))));
  }

  // Returns false if higher rates need not be measured: the lab was late, or the added p99 latency
  // is over kSaturationFactor times that of the lowest rate, taken as at least kMinAddedLatencyMs.
  bool MeasureAddedLatency(double rate) {
    BenchOptions bench;
    bench.seconds = options_.seconds;
    bench.seed = options_.seed;
    bench.hosts = std::min(options_.hosts, kMaxAnsweringHosts);
    const Result direct = PlayPart(bench, rate, 0, true),
                 via_gateway = PlayPart(bench, rate, 0, false);
    AddedLatency latency;
    latency.rate = rate;
    latency.hosts = bench.hosts;
    const auto milliseconds = [](uint32_t microseconds) {
      return microseconds / 1000.0;
    };
    latency.direct_p50_ms = milliseconds(direct.p50_us);
    latency.direct_p99_ms = milliseconds(direct.p99_us);
    latency.via_gateway_p50_ms = milliseconds(via_gateway.p50_us);
    latency.via_gateway_p99_ms = milliseconds(via_gateway.p99_us);
    for (const Result* const part : {&direct, &via_gateway}) {
      if (latency.void_reason.empty() && !part->late.empty()) {
        latency.void_reason = part->late.front();
      }
    }
    result_.max_rss_mb = std::max(result_.max_rss_mb, Megabytes(via_gateway.rss_kb_max));
    result_.max_processes = std::max<size_t>(result_.max_processes, 2);
    result_.added.push_back(latency);
    for (const std::string& reason : via_gateway.broken) {
      result_.broken_reasons.push_back(fmt::format("rate {}: {}", rate, reason));
    }
    const double added_p99_ms = latency.via_gateway_p99_ms - latency.direct_p99_ms;
    report_(fmt::format("{:.0f} requests per second: added p50 {:.2f} ms, p99 {:.2f} ms{}", rate,
                        latency.via_gateway_p50_ms - latency.direct_p50_ms, added_p99_ms,
                        latency.void_reason.empty() ? "" : "; void: " + latency.void_reason));
    const AddedLatency& lowest = result_.added.front();
    const double baseline_ms =
        std::max(kMinAddedLatencyMs, lowest.via_gateway_p99_ms - lowest.direct_p99_ms);
    // At a higher rate, a late lab marks the saturation point. At the first rate, it leaves no
    // baseline to compare with.
    if (!latency.void_reason.empty() && result_.added.size() == 1) {
      result_.void_reasons.push_back("added: " + latency.void_reason);
    }
    return latency.void_reason.empty() &&
           (result_.added.size() == 1 || added_p99_ms <= kSaturationFactor * baseline_ms);
  }

  OneGatewayOptions options_;
  std::function<void(const std::string&)> report_;
  OneGatewayResult result_;
  EventLoop loop_;
  bool interrupted_ = false, stopping_ = false;
  bool may_exit_ = false;  // an exit of the gateway is a result
  SignalWatch signals_;
  TemporaryDirectory directory_;
  json settings_;
  Address address_, discovery_address_;
  std::string config_path_, log_path_;
  size_t start_count_ = 0, config_bytes_ = 0;
  std::unique_ptr<DiscoveryServer> discovery_;
  std::unique_ptr<LogReader> log_;
  std::vector<std::string> log_lines_;  // lines without counters
  std::unique_ptr<Process> process_;
  std::unique_ptr<Prober> prober_;
  EventLoop::TimerId memory_check_timer_;
};

}  // namespace

OneGatewayResult MeasureOneGateway(const OneGatewayOptions& options,
                                   const std::function<void(const std::string&)>& report) {
  Measurement measurement(options, report);
  return measurement.Run();
}

std::string ToText(const OneGatewayResult& result) {
  std::string text = fmt::format("{} (load {:.2f} before, {:.0f} MB at most)\n",
                                 NameOf(result.verdict), result.load_average, result.max_rss_mb);
  for (const std::string& reason : result.broken_reasons) {
    text += fmt::format("  broken: {}\n", reason);
  }
  for (const std::string& reason : result.void_reasons) {
    text += fmt::format("  void: {}\n", reason);
  }
  return text;
}

std::string ToJson(const OneGatewayResult& result) {
  const auto number = [](bool available, double value) {
    return available ? json(value) : json();
  };
  const ListCost& list = result.list;
  json added = json::array();
  for (const AddedLatency& latency : result.added) {
    added.push_back({{"rate", latency.rate},
                     {"hosts", latency.hosts},
                     {"straight_p50_ms", latency.direct_p50_ms},
                     {"straight_p99_ms", latency.direct_p99_ms},
                     {"through_p50_ms", latency.via_gateway_p50_ms},
                     {"through_p99_ms", latency.via_gateway_p99_ms},
                     {"p50_ms", latency.via_gateway_p50_ms - latency.direct_p50_ms},
                     {"p99_ms", latency.via_gateway_p99_ms - latency.direct_p99_ms},
                     {"void", latency.void_reason}});
  }
  json changes, settings;
  if (result.changes) {
    changes = {{"per_s", result.changes->changes_per_s},
               {"cpu_core", result.changes->cpu_cores},
               {"loop_stand_ms_most", result.changes->max_loop_stall_ms},
               {"bytes_s", result.changes->bytes_per_s}};
  }
  if (result.settings) {
    const SettingsCost& settings_cost = *result.settings;
    const bool ready = settings_cost.ready_ms > 0, reloaded = ready && !settings_cost.rejected;
    settings = {{"bytes", settings_cost.bytes},
                {"ready_ms", number(ready, settings_cost.ready_ms)},
                {"refused", settings_cost.rejected},
                {"reason", settings_cost.reason},
                {"rss_mb", number(ready, settings_cost.rss_mb)},
                {"reread_ms", number(reloaded, settings_cost.reload_ms)},
                {"reread_cpu_s", number(reloaded, settings_cost.reload_cpu_s)},
                {"loop_stand_ms_most", number(reloaded, settings_cost.max_loop_stall_ms)}};
  }
  const json output = {
      {"command", result.options.command},
      {"commit", result.options.commit},
      {"seed", result.options.seed},
      {"load", result.load_average},
      {"hosts", result.options.hosts},
      {"tenants", result.options.tenants},
      {"list",
       {{"bytes", list.bytes},
        {"taken", list.applied},
        {"reason", list.reason},
        {"asked_whole", list.full_list_requests},
        {"ready_known_ms", list.ready_with_known_list_ms},
        {"rss_mb_known", list.rss_mb_with_known_list},
        {"taken_ms", number(list.applied, list.applied_ms)},
        {"loop_stand_ms_most", list.max_loop_stall_ms},
        {"cpu_s", list.cpu_s},
        {"rss_mb_before", list.rss_mb_before},
        {"rss_mb", list.rss_mb}}},
      {"list_changes", changes},
      {"settings", settings},
      {"added", added},
      {"machine", {{"rss_mb_most", result.max_rss_mb}, {"processes_most", result.max_processes}}},
      {"verdict", NameOf(result.verdict)},
      {"broken", result.broken_reasons},
      {"void", result.void_reasons}};
  return output.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace paddlestile::lab
