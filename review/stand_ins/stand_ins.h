// Stand-ins for the parts of a deployment around the gateways: hosts, discovery and clients, as the
// operators' protocol page describes them, and the start and end of the gateways' processes. One
// thread for each connection; each event is a line of the record.
#ifndef PADDLESTILE_REVIEW_STAND_INS_H_
#define PADDLESTILE_REVIEW_STAND_INS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
enum ExitCode {
  kHeld = 0,
  kBroken = 1,
  kCouldNotRun = 2
};

// ---- Time and record --------------------------------------------------------------------------

inline std::chrono::steady_clock::time_point StartTime() {
  static const auto start = std::chrono::steady_clock::now();
  return start;
}

// Milliseconds since the start of the case.
inline double NowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - StartTime())
      .count();
}

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void SleepUntilMs(double at_ms) {
  SleepMs(std::max(0.0, at_ms - NowMs()));
}

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) {
      throw std::runtime_error("cannot write " + path);
    }
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::scoped_lock lock(mutex_);
    std::fprintf(file_, "%9.1f ms  ", NowMs());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// ---- Sockets ----------------------------------------------------------------------------------

inline sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

struct Listener {
  int fd = -1;
  int port = 0;
};

// Listens at a free port of a loopback address.
inline Listener ListenAt(const std::string& ip) {
  Listener listener;
  listener.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = SocketAddress(ip, 0);
  if (bind(listener.fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener.fd, 512) != 0) {
    throw std::runtime_error("cannot listen at " + ip);
  }
  socklen_t size = sizeof(address);
  getsockname(listener.fd, reinterpret_cast<sockaddr*>(&address), &size);
  listener.port = ntohs(address.sin_port);
  return listener;
}

// A port of a loopback address that is free now, for a process that listens itself.
inline int FreePort(const std::string& ip) {
  const Listener listener = ListenAt(ip);
  close(listener.fd);
  return listener.port;
}

inline bool SendAll(int fd, const std::string& text) {
  for (size_t sent = 0; sent < text.size();) {
    const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

// Reads more into `buffer`. Returns false at the end, an error or after `timeout_ms`.
inline bool ReceiveMore(int fd, std::string& buffer, double timeout_ms) {
  pollfd readable{fd, POLLIN, 0};
  if (poll(&readable, 1, static_cast<int>(std::max(0.0, timeout_ms))) <= 0) {
    return false;
  }
  char bytes[65536];
  const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
  if (n <= 0) {
    return false;
  }
  buffer.append(bytes, static_cast<size_t>(n));
  return true;
}

// Returns the value of a header in a head, or an empty string.
inline std::string HeaderOf(const std::string& head, const std::string& name) {
  for (size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2)) {
    if (strncasecmp(head.c_str() + at + 2, name.c_str(), name.size()) == 0 &&
        head[at + 2 + name.size()] == ':') {
      size_t begin = at + 3 + name.size();
      while (head[begin] == ' ') {
        ++begin;
      }
      return head.substr(begin, head.find("\r\n", begin) - begin);
    }
  }
  return "";
}

// ---- Hosts ------------------------------------------------------------------------------------

// One request that a host ran.
struct Run {
  std::string host;
  std::string id;
  std::string key;
  double at_ms = 0;  // its first byte
};

// A sound host: it runs each request with an id once it has come whole, and answers 200 with
// "ID by HOST" after `work_ms`. A load report is answered at /_load.
class Host {
 public:
  Host(Record& record, std::string id, const std::string& ip, double work_ms)
      : record_(record), id_(std::move(id)), ip_(ip), work_ms_(work_ms), listener_(ListenAt(ip)) {
    std::thread([this] { Accept(); }).detach();
  }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] std::string address() const { return ip_ + ":" + std::to_string(listener_.port); }
  [[nodiscard]] std::vector<Run> runs() {
    const std::scoped_lock lock(mutex_);
    return runs_;
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(5);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        Serve(fd);
        close(fd);
      }).detach();
    }
  }

  void Serve(int fd) {
    std::string buffer;
    while (true) {
      if (buffer.empty() && !ReceiveMore(fd, buffer, 60'000)) {
        return;
      }
      const double first_byte_ms = NowMs();
      size_t end = 0;
      while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!ReceiveMore(fd, buffer, 10'000)) {
          return;
        }
      }
      const std::string head = buffer.substr(0, end + 2);
      const size_t length = std::strtoul(HeaderOf(head, "Content-Length").c_str(), nullptr, 10);
      while (buffer.size() < end + 4 + length) {
        if (!ReceiveMore(fd, buffer, 10'000)) {
          return;
        }
      }
      buffer.erase(0, end + 4 + length);
      if (!Respond(fd, head, first_byte_ms)) {
        return;
      }
    }
  }

  bool Respond(int fd, const std::string& head, double first_byte_ms) {
    const std::string target =
        head.substr(head.find(' ') + 1, head.find(' ', head.find(' ') + 1) - head.find(' ') - 1);
    if (target == "/_load" || target == "/ping") {
      return SendResponse(fd, "200 OK", "inflight=" + std::to_string(in_flight_) + ",latency_ms=5");
    }
    const std::string id = HeaderOf(head, "X-Call-Id");
    if (id.empty()) {
      return SendResponse(fd, "404 Not Found", "");
    }
    {
      const std::scoped_lock lock(mutex_);
      runs_.push_back({id_, id, HeaderOf(head, "Idempotency-Key"), first_byte_ms});
    }
    record_.Line("host %s runs %s (first byte at %.1f ms)", id_.c_str(), id.c_str(), first_byte_ms);
    ++in_flight_;
    SleepMs(work_ms_);
    --in_flight_;
    return SendResponse(fd, "200 OK", id + " by " + id_);
  }

  static bool SendResponse(int fd, const std::string& status, const std::string& body) {
    return SendAll(fd, "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n" + body);
  }

  Record& record_;
  std::string id_;
  std::string ip_;
  double work_ms_;
  Listener listener_;
  std::atomic<int> in_flight_{0};
  std::mutex mutex_;
  std::vector<Run> runs_;
};

