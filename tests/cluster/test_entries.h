// Log entries for the tests of the cluster library.
#ifndef PADDLESTILE_TESTS_CLUSTER_TEST_ENTRIES_H_
#define PADDLESTILE_TESTS_CLUSTER_TEST_ENTRIES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_entry.h"
#include "cluster/delta.h"
#include "cluster/version_history.h"

namespace paddlestile::cluster::testing {

// Returns the entry of a change that is a whole version.
inline std::string WholeEntry(const std::string& id, const std::string& document,
                              std::optional<uint64_t> expected_version = {}) {
  Change change;
  change.id = id;
  change.document = document;
  change.expected_version = expected_version;
  return EncodeChangeEntry(change);
}

// Returns the entry of a delta as a correct leader with this history proposes it.
inline std::string DeltaEntry(const VersionHistory& history, const std::string& id,
                              const std::string& delta,
                              std::optional<uint64_t> expected_version = {}) {
  Change change;
  change.id = id;
  change.document = delta;
  change.expected_version = expected_version;
  change.is_delta = true;
  return EncodeChangeEntry(
      change, {history.latest_version(), HashOf(ApplyDelta(history.latest_content(), delta))});
}

// Returns the texts of the versions whose content is kept.
inline std::vector<std::string> KeptTexts(const VersionHistory& history) {
  std::vector<std::string> texts;
  history.ForEachVersion(
      0, [&](const Version&, const VersionContent& content) { texts.push_back(ToText(content)); });
  return texts;
}

// Returns the delta that excludes host `h<i>`.
inline std::string ExcludeHostDelta(int i) {
  return R"({"barred":{"add":["h)" + std::to_string(i) + "\"]}}";
}

}  // namespace paddlestile::cluster::testing

#endif  // PADDLESTILE_TESTS_CLUSTER_TEST_ENTRIES_H_
