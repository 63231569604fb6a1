// One connection a pair of members on the gateway's loop: who dials, who is let in, what silence
// is. Not secured: for an operator's own network alone. Sending drops where a link's reader is
// slow: what goes on it is sent again by those who need it.
#ifndef PADDLESTILE_PEER_PEER_CONNECTIONS_H_
#define PADDLESTILE_PEER_PEER_CONNECTIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "event/event_loop.h"
#include "event/stream.h"

namespace paddlestile::peer {

inline constexpr int kFormat = 1;  // of all that a link carries

struct LinkOptions {
  std::string bank, name;
  uint64_t life = 0, boot = 0;
  Address listen;
  std::map<std::string, Address> members;  // the others too
  uint64_t seed = 1;                       // of the back-off's jitter
  Duration beat{1'000'000};                // us; something is sent this often
  Duration silent{3'500'000};              // us; a link that hears nothing for so long is ended
  Duration again_least{50'000}, again_most{2'000'000};  // us; between two tries to connect
  Duration hello_within{2'000'000};                     // us
  size_t queued_most = 512 << 10;  // bytes unsent on a link, beyond which what comes is dropped
  size_t strangers_most = 64;      // connections that have not said who they are
};

class Links {
 public:
  class Listener {
   public:
    // What goes with the hello to this member, and came with its.
    virtual nlohmann::json KnownOf(const std::string& name) = 0;
    virtual void OnUp(const std::string& name, uint64_t life, const nlohmann::json& known) = 0;
    virtual void OnDown(const std::string& name) = 0;
    virtual void OnFrame(const std::string& name, const nlohmann::json& value) = 0;
    // An operator's call; Answer ends it.
    virtual void OnCall(uint64_t call, const nlohmann::json& value) = 0;

   protected:
    ~Listener() = default;
  };
  struct Counts {
    uint64_t up = 0, down = 0, frames_in = 0, frames_out = 0, bytes_in = 0, bytes_out = 0;
    uint64_t dropped = 0, nonsense = 0, strangers = 0, old_lives = 0, silent = 0;
  };

  // Listens at once; throws std::system_error.
  Links(EventLoop& loop, Descriptors& budget, LinkOptions options, Listener* listener);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // With whom links are kept; the one of a pair whose name comes first dials.
  void Want(std::set<std::string> names);
  void Send(const std::string& name, const nlohmann::json& value);
  void Answer(uint64_t call, const nlohmann::json& value);
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] size_t linked() const { return up_.size(); }

 private:
  class Listening;
  class Link;
  struct Dial {
    Duration wait{0};
    EventLoop::TimerId timer;
    Link* link = nullptr;  // on its way, or up
  };
  void Accept();
  void DialAll();
  void DialAgain(const std::string& name);
  void Connect(const std::string& name);
  void Drop(Link& link, std::string_view why);
  void Beat();
  void OnHello(Link& link, const nlohmann::json& value);
  [[nodiscard]] nlohmann::json HelloTo(const std::string& name);

  EventLoop& loop_;
  Descriptors& budget_;
  LinkOptions options_;
  Listener* listener_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::mt19937_64 random_;
  std::unique_ptr<Listening> listening_;
  std::set<std::string> wanted_;
  std::map<std::string, Dial> dials_;
  std::map<Link*, std::unique_ptr<Link>> all_;
  std::map<std::string, Link*> up_;
  std::map<uint64_t, Link*> calls_;
  std::map<std::string, std::vector<uint64_t>> old_lives_;
  uint64_t next_call_ = 1;
  size_t strangers_ = 0;
  EventLoop::TimerId beat_;
  Counts counts_;
};

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_PEER_CONNECTIONS_H_
