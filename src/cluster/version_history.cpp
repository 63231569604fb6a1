#include "cluster/version_history.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "cluster/delta.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

std::string Packed(const json& value) {
  std::string out;
  json::to_cbor(value, out);
  return out;
}

json Unpacked(const std::string& bytes) {
  json value = json::from_cbor(bytes, true, false);
  return value.is_object() ? value : json::object();
}

}  // namespace

std::string VersionHistory::ChangeEntry(const Change& change, const DeltaResult& made) {
  json value = {{"kind", "change"},
                {"id", change.id},
                {"author", change.author},
                {"reason", change.reason},
                {"unix_s", change.submitted_unix_s},
                {"rules", change.document}};
  if (change.expected_version) {
    value["expect"] = *change.expected_version;
  }
  if (change.is_delta) {
    // Under a key of its own: a program that knows no deltas refuses it, and takes it for no whole.
    value["delta"] = std::move(value["rules"]);
    value.erase("rules");
    value["base"] = made.base_version;
    value["hash"] = made.hash;
  }
  return Packed(value);
}

std::string VersionHistory::InForceEntry(uint64_t version, const std::string& hash) {
  json value = {{"kind", "on"}, {"version", version}};
  if (!hash.empty()) {
    value["hash"] = hash;
  }
  return Packed(value);
}

std::string VersionHistory::FormedEntry() {
  return Packed({{"kind", "formed"}});
}

namespace {

// The version's hash in the form in which `agreed` was told.
std::string HashAs(const std::string& agreed, const Version& version) {
  const bool parts = agreed.starts_with('p');
  if (agreed.empty() || !version.content || parts == version.hash.starts_with('p')) {
    return version.hash;
  }
  return parts ? HashOf(*version.content) : HashOf(ToText(*version.content));
}

}  // namespace

std::string HashOf(const Version& version) {
  const bool parts = !version.delta.empty() || version.hash.starts_with('p');
  return parts ? HashOf(*version.content)
               : HashOf(version.document.empty() ? ToText(*version.content) : version.document);
}

VersionHistory::Result VersionHistory::Apply(raft::Index index, const std::string& entry) {
  const json value = Unpacked(entry);
  const std::string kind = value.value("kind", "");
  Result result;
  if (kind == "formed") {
    formed_ = true;
  }
  if (kind == "on") {
    result.is_in_force = true;
    result.version = value.value("version", uint64_t{0});
    const Version* const version = Find(result.version);
    if (version != nullptr || result.version > latest_version()) {
      const std::string agreed = value.value("hash", "");
      CompareHash(result.version, version != nullptr ? HashAs(agreed, *version) : "missing",
                  agreed);
    }
    if (result.version > version_in_force_ && result.version <= latest_version()) {
      PutInForce(result.version);
    }
  }
  if (kind != "change") {
    return result;
  }
  result.is_change = true;
  result.id = value.value("id", "");
  if (auto before = Find(result.id)) {
    before->is_repeat = true;
    return *before;
  }
  const bool delta = value.contains("delta");
  std::string rules = value.value(delta ? "delta" : "rules", "");
  const auto expect = value.find("expect");
  const auto base = value.value("base", latest_version());
  const std::string agreed = value.value("hash", "");
  VersionContent next;
  try {
    if (!delta) {
      next = ParseDocument(rules);
    } else if (const auto faults = ValidateDelta(rules); !faults.empty()) {
      result.refusal_reason = faults.front();
    }
  } catch (const std::invalid_argument& fault) {
    result.refusal_reason = fault.what();
  }
  if (!result.refusal_reason.empty()) {
    // Told above.
  } else if (expect != value.end() && *expect != latest_version()) {
    result.refusal_reason = "the latest version is " + std::to_string(latest_version()) +
                            ", expected " + expect->dump();
  } else if (base != latest_version()) {
    // The leader knew what comes before it: whoever has another version there has missed one.
    result.refusal_reason = "a delta to version " + std::to_string(base) + ", the latest is " +
                            std::to_string(latest_version()) + " here";
    RecordMismatch(UINT64_MAX, result.refusal_reason);
  } else if (delta) {
    try {
      next = ApplyDelta(latest_content_, rules);
    } catch (const std::invalid_argument& fault) {
      result.refusal_reason = fault.what();
      // The leader made a version of it.
      if (!agreed.empty()) {
        RecordMismatch(UINT64_MAX, result.refusal_reason);
      }
    }
  }
  if (result.refusal_reason.empty()) {
    Version version;
    version.number = result.version = latest_version() + 1;
    version.id = result.id;
    version.author = value.value("author", "");
    version.reason = value.value("reason", "");
    version.submitted_unix_s = value.value("unix_s", 0.0);
    version.index = index;
    version.content = next;
    if (delta) {
      version.delta = std::move(rules);
    } else {
      version.document = ToText(next);
      last_full_version_ = version.number;
    }
    version.hash = HashOf(version);
    CompareHash(version.number, HashAs(agreed, version), agreed);
    const bool waits =
        version_in_force_ != latest_version() || !Contradictions(effective_content_, next).empty();
    versions_.push_back(std::move(version));
    latest_content_ = std::move(next);
    if (!waits) {
      PutInForce(latest_version());
    } else {
      effective_content_ = StricterOf(effective_content_, latest_content_);
    }
  }
  ids_.emplace_back(result.id, result);
  Trim();
  return result;
}

