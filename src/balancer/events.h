// The events that a load balancer handles and the actions that it requests. Plain values without
// behaviour; the gateway and the simulator's adapter convert them from and to their own formats.
#ifndef PADDLESTILE_BALANCER_EVENTS_H_
#define PADDLESTILE_BALANCER_EVENTS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "balancer/settings.h"
#include "base/time.h"

namespace paddlestile {

// ---- Events ---------------------------------------------------------------------------------

enum class EndpointState {
  kUp,        // accepts new requests
  kDraining,  // finishes its requests in flight; gets no new ones
  kRemoved    // no longer in the endpoint list
};

struct EndpointInfo {
  std::string id;
  Time started_at{0};  // start of its process; 0: long ago
  int zone = 0;
  size_t machine_kind = 0;  // index; endpoints of one kind have about the same throughput
  int cell = 0;
  double weight = 1;  // as listed; Settings::weight_kind describes how reliable it is
  EndpointState state = EndpointState::kUp;
};

enum class EndpointUpdateKind {
  kDelta,   // contains only the endpoints that changed
  kFull,    // contains all endpoints; endpoints that are absent have been removed
  kCached,  // as kFull, from the gateway's local copy
  kFailed   // the list could not be obtained and has to be requested again
};

struct EndpointUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::kFull;
  std::vector<EndpointInfo> endpoints;
};

struct RequestArrived {
  std::string id;  // unique among the open requests; an arrival with the id of one is ignored
  Time deadline{0};
  size_t tenant = 0;  // index into Settings::tenants; an index past the end has no quota
  bool is_write = false;
  size_t request_class = 0;               // index into Settings::classes
  std::optional<std::string> key;         // requests with the same key share cached work
  std::optional<Duration> expected_work;  // hint from the client
  bool is_client_retry = false;           // set only with Settings::clients_mark_retries
};

// How an attempt or a probe ended.
enum class Outcome {
  kOk,
  kError,           // error response; may have run
  kRejected,        // rejected by the endpoint before it ran
  kTimeout,         // may have run or may still be running
  kConnectFailed,   // never reached the endpoint
  kReset,           // the connection broke; may have run
  kCancelled,       // cancelled by the gateway; may have run
  kNotSent,         // never transmitted
  kInvalidResponse  // unreadable response, or one that blames the request; may have run
};

using LoadReport = std::vector<double>;  // values in the order defined by the settings

struct ResponseStarted {
  std::string id;
  size_t attempt = 0;
  std::string endpoint;
  Duration elapsed{0};  // since the attempt started
};

struct AttemptFinished {
  std::string id;
  size_t attempt = 0;  // index among the request's StartAttempt actions
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};            // since the attempt started
  bool request_finished = false;  // the client has its response; no further attempt is needed
  std::optional<LoadReport> load_report;
  bool request_consumed = false;  // no longer buffered; no further attempt is possible
};

struct ClientDisconnected {
  std::string id;
};

struct TimerFired {
  std::string token;  // as given in SetTimer
};

struct ProbeFinished {
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};  // round-trip time
  std::optional<LoadReport> load_report;
};

struct PeerMessage {
  int from = 0;  // instance index
  std::string bytes;
};

// A `Settings` event replaces the settings for all later events. Open requests keep their request
// class. Learned state is kept by the indices of classes and tenants, so classes and tenants that
// are removed must keep their indices.
using Event = std::variant<EndpointUpdate, RequestArrived, ResponseStarted, AttemptFinished,
                           ClientDisconnected, TimerFired, ProbeFinished, PeerMessage, Settings,
                           TenantQuotaUpdate>;

// ---- Actions --------------------------------------------------------------------------------

// Sends the request to the endpoint.
struct StartAttempt {
  std::string id;
  std::string endpoint;
  Duration timeout{0};  // 0: no timeout, the attempt may last until the client gives up
};

// Responds to the client that the request did not run and may be sent again.
struct RejectRequest {
  std::string id;
  Duration retry_after{0};  // 0: the response has no retry-after
};

// Responds to the client that the request may have run.
struct FailRequest {
  std::string id;
};

struct CancelAttempt {
  std::string id;
  size_t attempt = 0;
};

// Requests a TimerFired event with the same token, no earlier than `after` from now.
struct SetTimer {
  Duration after{0};
  std::string token;
};

struct StartProbe {
  std::string endpoint;
};

// Closes this gateway's idle connections to the endpoint.
struct CloseIdleConnections {
  std::string endpoint;
};

// Subscribes to the endpoint list.
struct WatchEndpoints {
  bool on = true;
};

// Requests the endpoint list once.
struct PollEndpoints {};

struct LogMessage {
  std::string text;
};

using Action =
    std::variant<StartAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer, StartProbe,
                 CloseIdleConnections, WatchEndpoints, PollEndpoints, LogMessage>;

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_EVENTS_H_
