#include "config/name_table.h"

#include <gtest/gtest.h>

namespace paddlestile {
namespace {

// A repeated name in a list must not change the positions of the names after it.
TEST(NameTable, KeepsPositionsAfterRepeatedName) {
  NameTable table;
  for (const char* const name : {"a", "b", "a", "c"}) {
    table.Add(name);
  }
  EXPECT_EQ(table.Find("a"), 0u);
  EXPECT_EQ(table.Find("c"), 3u);
  EXPECT_EQ(table.size(), 4u);
  EXPECT_EQ(table.Find("d"), 4u);
}

// Copies share their names until a name is added to one of them.
TEST(NameTable, CopiesShareNamesUntilOneChanges) {
  NameTable a;
  a.Add("x");
  NameTable b = a;
  EXPECT_EQ(&a.positions(), &b.positions());
  b.Add("y");
  EXPECT_EQ(a.Find("y"), a.size());
  EXPECT_EQ(b.Find("y"), 1u);
  a.Add("z");
  EXPECT_EQ(b.Find("z"), b.size());
  EXPECT_EQ(a.size(), 2u);
}

}  // namespace
}  // namespace paddlestile
