#include "peer/peer_connections.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "peer/introduction.h"

namespace paddlestile::peer {
namespace {

using nlohmann::json;

constexpr int kListenBacklog = 512;
constexpr int kMaxAcceptsPerRound = 32;
constexpr size_t kMaxStaleIncarnations = 8;  // per member

}  // namespace

class PeerConnections::Acceptor final : public EventLoop::Handler {
 public:
  Acceptor(PeerConnections& owner, const Address& address) : owner_(owner) {
    fd_ = Listen(address, kListenBacklog, false);
    if (!fd_ || !owner_.loop_.Watch(fd_.get(), this, token_)) {
      throw std::system_error(errno, std::generic_category(), "bank: listen on " + ToText(address));
    }
  }
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;
  virtual ~Acceptor() { owner_.loop_.Unwatch(fd_.get(), token_); }
  [[nodiscard]] int fd() const { return fd_.get(); }
  void OnEvents(uint32_t) override { owner_.Accept(); }

 private:
  PeerConnections& owner_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
};

PeerConnections::PeerConnections(EventLoop& loop, DescriptorBudget& budget,
                                 PeerConnectionOptions options, Listener* listener)
    : loop_(loop),
      budget_(budget),
      options_(std::move(options)),
      listener_(listener),
      random_(options_.seed) {
  acceptor_ = std::make_unique<Acceptor>(*this, options_.listen);
  maintenance_timer_ =
      loop_.RunAfter(options_.heartbeat_interval, [this] { MaintainConnections(); });
}

PeerConnections::~PeerConnections() {
  loop_.CancelTimer(maintenance_timer_);
  for (auto& [name, dial] : dials_) {
    loop_.CancelTimer(dial.timer);
  }
}

// ---- Establishing connections -----------------------------------------------------------------

Connection& PeerConnections::AddConnection(Socket socket, const std::string& dialed_name) {
  Connection::Owner& owner = *this;  // a private base, which make_unique cannot convert to
  auto connection = std::make_unique<Connection>(loop_, std::move(socket), dialed_name,
                                                 options_.max_queued_bytes, statistics_, owner);
  Connection& added = *connection;
  connections_[&added] = std::move(connection);
  return added;
}

void PeerConnections::Accept() {
  for (int count = 0; count < kMaxAcceptsPerRound; ++count) {
    FileDescriptor fd(accept4(acceptor_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) {
        continue;
      }
      return;
    }
    // The descriptor is closed here. A member will connect again.
    if (unidentified_count_ >= options_.max_unidentified || !budget_.TryAcquire()) {
      continue;
    }
    Connection& connection = AddConnection(Socket(std::move(fd), &budget_), "");
    connection.set_unidentified(true);
    ++unidentified_count_;
    if (!connection.Start()) {
      OnEnd(connection, "cannot watch the socket");
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
      Dial(name);
    }
  }
}

void PeerConnections::ScheduleRedial(const std::string& name) {
  DialState& dial = dials_[name];
  dial.connection = nullptr;
  dial.delay =
      std::clamp(dial.delay * 2, options_.min_reconnect_delay, options_.max_reconnect_delay);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const Duration delay(
      static_cast<int64_t>(static_cast<double>(dial.delay.count()) * jitter(random_)));
  loop_.CancelTimer(dial.timer);
  dial.timer = loop_.RunAfter(delay, [this, name] {
    dials_[name].timer = {};
    DialAll();
  });
}

void PeerConnections::Dial(const std::string& name) {
  bool refused = false;
  auto socket = Connect(options_.members.at(name), &budget_, refused);
  if (!socket) {
    return ScheduleRedial(name);
  }
  Connection& connection = AddConnection(std::move(*socket), name);
  dials_[name].connection = &connection;
  connection.Send(MakeHelloTo(name));
  if (!connection.Start()) {
    OnEnd(connection, "cannot watch the socket");
  }
}

// ---- Connection events ------------------------------------------------------------------------

void PeerConnections::OnFrame(Connection& connection, const json& value) {
  if (connection.is_member()) {
    listener_->OnFrame(connection.name(), value);
  } else {
    OnIntroduction(connection, value);
  }
}

void PeerConnections::OnEnd(Connection& connection, std::string_view reason) {
  if (!connection.Close()) {
    return;
  }
  if (connection.call() != 0) {
    calls_.erase(connection.call());
  }
  RemoveFromUnidentified(connection);
  RemoveMember(connection, reason);
  if (connection.is_dialed()) {
    ScheduleRedial(connection.dialed_name());
  }
  // Destroyed later, because this may be called from the connection's own handler.
  loop_.RunDeferred([this, closed = &connection, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      connections_.erase(closed);
    }
  });
}

