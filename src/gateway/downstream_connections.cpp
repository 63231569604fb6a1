#include "gateway/downstream_connections.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <utility>

#include "base/metrics.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

// The first request may arrive up to this long after its connect. Closing an unused connection
// earlier could lose a request in transit, whereas a new connection can wait in the accept queue
// and an upstream attempt can be skipped.
constexpr Duration kUnusedGracePeriod = milliseconds(200);
// Maximum share of the descriptor budget for connections that have carried a request. Clients limit
// how many connections they keep open to a gateway; at that limit they stop sending although the
// gateway is idle.
constexpr double kMaxOpenShare = 0.25;
constexpr size_t kMaxReservedBodyBytes = 6U << 20;  // for all large bodies together
constexpr size_t kLargeBodyDivisor = 3;             // they get this part of the pool at most
constexpr size_t kMaxReservedBytesPerBody = 1U << 20;

}  // namespace

DownstreamConnections::DownstreamConnections(EventLoop& loop, const DescriptorBudget& budget,
                                             const Lifecycle& lifecycle, RequestListener* listener)
    : loop_(loop),
      budget_(budget),
      lifecycle_(lifecycle),
      listener_(listener),
      request_budget_(SIZE_MAX),
      large_body_budget_(kMaxReservedBodyBytes) {}

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
  // A handler of this connection may be on the stack, so it is freed after the handler has
  // returned.
  loop_.RunDeferred([retained = *position] {});
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
  return CloseFirstIdle(lingering_, now) || CloseFirstIdle(unused_, now - kUnusedGracePeriod) ||
         CloseFirstIdle(idle_, now);
}

void DownstreamConnections::CloseIdleBeyondShare() {
  const double max_open = kMaxOpenShare * static_cast<double>(budget_.limit());
  while (static_cast<double>(connections_.size() - unused_.size()) > max_open) {
    if (!CloseFirstIdle(idle_, loop_.Now())) {
      return;
    }
  }
}

bool DownstreamConnections::CloseFirstIdle(std::list<DownstreamConnection*>& list,
                                           Time opened_before) {
  for (DownstreamConnection* const connection : list) {
    if (connection->opened_at() > opened_before) {
      return false;
    }
    // A request may have arrived without having been read yet; it must be served.
    if (!connection->stream().IsIdle()) {
      continue;
    }
    ++GlobalCounters().downstream_connections_reclaimed;
    Close(*connection);
    return true;
  }
  return false;
}

void DownstreamConnections::CloseAllIdle(bool include_new) {
  const Time now = loop_.Now();
  for (auto* const list : {&unused_, &idle_}) {
    for (auto next = list->begin(); next != list->end();) {
      DownstreamConnection* const connection = *next++;
      const bool is_new = list == &unused_ && now - connection->opened_at() < kUnusedGracePeriod;
      if (is_new && !include_new) {
        break;
      }
      if (connection->stream().IsIdle()) {
        Close(*connection);
      }
    }
  }
}

void DownstreamConnections::set_draining(bool draining) {
  draining_ = draining;
  reads_ahead_ = true;
}

void DownstreamConnections::StopReadingAhead() {
  if (!std::exchange(reads_ahead_, false)) {
    return;
  }
  for (const auto& connection : connections_) {
    connection->StopReadingAhead();
  }
}

void DownstreamConnections::CloseAllWithoutUnfinishedWork() {
  for (auto next = connections_.begin(); next != connections_.end();) {
    DownstreamConnection& connection = **next++;
    if (!connection.HasUnfinishedWork()) {
      Close(connection);
    }
  }
}

std::optional<MemoryBudget::Reservation> DownstreamConnections::ReserveBodyBuffer(size_t bytes) {
  if (bytes > kMaxReservedBytesPerBody) {
    return std::nullopt;
  }
  return large_body_budget_.Reserve(bytes);
}

void DownstreamConnections::ShareMemory(const std::shared_ptr<MemoryPool>& pool,
                                        size_t guaranteed_bytes) {
  request_budget_.JoinPool(pool, guaranteed_bytes);
  large_body_budget_.JoinPool(pool, 0);
  large_body_budget_.set_limit(
      std::min(pool->limit_bytes() / kLargeBodyDivisor, kMaxReservedBodyBytes));
}

}  // namespace paddlestile