// ---- Discovery --------------------------------------------------------------------------------

// The agent: the whole list, and watches on changes. While it is down it takes connections and
// says nothing; what changed meanwhile is told at the return.
class Discovery {
 public:
  Discovery(Record& record, const std::string& ip)
      : record_(record), ip_(ip), listener_(ListenAt(ip)) {
    std::thread([this] { Accept(); }).detach();
  }
  [[nodiscard]] std::string address() const { return ip_ + ":" + std::to_string(listener_.port); }

  // Adds a host or changes its phase: a new revision.
  void Set(const std::string& id, const std::string& host_port, const std::string& phase) {
    const std::scoped_lock lock(mutex_);
    members_[id] = {host_port, phase, ++revision_};
    record_.Line("discovery: revision %d, %s is %s", revision_, id.c_str(), phase.c_str());
  }
  void SetDown(bool down) {
    record_.Line("discovery: %s", down ? "down" : "back");
    down_ = down;
  }
  // The list with all that changed after `since`; the whole list if that is 0.
  [[nodiscard]] std::string List(int since, int& revision) {
    const std::scoped_lock lock(mutex_);
    revision = revision_;
    std::string members;
    for (const auto& [id, member] : members_) {
      if (member.revision > since) {
        members += std::string(members.empty() ? "" : ",") + "{\"id\":\"" + id +
                   "\",\"host_port\":\"" + member.host_port +
                   "\",\"locality\":\"a\",\"flavor\":\"std\",\"cell\":0,\"phase\":\"" +
                   member.phase + "\",\"size\":1.0,\"up_since_ms\":0}";
      }
    }
    return "{\"revision\":" + std::to_string(revision_) +
           ",\"complete\":" + (since == 0 ? "true" : "false") + ",\"members\":[" + members + "]}";
  }

 private:
  struct Member {
    std::string host_port;
    std::string phase;
    int revision = 0;
  };

  void Accept() {
    while (true) {
      const int fd = accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(5);
        continue;
      }
      std::thread([this, fd] {
        Serve(fd);
        close(fd);
      }).detach();
    }
  }

  void Serve(int fd) {
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
      if (!ReceiveMore(fd, head, 10'000)) {
        return;
      }
    }
    if (!WaitWhileDown(fd)) {
      return;
    }
    const size_t since_at = head.find("since=");
    int revision = 0;
    if (head.find("follow=1") == std::string::npos) {
      const std::string list = List(0, revision);
      SendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                      list);
      return;
    }
    int since = since_at == std::string::npos ? 0 : std::atoi(head.c_str() + since_at + 6);
    if (!SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return;
    }
    double last_line_ms = -1e9;
    bool is_first = true;
    while (WaitWhileDown(fd)) {
      const std::string list = List(since, revision);
      const bool changed = is_first || revision != since;
      if (changed || NowMs() - last_line_ms >= 2'000) {
        if (!SendChunk(fd, changed ? list + "\n" : "\n")) {
          return;
        }
        if (changed) {
          record_.Line("discovery: told %s", list.c_str());
          last_told_ms_ = NowMs();
        }
        last_line_ms = NowMs();
        since = revision;
        is_first = false;
      }
      std::string ignored;
      ReceiveMore(fd, ignored, 10);
    }
  }

  // Returns false if the gateway has closed the connection.
  bool WaitWhileDown(int fd) const {
    while (true) {
      pollfd ended{fd, POLLRDHUP, 0};
      if (poll(&ended, 1, 0) != 0) {
        return false;
      }
      if (!down_) {
        return true;
      }
      SleepMs(5);
    }
  }

  static bool SendChunk(int fd, const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return SendAll(fd, size + text + "\r\n");
  }

  Record& record_;
  std::string ip_;
  Listener listener_;
  std::mutex mutex_;
  std::map<std::string, Member> members_;
  int revision_ = 0;
  std::atomic<bool> down_{false};
  std::atomic<double> last_told_ms_{-1};

 public:
  // When a change was last written to a gateway.
  [[nodiscard]] double last_told_ms() const { return last_told_ms_; }
};

