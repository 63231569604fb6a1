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
std::string ResponseHead(const Response& answer, bool keep_alive, bool to_http10 = false);

// What a request says of itself for the module; or the status to answer and why.
struct ParsedRequest {
  RequestArrived arrival;
  int error_status = 0;  // 0: understood
  std::string reason;
};
ParsedRequest ParseRequest(const BufferedMessage& request, const NameTables& names,
                           const Settings& settings, Time now);

// What became of a request: in hand, or answered with `bad_status` at once.
struct AdmissionResult {
  std::shared_ptr<ProxiedRequest> request;
  int error_status = 0;
  std::string reason;
};

class Downstream {
 public:
  class Listener {
   public:
    virtual AdmissionResult OnRequest(BufferedMessage request,
                                      ProxiedRequest::ResponseCallback reply) = 0;
    virtual void OnClientDisconnected(const std::shared_ptr<ProxiedRequest>& exchange) = 0;
    // The last byte of a request that is not held whole has come: its time runs from here.
    virtual void OnRequestComplete(const std::shared_ptr<ProxiedRequest>& exchange) = 0;
    // DescriptorBudget are short; true where one was set free.
    virtual bool OnDescriptorsExhausted() = 0;

   protected:
    ~Listener() = default;
  };

  // Listens at once, on `handed` where it is a listening socket; throws std::system_error. `life`
  // tells when connections are taken and when they end. `shared`: another process may listen too.
  Downstream(EventLoop& loop, DescriptorBudget& budget, const Address& listen,
             const Lifecycle& life, Listener* listener, FileDescriptor handed = FileDescriptor(),
             bool shared = false);
  ~Downstream();
  Downstream(const Downstream&) = delete;
  Downstream& operator=(const Downstream&) = delete;

  // To be called after each change of the life. While it empties, each connection closes after its
  // answer, and those between requests close too, a while after it began.
  void OnLifecycleChanged();
  // At the end of the life: after `at_most` only connections with a request in hand are waited for.
  // `done` runs when none is left and no new one has come for a while.
  void Shutdown(Duration at_most, std::function<void()> done);

  // The listening socket, for another process to take over.
  [[nodiscard]] int listening_socket() const;

  // Closes the connection that has said nothing for longest, else the one that has been between
  // requests for longest; false where there is none.
  bool CloseOneIdle();

  [[nodiscard]] size_t connection_count() const { return connections_.size(); }
  [[nodiscard]] const Address& address() const { return address_; }

 private:
  class Connection;
  class Acceptor;

  void Accept();
  void AcceptLater();
  void TrimIdle();
  bool CloseOne(std::list<Connection*>& among, Time opened_before);
  void Drop(Connection& connection);
  void DropClosed(Connection& connection);
  void DrainStep();
  void EndIdle();

  EventLoop& loop_;
  DescriptorBudget& budget_;
  const Lifecycle& lifecycle_;
  Listener* listener_;
  Address address_;
  std::unique_ptr<Acceptor> acceptor_;
  std::list<std::shared_ptr<Connection>> connections_;
  std::list<Connection*> never_used_;  // have said nothing yet, the longest first
  std::list<Connection*> idle_;        // between requests, the longest first
  EventLoop::TimerId accept_timer_, drain_timer_;
  bool draining_ = false, accept_yielded_ = false, shared_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  size_t buffered_bytes_ = 0;  // bytes of requests past kMaxBody that are held whole, of kHeldMost
  Time last_accept_{0}, drain_since_{0}, shutdown_at_{0};
  std::function<void()> on_drained_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_DOWNSTREAM_H_
