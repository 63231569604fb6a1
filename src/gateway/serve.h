// Runs one gateway: reads its configuration, serves, and drains on SIGTERM or SIGINT.
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
  // The interval at which the counters are logged. With 0 they are logged only on SIGUSR1 and at
  // exit.
  Duration counters_every{0};
  // The path of the operator's file. If it is empty, LB_OPERATOR gives the path. Without either,
  // the gateway is not a member of a cluster.
  std::string operator_file;
  // For tests: creates the cluster agent, for instance one with an injected fault.
  std::function<std::unique_ptr<ClusterAgent>(EventLoop&, ClusterConfig, Gateway&, Lifecycle&,
                                              GatewayConfig)>
      make_cluster_agent;
};

// Serves until SIGTERM or SIGINT, then drains and returns. Handles the signals of the process and
// reads the LB_* environment variables. Returns the exit code of the process: 0, or 1 with one line
// in the log if the gateway cannot start.
int Serve(const ServeOptions& options = {});

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_SERVE_H_
