// The client of the discovery agent: watches the endpoint list, polls it on request, and reconnects
// after failures.
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

// There are two watch modes, which differ in who restarts a failed watch:
//
//   self-renewing | The client starts the watch in Start and restarts it with backoff after each
//                 | failure. SetWatching has no effect.
//   on request    | SetWatching starts and restarts the watch. If it is not called in time after
//                 | a failure, the client restarts the watch once, to keep the list fresh.
//
// In both modes, a watch that is silent stays open while further ones are started beside it, at
// most CallSchedule::kMaxCalls at a time. The first that delivers a list ends the others. The same
// holds for polls.
//
// Connections use the descriptor reserve, so that client connections cannot block discovery.
class DiscoveryClient {
 public:
  class Listener {
   public:
    // Called with a complete list, or with changes to the current one.
    virtual void OnEndpointList(EndpointList list) = 0;
    // Called when a watch or a poll has failed, or is silent so that another was started beside it.
    // The current list stays in effect.
    virtual void OnDiscoveryFailed() = 0;

   protected:
    ~Listener() = default;
  };

  // `revision` is the revision of the endpoint list known at startup. `loop` and `listener` must
  // outlive the client; `names` must stay valid until set_names replaces it.
  DiscoveryClient(EventLoop& loop, const Address& discovery, const NameTables& names,
                  double revision, bool self_renewing_watch, Listener* listener);
  // Closes the connections without calling the listener.
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Sets the name tables used for subsequent lists.
  void set_names(const NameTables& names) { names_ = &names; }

  // Starts a self-renewing watch. Has no effect in on-request mode.
  void Start();
  // Switches to another agent address. The watch there starts immediately. The watch at the
  // previous address is kept until the new one has delivered a line, and is not restarted.
  void Redirect(const Address& discovery);
  // On-request mode: starts the watch unless one is live or has just been started, or stops it.
  void SetWatching(bool on);
  // Requests the complete list. Has no effect while a poll is in progress or scheduled.
  void Poll();

  // The revision of the current list.
  [[nodiscard]] double revision() const { return revision_; }
  // How long a watch may deliver revisions older than the current one before they are accepted.
  void set_max_staleness(Duration limit) { max_staleness_ = limit; }
  // Maximum size of a list in a watch or a poll response. Larger lists are rejected.
  void set_max_list_bytes(size_t bytes) { max_list_bytes_ = bytes; }
  // Retry delay after an oversized list: `first`, doubled after each one up to `max`.
  void set_oversize_backoff(Duration first, Duration max) {
    oversize_backoff_first_ = first;
    oversize_backoff_max_ = max;
  }

 private:
  class Call;
  class CallGroup;

  // Exponential backoff after oversized lists. Each attempt transfers megabytes, and the list is
  // unlikely to shrink soon, so the short retry delay of other failures would cause permanent heavy
  // traffic.
  struct Backoff {
    int tries = 0;  // oversized lists since one was last accepted
    Time until{0};  // no retry before this time
  };

  // Starts a call. If the connection fails immediately, reports that and returns false.
  bool StartCall(CallGroup& group);
  // Stops the call and destroys it after the current event handler, which may be its own.
  void Destroy(std::unique_ptr<Call> call);
  CallGroup& GroupOf(const Call& call);

  // ---- Called by CallGroup.
  // All calls of the group are silent.
  void OnSilence(CallGroup& group);

  // ---- Called by Call.
  // A watch has received a complete line.
  void OnLineReceived(const Call& call);
  void OnCallFailed(Call& call, std::string_view reason);
  void OnOversizedList(Call& call);
  // These return false if the text is not a valid list, which is counted and logged.
  bool Parse(JsonParser& parser, std::string_view text);
  bool AcceptList(const Call& source, JsonParser& parser, bool must_be_complete);
  bool OnMalformed(std::string_view reason);
  // Returns true if the list is not older than the current one. Otherwise counts and logs it.
  bool RecordStaleness(double list_revision);
  [[nodiscard]] bool StaleForTooLong() const;
  // Accepts any revision from the next watch on, and ends those that are open except `current`.
  void ForgetRevision(const Call& current);
  // Ends the other calls of the same kind, after `source` has delivered a list.
  void EndSupersededCalls(const Call& source);

  // ---- Retries.
  // The delay before the next watch. `reachable_at`: when the agent was last known to be reachable.
  [[nodiscard]] Duration RetryDelay(Time reachable_at) const;
  // Counts a failure that is not an oversized list. Returns the delay before the next watch.
  Duration CountFailure(const CallGroup& group, Time reachable_at);
  Duration NextOversizeDelay(Backoff& backoff) const;
  // Schedules the next watch and reports the failure, unless another call of the group continues.
  void RetryAfterFailure(CallGroup& group, Duration retry_delay);
  void ReportFailure(const CallGroup& group);
  void ResetBackoff();

  EventLoop& loop_;
  Address discovery_;
  const NameTables* names_;
  double revision_;
  bool self_renewing_watch_;
  Listener* listener_;
  std::unique_ptr<CallGroup> watches_, polls_;
  std::unique_ptr<Call> previous_watch_;  // at the previous address, until a new one has delivered
  Time stale_since_{-1};  // when received lists became older than the current one; -1: never
  Duration max_staleness_ = std::chrono::seconds(15);  // agents may lag by several seconds
  int consecutive_watch_failures_ = 0;
  // On-request mode: a failure was reported and SetWatching has not been called since.
  bool failure_reported_ = false;
  size_t max_list_bytes_ = size_t{4} << 20;  // enough for tens of thousands of endpoints
  Duration oversize_backoff_first_ = std::chrono::milliseconds(100);
  Duration oversize_backoff_max_ = std::chrono::seconds(30);
};

}  // namespace paddlestile

#endif  // PADDLESTILE_DISCOVERY_DISCOVERY_CLIENT_H_
