// The side towards the clients: the listener, their connections, and the answers on them.
#ifndef PADDLESTILE_GATEWAY_DOWNSTREAM_H_
#define PADDLESTILE_GATEWAY_DOWNSTREAM_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "balancer/load_balancer.h"
#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "gateway/lifecycle.h"
#include "http/http_parser.h"
#include "http/proxied_request.h"

namespace paddlestile {

// The head that an answer goes to a client with.
std::string HeadForClient(const Answer& answer, bool keep_alive, bool to_http10 = false);

// What a request says of itself for the module; or the status to answer and why.
struct Understood {
  Submit submit;
  int bad_status = 0;  // 0: understood
  std::string why;
};
Understood Understand(const Held& request, const Names& names, const Settings& settings, Time now);

// What became of a request: in hand, or answered with `bad_status` at once.
struct Taken {
  std::shared_ptr<Exchange> exchange;
  int bad_status = 0;
  std::string why;
};

class Clients {
 public:
  class Listener {
   public:
    virtual Taken OnRequest(Held request, Exchange::Reply reply) = 0;
    virtual void OnClientLeft(const std::shared_ptr<Exchange>& exchange) = 0;
    // The last byte of a request that is not held whole has come: its time runs from here.
    virtual void OnWhole(const std::shared_ptr<Exchange>& exchange) = 0;
    // Descriptors are short; true where one was set free.
    virtual bool OnShort() = 0;

   protected:
    ~Listener() = default;
  };

  // Listens at once, on `handed` where it is a listening socket; throws std::system_error. `life`
  // tells when connections are taken and when they end. `shared`: another process may listen too.
  Clients(EventLoop& loop, Descriptors& budget, const Address& listen, const Life& life,
          Listener* listener, Fd handed = Fd(), bool shared = false);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // To be called after each change of the life. While it empties, each connection closes after its
  // answer, and those between requests close too, a while after it began.
  void LifeChanged();
  // At the end of the life: after `at_most` only connections with a request in hand are waited for.
  // `done` runs when none is left and no new one has come for a while.
  void End(Duration at_most, std::function<void()> done);

  // The listening socket, for another process to take over.
  [[nodiscard]] int listening() const;

  // Closes the connection that has said nothing for longest, else the one that has been between
  // requests for longest; false where there is none.
  bool CloseOneIdle();

  [[nodiscard]] size_t connections() const { return connections_.size(); }
  [[nodiscard]] const Address& address() const { return address_; }

 private:
  class Connection;
  class Listening;

  void Accept();
  void AcceptLater();
  void TrimIdle();
  bool CloseOne(std::list<Connection*>& among, Time opened_before);
  void Drop(Connection& connection);
  void DropClosed(Connection& connection);
  void DrainStep();
  void EndIdle();

  EventLoop& loop_;
  Descriptors& budget_;
  const Life& life_;
  Listener* listener_;
  Address address_;
  std::unique_ptr<Listening> listening_;
  std::list<std::shared_ptr<Connection>> connections_;
  std::list<Connection*> silent_;  // have said nothing yet, the longest first
  std::list<Connection*> idle_;    // between requests, the longest first
  EventLoop::TimerId accept_timer_, drain_timer_;
  bool emptying_ = false, accept_yielded_ = false, shared_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  size_t held_ = 0;  // bytes of requests past kMaxBody that are held whole, of kHeldMost
  Time last_accept_{0}, drain_since_{0}, end_at_{0};
  std::function<void()> drained_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_DOWNSTREAM_H_