// ---- Clients ----------------------------------------------------------------------------------

struct Answer {
  int status = 0;  // 0: none
  std::string body;
  bool refused = false;     // no connection came up
  bool was_reused = false;  // the request went out on a connection that had carried another
  double waited_ms = 0;     // from the request's last byte to the answer or the connection's end
};

// A client that sends one request at a time and keeps its connection.
class Client {
 public:
  Client(std::string ip, int port) : ip_(std::move(ip)), port_(port) {}
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client() { Close(); }

  Answer Call(const std::string& method, const std::string& target, const std::string& headers,
              double timeout_ms, const std::string& body = "") {
    std::string request =
        method + " " + target + " HTTP/1.1\r\nHost: service.internal\r\n" + headers;
    if (!body.empty()) {
      request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    request += "\r\n" + body;
    Answer answer = CallOnce(request, timeout_ms);
    // The gateway may close a connection between two requests; the request that crosses the close
    // is sent once more on a new one. One that has waited for longer has not crossed it.
    if (answer.status == 0 && answer.was_reused && !timed_out_ && answer.waited_ms < kCrossedMs) {
      Close();
      answer = CallOnce(request, timeout_ms);
    }
    return answer;
  }

  void Close() {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = -1;
  }

 private:
  static constexpr double kCrossedMs = 50;

  bool Open() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = SocketAddress(ip_, port_);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      Close();
      return false;
    }
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
  }

  Answer CallOnce(const std::string& request, double timeout_ms) {
    Answer answer;
    timed_out_ = false;
    answer.was_reused = fd_ >= 0;
    if (fd_ < 0 && !Open()) {
      answer.refused = true;
      return answer;
    }
    const double until_ms = NowMs() + timeout_ms;
    if (!SendAll(fd_, request)) {
      Close();
      return answer;
    }
    const double written_ms = NowMs();
    std::string buffer;
    size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!ReceiveMore(fd_, buffer, until_ms - NowMs())) {
        answer.waited_ms = NowMs() - written_ms;
        timed_out_ = NowMs() >= until_ms;
        Close();
        return answer;
      }
    }
    const std::string head = buffer.substr(0, end + 2);
    const size_t length = std::strtoul(HeaderOf(head, "Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + length) {
      if (!ReceiveMore(fd_, buffer, until_ms - NowMs())) {
        answer.waited_ms = NowMs() - written_ms;
        timed_out_ = NowMs() >= until_ms;
        Close();
        return answer;
      }
    }
    answer.waited_ms = NowMs() - written_ms;
    answer.status = std::atoi(head.c_str() + 9);
    answer.body = buffer.substr(end + 4, length);
    if (strcasecmp(HeaderOf(head, "Connection").c_str(), "close") == 0) {
      Close();
    }
    return answer;
  }

  std::string ip_;
  int port_;
  int fd_ = -1;
  bool timed_out_ = false;
};

// Threads that go on until they are stopped, at the latest when this object goes out of scope.
class Workers {
 public:
  Workers() = default;
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;
  ~Workers() { Stop(); }
  template <typename Work>
  void Add(Work work) {
    threads_.emplace_back(std::move(work));
  }
  [[nodiscard]] bool stopped() const { return stopped_; }
  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

 private:
  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};

// One call on a connection of its own. Returns the status, 0 without an answer.
inline int CallAlone(const std::string& ip, int port, const std::string& method,
                     const std::string& target, double timeout_ms = 1000) {
  Client client(ip, port);
  return client.Call(method, target, "Connection: close\r\n", timeout_ms).status;
}

// ---- Processes --------------------------------------------------------------------------------

