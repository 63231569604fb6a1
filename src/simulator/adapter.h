// Adapter for the simulator: runs many instances of the decision module over one pair of streams.
#ifndef PADDLESTILE_SIMULATOR_ADAPTER_H_
#define PADDLESTILE_SIMULATOR_ADAPTER_H_

#include <istream>
#include <ostream>

namespace paddlestile::simulator {

// Replies to batches until the input ends. An instance whose decision module throws is reported as
// failed and destroyed; the other instances are not affected. Returns the exit code: 0 at the end
// of the input, 1 for malformed input, which is described in one line on `err`.
int RunAdapter(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace paddlestile::simulator

#endif  // PADDLESTILE_SIMULATOR_ADAPTER_H_
