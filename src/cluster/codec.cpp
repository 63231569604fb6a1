#include "cluster/codec.h"

#include <string>
#include <utility>
#include <vector>

#include "raft/json_decoding.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

ChangeRequest AWish(const json& v) {
  ChangeRequest wish;
  wish.kind = raft::DecodeEnum(v.at(0), ChangeRequest::Kind::kReplaceVoter);
  wish.name = v.at(1);
  wish.change = {v.at(2), v.at(3), v.at(4), v.at(5), std::nullopt, v.at(7), false};
  if (!v.at(6).is_null()) {
    wish.change.expected_version = v.at(6).get<uint64_t>();
  }
  wish.change.is_delta = v.size() > 8;
  if (wish.change.is_delta) {
    wish.change.document = v.at(8);
  }
  return wish;
}

ChangeResult AnAnswer(const json& v) {
  return {raft::DecodeEnum(v.at(0), ChangeResult::Kind::kUnknown), v.at(1), v.at(2), v.at(3)};
}

}  // namespace

json ToJson(const ChangeRequest& w) {
  const Change& c = w.change;
  json all = {w.kind, w.name, c.id, c.author, c.reason, c.submitted_unix_s,
              c.expected_version ? json(*c.expected_version) : json(),
              // Where a whole version stands a delta is not: a program that knows none refuses it.
              c.is_delta ? std::string() : c.document};
  if (c.is_delta) {
    all.push_back(c.document);
  }
  return all;
}

json ToJson(const ChangeResult& a) {
  return {a.kind, a.id, a.version, a.text};
}

json ToJson(const MemberMessage& n) {
  return {n.from, n.to, n.request ? ToJson(*n.request) : json(),
          n.result ? ToJson(*n.result) : json()};
}

std::optional<ChangeRequest> ReadWish(const json& v) {
  return raft::TryDecode([&] { return AWish(v); });
}

std::optional<ChangeResult> ReadAnswer(const json& v) {
  return raft::TryDecode([&] { return AnAnswer(v); });
}

std::optional<MemberMessage> ReadNote(const json& v) {
  return raft::TryDecode([&] {
    MemberMessage n{v.at(0), v.at(1), std::nullopt, std::nullopt};
    if (!v.at(2).is_null()) {
      n.request = AWish(v.at(2));
    }
    if (!v.at(3).is_null()) {
      n.result = AnAnswer(v.at(3));
    }
    return n;
  });
}

}  // namespace paddlestile::cluster
