#include "raft/codec.h"

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "raft/json_decoding.h"

namespace paddlestile::raft {
namespace {

using nlohmann::json;

json EncodeBytes(const std::string& bytes) {
  return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string DecodeBytes(const json& value) {
  const json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

// Without this check, null or an empty object would decode as an empty list.
void RequireArray(const json& value) {
  if (!value.is_array()) {
    throw std::invalid_argument("expected an array");
  }
}

json EncodeVoters(const std::vector<Voter>& voters) {
  json list = json::array();
  for (const Voter& voter : voters) {
    list.push_back({voter.name, voter.incarnation});
  }
  return list;
}

std::vector<Voter> DecodeVoters(const json& value) {
  RequireArray(value);
  std::vector<Voter> voters;
  for (const json& voter : value) {
    voters.push_back({voter.at(0), voter.at(1)});
  }
  if (voters.size() > kMaxVoters) {
    throw std::invalid_argument("too many voters");
  }
  return voters;
}

json EncodeEntries(const std::vector<LogEntry>& entries) {
  json list = json::array();
  for (const LogEntry& entry : entries) {
    list.push_back({entry.term, entry.kind, EncodeBytes(entry.bytes), EncodeVoters(entry.voters)});
  }
  return list;
}

std::vector<LogEntry> DecodeEntries(const json& value) {
  RequireArray(value);
  std::vector<LogEntry> entries;
  for (const json& entry : value) {
    entries.push_back({entry.at(0), DecodeEnum(entry.at(1), LogEntry::Kind::kData),
                       DecodeBytes(entry.at(2)), DecodeVoters(entry.at(3))});
  }
  return entries;
}

json EncodeSnapshot(const Snapshot& snapshot) {
  return {snapshot.index, snapshot.term, EncodeVoters(snapshot.voters),
          EncodeBytes(snapshot.bytes)};
}

Snapshot DecodeSnapshot(const json& value) {
  return {value.at(0), value.at(1), DecodeVoters(value.at(2)), DecodeBytes(value.at(3))};
}

StorageClaim DecodeClaim(const json& value) {
  return {value.at(0), value.at(1), value.at(2), value.at(3)};
}

}  // namespace

json ToJson(const StorageClaim& claim) {
  return {claim.incarnation, claim.restart_count, claim.term, claim.match_index};
}

json ToJson(const StorageWrite& write) {
  return {write.current_term,
          write.voted_for,
          write.first_index,
          EncodeEntries(write.entries),
          write.snapshot ? EncodeSnapshot(*write.snapshot) : json(),
          write.commit_index,
          write.commit_only};
}

json ToJson(const Message& message) {
  json snapshot;
  if (message.type == Message::Type::kInstallSnapshot) {
    snapshot = EncodeSnapshot(message.snapshot);
  }
  return {message.type,
          message.from,
          message.to,
          message.from_incarnation,
          message.term,
          message.is_pre_vote,
          message.granted,
          message.index,
          message.index_term,
          message.commit_index,
          message.sent_at.count(),
          message.asked_at.count(),
          EncodeEntries(message.entries),
          std::move(snapshot),
          ToJson(message.own_claim),
          ToJson(message.claim_of_receiver)};
}

std::optional<StorageClaim> ParseStorageClaim(const json& value) {
  return TryDecode([&] { return DecodeClaim(value); });
}

std::optional<StorageWrite> ParseStorageWrite(const json& value) {
  return TryDecode([&] {
    StorageWrite write;
    write.current_term = value.at(0);
    write.voted_for = value.at(1);
    write.first_index = value.at(2);
    write.entries = DecodeEntries(value.at(3));
    if (!value.at(4).is_null()) {
      write.snapshot = DecodeSnapshot(value.at(4));
    }
    write.commit_index = value.at(5);
    write.commit_only = value.at(6);
    return write;
  });
}

std::optional<Message> ParseMessage(const json& value) {
  return TryDecode([&] {
    Message message;
    message.type = DecodeEnum(value.at(0), Message::Type::kStorageClaim);
    message.from = value.at(1);
    message.to = value.at(2);
    message.from_incarnation = value.at(3);
    message.term = value.at(4);
    message.is_pre_vote = value.at(5);
    message.granted = value.at(6);
    message.index = value.at(7);
    message.index_term = value.at(8);
    message.commit_index = value.at(9);
    message.sent_at = Time(value.at(10).get<int64_t>());
    message.asked_at = Time(value.at(11).get<int64_t>());
    message.entries = DecodeEntries(value.at(12));
    if (message.type == Message::Type::kInstallSnapshot) {
      message.snapshot = DecodeSnapshot(value.at(13));
    }
    message.own_claim = DecodeClaim(value.at(14));
    message.claim_of_receiver = DecodeClaim(value.at(15));
    return message;
  });
}

}  // namespace paddlestile::raft
