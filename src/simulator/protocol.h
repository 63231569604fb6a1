// The simulator's text protocol: batches of events in, lists of actions out, one line each. It maps
// the protocol's words to the decision module's types and decides nothing. The words are outside
// names and stay as they are; they stand in this module and in config/balancer_settings alone.
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

// Malformed input. what() names the line, counted from 1, and the reason.
class ProtocolError : public std::runtime_error {
 public:
  ProtocolError(uint64_t line, const std::string& reason)
      : std::runtime_error("line " + std::to_string(line) + ": " + reason) {}
};

// Creates the decision module of an instance, in place of one that it may have.
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

// The messages of one moment of simulated time, in order.
struct Batch {
  Time now{0};
  std::string sequence;  // number of the batch, which the reply repeats
  std::vector<InstanceEvent> events;
};

// Reads batches from a stream, which must outlive the reader. Endpoint lists are sent once and
// referred to by number, in later batches too; the reader keeps them.
class ProtocolReader {
 public:
  explicit ProtocolReader(std::istream& in) : in_(in) {}

  // Reads the next batch into `batch`. False where the input ends between two batches. Throws
  // ProtocolError where it is malformed; the reader is then of no further use.
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

// Appends the line of an action for an instance to `out`, newline included.
void PrintAction(int64_t instance, const Action& action, std::string& out);

// Appends the line that reports an instance's decision module as failed; it is started no more.
void PrintPanic(int64_t instance, std::string_view reason, std::string& out);

// Appends the line that ends the reply to the batch `sequence`.
void PrintEnd(std::string_view sequence, std::string& out);

}  // namespace paddlestile::simulator

#endif  // PADDLESTILE_SIMULATOR_PROTOCOL_H_
