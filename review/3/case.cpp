// A host drains and the gateway is told. Then discovery is down for 8 s, and a new version takes
// over from the gateway meanwhile. The draining host must get nothing new.
#include "../stand_ins/stand_ins.h"

using namespace review;

namespace {

constexpr double kGraceMs = 1000;         // Obligations.DrainGrace in the settings below
constexpr double kSocketSlackMs = 50;     // "each time limit is 50 ms longer"
constexpr double kToldAfterYesMs = 2000;  // discovery's news after the yes of a new version
constexpr double kDownMs = 7900;          // "discovery is down for 8 s"
constexpr double kDrainsAtMs = 3000;      // of the run, which begins when the gateway is ready
constexpr double kDownAtMs = 6000;
constexpr double kUpgradeAtMs = 7000;
constexpr double kRunMs = 17'000;
constexpr int kClients = 8;
constexpr double kClientPauseMs = 60;
constexpr const char* kGateway = "127.0.0.4";

std::string ConfigText(const std::string& listen, const std::string& discovery,
                       const std::string& known) {
  return R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":)" +
         known + R"(,
 "settings":{"Me":0,"NInstances":1,"Zone":0,"FailureDomains":["a"],"Kinds":["std"],
  "RegistryMode":"automatic",
  "Classes":[{"Name":"status","Effect":"safe","Slo":1200,"Deadline":3000,"Worth":1}],
  "Allowed":{"SendCap":5,"ParallelTries":false,"Probes":true,"ConnectTimeout":250,"IdleClose":60000,
             "RetryAfter":true,"MaxRetryAfter":1500,"MostHeld":20000,"MaxStreams":1,"Cancel":true},
  "Obligations":{"AnswerSlack":20,"DrainGrace":1000,"MustAskIn":10000,"ColdFrom":0.31,
                 "WarmWithin":9000,"FallMultiple":3,"Fall":1500},
  "Stats":{"Source":"probe","Fields":["inflight","latency_ms"]}}})";
}

int Play(const CaseOptions& options, Record& record, Processes& processes) {
  std::vector<Host*> hosts;
  Discovery& discovery = *new Discovery(record, "127.0.0.9");
  for (int i = 1; i <= 6; ++i) {
    const std::string id = "h-" + std::to_string(i);
    hosts.push_back(new Host(record, id, "127.0.0.2" + std::to_string(i), 20));
    discovery.Set(id, hosts.back()->address(), "active");
  }
  Host& draining = *hosts.back();
  const int port = FreePort(kGateway);
  const std::string listen = std::string(kGateway) + ":" + std::to_string(port);
  int revision = 0;
  WriteFile(options.folder + "/config.json",
            ConfigText(listen, discovery.address(), discovery.List(0, revision)));
  mkdir((options.folder + "/shared").c_str(), 0755);

  const auto start = [&](int admin_port) {
    return processes.Start(options.run,
                           {{"LB_NAME", "n1"},
                            {"LB_LISTEN", listen},
                            {"LB_ADMIN", std::string(kGateway) + ":" + std::to_string(admin_port)},
                            {"LB_DISCOVERY", discovery.address()},
                            {"LB_CONFIG", options.folder + "/config.json"},
                            {"TMPDIR", options.folder + "/shared"}},
                           options.folder + "/gateway.log");
  };
  const auto says_yes = [&](int admin_port) {
    return CallAlone(kGateway, admin_port, "GET", "/admin/health") == 200;
  };
  const int old_admin = FreePort(kGateway);
  const pid_t old_process = start(old_admin);
  if (!WaitFor([&] { return CallAlone(kGateway, port, "GET", "/_health") == 200; }, 10'000)) {
    throw std::runtime_error("the gateway is not ready");
  }
  const double begin_ms = NowMs();

  // Clients ask throughout.
  std::atomic<int> asked{0}, served{0};
  Workers clients;
  for (int i = 0; i < kClients; ++i) {
    clients.Add([&, i] {
      Client client(kGateway, port);
      for (int n = 0; !clients.stopped(); ++n) {
        const std::string id = "c" + std::to_string(i) + "-" + std::to_string(n);
        ++asked;
        const Answer answer = client.Call("GET", "/status/pallet",
                                          "X-Call-Id: " + id + "\r\nX-Budget-Ms: 2500\r\n", 3000);
        served += answer.status == 200;
        record.Line("client: %s answered %d", id.c_str(), answer.status);
        SleepMs(kClientPauseMs);
      }
    });
  }

  // The host drains; it stays up and answers.
  SleepUntilMs(begin_ms + kDrainsAtMs);
  discovery.Set(draining.id(), draining.address(), "leaving");
  if (!WaitFor([&] { return discovery.last_told_ms() >= begin_ms + kDrainsAtMs; }, 5000)) {
    throw std::runtime_error("the gateway has no watch open");
  }
  const double told_ms = discovery.last_told_ms();
  record.Line("the gateway has been told that %s drains", draining.id().c_str());

  SleepUntilMs(begin_ms + kDownAtMs);
  if (options.trouble) {
    discovery.SetDown(true);
  }
  Workers discovery_returns;
  discovery_returns.Add([&] {
    SleepUntilMs(begin_ms + kDownAtMs + kDownMs);
    if (options.trouble) {
      discovery.SetDown(false);
    }
  });

  // A new version, as the page on operation has it.
  SleepUntilMs(begin_ms + kUpgradeAtMs);
  const int new_admin = FreePort(kGateway);
  const pid_t new_process = start(new_admin);
  const bool yes = WaitFor([&] { return says_yes(new_admin); }, 6000);
  const double yes_ms = NowMs();
  record.Line("the new process says %s", yes ? "yes" : "no");
  processes.Signal(old_process, SIGTERM);
  const int old_exit = processes.Wait(old_process, 3700);
  if (old_exit == -2) {
    processes.Signal(old_process, SIGKILL);
  }
  SleepUntilMs(begin_ms + kRunMs);
  clients.Stop();
  discovery_returns.Stop();
  int status = 0;
  const bool new_ended = processes.HasEnded(new_process, status);

  // The rule, with its grace and slack. What the new process does in the 2 s after its yes is not
  // judged, though nothing was news here.
  const double after_told_ms = told_ms + kGraceMs + kSocketSlackMs;
  const double after_yes_ms = yes_ms + kToldAfterYesMs + kGraceMs + kSocketSlackMs;
  int before = 0, late_old = 0, excused = 0, broken = 0;
  for (const Run& run : draining.runs()) {
    if (run.at_ms <= after_told_ms) {
      ++before;
    } else if (run.at_ms <= yes_ms - 1000) {
      ++late_old;
    } else if (run.at_ms <= after_yes_ms) {
      ++excused;
    } else {
      ++broken;
    }
  }
  const bool is_broken = broken + late_old > 0;
  {
    std::printf(
        "asked %d, served %d; %s got %d until its grace was over, %d by the old process "
        "later, %d around the take-over (not judged), %d more than 3.05 s after the yes\n",
        asked.load(), served.load(), draining.id().c_str(), before, late_old, excused, broken);
  }
  record.Line(
      "%s: %d until the grace was over, %d by the old process later, %d around the "
      "take-over (not judged), %d more than 3.05 s after the yes",
      draining.id().c_str(), before, late_old, excused, broken);
  if (!yes || new_ended || served < asked / 2 || before == 0) {
    throw std::runtime_error("the gateways did not serve as they should before the judgement");
  }
  return is_broken ? kBroken : kHeld;
}

}  // namespace

int main() {
  return RunCase(Play);
}
