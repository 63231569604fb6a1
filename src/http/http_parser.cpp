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
    if (SameName(Trim(list.substr(0, comma)), word)) return true;
    if (comma == std::string_view::npos) return false;
    list.remove_prefix(comma + 1);
  }
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view Trim(std::string_view text) {
  while (text.starts_with(' ') || text.starts_with('\t')) text.remove_prefix(1);
  while (text.ends_with(' ') || text.ends_with('\t')) text.remove_suffix(1);
  return text;
}

// ---- Chunks ---------------------------------------------------------------------------------

Progress ChunkDecoder::Decode(std::string_view in, char* out, size_t& read, size_t& written) {
  constexpr int kMostDigits = 16;          // with zeroes ahead
  constexpr size_t kMostChunk = 1U << 28;  // bytes; none of ours is as long
  constexpr size_t kMostExtension = 256;   // bytes after a size that nobody reads
  while (state_ != State::kDone && read < in.size()) {
    if (state_ == State::kData) {
      const size_t n = std::min(left_, in.size() - read);
      std::memmove(out + written, in.data() + read, n);
      read += n, written += n, left_ -= n;
      if (left_ == 0) state_ = State::kDataCr;
      continue;
    }
    const char c = in[read++];
    const auto u = static_cast<unsigned char>(c);
    switch (state_) {
      case State::kSize:
        if (std::isxdigit(u)) {
          left_ =
              left_ * 16 + static_cast<size_t>(std::isdigit(u) ? u - '0' : (u | 0x20) - 'a' + 10);
          if (++digits_ > kMostDigits || left_ > kMostChunk) return Progress::kBad;
          break;
        }
        if (digits_ == 0) return Progress::kBad;
        if (c != ';' && c != ' ' && c != '\t' && c != '\r') return Progress::kBad;
        line_ = 0;
        state_ = c == '\r' ? State::kSizeEnd : State::kExtension;
        break;
      case State::kExtension:
        if (c == '\n' || ++line_ > kMostExtension) return Progress::kBad;
        if (c == '\r') state_ = State::kSizeEnd;
        break;
      case State::kSizeEnd:
        if (c != '\n') return Progress::kBad;
        state_ = left_ > 0 ? State::kData : State::kTrailer;
        digits_ = 0, line_ = 0, last_ = 0;
        break;
      case State::kDataCr:
        if (c != '\r') return Progress::kBad;
        state_ = State::kDataLf;
        break;
      case State::kDataLf:
        if (c != '\n') return Progress::kBad;
        state_ = State::kSize;
        break;
      case State::kTrailer:
        if (++trailer_ > kMaxHead) return Progress::kBad;
        if (c == '\n') {
          if (last_ != '\r') return Progress::kBad;
          if (line_ == 1) state_ = State::kDone;
          line_ = 0;
        } else {
          if (last_ == '\r') return Progress::kBad;
          ++line_;
        }
        last_ = c;
        break;
      case State::kData:
      case State::kDone: break;
    }
  }
  return state_ == State::kDone ? Progress::kDone : Progress::kMore;
}

// ---- Messages -------------------------------------------------------------------------------

std::optional<std::string_view> Message::Find(std::string_view base, std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key.In(base), name)) return value.In(base);
  }
  return std::nullopt;
}

size_t Message::CountOf(std::string_view base, std::string_view name) const {
  return static_cast<size_t>(std::ranges::count_if(
      headers, [&](const auto& header) { return SameName(header.first.In(base), name); }));
}

bool HopByHop(const Message& message, std::string_view base, std::string_view name) {
  static constexpr std::string_view kNames[] = {
      "Connection", "Keep-Alive",      "Proxy-Authenticate", "Proxy-Authorization",
      "TE",         "Trailer",         "Transfer-Encoding",  "Upgrade",
      "Expect",     "Proxy-Connection"};
  if (std::ranges::any_of(kNames, [&](std::string_view n) { return SameName(n, name); })) {
    return true;
  }
  return std::ranges::any_of(message.headers, [&](const auto& header) {
    return SameName(header.first.In(base), "Connection") && Lists(header.second.In(base), name);
  });
}

void MessageParser::Reset() { *this = MessageParser(kind_, max_body_); }

Progress MessageParser::Bad(int status) {
  bad_ = status;
  return Progress::kBad;
}

