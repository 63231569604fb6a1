// Changes by their own size: what a delta makes of a version, what a history of them keeps, and
// that content which is not as agreed is found out and not acted on.
#include "cluster/delta.h"

#include <gtest/gtest.h>

#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster_member.h"
#include "cluster/codec.h"
#include "cluster/version_content.h"
#include "cluster/version_history.h"
#include "raft/codec.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

std::string Applied(const std::string& base, const std::string& delta) {
  return ToText(ApplyDelta(ParseDocument(base), delta));
}
std::string Canonical(const std::string& rules) {
  return ToText(ParseDocument(rules));
}

// Each part is set and removed alone: one that touched its neighbours would undo what others agreed
// on meanwhile.
TEST(ApplyDelta, SetsAndRemovesPartsAlone) {
  const std::string base =
      R"({"settings":{"Allowed":{"SendCap":2,"MaxRetryAfter":5},"Tenants":[
          {"Name":"b","QuotaPerS":1,"Share":3},{"Name":"a","QuotaPerS":2},{"Name":"c"}]},
          "barred":["h1","h2"],"drain":["h3"],"zone_only":{"h4":"x","h5":"y"}})";
  EXPECT_EQ(Applied(base, R"({"settings":{"Allowed":{"SendCap":3},
                        "Tenants":{"b":{"QuotaPerS":9,"Share":null},"c":null,"z":{},"d":{"Share":1}}},
                        "barred":{"add":["h9"],"remove":["h1"]},"drain":{"remove":["h3"]},
                        "zone_only":{"h4":null,"h5":"z","h6":"x"}})"),
            Canonical(R"({"settings":{"Allowed":{"SendCap":3,"MaxRetryAfter":5},"Tenants":[
          {"Name":"b","QuotaPerS":9},{"Name":"a","QuotaPerS":2},{"Name":"d","Share":1},
          {"Name":"z"}]},"barred":["h2","h9"],"zone_only":{"h5":"z","h6":"x"}})"));
  // What is not there and is removed changes nothing: the same delta twice is the same version.
  EXPECT_EQ(Applied("{}", R"({"settings":{"Odd":null,"Tenants":{"gone":null}},
                              "barred":{"remove":["h"]},"zone_only":{"h":null}})"),
            Canonical("{}"));
  EXPECT_EQ(Applied(base, "{}"), Canonical(base));
  EXPECT_EQ(Applied("{}", R"({"replace":{"Odd":{"x":null}}})"),
            Canonical(R"({"settings":{"Odd":{"x":null}}})"));
}

// A line each with its key: an operator's delta is refused before anybody acts on half of it.
TEST(CheckDelta, NamesEveryFault) {
  const auto faults = ValidateDelta(
      R"({"bared":{},"barred":["h"],"drain":{"add":["h",""],"ad":[]},"zone_only":{"h":1},
          "settings":{"Tenants":[],"Classes":{"c":{"Name":"d"},"e":3},"Odd":1},
          "replace":{"Odd":2}})");
  EXPECT_EQ(faults.size(), 9U) << json(faults).dump(1);
  EXPECT_EQ(ValidateDelta(R"({"barred":{"add":["h"],"remove":["h"]}})").size(), 1U);
  for (const char* const text : {"", "[]", "{\"barred\":"})
    EXPECT_EQ(ValidateDelta(text).size(), 1U);
  EXPECT_EQ(ValidateDelta(std::string(kMaxDeltaBytes + 1, ' ')).size(), 1U);
  const std::string deep = std::string(40, '[') + std::string(40, ']');
  EXPECT_EQ(ValidateDelta(R"({"settings":{"a":)" + deep + "}}").size(), 1U);
  EXPECT_TRUE(ValidateDelta("{}").empty());
}

// The version that comes of it is bounded and checked like one that was submitted whole.
TEST(ApplyDelta, MakesNoVersionThatIsRefusedWhole) {
  const VersionContent base =
      ParseVersion(R"({"settings":{"A":")" + std::string(kMaxVersionBytes - 1000, 'x') + "\"}}");
  EXPECT_NO_THROW(ApplyDelta(base, R"({"settings":{"B":")" + std::string(200, 'x') + "\"}}"));
  EXPECT_THROW(ApplyDelta(base, R"({"settings":{"B":")" + std::string(2000, 'x') + "\"}}"),
               std::invalid_argument);
  EXPECT_THROW(ApplyDelta({}, R"({"settings":{"Tenants":{"t":{"QuotaPerS":-1}}}})"),
               std::invalid_argument);
  EXPECT_THROW(ApplyDelta({}, R"({"settings":{"Allowed":3}})"), std::invalid_argument);
}

