// Counters of the connections between members.
#ifndef PADDLESTILE_PEER_STATISTICS_H_
#define PADDLESTILE_PEER_STATISTICS_H_

#include <cstdint>

namespace paddlestile::peer {

// All values are counted from the start of the process.
struct PeerStatistics {
  uint64_t connected = 0;     // connections to members that were established
  uint64_t disconnected = 0;  // of those, connections that ended
  uint64_t frames_in = 0;
  uint64_t frames_out = 0;
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t dropped = 0;  // frames not sent because too many bytes were queued
  uint64_t malformed_frames = 0;
  uint64_t checksum_mismatches = 0;  // frames and introductions that were corrupted in transit
  uint64_t unidentified = 0;         // connections rejected because of their introduction
  uint64_t stale_incarnations = 0;   // of those, connections of an earlier process or storage
  uint64_t timed_out = 0;            // connections to members closed because nothing was received
};

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_STATISTICS_H_
