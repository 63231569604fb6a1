// All connections of clients to one gateway: which are idle, and which of them close to make room.
#ifndef PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTIONS_H_
#define PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTIONS_H_

#include <cstddef>
#include <list>
#include <memory>

#include "base/time.h"
#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "event/socket.h"
#include "gateway/downstream_connection.h"
#include "gateway/lifecycle.h"
#include "gateway/request_listener.h"

namespace paddlestile {

// Owns the connections. A connection is in at most one idle list: in that of the unused ones until
// its first byte, in that of the idle ones between two requests, in that of the lingering ones
// after its last response, in none during a request.
class DownstreamConnections {
 public:
  // All arguments must outlive the connections' events.
  DownstreamConnections(EventLoop& loop, const DescriptorBudget& budget, const Lifecycle& lifecycle,
                        RequestListener* listener);
  DownstreamConnections(const DownstreamConnections&) = delete;
  DownstreamConnections& operator=(const DownstreamConnections&) = delete;
  // Closes all connections, without a report to the listener.
  ~DownstreamConnections();

  // Takes an accepted connection. It closes at once where the kernel does not watch it.
  void Add(Socket socket);
  // Closes the connection; no effect where its stream is closed already.
  void Close(DownstreamConnection& connection);
  // Forgets a connection; its stream may be closed already.
  void Remove(DownstreamConnection& connection);

  // ---- Idle connections.
  void MarkUnused(DownstreamConnection& connection);  // no byte has come yet
  void MarkIdle(DownstreamConnection& connection);    // between two requests
  // The last response is with the kernel, and the client has sent all that it will.
  void MarkLingering(DownstreamConnection& connection);
  void MarkActive(DownstreamConnection& connection);  // a request has begun
  // Closes a lingering connection, else the oldest one that is unused for some time, else the
  // longest idle one; false where there is none.
  bool CloseOneIdle();
  // Closes idle connections while more than their share of the descriptors is kept open.
  void CloseIdleBeyondShare();
  // Closes all that idle. Without `including_new`, unused ones whose first request may be under way
  // stay.
  void CloseAllIdle(bool including_new);
  // Closes all that have no request or response in progress.
  void CloseAllWithoutWork();

  // ---- Request bodies past kMaxBufferedBodyBytes. Buffered, such a request can be retried.
  // Reserves memory for one; false where it is too large or too much is reserved already.
  bool ReserveBodyBuffer(size_t bytes);
  void ReleaseBodyBuffer(size_t bytes) { reserved_body_bytes_ -= bytes; }

  // Whether each connection is to close after its present response.
  [[nodiscard]] bool draining() const { return draining_; }
  void set_draining(bool draining) { draining_ = draining; }

  [[nodiscard]] size_t size() const { return connections_.size(); }
  [[nodiscard]] bool empty() const { return connections_.empty(); }
  [[nodiscard]] const Lifecycle& lifecycle() const { return lifecycle_; }
  [[nodiscard]] RequestListener& listener() { return *listener_; }

 private:
  void AddToIdleList(DownstreamConnection& connection, std::list<DownstreamConnection*>& list);
  // Closes the first of the list that was opened by then and has nothing unread.
  bool CloseOneOf(std::list<DownstreamConnection*>& list, Time opened_by);

  EventLoop& loop_;
  const DescriptorBudget& budget_;
  const Lifecycle& lifecycle_;
  RequestListener* listener_;
  std::list<std::shared_ptr<DownstreamConnection>> connections_;
  std::list<DownstreamConnection*> unused_;     // oldest first
  std::list<DownstreamConnection*> idle_;       // longest idle first
  std::list<DownstreamConnection*> lingering_;  // longest first
  bool draining_ = false;
  size_t reserved_body_bytes_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_DOWNSTREAM_CONNECTIONS_H_
