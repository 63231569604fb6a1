#include "simulator/adapter.h"

#include <exception>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "balancer/load_balancer.h"
#include "simulator/protocol.h"

namespace paddlestile {
namespace {

void Apply(const wire::Input& input, Time now, std::map<int64_t, Brain>& brains,
           std::vector<Action>& actions) {
  if (const auto* start = std::get_if<wire::Start>(&input.what)) {
    brains.insert_or_assign(input.instance, Brain(start->settings, start->seed));
  } else if (std::holds_alternative<wire::Retire>(input.what)) {
    brains.erase(input.instance);
  } else if (const auto brain = brains.find(input.instance); brain != brains.end()) {
    brain->second.Handle(now, std::get<Event>(input.what), actions);
  }
}

}  // namespace

int RunHost(std::istream& in, std::ostream& out, std::ostream& err) {
  wire::Reader reader(in);
  wire::Batch batch;
  std::map<int64_t, Brain> brains;
  std::vector<Action> actions;
  std::string reply;
  try {
    while (reader.Next(batch)) {
      reply.clear();
      for (const wire::Input& input : batch.inputs) {
        actions.clear();
        try {
          Apply(input, batch.now, brains, actions);
          for (const Action& action : actions) wire::Print(input.instance, action, reply);
        } catch (const std::exception& error) {
          brains.erase(input.instance);
          wire::PrintPanic(input.instance, error.what(), reply);
        }
      }
      wire::PrintEnd(batch.seq, reply);
      out << reply << std::flush;
    }
  } catch (const wire::WireError& error) {
    err << "paddlestile_wirehost: " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace paddlestile
