// The versions that the log's entries make, the same at every member that has applied the same
// entries. No I/O.
#ifndef PADDLESTILE_BANK_HISTORY_H_
#define PADDLESTILE_BANK_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "bank/agreement.h"
#include "bank/rules.h"

namespace paddlestile::bank {

// What somebody wants.
struct Change {
  std::string id;  // the submitter's: the same id again is the same change, however often it comes
  std::string author, reason;
  double unix_s = 0;               // when it was submitted, for people; decides nothing
  std::optional<uint64_t> expect;  // refused where another version is the latest by then
  std::string rules;               // the whole version
};

struct Version {
  uint64_t number = 0;
  std::string id, author, reason, hash;
  double unix_s = 0;
  std::string rules;  // of the last kWhole alone
  Index index = 0;
};

class History {
 public:
  static constexpr size_t kWhole = 16;      // versions kept whole
  static constexpr size_t kVersions = 256;  // versions remembered
  static constexpr size_t kIds = 1024;      // changes by whose ids a repeat is known

  // The entries.
  static std::string ChangeEntry(const Change& change);
  static std::string OnEntry(uint64_t version);
  static std::string FormedEntry();

  struct Result {
    bool change = false, on = false;  // what the entry was
    std::string id;                   // of a change
    bool again = false;               // it had been taken before
    uint64_t version = 0;             // 0: refused
    std::string refused;
  };
  Result Apply(Index index, const std::string& entry);

  // Whether this id was taken, and as what.
  [[nodiscard]] std::optional<Result> Find(const std::string& id) const;

  [[nodiscard]] std::string Save() const;
  void Load(const std::string& saved);

  // The version in force, and the last that was taken: it comes into force once every member that
  // may act has it. 0: none yet, the platform's alone.
  [[nodiscard]] uint64_t on() const { return on_; }
  [[nodiscard]] uint64_t latest() const { return versions_.empty() ? 0 : versions_.back().number; }
  // The entry that every member that holds a lease must have applied.
  [[nodiscard]] Index latest_index() const {
    return versions_.empty() ? 0 : versions_.back().index;
  }
  // What to act on: the version in force, and of those behind it only what is stricter.
  [[nodiscard]] const Rules& acting() const { return acting_; }
  [[nodiscard]] const std::deque<Version>& versions() const { return versions_; }
  [[nodiscard]] const Version* Find(uint64_t number) const;
  // All voters that the operator's file named at first have joined.
  [[nodiscard]] bool formed() const { return formed_; }

 private:
  void TurnOn(uint64_t version);
  void Trim();

  std::deque<Version> versions_;
  std::deque<std::pair<std::string, Result>> ids_;
  uint64_t on_ = 0;
  bool formed_ = false;
  Rules acting_;
};

}  // namespace paddlestile::bank

#endif  // PADDLESTILE_BANK_HISTORY_H_
