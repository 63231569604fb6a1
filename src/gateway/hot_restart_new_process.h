// The new process of a hot restart: asks the running one for its place, until that one has ended.
// hot_restart.h has the steps of both.
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

namespace paddlestile {

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
  // `on_old_ended` runs where the old process is told to end, and where it has ended: nobody else
  // accepts connections for long.
  void set_on_old_ended(std::function<void()> on_old_ended) {
    on_old_ended_ = std::move(on_old_ended);
  }
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
  std::function<void()> on_revoked_, on_old_ended_;
  Time reported_at_;           // when the old process last told what it holds
  bool is_monitored_ = false;  // the old process wants answers
  bool is_asked_ = false;      // since the last answer
  bool is_revoked_ = false;
  bool old_is_ending_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_NEW_PROCESS_H_
