#include "balancer/retry_policy.h"

#include <algorithm>

#include "balancer/averages.h"

namespace paddlestile {
namespace {

// A token pays for one further attempt.
constexpr double kTokensPerRequest = 0.2;
constexpr double kMaxTokens = 10;
// Tokens for a retry after a rejection. A rejected attempt cost its endpoint almost nothing, but
// the retries must still be bounded.
constexpr double kRejectionRetryCost = 0.2;
constexpr double kMinTimeLeft = 0.5;  // of the mean time of the request class

}  // namespace

RetryPolicy::RetryPolicy(RetryRecords& records, const EndpointTable& endpoints,
                         const TrafficStatistics& traffic)
    : records_(records), endpoints_(endpoints), traffic_(traffic) {
  records_.retry_tokens = kMaxTokens / 2;
}

bool RetryPolicy::IsAttemptPermitted(const EventContext& context, const Request& request,
                                     const Endpoint& endpoint) const {
  const auto& allowed = context.settings.allowed;
  if (request.finished || context.now >= request.arrival.deadline) {
    return false;
  }
  if (std::ssize(request.attempts) >= std::min(request.max_attempts, allowed.max_attempts)) {
    return false;
  }
  if (!IsUp(endpoint) || (!allowed.parallel_attempts && request.attempts_in_flight > 0)) {
    return false;
  }
  return std::ranges::all_of(request.attempts, [&](const Attempt& attempt) {
    return MayRepeat(context, request, attempt, endpoint);
  });
}

// Whether the earlier `attempt` permits another attempt of the request at `endpoint`.
bool RetryPolicy::MayRepeat(const EventContext& context, const Request& request,
                            const Attempt& attempt, const Endpoint& endpoint) const {
  const RequestClass& request_class = request.request_class;
  if (!attempt.may_have_run || request_class.idempotency == Idempotency::kSafe) {
    return true;
  }
  if (request_class.idempotency == Idempotency::kUnsafe) {
    return false;
  }
  const EndpointInfo& earlier = endpoints_[attempt.endpoint].info;
  const DeduplicationScope scope = request_class.deduplication_scope;
  if (scope == DeduplicationScope::kZone && earlier.zone != endpoint.info.zone) {
    return false;
  }
  if (scope == DeduplicationScope::kCell && earlier.cell != endpoint.info.cell) {
    return false;
  }
  // The repeat has to arrive within the window, so the time to connect is added.
  return context.now - attempt.sent_at + context.settings.allowed.connect_timeout <
         request_class.deduplication_window;
}

bool RetryPolicy::MayReject(const Request& request) {
  const RequestClass& request_class = request.request_class;
  if (request_class.idempotency == Idempotency::kSafe) {
    return true;
  }
  if (request_class.idempotency == Idempotency::kKeyed &&
      request_class.deduplication_scope == DeduplicationScope::kAll) {
    return true;
  }
  return std::ranges::none_of(request.attempts, &Attempt::may_have_run);
}

void RetryPolicy::EarnRetryBudget() {
  records_.retry_tokens = std::min(kMaxTokens, records_.retry_tokens + kTokensPerRequest);
}

bool RetryPolicy::SpendRetryBudget(const EventContext& context, const Request& request,
                                   Outcome outcome) {
  const double cost = outcome == Outcome::kRejected ? kRejectionRetryCost : 1;
  const Time objective_at = request.arrived_at + request.request_class.latency_objective;
  const double min_time_us = kMinTimeLeft * traffic_.MeanTimeUs(request.arrival.request_class);
  if (records_.retry_tokens < cost || ToUs(objective_at - context.now) < min_time_us) {
    return false;
  }
  records_.retry_tokens -= cost;
  return true;
}

}  // namespace paddlestile
