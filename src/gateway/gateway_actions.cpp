// The part of Gateway that interacts with the load balancer: event queue, actions, attempts and
// probes.
#include <algorithm>
#include <exception>
#include <utility>
#include <variant>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/gateway.h"

namespace paddlestile {
namespace {

void CountOutcome(Outcome outcome) {
  Counters& counters = GlobalCounters();
  switch (outcome) {
    case Outcome::kOk:
      ++counters.attempts_ok;
      break;
    case Outcome::kError:
      ++counters.attempts_error;
      break;
    case Outcome::kRejected:
      ++counters.attempts_rejected;
      break;
    case Outcome::kTimeout:
      ++counters.attempts_timeout;
      break;
    case Outcome::kConnectFailed:
      ++counters.attempts_connect_failed;
      break;
    case Outcome::kReset:
      ++counters.attempts_reset;
      break;
    case Outcome::kCancelled:
      ++counters.attempts_cancelled;
      break;
    case Outcome::kNotSent:
      ++counters.attempts_not_sent;
      break;
    case Outcome::kInvalidResponse:
      ++counters.attempts_invalid_response;
      break;
  }
}

}  // namespace

// ---- Events ---------------------------------------------------------------------------------

void Gateway::Enqueue(Event event) {
  events_.push_back(std::move(event));
  ScheduleProcessing();
}

void Gateway::ScheduleProcessing() {
  if (std::exchange(processing_events_, true)) {
    return;
  }
  // Deferred until the running handler has returned, because actions must not be executed inside
  // it.
  loop_.RunDeferred([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      ProcessEvents();
    }
  });
}

void Gateway::ProcessEvents() {
  while (!events_.empty()) {
    if (callback_before_events_ && loop_.Now() >= callback_time_) {
      std::exchange(callback_before_events_, nullptr)();
    }
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    ++GlobalCounters().load_balancer_events;
    try {
      load_balancer_.Handle(loop_.Now(), event, actions_);
    } catch (const std::exception& error) {
      // Actions that were emitted before the exception are still executed.
      ++GlobalCounters().load_balancer_exceptions;
      Log(LogLevel::kError, "load balancer: {}", error.what());
    }
    for (const Action& action : actions_) {
      Execute(action);
    }
  }
  processing_events_ = false;
  // Erased only now, because a queued event may still have produced an action for one of them.
  for (const RequestPtr& request : finished_requests_) {
    EraseRequest(request);
  }
  finished_requests_.clear();
}

// ---- Upstream::Listener ---------------------------------------------------------------------

void Gateway::OnAttemptFinished(const RequestPtr& request, size_t attempt,
                                const std::string& endpoint, Outcome outcome, Duration elapsed,
                                std::optional<LoadReport> report,
                                std::shared_ptr<const BufferedMessage> response) {
  CountOutcome(outcome);
  request->EndAttempt();
  RespondToOutcome(*request, attempt, outcome, response);
  AttemptFinished event{request->id(), attempt, endpoint,         outcome,
                        elapsed,       false,   std::move(report)};
  if (request->done()) {
    return EnqueueAttemptFinished(request, std::move(event));
  }
  // A retry may follow. The client may have disconnected while the loop was busy, and that event
  // may be queued behind this one or not have been polled yet. Therefore all pending input is read
  // before the event is queued.
  loop_.RunAfterRound(
      [this, request, event = std::move(event), alive = std::weak_ptr(alive_)]() mutable {
        if (alive.expired()) {
          return;
        }
        loop_.RunAfter(Duration(0), [this, request, event = std::move(event), alive] {
          if (!alive.expired()) {
            EnqueueAttemptFinished(request, event);
          }
        });
      });
}

void Gateway::RespondToOutcome(ProxiedRequest& request, size_t attempt, Outcome outcome,
                               const std::shared_ptr<const BufferedMessage>& response) {
  if (outcome == Outcome::kOk) {
    Respond(request, {.status = 200, .upstream_message = response}, &Counters::responses_served);
    return;
  }
  // If an endpoint rejects the request as invalid, its response is forwarded, because other
  // endpoints would respond the same way.
  if (outcome == Outcome::kInvalidResponse && response) {
    Respond(request, {.status = response->message.status, .upstream_message = response},
            &Counters::responses_failed);
  }
  // If a response of a streamed class breaks off after it has started, the request ends.
  if (request.committed_attempt() == attempt) {
    Respond(request, {.status = 502}, &Counters::responses_failed);
  }
}

