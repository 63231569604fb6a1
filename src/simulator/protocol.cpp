#include "simulator/protocol.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <type_traits>
#include <utility>

namespace paddlestile::simulator {
namespace {

using Parts = std::vector<std::string_view>;

constexpr uint32_t kMaxRosters = 16;
constexpr double kMaxMillis = 1e12;  // keeps microseconds far inside 64 bits

std::invalid_argument Bad(std::string_view what, std::string_view value,
                          std::string_view expected = {}) {
  std::string text = "bad " + std::string(what) + " '" + std::string(value) + "'";
  if (!expected.empty()) {
    text += ", expected " + std::string(expected);
  }
  return std::invalid_argument(text);
}

Parts Split(std::string_view text, char by) {
  Parts parts;
  for (size_t at = 0;;) {
    const size_t next = text.find(by, at);
    parts.push_back(text.substr(at, next - at));
    if (next == std::string_view::npos) {
      return parts;
    }
    at = next + 1;
  }
}

double ToNumber(std::string_view what, std::string_view text) {
  double value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
    throw Bad(what, text, "a number");
  }
  return value;
}

template <typename Int>
Int ToInt(std::string_view what, std::string_view text) {
  Int value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    throw Bad(what, text);
  }
  return value;
}

// A place in a list: small and not negative.
uint32_t ToIndex(std::string_view what, std::string_view text) {
  const auto value = ToInt<uint32_t>(what, text);
  if (value > 1'000'000) {
    throw Bad(what, text);
  }
  return value;
}

Duration ToTime(std::string_view what, std::string_view text) {
  const double ms = ToNumber(what, text);
  if (std::abs(ms) > kMaxMillis) {
    throw Bad(what, text);
  }
  return Duration(std::llround(ms * 1000.0));
}

bool ToBool(std::string_view what, std::string_view text) {
  if (text == "1") {
    return true;
  }
  if (text == "0") {
    return false;
  }
  throw Bad(what, text);
}

bool Absent(std::string_view text) {
  return text == "-";
}

std::string ToWord(std::string_view what, std::string_view text) {
  if (text.empty() || Absent(text)) {
    throw Bad(what, text);
  }
  return std::string(text);
}

std::optional<LoadReport> ToReport(std::string_view text) {
  if (Absent(text)) {
    return std::nullopt;
  }
  LoadReport report;
  for (const std::string_view part : Split(text, ',')) {
    report.push_back(ToNumber("load report", part));
  }
  return report;
}

Outcome ToOutcome(std::string_view text) {
  static constexpr std::pair<std::string_view, Outcome> kOutcomes[] = {
      {"OK", Outcome::kOk},
      {"INTERNAL", Outcome::kError},
      {"RESOURCE_EXHAUSTED", Outcome::kRejected},
      {"DEADLINE_EXCEEDED", Outcome::kTimeout},
      {"UNAVAILABLE", Outcome::kConnectFailed},
      {"ABORTED", Outcome::kReset},
      {"CANCELLED", Outcome::kCancelled},
      {"TOO_LATE", Outcome::kNotSent}};
  for (const auto& [word, outcome] : kOutcomes) {
    if (word == text) {
      return outcome;
    }
  }
  throw Bad("Verdict", text);
}

std::string FromBase64(std::string_view text) {
  static constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  if (Absent(text)) {
    return out;
  }
  if (text.empty() || text.size() % 4 != 0) {
    throw Bad("Bytes", text);
  }
  uint32_t bits = 0;
  int have = 0;
  const size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  for (const char c : text.substr(0, text.size() - padding)) {
    const size_t value = kAlphabet.find(c);
    if (value == std::string_view::npos) {
      throw Bad("Bytes", text);
    }
    bits = (bits << 6) | static_cast<uint32_t>(value);
    have += 6;
    if (have >= 8) {
      have -= 8;
      out.push_back(static_cast<char>((bits >> have) & 0xff));
    }
  }
  return out;
}

void NeedParts(const Parts& parts, size_t count) {
  if (parts.size() != count) {
    throw std::invalid_argument(std::string(parts[0]) + " takes " + std::to_string(count - 1) +
                                " values, not " + std::to_string(parts.size() - 1));
  }
}

