#include "simulator/adapter.h"

#include <exception>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "balancer/load_balancer.h"
#include "simulator/protocol.h"

namespace paddlestile::simulator {
namespace {

void Apply(const simulator::InstanceEvent& input, Time now, std::map<int64_t, LoadBalancer>& brains,
           std::vector<Action>& actions) {
  if (const auto* start = std::get_if<simulator::StartInstance>(&input.event)) {
    brains.insert_or_assign(input.instance, LoadBalancer(start->settings, start->seed));
  } else if (std::holds_alternative<simulator::RetireInstance>(input.event)) {
    brains.erase(input.instance);
  } else if (const auto brain = brains.find(input.instance); brain != brains.end()) {
    brain->second.Handle(now, std::get<Event>(input.event), actions);
  }
}

}  // namespace

int RunAdapter(std::istream& in, std::ostream& out, std::ostream& err) {
  simulator::ProtocolReader reader(in);
  simulator::Batch batch;
  std::map<int64_t, LoadBalancer> brains;
  std::vector<Action> actions;
  std::string reply;
  try {
    while (reader.Next(batch)) {
      reply.clear();
      for (const simulator::InstanceEvent& input : batch.events) {
        actions.clear();
        try {
          Apply(input, batch.now, brains, actions);
          for (const Action& action : actions) {
            simulator::PrintAction(input.instance, action, reply);
          }
        } catch (const std::exception& error) {
          brains.erase(input.instance);
          simulator::PrintPanic(input.instance, error.what(), reply);
        }
      }
      simulator::PrintEnd(batch.sequence, reply);
      out << reply << std::flush;
    }
  } catch (const simulator::ProtocolError& error) {
    err << "paddlestile_simulator_adapter: " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace paddlestile::simulator
