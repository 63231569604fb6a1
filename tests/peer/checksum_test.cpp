// Tests the checksums of frames and introductions, which detect data that was modified, truncated,
// repeated or lost in transit.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "cluster/codec.h"
#include "peer/call.h"
#include "peer/framing.h"
#include "peer/hello.h"
#include "peer/introduction.h"
#include "raft/codec.h"

namespace paddlestile::peer {
namespace {

using nlohmann::json;

constexpr uint64_t kSequenceNumber = 5;

raft::Message RaftMessage(raft::Message::Type type) {
  raft::Message message;
  message.type = type;
  message.from = "g1";
  message.to = "g2";
  message.from_incarnation = 0x1234'5678'9abc'def0;
  message.term = 7;
  message.granted = true;
  message.index = 300;
  message.index_term = 6;
  message.commit_index = 299;
  message.sent_at = Time(123'456'789);
  message.asked_at = Time(123'400'000);
  message.own_claim = {0x1234'5678'9abc'def0, 2, 7, 299};
  message.claim_of_receiver = {0x0fed'cba9'8765'4321, 1, 7, 298};
  if (type == raft::Message::Type::kAppendEntries) {
    message.entries = {{7, raft::LogEntry::Kind::kData, R"({"barred":["h-3"]})", {}},
                       {7, raft::LogEntry::Kind::kVoters, {}, {{"g1", 1}, {"g2", 2}}}};
  }
  if (type == raft::Message::Type::kInstallSnapshot) {
    message.snapshot = {290, 6, {{"g1", 1}, {"g2", 2}}, "versions"};
  }
  return message;
}

// Returns one value of each kind that connected members send each other.
std::vector<json> ValuesOfEachKind() {
  std::vector<json> values = {{{"beat", 1}}};
  using Type = raft::Message::Type;
  for (const Type type : {Type::kRequestVote, Type::kRequestVoteReply, Type::kAppendEntries,
                          Type::kAppendEntriesReply, Type::kInstallSnapshot, Type::kStorageClaim}) {
    values.push_back(raft::ToJson(RaftMessage(type)));
  }
  cluster::ChangeRequest request;
  request.change.id = "c17";
  request.change.author = "client";
  request.change.document = R"({"barred":["h-3"]})";
  values.push_back(cluster::ToJson(cluster::MemberMessage{"g1", "g2", request, std::nullopt}));
  const cluster::ChangeResult result{cluster::ChangeResult::Kind::kDone, "c17", 14, "on"};
  values.push_back(cluster::ToJson(cluster::MemberMessage{"g1", "g2", std::nullopt, result}));
  return values;
}

std::string WithFlippedBit(std::string bytes, size_t bit) {
  bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << bit % 8));
  return bytes;
}

Buffer BufferOf(const std::string& bytes) {
  Buffer buffer;
  buffer.Append(bytes);
  return buffer;
}

// Returns the number of single-bit errors in a plain frame that decode as a different value.
size_t UndetectedBitFlipsInPlainFrame(const json& value) {
  const std::string frame = EncodeFrame(value);
  size_t undetected = 0;
  for (size_t bit = 0; bit < frame.size() * 8; ++bit) {
    Buffer input = BufferOf(WithFlippedBit(frame, bit));
    json decoded;
    if (TakeFrame(input, decoded) == FrameStatus::kComplete && decoded != value) {
      ++undetected;
    }
  }
  return undetected;
}

// Guards against bit flips in transit, which could change a term, a host or a lease.
TEST(FrameChecksumTest, DetectsEveryBitFlipInAnyMessage) {
  for (const json& value : ValuesOfEachKind()) {
    const std::string frame = EncodeCheckedFrame(value, kSequenceNumber);
    for (size_t bit = 0; bit < frame.size() * 8; ++bit) {
      Buffer input = BufferOf(WithFlippedBit(frame, bit));
      json decoded;
      EXPECT_EQ(TakeCheckedFrame(input, kSequenceNumber, decoded), FrameStatus::kChecksumMismatch)
          << value << " bit " << bit;
    }
    // Without a checksum, some bit flips are not detected.
    EXPECT_GT(UndetectedBitFlipsInPlainFrame(value), 0U) << value;
  }
}

TEST(FrameChecksumTest, AcceptsOnlyTheExpectedCompleteFrame) {
  const json value = {{"x", 1}};
  const std::string frame = EncodeCheckedFrame(value, kSequenceNumber);
  Buffer input;
  json decoded;
  for (const char c : frame) {
    EXPECT_EQ(TakeCheckedFrame(input, kSequenceNumber, decoded), FrameStatus::kIncomplete);
    input.Append({&c, 1});
  }
  EXPECT_EQ(TakeCheckedFrame(input, kSequenceNumber, decoded), FrameStatus::kComplete);
  EXPECT_EQ(decoded, value);
  EXPECT_EQ(input.size(), 0U);
  // A repeated frame, and a frame after a lost one.
  for (const uint64_t other_number : {kSequenceNumber + 1, kSequenceNumber - 1}) {
    input = BufferOf(frame);
    EXPECT_EQ(TakeCheckedFrame(input, other_number, decoded), FrameStatus::kChecksumMismatch);
  }
  // A plain frame where a checked one is expected, and vice versa.
  input = BufferOf(EncodeFrame(value));
  EXPECT_EQ(TakeCheckedFrame(input, 0, decoded), FrameStatus::kChecksumMismatch);
  input = BufferOf(frame);
  EXPECT_EQ(TakeFrame(input, decoded), FrameStatus::kMalformed);
}

// Introductions are plain frames with their own checksum, because the other end may not support
// checked frames.
TEST(IntroductionChecksumTest, DetectsEveryBitFlip) {
  const json hello =
      EncodeHello({"north", "g1", "g2", 0x1234'5678'9abc'def0, 3}, {0x1234'5678, 2, 7, 299});
  const json call = {{"hello", kProtocolVersion}, {"call", {{"what", "status"}}}};
  for (const json& introduction : {hello, call}) {
    const json sent = WithChecksum(introduction);
    EXPECT_EQ(VerifyChecksum(sent), IntroductionChecksum::kMatches);
    const std::string frame = EncodeFrame(sent);
    for (size_t bit = 0; bit < frame.size() * 8; ++bit) {
      Buffer input = BufferOf(WithFlippedBit(frame, bit));
      json decoded;
      // A value that is not an object is not accepted as an introduction anyway.
      if (TakeFrame(input, decoded) == FrameStatus::kComplete && decoded.is_object() &&
          decoded != sent) {
        EXPECT_EQ(VerifyChecksum(decoded), IntroductionChecksum::kMismatch) << decoded;
      }
    }
  }
}

TEST(IntroductionChecksumTest, AcceptsIntroductionsOfBuildsWithoutChecksums) {
  EXPECT_EQ(VerifyChecksum(EncodeHello({"north", "g1", "g2", 1, 1}, nullptr)),
            IntroductionChecksum::kAbsent);
  EXPECT_EQ(VerifyChecksum({{"hello", kProtocolVersion}, {"call", "now"}}),
            IntroductionChecksum::kAbsent);
  EXPECT_EQ(VerifyChecksum({{"hello", kProtocolVersion}, {"call", "now"}, {"summ", 1}}),
            IntroductionChecksum::kMismatch);
}

TEST(CallTest, AcceptsRepliesWithAndWithoutAChecksum) {
  const json reply = {{"to", "now"}};
  for (const std::string& frame : {EncodeFrame(reply), EncodeCheckedFrame(reply, 0)}) {
    Buffer input = BufferOf(frame);
    json decoded;
    EXPECT_EQ(TakeReply(input, decoded), FrameStatus::kComplete);
    EXPECT_EQ(decoded, reply);
  }
}

}  // namespace
}  // namespace paddlestile::peer
