// Where operators call: a listener of its own, one short HTTP/1.1 call to a connection.
//   GET /admin/health    200 once this process can serve, else 503
//   POST /admin/quiesce  empties the gateway; it stays, and may be told again
//   POST /admin/resume   takes clients again; 409 where another process has taken over, or at the
//   end
// Any other path is 404, any other method 405, what cannot be read 4xx.
#ifndef PADDLESTILE_GATEWAY_ADMIN_H_
#define PADDLESTILE_GATEWAY_ADMIN_H_

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
  // Callers at once; the longest waiting goes for the next. Their descriptors are of the reserve.
  static constexpr size_t kMaxCallers = 12;

  // Listens at once; throws std::system_error.
  Admin(EventLoop& loop, const Address& listen, Lifecycle& life);
  ~Admin();
  Admin(const Admin&) = delete;
  Admin& operator=(const Admin&) = delete;

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
  void Drop(Caller& caller);
  AdminResponse HandleCall(std::string_view method, std::string_view path);

  EventLoop& loop_;
  Lifecycle& lifecycle_;
  Address address_;
  std::unique_ptr<Acceptor> acceptor_;
  std::list<std::shared_ptr<Caller>> callers_;  // the longest waiting first
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_ADMIN_H_
