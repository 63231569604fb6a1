#include "cluster/cluster_member.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include "cluster/delta.h"

namespace paddlestile::cluster {
namespace {

constexpr raft::Index kNear = 64;  // entries that one who is to vote may be behind

// What an entry takes to apply beside its own bytes, whatever the version's size: parsed, its parts
// found, what they contradict.
constexpr size_t kEntryWork = 4 << 10;

double Seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

}  // namespace

Duration BoundOf(const raft::Timing& timing, Duration slack) {
  return raft::WaitFor(timing) + slack;
}

Member::Member(Options options, raft::Disk disk, uint64_t seed, Time now)
    : options_(std::move(options)),
      agreement_(options_.name, options_.timing, std::move(disk), seed, now),
      started_(now) {
  agreement_.Weigh(kEntryWork);
}

void Member::Linked(Time now, const std::string& name, uint64_t life, const raft::Claim& of_you,
                    MemberOutput& out) {
  linked_[name] = life;
  agreement_.Linked(now, name, life, of_you, out);
  After(now, out);
}

void Member::Unlinked(Time now, const std::string& name, MemberOutput& out) {
  linked_.erase(name);
  agreement_.Unlinked(name);
  After(now, out);
}

void Member::Receive(Time now, const raft::Message& message, MemberOutput& out) {
  agreement_.Receive(now, message, out);
  After(now, out);
}

void Member::Durable(Time now, uint64_t ticket, MemberOutput& out) {
  agreement_.Durable(now, ticket, out);
  After(now, out);
}

void Member::Tick(Time now, MemberOutput& out) {
  agreement_.Tick(now, out);
  After(now, out);
}

Time Member::NextDue() const {
  Time due = agreement_.NextDue();
  for (const auto& [id, waiting] : waiting_) due = std::min(due, waiting.until);
  return due;
}

// ---- Changes ----------------------------------------------------------------------------------

std::string Member::WhoLeads(Time now) const {
  if (!agreement_.leader().empty()) return agreement_.leader() + " leads";
  return "nobody has led for " + std::to_string((now - agreement_.heard()).count() / 1000) + " ms";
}

void Member::Give(const Waiting& waiting, Answer answer, MemberOutput& out) {
  if (waiting.ticket) {
    out.answers.emplace_back(*waiting.ticket, std::move(answer));
  } else {
    out.notes.push_back({options_.name, waiting.from, std::nullopt, std::move(answer)});
  }
}

void Member::Submit(Time now, Wish wish, uint64_t ticket, MemberOutput& out) {
  Waiting waiting;
  waiting.ticket = ticket;
  waiting.until = now + options_.answer_within;
  Take(now, std::move(wish), std::move(waiting), out);
  After(now, out);
}

void Member::Receive(Time now, const Note& note, MemberOutput& out) {
  if (note.wish) {
    Waiting waiting;
    waiting.from = note.from;
    waiting.until = now + options_.answer_within;
    // A leader that is not: the one that asked learns it, and looks again.
    if (!agreement_.Leads(now)) {
      Give(waiting, {Answer::Kind::kNobody, note.wish->change.id, 0, WhoLeads(now)}, out);
    } else {
      Take(now, *note.wish, std::move(waiting), out);
    }
  }
  if (note.answer) {
    const auto at = waiting_.find(note.answer->id);
    if (at != waiting_.end() && at->second.sent) {
      Give(at->second, *note.answer, out);
      waiting_.erase(at);
    }
  }
  After(now, out);
}

void Member::Take(Time now, Wish wish, Waiting waiting, MemberOutput& out) {
  const std::string id = wish.change.id;
  const auto give = [&](Answer::Kind kind, std::string text) {
    Give(waiting, {kind, id, 0, std::move(text)}, out);
  };
  if (id.empty()) return give(Answer::Kind::kRefused, "a change without an id");
  if (const auto at = waiting_.find(id); at != waiting_.end()) {
    // The same again: the newer one gets the answer.
    Give(at->second, {Answer::Kind::kUnknown, id, 0, "asked for again elsewhere"}, out);
    waiting_.erase(at);
  }
  if (!agreement_.Leads(now)) {
    const std::string& leader = agreement_.leader();
    if (leader.empty() || leader == options_.name || !linked_.contains(leader)) {
      return give(Answer::Kind::kNobody, WhoLeads(now));
    }
    waiting.sent = true;
    out.notes.push_back({options_.name, leader, std::move(wish), std::nullopt});
    waiting_[id] = std::move(waiting);
    return;
  }
  if (wish.kind != Wish::Kind::kChange) return TakeVoters(now, wish, std::move(waiting), out);
  // Each change would be worked out behind all of that.
  if (agreement_.Behind()) return give(Answer::Kind::kNobody, WhoLeads(now) + ", and catches up");
  if (const auto before = history_.Find(id)) {
    if (before->version == 0) return give(Answer::Kind::kRefused, before->refused);
    waiting.version = before->version;
    waiting_[id] = std::move(waiting);
    return;
  }
  std::vector<std::string> faults;
  const auto entry = EntryOf(wish.change, faults);
  if (!entry) {
    std::string all;
    for (const std::string& fault : faults) all += (all.empty() ? "" : "\n") + fault;
    return give(Answer::Kind::kRefused, all);
  }
  agreement_.Propose(now, *entry, out);
  waiting.term = agreement_.term();
  waiting_[id] = std::move(waiting);
}

// The entry that a leader makes of a change; nothing where it has faults.
std::optional<std::string> Member::EntryOf(const Change& change,
                                           std::vector<std::string>& faults) const {
  faults = change.delta ? CheckDelta(change.rules) : CheckRules(change.rules);
  if (change.delta && !options_.deltas) {
    faults = {"a delta, and " + options_.name +
              " leads with whole changes, expected changes = \"delta\" in its operator's file"};
  }
  // A leader that has other content knows no delta: a whole version is the same from any.
  const bool differs = !history_.differs().empty();
  if (change.delta && differs) {
    faults = {"a delta, and the content of " + options_.name +
              ", which leads, is not what was agreed; expected a whole version"};
  }
  if (!faults.empty()) return std::nullopt;
  if (!options_.deltas || differs) return History::ChangeEntry(change);
  // What is proposed already comes before it, in whatever term it is agreed.
  const History* latest = &history_;
  std::optional<History> ahead;
  for (raft::Index i = std::max(agreement_.applied() + 1, agreement_.first());
       i <= agreement_.last(); ++i) {
    const raft::Entry& entry = agreement_.EntryAt(i);
    if (entry.kind != raft::Entry::Kind::kData) continue;
    if (!ahead) latest = &ahead.emplace(history_);
    ahead->Apply(i, entry.bytes);
  }
  try {
    Change delta = change;
    delta.delta = true;
    const Content next = change.delta ? ApplyDelta(latest->latest_content(), change.rules)
                                      : Content(ParseRules(change.rules));
    if (!change.delta) delta.rules = Difference(latest->latest_content(), next);
    const bool smaller = delta.rules.size() <= std::min(kDeltaMost, change.rules.size());
    if (!change.delta && !smaller) return History::ChangeEntry(change);
    return History::ChangeEntry(delta, {latest->latest(), HashOf(next)});
  } catch (const std::invalid_argument& fault) {
    faults = {fault.what()};
    return std::nullopt;
  }
}

void Member::TakeVoters(Time now, const Wish& wish, Waiting waiting, MemberOutput& out) {
  std::vector<raft::Voter> voters = agreement_.voters();
  const auto at = std::ranges::find(voters, wish.name, &raft::Voter::name);
  const auto linked = linked_.find(wish.name);
  const uint64_t life = wish.name == options_.name ? agreement_.life()
                        : linked != linked_.end()  ? linked->second
                                                   : 0;
  const auto refuse = [&](const std::string& text) {
    Give(waiting, {Answer::Kind::kRefused, wish.change.id, 0, wish.name + ": " + text}, out);
  };
  if (wish.kind == Wish::Kind::kRemoveVoter) {
    if (at == voters.end()) return refuse("does not vote");
    if (voters.size() == 1) return refuse("is the last that votes");
    voters.erase(at);
  } else {
    if (life == 0) return refuse("is not linked to the leader, or has no disk");
    if (at != voters.end() && at->life == life) return refuse("votes already");
    if (wish.kind == Wish::Kind::kAddVoter) {
      if (at != voters.end()) return refuse("votes with another disk, expected replace");
      if (agreement_.MatchOf(wish.name) + kNear < agreement_.last()) return refuse("is far behind");
      if (voters.size() >= raft::kVotersMost) return refuse("is one more than may vote");
      voters.push_back({wish.name, life});
    } else {
      if (at == voters.end()) return refuse("does not vote, expected add");
      // Not both at once: a majority of the old voters and one of the new need one in common.
      voters.erase(at);
    }
  }
  const auto here = std::ranges::count_if(voters, [&](const raft::Voter& v) {
    const auto link = linked_.find(v.name);
    return v == raft::Voter{options_.name, agreement_.life()} ||
           (link != linked_.end() && link->second == v.life);
  });
  if (2 * static_cast<size_t>(here) <= voters.size()) {
    return refuse("too few of the voters that were left are here with their disks");
  }
  const auto index = agreement_.ProposeVoters(now, std::move(voters), out);
  if (!index) return refuse("an earlier change of voters is not agreed yet");
  if (wish.kind == Wish::Kind::kReplaceVoter) then_add_ = wish.name;
  waiting.index = *index;
  waiting.term = agreement_.term();
  waiting_[wish.change.id] = std::move(waiting);
}

// The voters that the file names join one by one as they come, until all are there.
void Member::Form(Time now, MemberOutput& out) {
  if (then_add_) {
    const auto linked = linked_.find(*then_add_);
    if (linked == linked_.end()) return;
    std::vector<raft::Voter> voters = agreement_.voters();
    if (std::ranges::find(voters, *then_add_, &raft::Voter::name) != voters.end())
      return then_add_.reset();
    voters.push_back({*then_add_, linked->second});
    if (const auto index = agreement_.ProposeVoters(now, std::move(voters), out)) {
      for (auto& [id, waiting] : waiting_) {
        if (waiting.index > 0) waiting.index = *index;
      }
      then_add_.reset();
    }
    return;
  }
  if (history_.formed() || formed_proposed_) return;
  std::vector<raft::Voter> voters = agreement_.voters();
  bool all = true;
  for (const std::string& name : options_.first_voters) {
    if (std::ranges::find(voters, name, &raft::Voter::name) != voters.end()) continue;
    all = false;
    const auto linked = linked_.find(name);
    if (linked == linked_.end() || agreement_.MatchOf(name) + kNear < agreement_.last()) continue;
    voters.push_back({name, linked->second});
    agreement_.ProposeVoters(now, std::move(voters), out);
    return;
  }
  if (all) formed_proposed_ = agreement_.Propose(now, History::FormedEntry(), out).has_value();
}

// What follows from what has happened, until nothing more does.
void Member::After(Time now, MemberOutput& out) {
  std::vector<raft::Applied> applied = std::move(out.applied);
  out.applied.clear();
  for (const raft::Applied& a : applied) {
    if (a.snapshot) {
      history_.Load(a.snapshot->bytes);
    } else if (a.entry.kind == raft::Entry::Kind::kData) {
      const History::Result result = history_.Apply(a.index, a.entry.bytes);
      if (result.change && result.version > 0 && !result.again) {
        const Version& v = history_.versions().back();
        out.log.push_back("bank: version " + std::to_string(v.number) + " is taken, by " +
                          v.author + ": " + v.reason);
      }
      if (result.on) out.log.push_back("bank: version " + std::to_string(history_.on()) + " is on");
      const auto at = waiting_.find(result.id);
      if (result.change && at != waiting_.end() && !at->second.sent) {
        at->second.version = result.version;
        if (result.version == 0) {
          Give(at->second, {Answer::Kind::kRefused, result.id, 0, result.refused}, out);
          waiting_.erase(at);
        }
      }
    }
  }
  const bool differs = !history_.differs().empty();
  if (differs && !differs_) {
    ++differed_;
    out.log.push_back("bank: its content is not what was agreed: " + history_.differs() +
                      "; strict rules until it is");
    if (!agreement_.Votes() && !agreement_.Forgot()) out.needs_anew = history_.differs();
  }
  if (!differs && differs_) out.log.emplace_back("bank: its content is what was agreed again");
  differs_ = differs;
  agreement_.Require(history_.latest_index());
  const auto here = static_cast<size_t>(std::ranges::count_if(
      options_.first_voters,
      [&](const std::string& name) { return name == options_.name || linked_.contains(name); }));
  agreement_.set_may_campaign(!history_.miscounts() &&
                              (history_.formed() || here > options_.first_voters.size() / 2));
  const bool leads = agreement_.Leads(now);
  if (leads) {
    Form(now, out);
    const std::pair on{agreement_.term(), history_.latest()};
    if (history_.on() < history_.latest() && on_proposed_ != on &&
        agreement_.AllApplied(now, history_.latest_index()) &&
        agreement_.Propose(now,
                           History::OnEntry(history_.latest(), options_.deltas && !differs
                                                                   ? history_.versions().back().hash
                                                                   : std::string()),
                           out)) {
      on_proposed_ = on;
    }
  } else {
    then_add_.reset();
    formed_proposed_ = false;
  }
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    const Waiting& w = at->second;
    std::optional<Answer> answer;
    if (!w.sent && w.version > 0 && w.version <= history_.on()) {
      answer = {Answer::Kind::kDone, at->first, w.version, ""};
    } else if (!w.sent && w.index > 0 && !then_add_ && agreement_.applied() >= w.index &&
               w.term == agreement_.term()) {
      answer = {Answer::Kind::kDone, at->first, 0, ""};
    } else if (now >= w.until || (!w.sent && !leads) ||
               (w.sent && !linked_.contains(agreement_.leader()) && now >= w.until)) {
      answer = {Answer::Kind::kUnknown, at->first, 0,
                "no answer in time; submit it again under the same id; " + WhoLeads(now)};
    }
    if (!answer) {
      ++at;
      continue;
    }
    Give(w, std::move(*answer), out);
    at = waiting_.erase(at);
  }
  // Other content goes into no snapshot: the log still tells the right one.
  if (!differs && agreement_.applied() >= agreement_.first() + options_.compact_after) {
    agreement_.Compact(agreement_.applied(), history_.Save(), out);
  }
  // An entry of a bank of one is agreed at once where its disk has nothing to wait for.
  if (!out.applied.empty()) After(now, out);
}

