#include "gateway/hot_restart_old_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/hot_restart_protocol.h"
#include "gateway/hot_restart_request_ids.h"
#include "gateway/unix_socket.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

constexpr Duration kReportInterval = milliseconds(50);    // between reports of held descriptors
constexpr Duration kAcceptRetryDelay = milliseconds(50);  // after accept failed
// A new process that was ready counts as hung after more unanswered reports than this. The limit is
// a number of reports rather than a time, so that a pause of the whole machine does not count
// against the new process.
constexpr int kMaxUnansweredReports = 40;
// Connections that wait for the new process are refused only after more unanswered reports than
// this: a single long iteration of its event loop is no reason to refuse them.
constexpr int kMinUnansweredReports = 2;
// The old process may still open one upstream connection for each of its clients, up to this limit.
constexpr size_t kMaxSpareDescriptors = 16;
// Descriptors of a draining process outside its budget: 24, and those of the connection refuser.
constexpr size_t kUnbudgetedDescriptors = 24 + ConnectionRefuser::kMaxConnections;

}  // namespace

// Watches the listening Unix socket.
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

// The connection from a new process.
class OldProcess::Channel final : public Stream::Listener,
                                  public std::enable_shared_from_this<Channel> {
 public:
  Channel(OldProcess& owner, FileDescriptor fd)
      : owner_(owner),
        fd_(fd.get()),
        stream_(owner.loop_, Socket(std::move(fd), nullptr), this, false),
        id_sender_(owner.loop_, stream_) {
    stream_.set_max_unread_bytes(hot_restart::kMaxLineBytes);
  }
  bool Start() { return stream_.Start(); }
  [[nodiscard]] Stream& stream() { return stream_; }
  // Whether a third process has taken over from the new one.
  [[nodiscard]] bool is_replaced() const { return is_replaced_; }
  // Sends the id of an admitted request, after the running handler.
  void ReportRequest(const std::string& id) {
    if (handed_over_) {
      id_sender_.Send(id);
    }
  }
  // Counts a report sent to the new process. Returns false if that process counts as hung: it has
  // answered reports before, took over, and has now left too many reports unanswered.
  bool CountReport() {
    ++unanswered_reports_;
    return !IsMonitored() || unanswered_reports_ <= kMaxUnansweredReports;
  }
  // Returns whether the new process has taken over and has not answered reports for `delay`.
  [[nodiscard]] bool IsLateBy(Duration delay) const {
    return IsMonitored() && unanswered_reports_ > kMinUnansweredReports &&
           (unanswered_reports_ - 1) * kReportInterval >= delay;
  }

 private:
  void OnData() override {
    const bool valid = hot_restart::ConsumeLines(stream_.input(),
                                                 [this](const std::string& line) { OnLine(line); });
    if (!valid || stream_.ended()) {
      return owner_.OnNewProcessGone();
    }
    if (!stream_.closed()) {
      stream_.ResumeReading();
    }
  }
  void OnWriteComplete() override { id_sender_.OnWriteComplete(); }
  void OnError() override { owner_.OnNewProcessGone(); }

  void OnLine(const std::string& line) {
    if (stream_.closed()) {
      return;
    }
    if (line == hot_restart::kReadyLine && handed_over_) {
      return OnReady();
    }
    if (line == hot_restart::kAliveLine && handed_over_) {
      has_answered_ = true;
      unanswered_reports_ = 0;
      owner_.downstream_.StopRefusingForNewProcess();
      return;
    }
    if (const auto request_id = hot_restart::ParseTookLine(line); request_id && handed_over_) {
      owner_.exchange_.add_request_id(*request_id);
      return;
    }
    if ((line == hot_restart::kReplacedLine || line == hot_restart::kServesLine) && handed_over_) {
      is_replaced_ = line == hot_restart::kReplacedLine;
      owner_.downstream_.StopRefusingForNewProcess();
      return;
    }
    const bool is_request = line == hot_restart::RequestLine(owner_.downstream_.address());
    if (!is_request || handed_over_ || owner_.downstream_.listening_socket() < 0) {
      Log(LogLevel::kWarning, "hot restart: rejected a malformed or unexpected request");
      return owner_.OnNewProcessGone();
    }
    HandOver();
  }

  [[nodiscard]] bool IsMonitored() const {
    return has_answered_ && !is_replaced_ && owner_.lifecycle_.replaced();
  }

  void OnReady() {
    Log(LogLevel::kInfo, "hot restart: the new process serves, this process drains");
    unanswered_reports_ = 0;
    owner_.lifecycle_.set_replaced(true);
    owner_.exchange_.on_replaced(true);
    owner_.ReportDescriptorsHeld();
  }

  void HandOver() {
    const std::string learned_state = owner_.exchange_.learned_state();
    const std::string line =
        hot_restart::ListenLine(owner_.DescriptorsHeld(), learned_state.size()) + '\n';
    handed_over_ = SendLine(fd_, line, owner_.downstream_.listening_socket());
    if (!handed_over_) {
      return owner_.OnNewProcessGone();
    }
    stream_.Write(fmt::format("{}{}\n{}\n", learned_state, hot_restart::kAcceptsIdsLine,
                              hot_restart::kMonitorsLine));
    if (stream_.closed()) {
      return;
    }
    id_sender_.Allow();
    for (const std::string& id : owner_.exchange_.recent_request_ids()) {
      ReportRequest(id);
    }
    ++GlobalCounters().hot_restarts;
    Log(LogLevel::kInfo, "hot restart: sent the listening socket to a new process");
    owner_.ReportDescriptorsHeld();
  }

  OldProcess& owner_;
  int fd_;
  Stream stream_;
  hot_restart::RequestIdSender id_sender_;
  bool handed_over_ = false;  // the listening socket was sent
  bool is_replaced_ = false;
  bool has_answered_ = false;  // the new process has answered a report
  int unanswered_reports_ = 0;
};

