// The old process of a hot restart: waits for a new one, gives it its place, and takes that back
// where the new one fails. hot_restart.h has the steps of both.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_OLD_PROCESS_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_OLD_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "gateway/downstream.h"
#include "gateway/lifecycle.h"

namespace paddlestile {

// The old process' side: waits at `path` for a new process. Without effect where the socket cannot
// be made.
class OldProcess {
 public:
  // All references must outlive it. An empty `path`: without effect.
  OldProcess(EventLoop& loop, std::string path, Lifecycle& lifecycle, Downstream& downstream,
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
  // Of the budget that both processes share: what this one has open, and may open yet.
  [[nodiscard]] size_t DescriptorsHeld() const;
  void ReportDescriptorsHeld();

  EventLoop& loop_;
  std::string path_;
  Lifecycle& lifecycle_;
  Downstream& downstream_;
  DescriptorBudget& budget_;
  std::function<std::string()> export_learned_state_;
  std::unique_ptr<Acceptor> acceptor_;  // null: without effect
  uint64_t inode_ = 0;                  // of the socket's file, which a newer process may replace
  std::shared_ptr<Channel> channel_;    // to the new process; null: none
  EventLoop::TimerId report_timer_, accept_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_OLD_PROCESS_H_