// ---- What is acted on -------------------------------------------------------------------------

Stance Member::Acting(Time now) const {
  const Time until = agreement_.LeaseUntil(now);
  Stance stance;
  stance.on = history_.on();
  stance.latest = history_.latest();
  stance.until = until;
  if (now < until && history_.differs().empty()) {
    stance.kind = stance.on == stance.latest ? Stance::Kind::kAgreed : Stance::Kind::kBetween;
  }
  return stance;
}

Content Member::RulesOf(const Stance& stance) const {
  return stance.kind == Stance::Kind::kAlone ? Strictest(history_.acting()) : history_.acting();
}

nlohmann::json Member::Status(Time now) const {
  using nlohmann::json;
  const Stance stance = Acting(now);
  const Version* const last = history_.Find(history_.latest());
  json voters = json::array(), linked = json::array();
  for (const raft::Voter& v : agreement_.voters()) voters.push_back(v.name);
  for (const auto& [name, life] : linked_) {
    json one = {{"name", name}};
    if (agreement_.Leads(now)) {
      one["behind"] = agreement_.last() - std::min(agreement_.last(), agreement_.MatchOf(name));
    }
    linked.push_back(std::move(one));
  }
  constexpr std::array kRoles = {"follower", "follower", "candidate", "leader"};
  constexpr std::array kStances = {"agreed", "between", "alone"};
  return {
      {"name", options_.name},
      {"role", agreement_.Votes() ? kRoles[static_cast<size_t>(agreement_.role())] : "follower"},
      {"votes", agreement_.Votes()},
      {"leader", agreement_.leader()},
      {"leads", agreement_.Leads(now)},
      {"no_leader_ms", agreement_.leader().empty() ? (now - agreement_.heard()).count() / 1000 : 0},
      {"term", agreement_.term()},
      {"voters", voters},
      {"linked", linked},
      {"version_on", history_.on()},
      {"version_latest", history_.latest()},
      {"stance", kStances[static_cast<size_t>(stance.kind)]},
      {"lease_ms", std::max<int64_t>(0, (stance.until - now).count() / 1000)},
      {"log_first", agreement_.first()},
      {"log_last", agreement_.last()},
      {"applied", agreement_.applied()},
      {"to_apply", agreement_.commit() - agreement_.applied()},
      {"changes", options_.deltas ? "delta" : "whole"},
      {"change_bytes", last == nullptr       ? 0
                       : last->delta.empty() ? last->rules.size()
                                             : last->delta.size()},
      {"version_bytes", history_.latest_bytes()},
      {"content", history_.differs().empty() ? "agreed" : history_.differs()},
      {"content_differed", differed_},
      {"bound_ms", BoundOf(options_.timing, kSlack).count() / 1000},
      {"since_s", Seconds(now - started_)}};
}

}  // namespace paddlestile::cluster
