// Accepts client connections within the descriptor budget and bounds the time that a connection
// waits in the kernel's accept queue.
#ifndef PADDLESTILE_GATEWAY_CONNECTION_ACCEPTOR_H_
#define PADDLESTILE_GATEWAY_CONNECTION_ACCEPTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "base/time.h"
#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "event/socket.h"
#include "gateway/connection_refuser.h"
#include "gateway/lifecycle.h"
#include "gateway/listening_socket.h"

namespace paddlestile {

// Why connections cannot be accepted and wait in the accept queue.
enum class AcceptBlock {
  kClientShare,     // clients use their share of the budget, with no idle connection left
  kNoDescriptor,    // the budget is exhausted
  kProcessLimit,    // the process is at its limit, although the budget is not
  kNewProcessHangs  // after a hot restart the new process should accept, but does not answer
};
// Text for log lines.
std::string_view ToText(AcceptBlock block);

// While connections cannot be accepted (a "block", see AcceptBlock), it retries at intervals and
// refuses connections that have waited in the accept queue for the maximum wait.
class ConnectionAcceptor {
 public:
  class Owner {
   public:
    // Takes an accepted connection. The budget already counts its socket.
    virtual void OnAccepted(Socket socket) = 0;
    [[nodiscard]] virtual size_t connection_count() const = 0;
    // Closes an idle client connection; returns false if there is none.
    virtual bool CloseOneIdle() = 0;
    // Called when no file descriptor is left; returns true if one was freed.
    virtual bool OnDescriptorsExhausted() = 0;

   protected:
    ~Owner() = default;
  };

  // Starts listening, on `inherited` if it is a listening socket; throws std::system_error.
  // `shared`: another process may listen on the same address. The references must outlive this
  // object.
  ConnectionAcceptor(EventLoop& loop, DescriptorBudget& budget, const Address& listen,
                     const Lifecycle& lifecycle, Owner& owner, FileDescriptor inherited,
                     bool shared);
  ConnectionAcceptor(const ConnectionAcceptor&) = delete;
  ConnectionAcceptor& operator=(const ConnectionAcceptor&) = delete;
  ~ConnectionAcceptor();

  // `max_wait`: how long a connection may wait in the accept queue while no descriptor is
  // available. `retry_after`: the Retry-After value of refusals; 0 omits the header.
  void SetMaxWait(Duration max_wait, Duration retry_after);
  [[nodiscard]] Duration max_wait() const { return max_wait_; }

  // Accepts pending connections if the lifecycle lets this process accept.
  void AcceptPending();
  // Refuses pending connections that another process should accept but does not. `block` is the
  // reason to log and count.
  void RefusePending(AcceptBlock block);
  // To be called when the other process accepts again.
  void StopRefusingPending() { refusing_for_new_process_ = false; }
  // To be called after each lifecycle change; throws std::system_error.
  void OnLifecycleChanged();
  // Closes the listening socket. The kernel resets pending connections.
  void StopListening() { listening_socket_.reset(); }

  // -1 after StopListening.
  [[nodiscard]] int listening_socket() const;
  // The listening address. If port 0 was requested, it has the port that the kernel assigned.
  [[nodiscard]] const Address& address() const { return address_; }
  // Whether no accept is scheduled for later and no connection is being refused.
  [[nodiscard]] bool idle() const;
  [[nodiscard]] bool refusing() const { return !refuser_.idle(); }
  [[nodiscard]] Time last_accept_at() const { return last_accept_at_; }

 private:
  enum class AcceptResult {
    kContinue,      // a connection was accepted, or the next accept may be tried at once
    kQueueEmpty,    // no connection is pending
    kNoDescriptor,  // must be retried later; block_ has the reason
  };
  AcceptResult AcceptOne();
  // Reserves a descriptor and returns kContinue. If none is free and a connection is pending,
  // closes an idle connection for it.
  AcceptResult AcquireDescriptor();
  // Sets block_ and returns kNoDescriptor.
  AcceptResult BlockedBy(AcceptBlock block);
  // Refuses connections that have waited for at least `min_wait`. Returns kQueueEmpty if no
  // connection is left in the queue.
  AcceptResult RefusePendingOlderThan(Duration min_wait);
  void OnBlocked();
  void EndBlock();
  void OnRefuserCapacity();
  [[nodiscard]] bool IsConnectionPending() const;

  // The kernel does not report when a queued connection arrived, so arrival times are estimated:
  // connections are numbered in queue order from the start of the block, and samples of the queue
  // length show by when each one had arrived.
  void SampleQueueLength();
  // Estimated wait of the first connection in the queue.
  [[nodiscard]] Duration OldestPendingWait();
  // Records that the first connection was removed from the queue.
  void OnDequeued();
  void ResumeAfterRound();
  void RetryLater();

  EventLoop& loop_;
  DescriptorBudget& budget_;
  const Lifecycle& lifecycle_;
  Owner& owner_;
  std::unique_ptr<ListeningSocket> listening_socket_;  // null after StopListening
  Address address_;
  ConnectionRefuser refuser_;
  Duration max_wait_;
  EventLoop::TimerId retry_timer_;
  bool accept_scheduled_ = false;  // AcceptPending is scheduled for after this round
  Time last_accept_at_{0};
  struct QueueSample {
    Time at{0};
    uint64_t arrived = 0;  // since the start of the block, including dequeued ones
  };
  // Start of the current block; nullopt if there is none.
  std::optional<Time> blocked_since_;
  uint64_t dequeued_in_block_ = 0;
  bool queue_length_known_ = false;
  std::deque<QueueSample> queue_samples_;  // of connections that arrived after blocked_since_
  AcceptBlock block_ = AcceptBlock::kNoDescriptor;
  size_t refused_in_block_ = 0;
  bool refusing_for_new_process_ = false;  // RefusePending has not emptied the queue yet
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CONNECTION_ACCEPTOR_H_
