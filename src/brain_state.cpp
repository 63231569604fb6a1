#include "brain_state.h"

#include <stdexcept>
#include <string>

namespace paddlestile {

void CheckSettings(const Settings& s) {
  const auto need = [](bool ok, const char* name) {
    if (!ok) throw std::invalid_argument(std::string("setting out of range: ") + name);
  };
  need(s.instances >= 1, "NInstances");
  need(!s.classes.empty(), "Classes");
  for (const RequestClass& c : s.classes) {
    need(c.aim > Duration(0), "Classes[].Slo");
    need(c.deadline > Duration(0), "Classes[].Deadline");
    need(c.worth >= 0, "Classes[].Worth");
  }
  need(s.allowed.send_cap >= 1, "Allowed.SendCap");
  need(s.obligations.cold_from >= 0 && s.obligations.cold_from <= 1, "Obligations.ColdFrom");
}

}  // namespace paddlestile
