// Events that a load balancer is given and actions that it asks for. Plain values without
// behaviour: the gateway and the simulator's adapter translate them from and to their own formats.
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
  kUp,        // may get new requests
  kDraining,  // finishes what it has; no new requests
  kRemoved    // has left the list
};

struct EndpointInfo {
  std::string id;
  Time started_at{0};  // of its process; 0: long ago
  int zone = 0;
  size_t machine_kind = 0;  // index; endpoints of one kind have about the same throughput
  int cell = 0;
  double weight = 1;  // as listed; how far to trust it says Settings::weight_kind
  EndpointState state = EndpointState::kUp;
};

enum class EndpointUpdateKind {
  kDelta,   // names only the endpoints that changed
  kFull,    // names all endpoints: one that is absent has been removed
  kCached,  // as kFull, from the gateway's own copy
  kFailed   // no list came: it has to be asked for again
};

struct EndpointUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::kFull;
  std::vector<EndpointInfo> endpoints;
};

struct RequestArrived {
  std::string id;  // unique among the open requests; a repeated one is ignored
  Time deadline{0};
  size_t tenant = 0;  // index into Settings::tenants, past its end without a quota
  bool is_write = false;
  size_t request_class = 0;               // index into Settings::classes
  std::optional<std::string> key;         // requests with the same key share cached work
  std::optional<Duration> expected_work;  // hint by the client
  bool is_client_retry = false;           // where Settings::clients_mark_retries
};

// How an attempt or a probe ended.
enum class Outcome {
  kOk,
  kError,           // error response; may have run
  kRejected,        // rejected by the endpoint before it ran
  kTimeout,         // may have run or still run
  kConnectFailed,   // never reached the endpoint
  kReset,           // the connection broke; may have run
  kCancelled,       // cancelled by the gateway; may have run
  kNotSent,         // never transmitted
  kInvalidResponse  // unreadable response, or one that blames the request; may have run
};

using LoadReport = std::vector<double>;  // values in the order that the settings give

struct ResponseStarted {
  std::string id;
  size_t attempt = 0;
  std::string endpoint;
  Duration elapsed{0};  // since the attempt started
};

struct AttemptFinished {
  std::string id;
  size_t attempt = 0;  // index, in the order of StartAttempt
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};            // since the attempt started
  bool request_finished = false;  // the client has its response: no further attempt is wanted
  std::optional<LoadReport> load_report;
  bool request_consumed = false;  // no longer buffered: no further attempt can be made
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

// `Settings`: new ones, in force for what comes from now on. A request under way keeps its class;
// what was learned stays, by the indices of classes and tenants. Those that are removed keep
// theirs.
using Event = std::variant<EndpointUpdate, RequestArrived, ResponseStarted, AttemptFinished,
                           ClientDisconnected, TimerFired, ProbeFinished, PeerMessage, Settings,
                           TenantQuotaUpdate>;

// ---- Actions --------------------------------------------------------------------------------

// Sends the request to the endpoint.
struct StartAttempt {
  std::string id;
  std::string endpoint;
  Duration timeout{0};  // 0: until the client gives up
};

// Answers the client that the request did not run and may be sent again.
struct RejectRequest {
  std::string id;
  Duration retry_after{0};  // 0: none is named
};

// Answers the client that the request may have run.
struct FailRequest {
  std::string id;
};

struct CancelAttempt {
  std::string id;
  size_t attempt = 0;
};

// Asks for TimerFired with the same token, not before `after` has passed.
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

// Asks for the endpoint list once.
struct PollEndpoints {};

struct LogMessage {
  std::string text;
};

using Action =
    std::variant<StartAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer, StartProbe,
                 CloseIdleConnections, WatchEndpoints, PollEndpoints, LogMessage>;

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_EVENTS_H_
