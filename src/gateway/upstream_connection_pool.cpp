#include "gateway/upstream_connection_pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "event/socket.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Interval between two checks for expired idle connections: a fraction of the maximum idle time,
// within these limits.
constexpr int kChecksPerIdleTime = 10;
constexpr Duration kMinCheckInterval = milliseconds(10);
constexpr Duration kMaxCheckInterval = seconds(1);
// Maximum idle time as a share of the endpoints' idle timeout. A request sent while the endpoint
// closes the connection would end with a reset.
constexpr double kMaxIdleTimeShare = 0.8;
constexpr Duration kDefaultMaxIdleTime = seconds(10);  // if the endpoints' timeout is not known

}  // namespace

UpstreamConnectionPool::UpstreamConnectionPool(EventLoop& loop, DescriptorBudget& budget,
                                               const UpstreamOptions& options,
                                               UpstreamConnection::Owner& owner)
    : loop_(loop), budget_(budget), options_(options), owner_(owner) {
  CloseExpiredIdle();
}

UpstreamConnectionPool::~UpstreamConnectionPool() {
  loop_.CancelTimer(idle_timer_);
  connections_.clear();
}

// ---- Hosts ----------------------------------------------------------------------------------

UpstreamHost* UpstreamConnectionPool::FindHost(const std::string& endpoint) {
  const auto found = hosts_.find(endpoint);
  return found == hosts_.end() ? nullptr : found->second.get();
}

void UpstreamConnectionPool::SetAddress(const std::string& endpoint, const Address& address) {
  std::unique_ptr<UpstreamHost>& host = hosts_[endpoint];
  if (!host) {
    host = std::make_unique<UpstreamHost>(
        UpstreamHost{.endpoint = endpoint, .address = address, .idle = {}});
  }
  host->listed = true;
  if (host->address == address) {
    return;
  }
  host->address = address;
  ++host->address_version;
  CloseIdleOf(*host);
}

void UpstreamConnectionPool::Remove(const std::string& endpoint) {
  UpstreamHost* const host = FindHost(endpoint);
  if (host == nullptr) {
    return;
  }
  host->listed = false;
  CloseIdleOf(*host);
  MaybeEraseHost(*host);
}

// Replaced endpoints get new ids, so hosts that are no longer listed would otherwise accumulate.
void UpstreamConnectionPool::MaybeEraseHost(const UpstreamHost& host) {
  if (host.listed || host.connection_count > 0) {
    return;
  }
  loop_.RunDeferred([this, alive = std::weak_ptr(alive_), endpoint = host.endpoint] {
    if (alive.expired()) {
      return;
    }
    const UpstreamHost* const current_host = FindHost(endpoint);
    if (current_host != nullptr && !current_host->listed && current_host->connection_count == 0) {
      hosts_.erase(endpoint);
    }
  });
}

// ---- Connections ----------------------------------------------------------------------------

UpstreamConnection* UpstreamConnectionPool::TakeIdle(UpstreamHost& host) {
  const Time now = loop_.Now();
  // Prefers the most recently used settled connection; if none has settled, the one that settles
  // first.
  auto candidate = std::ranges::find_if(host.idle, [&](UpstreamConnection* connection) {
    return now - connection->pool_state().idle_since < kSettleTime;
  });
  if (candidate == host.idle.begin() && candidate != host.idle.end()) {
    ++candidate;
  }
  while (candidate != host.idle.begin()) {
    UpstreamConnection& connection = **--candidate;
    candidate = host.idle.erase(candidate);
    UpstreamConnection::PoolState& state = connection.pool_state();
    idle_.erase(state.position);
    state.idle = false;
    const Duration idle_time = loop_.Now() - state.idle_since;
    state.idle_before_use = idle_time;
    // The endpoint may have closed the connection, with that event still queued.
    const bool is_stream_idle = connection.stream().IsIdle();
    const bool is_too_old =
        reuse_statistics_.IsTooOldToReuse(idle_time, loop_.Now()) || idle_time > MaxIdleTime();
    if (is_stream_idle && !is_too_old) {
      return &connection;
    }
    ++(is_stream_idle ? GlobalCounters().upstream_idle_closed
                      : GlobalCounters().upstream_idle_lost);
    Close(connection);
  }
  return nullptr;
}

