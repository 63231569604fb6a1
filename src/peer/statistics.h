// Counters of the connections among members.
#ifndef PADDLESTILE_PEER_STATISTICS_H_
#define PADDLESTILE_PEER_STATISTICS_H_

#include <cstdint>

namespace paddlestile::peer {

// All count since the start of the process.
struct PeerStatistics {
  uint64_t connected = 0;     // connections to members that were established
  uint64_t disconnected = 0;  // of those, the ones that ended
  uint64_t frames_in = 0;
  uint64_t frames_out = 0;
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t dropped = 0;  // frames not sent because too much was queued
  uint64_t malformed_frames = 0;
  uint64_t checksum_mismatches = 0;  // frames and introductions that were changed on the way
  uint64_t unidentified = 0;         // connections rejected for their hello
  uint64_t stale_incarnations = 0;   // of those, the ones of an earlier process or storage
  uint64_t timed_out = 0;            // connections to members that ended for silence
};

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_STATISTICS_H_
