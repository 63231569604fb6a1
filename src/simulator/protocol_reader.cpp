#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "config/balancer_settings.h"
#include "config/wire_values.h"
#include "simulator/protocol.h"

namespace paddlestile::simulator {
namespace {

using wire::Fields;
using wire::InvalidValue;
using wire::IsAbsent;
using wire::ParseIndex;
using wire::ParseInteger;
using wire::ParseMillis;
using wire::ParseNumber;
using wire::Split;

constexpr uint32_t kMaxEndpointLists = 16;

using Message = decltype(InstanceEvent::event);

void RequireFieldCount(const Fields& fields, size_t count) {
  if (fields.size() != count) {
    throw std::invalid_argument(std::string(fields[0]) + " takes " + std::to_string(count - 1) +
                                " values, not " + std::to_string(fields.size() - 1));
  }
}

// ---- Values ---------------------------------------------------------------------------------

bool ParseBool(std::string_view name, std::string_view text) {
  if (text == "1") {
    return true;
  }
  if (text == "0") {
    return false;
  }
  throw InvalidValue(name, text);
}

std::string ParseWord(std::string_view name, std::string_view text) {
  if (text.empty() || IsAbsent(text)) {
    throw InvalidValue(name, text);
  }
  return std::string(text);
}

Duration ParseElapsed(std::string_view text) {
  return IsAbsent(text) ? Duration(0) : ParseMillis("TimeTaken", text);
}

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  if (IsAbsent(text)) {
    return std::nullopt;
  }
  LoadReport report;
  for (const std::string_view value : Split(text, ',')) {
    report.push_back(ParseNumber("load report", value));
  }
  return report;
}

template <typename Enum>
using Words = std::initializer_list<std::pair<std::string_view, Enum>>;

template <typename Enum>
Enum ParseEnum(std::string_view name, std::string_view text, Words<Enum> words) {
  for (const auto& [word, value] : words) {
    if (word == text) {
      return value;
    }
  }
  throw InvalidValue(name, text);
}

Outcome ParseOutcome(std::string_view text) {
  return ParseEnum<Outcome>("Verdict", text,
                            {{"OK", Outcome::kOk},
                             {"INTERNAL", Outcome::kError},
                             {"RESOURCE_EXHAUSTED", Outcome::kRejected},
                             {"DEADLINE_EXCEEDED", Outcome::kTimeout},
                             {"UNAVAILABLE", Outcome::kConnectFailed},
                             {"ABORTED", Outcome::kReset},
                             {"CANCELLED", Outcome::kCancelled},
                             {"TOO_LATE", Outcome::kNotSent}});
}

EndpointUpdateKind ParseUpdateKind(std::string_view text) {
  return ParseEnum<EndpointUpdateKind>("Mode", text,
                                       {{"incr", EndpointUpdateKind::kDelta},
                                        {"total", EndpointUpdateKind::kFull},
                                        {"warm_copy", EndpointUpdateKind::kCached},
                                        {"lost", EndpointUpdateKind::kFailed}});
}

EndpointState ParseEndpointState(std::string_view text) {
  return ParseEnum<EndpointState>("Mode", text,
                                  {{"up", EndpointState::kUp},
                                   {"draining", EndpointState::kDraining},
                                   {"removed", EndpointState::kRemoved}});
}

std::string DecodeBase64(std::string_view text) {
  static constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr int kBitsPerCharacter = 6;
  constexpr int kBitsPerByte = 8;
  if (IsAbsent(text)) {
    return {};
  }
  if (text.empty() || text.size() % 4 != 0) {
    throw InvalidValue("Bytes", text);
  }
  const size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  std::string bytes;
  uint32_t bits = 0;
  int bit_count = 0;
  for (const char character : text.substr(0, text.size() - padding)) {
    const size_t value = kAlphabet.find(character);
    if (value == std::string_view::npos) {
      throw InvalidValue("Bytes", text);
    }
    bits = (bits << kBitsPerCharacter) | static_cast<uint32_t>(value);
    bit_count += kBitsPerCharacter;
    if (bit_count >= kBitsPerByte) {
      bit_count -= kBitsPerByte;
      bytes.push_back(static_cast<char>((bits >> bit_count) & 0xff));
    }
  }
  return bytes;
}

// ---- Messages. Their fields are positional. ---------------------------------------------------

EndpointInfo ParseEndpoint(const Fields& fields) {
  if (fields[0] != "host") {
    throw InvalidValue("list entry", fields[0]);
  }
  RequireFieldCount(fields, 8);
  EndpointInfo info;
  info.started_at = IsAbsent(fields[1]) ? Time(0) : ParseMillis("Launched", fields[1]);
  info.id = ParseWord("Host", fields[2]);
  if (!IsAbsent(fields[3])) {
    info.zone = static_cast<int>(ParseIndex("FailureDomain", fields[3]));
  }
  if (!IsAbsent(fields[4])) {
    info.machine_kind = ParseIndex("Hw", fields[4]);
  }
  info.weight = IsAbsent(fields[5]) ? 1 : ParseNumber("PowerHint", fields[5]);
  if (!IsAbsent(fields[6])) {
    info.cell = static_cast<int>(ParseIndex("Group", fields[6]));
  }
  info.state = ParseEndpointState(fields[7]);
  return info;
}

Message ParseRetire(const Fields& /*fields*/) {
  return RetireInstance{};
}

Message ParseRequestArrived(const Fields& fields) {
  RequestArrived request;
  request.id = ParseWord("RequestId", fields[2]);
  request.deadline = ParseMillis("ClientDeadline", fields[3]);
  request.tenant = IsAbsent(fields[4]) ? 0 : ParseIndex("Org", fields[4]);
  request.is_write = !IsAbsent(fields[5]) && ParseBool("IsWrite", fields[5]);
  request.request_class = ParseIndex("Band", fields[6]);
  if (!IsAbsent(fields[7])) {
    request.key = std::string(fields[7]);
  }
  if (!IsAbsent(fields[8])) {
    request.expected_work = ParseMillis("Expected", fields[8]);
  }
  request.is_client_retry = !IsAbsent(fields[9]) && ParseBool("AgainByClient", fields[9]);
  return Event(std::move(request));
}

Message ParseResponseStarted(const Fields& fields) {
  ResponseStarted started;
  started.id = ParseWord("RequestId", fields[2]);
  started.attempt = ParseIndex("Trial", fields[3]);
  started.endpoint = ParseWord("Host", fields[4]);
  started.elapsed = ParseElapsed(fields[5]);
  return Event(std::move(started));
}

Message ParseAttemptFinished(const Fields& fields) {
  AttemptFinished finished;
  finished.id = ParseWord("RequestId", fields[2]);
  finished.attempt = ParseIndex("Trial", fields[3]);
  finished.endpoint = ParseWord("Host", fields[4]);
  finished.outcome = ParseOutcome(fields[5]);
  finished.elapsed = ParseElapsed(fields[6]);
  finished.request_finished = ParseBool("Final", fields[7]);
  finished.load_report = ParseLoadReport(fields[8]);
  return Event(std::move(finished));
}

Message ParseClientDisconnected(const Fields& fields) {
  return Event(ClientDisconnected{ParseWord("RequestId", fields[2])});
}

Message ParseTimerFired(const Fields& fields) {
  return Event(TimerFired{std::string(fields[2])});
}

Message ParseProbeFinished(const Fields& fields) {
  ProbeFinished probe;
  probe.endpoint = ParseWord("Host", fields[2]);
  probe.outcome = ParseOutcome(fields[3]);
  probe.elapsed = ParseElapsed(fields[4]);
  probe.load_report = ParseLoadReport(fields[5]);
  return Event(std::move(probe));
}

Message ParsePeerMessage(const Fields& fields) {
  const uint32_t from = IsAbsent(fields[2]) ? 0 : ParseIndex("OriginPeer", fields[2]);
  return Event(PeerMessage{static_cast<int>(from), DecodeBase64(fields[3])});
}

// The format of a message whose first field is a tag and whose second field is an instance.
struct MessageFormat {
  std::string_view tag;
  size_t field_count;
  Message (*parse)(const Fields& fields);  // nullptr: needs the reader's endpoint lists
};

constexpr MessageFormat kMessageFormats[] = {
    {"retire", 2, &ParseRetire},           {"announce", 5, nullptr},
    {"submit", 10, &ParseRequestArrived},  {"established", 6, &ParseResponseStarted},
    {"settled", 9, &ParseAttemptFinished}, {"client_left", 3, &ParseClientDisconnected},
    {"deadline_hit", 3, &ParseTimerFired}, {"health_result", 6, &ParseProbeFinished},
    {"note_from", 4, &ParsePeerMessage}};

const MessageFormat& FindFormat(std::string_view tag) {
  const auto* const format = std::ranges::find(kMessageFormats, tag, &MessageFormat::tag);
  if (format == std::end(kMessageFormats)) {
    throw InvalidValue("message", tag);
  }
  return *format;
}

// Parses "start INSTANCE SEED SETTINGS". The settings are the rest of the line.
InstanceEvent ParseStart(std::string_view line) {
  const size_t instance_at = line.find(' ');
  const size_t seed_at =
      instance_at == std::string_view::npos ? instance_at : line.find(' ', instance_at + 1);
  if (seed_at == std::string_view::npos) {
    throw std::invalid_argument("start lacks a value");
  }
  const size_t settings_at = std::min(line.find(' ', seed_at + 1), line.size());
  StartInstance start;
  start.seed = ParseInteger<uint64_t>("Prng", line.substr(seed_at + 1, settings_at - seed_at - 1));
  start.settings = ParseSettings(settings_at < line.size() ? line.substr(settings_at + 1) : "");
  const auto instance =
      ParseInteger<int64_t>("Who", line.substr(instance_at + 1, seed_at - instance_at - 1));
  return {instance, std::move(start)};
}

}  // namespace

