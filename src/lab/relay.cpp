#include "lab/relay.h"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "event/stream.h"

namespace paddlestile::lab {
namespace {
constexpr Duration kPace{50'000};      // us; between two pieces of a slow link
constexpr size_t kHeldMost = 4 << 20;  // bytes of one way; then its reader waits
}  // namespace

class Relay::Pipe {
 public:
  Pipe(Relay& relay, Socket from, Socket to)
      : relay_(relay),
        from_(*this, relay, std::move(from), false, relay.there),
        to_(*this, relay, std::move(to), true, relay.back) {
    from_.other = &to_;
    to_.other = &from_;
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe() {
    relay_.loop_.CancelTimer(from_.timer);
    relay_.loop_.CancelTimer(to_.timer);
  }
  void Start() {
    from_.stream.Start();
    to_.stream.Start();
  }
  void Changed() {
    from_.Pass();
    to_.Pass();
  }
  void End() {
    if (std::exchange(over_, true)) {
      return;
    }
    from_.stream.CloseByReset();
    to_.stream.CloseByReset();
    relay_.loop_.RunDeferred([this, relay = &relay_, alive = std::weak_ptr(relay_.alive_)] {
      if (!alive.expired()) {
        relay->pipes_.erase(this);
      }
    });
  }

 private:
  // One of the two peers; what it sends goes to the other.
  struct Side final : Stream::Listener {
    Side(Pipe& of, Relay& relay, Socket socket, bool connecting, RelayWay& its)
        : pipe(of),
          loop(relay.loop_),
          way(its),
          stream(relay.loop_, std::move(socket), this, connecting) {
      stream.set_max_unread_bytes(kHeldMost);
    }
    void OnData() override {
      std::string bytes(stream.input().view());
      stream.input().Consume(bytes.size());
      if (!bytes.empty()) {
        TamperOutgoing(bytes);
        std::uniform_real_distribution<double> delay(way.delay_ms.low,
                                                     std::max(way.delay_ms.low, way.delay_ms.high));
        const Duration after(static_cast<int64_t>(delay(pipe.relay_.random_) * 1000));
        last = std::max(last, loop.Now() + after);
        held.emplace_back(last, std::move(bytes));
      }
      ended = ended || stream.ended();
      Pass();
    }
    void OnError() override {
      ended = true;
      Pass();
    }
    void TamperOutgoing(std::string& bytes) {
      auto& random = pipe.relay_.random_;
      if (way.noise <= 0 || std::uniform_real_distribution<double>(0, 1)(random) >= way.noise) {
        return;
      }
      switch (random() % 3) {
        case 0: {
          char& byte = bytes[random() % bytes.size()];
          byte = static_cast<char>(byte ^ (1 << random() % 8));
          return;
        }
        case 1:
          bytes += std::string(bytes);
          return;
        default:
          bytes.resize(random() % bytes.size() + 1);
          return;
      }
    }
    // What is due goes on, unless the way is cut.
    void Pass() {
      loop.CancelTimer(timer);
      while (way.cuts == 0 && !held.empty()) {
        const Time now = loop.Now(), due = held.front().first;
        const Time next = way.bytes_per_s > 0 ? std::max(due, paced + kPace) : due;
        if (now < next) {
          timer = loop.RunAfter(next - now, [this] { Pass(); });
          return;
        }
        paced = now;
        // Taken off first: the peer's end may be noticed within the write, and this run again.
        std::string bytes = std::move(held.front().second);
        held.pop_front();
        const size_t piece = std::max<size_t>(1, way.bytes_per_s / 20);
        if (way.bytes_per_s > 0 && bytes.size() > piece) {
          held.emplace_front(due, bytes.substr(piece));
          bytes.resize(piece);
        }
        other->stream.Write(std::move(bytes));
      }
      if (ended && held.empty() && way.cuts == 0) {
        pipe.End();
      }
    }

    Pipe& pipe;
    EventLoop& loop;
    RelayWay& way;
    Stream stream;
    Side* other = nullptr;
    std::deque<std::pair<Time, std::string>> held;
    Time last{0}, paced{0};
    EventLoop::TimerId timer;
    bool ended = false;
  };

  Relay& relay_;
  Side from_, to_;
  bool over_ = false;
};

Relay::Relay(EventLoop& loop, const Address& listen, const Address& to, uint64_t seed)
    : loop_(loop), to_(to), random_(seed), listener_(loop, listen, [this](FileDescriptor fd) {
        bool refused = false;
        auto onward = Connect(to_, nullptr, refused);
        if (!onward) {
          return;
        }
        auto pipe =
            std::make_unique<Pipe>(*this, Socket(std::move(fd), nullptr), std::move(*onward));
        Pipe* const at = pipe.get();
        pipes_[at] = std::move(pipe);
        at->Start();
      }) {}

Relay::~Relay() = default;

void Relay::Changed() {
  std::vector<Pipe*> all;
  for (const auto& [at, pipe] : pipes_) {
    all.push_back(at);
  }
  for (Pipe* const pipe : all) {
    pipe->Changed();
  }
}

void Relay::Reset() {
  std::vector<Pipe*> all;
  for (const auto& [at, pipe] : pipes_) {
    all.push_back(at);
  }
  for (Pipe* const pipe : all) {
    pipe->End();
  }
}

}  // namespace paddlestile::lab
