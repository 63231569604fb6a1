// Checksums of frames and introductions: what was changed, cut, repeated or left out on the way is
// not believed.
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

// One value of each kind that members send each other once they are connected.
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

// Of plain frames with one bit flipped, those that are taken for another value.
size_t BelievedFlipsOfPlainFrame(const json& value) {
  const std::string frame = EncodeFrame(value);
  size_t believed = 0;
  for (size_t bit = 0; bit < frame.size() * 8; ++bit) {
    Buffer input = BufferOf(WithFlippedBit(frame, bit));
    json taken;
    if (TakeFrame(input, taken) == FrameStatus::kComplete && taken != value) {
      ++believed;
    }
  }
  return believed;
}

// Guards against a bit that flips between two members: a term, a host or a lease was another then.
TEST(FrameChecksumTest, NoFlippedBitOfAnyMessageIsBelieved) {
  for (const json& value : ValuesOfEachKind()) {
    const std::string frame = EncodeCheckedFrame(value, kSequenceNumber);
    for (size_t bit = 0; bit < frame.size() * 8; ++bit) {
      Buffer input = BufferOf(WithFlippedBit(frame, bit));
      json taken;
      EXPECT_EQ(TakeCheckedFrame(input, kSequenceNumber, taken), FrameStatus::kChecksumMismatch)
          << value << " bit " << bit;
    }
    // What the checksum is for: without it this is believed.
    EXPECT_GT(BelievedFlipsOfPlainFrame(value), 0U) << value;
  }
}

TEST(FrameChecksumTest, TakesACompleteFrameAndNoOther) {
  const json value = {{"x", 1}};
  const std::string frame = EncodeCheckedFrame(value, kSequenceNumber);
  Buffer input;
  json taken;
  for (const char c : frame) {
    EXPECT_EQ(TakeCheckedFrame(input, kSequenceNumber, taken), FrameStatus::kIncomplete);
    input.Append({&c, 1});
  }
  EXPECT_EQ(TakeCheckedFrame(input, kSequenceNumber, taken), FrameStatus::kComplete);
  EXPECT_EQ(taken, value);
  EXPECT_EQ(input.size(), 0U);
  // A repeated one, one in place of one that was left out, a plain one; a checked one as plain.
  for (const uint64_t other : {kSequenceNumber + 1, kSequenceNumber - 1}) {
    input = BufferOf(frame);
    EXPECT_EQ(TakeCheckedFrame(input, other, taken), FrameStatus::kChecksumMismatch);
  }
  input = BufferOf(EncodeFrame(value));
  EXPECT_EQ(TakeCheckedFrame(input, 0, taken), FrameStatus::kChecksumMismatch);
  input = BufferOf(frame);
  EXPECT_EQ(TakeFrame(input, taken), FrameStatus::kMalformed);
}

// The introductions are plain frames, for members that do not know checksums.
TEST(IntroductionChecksumTest, NoFlippedBitIsBelieved) {
  const json hello =
      EncodeHello({"north", "g1", "g2", 0x1234'5678'9abc'def0, 3}, {0x1234'5678, 2, 7, 299});
  const json call = {{"hello", kProtocolVersion}, {"call", {{"what", "status"}}}};
  for (const json& introduction : {hello, call}) {
    const json sent = WithChecksum(introduction);
    EXPECT_EQ(VerifyChecksum(sent), IntroductionChecksum::kMatches);
    const std::string frame = EncodeFrame(sent);
    for (size_t bit = 0; bit < frame.size() * 8; ++bit) {
      Buffer input = BufferOf(WithFlippedBit(frame, bit));
      json taken;
      // One that is no object is no introduction.
      if (TakeFrame(input, taken) == FrameStatus::kComplete && taken.is_object() && taken != sent) {
        EXPECT_EQ(VerifyChecksum(taken), IntroductionChecksum::kMismatch) << taken;
      }
    }
  }
}

TEST(IntroductionChecksumTest, AcceptsThoseOfBuildsWithoutChecksums) {
  EXPECT_EQ(VerifyChecksum(EncodeHello({"north", "g1", "g2", 1, 1}, nullptr)),
            IntroductionChecksum::kAbsent);
  EXPECT_EQ(VerifyChecksum({{"hello", kProtocolVersion}, {"call", "now"}}),
            IntroductionChecksum::kAbsent);
  EXPECT_EQ(VerifyChecksum({{"hello", kProtocolVersion}, {"call", "now"}, {"summ", 1}}),
            IntroductionChecksum::kMismatch);
}

TEST(CallTest, TakesRepliesWithAndWithoutAChecksum) {
  const json reply = {{"to", "now"}};
  for (const std::string& frame : {EncodeFrame(reply), EncodeCheckedFrame(reply, 0)}) {
    Buffer input = BufferOf(frame);
    json taken;
    EXPECT_EQ(TakeReply(input, taken), FrameStatus::kComplete);
    EXPECT_EQ(taken, reply);
  }
}

}  // namespace
}  // namespace paddlestile::peer
