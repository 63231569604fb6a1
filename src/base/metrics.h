// What the gateway counts of its own work; printed on SIGUSR1 and at exit.
#ifndef PADDLESTILE_BASE_METRICS_H_
#define PADDLESTILE_BASE_METRICS_H_

#include <cstdint>
#include <string>

namespace paddlestile {

// Counter names, with what each counts. X(name) is expanded once a counter.
#define PADDLESTILE_COUNTERS(X)                                                      \
  X(downstream_connections_accepted)  /* connections from clients */                 \
  X(downstream_connections_closed)    /* of those, ended */                          \
  X(downstream_connections_reclaimed) /* idle ones closed for want of descriptors */ \
  X(accept_waits)                     /* times that accepting had to wait */         \
  X(health_checks)                    /* GET /_health */                             \
  X(admin_calls)                      /* operators' calls that could be read */      \
  X(drains)                           /* begun by an operator */                     \
  X(hot_restarts)                     /* of the clients' address, to or from */      \
  X(requests_admitted)                /* requests given to the load balancer */      \
  X(requests_malformed)               /* answered 4xx or 5xx before that */          \
  X(requests_over_limit)              /* past the limit of unanswered ones */        \
  X(responses_served)                 /* 200 */                                      \
  X(responses_rejected)               /* 503 */                                      \
  X(responses_failed)                 /* 502 */                                      \
  X(responses_streamed)               /* of those served, passed on as they came */  \
  X(requests_streamed)                /* not buffered completely */                  \
  X(bodies_truncated)                 /* that ended early while streamed */          \
  X(responses_overdue)                /* 502, as the load balancer gave none */      \
  X(clients_disconnected)             /* before their response */                    \
  X(attempts_started)                 /* attempts at hosts */                        \
  X(attempts_to_warming_hosts)        /* of those, to a host that warms up */        \
  X(attempts_to_draining_hosts)       /* of those, to a draining or removed one */   \
  X(attempts_ok)                      /* outcomes of attempts */                     \
  X(attempts_error)                                                                  \
  X(attempts_rejected)                                                               \
  X(attempts_timeout)                                                                \
  X(attempts_connect_failed)                                                         \
  X(attempts_reset)                                                                  \
  X(attempts_cancelled)                                                              \
  X(attempts_not_sent)                                                               \
  X(attempts_invalid_response)   /* malformed, or a 4xx */                           \
  X(upstream_connections_opened) /* connections opened to hosts */                   \
  X(upstream_idle_closed)        /* closed by this side while idle */                \
  X(upstream_idle_lost)          /* closed by the host while idle */                 \
  X(upstream_no_descriptor)      /* attempts, probes without descriptor */           \
  X(upstream_malformed)          /* responses that are not HTTP */                   \
  X(load_reports_malformed)      /* load reports that cannot be read */              \
  X(probes)                                                                          \
  X(probes_ok)                                                                       \
  X(config_rereads)           /* configuration files read at SIGHUP */               \
  X(config_rejected)          /* of those, not applied */                            \
  X(discovery_updates)        /* lists and changes applied */                        \
  X(discovery_malformed)      /* lists that cannot be read */                        \
  X(discovery_too_long)       /* lists past the size limit */                        \
  X(discovery_stale)          /* lists older than the one in use */                  \
  X(discovery_watches)        /* watches started */                                  \
  X(discovery_polls)          /* calls for the full list */                          \
  X(discovery_failures)       /* watches and calls that failed */                    \
  X(load_balancer_events)     /* events given to the load balancer */                \
  X(load_balancer_exceptions) /* exceptions that it threw */                         \
  X(loop_lagged)              /* event loop rounds over 20 ms */                     \
  X(invariant_failures)       /* failed checks of invariants */

// The counters of a process; each starts at 0 and only grows.
struct Counters {
#define PADDLESTILE_FIELD(name) uint64_t name = 0;
  PADDLESTILE_COUNTERS(PADDLESTILE_FIELD)
#undef PADDLESTILE_FIELD

  // Counters that are not zero, as "name=value" separated by spaces.
  [[nodiscard]] std::string ToText() const;
};

// The counters of this process.
Counters& GlobalCounters();

// Counts a broken invariant and logs the first 20. Always returns false.
bool CheckFailed(const char* what, const char* file, int line);

}  // namespace paddlestile

// An invariant: a debug build aborts where it does not hold, a release build counts it. The value
// is whether it holds, so that the caller can return safely.
#ifdef NDEBUG
#define PADDLESTILE_CHECK(condition) \
  (static_cast<bool>(condition) || ::paddlestile::CheckFailed(#condition, __FILE__, __LINE__))
#else
#include <cassert>
#define PADDLESTILE_CHECK(condition) (assert(condition), true)
#endif

#endif  // PADDLESTILE_BASE_METRICS_H_
