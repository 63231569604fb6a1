// The error for invalid settings, addresses and files.
#ifndef PADDLESTILE_BASE_CONFIG_ERROR_H_
#define PADDLESTILE_BASE_CONFIG_ERROR_H_

#include <stdexcept>

namespace paddlestile {

// what() is a single line that states the problem, its location and what was expected.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_CONFIG_ERROR_H_
