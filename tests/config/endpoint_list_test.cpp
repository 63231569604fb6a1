#include "config/endpoint_list.h"

#include <gtest/gtest.h>

namespace paddlestile {
namespace {

TEST(EndpointList, ParsesPhasesAndUnknownNames) {
  NameTables names;
  names.zones.Add("a");
  names.kinds.Add("k");
  const EndpointList list = ParseEndpointList(
      Json::Parse(R"({"revision":5,"members":[)"
                  R"({"id":"1","host_port":"127.0.0.1:1","phase":"leaving","locality":"a"},)"
                  R"({"id":"2","host_port":"127.0.0.1:1","phase":"resting","locality":"zz"},)"
                  R"({"id":"3","phase":"left","flavor":"new"}]})"),
      names, [](double) { return Time(0); });
  EXPECT_FALSE(list.complete);
  ASSERT_EQ(list.endpoints.size(), 3u);
  EXPECT_EQ(list.endpoints[0].info.state, EndpointState::kDraining);
  // An unknown phase counts as draining.
  EXPECT_EQ(list.endpoints[1].info.state, EndpointState::kDraining);
  EXPECT_EQ(list.endpoints[1].info.zone, 1);  // an unknown zone has the position after the last
  EXPECT_EQ(list.endpoints[2].info.state, EndpointState::kRemoved);
  EXPECT_EQ(list.endpoints[2].info.machine_kind, 1u);
}

}  // namespace
}  // namespace paddlestile