std::optional<VersionHistory::Result> VersionHistory::Find(const std::string& id) const {
  const auto at = std::ranges::find(ids_, id, &std::pair<std::string, Result>::first);
  if (at == ids_.end()) {
    return std::nullopt;
  }
  return at->second;
}

const Version* VersionHistory::Find(uint64_t number) const {
  const auto at = std::ranges::find(versions_, number, &Version::number);
  return at == versions_.end() ? nullptr : &*at;
}

void VersionHistory::RecordMismatch(uint64_t version, const std::string& why) {
  content_mismatch_ = why;
  mismatch_version_ = std::max(mismatch_version_, version);
}

void VersionHistory::CompareHash(uint64_t version, const std::string& here,
                                 const std::string& agreed) {
  if (agreed.empty()) {
    return;  // of a bank whose changes are whole
  }
  if (here != agreed) {
    return RecordMismatch(version, "version " + std::to_string(version) + " is " + here +
                                       " here, " + agreed + " agreed");
  }
  if (version >= mismatch_version_) {
    content_mismatch_.clear();
  }
}

void VersionHistory::ForEachVersion(
    uint64_t first, const std::function<void(const Version&, const VersionContent&)>& each) const {
  for (const Version& v : versions_) {
    if (v.content && v.number >= first) {
      each(v, *v.content);
    }
  }
}

// Those behind it are still to come.
void VersionHistory::PutInForce(uint64_t version) {
  version_in_force_ = version;
  // What came whole owes nothing to what was here before.
  if (version_in_force_ >= last_full_version_ && last_full_version_ > mismatch_version_) {
    content_mismatch_.clear();
  }
  if (version_in_force_ == latest_version()) {
    effective_content_ = latest_content_;
    return;
  }
  bool first = true;
  ForEachVersion(version_in_force_, [&](const Version&, const VersionContent& content) {
    effective_content_ =
        std::exchange(first, false) ? content : StricterOf(effective_content_, content);
  });
}

void VersionHistory::Trim() {
  // What is in force or to come stays whole.
  for (size_t i = 0;
       i + kFullVersions < versions_.size() && versions_[i].number < version_in_force_; ++i) {
    Version& old = versions_[i];
    if (!old.content) {
      continue;
    }
    old.content.reset();
    old.document.clear();
    old.delta.clear();
    // The oldest that is kept is told whole, those behind it from it.
    versions_[i + 1].delta.clear();
  }
  while (versions_.size() > kMaxVersions && versions_.front().number < version_in_force_) {
    versions_.pop_front();
  }
  while (ids_.size() > kMaxChangeIds) {
    ids_.pop_front();
  }
}

std::string VersionHistory::Save() const {
  json versions = json::array(), ids = json::array();
  for (const Version& v : versions_) {
    const bool untold = v.content && v.document.empty() && v.delta.empty();
    versions.push_back({v.number, v.id, v.author, v.reason, v.hash, v.submitted_unix_s,
                        untold ? ToText(*v.content) : v.document, v.index});
    if (!v.delta.empty()) {
      versions.back().push_back(v.delta);
    }
  }
  for (const auto& [id, r] : ids_) {
    ids.push_back({id, r.version, r.refusal_reason});
  }
  return Packed(
      {{"on", version_in_force_}, {"formed", formed_}, {"versions", versions}, {"ids", ids}});
}

void VersionHistory::Load(const std::string& saved) {
  const json value = Unpacked(saved);
  *this = VersionHistory();
  formed_ = value.value("formed", false);
  for (const json& v : value.value("versions", json::array())) {
    versions_.push_back({v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7]});
    if (v.size() > 8) {
      versions_.back().delta = v[8];
    }
  }
  for (const json& r : value.value("ids", json::array())) {
    Result result;
    result.is_change = true;
    result.id = r[0];
    result.version = r[1];
    result.refusal_reason = r[2];
    ids_.emplace_back(result.id, result);
  }
  for (Version& v : versions_) {
    if (v.document.empty() && v.delta.empty()) {
      continue;
    }
    v.content = v.document.empty() ? ApplyDelta(latest_content_, v.delta)
                                   : VersionContent(ParseVersion(v.document));
    latest_content_ = *v.content;
  }
  if (!versions_.empty()) {
    CompareHash(latest_version(), HashOf(versions_.back()), versions_.back().hash);
  }
  const uint64_t on = value.value("on", uint64_t{0});
  if (on > 0) {
    return PutInForce(on);
  }
  ForEachVersion(0, [&](const Version&, const VersionContent& content) {
    effective_content_ = StricterOf(effective_content_, content);
  });
}

}  // namespace paddlestile::cluster