// ---- Any two versions -------------------------------------------------------------------------

class Draws {
 public:
  explicit Draws(uint64_t seed) : random_(seed) {}
  size_t Pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random_); }
  json Value(int depth = 0) {
    switch (Pick(depth < 3 ? 9 : 6)) {
      case 0:
        return nullptr;
      case 1:
        return Pick(4);
      case 2:
        return static_cast<double>(Pick(4));  // 3 and 3.0: one number, two texts
      case 3:
        return std::vector<std::string>{"", "x", "\xc3\xa9", "a/b~c"}[Pick(4)];
      case 4:
        return Pick(2) == 0;
      case 5:
        return -0.0;
      case 6:
        return json::array({Value(depth + 1), {{"n", nullptr}}});
      default: {
        json object = json::object();
        for (size_t i = Pick(4); i > 0; --i)
          object["k" + std::to_string(Pick(4))] = Value(depth + 1);
        return object;
      }
    }
  }
  json List() {
    json list = json::array();
    std::set<std::string> names;
    for (size_t i = Pick(7); i > 0; --i) {
      json item = {{"Name", std::vector<std::string>{"", "a", "b", "c", "d", "e"}[Pick(6)]}};
      if (!names.insert(item["Name"]).second)
        continue;
      if (Pick(2) == 0)
        item["QuotaPerS"] = Pick(3);
      if (Pick(3) == 0)
        item["QuotaPerS"] = static_cast<double>(Pick(3));
      if (Pick(3) == 0)
        item["Odd"] = Value();
      if (Pick(3) == 0)
        item["Effect"] = Pick(2) == 0 ? "safe" : "keyed";
      list.push_back(std::move(item));
    }
    return list;
  }
  ConfigDocument Any() {
    ConfigDocument rules;
    for (size_t i = Pick(4); i > 0; --i)
      rules.settings["S" + std::to_string(Pick(3))] = Value();
    if (Pick(2) == 0)
      rules.settings["Tenants"] = List();
    if (Pick(2) == 0)
      rules.settings["Classes"] = List();
    if (Pick(2) == 0)
      rules.settings["Allowed"] = {{"SendCap", 1 + Pick(3)}, {"Odd", Value()}};
    for (size_t i = Pick(4); i > 0; --i)
      rules.excluded.insert("h" + std::to_string(Pick(5)));
    for (size_t i = Pick(3); i > 0; --i)
      rules.draining.insert("h" + std::to_string(Pick(5)));
    for (size_t i = Pick(4); i > 0; --i) {
      rules.zone_only["h" + std::to_string(Pick(4))] = "z" + std::to_string(Pick(2));
    }
    return ParseDocument(ToText(rules));
  }

 private:
  std::mt19937_64 random_;
};

// Every member makes the very text of the version out of the delta, or hashes part: nulls, 3 and
// 3.0, another order, empty objects and names.
TEST(Difference, MakesTheOneVersionOfTheOther) {
  size_t smaller = 0;
  for (uint64_t seed = 1; seed <= 4000; ++seed) {
    Draws draws(seed);
    const ConfigDocument a = draws.Any(), b = seed % 5 == 0 ? a : draws.Any();
    const std::string delta = ComputeDelta(a, b);
    ASSERT_TRUE(ValidateDelta(delta).empty())
        << seed << ": " << ValidateDelta(delta).front() << delta;
    const VersionContent made = ApplyDelta(a, delta);
    ASSERT_EQ(ToText(made), ToText(b)) << seed << ": " << delta;
    ASSERT_EQ(HashOf(made), HashOf(VersionContent(b))) << seed << ": " << delta;
    ASSERT_EQ(TextBytes(made), ToText(b).size()) << seed << ": " << delta;
    // Of the same two nothing is left to do.
    if (seed % 5 == 0) {
      ASSERT_EQ(delta, "{}") << seed;
    }
    smaller += delta.size() < ToText(b).size() ? 1 : 0;
  }
  EXPECT_GT(smaller, 800U);
}

