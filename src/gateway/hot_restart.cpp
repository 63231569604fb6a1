#include "gateway/hot_restart.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/hot_restart_protocol.h"
#include "gateway/learned_state_codec.h"
#include "gateway/unix_socket.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

constexpr Duration kReadTimeout = milliseconds(500);
constexpr Duration kReportInterval = milliseconds(50);  // of the descriptors held
// Of an old process that goes on: one that hangs is not handed back to.
constexpr Duration kMaxReportAge = milliseconds(500);
// Reports without an answer before a new process that was ready is taken to hang. Counted in
// reports, not in time: a machine that stands still is no fault of the new process.
constexpr int kMaxUnansweredReports = 40;
// From a request until its reply begins; above the time in which a new process that hangs is found.
constexpr Duration kMaxWaitForReply = milliseconds(3000);
constexpr Duration kReplyCheckInterval = milliseconds(20);
// What the old process may still open: upstream connections for requests in progress.
constexpr size_t kSpareDescriptors = 16;
// Of a process that ends, outside of its budget.
constexpr size_t kUnbudgetedDescriptors = 24;

bool ListensAt(int fd, const Address& address) {
  int listens = 0;
  socklen_t size = sizeof(listens);
  return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0 &&
         LocalAddress(fd) == address;
}

// Reads the reply to the request. Nothing where it is malformed or does not come.
std::optional<HotRestartState> ReadReply(int channel, const Address& listen) {
  HotRestartState state;
  std::string line;
  if (!ReceiveLine(channel, hot_restart::kMaxLineBytes, kReadTimeout, line,
                   state.listening_socket)) {
    return std::nullopt;
  }
  if (line == hot_restart::BusyLine()) {
    throw std::runtime_error("another process is taking over at " + ToText(listen));
  }
  const auto reply = hot_restart::ParseListenLine(line);
  if (!reply || reply->learned_state_bytes > kMaxLearnedStateBytes || !state.listening_socket ||
      !ListensAt(state.listening_socket.get(), listen)) {
    return std::nullopt;
  }
  state.descriptors_held = reply->descriptors_held;
  FileDescriptor ignored;
  while (state.learned_state.size() < reply->learned_state_bytes) {
    const size_t missing_bytes = reply->learned_state_bytes - state.learned_state.size();
    if (!ReceiveBytes(channel, missing_bytes, kReadTimeout, state.learned_state, ignored)) {
      return std::nullopt;
    }
  }
  return state;
}

}  // namespace

std::string HotRestartSocketPath(const char* tmpdir, const Address& listen) {
  if (tmpdir == nullptr || *tmpdir != '/') {
    return {};
  }
  return fmt::format("{}/paddlestile-{}.sock", tmpdir, ToText(listen));
}

namespace {

void SendRequest(int channel, const Address& listen) {
  // A process that is busy replies without reading: where this fails, the reply may be there.
  SendLine(channel, hot_restart::RequestLine(listen) + '\n', -1);
}

std::optional<HotRestartState> TakeReply(FileDescriptor channel, const Address& listen) {
  std::optional<HotRestartState> state = ReadReply(channel.get(), listen);
  if (state) {
    fcntl(channel.get(), F_SETFL, O_NONBLOCK);
    state->channel = std::move(channel);
  }
  return state;
}

// Whether a reply has begun, before the socket at `path` is another one than `inode`, the peer ends
// the connection, or `deadline`.
bool WaitForReply(int channel, const std::string& path, uint64_t inode,
                  std::chrono::steady_clock::time_point deadline) {
  while (std::chrono::steady_clock::now() < deadline && InodeOf(path) == inode) {
    switch (WaitForInput(channel, kReplyCheckInterval)) {
      case InputStatus::kReadable:
        return true;
      case InputStatus::kEnded:
        return false;
      case InputStatus::kNone:
        break;
    }
  }
  return false;
}

// A channel to the process at `path` on which a reply has begun; none where no process replies.
FileDescriptor ConnectAndRequest(const std::string& path, const Address& listen) {
  const auto deadline = std::chrono::steady_clock::now() + kMaxWaitForReply;
  FileDescriptor channel = ConnectUnix(path);
  if (!channel) {
    return {};  // no process, or a file that one left
  }
  while (std::chrono::steady_clock::now() < deadline) {
    const uint64_t inode = InodeOf(path);
    if (channel && IsPeerOfSameUser(channel.get())) {
      SendRequest(channel.get(), listen);
      if (WaitForReply(channel.get(), path, inode, deadline)) {
        return channel;
      }
    }
    std::this_thread::sleep_for(kReplyCheckInterval);
    channel = ConnectUnix(path);
  }
  Log(LogLevel::kWarning, "hot restart: the running process does not reply");
  return {};
}

}  // namespace

