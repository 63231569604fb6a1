#include "event/stream.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

#include "base/metrics.h"

namespace paddlestile {
namespace {

constexpr size_t kMaxSegmentsPerWrite = 16;
// Beyond this limit the input is no longer read, and the peer's send buffer fills up.
constexpr size_t kMaxDiscardedBytes = 1 << 20;
constexpr size_t kDiscardBytesPerRead = 1 << 17;
// With fewer unread bytes the receive window is open, so that the peer's kernel holds nothing back.
constexpr size_t kMaxUnreadBytesWithOpenWindow = 1 << 16;
constexpr Duration kKernelClockTick = std::chrono::milliseconds(10);  // at most, by CONFIG_HZ

}  // namespace

Stream::Stream(EventLoop& loop, Socket socket, Listener* listener, bool connecting)
    : loop_(loop),
      socket_(std::move(socket)),
      listener_(listener),
      awaits_first_bytes_(!connecting),
      connected_(!connecting),
      newest_arrival_(loop.Now()) {}

Stream::~Stream() {
  Close();
}

bool Stream::Start(bool urgent) {
  watched_ = loop_.Watch(socket_.get(), this, token_, urgent);
  return watched_;
}

void Stream::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  if (watched_) {
    loop_.Unwatch(socket_.get(), token_);
  }
  socket_.Close();
  output_.clear();
}

void Stream::ReportError() {
  if (closed_ || broken_) {
    return;
  }
  broken_ = true;
  listener_->OnError();
}

void Stream::DiscardInput() {
  discarding_ = true;
  input_.Consume(input_.size());
  ResumeReading();
}

bool Stream::DiscardAvailable() {
  while (discarded_ < kMaxDiscardedBytes) {
    const ssize_t n = recv(socket_.get(), nullptr, kDiscardBytesPerRead, MSG_TRUNC);
    if (n > 0) {
      discarded_ += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && errno == EINTR) {
      continue;
    }
    readable_ = false;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return false;
    }
    ended_ = n == 0;
    if (!ended_) {
      ReportError();
    }
    return ended_;
  }
  return false;
}

bool Stream::ReadAvailable() {
  if (discarding_) {
    return !closed_ && !ended_ && !broken_ && DiscardAvailable();
  }
  bool has_new_data = false;
  while (!closed_ && !ended_ && !broken_) {
    if (input_.size() >= max_unread_bytes_) {
      return has_new_data;  // readable_ stays set, for ResumeReading
    }
    char* const to = input_.Prepare(min_read_bytes_);
    const ssize_t n = recv(socket_.get(), to, input_.Room(), 0);
    if (n > 0) {
      const bool read_all = static_cast<size_t>(n) < input_.Room();
      input_.Commit(static_cast<size_t>(n));
      arrival_times_.Add(static_cast<size_t>(n), newest_arrival_, input_.size());
      has_new_data = true;
      // A read that does not fill the room has read everything; later bytes cause another edge.
      if (read_all && !hung_up_) {
        readable_ = false;
        return has_new_data;
      }
    } else if (n == 0) {
      ended_ = true;
      has_new_data = true;
    } else if (errno == EINTR) {
      continue;
    } else {
      readable_ = false;
      // Frees the buffer's memory while the connection is idle.
      if (input_.empty()) {
        input_.Consume(0);
      }
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        // The bytes before the error may complete a message.
        if (has_new_data) {
          listener_->OnData();
        }
        has_new_data = false;
        ReportError();
      }
      return has_new_data;
    }
  }
  return has_new_data;
}

void Stream::ResumeReading() {
  if (closed_ || !readable_) {
    return;
  }
  if (ReadAvailable()) {
    listener_->OnData();
  }
}

// Reports that the connection is established or has failed. Returns true if it is established and
// the stream is still open.
bool Stream::FinishConnect(uint32_t events) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    ReportError();
    return false;
  }
  if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) {
    return false;
  }
  // EPOLLHUP is also reported for a socket on which no connect was started.
  sockaddr_in peer{};
  size = sizeof(peer);
  if (getpeername(socket_.get(), reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
    if ((events & (EPOLLERR | EPOLLHUP)) != 0 && errno != ENOTCONN) {
      ReportError();
    }
    return false;
  }
  connected_ = true;
  listener_->OnConnected();
  return !closed_;
}

