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
bool ToUnix(const std::string& path, sockaddr_un& address, Fd& folder) {
  address.sun_family = AF_UNIX;
  std::string text = path;
  if (text.size() >= sizeof(address.sun_path)) {
    const size_t slash = path.rfind('/');
    folder = Fd(open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
    if (!folder) return false;
    text = fmt::format("/proc/self/fd/{}{}", folder.get(), path.substr(slash));
    if (text.size() >= sizeof(address.sun_path)) return false;
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
bool Receive(int fd, size_t most, std::string& text, Fd& passed) {
  pollfd waiting{fd, POLLIN, 0};
  if (poll(&waiting, 1, kAskMs) <= 0) return false;
  char bytes[16'384];
  iovec part{bytes, std::min(most, sizeof(bytes))};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof(control);
  const ssize_t n = recvmsg(fd, &message, MSG_CMSG_CLOEXEC);
  if (n <= 0) return false;
  for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr;
       head = CMSG_NXTHDR(&message, head)) {
    if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
    int given = -1;
    std::memcpy(&given, CMSG_DATA(head), sizeof(given));
    passed = Fd(given);
  }
  text.append(bytes, static_cast<size_t>(n));
  return true;
}

// One line, a byte at a time: what follows it is somebody else's to read.
bool ReceiveLine(int fd, std::string& line, Fd& passed) {
  line.clear();
  while (line.empty() || line.back() != '\n') {
    if (line.size() >= kMostLine || !Receive(fd, 1, line, passed)) return false;
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
         BoundTo(fd) == listen;
}

// The number behind a word; nothing where the line is another.
std::optional<uint64_t> NumberOf(std::string_view line, std::string_view word) {
  if (!line.starts_with(word)) return std::nullopt;
  return ToWhole(line.substr(word.size()));
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

std::string HandoverPath(const char* tmpdir, const Address& listen) {
  if (tmpdir == nullptr || *tmpdir != '/') return {};
  return fmt::format("{}/paddlestile-{}.sock", tmpdir, ToText(listen));
}

TakenOver TakeOver(const std::string& path, const Address& listen) {
  TakenOver taken;
  if (path.empty()) return taken;
  sockaddr_un address{};
  Fd folder;
  Fd fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!fd || !ToUnix(path, address, folder) ||
      connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    return taken;  // nobody, or a file that somebody left
  }
  std::string line;
  const bool heard = Trusted(fd.get()) &&
                     SendLine(fd.get(), fmt::format("{}take {}\n", kVersion, ToText(listen)), -1) &&
                     ReceiveLine(fd.get(), line, taken.listening);
  if (heard && line == std::string(kVersion) + std::string(kBusy)) {
    throw std::runtime_error("another process is taking over at " + ToText(listen));
  }
  const size_t space = line.rfind(' ');
  const auto holds = NumberOf(line.substr(0, space), std::string(kVersion) + "listen ");
  const auto size = NumberOf(line, line.substr(0, space) + " ");
  bool good = heard && holds && size && *size <= kMostKnowledge && taken.listening &&
              ListensAt(taken.listening.get(), listen);
  Fd none;
  while (good && taken.knowledge.size() < *size) {
    good = Receive(fd.get(), *size - taken.knowledge.size(), taken.knowledge, none);
  }
  if (!good) {
    Log(Level::kWarning, "hand-over: no use in what the running process says");
    return {};
  }
  fcntl(fd.get(), F_SETFL, O_NONBLOCK);
  taken.channel = std::move(fd);
  taken.holds = static_cast<size_t>(*holds);
  ++Count().hand_overs;
  Log(Level::kInfo, "hand-over: given the listening socket of {}", ToText(listen));
  return taken;
}

// ---- The new process ------------------------------------------------------------------------

Successor::Successor(EventLoop& loop, TakenOver taken, Descriptors& budget)
    : budget_(budget), stream_(loop, Socket(std::move(taken.channel), nullptr), this, false) {
  stream_.set_most_unread(kMostLine);
  budget_.set_elsewhere(taken.holds);
  if (!stream_.Start()) OnBroken();
}

void Successor::Ready() {
  Log(Level::kInfo, "hand-over: ready, the running process is told");
  stream_.Write("ready\n");
}

void Successor::OnRead() {
  const bool good = TakeLines(stream_.in(), [this](const std::string& line) {
    if (const auto holds = NumberOf(line, "holds ")) {
      budget_.set_elsewhere(static_cast<size_t>(*holds));
    }
  });
  if (!good || stream_.ended()) OnBroken();
}

void Successor::OnBroken() {
  if (stream_.closed()) return;
  stream_.Close();
  budget_.set_elsewhere(0);
  Log(Level::kInfo, "hand-over: the process before has gone");
}

// ---- The old one ----------------------------------------------------------------------------

class Predecessor::Listening final : public EventLoop::Handler {
 public:
  Listening(Predecessor& owner, Fd fd) : owner_(owner), fd_(std::move(fd)) {
    watched_ = owner_.loop_.Watch(fd_.get(), this, token_);
  }
  Listening(const Listening&) = delete;
  Listening& operator=(const Listening&) = delete;
  virtual ~Listening() {
    if (watched_) owner_.loop_.Unwatch(fd_.get(), token_);
  }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { owner_.Accept(); }

 private:
  Predecessor& owner_;
  Fd fd_;
  uint64_t token_ = 0;
  bool watched_ = false;
};

class Predecessor::Channel final : public Stream::Owner {
 public:
  Channel(Predecessor& owner, Fd fd)
      : owner_(owner),
        fd_(fd.get()),
        stream_(owner.loop_, Socket(std::move(fd), nullptr), this, false) {
    stream_.set_most_unread(kMostLine);
  }
  bool Start() { return stream_.Start(); }
  Stream& stream() { return stream_; }
  [[nodiscard]] bool given() const { return given_; }

 private:
  void OnRead() override {
    const bool good = TakeLines(stream_.in(), [this](const std::string& line) { OnLine(line); });
    if (!good || stream_.ended()) owner_.Gone();
  }
  void OnBroken() override { owner_.Gone(); }

  void OnLine(const std::string& line) {
    if (stream_.closed()) return;
    if (line == "ready" && given_) {
      Log(Level::kInfo, "hand-over: the new process serves, this one ends what is open");
      owner_.life_.set_handed_over(true);
      return owner_.TellHeld();
    }
    const Address& at = owner_.clients_.address();
    const int listening = owner_.clients_.listening();
    if (line != fmt::format("{}take {}", kVersion, ToText(at)) || given_ || listening < 0) {
      Log(Level::kWarning, "hand-over: a call of no sense, not followed");
      return owner_.Gone();
    }
    const size_t held = owner_.budget_.used() + kSpare + kFiles;
    const std::string knowledge = owner_.know_();
    given_ =
        SendLine(fd_, fmt::format("{}listen {} {}\n", kVersion, held, knowledge.size()), listening);
    if (!given_) return owner_.Gone();
    stream_.Write(knowledge);
    if (stream_.closed()) return;
    ++Count().hand_overs;
    Log(Level::kInfo, "hand-over: a new process has the listening socket");
    owner_.TellHeld();
  }

  Predecessor& owner_;
  int fd_;
  Stream stream_;
  bool given_ = false;
};

Predecessor::Predecessor(EventLoop& loop, std::string path, Life& life, const Clients& clients,
                         Descriptors& budget, std::function<std::string()> know)
    : loop_(loop),
      path_(std::move(path)),
      life_(life),
      clients_(clients),
      budget_(budget),
      know_(std::move(know)) {
  if (path_.empty()) return;
  Fd fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_un address{};
  Fd folder;
  unlink(path_.c_str());  // of a process that was killed, or of the one before
  const bool good =
      fd && ToUnix(path_, address, folder) &&
      bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      chmod(path_.c_str(), S_IRUSR | S_IWUSR) == 0 && ::listen(fd.get(), 4) == 0;
  if (!good) {
    Log(Level::kWarning, "hand-over: no Unix socket at {}: {}", path_, std::strerror(errno));
    return;
  }
  listening_ = std::make_unique<Listening>(*this, std::move(fd));
  inode_ = InodeOf(path_);
}

Predecessor::~Predecessor() {
  loop_.Cancel(tell_);
  if (channel_) channel_->stream().Close();
  // By now the file may be a newer process's.
  if (listening_ && InodeOf(path_) == inode_) unlink(path_.c_str());
}

void Predecessor::Accept() {
  while (true) {
    Fd fd(accept4(listening_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) return;
    if (!Trusted(fd.get())) continue;
    if (channel_) {
      SendLine(fd.get(), fmt::format("{}{}\n", kVersion, kBusy), -1);
      continue;
    }
    channel_ = std::make_shared<Channel>(*this, std::move(fd));
    if (!channel_->Start()) Gone();
  }
}

void Predecessor::Gone() {
  if (!channel_) return;
  loop_.Cancel(tell_);
  budget_.set_elsewhere(0);
  channel_->stream().Close();
  // Its handler may be at work.
  loop_.Defer([kept = std::exchange(channel_, nullptr)] {});
  if (life_.handed_over() && life_.stage() != Stage::kEnding) {
    Log(Level::kWarning, "hand-over: the new process has gone, this one serves on");
    life_.set_handed_over(false);
  }
}

// The two have one budget: what this one may still take is held to what it has.
void Predecessor::TellHeld() {
  loop_.Cancel(tell_);
  const size_t may = std::min(budget_.used() + kSpare, budget_.most());
  if (life_.handed_over()) budget_.set_elsewhere(budget_.most() - may);
  channel_->stream().Write(fmt::format("holds {}\n", may + kFiles));
  if (!channel_) return;  // the write has found that it is gone
  tell_ = loop_.After(kTell, [this] { TellHeld(); });
}

}  // namespace paddlestile