bool ProtocolReader::GetLine() {
  ++line_number_;
  if (!std::getline(in_, line_)) {
    return false;
  }
  if (in_.eof()) {
    throw ProtocolError(line_number_, "the input ends in the middle of a line");
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
    const Fields fields = Split(line_, ' ');
    if (fields[0] != "clock") {
      throw InvalidValue("message before clock", fields[0]);
    }
    RequireFieldCount(fields, 3);
    batch.now = ParseMillis("clock", fields[1]);
    batch.sequence = std::to_string(ParseInteger<uint64_t>("batch number", fields[2]));
    while (GetLine()) {
      if (line_ == "eob") {
        return true;
      }
      if (line_.empty()) {
        throw std::invalid_argument("an empty line inside a batch");
      }
      ParseLine(batch);
    }
  } catch (const std::invalid_argument& error) {
    throw ProtocolError(line_number_, error.what());
  }
  throw ProtocolError(line_number_, "the input ends in the middle of a batch");
}

void ProtocolReader::ParseLine(Batch& batch) {
  // A copy, because reading an endpoint list overwrites line_.
  const std::string line = line_;
  const std::string_view tag = std::string_view(line).substr(0, line.find(' '));
  if (tag == "start") {
    batch.events.push_back(ParseStart(line));
    return;
  }
  const Fields fields = Split(line, ' ');
  if (tag == "roster") {
    return ParseEndpointList(fields);
  }
  const MessageFormat& format = FindFormat(tag);
  RequireFieldCount(fields, format.field_count);
  const auto instance = ParseInteger<int64_t>("Who", fields[1]);
  Message message =
      format.parse != nullptr ? format.parse(fields) : Message(Event(ParseEndpointUpdate(fields)));
  batch.events.push_back({instance, std::move(message)});
}

