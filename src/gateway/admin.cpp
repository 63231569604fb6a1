#include "gateway/admin.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <iterator>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "event/socket.h"
#include "event/stream.h"
#include "gateway/response_head.h"
#include "http/http_parser.h"

namespace paddlestile {
namespace {

using std::chrono::seconds;

constexpr Duration kCallTimeout = seconds(5);    // from accept until the response has been written
constexpr Duration kLingerTimeout = seconds(1);  // after the response has been written
constexpr size_t kMaxBodyBytesOfCall = 4096;     // the body is read and ignored
constexpr int kBacklog = 64;                     // connections

}  // namespace

class Admin::Acceptor final : public EventLoop::Handler {
 public:
  Acceptor(Admin& admin, const Address& listen) : admin_(admin) {
    fd_ = Listen(listen, kBacklog, false);
    if (!fd_ || !admin.loop_.Watch(fd_.get(), this, token_, true)) {
      throw std::system_error(errno, std::generic_category(), "admin: listen on " + ToText(listen));
    }
    admin.address_ = LocalAddress(fd_.get());
  }
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;
  virtual ~Acceptor() { admin_.loop_.Unwatch(fd_.get(), token_); }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { admin_.Accept(); }

 private:
  Admin& admin_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
};

// One connection, which carries one call.
class Admin::Caller final : public Stream::Listener {
 public:
  Caller(Admin& admin, FileDescriptor fd)
      : admin_(admin),
        loop_(admin.loop_),
        stream_(admin.loop_, Socket(std::move(fd), nullptr), this, false) {
    stream_.set_max_unread_bytes(kMaxHeadBytes + kMaxBodyBytesOfCall);
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  virtual ~Caller() { loop_.CancelTimer(timer_); }

  // Starts the call timeout and reading. Returns false if the socket cannot be added to epoll.
  bool Start() {
    timer_ = loop_.RunAfter(kCallTimeout, [this] { admin_.Close(*this); });
    return stream_.Start(true);
  }
  Stream& stream() { return stream_; }
  std::list<std::shared_ptr<Caller>>::iterator position;  // in Admin::callers_

 private:
  void OnData() override {
    if (responded_) {
      stream_.input().Consume(stream_.input().size());
      if (stream_.ended()) {
        admin_.Close(*this);
      }
      return;
    }
    const ParseProgress progress = parser_.Feed(stream_.input());
    if (progress == ParseProgress::kNeedMore) {
      if (stream_.ended()) {
        admin_.Close(*this);
      }
      return;
    }
    AdminResponse response{parser_.error_status(), "malformed call"};
    if (progress == ParseProgress::kDone) {
      const std::string_view buffer = stream_.input().view();
      const HttpMessage& message = parser_.message();
      response = admin_.HandleCall(message.method.In(buffer), message.target.In(buffer));
    }
    Respond(response);
  }

  void Respond(const AdminResponse& response) {
    responded_ = true;
    stream_.input().Consume(stream_.input().size());
    const std::string body = response.text + '\n';
    stream_.Write(ResponseHead({.status = response.status, .reason = body}, false) + body);
  }

  void OnWriteComplete() override {
    stream_.ShutdownWrite();
    loop_.CancelTimer(timer_);
    timer_ = loop_.RunAfter(kLingerTimeout, [this] { admin_.Close(*this); });
    if (stream_.ended()) {
      admin_.Close(*this);
    }
  }
  void OnError() override { admin_.Close(*this); }

  Admin& admin_;
  EventLoop& loop_;  // outlives `admin_`; deferred tasks may run after its destruction
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, kMaxBodyBytesOfCall};
  bool responded_ = false;
  EventLoop::TimerId timer_;
};

Admin::Admin(EventLoop& loop, const Address& listen, Lifecycle& lifecycle)
    : loop_(loop), lifecycle_(lifecycle), address_(listen) {
  acceptor_ = std::make_unique<Acceptor>(*this, listen);
}

Admin::~Admin() {
  for (const auto& caller : callers_) {
    caller->stream().Close();
  }
}

void Admin::Accept() {
  while (true) {
    FileDescriptor fd(accept4(acceptor_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) {
        continue;
      }
      // Out of descriptors: closes the oldest connection to free one for the new connection.
      if ((errno == EMFILE || errno == ENFILE) && !callers_.empty()) {
        Close(*callers_.front());
        continue;
      }
      return;
    }
    if (callers_.size() >= kMaxCallers) {
      Close(*callers_.front());
    }
    callers_.push_back(std::make_shared<Caller>(*this, std::move(fd)));
    Caller& caller = *callers_.back();
    caller.position = std::prev(callers_.end());
    if (!caller.Start()) {
      Close(caller);
    }
  }
}

void Admin::Close(Caller& caller) {
  if (caller.stream().closed()) {
    return;
  }
  caller.stream().Close();
  // A handler of this caller may be on the stack, so it is freed after the handler has returned.
  loop_.RunDeferred([kept = *caller.position] {});
  callers_.erase(caller.position);
}

// ---- Calls ----------------------------------------------------------------------------------

Admin::AdminResponse Admin::HandleCall(std::string_view method, std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  ++GlobalCounters().admin_calls;
  if (path == "/admin/health") {
    return HandleHealth(method);
  }
  if (path == "/admin/quiesce") {
    return SetDrained(method, true);
  }
  if (path == "/admin/resume") {
    return SetDrained(method, false);
  }
  return {404, "no such call"};
}

Admin::AdminResponse Admin::HandleHealth(std::string_view method) const {
  if (method != "GET") {
    return {405, "expected GET"};
  }
  return lifecycle_.can_serve() ? AdminResponse{200, "yes"} : AdminResponse{503, "no"};
}

Admin::AdminResponse Admin::SetDrained(std::string_view method, bool drained) {
  if (method != "POST") {
    return {405, "expected POST"};
  }
  if (!drained && lifecycle_.replaced()) {
    return {409, "another process has taken over"};
  }
  if (!drained && lifecycle_.stage() == LifecycleStage::kEnding) {
    return {409, "it is ending"};
  }
  lifecycle_.set_drained(drained);
  if (!drained && lifecycle_.isolated()) {
    return {200, "taking clients once it is connected to the bank"};
  }
  return {200, drained ? "emptying" : "taking clients"};
}

}  // namespace paddlestile
