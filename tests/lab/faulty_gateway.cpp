// A minimal gateway that breaks one rule on purpose, to show that the lab detects it. It sends
// requests to hosts in turn, each on a new connection, without probes or admission control.
//   paddlestile_faulty_gateway MODE [INTERVAL]
// It reads the LB_* variables like a gateway. Each INTERVAL-th request is handled wrongly.
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/gateway_config.h"
#include "discovery/discovery_client.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "http/http_parser.h"
#include "lab/listener.h"

namespace paddlestile {
namespace {

enum class FaultMode {
  kHonest,
  kLose,
  kTwice,
  kKeyLate,
  kKeyGroup,
  kUnsafe,
  kAtOnce,
  kDrain,
  kCold,
  kSwap,
  kRefuse,
  kInvent,
  kCrash,
  kHang,
  kLeak,
  kLeakFds
};
const std::map<std::string, FaultMode> kFaultModes = {
    {"honest", FaultMode::kHonest},      {"lose", FaultMode::kLose},
    {"twice", FaultMode::kTwice},        {"key-late", FaultMode::kKeyLate},
    {"key-group", FaultMode::kKeyGroup}, {"unsafe", FaultMode::kUnsafe},
    {"at-once", FaultMode::kAtOnce},     {"drain", FaultMode::kDrain},
    {"cold", FaultMode::kCold},          {"swap", FaultMode::kSwap},
    {"refuse", FaultMode::kRefuse},      {"invent", FaultMode::kInvent},
    {"crash", FaultMode::kCrash},        {"hang", FaultMode::kHang},
    {"leak", FaultMode::kLeak},          {"leak-fds", FaultMode::kLeakFds}};

struct Request {
  std::string id, class_name, bytes;  // as it is forwarded
};

class FaultyGateway final : public DiscoveryClient::Listener {
 public:
  FaultyGateway(EventLoop& loop, GatewayConfig config, FaultMode mode, int fault_interval)
      : loop_(loop), config_(std::move(config)), mode_(mode), fault_interval_(fault_interval) {
    OnEndpointList(std::move(config_.initial_endpoints));
    discovery_client_ =
        std::make_unique<DiscoveryClient>(loop_, config_.discovery, config_.names, 0, true, this);
    discovery_client_->Start();
    listener_ = std::make_unique<lab::Listener>(loop_, config_.listen, [this](FileDescriptor fd) {
      clients_.push_back(std::make_shared<Client>(*this, std::move(fd)));
      clients_.back()->position = std::prev(clients_.end());
      clients_.back()->stream.Start();
    });
  }

  void OnEndpointList(EndpointList list) override {
    if (list.complete) {
      hosts_.clear();
    }
    for (EndpointListEntry& entry : list.endpoints) {
      std::erase_if(hosts_, [&](const auto& h) { return h.info.id == entry.info.id; });
      const bool up = entry.info.state == EndpointState::kUp;
      // kDrain also uses draining hosts.
      if (up || (mode_ == FaultMode::kDrain && entry.info.state == EndpointState::kDraining)) {
        hosts_.push_back(std::move(entry));
      }
    }
  }
  void OnDiscoveryFailed() override {}

 private:
  struct Client;
  // An attempt on a new connection. `on_done` gets whether the status was 200, and the body.
  struct Attempt final : Stream::Listener {
    Attempt(FaultyGateway& owner, Socket socket, std::function<void(bool, std::string)> done)
        : gateway(owner),
          stream(owner.loop_, std::move(socket), this, true),
          on_done(std::move(done)) {}
    void OnData() override {
      if (parser.Feed(stream.input()) == ParseProgress::kDone) {
        const HttpMessage& message = parser.message();
        return Finish(message.status == 200, std::string(message.body.In(stream.input().view())));
      }
      if (stream.ended()) {
        Finish(false, "");
      }
    }
    void OnError() override { Finish(false, ""); }
    void Finish(bool succeeded, std::string body) {
      if (stream.closed()) {
        return;
      }
      stream.Close();
      gateway.loop_.RunDeferred([kept = *position] {});
      gateway.attempts_.erase(position);
      on_done(succeeded, std::move(body));
    }
    FaultyGateway& gateway;
    Stream stream;
    HttpParser parser{HttpParser::Kind::kResponse, 1 << 20};
    std::function<void(bool, std::string)> on_done;
    std::list<std::shared_ptr<Attempt>>::iterator position;
  };

  struct Client final : Stream::Listener {
    Client(FaultyGateway& owner, FileDescriptor fd)
        : gateway(owner), stream(owner.loop_, Socket(std::move(fd), nullptr), this, false) {}
    void OnData() override {
      if (!busy && parser.Feed(stream.input()) == ParseProgress::kDone) {
        const HttpMessage message = parser.message();
        const Buffer bytes = stream.input().TakeFront(message.total_bytes);
        parser.Reset();
        const std::string_view base = bytes.view();
        if (message.target.In(base) == "/_health") {
          return Answer(200, "");
        }
        Request request;
        request.id = message.FindHeader(base, "X-Call-Id").value_or("");
        request.class_name = message.target.In(base).substr(1);
        request.bytes = std::string(base);
        busy = true;
        gateway.HandleRequest(*position, request);
      }
      if (stream.ended()) {
        Close();
      }
    }
    void OnError() override { Close(); }
    void Close() {
      if (stream.closed()) {
        return;
      }
      stream.Close();
      gateway.loop_.RunDeferred([kept = *position] {});
      gateway.clients_.erase(position);
    }
    void Answer(int status, const std::string& body) {
      if (stream.closed()) {
        return;
      }
      busy = false;
      stream.Write(
          fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body));
    }
    FaultyGateway& gateway;
    Stream stream;
    HttpParser parser{HttpParser::Kind::kRequest};
    bool busy = false;
    std::list<std::shared_ptr<Client>>::iterator position;
  };