void ProtocolReader::ParseEndpointList(const Fields& fields) {
  RequireFieldCount(fields, 3);
  const uint32_t number = ParseIndex("Bank", fields[1]);
  if (number >= kMaxEndpointLists) {
    throw InvalidValue("Bank", fields[1]);
  }
  const auto count = ParseInteger<uint32_t>("entry count", fields[2]);
  std::vector<EndpointInfo> endpoints;
  std::set<std::string> seen;
  for (uint32_t i = 0; i < count; ++i) {
    if (!GetLine()) {
      throw ProtocolError(line_number_, "the input ends in the middle of a list");
    }
    endpoints.push_back(ParseEndpoint(Split(line_, ' ')));
    if (!seen.insert(endpoints.back().id).second) {
      throw InvalidValue("repeated host", endpoints.back().id);
    }
  }
  endpoint_lists_[number] = std::move(endpoints);
}

EndpointUpdate ProtocolReader::ParseEndpointUpdate(const Fields& fields) const {
  EndpointUpdate update;
  update.kind = ParseUpdateKind(fields[2]);
  if (!IsAbsent(fields[3])) {
    ParseInteger<int64_t>("SeqNo", fields[3]);
  }
  if (update.kind == EndpointUpdateKind::kFailed) {
    return update;
  }
  const auto list = endpoint_lists_.find(ParseIndex("Bank", fields[4]));
  if (list == endpoint_lists_.end()) {
    throw InvalidValue("unknown list", fields[4]);
  }
  update.endpoints = list->second;
  return update;
}

}  // namespace paddlestile::simulator
