// Runs the program as a child process and captures its standard error.
#ifndef PADDLESTILE_TESTS_GATEWAY_CHILD_PROCESS_H_
#define PADDLESTILE_TESTS_GATEWAY_CHILD_PROCESS_H_

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <map>
#include <string>
#include <vector>

#include "event/event_loop.h"

namespace paddlestile::testing {

class Child {
 public:
  Child() = default;
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() { Kill(); }

  // Starts the program with `env` as its whole environment. `before_exec` runs in the child process
  // before the program is executed.
  void Start(const std::map<std::string, std::string>& env, std::vector<std::string> arguments,
             void (*before_exec)() = nullptr) {
    int pipe_ends[2] = {-1, -1};
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
      return;
    }
    pid_ = fork();
    if (pid_ == 0) {
      dup2(pipe_ends[1], STDERR_FILENO);
      std::vector<std::string> variables;
      for (const auto& [name, value] : env) {
        variables.push_back(name + "=" + value);
      }
      std::vector<char*> environment;
      for (std::string& variable : variables) {
        environment.push_back(variable.data());
      }
      environment.push_back(nullptr);
      arguments.insert(arguments.begin(), "paddlestile");
      std::vector<char*> argv;
      for (std::string& argument : arguments) {
        argv.push_back(argument.data());
      }
      argv.push_back(nullptr);
      if (before_exec != nullptr) {
        before_exec();
      }
      execve(PADDLESTILE_PROGRAM, argv.data(), environment.data());
      _exit(127);
    }
    close(pipe_ends[1]);
    stderr_ = FileDescriptor(pipe_ends[0]);
    fcntl(stderr_.get(), F_SETFL, O_NONBLOCK);
  }
  // Returns what the program has written to standard error so far.
  const std::string& Text() {
    char bytes[4096];
    ssize_t n = 0;
    while ((n = read(stderr_.get(), bytes, sizeof(bytes))) > 0) {
      text_.append(bytes, static_cast<size_t>(n));
    }
    return text_;
  }
  // Waits until standard error contains `text`. Returns false if it does not within five seconds.
  bool WaitForOutput(const std::string& text) {
    for (int i = 0; i < 1000; ++i) {
      if (Text().find(text) != std::string::npos) {
        return true;
      }
      usleep(5000);
    }
    return false;
  }
  // Waits for the process to exit and returns its exit code. Returns -1 if it does not exit within
  // ten seconds or is killed by a signal.
  int Wait() {
    for (int i = 0; i < 2000; ++i) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      }
      usleep(5000);
    }
    return -1;
  }
  void Signal(int signal) const {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }
  void Kill() {
    if (pid_ <= 0) {
      return;
    }
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  FileDescriptor stderr_;  // the read end of the pipe
  std::string text_;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_GATEWAY_CHILD_PROCESS_H_
