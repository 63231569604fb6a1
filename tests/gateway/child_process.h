// The program as a process of its own, with its log.
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

  // `before`: runs in the new process before it becomes the program.
  void Start(const std::map<std::string, std::string>& env, std::vector<std::string> arguments,
             void (*before)() = nullptr) {
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0) {
      return;
    }
    pid_ = fork();
    if (pid_ == 0) {
      dup2(ends[1], STDERR_FILENO);
      std::vector<std::string> words;
      for (const auto& [name, value] : env) {
        words.push_back(name + "=" + value);
      }
      std::vector<char*> environment;
      for (std::string& word : words) {
        environment.push_back(word.data());
      }
      environment.push_back(nullptr);
      arguments.insert(arguments.begin(), "paddlestile");
      std::vector<char*> args;
      for (std::string& word : arguments) {
        args.push_back(word.data());
      }
      args.push_back(nullptr);
      if (before != nullptr) {
        before();
      }
      execve(PADDLESTILE_PROGRAM, args.data(), environment.data());
      _exit(127);
    }
    close(ends[1]);
    err_ = FileDescriptor(ends[0]);
    fcntl(err_.get(), F_SETFL, O_NONBLOCK);
  }
  // Its log so far.
  const std::string& Text() {
    char bytes[4096];
    ssize_t n = 0;
    while ((n = read(err_.get(), bytes, sizeof(bytes))) > 0) {
      text_.append(bytes, static_cast<size_t>(n));
    }
    return text_;
  }
  bool WaitForOutput(const std::string& what) {
    for (int i = 0; i < 1000; ++i) {
      if (Text().find(what) != std::string::npos) {
        return true;
      }
      usleep(5000);
    }
    return false;
  }
  // Its exit code; -1 where it does not end in ten seconds or by a signal.
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
  FileDescriptor err_;
  std::string text_;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_GATEWAY_CHILD_PROCESS_H_
