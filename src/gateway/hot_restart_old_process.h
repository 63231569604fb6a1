// The old process of a hot restart: waits for a new process, hands over to it, and serves again if
// the new process fails. hot_restart.h describes the steps of both processes.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_OLD_PROCESS_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_OLD_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "gateway/downstream.h"
#include "gateway/lifecycle.h"

namespace paddlestile {

// Listens on the Unix socket at `path` for a new process. Does nothing if `path` is empty or the
// socket cannot be created.
class OldProcess {
 public:
  // What the processes learn from each other.
  struct Exchange {
    std::function<std::string()> learned_state;
    std::function<std::vector<std::string>()> recent_request_ids;
    // Called with the id of each request that the new process has admitted.
    std::function<void(const std::string& id)> add_request_id;
    // Called when the new process serves, and when this process serves again.
    std::function<void(bool replaced)> on_replaced;
  };
  // All references must outlive this object.
  OldProcess(EventLoop& loop, std::string path, Lifecycle& lifecycle, Downstream& downstream,
             DescriptorBudget& budget, Exchange exchange);
  ~OldProcess();
  // Must be called for each request that this process admits, or the process from which it took
  // over, so that the new process does not admit its id again.
  void ReportRequest(const std::string& id);
  // Must be called when this process is told to exit, so that the new process does not hand back
  // to it.
  void ReportEnding();
  OldProcess(const OldProcess&) = delete;
  OldProcess& operator=(const OldProcess&) = delete;

 private:
  class Acceptor;
  class Channel;
  void Listen();
  void Accept();
  void OnNewProcessGone();
  // Serves again in place of a new process that does not answer. Sends it a notice, which it reads
  // when it runs again.
  void RevokeNewProcess();
  // Creates the Unix socket again if the file at `path_` is no longer this process's socket.
  void ReplaceOtherSocket();
  // Returns the descriptors of the shared budget that this process has open or may still open.
  [[nodiscard]] size_t DescriptorsHeld() const;
  // Sends the number of held descriptors to the new process, and repeats this periodically. Acts
  // on a new process that leaves too many reports unanswered.
  void ReportDescriptorsHeld();

  EventLoop& loop_;
  std::string path_;
  Lifecycle& lifecycle_;
  Downstream& downstream_;
  DescriptorBudget& budget_;
  Exchange exchange_;
  std::unique_ptr<Acceptor> acceptor_;  // null if this object does nothing
  uint64_t inode_ = 0;                  // of the socket file, which a newer process may replace
  std::shared_ptr<Channel> channel_;    // to the new process; null if there is none
  EventLoop::TimerId report_timer_, accept_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_OLD_PROCESS_H_
