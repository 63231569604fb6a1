#include "simulator/protocol.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace paddlestile::simulator {
namespace {

Batch ReadBatch(const std::string& text) {
  std::istringstream in(text);
  ProtocolReader reader(in);
  Batch batch;
  EXPECT_TRUE(reader.Next(batch));
  return batch;
}

std::string ErrorFor(const std::string& text) {
  std::istringstream in(text);
  ProtocolReader reader(in);
  Batch batch;
  try {
    while (reader.Next(batch)) {
    }
  } catch (const ProtocolError& error) {
    return error.what();
  }
  return "";
}

template <typename T>
const T& EventOf(const Batch& batch, size_t index = 0) {
  return std::get<T>(std::get<Event>(batch.events.at(index).event));
}

TEST(ProtocolReader, EmptyBatchThenCleanEnd) {
  std::istringstream in("clock 8412.25 1\neob\n");
  ProtocolReader reader(in);
  Batch batch;
  ASSERT_TRUE(reader.Next(batch));
  EXPECT_EQ(batch.now, Time(8412250));
  EXPECT_EQ(batch.sequence, "1");
  EXPECT_TRUE(batch.events.empty());
  EXPECT_FALSE(reader.Next(batch));
}

TEST(ProtocolReader, RequestWithAndWithoutOptionalValues) {
  const Batch batch = ReadBatch(
      "clock 1 2\nsubmit 3 id-1 8652.25 4 1 2 91f03b7c55d20a64 12.5 1\n"
      "submit 3 id-2 9 - - 0 - - -\neob\n");
  const auto& full = EventOf<RequestArrived>(batch, 0);
  EXPECT_EQ(full.id, "id-1");
  EXPECT_EQ(full.deadline, Time(8652250));
  EXPECT_EQ(full.tenant, 4U);
  EXPECT_TRUE(full.is_write);
  EXPECT_EQ(full.request_class, 2U);
  EXPECT_EQ(full.key, "91f03b7c55d20a64");
  EXPECT_EQ(full.expected_work, Duration(12500));
  EXPECT_TRUE(full.is_client_retry);
  const auto& minimal = EventOf<RequestArrived>(batch, 1);
  EXPECT_FALSE(minimal.key.has_value());
  EXPECT_FALSE(minimal.expected_work.has_value());
  EXPECT_FALSE(minimal.is_client_retry);
}

TEST(ProtocolReader, EveryOtherEvent) {
  const Batch batch = ReadBatch(
      "clock 1 2\n"
      "established 1 id 0 host.a 3.5\n"
      "settled 1 id 2 host.a UNAVAILABLE 18.5 0 2.5,40\n"
      "client_left 1 id\n"
      "deadline_hit 1 sweep\n"
      "health_result 1 host.a OK 2 3,17.25\n"
      "note_from 1 4 aGkgNw==\n"
      "retire 1\neob\n");
  EXPECT_EQ(EventOf<ResponseStarted>(batch, 0).elapsed, Duration(3500));
  const auto& settled = EventOf<AttemptFinished>(batch, 1);
  EXPECT_EQ(settled.attempt, 2U);
  EXPECT_EQ(settled.outcome, Outcome::kConnectFailed);
  EXPECT_EQ(settled.load_report, (LoadReport{2.5, 40}));
  EXPECT_EQ(EventOf<ClientDisconnected>(batch, 2).id, "id");
  EXPECT_EQ(EventOf<TimerFired>(batch, 3).token, "sweep");
  EXPECT_EQ(EventOf<ProbeFinished>(batch, 4).load_report, (LoadReport{3, 17.25}));
  EXPECT_EQ(EventOf<PeerMessage>(batch, 5).bytes, "hi 7");
  EXPECT_TRUE(std::holds_alternative<RetireInstance>(batch.events[6].event));
}

TEST(ProtocolReader, EveryOutcome) {
  const std::pair<const char*, Outcome> all[] = {{"OK", Outcome::kOk},
                                                 {"INTERNAL", Outcome::kError},
                                                 {"RESOURCE_EXHAUSTED", Outcome::kRejected},
                                                 {"DEADLINE_EXCEEDED", Outcome::kTimeout},
                                                 {"UNAVAILABLE", Outcome::kConnectFailed},
                                                 {"ABORTED", Outcome::kReset},
                                                 {"CANCELLED", Outcome::kCancelled},
                                                 {"TOO_LATE", Outcome::kNotSent}};
  for (const auto& [word, outcome] : all) {
    const Batch batch =
        ReadBatch("clock 1 2\nsettled 1 id 0 h " + std::string(word) + " 1 0 -\neob\n");
    EXPECT_EQ(EventOf<AttemptFinished>(batch).outcome, outcome);
    EXPECT_FALSE(EventOf<AttemptFinished>(batch).load_report.has_value());
  }
}

TEST(ProtocolReader, EndpointListsAreKeptAcrossBatches) {
  std::istringstream in(
      "clock 1 1\nroster 0 1\nhost - a 0 0 1 0 up\nannounce 1 warm_copy 4 0\n"
      "roster 0 1\nhost 6100.5 b 1 2 1.5 3 draining\nannounce 2 incr 5 0\neob\n"
      "clock 2 2\nannounce 3 total 6 0\nannounce 3 lost - -\neob\n");
  ProtocolReader reader(in);
  Batch batch;
  ASSERT_TRUE(reader.Next(batch));
  EXPECT_EQ(EventOf<EndpointUpdate>(batch, 0).endpoints.at(0).id, "a");
  EXPECT_EQ(EventOf<EndpointUpdate>(batch, 0).kind, EndpointUpdateKind::kCached);
  const EndpointInfo& second = EventOf<EndpointUpdate>(batch, 1).endpoints.at(0);
  EXPECT_EQ(second.id, "b");
  EXPECT_EQ(second.started_at, Time(6100500));
  EXPECT_EQ(second.zone, 1);
  EXPECT_EQ(second.machine_kind, 2u);
  EXPECT_DOUBLE_EQ(second.weight, 1.5);
  EXPECT_EQ(second.cell, 3);
  EXPECT_EQ(second.state, EndpointState::kDraining);
  ASSERT_TRUE(reader.Next(batch));
  EXPECT_EQ(EventOf<EndpointUpdate>(batch, 0).endpoints.at(0).id, "b");
  EXPECT_EQ(EventOf<EndpointUpdate>(batch, 1).kind, EndpointUpdateKind::kFailed);
}

struct Malformed {
  const char* text;
  const char* line;
  const char* reason;
};

class MalformedInput : public ::testing::TestWithParam<Malformed> {};

TEST_P(MalformedInput, IsReportedWithLineAndReason) {
  const std::string error = ErrorFor(GetParam().text);
  EXPECT_EQ(error.rfind(std::string("line ") + GetParam().line + ":", 0), 0U) << error;
  EXPECT_NE(error.find(GetParam().reason), std::string::npos) << error;
}

INSTANTIATE_TEST_SUITE_P(
    Lines, MalformedInput,
    ::testing::Values(
        Malformed{"hello\n", "1", "before clock"}, Malformed{"clock x 1\neob\n", "1", "clock"},
        Malformed{"clock 1\neob\n", "1", "2 values"},
        Malformed{"clock 1 1\nwhat 1\neob\n", "2", "message 'what'"},
        Malformed{"clock 1 1\nclient_left 1\neob\n", "2", "2 values"},
        Malformed{"clock 1 1\nclient_left x id\neob\n", "2", "Who"},
        Malformed{"clock 1 1\nsettled 1 id 0 h NOPE 1 0 -\neob\n", "2", "Verdict"},
        Malformed{"clock 1 1\nsettled 1 id 0 h OK 1e 0 -\neob\n", "2", "TimeTaken"},
        Malformed{"clock 1 1\nsettled 1 id -1 h OK 1 0 -\neob\n", "2", "Trial"},
        Malformed{"clock 1 1\nsettled 1 id 0 h OK 1 2 -\neob\n", "2", "Final"},
        Malformed{"clock 1 1\nsettled 1 id 0 h OK nan 0 -\neob\n", "2", "TimeTaken"},
        Malformed{"clock 1 1\nhealth_result 1 h OK 1 1,,2\neob\n", "2", "load report"},
        Malformed{"clock 1 1\nannounce 1 total 1 7\neob\n", "2", "unknown list"},
        Malformed{"clock 1 1\nannounce 1 some 1 7\neob\n", "2", "Mode"},
        Malformed{"clock 1 1\nroster 0 2\nhost - a 0 0 1 0 up\neob\n", "4", "list entry"},
        Malformed{"clock 1 1\nroster 0 -2\neob\n", "2", "entry count"},
        Malformed{"clock 1 1\nroster 16 0\neob\n", "2", "Bank"},
        Malformed{"clock 1 1\nroster 0 1\nhost - a 0 0 1 0 odd\neob\n", "3", "Mode"},
        Malformed{"clock 1 1\nroster 0 1\nhost - a 0 0 1 up\neob\n", "3", "7 values"},
        Malformed{"clock 1 1\nnote_from 1 0 a?==\neob\n", "2", "Bytes"},
        Malformed{"clock 1 1\nstart 1 5 NInstances=x\neob\n", "2", "NInstances"},
        Malformed{"clock 1 1\nstart 1 5 Classes.count=1 Classes.0.Effect=odd\neob\n", "2",
                  "Classes.0.Effect"},
        Malformed{"clock 1 1\nstart 1\neob\n", "2", "start lacks"},
        Malformed{"clock 1 1\n\neob\n", "2", "empty line"},
        Malformed{"clock 1 1\nretire 1\n", "3", "middle of a batch"},
        Malformed{"clock 1 1\neo", "2", "middle of a line"},
        Malformed{"clock 1 1\nroster 0 2\nhost - a 0 0 1 0 up\n", "4", "middle of a list"}));

TEST(ProtocolWriter, EveryAction) {
  std::string out;
  PrintAction(3, StartAttempt{"id", "host.a", Duration(80'000)}, out);
  PrintAction(3, RejectRequest{"id", Duration(1'500'250)}, out);
  PrintAction(3, FailRequest{"id"}, out);
  PrintAction(3, CancelAttempt{"id", 1}, out);
  PrintAction(3, SetTimer{Duration(500'000), "sweep"}, out);
  PrintAction(3, StartProbe{"host.a"}, out);
  PrintAction(3, WatchEndpoints{true}, out);
  PrintAction(3, PollEndpoints{}, out);
  PrintAction(3, LogMessage{"two servers known"}, out);
  PrintPanic(3, "it\nbroke", out);
  PrintEnd("12", out);
  EXPECT_EQ(out,
            "place 3 id host.a 80.000\npush_back 3 id 1500.250\nsurrender 3 id\nrevoke 3 id 1\n"
            "arm 3 500.000 sweep\nping 3 host.a\nfollow 3 1\nread_list 3\n"
            "debug 3 two servers known\npanic 3 it broke\nend 12\n");
}

}  // namespace
}  // namespace paddlestile::simulator
