// The upstream connections of a gateway, grouped by endpoint: reuse, expiry, and selection of those
// to close when descriptors run out.
#ifndef PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_POOL_H_
#define PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "base/time.h"
#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "event/memory_budget.h"
#include "gateway/connection_reuse_statistics.h"
#include "gateway/upstream_connection.h"

namespace paddlestile {

// Owns the hosts and their connections. A host that is no longer listed is kept until its last
// connection has closed.
class UpstreamConnectionPool {
 public:
  // For this long after its last response, a connection is used only if no other idle connection is
  // available, and a request on it is delayed until the time has passed.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(10);

  struct OpenResult {
    UpstreamConnection* connection = nullptr;  // owned by the pool; null on failure
    Outcome failure = Outcome::kNotSent;       // outcome to report on failure
  };

  // The references must outlive the pool; `options` may change.
  UpstreamConnectionPool(EventLoop& loop, DescriptorBudget& budget, const UpstreamOptions& options,
                         UpstreamConnection::Owner& owner);
  UpstreamConnectionPool(const UpstreamConnectionPool&) = delete;
  UpstreamConnectionPool& operator=(const UpstreamConnectionPool&) = delete;
  // Closes all connections without reporting their transactions.
  ~UpstreamConnectionPool();

  // ---- Hosts.
  // Returns the host of an endpoint; null if it is not known.
  UpstreamHost* FindHost(const std::string& endpoint);
  // Adds or updates a listed endpoint. If its address changed, its idle connections close.
  void SetAddress(const std::string& endpoint, const Address& address);
  // Marks an endpoint as no longer listed. Its idle connections close now, the others after their
  // transaction.
  void Remove(const std::string& endpoint);
  // Erases a host that is not listed and has no connection, after the running handler has returned.
  void MaybeEraseHost(const UpstreamHost& host);

  // ---- Connections.
  // Returns a usable idle connection of the host, which is no longer idle then; null if there is
  // none.
  UpstreamConnection* TakeIdle(UpstreamHost& host);
  // Opens a connection to the host. Closes an idle connection if no descriptor is available.
  OpenResult Open(UpstreamHost& host);
  // Marks the connection as idle, ready for another transaction.
  void Release(UpstreamConnection& connection);
  void Close(UpstreamConnection& connection);
  // Closes the connection without erasing its host, for a transaction that moves to another
  // connection.
  UpstreamHost& CloseButKeepHost(UpstreamConnection& connection);
  void CloseIdleOf(UpstreamHost& host);
  // Closes the longest idle connection; returns false if there is none.
  bool CloseOneIdle();
  // Closes the longest idle connections until at most `count` are left.
  void CloseIdleBeyond(size_t count);
  // Records the reuse of a connection after `idle_time`. `failed`: it broke before its response.
  void RecordReuse(Duration idle_time, bool failed);

  // The memory for responses that are received whole before they are forwarded.
  [[nodiscard]] MemoryBudget& response_budget() { return response_budget_; }
  [[nodiscard]] const UpstreamOptions& options() const { return options_; }
  [[nodiscard]] const auto& connections() const { return connections_; }
  [[nodiscard]] size_t idle_count() const { return idle_.size(); }
  [[nodiscard]] size_t host_count() const { return hosts_.size(); }

 private:
  void RemoveFromIdle(UpstreamConnection& connection);
  // Maximum idle time of a connection; shorter than the endpoints' own limit.
  [[nodiscard]] Duration MaxIdleTime() const;
  // Closes idle connections that would reach the limit before the next call, and schedules that
  // call.
  void CloseExpiredIdle();

  EventLoop& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
  DescriptorBudget& budget_;
  MemoryBudget response_budget_{SIZE_MAX};
  const UpstreamOptions& options_;
  UpstreamConnection::Owner& owner_;
  std::unordered_map<std::string, std::unique_ptr<UpstreamHost>> hosts_;  // by endpoint
  std::unordered_map<UpstreamConnection*, std::shared_ptr<UpstreamConnection>> connections_;
  std::list<UpstreamConnection*> idle_;  // of all hosts, longest idle first
  EventLoop::TimerId idle_timer_;
  ConnectionReuseStatistics reuse_statistics_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_POOL_H_