EndpointUpdateKind ToListKind(std::string_view text) {
  if (text == "incr") {
    return EndpointUpdateKind::kDelta;
  }
  if (text == "total") {
    return EndpointUpdateKind::kFull;
  }
  if (text == "warm_copy") {
    return EndpointUpdateKind::kCached;
  }
  if (text == "lost") {
    return EndpointUpdateKind::kFailed;
  }
  throw Bad("Mode", text);
}

EndpointInfo ToEndpoint(const Parts& parts) {
  if (parts[0] != "host") {
    throw Bad("list entry", parts[0]);
  }
  NeedParts(parts, 8);
  EndpointInfo info;
  info.started_at = Absent(parts[1]) ? Time(0) : ToTime("Launched", parts[1]);
  info.id = ToWord("Host", parts[2]);
  if (!Absent(parts[3])) {
    info.zone = static_cast<int>(ToIndex("FailureDomain", parts[3]));
  }
  if (!Absent(parts[4])) {
    info.machine_kind = ToIndex("Hw", parts[4]);
  }
  info.weight = Absent(parts[5]) ? 1 : ToNumber("PowerHint", parts[5]);
  if (!Absent(parts[6])) {
    info.cell = static_cast<int>(ToIndex("Group", parts[6]));
  }
  if (parts[7] == "up") {
    info.state = EndpointState::kUp;
  } else if (parts[7] == "draining") {
    info.state = EndpointState::kDraining;
  } else if (parts[7] == "removed") {
    info.state = EndpointState::kRemoved;
  } else {
    throw Bad("Mode", parts[7]);
  }
  return info;
}

RequestArrived ToSubmit(const Parts& parts) {
  NeedParts(parts, 10);
  RequestArrived submit;
  submit.id = ToWord("RequestId", parts[2]);
  submit.deadline = ToTime("ClientDeadline", parts[3]);
  submit.tenant = Absent(parts[4]) ? 0 : ToIndex("Org", parts[4]);
  submit.is_write = !Absent(parts[5]) && ToBool("IsWrite", parts[5]);
  submit.request_class = ToIndex("Band", parts[6]);
  if (!Absent(parts[7])) {
    submit.key = std::string(parts[7]);
  }
  if (!Absent(parts[8])) {
    submit.expected_work = ToTime("Expected", parts[8]);
  }
  submit.is_client_retry = !Absent(parts[9]) && ToBool("AgainByClient", parts[9]);
  return submit;
}

AttemptFinished ToSettled(const Parts& parts) {
  NeedParts(parts, 9);
  AttemptFinished settled;
  settled.id = ToWord("RequestId", parts[2]);
  settled.attempt = ToIndex("Trial", parts[3]);
  settled.endpoint = ToWord("Host", parts[4]);
  settled.outcome = ToOutcome(parts[5]);
  settled.elapsed = Absent(parts[6]) ? Duration(0) : ToTime("TimeTaken", parts[6]);
  settled.request_finished = ToBool("Final", parts[7]);
  settled.load_report = ToReport(parts[8]);
  return settled;
}

void AppendMillis(Duration value, std::string& out) {
  const int64_t us = value.count();
  const int64_t magnitude = us < 0 ? -us : us;
  if (us < 0) {
    out += '-';
  }
  out += std::to_string(magnitude / 1000);
  out += '.';
  const std::string rest = std::to_string(magnitude % 1000);
  out.append(3 - rest.size(), '0');
  out += rest;
}

// ---- Settings -------------------------------------------------------------------------------

class Facts {
 public:
  explicit Facts(std::string_view text) {
    if (text.empty()) {
      return;
    }
    for (const std::string_view pair : Split(text, ' ')) {
      const size_t eq = pair.find('=');
      if (eq == std::string_view::npos || eq == 0) {
        throw Bad("setting", pair);
      }
      values_.insert_or_assign(std::string(pair.substr(0, eq)), pair.substr(eq + 1));
    }
  }

