#include "gateway/connection_acceptor.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxAcceptsPerTurn = 32;  // connections per turn; other events are handled in between
// Maximum share of the descriptor budget for client connections. Clients that send nothing open
// hundreds of connections; the rest of the budget is left to upstream connections.
constexpr double kMaxDescriptorShare = 0.6;
constexpr Duration kRetryDelay = milliseconds(5);  // while no descriptor is available
constexpr size_t kMaxQueueSamples = 1024;
constexpr Duration kDefaultMaxWait = std::chrono::seconds(1);  // until SetMaxWait is called

uint64_t Counters::*RefusalCounter(AcceptBlock block) {
  switch (block) {
    case AcceptBlock::kClientShare:
      return &Counters::refused_client_share;
    case AcceptBlock::kNoDescriptor:
      return &Counters::refused_no_descriptor;
    case AcceptBlock::kProcessLimit:
      return &Counters::refused_process_limit;
    case AcceptBlock::kNewProcessHangs:
      break;
  }
  return &Counters::refused_new_process_hangs;
}

}  // namespace

std::string_view ToText(AcceptBlock block) {
  switch (block) {
    case AcceptBlock::kClientShare:
      return "client connections use their full share of the descriptors";
    case AcceptBlock::kNoDescriptor:
      return "the descriptor budget is exhausted";
    case AcceptBlock::kProcessLimit:
      return "the process is at its descriptor limit";
    case AcceptBlock::kNewProcessHangs:
      return "the new process is not responding";
  }
  return "";
}

ConnectionAcceptor::ConnectionAcceptor(EventLoop& loop, DescriptorBudget& budget,
                                       const Address& listen, const Lifecycle& lifecycle,
                                       Owner& owner, FileDescriptor inherited, bool shared)
    : loop_(loop),
      budget_(budget),
      lifecycle_(lifecycle),
      owner_(owner),
      listening_socket_(std::make_unique<ListeningSocket>(loop, listen, std::move(inherited),
                                                          shared, [this] { AcceptPending(); })),
      address_(listening_socket_->address()),
      refuser_(loop, lifecycle, [this] { OnRefuserCapacity(); }),
      max_wait_(kDefaultMaxWait) {}

ConnectionAcceptor::~ConnectionAcceptor() {
  loop_.CancelTimer(retry_timer_);
}

void ConnectionAcceptor::SetMaxWait(Duration max_wait, Duration retry_after) {
  max_wait_ = max_wait;
  refuser_.set_retry_after(retry_after);
}

int ConnectionAcceptor::listening_socket() const {
  return listening_socket_ ? listening_socket_->fd() : -1;
}

bool ConnectionAcceptor::idle() const {
  return !accept_scheduled_ && retry_timer_.number == 0 && refuser_.idle();
}

