#include "lab/ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <utility>

namespace paddlestile::lab {
namespace {
constexpr uint64_t kMaxReportedBreachesPerRule = 20;  // further breaches are only counted
// us; until the end of an abandoned connection is seen
constexpr Duration kConnectionCloseGrace{50'000};
constexpr Duration kReorderTolerance{1'000};  // us; order of events on two connections of a gateway
constexpr size_t kMaxWindows = 4000;
// Of a longer response the first bytes are due at the deadline, and the rest may follow.
constexpr size_t kMaxShortResponseBytes = 65'536;
constexpr Duration kMaxTimeForRest{2'000'000};
constexpr Duration kMaxTimeSlack{150'000};  // by which the gateway may misjudge the client's time
}  // namespace

std::string_view NameOf(Rule rule) {
  switch (rule) {
    case Rule::kLost:
      return "lost";
    case Rule::kDuplicateResponse:
      return "answered twice";
    case Rule::kWrongResponse:
      return "served another's answer";
    case Rule::kUnlawfulResend:
      return "sent again unlawfully";
    case Rule::kRejectedAfterExecution:
      return "refused after it may have run";
    case Rule::kSentToDrainingHost:
      return "sent to a draining host";
    case Rule::kColdHostCollapse:
      return "a cold host fell over";
    case Rule::kUnrequestedSend:
      return "sent what no client asked";
  }
  return "";
}

std::string_view NameOf(Excuse excuse) {
  switch (excuse) {
    case Excuse::kProcessKilled:
      return "process killed";
    case Excuse::kProcessStopped:
      return "late by a stop";
    case Excuse::kInAcceptQueue:
      return "late in the queue";
    case Excuse::kGatewayDown:
      return "gateway down";
    case Excuse::kCloseRace:
      return "crossed a close";
    case Excuse::kNoLabConnection:
      return "no connection left";
    case Excuse::kHostTruncated:
      return "ended by its host";
  }
  return "";
}

std::string MakeResponseBody(std::string_view id, uint64_t receipt, size_t size) {
  std::string body = fmt::format("id={} receipt={}\n", id, receipt);
  // The pattern depends on the receipt, so that part of another body never matches.
  while (body.size() < size) {
    body += static_cast<char>('a' + (body.size() * 7 + receipt * 3) % 26);
  }
  return body;
}

void Ledger::RecordBreach(Rule rule, Time at, std::string id, std::string what) {
  counts_.first_breach = counts_.all_breaches() == 0 ? at : std::min(counts_.first_breach, at);
  counts_.last_breach = std::max(counts_.last_breach, at);
  if (IsReported(rule)) {
    breaches_.push_back({rule, at, std::move(id), std::move(what)});
  }
  ++counts_.breaches[static_cast<size_t>(rule)];
}

bool Ledger::IsReported(Rule rule) const {
  return counts_.breaches[static_cast<size_t>(rule)] < kMaxReportedBreachesPerRule;
}

uint64_t Ledger::Counts::all_breaches() const {
  return std::accumulate(breaches.begin(), breaches.end(), uint64_t{0});
}

Ledger::Window& Ledger::WindowOf(Time asked) {
  const auto second = std::min(static_cast<size_t>(asked.count() / 1'000'000), kMaxWindows);
  if (second >= windows_.size()) {
    windows_.resize(second + 1);
  }
  return windows_[second];
}

// ---- Events of the clients --------------------------------------------------------------------

size_t Ledger::AddRequest(Time now, const RequestSpec& spec) {
  requests_.push_back({.spec = spec, .requested_at = now});
  const double worth = rules_.classes[spec.class_index].priority_weight;
  Window& window = WindowOf(now);
  ++counts_.asked;
  ++window.asked;
  counts_.worth_asked += worth;
  window.worth_asked += worth;
  ++open_requests_;
  return requests_.size() - 1;
}

size_t Ledger::AddAttempt(Time now, size_t request, size_t gateway, Time deadline) {
  attempts_.push_back(
      {.request = request, .gateway = gateway, .deadline = deadline, .sent_at = now});
  ++counts_.attempts;
  deadlines_.emplace(deadline, attempts_.size() - 1);
  return attempts_.size() - 1;
}

void Ledger::OnSlowRequestSent(Time now, size_t attempt) {
  AttemptState& state = attempts_[attempt];
  state.deadline += now - state.sent_at;
}

void Ledger::OnResponse(Time now, size_t attempt, int status, std::string_view body) {
  AttemptState& state = attempts_[attempt];
  if (state.expired) {
    return;  // already counted as lost
  }
  if (state.finished) {
    return OnUnexpectedData(now, attempt, fmt::format("a second response, {}", status));
  }
  state.finished = true;
  if (now > state.deadline && state.delay && state.delay->duration > Duration(0)) {
    ++counts_.excused[static_cast<size_t>(state.delay->excuse)];
  }
  RequestState& request = requests_[state.request];
  request.last_status = status;
  bool may_have_run = false;
  for (uint64_t receipt_link = state.last_receipt; receipt_link > 0;
       receipt_link = receipts_[receipt_link - 1].previous) {
    may_have_run = may_have_run || receipts_[receipt_link - 1].may_have_run;
  }
  const RequestClass& request_class = rules_.classes[request.spec.class_index];
  if (status == 200) {
    const std::string id = AttemptId(attempt);
    bool matches = false;
    for (uint64_t receipt_link = state.last_receipt; receipt_link > 0 && !matches;
         receipt_link = receipts_[receipt_link - 1].previous) {
      matches = body == MakeResponseBody(id, receipt_link - 1, request.spec.response_bytes);
    }
    if (!matches) {
      RecordBreach(
          Rule::kWrongResponse, now, id,
          fmt::format("a body of {} bytes that no host sent for this request", body.size()));
      return;
    }
    if (request.is_served) {
      return;
    }
    request.is_served = true;
    const Duration took = now - request.requested_at;
    Window& window = WindowOf(request.requested_at);
    const bool late = took > request_class.latency_objective;
    const double worth =
        request_class.priority_weight * (late ? request_class.late_value_fraction : 1);
    ++counts_.served;
    ++window.served;
    if (late) {
      ++counts_.late;
      ++window.late;
    }
    counts_.worth_served += worth;
    window.worth_served += worth;
    window.latency_us.push_back(static_cast<uint32_t>(std::min<int64_t>(took.count(), UINT32_MAX)));
    return;
  }
  JudgeCutResponses(now, attempt);
  if (status == 429 || status == 503) {
    const bool harmless = request_class.idempotency == Idempotency::kSafe ||
                          (request_class.idempotency == Idempotency::kKeyed &&
                           request_class.deduplication_scope == DeduplicationScope::kAll);
    if (may_have_run && !harmless) {
      RecordBreach(Rule::kRejectedAfterExecution, now, AttemptId(attempt),
                   fmt::format("{} though it may have run", status));
    }
  }
}

void Ledger::OnConnectionLost(Time now, size_t attempt, std::string_view why) {
  AttemptState& state = attempts_[attempt];
  if (std::exchange(state.finished, true)) {
    return;
  }
  requests_[state.request].last_status = 0;
  if (!state.request_sent) {
    return;
  }
  ++counts_.lost;
  RecordBreach(Rule::kLost, now, AttemptId(attempt),
               fmt::format("{}, {}", why, DescribeProgress(attempt)));
}

void Ledger::OnConnectionRefused(Time now, size_t attempt, std::string_view why) {
  attempts_[attempt].request_sent = true;
  OnConnectionLost(now, attempt, why);
}

void Ledger::OnClientDisconnected(size_t attempt) {
  AttemptState& state = attempts_[attempt];
  if (std::exchange(state.finished, true)) {
    return;
  }
  requests_[state.request].last_status = 0;
  ++counts_.client_disconnects;
}

void Ledger::ExcuseAttempt(size_t attempt, Excuse excuse) {
  AttemptState& state = attempts_[attempt];
  if (std::exchange(state.finished, true)) {
    return;
  }
  requests_[state.request].last_status = 0;
  ++counts_.excused[static_cast<size_t>(excuse)];
}

Duration Ledger::AllowedDelay(size_t attempt) {
  AttemptState& state = attempts_[attempt];
  if (!state.delay) {
    state.delay = delay_provider_ ? delay_provider_(attempt).value_or(Delay{}) : Delay{};
  }
  const bool is_long = requests_[state.request].spec.response_bytes > kMaxShortResponseBytes;
  const Duration for_rest = state.response_begun && is_long ? kMaxTimeForRest : Duration(0);
  return std::max(state.delay->duration, for_rest);
}

void Ledger::OnResponseBegun(Time now, size_t attempt) {
  AttemptState& state = attempts_[attempt];
  if (now <= state.deadline + 2 * rules_.time_tolerance + lab_lag_) {
    state.response_begun = true;
  }
}

bool Ledger::IsTruncatedByHost(size_t attempt) const {
  bool is_truncated = false;
  ForEachReceipt(attempt, [&](const Receipt& receipt) { is_truncated |= receipt.truncated; });
  return is_truncated;
}

void Ledger::JudgeCutResponses(Time now, size_t attempt) {
  const AttemptState& state = attempts_[attempt];
  if (now + kMaxTimeSlack >= state.deadline) {
    return;
  }
  bool was_cut = false;
  ForEachReceipt(attempt, [&](const Receipt& receipt) {
    was_cut |= receipt.cut_before > Time(0) && receipt.cut_before + kMaxTimeSlack < state.deadline;
  });
  if (was_cut) {
    ++counts_.lost;
    RecordBreach(Rule::kLost, now, AttemptId(attempt),
                 fmt::format("a sound response was cut off, {} ms before the deadline",
                             (state.deadline - now).count() / 1000));
  }
}

void Ledger::OnRequestFinished(Time now, size_t request) {
  (void)now;
  RequestState& state = requests_[request];
  if (std::exchange(state.finished, true)) {
    return;
  }
  --open_requests_;
  if (state.is_served) {
    return;
  }
  Window& window = WindowOf(state.requested_at);
  const bool refused = state.last_status == 429 || state.last_status == 503;
  ++(refused ? counts_.refused : counts_.failed);
  ++(refused ? window.refused : window.failed);
}

void Ledger::OnUnexpectedData(Time now, size_t attempt, std::string_view what) {
  ++counts_.answered_twice;
  RecordBreach(Rule::kDuplicateResponse, now, attempt < attempts_.size() ? AttemptId(attempt) : "",
               std::string(what));
}

// ---- Events of the hosts ----------------------------------------------------------------------

std::string Ledger::AttemptId(size_t attempt) const {
  return fmt::format("{}-{:x}", rules_.id_prefix, attempt);
}

size_t Ledger::FindAttempt(std::string_view id) const {
  const size_t prefix = rules_.id_prefix.size();
  if (id.size() < prefix + 2 || id.substr(0, prefix) != rules_.id_prefix || id[prefix] != '-') {
    return SIZE_MAX;
  }
  size_t number = 0;
  const char* const end = id.data() + id.size();
  const auto read = std::from_chars(id.data() + prefix + 1, end, number, 16);
  return read.ec == std::errc() && read.ptr == end && number < attempts_.size() ? number : SIZE_MAX;
}

uint64_t Ledger::OnHostReceived(Time now, size_t attempt, size_t host, int zone, int cell,
                                Time first_byte_at) {
  AttemptState& state = attempts_[attempt];
  const RequestClass& request_class = rules_.classes[requests_[state.request].spec.class_index];
  const uint64_t number = receipts_.size();
  ++counts_.receipts;
  bool unlawful = false;
  std::string why;
  size_t copies = 1;
  for (uint64_t receipt_link = state.last_receipt; receipt_link > 0;
       receipt_link = receipts_[receipt_link - 1].previous) {
    const Receipt& earlier = receipts_[receipt_link - 1];
    if (earlier.open) {
      possible_duplicates_.push_back({now, receipt_link - 1, number});
    }
    copies += earlier.may_have_run ? 1 : 0;
    if (!earlier.may_have_run || unlawful) {
      continue;
    }
    if (request_class.idempotency == Idempotency::kUnsafe) {
      unlawful = true;
      why = "a class that may run once";
    }
    if (request_class.idempotency != Idempotency::kKeyed) {
      continue;
    }
    if ((request_class.deduplication_scope == DeduplicationScope::kZone && earlier.zone != zone) ||
        (request_class.deduplication_scope == DeduplicationScope::kCell && earlier.cell != cell)) {
      unlawful = true;
      why = "outside the group that drops its repeats";
    } else if (first_byte_at - earlier.at >
               request_class.deduplication_window + rules_.time_tolerance + lab_lag_) {
      unlawful = true;
      why = fmt::format("{} ms after the first, past its window",
                        (first_byte_at - earlier.at).count() / 1000);
    }
  }
  if (unlawful) {
    ++counts_.twice_unlawful;
    RecordBreach(Rule::kUnlawfulResend, now, AttemptId(attempt), why);
  }
  const auto notice = drain_notices_.find({state.gateway, host});
  if (notice != drain_notices_.end() &&
      first_byte_at - notice->second > rules_.drain_grace + rules_.time_tolerance + lab_lag_) {
    ++counts_.late_sends;
    RecordBreach(Rule::kSentToDrainingHost, now, AttemptId(attempt),
                 fmt::format("gateway {} sent to host {} {} ms after discovery reported it",
                             state.gateway, host, (first_byte_at - notice->second).count() / 1000));
  }
  receipts_.push_back({attempt, host, now, zone, cell, true, true, state.last_receipt});
  state.last_receipt = number + 1;
  ++state.receipts;
  if (receipt_callback_) {
    receipt_callback_(now, attempt, host, copies);
  }
  return number;
}

void Ledger::CountKeyExecution(const Receipt& receipt) {
  const RequestSpec& spec = requests_[attempts_[receipt.attempt].request].spec;
  const RequestClass& request_class = rules_.classes[spec.class_index];
  if (request_class.idempotency != Idempotency::kKeyed) {
    return;
  }
  const auto [at, fresh] = last_key_execution_.try_emplace(spec.key, receipt.at);
  if (fresh) {
    return;
  }
  if (receipt.at - at->second > request_class.deduplication_window) {
    ++counts_.keys_run_again;
  }
  at->second = std::max(at->second, receipt.at);
}

void Ledger::OnHostRejected(uint64_t receipt) {
  receipts_[receipt].may_have_run = false;
}

void Ledger::OnHostFinished(Time now, uint64_t receipt, bool answered) {
  Receipt& state = receipts_[receipt];
  if (!std::exchange(state.open, false)) {
    return;
  }
  if (state.may_have_run) {
    CountKeyExecution(state);
  }
  if (!answered) {
    return;
  }
  // The earlier copy was still open when the other one arrived. If both events are nearly
  // simultaneous, the end of the earlier one may have been in transit while bytes of another
  // connection were read first.
  for (PossibleDuplicate& duplicate : possible_duplicates_) {
    if (duplicate.first == receipt && now - duplicate.at > kReorderTolerance) {
      duplicate.confirmed = true;
    }
  }
}

void Ledger::OnUnknownRequest(Time now, std::string_view id, std::string_view what) {
  RecordBreach(Rule::kUnrequestedSend, now, std::string(id), std::string(what));
}

void Ledger::OnHostCollapsed(Time now, const std::string& host) {
  ++counts_.fell_over;
  RecordBreach(Rule::kColdHostCollapse, now, host,
               "received more work than a host that has just started can handle");
}

// ---- Notices of discovery ---------------------------------------------------------------------

void Ledger::OnGatewayNotified(Time now, size_t gateway, size_t host) {
  drain_notices_.try_emplace({gateway, host}, now);
}

void Ledger::OnGatewayRestarted(size_t gateway) {
  std::erase_if(drain_notices_, [&](const auto& entry) { return entry.first.first == gateway; });
}

// ---- Results ----------------------------------------------------------------------------------

void Ledger::Advance(Time now, Duration lag) {
  lab_lag_ = lag;
  while (!possible_duplicates_.empty() &&
         now - possible_duplicates_.front().at >= kConnectionCloseGrace + lag) {
    const PossibleDuplicate duplicate = possible_duplicates_.front();
    possible_duplicates_.pop_front();
    if (!duplicate.confirmed && !receipts_[duplicate.first].open) {
      continue;
    }
    ++counts_.twice_unlawful;
    RecordBreach(Rule::kUnlawfulResend, duplicate.at,
                 AttemptId(receipts_[duplicate.second].attempt),
                 "while an earlier copy was still out");
  }
  const Duration allowed = 2 * rules_.time_tolerance + lag;
  while (!deadlines_.empty() && now > deadlines_.begin()->first + allowed) {
    const auto [deadline, attempt] = *deadlines_.begin();
    deadlines_.erase(deadlines_.begin());
    const AttemptState& state = attempts_[attempt];
    if (state.finished || !state.request_sent) {
      continue;
    }
    if (state.deadline > deadline) {
      deadlines_.emplace(state.deadline, attempt);
      continue;
    }
    if (const Duration delay = AllowedDelay(attempt); delay > Duration(0)) {
      delayed_deadlines_.emplace(deadline + delay, attempt);
      continue;
    }
    RecordUnanswered(now, attempt);
  }
  while (!delayed_deadlines_.empty() && now > delayed_deadlines_.begin()->first + allowed) {
    const size_t attempt = delayed_deadlines_.begin()->second;
    delayed_deadlines_.erase(delayed_deadlines_.begin());
    if (!attempts_[attempt].finished) {
      RecordUnanswered(now, attempt);
    }
  }
}

std::string Ledger::DescribeProgress(size_t attempt) const {
  const AttemptState& state = attempts_[attempt];
  const RequestSpec& spec = requests_[state.request].spec;
  std::string text = fmt::format("{} bytes to send, {} to receive{}", spec.body_bytes,
                                 spec.response_bytes, state.response_begun ? ", begun" : "");
  ForEachReceipt(attempt, [&](const Receipt& receipt) {
    text += fmt::format(", host {} had it at {:.3f} s{}", receipt.host,
                        static_cast<double>(receipt.at.count()) / 1e6,
                        receipt.open ? "" : " and finished");
  });
  return text;
}

void Ledger::RecordUnanswered(Time now, size_t attempt) {
  AttemptState& state = attempts_[attempt];
  state.finished = state.expired = true;
  requests_[state.request].last_status = 0;
  ++counts_.lost;
  const double delay_ms = static_cast<double>(AllowedDelay(attempt).count()) / 1000;
  // The lookup takes time, which counts as lateness of the lab.
  const std::string connection =
      describe_connection_ && IsReported(Rule::kLost) ? describe_connection_(attempt) : "";
  RecordBreach(
      Rule::kLost, now, AttemptId(attempt),
      fmt::format(
          "no response in time, gateway {}, sent at {:.3f} s, {}{}{}{}", state.gateway,
          static_cast<double>(state.sent_at.count()) / 1e6, DescribeProgress(attempt),
          delay_ms > 0 ? fmt::format(", including {:.0f} ms of permitted delay", delay_ms) : "",
          connection.empty() ? "" : ", connection ", connection));
}

}  // namespace paddlestile::lab
