#include "cluster/codec.h"

#include <string>
#include <utility>
#include <vector>

#include "raft/json_decoding.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

Wish AWish(const json& v) {
  Wish wish;
  wish.kind = raft::DecodeEnum(v.at(0), Wish::Kind::kReplaceVoter);
  wish.name = v.at(1);
  wish.change = {v.at(2), v.at(3), v.at(4), v.at(5), std::nullopt, v.at(7), false};
  if (!v.at(6).is_null()) wish.change.expect = v.at(6).get<uint64_t>();
  wish.change.delta = v.size() > 8;
  if (wish.change.delta) wish.change.rules = v.at(8);
  return wish;
}

Answer AnAnswer(const json& v) {
  return {raft::DecodeEnum(v.at(0), Answer::Kind::kUnknown), v.at(1), v.at(2), v.at(3)};
}

}  // namespace

json ToJson(const Wish& w) {
  const Change& c = w.change;
  json all = {w.kind, w.name, c.id, c.author, c.reason, c.unix_s,
              c.expect ? json(*c.expect) : json(),
              // Where a whole version stands a delta is not: a program that knows none refuses it.
              c.delta ? std::string() : c.rules};
  if (c.delta) all.push_back(c.rules);
  return all;
}

json ToJson(const Answer& a) { return {a.kind, a.id, a.version, a.text}; }

json ToJson(const Note& n) {
  return {n.from, n.to, n.wish ? ToJson(*n.wish) : json(), n.answer ? ToJson(*n.answer) : json()};
}

std::optional<Wish> ReadWish(const json& v) {
  return raft::TryDecode([&] { return AWish(v); });
}

std::optional<Answer> ReadAnswer(const json& v) {
  return raft::TryDecode([&] { return AnAnswer(v); });
}

std::optional<Note> ReadNote(const json& v) {
  return raft::TryDecode([&] {
    Note n{v.at(0), v.at(1), std::nullopt, std::nullopt};
    if (!v.at(2).is_null()) n.wish = AWish(v.at(2));
    if (!v.at(3).is_null()) n.answer = AnAnswer(v.at(3));
    return n;
  });
}

}  // namespace paddlestile::cluster
