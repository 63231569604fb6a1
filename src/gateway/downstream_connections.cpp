#include "gateway/downstream_connections.h"

#include <chrono>
#include <iterator>
#include <utility>

#include "base/metrics.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

// An unused connection's first request may be this far behind its connect. A new connection waits
// in the kernel's queue meanwhile, and an attempt upstream is not made: both can wait or be
// refused, while a request that is on its way to a connection would be lost with it.
constexpr Duration kUnusedGrace = milliseconds(200);
// Of all descriptors, for connections in use or idle. Clients limit how many they keep open to us:
// at that limit they send nothing more, while the gateway idles.
constexpr double kKeptOpenShare = 0.25;
constexpr size_t kMaxReservedBodyBytes = 6U << 20;  // all large bodies together
constexpr size_t kMaxReservedBytesEach = 1U << 20;

}  // namespace

DownstreamConnections::DownstreamConnections(EventLoop& loop, const DescriptorBudget& budget,
                                             const Lifecycle& lifecycle, RequestListener* listener)
    : loop_(loop), budget_(budget), lifecycle_(lifecycle), listener_(listener) {}

DownstreamConnections::~DownstreamConnections() {
  for (const auto& connection : connections_) {
    connection->stream().Close();
  }
}

void DownstreamConnections::Add(Socket socket) {
  connections_.push_back(std::make_shared<DownstreamConnection>(loop_, *this, std::move(socket)));
  DownstreamConnection& connection = *connections_.back();
  connection.registration().position = std::prev(connections_.end());
  if (!connection.Start()) {
    Close(connection);
  }
}

void DownstreamConnections::Close(DownstreamConnection& connection) {
  if (!connection.stream().closed()) {
    Remove(connection);
  }
}

void DownstreamConnections::Remove(DownstreamConnection& connection) {
  connection.Shutdown();
  ++GlobalCounters().downstream_connections_closed;
  const auto position = connection.registration().position;
  // A handler of this connection may be running: its memory is freed after that has returned.
  loop_.RunDeferred([kept = *position] {});
  connections_.erase(position);
}

void DownstreamConnections::AddToIdleList(DownstreamConnection& connection,
                                          std::list<DownstreamConnection*>& list) {
  DownstreamConnection::Registration& registration = connection.registration();
  if (registration.idle_list != nullptr) {
    return;
  }
  registration.idle_list = &list;
  registration.idle_position = list.insert(list.end(), &connection);
}

void DownstreamConnections::MarkUnused(DownstreamConnection& connection) {
  AddToIdleList(connection, unused_);
}

void DownstreamConnections::MarkIdle(DownstreamConnection& connection) {
  AddToIdleList(connection, idle_);
}

void DownstreamConnections::MarkLingering(DownstreamConnection& connection) {
  AddToIdleList(connection, lingering_);
}

void DownstreamConnections::MarkActive(DownstreamConnection& connection) {
  DownstreamConnection::Registration& registration = connection.registration();
  if (registration.idle_list != nullptr) {
    registration.idle_list->erase(registration.idle_position);
  }
  registration.idle_list = nullptr;
}

bool DownstreamConnections::CloseOneIdle() {
  const Time now = loop_.Now();
  return CloseOneOf(lingering_, now) || CloseOneOf(unused_, now - kUnusedGrace) ||
         CloseOneOf(idle_, now);
}

void DownstreamConnections::CloseIdleBeyondShare() {
  const double share = kKeptOpenShare * static_cast<double>(budget_.limit());
  while (static_cast<double>(connections_.size() - unused_.size()) > share) {
    if (!CloseOneOf(idle_, loop_.Now())) {
      return;
    }
  }
}

bool DownstreamConnections::CloseOneOf(std::list<DownstreamConnection*>& list, Time opened_by) {
  for (DownstreamConnection* const connection : list) {
    if (connection->opened_at() > opened_by) {
      return false;
    }
    // A request may have come that was not read yet: it is served.
    if (!connection->stream().IsIdle()) {
      continue;
    }
    ++GlobalCounters().downstream_connections_reclaimed;
    Close(*connection);
    return true;
  }
  return false;
}

void DownstreamConnections::CloseAllIdle(bool including_new) {
  const Time now = loop_.Now();
  for (auto* const list : {&unused_, &idle_}) {
    for (auto next = list->begin(); next != list->end();) {
      DownstreamConnection* const connection = *next++;
      const bool is_new = list == &unused_ && now - connection->opened_at() < kUnusedGrace;
      if (is_new && !including_new) {
        break;
      }
      if (connection->stream().IsIdle()) {
        Close(*connection);
      }
    }
  }
}

void DownstreamConnections::CloseAllWithoutWork() {
  for (auto next = connections_.begin(); next != connections_.end();) {
    DownstreamConnection& connection = **next++;
    if (!connection.HasUnfinishedWork()) {
      Close(connection);
    }
  }
}

bool DownstreamConnections::ReserveBodyBuffer(size_t bytes) {
  if (bytes > kMaxReservedBytesEach || reserved_body_bytes_ + bytes > kMaxReservedBodyBytes) {
    return false;
  }
  reserved_body_bytes_ += bytes;
  return true;
}

}  // namespace paddlestile
