#include "lab/relay.h"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "event/stream.h"

namespace paddlestile::lab {
namespace {
constexpr Duration kChunkInterval{50'000};   // us; between two chunks on a slow link
constexpr size_t kMaxUnreadBytes = 4 << 20;  // bytes of one direction; then reading pauses
}  // namespace

class Relay::Connection {
 public:
  Connection(Relay& relay, Socket from, Socket to)
      : relay_(relay),
        from_(*this, relay, std::move(from), false, relay.forward),
        to_(*this, relay, std::move(to), true, relay.backward) {
    from_.other = &to_;
    to_.other = &from_;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() {
    relay_.loop_.CancelTimer(from_.timer);
    relay_.loop_.CancelTimer(to_.timer);
  }
  void Start() {
    from_.stream.Start();
    to_.stream.Start();
  }
  void ApplySettings() {
    from_.Forward();
    to_.Forward();
  }
  void Close() {
    if (std::exchange(closed_, true)) {
      return;
    }
    from_.stream.CloseByReset();
    to_.stream.CloseByReset();
    relay_.loop_.RunDeferred([this, relay = &relay_, alive = std::weak_ptr(relay_.alive_)] {
      if (!alive.expired()) {
        relay->connections_.erase(this);
      }
    });
  }

 private:
  // One of the two peers. Its data is forwarded to the other one.
  struct Side final : Stream::Listener {
    Side(Connection& owner, Relay& relay, Socket socket, bool connecting,
         RelayDirection& side_direction)
        : connection(owner),
          loop(relay.loop_),
          direction(side_direction),
          stream(relay.loop_, std::move(socket), this, connecting) {
      stream.set_max_unread_bytes(kMaxUnreadBytes);
    }
    void OnData() override {
      std::string bytes(stream.input().view());
      stream.input().Consume(bytes.size());
      if (!bytes.empty()) {
        TamperOutgoing(bytes);
        std::uniform_real_distribution<double> delay_distribution(
            direction.delay_ms.low, std::max(direction.delay_ms.low, direction.delay_ms.high));
        const Duration added_delay(
            static_cast<int64_t>(delay_distribution(connection.relay_.random_) * 1000));
        last_due = std::max(last_due, loop.Now() + added_delay);
        pending.emplace_back(last_due, std::move(bytes));
      }
      ended = ended || stream.ended();
      Forward();
    }
    void OnError() override {
      ended = true;
      Forward();
    }
    void TamperOutgoing(std::string& bytes) {
      auto& random = connection.relay_.random_;
      if (direction.corrupted_share <= 0 ||
          std::uniform_real_distribution<double>(0, 1)(random) >= direction.corrupted_share) {
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
    // Forwards the data that is due, unless the direction is cut.
    void Forward() {
      loop.CancelTimer(timer);
      while (direction.cuts == 0 && !pending.empty()) {
        const Time now = loop.Now(), due = pending.front().first;
        const Time next =
            direction.bytes_per_s > 0 ? std::max(due, last_chunk_at + kChunkInterval) : due;
        if (now < next) {
          timer = loop.RunAfter(next - now, [this] { Forward(); });
          return;
        }
        last_chunk_at = now;
        // Removed first: the write may detect that the peer has closed and call Forward again.
        std::string bytes = std::move(pending.front().second);
        pending.pop_front();
        const size_t chunk_bytes = std::max<size_t>(1, direction.bytes_per_s / 20);
        if (direction.bytes_per_s > 0 && bytes.size() > chunk_bytes) {
          pending.emplace_front(due, bytes.substr(chunk_bytes));
          bytes.resize(chunk_bytes);
        }
        other->stream.Write(std::move(bytes));
      }
      if (ended && pending.empty() && direction.cuts == 0) {
        connection.Close();
      }
    }

    Connection& connection;
    EventLoop& loop;
    RelayDirection& direction;
    Stream stream;
    Side* other = nullptr;
    std::deque<std::pair<Time, std::string>> pending;
    Time last_due{0}, last_chunk_at{0};
    EventLoop::TimerId timer;
    bool ended = false;
  };

  Relay& relay_;
  Side from_, to_;
  bool closed_ = false;
};

Relay::Relay(EventLoop& loop, const Address& listen, const Address& target, uint64_t seed)
    : loop_(loop),
      target_(target),
      random_(seed),
      listener_(loop, listen, [this](FileDescriptor fd) {
        bool refused = false;
        auto upstream_socket = Connect(target_, nullptr, refused);
        if (!upstream_socket) {
          return;
        }
        auto connection = std::make_unique<Connection>(*this, Socket(std::move(fd), nullptr),
                                                       std::move(*upstream_socket));
        Connection* const key = connection.get();
        connections_[key] = std::move(connection);
        key->Start();
      }) {}

Relay::~Relay() = default;

void Relay::ApplySettings() {
  std::vector<Connection*> open_connections;
  for (const auto& [key, connection] : connections_) {
    open_connections.push_back(key);
  }
  for (Connection* const connection : open_connections) {
    connection->ApplySettings();
  }
}

void Relay::Reset() {
  std::vector<Connection*> open_connections;
  for (const auto& [key, connection] : connections_) {
    open_connections.push_back(key);
  }
  for (Connection* const connection : open_connections) {
    connection->Close();
  }
}

}  // namespace paddlestile::lab
