#include "gateway/hot_restart_new_process.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
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
// If the old process's last report is older than this, it may hang and cannot take over again.
constexpr Duration kMaxReportAge = milliseconds(500);
// Must exceed the time after which an old process revokes a new process that hangs.
constexpr Duration kMaxWaitForReply = milliseconds(3000);
constexpr Duration kReplyCheckInterval = milliseconds(20);

bool ListensAt(int fd, const Address& address) {
  int listens = 0;
  socklen_t size = sizeof(listens);
  return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0 &&
         LocalAddress(fd) == address;
}

// Reads the reply to the request. Returns nullopt if it is malformed or does not arrive in time.
// Throws std::runtime_error if another new process is already taking over.
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

void SendRequest(int channel, const Address& listen) {
  // Errors are ignored: a busy process replies and closes the connection without reading the
  // request, so the reply may be readable even if sending fails.
  SendLine(channel, hot_restart::RequestLine(listen) + '\n', -1);
}

// Like ReadReply; the returned state owns `channel`, which is non-blocking from then on.
std::optional<HotRestartState> ReceiveState(FileDescriptor channel, const Address& listen) {
  std::optional<HotRestartState> state = ReadReply(channel.get(), listen);
  if (state) {
    fcntl(channel.get(), F_SETFL, O_NONBLOCK);
    state->channel = std::move(channel);
  }
  return state;
}

// Waits until the first byte of a reply can be read. Returns false if the peer closes the
// connection, if the Unix socket at `path` is replaced and no longer has the given inode, or at
// `deadline`.
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

// Returns a channel to the process whose socket is at `path` on which a reply can be read. Returns
// an empty descriptor if no process listens there or replies in time.
FileDescriptor ConnectAndRequest(const std::string& path, const Address& listen) {
  const auto deadline = std::chrono::steady_clock::now() + kMaxWaitForReply;
  FileDescriptor channel = ConnectUnix(path);
  if (!channel) {
    return {};  // no process runs, or one left its socket file behind
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
  Log(LogLevel::kWarning, "hot restart: the running process did not reply in time");
  return {};
}

}  // namespace

std::optional<HotRestartState> RequestHotRestartOver(FileDescriptor channel,
                                                     const Address& listen) {
  if (!IsPeerOfSameUser(channel.get())) {
    return std::nullopt;
  }
  SendRequest(channel.get(), listen);
  return ReceiveState(std::move(channel), listen);
}

HotRestartState RequestHotRestart(const std::string& path, const Address& listen) {
  if (path.empty()) {
    return {};
  }
  FileDescriptor channel = ConnectAndRequest(path, listen);
  if (!channel) {
    return {};
  }
  std::optional<HotRestartState> state = ReceiveState(std::move(channel), listen);
  if (!state) {
    Log(LogLevel::kWarning, "hot restart: the running process sent an invalid reply");
    return {};
  }
  ++GlobalCounters().hot_restarts;
  Log(LogLevel::kInfo, "hot restart: received the listening socket of {}", ToText(listen));
  return std::move(*state);
}

NewProcess::NewProcess(EventLoop& loop, HotRestartState state, DescriptorBudget& budget)
    : loop_(loop),
      budget_(budget),
      stream_(loop, Socket(std::move(state.channel), nullptr), this, false),
      id_sender_(loop, stream_) {
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

void NewProcess::ReportReplaced(bool replaced) {
  if (id_sender_.allowed()) {
    stream_.Write(std::string(replaced ? hot_restart::kReplacedLine : hot_restart::kServesLine) +
                  '\n');
  }
}

bool NewProcess::HandBack() {
  // Builds that do not send `monitors` do not send `ending` either, so whether such an old process
  // is exiting is unknown.
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
    needs_answer_ = true;
  } else if (const auto request_id = hot_restart::ParseTookLine(line)) {
    if (on_request_taken_) {
      on_request_taken_(*request_id);
    }
  } else if (line == hot_restart::kAcceptsIdsLine) {
    id_sender_.Allow();
  } else if (line == hot_restart::kMonitorsLine) {
    id_sender_.Forbid();
    is_monitored_ = true;
    needs_answer_ = true;
  } else if (line == hot_restart::kRevokedLine) {
    // An old process that is exiting cannot take over: if this process drained too, no process
    // would serve once the old one has exited.
    is_revoked_ = !old_is_ending_;
  } else if (line == hot_restart::kEndingLine) {
    old_is_ending_ = true;
    if (on_old_ended_) {
      on_old_ended_();
    }
  }
}

void NewProcess::OnData() {
  const bool valid =
      hot_restart::ConsumeLines(stream_.input(), [this](const std::string& line) { OnLine(line); });
  if (std::exchange(is_revoked_, false)) {
    Log(LogLevel::kWarning, "hot restart: the old process serves again, this process exits");
    OnError();
    if (on_revoked_) {
      on_revoked_();
    }
    return;
  }
  if (!valid || stream_.ended()) {
    return OnError();
  }
  if (std::exchange(needs_answer_, false) && is_monitored_) {
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
  if (on_old_ended_) {
    on_old_ended_();
  }
}

}  // namespace paddlestile
