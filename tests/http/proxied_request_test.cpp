#include "http/proxied_request.h"

#include <gtest/gtest.h>

#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

class ProxiedRequestTest : public ::testing::Test {
 protected:
  std::shared_ptr<const RequestClass> request_class =
      std::make_shared<RequestClass>(paddlestile::testing::MakeClass(Idempotency::kSafe));
  std::vector<int> statuses;
  ProxiedRequest request{"id", BufferedMessage{}, Time(100), request_class,
                         [this](const Response& response) {
                           statuses.push_back(response.status);
                         }};
};

TEST_F(ProxiedRequestTest, SendsOneResponse) {
  EXPECT_FALSE(request.done());
  EXPECT_TRUE(request.Respond({.status = 200}));
  EXPECT_FALSE(request.Respond({.status = 503}));
  EXPECT_TRUE(request.done());
  EXPECT_EQ(statuses, std::vector<int>{200});
}

TEST_F(ProxiedRequestTest, SendsNoResponseOnceAbandoned) {
  request.Abandon();
  EXPECT_TRUE(request.done());
  EXPECT_FALSE(request.Respond({.status = 200}));
  EXPECT_TRUE(statuses.empty());
}

TEST_F(ProxiedRequestTest, NumbersAttemptsInStartOrder) {
  EXPECT_EQ(request.BeginAttempt(), 0u);
  EXPECT_EQ(request.BeginAttempt(), 1u);
  EXPECT_EQ(request.attempts_in_flight(), 2);
  request.EndAttempt();
  EXPECT_EQ(request.attempts_in_flight(), 1);
  EXPECT_EQ(request.BeginAttempt(), 2u);
}

}  // namespace
}  // namespace paddlestile
