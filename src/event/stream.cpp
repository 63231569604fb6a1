#include "event/stream.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "base/metrics.h"

namespace paddlestile {
namespace {
constexpr size_t kSegmentsPerWrite = 16;
// A peer may send far more than anybody wants: past this it waits for its own full buffers.
constexpr size_t kMaxDiscardBytes = 1 << 20;
constexpr size_t kDiscardBytesPerRead = 1 << 17;
}  // namespace

Stream::Stream(EventLoop& loop, Socket socket, Listener* listener, bool connecting)
    : loop_(loop), socket_(std::move(socket)), listener_(listener), connected_(!connecting) {}

Stream::~Stream() {
  Close();
}

bool Stream::Start(bool urgent) {
  return watched_ = loop_.Watch(socket_.get(), this, token_, urgent);
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
  while (discarded_bytes_ < kMaxDiscardBytes) {
    const ssize_t received = recv(socket_.get(), nullptr, kDiscardBytesPerRead, MSG_TRUNC);
    if (received > 0) {
      discarded_bytes_ += static_cast<size_t>(received);
      continue;
    }
    if (received < 0 && errno == EINTR) {
      continue;
    }
    readable_ = false;
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return false;
    }
    ended_ = received == 0;
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
  bool has_news = false;
  while (!closed_ && !ended_ && !broken_) {
    if (input_.size() >= max_unread_bytes_) {
      return has_news;  // ResumeReading goes on
    }
    char* const room = input_.Prepare(min_read_bytes_);
    const ssize_t received = recv(socket_.get(), room, input_.Room(), 0);
    if (received > 0) {
      const bool read_all = static_cast<size_t>(received) < input_.Room();
      input_.Commit(static_cast<size_t>(received));
      has_news = true;
      // Less than there was room for: the kernel has no more, and reports the next byte as a new
      // edge.
      if (read_all && !hung_up_) {
        readable_ = false;
        return has_news;
      }
    } else if (received == 0) {
      ended_ = has_news = true;
    } else if (errno == EINTR) {
      continue;
    } else {
      readable_ = false;
      // An emptied buffer keeps no memory while the connection idles.
      if (input_.empty()) {
        input_.Consume(0);
      }
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        // What arrived before the error may still be a complete message.
        if (has_news) {
          listener_->OnData();
        }
        has_news = false;
        ReportError();
      }
      return has_news;
    }
  }
  return has_news;
}

void Stream::ResumeReading() {
  if (closed_ || !readable_) {
    return;
  }
  if (ReadAvailable()) {
    listener_->OnData();
  }
}

bool Stream::FinishConnecting(uint32_t events) {
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
  // A socket that has not begun to connect reports a hang-up too.
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
  if (!connected_ && !FinishConnecting(events)) {
    return;
  }
  if ((events & EPOLLOUT) != 0 && !output_.empty()) {
    Flush();
    if (closed_) {
      return;
    }
  }
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    readable_ = true;
    const bool was_hung_up = hung_up_;
    hung_up_ = hung_up_ || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    const bool has_news = ReadAvailable();
    // Where the bound stops reading, the end behind it would not be reported by a read.
    const bool end_unreported =
        hung_up_ && !was_hung_up && !discarding_ && input_.size() >= max_unread_bytes_;
    if (!closed_ && !broken_ && (has_news || end_unreported)) {
      listener_->OnData();
    }
  }
}

void Stream::RemoveWritten(size_t bytes) {
  while (bytes > 0 || (!output_.empty() && output_.front().remaining.empty())) {
    WriteSegment& segment = output_.front();
    const size_t part = std::min(bytes, segment.remaining.size());
    segment.remaining.remove_prefix(part);
    bytes -= part;
    if (!segment.remaining.empty()) {
      break;
    }
    output_.pop_front();
  }
}

void Stream::Flush() {
  while (!output_.empty() && !broken_) {
    std::array<iovec, kSegmentsPerWrite> vectors{};
    size_t count = 0;
    for (const WriteSegment& segment : output_) {
      if (count == vectors.size()) {
        break;
      }
      vectors[count++] = {const_cast<char*>(segment.remaining.data()), segment.remaining.size()};
    }
    msghdr message{};
    message.msg_iov = vectors.data();
    message.msg_iovlen = count;
    const ssize_t sent = sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) {
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return;
      }
      // A peer may have responded and closed before it read everything: read its response first.
      readable_ = hung_up_ = true;
      output_.clear();
      if (ReadAvailable()) {
        listener_->OnData();
      }
      if (!closed_) {
        ReportError();
      }
      return;
    }
    RemoveWritten(static_cast<size_t>(sent));
  }
  if (output_.empty() && !broken_) {
    listener_->OnWriteComplete();
  }
}

void Stream::Write(std::string head, std::shared_ptr<const void> keep, std::string_view body) {
  if (closed_ || broken_) {
    return;
  }
  const bool idle = output_.empty();
  WriteSegment& first = output_.emplace_back();
  first.owned = std::move(head);
  first.remaining = first.owned;
  if (!body.empty()) {
    WriteSegment& second = output_.emplace_back();
    second.keep_alive = std::move(keep);
    second.remaining = body;
  }
  if (connected_ && idle) {
    Flush();
  }
}

void Stream::CloseByReset() {
  const linger reset_on_close{1, 0};
  if (!closed_) {
    setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
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
  const ssize_t received = recv(socket_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace paddlestile
