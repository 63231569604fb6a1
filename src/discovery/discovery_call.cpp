#include "discovery/discovery_call.h"

#include <fmt/format.h>

#include <string>
#include <utility>

#include "discovery/call_group.h"

namespace paddlestile {
namespace {

constexpr size_t kMaxUnreadBytes = 1 << 17;  // read before yielding to other connections
constexpr int kContentTooLarge = 413;

}  // namespace

DiscoveryClient::Call::Call(DiscoveryClient& client, Socket socket, bool watch)
    : client_(client),
      loop_(client.loop_),
      is_watch_(watch),
      response_parser_(HttpParser::Kind::kResponse, client.max_list_bytes_),
      stream_(client.loop_, std::move(socket), this, true) {
  stream_.set_max_unread_bytes(kMaxUnreadBytes);
}

void DiscoveryClient::Call::OnConnected() {
  const std::string query =
      is_watch_ ? fmt::format("?follow=1&since={:.0f}", client_.revision_) : std::string();
  stream_.Write(fmt::format("GET /catalog/members{} HTTP/1.1\r\nHost: {}\r\n\r\n", query,
                            ToText(client_.discovery_)));
  reachable_at_ = loop_.Now();
}

void DiscoveryClient::Call::OnError() {
  client_.OnCallFailed(*this, "connection failed");
}

void DiscoveryClient::Call::OnData() {
  progress_.last_bytes_at = loop_.Now();
  if (!is_watch_) {
    ReadPollResponse();
  } else if (head_read_ || ReadWatchHead()) {
    ReadWatchLines();
  }
  if (stream_.closed()) {
    return;
  }
  progress_.unfinished_bytes = line_parser_.size() + stream_.input().size();
  if (stream_.ended()) {
    return client_.OnCallFailed(*this, "connection closed by the agent");
  }
  ResumeReadingAfterRound();
}

// Unread bytes stay with the agent, so that it does not transfer an oversized list completely.
void DiscoveryClient::Call::ResumeReadingAfterRound() {
  if (!stream_.readable() || std::exchange(resume_scheduled_, true)) {
    return;
  }
  loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    resume_scheduled_ = false;
    stream_.ResumeReading();
  });
}

// ---- Poll -----------------------------------------------------------------------------------

void DiscoveryClient::Call::ReadPollResponse() {
  const ParseProgress progress = response_parser_.Feed(stream_.input());
  if (progress == ParseProgress::kNeedMore) {
    // The whole response is buffered; the parser enforces the body limit.
    return stream_.set_max_unread_bytes(client_.max_list_bytes_ + kMaxHeadBytes);
  }
  if (progress == ParseProgress::kMalformed &&
      response_parser_.error_status() == kContentTooLarge) {
    return client_.OnOversizedList(*this);
  }
  const HttpMessage& message = response_parser_.message();
  if (progress == ParseProgress::kMalformed || message.status != 200) {
    return client_.OnCallFailed(*this, "invalid response");
  }
  JsonParser parser;
  if (!client_.Parse(parser, message.body.In(stream_.input().view())) ||
      !client_.AcceptList(*this, parser, true)) {
    return client_.OnCallFailed(*this, "invalid list");
  }
  client_.polls_->End(*this);
}

// ---- Watch ----------------------------------------------------------------------------------

bool DiscoveryClient::Call::ReadWatchHead() {
  const ParseProgress progress = head_parser_.FeedHead(stream_.input());
  if (progress == ParseProgress::kNeedMore) {
    return false;
  }
  const HttpMessage& message = head_parser_.message();
  if (progress == ParseProgress::kMalformed || message.status != 200 || !message.chunked) {
    client_.OnCallFailed(*this, "invalid response");
    return false;
  }
  stream_.input().Consume(message.total_bytes);
  head_read_ = true;
  return true;
}

// Chunks may split lines anywhere, and reads may split chunks.
void DiscoveryClient::Call::ReadWatchLines() {
  Buffer& in = stream_.input();
  if (in.empty()) {
    return;
  }
  size_t read = 0, written = 0;
  const ParseProgress progress = chunk_decoder_.Decode(in.view(), in.data(), read, written);
  for (std::string_view text = in.view().substr(0, written); !text.empty();) {
    const size_t line_end = text.find('\n');
    const bool ends_line = line_end != std::string_view::npos;
    const std::string_view part = text.substr(0, ends_line ? line_end + 1 : line_end);
    if (!ParseLinePart(part, ends_line)) {
      return;
    }
    text.remove_prefix(part.size());
  }
  in.Consume(in.size());
  if (progress == ParseProgress::kMalformed) {
    return client_.OnCallFailed(*this, "malformed chunked encoding");
  }
  if (progress == ParseProgress::kDone) {
    client_.OnCallFailed(*this, "agent ended the watch response");
  }
}

bool DiscoveryClient::Call::ParseLinePart(std::string_view part, bool ends_line) {
  line_is_blank_ = line_is_blank_ && part.find_first_not_of(" \t\r\n") == std::string_view::npos;
  if (line_parser_.size() + part.size() > client_.max_list_bytes_) {
    client_.OnOversizedList(*this);
    return false;
  }
  // No line within a list object starts with a brace, so a brace at the start of a line means that
  // the current object was truncated and the next one follows.
  const bool truncated =
      std::exchange(at_line_start_, ends_line) && line_parser_.open() && part.front() == '{';
  if (truncated || !client_.Parse(line_parser_, part) || (ends_line && !OnLineEnd())) {
    client_.OnCallFailed(*this, "invalid line");
    return false;
  }
  return true;
}

bool DiscoveryClient::Call::OnLineEnd() {
  // An object may span several lines. An empty line is a keep-alive, which never occurs within an
  // object, so an object that is still open was truncated.
  if (line_parser_.open()) {
    return !std::exchange(line_is_blank_, true) ||
           client_.OnMalformed("object truncated before an empty line");
  }
  line_is_blank_ = true;
  reachable_at_ = loop_.Now();
  progress_.last_line_at = reachable_at_;
  client_.OnLineReceived(*this);
  const bool is_keep_alive = !line_parser_.begun();
  const bool accepted = is_keep_alive || client_.AcceptList(*this, line_parser_, false);
  line_parser_ = JsonParser();
  if (!accepted || !client_.StaleForTooLong()) {
    return accepted;
  }
  // The agent uses a different revision sequence. Accept it from now on and request the complete
  // list with the next watch.
  client_.ForgetRevision(*this);
  return false;
}

}  // namespace paddlestile
