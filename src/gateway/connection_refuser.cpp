#include "gateway/connection_refuser.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>

#include "base/metrics.h"
#include "event/socket.h"
#include "event/stream.h"
#include "gateway/response_head.h"
#include "http/http_parser.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

// For the head of the request, and for the client to read the response.
constexpr Duration kHeadTimeout = milliseconds(200);
constexpr Duration kLingerTimeout = milliseconds(200);
constexpr Duration kUnreadRecheck = milliseconds(5);  // a head has come and is about to be read
// Before a connection closes for the next: its head, or the rest of its body, may be on the way.
constexpr Duration kLeastHeadTime = milliseconds(20);
constexpr Duration kLeastLingerTime = milliseconds(100);

}  // namespace

// One connection that is refused.
class ConnectionRefuser::Connection final : public Stream::Listener {
 public:
  // `is_quiet`: the client has sent nothing for the time of a head while it waited in the queue.
  Connection(ConnectionRefuser& owner, FileDescriptor fd, uint64_t Counters::*counter,
             bool is_quiet)
      : owner_(owner),
        loop_(owner.loop_),
        stream_(owner.loop_, Socket(std::move(fd), nullptr), this, false),
        step_started_at_(owner.loop_.Now()),
        counter_(counter),
        is_quiet_(is_quiet) {
    stream_.set_max_unread_bytes(kMaxHeadBytes + kMaxBufferedBodyBytes);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() { loop_.CancelTimer(timer_); }

  // False where the kernel does not watch the connection.
  bool Start() {
    StartTimer(kHeadTimeout, [this] { OnHeadTimeout(); });
    return stream_.Start();
  }
  Stream& stream() { return stream_; }
  // Whether it may close for another one.
  [[nodiscard]] bool MayClose() const {
    const Duration least_time = responded_ ? kLeastLingerTime : kLeastHeadTime;
    return loop_.Now() - step_started_at_ >= least_time && !stream_.HasUnreadBytes();
  }
  [[nodiscard]] bool responded() const { return responded_; }
  std::list<std::shared_ptr<Connection>>::iterator position;  // in the list of the owner

 private:
  void OnData() override {
    if (!responded_) {
      ReadHead();
    }
    if (!stream_.closed() && stream_.ended()) {
      owner_.Close(*this);
    }
  }

  void ReadHead() {
    const ParseProgress progress = parser_.Feed(stream_.input());
    if (progress == ParseProgress::kNeedMore && !parser_.head_done()) {
      if (is_quiet_) {
        owner_.Close(*this);
      }
      return;
    }
    is_whole_ =
        progress == ParseProgress::kDone && parser_.message().total_bytes == stream_.input().size();
    Respond(progress == ParseProgress::kMalformed ? Response{.status = parser_.error_status()}
                                                  : ResponseToHead());
  }

  // A health check asks for the state of the gateway, which has nothing to do with descriptors.
  Response ResponseToHead() {
    const std::string_view base = stream_.input().view();
    if (parser_.message().target.In(base) == "/_health") {
      ++GlobalCounters().health_checks;
      return {.status = owner_.lifecycle_.healthy() ? 200 : 503};
    }
    ++(GlobalCounters().*counter_);
    return {.status = 503, .retry_after = owner_.retry_after_, .reason = "no connection free\n"};
  }

  void Respond(const Response& response) {
    responded_ = true;
    step_started_at_ = loop_.Now();
    stream_.input().Consume(stream_.input().size());
    stream_.Write(ResponseHead(response, false) + response.reason);
  }

  void OnWriteComplete() override {
    if (is_whole_ && !stream_.HasUnreadBytes()) {
      return owner_.Close(*this);
    }
    // Closed with bytes unread, the kernel would reset the connection, and the response with it.
    stream_.ShutdownWrite();
    StartTimer(kLingerTimeout, [this] { owner_.Close(*this); });
    loop_.RunAfterRound([kept = *position] {
      if (!kept->stream_.closed()) {
        kept->stream_.DiscardInput();
      }
    });
  }
  void OnError() override { owner_.Close(*this); }

  void OnHeadTimeout() {
    if (stream_.HasUnreadBytes()) {
      return StartTimer(kUnreadRecheck, [this] { OnHeadTimeout(); });
    }
    owner_.Close(*this);
  }

  void StartTimer(Duration delay, std::function<void()> callback) {
    loop_.CancelTimer(timer_);
    timer_ = loop_.RunAfter(delay, [this, callback = std::move(callback)] {
      timer_ = {};
      callback();
    });
  }

  ConnectionRefuser& owner_;
  EventLoop& loop_;  // may outlive the owner, as tasks that were put off may
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, kMaxBodyBytes};
  Time step_started_at_;  // to read the head, or to linger
  uint64_t Counters::*counter_;
  bool is_quiet_;
  bool responded_ = false;
  bool is_whole_ = false;  // the request has come in full, and nothing behind it
  EventLoop::TimerId timer_;
};

