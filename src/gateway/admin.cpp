#include "gateway/admin.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <iterator>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "event/stream.h"
#include "gateway/downstream.h"
#include "http/http_parser.h"

namespace paddlestile {
namespace {

constexpr Duration kCallTime{5'000'000};  // us; for a whole call
constexpr Duration kLinger{1'000'000};    // us; for the caller to read its answer
constexpr size_t kMostCallBody = 4096;    // bytes; nothing of it is read
constexpr int kBacklog = 64;

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

class Admin::Caller final : public Stream::Listener {
 public:
  Caller(Admin& admin, FileDescriptor fd)
      : admin_(admin),
        loop_(admin.loop_),
        stream_(admin.loop_, Socket(std::move(fd), nullptr), this, false) {
    stream_.set_max_unread_bytes(kMaxHeadBytes + kMostCallBody);
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  virtual ~Caller() { loop_.CancelTimer(timer_); }

  bool Start() {
    timer_ = loop_.RunAfter(kCallTime, [this] { admin_.Drop(*this); });
    return stream_.Start(true);
  }
  Stream& stream() { return stream_; }
  std::list<std::shared_ptr<Caller>>::iterator place;

 private:
  void OnData() override {
    if (answered_) {
      stream_.input().Consume(stream_.input().size());
      if (stream_.ended()) {
        admin_.Drop(*this);
      }
      return;
    }
    const ParseProgress progress = parser_.Feed(stream_.input());
    if (progress == ParseProgress::kNeedMore) {
      if (stream_.ended()) {
        admin_.Drop(*this);
      }
      return;
    }
    AdminResponse said{parser_.error_status(), "malformed call"};
    if (progress == ParseProgress::kDone) {
      const std::string_view base = stream_.input().view();
      const HttpMessage& m = parser_.message();
      said = admin_.HandleCall(m.method.In(base), m.target.In(base));
    }
    answered_ = true;
    stream_.input().Consume(stream_.input().size());
    stream_.Write(ResponseHead({.status = said.status, .reason = said.text + '\n'}, false) +
                  said.text + '\n');
  }

  void OnWriteComplete() override {
    stream_.ShutdownWrite();
    loop_.CancelTimer(timer_);
    timer_ = loop_.RunAfter(kLinger, [this] { admin_.Drop(*this); });
    if (stream_.ended()) {
      admin_.Drop(*this);
    }
  }
  void OnError() override { admin_.Drop(*this); }

  Admin& admin_;
  EventLoop& loop_;  // may outlive the listener, as what is put off may
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, kMostCallBody};
  bool answered_ = false;
  EventLoop::TimerId timer_;
};

Admin::Admin(EventLoop& loop, const Address& listen, Lifecycle& life)
    : loop_(loop), lifecycle_(life), address_(listen) {
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
      // The table is full: whoever waits longest makes room, or the timer of one does.
      if ((errno == EMFILE || errno == ENFILE) && !callers_.empty()) {
        Drop(*callers_.front());
        continue;
      }
      return;
    }
    if (callers_.size() >= kMaxCallers) {
      Drop(*callers_.front());
    }
    callers_.push_back(std::make_shared<Caller>(*this, std::move(fd)));
    Caller& caller = *callers_.back();
    caller.place = std::prev(callers_.end());
    if (!caller.Start()) {
      Drop(caller);
    }
  }
}

void Admin::Drop(Caller& caller) {
  if (caller.stream().closed()) {
    return;
  }
  caller.stream().Close();
  // It may be the one whose handler is at work: its memory goes once that has returned.
  loop_.RunDeferred([kept = *caller.place] {});
  callers_.erase(caller.place);
}

Admin::AdminResponse Admin::HandleCall(std::string_view method, std::string_view path) {
  path = path.substr(0, path.find('?'));
  ++GlobalCounters().admin_calls;
  if (path == "/admin/health") {
    if (method != "GET") {
      return {405, "expected GET"};
    }
    return lifecycle_.can_serve() ? AdminResponse{200, "yes"} : AdminResponse{503, "no"};
  }
  const bool quiesce = path == "/admin/quiesce";
  if (!quiesce && path != "/admin/resume") {
    return {404, "no such call"};
  }
  if (method != "POST") {
    return {405, "expected POST"};
  }
  if (!quiesce && (lifecycle_.replaced() || lifecycle_.stage() == LifecycleStage::kEnding)) {
    return {409, lifecycle_.replaced() ? "another process has taken over" : "it is ending"};
  }
  lifecycle_.set_drained(quiesce);
  return {200, quiesce ? "emptying" : "taking clients"};
}

}  // namespace paddlestile
