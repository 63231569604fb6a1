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

// Time limit for receiving the request head, and for the client to read the response.
constexpr Duration kHeadTimeout = milliseconds(200);
constexpr Duration kLingerTimeout = milliseconds(200);
// Delay before the head timeout is checked again, if a head has arrived but is unread.
constexpr Duration kUnreadRecheckInterval = milliseconds(5);
// Minimum times before a connection may be closed for the next one, as its head or the rest of its
// body may still be in transit.
constexpr Duration kMinHeadTime = milliseconds(20);
constexpr Duration kMinLingerTime = milliseconds(100);

}  // namespace

// A connection that is being refused.
class ConnectionRefuser::Connection final : public Stream::Listener {
 public:
  // `timed_out_in_queue`: the client sent nothing for kHeadTimeout while it waited in the accept
  // queue.
  Connection(ConnectionRefuser& owner, FileDescriptor fd, uint64_t Counters::*counter,
             bool timed_out_in_queue)
      : owner_(owner),
        loop_(owner.loop_),
        stream_(owner.loop_, Socket(std::move(fd), nullptr), this, false),
        step_started_at_(owner.loop_.Now()),
        counter_(counter),
        timed_out_in_queue_(timed_out_in_queue) {
    stream_.set_max_unread_bytes(kMaxHeadBytes + kMaxBufferedBodyBytes);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() { loop_.CancelTimer(timer_); }

  // Starts the head timeout and reading. Returns false if the socket cannot be added to epoll.
  bool Start() {
    StartTimer(kHeadTimeout, [this] { OnHeadTimeout(); });
    return stream_.Start();
  }
  Stream& stream() { return stream_; }
  // Whether it may be closed to make room for another connection.
  [[nodiscard]] bool CanBeEvicted() const {
    const Duration min_time = responded_ ? kMinLingerTime : kMinHeadTime;
    return loop_.Now() - step_started_at_ >= min_time && !stream_.HasUnreadBytes();
  }
  [[nodiscard]] bool responded() const { return responded_; }
  std::list<std::shared_ptr<Connection>>::iterator position;  // in ConnectionRefuser::connections_

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
      if (timed_out_in_queue_) {
        owner_.Close(*this);
      }
      return;
    }
    request_fully_read_ =
        progress == ParseProgress::kDone && parser_.message().total_bytes == stream_.input().size();
    Respond(progress == ParseProgress::kMalformed ? Response{.status = parser_.error_status()}
                                                  : ResponseToHead());
  }

  // A health check asks for the state of the gateway, which does not depend on free descriptors.
  Response ResponseToHead() {
    const std::string_view buffer = stream_.input().view();
    if (parser_.message().target.In(buffer) == "/_health") {
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
    if (request_fully_read_ && !stream_.HasUnreadBytes()) {
      return owner_.Close(*this);
    }
    // If the socket were closed with unread bytes, the kernel would reset the connection and the
    // client could lose the response.
    stream_.ShutdownWrite();
    StartTimer(kLingerTimeout, [this] { owner_.Close(*this); });
    loop_.RunAfterRound([retained = *position] {
      if (!retained->stream_.closed()) {
        retained->stream_.DiscardInput();
      }
    });
  }
  void OnError() override { owner_.Close(*this); }

  void OnHeadTimeout() {
    if (stream_.HasUnreadBytes()) {
      return StartTimer(kUnreadRecheckInterval, [this] { OnHeadTimeout(); });
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
  EventLoop& loop_;  // outlives `owner_`; deferred tasks may run after its destruction
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest, kMaxBodyBytes};
  Time step_started_at_;  // start of reading the head or of lingering
  uint64_t Counters::*counter_;
  bool timed_out_in_queue_;
  bool responded_ = false;
  bool request_fully_read_ = false;  // the complete request and nothing after it has been read
  EventLoop::TimerId timer_;
};

ConnectionRefuser::ConnectionRefuser(EventLoop& loop, const Lifecycle& lifecycle,
                                     std::function<void()> on_capacity)
    : loop_(loop), lifecycle_(lifecycle), on_capacity_(std::move(on_capacity)) {
  OpenPlaceholders();
}

ConnectionRefuser::~ConnectionRefuser() {
  for (const auto& connection : connections_) {
    connection->stream().Close();
  }
}

void ConnectionRefuser::OpenPlaceholders() {
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
  if (!EnsurePlaceholder()) {
    return Result::kNoCapacity;
  }
  placeholders_.pop_back();
  FileDescriptor fd(accept4(listening_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd) {
    ++GlobalCounters().downstream_connections_accepted;
    Add(std::move(fd), counter);
    return Result::kAccepted;
  }
  const int error = errno;
  OpenPlaceholders();
  const bool queue_empty = error == EAGAIN || error == EWOULDBLOCK;
  const bool connection_aborted = error == ECONNABORTED || error == EINTR;
  if (connection_aborted) {
    return Result::kAccepted;
  }
  return queue_empty ? Result::kQueueEmpty : Result::kNoCapacity;
}

void ConnectionRefuser::Add(FileDescriptor fd, uint64_t Counters::*counter) {
  const int enable = 1;
  setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
  const bool timed_out_in_queue = TimeSinceLastData(fd.get()).value_or(Duration(0)) >= kHeadTimeout;
  connections_.push_back(
      std::make_shared<Connection>(*this, std::move(fd), counter, timed_out_in_queue));
  Connection& connection = *connections_.back();
  connection.position = std::prev(connections_.end());
  // A client that sent nothing for so long in the accept queue gets no further time.
  const bool is_silent = timed_out_in_queue && connection.stream().IsIdle();
  if (is_silent || !connection.Start()) {
    Close(connection);
  }
}

bool ConnectionRefuser::EnsurePlaceholder() {
  OpenPlaceholders();
  if (!placeholders_.empty()) {
    return true;
  }
  const auto evictable = std::ranges::find_if(
      connections_, [](const auto& connection) { return connection->CanBeEvicted(); });
  if (evictable == connections_.end()) {
    return false;
  }
  Close(**evictable);
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
  // A handler of this connection may be on the stack, so it is freed after the handler has
  // returned.
  loop_.RunDeferred([retained = *connection.position] {});
  connections_.erase(connection.position);
  OpenPlaceholders();
  ReportCapacityAfterRound();
}

void ConnectionRefuser::ReportCapacityAfterRound() {
  if (std::exchange(capacity_report_scheduled_, true)) {
    return;
  }
  loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    capacity_report_scheduled_ = false;
    on_capacity_();
  });
}

}  // namespace paddlestile
