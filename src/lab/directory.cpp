#include "lab/directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <unordered_set>
#include <utility>

#include "event/stream.h"
#include "http/http_parser.h"
#include "lab/listener.h"

namespace paddlestile::lab {
namespace {

constexpr size_t kFirstAgentAddress = 20'000;  // beyond the addresses of the hosts
// us; until an old agent closes its connections
constexpr Duration kMovedAgentCloseDelay{1'500'000};

// A change counts as told at the latest this long after discovery had it and was reachable.
constexpr Duration kMaxChangeDelay{6'000'000};  // us

constexpr std::string_view kMalformedLines[] = {
    "{\"revision\":,\"members\":[\n", "{\"revision\":9999999,\"members\":[{\"id\":\"x\"}]}\n",
    "not a list at all\n", "{\"revision\":9999998,\"complete\":true}\n"};

std::string Chunk(std::string_view text) {
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string_view PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kActive:
      return "active";
    case Phase::kLeaving:
      return "leaving";
    case Phase::kLeft:
      return "left";
  }
  return "";
}

}  // namespace

// ---- A connection of a gateway ------------------------------------------------------------------

class Directory::Connection final : public Stream::Listener {
 public:
  Connection(Directory& directory, Agent& agent, FileDescriptor fd)
      : directory_(directory),
        agent_(agent),
        stream_(directory.loop_, Socket(std::move(fd), nullptr), this, false) {}
  bool Start() { return stream_.Start(); }
  void Write(std::string text) { stream_.Write(std::move(text)); }
  void Close() { stream_.Close(); }
  [[nodiscard]] bool closed() const { return stream_.closed(); }

  void OnData() override;
  void OnError() override;

  bool is_watch = false, head_sent = false;
  bool responds = false;         // the time to respond has passed, and no list is being sent
  uint64_t since = 0;            // the last revision that was sent
  bool needs_full_list = false;  // the complete list still has to be sent
  std::list<std::shared_ptr<Connection>>::iterator position;
  [[nodiscard]] Agent& agent() const { return agent_; }

 private:
  Directory& directory_;
  Agent& agent_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest};
};

struct Directory::Agent {
  size_t gateway = 0;
  Address address;
  std::unique_ptr<Listener> listener;
  std::list<std::shared_ptr<Connection>> connections;
};

