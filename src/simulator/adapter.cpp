#include "simulator/adapter.h"

#include <exception>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "balancer/load_balancer.h"
#include "simulator/protocol.h"

namespace paddlestile::simulator {
namespace {

// The decision modules of all instances.
class Instances {
 public:
  // Passes a message to its instance and appends the reply. Ignores messages for an instance that
  // does not exist.
  void Handle(const InstanceEvent& message, Time now, std::string& reply) {
    actions_.clear();
    try {
      Apply(message, now);
      for (const Action& action : actions_) {
        PrintAction(message.instance, action, reply);
      }
    } catch (const std::exception& error) {
      load_balancers_.erase(message.instance);
      PrintPanic(message.instance, error.what(), reply);
    }
  }

 private:
  void Apply(const InstanceEvent& message, Time now) {
    if (const auto* const start = std::get_if<StartInstance>(&message.event)) {
      load_balancers_.insert_or_assign(message.instance,
                                       LoadBalancer(start->settings, start->seed));
      return;
    }
    if (std::holds_alternative<RetireInstance>(message.event)) {
      load_balancers_.erase(message.instance);
      return;
    }
    const auto instance = load_balancers_.find(message.instance);
    if (instance != load_balancers_.end()) {
      instance->second.Handle(now, std::get<Event>(message.event), actions_);
    }
  }

  std::map<int64_t, LoadBalancer> load_balancers_;  // by instance
  std::vector<Action> actions_;                     // of the current message
};

}  // namespace

int RunAdapter(std::istream& in, std::ostream& out, std::ostream& err) {
  ProtocolReader reader(in);
  Instances instances;
  Batch batch;
  std::string reply;
  try {
    while (reader.Next(batch)) {
      reply.clear();
      for (const InstanceEvent& message : batch.events) {
        instances.Handle(message, batch.now, reply);
      }
      PrintEnd(batch.sequence, reply);
      out << reply << std::flush;
    }
  } catch (const ProtocolError& error) {
    err << "paddlestile_simulator_adapter: " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace paddlestile::simulator
