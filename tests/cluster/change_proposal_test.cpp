// Tests which entries a leader proposes for changes, and which changes it refuses.
#include "cluster/change_proposal.h"

#include <gtest/gtest.h>

#include "cluster/test_documents.h"
#include "cluster/test_entries.h"

namespace paddlestile::cluster {
namespace {

using testing::DeltaEntry;
using testing::ExcludeHostDelta;

Change DeltaChange(const std::string& id, int host) {
  Change change;
  change.id = id;
  change.is_delta = true;
  change.document = ExcludeHostDelta(host);
  return change;
}

// Returns a history whose version 1 differs from the agreed one.
VersionHistory HistoryWithMismatch() {
  VersionHistory agreed, misapplied;
  agreed.Apply(1, DeltaEntry(agreed, "c0", ExcludeHostDelta(0)));
  misapplied.Apply(1, EncodeChangeEntry(DeltaChange("c0", 7), {0, agreed.versions()[0].hash}));
  return misapplied;
}

// A leader whose content differs must not accept a delta: the other members would apply it to other
// content than the leader validated it with. Otherwise only the `lab world` simulation detects
// this.
TEST(MakeChangeProposal, RefusesADeltaIfTheLeadersContentDiffers) {
  const VersionHistory history = HistoryWithMismatch();
  ASSERT_NE(history.content_mismatch(), "");
  const raft::RaftNode raft_node("a", {}, {}, 7, Time(0));
  const ChangeProposal delta =
      MakeChangeProposal(DeltaChange("c1", 1), history, raft_node, "a", true);
  ASSERT_EQ(delta.errors.size(), 1U);
  EXPECT_NE(delta.errors[0].find("a delta, and the content of a, which leads, is not what was"),
            std::string::npos);
  // A whole version does not depend on the leader's content and is proposed without a hash.
  Change whole;
  whole.id = "c2";
  whole.document = R"({"barred":["h"]})";
  const ChangeProposal proposal = MakeChangeProposal(whole, history, raft_node, "a", true);
  EXPECT_TRUE(proposal.errors.empty());
  EXPECT_EQ(proposal.entry, EncodeChangeEntry(whole));
}

}  // namespace
}  // namespace paddlestile::cluster