void Directory::Connection::OnData() {
  if (parser_.Feed(stream_.input()) == ParseProgress::kDone && !is_watch) {
    const HttpMessage message = parser_.message();
    const Buffer bytes = stream_.input().TakeFront(message.total_bytes);
    parser_.Reset();
    const std::string_view target = message.target.In(bytes.view());
    if (!target.starts_with("/catalog/members")) {
      stream_.Write("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
    } else if (target.find("follow=1") != std::string_view::npos) {
      is_watch = true;
      const size_t at = target.find("since=");
      uint64_t revision = 0;
      if (at != std::string_view::npos) {
        std::from_chars(target.data() + at + 6, target.data() + target.size(), revision);
      }
      since = revision;
      needs_full_list = revision > directory_.revision_ ||
                        revision < directory_.initial_revision_ || directory_.stale_;
      directory_.RespondLater(*position);
    } else if (!directory_.silent_) {
      const std::string list = directory_.FullList(agent_.gateway);
      stream_.Write(
          fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", list.size(), list));
    }
  }
  if (stream_.ended()) {
    OnError();
  }
}

void Directory::Connection::OnError() {
  if (stream_.closed()) {
    return;
  }
  stream_.Close();
  directory_.loop_.RunDeferred([kept = *position] {});
  agent_.connections.erase(position);
}

// ---- The directory ------------------------------------------------------------------------------

Directory::Directory(EventLoop& loop, Ledger& ledger, size_t gateways, Duration keepalive_interval)
    : loop_(loop), ledger_(ledger), gateways_(gateways), keepalive_interval_(keepalive_interval) {}

Directory::~Directory() {
  loop_.CancelTimer(keepalive_timer_);
}

const Address& Directory::AddressOf(size_t gateway) const {
  return agents_[gateway]->address;
}

void Directory::Start(const std::vector<ListedHost>& hosts) {
  for (const ListedHost& host : hosts) {
    history_.push_back({++revision_, host});
  }
  initial_revision_ = revision_;
  MoveAgents();
  ScheduleKeepalive();
}

void Directory::MoveAgents() {
  disturbed_at_ = Now();
  for (auto& agent : agents_) {
    agent->listener.reset();
    loop_.RunAfter(kMovedAgentCloseDelay, [was = agent.get(), alive = std::weak_ptr(alive_)] {
      if (alive.expired()) {
        return;
      }
      while (!was->connections.empty()) {
        was->connections.front()->OnError();
      }
    });
    previous_agents_.push_back(std::move(agent));
  }
  agents_.clear();
  for (size_t i = 0; i < gateways_; ++i) {
    agents_.push_back(std::make_unique<Agent>());
    Agent& agent = *agents_.back();
    agent.gateway = i;
    agent.address = LoopbackAddress(kFirstAgentAddress + moves_ * gateways_ + i);
    agent.listener =
        std::make_unique<Listener>(loop_, agent.address, [this, &agent](FileDescriptor fd) {
          agent.connections.push_back(std::make_shared<Connection>(*this, agent, std::move(fd)));
          Connection& connection = *agent.connections.back();
          connection.position = std::prev(agent.connections.end());
          if (!connection.Start()) {
            connection.OnError();
          }
        });
  }
  ++moves_;
}

void Directory::RunAfter(Duration delay, std::function<void()> task) {
  loop_.RunAfter(delay, [task = std::move(task), alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      task();
    }
  });
}

void Directory::OnHostChange(const ListedHost& host, Duration lag) {
  RunAfter(lag + lag_, [this, host] {
    history_.push_back({++revision_, host});
    if (host.phase != Phase::kActive) {
      RecordWhenDue(Now(), host.host_index);
    }
    SendUpdatesToAll();
  });
}

void Directory::RecordWhenDue(Time known_at, size_t host_index) {
  RunAfter(known_at + kMaxChangeDelay - Now(), [this, known_at, host_index] {
    if (silent_ || malformed_ || stale_) {
      return RecordWhenDue(Now(), host_index);
    }
    if (disturbed_at_ > known_at) {
      return RecordWhenDue(disturbed_at_, host_index);
    }
    for (size_t gateway = 0; gateway < gateways_; ++gateway) {
      ledger_.OnGatewayNotified(Now(), gateway, host_index);
    }
  });
}

std::vector<const ListedHost*> Directory::HostsAt(uint64_t revision) const {
  std::map<std::string_view, const ListedHost*> latest;
  for (const Version& version : history_) {
    if (version.revision <= revision) {
      latest[version.host.id] = &version.host;
    }
  }
  std::vector<const ListedHost*> hosts;
  for (const auto& [id, host] : latest) {
    if (host->phase != Phase::kLeft) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::string Directory::MembersJson(const std::vector<const ListedHost*>& hosts, uint64_t revision,
                                   bool complete) const {
  nlohmann::json members = nlohmann::json::array();
  for (const ListedHost* const host : hosts) {
    members.push_back({{"id", host->id},
                       {"host_port", ToText(host->address)},
                       {"locality", host->zone},
                       {"flavor", host->kind},
                       {"cell", host->cell},
                       {"phase", PhaseName(host->phase)},
                       {"size", 1.0},
                       {"up_since_ms", host->started_at_unix_ms}});
  }
  return nlohmann::json({{"revision", revision}, {"complete", complete}, {"members", members}})
      .dump();
}

void Directory::RecordNotifications(size_t gateway, const std::vector<const ListedHost*>& hosts,
                                    bool complete) {
  ++lists_sent_;
  for (const ListedHost* const host : hosts) {
    if (host->phase != Phase::kActive) {
      ledger_.OnGatewayNotified(Now(), gateway, host->host_index);
    }
  }
  if (!complete) {
    return;
  }
  // Hosts that are missing in a complete list are gone.
  std::unordered_set<std::string_view> present;
  for (const ListedHost* const host : hosts) {
    present.insert(host->id);
  }
  for (const Version& version : history_) {
    if (!present.contains(version.host.id)) {
      ledger_.OnGatewayNotified(Now(), gateway, version.host.host_index);
    }
  }
}

std::string Directory::FullList(size_t gateway) {
  const uint64_t revision = stale_ ? initial_revision_ : revision_;
  const auto hosts = HostsAt(revision);
  if (!stale_) {
    RecordNotifications(gateway, hosts, true);
  }
  return MembersJson(hosts, revision, true);
}

std::string Directory::InitialList() const {
  return MembersJson(HostsAt(initial_revision_), initial_revision_, true);
}

// ---- Watches ----------------------------------------------------------------------------------

void Directory::SetResponseTime(UniformRange response_ms, size_t pieces, uint64_t seed) {
  response_ms_ = response_ms;
  response_pieces_ = pieces;
  random_.seed(seed);
}

void Directory::RespondLater(const std::shared_ptr<Connection>& connection) {
  const auto respond = [this, connection] {
    if (!connection->closed()) {
      connection->responds = true;
      SendUpdates(*connection);
    }
  };
  if (response_ms_.high <= 0) {
    return loop_.RunDeferred(respond);
  }
  const double response_ms =
      std::uniform_real_distribution(response_ms_.low, response_ms_.high)(random_);
  const Duration response_time(static_cast<int64_t>(response_ms * 1000));
  if (response_pieces_ == 1) {
    return RunAfter(response_time, respond);
  }
  RunAfter(response_time / 2, [this, connection, response_time, respond] {
    if (silent_ || connection->closed()) {
      return respond();
    }
    const Duration interval = response_time / 2 / static_cast<int>(response_pieces_);
    SendPiece(connection, TakeUpdate(*connection), 1, interval);
  });
}

void Directory::SendPiece(const std::shared_ptr<Connection>& connection, Update update,
                          size_t number, Duration interval) {
  RunAfter(interval, [this, connection, update = std::move(update), number, interval]() mutable {
    if (connection->closed()) {
      return;
    }
    const size_t size = update.text.size();
    const size_t begin = size * (number - 1) / response_pieces_;
    const size_t end = size * number / response_pieces_;
    connection->Write(update.text.substr(begin, end - begin));
    if (number < response_pieces_) {
      return SendPiece(connection, std::move(update), number + 1, interval);
    }
    update.record();
    connection->head_sent = connection->responds = true;
    SendUpdates(*connection);
  });
}

void Directory::SendUpdates(Connection& connection) {
  if (silent_ || !connection.responds) {
    return;
  }
  Update update = TakeUpdate(connection);
  connection.head_sent = true;
  if (!update.text.empty()) {
    update.record();
    connection.Write(std::move(update.text));
  }
}

Directory::Update Directory::TakeUpdate(Connection& connection) {
  Update update{"", [] {
                }};
  const size_t gateway = connection.agent().gateway;
  if (std::exchange(connection.needs_full_list, false)) {
    const uint64_t revision = stale_ ? initial_revision_ : revision_;
    update.text = Chunk(MembersJson(HostsAt(revision), revision, true) + "\n");
    connection.since = revision;
    if (!stale_) {
      update.record = [this, gateway, revision] {
        RecordNotifications(gateway, HostsAt(revision), true);
      };
    }
  } else if (!stale_ && connection.since < history_.size()) {
    const uint64_t since = std::exchange(connection.since, history_.back().revision);
    update.text = Chunk(MembersJson(ChangesSince(since), connection.since, false) + "\n");
    update.record = [this, gateway, changes = history_.size() - since, since] {
      std::vector<const ListedHost*> changed = ChangesSince(since);
      changed.resize(changes);
      RecordNotifications(gateway, changed, false);
    };
  }
  if (malformed_) {
    update.text += Chunk(kMalformedLines[lists_sent_++ % std::size(kMalformedLines)]);
  }
  if (!connection.head_sent) {
    update.text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + update.text;
    if (update.text.ends_with("\r\n\r\n")) {
      update.text += Chunk("\n");
    }
  }
  return update;
}

// The history is ordered by revision, from 1.
std::vector<const ListedHost*> Directory::ChangesSince(uint64_t revision) const {
  std::vector<const ListedHost*> changed;
  for (size_t i = revision; i < history_.size(); ++i) {
    changed.push_back(&history_[i].host);
  }
  return changed;
}

void Directory::SendUpdatesToAll() {
  for (const auto& agent : agents_) {
    for (const auto& connection : agent->connections) {
      if (connection->is_watch) {
        SendUpdates(*connection);
      }
    }
  }
}

void Directory::CloseWatches() {
  for (const auto& agent : agents_) {
    while (!agent->connections.empty()) {
      agent->connections.front()->OnError();
    }
  }
}

void Directory::ScheduleKeepalive() {
  keepalive_timer_ = loop_.RunAfter(keepalive_interval_, [this] {
    if (!silent_) {
      for (const auto& agent : agents_) {
        for (const auto& connection : agent->connections) {
          if (connection->is_watch && connection->head_sent) {
            connection->Write(Chunk("\n"));
          }
        }
      }
    }
    ScheduleKeepalive();
  });
}

void Directory::SetSilent(bool on) {
  silent_ = on;
  disturbed_at_ = Now();
  if (!on) {
    SendUpdatesToAll();
  }
}

void Directory::SetMalformed(bool on) {
  malformed_ = on;
  disturbed_at_ = Now();
  if (on) {
    SendUpdatesToAll();
  }
}

void Directory::SetStale(bool on) {
  stale_ = on;
  disturbed_at_ = Now();
  CloseWatches();  // gateways reconnect to what looks like another agent
}

}  // namespace paddlestile::lab
