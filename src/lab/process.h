// A gateway as a process of its own: started, signalled, measured, and never left behind.
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
  // The signals that a gateway handles, as it starts.
  enum class Signals {
    kUnblocked,
    kBlocked  // none that comes before the program's first instruction can end it
  };
  // Runs the words with these variables added to the environment; both its outputs go to a file.
  // Throws std::system_error. It dies with this process, whatever becomes of this one.
  Process(const std::vector<std::string>& words,
          const std::vector<std::pair<std::string, std::string>>& env, const std::string& log_path,
          Signals signals = Signals::kUnblocked);
  ~Process();  // killed, if it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Stops it, and returns once it stands; without effect where it has ended.
  void Stop() const;
  // Kills it, and returns once its descriptors are closed.
  void Kill();
  // Whether Kill was called before it had ended.
  [[nodiscard]] bool killed() const { return killed_; }
  // How it ended: its exit code, or 128 and the signal; nothing while it runs.
  std::optional<int> Ended();

  struct Usage {
    double cpu_us = 0;  // since its start
    uint64_t rss_kb = 0;
    uint64_t descriptors = 0;
  };
  [[nodiscard]] Usage Measure() const;
  // Processor time of one that has ended, us, over its whole life. Its most memory is not told: the
  // kernel counts in it what this process held as it began that one.
  [[nodiscard]] double SpentUs() const { return spent_us_; }
  [[nodiscard]] static Usage Own();  // of this process
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  static Usage Measure(const std::string& proc);
  pid_t pid_ = -1;
  std::optional<int> ended_;
  bool killed_ = false;
  double spent_us_ = 0;
};

// The last lines of a file, the longest first cut off.
std::string TailOf(const std::string& path, size_t lines);

// A folder of this run alone, gone with this object.
class Folder {
 public:
  Folder();  // throws std::system_error
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PROCESS_H_
