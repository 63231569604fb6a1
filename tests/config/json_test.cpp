#include "config/json.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace paddlestile {
namespace {

TEST(Json, ReadsValues) {
  const Json value = Json::Parse(R"( {"a":[1,-2.5e3,true,null],"b":{"c":"x"}} )");
  ASSERT_EQ(value.type(), Json::Type::kObject);
  const Json& a = value.Require("a", Json::Type::kArray);
  ASSERT_EQ(a.items().size(), 4u);
  EXPECT_EQ(a.items()[0].number(), 1);
  EXPECT_EQ(a.items()[1].number(), -2500);
  EXPECT_EQ(a.items()[1].text(), "-2.5e3");
  EXPECT_TRUE(a.items()[2].boolean());
  EXPECT_EQ(a.items()[3].type(), Json::Type::kNull);
  EXPECT_EQ(value.Find("b")->Require("c", Json::Type::kString).text(), "x");
  EXPECT_EQ(value.Find("d"), nullptr);
}

TEST(Json, ReadsEscapes) {
  EXPECT_EQ(Json::Parse(R"("\"\\\/\n\u0041\u00e9\u20ac\ud83d\ude00")").text(),
            "\"\\/\nA\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80");
}

TEST(Json, RejectsMalformedText) {
  for (const char* const text : {"",
                                 "{",
                                 "[1,]",
                                 "{\"a\"}",
                                 "{\"a\":1,}",
                                 "01",
                                 "1.",
                                 "1e",
                                 "-",
                                 "+1",
                                 "tru",
                                 "nul",
                                 "\"",
                                 "\"\\x\"",
                                 "\"\\ud800\"",
                                 "\"\\ud800\\u0041\"",
                                 "\"\\u12g4\"",
                                 "\"\n\"",
                                 "[1] 2",
                                 "1e999",
                                 "{a:1}",
                                 "'a'",
                                 "[1 2]"}) {
    EXPECT_THROW(Json::Parse(text), JsonError) << text;
  }
}

TEST(Json, LimitsDepth) {
  EXPECT_NO_THROW(Json::Parse(std::string(30, '[') + std::string(30, ']')));
  EXPECT_THROW(Json::Parse(std::string(100000, '[')), JsonError);
}

TEST(Json, ReportsMissingFields) {
  const Json value = Json::Parse(R"({"a":1})");
  try {
    (void)value.Require("b", Json::Type::kNumber);
    FAIL();
  } catch (const JsonError& error) {
    EXPECT_STREQ(error.what(), "'b' is missing");
  }
  EXPECT_THROW((void)value.Require("a", Json::Type::kString), JsonError);
}

TEST(Json, RejectsEveryPrefixOfAnObject) {
  const std::string text = R"({"revision":4,"members":[{"id":"a\u0041","up":1.5e3},true,null]})";
  EXPECT_NO_THROW(Json::Parse(text));
  for (size_t size = 0; size < text.size(); ++size) {
    EXPECT_THROW(Json::Parse(text.substr(0, size)), JsonError) << size;
  }
}

TEST(Json, ParsesTextSplitAtAnyByte) {
  const std::string text =
      R"( {"revision" : 41 ,"m":["\u00e9\ud83d\ude00x",{"a":-1.5e3,"b":[true,false,null]},[]],"e":{}} )";
  for (size_t split = 0; split <= text.size(); ++split) {
    JsonParser parser;
    parser.Feed(text.substr(0, split));
    parser.Feed(text.substr(split));
    const Json value = parser.End();
    EXPECT_EQ(value.Find("revision")->number(), 41) << split;
    const auto& items = value.Find("m")->items();
    ASSERT_EQ(items.size(), 3u) << split;
    EXPECT_EQ(items[0].text(), "\xc3\xa9\xf0\x9f\x98\x80x") << split;
    EXPECT_EQ(items[1].Find("a")->text(), "-1.5e3") << split;
    EXPECT_TRUE(items[1].Find("b")->items()[0].boolean()) << split;
    EXPECT_EQ(value.Find("e")->type(), Json::Type::kObject) << split;
  }
}

TEST(Json, RecognizesBlankText) {
  JsonParser parser;
  parser.Feed(" \r\n\t");
  EXPECT_FALSE(parser.begun());
  EXPECT_THROW(parser.End(), JsonError);
  parser.Feed("7");
  EXPECT_TRUE(parser.begun());
  EXPECT_EQ(parser.End().number(), 7);
}

// Whole and piecewise parsing accept the same texts, and no mutation crashes the parser.
TEST(Json, HandlesRandomMutations) {
  std::mt19937 rng(7);
  const std::string valid_text =
      R"({"revision":4,"members":[{"id":"a\u0041","up":-1.5e3},true,null]})";
  static constexpr char kAlphabet[] = "{}[]\",:\\u0e-.\x00\xff";
  const std::string alphabet(kAlphabet, sizeof(kAlphabet) - 1);
  const auto parse_bytewise = [](const std::string& text) {
    JsonParser parser;
    for (const char c : text) {
      parser.Feed(std::string(1, c));
    }
    return parser.End();
  };
  int rejected = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string text = valid_text;
    for (int changes = 1 + static_cast<int>(rng() % 4); changes > 0; --changes) {
      text[rng() % text.size()] = alphabet[rng() % alphabet.size()];
    }
    try {
      Json::Parse(text);
      EXPECT_NO_THROW(parse_bytewise(text)) << text;
    } catch (const JsonError&) {
      ++rejected;
      EXPECT_THROW(parse_bytewise(text), JsonError) << text;
    }
  }
  EXPECT_GT(rejected, 10000);
}

}  // namespace
}  // namespace paddlestile
