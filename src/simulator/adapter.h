// Runs many instances of the module over one pair of streams.
#ifndef PADDLESTILE_SIMULATOR_ADAPTER_H_
#define PADDLESTILE_SIMULATOR_ADAPTER_H_

#include <istream>
#include <ostream>

namespace paddlestile::simulator {

// Answers batches until the input ends. Returns the exit code: 0 after a clean end, 1 after one
// line on `err` about malformed input.
int RunAdapter(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace paddlestile::simulator

#endif  // PADDLESTILE_SIMULATOR_ADAPTER_H_
