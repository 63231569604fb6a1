#include "event/memory_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <utility>

namespace paddlestile {
namespace {

TEST(MemoryBudgetTest, ReservesUpToTheLimit) {
  MemoryBudget budget(100);
  const auto first = budget.Reserve(60);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->bytes(), 60u);
  EXPECT_FALSE(budget.Reserve(41));
  EXPECT_TRUE(budget.Reserve(40));
  EXPECT_EQ(budget.reserved_bytes(), 60u);
}

TEST(MemoryBudgetTest, MovedReservationIsGivenBackOnce) {
  MemoryBudget budget(100);
  MemoryBudget::Reservation holder;
  {
    auto reservation = budget.Reserve(60);
    ASSERT_TRUE(reservation);
    holder = std::move(*reservation);
  }
  EXPECT_EQ(budget.reserved_bytes(), 60u);
  holder = {};
  EXPECT_EQ(budget.reserved_bytes(), 0u);
}

TEST(MemoryBudgetTest, ReservationIsEnlargedWhileThereIsRoom) {
  MemoryBudget budget(100);
  MemoryBudget::Reservation reservation;
  EXPECT_TRUE(budget.Enlarge(reservation, 40));
  EXPECT_TRUE(budget.Enlarge(reservation, 90));
  EXPECT_FALSE(budget.Enlarge(reservation, 101));
  EXPECT_TRUE(budget.Enlarge(reservation, 50));
  EXPECT_EQ(reservation.bytes(), 90u);
  EXPECT_EQ(budget.reserved_bytes(), 90u);
  budget.set_limit(80);  // keeps what is reserved
  EXPECT_FALSE(budget.Reserve(1));
  reservation = {};
  EXPECT_EQ(budget.reserved_bytes(), 0u);
}

TEST(MemoryBudgetTest, ReservationMayOutliveTheBudget) {
  std::optional<MemoryBudget::Reservation> reservation;
  {
    MemoryBudget budget(100);
    reservation = budget.Reserve(100);
  }
  EXPECT_EQ(reservation->bytes(), 100u);
}

// Guards against fixed shares: requests were refused while the memory for responses lay idle.
TEST(MemoryBudgetTest, BudgetsOfAPoolUseAllButTheGuaranteedPartsOfOthers) {
  const auto pool = std::make_shared<MemoryPool>(100);
  MemoryBudget requests(1000), responses(1000), large_bodies(30);
  requests.JoinPool(pool, 40);
  responses.JoinPool(pool, 20);
  large_bodies.JoinPool(pool, 0);
  {
    const auto held = requests.Reserve(80);
    ASSERT_TRUE(held);
    EXPECT_FALSE(requests.Reserve(1));
    EXPECT_FALSE(large_bodies.Reserve(1));
    EXPECT_TRUE(responses.Reserve(20));
    EXPECT_FALSE(responses.Reserve(21));
  }
  EXPECT_FALSE(responses.Reserve(61));
  EXPECT_FALSE(large_bodies.Reserve(31));  // its own limit
  const auto large = large_bodies.Reserve(30);
  const auto held = responses.Reserve(30);
  ASSERT_TRUE(large && held);
  EXPECT_TRUE(requests.Reserve(40));
  EXPECT_FALSE(requests.Reserve(41));
}

}  // namespace
}  // namespace paddlestile
