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

std::string History::ChangeEntry(const Change& change, const Made& made) {
  json value = {{"kind", "change"},        {"id", change.id},         {"author", change.author},
                {"reason", change.reason}, {"unix_s", change.unix_s}, {"rules", change.rules}};
  if (change.expect) value["expect"] = *change.expect;
  if (change.delta) {
    // Under a key of its own: a program that knows no deltas refuses it, and takes it for no whole.
    value["delta"] = std::move(value["rules"]);
    value.erase("rules");
    value["base"] = made.base;
    value["hash"] = made.hash;
  }
  return Packed(value);
}

std::string History::OnEntry(uint64_t version, const std::string& hash) {
  json value = {{"kind", "on"}, {"version", version}};
  if (!hash.empty()) value["hash"] = hash;
  return Packed(value);
}

std::string History::FormedEntry() { return Packed({{"kind", "formed"}}); }

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
               : HashOf(version.rules.empty() ? ToText(*version.content) : version.rules);
}

History::Result History::Apply(raft::Index index, const std::string& entry) {
  const json value = Unpacked(entry);
  const std::string kind = value.value("kind", "");
  Result result;
  if (kind == "formed") formed_ = true;
  if (kind == "on") {
    result.on = true;
    result.version = value.value("version", uint64_t{0});
    const Version* const version = Find(result.version);
    if (version != nullptr || result.version > latest()) {
      const std::string agreed = value.value("hash", "");
      Compare(result.version, version != nullptr ? HashAs(agreed, *version) : "missing", agreed);
    }
    if (result.version > on_ && result.version <= latest()) TurnOn(result.version);
  }
  if (kind != "change") return result;
  result.change = true;
  result.id = value.value("id", "");
  if (auto before = Find(result.id)) {
    before->again = true;
    return *before;
  }
  const bool delta = value.contains("delta");
  std::string rules = value.value(delta ? "delta" : "rules", "");
  const auto expect = value.find("expect");
  const auto base = value.value("base", latest());
  const std::string agreed = value.value("hash", "");
  Content next;
  try {
    if (!delta) {
      next = ParseRules(rules);
    } else if (const auto faults = CheckDelta(rules); !faults.empty()) {
      result.refused = faults.front();
    }
  } catch (const std::invalid_argument& fault) {
    result.refused = fault.what();
  }
  if (!result.refused.empty()) {
    // Told above.
  } else if (expect != value.end() && *expect != latest()) {
    result.refused =
        "the latest version is " + std::to_string(latest()) + ", expected " + expect->dump();
  } else if (base != latest()) {
    // The leader knew what comes before it: whoever has another version there has missed one.
    result.refused = "a delta to version " + std::to_string(base) + ", the latest is " +
                     std::to_string(latest()) + " here";
    Differ(UINT64_MAX, result.refused);
  } else if (delta) {
    try {
      next = ApplyDelta(latest_content_, rules);
    } catch (const std::invalid_argument& fault) {
      result.refused = fault.what();
      // The leader made a version of it.
      if (!agreed.empty()) Differ(UINT64_MAX, result.refused);
    }
  }
  if (result.refused.empty()) {
    Version version;
    version.number = result.version = latest() + 1;
    version.id = result.id;
    version.author = value.value("author", "");
    version.reason = value.value("reason", "");
    version.unix_s = value.value("unix_s", 0.0);
    version.index = index;
    version.content = next;
    if (delta) {
      version.delta = std::move(rules);
    } else {
      version.rules = ToText(next);
      whole_at_ = version.number;
    }
    version.hash = HashOf(version);
    Compare(version.number, HashAs(agreed, version), agreed);
    const bool waits = on_ != latest() || !Contradictions(acting_, next).empty();
    versions_.push_back(std::move(version));
    latest_content_ = std::move(next);
    if (!waits) {
      TurnOn(latest());
    } else {
      acting_ = Stricter(acting_, latest_content_);
    }
  }
  ids_.emplace_back(result.id, result);
  Trim();
  return result;
}

