// What the gateway counts of its own work; printed on SIGUSR1 and at exit.
#ifndef PADDLESTILE_BASE_METRICS_H_
#define PADDLESTILE_BASE_METRICS_H_

#include <cstdint>
#include <string>

namespace paddlestile {

// One line a counter: its name, and what it counts.
#define PADDLESTILE_COUNTERS(X)                                        \
  X(clients_accepted)   /* connections from clients */                 \
  X(clients_closed)     /* of those, ended */                          \
  X(clients_reclaimed)  /* idle ones closed for want of descriptors */ \
  X(accept_waits)       /* times that accepting had to wait */         \
  X(health_checks)      /* GET /_health */                             \
  X(admin_calls)        /* operators' calls that could be read */      \
  X(drains)             /* begun by an operator */                     \
  X(hand_overs)         /* of the clients' address, to or from */      \
  X(requests_taken)     /* requests handed to the module */            \
  X(requests_malformed) /* answered 4xx or 5xx without the module */   \
  X(requests_beyond)    /* over the most that may be held */           \
  X(answers_served)     /* 200 */                                      \
  X(answers_refused)    /* 503 */                                      \
  X(answers_failed)     /* 502 */                                      \
  X(answers_passed_on)  /* of those served, as they came */            \
  X(requests_passed_on) /* not held whole */                           \
  X(bodies_cut)         /* that broke off while they passed on */      \
  X(answers_overdue)    /* 502 because the module gave none */         \
  X(clients_left)       /* gone before their answer */                 \
  X(sends)              /* attempts asked for by the module */         \
  X(sends_cold)         /* of those, to a host within its warm-up */   \
  X(sends_draining)     /* of those, to one that drains or left */     \
  X(settled_ok)         /* outcomes of attempts */                     \
  X(settled_error)                                                     \
  X(settled_full)                                                      \
  X(settled_timeout)                                                   \
  X(settled_connect_failed)                                            \
  X(settled_reset)                                                     \
  X(settled_cancelled)                                                 \
  X(settled_moot)                                                      \
  X(settled_unusable)   /* spoilt, or the request blamed */            \
  X(host_connects)      /* connections opened to hosts */              \
  X(host_idle_closed)   /* closed by this side while idle */           \
  X(host_idle_lost)     /* closed by the host while idle */            \
  X(host_no_descriptor) /* sends and probes without a descriptor */    \
  X(host_malformed)     /* answers that no parser took */              \
  X(reports_malformed)  /* load reports that were not understood */    \
  X(probes)                                                            \
  X(probes_ok)                                                         \
  X(config_rereads) /* readings of the file after SIGHUP */            \
  X(config_refused) /* of those, without sense */                      \
  X(list_updates)   /* lists and changes taken over */                 \
  X(list_malformed) /* lists that were not understood */               \
  X(list_too_long)  /* lists past the bound on their size */           \
  X(list_old)       /* lists older than the one held */                \
  X(list_watches)   /* watches begun */                                \
  X(list_fetches)   /* calls for the whole list */                     \
  X(list_failures)  /* watches and calls that failed */                \
  X(module_events)  /* events that the module took */                  \
  X(module_faults)  /* exceptions out of the module */                 \
  X(loop_lagged)    /* rounds of the loop that took over 20 ms */      \
  X(checks_failed)  /* what must hold and did not */

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
