#include "cluster/cluster_entry.h"

#include "cluster/cbor.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

constexpr const char* kChangeKind = "change";
constexpr const char* kInForceKind = "on";
constexpr const char* kFormedKind = "formed";

Change DecodeChange(const json& value) {
  Change change;
  change.id = value.value("id", "");
  change.author = value.value("author", "");
  change.reason = value.value("reason", "");
  change.submitted_unix_s = value.value("unix_s", 0.0);
  if (const auto expected = value.find("expect"); expected != value.end()) {
    change.expected_version = expected->get<uint64_t>();
  }
  change.is_delta = value.contains("delta");
  change.document = value.value(change.is_delta ? "delta" : "rules", "");
  return change;
}

}  // namespace

std::string EncodeChangeEntry(const Change& change, const DeltaResult& result) {
  json value = {{"kind", kChangeKind},
                {"id", change.id},
                {"author", change.author},
                {"reason", change.reason},
                {"unix_s", change.submitted_unix_s}};
  if (change.expected_version) {
    value["expect"] = *change.expected_version;
  }
  if (change.is_delta) {
    // A separate key, so that a build without deltas refuses the change instead of interpreting the
    // delta as a whole version.
    value["delta"] = change.document;
    value["base"] = result.base_version;
    value["hash"] = result.hash;
  } else {
    value["rules"] = change.document;
  }
  return EncodeCbor(value);
}

std::string EncodeInForceEntry(uint64_t version, const std::string& hash) {
  json value = {{"kind", kInForceKind}, {"version", version}};
  if (!hash.empty()) {
    value["hash"] = hash;
  }
  return EncodeCbor(value);
}

std::string EncodeFormedEntry() {
  return EncodeCbor({{"kind", kFormedKind}});
}

ClusterEntry DecodeClusterEntry(const std::string& bytes) {
  const json value = DecodeCborObject(bytes);
  const std::string kind = value.value("kind", "");
  ClusterEntry entry;
  if (kind == kFormedKind) {
    entry.kind = ClusterEntry::Kind::kFormed;
  } else if (kind == kInForceKind) {
    entry.kind = ClusterEntry::Kind::kInForce;
    entry.version = value.value("version", uint64_t{0});
    entry.hash = value.value("hash", "");
  } else if (kind == kChangeKind) {
    entry.kind = ClusterEntry::Kind::kChange;
    entry.change = DecodeChange(value);
    if (value.contains("base")) {
      entry.base_version = value["base"].get<uint64_t>();
    }
    entry.hash = value.value("hash", "");
  }
  return entry;
}

}  // namespace paddlestile::cluster
