#include "http/http_parser.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "base/parse_number.h"

namespace paddlestile {
namespace {

// Up to two empty lines before a request are skipped: their line ends lie before this position.
constexpr size_t kMaxLeadingLineEnd = 4;

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
    return std::isalnum(c) ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
  });
}

// Rejects control characters: a peer that treats one as a line end would see an injected header.
bool IsFieldText(std::string_view text) {
  return std::ranges::all_of(text,
                             [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

bool IsTarget(std::string_view text) {
  return text.starts_with('/') &&
         std::ranges::all_of(text, [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

bool IsSupportedVersion(std::string_view version) {
  return version == "HTTP/1.1" || version == "HTTP/1.0";
}

}  // namespace

void HttpParser::Reset() {
  *this = HttpParser(kind_, max_body_bytes_);
}

ParseProgress HttpParser::Fail(int status) {
  error_status_ = status;
  return ParseProgress::kMalformed;
}

// ---- Head -----------------------------------------------------------------------------------

void HttpParser::SetVersion(std::string_view version) {
  message_.is_http10 = version == "HTTP/1.0";
  message_.keep_alive = !message_.is_http10;  // default, may be changed by the Connection header
}

ParseProgress HttpParser::ParseStatusLine(std::string_view text) {
  const size_t space = text.find(' ');
  if (space == std::string_view::npos) {
    return Fail(400);
  }
  const std::string_view version = text.substr(0, space);
  const std::string_view code = text.substr(space + 1, 3);
  if (!IsSupportedVersion(version)) {
    return Fail(400);
  }
  SetVersion(version);
  const auto status = ParseWholeNumber(code);
  if (code.size() != 3 || !status || *status < 100 || *status > 599) {
    return Fail(400);
  }
  if (text.size() > space + 4 && text[space + 4] != ' ') {
    return Fail(400);
  }
  message_.status = static_cast<int>(*status);
  return ParseProgress::kNeedMore;
}

ParseProgress HttpParser::ParseRequestLine(std::string_view all, Range line) {
  const std::string_view text = line.In(all);
  const size_t first_space = text.find(' ');
  if (first_space == std::string_view::npos) {
    return Fail(400);
  }
  const size_t second_space = text.find(' ', first_space + 1);
  if (second_space == std::string_view::npos) {
    return Fail(400);
  }
  const std::string_view version = text.substr(second_space + 1);
  message_.method = {line.at, first_space};
  message_.target = {line.at + first_space + 1, second_space - first_space - 1};
  if (!IsToken(message_.method.In(all)) || !IsTarget(message_.target.In(all))) {
    return Fail(400);
  }
  if (!IsSupportedVersion(version)) {
    return Fail(version.starts_with("HTTP/") ? 505 : 400);
  }
  SetVersion(version);
  return ParseProgress::kNeedMore;
}

ParseProgress HttpParser::ParseHeaderLine(std::string_view all, Range line) {
  const std::string_view text = line.In(all);
  const size_t colon = text.find(':');
  // Also rejects folded lines and white space before the colon, which peers interpret differently.
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

void HttpParser::ReadConnectionHeaders(std::string_view all) {
  bool close = false;
  for (const auto& [name, value] : message_.headers) {
    if (!HeaderNamesEqual(name.In(all), "Connection")) {
      continue;
    }
    close = close || ListContains(value.In(all), "close");
    message_.keep_alive = message_.keep_alive || ListContains(value.In(all), "keep-alive");
  }
  message_.keep_alive = message_.keep_alive && !close;
}

ParseProgress HttpParser::FinishHead(std::string_view all) {
  ReadConnectionHeaders(all);
  const size_t length_count = message_.CountHeader(all, "Content-Length");
  const size_t coding_count = message_.CountHeader(all, "Transfer-Encoding");
  // With several lengths, or both a length and a transfer coding, the message end is ambiguous.
  if (length_count > 1 || coding_count > 1 || (length_count > 0 && coding_count > 0)) {
    return Fail(400);
  }
  if (kind_ == Kind::kResponse && message_.status < 200) {
    message_ = HttpMessage{};  // interim response; the final one follows
    state_ = State::kStart;
    return ParseProgress::kNeedMore;
  }
  message_.body = {scanned_bytes_, 0};
  content_length_ = 0;
  state_ = State::kLength;
  // Responses with these statuses have no body, whatever their headers say.
  if (kind_ == Kind::kResponse && (message_.status == 204 || message_.status == 304)) {
    return ParseProgress::kNeedMore;
  }
  return ParseBodyFraming(all);
}

ParseProgress HttpParser::ParseBodyFraming(std::string_view all) {
  if (const auto coding = message_.FindHeader(all, "Transfer-Encoding")) {
    if (!HeaderNamesEqual(*coding, "chunked")) {
      return Fail(501);
    }
    message_.chunked = true;
    state_ = State::kChunks;
  } else if (const auto header = message_.FindHeader(all, "Content-Length")) {
    const auto length = ParseWholeNumber(*header);
    if (!length) {
      return Fail(400);
    }
    if (*length > max_body_bytes_) {
      return Fail(413);
    }
    content_length_ = static_cast<size_t>(*length);
  } else if (kind_ == Kind::kResponse) {
    // A close marks the end of the body. An endpoint that crashes resets its connections instead.
    message_.body_until_close = true;
    message_.keep_alive = false;
    state_ = State::kUntilClose;
  }
  return ParseProgress::kNeedMore;
}

ParseProgress HttpParser::ParseHeadLine(std::string_view all, Range line) {
  if (state_ == State::kStart) {
    const ParseProgress progress =
        kind_ == Kind::kResponse ? ParseStatusLine(line.In(all)) : ParseRequestLine(all, line);
    if (progress != ParseProgress::kMalformed) {
      state_ = State::kHeaders;
    }
    return progress;
  }
  return line.size > 0 ? ParseHeaderLine(all, line) : FinishHead(all);
}

ParseProgress HttpParser::ParseHeadLines(std::string_view all) {
  while (state_ == State::kStart || state_ == State::kHeaders) {
    const size_t end = all.find('\n', scanned_bytes_);
    if (std::min(end, all.size()) > kMaxHeadBytes) {
      return Fail(431);
    }
    if (end == std::string_view::npos) {
      scanned_bytes_ = all.size();
      return ParseProgress::kNeedMore;
    }
    if (end == line_begin_ || all[end - 1] != '\r') {
      return Fail(400);  // bare line feed
    }
    const Range line{line_begin_, end - 1 - line_begin_};
    scanned_bytes_ = end + 1;
    line_begin_ = end + 1;
    const bool is_leading_line_end = state_ == State::kStart && kind_ == Kind::kRequest &&
                                     line.size == 0 && end < kMaxLeadingLineEnd;
    if (is_leading_line_end) {
      continue;
    }
    if (ParseHeadLine(all, line) == ParseProgress::kMalformed) {
      return ParseProgress::kMalformed;
    }
  }
  return ParseProgress::kDone;
}

ParseProgress HttpParser::FeedHead(Buffer& in) {
  if (error_status_ != 0) {
    return ParseProgress::kMalformed;
  }
  const ParseProgress progress = ParseHeadLines(in.view());
  if (progress == ParseProgress::kDone) {
    message_.total_bytes = message_.body.at;
  }
  return progress;
}

// ---- Buffered body --------------------------------------------------------------------------

ParseProgress HttpParser::Feed(Buffer& in) {
  if (error_status_ != 0) {
    return ParseProgress::kMalformed;
  }
  const ParseProgress head = ParseHeadLines(in.view());
  if (head != ParseProgress::kDone) {
    return head;
  }
  switch (state_) {
    case State::kLength:
      return FeedSizedBody(in);
    case State::kChunks:
      return FeedChunkedBody(in);
    case State::kUntilClose:
      return FeedBodyUntilClose(in);
    default:
      return ParseProgress::kDone;
  }
}

ParseProgress HttpParser::FeedSizedBody(const Buffer& in) {
  if (in.size() < message_.body.at + content_length_) {
    return ParseProgress::kNeedMore;
  }
  message_.body.size = content_length_;
  message_.total_bytes = message_.body.at + content_length_;
  state_ = State::kDone;
  return ParseProgress::kDone;
}

ParseProgress HttpParser::FeedChunkedBody(Buffer& in) {
  size_t read = 0, written = 0;
  char* const out = in.data() + message_.body.at + message_.body.size;
  const ParseProgress progress =
      chunk_decoder_.Decode(in.view().substr(scanned_bytes_), out, read, written);
  scanned_bytes_ += read;
  message_.body.size += written;
  if (progress == ParseProgress::kMalformed) {
    return Fail(400);
  }
  if (message_.body.size > max_body_bytes_) {
    return Fail(413);
  }
  if (progress == ParseProgress::kNeedMore) {
    // Drops the framing that was read. Otherwise one-byte chunks would occupy five more bytes each.
    scanned_bytes_ = message_.body.at + message_.body.size;
    in.Truncate(scanned_bytes_);
    return progress;
  }
  message_.total_bytes = scanned_bytes_;
  state_ = State::kDone;
  return ParseProgress::kDone;
}

ParseProgress HttpParser::FeedBodyUntilClose(const Buffer& in) {
  message_.body.size = in.size() - message_.body.at;
  if (message_.body.size > max_body_bytes_) {
    return Fail(413);
  }
  return ParseProgress::kNeedMore;
}

bool HttpParser::EndsWithConnection(Buffer& in) {
  if (state_ != State::kUntilClose || Feed(in) == ParseProgress::kMalformed) {
    return false;
  }
  message_.total_bytes = in.size();
  state_ = State::kDone;
  return true;
}

// ---- Streamed body --------------------------------------------------------------------------

std::optional<uint64_t> HttpParser::body_length() const {
  if (state_ != State::kLength) {
    return std::nullopt;
  }
  return content_length_;
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
    progress = TakeSizedBody(in, piece);
  } else if (state_ == State::kUntilClose) {
    piece = std::exchange(in, Buffer());
    progress = ended ? ParseProgress::kDone : ParseProgress::kNeedMore;
  } else if (!in.empty()) {
    progress = TakeChunkedBody(in, piece);
  }
  if (progress == ParseProgress::kMalformed) {
    return progress;
  }
  body_bytes_taken_ += piece.size();
  if (body_bytes_taken_ > max_body_bytes_) {
    return Fail(413);
  }
  if (progress == ParseProgress::kDone) {
    state_ = State::kDone;
  }
  const bool truncated = progress == ParseProgress::kNeedMore && piece.empty() && ended;
  return truncated ? Fail(400) : progress;
}

ParseProgress HttpParser::TakeSizedBody(Buffer& in, Buffer& piece) {
  const size_t size = std::min(content_length_ - body_bytes_taken_, in.size());
  if (size == in.size()) {
    piece = std::exchange(in, Buffer());
  } else {
    piece = in.TakeFront(size);
  }
  return body_bytes_taken_ + size == content_length_ ? ParseProgress::kDone
                                                     : ParseProgress::kNeedMore;
}

ParseProgress HttpParser::TakeChunkedBody(Buffer& in, Buffer& piece) {
  size_t read = 0, written = 0;
  const size_t decoded = std::exchange(decoded_bytes_, 0);
  const ParseProgress progress =
      chunk_decoder_.Decode(in.view().substr(decoded), in.data() + decoded, read, written);
  if (progress == ParseProgress::kMalformed) {
    return Fail(400);
  }
  piece = in.TakeFront(decoded + read);
  piece.Truncate(decoded + written);
  return progress;
}

}  // namespace paddlestile
