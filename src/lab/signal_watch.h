// Delivers SIGINT and SIGTERM as events on the loop during its lifetime.
#ifndef PADDLESTILE_LAB_SIGNAL_WATCH_H_
#define PADDLESTILE_LAB_SIGNAL_WATCH_H_

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <functional>
#include <utility>

#include "event/event_loop.h"

namespace paddlestile::lab {

class SignalWatch final : public EventLoop::Handler {
 public:
  SignalWatch(EventLoop& loop, std::function<void()> on_signal)
      : loop_(loop), on_signal_(std::move(on_signal)) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    sigprocmask(SIG_BLOCK, &set, &previous_mask_);
    fd_ = FileDescriptor(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    loop_.Watch(fd_.get(), this, token_);
  }
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;
  virtual ~SignalWatch() {
    loop_.Unwatch(fd_.get(), token_);
    sigprocmask(SIG_SETMASK, &previous_mask_, nullptr);
  }
  void OnEvents(uint32_t) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
      on_signal_();
    }
  }

 private:
  EventLoop& loop_;
  std::function<void()> on_signal_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
  sigset_t previous_mask_{};
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SIGNAL_WATCH_H_