void PeerConnections::RemoveMember(const Connection& connection, std::string_view reason) {
  const auto found = connected_.find(connection.name());
  if (!connection.is_member() || found == connected_.end() || found->second != &connection) {
    return;
  }
  connected_.erase(found);
  ++statistics_.disconnected;
  Log(LogLevel::kInfo, "bank: connection to {} closed: {}", connection.name(), reason);
  listener_->OnDisconnected(connection.name());
}

// ---- Timeouts and heartbeats ------------------------------------------------------------------

void PeerConnections::MaintainConnections() {
  const Time now = loop_.Now();
  // Copied, because closing a connection may change the map.
  std::vector<Connection*> connections;
  for (const auto& [key, connection] : connections_) {
    connections.push_back(key);
  }
  for (Connection* const connection : connections) {
    if (!connection->closed()) {
      MaintainConnection(now, *connection);
    }
  }
  maintenance_timer_ =
      loop_.RunAfter(options_.heartbeat_interval, [this] { MaintainConnections(); });
}

void PeerConnections::MaintainConnection(Time now, Connection& connection) {
  const bool is_identified = connection.is_member() || connection.call() != 0;
  const Duration timeout = is_identified ? options_.silence_timeout : options_.hello_timeout;
  if (connection.IsSilent(now, timeout)) {
    if (connection.is_member()) {
      ++statistics_.timed_out;
    }
    OnEnd(connection, "no frame received in time");
  } else if (connection.is_member()) {
    connection.Send({{"beat", 1}});
  }
}

// ---- Identification ---------------------------------------------------------------------------

json PeerConnections::MakeHelloTo(const std::string& name) {
  Hello hello;
  hello.cluster_name = options_.cluster_name;
  hello.from = options_.name;
  hello.to = name;
  hello.incarnation = options_.incarnation;
  hello.restart_count = options_.restart_count;
  return WithChecksum(EncodeHello(hello, listener_->ClaimKnownOf(name)));
}

void PeerConnections::RemoveFromUnidentified(Connection& connection) {
  if (connection.is_unidentified()) {
    connection.set_unidentified(false);
    --unidentified_count_;
  }
}

void PeerConnections::Reject(Connection& connection, const std::string& reason) {
  ++statistics_.unidentified;
  Log(LogLevel::kWarning, "bank: rejected a connection: {}", reason);
  OnEnd(connection, reason);
}

void PeerConnections::OnIntroduction(Connection& connection, const json& value) {
  const IntroductionChecksum checksum = VerifyChecksum(value);
  if (checksum == IntroductionChecksum::kMismatch) {
    ++statistics_.checksum_mismatches;
    return Reject(connection, "introduction checksum mismatch");
  }
  const bool is_checked = checksum == IntroductionChecksum::kMatches;
  try {
    if (const auto call = value.find("call"); call != value.end()) {
      OnCall(connection, value, *call, is_checked);
    } else {
      OnHello(connection, value, is_checked);
    }
  } catch (const json::exception&) {
    // The listener may also throw this exception, for malformed contents of the call or the claim.
    ++statistics_.malformed_frames;
    Reject(connection, "malformed introduction");
  }
}

