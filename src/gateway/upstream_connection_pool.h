// The upstream connections of a gateway, by endpoint: reuse, age, and which close to make room.
#ifndef PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_POOL_H_
#define PADDLESTILE_GATEWAY_UPSTREAM_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "base/time.h"
#include "event/descriptor_budget.h"
#include "event/event_loop.h"
#include "gateway/connection_reuse_statistics.h"
#include "gateway/upstream_connection.h"

namespace paddlestile {

// Owns hosts and connections. A host outlives its listing until its last connection has closed.
class UpstreamConnectionPool {
 public:
  // A connection whose last response is younger is preferred last and waits before it is reused.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(10);

  struct OpenResult {
    UpstreamConnection* connection = nullptr;  // owned by the pool; null where it failed
    Outcome failure = Outcome::kNotSent;       // where it failed
  };

  // All arguments must outlive the pool; `options` may change.
  UpstreamConnectionPool(EventLoop& loop, DescriptorBudget& budget, const UpstreamOptions& options,
                         UpstreamConnection::Owner& owner);
  UpstreamConnectionPool(const UpstreamConnectionPool&) = delete;
  UpstreamConnectionPool& operator=(const UpstreamConnectionPool&) = delete;
  // Closes all connections without a report.
  ~UpstreamConnectionPool();

  // ---- Hosts.
  // Null where the endpoint is not known.
  UpstreamHost* FindHost(const std::string& endpoint);
  // The endpoint is listed. A changed address closes its idle connections.
  void SetAddress(const std::string& endpoint, const Address& address);
  // The endpoint is no longer listed: its idle connections close, others after their transaction.
  void Remove(const std::string& endpoint);
  // Erases a host that is not listed and has no connection, after the running handler.
  void MaybeEraseHost(const UpstreamHost& host);

  // ---- Connections.
  // An idle connection of the host that is fit for use, no longer idle; null where there is none.
  UpstreamConnection* TakeIdle(UpstreamHost& host);
  // Connects to the host. An idle connection closes for it where descriptors are short.
  OpenResult Open(UpstreamHost& host);
  // The connection is free for another transaction.
  void Release(UpstreamConnection& connection);
  void Close(UpstreamConnection& connection);
  // Closes the connection without erasing its host, for a transaction that is yet to be moved.
  UpstreamHost& CloseButKeepHost(UpstreamConnection& connection);
  void CloseIdleOf(UpstreamHost& host);
  // Closes the connection that has idled longest; false where none idles.
  bool CloseOneIdle();
  // Closes the longest idle ones until `count` are left.
  void CloseIdleBeyond(size_t count);
  // A connection that had idled was used; `failed`: it broke before its response.
  void RecordReuse(Duration idle_time, bool failed);

  [[nodiscard]] const UpstreamOptions& options() const { return options_; }
  [[nodiscard]] const auto& connections() const { return connections_; }
  [[nodiscard]] size_t idle_count() const { return idle_.size(); }
  [[nodiscard]] size_t host_count() const { return hosts_.size(); }

 private:
  void RemoveFromIdle(UpstreamConnection& connection);
  // How long a connection may idle before it is closed; shorter than the endpoints' own limit.
  [[nodiscard]] Duration MaxIdleTime() const;
  // Closes those that reach the limit before the next call; calls itself at intervals.
  void CloseExpiredIdle();

  EventLoop& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this, for tasks
  DescriptorBudget& budget_;
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
