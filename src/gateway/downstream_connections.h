// All client connections of one gateway: tracks which are idle and selects those to close when
// descriptors run out.
#ifndef PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTIONS_H_
#define PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTIONS_H_

#include <cstddef>
#include <list>
#include <memory>
#include <optional>

#include "base/time.h"
#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "event/memory_budget.h"
#include "event/memory_pool.h"
#include "event/socket.h"
#include "gateway/downstream_connection.h"
#include "gateway/lifecycle.h"
#include "gateway/request_listener.h"

namespace paddlestile {

// Owns the connections. A connection is in at most one of the idle lists: unused (no byte received
// yet), idle (between two requests) or lingering (after its last response). During a request it is
// in none.
class DownstreamConnections {
 public:
  // All arguments must outlive the connections' events.
  DownstreamConnections(EventLoop& loop, const DescriptorBudget& budget, const Lifecycle& lifecycle,
                        RequestListener* listener);
  DownstreamConnections(const DownstreamConnections&) = delete;
  DownstreamConnections& operator=(const DownstreamConnections&) = delete;
  // Closes all connections without calling the listener.
  ~DownstreamConnections();

  // Adds an accepted connection; closes it if it cannot be added to epoll.
  void Add(Socket socket);
  // Closes the connection; no effect if its stream is already closed.
  void Close(DownstreamConnection& connection);
  // Shuts down and removes the connection, whose stream may already be closed.
  void Remove(DownstreamConnection& connection);

  // ---- Idle connections.
  void MarkUnused(DownstreamConnection& connection);  // no byte has been received yet
  void MarkIdle(DownstreamConnection& connection);    // between two requests
  // The last response is in the kernel's send buffer, and the client will send nothing more.
  void MarkLingering(DownstreamConnection& connection);
  void MarkActive(DownstreamConnection& connection);  // a request has started
  // Closes a lingering connection, else the oldest unused one past its grace period, else the
  // longest idle one. Returns false if there is none.
  bool CloseOneIdle();
  // Closes idle connections while more than their share of the descriptors is open.
  void CloseIdleBeyondShare();
  // Closes all unused and idle connections. Without `include_new`, keeps unused ones whose first
  // request may be in transit.
  void CloseAllIdle(bool include_new);
  // Closes all connections without a request or response in progress.
  void CloseAllWithoutUnfinishedWork();

  // ---- Memory of requests, from the first byte until the last attempt has ended.
  // Takes the memory from `pool`. The guaranteed part is not available to bodies larger than
  // kMaxBufferedBodyBytes.
  void ShareMemory(const std::shared_ptr<MemoryPool>& pool, size_t guaranteed_bytes);
  // The budget of requests that are not buffered by ReserveBodyBuffer.
  [[nodiscard]] MemoryBudget& request_budget() { return request_budget_; }
  // Reserves memory to buffer one body larger than kMaxBufferedBodyBytes, so that its request can
  // be retried. Returns nullopt if the body is too large or too much is already reserved.
  std::optional<MemoryBudget::Reservation> ReserveBodyBuffer(size_t bytes);
  // The Retry-After value of refusals; 0 omits the header.
  [[nodiscard]] Duration retry_after() const { return retry_after_; }
  void set_retry_after(Duration retry_after) { retry_after_ = retry_after; }

  // Whether each connection closes after the requests that have been read from it.
  [[nodiscard]] bool draining() const { return draining_; }
  void set_draining(bool draining);
  // Whether requests are read while an earlier one on their connection is in progress. Not for the
  // whole drain: later ones could not be answered before the end of the process.
  [[nodiscard]] bool reads_ahead() const { return reads_ahead_; }
  void StopReadingAhead();

  [[nodiscard]] size_t size() const { return connections_.size(); }
  [[nodiscard]] bool empty() const { return connections_.empty(); }
  [[nodiscard]] const Lifecycle& lifecycle() const { return lifecycle_; }
  [[nodiscard]] RequestListener& listener() { return *listener_; }

 private:
  void AddToIdleList(DownstreamConnection& connection, std::list<DownstreamConnection*>& list);
  // Closes the first connection of `list` that was opened at or before `opened_before` and has
  // nothing unread; returns false if there is none.
  bool CloseFirstIdle(std::list<DownstreamConnection*>& list, Time opened_before);

  EventLoop& loop_;
  const DescriptorBudget& budget_;
  const Lifecycle& lifecycle_;
  RequestListener* listener_;
  std::list<std::shared_ptr<DownstreamConnection>> connections_;
  std::list<DownstreamConnection*> unused_;     // oldest first
  std::list<DownstreamConnection*> idle_;       // longest idle first
  std::list<DownstreamConnection*> lingering_;  // longest lingering first
  bool draining_ = false;
  bool reads_ahead_ = true;
  MemoryBudget request_budget_;
  MemoryBudget large_body_budget_;
  Duration retry_after_{0};
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTIONS_H_
