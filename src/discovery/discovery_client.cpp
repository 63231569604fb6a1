#include "discovery/discovery_client.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"

namespace paddlestile {
namespace {

// A line is due every 2 s, an empty one at the least: after two and a half of them without one, a
// watch is dead. What it missed counts as told a second later, so that there is time to ask anew.
constexpr Duration kSilence{5'000'000};   // us; from line to line, whatever comes within one
constexpr Duration kCallTime{2'000'000};  // us; to connect, and for a whole list
constexpr Duration kAgainFirst{100'000};  // us; doubles up to kAgainDoublings times
constexpr int kAgainDoublings = 2;        // no longer than 0.4 s without an ear for the news
constexpr int kReceive = 1 << 18;         // bytes that the kernel may hold of what is not read yet
constexpr size_t kReadAtOnce = 1 << 17;   // bytes; then others have their turn
// Where the module asks its waits grow up to 6 s, behind a call that was silent for 5: from the
// moment in which discovery could be reached, what it has would be held too late. Then the next
// call is begun here; 0.4 s are left for its answer.
constexpr Duration kNextCall{5'600'000};  // us; from a call's begin, or its last sign of life

}  // namespace

class DiscoveryClient::Call final : public Stream::Listener {
 public:
  Call(DiscoveryClient& list, Socket socket, bool watch)
      : list_(list),
        loop_(list.loop_),
        watch_(watch),
        whole_(HttpParser::Kind::kResponse, list.max_list_bytes_),
        stream_(list.loop_, std::move(socket), this, true) {
    stream_.set_max_unread_bytes(kReadAtOnce);
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  virtual ~Call() { loop_.CancelTimer(timer_); }

  bool Start() {
    if (!stream_.Start()) {
      return false;
    }
    SetTimer(kCallTime);
    return true;
  }
  void Stop() {
    loop_.CancelTimer(timer_);
    stream_.Close();
  }
  [[nodiscard]] bool watch() const { return watch_; }
  // When it was begun, or last showed that discovery could be reached.
  [[nodiscard]] Time alive_at() const { return alive_at_; }

 private:
  void OnConnected() override {
    const std::string query =
        watch_ ? fmt::format("?follow=1&since={:.0f}", list_.revision_) : std::string();
    stream_.Write(fmt::format("GET /catalog/members{} HTTP/1.1\r\nHost: {}\r\n\r\n", query,
                              ToText(list_.discovery_)));
    // An agent that pushes says what it has at once: one that accepts and says nothing is asked
    // again soon, or what a silent watch before it missed would come too late.
    SetTimer(watch_ && !list_.self_renewing_watch_ ? kSilence : kCallTime);
    alive_at_ = loop_.Now();
  }

  void OnError() override { list_.OnCallFailed(*this, "connection broken"); }

  void OnData() override {
    if (!watch_) {
      ReadWhole();
    } else if (in_body_ || ReadHead()) {
      ReadLines();
    }
    if (stream_.closed()) {
      return;
    }
    if (stream_.ended()) {
      return list_.OnCallFailed(*this, "connection ended");
    }
    // What is not read is left with discovery, which a list past the bound must not send whole.
    if (!stream_.readable() || std::exchange(resumes_, true)) {
      return;
    }
    loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
      if (alive.expired()) {
        return;
      }
      resumes_ = false;
      stream_.ResumeReading();
    });
  }

  void ReadWhole() {
    const ParseProgress progress = whole_.Feed(stream_.input());
    // The head has been seen, or is as good as: what it says is to come is held whole.
    if (progress == ParseProgress::kNeedMore) {
      return stream_.set_max_unread_bytes(list_.max_list_bytes_ + kMaxHeadBytes);
    }
    constexpr int kTooLong = 413;
    if (progress == ParseProgress::kMalformed && whole_.error_status() == kTooLong) {
      return list_.OnOversizedList(*this);
    }
    const HttpMessage& m = whole_.message();
    if (progress == ParseProgress::kMalformed || m.status != 200) {
      return list_.OnCallFailed(*this, "malformed answer");
    }
    JsonParser parser;
    if (!list_.Read(parser, m.body.In(stream_.input().view())) ||
        !list_.AcceptList(*this, parser, true)) {
      return list_.OnCallFailed(*this, "malformed list");
    }
    list_.Close(list_.poll_);
  }

