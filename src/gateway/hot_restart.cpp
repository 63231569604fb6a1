#include "gateway/hot_restart.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/parse_number.h"
#include "gateway/learned_state_codec.h"
#include "http/http_parser.h"

namespace paddlestile {
namespace {

constexpr std::string_view kVersion = "paddlestile 1 ";
constexpr std::string_view kBusy = "busy";
constexpr int kAskMs = 500;
constexpr size_t kMostLine = 256;  // bytes
constexpr Duration kTell{50'000};  // us
// What the old process may still open: connections to hosts for what it has in hand.
constexpr size_t kSpare = 16;
constexpr size_t kFiles = 24;  // descriptors outside of the budget, of a process that ends

// An address of any length, by way of an open folder. `folder` has to stay open while it is used.
bool ToUnix(const std::string& path, sockaddr_un& address, FileDescriptor& folder) {
  address.sun_family = AF_UNIX;
  std::string text = path;
  if (text.size() >= sizeof(address.sun_path)) {
    const size_t slash = path.rfind('/');
    folder = FileDescriptor(open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
    if (!folder) {
      return false;
    }
    text = fmt::format("/proc/self/fd/{}{}", folder.get(), path.substr(slash));
    if (text.size() >= sizeof(address.sun_path)) {
      return false;
    }
  }
  std::memcpy(address.sun_path, text.c_str(), text.size() + 1);
  return true;
}

// Of the same user: nobody else is given clients, or believed.
bool Trusted(int fd) {
  ucred peer{};
  socklen_t size = sizeof(peer);
  return getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

bool SendLine(int fd, const std::string& line, int passed) {
  iovec part{const_cast<char*>(line.data()), line.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  if (passed >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof(control);
    cmsghdr* const head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(head), &passed, sizeof(int));
  }
  return sendmsg(fd, &message, MSG_NOSIGNAL) == static_cast<ssize_t>(line.size());
}

// The next bytes within the time, so many at most, and the descriptor that came with them.
bool Receive(int fd, size_t most, std::string& text, FileDescriptor& passed) {
  pollfd waiting{fd, POLLIN, 0};
  if (poll(&waiting, 1, kAskMs) <= 0) {
    return false;
  }
  char bytes[16'384];
  iovec part{bytes, std::min(most, sizeof(bytes))};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof(control);
  const ssize_t n = recvmsg(fd, &message, MSG_CMSG_CLOEXEC);
  if (n <= 0) {
    return false;
  }
  for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr;
       head = CMSG_NXTHDR(&message, head)) {
    if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) {
      continue;
    }
    int given = -1;
    std::memcpy(&given, CMSG_DATA(head), sizeof(given));
    passed = FileDescriptor(given);
  }
  text.append(bytes, static_cast<size_t>(n));
  return true;
}

// One line, a byte at a time: what follows it is somebody else's to read.
bool ReceiveLine(int fd, std::string& line, FileDescriptor& passed) {
  line.clear();
  while (line.empty() || line.back() != '\n') {
    if (line.size() >= kMostLine || !Receive(fd, 1, line, passed)) {
      return false;
    }
  }
  line.pop_back();
  return true;
}

uint64_t InodeOf(const std::string& path) {
  struct stat file {};
  return stat(path.c_str(), &file) == 0 ? file.st_ino : 0;
}

bool ListensAt(int fd, const Address& listen) {
  int on = 0;
  socklen_t size = sizeof(on);
  return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &on, &size) == 0 && on != 0 &&
         LocalAddress(fd) == listen;
}

// The number behind a word; nothing where the line is another.
std::optional<uint64_t> NumberOf(std::string_view line, std::string_view word) {
  if (!line.starts_with(word)) {
    return std::nullopt;
  }
  return ParseWholeNumber(line.substr(word.size()));
}

// Each whole line that has come; false where one has no end.
template <typename Then>
bool TakeLines(Buffer& in, const Then& then) {
  for (size_t end = 0; (end = in.view().find('\n')) != std::string_view::npos;) {
    const std::string line(in.view().substr(0, end));
    in.Consume(end + 1);
    then(line);
  }
  return in.size() < kMostLine;
}

}  // namespace

std::string HotRestartSocketPath(const char* tmpdir, const Address& listen) {
  if (tmpdir == nullptr || *tmpdir != '/') {
    return {};
  }
  return fmt::format("{}/paddlestile-{}.sock", tmpdir, ToText(listen));
}

HotRestartState RequestHotRestart(const std::string& path, const Address& listen) {
  HotRestartState taken;
  if (path.empty()) {
    return taken;
  }
  sockaddr_un address{};
  FileDescriptor folder;
  FileDescriptor fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!fd || !ToUnix(path, address, folder) ||
      connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    return taken;  // nobody, or a file that somebody left
  }
  std::string line;
  const bool heard = Trusted(fd.get()) &&
                     SendLine(fd.get(), fmt::format("{}take {}\n", kVersion, ToText(listen)), -1) &&
                     ReceiveLine(fd.get(), line, taken.listening_socket);
  if (heard && line == std::string(kVersion) + std::string(kBusy)) {
    throw std::runtime_error("another process is taking over at " + ToText(listen));
  }
  const size_t space = line.rfind(' ');
  const auto holds = NumberOf(line.substr(0, space), std::string(kVersion) + "listen ");
  const auto size = NumberOf(line, line.substr(0, space) + " ");
  bool good = heard && holds && size && *size <= kMaxLearnedStateBytes && taken.listening_socket &&
              ListensAt(taken.listening_socket.get(), listen);
  FileDescriptor none;
  while (good && taken.learned_state.size() < *size) {
    good = Receive(fd.get(), *size - taken.learned_state.size(), taken.learned_state, none);
  }
  if (!good) {
    Log(LogLevel::kWarning, "hand-over: no use in what the running process says");
    return {};
  }
  fcntl(fd.get(), F_SETFL, O_NONBLOCK);
  taken.channel = std::move(fd);
  taken.descriptors_held = static_cast<size_t>(*holds);
  ++GlobalCounters().hot_restarts;
  Log(LogLevel::kInfo, "hand-over: given the listening socket of {}", ToText(listen));
  return taken;
}

// ---- The new process ------------------------------------------------------------------------

NewProcess::NewProcess(EventLoop& loop, HotRestartState taken, DescriptorBudget& budget)
    : budget_(budget), stream_(loop, Socket(std::move(taken.channel), nullptr), this, false) {
  stream_.set_max_unread_bytes(kMostLine);
  budget_.set_held_by_other_process(taken.descriptors_held);
  if (!stream_.Start()) {
    OnError();
  }
}

void NewProcess::ReportReady() {
  Log(LogLevel::kInfo, "hand-over: ready, the running process is told");
  stream_.Write("ready\n");
}

void NewProcess::OnData() {
  const bool good = TakeLines(stream_.input(), [this](const std::string& line) {
    if (const auto holds = NumberOf(line, "holds ")) {
      budget_.set_held_by_other_process(static_cast<size_t>(*holds));
    }
  });
  if (!good || stream_.ended()) {
    OnError();
  }
}

void NewProcess::OnError() {
  if (stream_.closed()) {
    return;
  }
  stream_.Close();
  budget_.set_held_by_other_process(0);
  Log(LogLevel::kInfo, "hand-over: the process before has gone");
}

// ---- The old one ----------------------------------------------------------------------------

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

class OldProcess::Channel final : public Stream::Listener {
 public:
  Channel(OldProcess& owner, FileDescriptor fd)
      : owner_(owner),
        fd_(fd.get()),
        stream_(owner.loop_, Socket(std::move(fd), nullptr), this, false) {
    stream_.set_max_unread_bytes(kMostLine);
  }
  bool Start() { return stream_.Start(); }
  Stream& stream() { return stream_; }
  [[nodiscard]] bool given() const { return given_; }