UpstreamConnectionPool::OpenResult UpstreamConnectionPool::Open(UpstreamHost& host) {
  // Leaves half of the descriptors to clients, without which upstream connections are of no use.
  const bool has_room = connections_.size() < budget_.limit() / 2 || CloseOneIdle();
  bool refused = false;
  std::optional<Socket> socket;
  if (has_room) {
    socket = Connect(host.address, &budget_, refused);
  }
  if (has_room && !socket && !refused && owner_.OnDescriptorsExhausted()) {
    socket = Connect(host.address, &budget_, refused);
  }
  if (!socket) {
    // A lack of descriptors is no evidence against the endpoint; nothing was sent.
    if (!refused) {
      ++GlobalCounters().upstream_no_descriptor;
    }
    return {.failure = refused ? Outcome::kConnectFailed : Outcome::kNotSent};
  }
  ++GlobalCounters().upstream_connections_opened;
  const auto connection =
      std::make_shared<UpstreamConnection>(loop_, *this, owner_, host, std::move(*socket));
  connections_.emplace(connection.get(), connection);
  ++host.connection_count;
  if (!connection->Open()) {
    Close(*connection);
    return {.failure = Outcome::kNotSent};
  }
  return {.connection = connection.get()};
}

void UpstreamConnectionPool::Release(UpstreamConnection& connection) {
  UpstreamConnection::PoolState& state = connection.pool_state();
  state.idle = true;
  state.idle_since = loop_.Now();
  state.position = idle_.insert(idle_.end(), &connection);
  connection.host().idle.push_back(&connection);
}

void UpstreamConnectionPool::RemoveFromIdle(UpstreamConnection& connection) {
  UpstreamConnection::PoolState& state = connection.pool_state();
  if (!state.idle) {
    return;
  }
  idle_.erase(state.position);
  std::erase(connection.host().idle, &connection);
  state.idle = false;
}

void UpstreamConnectionPool::Close(UpstreamConnection& connection) {
  const auto owned = connections_.find(&connection);
  if (!PADDLESTILE_CHECK(owned != connections_.end())) {
    return;
  }
  RemoveFromIdle(connection);
  connection.Shutdown();
  --connection.host().connection_count;
  MaybeEraseHost(connection.host());
  // A handler of this connection may be on the stack, so it is freed after the handler has
  // returned.
  loop_.RunDeferred([retained = std::move(owned->second)] {});
  connections_.erase(owned);
}

UpstreamHost& UpstreamConnectionPool::CloseButKeepHost(UpstreamConnection& connection) {
  UpstreamHost& host = connection.host();
  ++host.connection_count;
  Close(connection);
  --host.connection_count;
  return host;
}

void UpstreamConnectionPool::CloseIdleOf(UpstreamHost& host) {
  while (!host.idle.empty()) {
    ++GlobalCounters().upstream_idle_closed;
    Close(*host.idle.back());
  }
}

bool UpstreamConnectionPool::CloseOneIdle() {
  if (idle_.empty()) {
    return false;
  }
  ++GlobalCounters().upstream_idle_closed;
  Close(*idle_.front());
  return true;
}

void UpstreamConnectionPool::CloseIdleBeyond(size_t count) {
  while (idle_.size() > count) {
    CloseOneIdle();
  }
}

void UpstreamConnectionPool::RecordReuse(Duration idle_time, bool failed) {
  reuse_statistics_.RecordReuse(idle_time, failed, loop_.Now());
}

Duration UpstreamConnectionPool::MaxIdleTime() const {
  if (options_.endpoint_idle_timeout <= Duration(0)) {
    return kDefaultMaxIdleTime;
  }
  return Duration(std::llround(kMaxIdleTimeShare *
                               static_cast<double>(options_.endpoint_idle_timeout.count())));
}

void UpstreamConnectionPool::CloseExpiredIdle() {
  const Duration max_idle = MaxIdleTime();
  const Duration interval =
      std::clamp(max_idle / kChecksPerIdleTime, kMinCheckInterval, kMaxCheckInterval);
  while (!idle_.empty() &&
         loop_.Now() - idle_.front()->pool_state().idle_since + interval > max_idle) {
    CloseOneIdle();
  }
  idle_timer_ = loop_.RunAfter(interval, [this] { CloseExpiredIdle(); });
}

}  // namespace paddlestile
