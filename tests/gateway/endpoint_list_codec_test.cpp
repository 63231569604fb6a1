#include "gateway/endpoint_list_codec.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/address.h"
#include "base/clock.h"
#include "gateway/learned_state_codec.h"

namespace paddlestile {
namespace {

using nlohmann::json;

class EndpointListCodecTest : public ::testing::Test {
 protected:
  EndpointListCodecTest() {
    for (const char* const name : {"a", "b"}) {
      names.zones.Add(name);
      names.kinds.Add(name);
    }
    list.revision = 42;
    list.complete = true;
    EndpointListEntry entry;
    entry.info.id = "h-1";
    entry.info.state = EndpointState::kDraining;
    entry.info.zone = 1;
    entry.info.machine_kind = 1;
    entry.info.cell = 3;
    entry.info.weight = 0.5;
    entry.info.started_at = clock.FromUnixMillis(clock.ToUnixMillis(clock.Now()));
    entry.address = ParseAddress("127.0.0.1:81");
    list.endpoints.push_back(entry);
    entry.info = {};
    entry.info.id = "h-2";
    list.endpoints.push_back(entry);
  }
  [[nodiscard]] json Encode() const {
    return EncodeEndpointList(list, names, [&](Time time) { return clock.ToUnixMillis(time); });
  }
  [[nodiscard]] std::optional<EndpointList> Decode(const json& encoded) const {
    return DecodeEndpointList(encoded, names,
                              [&](double unix_ms) { return clock.FromUnixMillis(unix_ms); });
  }

  Clock clock;
  NameTables names;
  EndpointList list;
};

// A start time that differs by a microsecond would look like a restart of the endpoint.
TEST_F(EndpointListCodecTest, DecodesWhatWasEncoded) {
  const auto decoded = Decode(Encode());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->revision, list.revision);
  EXPECT_TRUE(decoded->complete);
  ASSERT_EQ(decoded->endpoints.size(), list.endpoints.size());
  for (size_t i = 0; i < list.endpoints.size(); ++i) {
    const EndpointInfo& expected = list.endpoints[i].info;
    const EndpointInfo& info = decoded->endpoints[i].info;
    EXPECT_EQ(info.id, expected.id);
    EXPECT_EQ(info.state, expected.state);
    EXPECT_EQ(info.zone, expected.zone);
    EXPECT_EQ(info.machine_kind, expected.machine_kind);
    EXPECT_EQ(info.cell, expected.cell);
    EXPECT_EQ(info.weight, expected.weight);
    EXPECT_EQ(info.started_at, expected.started_at);
    EXPECT_EQ(decoded->endpoints[i].address, list.endpoints[i].address);
  }
}

TEST_F(EndpointListCodecTest, ZoneKeepsItsNameWherePositionsDiffer) {
  const json encoded = Encode();
  names = {};
  names.zones.Add("b");
  const auto decoded = Decode(encoded);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->endpoints[0].info.zone, 0);
}

// The text of an earlier version of the program has no list.
TEST_F(EndpointListCodecTest, MalformedOrMissingListIsIgnored) {
  const auto from_unix_millis = [&](double unix_ms) {
    return clock.FromUnixMillis(unix_ms);
  };
  for (const char* const text :
       {"", "[]", "{", R"({"version":1})", R"({"list":1})", R"({"list":{"revision":1}})",
        R"({"list":{"revision":1,"members":[{"id":"h"}]}})"}) {
    EXPECT_FALSE(DecodeHandedOverList(text, names, from_unix_millis)) << text;
  }
}

// What was learned of endpoints is omitted where the text would be too long, and never the list.
TEST_F(EndpointListCodecTest, ListIsHandedOverWithoutLearnedStateThatIsTooLong) {
  LearnedState learned;
  Endpoint endpoint;
  endpoint.info.id = std::string(1000, 'x');
  learned.endpoints.assign(kMaxLearnedStateBytes / 1000, endpoint);
  const std::string text = EncodeLearnedState(learned, list, names, clock.Now(),
                                              [&](Time time) { return clock.ToUnixMillis(time); });
  const auto decoded = DecodeHandedOverList(
      text, names, [&](double unix_ms) { return clock.FromUnixMillis(unix_ms); });
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->endpoints.size(), list.endpoints.size());
  const auto learned_by_new_process = DecodeLearnedState(text, names, clock.Now());
  ASSERT_TRUE(learned_by_new_process);
  EXPECT_TRUE(learned_by_new_process->endpoints.empty());
}

}  // namespace
}  // namespace paddlestile
