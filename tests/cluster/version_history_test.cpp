// Tests which entries create versions, what is kept and saved of them, and that content which
// differs from the agreed content is detected.
#include "cluster/version_history.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cluster/delta.h"
#include "cluster/test_costs.h"
#include "cluster/test_documents.h"
#include "cluster/test_entries.h"
#include "cluster/version_content.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;
using testing::CanonicalText;
using testing::DeltaEntry;
using testing::ExcludeHostDelta;
using testing::KeptTexts;
using testing::LeastMicroseconds;
using testing::RandomDocuments;
using testing::TenantName;
using testing::TenantQuotas;
using testing::WholeEntry;

// If the reply to a change is lost, the change is submitted again. It must take effect only once.
TEST(VersionHistory, AppliesARepeatedChangeOnce) {
  VersionHistory history;
  EXPECT_EQ(history.Apply(1, WholeEntry("x", "{}")).version, 1U);
  const auto repeated = history.Apply(2, WholeEntry("x", R"({"barred":["h"]})"));
  EXPECT_TRUE(repeated.is_repeat);
  EXPECT_EQ(repeated.version, 1U);
  EXPECT_EQ(history.latest_version(), 1U);
  // A refused change remains refused, even if it would be accepted now.
  EXPECT_EQ(history.Apply(3, WholeEntry("y", "{}", 7)).version, 0U);
  EXPECT_EQ(history.Apply(4, WholeEntry("y", "{}")).version, 0U);
}

TEST(VersionHistory, ContradictingVersionNeedsAnInForceEntry) {
  VersionHistory history;
  history.Apply(1, WholeEntry("x", "{}"));
  EXPECT_EQ(history.version_in_force(), 1U);  // an empty document contradicts nothing
  history.Apply(2, WholeEntry("y", R"({"barred":["h"]})"));
  EXPECT_EQ(history.version_in_force(), 1U);
  // The new version is known, and the stricter of the two is in effect.
  EXPECT_TRUE(history.effective_content().excluded.contains("h"));
  history.Apply(3, WholeEntry("z", "{}"));
  // The host must not be used again before the version that allows it is in force.
  EXPECT_TRUE(history.effective_content().excluded.contains("h"));
  history.Apply(4, EncodeInForceEntry(3));
  EXPECT_EQ(history.version_in_force(), 3U);
  EXPECT_FALSE(history.effective_content().excluded.contains("h"));
}

TEST(VersionHistory, IsRestoredFromASnapshot) {
  VersionHistory history, copy;
  for (int i = 0; i < 300; ++i) {
    history.Apply(2 * i + 1, WholeEntry("c" + std::to_string(i),
                                        R"({"barred":["h)" + std::to_string(i) + "\"]}"));
    if (i < 299) {
      history.Apply(2 * i + 2, EncodeInForceEntry(history.latest_version()));
    }
  }
  copy.Load(history.Save());
  EXPECT_EQ(copy.Save(), history.Save());
  EXPECT_EQ(copy.effective_content(), history.effective_content());
  EXPECT_EQ(copy.version_in_force(), 299U);
  EXPECT_EQ(copy.Apply(900, WholeEntry("c298", "{}")).version, 299U);
  EXPECT_LE(history.versions().size(), VersionHistory::kMaxVersions);
}

// ---- Deltas -----------------------------------------------------------------------------------

// Deltas result in the same latest, effective and kept contents as whole versions, also after the
// history was saved and loaded.
TEST(VersionHistoryDeltas, ResultInTheSameVersionsAsWholeOnes) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RandomDocuments documents(seed);
    VersionHistory whole, deltas;
    for (int i = 0; i < 60; ++i) {
      const std::string id = "c" + std::to_string(i);
      const ConfigDocument next = documents.Next();
      const std::string delta = ComputeDelta(deltas.latest_content(), next);
      const std::string entry =
          i % 7 == 3 ? WholeEntry(id, ToText(next)) : DeltaEntry(deltas, id, delta);
      ASSERT_GT(deltas.Apply(2 * i + 1, entry).version, 0U) << seed;
      whole.Apply(2 * i + 1, WholeEntry(id, ToText(next)));
      if (documents.Pick(3) > 0) {
        deltas.Apply(2 * i + 2,
                     EncodeInForceEntry(deltas.latest_version(), deltas.versions().back().hash));
        whole.Apply(2 * i + 2, EncodeInForceEntry(whole.latest_version()));
      }
      if (i % 9 == 8) {
        VersionHistory copy;
        copy.Load(deltas.Save());
        ASSERT_EQ(copy.Save(), deltas.Save());
        deltas = copy;
      }
      ASSERT_EQ(deltas.version_in_force(), whole.version_in_force());
      ASSERT_EQ(deltas.effective_content(), whole.effective_content()) << seed << " " << i;
      ASSERT_EQ(ToText(deltas.latest_content()), ToText(whole.latest_content()));
      if (i % 4 == 0) {
        ASSERT_EQ(KeptTexts(deltas), KeptTexts(whole)) << seed << " " << i;
      }
      ASSERT_EQ(deltas.content_mismatch(), "");
      // A version submitted whole has the hash of its text; one submitted as a delta has the hash
      // of its parts.
      const Version &version = deltas.versions().back(), &whole_version = whole.versions().back();
      ASSERT_EQ(HashOf(*version.content), HashOf(*whole_version.content));
      ASSERT_EQ(version.hash, i % 7 == 3 ? whole_version.hash : HashOf(*whole_version.content));
    }
  }
}

