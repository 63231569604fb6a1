// Tests the detection of storage that was rolled back.
#include "raft/storage_claim.h"

#include <gtest/gtest.h>

namespace paddlestile::raft {
namespace {

constexpr OwnStorage kOwn{7, 3, 5, 20};  // third start of incarnation 7: term 5, log up to 20
constexpr Term kCurrentTerm = 6;

TEST(StorageClaimTest, DetectsAClaimThatExceedsStorage) {
  EXPECT_TRUE(IsRolledBack(kOwn, kCurrentTerm, {7, 4, 1, 0}));    // a later start
  EXPECT_TRUE(IsRolledBack(kOwn, kCurrentTerm, {7, 3, 7, 0}));    // a later term
  EXPECT_TRUE(IsRolledBack(kOwn, kCurrentTerm, {7, 2, 6, 0}));    // a term missing at this start
  EXPECT_TRUE(IsRolledBack(kOwn, kCurrentTerm, {7, 2, 5, 21}));   // an entry missing at this start
  EXPECT_FALSE(IsRolledBack(kOwn, kCurrentTerm, {7, 2, 5, 20}));  // nothing is missing
  EXPECT_FALSE(IsRolledBack(kOwn, kCurrentTerm, {7, 2, 4, 30}));  // replaced in a later term
  EXPECT_FALSE(IsRolledBack(kOwn, kCurrentTerm, {7, 3, 6, 99}));  // of this process
  EXPECT_FALSE(IsRolledBack(kOwn, kCurrentTerm, {8, 9, 9, 99}));  // of another incarnation
}

TEST(StorageClaimTest, RemembersTheLatestClaimOfAMember) {
  KnownClaims claims;
  EXPECT_EQ(claims.Of("a").incarnation, 0U);
  claims.Remember("a", {7, 1, 5, 20});
  claims.Remember("a", {7, 1, 4, 99});
  EXPECT_EQ(claims.Of("a").match_index, 20U);
  // The match index survives a restart within the term, but not a change of term.
  claims.Remember("a", {7, 2, 5, 0});
  EXPECT_EQ(claims.Of("a").restart_count, 2U);
  EXPECT_EQ(claims.Of("a").match_index, 20U);
  claims.Remember("a", {7, 2, 6, 1});
  EXPECT_EQ(claims.Of("a").match_index, 1U);
  claims.Remember("a", {});
  EXPECT_EQ(claims.Of("a").incarnation, 7U);
  claims.Remember("a", {8, 1, 1, 0});
  EXPECT_EQ(claims.Of("a").incarnation, 8U);
}

}  // namespace
}  // namespace paddlestile::raft
