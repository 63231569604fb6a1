#include "gateway/hot_restart_protocol.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace paddlestile::hot_restart {
namespace {

// Processes of other versions read these lines, so their text must not change.
TEST(HotRestartProtocolTest, LinesKeepTheirFormat) {
  EXPECT_EQ(RequestLine({0x0A000004, 5000}), "paddlestile 1 take 10.0.0.4:5000");
  EXPECT_EQ(ListenLine(180, 7012), "paddlestile 1 listen 180 7012");
  EXPECT_EQ(BusyLine(), "paddlestile 1 busy");
  EXPECT_EQ(HoldsLine(164), "holds 164");
  EXPECT_EQ(kReadyLine, "ready");
  EXPECT_EQ(kAcceptsIdsLine, "accepts-ids");
  EXPECT_EQ(kReplacedLine, "replaced");
  EXPECT_EQ(kServesLine, "serves");
  EXPECT_EQ(TookLine("9b1f03aa"), "took 9b1f03aa");
}

TEST(HotRestartProtocolTest, ParsesFormattedLines) {
  const auto reply = ParseListenLine(ListenLine(180, 7012));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->descriptors_held, 180u);
  EXPECT_EQ(reply->learned_state_bytes, 7012u);
  EXPECT_EQ(ParseHoldsLine(HoldsLine(164)), 164u);
  EXPECT_EQ(ParseTookLine(TookLine("9b1f03aa")), "9b1f03aa");
}

TEST(HotRestartProtocolTest, RejectsMalformedAndOtherLines) {
  for (const char* const line :
       {"", "ready", "paddlestile 1 busy", "paddlestile 1 listen 180", "paddlestile 2 listen 1 2",
        "paddlestile 1 listen x 2", "paddlestile 1 listen 1 x", "paddlestile 1 listen 1 2 "}) {
    EXPECT_FALSE(ParseListenLine(line)) << line;
  }
  EXPECT_FALSE(ParseHoldsLine("holds"));
  EXPECT_FALSE(ParseHoldsLine("holds -1"));
}

TEST(HotRestartProtocolTest, ConsumesOnlyCompleteLines) {
  Buffer input;
  input.Append("a\nbc\nd");
  std::vector<std::string> lines;
  EXPECT_TRUE(ConsumeLines(input, [&](const std::string& line) { lines.push_back(line); }));
  EXPECT_EQ(lines, (std::vector<std::string>{"a", "bc"}));
  EXPECT_EQ(input.view(), "d");
  input.Append(std::string(kMaxLineBytes, 'x'));
  EXPECT_FALSE(ConsumeLines(input, [](const std::string&) {}));
}

}  // namespace
}  // namespace paddlestile::hot_restart
