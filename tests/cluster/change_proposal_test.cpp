// What a leader proposes for a change.
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

// A history whose version 1 is not what was agreed.
VersionHistory HistoryWithMismatch() {
  VersionHistory agreed, misapplied;
  agreed.Apply(1, DeltaEntry(agreed, "c0", ExcludeHostDelta(0)));
  misapplied.Apply(1, EncodeChangeEntry(DeltaChange("c0", 7), {0, agreed.versions()[0].hash}));
  return misapplied;
}

// A leader whose content differs took a delta: all others would have applied it to other content
// than it had validated it with. Only `lab world` noticed where it did.
TEST(MakeChangeProposal, RefusesADeltaWhereTheLeadersContentDiffers) {
  const VersionHistory history = HistoryWithMismatch();
  ASSERT_NE(history.content_mismatch(), "");
  const raft::RaftNode raft_node("a", {}, {}, 7, Time(0));
  const ChangeProposal delta =
      MakeChangeProposal(DeltaChange("c1", 1), history, raft_node, "a", true);
  ASSERT_EQ(delta.faults.size(), 1U);
  EXPECT_NE(delta.faults[0].find("a delta, and the content of a, which leads, is not what was"),
            std::string::npos);
  // A whole version is the same from any leader, and goes without a hash of this one's content.
  Change whole;
  whole.id = "c2";
  whole.document = R"({"barred":["h"]})";
  const ChangeProposal proposal = MakeChangeProposal(whole, history, raft_node, "a", true);
  EXPECT_TRUE(proposal.faults.empty());
  EXPECT_EQ(proposal.entry, EncodeChangeEntry(whole));
}

}  // namespace
}  // namespace paddlestile::cluster
