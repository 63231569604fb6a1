// Clients that read long answers slowly and without a pause: does the gateway pass on all of it?
#include "rig.h"

namespace {

using namespace rig;

constexpr int kClients = 4;
constexpr size_t kAnswerBytes = 16U << 20;        // answers reach 32 MB
constexpr double kSlowBytesPerMs = 64;            // 64 kB a second
constexpr double kPlayMs = 95'000;                // who still gets bytes then has lost nothing

void ServeHost(int fd) {
  Reader reader(fd);
  Message request;
  while (reader.Read(request)) {
    const std::string id = request.Header("x-call-id");
    Record("host: %s runs", id.c_str());
    SleepMs(30);
    const std::string body(kAnswerBytes, 'a');
    const double begun_at = Now();
    if (!SendAll(fd, Ok(body))) {
      return Record("host: the gateway has ended the connection while the host gave the answer to "
                    "%s, %.0f ms after its first byte",
                    id.c_str(), Now() - begun_at);
    }
    Record("host: gave all of the answer to %s", id.c_str());
  }
}

}  // namespace

int main() {
  Begin("clients that read long answers at 64 kB a second");
  Server a(ServeHost), b(ServeHost), c(ServeHost);
  const Discovery discovery(Member("s-1", a.port()) + "," + Member("s-2", b.port()) + "," +
                            Member("s-3", c.port()));
  Gateway gateway;
  gateway.Start("n1", Settings(Class("status", "safe", 1200, 3000)), discovery);

  std::atomic<int> whole = 0, under_way = 0, cut = 0, refused = 0;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const std::string id = "c" + std::to_string(client) + "-" + std::to_string(getpid());
      const int fd = Connect(gateway.port);
      if (fd < 0) End(kCouldNotRun, "the gateway takes no connection");
      SendAll(fd, "GET /status HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + id +
                      "\r\nX-Budget-Ms: 3000\r\n\r\n");
      const double sent_at = Now();
      char bytes[6400];
      size_t read = 0;
      double first_at = 0, longest_wait = 0;
      std::string head;
      while (read < kAnswerBytes && Now() - sent_at < kPlayMs) {
        const double asked_at = Now();
        const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
        if (first_at == 0) {
          first_at = Now();
          head.assign(bytes, static_cast<size_t>(n > 0 ? n : 0));
          Record("client: %s has its first bytes after %.0f ms: %s", id.c_str(),
                 first_at - sent_at, head.substr(0, head.find('\r')).c_str());
          if (head.compare(0, 12, "HTTP/1.1 200") != 0) {
            ++refused;
            close(fd);
            return;
          }
        }
        longest_wait = std::max(longest_wait, Now() - asked_at);
        if (n <= 0) {
          Record("client: %s is cut off after %zu of %zu bytes, %.0f ms after it was sent (%s); it "
                 "has read at its speed all the time, and waited %.0f ms for bytes at most",
                 id.c_str(), read, kAnswerBytes, Now() - sent_at,
                 n == 0 ? "an end" : "a reset", longest_wait);
          ++cut;
          close(fd);
          return;
        }
        read += static_cast<size_t>(n);
        if (Trouble()) SleepUntil(first_at + static_cast<double>(read) / kSlowBytesPerMs);
      }
      Record("client: %s has %zu bytes, and nothing was cut", id.c_str(), read);
      ++(read >= kAnswerBytes ? whole : under_way);
      close(fd);
    });
  }
  for (std::thread& client : clients) client.join();
  if (const std::string ended = gateway.Ended(); !ended.empty()) {
    End(kBroken, "the gateway ended: " + ended);
  }
  char text[200];
  snprintf(text, sizeof(text), "of %d answers, %d whole, %d still under way, %d cut off, %d refused",
           kClients, whole.load(), under_way.load(), cut.load(), refused.load());
  if (refused == kClients) End(kCouldNotRun, text);
  End(cut > 0 ? kBroken : kHeld, text);
}