std::optional<HotRestartState> RequestHotRestartOver(FileDescriptor channel,
                                                     const Address& listen) {
  if (!IsPeerOfSameUser(channel.get())) {
    return std::nullopt;
  }
  SendRequest(channel.get(), listen);
  return TakeReply(std::move(channel), listen);
}

HotRestartState RequestHotRestart(const std::string& path, const Address& listen) {
  if (path.empty()) {
    return {};
  }
  FileDescriptor channel = ConnectAndRequest(path, listen);
  if (!channel) {
    return {};
  }
  std::optional<HotRestartState> state = TakeReply(std::move(channel), listen);
  if (!state) {
    Log(LogLevel::kWarning, "hot restart: the reply of the running process is not valid");
    return {};
  }
  ++GlobalCounters().hot_restarts;
  Log(LogLevel::kInfo, "hot restart: received the listening socket of {}", ToText(listen));
  return std::move(*state);
}

// ---- The new process ------------------------------------------------------------------------

NewProcess::NewProcess(EventLoop& loop, HotRestartState state, DescriptorBudget& budget)
    : loop_(loop),
      budget_(budget),
      stream_(loop, Socket(std::move(state.channel), nullptr), this, false) {
  stream_.set_max_unread_bytes(hot_restart::kMaxLineBytes);
  budget_.set_held_by_other_process(state.descriptors_held);
  if (!stream_.Start()) {
    OnError();
  }
}

void NewProcess::ReportReady() {
  Log(LogLevel::kInfo, "hot restart: ready, reported to the old process");
  stream_.Write(std::string(hot_restart::kReadyLine) + '\n');
}

bool NewProcess::HandBack() {
  // Old processes of builds that do not monitor do not say that they are ending.
  if (stream_.closed() || !is_monitored_ || old_is_ending_ ||
      loop_.Now() - reported_at_ > kMaxReportAge) {
    return false;
  }
  Log(LogLevel::kInfo, "hot restart: handed back to the old process");
  stream_.Close();
  budget_.set_held_by_other_process(0);
  return true;
}

void NewProcess::OnLine(const std::string& line) {
  if (const auto descriptors_held = hot_restart::ParseHoldsLine(line)) {
    budget_.set_held_by_other_process(*descriptors_held);
    reported_at_ = loop_.Now();
    is_asked_ = true;
  } else if (line == hot_restart::kMonitorsLine) {
    is_monitored_ = true;
    is_asked_ = true;
  } else if (line == hot_restart::kRevokedLine) {
    is_revoked_ = true;
  } else if (line == hot_restart::kEndingLine) {
    old_is_ending_ = true;
  }
}

void NewProcess::OnData() {
  const bool valid =
      hot_restart::ConsumeLines(stream_.input(), [this](const std::string& line) { OnLine(line); });
  if (std::exchange(is_revoked_, false)) {
    Log(LogLevel::kWarning, "hot restart: the old process serves again, this one ends");
    OnError();
    if (on_revoked_) {
      on_revoked_();
    }
    return;
  }
  if (!valid || stream_.ended()) {
    return OnError();
  }
  if (std::exchange(is_asked_, false) && is_monitored_) {
    stream_.Write(std::string(hot_restart::kAliveLine) + '\n');
  }
  if (!stream_.closed()) {
    stream_.ResumeReading();
  }
}

