// One gateway as a program: reads its configuration, serves, and drains on SIGTERM.
#ifndef PADDLESTILE_GATEWAY_SERVE_H_
#define PADDLESTILE_GATEWAY_SERVE_H_

#include <functional>
#include <memory>
#include <string>

#include "balancer/load_balancer.h"

namespace paddlestile {

class EventLoop;
class Gateway;
class Lifecycle;
class ClusterAgent;
struct ClusterConfig;
struct GatewayConfig;

struct ServeOptions {
  // Between two lines of counters in the log; 0: on SIGUSR1 and at the end only.
  Duration counters_every{0};
  // The operator's file; empty: the one that LB_OPERATOR names, or none, and all that it could
  // switch on is off.
  std::string operator_file;
  // For tests: makes a cluster agent that misbehaves, in place of the usual one.
  std::function<std::unique_ptr<ClusterAgent>(EventLoop&, ClusterConfig, Gateway&, Lifecycle&,
                                              GatewayConfig)>
      make_cluster_agent;
};

// Runs until SIGTERM or SIGINT, and the drain after that. Takes over the signals of the process and
// reads the LB_* variables. Returns the exit code of the process: 0, or 1, with one line in the
// log, where it cannot start.
int Serve(const ServeOptions& options = {});

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_SERVE_H_
