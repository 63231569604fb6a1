#include "config/json.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace paddlestile {
namespace {

TEST(Json, ReadsValues) {
  const Json v = Json::Parse(R"( {"a":[1,-2.5e3,true,null],"b":{"c":"x"}} )");
  ASSERT_EQ(v.type(), Json::Type::kObject);
  const Json& a = v.Require("a", Json::Type::kArray);
  ASSERT_EQ(a.items().size(), 4u);
  EXPECT_EQ(a.items()[0].number(), 1);
  EXPECT_EQ(a.items()[1].number(), -2500);
  EXPECT_EQ(a.items()[1].text(), "-2.5e3");
  EXPECT_TRUE(a.items()[2].boolean());
  EXPECT_EQ(a.items()[3].type(), Json::Type::kNull);
  EXPECT_EQ(v.Find("b")->Require("c", Json::Type::kString).text(), "x");
  EXPECT_EQ(v.Find("d"), nullptr);
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

TEST(Json, NamesMissingFields) {
  const Json v = Json::Parse(R"({"a":1})");
  try {
    (void)v.Require("b", Json::Type::kNumber);
    FAIL();
  } catch (const JsonError& error) {
    EXPECT_STREQ(error.what(), "'b' is missing");
  }
  EXPECT_THROW((void)v.Require("a", Json::Type::kString), JsonError);
}

TEST(Json, RejectsEveryPrefixOfAnObject) {
  const std::string text = R"({"revision":4,"members":[{"id":"a\u0041","up":1.5e3},true,null]})";
  EXPECT_NO_THROW(Json::Parse(text));
  for (size_t size = 0; size < text.size(); ++size) {
    EXPECT_THROW(Json::Parse(text.substr(0, size)), JsonError) << size;
  }
}

TEST(Json, ReadsTheSameSplitAtEveryByte) {
  const std::string text =
      R"( {"revision" : 41 ,"m":["\u00e9\ud83d\ude00x",{"a":-1.5e3,"b":[true,false,null]},[]],"e":{}} )";
  for (size_t at = 0; at <= text.size(); ++at) {
    JsonParser parser;
    parser.Feed(text.substr(0, at));
    parser.Feed(text.substr(at));
    const Json v = parser.End();
    EXPECT_EQ(v.Find("revision")->number(), 41) << at;
    const auto& m = v.Find("m")->items();
    ASSERT_EQ(m.size(), 3u) << at;
    EXPECT_EQ(m[0].text(), "\xc3\xa9\xf0\x9f\x98\x80x") << at;
    EXPECT_EQ(m[1].Find("a")->text(), "-1.5e3") << at;
    EXPECT_TRUE(m[1].Find("b")->items()[0].boolean()) << at;
    EXPECT_EQ(v.Find("e")->type(), Json::Type::kObject) << at;
  }
}

TEST(Json, RecognizesABlankText) {
  JsonParser parser;
  parser.Feed(" \r\n\t");
  EXPECT_FALSE(parser.begun());
  EXPECT_THROW(parser.End(), JsonError);
  parser.Feed("7");
  EXPECT_TRUE(parser.begun());
  EXPECT_EQ(parser.End().number(), 7);
}

TEST(Json, HandlesAnyMutation) {
  std::mt19937 rng(7);
  const std::string good = R"({"revision":4,"members":[{"id":"a\u0041","up":-1.5e3},true,null]})";
  static constexpr char kAlphabet[] = "{}[]\",:\\u0e-.\x00\xff";
  const std::string alphabet(kAlphabet, sizeof(kAlphabet) - 1);
  const auto by_bytes = [](const std::string& text) {
    JsonParser parser;
    for (const char c : text) {
      parser.Feed(std::string(1, c));
    }
    return parser.End();
  };
  int rejected = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string text = good;
    for (int changes = 1 + static_cast<int>(rng() % 4); changes > 0; --changes) {
      text[rng() % text.size()] = alphabet[rng() % alphabet.size()];
    }
    try {
      Json::Parse(text);
      EXPECT_NO_THROW(by_bytes(text)) << text;
    } catch (const JsonError&) {
      ++rejected;
      EXPECT_THROW(by_bytes(text), JsonError) << text;
    }
  }
  EXPECT_GT(rejected, 10000);
}

}  // namespace
}  // namespace paddlestile
