// One gateway with the memory limit of a small deployment. Clients send keyed requests with bodies
// of just under 1 MiB, at an ordinary rate, to hosts that are all well. The platform kills a
// gateway that passes its limit.
#include "../stand_ins/stand_ins.h"

using namespace review;

namespace {

constexpr long kLimitKb = 64 * 1024;  // limits.memory_mb below
constexpr size_t kLargeBodyBytes = 1'000'000;
constexpr size_t kSmallBodyBytes = 2'000;  // before the disruption, and without it
constexpr double kUsualMs = 4000;          // of small bodies at first
constexpr int kClients = 100;              // some 240 requests a second
constexpr double kClientPauseMs = 60;
constexpr double kHostWorkMs = 350;  // a handover's work and what it waits for
constexpr double kRunMs = 15'000;
constexpr double kLateMs = 550;  // half a second after its time, and the sockets' 50 ms
constexpr const char* kGateway = "127.0.0.4";

std::string ConfigText(const std::string& listen, const std::string& discovery,
                       const std::string& known) {
  return R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":1024},
 "known":)" +
         known + R"(,
 "settings":{"Me":0,"NInstances":1,"Zone":0,"FailureDomains":["a"],"Kinds":["std"],
  "RegistryMode":"automatic",
  "Classes":[{"Name":"handover","Effect":"keyed","Group":"all","Window":3000,"Slo":1000,
              "Deadline":3000,"Worth":5}],
  "Allowed":{"SendCap":5,"ParallelTries":false,"Probes":true,"ConnectTimeout":250,"IdleClose":60000,
             "RetryAfter":true,"MaxRetryAfter":1500,"MostHeld":20000,"MaxStreams":1,"Cancel":true},
  "Obligations":{"AnswerSlack":20,"DrainGrace":1000,"MustAskIn":10000,"ColdFrom":0.31,
                 "WarmWithin":9000,"FallMultiple":3,"Fall":1500},
  "Stats":{"Source":"probe","Fields":["inflight","latency_ms"]}}})";
}

// The memory that a process has for itself: without the pages of its program and libraries, so that
// the figure is under what the platform counts. 0 if it has ended.
long OwnMemoryKb(pid_t pid) {
  const std::string status = ReadFile("/proc/" + std::to_string(pid) + "/status");
  long sum = 0;
  for (const char* const key : {"RssAnon:", "RssShmem:"}) {
    const size_t at = status.find(key);
    sum += at == std::string::npos ? 0 : std::atol(status.c_str() + at + strlen(key));
  }
  return sum;
}

int Play(const CaseOptions& options, Record& record, Processes& processes) {
  std::vector<Host*> hosts;
  Discovery& discovery = *new Discovery(record, "127.0.0.9");
  for (int i = 1; i <= 12; ++i) {
    const std::string id = "h-" + std::to_string(i);
    hosts.push_back(new Host(record, id, "127.0.0." + std::to_string(20 + i), kHostWorkMs));
    discovery.Set(id, hosts.back()->address(), "active");
  }
  const int port = FreePort(kGateway);
  const std::string listen = std::string(kGateway) + ":" + std::to_string(port);
  int revision = 0;
  WriteFile(options.folder + "/config.json",
            ConfigText(listen, discovery.address(), discovery.List(0, revision)));
  mkdir((options.folder + "/own").c_str(), 0755);
  const pid_t gateway = processes.Start(options.run,
                                        {{"LB_NAME", "n1"},
                                         {"LB_LISTEN", listen},
                                         {"LB_DISCOVERY", discovery.address()},
                                         {"LB_CONFIG", options.folder + "/config.json"},
                                         {"TMPDIR", options.folder + "/own"}},
                                        options.folder + "/gateway.log");
  if (!WaitFor([&] { return CallAlone(kGateway, port, "GET", "/_health") == 200; }, 10'000)) {
    throw std::runtime_error("the gateway is not ready");
  }

  const std::string small_body(kSmallBodyBytes, 'x');
  const std::string large_body(kLargeBodyBytes, 'x');
  const double large_from_ms = NowMs() + kUsualMs;
  std::atomic<bool> down{false};
  std::atomic<int> asked{0}, served{0}, refused{0}, lost{0};
  Workers clients;
  for (int i = 0; i < kClients; ++i) {
    clients.Add([&, i] {
      Client client(kGateway, port);
      SleepMs(i * (kHostWorkMs + kClientPauseMs) / kClients);
      for (int n = 0; !clients.stopped(); ++n) {
        const bool is_large = options.trouble && NowMs() >= large_from_ms;
        const std::string id = "c" + std::to_string(i) + "-" + std::to_string(n);
        ++asked;
        const Answer answer = client.Call(
            "POST", "/handover/pallet",
            "X-Call-Id: " + id + "\r\nIdempotency-Key: key-" + id + "\r\nX-Budget-Ms: 3000\r\n",
            3000 + kLateMs, is_large ? large_body : small_body);
        served += answer.status == 200;
        refused += answer.status == 503;
        record.Line("client: %s answered %d%s", id.c_str(), answer.status,
                    answer.refused ? ", no connection" : "");
        if (answer.status == 0 && !answer.refused) {
          ++lost;
        }
        SleepMs(down ? 500 : kClientPauseMs);
      }
    });
  }

  // The platform: it looks at the memory and kills a gateway that is over its limit.
  const double until_ms = NowMs() + kRunMs;
  long most_kb = 0;
  bool is_over = false;
  int status = 0;
  while (NowMs() < until_ms && !is_over) {
    if (processes.HasEnded(gateway, status)) {
      throw std::runtime_error("the gateway has ended by itself");
    }
    const long own_kb = OwnMemoryKb(gateway);
    most_kb = std::max(most_kb, own_kb);
    is_over = own_kb > kLimitKb;
    SleepMs(20);
  }
  if (is_over) {
    record.Line("platform: the gateway has %ld kB, over its limit of %ld kB, and is killed",
                most_kb, kLimitKb);
    processes.Signal(gateway, SIGKILL);
    processes.Wait(gateway, 2000);
    down = true;
    SleepMs(1000);
  }
  clients.Stop();
  std::printf(
      "asked %d, served %d, refused %d; the gateway had at most %ld kB of %ld kB%s, %d taken "
      "and not answered\n",
      asked.load(), served.load(), refused.load(), most_kb, kLimitKb,
      is_over ? " and was killed" : "", lost.load());
  record.Line("at most %ld kB of %ld kB; %d taken and not answered", most_kb, kLimitKb,
              lost.load());
  if (!is_over && (served < asked / 2 || lost > 0)) {
    throw std::runtime_error("the gateway did not serve as it should");
  }
  return is_over ? kBroken : kHeld;
}

}  // namespace

int main() {
  return RunCase(Play);
}
