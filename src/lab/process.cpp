#include "lab/process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <string_view>
#include <system_error>

namespace paddlestile::lab {
namespace {
namespace fs = std::filesystem;
}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::vector<std::pair<std::string, std::string>>& env,
                 const std::string& log_path, Signals signals) {
  // All memory is allocated before the fork.
  std::vector<std::string> variables;
  variables.reserve(env.size());
  for (const auto& [name, value] : env) {
    variables.push_back(fmt::format("{}={}", name, value));
  }
  for (char** inherited = environ; *inherited != nullptr; ++inherited) {
    const std::string_view name =
        std::string_view(*inherited).substr(0, std::string_view(*inherited).find('='));
    const auto overrides = [&](const auto& variable) {
      return variable.first == name;
    };
    if (std::ranges::none_of(env, overrides)) {
      variables.emplace_back(*inherited);
    }
  }
  std::vector<char*> args, environment;
  args.reserve(command.size() + 1);
  environment.reserve(variables.size() + 1);
  for (const std::string& argument : command) {
    args.push_back(const_cast<char*>(argument.c_str()));
  }
  for (const std::string& variable : variables) {
    environment.push_back(const_cast<char*>(variable.c_str()));
  }
  args.push_back(nullptr);
  environment.push_back(nullptr);
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log < 0) {
    throw std::system_error(errno, std::generic_category(), log_path);
  }
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    sigset_t blocked;
    sigemptyset(&blocked);
    if (signals == Signals::kBlocked) {
      for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
        sigaddset(&blocked, signal);
      }
    }
    sigprocmask(SIG_SETMASK, &blocked, nullptr);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(args[0], args.data(), environment.data());
    _exit(127);
  }
  const int error = errno;
  close(log);
  if (pid_ < 0) {
    throw std::system_error(error, std::generic_category(), "fork");
  }
}

Process::~Process() {
  if (ExitCode()) {
    return;
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Signal(int signal) const {
  if (!exit_code_) {
    kill(pid_, signal);
  }
}

void Process::Stop() const {
  if (exit_code_) {
    return;
  }
  kill(pid_, SIGSTOP);
  siginfo_t info{};
  // WNOWAIT keeps the exit status for ExitCode.
  while (waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED | WEXITED | WNOWAIT) != 0 &&
         errno == EINTR) {
  }
}

void Process::Kill() {
  if (ExitCode()) {
    return;
  }
  killed_ = true;
  kill(pid_, SIGKILL);
  siginfo_t info{};
  while (waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOWAIT) != 0 && errno == EINTR) {
  }
}

std::optional<int> Process::ExitCode() {
  int status = 0;
  rusage used{};
  if (!exit_code_ && wait4(pid_, &status, WNOHANG, &used) == pid_) {
    const auto us = [](const timeval& t) {
      return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_usec);
    };
    total_cpu_us_ = us(used.ru_utime) + us(used.ru_stime);
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return exit_code_;
}

Process::Usage Process::Measure() const {
  return Measure(fmt::format("/proc/{}", pid_));
}
Process::Usage Process::MeasureSelf() {
  return Measure("/proc/self");
}

Process::Usage Process::Measure(const std::string& proc) {
  Usage usage;
  std::error_code error;
  for (const auto& task : fs::directory_iterator(proc + "/task", error)) {
    std::ifstream schedule(task.path() / "schedstat");
    double ns = 0;
    if (schedule >> ns) {
      usage.cpu_us += ns / 1000;
    }
  }
  std::ifstream memory(proc + "/statm");
  uint64_t size = 0, resident = 0;
  if (memory >> size >> resident) {
    usage.rss_kb = resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
  }
  for (const auto& fd : fs::directory_iterator(proc + "/fd", error)) {
    (void)fd;
    ++usage.descriptors;
  }
  return usage;
}

std::string TailOf(const std::string& path, size_t lines) {
  std::ifstream file(path);
  std::deque<std::string> tail;
  for (std::string line; std::getline(file, line);) {
    constexpr size_t kMaxLineBytes = 400;
    if (line.size() > kMaxLineBytes) {
      line = line.substr(0, kMaxLineBytes) + "...";
    }
    tail.push_back(line);
    if (tail.size() > lines) {
      tail.pop_front();
    }
  }
  std::string out;
  for (const std::string& line : tail) {
    out += line + "\n";
  }
  return out;
}

TemporaryDirectory::TemporaryDirectory() {
  std::string name = (fs::temp_directory_path() / "paddlestile-lab-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), name);
  }
  path_ = name;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code error;
  fs::remove_all(path_, error);
}

}  // namespace paddlestile::lab
