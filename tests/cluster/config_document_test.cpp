// Tests which documents are refused, and with which errors.
#include "cluster/config_document.h"

#include <gtest/gtest.h>

#include <string>

namespace paddlestile::cluster {
namespace {

// Each error is one line with the key and the expected value.
// Guards against gateways that end by SIGSEGV, because a version that is nested 100,000 deep, as
// one of the operators' requests can be, was visited by functions that call themselves.
TEST(ValidateDocument, RejectsDeepNesting) {
  const std::string deep =
      R"({"settings":{"a":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}}";
  EXPECT_EQ(ValidateDocument(deep),
            std::vector<std::string>{"nested more than 32 deep, expected less"});
  EXPECT_THROW(static_cast<void>(ParseDocument(deep)), std::invalid_argument);
  EXPECT_THROW(static_cast<void>(ParseVersion(deep)), std::invalid_argument);
}

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
