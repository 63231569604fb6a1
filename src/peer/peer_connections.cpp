#include "peer/peer_connections.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "peer/framing.h"

namespace paddlestile::peer {
namespace {

using nlohmann::json;

constexpr int kBacklog = 512;
constexpr int kAcceptAtOnce = 32;
constexpr size_t kOldLives = 8;
constexpr size_t kUnread = kFrameMost + 64;  // bytes of one link
constexpr int kFramesAtOnce = 32;            // then others have their turn

}  // namespace

class Links::Listening final : public EventLoop::Handler {
 public:
  Listening(Links& links, const Address& at) : links_(links) {
    fd_ = Listen(at, kBacklog, false);
    if (!fd_ || !links_.loop_.Watch(fd_.get(), this, token_)) {
      throw std::system_error(errno, std::generic_category(), "bank: listen on " + ToText(at));
    }
  }
  Listening(const Listening&) = delete;
  Listening& operator=(const Listening&) = delete;
  virtual ~Listening() { links_.loop_.Unwatch(fd_.get(), token_); }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { links_.Accept(); }

 private:
  Links& links_;
  Fd fd_;
  uint64_t token_ = 0;
};

class Links::Link final : public Stream::Owner {
 public:
  Link(Links& links, Socket socket, std::string dialled)
      : links_(links),
        stream_(links.loop_, std::move(socket), this, !dialled.empty()),
        dialled_(std::move(dialled)),
        heard_(links.loop_.Now()) {
    stream_.set_most_unread(kUnread);
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  virtual ~Link() = default;

  bool Start() {
    if (!dialled_.empty()) Write(links_.HelloTo(dialled_));
    return stream_.Start();
  }
  void Write(const json& value) {
    std::string frame = FrameOf(value);
    if (!stream_.flushed() && queued_ + frame.size() > links_.options_.queued_most) {
      ++links_.counts_.dropped;
      return;
    }
    if (stream_.flushed()) queued_ = 0;
    queued_ += frame.size();
    ++links_.counts_.frames_out;
    links_.counts_.bytes_out += frame.size();
    stream_.Write(std::move(frame));
  }
  void Read() {
    for (int n = 0; n < kFramesAtOnce; ++n) {
      if (over_) return;
      json value;
      const size_t before = stream_.in().size();
      const FrameRead read = TakeFrame(stream_.in(), value);
      links_.counts_.bytes_in += before - stream_.in().size();
      if (read == FrameRead::kNonsense) {
        ++links_.counts_.nonsense;
        return links_.Drop(*this, "a frame that makes no sense");
      }
      if (read == FrameRead::kNone) {
        if (stream_.ended()) return links_.Drop(*this, "ended");
        stream_.Resume();
        return;
      }
      ++links_.counts_.frames_in;
      heard_ = links_.loop_.Now();
      if (up_) {
        links_.listener_->OnFrame(name_, value);
      } else {
        links_.OnHello(*this, value);
      }
    }
    links_.loop_.Yield([this, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) Read();
    });
  }
  Stream& stream() { return stream_; }

  std::string name_;  // once it has said so
  uint64_t life_ = 0, boot_ = 0, call_ = 0;
  bool up_ = false, over_ = false, ends_ = false;
  [[nodiscard]] const std::string& dialled() const { return dialled_; }
  [[nodiscard]] Time heard() const { return heard_; }

 private:
  void OnRead() override { Read(); }
  void OnFlushed() override {
    queued_ = 0;
    if (ends_) links_.Drop(*this, "");
  }
  void OnBroken() override { links_.Drop(*this, "broken"); }