// Processes that the case starts. Those that are left are killed at the end.
class Processes {
 public:
  explicit Processes(Record& record) : record_(record) {}
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;
  ~Processes() {
    for (const pid_t pid : running_) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }

  // Runs a command by /bin/sh with more environment. Output goes to `log_path`.
  pid_t Start(const std::string& command, const std::map<std::string, std::string>& environment,
              const std::string& log_path) {
    std::vector<std::string> variables;
    for (char** variable = environ; *variable != nullptr; ++variable) {
      if (strncmp(*variable, "LB_", 3) != 0) {
        variables.emplace_back(*variable);
      }
    }
    for (const auto& [name, value] : environment) {
      std::erase_if(variables, [&, prefix = name + "="](const std::string& variable) {
        return variable.starts_with(prefix);
      });
      variables.push_back(name + "=" + value);
    }
    std::vector<char*> pointers;
    for (std::string& variable : variables) {
      pointers.push_back(variable.data());
    }
    pointers.push_back(nullptr);
    const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t own_pid = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this case, however that ends
      if (getppid() != own_pid) {
        _exit(127);
      }
      dup2(log, 1);
      dup2(log, 2);
      const char* const arguments[] = {"sh", "-c", command.c_str(), nullptr};
      execve("/bin/sh", const_cast<char* const*>(arguments), pointers.data());
      _exit(127);
    }
    close(log);
    running_.push_back(pid);
    record_.Line("process %d started: %s", pid, command.c_str());
    return pid;
  }

  // Whether the process has ended; then its wait status is in `status`.
  bool HasEnded(pid_t pid, int& status) {
    if (const auto ended = ended_.find(pid); ended != ended_.end()) {
      status = ended->second;
      return true;
    }
    if (waitpid(pid, &status, WNOHANG) != pid) {
      return false;
    }
    std::erase(running_, pid);
    ended_[pid] = status;
    record_.Line("process %d ended: %s %d", pid, WIFSIGNALED(status) ? "signal" : "exit code",
                 WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    return true;
  }

  void Signal(pid_t pid, int signal_number) {
    record_.Line("process %d is sent signal %d", pid, signal_number);
    kill(pid, signal_number);
  }

  // Waits for the end of a process. Returns its exit code; -1 for another end, -2 without one.
  int Wait(pid_t pid, double timeout_ms) {
    const double until_ms = NowMs() + timeout_ms;
    int status = 0;
    while (!HasEnded(pid, status)) {
      if (NowMs() >= until_ms) {
        return -2;
      }
      SleepMs(5);
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  Record& record_;
  std::vector<pid_t> running_;
  std::map<pid_t, int> ended_;
};

// ---- A case -----------------------------------------------------------------------------------

inline std::string Variable(const char* name) {
  const char* const value = std::getenv(name);
  if (value == nullptr || *value == '\0') {
    throw std::runtime_error(std::string(name) + " is not set");
  }
  return value;
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Writes a file whole and then puts it in its place.
inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new", std::ios::binary) << text;
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0) {
    throw std::runtime_error("cannot write " + path);
  }
}

// Waits until `condition` holds. Returns whether it did in time.
inline bool WaitFor(const std::function<bool()>& condition, double timeout_ms,
                    double interval_ms = 20) {
  const double until_ms = NowMs() + timeout_ms;
  while (!condition()) {
    if (NowMs() >= until_ms) {
      return false;
    }
    SleepMs(interval_ms);
  }
  return true;
}

// What run.sh hands to a case.
struct CaseOptions {
  std::string run = Variable("REVIEW_RUN");        // `run` of the deploy file
  std::string folder = Variable("REVIEW_TMP");     // an empty temporary folder
  std::string record = Variable("REVIEW_RECORD");  // the path of record.txt
  bool trouble = Variable("TROUBLE") != "0";
};

// Runs a case; ends the process with its exit code, so that no thread of a stand-in goes on. Hosts
// and the discovery of a case are not freed either.
template <typename Body>
int RunCase(const Body& body) {
  signal(SIGPIPE, SIG_IGN);
  StartTime();
  int code = kCouldNotRun;
  try {
    const CaseOptions options;
    // Never freed: threads of stand-ins use it until the process ends.
    Record& record = *new Record(options.record);
    Processes processes(record);
    try {
      code = body(options, record, processes);
    } catch (const std::exception& error) {
      record.Line("the case could not run: %s", error.what());
      std::fprintf(stderr, "the case could not run: %s\n", error.what());
    }
    record.Line("exit code %d", code);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
  }
  std::fflush(nullptr);
  _exit(code);
}

}  // namespace review

#endif  // PADDLESTILE_REVIEW_STAND_INS_H_
