// The client of the discovery agent: keeps a watch on the endpoint list, polls it where asked,
// connects again after failures.
#ifndef PADDLESTILE_DISCOVERY_DISCOVERY_CLIENT_H_
#define PADDLESTILE_DISCOVERY_DISCOVERY_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "config/gateway_config.h"
#include "config/json.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "http/http_parser.h"

namespace paddlestile {

// Two ways of watching, by who renews a failed watch:
//
//   self-renewing | the client watches from Start on, and again after each failure, with backoff;
//                 | SetWatching has no effect
//   on request    | SetWatching and Poll ask. Where a watch has failed and SetWatching does not
//   come
//                 | in time for the list to stay fresh, the client renews it once by itself
//
// Its connections come from the descriptors' reserve, so that clients cannot shut discovery out.
class DiscoveryClient {
 public:
  class Listener {
   public:
    // A complete list, or changes of the one before.
    virtual void OnEndpointList(EndpointList list) = 0;
    // A watch or a poll failed; the present list stays in effect.
    virtual void OnDiscoveryFailed() = 0;

   protected:
    ~Listener() = default;
  };

  // `revision`: of the endpoint list that is known at the start. `names` and `listener` must
  // outlive the client, `names` until set_names.
  DiscoveryClient(EventLoop& loop, const Address& discovery, const NameTables& names,
                  double revision, bool self_renewing_watch, Listener* listener);
  // Closes its connections without a report.
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // For the lists that come from now on.
  void set_names(const NameTables& names) { names_ = &names; }

  // Begins a self-renewing watch; else without effect.
  void Start();
  // The agent has another address. The watch there begins at once; the one at the address before is
  // kept until the new one has delivered a line, and is not renewed.
  void Redirect(const Address& discovery);
  void SetWatching(bool on);
  // Requests the complete list. Without effect while a poll is in progress.
  void Poll();

  // Of the present list.
  [[nodiscard]] double revision() const { return revision_; }
  // How long a watch may deliver revisions older than the present one before they are accepted.
  void set_max_staleness(Duration limit) { max_staleness_ = limit; }
  // Limit on a line of the watch, and on the response to a poll; longer ones are not accepted.
  void set_max_list_bytes(size_t bytes) { max_list_bytes_ = bytes; }
  // The wait after a list that is too long: `first`, doubled each time up to `max`.
  void set_oversize_backoff(Duration first, Duration max) {
    oversize_backoff_first_ = first;
    oversize_backoff_max_ = max;
  }

 private:
  class Call;

  // Exponential backoff after lists that are too long. They come in full, megabytes each, and are
  // as long a moment later: the retry interval of other failures would be permanent heavy traffic.
  struct Backoff {
    int tries = 0;  // since a list was accepted
    Time until{0};
  };

  void Open(std::unique_ptr<Call>& call, bool watch);
  // Frees the call after the running handler, which may be its own.
  void Close(std::unique_ptr<Call>& call);

  // ---- Reports of the calls.
  void OnDelivered(const Call& call);
  void OnCallFailed(Call& call, std::string_view reason);
  void OnOversizedList(Call& call);
  // Each is false where the text is no valid list; that is counted and logged.
  bool Parse(JsonParser& parser, std::string_view text);
  bool AcceptList(const Call& source, JsonParser& parser, bool must_be_complete);
  bool OnMalformed(std::string_view reason);
  // True, without effect, unless the list is older than the present one.
  bool RecordStaleness(double list_revision);
  [[nodiscard]] bool StaleForTooLong() const;

  // ---- Retries.
  // The wait before the next watch, after a call that last showed the agent reachable at that time.
  [[nodiscard]] Duration RetryDelay(Time reachable_at) const;
  Duration NextOversizeDelay(Backoff& backoff) const;
  void ReportFailure(bool watch, Duration retry_delay);
  void ScheduleWatch(Duration delay);
  void ResetBackoff();

  EventLoop& loop_;
  Address discovery_;
  const NameTables* names_;
  double revision_;
  bool self_renewing_watch_;
  Listener* listener_;
  std::unique_ptr<Call> watch_, poll_;    // null: none in progress
  std::unique_ptr<Call> previous_watch_;  // at the address before, until watch_ has delivered
  bool watch_has_delivered_ = false;      // a line of watch_ has come
  Time stale_since_{-1};  // since when lists are older than the present one; -1: they are not
  Duration max_staleness_ = std::chrono::seconds(15);  // agents lag by some seconds on bad days
  int consecutive_watch_failures_ = 0;
  EventLoop::TimerId retry_timer_, poll_retry_timer_;
  // Watch on request: a failure was reported, and SetWatching has not come since.
  bool failure_reported_ = false;
  Backoff watch_backoff_, poll_backoff_;
  size_t max_list_bytes_ = size_t{4} << 20;  // a list of tens of thousands of endpoints
  Duration oversize_backoff_first_ = std::chrono::milliseconds(100);
  Duration oversize_backoff_max_ = std::chrono::seconds(30);
};

}  // namespace paddlestile

#endif  // PADDLESTILE_DISCOVERY_DISCOVERY_CLIENT_H_
