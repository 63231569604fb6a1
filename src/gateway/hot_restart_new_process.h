// The new process of a hot restart: takes over from the running process, and communicates with it
// until that one has exited. hot_restart.h describes the steps of both processes.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_NEW_PROCESS_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_NEW_PROCESS_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "base/address.h"
#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "gateway/hot_restart_request_ids.h"

namespace paddlestile {

// What the new process received from the old one. All fields are empty if there is no old process.
struct HotRestartState {
  FileDescriptor listening_socket;
  FileDescriptor channel;       // connected to the old process
  size_t descriptors_held = 0;  // descriptors of the shared budget that the old process holds
  std::string learned_state;    // encoded by EncodeLearnedState; empty if there is none
};

// Requests the listening socket and the learned state from the process whose Unix socket is at
// `path`. Blocks for up to three seconds until a reply begins: if the process does not reply, the
// process that it took over from may replace its Unix socket meanwhile. Returns an empty state if
// `path` is empty, if no process listens there, or if no valid reply arrives. Throws
// std::runtime_error if another new process is already taking over.
HotRestartState RequestHotRestart(const std::string& path, const Address& listen);

// Like RequestHotRestart, over a channel that is already connected to the running process. Returns
// nullopt if no valid reply arrives.
std::optional<HotRestartState> RequestHotRestartOver(FileDescriptor channel, const Address& listen);

// The new process's end of the channel, used until the old process exits.
class NewProcess final : public Stream::Listener {
 public:
  // `loop` and `budget` must outlive this object.
  NewProcess(EventLoop& loop, HotRestartState state, DescriptorBudget& budget);
  // `on_revoked` runs if the old process serves again because this process did not answer.
  void set_on_revoked(std::function<void()> on_revoked) { on_revoked_ = std::move(on_revoked); }
  // `on_request_taken` runs for each id of a request that the old process has admitted.
  void set_on_request_taken(std::function<void(const std::string& id)> on_request_taken) {
    on_request_taken_ = std::move(on_request_taken);
  }
  // `on_old_ended` runs when the old process reports that it was told to exit, and again when it
  // has exited: from then on only this process can accept connections.
  void set_on_old_ended(std::function<void()> on_old_ended) {
    on_old_ended_ = std::move(on_old_ended);
  }
  // Must be called for each request that this process admits, or a process that takes over from it,
  // so that the old process does not admit its id again.
  void ReportRequest(const std::string& id) { id_sender_.Send(id); }
  // Must be called when a third process has taken over from this one, and when this one serves
  // again in its place.
  void ReportReplaced(bool replaced);
  // Must be called once this process can serve.
  void ReportReady();
  // Must be called when this process is told to exit while it serves. Returns true if the old
  // process serves again. Returns false if it cannot: its last report is too old, it is exiting
  // too, or its version does not support this.
  bool HandBack();

 private:
  void OnData() override;
  void OnWriteComplete() override { id_sender_.OnWriteComplete(); }
  void OnError() override;
  void OnLine(const std::string& line);

  EventLoop& loop_;
  DescriptorBudget& budget_;
  Stream stream_;
  hot_restart::RequestIdSender id_sender_;
  std::function<void()> on_revoked_, on_old_ended_;
  std::function<void(const std::string&)> on_request_taken_;
  Time reported_at_;           // time of the old process's last `holds` line
  bool is_monitored_ = false;  // the old process expects answers to its reports
  bool needs_answer_ = false;  // a report has arrived since the last answer
  bool is_revoked_ = false;
  bool old_is_ending_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_NEW_PROCESS_H_
