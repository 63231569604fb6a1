// Tests the codec for Raft messages and storage writes.
#include "raft/codec.h"

#include <gtest/gtest.h>

#include <string>

namespace paddlestile::raft {
namespace {

using nlohmann::json;

// A message with a value in each encoded field.
Message ExampleMessage() {
  Message message;
  message.type = Message::Type::kInstallSnapshot;
  message.from = "a";
  message.to = "b";
  message.term = 7;
  message.index = 9;
  message.commit_index = 3;
  message.granted = true;
  message.sent_at = Time(5);
  message.asked_at = Time(-1);
  message.entries = {{1, LogEntry::Kind::kVoters, "", {{"a", 1}}},
                     {2, LogEntry::Kind::kData, "\xff\0x", {}}};
  message.snapshot = {4, 2, {{"b", 2}}, std::string("\0\x80", 2)};
  message.own_claim = {1, 2, 3, 4};
  return message;
}

// Decoding reverses encoding, and a malformed value is rejected without crashing the process.
TEST(RaftCodecTest, RoundTripsAndRejectsMalformedValues) {
  const Message message = ExampleMessage();
  const json value = ToJson(message);
  const auto decoded = ParseMessage(value);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(ToJson(*decoded), value);
  EXPECT_EQ(decoded->entries, message.entries);
  EXPECT_EQ(decoded->snapshot, message.snapshot);
  StorageWrite write;
  write.sequence_number = 0;
  write.current_term = 3;
  write.voted_for = "a";
  write.first_index = 2;
  write.entries = message.entries;
  write.snapshot = message.snapshot;
  EXPECT_EQ(ToJson(*ParseStorageWrite(ToJson(write))), ToJson(write));
  for (size_t field = 0; field < value.size(); ++field) {
    json malformed = value;
    malformed[field] = json::object();
    EXPECT_FALSE(ParseMessage(malformed)) << field;
    malformed.erase(field);
    EXPECT_FALSE(ParseMessage(malformed) && field == 0);
  }
  json unknown_type = value;
  unknown_type[0] = 99;
  EXPECT_FALSE(ParseMessage(unknown_type));
}

}  // namespace
}  // namespace paddlestile::raft