void NewProcess::OnError() {
  if (stream_.closed()) {
    return;
  }
  stream_.Close();
  budget_.set_held_by_other_process(0);
  Log(LogLevel::kInfo, "hot restart: the old process has ended");
}

// ---- The old process ------------------------------------------------------------------------

class OldProcess::Acceptor final : public EventLoop::Handler {
 public:
  Acceptor(OldProcess& owner, FileDescriptor fd) : owner_(owner), fd_(std::move(fd)) {
    watched_ = owner_.loop_.Watch(fd_.get(), this, token_);
  }
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;
  virtual ~Acceptor() {
    if (watched_) {
      owner_.loop_.Unwatch(fd_.get(), token_);
    }
  }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { owner_.Accept(); }

 private:
  OldProcess& owner_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
  bool watched_ = false;
};

// The connection of a new process.
class OldProcess::Channel final : public Stream::Listener {
 public:
  Channel(OldProcess& owner, FileDescriptor fd)
      : owner_(owner),
        fd_(fd.get()),
        stream_(owner.loop_, Socket(std::move(fd), nullptr), this, false) {
    stream_.set_max_unread_bytes(hot_restart::kMaxLineBytes);
  }
  bool Start() { return stream_.Start(); }
  [[nodiscard]] Stream& stream() { return stream_; }
  // One more report goes to the new process. False where it is taken to hang: it answered before,
  // was ready, and has left too many without an answer.
  bool CountReport() {
    ++unanswered_reports_;
    return !answers_ || !owner_.lifecycle_.replaced() ||
           unanswered_reports_ <= kMaxUnansweredReports;
  }

 private:
  void OnData() override {
    const bool valid = hot_restart::ConsumeLines(stream_.input(),
                                                 [this](const std::string& line) { OnLine(line); });
    if (!valid || stream_.ended()) {
      owner_.OnNewProcessGone();
    }
  }
  void OnError() override { owner_.OnNewProcessGone(); }

  void OnLine(const std::string& line) {
    if (stream_.closed()) {
      return;
    }
    if (line == hot_restart::kReadyLine && handed_over_) {
      return OnReady();
    }
    if (line == hot_restart::kAliveLine && handed_over_) {
      answers_ = true;
      unanswered_reports_ = 0;
      return;
    }
    const bool is_request = line == hot_restart::RequestLine(owner_.downstream_.address());
    if (!is_request || handed_over_ || owner_.downstream_.listening_socket() < 0) {
      Log(LogLevel::kWarning, "hot restart: a malformed request, not followed");
      return owner_.OnNewProcessGone();
    }
    HandOver();
  }

  void OnReady() {
    Log(LogLevel::kInfo, "hot restart: the new process serves, this one ends what is open");
    unanswered_reports_ = 0;
    owner_.lifecycle_.set_replaced(true);
    owner_.ReportDescriptorsHeld();
  }

  void HandOver() {
    const size_t descriptors_held =
        owner_.budget_.used() + kSpareDescriptors + kUnbudgetedDescriptors;
    const std::string learned_state = owner_.export_learned_state_();
    handed_over_ =
        SendLine(fd_, hot_restart::ListenLine(descriptors_held, learned_state.size()) + '\n',
                 owner_.downstream_.listening_socket());
    if (!handed_over_) {
      return owner_.OnNewProcessGone();
    }
    stream_.Write(learned_state + std::string(hot_restart::kMonitorsLine) + '\n');
    if (stream_.closed()) {
      return;
    }
    ++GlobalCounters().hot_restarts;
    Log(LogLevel::kInfo, "hot restart: a new process has the listening socket");
    owner_.ReportDescriptorsHeld();
  }

  OldProcess& owner_;
  int fd_;
  Stream stream_;
  bool handed_over_ = false;  // the listening socket was sent
  bool answers_ = false;      // the new process answers reports
  int unanswered_reports_ = 0;
};

