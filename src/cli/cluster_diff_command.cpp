// `paddlestile bank diff`.
#include <fmt/format.h>

#include <memory>

#include "cli/cluster_client.h"
#include "cli/cluster_commands.h"
#include "cli/exit_codes.h"
#include "cluster/codec.h"

namespace paddlestile {
namespace {

using nlohmann::json;

struct DiffOptions {
  MemberCallOptions call;
  uint64_t from = 0;  // version numbers; 0 is the empty document before the first version
  uint64_t to = 0;
};

// Returns the document of a version in a history reply, or nullopt if its text is not available.
std::optional<json> FindDocument(const json& versions, uint64_t number) {
  if (number == 0) {
    return json::parse(cluster::ToText(cluster::ConfigDocument()));
  }
  std::optional<json> document;
  for (const json& version : versions) {
    if (version["version"] != number) {
      continue;
    }
    json parsed = json::parse(version["rules"].get<std::string>(), nullptr, false);
    if (parsed.is_discarded()) {
      document.reset();
    } else {
      document = std::move(parsed);
    }
  }
  return document;
}

int FailNoText(uint64_t number) {
  return FailClusterCommand(
      kExitFailed, fmt::format("version {} has no stored text, expected one of the last {}", number,
                               cluster::VersionHistory::kFullVersions));
}

// Prints one line for each value that only one of the documents has.
void PrintPatch(const json& patch, const json& from) {
  for (const json& step : patch) {
    const std::string path = step["path"];
    const std::string operation = step["op"];
    if (operation != "add") {
      fmt::print("- {} {}\n", path, from[json::json_pointer(path)].dump());
    }
    if (operation != "remove") {
      fmt::print("+ {} {}\n", path, step["value"].dump());
    }
  }
}

int Diff(const DiffOptions& options) {
  const uint64_t wanted[2] = {options.from, options.to};
  const auto reply = CallAnyMember(options.call, {{"what", "history"}, {"texts", wanted}});
  if (!reply) {
    return FailNoReply();
  }
  const json& versions = (*reply)["versions"];
  const std::optional<json> from = FindDocument(versions, options.from);
  if (!from) {
    return FailNoText(options.from);
  }
  const std::optional<json> to = FindDocument(versions, options.to);
  if (!to) {
    return FailNoText(options.to);
  }
  const json patch = json::diff(*from, *to);
  if (options.call.as_json) {
    fmt::print("{}\n", patch.dump(2));
    return kExitDone;
  }
  PrintPatch(patch, *from);
  const cluster::VersionContent from_content = cluster::ParseVersion(from->dump());
  const cluster::VersionContent to_content = cluster::ParseVersion(to->dump());
  for (const std::string& reason : cluster::Contradictions(from_content, to_content)) {
    fmt::print("contradicts: {}\n", reason);
  }
  return kExitDone;
}

}  // namespace

Subcommand AddClusterDiffCommand(CLI::App& bank) {
  const auto options = std::make_shared<DiffOptions>();
  CLI::App* const diff = AddClusterSubcommand(
      bank, "diff", "Print the differences between two versions",
      "  paddlestile bank diff 3 4 --at 127.0.0.1:7000", options->call.operator_file);
  AddCallOptions(*diff, options->call);
  diff->add_option("A", options->from, "a version; 0 is the state before the first version")
      ->required();
  diff->add_option("B", options->to, "another version")->required();
  return {diff, [options] {
            return Diff(*options);
          }};
}

}  // namespace paddlestile
