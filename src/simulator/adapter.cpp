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

void Apply(const simulator::Input& input, Time now, std::map<int64_t, Brain>& brains,
           std::vector<Action>& actions) {
  if (const auto* start = std::get_if<simulator::Start>(&input.what)) {
    brains.insert_or_assign(input.instance, Brain(start->settings, start->seed));
  } else if (std::holds_alternative<simulator::Retire>(input.what)) {
    brains.erase(input.instance);
  } else if (const auto brain = brains.find(input.instance); brain != brains.end()) {
    brain->second.Handle(now, std::get<Event>(input.what), actions);
  }
}

}  // namespace

int RunHost(std::istream& in, std::ostream& out, std::ostream& err) {
  simulator::Reader reader(in);
  simulator::Batch batch;
  std::map<int64_t, Brain> brains;
  std::vector<Action> actions;
  std::string reply;
  try {
    while (reader.Next(batch)) {
      reply.clear();
      for (const simulator::Input& input : batch.inputs) {
        actions.clear();
        try {
          Apply(input, batch.now, brains, actions);
          for (const Action& action : actions) simulator::Print(input.instance, action, reply);
        } catch (const std::exception& error) {
          brains.erase(input.instance);
          simulator::PrintPanic(input.instance, error.what(), reply);
        }
      }
      simulator::PrintEnd(batch.seq, reply);
      out << reply << std::flush;
    }
  } catch (const simulator::WireError& error) {
    err << "paddlestile_simulator_adapter: " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace paddlestile::simulator
