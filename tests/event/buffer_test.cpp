#include "event/buffer.h"

#include <gtest/gtest.h>

#include <string>

namespace paddlestile {
namespace {

TEST(Buffer, KeepsContentThroughGrowthAndConsumption) {
  Buffer buffer;
  std::string expected;
  for (int i = 0; i < 5000; ++i) {
    const std::string piece = "piece " + std::to_string(i) + ';';
    buffer.Append(piece);
    expected += piece;
    if (i % 3 == 0) {
      buffer.Consume(7);
      expected.erase(0, 7);
    }
    ASSERT_EQ(buffer.size(), expected.size());
  }
  EXPECT_EQ(buffer.view(), expected);
}

TEST(Buffer, RangesStayValidThroughGrowth) {
  Buffer buffer;
  buffer.Append("head value");
  const Range value{5, 5};
  buffer.Append(std::string(100000, 'x'));
  EXPECT_EQ(value.In(buffer.view()), "value");
}

TEST(Buffer, TakeFrontMovesTheMemoryAndKeepsTheRest) {
  Buffer buffer;
  buffer.Append("first message second");
  const char* const address = buffer.view().data();
  const Buffer first = buffer.TakeFront(14);
  EXPECT_EQ(first.view(), "first message ");
  EXPECT_EQ(first.view().data(), address);  // not copied
  EXPECT_EQ(buffer.view(), "second");
}

TEST(Buffer, FreesItsMemoryWhenEmptied) {
  Buffer buffer;
  buffer.Append(std::string(100000, 'x'));
  buffer.Consume(100000);
  EXPECT_TRUE(buffer.empty());
  EXPECT_EQ(buffer.Room(), 0u);
}

// With a thousand buffered requests, doubling the capacity would use twice the memory sent.
TEST(Buffer, HoldsLittleMoreThanItsContent) {
  Buffer buffer;
  const std::string piece(1000, 'x');
  for (int i = 0; i < 80; ++i) {
    buffer.Append(piece);
  }
  EXPECT_LE(buffer.Room(), 25000u);
}

TEST(Buffer, TruncateRemovesTheEnd) {
  Buffer buffer;
  buffer.Append("keep, lose");
  buffer.Truncate(4);
  buffer.Append("!");
  EXPECT_EQ(buffer.view(), "keep!");
}

}  // namespace
}  // namespace paddlestile
