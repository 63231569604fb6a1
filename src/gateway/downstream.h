// The downstream side of the gateway: listens, accepts client connections, and drains them on
// shutdown.
#ifndef PADDLESTILE_GATEWAY_DOWNSTREAM_H_
#define PADDLESTILE_GATEWAY_DOWNSTREAM_H_

#include <cstddef>
#include <functional>
#include <utility>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "gateway/connection_acceptor.h"
#include "gateway/downstream_connections.h"
#include "gateway/lifecycle.h"
#include "gateway/request_listener.h"
#include "gateway/request_parsing.h"
#include "gateway/response_head.h"

namespace paddlestile {

class Downstream final : private ConnectionAcceptor::Owner {
 public:
  class Listener : public RequestListener {
   public:
    // Called when no file descriptor is left; returns true if one was freed.
    virtual bool OnDescriptorsExhausted() = 0;
    // Called repeatedly while this process shuts down or a new process serves the address: closes
    // idle upstream connections that no client of this process needs.
    virtual void TrimIdleUpstream() {}

   protected:
    ~Listener() = default;
  };

  // Starts listening, on `inherited` if it is a listening socket; throws std::system_error.
  // `lifecycle` determines when connections are accepted and drained. `shared`: another process may
  // listen on the same address. The references and `listener` must outlive this object.
  Downstream(EventLoop& loop, DescriptorBudget& budget, const Address& listen,
             const Lifecycle& lifecycle, Listener* listener,
             FileDescriptor inherited = FileDescriptor(), bool shared = false);
  // Closes all connections without calling the listener.
  ~Downstream();
  Downstream(const Downstream&) = delete;
  Downstream& operator=(const Downstream&) = delete;

  // To be called after each lifecycle change. While draining, each connection closes after its
  // current response, and idle connections close after a delay.
  void OnLifecycleChanged();
  // Lets the drain end with a shutdown of this side; to be called before or during the drain. After
  // `timeout` it waits only for connections with a request or response in progress. `done` runs
  // once no connection is left and none has arrived for a while.
  void Shutdown(Duration timeout, std::function<void()> done);

  // The listening socket, which another process may inherit; -1 after the shutdown.
  [[nodiscard]] int listening_socket() const { return acceptor_.listening_socket(); }

  // Sets how long a connection may wait in the accept queue before it is refused, and the
  // Retry-After value of refusals by this side (0 omits the header).
  void SetMaxAcceptWait(Duration max_wait, Duration retry_after) {
    acceptor_.SetMaxWait(max_wait, retry_after);
    connections_.set_retry_after(retry_after);
  }
  // Takes the memory for requests that are being received or wait for a response from `pool`.
  void ShareMemory(const std::shared_ptr<MemoryPool>& pool, size_t guaranteed_bytes) {
    connections_.ShareMemory(pool, guaranteed_bytes);
  }
  [[nodiscard]] Duration max_accept_wait() const { return acceptor_.max_wait(); }
  // Refuses connections that the new process of a hot restart should accept, because it does not
  // answer.
  void RefuseForNewProcess() { acceptor_.RefusePending(AcceptBlock::kNewProcessHangs); }
  // To be called when the new process answers again.
  void StopRefusingForNewProcess() { acceptor_.StopRefusingPending(); }

  // Closes an idle connection, preferably one whose exchange is complete, then one that was never
  // used, then the longest idle one. Returns false if there is none.
  bool CloseOneIdle() override { return connections_.CloseOneIdle(); }

  [[nodiscard]] size_t connection_count() const override { return connections_.size(); }
  // The listening address. If port 0 was requested, it has the port that the kernel assigned.
  [[nodiscard]] const Address& address() const { return acceptor_.address(); }

 private:
  // ConnectionAcceptor::Owner.
  void OnAccepted(Socket socket) override { connections_.Add(std::move(socket)); }
  bool OnDescriptorsExhausted() override { return listener_->OnDescriptorsExhausted(); }

  // One step of the drain; schedules the next one.
  void DrainStep();
  // Whether, as far as this process can tell, no connection is waiting in the accept queue.
  [[nodiscard]] bool IsAcceptQueueQuiet(Time now) const;

  EventLoop& loop_;
  const Lifecycle& lifecycle_;
  Listener* listener_;
  DownstreamConnections connections_;
  ConnectionAcceptor acceptor_;
  EventLoop::TimerId drain_timer_;
  bool shared_;  // another process may listen on the same address
  Time drain_started_at_{0};
  Time shutdown_deadline_{0};         // valid if on_drained_ is set
  std::function<void()> on_drained_;  // set by Shutdown
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_DOWNSTREAM_H_