Progress MessageParser::StartLine(std::string_view all, Range line) {
  const std::string_view text = line.In(all);
  const size_t first = text.find(' ');
  if (first == std::string_view::npos) return Bad(400);
  if (kind_ == Kind::kAnswer) {
    const std::string_view version = text.substr(0, first), code = text.substr(first + 1, 3);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return Bad(400);
    message_.keep_alive = version == "HTTP/1.1";
    message_.http10 = !message_.keep_alive;
    const auto status = ToWhole(code);
    if (code.size() != 3 || !status || *status < 100 || *status > 599) return Bad(400);
    if (text.size() > first + 4 && text[first + 4] != ' ') return Bad(400);
    message_.status = static_cast<int>(*status);
    return Progress::kMore;
  }
  const size_t second = text.find(' ', first + 1);
  if (second == std::string_view::npos) return Bad(400);
  const std::string_view version = text.substr(second + 1);
  message_.method = {line.at, first};
  message_.target = {line.at + first + 1, second - first - 1};
  if (!IsToken(message_.method.In(all)) || !IsTarget(message_.target.In(all))) return Bad(400);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return Bad(version.starts_with("HTTP/") ? 505 : 400);
  }
  message_.keep_alive = version == "HTTP/1.1";
  message_.http10 = !message_.keep_alive;
  return Progress::kMore;
}

Progress MessageParser::Header(std::string_view all, Range line) {
  const std::string_view text = line.In(all);
  const size_t colon = text.find(':');
  // Also refuses a folded line and a space before the colon, which peers read differently.
  if (colon == std::string_view::npos || !IsToken(text.substr(0, colon))) return Bad(400);
  const std::string_view value = Trim(text.substr(colon + 1));
  if (!IsFieldText(value)) return Bad(400);
  if (message_.headers.size() >= kMaxHeaders) return Bad(431);
  message_.headers.push_back(
      {{line.at, colon}, {static_cast<size_t>(value.data() - all.data()), value.size()}});
  return Progress::kMore;
}

Progress MessageParser::EndOfHead(std::string_view all) {
  bool close = false;
  for (const auto& [key, value] : message_.headers) {
    if (!SameName(key.In(all), "Connection")) continue;
    close = close || Lists(value.In(all), "close");
    message_.keep_alive = message_.keep_alive || Lists(value.In(all), "keep-alive");
  }
  message_.keep_alive = message_.keep_alive && !close;
  const size_t lengths = message_.CountOf(all, "Content-Length");
  const size_t codings = message_.CountOf(all, "Transfer-Encoding");
  // Two lengths, or a length beside chunks, leave open where the message ends: never guessed.
  if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) return Bad(400);
  message_.body = {at_, 0};
  if (kind_ == Kind::kAnswer && message_.status < 200) {  // an interim answer: the real one follows
    message_ = Message{};
    state_ = State::kStart;
    return Progress::kMore;
  }
  length_ = 0;
  state_ = State::kLength;
  // Whatever the head of these says.
  const bool none = kind_ == Kind::kAnswer && (message_.status == 204 || message_.status == 304);
  if (none) return Progress::kMore;
  if (codings > 0) {
    if (!SameName(*message_.Find(all, "Transfer-Encoding"), "chunked")) return Bad(501);
    message_.chunked = true;
    state_ = State::kChunks;
  } else if (lengths > 0) {
    const auto length = ToWhole(*message_.Find(all, "Content-Length"));
    if (!length) return Bad(400);
    if (*length > max_body_) return Bad(413);
    length_ = static_cast<size_t>(*length);
  } else if (kind_ == Kind::kAnswer) {
    // A host that dies resets its connections; one that has said all closes them.
    message_.until_close = true;
    message_.keep_alive = false;
    state_ = State::kUntilClose;
  }
  return Progress::kMore;
}