void ConnectionAcceptor::OnLifecycleChanged() {
  StopRefusingPending();
  if (!lifecycle_.accepts()) {
    EndBlock();
  }
  if (listening_socket_ && !listening_socket_->SetWatched(lifecycle_.accepts())) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

// ---- Accepting ------------------------------------------------------------------------------

void ConnectionAcceptor::AcceptPending() {
  for (int accepted = 0; listening_socket_ && lifecycle_.accepts(); ++accepted) {
    if (accepted == kMaxAcceptsPerTurn) {
      return ResumeAfterRound();
    }
    switch (AcceptOne()) {
      case AcceptResult::kContinue:
        break;
      case AcceptResult::kQueueEmpty:
        return EndBlock();
      case AcceptResult::kNoDescriptor:
        return OnBlocked();
    }
  }
}

ConnectionAcceptor::AcceptResult ConnectionAcceptor::AcceptOne() {
  if (const AcceptResult acquired = AcquireDescriptor(); acquired != AcceptResult::kContinue) {
    return acquired;
  }
  Socket socket(FileDescriptor(accept4(listening_socket_->fd(), nullptr, nullptr,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC)),
                &budget_);
  if (socket.get() < 0) {
    const int error = errno;
    if (error == EINTR || error == ECONNABORTED) {
      return AcceptResult::kContinue;
    }
    if (error == EAGAIN || error == EWOULDBLOCK) {
      return AcceptResult::kQueueEmpty;
    }
    // The process is out of descriptors although the budget is not. The socket is watched
    // edge-triggered and this edge is consumed, so unless a descriptor is freed here, only the
    // retry timer triggers the next accept.
    if (!IsConnectionPending()) {
      return AcceptResult::kQueueEmpty;
    }
    if (error == EMFILE && owner_.OnDescriptorsExhausted()) {
      return AcceptResult::kContinue;
    }
    return BlockedBy(AcceptBlock::kProcessLimit);
  }
  const int enable = 1;
  setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
  ++GlobalCounters().downstream_connections_accepted;
  last_accept_at_ = loop_.Now();
  OnDequeued();
  owner_.OnAccepted(std::move(socket));
  return AcceptResult::kContinue;
}

ConnectionAcceptor::AcceptResult ConnectionAcceptor::AcquireDescriptor() {
  const bool within_share = static_cast<double>(owner_.connection_count()) <
                            kMaxDescriptorShare * static_cast<double>(budget_.limit());
  if (within_share && budget_.TryAcquire()) {
    return AcceptResult::kContinue;
  }
  // Frees a descriptor only if a connection is pending. Otherwise every use of the last free
  // descriptor would close an idle connection.
  if (!IsConnectionPending()) {
    return AcceptResult::kQueueEmpty;
  }
  const bool freed = within_share ? owner_.OnDescriptorsExhausted() : owner_.CloseOneIdle();
  if (freed && budget_.TryAcquire()) {
    return AcceptResult::kContinue;
  }
  return BlockedBy(within_share ? AcceptBlock::kNoDescriptor : AcceptBlock::kClientShare);
}

bool ConnectionAcceptor::IsConnectionPending() const {
  pollfd pending{listening_socket_->fd(), POLLIN, 0};
  return poll(&pending, 1, 0) != 0;
}

ConnectionAcceptor::AcceptResult ConnectionAcceptor::BlockedBy(AcceptBlock block) {
  block_ = block;
  return AcceptResult::kNoDescriptor;
}

// ---- While no descriptor is available
// ------------------------------------------------------------

void ConnectionAcceptor::OnBlocked() {
  SampleQueueLength();
  if (RefusePendingOlderThan(max_wait_) == AcceptResult::kQueueEmpty) {
    return EndBlock();
  }
  RetryLater();
}

ConnectionAcceptor::AcceptResult ConnectionAcceptor::RefusePendingOlderThan(Duration min_wait) {
  for (int refused = 0; refused < kMaxAcceptsPerTurn; ++refused) {
    if (OldestPendingWait() < min_wait) {
      return AcceptResult::kNoDescriptor;
    }
    switch (refuser_.RefuseNext(listening_socket_->fd(), RefusalCounter(block_))) {
      case ConnectionRefuser::Result::kAccepted:
        OnDequeued();
        ++refused_in_block_;
        last_accept_at_ = loop_.Now();
        break;
      case ConnectionRefuser::Result::kQueueEmpty:
        return AcceptResult::kQueueEmpty;
      case ConnectionRefuser::Result::kNoCapacity:
        return AcceptResult::kNoDescriptor;
    }
  }
  return AcceptResult::kNoDescriptor;
}

void ConnectionAcceptor::RefusePending(AcceptBlock block) {
  if (!listening_socket_) {
    return;
  }
  block_ = block;
  refusing_for_new_process_ = true;
  SampleQueueLength();
  if (RefusePendingOlderThan(Duration(0)) == AcceptResult::kQueueEmpty) {
    EndBlock();
  }
}

void ConnectionAcceptor::OnRefuserCapacity() {
  if (refusing_for_new_process_) {
    RefusePending(block_);
  } else {
    AcceptPending();
  }
}

void ConnectionAcceptor::EndBlock() {
  blocked_since_.reset();
  dequeued_in_block_ = 0;
  queue_samples_.clear();
  refusing_for_new_process_ = false;
  if (const size_t refused = std::exchange(refused_in_block_, 0); refused > 0) {
    Log(LogLevel::kInfo, "accept queue: refused {} connections because {}", refused,
        ToText(block_));
  }
}

void ConnectionAcceptor::SampleQueueLength() {
  const Time now = loop_.Now();
  blocked_since_ = blocked_since_.value_or(now);
  const size_t queue_length = AcceptQueueLength(listening_socket_->fd()).value_or(0);
  queue_length_known_ = queue_length > 0;
  const uint64_t arrived = dequeued_in_block_ + queue_length;
  const uint64_t arrived_before = queue_samples_.empty() ? 0 : queue_samples_.back().arrived;
  if (arrived > std::max(arrived_before, dequeued_in_block_) &&
      queue_samples_.size() < kMaxQueueSamples) {
    queue_samples_.push_back({now, arrived});
  }
}

Duration ConnectionAcceptor::OldestPendingWait() {
  while (!queue_samples_.empty() && queue_samples_.front().arrived <= dequeued_in_block_) {
    queue_samples_.pop_front();
  }
  const Time now = loop_.Now();
  if (!queue_samples_.empty()) {
    return now - queue_samples_.front().at;
  }
  // The connection arrived after the last sample. If the queue length is unknown, the wait is at
  // most the duration of the block.
  return queue_length_known_ ? Duration(0) : now - blocked_since_.value_or(now);
}

void ConnectionAcceptor::OnDequeued() {
  if (!blocked_since_) {
    return;
  }
  uint64_t& longest_wait_ms = GlobalCounters().accept_wait_longest_ms;
  longest_wait_ms =
      std::max(longest_wait_ms, static_cast<uint64_t>(ToMilliseconds(OldestPendingWait())));
  ++dequeued_in_block_;
}

void ConnectionAcceptor::ResumeAfterRound() {
  if (std::exchange(accept_scheduled_, true)) {
    return;
  }
  loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    accept_scheduled_ = false;
    AcceptPending();
  });
}

void ConnectionAcceptor::RetryLater() {
  ++GlobalCounters().accept_waits;
  if (retry_timer_.number != 0) {
    return;
  }
  retry_timer_ = loop_.RunAfter(std::min(kRetryDelay, max_wait_), [this] {
    retry_timer_ = {};
    AcceptPending();
  });
}

}  // namespace paddlestile
