// A new version takes over from the running one: the listening socket of the clients' address goes
// from process to process over a Unix socket in $TMPDIR, and no connection in its queue is lost.
//
//   new: paddlestile 1 take 10.0.0.4:5000      old: paddlestile 1 listen 180 7012   (with the
//   socket)
//                                                   7012 bytes: what it has learned, as JSON
//   new: ready                                 old: holds 164                  (again and again)
//
// `holds` is how many descriptors the old one keeps of the two's one budget; it is gone when its
// end closes. The old one stops to accept at `ready`, and takes up again where the new one
// vanishes.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "gateway/downstream.h"
#include "gateway/lifecycle.h"

namespace paddlestile {

// Where the process at `listen` can be asked; empty where $TMPDIR is not set.
std::string HotRestartSocketPath(const char* tmpdir, const Address& listen);

// What a new process was given.
struct HotRestartState {
  FileDescriptor listening_socket;  // none: nobody gave one
  FileDescriptor channel;
  size_t descriptors_held = 0;
  std::string learned_state;  // empty: none was told
};

// Asks at `path`, for half a second at most. Gives nothing where there is no one, or one that makes
// no sense or does not answer; throws std::runtime_error where another new process has asked.
HotRestartState RequestHotRestart(const std::string& path, const Address& listen);

// Of the new process, as long as the old one lives.
class NewProcess final : public Stream::Listener {
 public:
  NewProcess(EventLoop& loop, HotRestartState taken, DescriptorBudget& budget);
  // To be called once this process can serve.
  void ReportReady();

 private:
  void OnData() override;
  void OnError() override;

  DescriptorBudget& budget_;
  Stream stream_;
};

// Waits at `path` for a new process. Without a Unix socket it does nothing.
class OldProcess {
 public:
  // `know` gives what the module has learned.
  OldProcess(EventLoop& loop, std::string path, Lifecycle& life, const Downstream& clients,
             DescriptorBudget& budget, std::function<std::string()> know);
  ~OldProcess();
  OldProcess(const OldProcess&) = delete;
  OldProcess& operator=(const OldProcess&) = delete;

 private:
  class Acceptor;
  class Channel;
  void Accept();
  void OnNewProcessGone();
  void ReportDescriptorsHeld();

  EventLoop& loop_;
  std::string path_;
  Lifecycle& lifecycle_;
  const Downstream& downstream_;
  DescriptorBudget& budget_;
  std::function<std::string()> export_learned_state_;
  std::unique_ptr<Acceptor> acceptor_;
  uint64_t inode_ = 0;  // of the socket's file
  std::shared_ptr<Channel> channel_;
  EventLoop::TimerId tell_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_H_
