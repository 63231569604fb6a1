#include "gateway/lifecycle.h"

#include <gtest/gtest.h>

namespace paddlestile {
namespace {

// Guards against a gateway that an operator has drained and that serves again without a resume: the
// cluster agent, which had drained it meanwhile, ended the operator's drain with its own.
TEST(Lifecycle, DrainsOfOperatorAndAgentAreIndependent) {
  Lifecycle lifecycle;
  lifecycle.set_drained(true);
  lifecycle.set_isolated(true);
  lifecycle.set_isolated(false);
  EXPECT_EQ(lifecycle.stage(), LifecycleStage::kDrained);
  EXPECT_FALSE(lifecycle.healthy());
  lifecycle.set_isolated(true);
  lifecycle.set_drained(false);
  EXPECT_EQ(lifecycle.stage(), LifecycleStage::kDrained);
  lifecycle.set_isolated(false);
  EXPECT_EQ(lifecycle.stage(), LifecycleStage::kServing);
  EXPECT_TRUE(lifecycle.healthy());
}

}  // namespace
}  // namespace paddlestile
