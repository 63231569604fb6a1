// The simulator's text protocol: batches of events as input, lists of actions as output, one line
// each. This module only converts between the protocol's words and the types of the decision
// module. The words are defined by the simulator and must not change; only this module and
// config/balancer_settings use them.
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

// Malformed input. what() contains the line number, counted from 1, and the reason.
class ProtocolError : public std::runtime_error {
 public:
  ProtocolError(uint64_t line, const std::string& reason)
      : std::runtime_error("line " + std::to_string(line) + ": " + reason) {}
};

// Creates the decision module of an instance and replaces an existing one.
struct StartInstance {
  Settings settings;
  uint64_t seed = 0;
};

// Destroys the decision module of an instance.
struct RetireInstance {};

// One message for one instance.
struct InstanceEvent {
  int64_t instance = 0;
  std::variant<StartInstance, RetireInstance, Event> event;
};

// The messages of one point in simulated time, in order.
struct Batch {
  Time now{0};
  std::string sequence;  // number of the batch; the reply contains it
  std::vector<InstanceEvent> events;
};

// Reads batches from a stream, which must outlive the reader. The reader stores endpoint lists:
// each is sent once and is then referred to by number, also in later batches.
class ProtocolReader {
 public:
  explicit ProtocolReader(std::istream& in) : in_(in) {}

  // Reads the next batch into `batch`. Returns false if the input ends between two batches. Throws
  // ProtocolError if the input is malformed; the reader must not be used after that.
  bool Next(Batch& batch);

 private:
  using Fields = std::vector<std::string_view>;

  bool GetLine();
  void ParseLine(Batch& batch);
  void ParseEndpointList(const Fields& fields);
  [[nodiscard]] EndpointUpdate ParseEndpointUpdate(const Fields& fields) const;

  std::istream& in_;
  std::string line_;
  uint64_t line_number_ = 0;
  std::map<uint32_t, std::vector<EndpointInfo>> endpoint_lists_;  // by number
};

// Appends the line of an action of an instance to `out`, including the newline.
void PrintAction(int64_t instance, const Action& action, std::string& out);

// Appends the line that reports the decision module of an instance as failed; the simulator does
// not start it again. Line breaks in `reason` are replaced by spaces.
void PrintPanic(int64_t instance, std::string_view reason, std::string& out);

// Appends the line that ends the reply to the batch `sequence`.
void PrintEnd(std::string_view sequence, std::string& out);

}  // namespace paddlestile::simulator

#endif  // PADDLESTILE_SIMULATOR_PROTOCOL_H_
