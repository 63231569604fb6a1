// A child process of the lab, such as a gateway. It never outlives the lab.
#ifndef PADDLESTILE_LAB_PROCESS_H_
#define PADDLESTILE_LAB_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace paddlestile::lab {

class Process {
 public:
  // Whether the signals that a gateway handles are blocked at its start.
  enum class Signals {
    kUnblocked,
    kBlocked  // a signal that arrives before the program handles it cannot end it
  };
  // Runs the command with `env` added to the environment; stdout and stderr are appended to the log
  // file. Throws std::system_error. The kernel kills the child when this process ends.
  Process(const std::vector<std::string>& command,
          const std::vector<std::pair<std::string, std::string>>& env, const std::string& log_path,
          Signals signals = Signals::kUnblocked);
  ~Process();  // kills the process if it is still running
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Sends SIGSTOP and returns once the process has stopped. No effect if it has exited.
  void Stop() const;
  // Sends SIGKILL and returns once the process has ended and its descriptors are closed.
  void Kill();
  // Whether Kill was called while the process was still running.
  [[nodiscard]] bool killed() const { return killed_; }
  // Its exit code, or 128 plus the signal that ended it; nullopt while it runs.
  std::optional<int> ExitCode();

  struct Usage {
    double cpu_us = 0;  // since its start
    uint64_t rss_kb = 0;
    uint64_t descriptors = 0;
  };
  [[nodiscard]] Usage Measure() const;
  // CPU time of an ended process over its whole life, in us. Its peak memory is not available: the
  // kernel's figure includes what this process used at the time of the fork.
  [[nodiscard]] double TotalCpuUs() const { return total_cpu_us_; }
  [[nodiscard]] static Usage MeasureSelf();
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  static Usage Measure(const std::string& proc);
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  bool killed_ = false;
  double total_cpu_us_ = 0;
};

// The last lines of a file. Long lines are truncated.
std::string TailOf(const std::string& path, size_t lines);

// A temporary directory, removed by the destructor.
class TemporaryDirectory {
 public:
  TemporaryDirectory();  // throws std::system_error
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PROCESS_H_
