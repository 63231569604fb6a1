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
constexpr size_t kUnread = kMaxFrameBytes + 64;  // bytes of one link
constexpr int kFramesAtOnce = 32;                // then others have their turn

}  // namespace

class PeerConnections::Acceptor final : public EventLoop::Handler {
 public:
  Acceptor(PeerConnections& links, const Address& at) : links_(links) {
    fd_ = Listen(at, kBacklog, false);
    if (!fd_ || !links_.loop_.Watch(fd_.get(), this, token_)) {
      throw std::system_error(errno, std::generic_category(), "bank: listen on " + ToText(at));
    }
  }
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;
  virtual ~Acceptor() { links_.loop_.Unwatch(fd_.get(), token_); }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { links_.Accept(); }

 private:
  PeerConnections& links_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
};

class PeerConnections::Connection final : public Stream::Listener {
 public:
  Connection(PeerConnections& links, Socket socket, std::string dialled)
      : links_(links),
        stream_(links.loop_, std::move(socket), this, !dialled.empty()),
        dialled_(std::move(dialled)),
        heard_(links.loop_.Now()) {
    stream_.set_max_unread_bytes(kUnread);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() = default;

  bool Start() {
    if (!dialled_.empty()) {
      Write(links_.HelloTo(dialled_));
    }
    return stream_.Start();
  }
  void Write(const json& value) {
    std::string frame = EncodeFrame(value);
    if (!stream_.flushed() && queued_ + frame.size() > links_.options_.max_queued_bytes) {
      ++links_.statistics_.dropped;
      return;
    }
    if (stream_.flushed()) {
      queued_ = 0;
    }
    queued_ += frame.size();
    ++links_.statistics_.frames_out;
    links_.statistics_.bytes_out += frame.size();
    stream_.Write(std::move(frame));
  }
  void Read() {
    for (int n = 0; n < kFramesAtOnce; ++n) {
      if (over_) {
        return;
      }
      json value;
      const size_t before = stream_.input().size();
      const FrameStatus read = TakeFrame(stream_.input(), value);
      links_.statistics_.bytes_in += before - stream_.input().size();
      if (read == FrameStatus::kMalformed) {
        ++links_.statistics_.malformed_frames;
        return links_.Drop(*this, "a frame that makes no sense");
      }
      if (read == FrameStatus::kIncomplete) {
        if (stream_.ended()) {
          return links_.Drop(*this, "ended");
        }
        stream_.ResumeReading();
        return;
      }
      ++links_.statistics_.frames_in;
      heard_ = links_.loop_.Now();
      if (up_) {
        links_.listener_->OnFrame(name_, value);
      } else {
        links_.OnHello(*this, value);
      }
    }
    links_.loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) {
        Read();
      }
    });
  }
  Stream& stream() { return stream_; }

  std::string name_;  // once it has said so
  uint64_t life_ = 0, boot_ = 0, call_ = 0;
  bool up_ = false, over_ = false, ends_ = false;
  [[nodiscard]] const std::string& dialled() const { return dialled_; }
  [[nodiscard]] Time heard() const { return heard_; }

 private:
  void OnData() override { Read(); }
  void OnWriteComplete() override {
    queued_ = 0;
    if (ends_) {
      links_.Drop(*this, "");
    }
  }
  void OnError() override { links_.Drop(*this, "broken"); }

  PeerConnections& links_;
  Stream stream_;
  std::string dialled_;
  Time heard_;
  size_t queued_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

PeerConnections::PeerConnections(EventLoop& loop, DescriptorBudget& budget,
                                 PeerConnectionOptions options, Listener* listener)
    : loop_(loop),
      budget_(budget),
      options_(std::move(options)),
      listener_(listener),
      random_(options_.seed) {
  acceptor_ = std::make_unique<Acceptor>(*this, options_.listen);
  heartbeat_timer_ = loop_.RunAfter(options_.heartbeat_interval, [this] { SendHeartbeats(); });
}