OldProcess::OldProcess(EventLoop& loop, std::string path, Lifecycle& lifecycle,
                       const Downstream& downstream, DescriptorBudget& budget,
                       std::function<std::string()> export_learned_state)
    : loop_(loop),
      path_(std::move(path)),
      lifecycle_(lifecycle),
      downstream_(downstream),
      budget_(budget),
      export_learned_state_(std::move(export_learned_state)) {
  if (!path_.empty()) {
    Listen();
  }
}

void OldProcess::Listen() {
  FileDescriptor fd = ListenUnix(path_);
  if (!fd) {
    Log(LogLevel::kWarning, "hot restart: no Unix socket at {}: {}", path_, std::strerror(errno));
    return;
  }
  acceptor_ = std::make_unique<Acceptor>(*this, std::move(fd));
  inode_ = InodeOf(path_);
}

OldProcess::~OldProcess() {
  loop_.CancelTimer(report_timer_);
  if (channel_) {
    channel_->stream().Close();
  }
  // The file may be a newer process' by now.
  if (acceptor_ && InodeOf(path_) == inode_) {
    unlink(path_.c_str());
  }
}

void OldProcess::ReportEnding() {
  if (channel_) {
    channel_->stream().Write(std::string(hot_restart::kEndingLine) + '\n');
  }
}

void OldProcess::Accept() {
  while (true) {
    FileDescriptor fd(accept4(acceptor_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      return;
    }
    if (!IsPeerOfSameUser(fd.get())) {
      continue;
    }
    if (channel_) {
      SendLine(fd.get(), hot_restart::BusyLine() + '\n', -1);
      continue;
    }
    channel_ = std::make_shared<Channel>(*this, std::move(fd));
    if (!channel_->Start()) {
      OnNewProcessGone();
    }
  }
}

void OldProcess::OnNewProcessGone() {
  if (!channel_) {
    return;
  }
  loop_.CancelTimer(report_timer_);
  budget_.set_held_by_other_process(0);
  channel_->stream().Close();
  // A handler of the channel may be running: its memory is freed after that has returned.
  loop_.RunDeferred([kept = std::exchange(channel_, nullptr)] {});
  if (lifecycle_.replaced() && lifecycle_.stage() != LifecycleStage::kEnding) {
    Log(LogLevel::kWarning, "hot restart: the new process has ended, this one serves on");
    lifecycle_.set_replaced(false);
  }
  // The file of a new process that had been ready: its successors would ask there. Deferred, as the
  // acceptor's own handler may be running.
  loop_.RunDeferred([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      ReplaceOtherSocket();
    }
  });
}

void OldProcess::ReplaceOtherSocket() {
  const bool is_needed = acceptor_ && !channel_ && lifecycle_.stage() != LifecycleStage::kEnding;
  if (is_needed && InodeOf(path_) != inode_) {
    Listen();
  }
}

void OldProcess::RevokeNewProcess() {
  Log(LogLevel::kWarning, "hot restart: the new process does not answer");
  channel_->stream().Write(std::string(hot_restart::kRevokedLine) + '\n');
  OnNewProcessGone();
}

// Both processes share one budget: once replaced, this one opens no more than it reports.
void OldProcess::ReportDescriptorsHeld() {
  loop_.CancelTimer(report_timer_);
  const size_t allowed = std::min(budget_.used() + kSpareDescriptors, budget_.limit());
  if (lifecycle_.replaced()) {
    budget_.set_held_by_other_process(budget_.limit() - allowed);
  }
  channel_->stream().Write(hot_restart::HoldsLine(allowed + kUnbudgetedDescriptors) + '\n');
  if (!channel_) {
    return;  // the write failed
  }
  if (!channel_->CountReport()) {
    return RevokeNewProcess();
  }
  report_timer_ = loop_.RunAfter(kReportInterval, [this] { ReportDescriptorsHeld(); });
}

}  // namespace paddlestile
