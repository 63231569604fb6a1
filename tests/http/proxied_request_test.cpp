#include "http/proxied_request.h"

#include <gtest/gtest.h>

#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

class ExchangeTest : public ::testing::Test {
 protected:
  std::shared_ptr<const RequestClass> cls =
      std::make_shared<RequestClass>(paddlestile::testing::MakeClass(Idempotency::kSafe));
  std::vector<int> answers;
  ProxiedRequest exchange{"id", BufferedMessage{}, Time(100), cls, [this](const Response& answer) {
                            answers.push_back(answer.status);
                          }};
};

TEST_F(ExchangeTest, GivesOneAnswer) {
  EXPECT_FALSE(exchange.done());
  EXPECT_TRUE(exchange.Respond({.status = 200}));
  EXPECT_FALSE(exchange.Respond({.status = 503}));
  EXPECT_TRUE(exchange.done());
  EXPECT_EQ(answers, std::vector<int>{200});
}

TEST_F(ExchangeTest, AnswersNobodyOnceTheClientHasLeft) {
  exchange.Abandon();
  EXPECT_TRUE(exchange.done());
  EXPECT_FALSE(exchange.Respond({.status = 200}));
  EXPECT_TRUE(answers.empty());
}

TEST_F(ExchangeTest, NumbersAttemptsInTheOrderOfTheirSends) {
  EXPECT_EQ(exchange.BeginAttempt(), 0u);
  EXPECT_EQ(exchange.BeginAttempt(), 1u);
  EXPECT_EQ(exchange.attempts_in_flight(), 2);
  exchange.EndAttempt();
  EXPECT_EQ(exchange.attempts_in_flight(), 1);
  EXPECT_EQ(exchange.BeginAttempt(), 2u);
}

}  // namespace
}  // namespace paddlestile
