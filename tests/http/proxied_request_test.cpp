#include "http/proxied_request.h"

#include <gtest/gtest.h>

#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

class ExchangeTest : public ::testing::Test {
 protected:
  std::shared_ptr<const RequestClass> cls =
      std::make_shared<RequestClass>(paddlestile::testing::MakeClass(Effect::kSafe));
  std::vector<int> answers;
  Exchange exchange{"id", Held{}, Time(100), cls,
                    [this](const Answer& answer) { answers.push_back(answer.status); }};
};

TEST_F(ExchangeTest, GivesOneAnswer) {
  EXPECT_FALSE(exchange.over());
  EXPECT_TRUE(exchange.Finish({.status = 200}));
  EXPECT_FALSE(exchange.Finish({.status = 503}));
  EXPECT_TRUE(exchange.over());
  EXPECT_EQ(answers, std::vector<int>{200});
}

TEST_F(ExchangeTest, AnswersNobodyOnceTheClientHasLeft) {
  exchange.Abandon();
  EXPECT_TRUE(exchange.over());
  EXPECT_FALSE(exchange.Finish({.status = 200}));
  EXPECT_TRUE(answers.empty());
}

TEST_F(ExchangeTest, NumbersAttemptsInTheOrderOfTheirSends) {
  EXPECT_EQ(exchange.NextAttempt(), 0u);
  EXPECT_EQ(exchange.NextAttempt(), 1u);
  EXPECT_EQ(exchange.out(), 2);
  exchange.AttemptEnded();
  EXPECT_EQ(exchange.out(), 1);
  EXPECT_EQ(exchange.NextAttempt(), 2u);
}

}  // namespace
}  // namespace paddlestile
