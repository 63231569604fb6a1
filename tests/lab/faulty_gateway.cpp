// A small gateway that breaks one rule on purpose: an experiment that still holds with it would
// show nothing. It goes to hosts by turns, on a new connection each time, and asks nobody.
//   paddlestile_faulty_gateway HOW [EVERY]    the LB_* variables as for a gateway; each EVERY-th
//   request
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

enum class How {
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
const std::map<std::string, How> kHows = {
    {"honest", How::kHonest},    {"lose", How::kLose},          {"twice", How::kTwice},
    {"key-late", How::kKeyLate}, {"key-group", How::kKeyGroup}, {"unsafe", How::kUnsafe},
    {"at-once", How::kAtOnce},   {"drain", How::kDrain},        {"cold", How::kCold},
    {"swap", How::kSwap},        {"refuse", How::kRefuse},      {"invent", How::kInvent},
    {"crash", How::kCrash},      {"hang", How::kHang},          {"leak", How::kLeak},
    {"leak-fds", How::kLeakFds}};

struct Request {
  std::string id, cls, text;  // as it goes on
};

class Breaker final : public DiscoveryClient::Listener {
 public:
  Breaker(EventLoop& loop, GatewayConfig config, How how, int every)
      : loop_(loop), config_(std::move(config)), how_(how), every_(every) {
    OnEndpointList(std::move(config_.initial_endpoints));
    list_ =
        std::make_unique<DiscoveryClient>(loop_, config_.discovery, config_.names, 0, true, this);
    list_->Start();
    listener_ = std::make_unique<lab::Listener>(loop_, config_.listen, [this](FileDescriptor fd) {
      clients_.push_back(std::make_shared<Client>(*this, std::move(fd)));
      clients_.back()->place = std::prev(clients_.end());
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
      // Its breach: what drains is as good as any.
      if (up || (how_ == How::kDrain && entry.info.state == EndpointState::kDraining)) {
        hosts_.push_back(std::move(entry));
      }
    }
  }
  void OnDiscoveryFailed() override {}

 private:
  struct Client;
  // One attempt on a connection of its own. `then` hears the body of a 200, or nothing.
  struct Attempt final : Stream::Listener {
    Attempt(Breaker& b, Socket socket, std::function<void(bool, std::string)> t)
        : breaker(b), stream(b.loop_, std::move(socket), this, true), then(std::move(t)) {}
    void OnData() override {
      if (parser.Feed(stream.input()) == ParseProgress::kDone) {
        const HttpMessage& m = parser.message();
        return End(m.status == 200, std::string(m.body.In(stream.input().view())));
      }
      if (stream.ended()) {
        End(false, "");
      }
    }
    void OnError() override { End(false, ""); }
    void End(bool good, std::string body) {
      if (stream.closed()) {
        return;
      }
      stream.Close();
      breaker.loop_.RunDeferred([kept = *place] {});
      breaker.attempts_.erase(place);
      then(good, std::move(body));
    }
    Breaker& breaker;
    Stream stream;
    HttpParser parser{HttpParser::Kind::kResponse, 1 << 20};
    std::function<void(bool, std::string)> then;
    std::list<std::shared_ptr<Attempt>>::iterator place;
  };

  struct Client final : Stream::Listener {
    Client(Breaker& b, FileDescriptor fd)
        : breaker(b), stream(b.loop_, Socket(std::move(fd), nullptr), this, false) {}
    void OnData() override {
      if (!busy && parser.Feed(stream.input()) == ParseProgress::kDone) {
        const HttpMessage m = parser.message();
        const Buffer bytes = stream.input().TakeFront(m.total_bytes);
        parser.Reset();
        const std::string_view base = bytes.view();
        if (m.target.In(base) == "/_health") {
          return Answer(200, "");
        }
        Request request;
        request.id = m.FindHeader(base, "X-Call-Id").value_or("");
        request.cls = m.target.In(base).substr(1);
        request.text = std::string(base);
        busy = true;
        breaker.Take(*place, request);
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
      breaker.loop_.RunDeferred([kept = *place] {});
      breaker.clients_.erase(place);
    }
    void Answer(int status, const std::string& body) {
      if (stream.closed()) {
        return;
      }
      busy = false;
      stream.Write(
          fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body));
    }
    Breaker& breaker;
    Stream stream;
    HttpParser parser{HttpParser::Kind::kRequest};
    bool busy = false;
    std::list<std::shared_ptr<Client>>::iterator place;
  };

  const EndpointListEntry& Next(int zone_not = -1) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      const EndpointListEntry& host = hosts_[turn_++ % hosts_.size()];
      if (zone_not < 0 || host.info.zone != zone_not) {
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
    attempt.place = std::prev(attempts_.end());
    attempt.stream.Start();
    attempt.stream.Write(std::move(text));
  }

  void Take(std::shared_ptr<Client> client, const Request& request) {
    const bool keyed = request.cls == "keyed", unsafe = request.cls == "unsafe";
    // Each breach at its turn among the requests that it is about.
    const bool about = how_ == How::kKeyLate || how_ == How::kKeyGroup ? keyed
                       : how_ == How::kUnsafe || how_ == How::kRefuse  ? unsafe
                                                                       : true;
    const bool now = about && how_ != How::kHonest && ++count_ % every_ == 0;
    if (now && how_ == How::kCrash) {
      std::abort();
    }
    if (now && how_ == How::kHang) {
      while (true) {
        pause();
      }
    }
    if (how_ == How::kLeak) {
      leaked_.emplace_back(1 << 20, 'x');
    }
    if (how_ == How::kLeakFds) {
      dup(STDERR_FILENO);
    }
    EndpointListEntry host = Next();
    if (how_ == How::kCold) {
      // All to the one that started last.
      host = *std::ranges::max_element(hosts_, {}, [](const auto& h) { return h.info.started_at; });
    }
    if (now && how_ == How::kInvent) {
      std::string text = request.text;
      text.replace(text.find(request.id), request.id.size(), "nobody-asked");
      Send(Next(), text, [](bool, const std::string&) {});
    }
    if (now && how_ == How::kAtOnce) {
      Send(Next(), request.text, [](bool, const std::string&) {});
    }
    Send(host, request.text,
         [this, client, request, now, zone = host.info.zone](bool good, std::string body) {
           if (now && (how_ == How::kKeyLate || how_ == How::kKeyGroup || how_ == How::kUnsafe)) {
             const Duration wait(how_ == How::kKeyLate ? 700'000 : 0);
             loop_.RunAfter(wait, [this, client, request, zone] {
               Send(Next(how_ == How::kKeyGroup ? zone : -1), request.text,
                    [client](bool second, const std::string& text) {
                      client->Answer(second ? 200 : 502, text);
                    });
             });
             return;
           }
           if (now && how_ == How::kLose) {
             return client->Close();
           }
           if (now && how_ == How::kRefuse) {
             return client->Answer(503, "");
           }
           if (now && how_ == How::kSwap) {
             return client->Answer(200, last_);
           }
           if (good) {
             last_ = body;
           }
           client->Answer(good ? 200 : 502, body);
           if (now && how_ == How::kTwice) {
             client->Answer(good ? 200 : 502, body);
           }
         });
  }

  EventLoop& loop_;
  GatewayConfig config_;
  How how_;
  int every_, count_ = 0;
  std::vector<EndpointListEntry> hosts_;
  size_t turn_ = 0;
  std::string last_ = "nothing yet";
  std::vector<std::string> leaked_;
  std::list<std::shared_ptr<Client>> clients_;
  std::list<std::shared_ptr<Attempt>> attempts_;
  std::unique_ptr<DiscoveryClient> list_;
  std::unique_ptr<lab::Listener> listener_;
};

}  // namespace
}  // namespace paddlestile

int main(int argc, char** argv) {
  using namespace paddlestile;  // NOLINT: a program of its own
  if (argc < 2 || !kHows.contains(argv[1])) {
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
  Breaker breaker(loop, std::move(config), kHows.at(argv[1]), argc > 2 ? std::atoi(argv[2]) : 100);
  loop.Run();
}