Progress MessageParser::Lines(std::string_view all) {
  while (state_ == State::kStart || state_ == State::kHeaders) {
    const size_t end = all.find('\n', at_);
    if (std::min(end, all.size()) > kMaxHead) return Bad(431);
    if (end == std::string_view::npos) {
      at_ = all.size();
      return Progress::kMore;
    }
    if (end == line_ || all[end - 1] != '\r') return Bad(400);  // a bare line end
    const Range line{line_, end - 1 - line_};
    at_ = line_ = end + 1;
    if (state_ == State::kStart) {
      if (line.size == 0 && kind_ == Kind::kRequest && end < 4) continue;  // one before a request
      if (StartLine(all, line) == Progress::kBad) return Progress::kBad;
      state_ = State::kHeaders;
    } else if (line.size > 0) {
      if (Header(all, line) == Progress::kBad) return Progress::kBad;
    } else if (EndOfHead(all) == Progress::kBad) {
      return Progress::kBad;
    }
  }
  return Progress::kDone;
}

Progress MessageParser::FeedHead(Buffer& in) {
  if (bad_ != 0) return Progress::kBad;
  const Progress head = Lines(in.view());
  if (head == Progress::kDone) message_.size = message_.body.at;
  return head;
}

Progress MessageParser::Feed(Buffer& in) {
  if (bad_ != 0) return Progress::kBad;
  if (const Progress head = Lines(in.view()); head != Progress::kDone) return head;
  if (state_ == State::kUntilClose) {
    message_.body.size = in.size() - message_.body.at;
    if (message_.body.size > max_body_) return Bad(413);
    return Progress::kMore;
  }
  if (state_ == State::kLength) {
    if (in.size() < message_.body.at + length_) return Progress::kMore;
    message_.body.size = length_;
    message_.size = message_.body.at + length_;
    state_ = State::kDone;
  } else if (state_ == State::kChunks) {
    size_t read = 0, written = 0;
    char* const out = in.data() + message_.body.at + message_.body.size;
    const Progress body = chunks_.Decode(in.view().substr(at_), out, read, written);
    at_ += read;
    message_.body.size += written;
    if (body == Progress::kBad) return Bad(400);
    if (message_.body.size > max_body_) return Bad(413);
    if (body == Progress::kMore) {
      // All was read: its framing need not be kept, or chunks of a byte would hold five more each.
      at_ = message_.body.at + message_.body.size;
      in.Truncate(at_);
      return body;
    }
    message_.size = at_;
    state_ = State::kDone;
  }
  return Progress::kDone;
}

bool MessageParser::EndsWithConnection(Buffer& in) {
  if (state_ != State::kUntilClose || Feed(in) == Progress::kBad) return false;
  message_.size = in.size();
  state_ = State::kDone;
  return true;
}

std::optional<uint64_t> MessageParser::length() const {
  if (state_ != State::kLength) return std::nullopt;
  return length_;
}

size_t MessageParser::body_come(const Buffer& in) const {
  if (state_ == State::kLength) return in.size() - std::min(in.size(), message_.body.at);
  return message_.body.size;
}

Message MessageParser::TakeHead(Buffer& in, Buffer& head) {
  decoded_ = state_ == State::kChunks ? message_.body.size : 0;
  head.Append(in.view().substr(0, message_.body.at));
  in.Consume(message_.body.at);
  message_.body.size = 0;
  message_.size = message_.body.at;
  return message_;
}

Progress MessageParser::TakeBody(Buffer& in, Buffer& piece, bool ended) {
  if (bad_ != 0) return Progress::kBad;
  if (state_ == State::kDone) return Progress::kDone;
  Progress progress = Progress::kMore;
  if (state_ == State::kLength) {
    const size_t n = std::min(length_ - passed_, in.size());
    if (n == in.size()) {
      piece = std::exchange(in, Buffer());
    } else {
      piece = in.TakeFront(n);
    }
    if (passed_ + n == length_) progress = Progress::kDone;
  } else if (state_ == State::kUntilClose) {
    piece = std::exchange(in, Buffer());
    if (ended) progress = Progress::kDone;
  } else if (!in.empty()) {
    size_t read = 0, written = 0;
    const size_t before = std::exchange(decoded_, 0);
    progress = chunks_.Decode(in.view().substr(before), in.data() + before, read, written);
    if (progress == Progress::kBad) return Bad(400);
    piece = in.TakeFront(before + read);
    piece.Truncate(before + written);
  }
  passed_ += piece.size();
  if (passed_ > max_body_) return Bad(413);
  if (progress == Progress::kDone) state_ = State::kDone;
  return progress == Progress::kMore && piece.empty() && ended ? Bad(400) : progress;
}

}  // namespace paddlestile
