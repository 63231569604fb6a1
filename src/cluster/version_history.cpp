#include "cluster/version_history.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "cluster/cbor.h"
#include "cluster/delta.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

// Whether `hash` is a hash of a content's parts rather than of a version's text.
bool IsPartsHash(const std::string& hash) {
  return hash.starts_with('p');
}

// Returns the version's hash of the same kind as `agreed_hash`, by parts or by text.
std::string ComparableHash(const std::string& agreed_hash, const Version& version) {
  if (agreed_hash.empty() || !version.content ||
      IsPartsHash(agreed_hash) == IsPartsHash(version.hash)) {
    return version.hash;
  }
  return IsPartsHash(agreed_hash) ? HashOf(*version.content) : HashOf(ToText(*version.content));
}

}  // namespace

std::string HashOf(const Version& version) {
  if (!version.delta.empty() || IsPartsHash(version.hash)) {
    return HashOf(*version.content);
  }
  return HashOf(version.document.empty() ? ToText(*version.content) : version.document);
}

// ---- Entries ----------------------------------------------------------------------------------

VersionHistory::Result VersionHistory::Apply(raft::Index index, const std::string& bytes) {
  const ClusterEntry entry = DecodeClusterEntry(bytes);
  Result result;
  switch (entry.kind) {
    case ClusterEntry::Kind::kChange:
      return ApplyChange(index, entry);
    case ClusterEntry::Kind::kInForce:
      ApplyInForce(entry);
      result.is_in_force = true;
      result.version = entry.version;
      break;
    case ClusterEntry::Kind::kFormed:
      formed_ = true;
      break;
    case ClusterEntry::Kind::kUnknown:
      break;
  }
  return result;
}

void VersionHistory::ApplyInForce(const ClusterEntry& entry) {
  const Version* const version = Find(entry.version);
  // A version that is no longer kept cannot be compared.
  if (version != nullptr || entry.version > latest_version()) {
    CompareHash(entry.version,
                version != nullptr ? ComparableHash(entry.hash, *version) : "missing", entry.hash);
  }
  if (entry.version > version_in_force_ && entry.version <= latest_version()) {
    PutInForce(entry.version);
  }
}

VersionHistory::Result VersionHistory::ApplyChange(raft::Index index, const ClusterEntry& entry) {
  if (auto earlier = Find(entry.change.id)) {
    earlier->is_repeat = true;
    return *earlier;
  }
  Result result;
  result.is_change = true;
  result.id = entry.change.id;
  AppliedChange applied = MakeContent(entry);
  if (applied.refusal_reason.empty()) {
    AddVersion(index, entry, std::move(applied.content));
    result.version = latest_version();
  } else {
    result.refusal_reason = std::move(applied.refusal_reason);
  }
  applied_ids_.push_back({result.id, result});
  Trim();
  return result;
}

VersionHistory::AppliedChange VersionHistory::MakeContent(const ClusterEntry& entry) {
  const Change& change = entry.change;
  AppliedChange applied;
  try {
    if (!change.is_delta) {
      applied.content = ParseDocument(change.document);
    } else if (const auto errors = ValidateDelta(change.document); !errors.empty()) {
      return {{}, errors.front()};
    }
  } catch (const std::invalid_argument& error) {
    return {{}, error.what()};
  }
  const std::string latest = std::to_string(latest_version());
  if (change.expected_version.value_or(latest_version()) != latest_version()) {
    return {{},
            "the latest version is " + latest + ", expected " +
                std::to_string(*change.expected_version)};
  }
  if (const uint64_t base = entry.base_version.value_or(latest_version());
      base != latest_version()) {
    // The leader knew all entries before the delta, so this member has missed a version.
    const std::string reason =
        "a delta to version " + std::to_string(base) + ", the latest is " + latest + " here";
    RecordMismatch(kNumberingMismatch, reason);
    return {{}, reason};
  }
  if (!change.is_delta) {
    return applied;
  }
  try {
    applied.content = ApplyDelta(latest_content_, change.document);
  } catch (const std::invalid_argument& error) {
    applied.refusal_reason = error.what();
    // The leader states a hash only if it could apply the delta, so this member's content differs.
    if (!entry.hash.empty()) {
      RecordMismatch(kNumberingMismatch, applied.refusal_reason);
    }
  }
  return applied;
}

void VersionHistory::AddVersion(raft::Index index, const ClusterEntry& entry,
                                VersionContent content) {
  const Change& change = entry.change;
  Version version;
  version.number = latest_version() + 1;
  version.id = change.id;
  version.author = change.author;
  version.reason = change.reason;
  version.submitted_unix_s = change.submitted_unix_s;
  version.index = index;
  version.content = content;
  if (change.is_delta) {
    version.delta = change.document;
  } else {
    version.document = ToText(content);
    last_whole_version_ = version.number;
  }
  version.hash = HashOf(version);
  CompareHash(version.number, ComparableHash(entry.hash, version), entry.hash);
  // Versions that do not contradict each other may be used by gateways at the same time.
  const bool in_force_at_once =
      version_in_force_ == latest_version() && Contradictions(effective_content_, content).empty();
  versions_.push_back(std::move(version));
  latest_content_ = std::move(content);
  if (in_force_at_once) {
    PutInForce(latest_version());
  } else {
    effective_content_ = StricterOf(effective_content_, latest_content_);
  }
}

