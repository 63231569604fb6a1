// The admin interface for operators: a listener of its own, one short HTTP/1.1 call a connection.
//
//   GET /admin/health    200 where this process can serve, else 503
//   POST /admin/quiesce  drains the gateway; the process stays
//   POST /admin/resume   serves again; 409 where a new process has taken over, or this one ends
//
// Other paths are 404, other methods 405, malformed calls another 4xx.
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
  // Connections at once; the longest open one closes for the next. Their descriptors come from the
  // reserve, so that operators get in when clients hold all others.
  static constexpr size_t kMaxCallers = 12;

  // Listens at once; throws std::system_error. `loop` and `lifecycle` must outlive it.
  Admin(EventLoop& loop, const Address& listen, Lifecycle& lifecycle);
  ~Admin();
  Admin(const Admin&) = delete;
  Admin& operator=(const Admin&) = delete;

  // Where it listens, with the port that the kernel chose where any was asked for.
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
  std::list<std::shared_ptr<Caller>> callers_;  // longest open first
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_ADMIN_H_
