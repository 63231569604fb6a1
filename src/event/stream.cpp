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
constexpr size_t kPiecesAtOnce = 16;
// A peer may have 60 MB more to say: past so much it is left to its own full buffers.
constexpr size_t kDiscardMost = 1 << 20;
constexpr size_t kDiscardAtOnce = 1 << 17;
}  // namespace

Stream::Stream(EventLoop& loop, Socket socket, Listener* owner, bool connecting)
    : loop_(loop), socket_(std::move(socket)), listener_(owner), connected_(!connecting) {}

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
  while (discarded_ < kDiscardMost) {
    const ssize_t n = recv(socket_.get(), nullptr, kDiscardAtOnce, MSG_TRUNC);
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
  bool news = false;
  while (!closed_ && !ended_ && !broken_) {
    if (input_.size() >= max_unread_bytes_) {
      return news;  // the edge stays open for Resume
    }
    char* const to = input_.Prepare(min_read_bytes_);
    const ssize_t n = recv(socket_.get(), to, input_.Room(), 0);
    if (n > 0) {
      const bool all = static_cast<size_t>(n) < input_.Room();
      input_.Commit(static_cast<size_t>(n));
      news = true;
      // Less than there was room for is all that there was: what comes next is an edge of its own.
      if (all && !hung_up_) {
        readable_ = false;
        return news;
      }
    } else if (n == 0) {
      ended_ = news = true;
    } else if (errno == EINTR) {
      continue;
    } else {
      readable_ = false;
      // An emptied buffer keeps no memory while the connection idles.
      if (input_.empty()) {
        input_.Consume(0);
      }
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        // What came before the break may still be a whole message.
        if (news) {
          listener_->OnData();
        }
        news = false;
        ReportError();
      }
      return news;
    }
  }
  return news;
}

void Stream::ResumeReading() {
  if (closed_ || !readable_) {
    return;
  }
  if (ReadAvailable()) {
    listener_->OnData();
  }
}

void Stream::OnEvents(uint32_t events) {
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      return ReportError();
    }
    if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) {
      return;
    }
    // A socket that has not begun to connect reports a hang-up too.
    sockaddr_in peer{};
    size = sizeof(peer);
    if (getpeername(socket_.get(), reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
      if ((events & (EPOLLERR | EPOLLHUP)) != 0 && errno != ENOTCONN) {
        ReportError();
      }
      return;
    }
    connected_ = true;
    listener_->OnConnected();
    if (closed_) {
      return;
    }
  }
  if ((events & EPOLLOUT) != 0 && !output_.empty()) {
    Flush();
    if (closed_) {
      return;
    }
  }
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    readable_ = true;
    const bool before = hung_up_;
    hung_up_ = hung_up_ || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    const bool news = ReadAvailable();
    // Behind what there is no room to read the end would else be told of by nothing.
    const bool hidden = hung_up_ && !before && !discarding_ && input_.size() >= max_unread_bytes_;
    if (!closed_ && !broken_ && (news || hidden)) {
      listener_->OnData();
    }
  }
}

void Stream::Flush() {
  while (!output_.empty() && !broken_) {
    std::array<iovec, kPiecesAtOnce> parts{};
    size_t count = 0;
    for (const WriteSegment& piece : output_) {
      if (count == parts.size()) {
        break;
      }
      parts[count++] = {const_cast<char*>(piece.remaining.data()), piece.remaining.size()};
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
      // A peer may have answered and closed before it read all: that answer is still there.
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
    for (auto left = static_cast<size_t>(n);
         left > 0 || (!output_.empty() && output_.front().remaining.empty());) {
      WriteSegment& piece = output_.front();
      const size_t part = std::min(left, piece.remaining.size());
      piece.remaining.remove_prefix(part);
      left -= part;
      if (!piece.remaining.empty()) {
        break;
      }
      output_.pop_front();
    }
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
  const linger now{1, 0};
  if (!closed_) {
    setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
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
