// The log through a disk that fails: what was promised durable is there after any loss of power,
// and nothing else is ever told than a beginning of what was appended.
#include "storage/write_ahead_log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <optional>
#include <random>

#include "storage/faulty_files.h"

namespace paddlestile::storage {
namespace {

using Records = std::vector<std::string>;

Records Told(FileSystem& files) {
  Records told;
  const WriteAheadLog log(files, "f", [&](std::string_view r) { told.emplace_back(r); });
  return told;
}

std::string Some(std::mt19937_64& random, int i) {
  return "record " + std::to_string(i) + std::string(random() % 200, static_cast<char>(random()));
}

// Whether `told` is a beginning of `appended` with the first `durable` at least.
::testing::AssertionResult Begins(const Records& told, const Records& appended, size_t durable) {
  if (told.size() < durable) {
    return ::testing::AssertionFailure() << told.size() << " of " << durable << " durable ones";
  }
  if (told.size() > appended.size() || !std::equal(told.begin(), told.end(), appended.begin())) {
    return ::testing::AssertionFailure() << "told what was not appended there";
  }
  return ::testing::AssertionSuccess();
}

// Power lost after each call that changes something, over all of a history with an exchange in it.
TEST(Log, HoldsWhatIsDurableWheneverPowerIsLost) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    for (size_t power = 0; power < 60; ++power) {
      FaultyFileSystem files(seed * 1000 + power);
      files.power_after = power;
      std::mt19937_64 random(seed);
      Records appended;
      size_t durable = 0;
      std::optional<Records> before;  // an exchange on its way: the old ones or the new ones
      try {
        WriteAheadLog log(files, "f", [](std::string_view) {});
        for (int i = 0; i < 20; ++i) {
          appended.push_back(Some(random, i));
          log.Append(appended.back());
          if (random() % 3 == 0)
            log.Sync(), durable = appended.size();
          if (i == 12) {
            const Records now(appended.end() - 3, appended.end());
            before = appended;
            log.Replace(now);
            before.reset();
            appended = now;
            durable = appended.size();
          }
        }
      } catch (const FileError&) {
      }
      files.Restore();
      const Records told = Told(files);
      const bool exchanged = before && told == Records(before->end() - 3, before->end());
      EXPECT_TRUE(exchanged || Begins(told, appended, durable)) << "seed " << seed << ", " << power;
      // A second loss right in the recovery changes nothing of that.
      EXPECT_EQ(Told(files), told);
    }
  }
}

// Cut at every byte: a beginning of the records, never a mix and never one that was not there.
TEST(Log, CutAtAnyByteTellsABeginning) {
  std::mt19937_64 random(5);
  Records appended;
  FaultyFileSystem whole(1);
  {
    WriteAheadLog log(whole, "f", [](std::string_view) {});
    for (int i = 0; i < 12; ++i) {
      appended.push_back(Some(random, i));
      log.Append(appended.back());
      log.Sync();
    }
  }
  const std::string bytes = whole.Read("f/log");
  size_t most = 0;
  for (size_t size = 0; size <= bytes.size(); ++size) {
    FaultyFileSystem files(1);
    files.Open("f/log", 0)->Append(std::string_view(bytes).substr(0, size));
    const Records told = Told(files);
    EXPECT_TRUE(Begins(told, appended, 0)) << size;
    EXPECT_GE(told.size(), most);
    most = told.size();
  }
  EXPECT_EQ(most, appended.size());
}

// A flipped bit before the last record is refused with its place, not read over and not cut off:
// a voter that goes on without what it had would vote as if it remembered.
TEST(Log, RefusesAFlippedBitBeforeTheEnd) {
  FaultyFileSystem whole(1);
  std::vector<uint64_t> ends;
  {
    WriteAheadLog log(whole, "f", [](std::string_view) {});
    for (int i = 0; i < 6; ++i) {
      log.Append("record " + std::to_string(i));
      log.Sync();
      ends.push_back(log.size());
    }
  }
  const std::string bytes = whole.Read("f/log");
  for (size_t byte = 0; byte < bytes.size(); ++byte) {
    FaultyFileSystem files(1);
    files.Open("f/log", 0)->Append(bytes);
    files.Flip("f/log", byte, static_cast<int>(byte % 8));
    const auto before = std::ranges::upper_bound(ends, byte) - ends.begin();
    if (byte >= ends[ends.size() - 2]) {
      EXPECT_EQ(Told(files).size(), ends.size() - 1) << byte;  // the last: as if cut while written
      continue;
    }
    try {
      Told(files);
      ADD_FAILURE() << "byte " << byte;
    } catch (const CorruptionError& error) {
      const uint64_t at = byte < 24 ? 0 : before == 0 ? 24 : ends[static_cast<size_t>(before) - 1];
      const std::string where =
          byte >= 8 && byte < 16 ? "f/log at " : "f/log at " + std::to_string(at) + ":";
      EXPECT_TRUE(std::string(error.what()).starts_with(where)) << byte << ": " << error.what();
    }
    EXPECT_EQ(files.Read("f/log").size(), bytes.size());  // and left as it is
  }
}

TEST(Log, WritesAgainOnceThereIsRoom) {
  FaultyFileSystem files(1);
  WriteAheadLog log(files, "f", [](std::string_view) {});
  log.Append("one");
  files.room = 20;
  EXPECT_THROW(log.Append("two"), FileError);
  files.room = SIZE_MAX;
  log.Append("two");
  log.Sync();
  EXPECT_EQ(Told(files), (Records{"one", "two"}));
}

// After a failed sync nobody knows what the disk has: nothing more is promised.
TEST(Log, IsOfNoUseAfterAFailedSync) {
  FaultyFileSystem files(1);
  WriteAheadLog log(files, "f", [](std::string_view) {});
  log.Append("one");
  files.sync_fails = true;
  EXPECT_THROW(log.Sync(), FileError);
  EXPECT_TRUE(log.broken());
  EXPECT_THROW(log.Append("two"), FileError);
  EXPECT_THROW(log.Sync(), FileError);
}

// A file of before an exchange that comes back behind the new one's records is not theirs.
TEST(Log, DoesNotTakeRecordsOfAnotherTime) {
  FaultyFileSystem files(1);
  std::string old;
  {
    WriteAheadLog log(files, "f", [](std::string_view) {});
    for (const char* const r : {"a", "b", "c"})
      log.Append(r), log.Sync();
    old = files.Read("f/log").substr(24);
    log.Replace({"now"});
  }
  const std::string now = files.Read("f/log");
  files.Open("f/log", now.size())->Append(old);
  EXPECT_EQ(Told(files), (Records{"now"}));
}

TEST(Log, KeepsASecondProcessOutAndIsOnARealDisk) {
  const std::string folder = ::testing::TempDir() + "log-" + std::to_string(getpid());
  FileSystem& files = SystemFiles();
  files.MakeFolder(folder);
  Records told;
  {
    const auto lock = files.Lock(folder + "/lock");
    ASSERT_TRUE(lock);
    EXPECT_FALSE(files.Lock(folder + "/lock"));
    WriteAheadLog log(files, folder, [](std::string_view) {});
    log.Append("one");
    log.Sync();
    log.Replace({"one", "two"});
    log.Append("three");
    log.Sync();
    WriteAheadLog::Read(files, folder, [&](std::string_view r) { told.emplace_back(r); });
  }
  EXPECT_EQ(told, (Records{"one", "two", "three"}));
  EXPECT_TRUE(files.Lock(folder + "/lock"));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace paddlestile::storage
