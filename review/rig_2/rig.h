// Stand-ins for the cases 6 to 10: clients, hosts, discovery and the network, as the operators'
// pages describe them, around real gateway processes. Blocking sockets, a thread a connection.
// Everything listens on 127.0.0.0/8, at ports that the system chooses.
#ifndef REVIEW_RIG_2_RIG_H_
#define REVIEW_RIG_2_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

// Milliseconds on the monotonic clock since the start of the case.
inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void SleepUntil(double at) { SleepMs(at - Now()); }

// ---- The record ---------------------------------------------------------------------------------

inline FILE*& RecordFile() {
  static FILE* file = stdout;
  return file;
}
inline void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void Record(const char* format, ...) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  fprintf(RecordFile(), "%9.1f  ", Now());
  va_list arguments;
  va_start(arguments, format);
  vfprintf(RecordFile(), format, arguments);
  va_end(arguments);
  fputc('\n', RecordFile());
  fflush(RecordFile());
}

inline std::vector<pid_t>& Started() {
  static std::vector<pid_t> pids;
  return pids;
}
// Ends all processes that this case started, and the case.
[[noreturn]] inline void End(int code, const std::string& why) {
  for (const pid_t pid : Started()) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  const char* const verdict = code == kHeld     ? "the rule held"
                              : code == kBroken ? "THE RULE WAS BROKEN"
                                                : "the case could not run";
  Record("%s: %s", verdict, why.c_str());
  printf("%s: %s\n", verdict, why.c_str());
  fflush(nullptr);
  _exit(code);
}

// ---- Sockets ------------------------------------------------------------------------------------

inline sockaddr_in Loopback(int port, const char* host = "127.0.0.1") {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host, &address.sin_addr);
  return address;
}
inline void NoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}
// A listening socket at a port that the system chooses, or at `port`.
inline int Listen(int& port, int backlog = 512) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, backlog) != 0) {
    End(kCouldNotRun, "cannot listen");
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
inline int FreePort() {
  int port = 0;
  close(Listen(port));
  return port;
}
inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  NoDelay(fd);
  return fd;
}
inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

// ---- HTTP ---------------------------------------------------------------------------------------

struct Message {
  std::string start;                           // the request line or the status line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  double first_byte_at = 0, last_byte_at = 0;
  [[nodiscard]] std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] int Status() const { return start.size() > 9 ? atoi(start.c_str() + 9) : 0; }
};

// Reads messages from a connection, one after another.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Whether the last Read ended by a timeout, and whether a message had begun.
  bool timed_out = false, begun = false;
  std::function<void(Message&)> on_head;  // called once the head is complete

  // Returns false at the end of the connection, after an error or at `until`.
  bool Read(Message& message, double until = 1e12) {
    message = Message{};
    timed_out = false;
    begun = !buffer_.empty();
    message.first_byte_at = Now();
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const bool first = buffer_.empty();
      if (!More(until)) return false;
      if (first) message.first_byte_at = Now();
    }
    ParseHead(buffer_.substr(0, end), message);
    buffer_.erase(0, end + 4);
    if (on_head) on_head(message);
    const bool has_body = ReadBody(message, until);
    message.last_byte_at = Now();
    return has_body;
  }
  [[nodiscard]] bool HasUnread() const {
    char byte = 0;
    return !buffer_.empty() || recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

 private:
  bool More(double until) {
    pollfd waiting{fd_, POLLIN, 0};
    while (true) {
      const double left = until - Now();
      if (left <= 0) {
        timed_out = true;
        return false;
      }
      const int ready = poll(&waiting, 1, static_cast<int>(left < 1000 ? left + 1 : 1000));
      if (ready > 0) break;
    }
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) return false;
    begun = true;
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }
  static void ParseHead(const std::string& head, Message& message) {
    size_t at = head.find("\r\n");
    message.start = head.substr(0, at);
    while (at != std::string::npos) {
      const size_t next = head.find("\r\n", at + 2);
      const std::string line =
          head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon), value = line.substr(colon + 1);
        for (char& c : name) c = static_cast<char>(tolower(c));
        value.erase(0, value.find_first_not_of(' '));
        message.headers[name] = value;
      }
      at = next;
    }
  }
  bool Take(size_t size, std::string& to, double until) {
    while (buffer_.size() < size) {
      if (!More(until)) return false;
    }
    to.append(buffer_, 0, size);
    buffer_.erase(0, size);
    return true;
  }
  bool ReadBody(Message& message, double until) {
    if (message.Header("transfer-encoding") != "chunked") {
      return Take(strtoul(message.Header("content-length").c_str(), nullptr, 10), message.body,
                  until);
    }
    while (true) {
      size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!More(until)) return false;
      }
      const size_t size = strtoul(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      std::string crlf;
      if (!Take(size, message.body, until) || !Take(2, crlf, until)) return false;
      if (size == 0) return true;
    }
  }
  int fd_;
  std::string buffer_;
};

