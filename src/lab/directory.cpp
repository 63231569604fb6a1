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
      directory_.loop_.RunDeferred([kept = *position] {
        if (!kept->closed()) {
          kept->directory_.SendUpdates(*kept);
        }
      });
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

void Directory::OnHostChange(const ListedHost& host, Duration lag) {
  loop_.RunAfter(lag + lag_, [this, host, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    history_.push_back({++revision_, host});
    SendUpdatesToAll();
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

void Directory::SendUpdates(Connection& connection) {
  if (silent_) {
    return;
  }
  std::string text;
  if (std::exchange(connection.needs_full_list, false)) {
    text = Chunk(FullList(connection.agent().gateway) + "\n");
    connection.since = stale_ ? initial_revision_ : revision_;
  } else if (!stale_) {
    std::vector<const ListedHost*> changed;
    uint64_t latest = connection.since;
    for (size_t i = connection.since; i < history_.size(); ++i) {  // ordered by revision
      changed.push_back(&history_[i].host);
      latest = history_[i].revision;
    }
    if (!changed.empty()) {
      RecordNotifications(connection.agent().gateway, changed, false);
      text = Chunk(MembersJson(changed, latest, false) + "\n");
      connection.since = latest;
    }
  }
  if (malformed_) {
    text += Chunk(kMalformedLines[lists_sent_++ % std::size(kMalformedLines)]);
  }
  if (connection.is_watch && !std::exchange(connection.head_sent, true)) {
    text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text;
    if (text.ends_with("\r\n\r\n")) {
      text += Chunk("\n");
    }
  }
  if (!text.empty()) {
    connection.Write(std::move(text));
  }
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
  if (!on) {
    SendUpdatesToAll();
  }
}

void Directory::SetMalformed(bool on) {
  malformed_ = on;
  if (on) {
    SendUpdatesToAll();
  }
}

void Directory::SetStale(bool on) {
  stale_ = on;
  CloseWatches();  // gateways reconnect to what looks like another agent
}

}  // namespace paddlestile::lab
