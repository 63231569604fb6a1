#include "bank/history.h"

#include <algorithm>
#include <utility>

namespace paddlestile::bank {
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

std::string History::ChangeEntry(const Change& change) {
  json value = {{"kind", "change"},        {"id", change.id},         {"author", change.author},
                {"reason", change.reason}, {"unix_s", change.unix_s}, {"rules", change.rules}};
  if (change.expect) value["expect"] = *change.expect;
  return Packed(value);
}

std::string History::OnEntry(uint64_t version) {
  return Packed({{"kind", "on"}, {"version", version}});
}

std::string History::FormedEntry() { return Packed({{"kind", "formed"}}); }

History::Result History::Apply(Index index, const std::string& entry) {
  const json value = Unpacked(entry);
  const std::string kind = value.value("kind", "");
  Result result;
  if (kind == "formed") formed_ = true;
  if (kind == "on") {
    result.on = true;
    result.version = value.value("version", uint64_t{0});
    if (result.version > on_ && result.version <= latest()) TurnOn(result.version);
  }
  if (kind != "change") return result;
  result.change = true;
  result.id = value.value("id", "");
  if (auto before = Find(result.id)) {
    before->again = true;
    return *before;
  }
  const std::string rules = value.value("rules", "");
  const std::vector<std::string> faults = CheckRules(rules);
  const auto expect = value.find("expect");
  if (!faults.empty()) {
    result.refused = faults.front();
  } else if (expect != value.end() && *expect != latest()) {
    result.refused =
        "the latest version is " + std::to_string(latest()) + ", expected " + expect->dump();
  } else {
    Version version;
    version.number = result.version = latest() + 1;
    version.id = result.id;
    version.author = value.value("author", "");
    version.reason = value.value("reason", "");
    version.unix_s = value.value("unix_s", 0.0);
    version.rules = ToText(ParseRules(rules));
    version.hash = HashOf(version.rules);
    version.index = index;
    const bool waits = on_ != latest() || !Contradictions(acting_, ParseRules(rules)).empty();
    versions_.push_back(std::move(version));
    if (!waits) {
      TurnOn(latest());
    } else {
      acting_ = Stricter(acting_, ParseRules(rules));
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

// Those behind it are still to come.
void History::TurnOn(uint64_t version) {
  on_ = version;
  bool first = true;
  for (const Version& v : versions_) {
    if (v.number < on_) continue;
    const Rules rules = ParseRules(v.rules);
    acting_ = std::exchange(first, false) ? rules : Stricter(acting_, rules);
  }
}

void History::Trim() {
  while (versions_.size() > kVersions && versions_.front().number < on_) versions_.pop_front();
  // What is in force or to come stays whole.
  for (size_t i = 0; i + kWhole < versions_.size() && versions_[i].number < on_; ++i) {
    versions_[i].rules.clear();
  }
  while (ids_.size() > kIds) ids_.pop_front();
}

std::string History::Save() const {
  json versions = json::array(), ids = json::array();
  for (const Version& v : versions_) {
    versions.push_back({v.number, v.id, v.author, v.reason, v.hash, v.unix_s, v.rules, v.index});
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
  }
  for (const json& r : value.value("ids", json::array())) {
    Result result;
    result.change = true;
    result.id = r[0];
    result.version = r[1];
    result.refused = r[2];
    ids_.emplace_back(result.id, result);
  }
  const uint64_t on = value.value("on", uint64_t{0});
  if (on > 0) return TurnOn(on);
  for (const Version& v : versions_) acting_ = Stricter(acting_, ParseRules(v.rules));
}

}  // namespace paddlestile::bank