void PeerConnections::OnCall(Connection& connection, const json& frame, const json& call,
                             bool is_checked) {
  if (frame.value("hello", 0) != kProtocolVersion) {
    return Reject(connection, "call with an unsupported protocol version");
  }
  if (connection.is_dialed()) {
    return Reject(connection, "call received instead of a hello");
  }
  RemoveFromUnidentified(connection);
  if (connection.call() == 0) {
    connection.set_call(next_call_++);
    calls_[connection.call()] = &connection;
  }
  if (is_checked) {
    connection.EnableChecksums();
  }
  listener_->OnCall(connection.call(), call);
}

std::string PeerConnections::ReasonToReject(const Connection& connection, const Hello& hello,
                                            const json& version) const {
  if (connection.call() != 0) {
    return "hello received after a call";
  }
  if (version != kProtocolVersion) {
    return hello.from + " uses protocol version " + version.dump() + ", expected " +
           std::to_string(kProtocolVersion);
  }
  if (hello.cluster_name != options_.cluster_name) {
    return hello.from + " belongs to bank '" + hello.cluster_name + "'";
  }
  if (hello.to != options_.name) {
    return hello.from + " expected to reach " + hello.to;
  }
  if (!options_.members.contains(hello.from) || hello.from == options_.name) {
    return hello.from + " is not a member";
  }
  if (connection.is_dialed() && hello.from != connection.dialed_name()) {
    return hello.from + " replied at the address of " + connection.dialed_name();
  }
  return "";
}

bool PeerConnections::IsStale(const Hello& hello) const {
  const auto stale = stale_incarnations_.find(hello.from);
  if (stale != stale_incarnations_.end() &&
      std::ranges::find(stale->second, hello.incarnation) != stale->second.end()) {
    return true;
  }
  const auto current = connected_.find(hello.from);
  return current != connected_.end() && current->second->incarnation() == hello.incarnation &&
         current->second->restart_count() > hello.restart_count;
}

void PeerConnections::ReplaceConnection(const Hello& hello) {
  const auto found = connected_.find(hello.from);
  if (found == connected_.end()) {
    return;
  }
  Connection& earlier = *found->second;
  if (earlier.incarnation() != hello.incarnation) {
    std::vector<uint64_t>& stale = stale_incarnations_[hello.from];
    stale.push_back(earlier.incarnation());
    if (stale.size() > kMaxStaleIncarnations) {
      stale.erase(stale.begin());
    }
  }
  OnEnd(earlier, "replaced by a newer connection");
}

void PeerConnections::OnHello(Connection& connection, const json& frame, bool is_checked) {
  const json& version = VersionOfHello(frame);
  const Hello hello = DecodeHello(frame);
  const json claim = ClaimOfHello(frame);
  if (const std::string reason = ReasonToReject(connection, hello, version); !reason.empty()) {
    return Reject(connection, reason);
  }
  if (IsStale(hello)) {
    ++statistics_.stale_incarnations;
    return Reject(connection, hello.from + " has a stale incarnation");
  }
  ReplaceConnection(hello);
  if (connection.is_dialed()) {
    dials_[hello.from].delay = Duration(0);
  } else {
    connection.Send(MakeHelloTo(hello.from));
  }
  // The connection may have ended while the earlier one was closed or the hello was sent.
  if (connection.closed()) {
    return;
  }
  RemoveFromUnidentified(connection);
  if (is_checked) {
    connection.EnableChecksums();
  }
  connection.SetMember(hello.from, hello.incarnation, hello.restart_count);
  connected_[hello.from] = &connection;
  ++statistics_.connected;
  Log(LogLevel::kInfo, "bank: connection to {} established", hello.from);
  listener_->OnConnected(hello.from, hello.incarnation, claim);
}

// ---- Sending ----------------------------------------------------------------------------------

void PeerConnections::Send(const std::string& name, const json& value) {
  const auto found = connected_.find(name);
  if (found != connected_.end()) {
    found->second->Send(value);
  }
}

void PeerConnections::Reply(uint64_t call, const json& value) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) {
    found->second->SendLast(value);
  }
}

}  // namespace paddlestile::peer
