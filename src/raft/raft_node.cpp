#include "raft/raft_node.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>

namespace paddlestile::raft {
namespace {

constexpr size_t kEntryBytes = 32;  // of an entry beside its own bytes

size_t SizeOf(const Entry& e) { return kEntryBytes + e.bytes.size() + 32 * e.voters.size(); }

}  // namespace

void ApplyWrite(Disk& disk, const Write& write) {
  disk.commit = std::max(disk.commit, write.commit);
  if (write.lazy) return;
  disk.term = write.term;
  disk.vote = write.vote;
  if (write.snapshot) {
    disk.snapshot = *write.snapshot;
    disk.log.clear();
  }
  if (write.from == 0) return;
  disk.log.resize(std::min<size_t>(disk.log.size(), write.from - disk.snapshot.index - 1));
  disk.log.insert(disk.log.end(), write.entries.begin(), write.entries.end());
}

Agreement::Agreement(std::string name, const Timing& timing, Disk disk, uint64_t seed, Time now)
    : name_(std::move(name)),
      timing_(timing),
      life_(disk.life),
      boot_(disk.boot),
      random_(seed),
      term_(disk.term),
      vote_(std::move(disk.vote)),
      snapshot_(std::move(disk.snapshot)),
      log_(disk.log.begin(), disk.log.end()),
      commit_(std::max(snapshot_.index, std::min(disk.commit, snapshot_.index + log_.size()))),
      applied_(0),
      found_term_(term_),
      found_last_(snapshot_.index + log_.size()),
      claims_due_(now),
      // A vote of an earlier process may have been for a leader heard just before it ended.
      heard_(now),
      timer_from_(now),
      durable_last_(found_last_) {
  if (timing_.heartbeat <= Duration(0) || timing_.election < 3 * timing_.heartbeat ||
      timing_.lease < 3 * timing_.heartbeat || timing_.clock_rate < 0 || timing_.clock_rate > 0.2) {
    throw std::invalid_argument(
        "timing: expected a heartbeat above 0, an election and a lease of three at least, "
        "and a clock rate of 0 to 0.2");
  }
  Reindex();
  RestartTimer(now);
}

// ---- What is known ----------------------------------------------------------------------------

Duration Agreement::Scaled(Duration d, double factor) const {
  return Duration(static_cast<int64_t>(static_cast<double>(d.count()) * factor));
}

Term Agreement::TermAt(Index index) const {
  if (index == snapshot_.index) return snapshot_.term;
  if (index < snapshot_.index || index > last()) return 0;
  return At(index).term;
}

const std::vector<Voter>& Agreement::voters() const { return voters_.back().second; }

bool Agreement::IsVoter(const std::string& name, uint64_t life) const {
  return std::ranges::find(voters(), Voter{name, life}) != voters().end();
}

bool Agreement::Votes() const { return !forgot_ && IsVoter(name_, life_); }

Claim Agreement::KnownOf(const std::string& name) const {
  const auto at = known_.find(name);
  return at == known_.end() ? Claim{} : at->second;
}

Index Agreement::MatchOf(const std::string& name) const {
  const auto at = peers_.find(name);
  return at == peers_.end() ? 0 : at->second.match;
}

// The voters of each entry that has some; the last is in force, agreed or not.
void Agreement::Reindex() {
  voters_.assign(1, {snapshot_.index, snapshot_.voters});
  for (size_t i = 0; i < log_.size(); ++i) {
    if (log_[i].kind != Entry::Kind::kVoters) continue;
    voters_.emplace_back(snapshot_.index + i + 1, log_[i].voters);
  }
}

// Whether a leader was heard so lately that its lease may still hold: no vote goes to another.
bool Agreement::HeardLately(Time now) const { return now - heard_ < timing_.election; }

void Agreement::RestartTimer(Time now) {
  timer_from_ = now;
  std::uniform_int_distribution<int64_t> more(0, timing_.election.count());
  timer_ = now + timing_.election + Duration(more(random_));
}

// The latest time at which a quorum, itself included, is known to have heard this leader.
Time Agreement::QuorumSent(Time now) const {
  return Majority<Time>(Time(-1), [&](const Voter& v) {
    if (v.name == name_) return v.life == life_ ? now : Time(-1);
    const auto at = peers_.find(v.name);
    const bool known = at != peers_.end() && at->second.life == v.life;
    return known ? at->second.acked_sent : Time(-1);
  });
}

Time Agreement::LeadsUntil(Time now) const {
  if (role_ != Role::kLeader || forgot_) return Time(-1);
  const Time sent = QuorumSent(now);
  return sent < Time(0) ? sent : sent + Scaled(timing_.election, 1 - 2 * timing_.clock_rate);
}

// Whether this leader has applied all that its predecessors may have agreed on: without that it
// could act, and have others act, on what a word that it does not know yet has put out of force.
bool Agreement::Current() const { return !Behind() && TermAt(commit_) == term_; }

Time Agreement::LeaseUntil(Time now) const {
  if (forgot_) return Time(-1);
  const Time leads = LeadsUntil(now);
  if (leads < Time(0) || !Current()) return lease_until_;
  // Its own is over with its word, and no later than what the next leader waits for.
  return std::max(lease_until_, std::min(leads, QuorumSent(now) + HeldFor(timing_)));
}

bool Agreement::AllApplied(Time now, Index index) const {
  // What an earlier leader granted may still run.
  if (!Leads(now) || applied_ < index || now < led_since_ + WaitFor(timing_)) return false;
  return std::ranges::all_of(peers_, [&](const auto& at) {
    return at.second.lease_end <= now || at.second.applied >= index;
  });
}

Time Agreement::NextDue() const {
  if (Behind()) return Time(0);
  if (role_ == Role::kLeader) {
    Time due = Time::max();
    for (const auto& [name, peer] : peers_) {
      if (!peer.linked) continue;
      const bool votes = IsVoter(name, peer.life);
      due = std::min(due, peer.sent_at + (votes ? timing_.heartbeat : timing_.heartbeat * 5 / 2));
    }
    return std::min(due, timer_);
  }
  return Votes() ? std::min(timer_, claims_due_) : Time::max();
}

// ---- What goes out ----------------------------------------------------------------------------

void Agreement::WriteOut(Output& out, Index from, std::vector<Entry> entries,
                         std::optional<Snapshot> snapshot) {
  out.writes.push_back(
      {++ticket_, term_, vote_, from, std::move(entries), std::move(snapshot), commit_, false});
  durable_at_.emplace_back(ticket_, last());
}

void Agreement::Post(Output& out, Message message, const std::string& to, uint64_t after) {
  message.from = name_;
  message.from_life = life_;
  message.to = to;
  message.term = message.trial && message.type == Message::Type::kAskVote ? term_ + 1 : term_;
  // What it claims must be on its disk when it is said.
  if (role_ == Role::kLeader) {
    message.own = {life_, boot_, term_, std::max(acked_, durable_last_)};
  } else if (after == ticket_) {
    message.own = {life_, boot_, term_, acked_};
  }
  if (const auto at = known_.find(to); at != known_.end()) message.of_you = at->second;
  out.sends.push_back({std::move(message), after});
}

void Agreement::SendAppend(Time now, const std::string& name, Peer& peer, Output& out) {
  if (!peer.linked) return;
  Message m;
  m.sent = now;
  m.commit = commit_;
  // A lease goes only with a word that is good, and only to one that knows what it must.
  if (peer.asked >= Time(0) && peer.applied >= required_ && Current() && Leads(now)) {
    m.asked = peer.asked;
    peer.lease_end = std::max(peer.lease_end, peer.asked_came + timing_.lease);
  }
  peer.sent_at = now;
  peer.told = commit_;
  if (peer.next <= snapshot_.index) {
    m.type = Message::Type::kSnapshot;
    m.snapshot = snapshot_;
    peer.waiting = true;
    return Post(out, std::move(m), name, 0);
  }
  m.index = peer.next - 1;
  m.index_term = TermAt(m.index);
  size_t bytes = 0;
  for (Index i = peer.next; i <= last(); ++i) {
    bytes += SizeOf(At(i));
    if (!m.entries.empty() && bytes > timing_.append_bytes) break;
    m.entries.push_back(At(i));
  }
  peer.waiting = !m.entries.empty();
  // A leader may send before it has written: it counts itself only once it has.
  Post(out, std::move(m), name, 0);
}

void Agreement::SendAll(Time now, Output& out) {
  for (auto& [name, peer] : peers_) {
    if (!peer.waiting) SendAppend(now, name, peer, out);
  }
}

// ---- Members ----------------------------------------------------------------------------------

void Agreement::Linked(Time now, const std::string& name, uint64_t life, const Claim& of_you,
                       Output& out) {
  if (!Recognise(of_you, out)) return;
  Peer& peer = peers_[name];
  const Time lease_end = peer.lease_end;
  // What an old life or an old link was told does not count; a lease that runs does.
  peer = {};
  peer.life = life;
  peer.linked = true;
  peer.next = last() + 1;
  peer.lease_end = lease_end;
  if (role_ == Role::kLeader) SendAppend(now, name, peer, out);
}

void Agreement::Unlinked(const std::string& name) {
  const auto at = peers_.find(name);
  if (at == peers_.end()) return;
  at->second.linked = at->second.waiting = false;
  at->second.asked = Time(-1);
}

// Notes what the sender's disk holds, and sees whether it knows more of this one than is here.
bool Agreement::Remember(const Message& m, Output& out) {
  if (m.own.life != 0) {
    Claim& claim = known_[m.from];
    const auto age = [](const Claim& c) { return std::tuple(c.boot, c.term, c.match); };
    if (claim.life != m.own.life) {
      claim = m.own;
    } else if (age(claim) < age(m.own)) {
      // What was acknowledged in a term stays so when its member starts again.
      const Index match = claim.term == m.own.term ? claim.match : 0;
      claim = m.own;
      claim.match = std::max(claim.match, match);
    }
  }
  return Recognise(m.of_you, out);
}

bool Agreement::Recognise(const Claim& told, Output& out) {
  if (told.life != life_ || forgot_) return !forgot_;
  const bool older =
      told.boot > boot_ || (told.boot == boot_ && told.term > term_) ||
      (told.boot < boot_ &&
       (told.term > found_term_ || (told.term == found_term_ && told.match > found_last_)));
  if (!older) return true;
  forgot_ = out.forgot = true;
  StepDown();
  return false;
}

void Agreement::Receive(Time now, const Message& m, Output& out) {
  if (m.to != name_ || !Remember(m, out)) return;
  switch (m.type) {
    case Message::Type::kAskVote: return OnAskVote(now, m, out);
    case Message::Type::kVote: return OnVote(now, m, out);
    case Message::Type::kAppend: return OnAppend(now, m, out);
    case Message::Type::kAppended: return OnAppended(now, m, out);
    case Message::Type::kSnapshot: return OnSnapshot(now, m, out);
    case Message::Type::kClaim: return;  // remembered already
  }
}

// ---- Elections --------------------------------------------------------------------------------

void Agreement::StepDown() {
  role_ = Role::kFollower;
  leader_.clear();
}

void Agreement::Follow(Time now, Term term, const std::string& leader, Output& out) {
  const bool led = role_ == Role::kLeader;
  if (term > term_) {
    term_ = term;
    vote_.clear();
    acked_ = 0;
    WriteOut(out, 0, {});
  }
  // What it had as leader goes on as its lease: nobody else can lead before that is over.
  if (led) lease_until_ = LeaseUntil(now);
  role_ = Role::kFollower;
  leader_ = leader;
  if (!leader.empty()) heard_ = now;
  if (led || !leader.empty()) RestartTimer(now);
}

void Agreement::Campaign(Time now, bool trial, Output& out) {
  leader_.clear();
  RestartTimer(now);
  for (auto& [name, peer] : peers_) peer.granted = false;
  if (trial) {
    role_ = Role::kTrial;
    self_granted_ = true;
  } else {
    role_ = Role::kCandidate;
    ++term_;
    vote_ = name_;
    acked_ = 0;
    self_granted_ = false;
    WriteOut(out, 0, {});
    vote_ticket_ = ticket_;
  }
  Message m;
  m.type = Message::Type::kAskVote;
  m.trial = trial;
  m.index = last();
  m.index_term = TermAt(last());
  for (const Voter& v : voters()) {
    if (v.name != name_) Post(out, m, v.name, ticket_);
  }
  CountVotes(now, out);
}

void Agreement::CountVotes(Time now, Output& out) {
  size_t granted = 0;
  for (const Voter& v : voters()) {
    if (v.name == name_) {
      granted += v.life == life_ && self_granted_ ? 1 : 0;
    } else if (const auto at = peers_.find(v.name); at != peers_.end()) {
      granted += at->second.granted && at->second.life == v.life ? 1 : 0;
    }
  }
  if (granted <= voters().size() / 2) return;
  if (role_ == Role::kTrial) return Campaign(now, false, out);
  Lead(now, out);
}

void Agreement::Lead(Time now, Output& out) {
  role_ = Role::kLeader;
  leader_ = name_;
  led_since_ = now;
  timer_ = now + timing_.election;
  for (auto& [name, peer] : peers_) {
    peer.next = last() + 1;
    peer.match = peer.applied = 0;
    peer.waiting = false;
    peer.acked_sent = peer.asked = Time(-1);
  }
  AppendOwn(now, {term_, Entry::Kind::kNone, {}, {}}, out);
}

void Agreement::OnAskVote(Time now, const Message& m, Output& out) {
  Message answer;
  answer.type = Message::Type::kVote;
  answer.trial = m.trial;
  const bool current = std::pair(m.index_term, m.index) >= std::pair(TermAt(last()), last());
  // One that hears its leader neither votes nor is moved to another term: a voter that hears and is
  // not heard cannot topple anybody, and a leader's lease is safe.
  const bool bound = (role_ == Role::kLeader && Leads(now)) || HeardLately(now);
  if (m.trial) {
    // One that has not heard yet that it votes gives its vote all the same: who counts votes counts
    // only those of its own voters, and a new one may be needed before the entry has reached it.
    answer.granted = !bound && current && m.term > term_;
    return Post(out, answer, m.from, ticket_);
  }
  if (bound) return;
  if (m.term > term_) Follow(now, m.term, "", out);
  answer.granted =
      m.term == term_ && current && role_ == Role::kFollower && (vote_.empty() || vote_ == m.from);
  if (answer.granted && vote_.empty()) {
    vote_ = m.from;
    WriteOut(out, 0, {});
  }
  if (answer.granted) RestartTimer(now);
  Post(out, answer, m.from, ticket_);
}

void Agreement::OnVote(Time now, const Message& m, Output& out) {
  if (m.term > term_) return Follow(now, m.term, "", out);
  const Role asked = m.trial ? Role::kTrial : Role::kCandidate;
  if (role_ != asked || !m.granted || (!m.trial && m.term != term_)) return;
  const auto at = peers_.find(m.from);
  if (at == peers_.end() || at->second.life != m.from_life) return;
  at->second.granted = true;
  CountVotes(now, out);
}

// ---- The log ----------------------------------------------------------------------------------

Index Agreement::AppendOwn(Time now, Entry entry, Output& out) {
  const bool voters = entry.kind == Entry::Kind::kVoters;
  log_.push_back(entry);
  WriteOut(out, last(), {std::move(entry)});
  if (voters) Reindex();
  SendAll(now, out);
  return last();
}

std::optional<Index> Agreement::Propose(Time now, std::string bytes, Output& out) {
  if (!Leads(now)) return std::nullopt;
  return AppendOwn(now, {term_, Entry::Kind::kData, std::move(bytes), {}}, out);
}

std::optional<Index> Agreement::ProposeVoters(Time now, std::vector<Voter> voters, Output& out) {
  // One change at a time, and only behind an entry of this term that is agreed: without that two
  // leaders could each have a majority of voters of their own.
  if (!Leads(now) || TermAt(commit_) != term_ || voters_.back().first > commit_ || voters.empty()) {
    return std::nullopt;
  }
  return AppendOwn(now, {term_, Entry::Kind::kVoters, {}, std::move(voters)}, out);
}

void Agreement::OnAppend(Time now, const Message& m, Output& out) {
  Message answer;
  answer.type = Message::Type::kAppended;
  answer.sent = m.sent;
  if (m.term < term_) return Post(out, answer, m.from, ticket_);
  Follow(now, m.term, m.from, out);
  if (m.asked >= Time(0)) lease_until_ = std::max(lease_until_, m.asked + HeldFor(timing_));
  answer.asked = now;
  Index before = m.index;
  size_t known = 0;
  // What the snapshot holds is agreed: it cannot differ.
  if (before < snapshot_.index) {
    known = std::min<size_t>(snapshot_.index - before, m.entries.size());
    before += known;
  }
  if (before < snapshot_.index) {
    answer.granted = true;
    answer.index = snapshot_.index;
    answer.commit = applied_;
    return Post(out, answer, m.from, ticket_);
  }
  if (before > last() || (known == 0 && TermAt(before) != m.index_term)) {
    // The first entry that may be another's: all of that term goes.
    Index hint = std::min(before, last() + 1);
    while (hint > commit_ + 1 && hint <= last() && TermAt(hint - 1) == TermAt(before)) --hint;
    answer.index = std::max<Index>(hint, 1) - 1;
    answer.commit = applied_;
    return Post(out, answer, m.from, ticket_);
  }
  Index at = before + 1;
  while (known < m.entries.size() && at <= last() && TermAt(at) == m.entries[known].term) {
    ++at, ++known;
  }
  if (known < m.entries.size()) {
    const bool cut = at <= last();
    log_.resize(at - snapshot_.index - 1);
    std::vector<Entry> entries(m.entries.begin() + static_cast<long>(known), m.entries.end());
    const bool voters =
        std::ranges::any_of(entries, [](const Entry& e) { return e.kind == Entry::Kind::kVoters; });
    log_.insert(log_.end(), entries.begin(), entries.end());
    durable_last_ = std::min(durable_last_, at - 1);
    for (auto& [ticket, upto] : durable_at_) upto = std::min(upto, at - 1);
    WriteOut(out, at, std::move(entries));
    if (cut || voters) Reindex();
  }
  answer.granted = true;
  answer.index = m.index + m.entries.size();
  acked_ = std::max(acked_, answer.index);
  commit_ = std::max(commit_, std::min(m.commit, answer.index));
  Apply(out);
  answer.commit = applied_;
  Post(out, answer, m.from, ticket_);
}

void Agreement::OnSnapshot(Time now, const Message& m, Output& out) {
  Message answer;
  answer.type = Message::Type::kAppended;
  answer.sent = m.sent;
  if (m.term < term_) return Post(out, answer, m.from, ticket_);
  Follow(now, m.term, m.from, out);
  if (m.asked >= Time(0)) lease_until_ = std::max(lease_until_, m.asked + HeldFor(timing_));
  answer.asked = now;
  if (m.snapshot.index > commit_) {
    // What is behind it may stay where it goes on from it.
    if (TermAt(m.snapshot.index) == m.snapshot.term && m.snapshot.index <= last()) {
      log_.erase(log_.begin(),
                 log_.begin() + static_cast<long>(m.snapshot.index - snapshot_.index));
    } else {
      log_.clear();
    }
    snapshot_ = m.snapshot;
    commit_ = applied_ = snapshot_.index;
    durable_last_ = std::min(durable_last_, snapshot_.index);
    for (auto& [ticket, upto] : durable_at_) upto = std::min(upto, snapshot_.index);
    Reindex();
    std::vector<Entry> rest(log_.begin(), log_.end());
    const Index from = rest.empty() ? 0 : snapshot_.index + 1;
    WriteOut(out, from, std::move(rest), snapshot_);
    out.applied.push_back({snapshot_.index, {}, snapshot_});
  }
  answer.granted = true;
  answer.index = std::min(m.snapshot.index, last());
  acked_ = std::max(acked_, answer.index);
  answer.commit = applied_;
  Post(out, answer, m.from, ticket_);
}

void Agreement::OnAppended(Time now, const Message& m, Output& out) {
  if (m.term > term_) return Follow(now, m.term, "", out);
  if (role_ != Role::kLeader || m.term != term_) return;
  const auto at = peers_.find(m.from);
  if (at == peers_.end() || at->second.life != m.from_life || !at->second.linked) return;
  Peer& peer = at->second;
  peer.acked_sent = std::max(peer.acked_sent, m.sent);
  if (m.asked >= Time(0)) peer.asked = m.asked, peer.asked_came = now;
  peer.applied = std::max(peer.applied, m.commit);
  peer.waiting = false;
  if (m.granted) {
    peer.match = std::max(peer.match, m.index);
    peer.next = std::max(peer.next, peer.match + 1);
    AdvanceCommit(now, out);
  } else {
    peer.next = std::max<Index>(peer.match + 1, std::min(m.index + 1, last() + 1));
  }
  if (peer.next <= last() || peer.told < commit_) SendAppend(now, m.from, peer, out);
}

void Agreement::Durable(Time now, uint64_t ticket, Output& out) {
  durable_ = std::max(durable_, ticket);
  while (!durable_at_.empty() && durable_at_.front().first <= ticket) {
    durable_last_ = durable_at_.front().second;
    durable_at_.pop_front();
  }
  durable_last_ = std::min(durable_last_, last());
  if (role_ == Role::kCandidate && ticket >= vote_ticket_ && !self_granted_) {
    self_granted_ = true;
    CountVotes(now, out);
  }
  if (role_ == Role::kLeader) AdvanceCommit(now, out);
}

void Agreement::AdvanceCommit(Time now, Output& out) {
  const auto agreed = Majority<Index>(0, [&](const Voter& v) {
    if (v.name == name_) return v.life == life_ ? durable_last_ : 0;
    const auto at = peers_.find(v.name);
    return at != peers_.end() && at->second.life == v.life ? at->second.match : 0;
  });
  // An entry of an earlier term is agreed only with one of this term behind it.
  if (agreed <= commit_ || TermAt(agreed) != term_) return;
  commit_ = agreed;
  Apply(out);
  SendAll(now, out);
  // Voted out, by an entry that is agreed now.
  if (voters_.back().first <= commit_ && !Votes()) Follow(now, term_, "", out);
}

void Agreement::Apply(Output& out) {
  if (applied_ < snapshot_.index) {
    applied_ = snapshot_.index;
    out.applied.push_back({applied_, {}, snapshot_});
  }
  if (!Behind()) return;
  size_t work = 0, weight = entry_weight_;
  while (Behind()) {
    const Entry& next = At(applied_ + 1);
    if (next.kind == Entry::Kind::kData) {
      // One that came whole in this event weighs on those behind it.
      weight = std::max(weight, next.bytes.size());
      const size_t takes = weight + SizeOf(next);
      if (work > 0 && work + takes > timing_.apply_bytes) break;
      work += takes;
    }
    out.applied.push_back({++applied_, next, std::nullopt});
  }
  out.writes.push_back({ticket_, term_, vote_, 0, {}, std::nullopt, commit_, true});
}

// What took more than one event is told once it is done: the leader would hear of it only with its
// next heartbeat, and may wait for it.
void Agreement::TellApplied(Output& out) {
  if (Behind() || role_ != Role::kFollower || leader_.empty()) return;
  Message m;
  m.type = Message::Type::kAppended;
  m.granted = true;
  m.index = acked_;
  m.commit = applied_;
  m.sent = Time(-1);
  Post(out, std::move(m), leader_, ticket_);
}

void Agreement::Compact(Index index, std::string bytes, Output& out) {
  if (index <= snapshot_.index || index > applied_) return;
  const Term term = TermAt(index);
  std::vector<Voter> voters;
  for (const auto& [at, who] : voters_) {
    if (at <= index) voters = who;
  }
  log_.erase(log_.begin(), log_.begin() + static_cast<long>(index - snapshot_.index));
  snapshot_ = {index, term, std::move(voters), std::move(bytes)};
  Reindex();
  std::vector<Entry> rest(log_.begin(), log_.end());
  const Index from = rest.empty() ? 0 : index + 1;
  WriteOut(out, from, std::move(rest), snapshot_);
}

// ---- Time -------------------------------------------------------------------------------------

void Agreement::Tick(Time now, Output& out) {
  if (forgot_) return;
  if (Behind()) {
    Apply(out);
    TellApplied(out);
  }
  if (role_ == Role::kLeader) {
    if (now >= timer_) {
      // A leader that a quorum no longer answers is none.
      if (now - QuorumSent(now) >= timing_.election) {
        Follow(now, term_, "", out);
        return;
      }
      timer_ = now + timing_.heartbeat;
    }
    for (auto& [name, peer] : peers_) {
      const bool votes = IsVoter(name, peer.life);
      if (now - peer.sent_at >= (votes ? timing_.heartbeat : timing_.heartbeat * 5 / 2)) {
        SendAppend(now, name, peer, out);
      }
    }
    return;
  }
  if (!Votes()) return;
  TellClaims(now, out);
  if (now < timer_) return;
  if (may_campaign_) return Campaign(now, true, out);
  RestartTimer(now);
}

// The leader knows by what it is answered; the others have to be told, or a disk that has gone back
// while the leader is away would find nobody who knows.
void Agreement::TellClaims(Time now, Output& out) {
  if (now < claims_due_) return;
  claims_due_ = now + timing_.heartbeat;
  for (const Voter& v : voters()) {
    const auto at = peers_.find(v.name);
    if (v.name == leader_ || at == peers_.end() || !at->second.linked) continue;
    Message m;
    m.type = Message::Type::kClaim;
    Post(out, std::move(m), v.name, ticket_);
  }
}

}  // namespace paddlestile::raft
