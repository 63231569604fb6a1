// Tests the write-ahead log on failing disks: synced records survive any power loss, and the
// records found are always a prefix of the appended ones.
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

using RecordList = std::vector<std::string>;

constexpr size_t kFileHeaderBytes = 24;

// Opens the log in folder "f" and returns the records that it reports.
RecordList OpenAndReadRecords(FileSystem& files) {
  RecordList found;
  const WriteAheadLog log(files, "f", [&](std::string_view record) { found.emplace_back(record); });
  return found;
}

// Opens the log in folder "f" and ignores its records.
WriteAheadLog OpenLog(FileSystem& files) {
  return WriteAheadLog(files, "f", [](std::string_view) {});
}

std::string RandomRecord(std::mt19937_64& random, int number) {
  return "record " + std::to_string(number) +
         std::string(random() % 200, static_cast<char>(random()));
}

// Whether `found` is a prefix of `appended` that contains at least the first `durable_count`
// records.
::testing::AssertionResult IsPrefix(const RecordList& found, const RecordList& appended,
                                    size_t durable_count) {
  if (found.size() < durable_count) {
    return ::testing::AssertionFailure()
           << found.size() << " of " << durable_count << " durable ones";
  }
  if (found.size() > appended.size() || !std::equal(found.begin(), found.end(), appended.begin())) {
    return ::testing::AssertionFailure() << "found a record that was not appended there";
  }
  return ::testing::AssertionSuccess();
}

// The records appended to a log, and how many of them must survive a power loss.
struct History {
  RecordList appended;
  size_t durable_count = 0;
  std::optional<RecordList> replaced;  // during a Replace(), the old records
};

// Appends 20 records and syncs at random. After the thirteenth, replaces the log with its last
// three records.
void WriteHistory(FileSystem& files, uint64_t seed, History& history) {
  std::mt19937_64 random(seed);
  WriteAheadLog log = OpenLog(files);
  for (int number = 0; number < 20; ++number) {
    history.appended.push_back(RandomRecord(random, number));
    log.Append(history.appended.back());
    if (random() % 3 == 0) {
      log.Sync();
      history.durable_count = history.appended.size();
    }
    if (number == 12) {
      const RecordList kept(history.appended.end() - 3, history.appended.end());
      history.replaced = history.appended;
      log.Replace(kept);
      history.replaced.reset();
      history.appended = kept;
      history.durable_count = kept.size();
    }
  }
}

// Simulates a power loss after each modifying call of the history.
TEST(WriteAheadLogTest, DurableRecordsSurviveAPowerLossAtAnyTime) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    for (size_t calls = 0; calls < 60; ++calls) {
      FaultyFileSystem files(seed * 1000 + calls);
      files.power_loss_after_calls = calls;
      History history;
      try {
        WriteHistory(files, seed, history);
      } catch (const FileError&) {
      }
      files.RestorePower();
      const RecordList found = OpenAndReadRecords(files);
      const std::optional<RecordList>& replaced = history.replaced;
      const bool is_replaced =
          replaced && found == RecordList(replaced->end() - 3, replaced->end());
      EXPECT_TRUE(is_replaced || IsPrefix(found, history.appended, history.durable_count))
          << "seed " << seed << ", " << calls;
      // Opening the log again reports the same records.
      EXPECT_EQ(OpenAndReadRecords(files), found);
    }
  }
}

TEST(WriteAheadLogTest, FileTruncatedAtAnyByteContainsAPrefix) {
  std::mt19937_64 random(5);
  RecordList appended;
  FaultyFileSystem complete(1);
  {
    WriteAheadLog log = OpenLog(complete);
    for (int number = 0; number < 12; ++number) {
      appended.push_back(RandomRecord(random, number));
      log.Append(appended.back());
      log.Sync();
    }
  }
  const std::string contents = complete.Read("f/log");
  size_t most_records = 0;
  for (size_t size = 0; size <= contents.size(); ++size) {
    FaultyFileSystem files(1);
    files.Open("f/log", 0)->Append(std::string_view(contents).substr(0, size));
    const RecordList found = OpenAndReadRecords(files);
    EXPECT_TRUE(IsPrefix(found, appended, 0)) << size;
    EXPECT_GE(found.size(), most_records);
    most_records = found.size();
  }
  EXPECT_EQ(most_records, appended.size());
}