PeerConnections::~PeerConnections() {
  loop_.CancelTimer(heartbeat_timer_);
  for (auto& [name, dial] : dials_) {
    loop_.CancelTimer(dial.timer);
  }
}

// ---- Connections ------------------------------------------------------------------------------

void PeerConnections::Accept() {
  for (int n = 0; n < kAcceptAtOnce; ++n) {
    FileDescriptor fd(accept4(acceptor_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) {
        continue;
      }
      return;
    }
    // One that is turned away for want of room comes again.
    if (unidentified_count_ >= options_.max_unidentified || !budget_.TryAcquire()) {
      continue;
    }
    auto link = std::make_unique<Connection>(*this, Socket(std::move(fd), &budget_), "");
    Connection* const at = link.get();
    connections_[at] = std::move(link);
    ++unidentified_count_;
    if (!at->Start()) {
      Drop(*at, "not watched");
    }
  }
  loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      Accept();
    }
  });
}

void PeerConnections::SetWantedMembers(std::set<std::string> names) {
  wanted_ = std::move(names);
  DialAll();
}

void PeerConnections::DialAll() {
  for (const auto& [name, address] : options_.members) {
    if (name <= options_.name || connected_.contains(name)) {
      continue;
    }
    if (!wanted_.contains(name) && !wanted_.contains(options_.name)) {
      continue;
    }
    DialState& dial = dials_[name];
    if (dial.connection == nullptr && dial.timer.number == 0) {
      Connect(name);
    }
  }
}

void PeerConnections::ScheduleRedial(const std::string& name) {
  DialState& dial = dials_[name];
  dial.connection = nullptr;
  dial.wait = std::clamp(dial.wait * 2, options_.min_reconnect_delay, options_.max_reconnect_delay);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const Duration wait(
      static_cast<int64_t>(static_cast<double>(dial.wait.count()) * jitter(random_)));
  loop_.CancelTimer(dial.timer);
  dial.timer = loop_.RunAfter(wait, [this, name] {
    dials_[name].timer = {};
    DialAll();
  });
}

void PeerConnections::Connect(const std::string& name) {
  bool refused = false;
  auto socket = paddlestile::Connect(options_.members.at(name), &budget_, refused);
  if (!socket) {
    return ScheduleRedial(name);
  }
  auto link = std::make_unique<Connection>(*this, std::move(*socket), name);
  Connection* const at = link.get();
  connections_[at] = std::move(link);
  dials_[name].connection = at;
  if (!at->Start()) {
    Drop(*at, "not watched");
  }
}

void PeerConnections::Drop(Connection& link, std::string_view why) {
  if (std::exchange(link.over_, true)) {
    return;
  }
  link.stream().Close();
  if (link.call_ != 0) {
    calls_.erase(link.call_);
  }
  if (link.dialled().empty() && !link.up_ && link.call_ == 0) {
    --unidentified_count_;
  }
  const std::string name = link.up_ ? link.name_ : link.dialled();
  const bool was_up = link.up_;
  const auto at = connected_.find(link.name_);
  if (was_up && at != connected_.end() && at->second == &link) {
    connected_.erase(at);
    ++statistics_.disconnected;
    Log(LogLevel::kInfo, "bank: link to {} is down: {}", name, why);
    listener_->OnDisconnected(name);
  }
  if (!link.dialled().empty()) {
    ScheduleRedial(link.dialled());
  }
  // Its own handler may be at work.
  loop_.RunDeferred([this, at = &link, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      connections_.erase(at);
    }
  });
}

void PeerConnections::SendHeartbeats() {
  const Time now = loop_.Now();
  std::vector<Connection*> links;
  for (const auto& [at, link] : connections_) {
    links.push_back(at);
  }
  for (Connection* const link : links) {
    if (link->over_) {
      continue;
    }
    const bool up = link->up_ || link->call_ != 0;
    if (now - link->heard() > (up ? options_.silence_timeout : options_.hello_timeout)) {
      if (link->up_) {
        ++statistics_.timed_out;
      }
      Drop(*link, "silent");
    } else if (link->up_) {
      link->Write({{"beat", 1}});
    }
  }
  heartbeat_timer_ = loop_.RunAfter(options_.heartbeat_interval, [this] { SendHeartbeats(); });
}

