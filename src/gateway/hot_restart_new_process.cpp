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
// Of an old process that goes on: one that hangs is not handed back to.
constexpr Duration kMaxReportAge = milliseconds(500);
// From a request until its reply begins; above the time in which a new process that hangs is found.
constexpr Duration kMaxWaitForReply = milliseconds(3000);
constexpr Duration kReplyCheckInterval = milliseconds(20);

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
    is_revoked_ = !old_is_ending_;  // else nobody would serve once that one has ended
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
  if (on_old_ended_) {
    on_old_ended_();
  }
}

}  // namespace paddlestile
