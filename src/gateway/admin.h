// The admin interface for operators. It has its own listener and serves one short HTTP/1.1 call per
// connection.
//
//   GET /admin/health    200 if this process can serve requests, else 503
//   POST /admin/quiesce  drains the gateway; the process keeps running
//   POST /admin/resume   accepts clients again; 409 if a new process has taken over or this one is
//                        shutting down
//
// Unknown paths get 404, wrong methods 405, and malformed calls another 4xx status.
#ifndef PADDLESTILE_GATEWAY_ADMIN_H_
#define PADDLESTILE_GATEWAY_ADMIN_H_

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "gateway/lifecycle.h"

namespace paddlestile {

class Admin {
 public:
  // Maximum number of open connections. A further connection closes the oldest one. Their
  // descriptors come from the reserve of DescriptorBudget, so that operators can connect while
  // clients use all other descriptors.
  static constexpr size_t kMaxCallers = 12;

  // Starts listening on `listen`; throws std::system_error on failure. `loop` and `lifecycle` must
  // outlive this object.
  Admin(EventLoop& loop, const Address& listen, Lifecycle& lifecycle);
  ~Admin();
  Admin(const Admin&) = delete;
  Admin& operator=(const Admin&) = delete;

  // The listening address. If port 0 was requested, it has the port that the kernel assigned.
  [[nodiscard]] const Address& address() const { return address_; }
  [[nodiscard]] size_t callers() const { return callers_.size(); }

 private:
  class Acceptor;
  class Caller;
  struct AdminResponse {
    int status = 0;
    std::string text;
  };
  void Accept();
  void Close(Caller& caller);
  AdminResponse HandleCall(std::string_view method, std::string_view target);
  AdminResponse HandleHealth(std::string_view method) const;
  AdminResponse SetDrained(std::string_view method, bool drained);

  EventLoop& loop_;
  Lifecycle& lifecycle_;
  Address address_;
  std::unique_ptr<Acceptor> acceptor_;
  std::list<std::shared_ptr<Caller>> callers_;  // oldest first
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_ADMIN_H_
