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

class List {
 public:
  class Listener {
   public:
    virtual void OnList(HostList list) = 0;
    // A watch or a call failed; the list held before stays in effect.
    virtual void OnListFailed() = 0;

   protected:
    ~Listener() = default;
  };

  // Its two connections come out of the descriptors' reserve: clients must not shut it out.
  // `own_watch`: watch from the start and by itself again after each failure, as where changes are
  // delivered unprompted. Else Follow and Fetch ask, and where a watch has failed and Follow comes
  // too late for what discovery has by then, the next one is begun without it.
  List(EventLoop& loop, const Address& discovery, const Names& names, double revision,
       bool own_watch, Listener* listener);
  ~List();
  List(const List&) = delete;
  List& operator=(const List&) = delete;

  // Names in the lists that come from now on; they must stay.
  void SetNames(const Names& names) { names_ = &names; }

  void Start();  // the own watch, if so
  // Discovery is elsewhere from now on. The watch there begins at once; the old one goes on telling
  // until the new one has spoken, and is not begun again.
  void Redirect(const Address& discovery);
  void Follow(bool on);
  void Fetch();

  [[nodiscard]] double revision() const { return revision_; }
  // How long lists older than the one held are passed over before they are believed.
  void set_most_behind(Duration most) { most_behind_ = most; }
  // Longer lists are not taken: a line of the watch, or a whole answer.
  void set_most_list(size_t bytes) { most_list_ = bytes; }
  // What asking again waits after a list that is too long, doubled each time up to the most.
  void set_too_long_waits(Duration first, Duration most) {
    too_long_first_ = first;
    too_long_most_ = most;
  }

 private:
  class Call;
  void Open(std::unique_ptr<Call>& call, bool watch);
  void Spoken(const Call& call);
  void Close(std::unique_ptr<Call>& call);
  // Each false where what came is no list; that is counted and logged.
  bool Read(JsonParser& parser, std::string_view piece);
  bool Take(const Call& from, JsonParser& parser, bool must_be_whole);
  [[nodiscard]] bool BehindForLong() const;
  bool Malformed(std::string_view why);
  void Failed(Call& call, std::string_view why);
  void TooLong(Call& call);
  [[nodiscard]] Duration WaitAfter(Time alive_at) const;
  void TellFailed(bool watch, Duration wait);
  void Again(Duration wait);
  void ForgetBackOff();

  EventLoop& loop_;
  Address discovery_;
  const Names* names_;
  double revision_;
  bool own_watch_;
  Listener* listener_;
  std::unique_ptr<Call> watch_, fetch_;
  std::unique_ptr<Call> old_;         // the watch at the address before, until watch_ has spoken
  bool spoken_ = false;               // watch_ has
  Time behind_since_{-1};             // what it tells is older than the list held; -1: it is not
  Duration most_behind_{15'000'000};  // us; agents lag by some seconds on bad days
  int failures_ = 0;                  // of the watch, in a row
  EventLoop::TimerId again_, fetch_again_;
  bool owed_ = false;  // a failure was told and Follow has not come since, where that asks
  // Exponential back-off after lists that are too long. They come whole, megabytes each, and are as
  // long a moment later: the pace of other failures would never end that traffic.
  struct BackOff {
    int tries = 0;  // since a list was last taken
    Time until{0};
  };
  BackOff watch_off_, fetch_off_;
  size_t most_list_ = size_t{4} << 20;  // bytes; a list of tens of thousands of hosts
  Duration too_long_first_{100'000};    // us
  Duration too_long_most_{30'000'000};  // us
};

}  // namespace paddlestile

#endif  // PADDLESTILE_DISCOVERY_DISCOVERY_CLIENT_H_
