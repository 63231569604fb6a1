#include "cli/cluster_commands.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cluster/codec.h"
#include "cluster/delta.h"
#include "config/operator_config.h"
#include "gateway/cluster_agent.h"
#include "peer/blocking_call.h"

namespace paddlestile {
namespace {

using nlohmann::json;

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUsage = 2;
constexpr Duration kCallWithin{5'000'000};  // us
constexpr Duration kAgainAfter{100'000};    // us

struct Words {
  std::string file, operator_file, name, id, author, reason;
  std::vector<std::string> at;
  std::optional<uint64_t> expect;
  uint64_t a = 0, b = 0;
  double within = 10;
  bool as_json = false, delta = false;
};

int Say(int code, const std::string& text) {
  fmt::print(stderr, "paddlestile: bank: {}\n", text);
  return code;
}

// The members to ask, in turn.
std::vector<Address> Places(const Words& w) {
  std::vector<Address> places;
  for (const std::string& text : w.at) {
    places.push_back(ParseAddress(text));
  }
  if (!w.operator_file.empty()) {
    std::ifstream file(w.operator_file, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    if (!file) {
      throw ConfigError(w.operator_file + ": cannot read it, expected the operator's file");
    }
    for (const auto& [name, address] : ReadMemberAddresses(text, w.operator_file)) {
      places.push_back(address);
    }
  }
  if (places.empty()) {
    throw ConfigError("nobody to ask, expected --at ADDRESS or --operator FILE");
  }
  return places;
}

// The first that answers.
std::optional<json> AskAny(const Words& w, const json& call) {
  for (const Address& at : Places(w)) {
    if (auto answer = CallMember(at, call, kCallWithin)) {
      return answer;
    }
  }
  return std::nullopt;
}

int Nobody() {
  return Say(kFailed, "no member answers");
}

int Status(const Words& w) {
  json all = json::array();
  bool any = false;
  for (const Address& at : Places(w)) {
    auto answer = CallMember(at, StatusCall(), kCallWithin);
    any = any || answer.has_value();
    json one = answer ? std::move(*answer) : json{{"error", "no answer"}};
    one["address"] = ToText(at);
    all.push_back(std::move(one));
  }
  if (w.as_json) {
    fmt::print("{}\n", all.dump(2));
    return any ? kDone : kFailed;
  }
  for (const json& one : all) {
    if (one.contains("error")) {
      fmt::print("{:<10} {:<21} {}\n", "?", one["address"].get<std::string>(), "no answer");
      continue;
    }
    const std::string leader = one["leader"];
    fmt::print(
        "{:<10} {:<21} {:<9} {:<8} version {} on, {} taken; term {}, {}; lease {} ms; disk {}\n",
        one["name"].get<std::string>(), one["address"].get<std::string>(),
        one["role"].get<std::string>(), one["stance"].get<std::string>(),
        one["version_on"].get<uint64_t>(), one["version_latest"].get<uint64_t>(),
        one["term"].get<uint64_t>(),
        leader.empty() ? fmt::format("nobody has led for {} ms", one["no_leader_ms"].get<int64_t>())
                       : leader + " leads",
        one["lease_ms"].get<int64_t>(), one["disk"].get<std::string>());
    // One of an earlier program tells nothing of it.
    if (!one.contains("changes")) {
      continue;
    }
    fmt::print("{:<10} {:<21} changes {}; the last one {} bytes, the version {}; content {}\n", "",
               "", one["changes"].get<std::string>(), one["change_bytes"].get<uint64_t>(),
               one["version_bytes"].get<uint64_t>(), one["content"].get<std::string>());
  }
  for (const json& one : all) {
    if (one.contains("error")) {
      continue;
    }
    fmt::print(
        "bound: no two gateways act on rules that contradict each other for longer than {} ms\n",
        one["bound_ms"].get<int64_t>());
    break;
  }
  return any ? kDone : kFailed;
}

int History(const Words& w) {
  // The versions' texts may be many and large, and are shown as JSON alone.
  json call = {{"what", "history"}};
  if (!w.as_json) {
    call["texts"] = json::array();
  }
  const auto answer = AskAny(w, call);
  if (!answer) {
    return Nobody();
  }
  if (w.as_json) {
    fmt::print("{}\n", (*answer)["versions"].dump(2));
    return kDone;
  }
  for (const json& v : (*answer)["versions"]) {
    const auto at = static_cast<std::time_t>(v["unix_s"].get<double>());
    fmt::print("{:>5} {} {:%Y-%m-%d %H:%M:%S}Z {} {}: {}\n", v["version"].get<uint64_t>(),
               v["hash"].get<std::string>(), fmt::gmtime(at),
               v["on"].get<bool>() ? "on   " : "taken", v["author"].get<std::string>(),
               v["reason"].get<std::string>());
  }
  return kDone;
}

// Line by line of the two as indented JSON: what one has and the other has not.
int Diff(const Words& w) {
  const uint64_t wanted[2] = {w.a, w.b};
  const auto answer = AskAny(w, {{"what", "history"}, {"texts", wanted}});
  if (!answer) {
    return Nobody();
  }
  json rules[2];
  for (int i = 0; i < 2; ++i) {
    if (wanted[i] == 0) {
      rules[i] = json::parse(cluster::ToText(cluster::ConfigDocument()));
      continue;
    }
    bool found = false;
    for (const json& v : (*answer)["versions"]) {
      if (v["version"] != wanted[i]) {
        continue;
      }
      rules[i] = json::parse(v["rules"].get<std::string>(), nullptr, false);
      found = !rules[i].is_discarded();
    }
    if (!found) {
      return Say(kFailed, fmt::format("version {} is not kept whole, expected one of the last {}",
                                      wanted[i], cluster::VersionHistory::kFullVersions));
    }
  }
  const json patch = json::diff(rules[0], rules[1]);
  if (w.as_json) {
    fmt::print("{}\n", patch.dump(2));
    return kDone;
  }
  for (const json& step : patch) {
    const std::string path = step["path"];
    const json::json_pointer at(path);
    const std::string op = step["op"];
    if (op != "add") {
      fmt::print("- {} {}\n", path, rules[0][at].dump());
    }
    if (op != "remove") {
      fmt::print("+ {} {}\n", path, step["value"].dump());
    }
  }
  const cluster::VersionContent contents[] = {cluster::ParseVersion(rules[0].dump()),
                                              cluster::ParseVersion(rules[1].dump())};
  for (const std::string& why : cluster::Contradictions(contents[0], contents[1])) {
    fmt::print("contradicts: {}\n", why);
  }
  return kDone;
}

// Submits until it is told done or refused: the same id counts once however often it comes.
int Submit(const Words& w, cluster::ChangeRequest wish) {
  if (wish.change.id.empty()) {
    std::random_device device;
    wish.change.id = fmt::format("{:08x}{:08x}", device(), device());
  }
  wish.change.author = w.author;
  if (w.author.empty()) {
    const char* const user = std::getenv("USER");
    wish.change.author = user != nullptr ? user : "operator";
  }
  wish.change.reason = w.reason;
  wish.change.submitted_unix_s =
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  const json call = {{"what", "submit"}, {"wish", cluster::ToJson(wish)}};
  const std::vector<Address> places = Places(w);
  const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(w.within);
  std::string last = "no member answers";
  for (size_t turn = 0; turn == 0 || std::chrono::steady_clock::now() < until; ++turn) {
    if (turn >= places.size()) {
      std::this_thread::sleep_for(kAgainAfter);
    }
    const auto answer = CallMember(places[turn % places.size()], call, kCallWithin);
    if (!answer) {
      continue;
    }
    if (answer->contains("error")) {
      last = (*answer)["error"].get<std::string>();
      continue;
    }
    const auto told = cluster::ReadChangeResult(answer->value("answer", json()));
    if (!told) {
      continue;
    }
    if (told->kind == cluster::ChangeResult::Kind::kDone) {
      if (w.as_json) {
        fmt::print("{}\n", json{{"id", told->id}, {"version", told->version}}.dump());
      } else if (told->version > 0) {
        fmt::print("{}: version {} is on\n", told->id, told->version);
      } else {
        fmt::print("{}: done\n", told->id);
      }
      return kDone;
    }
    if (told->kind == cluster::ChangeResult::Kind::kRefused) {
      return Say(kFailed, "refused: " + told->text);
    }
    last = told->text;
  }
  return Say(kFailed, fmt::format("{}; not told done within {} s: submit it again with --id {}",
                                  last, w.within, wish.change.id));
}

int Change(const Words& w) {
  std::ifstream file(w.file, std::ios::binary);
  cluster::ChangeRequest wish;
  wish.change.document =
      std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file) {
    return Say(kWrongUsage, w.file + ": cannot read it, expected a file of rules (JSON)");
  }
  wish.change.is_delta = w.delta;
  const std::vector<std::string> faults = w.delta ? cluster::ValidateDelta(wish.change.document)
                                                  : cluster::ValidateDocument(wish.change.document);
  for (const std::string& fault : faults) {
    fmt::print(stderr, "{}: {}\n", w.file, fault);
  }
  if (!faults.empty()) {
    return kWrongUsage;
  }
  wish.change.id = w.id;
  wish.change.expected_version = w.expect;
  return Submit(w, std::move(wish));
}

int Voters(const Words& w, cluster::ChangeRequest::Kind kind) {
  cluster::ChangeRequest wish;
  wish.kind = kind;
  wish.name = w.name;
  wish.change.id = w.id;
  return Submit(w, std::move(wish));
}

int Init(const Words& w) {
  if (w.operator_file.empty()) {
    return Say(kWrongUsage, "no file, expected --operator FILE");
  }
  const ClusterConfig config = ReadClusterConfig(w.operator_file, w.name);
  if (!config.members.at(w.name).votes) {
    return Say(kWrongUsage, w.name + ": does not vote, expected one of the voters");
  }
  InitCluster(config, w.name);
  fmt::print("{}: begun; start the members, the other voters join by themselves\n", config.folder);
  return kDone;
}

}  // namespace

std::function<int()> AddBankCommands(CLI::App& app) {
  const auto w = std::make_shared<Words>();
  CLI::App* const bank = app.add_subcommand("bank", "Settings and lists that gateways agree on");
  bank->require_subcommand(1);
  const auto command = [&](CLI::App* under, const char* name, const char* about,
                           const char* footer) {
    CLI::App* const c = under->add_subcommand(name, about);
    c->footer(std::string("Exit codes: 0 done, 1 not, 2 wrong usage.\n\nExamples:\n") + footer);
    c->add_option("--operator", w->operator_file,
                  "the operator's file: all members are asked in turn");
    return c;
  };
  const auto asks = [&](CLI::App* c) {
    c->add_option("--at", w->at, "a member's address in the bank; several are asked in turn");
    c->add_flag("--json", w->as_json, "for programs");
    return c;
  };
  const auto submits = [&](CLI::App* c) {
    asks(c);
    c->add_option("--id", w->id, "the same id again is the same change, and counts once");
    c->add_option("--author", w->author, "who wants it; $USER where none is given");
    c->add_option("--reason", w->reason, "why, for the history");
    c->add_option("--within", w->within, "seconds to go on asking")
        ->check(CLI::Range(0.1, 3600.0))
        ->capture_default_str();
    return c;
  };
  CLI::App* const init = command(bank, "init", "Begin a bank at its first voter",
                                 "  paddlestile bank init --operator bank.toml --name g0");
  init->add_option("--name", w->name, "that member")->required();
  CLI::App* const status = asks(command(bank, "status", "Who is there, who leads, what is acted on",
                                        "  paddlestile bank status --operator bank.toml"));
  CLI::App* const history = asks(command(bank, "history", "The versions, the oldest first",
                                         "  paddlestile bank history --at 127.0.0.1:7000"));
  CLI::App* const diff = asks(command(bank, "diff", "What differs between two versions",
                                      "  paddlestile bank diff 3 4 --at 127.0.0.1:7000"));
  diff->add_option("A", w->a, "a version; 0: nothing agreed")->required();
  diff->add_option("B", w->b, "another")->required();
  CLI::App* const change = submits(command(
      bank, "change", "Submit a whole new version, or a delta to the latest",
      "  paddlestile bank change rules.json --operator bank.toml --reason 'h-3 burns' --expect 4"));
  change->add_option("FILE", w->file, "settings, barred, drain, zone_only (JSON)")->required();
  change->add_option("--expect", w->expect, "refuse where another version is the latest");
  change->add_flag("--delta", w->delta,
                   "FILE tells what to set and remove in the latest version (changes = \"delta\")");
  CLI::App* const voters = bank->add_subcommand("voters", "Who votes");
  voters->require_subcommand(1);
  CLI::App* const add = submits(command(voters, "add", "Let a member vote",
                                        "  paddlestile bank voters add g7 --operator bank.toml"));
  CLI::App* const remove =
      submits(command(voters, "remove", "Let a member vote no more",
                      "  paddlestile bank voters remove g7 --at 127.0.0.1:7000"));
  CLI::App* const replace =
      submits(command(voters, "replace", "Let a voter in anew that came back with another disk",
                      "  paddlestile bank voters replace g1 --operator bank.toml"));
  for (CLI::App* const c : {add, remove, replace}) {
    c->add_option("NAME", w->name, "the member")->required();
  }
  return [=] {
    if (!bank->parsed()) {
      return -1;
    }
    try {
      if (init->parsed()) {
        return Init(*w);
      }
      if (status->parsed()) {
        return Status(*w);
      }
      if (history->parsed()) {
        return History(*w);
      }
      if (diff->parsed()) {
        return Diff(*w);
      }
      if (change->parsed()) {
        return Change(*w);
      }
      return Voters(*w, add->parsed()      ? cluster::ChangeRequest::Kind::kAddVoter
                        : remove->parsed() ? cluster::ChangeRequest::Kind::kRemoveVoter
                                           : cluster::ChangeRequest::Kind::kReplaceVoter);
    } catch (const ConfigError& error) {
      fmt::print(stderr, "{}\n", error.what());
      return kWrongUsage;
    } catch (const std::exception& error) {
      return Say(kFailed, error.what());
    }
  };
}

}  // namespace paddlestile