  const EndpointListEntry& NextHost(int excluded_zone = -1) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      const EndpointListEntry& host = hosts_[next_host_++ % hosts_.size()];
      if (excluded_zone < 0 || host.info.zone != excluded_zone) {
        return host;
      }
    }
    return hosts_[0];
  }

  void Send(const EndpointListEntry& host, std::string text,
            std::function<void(bool, std::string)> then) {
    bool refused = false;
    auto socket = Connect(host.address, nullptr, refused);
    if (!socket) {
      return then(false, "");
    }
    attempts_.push_back(std::make_shared<Attempt>(*this, std::move(*socket), std::move(then)));
    Attempt& attempt = *attempts_.back();
    attempt.position = std::prev(attempts_.end());
    attempt.stream.Start();
    attempt.stream.Write(std::move(text));
  }

  void HandleRequest(std::shared_ptr<Client> client, const Request& request) {
    const bool keyed = request.class_name == "keyed", unsafe = request.class_name == "unsafe";
    // Counts only the requests that the mode applies to.
    const bool matches_mode = mode_ == FaultMode::kKeyLate || mode_ == FaultMode::kKeyGroup ? keyed
                              : mode_ == FaultMode::kUnsafe || mode_ == FaultMode::kRefuse  ? unsafe
                                                                                            : true;
    const bool is_faulty =
        matches_mode && mode_ != FaultMode::kHonest && ++matching_requests_ % fault_interval_ == 0;
    if (is_faulty && mode_ == FaultMode::kCrash) {
      std::abort();
    }
    if (is_faulty && mode_ == FaultMode::kHang) {
      while (true) {
        pause();
      }
    }
    if (mode_ == FaultMode::kLeak) {
      leaked_.emplace_back(1 << 20, 'x');
    }
    if (mode_ == FaultMode::kLeakFds) {
      dup(STDERR_FILENO);
    }
    EndpointListEntry host = NextHost();
    if (mode_ == FaultMode::kCold) {
      // Sends all requests to the host that started last.
      host = *std::ranges::max_element(hosts_, {}, [](const auto& h) { return h.info.started_at; });
    }
    if (is_faulty && mode_ == FaultMode::kInvent) {
      std::string text = request.bytes;
      text.replace(text.find(request.id), request.id.size(), "nobody-asked");
      Send(NextHost(), text, [](bool, const std::string&) {});
    }
    if (is_faulty && mode_ == FaultMode::kAtOnce) {
      Send(NextHost(), request.bytes, [](bool, const std::string&) {});
    }
    Send(host, request.bytes,
         [this, client, request, is_faulty, zone = host.info.zone](bool good, std::string body) {
           if (is_faulty && (mode_ == FaultMode::kKeyLate || mode_ == FaultMode::kKeyGroup ||
                             mode_ == FaultMode::kUnsafe)) {
             const Duration wait(mode_ == FaultMode::kKeyLate ? 700'000 : 0);
             loop_.RunAfter(wait, [this, client, request, zone] {
               Send(NextHost(mode_ == FaultMode::kKeyGroup ? zone : -1), request.bytes,
                    [client](bool second, const std::string& text) {
                      client->Answer(second ? 200 : 502, text);
                    });
             });
             return;
           }
           if (is_faulty && mode_ == FaultMode::kLose) {
             return client->Close();
           }
           if (is_faulty && mode_ == FaultMode::kRefuse) {
             return client->Answer(503, "");
           }
           if (is_faulty && mode_ == FaultMode::kSwap) {
             return client->Answer(200, last_body_);
           }
           if (good) {
             last_body_ = body;
           }
           client->Answer(good ? 200 : 502, body);
           if (is_faulty && mode_ == FaultMode::kTwice) {
             client->Answer(good ? 200 : 502, body);
           }
         });
  }

  EventLoop& loop_;
  GatewayConfig config_;
  FaultMode mode_;
  int fault_interval_, matching_requests_ = 0;
  std::vector<EndpointListEntry> hosts_;
  size_t next_host_ = 0;
  std::string last_body_ = "nothing yet";
  std::vector<std::string> leaked_;
  std::list<std::shared_ptr<Client>> clients_;
  std::list<std::shared_ptr<Attempt>> attempts_;
  std::unique_ptr<DiscoveryClient> discovery_client_;
  std::unique_ptr<lab::Listener> listener_;
};

}  // namespace
}  // namespace paddlestile

int main(int argc, char** argv) {
  using namespace paddlestile;  // NOLINT: a standalone program
  if (argc < 2 || !kFaultModes.contains(argv[1])) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  signal(SIGTERM, [](int) { _exit(0); });
  // The lab starts a gateway with its signals blocked.
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  EventLoop loop;
  GatewayConfig config =
      ReadGatewayConfig([](const char* name) { return std::getenv(name); },
                        [&](double ms) { return loop.clock().FromUnixMillis(ms); });
  FaultyGateway gateway(loop, std::move(config), kFaultModes.at(argv[1]),
                        argc > 2 ? std::atoi(argv[2]) : 100);
  loop.Run();
}