  // True once the lines begin.
  bool ReadHead() {
    const ParseProgress progress = head_.FeedHead(stream_.input());
    if (progress == ParseProgress::kNeedMore) {
      return false;
    }
    if (progress == ParseProgress::kMalformed || head_.message().status != 200 ||
        !head_.message().chunked) {
      list_.OnCallFailed(*this, "malformed answer");
      return false;
    }
    stream_.input().Consume(head_.message().total_bytes);
    in_body_ = true;
    return true;
  }

  void ReadLines() {
    Buffer& in = stream_.input();
    if (in.empty()) {
      return;
    }
    // Lines are split by chunks anywhere; the chunks by reads.
    size_t read = 0, written = 0;
    const ParseProgress progress = chunks_.Decode(in.view(), in.data(), read, written);
    for (std::string_view text = in.view().substr(0, written); !text.empty();) {
      const size_t end = text.find('\n');
      const bool whole = end != std::string_view::npos;
      const std::string_view piece = text.substr(0, whole ? end + 1 : end);
      blank_ = blank_ && piece.find_first_not_of(" \t\r\n") == std::string_view::npos;
      if (line_.size() + piece.size() > list_.max_list_bytes_) {
        return list_.OnOversizedList(*this);
      }
      // Nothing within an object begins so far to the left: it is the next one, and this was cut.
      const bool cut = std::exchange(at_start_, whole) && line_.open() && piece.front() == '{';
      const bool good = !cut && list_.Read(line_, piece) && (!whole || EndOfLine());
      if (!good) {
        return list_.OnCallFailed(*this, "malformed line");
      }
      text.remove_prefix(piece.size());
    }
    in.Consume(in.size());
    if (progress == ParseProgress::kMalformed) {
      return list_.OnCallFailed(*this, "malformed framing");
    }
    if (progress == ParseProgress::kDone) {
      list_.OnCallFailed(*this, "watch ended");
    }
  }

  bool EndOfLine() {
    // Lists may come indented: an object goes on behind the ends of lines. An empty line is one of
    // its own, and what came before it was cut.
    if (line_.open()) {
      return !std::exchange(blank_, true) || list_.Malformed("a line cut short");
    }
    blank_ = true;
    SetTimer(kSilence);
    alive_at_ = loop_.Now();
    list_.OnDelivered(*this);
    const bool good =
        !line_.begun() || list_.AcceptList(*this, line_, false);  // an empty one keeps the watch
    line_ = JsonParser();
    // Its numbers are others than ours: from now on they hold, and it is asked for the whole.
    if (!good || !list_.StaleForTooLong()) {
      return good;
    }
    list_.revision_ = 0;
    list_.stale_since_ = Time(-1);
    return false;
  }

  void SetTimer(Duration after) {
    loop_.CancelTimer(timer_);
    timer_ = loop_.RunAfter(after, [this] {
      timer_ = {};
      list_.OnCallFailed(*this, "silent");
    });
  }

