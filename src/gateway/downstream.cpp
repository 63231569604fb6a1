#include "gateway/downstream.h"

#include <chrono>
#include <utility>

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

constexpr Duration kDrainStepInterval = milliseconds(20);
// New connections arrive for up to 0.4 s after SIGTERM. A request that arrives on an old connection
// later than 0.7 s after it may not be served in time, so idle connections close in between.
constexpr Duration kDrainIdleDelay = milliseconds(450);
// Time without a new connection after which the accept queue counts as quiet.
constexpr Duration kDrainQuietTime = milliseconds(150);
// If another process listens on the address too, connections may keep arriving indefinitely. This
// bounds how long the drain waits for them to stop.
constexpr Duration kDrainSharedTimeout = milliseconds(600);

}  // namespace

Downstream::Downstream(EventLoop& loop, DescriptorBudget& budget, const Address& listen,
                       const Lifecycle& lifecycle, Listener* listener, FileDescriptor inherited,
                       bool shared)
    : loop_(loop),
      lifecycle_(lifecycle),
      listener_(listener),
      connections_(loop, budget, lifecycle, listener),
      acceptor_(loop, budget, listen, lifecycle, *this, std::move(inherited), shared),
      shared_(shared) {
  OnLifecycleChanged();
}

Downstream::~Downstream() {
  loop_.CancelTimer(drain_timer_);
}

// ---- Draining -------------------------------------------------------------------------------

void Downstream::OnLifecycleChanged() {
  acceptor_.OnLifecycleChanged();
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
  // Restarts the period if it was already draining: connections still arrive for a while from now.
  drain_started_at_ = loop_.Now();
  shutdown_deadline_ = drain_started_at_ + timeout;
  on_drained_ = std::move(done);
}

void Downstream::DrainStep() {
  acceptor_.AcceptPending();
  const Time now = loop_.Now();
  const bool shutting_down = static_cast<bool>(on_drained_);
  if (now - drain_started_at_ >= kDrainIdleDelay) {
    connections_.StopReadingAhead();
    connections_.CloseAllIdle(shutting_down);
  }
  // A new process needs the descriptors at once. An operator's drain may be undone, so it keeps its
  // upstream connections.
  const bool idle_clients_closed = now - drain_started_at_ >= kDrainIdleDelay;
  if (lifecycle_.replaced() || (shutting_down && idle_clients_closed)) {
    listener_->TrimIdleUpstream();
  }
  if (shutting_down && now >= shutdown_deadline_) {
    connections_.CloseAllWithoutUnfinishedWork();
  }
  // Closing the socket would reset the connections in the accept queue, so it stays open while the
  // acceptor is not idle. A replaced process keeps it open to refuse pending connections if the new
  // process hangs.
  if (shutting_down && shared_ && !lifecycle_.replaced() && acceptor_.idle() &&
      now - drain_started_at_ >= kDrainSharedTimeout) {
    acceptor_.StopListening();
  }
  if (shutting_down && IsAcceptQueueQuiet(now) && connections_.empty()) {
    acceptor_.StopListening();
    on_drained_();
    return;
  }
  drain_timer_ = loop_.RunAfter(kDrainStepInterval, [this] { DrainStep(); });
}

bool Downstream::IsAcceptQueueQuiet(Time now) const {
  if (acceptor_.refusing()) {
    return false;
  }
  if (acceptor_.listening_socket() < 0 || !lifecycle_.accepts()) {
    return true;
  }
  return acceptor_.idle() && now - drain_started_at_ >= kDrainIdleDelay &&
         now - acceptor_.last_accept_at() >= kDrainQuietTime;
}

}  // namespace paddlestile