  Links& links_;
  Stream stream_;
  std::string dialled_;
  Time heard_;
  size_t queued_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Links::Links(EventLoop& loop, Descriptors& budget, LinkOptions options, Listener* listener)
    : loop_(loop),
      budget_(budget),
      options_(std::move(options)),
      listener_(listener),
      random_(options_.seed) {
  listening_ = std::make_unique<Listening>(*this, options_.listen);
  beat_ = loop_.After(options_.beat, [this] { Beat(); });
}

Links::~Links() {
  loop_.Cancel(beat_);
  for (auto& [name, dial] : dials_) loop_.Cancel(dial.timer);
}

// ---- Connections ------------------------------------------------------------------------------

void Links::Accept() {
  for (int n = 0; n < kAcceptAtOnce; ++n) {
    Fd fd(accept4(listening_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      return;
    }
    // One that is turned away for want of room comes again.
    if (strangers_ >= options_.strangers_most || !budget_.Take()) continue;
    auto link = std::make_unique<Link>(*this, Socket(std::move(fd), &budget_), "");
    Link* const at = link.get();
    all_[at] = std::move(link);
    ++strangers_;
    if (!at->Start()) Drop(*at, "not watched");
  }
  loop_.Yield([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) Accept();
  });
}

void Links::Want(std::set<std::string> names) {
  wanted_ = std::move(names);
  DialAll();
}

void Links::DialAll() {
  for (const auto& [name, address] : options_.members) {
    if (name <= options_.name || up_.contains(name)) continue;
    if (!wanted_.contains(name) && !wanted_.contains(options_.name)) continue;
    Dial& dial = dials_[name];
    if (dial.link == nullptr && dial.timer.number == 0) Connect(name);
  }
}

void Links::DialAgain(const std::string& name) {
  Dial& dial = dials_[name];
  dial.link = nullptr;
  dial.wait = std::clamp(dial.wait * 2, options_.again_least, options_.again_most);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const Duration wait(
      static_cast<int64_t>(static_cast<double>(dial.wait.count()) * jitter(random_)));
  loop_.Cancel(dial.timer);
  dial.timer = loop_.After(wait, [this, name] {
    dials_[name].timer = {};
    DialAll();
  });
}

void Links::Connect(const std::string& name) {
  bool refused = false;
  auto socket = paddlestile::Connect(options_.members.at(name), &budget_, refused);
  if (!socket) return DialAgain(name);
  auto link = std::make_unique<Link>(*this, std::move(*socket), name);
  Link* const at = link.get();
  all_[at] = std::move(link);
  dials_[name].link = at;
  if (!at->Start()) Drop(*at, "not watched");
}

void Links::Drop(Link& link, std::string_view why) {
  if (std::exchange(link.over_, true)) return;
  link.stream().Close();
  if (link.call_ != 0) calls_.erase(link.call_);
  if (link.dialled().empty() && !link.up_ && link.call_ == 0) --strangers_;
  const std::string name = link.up_ ? link.name_ : link.dialled();
  const bool was_up = link.up_;
  const auto at = up_.find(link.name_);
  if (was_up && at != up_.end() && at->second == &link) {
    up_.erase(at);
    ++counts_.down;
    Log(Level::kInfo, "bank: link to {} is down: {}", name, why);
    listener_->OnDown(name);
  }
  if (!link.dialled().empty()) DialAgain(link.dialled());
  // Its own handler may be at work.
  loop_.Defer([this, at = &link, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) all_.erase(at);
  });
}

void Links::Beat() {
  const Time now = loop_.Now();
  std::vector<Link*> links;
  for (const auto& [at, link] : all_) links.push_back(at);
  for (Link* const link : links) {
    if (link->over_) continue;
    const bool up = link->up_ || link->call_ != 0;
    if (now - link->heard() > (up ? options_.silent : options_.hello_within)) {
      if (link->up_) ++counts_.silent;
      Drop(*link, "silent");
    } else if (link->up_) {
      link->Write({{"beat", 1}});
    }
  }
  beat_ = loop_.After(options_.beat, [this] { Beat(); });
}

// ---- Who it is --------------------------------------------------------------------------------

json Links::HelloTo(const std::string& name) {
  return {{"hello", kFormat},
          {"bank", options_.bank},
          {"from", options_.name},
          {"to", name},
          {"life", options_.life},
          {"boot", options_.boot},
          {"known", listener_->KnownOf(name)}};
}

void Links::OnHello(Link& link, const json& value) {
  const auto stranger = [&](const std::string& why) {
    ++counts_.strangers;
    Log(Level::kWarning, "bank: turned away: {}", why);
    Drop(link, why);
  };
  try {
    if (const auto call = value.find("call"); call != value.end()) {
      if (value.value("hello", 0) != kFormat) return stranger("a call of another format");
      if (!link.dialled().empty()) return stranger("a call instead of a hello");
      if (link.call_ == 0) {
        --strangers_;
        link.call_ = next_call_++;
        calls_[link.call_] = &link;
      }
      return listener_->OnCall(link.call_, *call);
    }
    const std::string bank = value.at("bank"), from = value.at("from"), to = value.at("to");
    const uint64_t life = value.at("life"), boot = value.at("boot");
    if (value.at("hello") != kFormat) {
      return stranger(from + " speaks format " + value.at("hello").dump() + ", expected " +
                      std::to_string(kFormat));
    }
    if (bank != options_.bank) return stranger(from + " is of bank '" + bank + "'");
    if (to != options_.name) return stranger(from + " looks for " + to);
    if (!options_.members.contains(from) || from == options_.name) {
      return stranger(from + " is no member");
    }
    if (!link.dialled().empty() && from != link.dialled()) {
      return stranger(from + " answers for " + link.dialled());
    }
    std::vector<uint64_t>& old = old_lives_[from];
    const auto before = up_.find(from);
    const bool older =
        std::ranges::find(old, life) != old.end() ||
        (before != up_.end() && before->second->life_ == life && before->second->boot_ > boot);
    if (older) {
      ++counts_.old_lives;
      return stranger(from + " comes as an old life of itself");
    }
    if (before != up_.end()) {
      if (before->second->life_ != life) {
        old.push_back(before->second->life_);
        if (old.size() > kOldLives) old.erase(old.begin());
      }
      Drop(*before->second, "another connection of it");
    }
    if (link.dialled().empty()) {
      link.Write(HelloTo(from));
    } else {
      dials_[from].wait = Duration(0);
    }
    // It may have ended within either of these.
    if (link.over_) return;
    if (link.dialled().empty()) --strangers_;
    link.name_ = from;
    link.life_ = life;
    link.boot_ = boot;
    link.up_ = true;
    up_[from] = &link;
    ++counts_.up;
    Log(Level::kInfo, "bank: link to {} is up", from);
    listener_->OnUp(from, life, value.value("known", json()));
  } catch (const json::exception&) {
    ++counts_.nonsense;
    stranger("a hello that makes no sense");
  }
}

void Links::Send(const std::string& name, const json& value) {
  const auto at = up_.find(name);
  if (at != up_.end()) at->second->Write(value);
}

void Links::Answer(uint64_t call, const json& value) {
  const auto at = calls_.find(call);
  if (at == calls_.end()) return;
  Link& link = *at->second;
  link.ends_ = true;
  link.Write(value);
  if (!link.over_ && link.stream().flushed()) Drop(link, "");
}

}  // namespace paddlestile::peer
