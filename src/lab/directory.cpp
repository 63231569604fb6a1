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

constexpr size_t kAgentPlaces = 20'000;   // addresses behind those of the hosts
constexpr Duration kMovedFor{1'500'000};  // us; an agent that has moved keeps its connections

constexpr std::string_view kNonsense[] = {
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

  bool watches = false, headed = false;
  uint64_t since = 0;  // what was told up to here
  bool whole = false;  // the whole list is still to be told
  std::list<std::shared_ptr<Connection>>::iterator place;
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
  if (parser_.Feed(stream_.input()) == ParseProgress::kDone && !watches) {
    const HttpMessage m = parser_.message();
    const Buffer bytes = stream_.input().TakeFront(m.total_bytes);
    parser_.Reset();
    const std::string_view target = m.target.In(bytes.view());
    if (!target.starts_with("/catalog/members")) {
      stream_.Write("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
    } else if (target.find("follow=1") != std::string_view::npos) {
      watches = true;
      const size_t at = target.find("since=");
      uint64_t revision = 0;
      if (at != std::string_view::npos) {
        std::from_chars(target.data() + at + 6, target.data() + target.size(), revision);
      }
      since = revision;
      whole = revision > directory_.revision_ || revision < directory_.first_ || directory_.old_;
      directory_.loop_.RunDeferred([kept = *place] {
        if (!kept->closed()) {
          kept->directory_.Tell(*kept);
        }
      });
    } else if (!directory_.silent_) {
      const std::string list = directory_.Whole(agent_.gateway);
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
  directory_.loop_.RunDeferred([kept = *place] {});
  agent_.connections.erase(place);
}

// ---- The directory ------------------------------------------------------------------------------

Directory::Directory(EventLoop& loop, Ledger& ledger, size_t gateways, Duration empty_every)
    : loop_(loop), ledger_(ledger), gateways_(gateways), empty_every_(empty_every) {}

Directory::~Directory() {
  loop_.CancelTimer(beat_);
}

const Address& Directory::AddressOf(size_t gateway) const {
  return agents_[gateway]->address;
}

void Directory::Start(const std::vector<ListedHost>& hosts) {
  for (const ListedHost& host : hosts) {
    history_.push_back({++revision_, host});
  }
  first_ = revision_;
  Move();
  Beat();
}

void Directory::Move() {
  for (auto& agent : agents_) {
    agent->listener.reset();
    loop_.RunAfter(kMovedFor, [was = agent.get(), alive = std::weak_ptr(alive_)] {
      if (alive.expired()) {
        return;
      }
      while (!was->connections.empty()) {
        was->connections.front()->OnError();
      }
    });
    moved_.push_back(std::move(agent));
  }
  agents_.clear();
  for (size_t i = 0; i < gateways_; ++i) {
    agents_.push_back(std::make_unique<Agent>());
    Agent& agent = *agents_.back();
    agent.gateway = i;
    agent.address = LoopbackAddress(kAgentPlaces + moves_ * gateways_ + i);
    agent.listener =
        std::make_unique<Listener>(loop_, agent.address, [this, &agent](FileDescriptor fd) {
          agent.connections.push_back(std::make_shared<Connection>(*this, agent, std::move(fd)));
          Connection& connection = *agent.connections.back();
          connection.place = std::prev(agent.connections.end());
          if (!connection.Start()) {
            connection.OnError();
          }
        });
  }
  ++moves_;
}

void Directory::Change(const ListedHost& host, Duration lag) {
  loop_.RunAfter(lag + lag_, [this, host, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    history_.push_back({++revision_, host});
    TellAll();
  });
}

std::vector<const ListedHost*> Directory::At(uint64_t revision) const {
  std::map<std::string_view, const ListedHost*> last;
  for (const Version& v : history_) {
    if (v.revision <= revision) {
      last[v.host.id] = &v.host;
    }
  }
  std::vector<const ListedHost*> out;
  for (const auto& [id, host] : last) {
    if (host->phase != Phase::kLeft) {
      out.push_back(host);
    }
  }
  return out;
}

std::string Directory::Members(const std::vector<const ListedHost*>& hosts, uint64_t revision,
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

void Directory::CountTold(size_t gateway, const std::vector<const ListedHost*>& hosts, bool whole) {
  ++told_;
  for (const ListedHost* const host : hosts) {
    if (host->phase != Phase::kActive) {
      ledger_.OnGatewayNotified(Now(), gateway, host->host_index);
    }
  }
  if (!whole) {
    return;
  }
  // Whoever is not in it is gone.
  std::unordered_set<std::string_view> present;
  for (const ListedHost* const host : hosts) {
    present.insert(host->id);
  }
  for (const Version& v : history_) {
    if (!present.contains(v.host.id)) {
      ledger_.OnGatewayNotified(Now(), gateway, v.host.host_index);
    }
  }
}

std::string Directory::Whole(size_t gateway) {
  const uint64_t revision = old_ ? first_ : revision_;
  const auto hosts = At(revision);
  if (!old_) {
    CountTold(gateway, hosts, true);
  }
  return Members(hosts, revision, true);
}

void Directory::Tell(Connection& connection) {
  if (silent_) {
    return;
  }
  std::string text;
  if (std::exchange(connection.whole, false)) {
    text = Chunk(Whole(connection.agent().gateway) + "\n");
    connection.since = old_ ? first_ : revision_;
  } else if (!old_) {
    std::vector<const ListedHost*> changed;
    uint64_t last = connection.since;
    for (size_t i = connection.since; i < history_.size(); ++i) {  // in the order of revisions
      changed.push_back(&history_[i].host);
      last = history_[i].revision;
    }
    if (!changed.empty()) {
      CountTold(connection.agent().gateway, changed, false);
      text = Chunk(Members(changed, last, false) + "\n");
      connection.since = last;
    }
  }
  if (malformed_) {
    text += Chunk(kNonsense[told_++ % std::size(kNonsense)]);
  }
  if (connection.watches && !std::exchange(connection.headed, true)) {
    text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text;
    if (text.ends_with("\r\n\r\n")) {
      text += Chunk("\n");
    }
  }
  if (!text.empty()) {
    connection.Write(std::move(text));
  }
}

void Directory::TellAll() {
  for (const auto& agent : agents_) {
    for (const auto& connection : agent->connections) {
      if (connection->watches) {
        Tell(*connection);
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

void Directory::Beat() {
  beat_ = loop_.RunAfter(empty_every_, [this] {
    if (!silent_) {
      for (const auto& agent : agents_) {
        for (const auto& connection : agent->connections) {
          if (connection->watches && connection->headed) {
            connection->Write(Chunk("\n"));
          }
        }
      }
    }
    Beat();
  });
}

void Directory::Silent(bool on) {
  silent_ = on;
  if (!on) {
    TellAll();
  }
}

void Directory::Malformed(bool on) {
  malformed_ = on;
  if (on) {
    TellAll();
  }
}

void Directory::Old(bool on) {
  old_ = on;
  CloseWatches();  // the agent is another now, which lags or has caught up
}

}  // namespace paddlestile::lab