// Of the versions whose content is kept, only the oldest is saved as a whole, and the others as
// deltas. Saving all sixteen as a whole would make snapshots many times larger.
TEST(VersionHistoryDeltas, AreSavedAsDeltas) {
  VersionHistory history;
  json document;
  for (int i = 0; i < 1500; ++i) {
    document["settings"]["Tenants"].push_back(
        {{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  history.Apply(1, WholeEntry("first", document.dump()));
  for (int i = 0; i < 50; ++i) {
    history.Apply(2 * i + 2, DeltaEntry(history, "c" + std::to_string(i), ExcludeHostDelta(i)));
    history.Apply(2 * i + 3,
                  EncodeInForceEntry(history.latest_version(), history.versions().back().hash));
  }
  EXPECT_EQ(KeptTexts(history).size(), VersionHistory::kFullVersions);
  EXPECT_GT(history.latest_bytes(), 40'000U);
  EXPECT_LT(history.Save().size(), 2 * history.latest_bytes());
}

TEST(VersionHistoryDeltas, AreRefusedIfInvalid) {
  VersionHistory history;
  history.Apply(1, WholeEntry("x", R"({"barred":["h"]})"));
  EXPECT_EQ(history.Apply(2, DeltaEntry(history, "late", ExcludeHostDelta(1), 0)).version,
            0U);  // expects an outdated version
  EXPECT_EQ(history.Apply(3, DeltaEntry(history, "y", ExcludeHostDelta(1), 1)).version, 2U);
  EXPECT_TRUE(history.Apply(4, DeltaEntry(history, "y", ExcludeHostDelta(2))).is_repeat);
  Change bad;
  bad.id = "bad";
  bad.is_delta = true;
  bad.document = R"({"settings":{"Allowed":3}})";
  EXPECT_EQ(history.Apply(5, EncodeChangeEntry(bad, {2, ""})).version, 0U);
  EXPECT_EQ(history.content_mismatch(), "");
  EXPECT_EQ(history.latest_version(), 2U);
}

// A member that missed a delta or applied it incorrectly must detect that by itself: it acts on
// content that contradicts the other members', and nothing else reveals it.
TEST(VersionHistoryDeltas, MissedOrMisappliedOnesAreDetected) {
  VersionHistory history, missed, misapplied;
  std::vector<std::string> entries;
  for (int i = 0; i < 3; ++i) {
    entries.push_back(DeltaEntry(history, "c" + std::to_string(i), ExcludeHostDelta(i)));
    history.Apply(i + 1, entries.back());
  }
  missed.Apply(1, entries[0]);
  missed.Apply(3, entries[2]);
  EXPECT_NE(missed.content_mismatch().find("a delta to version 2, the latest is 1 here"),
            std::string::npos)
      << missed.content_mismatch();
  Change other;
  other.id = "c0";
  other.is_delta = true;
  other.document = ExcludeHostDelta(7);
  misapplied.Apply(1, EncodeChangeEntry(other, {0, history.versions()[0].hash}));
  EXPECT_NE(misapplied.content_mismatch().find("version 1 is"), std::string::npos);
  misapplied.Apply(2, entries[1]);
  EXPECT_NE(misapplied.content_mismatch(), "");
  // An in-force entry reveals a mismatch too, also of a version that was submitted whole.
  VersionHistory in_force;
  in_force.Apply(1, WholeEntry("w", R"({"barred":["h"]})"));
  in_force.Apply(2, EncodeInForceEntry(1, "0"));
  EXPECT_NE(in_force.content_mismatch(), "");
  VersionHistory without;
  without.Apply(1, EncodeInForceEntry(4, "0"));
  EXPECT_NE(without.content_mismatch(), "");
  // An entry without a hash reveals no mismatch.
  in_force = {};
  in_force.Apply(1, WholeEntry("w", "{}"));
  in_force.Apply(2, EncodeInForceEntry(1));
  EXPECT_EQ(in_force.content_mismatch(), "");
  // A matching hash of the latest mismatching version or a later one clears the mismatch; that of
  // an earlier version does not.
  misapplied.Apply(3, EncodeInForceEntry(2, history.versions()[1].hash));
  EXPECT_NE(misapplied.content_mismatch(), "");
  misapplied.Apply(4, EncodeInForceEntry(1, misapplied.versions()[0].hash));
  EXPECT_NE(misapplied.content_mismatch(), "") << "version 2 is the latest mismatching one";
  misapplied.Apply(5, WholeEntry("c2", ToText(history.latest_content())));
  misapplied.Apply(6, EncodeInForceEntry(3, history.versions()[2].hash));
  EXPECT_EQ(misapplied.content_mismatch(), "");
}

// A mismatch ends once a whole version is in force, with or without a hash. Otherwise, if all
// members but the leader had a mismatch, they could never agree again. A member that has missed a
// version, however, numbers all later ones incorrectly, and can recover only from a snapshot.
TEST(VersionHistoryDeltas, MismatchEndsWithAWholeVersionInForce) {
  VersionHistory history, misapplied, missed;
  const std::string first = DeltaEntry(history, "c0", ExcludeHostDelta(0));
  history.Apply(1, first);
  Change other;
  other.id = "c0";
  other.is_delta = true;
  other.document = ExcludeHostDelta(7);
  misapplied.Apply(1, EncodeChangeEntry(other, {0, history.versions()[0].hash}));
  missed.Apply(2, DeltaEntry(history, "c1", ExcludeHostDelta(1)));
  for (VersionHistory* const member : {&misapplied, &missed}) {
    ASSERT_NE(member->content_mismatch(), "");
    member->Apply(3, WholeEntry("w", R"({"barred":["h"]})"));
    EXPECT_NE(member->content_mismatch(), "") << "the version is not in force yet";
    member->Apply(4, EncodeInForceEntry(member->latest_version()));
  }
  EXPECT_EQ(misapplied.content_mismatch(), "");
  EXPECT_FALSE(misapplied.numbering_mismatch());
  EXPECT_EQ(ToText(misapplied.effective_content()), CanonicalText(R"({"barred":["h"]})"));
  EXPECT_NE(missed.content_mismatch(), "");
  EXPECT_TRUE(missed.numbering_mismatch());
  missed.Load(history.Save());
  EXPECT_EQ(missed.content_mismatch(), "");
}

// If the last version of a snapshot does not match its stated hash, the content has changed.
TEST(VersionHistoryDeltas, SnapshotIsComparedWithItsHash) {
  VersionHistory history, copy;
  history.Apply(1, DeltaEntry(history, "c", R"({"barred":{"add":["hhhh"]}})"));
  std::string saved = history.Save();
  saved.replace(saved.find("hhhh"), 4, "hhhg");
  copy.Load(saved);
  EXPECT_NE(copy.content_mismatch(), "");
}

// ---- Costs ------------------------------------------------------------------------------------

// Applying a delta must not cost more in a large version, although the contents of sixteen versions
// are kept: they share their equal parts.
TEST(VersionHistory, CostDependsOnTheChangeOnly) {
  double least_us[2] = {};
  for (const bool large : {false, true}) {
    const size_t tenants = large ? 7000 : 100;
    VersionHistory history;
    Change whole;
    whole.id = "whole";
    whole.document = ToText(TenantQuotas(tenants));
    ASSERT_EQ(history.Apply(1, EncodeChangeEntry(whole)).version, 1U);
    history.Apply(2, EncodeInForceEntry(1));
    raft::Index index = 2;
    least_us[large ? 1 : 0] = LeastMicroseconds([&] {
      Change change;
      change.id = std::to_string(index);
      change.is_delta = true;
      change.document = R"({"settings":{"Tenants":{")" + TenantName(index * 7919 % tenants) +
                        R"(":{"QuotaPerS":)" + std::to_string(index) + "}}}}";
      const VersionContent next = ApplyDelta(history.latest_content(), change.document);
      ++index;
      ASSERT_GT(
          history.Apply(index, EncodeChangeEntry(change, {history.latest_version(), HashOf(next)}))
              .version,
          1U);
      ++index;
      history.Apply(index, EncodeInForceEntry(history.latest_version(), HashOf(next)));
      ASSERT_EQ(history.version_in_force(), history.latest_version());
      ASSERT_EQ(history.content_mismatch(), "");
    });
  }
  EXPECT_LT(least_us[1], 6 * least_us[0])
      << "at 100: " << least_us[0] << " us, at 7,000: " << least_us[1];
}

}  // namespace
}  // namespace paddlestile::cluster
