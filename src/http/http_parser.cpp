#include "http/http_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstring>
#include <utility>

#include "base/parse_number.h"

namespace paddlestile {
namespace {

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
    return std::isalnum(c) ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
  });
}

// No control characters: one that a peer reads as an end of line would let a header in.
bool IsFieldText(std::string_view text) {
  return std::ranges::all_of(text,
                             [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

bool IsTarget(std::string_view text) {
  return text.starts_with('/') &&
         std::ranges::all_of(text, [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

// Whether a comma-separated list holds a word.
bool Lists(std::string_view list, std::string_view word) {
  while (true) {
    const size_t comma = list.find(',');
    if (HeaderNamesEqual(Trim(list.substr(0, comma)), word)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      return false;
    }
    list.remove_prefix(comma + 1);
  }
}

}  // namespace

bool HeaderNamesEqual(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view Trim(std::string_view text) {
  while (text.starts_with(' ') || text.starts_with('\t')) {
    text.remove_prefix(1);
  }
  while (text.ends_with(' ') || text.ends_with('\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// ---- Chunks ---------------------------------------------------------------------------------

ParseProgress ChunkDecoder::Decode(std::string_view in, char* out, size_t& read, size_t& written) {
  constexpr int kMostDigits = 16;          // with zeroes ahead
  constexpr size_t kMostChunk = 1U << 28;  // bytes; none of ours is as long
  constexpr size_t kMostExtension = 256;   // bytes after a size that nobody reads
  while (state_ != State::kDone && read < in.size()) {
    if (state_ == State::kData) {
      const size_t n = std::min(left_, in.size() - read);
      std::memmove(out + written, in.data() + read, n);
      read += n;
      written += n;
      left_ -= n;
      if (left_ == 0) {
        state_ = State::kDataCr;
      }
      continue;
    }
    const char c = in[read++];
    const auto u = static_cast<unsigned char>(c);
    switch (state_) {
      case State::kSize:
        if (std::isxdigit(u)) {
          left_ =
              left_ * 16 + static_cast<size_t>(std::isdigit(u) ? u - '0' : (u | 0x20) - 'a' + 10);
          if (++digits_ > kMostDigits || left_ > kMostChunk) {
            return ParseProgress::kMalformed;
          }
          break;
        }
        if (digits_ == 0) {
          return ParseProgress::kMalformed;
        }
        if (c != ';' && c != ' ' && c != '\t' && c != '\r') {
          return ParseProgress::kMalformed;
        }
        line_ = 0;
        state_ = c == '\r' ? State::kSizeEnd : State::kExtension;
        break;
      case State::kExtension:
        if (c == '\n' || ++line_ > kMostExtension) {
          return ParseProgress::kMalformed;
        }
        if (c == '\r') {
          state_ = State::kSizeEnd;
        }
        break;
      case State::kSizeEnd:
        if (c != '\n') {
          return ParseProgress::kMalformed;
        }
        state_ = left_ > 0 ? State::kData : State::kTrailer;
        digits_ = 0;
        line_ = 0;
        last_ = 0;
        break;
      case State::kDataCr:
        if (c != '\r') {
          return ParseProgress::kMalformed;
        }
        state_ = State::kDataLf;
        break;
      case State::kDataLf:
        if (c != '\n') {
          return ParseProgress::kMalformed;
        }
        state_ = State::kSize;
        break;
      case State::kTrailer:
        if (++trailer_ > kMaxHeadBytes) {
          return ParseProgress::kMalformed;
        }
        if (c == '\n') {
          if (last_ != '\r') {
            return ParseProgress::kMalformed;
          }
          if (line_ == 1) {
            state_ = State::kDone;
          }
          line_ = 0;
        } else {
          if (last_ == '\r') {
            return ParseProgress::kMalformed;
          }
          ++line_;
        }
        last_ = c;
        break;
      case State::kData:
      case State::kDone:
        break;
    }
  }
  return state_ == State::kDone ? ParseProgress::kDone : ParseProgress::kNeedMore;
}

// ---- Messages -------------------------------------------------------------------------------

std::optional<std::string_view> HttpMessage::FindHeader(std::string_view base,
                                                        std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (HeaderNamesEqual(key.In(base), name)) {
      return value.In(base);
    }
  }
  return std::nullopt;
}

size_t HttpMessage::CountHeader(std::string_view base, std::string_view name) const {
  return static_cast<size_t>(std::ranges::count_if(
      headers, [&](const auto& header) { return HeaderNamesEqual(header.first.In(base), name); }));
}

bool IsHopByHop(const HttpMessage& message, std::string_view base, std::string_view name) {
  static constexpr std::string_view kNames[] = {
      "Connection", "Keep-Alive",      "Proxy-Authenticate", "Proxy-Authorization",
      "TE",         "Trailer",         "Transfer-Encoding",  "Upgrade",
      "Expect",     "Proxy-Connection"};
  if (std::ranges::any_of(kNames, [&](std::string_view n) { return HeaderNamesEqual(n, name); })) {
    return true;
  }
  return std::ranges::any_of(message.headers, [&](const auto& header) {
    return HeaderNamesEqual(header.first.In(base), "Connection") &&
           Lists(header.second.In(base), name);
  });
}

void HttpParser::Reset() {
  *this = HttpParser(kind_, max_body_);
}

ParseProgress HttpParser::Fail(int status) {
  error_status_ = status;
  return ParseProgress::kMalformed;
}

ParseProgress HttpParser::ParseStartLine(std::string_view all, Range line) {
  const std::string_view text = line.In(all);
  const size_t first = text.find(' ');
  if (first == std::string_view::npos) {
    return Fail(400);
  }
  if (kind_ == Kind::kResponse) {
    const std::string_view version = text.substr(0, first), code = text.substr(first + 1, 3);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
      return Fail(400);
    }
    message_.keep_alive = version == "HTTP/1.1";
    message_.is_http10 = !message_.keep_alive;
    const auto status = ParseWholeNumber(code);
    if (code.size() != 3 || !status || *status < 100 || *status > 599) {
      return Fail(400);
    }
    if (text.size() > first + 4 && text[first + 4] != ' ') {
      return Fail(400);
    }
    message_.status = static_cast<int>(*status);
    return ParseProgress::kNeedMore;
  }
  const size_t second = text.find(' ', first + 1);
  if (second == std::string_view::npos) {
    return Fail(400);
  }
  const std::string_view version = text.substr(second + 1);
  message_.method = {line.at, first};
  message_.target = {line.at + first + 1, second - first - 1};
  if (!IsToken(message_.method.In(all)) || !IsTarget(message_.target.In(all))) {
    return Fail(400);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return Fail(version.starts_with("HTTP/") ? 505 : 400);
  }
  message_.keep_alive = version == "HTTP/1.1";
  message_.is_http10 = !message_.keep_alive;
  return ParseProgress::kNeedMore;
}

ParseProgress HttpParser::ParseHeaderLine(std::string_view all, Range line) {
  const std::string_view text = line.In(all);
  const size_t colon = text.find(':');
  // Also refuses a folded line and a space before the colon, which peers read differently.
  if (colon == std::string_view::npos || !IsToken(text.substr(0, colon))) {
    return Fail(400);
  }
  const std::string_view value = Trim(text.substr(colon + 1));
  if (!IsFieldText(value)) {
    return Fail(400);
  }
  if (message_.headers.size() >= kMaxHeaders) {
    return Fail(431);
  }
  message_.headers.push_back(
      {{line.at, colon}, {static_cast<size_t>(value.data() - all.data()), value.size()}});
  return ParseProgress::kNeedMore;
}

ParseProgress HttpParser::FinishHead(std::string_view all) {
  bool close = false;
  for (const auto& [key, value] : message_.headers) {
    if (!HeaderNamesEqual(key.In(all), "Connection")) {
      continue;
    }
    close = close || Lists(value.In(all), "close");
    message_.keep_alive = message_.keep_alive || Lists(value.In(all), "keep-alive");
  }
  message_.keep_alive = message_.keep_alive && !close;
  const size_t lengths = message_.CountHeader(all, "Content-Length");
  const size_t codings = message_.CountHeader(all, "Transfer-Encoding");
  // Two lengths, or a length beside chunks, leave open where the message ends: never guessed.
  if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) {
    return Fail(400);
  }
  message_.body = {scanned_, 0};
  if (kind_ == Kind::kResponse &&
      message_.status < 200) {  // an interim answer: the real one follows
    message_ = HttpMessage{};
    state_ = State::kStart;
    return ParseProgress::kNeedMore;
  }
  length_ = 0;
  state_ = State::kLength;
  // Whatever the head of these says.
  const bool none = kind_ == Kind::kResponse && (message_.status == 204 || message_.status == 304);
  if (none) {
    return ParseProgress::kNeedMore;
  }
  if (codings > 0) {
    if (!HeaderNamesEqual(*message_.FindHeader(all, "Transfer-Encoding"), "chunked")) {
      return Fail(501);
    }
    message_.chunked = true;
    state_ = State::kChunks;
  } else if (lengths > 0) {
    const auto length = ParseWholeNumber(*message_.FindHeader(all, "Content-Length"));
    if (!length) {
      return Fail(400);
    }
    if (*length > max_body_) {
      return Fail(413);
    }
    length_ = static_cast<size_t>(*length);
  } else if (kind_ == Kind::kResponse) {
    // A host that dies resets its connections; one that has said all closes them.
    message_.body_until_close = true;
    message_.keep_alive = false;
    state_ = State::kUntilClose;
  }
  return ParseProgress::kNeedMore;
}

ParseProgress HttpParser::ParseHeadLines(std::string_view all) {
  while (state_ == State::kStart || state_ == State::kHeaders) {
    const size_t end = all.find('\n', scanned_);
    if (std::min(end, all.size()) > kMaxHeadBytes) {
      return Fail(431);
    }
    if (end == std::string_view::npos) {
      scanned_ = all.size();
      return ParseProgress::kNeedMore;
    }
    if (end == line_begin_ || all[end - 1] != '\r') {
      return Fail(400);  // a bare line end
    }
    const Range line{line_begin_, end - 1 - line_begin_};
    scanned_ = line_begin_ = end + 1;
    if (state_ == State::kStart) {
      if (line.size == 0 && kind_ == Kind::kRequest && end < 4) {
        continue;  // one before a request
      }
      if (ParseStartLine(all, line) == ParseProgress::kMalformed) {
        return ParseProgress::kMalformed;
      }
      state_ = State::kHeaders;
    } else if (line.size > 0) {
      if (ParseHeaderLine(all, line) == ParseProgress::kMalformed) {
        return ParseProgress::kMalformed;
      }
    } else if (FinishHead(all) == ParseProgress::kMalformed) {
      return ParseProgress::kMalformed;
    }
  }
  return ParseProgress::kDone;
}

ParseProgress HttpParser::FeedHead(Buffer& in) {
  if (error_status_ != 0) {
    return ParseProgress::kMalformed;
  }
  const ParseProgress head = ParseHeadLines(in.view());
  if (head == ParseProgress::kDone) {
    message_.total_bytes = message_.body.at;
  }
  return head;
}

ParseProgress HttpParser::Feed(Buffer& in) {
  if (error_status_ != 0) {
    return ParseProgress::kMalformed;
  }
  if (const ParseProgress head = ParseHeadLines(in.view()); head != ParseProgress::kDone) {
    return head;
  }
  if (state_ == State::kUntilClose) {
    message_.body.size = in.size() - message_.body.at;
    if (message_.body.size > max_body_) {
      return Fail(413);
    }
    return ParseProgress::kNeedMore;
  }
  if (state_ == State::kLength) {
    if (in.size() < message_.body.at + length_) {
      return ParseProgress::kNeedMore;
    }
    message_.body.size = length_;
    message_.total_bytes = message_.body.at + length_;
    state_ = State::kDone;
  } else if (state_ == State::kChunks) {
    size_t read = 0, written = 0;
    char* const out = in.data() + message_.body.at + message_.body.size;
    const ParseProgress body =
        chunk_decoder_.Decode(in.view().substr(scanned_), out, read, written);
    scanned_ += read;
    message_.body.size += written;
    if (body == ParseProgress::kMalformed) {
      return Fail(400);
    }
    if (message_.body.size > max_body_) {
      return Fail(413);
    }
    if (body == ParseProgress::kNeedMore) {
      // All was read: its framing need not be kept, or chunks of a byte would hold five more each.
      scanned_ = message_.body.at + message_.body.size;
      in.Truncate(scanned_);
      return body;
    }
    message_.total_bytes = scanned_;
    state_ = State::kDone;
  }
  return ParseProgress::kDone;
}

bool HttpParser::EndsWithConnection(Buffer& in) {
  if (state_ != State::kUntilClose || Feed(in) == ParseProgress::kMalformed) {
    return false;
  }
  message_.total_bytes = in.size();
  state_ = State::kDone;
  return true;
}

std::optional<uint64_t> HttpParser::body_length() const {
  if (state_ != State::kLength) {
    return std::nullopt;
  }
  return length_;
}

size_t HttpParser::body_bytes_received(const Buffer& in) const {
  if (state_ == State::kLength) {
    return in.size() - std::min(in.size(), message_.body.at);
  }
  return message_.body.size;
}

HttpMessage HttpParser::TakeHead(Buffer& in, Buffer& head) {
  decoded_bytes_ = state_ == State::kChunks ? message_.body.size : 0;
  head.Append(in.view().substr(0, message_.body.at));
  in.Consume(message_.body.at);
  message_.body.size = 0;
  message_.total_bytes = message_.body.at;
  return message_;
}

ParseProgress HttpParser::TakeBody(Buffer& in, Buffer& piece, bool ended) {
  if (error_status_ != 0) {
    return ParseProgress::kMalformed;
  }
  if (state_ == State::kDone) {
    return ParseProgress::kDone;
  }
  ParseProgress progress = ParseProgress::kNeedMore;
  if (state_ == State::kLength) {
    const size_t n = std::min(length_ - body_bytes_taken_, in.size());
    if (n == in.size()) {
      piece = std::exchange(in, Buffer());
    } else {
      piece = in.TakeFront(n);
    }
    if (body_bytes_taken_ + n == length_) {
      progress = ParseProgress::kDone;
    }
  } else if (state_ == State::kUntilClose) {
    piece = std::exchange(in, Buffer());
    if (ended) {
      progress = ParseProgress::kDone;
    }
  } else if (!in.empty()) {
    size_t read = 0, written = 0;
    const size_t before = std::exchange(decoded_bytes_, 0);
    progress = chunk_decoder_.Decode(in.view().substr(before), in.data() + before, read, written);
    if (progress == ParseProgress::kMalformed) {
      return Fail(400);
    }
    piece = in.TakeFront(before + read);
    piece.Truncate(before + written);
  }
  body_bytes_taken_ += piece.size();
  if (body_bytes_taken_ > max_body_) {
    return Fail(413);
  }
  if (progress == ParseProgress::kDone) {
    state_ = State::kDone;
  }
  return progress == ParseProgress::kNeedMore && piece.empty() && ended ? Fail(400) : progress;
}

}  // namespace paddlestile
