// One gateway as a program: reads what it is told, serves, and leaves in good order on SIGTERM.
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
  // Between two lines of counters in the log; 0: on SIGUSR1 and at the end alone.
  Duration counters_every{0};
  // The operator's file; empty: what LB_OPERATOR names, or none, and all that it could switch on is
  // off.
  std::string operator_file;
  // Of tests: another part in the bank than the honest one.
  std::function<std::unique_ptr<ClusterAgent>(EventLoop&, ClusterConfig, Gateway&, Lifecycle&,
                                              GatewayConfig)>
      membership;
};

// Runs until it is told to leave; the process's signals and the LB_* variables are its own. The
// process's exit code: 0, or 1 with one line in the log where it cannot start.
int Serve(const ServeOptions& options = {});

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_SERVE_H_
