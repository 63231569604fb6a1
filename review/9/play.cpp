// Discovery that is slow to answer: does a gateway still learn that a host drains?
#include "rig.h"

namespace {

using namespace rig;

constexpr double kSlowMs = 2500;     // from a call to the first byte of discovery's answer
constexpr double kDrainAtMs = 4000;  // after the gateway serves
constexpr double kToldMs = 6000;     // counts as told by then at the latest
// The grace of the drain, the slack on sockets, and what a gateway may be held up.
constexpr double kGraceMs = 1000 + 50 + 150;
constexpr double kPlayMs = 25'000;

std::mutex mutex;
double draining_at = 0;  // since when discovery tells it; 0: not yet
std::string active, draining;  // the members before and then
std::atomic<int> calls = 0, lists = 0, in_time = 0, too_late = 0, answered = 0;
std::atomic<double> last_begun_ms = 0;

std::string List() {
  const std::lock_guard lock(mutex);
  const bool drains = draining_at > 0;
  return "{\"revision\":" + std::to_string(drains ? 2 : 1) + ",\"complete\":true,\"members\":[" +
         (drains ? draining : active) + "]}\n";
}

std::string Chunk(const std::string& text) {
  char size[32];
  snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// A watch: the whole list, changes as they come, and an empty line each second.
void Watch(int fd) {
  Message call;
  if (!Reader(fd).Read(call)) return;
  ++calls;
  const double called_at = Now();
  if (Trouble()) SleepMs(kSlowMs);
  char byte = 0;
  if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
    return Record("discovery: the gateway has given up a call after less than %.0f ms",
                  Now() - called_at);
  }
  std::string list = List();
  bool open = SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(list));
  ++lists;
  Record("discovery: gave the list, %.0f ms after the call", Now() - called_at);
  for (int i = 1; open; ++i) {
    SleepMs(100);
    if (const std::string now = List(); now != list) {
      list = now;
      open = SendAll(fd, Chunk(list));
      Record("discovery: told that s-1 drains");
    } else if (i % 10 == 0) {
      open = SendAll(fd, Chunk("\n"));
    }
  }
}

void ServeHost(int fd, bool drains) {
  Reader reader(fd);
  double begun_at = 0;
  reader.on_head = [&](Message& head) { begun_at = head.first_byte_at; };
  Message request;
  while (reader.Read(request)) {
    double since = 0;
    {
      const std::lock_guard lock(mutex);
      since = draining_at > 0 ? begun_at - draining_at : 0;
    }
    if (drains && since > 0) {
      const bool late = since > kToldMs + kGraceMs;
      ++(late ? too_late : in_time);
      last_begun_ms = since;
      Record("s-1: %s begins %.0f ms after discovery had that s-1 drains%s",
             request.Header("x-call-id").c_str(), since, late ? ": TOO LATE" : "");
    }
    SleepMs(20);
    if (!SendAll(fd, Ok("answer to " + request.Header("x-call-id")))) return;
  }
}

}  // namespace

int main() {
  Begin("discovery that is slow to answer, and a host that drains");
  const Server a([](int fd) { ServeHost(fd, true); });
  const Server b([](int fd) { ServeHost(fd, false); });
  const Server c([](int fd) { ServeHost(fd, false); });
  const Server d([](int fd) { ServeHost(fd, false); });
  active = Member("s-1", a.port()) + "," + Member("s-2", b.port()) + "," +
           Member("s-3", c.port()) + "," + Member("s-4", d.port());
  draining = active;
  draining.replace(draining.find("active"), 6, "leaving");
  const Server agent(Watch);
  const Discovery known(active);  // for the list in the gateway's configuration
  Gateway gateway;
  gateway.Start("n1", Settings(Class("status", "safe", 1200, 3000)), known, agent.port());

  const double begun_at = Now();
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int i = 0; Now() < begun_at + kPlayMs; ++i) {
    {
      const std::lock_guard lock(mutex);
      if (draining_at == 0 && Now() > begun_at + kDrainAtMs) {
        draining_at = Now();
        Record("discovery: has that s-1 drains, and can be reached");
      }
    }
    if (fd < 0) {
      fd = Connect(gateway.port);
      reader = std::make_unique<Reader>(fd);
    }
    Message answer;
    SendAll(fd, "GET /status HTTP/1.1\r\nHost: s\r\nX-Call-Id: r" + std::to_string(i) + "-" +
                    std::to_string(getpid()) + "\r\nX-Budget-Ms: 3000\r\n\r\n");
    if (reader->Read(answer, Now() + 3550)) {
      ++answered;
    } else {
      close(fd);
      fd = -1;
    }
    SleepMs(20);
  }
  if (const std::string ended = gateway.Ended(); !ended.empty()) {
    End(kBroken, "the gateway ended: " + ended);
  }
  char text[300];
  snprintf(text, sizeof(text),
           "%d calls of discovery, %d lists given; after the drain %d requests began at the host in "
           "time and %d too late, the last %.1f s after discovery had it; %d answers",
           calls.load(), lists.load(), in_time.load(), too_late.load(),
           last_begun_ms.load() / 1000, answered.load());
  if (answered == 0) End(kCouldNotRun, text);
  End(too_late > 0 ? kBroken : kHeld, text);
}
