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

class Admin::Listening final : public EventLoop::Handler {
 public:
  Listening(Admin& admin, const Address& listen) : admin_(admin) {
    fd_ = Listen(listen, kBacklog, false);
    if (!fd_ || !admin.loop_.Watch(fd_.get(), this, token_, true)) {
      throw std::system_error(errno, std::generic_category(), "admin: listen on " + ToText(listen));
    }
    admin.address_ = BoundTo(fd_.get());
  }
  Listening(const Listening&) = delete;
  Listening& operator=(const Listening&) = delete;
  virtual ~Listening() { admin_.loop_.Unwatch(fd_.get(), token_); }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { admin_.Accept(); }

 private:
  Admin& admin_;
  Fd fd_;
  uint64_t token_ = 0;
};

class Admin::Caller final : public Stream::Owner {
 public:
  Caller(Admin& admin, Fd fd)
      : admin_(admin),
        loop_(admin.loop_),
        stream_(admin.loop_, Socket(std::move(fd), nullptr), this, false) {
    stream_.set_most_unread(kMaxHead + kMostCallBody);
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  virtual ~Caller() { loop_.Cancel(timer_); }

  bool Start() {
    timer_ = loop_.After(kCallTime, [this] { admin_.Drop(*this); });
    return stream_.Start(true);
  }
  Stream& stream() { return stream_; }
  std::list<std::shared_ptr<Caller>>::iterator place;

 private:
  void OnRead() override {
    if (answered_) {
      stream_.in().Consume(stream_.in().size());
      if (stream_.ended()) admin_.Drop(*this);
      return;
    }
    const Progress progress = parser_.Feed(stream_.in());
    if (progress == Progress::kMore) {
      if (stream_.ended()) admin_.Drop(*this);
      return;
    }
    Said said{parser_.status_for_bad(), "malformed call"};
    if (progress == Progress::kDone) {
      const std::string_view base = stream_.in().view();
      const Message& m = parser_.message();
      said = admin_.Call(m.method.In(base), m.target.In(base));
    }
    answered_ = true;
    stream_.in().Consume(stream_.in().size());
    stream_.Write(HeadForClient({.status = said.status, .why = said.text + '\n'}, false) +
                  said.text + '\n');
  }

  void OnFlushed() override {
    stream_.ShutWrite();
    loop_.Cancel(timer_);
    timer_ = loop_.After(kLinger, [this] { admin_.Drop(*this); });
    if (stream_.ended()) admin_.Drop(*this);
  }
  void OnBroken() override { admin_.Drop(*this); }

  Admin& admin_;
  EventLoop& loop_;  // may outlive the listener, as what is put off may
  Stream stream_;
  MessageParser parser_{MessageParser::Kind::kRequest, kMostCallBody};
  bool answered_ = false;
  EventLoop::TimerId timer_;
};

Admin::Admin(EventLoop& loop, const Address& listen, Life& life)
    : loop_(loop), life_(life), address_(listen) {
  listening_ = std::make_unique<Listening>(*this, listen);
}

Admin::~Admin() {
  for (const auto& caller : callers_) caller->stream().Close();
}

void Admin::Accept() {
  while (true) {
    Fd fd(accept4(listening_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      // The table is full: whoever waits longest makes room, or the timer of one does.
      if ((errno == EMFILE || errno == ENFILE) && !callers_.empty()) {
        Drop(*callers_.front());
        continue;
      }
      return;
    }
    if (callers_.size() >= kMostCallers) Drop(*callers_.front());
    callers_.push_back(std::make_shared<Caller>(*this, std::move(fd)));
    Caller& caller = *callers_.back();
    caller.place = std::prev(callers_.end());
    if (!caller.Start()) Drop(caller);
  }
}

void Admin::Drop(Caller& caller) {
  if (caller.stream().closed()) return;
  caller.stream().Close();
  // It may be the one whose handler is at work: its memory goes once that has returned.
  loop_.Defer([kept = *caller.place] {});
  callers_.erase(caller.place);
}

Admin::Said Admin::Call(std::string_view method, std::string_view path) {
  path = path.substr(0, path.find('?'));
  ++Count().admin_calls;
  if (path == "/admin/health") {
    if (method != "GET") return {405, "expected GET"};
    return life_.can_serve() ? Said{200, "yes"} : Said{503, "no"};
  }
  const bool quiesce = path == "/admin/quiesce";
  if (!quiesce && path != "/admin/resume") return {404, "no such call"};
  if (method != "POST") return {405, "expected POST"};
  if (!quiesce && (life_.handed_over() || life_.stage() == Stage::kEnding)) {
    return {409, life_.handed_over() ? "another process has taken over" : "it is ending"};
  }
  life_.set_drained(quiesce);
  return {200, quiesce ? "emptying" : "taking clients"};
}

}  // namespace paddlestile
