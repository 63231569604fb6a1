// The mapping of the settings' outside names to `Settings` of the decision module. The simulator
// sends the settings as path=value pairs ("Classes.0.Slo=250"); the gateway flattens its JSON file
// to the same pairs. The outside names stand here and nowhere else.
#ifndef PADDLESTILE_CONFIG_BALANCER_SETTINGS_H_
#define PADDLESTILE_CONFIG_BALANCER_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"
#include "config/json.h"

namespace paddlestile {

// Settings from pairs separated by one space; times are in milliseconds. Pairs of unknown names
// are ignored, and a value of "-" counts as not there. Throws wire::InvalidValue (a
// std::invalid_argument) with the name of the first setting that is malformed or out of range.
Settings ParseSettings(std::string_view pairs);

// The names among the pairs that ParseSettings does not read, in alphabetical order. Throws as
// ParseSettings does.
std::vector<std::string> UnreadSettings(std::string_view pairs);

// The settings of a JSON object as pairs. Nested names are joined by dots, a list of objects
// becomes "NAME.count=N" and "NAME.I.FIELD=..", any other list "NAME=A,B". Spaces and commas within
// a text become '_'. Names that would be ambiguous in that form are left out.
std::string FlattenSettings(const Json& settings);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_BALANCER_SETTINGS_H_
