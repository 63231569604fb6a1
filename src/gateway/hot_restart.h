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
// Where the new process vanishes, or no longer answers once it was ready, the old one accepts again
// and waits for another new process. One that finds itself revoked drains and ends.
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

// Asks the process at `path` to hand over. Blocks, three seconds at most until a reply begins:
// where the process does not answer, the one that it took over from may replace it meanwhile.
// Returns an empty state where `path` is empty, or no process listens there or gives a valid reply.
// Throws std::runtime_error where another new process has asked before.
HotRestartState RequestHotRestart(const std::string& path, const Address& listen);

// The same over a channel that is connected to the running process. Nothing where there is no valid
// reply.
std::optional<HotRestartState> RequestHotRestartOver(FileDescriptor channel, const Address& listen);

// The new process' side, until the old process ends.
class NewProcess final : public Stream::Listener {
 public:
  // `loop` and `budget` must outlive it.
  NewProcess(EventLoop& loop, HotRestartState state, DescriptorBudget& budget);
  // `on_revoked` runs where the old process serves again because this one did not answer.
  void set_on_revoked(std::function<void()> on_revoked) { on_revoked_ = std::move(on_revoked); }
  // To be called once this process can serve.
  void ReportReady();
  // To be called when this process, which serves, is told to end: the old one serves again, if it
  // has reported of late and is not ending too. False where it does not.
  bool HandBack();

 private:
  void OnData() override;
  void OnError() override;
  void OnLine(const std::string& line);

  EventLoop& loop_;
  DescriptorBudget& budget_;
  Stream stream_;
  std::function<void()> on_revoked_;
  Time reported_at_;           // when the old process last told what it holds
  bool is_monitored_ = false;  // the old process wants answers
  bool is_asked_ = false;      // since the last answer
  bool is_revoked_ = false;
  bool old_is_ending_ = false;
};

// The old process' side: waits at `path` for a new process. Without effect where the socket cannot
// be made.
class OldProcess {
 public:
  // All references must outlive it. An empty `path`: without effect.
  OldProcess(EventLoop& loop, std::string path, Lifecycle& lifecycle, const Downstream& downstream,
             DescriptorBudget& budget, std::function<std::string()> export_learned_state);
  ~OldProcess();
  // To be called when this process is told to end: a new one does not hand back to it then.
  void ReportEnding();
  OldProcess(const OldProcess&) = delete;
  OldProcess& operator=(const OldProcess&) = delete;

 private:
  class Acceptor;
  class Channel;
  void Listen();
  void Accept();
  void OnNewProcessGone();
  // The new process does not answer: it is told so, for when it does, and its place is taken back.
  void RevokeNewProcess();
  // Listens anew where the file at `path_` is no longer this process' socket.
  void ReplaceOtherSocket();
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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_H_
