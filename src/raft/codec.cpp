#include "raft/codec.h"

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "raft/json_decoding.h"

namespace paddlestile::raft {
namespace {

using nlohmann::json;

json Bytes(const std::string& text) {
  return json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}
std::string TextOf(const json& value) {
  const json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

json OfVoters(const std::vector<Voter>& voters) {
  json all = json::array();
  for (const Voter& v : voters) {
    all.push_back({v.name, v.incarnation});
  }
  return all;
}
std::vector<Voter> Voters(const json& value) {
  if (!value.is_array()) {
    throw std::invalid_argument("no list");
  }
  std::vector<Voter> voters;
  for (const json& v : value) {
    voters.push_back({v.at(0), v.at(1)});
  }
  if (voters.size() > kMaxVoters) {
    throw std::invalid_argument("too many voters");
  }
  return voters;
}

json OfEntries(const std::vector<LogEntry>& entries) {
  json all = json::array();
  for (const LogEntry& e : entries) {
    all.push_back({e.term, e.kind, Bytes(e.bytes), OfVoters(e.voters)});
  }
  return all;
}
std::vector<LogEntry> Entries(const json& value) {
  if (!value.is_array()) {
    throw std::invalid_argument("no list");
  }
  std::vector<LogEntry> entries;
  for (const json& e : value) {
    entries.push_back(
        {e.at(0), DecodeEnum(e.at(1), LogEntry::Kind::kData), TextOf(e.at(2)), Voters(e.at(3))});
  }
  return entries;
}

json OfSnapshot(const Snapshot& s) {
  return {s.index, s.term, OfVoters(s.voters), Bytes(s.bytes)};
}
Snapshot ASnapshot(const json& value) {
  return {value.at(0), value.at(1), Voters(value.at(2)), TextOf(value.at(3))};
}

StorageClaim AClaim(const json& v) {
  return {v.at(0), v.at(1), v.at(2), v.at(3)};
}

}  // namespace

json ToJson(const StorageClaim& c) {
  return {c.incarnation, c.restart_count, c.term, c.match_index};
}

json ToJson(const StorageWrite& w) {
  return {w.current_term,
          w.voted_for,
          w.first_index,
          OfEntries(w.entries),
          w.snapshot ? OfSnapshot(*w.snapshot) : json(),
          w.commit_index,
          w.commit_only};
}

json ToJson(const Message& m) {
  json snapshot;
  if (m.type == Message::Type::kInstallSnapshot) {
    snapshot = OfSnapshot(m.snapshot);
  }
  return {m.type,
          m.from,
          m.to,
          m.from_incarnation,
          m.term,
          m.is_pre_vote,
          m.granted,
          m.index,
          m.index_term,
          m.commit_index,
          m.sent_at.count(),
          m.asked_at.count(),
          OfEntries(m.entries),
          std::move(snapshot),
          ToJson(m.own_claim),
          ToJson(m.claim_of_receiver)};
}

std::optional<StorageClaim> ReadClaim(const json& value) {
  return TryDecode([&] { return AClaim(value); });
}

std::optional<StorageWrite> ReadWrite(const json& v) {
  return TryDecode([&] {
    StorageWrite w;
    w.current_term = v.at(0);
    w.voted_for = v.at(1);
    w.first_index = v.at(2);
    w.entries = Entries(v.at(3));
    if (!v.at(4).is_null()) {
      w.snapshot = ASnapshot(v.at(4));
    }
    w.commit_index = v.at(5);
    w.commit_only = v.at(6);
    return w;
  });
}

std::optional<Message> ReadMessage(const json& v) {
  return TryDecode([&] {
    Message m;
    m.type = DecodeEnum(v.at(0), Message::Type::kStorageClaim);
    m.from = v.at(1);
    m.to = v.at(2);
    m.from_incarnation = v.at(3);
    m.term = v.at(4);
    m.is_pre_vote = v.at(5);
    m.granted = v.at(6);
    m.index = v.at(7);
    m.index_term = v.at(8);
    m.commit_index = v.at(9);
    m.sent_at = Time(v.at(10).get<int64_t>());
    m.asked_at = Time(v.at(11).get<int64_t>());
    m.entries = Entries(v.at(12));
    if (m.type == Message::Type::kInstallSnapshot) {
      m.snapshot = ASnapshot(v.at(13));
    }
    m.own_claim = AClaim(v.at(14));
    m.claim_of_receiver = AClaim(v.at(15));
    return m;
  });
}

}  // namespace paddlestile::raft