  void Read(const std::string& name, double& value) const {
    if (const auto text = Find(name)) {
      value = ToNumber(name, *text);
    }
  }
  void Read(const std::string& name, int& value) const {
    if (const auto text = Find(name)) {
      const double number = ToNumber(name, *text);
      if (number != std::floor(number) || std::abs(number) > 1e9) {
        throw Bad(name, *text, "a whole number");
      }
      value = static_cast<int>(number);
    }
  }
  void Read(const std::string& name, Duration& value) const {
    if (const auto text = Find(name)) {
      value = ToTime(name, *text);
    }
  }
  void Read(const std::string& name, bool& value) const {
    if (const auto text = Find(name)) {
      if (*text != "true" && *text != "false") {
        throw Bad(name, *text, "true or false");
      }
      value = *text == "true";
    }
  }
  template <typename Enum>
  void Read(const std::string& name, Enum& value,
            std::initializer_list<std::pair<std::string_view, Enum>> words) const {
    const auto text = Find(name);
    if (!text) {
      return;
    }
    std::string expected;
    for (const auto& [word, meaning] : words) {
      if (word == *text) {
        value = meaning;
        return;
      }
      expected += (expected.empty() ? "one of " : ", ") + std::string(word);
    }
    throw Bad(name, *text, expected);
  }
  [[nodiscard]] bool Has(const std::string& name) const { return Find(name).has_value(); }
  [[nodiscard]] Parts List(const std::string& name) const {
    const auto text = Find(name);
    return text && !text->empty() ? Split(*text, ',') : Parts{};
  }
  [[nodiscard]] std::vector<std::string> Unread() const {
    std::vector<std::string> names;
    for (const auto& [name, value] : values_) {
      if (!read_.contains(name)) {
        names.push_back(name);
      }
    }
    return names;
  }
  [[nodiscard]] int Count(const std::string& name) const {
    int count = 0;
    Read(name + ".count", count);
    if (count < 0 || count > 100000) {
      throw Bad(name + ".count", std::to_string(count), "0 to 100000");
    }
    return count;
  }

 private:
  [[nodiscard]] std::optional<std::string_view> Find(const std::string& name) const {
    const auto at = values_.find(name);
    read_.insert(name);
    if (at == values_.end() || Absent(at->second)) {
      return std::nullopt;
    }
    return at->second;
  }
  std::map<std::string, std::string_view> values_;
  mutable std::set<std::string> read_;
};

}  // namespace