ConnectionRefuser::ConnectionRefuser(EventLoop& loop, const Lifecycle& lifecycle,
                                     std::function<void()> on_room)
    : loop_(loop), lifecycle_(lifecycle), on_room_(std::move(on_room)) {
  Refill();
}

ConnectionRefuser::~ConnectionRefuser() {
  for (const auto& connection : connections_) {
    connection->stream().Close();
  }
}

void ConnectionRefuser::Refill() {
  while (placeholders_.size() + connections_.size() < kMaxConnections) {
    FileDescriptor placeholder(open("/dev/null", O_RDONLY | O_CLOEXEC));
    if (!placeholder) {
      return;
    }
    placeholders_.push_back(std::move(placeholder));
  }
}

ConnectionRefuser::Result ConnectionRefuser::RefuseNext(int listening_socket,
                                                        uint64_t Counters::*counter) {
  if (!MakeRoom()) {
    return Result::kNoRoom;
  }
  placeholders_.pop_back();
  FileDescriptor fd(accept4(listening_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd) {
    ++GlobalCounters().downstream_connections_accepted;
    Add(std::move(fd), counter);
    return Result::kAccepted;
  }
  const int error = errno;
  Refill();
  const bool queue_empty = error == EAGAIN || error == EWOULDBLOCK;
  const bool client_left = error == ECONNABORTED || error == EINTR;
  if (client_left) {
    return Result::kAccepted;
  }
  return queue_empty ? Result::kQueueEmpty : Result::kNoRoom;
}

void ConnectionRefuser::Add(FileDescriptor fd, uint64_t Counters::*counter) {
  const int on = 1;
  setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const bool is_quiet = TimeSinceLastData(fd.get()).value_or(Duration(0)) >= kHeadTimeout;
  connections_.push_back(std::make_shared<Connection>(*this, std::move(fd), counter, is_quiet));
  Connection& connection = *connections_.back();
  connection.position = std::prev(connections_.end());
  // A client that has said nothing in the queue for so long is not waited for.
  const bool is_silent = is_quiet && connection.stream().IsIdle();
  if (is_silent || !connection.Start()) {
    Close(connection);
  }
}

bool ConnectionRefuser::MakeRoom() {
  Refill();
  if (!placeholders_.empty()) {
    return true;
  }
  const auto closable = std::ranges::find_if(
      connections_, [](const auto& connection) { return connection->MayClose(); });
  if (closable == connections_.end()) {
    return false;
  }
  Close(**closable);
  return !placeholders_.empty();
}

void ConnectionRefuser::Close(Connection& connection) {
  if (connection.stream().closed()) {
    return;
  }
  connection.stream().Close();
  ++GlobalCounters().downstream_connections_closed;
  if (!connection.responded()) {
    ++GlobalCounters().refused_unread;
  }
  // A handler of this connection may be running: its memory is freed after that has returned.
  loop_.RunDeferred([kept = *connection.position] {});
  connections_.erase(connection.position);
  Refill();
  ReportRoomAfterRound();
}

void ConnectionRefuser::ReportRoomAfterRound() {
  if (std::exchange(room_report_scheduled_, true)) {
    return;
  }
  loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    room_report_scheduled_ = false;
    on_room_();
  });
}

}  // namespace paddlestile
