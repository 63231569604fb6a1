// Maps the external names of settings to `Settings` of the decision module. The simulator sends the
// settings as path=value pairs ("Classes.0.Slo=250"), and the gateway flattens its JSON file to the
// same pairs. The external names must not change; no other code uses them.
#ifndef PADDLESTILE_CONFIG_BALANCER_SETTINGS_H_
#define PADDLESTILE_CONFIG_BALANCER_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"
#include "config/json.h"

namespace paddlestile {

// Parses settings from pairs separated by one space. Times are in milliseconds. Unknown names are
// ignored, and a value of "-" means that the setting is absent. Throws wire::InvalidValue (a
// std::invalid_argument) with the name of the first setting that is malformed or out of range.
Settings ParseSettings(std::string_view pairs);

// Returns the names in `pairs` that ParseSettings does not read, in alphabetical order. Throws like
// ParseSettings.
std::vector<std::string> UnreadSettings(std::string_view pairs);

// Flattens the settings of a JSON object to pairs. Nested names are joined by dots, an array of
// objects becomes "NAME.count=N" and "NAME.I.FIELD=..", and any other array "NAME=A,B". Spaces and
// commas within a string become '_'. Names that would be ambiguous in this format are left out.
std::string FlattenSettings(const Json& settings);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_BALANCER_SETTINGS_H_