namespace {

Settings Parse(const Facts& facts) {
  Settings s;
  facts.Read("Me", s.instance_index);
  facts.Read("NInstances", s.instance_count);
  facts.Read("Zone", s.zone);
  s.zone_count = std::max<int>(1, static_cast<int>(facts.List("FailureDomains").size()));
  for (int i = 0, n = facts.Count("Classes"); i < n; ++i) {
    const std::string at = "Classes." + std::to_string(i) + ".";
    RequestClass c;
    facts.Read<Idempotency>(at + "Effect", c.idempotency,
                            {{"safe", Idempotency::kSafe},
                             {"keyed", Idempotency::kKeyed},
                             {"unsafe", Idempotency::kUnsafe}});
    facts.Read<DeduplicationScope>(at + "Group", c.deduplication_scope,
                                   {{"all", DeduplicationScope::kAll},
                                    {"zone", DeduplicationScope::kZone},
                                    {"cell", DeduplicationScope::kCell}});
    facts.Read(at + "Window", c.deduplication_window);
    facts.Read(at + "Slo", c.latency_objective);
    facts.Read(at + "Deadline", c.deadline);
    facts.Read(at + "AimStretch", c.latency_objective_stretch);
    facts.Read(at + "Worth", c.priority_weight);
    facts.Read(at + "LateShare", c.late_value_fraction);
    facts.Read(at + "Streamed", c.is_streamed);
    s.classes.push_back(c);
  }
  for (int i = 0, n = facts.Count("Tenants"); i < n; ++i) {
    const std::string at = "Tenants." + std::to_string(i) + ".";
    TenantQuota t;
    facts.Read(at + "QuotaPerS", t.requests_per_second);
    facts.Read(at + "Share", t.share);
    s.tenants.push_back(t);
  }
  facts.Read("OverShareWorth", s.over_quota_priority_factor);
  enum class Value {
    kRequest,
    kWork
  } value_by = Value::kRequest;
  facts.Read<Value>("ValueBy", value_by, {{"request", Value::kRequest}, {"work", Value::kWork}});
  s.priority_scales_with_work = value_by == Value::kWork;
  facts.Read<DiscoveryMode>(
      "RegistryMode", s.discovery_mode,
      {{"automatic", DiscoveryMode::kPush}, {"subscribe", DiscoveryMode::kPoll}});
  facts.Read<WeightKind>("WeightKind", s.weight_kind,
                         {{"none", WeightKind::kNone},
                          {"nominal", WeightKind::kNominal},
                          {"rough", WeightKind::kRough},
                          {"live", WeightKind::kLive}});
  facts.Read("Callers.MarksRetry", s.clients_mark_retries);
  facts.Read("FamilyInfo.WarmKeys", s.key_affinity);
  facts.Read("Allowed.Cancel", s.allowed.cancel);
  facts.Read("Allowed.ParallelTries", s.allowed.parallel_attempts);
  facts.Read("Allowed.Probes", s.allowed.probes);
  facts.Read("Allowed.PeerMessages", s.allowed.peer_messages);
  facts.Read("Allowed.RetryAfter", s.allowed.retry_after);
  facts.Read("Allowed.MaxRetryAfter", s.allowed.max_retry_after);
  facts.Read("Allowed.ConnectTimeout", s.allowed.connect_timeout);
  facts.Read("Allowed.SendCap", s.allowed.max_attempts);
  facts.Read("Allowed.MostHeld", s.allowed.max_held_requests);
  facts.Read("Allowed.MaxStreams", s.allowed.max_streams);
  facts.Read("Allowed.CpuUsPerS", s.allowed.cpu_us_per_s);
  facts.Read("Charges.CrossZone", s.costs.cross_zone);
  facts.Read("Charges.Handshake", s.costs.handshake);
  facts.Read("Charges.LateFail", s.costs.late_failure);
  facts.Read("Charges.Probe", s.costs.probe);
  facts.Read("Charges.Waste", s.costs.wasted_work);
  facts.Read("Charges.Connection", s.costs.connection);
  facts.Read("ResultMix.Whole", s.score_weights.whole);
  facts.Read("ResultMix.WorstClass", s.score_weights.worst_class);
  facts.Read("ResultMix.WorstTenant", s.score_weights.worst_tenant);
  facts.Read("ResultMix.WorstWindow", s.score_weights.worst_window);
  facts.Read("ResultMix.NinesPart", s.score_weights.nines);
  facts.Read("ResultMix.TopNines", s.score_weights.top_nines);
  if (facts.Has("ResultMix.NinesPart") && s.score_weights.nines < 0) {
    throw Bad("ResultMix.NinesPart", std::to_string(s.score_weights.nines), "0 or more");
  }
  if (facts.Has("ResultMix.TopNines") && s.score_weights.top_nines <= 0) {
    throw Bad("ResultMix.TopNines", std::to_string(s.score_weights.top_nines), "a number above 0");
  }
  if (s.score_weights.nines > 0 && !facts.Has("ResultMix.TopNines")) {
    throw Bad("ResultMix.NinesPart", std::to_string(s.score_weights.nines),
              "ResultMix.TopNines beside it");
  }
  facts.Read("Obligations.AnswerSlack", s.rules.response_slack);
  facts.Read("Obligations.DrainGrace", s.rules.drain_grace);
  facts.Read("Obligations.MustAskIn", s.rules.discovery_interval);
  facts.Read("Obligations.ColdFrom", s.rules.slow_start_initial_capacity);
  facts.Read("Obligations.WarmWithin", s.rules.slow_start_duration);
  facts.Read("Obligations.FallMultiple", s.rules.overload_collapse_multiple);
  facts.Read("Obligations.Fall", s.rules.overload_collapse_duration);
  facts.Read<LoadReportSource>("Stats.Source", s.load_report.source,
                               {{"answers", LoadReportSource::kResponses},
                                {"probe", LoadReportSource::kProbes},
                                {"none", LoadReportSource::kNone}});
  const Parts fields = facts.List("Stats.Fields");
  for (size_t i = 0; i < fields.size(); ++i) {
    if (fields[i] == "inflight") {
      s.load_report.inflight = i;
    }
    if (fields[i] == "latency_ms") {
      s.load_report.latency_ms = i;
    }
  }
  return s;
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  return Parse(Facts(text));
}

std::vector<std::string> UnreadSettings(std::string_view text) {
  const Facts facts(text);
  Parse(facts);
  return facts.Unread();
}

// ---- Reading --------------------------------------------------------------------------------

bool ProtocolReader::GetLine() {
  ++line_no_;
  if (!std::getline(in_, line_)) {
    return false;
  }
  if (in_.eof()) {
    throw ProtocolError(line_no_, "the input ends in the middle of a line");
  }
  if (!line_.empty() && line_.back() == '\r') {
    line_.pop_back();
  }
  return true;
}

bool ProtocolReader::Next(Batch& batch) {
  batch.events.clear();
  do {
    if (!GetLine()) {
      return false;
    }
  } while (line_.empty());
  try {
    const Parts parts = Split(line_, ' ');
    if (parts[0] != "clock") {
      throw Bad("message before clock", parts[0]);
    }
    NeedParts(parts, 3);
    batch.now = ToTime("clock", parts[1]);
    batch.sequence = std::to_string(ToInt<uint64_t>("batch number", parts[2]));
    while (GetLine()) {
      if (line_ == "eob") {
        return true;
      }
      if (line_.empty()) {
        throw std::invalid_argument("an empty line inside a batch");
      }
      ParseEvent(batch);
    }
  } catch (const std::invalid_argument& error) {
    throw ProtocolError(line_no_, error.what());
  }
  throw ProtocolError(line_no_, "the input ends in the middle of a batch");
}

void ProtocolReader::ReadRoster(const Parts& parts) {
  NeedParts(parts, 3);
  const uint32_t bank = ToIndex("Bank", parts[1]);
  if (bank >= kMaxRosters) {
    throw Bad("Bank", parts[1]);
  }
  const auto count = ToInt<uint32_t>("entry count", parts[2]);
  std::vector<EndpointInfo> entries;
  std::set<std::string> seen;
  for (uint32_t i = 0; i < count; ++i) {
    if (!GetLine()) {
      throw ProtocolError(line_no_, "the input ends in the middle of a list");
    }
    entries.push_back(ToEndpoint(Split(line_, ' ')));
    if (!seen.insert(entries.back().id).second) {
      throw Bad("repeated host", entries.back().id);
    }
  }
  rosters_[bank] = std::move(entries);
}

void ProtocolReader::ParseEvent(Batch& batch) {
  // The line is kept apart, since reading a list overwrites it.
  const std::string held = line_;
  const std::string_view line = held;
  const std::string_view tag = line.substr(0, line.find(' '));
  if (tag == "start") {
    const size_t who = line.find(' ');
    const size_t seed = who == std::string_view::npos ? who : line.find(' ', who + 1);
    if (seed == std::string_view::npos) {
      throw std::invalid_argument("start lacks a value");
    }
    const size_t facts = std::min(line.find(' ', seed + 1), line.size());
    StartInstance start;
    start.seed = ToInt<uint64_t>("Prng", line.substr(seed + 1, facts - seed - 1));
    start.settings = ParseSettings(facts < line.size() ? line.substr(facts + 1) : "");
    const auto instance = ToInt<int64_t>("Who", line.substr(who + 1, seed - who - 1));
    batch.events.push_back({instance, std::move(start)});
    return;
  }
  const Parts parts = Split(line, ' ');
  if (tag == "roster") {
    return ReadRoster(parts);
  }
  static constexpr std::pair<std::string_view, size_t> kTags[] = {
      {"retire", 2},       {"announce", 5},      {"submit", 10},
      {"established", 6},  {"settled", 9},       {"client_left", 3},
      {"deadline_hit", 3}, {"health_result", 6}, {"note_from", 4}};
  const auto* known = std::find_if(std::begin(kTags), std::end(kTags),
                                   [&](const auto& entry) { return entry.first == tag; });
  if (known == std::end(kTags)) {
    throw Bad("message", tag);
  }
  NeedParts(parts, known->second);
  const auto who = ToInt<int64_t>("Who", parts[1]);
  const auto add = [&](auto event) {
    batch.events.push_back({who, Event(std::move(event))});
  };
  if (tag == "retire") {
    batch.events.push_back({who, RetireInstance{}});
  } else if (tag == "announce") {
    EndpointUpdate members;
    members.kind = ToListKind(parts[2]);
    if (!Absent(parts[3])) {
      ToInt<int64_t>("SeqNo", parts[3]);
    }
    if (members.kind != EndpointUpdateKind::kFailed) {
      const auto at = rosters_.find(ToIndex("Bank", parts[4]));
      if (at == rosters_.end()) {
        throw Bad("unknown list", parts[4]);
      }
      members.endpoints = at->second;
    }
    add(std::move(members));
  } else if (tag == "submit") {
    add(ToSubmit(parts));
  } else if (tag == "established") {
    add(ResponseStarted{ToWord("RequestId", parts[2]), ToIndex("Trial", parts[3]),
                        ToWord("Host", parts[4]),
                        Absent(parts[5]) ? Duration(0) : ToTime("TimeTaken", parts[5])});
  } else if (tag == "settled") {
    add(ToSettled(parts));
  } else if (tag == "client_left") {
    add(ClientDisconnected{ToWord("RequestId", parts[2])});
  } else if (tag == "deadline_hit") {
    add(TimerFired{std::string(parts[2])});
  } else if (tag == "health_result") {
    add(ProbeFinished{ToWord("Host", parts[2]), ToOutcome(parts[3]),
                      Absent(parts[4]) ? Duration(0) : ToTime("TimeTaken", parts[4]),
                      ToReport(parts[5])});
  } else {
    const uint32_t from = Absent(parts[2]) ? 0 : ToIndex("OriginPeer", parts[2]);
    add(PeerMessage{static_cast<int>(from), FromBase64(parts[3])});
  }
}

// ---- Printing -------------------------------------------------------------------------------

void PrintAction(int64_t instance, const Action& action, std::string& out) {
  const auto begin = [&](std::string_view tag) {
    out += tag;
    out += ' ';
    out += std::to_string(instance);
  };
  const auto word = [&](std::string_view value) {
    out += ' ';
    out += value;
  };
  const auto millis = [&](Duration value) {
    out += ' ';
    AppendMillis(value, out);
  };
  std::visit(
      [&](const auto& a) {
        using T = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<T, StartAttempt>) {
          begin("place");
          word(a.id);
          word(a.endpoint);
          millis(a.timeout);
        } else if constexpr (std::is_same_v<T, RejectRequest>) {
          begin("push_back");
          word(a.id);
          millis(a.retry_after);
        } else if constexpr (std::is_same_v<T, FailRequest>) {
          begin("surrender");
          word(a.id);
        } else if constexpr (std::is_same_v<T, CancelAttempt>) {
          begin("revoke");
          word(a.id);
          word(std::to_string(a.attempt));
        } else if constexpr (std::is_same_v<T, SetTimer>) {
          begin("arm");
          millis(a.after);
          word(a.token);
        } else if constexpr (std::is_same_v<T, StartProbe>) {
          begin("ping");
          word(a.endpoint);
        } else if constexpr (std::is_same_v<T, CloseIdleConnections>) {
          begin("free_links");
          word(a.endpoint);
        } else if constexpr (std::is_same_v<T, WatchEndpoints>) {
          begin("follow");
          word(a.on ? "1" : "0");
        } else if constexpr (std::is_same_v<T, PollEndpoints>) {
          begin("read_list");
        } else {
          static_assert(std::is_same_v<T, LogMessage>);
          begin("debug");
          word(a.text);
        }
        out += '\n';
      },
      action);
}

void PrintPanic(int64_t instance, std::string_view reason, std::string& out) {
  out += "panic " + std::to_string(instance) + ' ';
  for (const char c : reason) {
    out += c == '\n' || c == '\r' ? ' ' : c;
  }
  out += '\n';
}

void PrintEnd(std::string_view seq, std::string& out) {
  out += "end ";
  out += seq;
  out += '\n';
}

}  // namespace paddlestile::simulator
