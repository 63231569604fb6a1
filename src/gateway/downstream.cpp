#include "gateway/downstream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

#include "base/metrics.h"
#include "event/socket.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxAcceptsPerTurn = 32;  // connections, before other events have their turn
// Of all descriptors. Clients that send nothing come by hundreds and must leave some to upstream.
constexpr double kMaxDescriptorShare = 0.6;
constexpr Duration kAcceptRetryDelay = milliseconds(5);  // while descriptors are short
constexpr Duration kDrainStepInterval = milliseconds(20);
// New connections still come for up to 0.4 s after SIGTERM. A request that comes on an old one from
// 0.7 s on may not be served in time: idle connections close in between.
constexpr Duration kDrainIdleDelay = milliseconds(450);
constexpr Duration kDrainQuietTime = milliseconds(150);  // without a new connection
// Where another process listens too, connections may come for ever: the end of the wait for that.
constexpr Duration kDrainSharedTimeout = milliseconds(600);

}  // namespace

Downstream::Downstream(EventLoop& loop, DescriptorBudget& budget, const Address& listen,
                       const Lifecycle& lifecycle, Listener* listener, FileDescriptor inherited,
                       bool shared)
    : loop_(loop),
      budget_(budget),
      lifecycle_(lifecycle),
      listener_(listener),
      listening_socket_(std::make_unique<ListeningSocket>(loop, listen, std::move(inherited),
                                                          shared, [this] { AcceptPending(); })),
      connections_(loop, budget, lifecycle, listener),
      shared_(shared) {
  address_ = listening_socket_->address();
  OnLifecycleChanged();
}

Downstream::~Downstream() {
  loop_.CancelTimer(accept_timer_);
  loop_.CancelTimer(drain_timer_);
}

int Downstream::listening_socket() const {
  return listening_socket_ ? listening_socket_->fd() : -1;
}

// ---- Accepting ------------------------------------------------------------------------------

void Downstream::AcceptPending() {
  for (int accepted = 0; listening_socket_ && lifecycle_.accepts(); ++accepted) {
    if (accepted == kMaxAcceptsPerTurn) {
      return ContinueAcceptingAfterRound();
    }
    switch (AcceptOne()) {
      case AcceptResult::kContinue:
        break;
      case AcceptResult::kQueueEmpty:
        return;
      case AcceptResult::kNoDescriptor:
        return RetryAcceptingLater();
    }
  }
}

Downstream::AcceptResult Downstream::AcceptOne() {
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
    // The process has no descriptor left although the budget has. The edge is consumed: unless one
    // is freed, only the timer looks again.
    if (error == EMFILE && listener_->OnDescriptorsExhausted()) {
      return AcceptResult::kContinue;
    }
    return AcceptResult::kNoDescriptor;
  }
  const int on = 1;
  setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ++GlobalCounters().downstream_connections_accepted;
  last_accept_at_ = loop_.Now();
  connections_.Add(std::move(socket));
  return AcceptResult::kContinue;
}

Downstream::AcceptResult Downstream::AcquireDescriptor() {
  const bool within_share = static_cast<double>(connections_.size()) <
                            kMaxDescriptorShare * static_cast<double>(budget_.limit());
  if (within_share && budget_.TryAcquire()) {
    return AcceptResult::kContinue;
  }
  // Only where somebody waits: else the last free descriptor would cost an idle connection each
  // time.
  pollfd pending{listening_socket_->fd(), POLLIN, 0};
  if (poll(&pending, 1, 0) == 0) {
    return AcceptResult::kQueueEmpty;
  }
  const bool freed = within_share ? listener_->OnDescriptorsExhausted() : CloseOneIdle();
  return freed && budget_.TryAcquire() ? AcceptResult::kContinue : AcceptResult::kNoDescriptor;
}

void Downstream::ContinueAcceptingAfterRound() {
  if (std::exchange(accept_yielded_, true)) {
    return;
  }
  loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    accept_yielded_ = false;
    AcceptPending();
  });
}

void Downstream::RetryAcceptingLater() {
  ++GlobalCounters().accept_waits;
  if (accept_timer_.number != 0) {
    return;
  }
  accept_timer_ = loop_.RunAfter(kAcceptRetryDelay, [this] {
    accept_timer_ = {};
    AcceptPending();
  });
}

// ---- Draining -------------------------------------------------------------------------------

void Downstream::OnLifecycleChanged() {
  if (listening_socket_ && !listening_socket_->SetWatched(lifecycle_.accepts())) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  const bool draining = lifecycle_.draining();
  if (connections_.draining() == draining) {
    return;
  }
  connections_.set_draining(draining);
  loop_.CancelTimer(drain_timer_);
  drain_started_at_ = loop_.Now();
  if (draining) {
    DrainStep();
  }
}

void Downstream::Shutdown(Duration timeout, std::function<void()> done) {
  // Anew where it drained already: connections still come for a while from now.
  drain_started_at_ = loop_.Now();
  shutdown_deadline_ = drain_started_at_ + timeout;
  on_drained_ = std::move(done);
}

void Downstream::DrainStep() {
  AcceptPending();
  const Time now = loop_.Now();
  const bool shutting_down = static_cast<bool>(on_drained_);
  if (now - drain_started_at_ >= kDrainIdleDelay) {
    connections_.CloseAllIdle(shutting_down);
  }
  if (shutting_down && now >= shutdown_deadline_) {
    connections_.CloseAllWithoutWork();
  }
  // Connections in the queue would be reset with the socket: not while accepting was put off.
  const bool accepted_all = !accept_yielded_ && accept_timer_.number == 0;
  if (shutting_down && shared_ && accepted_all && now - drain_started_at_ >= kDrainSharedTimeout) {
    listening_socket_.reset();
  }
  if (shutting_down && AcceptQueueIsQuiet(now, accepted_all) && connections_.empty()) {
    listening_socket_.reset();
    on_drained_();
    return;
  }
  drain_timer_ = loop_.RunAfter(kDrainStepInterval, [this] { DrainStep(); });
}

bool Downstream::AcceptQueueIsQuiet(Time now, bool accepted_all) const {
  if (!listening_socket_ || !lifecycle_.accepts()) {
    return true;
  }
  return accepted_all && now - drain_started_at_ >= kDrainIdleDelay &&
         now - last_accept_at_ >= kDrainQuietTime;
}

}  // namespace paddlestile
