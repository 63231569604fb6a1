// Tests how a member proposes and applies changes, both whole versions and deltas, and how it
// behaves if its content differs from the agreed content.
#include "cluster/cluster_member.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "cluster/codec.h"
#include "cluster/delta.h"
#include "cluster/test_documents.h"
#include "cluster/test_entries.h"
#include "raft/codec.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;
using testing::CanonicalText;
using testing::DeltaEntry;
using testing::ExcludeHostDelta;
using testing::WholeEntry;

// The only voter of a cluster. Records everything that it writes and sends.
struct SingleVoter {
  explicit SingleVoter(bool deltas, size_t compact_after = 8)
      : member(OptionsOf(deltas, compact_after), InitialState(), 7, Time(0)) {}
  static ClusterMember::Options OptionsOf(bool deltas, size_t compact_after) {
    ClusterMember::Options options;
    options.name = "a";
    options.initial_voters = {"a"};
    options.compact_after = compact_after;
    options.deltas = deltas;
    return options;
  }
  static raft::PersistentState InitialState() {
    raft::PersistentState state;
    state.incarnation = 1;
    state.restart_count = 1;
    state.current_term = 1;
    state.log = {{1, raft::LogEntry::Kind::kVoters, {}, {{"a", 1}}}};
    return state;
  }
  template <typename Step>
  void Run(Step&& step) {
    MemberOutput output;
    step(output);
    while (true) {
      const auto writes = std::move(output.writes);
      for (const raft::StorageWrite& write : writes) {
        json::to_cbor(ToJson(write), bytes);
        if (!write.commit_only) {
          durable_sequence_number = write.sequence_number;
        }
      }
      for (const raft::OutgoingMessage& outgoing : output.messages) {
        json::to_cbor(ToJson(outgoing.message), bytes);
        sent.push_back(outgoing.message);
      }
      for (SubmittedResult& submitted : output.results) {
        results.push_back(std::move(submitted.result));
      }
      if (writes.empty()) {
        return;
      }
      output = {};
      member.OnDurable(now, durable_sequence_number, output);
    }
  }
  void Timeout() {
    now += Time(100'000);
    Run([&](MemberOutput& output) { member.OnTimeout(now, output); });
  }
  void Lead() {
    for (int i = 0; i < 30; ++i) {
      Timeout();
    }
    ASSERT_TRUE(member.raft_node().IsLeaderWithLease(now));
  }
  ChangeResult Submit(const std::string& id, const std::string& document, bool delta = false) {
    ChangeRequest request;
    request.change.id = id;
    request.change.document = document;
    request.change.is_delta = delta;
    results.clear();
    Run([&](MemberOutput& output) { member.Submit(now, request, 1, output); });
    for (int i = 0; i < 3 && results.empty(); ++i) {
      Timeout();
    }
    return results.empty() ? ChangeResult{} : results.back();
  }
  ClusterMember member;
  Time now{0};
  uint64_t durable_sequence_number = 0;
  std::string bytes;
  std::vector<raft::Message> sent;
  std::vector<ChangeResult> results;
};

// Builds with and without deltas can be members of the same cluster, so the encoding of whole
// changes on the wire and on disk must be identical to that of builds without deltas.
TEST(ClusterMemberWholeChanges, EncodingIsIdenticalToBuildsWithoutDeltas) {
  SingleVoter voter(false);
  for (int i = 0; i < 40; ++i) {
    voter.Timeout();
    if (i == 20) {
      voter.Run([&](MemberOutput& output) {
        voter.member.OnPeerConnected(voter.now, "b", 2, {}, output);
      });
    }
    if (i < 12 || i > 32) {
      continue;
    }
    ChangeRequest request;
    request.change.id = "c" + std::to_string(i);
    request.change.author = "x";
    request.change.reason = "r";
    request.change.submitted_unix_s = i;
    if (i % 3 == 0) {
      request.change.expected_version = voter.member.history().latest_version();
    }
    request.change.document = R"({"barred":["h)" + std::to_string(i) +
                              R"("],"settings":{"Tenants":[{"Name":"t","QuotaPerS":)" +
                              std::to_string(i / 4) + "}]}}";
    json::to_cbor(ToJson(request), voter.bytes);
    voter.Run([&](MemberOutput& output) { voter.member.Submit(voter.now, request, i, output); });
  }
  // Size and hash of the output of the code before deltas were introduced, at commit 3defdbd.
  EXPECT_EQ(voter.bytes.size(), 28276U);
  EXPECT_EQ(HashOf(voter.bytes), "e433ba2e999c9310121c999c3df930db");
  EXPECT_EQ(voter.member.history().latest_version(), 21U);
  EXPECT_GT(voter.member.raft_node().first_log_index(), 1U);  // the output includes a snapshot
}

// A submitted whole version is replicated as a delta if that is smaller.
TEST(ClusterMemberDeltas, ReplaceWholeVersionsIfSmaller) {
  SingleVoter voter(true, 512);
  voter.Lead();
  json document;
  for (int i = 0; i < 1000; ++i) {
    document["settings"]["Tenants"].push_back(
        {{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  ASSERT_EQ(voter.Submit("one", document.dump()).kind, ChangeResult::Kind::kDone);
  const size_t before = voter.bytes.size();
  document["settings"]["Tenants"][5]["QuotaPerS"] = 7777;
  const ChangeResult result = voter.Submit("two", document.dump());
  EXPECT_EQ(result.kind, ChangeResult::Kind::kDone) << result.text;
  EXPECT_EQ(result.version, 2U);
  EXPECT_LT(voter.bytes.size() - before, 2000U);
  // The entry includes the hash of the result, by which a member detects that its result differs.
  const json entry = json::from_cbor(
      voter.member.raft_node().EntryAt(voter.member.history().versions().back().index).bytes);
  EXPECT_EQ(entry.value("hash", ""), HashOf(voter.member.history().latest_content()));
  EXPECT_EQ(ToText(voter.member.history().latest_content()), CanonicalText(document.dump()));
  const json status = voter.member.Status(voter.now);
  EXPECT_EQ(status["changes"], "delta");
  EXPECT_LT(status["change_bytes"], 100);
  EXPECT_GT(status["version_bytes"], 20'000);
  EXPECT_EQ(status["content"], "agreed");
  // For an entirely different version, the whole version is smaller than the delta.
  EXPECT_EQ(voter.Submit("three", "{}").kind, ChangeResult::Kind::kDone);
  EXPECT_EQ(voter.member.Status(voter.now)["change_bytes"], CanonicalText("{}").size());
  EXPECT_EQ(voter.Submit("four", ExcludeHostDelta(1), true).kind, ChangeResult::Kind::kDone);
  EXPECT_TRUE(voter.member.history().latest_content().excluded.contains("h1"));
  const ChangeResult refused = voter.Submit("five", R"({"settings":{"Allowed":3}})", true);
  EXPECT_EQ(refused.kind, ChangeResult::Kind::kRefused);
  EXPECT_EQ(refused.text, "the version that it makes: settings.Allowed: expected an object");
}

// Each delta is computed relative to the result of the previous changes, which are not committed
// yet.
TEST(ClusterMemberDeltas, ApplyAfterUncommittedOnes) {
  SingleVoter voter(true);
  voter.Lead();
  MemberOutput output;
  const std::pair<const char*, bool> changes[] = {{R"({"barred":["a1","a2","a3"]})", false},
                                                  {R"({"barred":["a1","a2","a3","a4"]})", false},
                                                  {R"({"barred":{"remove":["a2"]}})", true}};
  uint64_t request_number = 10;
  for (const auto& [document, delta] : changes) {
    ChangeRequest request;
    request.change.id = std::to_string(++request_number);
    request.change.document = document;
    request.change.is_delta = delta;
    voter.member.Submit(voter.now, request, request_number, output);
  }
  EXPECT_EQ(voter.member.history().latest_version(), 0U);
  voter.Run([&](MemberOutput& pending_output) { pending_output = std::move(output); });
  EXPECT_EQ(voter.member.history().latest_version(), 3U);
  EXPECT_EQ(ToText(voter.member.history().latest_content()),
            CanonicalText(R"({"barred":["a1","a3","a4"]})"));
  EXPECT_EQ(voter.member.history().content_mismatch(), "");
}

// A leader that proposes whole changes refuses a delta with an error message. A build without
// deltas must not interpret a delta as a valid version.
TEST(ClusterMemberDeltas, AreRefusedByALeaderWithWholeChanges) {
  SingleVoter voter(false);
  voter.Lead();
  const ChangeResult result = voter.Submit("one", ExcludeHostDelta(1), true);
  EXPECT_EQ(result.kind, ChangeResult::Kind::kRefused);
  EXPECT_EQ(result.text,
            "a delta, and a leads with whole changes, expected changes = \"delta\" in its "
            "operator's file");
  ChangeRequest request;
  request.change.id = "x";
  request.change.is_delta = true;
  request.change.document = R"({"zone_only":{"h":"z"}})";
  const json encoded = ToJson(request);
  EXPECT_FALSE(ValidateDocument(encoded[7].get<std::string>()).empty());
  const auto decoded = ParseChangeRequest(encoded);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_TRUE(decoded->change.is_delta);
  EXPECT_EQ(decoded->change.document, request.change.document);
}

// A follower that is configured for whole changes, whose leader proposes deltas.
struct Follower {
  explicit Follower(bool votes = false)
      : member(SingleVoter::OptionsOf(false, 512), InitialState(votes), 3, Time(0)) {}
  static raft::PersistentState InitialState(bool votes) {
    raft::PersistentState state;
    state.incarnation = 5;
    state.restart_count = 1;
    state.current_term = 1;
    state.log = {{1, raft::LogEntry::Kind::kVoters, {}, {{"l", 9}}}};
    if (votes) {
      state.log[0].voters = {{"l", 9}, {"a", 5}, {"c", 6}};
    }
    return state;
  }
  MemberOutput Append(std::vector<std::string> entries) {
    raft::Message message;
    message.from = "l";
    message.to = "a";
    message.from_incarnation = 9;
    message.term = 1;
    message.index = index;
    message.index_term = 1;
    now += Time(1000);
    message.asked_at = now;
    for (std::string& bytes : entries) {
      message.entries.push_back({1, raft::LogEntry::Kind::kData, bytes, {}});
    }
    index += message.entries.size();
    message.commit_index = index;
    MemberOutput output;
    member.OnMessage(now, message, output);
    return output;
  }
  ClusterMember member;
  Time now{0};
  raft::Index index = 1;
};

TEST(ClusterMemberDeltas, AreAppliedByAFollowerWithWholeChanges) {
  Follower follower;
  VersionHistory leader;
  for (int i = 0; i < 3; ++i) {
    const std::string entry = DeltaEntry(leader, "c" + std::to_string(i), ExcludeHostDelta(i));
    leader.Apply(i + 1, entry);
    follower.Append(
        {entry, EncodeInForceEntry(leader.latest_version(), leader.versions().back().hash)});
    leader.Apply(100 + i, EncodeInForceEntry(leader.latest_version()));
  }
  EXPECT_EQ(follower.member.CurrentConfig(follower.now).kind, EffectiveConfig::Kind::kAgreed);
  EXPECT_EQ(follower.member.CurrentConfig(follower.now).version_in_force, 3U);
  EXPECT_EQ(follower.member.ContentOf(follower.member.CurrentConfig(follower.now)),
            leader.latest_content());
}

std::string TenantQuotas(int tenants, int first_quota) {
  json document;
  for (int i = 0; i < tenants; ++i) {
    document["settings"]["Tenants"].push_back(
        {{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i == 0 ? first_quota : i}});
  }
  return document.dump();
}

// A member that receives a long log of large whole versions applies each one in a separate event.
// Applying all of them in one event would delay requests.
TEST(ClusterMemberWholeChanges, LongLogOfLargeVersionsIsAppliedInParts) {
  Follower follower;
  VersionHistory leader;
  std::vector<std::string> entries;
  for (int i = 0; i < 30; ++i) {
    entries.push_back(WholeEntry("c" + std::to_string(i), TenantQuotas(2000, i)));
    leader.Apply(2 * i + 2, entries.back());
    entries.push_back(EncodeInForceEntry(leader.latest_version(), leader.versions().back().hash));
    leader.Apply(2 * i + 3, entries.back());
  }
  follower.Append(entries);
  EXPECT_LE(follower.member.history().latest_version(), 1U);
  int events = 1;
  for (; follower.member.raft_node().HasEntriesToApply(); ++events) {
    ASSERT_EQ(follower.member.NextTimeout(), Time(0));
    const uint64_t before = follower.member.history().latest_version();
    MemberOutput output;
    follower.member.OnTimeout(follower.now, output);
    EXPECT_LE(follower.member.history().latest_version(), before + 1);
  }
  EXPECT_GE(events, 30);
  EXPECT_EQ(follower.member.CurrentConfig(follower.now).version_in_force, 30U);
  EXPECT_EQ(follower.member.ContentOf(follower.member.CurrentConfig(follower.now)),
            leader.latest_content());
}

std::string QuotaDelta(int quota) {
  return R"({"settings":{"Tenants":{"t0":{"QuotaPerS":)" + std::to_string(quota) + "}}}}";
}

// A long log of deltas: one event applies a bounded number of them, independent of the version's
// size.
TEST(ClusterMemberDeltas, LongLogIsAppliedInParts) {
  for (const int tenants : {10, 4000}) {
    Follower follower;
    VersionHistory leader;
    std::vector<std::string> entries = {WholeEntry("first", TenantQuotas(tenants, 0))};
    leader.Apply(2, entries.back());
    follower.Append(entries);
    entries.clear();
    for (int i = 1; i <= 200; ++i) {
      entries.push_back(DeltaEntry(leader, "c" + std::to_string(i), QuotaDelta(i)));
      leader.Apply(2 * i + 2, entries.back());
      entries.push_back(EncodeInForceEntry(leader.latest_version(), leader.versions().back().hash));
      leader.Apply(2 * i + 3, entries.back());
    }
    follower.Append(entries);
    int events = 1;
    for (uint64_t before = 1; follower.member.raft_node().HasEntriesToApply(); ++events) {
      EXPECT_LE(follower.member.history().latest_version(), before + 8) << tenants;
      before = follower.member.history().latest_version();
      MemberOutput output;
      follower.member.OnTimeout(follower.now, output);
    }
    EXPECT_GE(events, 25) << tenants;
    EXPECT_LE(events, 60) << tenants;
    EXPECT_EQ(follower.member.CurrentConfig(follower.now).version_in_force, 201U);
    EXPECT_EQ(follower.member.ContentOf(follower.member.CurrentConfig(follower.now)),
              leader.latest_content());
  }
}

// To compute the entry of a change, a leader applies all its unapplied entries. A leader with many
// of them would stall for each change, so it accepts none until it has caught up.
TEST(ClusterMemberDeltas, AreNotAcceptedByALeaderThatIsCatchingUp) {
  SingleVoter voter(true, 512);
  voter.Lead();
  MemberOutput output;
  for (int i = 0; i < 3; ++i) {
    ChangeRequest request;
    request.change.id = "c" + std::to_string(i);
    request.change.document = TenantQuotas(1000, 1000 + i);
    voter.member.Submit(voter.now, request, 10 + i, output);
  }
  const uint64_t last_sequence_number = output.writes.back().sequence_number;
  output = {};
  voter.member.OnDurable(voter.now, last_sequence_number, output);
  ASSERT_TRUE(voter.member.raft_node().HasEntriesToApply());
  ChangeRequest request;
  request.change.id = "late";
  request.change.document = "{}";
  voter.durable_sequence_number = last_sequence_number;
  output = {};
  voter.member.Submit(voter.now, request, 20, output);
  ASSERT_EQ(output.results.size(), 1U);
  EXPECT_EQ(output.results[0].result.kind, ChangeResult::Kind::kNoLeader);
  EXPECT_EQ(output.results[0].result.text, "a leads, and catches up");
  while (voter.member.raft_node().HasEntriesToApply()) {
    voter.Timeout();
  }
  EXPECT_EQ(voter.Submit("late", "{}").kind, ChangeResult::Kind::kDone);
}

// Whether the member requests votes once it no longer hears from its leader.
bool RequestsVotes(Follower& follower) {
  bool requests_votes = false;
  for (int i = 0; i < 30; ++i) {
    follower.now += Time(100'000);
    MemberOutput output;
    follower.member.OnTimeout(follower.now, output);
    requests_votes =
        requests_votes ||
        std::ranges::any_of(output.messages, [](const raft::OutgoingMessage& outgoing) {
          return outgoing.message.type == raft::Message::Type::kRequestVote;
        });
  }
  return requests_votes;
}

// A voter that has missed a version numbers all later ones incorrectly. As leader, it would impose
// its numbers on all members. Otherwise only the `lab world` simulation detects that it campaigns.
TEST(ClusterMemberContentMismatch, VoterThatMissedAVersionRequestsNoVotes) {
  VersionHistory leader;
  const std::string first = DeltaEntry(leader, "c0", ExcludeHostDelta(0));
  leader.Apply(1, first);
  const std::string second = DeltaEntry(leader, "c1", ExcludeHostDelta(1));
  const std::string formed = EncodeFormedEntry();
  Follower complete(true), missed(true);
  complete.Append({formed, first, second});
  EXPECT_TRUE(RequestsVotes(complete));
  missed.Append({formed, second});
  ASSERT_TRUE(missed.member.history().numbering_mismatch());
  EXPECT_FALSE(RequestsVotes(missed));
}

TEST(ClusterMemberContentMismatch, IsolatesTheMemberAndIsLoggedOnce) {
  for (const bool votes : {false, true}) {
    Follower follower(votes);
    VersionHistory leader;
    const std::string first = DeltaEntry(leader, "c0", ExcludeHostDelta(0));
    leader.Apply(1, first);
    const std::string second = DeltaEntry(leader, "c1", ExcludeHostDelta(1));
    leader.Apply(2, second);
    follower.Append({first, EncodeInForceEntry(1, leader.versions().front().hash)});
    ASSERT_EQ(follower.member.CurrentConfig(follower.now).kind, EffectiveConfig::Kind::kAgreed);
    Change other;
    other.id = "c1";
    other.is_delta = true;
    other.document = ExcludeHostDelta(8);
    MemberOutput output =
        follower.Append({EncodeChangeEntry(other, {1, leader.versions().back().hash})});
    EXPECT_EQ(follower.member.CurrentConfig(follower.now).kind, EffectiveConfig::Kind::kIsolated);
    EXPECT_TRUE(follower.member.ContentOf(follower.member.CurrentConfig(follower.now)).strict);
    EXPECT_EQ(follower.member.content_mismatch_count(), 1U);
    const auto count_logged = [](const MemberOutput& logged) {
      return std::ranges::count_if(logged.log, [](const std::string& line) {
        return line.find("content differs from the agreed content") != std::string::npos;
      });
    };
    EXPECT_EQ(count_logged(output), 1);
    // A voter keeps its storage, because other members may need it; an operator has to replace it.
    EXPECT_EQ(output.needs_resync.empty(), votes);
    output = follower.Append({DeltaEntry(leader, "c2", ExcludeHostDelta(2))});
    EXPECT_EQ(count_logged(output), 0);
    EXPECT_EQ(follower.member.content_mismatch_count(), 1U);
    EXPECT_NE(follower.member.Status(follower.now)["content"], "agreed");
  }
}

}  // namespace
}  // namespace paddlestile::cluster
