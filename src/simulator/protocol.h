// The bench's text wire: batches of event lines in, lists of action lines out. This library knows
// the words; it decides nothing.
#ifndef PADDLESTILE_SIMULATOR_PROTOCOL_H_
#define PADDLESTILE_SIMULATOR_PROTOCOL_H_

#include <cstdint>
#include <istream>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile::simulator {

// Malformed input: what() says the line number and the reason.
class ProtocolError : public std::runtime_error {
 public:
  ProtocolError(uint64_t line, const std::string& reason)
      : std::runtime_error("line " + std::to_string(line) + ": " + reason) {}
};

struct StartInstance {
  Settings settings;
  uint64_t seed = 0;
};
struct RetireInstance {};

// One event as it stood on the wire, for one instance.
struct InstanceEvent {
  int64_t instance = 0;
  std::variant<StartInstance, RetireInstance, Event> event;
};

struct Batch {
  Time now{0};
  std::string sequence;
  std::vector<InstanceEvent> events;
};

// Reads batches from a stream. Numbered lists outlive a batch, so the reader keeps them.
class ProtocolReader {
 public:
  explicit ProtocolReader(std::istream& in) : in_(in) {}
  // False at a clean end of input between two batches; throws ProtocolError on anything malformed.
  bool Next(Batch& batch);

 private:
  bool GetLine();
  void ParseEvent(Batch& batch);
  void ReadRoster(const std::vector<std::string_view>& parts);

  std::istream& in_;
  std::string line_;
  uint64_t line_no_ = 0;
  std::map<uint32_t, std::vector<EndpointInfo>> rosters_;
};

// Settings from path=value pairs; unknown ones are ignored. Throws std::invalid_argument.
Settings ParseSettings(std::string_view facts);

// The names among the pairs that ParseSettings does not look at, in order.
std::vector<std::string> UnreadSettings(std::string_view facts);

// Appends the line of an action for an instance, newline included.
void PrintAction(int64_t instance, const Action& action, std::string& out);
void PrintPanic(int64_t instance, std::string_view reason, std::string& out);
void PrintEnd(std::string_view seq, std::string& out);

}  // namespace paddlestile::simulator

#endif  // PADDLESTILE_SIMULATOR_PROTOCOL_H_
