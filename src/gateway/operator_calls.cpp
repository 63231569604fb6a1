#include "gateway/operator_calls.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "cluster/codec.h"
#include "cluster/delta.h"

namespace paddlestile {
namespace {

using nlohmann::json;

constexpr size_t kMaxPendingCalls = 64;
constexpr size_t kMaxHistoryTextBytes = 2 * cluster::kMaxVersionBytes;  // per reply

// Returns the texts of the versions whose numbers are in the array `wanted`, or of all versions if
// it is not an array. The oldest texts are left out if they exceed kMaxHistoryTextBytes.
std::map<uint64_t, std::string> TextsOf(const cluster::VersionHistory& history,
                                        const json& wanted) {
  std::map<uint64_t, std::string> texts;
  size_t bytes = 0;
  for (auto version = history.versions().rbegin(); version != history.versions().rend();
       ++version) {
    const bool is_wanted =
        !wanted.is_array() || std::ranges::find(wanted, json(version->number)) != wanted.end();
    if (!version->content || !is_wanted) {
      continue;
    }
    bytes += cluster::TextBytes(*version->content);
    if (bytes > kMaxHistoryTextBytes) {
      break;
    }
    texts[version->number] = cluster::ToText(*version->content);
  }
  return texts;
}

// Returns why this gateway could not apply the change, or an empty string if it could. A change
// that is invalid by itself also gives an empty string, because the leader reports all of its
// faults.
std::string WhyNotApplicable(const cluster::Change& change, const cluster::VersionHistory& history,
                             const VersionApplier& applier) {
  try {
    const cluster::VersionContent content =
        change.is_delta ? cluster::ApplyDelta(history.latest_content(), change.document)
                        : cluster::VersionContent(cluster::ParseDocument(change.document));
    return applier.WhyNotApplicable(content);
  } catch (const std::invalid_argument&) {
    return {};
  }
}

}  // namespace

OperatorCalls::Request OperatorCalls::ParseRequest(const json& value) {
  if (!value.is_object()) {
    return {};
  }
  const std::string call_name = value.value("what", "");
  if (call_name == "status") {
    return {Request::Kind::kStatus, std::nullopt};
  }
  if (call_name == "history") {
    return {Request::Kind::kHistory, std::nullopt};
  }
  // The protocol's key of a change request is "wish".
  if (!value.contains("wish")) {
    return {};
  }
  auto change = cluster::ParseChangeRequest(value["wish"]);
  if (!change) {
    return {};
  }
  return {Request::Kind::kChange, std::move(change)};
}

json OperatorCalls::HistoryReply(const json& value, const cluster::VersionHistory& history) {
  std::map<uint64_t, std::string> texts = TextsOf(history, value.value("texts", json()));
  json versions = json::array();
  for (const cluster::Version& version : history.versions()) {
    versions.push_back({{"version", version.number},
                        {"id", version.id},
                        {"author", version.author},
                        {"reason", version.reason},
                        {"hash", version.hash},
                        {"unix_s", version.submitted_unix_s},
                        {"rules", std::move(texts[version.number])},
                        {"on", version.number <= history.version_in_force()}});
  }
  return {{"versions", versions}};
}

std::optional<json> OperatorCalls::RejectionOf(const cluster::ChangeRequest& request,
                                               const cluster::VersionHistory& history,
                                               const VersionApplier& applier,
                                               bool is_current) const {
  using Kind = cluster::ChangeResult::Kind;
  const cluster::Change& change = request.change;
  if (request.kind == cluster::ChangeRequest::Kind::kChange) {
    const std::string reason = WhyNotApplicable(change, history, applier);
    if (!reason.empty() && change.is_delta && !is_current) {
      return ResultReply({Kind::kNoLeader, change.id, 0, "the member catches up"});
    }
    if (!reason.empty()) {
      return ResultReply({Kind::kRefused, change.id, 0, reason});
    }
  }
  if (pending_calls_.size() >= kMaxPendingCalls) {
    return ErrorReply("too many calls at once");
  }
  return std::nullopt;
}

uint64_t OperatorCalls::AddPending(uint64_t call) {
  const uint64_t request_number = next_request_number_++;
  pending_calls_[request_number] = call;
  return request_number;
}

std::optional<uint64_t> OperatorCalls::TakePending(uint64_t request_number) {
  const auto pending = pending_calls_.find(request_number);
  if (pending == pending_calls_.end()) {
    return std::nullopt;
  }
  const uint64_t call = pending->second;
  pending_calls_.erase(pending);
  return call;
}

json OperatorCalls::ResultReply(const cluster::ChangeResult& result) {
  return {{"answer", cluster::ToJson(result)}};
}

json OperatorCalls::ErrorReply(const std::string& text) {
  return {{"error", text}};
}

}  // namespace paddlestile