// ---- Who it is --------------------------------------------------------------------------------

json PeerConnections::HelloTo(const std::string& name) {
  return {{"hello", kProtocolVersion},
          {"bank", options_.cluster_name},
          {"from", options_.name},
          {"to", name},
          {"life", options_.incarnation},
          {"boot", options_.restart_count},
          {"known", listener_->ClaimKnownOf(name)}};
}

void PeerConnections::OnHello(Connection& link, const json& value) {
  const auto stranger = [&](const std::string& why) {
    ++statistics_.unidentified;
    Log(LogLevel::kWarning, "bank: turned away: {}", why);
    Drop(link, why);
  };
  try {
    if (const auto call = value.find("call"); call != value.end()) {
      if (value.value("hello", 0) != kProtocolVersion) {
        return stranger("a call of another format");
      }
      if (!link.dialled().empty()) {
        return stranger("a call instead of a hello");
      }
      if (link.call_ == 0) {
        --unidentified_count_;
        link.call_ = next_call_++;
        calls_[link.call_] = &link;
      }
      return listener_->OnCall(link.call_, *call);
    }
    const std::string bank = value.at("bank"), from = value.at("from"), to = value.at("to");
    const uint64_t life = value.at("life"), boot = value.at("boot");
    if (value.at("hello") != kProtocolVersion) {
      return stranger(from + " speaks format " + value.at("hello").dump() + ", expected " +
                      std::to_string(kProtocolVersion));
    }
    if (bank != options_.cluster_name) {
      return stranger(from + " is of bank '" + bank + "'");
    }
    if (to != options_.name) {
      return stranger(from + " looks for " + to);
    }
    if (!options_.members.contains(from) || from == options_.name) {
      return stranger(from + " is no member");
    }
    if (!link.dialled().empty() && from != link.dialled()) {
      return stranger(from + " answers for " + link.dialled());
    }
    std::vector<uint64_t>& old = stale_incarnations_[from];
    const auto before = connected_.find(from);
    const bool older = std::ranges::find(old, life) != old.end() ||
                       (before != connected_.end() && before->second->life_ == life &&
                        before->second->boot_ > boot);
    if (older) {
      ++statistics_.stale_incarnations;
      return stranger(from + " comes as an old life of itself");
    }
    if (before != connected_.end()) {
      if (before->second->life_ != life) {
        old.push_back(before->second->life_);
        if (old.size() > kOldLives) {
          old.erase(old.begin());
        }
      }
      Drop(*before->second, "another connection of it");
    }
    if (link.dialled().empty()) {
      link.Write(HelloTo(from));
    } else {
      dials_[from].wait = Duration(0);
    }
    // It may have ended within either of these.
    if (link.over_) {
      return;
    }
    if (link.dialled().empty()) {
      --unidentified_count_;
    }
    link.name_ = from;
    link.life_ = life;
    link.boot_ = boot;
    link.up_ = true;
    connected_[from] = &link;
    ++statistics_.connected;
    Log(LogLevel::kInfo, "bank: link to {} is up", from);
    listener_->OnConnected(from, life, value.value("known", json()));
  } catch (const json::exception&) {
    ++statistics_.malformed_frames;
    stranger("a hello that makes no sense");
  }
}

void PeerConnections::Send(const std::string& name, const json& value) {
  const auto at = connected_.find(name);
  if (at != connected_.end()) {
    at->second->Write(value);
  }
}

void PeerConnections::Reply(uint64_t call, const json& value) {
  const auto at = calls_.find(call);
  if (at == calls_.end()) {
    return;
  }
  Connection& link = *at->second;
  link.ends_ = true;
  link.Write(value);
  if (!link.over_ && link.stream().flushed()) {
    Drop(link, "");
  }
}

}  // namespace paddlestile::peer
