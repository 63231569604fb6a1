// What the gateway counts of its own work; printed on SIGUSR1 and at exit.
#ifndef PADDLESTILE_BASE_METRICS_H_
#define PADDLESTILE_BASE_METRICS_H_

#include <cstdint>
#include <string>

namespace paddlestile {

// One line a counter: its name, and what it counts.
#define PADDLESTILE_COUNTERS(X)                                                      \
  X(downstream_connections_accepted)  /* connections from clients */                 \
  X(downstream_connections_closed)    /* of those, ended */                          \
  X(downstream_connections_reclaimed) /* idle ones closed for want of descriptors */ \
  X(accept_waits)                     /* times that accepting had to wait */         \
  X(health_checks)                    /* GET /_health */                             \
  X(admin_calls)                      /* operators' calls that could be read */      \
  X(drains)                           /* begun by an operator */                     \
  X(hot_restarts)                     /* of the clients' address, to or from */      \
  X(requests_admitted)                /* requests handed to the module */            \
  X(requests_malformed)               /* answered 4xx or 5xx without the module */   \
  X(requests_over_limit)              /* over the most that may be held */           \
  X(responses_served)                 /* 200 */                                      \
  X(responses_rejected)               /* 503 */                                      \
  X(responses_failed)                 /* 502 */                                      \
  X(responses_streamed)               /* of those served, as they came */            \
  X(requests_streamed)                /* not held whole */                           \
  X(bodies_truncated)                 /* that broke off while they passed on */      \
  X(responses_overdue)                /* 502 because the module gave none */         \
  X(clients_disconnected)             /* gone before their answer */                 \
  X(attempts_started)                 /* attempts asked for by the module */         \
  X(attempts_to_warming_hosts)        /* of those, to a host within its warm-up */   \
  X(attempts_to_draining_hosts)       /* of those, to one that drains or left */     \
  X(attempts_ok)                      /* outcomes of attempts */                     \
  X(attempts_error)                                                                  \
  X(attempts_rejected)                                                               \
  X(attempts_timeout)                                                                \
  X(attempts_connect_failed)                                                         \
  X(attempts_reset)                                                                  \
  X(attempts_cancelled)                                                              \
  X(attempts_not_sent)                                                               \
  X(attempts_invalid_response)   /* spoilt, or the request blamed */                 \
  X(upstream_connections_opened) /* connections opened to hosts */                   \
  X(upstream_idle_closed)        /* closed by this side while idle */                \
  X(upstream_idle_lost)          /* closed by the host while idle */                 \
  X(upstream_no_descriptor)      /* sends and probes without a descriptor */         \
  X(upstream_malformed)          /* answers that no parser took */                   \
  X(load_reports_malformed)      /* load reports that were not understood */         \
  X(probes)                                                                          \
  X(probes_ok)                                                                       \
  X(config_rereads)           /* readings of the file after SIGHUP */                \
  X(config_rejected)          /* of those, without sense */                          \
  X(discovery_updates)        /* lists and changes taken over */                     \
  X(discovery_malformed)      /* lists that were not understood */                   \
  X(discovery_too_long)       /* lists past the bound on their size */               \
  X(discovery_stale)          /* lists older than the one held */                    \
  X(discovery_watches)        /* watches begun */                                    \
  X(discovery_polls)          /* calls for the whole list */                         \
  X(discovery_failures)       /* watches and calls that failed */                    \
  X(load_balancer_events)     /* events that the module took */                      \
  X(load_balancer_exceptions) /* exceptions out of the module */                     \
  X(loop_lagged)              /* rounds of the loop that took over 20 ms */          \
  X(invariant_failures)       /* what must hold and did not */

struct Counters {
#define PADDLESTILE_FIELD(name) uint64_t name = 0;
  PADDLESTILE_COUNTERS(PADDLESTILE_FIELD)
#undef PADDLESTILE_FIELD

  // All that are not zero, as name=value with spaces between.
  [[nodiscard]] std::string ToText() const;
};

// Those of this process.
Counters& GlobalCounters();

// Counts a thing that must hold and did not, and logs the first few. Always false.
bool CheckFailed(const char* what, const char* file, int line);

}  // namespace paddlestile

// What must hold: ends a debug build, is counted in a release build. Its value is whether it held,
// so that the caller can leave safely.
#ifdef NDEBUG
#define PADDLESTILE_CHECK(condition) \
  (static_cast<bool>(condition) || ::paddlestile::CheckFailed(#condition, __FILE__, __LINE__))
#else
#include <cassert>
#define PADDLESTILE_CHECK(condition) (assert(condition), true)
#endif

#endif  // PADDLESTILE_BASE_METRICS_H_