void Gateway::EnqueueAttemptFinished(const RequestPtr& request, AttemptFinished event) {
  event.request_finished = request->done();
  event.request_consumed = request->body_consumed();
  Enqueue(std::move(event));
  MaybeEraseRequest(request);
}

void Gateway::OnResponseStarted(const RequestPtr& request, size_t attempt,
                                const std::string& endpoint, Duration elapsed) {
  Enqueue(ResponseStarted{request->id(), attempt, endpoint, elapsed});
}

void Gateway::OnProbeFinished(const std::string& endpoint, Outcome outcome, Duration elapsed,
                              std::optional<LoadReport> report) {
  Enqueue(ProbeFinished{endpoint, outcome, elapsed, std::move(report)});
}

// ---- Actions --------------------------------------------------------------------------------

void Gateway::Execute(const Action& action) {
  std::visit([this](const auto& alternative) { Execute(alternative); }, action);
}

void Gateway::Execute(const StartAttempt& action) {
  ++GlobalCounters().attempts_started;
  const RequestPtr request = FindRequest(action.id);
  if (!request) {
    // The request ended before the action was executed, so nothing is sent.
    CountOutcome(Outcome::kNotSent);
    return Enqueue(
        AttemptFinished{action.id, 0, action.endpoint, Outcome::kNotSent, Duration(0), true, {}});
  }
  const size_t attempt = request->BeginAttempt();
  const int max_attempts = config_->settings.allowed.max_attempts;
  if (request->done() || request->body_consumed() || static_cast<int>(attempt) >= max_attempts) {
    return OnAttemptFinished(request, attempt, action.endpoint, Outcome::kNotSent, Duration(0), {},
                             nullptr);
  }
  CountUnavailableEndpoint(action.endpoint);
  const Time deadline = action.timeout == Duration(0)
                            ? request->deadline()
                            : std::min(request->deadline(), loop_.Now() + action.timeout);
  upstream_->StartAttempt(request, attempt, action.endpoint, deadline);
}

void Gateway::CountUnavailableEndpoint(const std::string& endpoint) const {
  if (listed_endpoints_.IsUnavailable(endpoint)) {
    ++GlobalCounters().attempts_to_draining_hosts;
  } else if (listed_endpoints_.IsWarmingUp(endpoint, loop_.Now(),
                                           config_->settings.rules.slow_start_duration)) {
    ++GlobalCounters().attempts_to_warming_hosts;
  }
}

void Gateway::Execute(const RejectRequest& action) {
  const RequestPtr request = FindRequest(action.id);
  if (request && Respond(*request, {.status = 503, .retry_after = action.retry_after},
                         &Counters::responses_rejected)) {
    MaybeEraseRequest(request);
  }
}

void Gateway::Execute(const FailRequest& action) {
  const RequestPtr request = FindRequest(action.id);
  if (request && Respond(*request, {.status = 502}, &Counters::responses_failed)) {
    MaybeEraseRequest(request);
  }
}

void Gateway::Execute(const CancelAttempt& action) {
  if (const RequestPtr request = FindRequest(action.id)) {
    upstream_->CancelAttempt(*request, action.attempt);
  }
}

void Gateway::Execute(const SetTimer& action) {
  loop_.RunAfter(action.after, [this, token = action.token, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      Enqueue(TimerFired{token});
    }
  });
}

void Gateway::Execute(const StartProbe& action) {
  ++GlobalCounters().probes;
  upstream_->StartProbe(action.endpoint);
}

void Gateway::Execute(const CloseIdleConnections& action) {
  upstream_->CloseIdleConnections(action.endpoint);
}

void Gateway::Execute(const WatchEndpoints& action) {
  discovery_->SetWatching(action.on);
}

void Gateway::Execute(const PollEndpoints&) {
  discovery_->Poll();
}

void Gateway::Execute(const LogMessage& action) {
  Log(LogLevel::kInfo, "load balancer: {}", action.text);
}

}  // namespace paddlestile