// A delta has the size of the change, whatever the version's: that is what it is for.
TEST(Difference, IsAsLargeAsTheChange) {
  ConfigDocument a;
  for (int i = 0; i < 4000; ++i) {
    a.settings["Tenants"].push_back({{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  ConfigDocument b = a;
  b.settings["Tenants"][77]["QuotaPerS"] = 9000;
  EXPECT_GT(ToText(b).size(), 100'000U);
  EXPECT_EQ(ComputeDelta(a, b), R"({"settings":{"Tenants":{"t77":{"QuotaPerS":9000}}}})");
}

// ---- The history ------------------------------------------------------------------------------

std::string Whole(const std::string& id, const std::string& rules) {
  Change change;
  change.id = id;
  change.document = rules;
  return EncodeChangeEntry(change);
}
// As an honest leader whose history is `h` proposes it.
std::string DeltaOf(const VersionHistory& h, const std::string& id, const std::string& delta,
                    std::optional<uint64_t> expect = {}) {
  Change change;
  change.id = id;
  change.document = delta;
  change.expected_version = expect;
  change.is_delta = true;
  return EncodeChangeEntry(change,
                           {h.latest_version(), HashOf(ApplyDelta(h.latest_content(), delta))});
}
std::vector<std::string> Texts(const VersionHistory& h) {
  std::vector<std::string> texts;
  h.ForEachVersion(
      0, [&](const Version&, const VersionContent& content) { texts.push_back(ToText(content)); });
  return texts;
}
std::string Bars(int i) {
  return R"({"barred":{"add":["h)" + std::to_string(i) + "\"]}}";
}

// The same as if each had come whole: what is read, acted on, kept and saved.
TEST(Deltas, MakeTheVersionsThatWholeOnesDo) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Draws draws(seed);
    VersionHistory whole, deltas;
    for (int i = 0; i < 60; ++i) {
      const std::string id = "c" + std::to_string(i);
      const ConfigDocument next = draws.Any();
      const std::string delta = ComputeDelta(deltas.latest_content(), next);
      const std::string entry = i % 7 == 3 ? Whole(id, ToText(next)) : DeltaOf(deltas, id, delta);
      ASSERT_GT(deltas.Apply(2 * i + 1, entry).version, 0U) << seed;
      whole.Apply(2 * i + 1, Whole(id, ToText(next)));
      if (draws.Pick(3) > 0) {
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
        ASSERT_EQ(Texts(deltas), Texts(whole)) << seed << " " << i;
      }
      ASSERT_EQ(deltas.content_mismatch(), "");
      // One that came whole has the hash of its text, one that came as a delta that of its parts.
      const Version &one = deltas.versions().back(), &other = whole.versions().back();
      ASSERT_EQ(HashOf(*one.content), HashOf(*other.content));
      ASSERT_EQ(one.hash, i % 7 == 3 ? other.hash : HashOf(*other.content));
    }
  }
}

// Sixteen versions were kept whole each: with deltas one is, and the rest by their own size.
TEST(Deltas, AreKeptByTheirOwnSize) {
  VersionHistory h;
  json rules;
  for (int i = 0; i < 1500; ++i) {
    rules["settings"]["Tenants"].push_back({{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  h.Apply(1, Whole("first", rules.dump()));
  for (int i = 0; i < 50; ++i) {
    h.Apply(2 * i + 2, DeltaOf(h, "c" + std::to_string(i), Bars(i)));
    h.Apply(2 * i + 3, EncodeInForceEntry(h.latest_version(), h.versions().back().hash));
  }
  EXPECT_EQ(Texts(h).size(), VersionHistory::kFullVersions);
  EXPECT_GT(h.latest_bytes(), 40'000U);
  EXPECT_LT(h.Save().size(), 2 * h.latest_bytes());
}

TEST(Deltas, AreRefusedWhereTheyMakeNoSense) {
  VersionHistory h;
  h.Apply(1, Whole("x", R"({"barred":["h"]})"));
  EXPECT_EQ(h.Apply(2, DeltaOf(h, "late", Bars(1), 0)).version, 0U);  // from a stale version
  EXPECT_EQ(h.Apply(3, DeltaOf(h, "y", Bars(1), 1)).version, 2U);
  EXPECT_TRUE(h.Apply(4, DeltaOf(h, "y", Bars(2))).is_repeat);
  Change bad;
  bad.id = "bad";
  bad.is_delta = true;
  bad.document = R"({"settings":{"Allowed":3}})";
  EXPECT_EQ(h.Apply(5, EncodeChangeEntry(bad, {2, ""})).version, 0U);
  EXPECT_EQ(h.content_mismatch(), "");
  EXPECT_EQ(h.latest_version(), 2U);
}

// One that has missed a delta, or made something else of it, must find out by itself: what it acts
// on contradicts the others, and nothing else tells it.
TEST(Deltas, ThatWereMissedOrMisappliedAreFoundOut) {
  VersionHistory h, missed, misapplied;
  std::vector<std::string> entries;
  for (int i = 0; i < 3; ++i) {
    entries.push_back(DeltaOf(h, "c" + std::to_string(i), Bars(i)));
    h.Apply(i + 1, entries.back());
  }
  missed.Apply(1, entries[0]);
  missed.Apply(3, entries[2]);
  EXPECT_NE(missed.content_mismatch().find("a delta to version 2, the latest is 1 here"),
            std::string::npos)
      << missed.content_mismatch();
  Change other;
  other.id = "c0";
  other.is_delta = true;
  other.document = Bars(7);
  misapplied.Apply(1, EncodeChangeEntry(other, {0, h.versions()[0].hash}));
  EXPECT_NE(misapplied.content_mismatch().find("version 1 is"), std::string::npos);
  misapplied.Apply(2, entries[1]);
  EXPECT_NE(misapplied.content_mismatch(), "");
  // The word that turns a version on tells it too, of a version that came whole as well.
  VersionHistory on;
  on.Apply(1, Whole("w", R"({"barred":["h"]})"));
  on.Apply(2, EncodeInForceEntry(1, "0"));
  EXPECT_NE(on.content_mismatch(), "");
  VersionHistory without;
  without.Apply(1, EncodeInForceEntry(4, "0"));
  EXPECT_NE(without.content_mismatch(), "");
  // An entry of a program that tells no hash speaks against nothing.
  on = {};
  on.Apply(1, Whole("w", "{}"));
  on.Apply(2, EncodeInForceEntry(1));
  EXPECT_EQ(on.content_mismatch(), "");
  // A later version with the right hash settles it, an earlier one does not.
  misapplied.Apply(3, EncodeInForceEntry(2, h.versions()[1].hash));
  EXPECT_NE(misapplied.content_mismatch(), "");
  misapplied.Apply(4, EncodeInForceEntry(1, misapplied.versions()[0].hash));
  EXPECT_NE(misapplied.content_mismatch(), "") << "version 2 is the one in question";
  misapplied.Apply(5, Whole("c2", ToText(h.latest_content())));
  misapplied.Apply(6, EncodeInForceEntry(3, h.versions()[2].hash));
  EXPECT_EQ(misapplied.content_mismatch(), "");
}

// One that has misread a delta is right again once a whole version is on, also where nobody tells a
// hash: where all but the leader think so, they could else never agree again. One that has missed a
// version counts wrong from then on, and only a snapshot helps.
TEST(Deltas, AreForgottenBehindAWholeVersion) {
  VersionHistory h, misapplied, missed;
  const std::string first = DeltaOf(h, "c0", Bars(0));
  h.Apply(1, first);
  Change other;
  other.id = "c0";
  other.is_delta = true;
  other.document = Bars(7);
  misapplied.Apply(1, EncodeChangeEntry(other, {0, h.versions()[0].hash}));
  missed.Apply(2, DeltaOf(h, "c1", Bars(1)));
  for (VersionHistory* const one : {&misapplied, &missed}) {
    ASSERT_NE(one->content_mismatch(), "");
    one->Apply(3, Whole("w", R"({"barred":["h"]})"));
    EXPECT_NE(one->content_mismatch(), "") << "it is not on";
    one->Apply(4, EncodeInForceEntry(one->latest_version()));
  }
  EXPECT_EQ(misapplied.content_mismatch(), "");
  EXPECT_FALSE(misapplied.numbering_mismatch());
  EXPECT_EQ(ToText(misapplied.effective_content()), Canonical(R"({"barred":["h"]})"));
  EXPECT_NE(missed.content_mismatch(), "");
  EXPECT_TRUE(missed.numbering_mismatch());
  missed.Load(h.Save());
  EXPECT_EQ(missed.content_mismatch(), "");
}

// A snapshot whose last version does not have the hash that it tells is other content.
TEST(Deltas, ASnapshotIsHeldAgainstItsHash) {
  VersionHistory h, copy;
  h.Apply(1, DeltaOf(h, "c", R"({"barred":{"add":["hhhh"]}})"));
  std::string saved = h.Save();
  saved.replace(saved.find("hhhh"), 4, "hhhg");
  copy.Load(saved);
  EXPECT_NE(copy.content_mismatch(), "");
}

// ---- One member -------------------------------------------------------------------------------

// A bank of one, with a link to a follower: all that it writes and sends.
struct Alone {
  explicit Alone(bool deltas, size_t compact_after = 8)
      : member(OptionsOf(deltas, compact_after), DiskOf(), 7, Time(0)) {}
  static ClusterMember::Options OptionsOf(bool deltas, size_t compact_after) {
    ClusterMember::Options options;
    options.name = "a";
    options.initial_voters = {"a"};
    options.compact_after = compact_after;
    options.deltas = deltas;
    return options;
  }
  static raft::PersistentState DiskOf() {
    raft::PersistentState disk;
    disk.incarnation = 1;
    disk.restart_count = 1;
    disk.current_term = 1;
    disk.log = {{1, raft::LogEntry::Kind::kVoters, {}, {{"a", 1}}}};
    return disk;
  }
  template <typename What>
  void Run(What&& what) {
    MemberOutput out;
    what(out);
    while (true) {
      const auto writes = std::move(out.writes);
      for (const raft::StorageWrite& w : writes) {
        json::to_cbor(ToJson(w), bytes);
        if (!w.commit_only)
          durable = w.sequence_number;
      }
      for (const raft::OutgoingMessage& s : out.messages) {
        json::to_cbor(ToJson(s.message), bytes);
        sent.push_back(s.message);
      }
      for (auto& answer : out.results)
        answers.push_back(std::move(answer.result));
      if (writes.empty())
        return;
      out = {};
      member.OnDurable(now, durable, out);
    }
  }
  void Tick() {
    now += Time(100'000);
    Run([&](MemberOutput& out) { member.OnTimeout(now, out); });
  }
  void Lead() {
    for (int i = 0; i < 30; ++i)
      Tick();
    ASSERT_TRUE(member.raft_node().IsLeaderWithLease(now));
  }
  ChangeResult Submit(const std::string& id, const std::string& rules, bool delta = false) {
    ChangeRequest w;
    w.change.id = id;
    w.change.document = rules;
    w.change.is_delta = delta;
    answers.clear();
    Run([&](MemberOutput& out) { member.Submit(now, w, 1, out); });
    for (int i = 0; i < 3 && answers.empty(); ++i)
      Tick();
    return answers.empty() ? ChangeResult{} : answers.back();
  }
  ClusterMember member;
  Time now{0};
  uint64_t durable = 0;
  std::string bytes;
  std::vector<raft::Message> sent;
  std::vector<ChangeResult> answers;
};

// Whole changes are on the wire and on the disk as they were before there were deltas, to the byte:
// programs of both kinds share a bank, and a bank that names nothing new pays for nothing new.
TEST(WholeChanges, AreByteForByteAsBefore) {
  Alone a(false);
  for (int i = 0; i < 40; ++i) {
    a.Tick();
    if (i == 20)
      a.Run([&](MemberOutput& out) { a.member.OnPeerConnected(a.now, "b", 2, {}, out); });
    if (i < 12 || i > 32)
      continue;
    ChangeRequest w;
    w.change.id = "c" + std::to_string(i);
    w.change.author = "x";
    w.change.reason = "r";
    w.change.submitted_unix_s = i;
    if (i % 3 == 0)
      w.change.expected_version = a.member.history().latest_version();
    w.change.document = R"({"barred":["h)" + std::to_string(i) +
                        R"("],"settings":{"Tenants":[{"Name":"t","QuotaPerS":)" +
                        std::to_string(i / 4) + "}]}}";
    json::to_cbor(ToJson(w), a.bytes);
    a.Run([&](MemberOutput& out) { a.member.Submit(a.now, w, i, out); });
  }
  // Of the text before deltas, 3defdbd.
  EXPECT_EQ(a.bytes.size(), 28276U);
  EXPECT_EQ(HashOf(a.bytes), "e433ba2e999c9310121c999c3df930db");
  EXPECT_EQ(a.member.history().latest_version(), 21U);
  EXPECT_GT(a.member.raft_node().first_log_index(), 1U);  // a snapshot is among them
}

// A whole version that a submitter sends goes on as the delta that it is, where that is smaller.
TEST(DeltaChanges, GoByTheirOwnSize) {
  Alone a(true, 512);
  a.Lead();
  json rules;
  for (int i = 0; i < 1000; ++i) {
    rules["settings"]["Tenants"].push_back({{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  ASSERT_EQ(a.Submit("one", rules.dump()).kind, ChangeResult::Kind::kDone);
  const size_t before = a.bytes.size();
  rules["settings"]["Tenants"][5]["QuotaPerS"] = 7777;
  const ChangeResult told = a.Submit("two", rules.dump());
  EXPECT_EQ(told.kind, ChangeResult::Kind::kDone) << told.text;
  EXPECT_EQ(told.version, 2U);
  EXPECT_LT(a.bytes.size() - before, 2000U);
  // What the leader made of it is told, or nobody who applies it otherwise finds that out.
  const json entry = json::from_cbor(
      a.member.raft_node().EntryAt(a.member.history().versions().back().index).bytes);
  EXPECT_EQ(entry.value("hash", ""), HashOf(a.member.history().latest_content()));
  EXPECT_EQ(ToText(a.member.history().latest_content()), Canonical(rules.dump()));
  const json status = a.member.Status(a.now);
  EXPECT_EQ(status["changes"], "delta");
  EXPECT_LT(status["change_bytes"], 100);
  EXPECT_GT(status["version_bytes"], 20'000);
  EXPECT_EQ(status["content"], "agreed");
  // Another version altogether: the whole is smaller, and goes.
  EXPECT_EQ(a.Submit("three", "{}").kind, ChangeResult::Kind::kDone);
  EXPECT_EQ(a.member.Status(a.now)["change_bytes"], Canonical("{}").size());
  EXPECT_EQ(a.Submit("four", Bars(1), true).kind, ChangeResult::Kind::kDone);
  EXPECT_TRUE(a.member.history().latest_content().excluded.contains("h1"));
  const ChangeResult refused = a.Submit("five", R"({"settings":{"Allowed":3}})", true);
  EXPECT_EQ(refused.kind, ChangeResult::Kind::kRefused);
  EXPECT_EQ(refused.text, "the version that it makes: settings.Allowed: expected an object");
}

// Two at once: the second is a delta to what the first makes, which nobody has agreed on yet.
TEST(DeltaChanges, ComeBehindThoseThatAreOnTheirWay) {
  Alone a(true);
  a.Lead();
  MemberOutput out;
  const std::pair<const char*, bool> tries[] = {{R"({"barred":["a1","a2","a3"]})", false},
                                                {R"({"barred":["a1","a2","a3","a4"]})", false},
                                                {R"({"barred":{"remove":["a2"]}})", true}};
  uint64_t ticket = 10;
  for (const auto& [rules, delta] : tries) {
    ChangeRequest w;
    w.change.id = std::to_string(++ticket);
    w.change.document = rules;
    w.change.is_delta = delta;
    a.member.Submit(a.now, w, ticket, out);
  }
  EXPECT_EQ(a.member.history().latest_version(), 0U);
  a.Run([&](MemberOutput& into) { into = std::move(out); });
  EXPECT_EQ(a.member.history().latest_version(), 3U);
  EXPECT_EQ(ToText(a.member.history().latest_content()),
            Canonical(R"({"barred":["a1","a3","a4"]})"));
  EXPECT_EQ(a.member.history().content_mismatch(), "");
}

// A leader that proposes whole changes takes no delta, and says so in a line; as a program that
// knows none reads one it is no version, never another one.
TEST(DeltaChanges, AreRefusedWhereTheLeaderHasWholeOnes) {
  Alone a(false);
  a.Lead();
  const ChangeResult told = a.Submit("one", Bars(1), true);
  EXPECT_EQ(told.kind, ChangeResult::Kind::kRefused);
  EXPECT_EQ(told.text,
            "a delta, and a leads with whole changes, expected changes = \"delta\" in its "
            "operator's file");
  ChangeRequest w;
  w.change.id = "x";
  w.change.is_delta = true;
  w.change.document = R"({"zone_only":{"h":"z"}})";
  const json wish = ToJson(w);
  EXPECT_FALSE(ValidateDocument(wish[7].get<std::string>()).empty());
  const auto read = ReadChangeRequest(wish);
  ASSERT_TRUE(read.has_value());
  EXPECT_TRUE(read->change.is_delta);
  EXPECT_EQ(read->change.document, w.change.document);
}

// A follower whose own mode is whole follows a leader that proposes deltas, acts on them, and
// answers as any other; where the content is not what was agreed it acts strictly, says so once and
// asks for all anew.
struct Follower {
  explicit Follower(bool votes = false)
      : member(Alone::OptionsOf(false, 512), DiskOf(votes), 3, Time(0)) {}
  static raft::PersistentState DiskOf(bool votes) {
    raft::PersistentState disk;
    disk.incarnation = 5;
    disk.restart_count = 1;
    disk.current_term = 1;
    disk.log = {{1, raft::LogEntry::Kind::kVoters, {}, {{"l", 9}}}};
    if (votes)
      disk.log[0].voters = {{"l", 9}, {"a", 5}, {"c", 6}};
    return disk;
  }
  MemberOutput Take(std::vector<std::string> entries) {
    raft::Message m;
    m.from = "l";
    m.to = "a";
    m.from_incarnation = 9;
    m.term = 1;
    m.index = index;
    m.index_term = 1;
    now += Time(1000);
    m.asked_at = now;
    for (std::string& bytes : entries)
      m.entries.push_back({1, raft::LogEntry::Kind::kData, bytes, {}});
    index += m.entries.size();
    m.commit_index = index;
    MemberOutput out;
    member.OnMessage(now, m, out);
    return out;
  }
  ClusterMember member;
  Time now{0};
  raft::Index index = 1;
};

TEST(DeltaChanges, AreFollowedByOneWhoseOwnAreWhole) {
  Follower f;
  VersionHistory leader;
  for (int i = 0; i < 3; ++i) {
    const std::string entry = DeltaOf(leader, "c" + std::to_string(i), Bars(i));
    leader.Apply(i + 1, entry);
    f.Take({entry, EncodeInForceEntry(leader.latest_version(), leader.versions().back().hash)});
    leader.Apply(100 + i, EncodeInForceEntry(leader.latest_version()));
  }
  EXPECT_EQ(f.member.CurrentConfig(f.now).kind, EffectiveConfig::Kind::kAgreed);
  EXPECT_EQ(f.member.CurrentConfig(f.now).version_in_force, 3U);
  EXPECT_EQ(f.member.ContentOf(f.member.CurrentConfig(f.now)), leader.latest_content());
}

std::string Quotas(int tenants, int first) {
  json rules;
  for (int i = 0; i < tenants; ++i) {
    rules["settings"]["Tenants"].push_back(
        {{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i == 0 ? first : i}});
  }
  return rules.dump();
}

// A returner with a log of large versions: each that came whole is applied in an event of its own,
// however many come at once. All in one stand cost requests their time.
TEST(WholeChanges, ALongLogOfLargeVersionsIsAppliedInParts) {
  Follower f;
  VersionHistory leader;
  std::vector<std::string> entries;
  for (int i = 0; i < 30; ++i) {
    entries.push_back(Whole("c" + std::to_string(i), Quotas(2000, i)));
    leader.Apply(2 * i + 2, entries.back());
    entries.push_back(EncodeInForceEntry(leader.latest_version(), leader.versions().back().hash));
    leader.Apply(2 * i + 3, entries.back());
  }
  f.Take(entries);
  EXPECT_LE(f.member.history().latest_version(), 1U);
  int events = 1;
  for (; f.member.raft_node().HasEntriesToApply(); ++events) {
    ASSERT_EQ(f.member.NextTimeout(), Time(0));
    const uint64_t before = f.member.history().latest_version();
    MemberOutput out;
    f.member.OnTimeout(f.now, out);
    EXPECT_LE(f.member.history().latest_version(), before + 1);
  }
  EXPECT_GE(events, 30);
  EXPECT_EQ(f.member.CurrentConfig(f.now).version_in_force, 30U);
  EXPECT_EQ(f.member.ContentOf(f.member.CurrentConfig(f.now)), leader.latest_content());
}

std::string QuotaDelta(int quota) {
  return R"({"settings":{"Tenants":{"t0":{"QuotaPerS":)" + std::to_string(quota) + "}}}}";
}

// The same log as deltas: a bounded number of them an event, whatever the version's size. By the
// version's size a returner took an event for each, and stood for the whole of it in each.
TEST(DeltaChanges, ALongLogOfThemIsAppliedInParts) {
  for (const int tenants : {10, 4000}) {
    Follower f;
    VersionHistory leader;
    std::vector<std::string> entries = {Whole("first", Quotas(tenants, 0))};
    leader.Apply(2, entries.back());
    f.Take(entries);
    entries.clear();
    for (int i = 1; i <= 200; ++i) {
      entries.push_back(DeltaOf(leader, "c" + std::to_string(i), QuotaDelta(i)));
      leader.Apply(2 * i + 2, entries.back());
      entries.push_back(EncodeInForceEntry(leader.latest_version(), leader.versions().back().hash));
      leader.Apply(2 * i + 3, entries.back());
    }
    f.Take(entries);
    int events = 1;
    for (uint64_t before = 1; f.member.raft_node().HasEntriesToApply(); ++events) {
      EXPECT_LE(f.member.history().latest_version(), before + 8) << tenants;
      before = f.member.history().latest_version();
      MemberOutput out;
      f.member.OnTimeout(f.now, out);
    }
    EXPECT_GE(events, 25) << tenants;
    EXPECT_LE(events, 60) << tenants;
    EXPECT_EQ(f.member.CurrentConfig(f.now).version_in_force, 201U);
    EXPECT_EQ(f.member.ContentOf(f.member.CurrentConfig(f.now)), leader.latest_content());
  }
}

// Each change that a leader takes is worked out behind all that is not applied yet: one with much
// to catch up with would stand for each of them.
TEST(DeltaChanges, AreNotTakenByALeaderThatCatchesUp) {
  Alone a(true, 512);
  a.Lead();
  MemberOutput out;
  for (int i = 0; i < 3; ++i) {
    ChangeRequest w;
    w.change.id = "c" + std::to_string(i);
    w.change.document = Quotas(1000, 1000 + i);
    a.member.Submit(a.now, w, 10 + i, out);
  }
  const uint64_t last = out.writes.back().sequence_number;
  out = {};
  a.member.OnDurable(a.now, last, out);
  ASSERT_TRUE(a.member.raft_node().HasEntriesToApply());
  ChangeRequest w;
  w.change.id = "late";
  w.change.document = "{}";
  a.durable = last;
  out = {};
  a.member.Submit(a.now, w, 20, out);
  ASSERT_EQ(out.results.size(), 1U);
  EXPECT_EQ(out.results[0].result.kind, ChangeResult::Kind::kNoLeader);
  EXPECT_EQ(out.results[0].result.text, "a leads, and catches up");
  while (a.member.raft_node().HasEntriesToApply())
    a.Tick();
  EXPECT_EQ(a.Submit("late", "{}").kind, ChangeResult::Kind::kDone);
}

TEST(OtherContent, IsNotActedOnAndSaidOnce) {
  for (const bool votes : {false, true}) {
    Follower f(votes);
    VersionHistory leader;
    const std::string first = DeltaOf(leader, "c0", Bars(0));
    leader.Apply(1, first);
    const std::string second = DeltaOf(leader, "c1", Bars(1));
    leader.Apply(2, second);
    f.Take({first, EncodeInForceEntry(1, leader.versions().front().hash)});
    ASSERT_EQ(f.member.CurrentConfig(f.now).kind, EffectiveConfig::Kind::kAgreed);
    Change other;
    other.id = "c1";
    other.is_delta = true;
    other.document = Bars(8);
    MemberOutput out = f.Take({EncodeChangeEntry(other, {1, leader.versions().back().hash})});
    EXPECT_EQ(f.member.CurrentConfig(f.now).kind, EffectiveConfig::Kind::kIsolated);
    EXPECT_TRUE(f.member.ContentOf(f.member.CurrentConfig(f.now)).strict);
    EXPECT_EQ(f.member.content_mismatch_count(), 1U);
    const auto said = [](const MemberOutput& o) {
      return std::ranges::count_if(
          o.log, [](const std::string& l) { return l.find("not what was agreed") != l.npos; });
    };
    EXPECT_EQ(said(out), 1);
    // One that votes keeps its disk, which others may need: an operator lets it in anew.
    EXPECT_EQ(out.needs_resync.empty(), votes);
    out = f.Take({DeltaOf(leader, "c2", Bars(2))});
    EXPECT_EQ(said(out), 0);
    EXPECT_EQ(f.member.content_mismatch_count(), 1U);
    EXPECT_NE(f.member.Status(f.now)["content"], "agreed");
  }
}

}  // namespace
}  // namespace paddlestile::cluster