std::optional<History::Result> History::Find(const std::string& id) const {
  const auto at = std::ranges::find(ids_, id, &std::pair<std::string, Result>::first);
  if (at == ids_.end()) return std::nullopt;
  return at->second;
}

const Version* History::Find(uint64_t number) const {
  const auto at = std::ranges::find(versions_, number, &Version::number);
  return at == versions_.end() ? nullptr : &*at;
}

void History::Differ(uint64_t version, const std::string& why) {
  differs_ = why;
  differs_at_ = std::max(differs_at_, version);
}

void History::Compare(uint64_t version, const std::string& here, const std::string& agreed) {
  if (agreed.empty()) return;  // of a bank whose changes are whole
  if (here != agreed) {
    return Differ(version, "version " + std::to_string(version) + " is " + here + " here, " +
                               agreed + " agreed");
  }
  if (version >= differs_at_) differs_.clear();
}

void History::Walk(uint64_t first,
                   const std::function<void(const Version&, const Content&)>& each) const {
  for (const Version& v : versions_) {
    if (v.content && v.number >= first) each(v, *v.content);
  }
}

// Those behind it are still to come.
void History::TurnOn(uint64_t version) {
  on_ = version;
  // What came whole owes nothing to what was here before.
  if (on_ >= whole_at_ && whole_at_ > differs_at_) differs_.clear();
  if (on_ == latest()) {
    acting_ = latest_content_;
    return;
  }
  bool first = true;
  Walk(on_, [&](const Version&, const Content& content) {
    acting_ = std::exchange(first, false) ? content : Stricter(acting_, content);
  });
}

void History::Trim() {
  // What is in force or to come stays whole.
  for (size_t i = 0; i + kWhole < versions_.size() && versions_[i].number < on_; ++i) {
    Version& old = versions_[i];
    if (!old.content) continue;
    old.content.reset();
    old.rules.clear();
    old.delta.clear();
    // The oldest that is kept is told whole, those behind it from it.
    versions_[i + 1].delta.clear();
  }
  while (versions_.size() > kVersions && versions_.front().number < on_) versions_.pop_front();
  while (ids_.size() > kIds) ids_.pop_front();
}

std::string History::Save() const {
  json versions = json::array(), ids = json::array();
  for (const Version& v : versions_) {
    const bool untold = v.content && v.rules.empty() && v.delta.empty();
    versions.push_back({v.number, v.id, v.author, v.reason, v.hash, v.unix_s,
                        untold ? ToText(*v.content) : v.rules, v.index});
    if (!v.delta.empty()) versions.back().push_back(v.delta);
  }
  for (const auto& [id, r] : ids_) ids.push_back({id, r.version, r.refused});
  return Packed({{"on", on_}, {"formed", formed_}, {"versions", versions}, {"ids", ids}});
}

void History::Load(const std::string& saved) {
  const json value = Unpacked(saved);
  *this = History();
  formed_ = value.value("formed", false);
  for (const json& v : value.value("versions", json::array())) {
    versions_.push_back({v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7]});
    if (v.size() > 8) versions_.back().delta = v[8];
  }
  for (const json& r : value.value("ids", json::array())) {
    Result result;
    result.change = true;
    result.id = r[0];
    result.version = r[1];
    result.refused = r[2];
    ids_.emplace_back(result.id, result);
  }
  for (Version& v : versions_) {
    if (v.rules.empty() && v.delta.empty()) continue;
    v.content =
        v.rules.empty() ? ApplyDelta(latest_content_, v.delta) : Content(ParseVersion(v.rules));
    latest_content_ = *v.content;
  }
  if (!versions_.empty()) Compare(latest(), HashOf(versions_.back()), versions_.back().hash);
  const uint64_t on = value.value("on", uint64_t{0});
  if (on > 0) return TurnOn(on);
  Walk(0, [&](const Version&, const Content& content) { acting_ = Stricter(acting_, content); });
}

}  // namespace paddlestile::cluster
