// Hot restart: a new process takes over from the running one without losing a connection. The
// listening socket goes from process to process over a Unix socket in $TMPDIR; the connections in
// its queue stay. hot_restart_protocol.h has the lines.
//
//   step | old process                             | new process
//   -----+-----------------------------------------+------------------------------------------
//   1    | serves                                  | RequestHotRestart
//   2    | passes listening socket, learned state  | starts its gateway, accepts nothing
//   3    | serves                                  | ReportReady, then accepts
//   4    | accepts no more, ends what is open      | serves
//   5    | ends; its channel closes                | has all of the descriptor budget
//
// Where the new process vanishes, the old one accepts again.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "gateway/downstream.h"
#include "gateway/lifecycle.h"

namespace paddlestile {

// The socket of the process that listens at `listen`; empty where `tmpdir`, the value of $TMPDIR,
// is null or not absolute.
std::string HotRestartSocketPath(const char* tmpdir, const Address& listen);

// What a new process was given. All empty where there is no old process.
struct HotRestartState {
  FileDescriptor listening_socket;
  FileDescriptor channel;       // to the old process
  size_t descriptors_held = 0;  // of the shared budget, by the old process
  std::string learned_state;    // as text; empty: none
};

// Asks the process at `path` to hand over. Blocks, half a second at most for each read. Returns an
// empty state where `path` is empty, or no process listens there or gives a valid reply. Throws
// std::runtime_error where another new process has asked before.
HotRestartState RequestHotRestart(const std::string& path, const Address& listen);

// The same over a channel that is connected to the running process. Nothing where there is no valid
// reply.
std::optional<HotRestartState> RequestHotRestartOver(FileDescriptor channel, const Address& listen);

// The new process' side, until the old process ends.
class NewProcess final : public Stream::Listener {
 public:
  // `loop` and `budget` must outlive it.
  NewProcess(EventLoop& loop, HotRestartState state, DescriptorBudget& budget);
  // To be called once this process can serve.
  void ReportReady();

 private:
  void OnData() override;
  void OnError() override;

  DescriptorBudget& budget_;
  Stream stream_;
};

// The old process' side: waits at `path` for a new process. Without effect where the socket cannot
// be made.
class OldProcess {
 public:
  // All references must outlive it. An empty `path`: without effect.
  OldProcess(EventLoop& loop, std::string path, Lifecycle& lifecycle, const Downstream& downstream,
             DescriptorBudget& budget, std::function<std::string()> export_learned_state);
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
  std::unique_ptr<Acceptor> acceptor_;  // null: without effect
  uint64_t inode_ = 0;                  // of the socket's file, which a newer process may replace
  std::shared_ptr<Channel> channel_;    // to the new process; null: none
  EventLoop::TimerId report_timer_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_H_
