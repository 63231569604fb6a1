// Discovery: the whole list, the watch, and connecting again.
#ifndef PADDLESTILE_DISCOVERY_DISCOVERY_CLIENT_H_
#define PADDLESTILE_DISCOVERY_DISCOVERY_CLIENT_H_

#include <memory>
#include <string>
#include <string_view>

#include "config/gateway_config.h"
#include "config/json.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "http/http_parser.h"

namespace paddlestile {

class DiscoveryClient {
 public:
  class Listener {
   public:
    virtual void OnEndpointList(EndpointList list) = 0;
    // A watch or a call failed; the list held before stays in effect.
    virtual void OnDiscoveryFailed() = 0;

   protected:
    ~Listener() = default;
  };

  // Its two connections come out of the descriptors' reserve: clients must not shut it out.
  // `own_watch`: watch from the start and by itself again after each failure, as where changes are
  // delivered unprompted. Else Follow and Fetch ask, and where a watch has failed and Follow comes
  // too late for what discovery has by then, the next one is begun without it.
  DiscoveryClient(EventLoop& loop, const Address& discovery, const NameTables& names,
                  double revision, bool own_watch, Listener* listener);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Names in the lists that come from now on; they must stay.
  void set_names(const NameTables& names) { names_ = &names; }

  void Start();  // the own watch, if so
  // Discovery is elsewhere from now on. The watch there begins at once; the old one goes on telling
  // until the new one has spoken, and is not begun again.
  void Redirect(const Address& discovery);
  void SetWatching(bool on);
  void Poll();

  [[nodiscard]] double revision() const { return revision_; }
  // How long lists older than the one held are passed over before they are believed.
  void set_max_staleness(Duration most) { max_staleness_ = most; }
  // Longer lists are not taken: a line of the watch, or a whole answer.
  void set_max_list_bytes(size_t bytes) { max_list_bytes_ = bytes; }
  // What asking again waits after a list that is too long, doubled each time up to the most.
  void set_oversize_backoff(Duration first, Duration most) {
    oversize_backoff_first_ = first;
    oversize_backoff_max_ = most;
  }

 private:
  class Call;
  void Open(std::unique_ptr<Call>& call, bool watch);
  void OnDelivered(const Call& call);
  void Close(std::unique_ptr<Call>& call);
  // Each false where what came is no list; that is counted and logged.
  bool Read(JsonParser& parser, std::string_view piece);
  bool AcceptList(const Call& from, JsonParser& parser, bool must_be_whole);
  [[nodiscard]] bool StaleForTooLong() const;
  bool Malformed(std::string_view why);
  void OnCallFailed(Call& call, std::string_view why);
  void OnOversizedList(Call& call);
  [[nodiscard]] Duration WaitAfter(Time alive_at) const;
  void ReportFailure(bool watch, Duration wait);
  void ScheduleWatch(Duration wait);
  void ResetBackoff();

  EventLoop& loop_;
  Address discovery_;
  const NameTables* names_;
  double revision_;
  bool self_renewing_watch_;
  Listener* listener_;
  std::unique_ptr<Call> watch_, poll_;
  std::unique_ptr<Call>
      previous_watch_;                  // the watch at the address before, until watch_ has spoken
  bool watch_has_delivered_ = false;    // watch_ has
  Time stale_since_{-1};                // what it tells is older than the list held; -1: it is not
  Duration max_staleness_{15'000'000};  // us; agents lag by some seconds on bad days
  int consecutive_watch_failures_ = 0;  // of the watch, in a row
  EventLoop::TimerId retry_timer_, poll_retry_timer_;
  bool watch_owed_ = false;  // a failure was told and Follow has not come since, where that asks
  // Exponential back-off after lists that are too long. They come whole, megabytes each, and are as
  // long a moment later: the pace of other failures would never end that traffic.
  struct Backoff {
    int tries = 0;  // since a list was last taken
    Time until{0};
  };
  Backoff watch_backoff_, poll_backoff_;
  size_t max_list_bytes_ = size_t{4} << 20;    // bytes; a list of tens of thousands of hosts
  Duration oversize_backoff_first_{100'000};   // us
  Duration oversize_backoff_max_{30'000'000};  // us
};

}  // namespace paddlestile

#endif  // PADDLESTILE_DISCOVERY_DISCOVERY_CLIENT_H_