 private:
  void OnData() override {
    const bool good = TakeLines(stream_.input(), [this](const std::string& line) { OnLine(line); });
    if (!good || stream_.ended()) {
      owner_.OnNewProcessGone();
    }
  }
  void OnError() override { owner_.OnNewProcessGone(); }

  void OnLine(const std::string& line) {
    if (stream_.closed()) {
      return;
    }
    if (line == "ready" && given_) {
      Log(LogLevel::kInfo, "hand-over: the new process serves, this one ends what is open");
      owner_.lifecycle_.set_replaced(true);
      return owner_.ReportDescriptorsHeld();
    }
    const Address& at = owner_.downstream_.address();
    const int listening = owner_.downstream_.listening_socket();
    if (line != fmt::format("{}take {}", kVersion, ToText(at)) || given_ || listening < 0) {
      Log(LogLevel::kWarning, "hand-over: a call of no sense, not followed");
      return owner_.OnNewProcessGone();
    }
    const size_t held = owner_.budget_.used() + kSpare + kFiles;
    const std::string knowledge = owner_.export_learned_state_();
    given_ =
        SendLine(fd_, fmt::format("{}listen {} {}\n", kVersion, held, knowledge.size()), listening);
    if (!given_) {
      return owner_.OnNewProcessGone();
    }
    stream_.Write(knowledge);
    if (stream_.closed()) {
      return;
    }
    ++GlobalCounters().hot_restarts;
    Log(LogLevel::kInfo, "hand-over: a new process has the listening socket");
    owner_.ReportDescriptorsHeld();
  }