inline std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Servers ------------------------------------------------------------------------------------

// Accepts connections and serves each in a thread of its own. The threads end with the case.
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  explicit Server(Serve serve) : serve_(std::move(serve)), fd_(Listen(port_)) {
    std::thread([this] {
      while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        NoDelay(fd);
        std::thread([this, fd] {
          serve_(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }
  [[nodiscard]] int port() const { return port_; }

 private:
  Serve serve_;
  int port_ = 0;
  int fd_;
};

// Discovery: tells a watch the list that it was given, and changes as they come.
class Discovery {
 public:
  explicit Discovery(std::string members)
      : members_(std::move(members)), server_([this](int fd) { Watch(fd); }) {}
  [[nodiscard]] int port() const { return server_.port(); }
  [[nodiscard]] std::string List() const {
    return "{\"revision\":1,\"complete\":true,\"members\":[" + members_ + "]}";
  }

 private:
  void Watch(int fd) {
    Message call;
    if (!Reader(fd).Read(call)) return;
    const std::string list = List() + "\n";
    if (call.start.find("follow=1") == std::string::npos) {
      SendAll(fd, Ok(List()));
      return;
    }
    const auto chunk = [](const std::string& text) {
      char size[32];
      snprintf(size, sizeof(size), "%zx\r\n", text.size());
      return size + text + "\r\n";
    };
    bool open = SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
    while (open) {
      SleepMs(1000);
      open = SendAll(fd, chunk("\n"));
    }
  }
  std::string members_;
  Server server_;
};
inline std::string Member(const std::string& id, int port, const std::string& zone = "a") {
  return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"locality\":\"" + zone + "\",\"flavor\":\"m\",\"cell\":1,\"phase\":\"active\",\"size\":1.0,"
         "\"up_since_ms\":0}";
}

// ---- The gateway --------------------------------------------------------------------------------

inline std::string Environment(const char* name, const char* otherwise = "") {
  const char* const value = getenv(name);
  return value == nullptr ? otherwise : value;
}
inline bool Trouble() { return Environment("TROUBLE", "1") != "0"; }

// A gateway, started from the root of the repository with `run` of the deploy file (in $RUN).
struct Gateway {
  pid_t pid = 0;
  int port = 0;
  std::string folder;
  std::string operator_file;  // of a cluster; empty: none

  // `agent`: the port of discovery, if it is not that of `discovery`, whose list it has then.
  void Start(const std::string& name, const std::string& settings, const Discovery& discovery,
             int agent = 0) {
    folder = Environment("FOLDER") + "/" + name;
    mkdir(folder.c_str(), 0700);
    mkdir((folder + "/tmp").c_str(), 0700);
    port = FreePort();
    const std::string listen = "127.0.0.1:" + std::to_string(port);
    const std::string told =
        "127.0.0.1:" + std::to_string(agent > 0 ? agent : discovery.port());
    const std::string path = folder + "/config.json";
    FILE* const file = fopen(path.c_str(), "w");
    if (file == nullptr) End(kCouldNotRun, "cannot write the configuration");
    fprintf(file,
            "{\"name\":\"%s\",\"listen\":\"%s\",\"discovery\":\"%s\",\"seed\":\"%x\","
            "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":%s,"
            "\"settings\":%s}\n",
            name.c_str(), listen.c_str(), told.c_str(), static_cast<unsigned>(getpid()),
            discovery.List().c_str(), settings.c_str());
    fclose(file);
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open((folder + "/log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      dup2(log, 1);
      dup2(log, 2);
      setenv("LB_NAME", name.c_str(), 1);
      setenv("LB_LISTEN", listen.c_str(), 1);
      setenv("LB_DISCOVERY", told.c_str(), 1);
      setenv("LB_CONFIG", path.c_str(), 1);
      setenv("TMPDIR", (folder + "/tmp").c_str(), 1);
      if (!operator_file.empty()) setenv("LB_OPERATOR", operator_file.c_str(), 1);
      execl("/bin/sh", "sh", "-c", Environment("RUN").c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Started().push_back(pid);
    for (const double until = Now() + 10'000; Now() < until; SleepMs(20)) {
      const int fd = Connect(port);
      if (fd < 0) continue;
      Message answer;
      SendAll(fd, "GET /_health HTTP/1.1\r\nHost: s\r\n\r\n");
      const bool healthy = Reader(fd).Read(answer, Now() + 1000) && answer.Status() == 200;
      close(fd);
      if (healthy) {
        SleepMs(300);  // discovery has told the list by then
        Record("gateway %s serves", name.c_str());
        return;
      }
    }
    End(kCouldNotRun, "the gateway is not ready");
  }
  // Whether it still runs, or why not.
  [[nodiscard]] std::string Ended() const {
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) != pid) return "";
    std::erase(Started(), pid);
    return WIFEXITED(status) ? "exit code " + std::to_string(WEXITSTATUS(status))
                             : "signal " + std::to_string(WTERMSIG(status));
  }
};

// Runs a command of the program to its end and returns its exit code, or -1 if it takes too long.
inline int Command(const std::string& words, double limit_ms = 30'000) {
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open((Environment("FOLDER") + "/commands").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 1);
    dup2(log, 2);
    execl("/bin/sh", "sh", "-c", (Environment("RUN") + " " + words).c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  int status = 0;
  for (const double until = Now() + limit_ms; Now() < until; SleepMs(20)) {
    if (waitpid(pid, &status, WNOHANG) == pid) {
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
  }
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  return -1;
}

// A class of the settings.
inline std::string Class(const std::string& name, const std::string& effect, int aim, int deadline,
                         int window = 3000) {
  char text[400];
  snprintf(text, sizeof(text),
           "{\"Name\":\"%s\",\"Effect\":\"%s\",\"Group\":\"all\",\"Window\":%d.0,\"Slo\":%d.0,"
           "\"Deadline\":%d.0,\"Worth\":1.0,\"LateShare\":0.2,\"Streamed\":false}",
           name.c_str(), effect.c_str(), window, aim, deadline);
  return text;
}
// Settings of a small deployment; the figures of the rules are those of the first site's brief.
inline std::string Settings(const std::string& classes, const std::string& zones = "\"a\"") {
  return "{\"Classes\":[" + classes +
         "],\"Tenants\":[],\"FailureDomains\":[" + zones + "],\"Kinds\":[\"m\"],\"Zone\":0,\"Me\":0,"
         "\"NInstances\":1,\"RegistryMode\":\"automatic\",\"KindOfService\":\"proxy\","
         "\"Allowed\":{\"Cancel\":true,\"ConnectTimeout\":250.0,\"IdleClose\":60000.0,"
         "\"MaxRetryAfter\":1500.0,\"MaxStreams\":1,\"MostHeld\":20000,\"ParallelTries\":false,"
         "\"PeerMessages\":false,\"Probes\":false,\"RetryAfter\":true,\"SendCap\":5},"
         "\"Stats\":{\"Source\":\"none\",\"Fields\":[]},"
         "\"Obligations\":{\"AnswerSlack\":20.0,\"ColdFrom\":0.31,\"DrainGrace\":1000.0,"
         "\"Fall\":1500.0,\"FallMultiple\":3.0,\"MustAskIn\":10000.0,\"WarmWithin\":9000.0}}";
}

// Opens the record, and ends the case with code 2 should it take too long.
inline void Begin(const char* what) {
  Now();
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // with run_case.sh, also where that is killed
  signal(SIGPIPE, SIG_IGN);
  RecordFile() = fopen(Environment("RECORD", "record.txt").c_str(), "w");
  if (RecordFile() == nullptr) {
    RecordFile() = stdout;
    End(kCouldNotRun, "cannot write the record");
  }
  std::thread([] {
    SleepMs(110'000);
    End(kCouldNotRun, "over 110 s");
  }).detach();
  Record("%s; %s", what, Trouble() ? "with the disruption" : "without the disruption");
}

}  // namespace rig

#endif  // REVIEW_RIG_2_RIG_H_
