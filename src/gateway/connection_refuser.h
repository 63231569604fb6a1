// Refuses connections for which the gateway has no descriptor: accepts them on reserved
// descriptors, reads the request head, responds 503 with Retry-After, and closes them.
#ifndef PADDLESTILE_GATEWAY_CONNECTION_REFUSER_H_
#define PADDLESTILE_GATEWAY_CONNECTION_REFUSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "base/file_descriptor.h"
#include "base/metrics.h"
#include "base/time.h"
#include "event/event_loop.h"
#include "gateway/lifecycle.h"

namespace paddlestile {

// Always holds kMaxConnections descriptors: one for each connection that is being refused, and
// placeholders for the rest. This lets it accept while the process is at its descriptor limit.
class ConnectionRefuser {
 public:
  // Maximum number of simultaneous connections. Their descriptors are part of
  // DescriptorBudget::kReserve.
  static constexpr size_t kMaxConnections = 6;

  enum class Result {
    kAccepted,    // a connection was removed from the queue
    kQueueEmpty,  // no connection is pending
    kNoCapacity,  // must be retried when `on_capacity` runs
  };

  // `on_capacity` runs at the end of an event loop round in which connections have closed. The
  // references must outlive this object.
  ConnectionRefuser(EventLoop& loop, const Lifecycle& lifecycle, std::function<void()> on_capacity);
  ConnectionRefuser(const ConnectionRefuser&) = delete;
  ConnectionRefuser& operator=(const ConnectionRefuser&) = delete;
  // Closes all connections.
  ~ConnectionRefuser();

  // The Retry-After value of the responses; 0 omits the header.
  void set_retry_after(Duration retry_after) { retry_after_ = retry_after; }

  // Accepts the next connection from `listening_socket` and refuses it; `counter` counts it once
  // its request head has been read. If all descriptors are in use, closes a connection that has had
  // its minimum time.
  Result RefuseNext(int listening_socket, uint64_t Counters::*counter);

  // Whether no connection is being refused.
  [[nodiscard]] bool idle() const { return connections_.empty(); }

 private:
  class Connection;
  // Opens placeholders for all descriptors that are not in use.
  void OpenPlaceholders();
  // Ensures that a placeholder is available, if necessary by closing the oldest connection that has
  // had its minimum time and has no unread bytes. Returns false if none can be made available.
  bool EnsurePlaceholder();
  void Add(FileDescriptor fd, uint64_t Counters::*counter);
  void Close(Connection& connection);
  void ReportCapacityAfterRound();

  EventLoop& loop_;
  const Lifecycle& lifecycle_;
  std::function<void()> on_capacity_;
  Duration retry_after_{0};
  std::vector<FileDescriptor> placeholders_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
  bool capacity_report_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CONNECTION_REFUSER_H_
