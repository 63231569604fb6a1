// Tests which documents are refused, and with which errors.
#include "cluster/config_document.h"

#include <gtest/gtest.h>

#include <string>

namespace paddlestile::cluster {
namespace {

// Each error is one line with the key and the expected value.
TEST(ValidateDocument, ReportsEveryError) {
  const auto errors = ValidateDocument(
      R"({"bared":[],"barred":[""],"drain":3,"zone_only":{"h":1},"settings":{"Classes":[
          {"Name":"a","Effect":"odd","Deadline":0},{"Name":"a"},{}],
          "Tenants":[{"Name":"t","QuotaPerS":-1}],"Allowed":{"SendCap":0}}})");
  EXPECT_EQ(errors.size(), 10U);
  for (const char* const text : {"", "[]", "{\"barred\":"}) {
    EXPECT_EQ(ValidateDocument(text).size(), 1U);
  }
  EXPECT_EQ(ValidateDocument(std::string(kMaxDocumentBytes + 1, ' ')).size(), 1U);
  EXPECT_TRUE(ValidateDocument("{}").empty());
}

}  // namespace
}  // namespace paddlestile::cluster