std::optional<VersionHistory::Result> VersionHistory::Find(const std::string& id) const {
  const auto applied = std::ranges::find(applied_ids_, id, &AppliedId::id);
  if (applied == applied_ids_.end()) {
    return std::nullopt;
  }
  return applied->result;
}

const Version* VersionHistory::Find(uint64_t number) const {
  const auto version = std::ranges::find(versions_, number, &Version::number);
  return version == versions_.end() ? nullptr : &*version;
}

void VersionHistory::ForEachVersion(
    uint64_t first, const std::function<void(const Version&, const VersionContent&)>& each) const {
  for (const Version& version : versions_) {
    if (version.content && version.number >= first) {
      each(version, *version.content);
    }
  }
}

// ---- Mismatches -------------------------------------------------------------------------------

void VersionHistory::RecordMismatch(uint64_t version, const std::string& reason) {
  content_mismatch_ = reason;
  mismatch_version_ = std::max(mismatch_version_, version);
}

void VersionHistory::CompareHash(uint64_t version, const std::string& own_hash,
                                 const std::string& agreed_hash) {
  if (agreed_hash.empty()) {
    return;
  }
  if (own_hash != agreed_hash) {
    return RecordMismatch(version, "version " + std::to_string(version) + " is " + own_hash +
                                       " here, " + agreed_hash + " agreed");
  }
  if (version >= mismatch_version_) {
    content_mismatch_.clear();
  }
}

// ---- In force ---------------------------------------------------------------------------------

void VersionHistory::PutInForce(uint64_t version) {
  version_in_force_ = version;
  // A whole version does not depend on this member's previous content.
  if (version_in_force_ >= last_whole_version_ && last_whole_version_ > mismatch_version_) {
    content_mismatch_.clear();
  }
  if (version_in_force_ == latest_version()) {
    effective_content_ = latest_content_;
    return;
  }
  bool is_first = true;
  ForEachVersion(version_in_force_, [&](const Version&, const VersionContent& content) {
    effective_content_ =
        std::exchange(is_first, false) ? content : StricterOf(effective_content_, content);
  });
}

// The version in force and all later ones keep their content.
void VersionHistory::Trim() {
  for (size_t i = 0;
       i + kFullVersions < versions_.size() && versions_[i].number < version_in_force_; ++i) {
    Version& old = versions_[i];
    if (!old.content) {
      continue;
    }
    old.content.reset();
    old.document.clear();
    old.delta.clear();
    // The next version has lost its base, so its content is saved instead of its delta.
    versions_[i + 1].delta.clear();
  }
  while (versions_.size() > kMaxVersions && versions_.front().number < version_in_force_) {
    versions_.pop_front();
  }
  while (applied_ids_.size() > kMaxChangeIds) {
    applied_ids_.pop_front();
  }
}

// ---- Snapshots --------------------------------------------------------------------------------
//
// Snapshots are stored. Their keys and the positions in their arrays must not change.

std::string VersionHistory::Save() const {
  json versions = json::array();
  json ids = json::array();
  for (const Version& version : versions_) {
    const bool is_saved_by_content =
        version.content && version.document.empty() && version.delta.empty();
    versions.push_back({version.number, version.id, version.author, version.reason, version.hash,
                        version.submitted_unix_s,
                        is_saved_by_content ? ToText(*version.content) : version.document,
                        version.index});
    if (!version.delta.empty()) {
      versions.back().push_back(version.delta);
    }
  }
  for (const AppliedId& applied : applied_ids_) {
    ids.push_back({applied.id, applied.result.version, applied.result.refusal_reason});
  }
  return EncodeCbor(
      {{"on", version_in_force_}, {"formed", formed_}, {"versions", versions}, {"ids", ids}});
}

void VersionHistory::Load(const std::string& saved) {
  const json value = DecodeCborObject(saved);
  *this = VersionHistory();
  formed_ = value.value("formed", false);
  for (const json& fields : value.value("versions", json::array())) {
    versions_.push_back(
        {fields[0], fields[1], fields[2], fields[3], fields[4], fields[5], fields[6], fields[7]});
    if (fields.size() > 8) {
      versions_.back().delta = fields[8];
    }
  }
  for (const json& fields : value.value("ids", json::array())) {
    Result result;
    result.is_change = true;
    result.id = fields[0];
    result.version = fields[1];
    result.refusal_reason = fields[2];
    applied_ids_.push_back({result.id, result});
  }
  for (Version& version : versions_) {
    if (version.document.empty() && version.delta.empty()) {
      continue;  // its content is not kept
    }
    version.content = version.document.empty() ? ApplyDelta(latest_content_, version.delta)
                                               : VersionContent(ParseVersion(version.document));
    latest_content_ = *version.content;
  }
  if (!versions_.empty()) {
    CompareHash(latest_version(), HashOf(versions_.back()), versions_.back().hash);
  }
  const uint64_t in_force = value.value("on", uint64_t{0});
  if (in_force > 0) {
    return PutInForce(in_force);
  }
  ForEachVersion(0, [&](const Version&, const VersionContent& content) {
    effective_content_ = StricterOf(effective_content_, content);
  });
}

}  // namespace paddlestile::cluster
