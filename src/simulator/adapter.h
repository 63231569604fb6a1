// The simulator's adapter: runs many instances of the decision module over one pair of streams.
#ifndef PADDLESTILE_SIMULATOR_ADAPTER_H_
#define PADDLESTILE_SIMULATOR_ADAPTER_H_

#include <istream>
#include <ostream>

namespace paddlestile::simulator {

// Replies to batches until the input ends. An instance whose decision module throws is reported as
// failed and destroyed; the others go on. Returns the exit code: 0 after a clean end, 1 after
// malformed input, which one line on `err` describes.
int RunAdapter(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace paddlestile::simulator

#endif  // PADDLESTILE_SIMULATOR_ADAPTER_H_
