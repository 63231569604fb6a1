#include "cluster/codec.h"

#include <string>
#include <utility>
#include <vector>

#include "raft/json_decoding.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

constexpr size_t kDeltaPosition = 8;  // in a change request; absent for a whole version

ChangeRequest DecodeChangeRequest(const json& value) {
  ChangeRequest request;
  request.kind = raft::DecodeEnum(value.at(0), ChangeRequest::Kind::kReplaceVoter);
  request.name = value.at(1);
  Change& change = request.change;
  change.id = value.at(2);
  change.author = value.at(3);
  change.reason = value.at(4);
  change.submitted_unix_s = value.at(5);
  if (!value.at(6).is_null()) {
    change.expected_version = value.at(6).get<uint64_t>();
  }
  change.document = value.at(7);
  change.is_delta = value.size() > kDeltaPosition;
  if (change.is_delta) {
    change.document = value.at(kDeltaPosition);
  }
  return request;
}

ChangeResult DecodeChangeResult(const json& value) {
  return {raft::DecodeEnum(value.at(0), ChangeResult::Kind::kUnknown), value.at(1), value.at(2),
          value.at(3)};
}

}  // namespace

json ToJson(const ChangeRequest& request) {
  const Change& change = request.change;
  json value = {request.kind, request.name, change.id, change.author, change.reason,
                change.submitted_unix_s,
                change.expected_version ? json(*change.expected_version) : json(),
                // Empty for a delta: a build without deltas refuses an empty text as a version.
                change.is_delta ? std::string() : change.document};
  if (change.is_delta) {
    value.push_back(change.document);
  }
  return value;
}

json ToJson(const ChangeResult& result) {
  return {result.kind, result.id, result.version, result.text};
}

json ToJson(const MemberMessage& message) {
  return {message.from, message.to, message.request ? ToJson(*message.request) : json(),
          message.result ? ToJson(*message.result) : json()};
}

std::optional<ChangeRequest> ParseChangeRequest(const json& value) {
  return raft::TryDecode([&] { return DecodeChangeRequest(value); });
}

std::optional<ChangeResult> ParseChangeResult(const json& value) {
  return raft::TryDecode([&] { return DecodeChangeResult(value); });
}

std::optional<MemberMessage> ParseMemberMessage(const json& value) {
  return raft::TryDecode([&] {
    MemberMessage message{value.at(0), value.at(1), std::nullopt, std::nullopt};
    if (!value.at(2).is_null()) {
      message.request = DecodeChangeRequest(value.at(2));
    }
    if (!value.at(3).is_null()) {
      message.result = DecodeChangeResult(value.at(3));
    }
    return message;
  });
}

}  // namespace paddlestile::cluster