OldProcess::OldProcess(EventLoop& loop, std::string path, Lifecycle& lifecycle,
                       Downstream& downstream, DescriptorBudget& budget, Exchange exchange)
    : loop_(loop),
      path_(std::move(path)),
      lifecycle_(lifecycle),
      downstream_(downstream),
      budget_(budget),
      exchange_(std::move(exchange)) {
  if (!path_.empty()) {
    Listen();
  }
}

void OldProcess::Listen() {
  FileDescriptor fd = ListenUnix(path_);
  if (!fd) {
    Log(LogLevel::kWarning, "hot restart: cannot listen on Unix socket {}: {}", path_,
        std::strerror(errno));
    return;
  }
  acceptor_ = std::make_unique<Acceptor>(*this, std::move(fd));
  inode_ = InodeOf(path_);
}

OldProcess::~OldProcess() {
  loop_.CancelTimer(report_timer_);
  loop_.CancelTimer(accept_timer_);
  if (channel_) {
    channel_->stream().Close();
  }
  // A newer process may have replaced the file.
  if (acceptor_ && InodeOf(path_) == inode_) {
    unlink(path_.c_str());
  }
}

void OldProcess::ReportRequest(const std::string& id) {
  if (channel_) {
    channel_->ReportRequest(id);
  }
}

void OldProcess::ReportEnding() {
  if (channel_) {
    channel_->stream().Write(std::string(hot_restart::kEndingLine) + '\n');
  }
}

void OldProcess::Accept() {
  loop_.CancelTimer(accept_timer_);
  while (true) {
    FileDescriptor fd(accept4(acceptor_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd && errno != EAGAIN && errno != EWOULDBLOCK) {
      // accept4 may have failed because no descriptor was free. The readiness event is
      // edge-triggered and consumed, so accepting is retried: a new process waits for a reply.
      accept_timer_ = loop_.RunAfter(kAcceptRetryDelay, [this] { Accept(); });
    }
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
  const bool serves_again = lifecycle_.replaced() && !channel_->is_replaced();
  // An event handler of the channel may be running, so the channel is destroyed after it returns.
  loop_.RunDeferred([released_channel = std::exchange(channel_, nullptr)] {});
  // This process accepts again even if it is exiting: no other process accepts pending connections.
  if (serves_again) {
    Log(LogLevel::kWarning, "hot restart: the new process is gone, this process serves again");
    lifecycle_.set_replaced(false);
    exchange_.on_replaced(false);
  }
  // A new process that was ready has replaced the socket file, at which the next new process would
  // find nobody. Replacing it is deferred because the acceptor's own handler may be running.
  loop_.RunDeferred([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      ReplaceOtherSocket();
    }
  });
}

void OldProcess::ReplaceOtherSocket() {
  const bool is_needed = acceptor_ && !channel_ && !lifecycle_.replaced() &&
                         lifecycle_.stage() != LifecycleStage::kEnding;
  if (is_needed && InodeOf(path_) != inode_) {
    Listen();
  }
}

void OldProcess::RevokeNewProcess() {
  Log(LogLevel::kWarning, "hot restart: the new process does not answer");
  channel_->stream().Write(std::string(hot_restart::kRevokedLine) + '\n');
  OnNewProcessGone();
}

size_t OldProcess::DescriptorsHeld() const {
  const size_t spare = std::min(downstream_.connection_count(), kMaxSpareDescriptors);
  return std::min(budget_.used() + spare, budget_.limit()) + kUnbudgetedDescriptors;
}

// Both processes share one budget: once replaced, this process opens no more than it has reported.
void OldProcess::ReportDescriptorsHeld() {
  loop_.CancelTimer(report_timer_);
  const size_t held = DescriptorsHeld();
  if (lifecycle_.replaced()) {
    budget_.set_held_by_other_process(budget_.limit() + kUnbudgetedDescriptors - held);
  }
  channel_->stream().Write(hot_restart::HoldsLine(held) + '\n');
  if (!channel_) {
    return;  // the write failed
  }
  const bool is_answered = channel_->CountReport();
  // A process that is exiting cannot serve again, so it does not revoke the new one.
  if (!is_answered && lifecycle_.stage() != LifecycleStage::kEnding) {
    return RevokeNewProcess();
  }
  if (channel_->IsLateBy(downstream_.max_accept_wait())) {
    downstream_.RefuseForNewProcess();
  }
  report_timer_ = loop_.RunAfter(kReportInterval, [this] { ReportDescriptorsHeld(); });
}

}  // namespace paddlestile