void Stream::OnEvents(uint32_t events) {
  if (!connected_ && !FinishConnect(events)) {
    return;
  }
  if ((events & EPOLLOUT) != 0 && !output_.empty()) {
    Flush();
    if (closed_) {
      return;
    }
  }
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    OnReadable((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
  }
}

bool Stream::HasLittleUnread() const {
  int kernel_bytes = 0;
  if (ioctl(socket_.get(), FIONREAD, &kernel_bytes) != 0) {
    return false;
  }
  return input_.size() + static_cast<size_t>(kernel_bytes) <= kMaxUnreadBytesWithOpenWindow;
}

// The first bytes of a connection may have arrived while it waited in the accept queue.
Time Stream::FirstArrival() const {
  const Duration age = TimeSinceLastData(socket_.get()).value_or(Duration(0));
  return loop_.Now() - std::max(age - kKernelClockTick, Duration(0));
}

void Stream::OnReadable(bool hung_up) {
  if (std::exchange(awaits_first_bytes_, false)) {
    newest_arrival_ = FirstArrival();
  } else if (!readable_ || HasLittleUnread()) {
    newest_arrival_ = loop_.Now();
  }
  readable_ = true;
  const bool hung_up_before = hung_up_;
  hung_up_ = hung_up_ || hung_up;
  const bool has_new_data = ReadAvailable();
  // The kernel does not report the end again if it follows bytes that there is no room to read.
  const bool unreported_end =
      hung_up_ && !hung_up_before && !discarding_ && input_.size() >= max_unread_bytes_;
  if (!closed_ && !broken_ && (has_new_data || unreported_end)) {
    listener_->OnData();
  }
}

void Stream::Flush() {
  while (!output_.empty() && !broken_) {
    std::array<iovec, kMaxSegmentsPerWrite> parts{};
    size_t count = 0;
    for (const WriteSegment& segment : output_) {
      if (count == parts.size()) {
        break;
      }
      parts[count++] = {const_cast<char*>(segment.remaining.data()), segment.remaining.size()};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = count;
    const ssize_t n = sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
    if (n < 0) {
      if (errno == EINTR) {
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return;
      }
      return OnWriteFailed();
    }
    written_bytes_ += static_cast<uint64_t>(n);
    ConsumeOutput(static_cast<size_t>(n));
  }
  if (output_.empty() && !broken_) {
    listener_->OnWriteComplete();
  }
}

// The peer may have responded and closed before it read everything. Its response can still be read.
void Stream::OnWriteFailed() {
  readable_ = true;
  hung_up_ = true;
  output_.clear();
  if (ReadAvailable()) {
    listener_->OnData();
  }
  if (!closed_) {
    ReportError();
  }
}

uint64_t Stream::delivered_bytes() const {
  int unacknowledged_bytes = 0;
  if (closed_ || ioctl(socket_.get(), SIOCOUTQ, &unacknowledged_bytes) != 0) {
    return written_bytes_;
  }
  return written_bytes_ - static_cast<uint64_t>(unacknowledged_bytes);
}

// Removes `bytes` bytes from the output queue, and empty segments at its front.
void Stream::ConsumeOutput(size_t bytes) {
  while (bytes > 0 || (!output_.empty() && output_.front().remaining.empty())) {
    WriteSegment& segment = output_.front();
    const size_t consumed = std::min(bytes, segment.remaining.size());
    segment.remaining.remove_prefix(consumed);
    bytes -= consumed;
    if (!segment.remaining.empty()) {
      return;
    }
    output_.pop_front();
  }
}

void Stream::Write(std::string head, std::shared_ptr<const void> keep_alive,
                   std::string_view body) {
  if (closed_ || broken_) {
    return;
  }
  const bool idle = output_.empty();
  WriteSegment& first = output_.emplace_back();
  first.owned = std::move(head);
  first.remaining = first.owned;
  if (!body.empty()) {
    WriteSegment& second = output_.emplace_back();
    second.keep_alive = std::move(keep_alive);
    second.remaining = body;
  }
  if (connected_ && idle) {
    Flush();
  }
}

void Stream::CloseByReset() {
  const linger reset{1, 0};
  if (!closed_) {
    setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  Close();
}

void Stream::ShutdownWrite() {
  if (!closed_) {
    shutdown(socket_.get(), SHUT_WR);
  }
}

bool Stream::HasUnreadBytes() const {
  char byte = 0;
  return !closed_ && !ended_ && !broken_ &&
         recv(socket_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Stream::IsIdle() const {
  if (closed_ || ended_ || broken_ || !input_.empty()) {
    return false;
  }
  char byte = 0;
  const ssize_t n = recv(socket_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace paddlestile
