// Counters of a process, which are logged on SIGUSR1 and at exit, and invariant checks.
#ifndef PADDLESTILE_BASE_METRICS_H_
#define PADDLESTILE_BASE_METRICS_H_

#include <cstdint>
#include <string>

namespace paddlestile {

// The name of each counter, and what it counts.
#define PADDLESTILE_COUNTERS(X)                                                     \
  X(downstream_connections_accepted)  /* connections from clients */                \
  X(downstream_connections_closed)    /* of those, closed */                        \
  X(downstream_connections_reclaimed) /* idle ones closed for their descriptors */  \
  X(accept_waits)                     /* accepting paused without descriptors */    \
  X(accept_wait_longest_ms)           /* longest such wait in the accept queue */   \
  X(refused_client_share)             /* 503: clients use up their share */         \
  X(refused_no_descriptor)            /* 503: none left in the budget */            \
  X(refused_process_limit)            /* 503: none left in the process */           \
  X(refused_new_process_hangs)        /* 503 by an old process */                   \
  X(refused_unread)                   /* closed: no request head in time */         \
  X(health_checks)                    /* GET /_health */                            \
  X(admin_calls)                      /* well-formed calls by operators */          \
  X(drains)                           /* started by an operator */                  \
  X(hot_restarts)                     /* listening sockets handed over, received */ \
  X(requests_admitted)                /* passed to the load balancer */             \
  X(requests_malformed)               /* 4xx or 5xx, not passed to the balancer */  \
  X(requests_over_limit)              /* over the limit on concurrent requests */   \
  X(requests_over_memory)             /* 503: no memory left to hold them */        \
  X(responses_served)                 /* 200 */                                     \
  X(responses_rejected)               /* 503 */                                     \
  X(responses_failed)                 /* 502 */                                     \
  X(responses_streamed)               /* of those served, with a streamed body */   \
  X(requests_streamed)                /* with a streamed body */                    \
  X(bodies_truncated)                 /* streamed bodies that were truncated */     \
  X(responses_overdue)                /* 502: none from the load balancer */        \
  X(clients_disconnected)             /* disconnected before their response */      \
  X(attempts_started)                 /* actions of the load balancer */            \
  X(attempts_to_warming_hosts)        /* of those, to a host in slow start */       \
  X(attempts_to_draining_hosts)       /* of those, to draining or unlisted hosts */ \
  X(attempts_ok)                      /* outcomes of attempts */                    \
  X(attempts_error)                                                                 \
  X(attempts_rejected)                                                              \
  X(attempts_timeout)                                                               \
  X(attempts_connect_failed)                                                        \
  X(attempts_reset)                                                                 \
  X(attempts_cancelled)                                                             \
  X(attempts_not_sent)                                                              \
  X(attempts_invalid_response)   /* malformed, or blames the request */             \
  X(upstream_connections_opened) /* connections to hosts */                         \
  X(upstream_idle_closed)        /* idle ones closed by the gateway */              \
  X(upstream_idle_lost)          /* idle ones closed by the host */                 \
  X(upstream_no_descriptor)      /* attempts and probes without a descriptor */     \
  X(upstream_malformed)          /* malformed responses */                          \
  X(load_reports_malformed)      /* malformed load reports */                       \
  X(probes)                                                                         \
  X(probes_ok)                                                                      \
  X(config_rereads)           /* reloads after SIGHUP */                            \
  X(config_rejected)          /* of those, invalid */                               \
  X(discovery_updates)        /* lists and changes accepted */                      \
  X(discovery_malformed)      /* malformed lists */                                 \
  X(discovery_too_long)       /* lists over the size limit */                       \
  X(discovery_stale)          /* lists older than the current one */                \
  X(discovery_watches)        /* watches started */                                 \
  X(discovery_polls)          /* requests for the complete list */                  \
  X(discovery_failures)       /* watches and calls that failed */                   \
  X(load_balancer_events)     /* events handled */                                  \
  X(load_balancer_exceptions) /* exceptions from the load balancer */               \
  X(loop_lagged)              /* rounds of the event loop over 20 ms */             \
  X(invariant_failures)       /* failed PADDLESTILE_CHECKs */

struct Counters {
#define PADDLESTILE_FIELD(name) uint64_t name = 0;
  PADDLESTILE_COUNTERS(PADDLESTILE_FIELD)
#undef PADDLESTILE_FIELD

  // Returns the non-zero counters as name=value, separated by spaces.
  [[nodiscard]] std::string ToText() const;
};

// Returns the counters of this process. Not thread-safe.
Counters& GlobalCounters();

// Counts a failed check and logs the first 20. Always returns false.
bool CheckFailed(const char* condition, const char* file, int line);

}  // namespace paddlestile

// Checks an invariant. A failure aborts a debug build. In a release build it is counted and the
// macro evaluates to false, so that the caller can return safely.
#ifdef NDEBUG
#define PADDLESTILE_CHECK(condition) \
  (static_cast<bool>(condition) || ::paddlestile::CheckFailed(#condition, __FILE__, __LINE__))
#else
#include <cassert>
#define PADDLESTILE_CHECK(condition) (assert(condition), true)
#endif

#endif  // PADDLESTILE_BASE_METRICS_H_
