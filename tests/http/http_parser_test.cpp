#include "http/http_parser.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace paddlestile {
namespace {

struct Parsed {
  ParseProgress progress = ParseProgress::kNeedMore;
  int error_status = 0;
  HttpMessage message;
  std::string base, body, rest;
};

// Feeds the pieces one by one until the parser has finished or failed.
Parsed Parse(HttpParser::Kind kind, const std::vector<std::string>& pieces) {
  Parsed result;
  Buffer in;
  HttpParser parser(kind);
  for (const std::string& piece : pieces) {
    in.Append(piece);
    if (result.progress == ParseProgress::kNeedMore) {
      result.progress = parser.Feed(in);
    }
  }
  result.error_status = parser.error_status();
  result.message = parser.message();
  result.base = std::string(in.view());
  if (result.progress == ParseProgress::kDone) {
    result.body = std::string(result.message.body.In(result.base));
    result.rest = result.base.substr(result.message.total_bytes);
  }
  return result;
}
Parsed ParseRequest(const std::string& text) {
  return Parse(HttpParser::Kind::kRequest, {text});
}
Parsed ParseResponse(const std::string& text) {
  return Parse(HttpParser::Kind::kResponse, {text});
}

std::vector<std::string> Bytes(const std::string& text) {
  std::vector<std::string> bytes;
  for (const char c : text) {
    bytes.emplace_back(1, c);
  }
  return bytes;
}

const std::string kPost =
    "POST /order/7?x=1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: abc\r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunked =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x=y\r\n0123456789\r\n"
    "0\r\nTrailer: t\r\n\r\n";

TEST(HttpParserTest, ParsesARequest) {
  const Parsed parsed = ParseRequest(kPost + "GET");
  ASSERT_EQ(parsed.progress, ParseProgress::kDone);
  EXPECT_EQ(parsed.message.method.In(parsed.base), "POST");
  EXPECT_EQ(parsed.message.target.In(parsed.base), "/order/7?x=1");
  EXPECT_EQ(parsed.message.FindHeader(parsed.base, "x-call-ID"), "abc");
  EXPECT_EQ(parsed.body, "hello");
  EXPECT_EQ(parsed.rest, "GET");  // first bytes of the next request
  EXPECT_TRUE(parsed.message.keep_alive);
}

TEST(HttpParserTest, ParsesMessagesSplitAtEveryByte) {
  for (const std::string& text : {kPost, kChunked}) {
    const Parsed whole = ParseRequest(text);
    ASSERT_EQ(whole.progress, ParseProgress::kDone);
    for (size_t at = 1; at < text.size(); ++at) {
      const Parsed split = Parse(HttpParser::Kind::kRequest, {text.substr(0, at), text.substr(at)});
      ASSERT_EQ(split.progress, ParseProgress::kDone) << at;
      EXPECT_EQ(split.body, whole.body) << at;
      EXPECT_EQ(split.message.headers.size(), whole.message.headers.size()) << at;
      EXPECT_EQ(split.message.target.In(split.base), whole.message.target.In(whole.base)) << at;
    }
    const Parsed bytes = Parse(HttpParser::Kind::kRequest, Bytes(text));
    ASSERT_EQ(bytes.progress, ParseProgress::kDone);
    EXPECT_EQ(bytes.body, whole.body);
  }
}

TEST(HttpParserTest, IsNotDoneBeforeTheLastByte) {
  for (const std::string& text : {kPost, kChunked}) {
    for (size_t size = 0; size < text.size(); ++size) {
      EXPECT_EQ(ParseRequest(text.substr(0, size)).progress, ParseProgress::kNeedMore) << size;
    }
  }
}

TEST(HttpParserTest, DecodesChunksInPlace) {
  const Parsed parsed = ParseRequest(kChunked + "next");
  ASSERT_EQ(parsed.progress, ParseProgress::kDone);
  EXPECT_EQ(parsed.body, "abc0123456789");
  EXPECT_EQ(parsed.rest, "next");
}

// With one-byte chunks the body is six times as long on the wire. Only the content may be buffered.
TEST(HttpParserTest, DropsTheFramingOfChunks) {
  Buffer in;
  HttpParser parser(HttpParser::Kind::kRequest);
  in.Append("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  const size_t head = in.size();
  for (int i = 0; i < 1000; ++i) {
    in.Append("1\r\nx\r\n");
    ASSERT_EQ(parser.Feed(in), ParseProgress::kNeedMore);
  }
  EXPECT_EQ(in.size(), head + 1000);
  in.Append("0\r\n\r\n");
  ASSERT_EQ(parser.Feed(in), ParseProgress::kDone);
  EXPECT_EQ(parser.message().body.In(in.view()), std::string(1000, 'x'));
}

TEST(HttpParserTest, RejectsMalformedRequests) {
  const std::pair<std::string, int> malformed_requests[] = {
      {"GET /a HTTP/1.1\nHost: s\r\n\r\n", 400},                       // bare line ends
      {"GET /a HTTP/1.1\r\nHost: s\n\r\n", 400},                       //
      {"GET /a HTTP/1.1\r\nHost : s\r\n\r\n", 400},                    // space before the colon
      {"GET /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400},                  // folded
      {"GET /a HTTP/1.1\r\nno colon\r\n\r\n", 400},                    //
      {"GET /a HTTP/1.1\r\nA: b\x01\r\n\r\n", 400},                    // control character
      {"GET  /a HTTP/1.1\r\n\r\n", 400},                               //
      {"GET a HTTP/1.1\r\n\r\n", 400},                                 // no origin form
      {"GET /a\r\n\r\n", 400},                                         //
      {"G@T /a HTTP/1.1\r\n\r\n", 400},                                //
      {"GET /a HTTP/2.0\r\n\r\n", 505},                                //
      {"GET /a FTP/1.1\r\n\r\n", 400},                                 //
      {"POST /a HTTP/1.1\r\nContent-Length: 5x\r\n\r\nhello", 400},    //
      {"POST /a HTTP/1.1\r\nContent-Length: -5\r\n\r\nhello", 400},    //
      {"POST /a HTTP/1.1\r\nContent-Length: +5\r\n\r\nhello", 400},    //
      {"POST /a HTTP/1.1\r\nContent-Length:\r\n\r\n", 400},            //
      {"POST /a HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\nhello", 400},  //
      {"POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400},
      {"POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
      {"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413},
      {"POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n", 400},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", 400},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", 400},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx\n\r\n", 400},
  };
  for (const auto& [text, status] : malformed_requests) {
    const Parsed parsed = ParseRequest(text);
    EXPECT_EQ(parsed.progress, ParseProgress::kMalformed) << text;
    EXPECT_EQ(parsed.error_status, status) << text;
    const Parsed bytewise = Parse(HttpParser::Kind::kRequest, Bytes(text));
    EXPECT_EQ(bytewise.progress, ParseProgress::kMalformed) << text;
    EXPECT_EQ(bytewise.error_status, status) << text;
  }
}

TEST(HttpParserTest, LimitsHeadAndBody) {
  EXPECT_EQ(ParseRequest("GET /" + std::string(kMaxHeadBytes, 'a')).error_status, 431);
  std::string many_headers = "GET /a HTTP/1.1\r\n";
  for (size_t i = 0; i <= kMaxHeaders; ++i) {
    many_headers += "A: b\r\n";
  }
  EXPECT_EQ(ParseRequest(many_headers + "\r\n").error_status, 431);
  const std::string largest_body(kMaxBufferedBodyBytes, 'b');
  const std::string head =
      "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(kMaxBufferedBodyBytes);
  EXPECT_EQ(ParseRequest(head + "\r\n\r\n" + largest_body).body, largest_body);
  std::string chunks = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 17; ++i) {
    chunks += "1000\r\n" + std::string(4096, 'c') + "\r\n";
  }
  EXPECT_EQ(ParseRequest(chunks + "0\r\n\r\n").error_status, 413);
}

TEST(HttpParserTest, ParsesKeepAlive) {
  EXPECT_FALSE(ParseRequest("GET /a HTTP/1.1\r\nConnection: x, Close\r\n\r\n").message.keep_alive);
  EXPECT_FALSE(ParseRequest("GET /a HTTP/1.0\r\n\r\n").message.keep_alive);
  EXPECT_TRUE(ParseRequest("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n").message.keep_alive);
  EXPECT_FALSE(ParseRequest("GET /a HTTP/1.1\r\nConnection: close\r\nConnection: "
                            "keep-alive\r\n\r\n")
                   .message.keep_alive);
}

TEST(HttpParserTest, ParsesResponses) {
  const Parsed parsed =
      ParseResponse("HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 2\r\n\r\nno");
  ASSERT_EQ(parsed.progress, ParseProgress::kDone);
  EXPECT_EQ(parsed.message.status, 503);
  EXPECT_EQ(parsed.body, "no");
  EXPECT_EQ(ParseResponse("HTTP/1.1 204\r\n\r\n").progress, ParseProgress::kDone);
  EXPECT_EQ(
      ParseResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
          .body,
      "x");
}

TEST(HttpParserTest, SkipsInterimResponses) {
  const Parsed parsed =
      ParseResponse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  ASSERT_EQ(parsed.progress, ParseProgress::kDone);
  EXPECT_EQ(parsed.message.status, 200);
  EXPECT_EQ(parsed.body, "x");
}

// A response with neither a length nor chunked coding ends when its connection is closed, and not
// before. A response with a length is incomplete if the connection is closed early, for example
// when the host crashes.
TEST(HttpParserTest, ResponseWithoutALengthEndsWithItsConnection) {
  EXPECT_EQ(ParseResponse("HTTP/1.1 200 OK\r\n\r\nhalf").progress, ParseProgress::kNeedMore);
  Buffer in;
  in.Append("HTTP/1.1 200 OK\r\n\r\nall");
  HttpParser parser(HttpParser::Kind::kResponse);
  EXPECT_EQ(parser.Feed(in), ParseProgress::kNeedMore);
  ASSERT_TRUE(parser.EndsWithConnection(in));
  EXPECT_EQ(parser.message().body.In(in.view()), "all");
  EXPECT_FALSE(parser.message().keep_alive);
  Buffer truncated;
  truncated.Append("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall");
  HttpParser other(HttpParser::Kind::kResponse);
  EXPECT_EQ(other.Feed(truncated), ParseProgress::kNeedMore);
  EXPECT_FALSE(other.EndsWithConnection(truncated));
}

TEST(HttpParserTest, RejectsMalformedResponses) {
  for (const char* const text :
       {"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 999 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n",
        "ICY 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", "HTTP/1.1 200 OK\n\n"}) {
    EXPECT_EQ(ParseResponse(text).progress, ParseProgress::kMalformed) << text;
  }
}

TEST(HttpParserTest, RecognizesHopByHopHeaders) {
  const Parsed parsed =
      ParseRequest("GET /a HTTP/1.1\r\nConnection: X-Mine, close\r\nX-Mine: 1\r\n\r\n");
  EXPECT_TRUE(IsHopByHop(parsed.message, parsed.base, "x-mine"));
  EXPECT_TRUE(IsHopByHop(parsed.message, parsed.base, "Keep-Alive"));
  EXPECT_FALSE(IsHopByHop(parsed.message, parsed.base, "X-Call-Id"));
}

// Parses seeded random mutations of valid messages. The parser must terminate, must not read past
// the buffer (detected by ASan), and must give the same result for a whole message as byte by byte.
TEST(HttpParserTest, ParsesMutationsTheSameWholeOrByteByByte) {
  std::mt19937 rng(20261201);
  const std::string response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Load-Report: inflight=1\r\n\r\n"
      "4\r\nbody\r\n0\r\n\r\n";
  static constexpr char kAlphabet[] = "\r\n :;,0159afAZ/\x00\xff";
  const std::string alphabet(kAlphabet, sizeof(kAlphabet) - 1);
  for (int round = 0; round < 20000; ++round) {
    const bool is_request = round % 2 == 0;
    std::string text = is_request ? (round % 4 == 0 ? kPost : kChunked) : response;
    for (int changes = 1 + static_cast<int>(rng() % 4); changes > 0; --changes) {
      const size_t at = rng() % text.size();
      const char c = alphabet[rng() % alphabet.size()];
      switch (rng() % 3) {
        case 0:
          text[at] = c;
          break;
        case 1:
          text.insert(at, 1, c);
          break;
        default:
          text.erase(at, 1);
          break;
      }
    }
    const auto kind = is_request ? HttpParser::Kind::kRequest : HttpParser::Kind::kResponse;
    const Parsed whole = Parse(kind, {text}), bytes = Parse(kind, Bytes(text));
    ASSERT_EQ(whole.progress, bytes.progress) << text;
    ASSERT_EQ(whole.body, bytes.body) << text;
    ASSERT_EQ(whole.error_status, bytes.error_status) << text;
  }
}

}  // namespace
}  // namespace paddlestile
