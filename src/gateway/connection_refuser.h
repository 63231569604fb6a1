// Refuses connections that the gateway has no descriptor for: accepts them on descriptors that are
// kept for this, reads the head of the request, responds 503 with when to come back, and closes.
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

// Holds kMaxConnections descriptors at any time: those of the connections that it refuses, and
// placeholders for the rest. So it can accept where the process has no descriptor left.
class ConnectionRefuser {
 public:
  // At once. A part of DescriptorBudget::kReserve.
  static constexpr size_t kMaxConnections = 6;

  enum class Result {
    kAccepted,    // one was taken from the queue
    kQueueEmpty,  // no connection is pending
    kNoRoom,      // to be tried again when the room callback runs
  };

  // `on_room` runs, after the round, when connections have ended. The references must outlive this
  // object.
  ConnectionRefuser(EventLoop& loop, const Lifecycle& lifecycle, std::function<void()> on_room);
  ConnectionRefuser(const ConnectionRefuser&) = delete;
  ConnectionRefuser& operator=(const ConnectionRefuser&) = delete;
  // Closes all connections.
  ~ConnectionRefuser();

  // What the responses tell clients to wait; 0: nothing.
  void set_retry_after(Duration retry_after) { retry_after_ = retry_after; }

  // Accepts the next connection of a listening socket, and refuses it, counted by `counter`. Where
  // all descriptors are in use, a connection that has had its least time closes for it.
  Result RefuseNext(int listening_socket, uint64_t Counters::*counter);

  // No connection is being refused.
  [[nodiscard]] bool idle() const { return connections_.empty(); }

 private:
  class Connection;
  // Opens placeholders for descriptors that are free.
  void Refill();
  // Closes the longest open connection that has had its least time and has nothing unread, where no
  // descriptor is free; false where there is none.
  bool MakeRoom();
  void Add(FileDescriptor fd, uint64_t Counters::*counter);
  void Close(Connection& connection);
  void ReportRoomAfterRound();

  EventLoop& loop_;
  const Lifecycle& lifecycle_;
  std::function<void()> on_room_;
  Duration retry_after_{0};
  std::vector<FileDescriptor> placeholders_;
  std::list<std::shared_ptr<Connection>> connections_;  // longest open first
  bool room_report_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this, for tasks
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CONNECTION_REFUSER_H_
