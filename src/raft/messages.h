// Messages between Raft nodes. raft/codec.h defines their layout on the wire.
#ifndef PADDLESTILE_RAFT_MESSAGES_H_
#define PADDLESTILE_RAFT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "raft/storage_claim.h"
#include "raft/types.h"

namespace paddlestile::raft {

// One struct serves all message types. `from`, `to`, `from_incarnation`, `term` and the two claims
// are set in every message. The other fields are set depending on the type as listed here, with
// the Raft paper's names in parentheses, and otherwise have their default values:
//
//   RequestVote          is_pre_vote   pre-vote: asks whether a vote would be granted
//                        index         the candidate's last index (lastLogIndex)
//                        index_term    the term of that entry (lastLogTerm)
//   RequestVoteReply     is_pre_vote   as in the request
//                        granted       whether the vote is granted (voteGranted)
//   AppendEntries        index         of the entry before `entries` (prevLogIndex)
//                        index_term    the term of that entry (prevLogTerm)
//                        entries       the entries from index + 1 on; none in a heartbeat
//                        commit_index  the leader's (leaderCommit)
//                        sent_at       by the leader's clock, for its lease
//                        asked_at      grants a lease: echoes the value of the latest reply
//   InstallSnapshot      snapshot      the leader's, in place of entries it has compacted
//                        commit_index, sent_at, asked_at  as in AppendEntries
//   AppendEntriesReply   granted       whether the entries or the snapshot were accepted (success)
//                        index         if granted, the last index acknowledged (matchIndex);
//                                      otherwise the last index that may still match
//                        commit_index  the last index applied by the sender
//                        sent_at       as in the request; -1: not a reply to a request
//                        asked_at      requests a lease: the time by the sender's clock
//   StorageClaim         index         the sender's last index; 0 from builds that do not send it
//                        index_term    the term of that entry
struct Message {
  // The numeric values are part of the wire protocol and must not change.
  enum class Type : uint8_t {
    kRequestVote,
    kRequestVoteReply,
    kAppendEntries,
    kAppendEntriesReply,  // also answers InstallSnapshot
    kInstallSnapshot,
    kStorageClaim
  };
  Type type = Type::kAppendEntries;
  std::string from;               // name of the sender
  std::string to;                 // name of the receiver
  uint64_t from_incarnation = 0;  // of the sender's storage
  // The sender's current term; in a pre-vote request, the term in which it would campaign.
  Term term = 0;
  bool is_pre_vote = false;
  bool granted = false;
  Index index = 0;
  Term index_term = 0;
  Index commit_index = 0;
  Time sent_at{0};
  Time asked_at{-1};  // negative: no lease is requested or granted
  std::vector<LogEntry> entries;
  Snapshot snapshot;
  StorageClaim own_claim;          // contents of the sender's storage
  StorageClaim claim_of_receiver;  // the receiver's latest claim known to the sender
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_MESSAGES_H_