  OldProcess& owner_;
  int fd_;
  Stream stream_;
  bool given_ = false;
};

OldProcess::OldProcess(EventLoop& loop, std::string path, Lifecycle& life,
                       const Downstream& clients, DescriptorBudget& budget,
                       std::function<std::string()> know)
    : loop_(loop),
      path_(std::move(path)),
      lifecycle_(life),
      downstream_(clients),
      budget_(budget),
      export_learned_state_(std::move(know)) {
  if (path_.empty()) {
    return;
  }
  FileDescriptor fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_un address{};
  FileDescriptor folder;
  unlink(path_.c_str());  // of a process that was killed, or of the one before
  const bool good =
      fd && ToUnix(path_, address, folder) &&
      bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      chmod(path_.c_str(), S_IRUSR | S_IWUSR) == 0 && ::listen(fd.get(), 4) == 0;
  if (!good) {
    Log(LogLevel::kWarning, "hand-over: no Unix socket at {}: {}", path_, std::strerror(errno));
    return;
  }
  acceptor_ = std::make_unique<Acceptor>(*this, std::move(fd));
  inode_ = InodeOf(path_);
}

OldProcess::~OldProcess() {
  loop_.CancelTimer(tell_);
  if (channel_) {
    channel_->stream().Close();
  }
  // By now the file may be a newer process's.
  if (acceptor_ && InodeOf(path_) == inode_) {
    unlink(path_.c_str());
  }
}

void OldProcess::Accept() {
  while (true) {
    FileDescriptor fd(accept4(acceptor_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      return;
    }
    if (!Trusted(fd.get())) {
      continue;
    }
    if (channel_) {
      SendLine(fd.get(), fmt::format("{}{}\n", kVersion, kBusy), -1);
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
  loop_.CancelTimer(tell_);
  budget_.set_held_by_other_process(0);
  channel_->stream().Close();
  // Its handler may be at work.
  loop_.RunDeferred([kept = std::exchange(channel_, nullptr)] {});
  if (lifecycle_.replaced() && lifecycle_.stage() != LifecycleStage::kEnding) {
    Log(LogLevel::kWarning, "hand-over: the new process has gone, this one serves on");
    lifecycle_.set_replaced(false);
  }
}

// The two have one budget: what this one may still take is held to what it has.
void OldProcess::ReportDescriptorsHeld() {
  loop_.CancelTimer(tell_);
  const size_t may = std::min(budget_.used() + kSpare, budget_.limit());
  if (lifecycle_.replaced()) {
    budget_.set_held_by_other_process(budget_.limit() - may);
  }
  channel_->stream().Write(fmt::format("holds {}\n", may + kFiles));
  if (!channel_) {
    return;  // the write has found that it is gone
  }
  tell_ = loop_.RunAfter(kTell, [this] { ReportDescriptorsHeld(); });
}

}  // namespace paddlestile