  DiscoveryClient& list_;
  EventLoop& loop_;  // may outlive the list, as what is put off may
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  bool watch_;
  HttpParser head_{HttpParser::Kind::kResponse};
  HttpParser whole_;
  Stream stream_;
  bool resumes_ = false;  // reading goes on at the end of this round
  bool in_body_ = false;
  ChunkDecoder chunks_;
  JsonParser line_;
  bool at_start_ = true;  // of a line
  bool blank_ = true;     // nothing but white space since the last line's end
  EventLoop::TimerId timer_;
  Time alive_at_ = loop_.Now();
};

DiscoveryClient::DiscoveryClient(EventLoop& loop, const Address& discovery, const NameTables& names,
                                 double revision, bool own_watch, Listener* listener)
    : loop_(loop),
      discovery_(discovery),
      names_(&names),
      revision_(revision),
      self_renewing_watch_(own_watch),
      listener_(listener) {}

DiscoveryClient::~DiscoveryClient() {
  loop_.CancelTimer(retry_timer_);
  loop_.CancelTimer(poll_retry_timer_);
  if (watch_) {
    watch_->Stop();
  }
  if (previous_watch_) {
    previous_watch_->Stop();
  }
  if (poll_) {
    poll_->Stop();
  }
}

void DiscoveryClient::Start() {
  if (self_renewing_watch_) {
    Open(watch_, true);
  }
}

// Where the file of the configuration names a new address the old agent closes soon, and what it
// does not tell before that only the new one has: waiting for the old watch's end would lose
// drains.
void DiscoveryClient::Redirect(const Address& discovery) {
  if (discovery == discovery_) {
    return;
  }
  discovery_ = discovery;
  const bool watching = watch_ != nullptr || retry_timer_.number != 0;
  if (watch_ && watch_has_delivered_) {
    Close(previous_watch_);
    previous_watch_ = std::move(watch_);
  }
  consecutive_watch_failures_ = 0;
  ResetBackoff();
  loop_.CancelTimer(retry_timer_);
  // Where the module asks, one that failed is begun anew at once, at the new address.
  if (self_renewing_watch_ || watching) {
    Open(watch_, true);
  }
  if (poll_retry_timer_.number != 0) {
    loop_.CancelTimer(poll_retry_timer_);
    Open(poll_, false);
  }
}

void DiscoveryClient::SetWatching(bool on) {
  if (self_renewing_watch_) {
    return;  // it is on already, whatever is asked
  }
  loop_.CancelTimer(retry_timer_);
  const bool owed = std::exchange(watch_owed_, false);
  if (on && owed && watch_) {
    return;  // begun before the module asked for it
  }
  if (!on) {
    Close(watch_);
    Close(previous_watch_);
  } else if (const Duration wait = watch_backoff_.until - loop_.Now(); wait > Duration(0)) {
    ScheduleWatch(wait);
  } else {
    Open(watch_, true);
  }
}

void DiscoveryClient::OnDelivered(const Call& call) {
  if (&call != watch_.get()) {
    return;
  }
  consecutive_watch_failures_ = 0;
  watch_has_delivered_ = true;
  Close(previous_watch_);
}

// One that is on its way serves whoever asks meanwhile.
void DiscoveryClient::Poll() {
  if (poll_ || poll_retry_timer_.number != 0) {
    return;
  }
  const Duration wait = poll_backoff_.until - loop_.Now();
  if (wait <= Duration(0)) {
    return Open(poll_, false);
  }
  poll_retry_timer_ = loop_.RunAfter(wait, [this] {
    poll_retry_timer_ = {};
    Open(poll_, false);
  });
}

void DiscoveryClient::Open(std::unique_ptr<Call>& call, bool watch) {
  Close(call);
  ++(watch ? GlobalCounters().discovery_watches : GlobalCounters().discovery_polls);
  if (watch) {
    watch_has_delivered_ = false;
  }
  bool refused = false;
  std::optional<Socket> socket = Connect(discovery_, nullptr, refused);
  if (socket) {
    setsockopt(socket->get(), SOL_SOCKET, SO_RCVBUF, &kReceive, sizeof(kReceive));
    call = std::make_unique<Call>(*this, std::move(*socket), watch);
    if (call->Start()) {
      return;
    }
    Close(call);
  }
  const Duration wait = WaitAfter(loop_.Now());
  if (watch) {
    ++consecutive_watch_failures_;
  }
  ReportFailure(watch, wait);
}

void DiscoveryClient::Close(std::unique_ptr<Call>& call) {
  if (!call) {
    return;
  }
  call->Stop();
  // It may be the one whose handler is at work.
  loop_.RunDeferred([kept = std::shared_ptr<Call>(std::move(call))] {});
}

void DiscoveryClient::OnCallFailed(Call& call, std::string_view why) {
  const bool watch = call.watch();
  Log(LogLevel::kWarning, "discovery {}: {}", watch ? "watch" : "call", why);
  if (&call == previous_watch_.get()) {
    return Close(previous_watch_);  // its time was over anyway
  }
  const Time alive_at = call.alive_at();
  Close(watch ? watch_ : poll_);
  const Duration wait = WaitAfter(alive_at);
  if (watch) {
    ++consecutive_watch_failures_;
  }
  ReportFailure(watch, wait);
}

void DiscoveryClient::OnOversizedList(Call& call) {
  ++GlobalCounters().discovery_too_long;
  const bool watch = call.watch();
  if (&call == previous_watch_.get()) {
    return OnCallFailed(call, "a list too long");
  }
  Backoff& off = watch ? watch_backoff_ : poll_backoff_;
  if (off.tries == 0) {
    Log(LogLevel::kWarning,
        "discovery {}: a list of over {} bytes is too long, the one held stays; asked for again "
        "later and later, up to {:.0f} s",
        watch ? "watch" : "call", max_list_bytes_,
        static_cast<double>(oversize_backoff_max_.count()) / 1e6);
  }
  Duration wait = oversize_backoff_first_;
  for (int i = 0; i < off.tries && wait < oversize_backoff_max_; ++i) {
    wait *= 2;
  }
  wait = std::min(wait, oversize_backoff_max_);
  ++off.tries;
  off.until = loop_.Now() + wait;
  const Time alive_at = call.alive_at();
  Close(watch ? watch_ : poll_);
  // Where the module asks, it is let in once the back-off is over.
  ReportFailure(watch, self_renewing_watch_ ? wait : std::max(wait, WaitAfter(alive_at)));
}

// Until the next watch is begun, after one that failed and last showed life then.
Duration DiscoveryClient::WaitAfter(Time alive_at) const {
  if (!self_renewing_watch_) {
    return alive_at + kNextCall - loop_.Now();
  }
  return kAgainFirst * (1 << std::min(consecutive_watch_failures_, kAgainDoublings));
}

// Each failure that is told has the module ask once more, perhaps at once: until then further ones
// are not told.
void DiscoveryClient::ReportFailure(bool watch, Duration wait) {
  ++GlobalCounters().discovery_failures;
  const bool told = watch && watch_owed_;
  if (watch) {
    watch_owed_ = !self_renewing_watch_;
    ScheduleWatch(wait);
  }
  if (!told) {
    listener_->OnDiscoveryFailed();
  }
}

void DiscoveryClient::ScheduleWatch(Duration wait) {
  if (retry_timer_.number != 0) {
    return;
  }
  retry_timer_ = loop_.RunAfter(wait, [this] {
    retry_timer_ = {};
    Open(watch_, true);
  });
}

void DiscoveryClient::ResetBackoff() {
  watch_backoff_ = poll_backoff_ = Backoff{};
}

bool DiscoveryClient::StaleForTooLong() const {
  return stale_since_ >= Time(0) && loop_.Now() - stale_since_ >= max_staleness_;
}

bool DiscoveryClient::Malformed(std::string_view why) {
  ++GlobalCounters().discovery_malformed;
  Log(LogLevel::kWarning, "discovery: {}", why);
  return false;
}

bool DiscoveryClient::Read(JsonParser& parser, std::string_view piece) {
  try {
    parser.Feed(piece);
  } catch (const JsonError& error) {
    return Malformed(error.what());
  }
  return true;
}

bool DiscoveryClient::AcceptList(const Call& from, JsonParser& parser, bool must_be_whole) {
  try {
    const Clock& clock = loop_.clock();
    EndpointList list = ParseEndpointList(parser.End(), *names_,
                                          [&](double ms) { return clock.FromUnixMillis(ms); });
    if (must_be_whole && !list.complete) {
      throw JsonError("not the whole list");
    }
    // An older list would bring back hosts that have gone; the one held stays. An agent that lags
    // catches up on the same watch. One that never does counts by itself, and to pass it over for
    // ever would leave the list held for ever.
    if (list.revision < revision_) {
      ++GlobalCounters().discovery_stale;
      Log(LogLevel::kWarning, "discovery: revision {:.0f} after {:.0f}", list.revision, revision_);
      if (stale_since_ < Time(0)) {
        stale_since_ = loop_.Now();
      }
      return !must_be_whole;
    }
    stale_since_ = Time(-1);
    // What the watch at the address before still tells says nothing of the new one, nor does a
    // change that was told before.
    const bool news = list.complete || list.revision > revision_;
    if (news && &from != previous_watch_.get()) {
      ResetBackoff();
    }
    revision_ = list.revision;
    ++GlobalCounters().discovery_updates;
    listener_->OnEndpointList(std::move(list));
    return true;
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
}

}  // namespace paddlestile
