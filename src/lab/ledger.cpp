#include "lab/ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <utility>

namespace paddlestile::lab {
namespace {
constexpr uint64_t kKeptOfARule = 20;   // breaches told one by one; the rest are counted
constexpr Duration kCopyGrace{50'000};  // us; until an abandoned connection's end is seen
constexpr Duration kCrossing{1'000};    // us; between two connections of one gateway
constexpr size_t kWindowsMost = 4000;
}  // namespace

std::string_view NameOf(Rule rule) {
  switch (rule) {
    case Rule::kLost:
      return "lost";
    case Rule::kAnsweredTwice:
      return "answered twice";
    case Rule::kNotItsAnswer:
      return "served another's answer";
    case Rule::kTwice:
      return "sent again unlawfully";
    case Rule::kRefusedAfterRun:
      return "refused after it may have run";
    case Rule::kDrain:
      return "sent to a draining host";
    case Rule::kCold:
      return "a cold host fell over";
    case Rule::kInvented:
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
    case Excuse::kQueued:
      return "late in the queue";
    case Excuse::kGatewayDown:
      return "gateway down";
    case Excuse::kCrossed:
      return "crossed a close";
    case Excuse::kNoConnection:
      return "no connection left";
  }
  return "";
}

std::string MakeAnswerBody(std::string_view id, uint64_t receipt, size_t size) {
  std::string body = fmt::format("id={} receipt={}\n", id, receipt);
  // A pattern that moves with the receipt, so that a part of another body never fits.
  while (body.size() < size) {
    body += static_cast<char>('a' + (body.size() * 7 + receipt * 3) % 26);
  }
  return body;
}

void Ledger::Break(Rule rule, Time at, std::string id, std::string what) {
  counts_.first_breach = counts_.all_breaches() == 0 ? at : std::min(counts_.first_breach, at);
  counts_.last_breach = std::max(counts_.last_breach, at);
  if (IsTold(rule)) {
    breaches_.push_back({rule, at, std::move(id), std::move(what)});
  }
  ++counts_.breaches[static_cast<size_t>(rule)];
}

bool Ledger::IsTold(Rule rule) const {
  return counts_.breaches[static_cast<size_t>(rule)] < kKeptOfARule;
}

uint64_t Ledger::Counts::all_breaches() const {
  return std::accumulate(breaches.begin(), breaches.end(), uint64_t{0});
}

Ledger::Window& Ledger::WindowOf(Time asked) {
  const auto second = std::min(static_cast<size_t>(asked.count() / 1'000'000), kWindowsMost);
  if (second >= windows_.size()) {
    windows_.resize(second + 1);
  }
  return windows_[second];
}

// ---- The clients' side ------------------------------------------------------------------------

size_t Ledger::Ask(Time now, const AskFacts& facts) {
  asks_.push_back({.facts = facts, .asked = now});
  const double worth = rules_.classes[facts.cls].priority_weight;
  Window& window = WindowOf(now);
  ++counts_.asked;
  ++window.asked;
  counts_.worth_asked += worth;
  window.worth_asked += worth;
  ++open_;
  return asks_.size() - 1;
}

size_t Ledger::Try(Time now, size_t ask, size_t gateway, Time deadline) {
  tries_.push_back({.ask = ask, .gateway = gateway, .deadline = deadline, .handed = now});
  ++counts_.tries;
  due_.emplace(deadline, tries_.size() - 1);
  return tries_.size() - 1;
}

void Ledger::Answered(Time now, size_t n, int status, std::string_view body) {
  TryState& t = tries_[n];
  if (t.lost) {
    return;  // its time was up; counted by then
  }
  if (t.over) {
    return Extra(now, n, fmt::format("a second answer, {}", status));
  }
  t.over = true;
  if (now > t.deadline && t.delay && t.delay->by > Duration(0)) {
    ++counts_.excused[static_cast<size_t>(t.delay->excuse)];
  }
  AskState& a = asks_[t.ask];
  a.last_status = status;
  bool ran = false;
  for (uint64_t r = t.last_receipt; r > 0; r = receipts_[r - 1].before) {
    ran = ran || receipts_[r - 1].may_have_run;
  }
  const RequestClass& cls = rules_.classes[a.facts.cls];
  if (status == 200) {
    const std::string id = IdOf(n);
    bool its_own = false;
    for (uint64_t r = t.last_receipt; r > 0 && !its_own; r = receipts_[r - 1].before) {
      its_own = body == MakeAnswerBody(id, r - 1, a.facts.answer_bytes);
    }
    if (!its_own) {
      Break(Rule::kNotItsAnswer, now, id,
            fmt::format("a body of {} bytes that no host made for it", body.size()));
      return;
    }
    if (a.served) {
      return;
    }
    a.served = true;
    const Duration took = now - a.asked;
    Window& window = WindowOf(a.asked);
    const bool late = took > cls.latency_objective;
    const double worth = cls.priority_weight * (late ? cls.late_value_fraction : 1);
    ++counts_.served;
    ++window.served;
    if (late) {
      ++counts_.late;
      ++window.late;
    }
    counts_.worth_served += worth;
    window.worth_served += worth;
    window.latency_us.push_back(static_cast<uint32_t>(std::min<int64_t>(took.count(), UINT32_MAX)));
  } else if (status == 429 || status == 503) {
    const bool harmless = cls.idempotency == Idempotency::kSafe ||
                          (cls.idempotency == Idempotency::kKeyed &&
                           cls.deduplication_scope == DeduplicationScope::kAll);
    if (ran && !harmless) {
      Break(Rule::kRefusedAfterRun, now, IdOf(n), fmt::format("{} though it may have run", status));
    }
  }
}

void Ledger::Broken(Time now, size_t n, std::string_view why) {
  TryState& t = tries_[n];
  if (std::exchange(t.over, true)) {
    return;
  }
  asks_[t.ask].last_status = 0;
  if (!t.taken) {
    return;
  }
  ++counts_.lost;
  Break(Rule::kLost, now, IdOf(n), std::string(why));
}

void Ledger::Refused(Time now, size_t n, std::string_view why) {
  tries_[n].taken = true;
  Broken(now, n, why);
}

void Ledger::ClientLeft(size_t n) {
  TryState& t = tries_[n];
  if (std::exchange(t.over, true)) {
    return;
  }
  asks_[t.ask].last_status = 0;
  ++counts_.left;
}

void Ledger::Excused(size_t n, Excuse excuse) {
  TryState& t = tries_[n];
  if (std::exchange(t.over, true)) {
    return;
  }
  asks_[t.ask].last_status = 0;
  ++counts_.excused[static_cast<size_t>(excuse)];
}

Duration Ledger::DelayOf(size_t n) {
  TryState& t = tries_[n];
  if (!t.delay) {
    t.delay = delay_of_ ? delay_of_(n).value_or(Delay{}) : Delay{};
  }
  return t.delay->by;
}

void Ledger::Over(Time now, size_t ask) {
  (void)now;
  AskState& a = asks_[ask];
  if (std::exchange(a.over, true)) {
    return;
  }
  --open_;
  if (a.served) {
    return;
  }
  Window& window = WindowOf(a.asked);
  const bool refused = a.last_status == 429 || a.last_status == 503;
  ++(refused ? counts_.refused : counts_.failed);
  ++(refused ? window.refused : window.failed);
}

void Ledger::Extra(Time now, size_t n, std::string_view what) {
  ++counts_.answered_twice;
  Break(Rule::kAnsweredTwice, now, n < tries_.size() ? IdOf(n) : "", std::string(what));
}

// ---- The hosts' side --------------------------------------------------------------------------

std::string Ledger::IdOf(size_t n) const {
  return fmt::format("{}-{:x}", rules_.id_prefix, n);
}

size_t Ledger::Find(std::string_view id) const {
  const size_t prefix = rules_.id_prefix.size();
  if (id.size() < prefix + 2 || id.substr(0, prefix) != rules_.id_prefix || id[prefix] != '-') {
    return SIZE_MAX;
  }
  size_t n = 0;
  const char* const end = id.data() + id.size();
  const auto read = std::from_chars(id.data() + prefix + 1, end, n, 16);
  return read.ec == std::errc() && read.ptr == end && n < tries_.size() ? n : SIZE_MAX;
}

uint64_t Ledger::Received(Time now, size_t n, size_t host, int zone, int cell, Time first) {
  TryState& t = tries_[n];
  const RequestClass& cls = rules_.classes[asks_[t.ask].facts.cls];
  const uint64_t number = receipts_.size();
  ++counts_.receipts;
  bool unlawful = false;
  std::string why;
  size_t copy = 1;
  for (uint64_t r = t.last_receipt; r > 0; r = receipts_[r - 1].before) {
    const Receipt& was = receipts_[r - 1];
    if (was.open) {
      suspects_.push_back({now, r - 1, number});
    }
    copy += was.may_have_run ? 1 : 0;
    if (!was.may_have_run || unlawful) {
      continue;
    }
    if (cls.idempotency == Idempotency::kUnsafe) {
      unlawful = true;
      why = "a class that may run once";
    }
    if (cls.idempotency != Idempotency::kKeyed) {
      continue;
    }
    if ((cls.deduplication_scope == DeduplicationScope::kZone && was.zone != zone) ||
        (cls.deduplication_scope == DeduplicationScope::kCell && was.cell != cell)) {
      unlawful = true;
      why = "outside the group that drops its repeats";
    } else if (first - was.at > cls.deduplication_window + rules_.slack + lag_) {
      unlawful = true;
      why = fmt::format("{} ms after the first, past its window", (first - was.at).count() / 1000);
    }
  }
  if (unlawful) {
    ++counts_.twice_unlawful;
    Break(Rule::kTwice, now, IdOf(n), why);
  }
  const auto told = told_.find({t.gateway, host});
  if (told != told_.end() && first - told->second > rules_.drain_grace + rules_.slack + lag_) {
    ++counts_.late_sends;
    Break(Rule::kDrain, now, IdOf(n),
          fmt::format("gateway {} sent to host {} {} ms after it was told", t.gateway, host,
                      (first - told->second).count() / 1000));
  }
  receipts_.push_back({n, host, now, zone, cell, true, true, t.last_receipt});
  t.last_receipt = number + 1;
  ++t.receipts;
  if (receipt_) {
    receipt_(now, n, host, copy);
  }
  return number;
}

void Ledger::CountKey(const Receipt& receipt) {
  const AskFacts& facts = asks_[tries_[receipt.n].ask].facts;
  const RequestClass& cls = rules_.classes[facts.cls];
  if (cls.idempotency != Idempotency::kKeyed) {
    return;
  }
  const auto [at, fresh] = keys_.try_emplace(facts.key, receipt.at);
  if (fresh) {
    return;
  }
  if (receipt.at - at->second > cls.deduplication_window) {
    ++counts_.keys_run_again;
  }
  at->second = std::max(at->second, receipt.at);
}

void Ledger::TurnedAway(uint64_t receipt) {
  receipts_[receipt].may_have_run = false;
}

void Ledger::Done(Time now, uint64_t receipt, bool answered) {
  Receipt& r = receipts_[receipt];
  if (!std::exchange(r.open, false)) {
    return;
  }
  if (r.may_have_run) {
    CountKey(r);
  }
  if (!answered) {
    return;
  }
  // It was really out when the copy came. Both at nearly one moment: its end may have been on the
  // way, and only another connection's bytes were read first.
  for (Suspect& s : suspects_) {
    if (s.first == receipt && now - s.at > kCrossing) {
      s.sure = true;
    }
  }
}

void Ledger::Invented(Time now, std::string_view id, std::string_view what) {
  Break(Rule::kInvented, now, std::string(id), std::string(what));
}

void Ledger::FellOver(Time now, const std::string& host) {
  ++counts_.fell_over;
  Break(Rule::kCold, now, host, "more was sent than a host that has just started can take");
}

// ---- The source's side ------------------------------------------------------------------------

void Ledger::Told(Time now, size_t gateway, size_t host) {
  told_.try_emplace({gateway, host}, now);
}

void Ledger::Forgets(size_t gateway) {
  std::erase_if(told_, [&](const auto& entry) { return entry.first.first == gateway; });
}

// ---- The account ------------------------------------------------------------------------------

void Ledger::Advance(Time now, Duration lag) {
  lag_ = lag;
  while (!suspects_.empty() && now - suspects_.front().at >= kCopyGrace + lag) {
    const Suspect s = suspects_.front();
    suspects_.pop_front();
    if (!s.sure && !receipts_[s.first].open) {
      continue;
    }
    ++counts_.twice_unlawful;
    Break(Rule::kTwice, s.at, IdOf(receipts_[s.second].n), "while an earlier copy was still out");
  }
  const Duration allowed = 2 * rules_.slack + lag;
  while (!due_.empty() && now > due_.begin()->first + allowed) {
    const auto [deadline, n] = *due_.begin();
    due_.erase(due_.begin());
    const TryState& t = tries_[n];
    if (t.over || !t.taken) {
      continue;
    }
    if (const Duration delay = DelayOf(n); delay > Duration(0)) {
      delayed_.emplace(deadline + delay, n);
      continue;
    }
    Unanswered(now, n);
  }
  while (!delayed_.empty() && now > delayed_.begin()->first + allowed) {
    const size_t n = delayed_.begin()->second;
    delayed_.erase(delayed_.begin());
    if (!tries_[n].over) {
      Unanswered(now, n);
    }
  }
}

void Ledger::Unanswered(Time now, size_t n) {
  TryState& t = tries_[n];
  t.over = t.lost = true;
  asks_[t.ask].last_status = 0;
  ++counts_.lost;
  const double delay_ms = static_cast<double>(DelayOf(n).count()) / 1000;
  // Looking for it takes time, which counts as the lab's own lateness.
  const std::string connection =
      describe_connection_ && IsTold(Rule::kLost) ? describe_connection_(n) : "";
  Break(Rule::kLost, now, IdOf(n),
        fmt::format("no answer in its time, gateway {}, handed at {:.3f} s{}{}{}", t.gateway,
                    static_cast<double>(t.handed.count()) / 1e6,
                    delay_ms > 0 ? fmt::format(", nor {:.0f} ms later", delay_ms) : "",
                    connection.empty() ? "" : ", connection ", connection));
}

}  // namespace paddlestile::lab