// If a bit before the last record is flipped, opening the log fails with the record's offset. The
// record must be neither skipped nor truncated: a voter that lost records could vote twice in a
// term, or for a candidate without committed entries.
TEST(WriteAheadLogTest, RefusesAFlippedBitBeforeTheLastRecord) {
  FaultyFileSystem complete(1);
  std::vector<uint64_t> record_ends;
  {
    WriteAheadLog log = OpenLog(complete);
    for (int number = 0; number < 6; ++number) {
      log.Append("record " + std::to_string(number));
      log.Sync();
      record_ends.push_back(log.size());
    }
  }
  const std::string contents = complete.Read("f/log");
  for (size_t byte = 0; byte < contents.size(); ++byte) {
    FaultyFileSystem files(1);
    files.Open("f/log", 0)->Append(contents);
    files.FlipBit("f/log", byte, static_cast<int>(byte % 8));
    if (byte >= record_ends[record_ends.size() - 2]) {
      // A damaged last record is treated like one that was not written completely.
      EXPECT_EQ(OpenAndReadRecords(files).size(), record_ends.size() - 1) << byte;
      continue;
    }
    const auto records_before = std::ranges::upper_bound(record_ends, byte) - record_ends.begin();
    try {
      OpenAndReadRecords(files);
      ADD_FAILURE() << "byte " << byte;
    } catch (const CorruptionError& error) {
      const uint64_t offset = byte < kFileHeaderBytes ? 0
                              : records_before == 0
                                  ? kFileHeaderBytes
                                  : record_ends[static_cast<size_t>(records_before) - 1];
      const bool is_format_or_checksum = byte >= 8 && byte < 16;
      const std::string where =
          is_format_or_checksum ? "f/log at " : "f/log at " + std::to_string(offset) + ":";
      EXPECT_TRUE(std::string(error.what()).starts_with(where)) << byte << ": " << error.what();
    }
    EXPECT_EQ(files.Read("f/log").size(), contents.size());  // the file is unchanged
  }
}

TEST(WriteAheadLogTest, AppendsAgainOnceSpaceIsAvailable) {
  FaultyFileSystem files(1);
  WriteAheadLog log = OpenLog(files);
  log.Append("one");
  files.free_bytes = 20;
  EXPECT_THROW(log.Append("two"), FileError);
  files.free_bytes = SIZE_MAX;
  log.Append("two");
  log.Sync();
  EXPECT_EQ(OpenAndReadRecords(files), (RecordList{"one", "two"}));
}

// After a failed sync it is not known which records are durable, so the log must accept no more.
TEST(WriteAheadLogTest, IsBrokenAfterAFailedSync) {
  FaultyFileSystem files(1);
  WriteAheadLog log = OpenLog(files);
  log.Append("one");
  files.next_sync_fails = true;
  EXPECT_THROW(log.Sync(), FileError);
  EXPECT_TRUE(log.broken());
  EXPECT_THROW(log.Append("two"), FileError);
  EXPECT_THROW(log.Sync(), FileError);
}

// Blocks of the old file that reappear after the new records must not be mistaken for records.
TEST(WriteAheadLogTest, IgnoresRecordsFromBeforeAReplacement) {
  FaultyFileSystem files(1);
  std::string old_records;
  {
    WriteAheadLog log = OpenLog(files);
    for (const char* const record : {"a", "b", "c"}) {
      log.Append(record);
      log.Sync();
    }
    old_records = files.Read("f/log").substr(kFileHeaderBytes);
    log.Replace({"now"});
  }
  const std::string contents = files.Read("f/log");
  files.Open("f/log", contents.size())->Append(old_records);
  EXPECT_EQ(OpenAndReadRecords(files), (RecordList{"now"}));
}

TEST(WriteAheadLogTest, LocksAndReplacesFilesOnARealDisk) {
  const std::string folder = ::testing::TempDir() + "log-" + std::to_string(getpid());
  FileSystem& files = SystemFiles();
  files.MakeFolder(folder);
  RecordList found;
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
    WriteAheadLog::Read(files, folder,
                        [&](std::string_view record) { found.emplace_back(record); });
  }
  EXPECT_EQ(found, (RecordList{"one", "two", "three"}));
  EXPECT_TRUE(files.Lock(folder + "/lock"));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace paddlestile::storage
