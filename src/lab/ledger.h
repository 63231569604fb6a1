// The account of an experiment: what was asked, received, answered and told, and which of the four
// rules was broken by whom and when. No I/O; all times are the experiment's own.
#ifndef PADDLESTILE_LAB_LEDGER_H_
#define PADDLESTILE_LAB_LEDGER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile::lab {

// What a client asks for: one request with all its tries.
struct AskFacts {
  size_t cls = 0, tenant = 0;
  uint64_t key = 0;  // of a keyed class
  Duration work{0}, wait{0};
  size_t body_bytes = 0, answer_bytes = 0;
};

enum class Rule {
  kLost,
  kAnsweredTwice,
  kNotItsAnswer,
  kTwice,
  kRefusedAfterRun,
  kDrain,
  kCold,
  kInvented
};
inline constexpr size_t kRules = 8;
std::string_view NameOf(Rule rule);

// Why something that went wrong with a try is the script's doing, and not the gateway's.
enum class Excuse {
  kProcessKilled,   // its connection was held by a process that was killed
  kProcessStopped,  // answered late, by the time at most that the process was stopped
  kQueued,          // answered late, by the time at most that its connection was not accepted
  kGatewayDown,     // refused while the gateway was ended and not back
  kCrossed,         // a kept connection was closed just as it was written; the client sent it again
  kNoConnection     // the lab itself had none left
};
inline constexpr size_t kExcuses = 6;
std::string_view NameOf(Excuse excuse);

struct Breach {
  Rule rule = Rule::kLost;
  Time at{0};
  std::string id;  // the request's, or the host's
  std::string what;
};

// What a rule needs to know.
struct LedgerRules {
  std::vector<RequestClass> classes;
  Duration drain_grace{1'000'000};
  Duration slack{50'000};  // beyond each limit in time, for the way there
  std::string id_prefix = "r";
};

// The body that a host answers a request with; no two are alike.
std::string MakeAnswerBody(std::string_view id, uint64_t receipt, size_t size);

class Ledger {
 public:
  explicit Ledger(LedgerRules rules) : rules_(std::move(rules)) {}

  // ---- The clients' side --------------------------------------------------------------------
  // A request is asked for; its place.
  size_t Ask(Time now, const AskFacts& facts);
  // A try of it is handed to a gateway; the try's number, which its id holds.
  size_t Try(Time now, size_t ask, size_t gateway, Time deadline);
  // Its last byte is written to a connection that the gateway accepted.
  void Taken(size_t n) { tries_[n].taken = true; }
  // A whole answer has come. `body` is looked at for 200.
  void Answered(Time now, size_t n, int status, std::string_view body);
  // Its connection ended without a whole answer, by the gateway.
  void Broken(Time now, size_t n, std::string_view why);
  // A gateway that should serve refused its connection.
  void Refused(Time now, size_t n, std::string_view why);
  // Its client left before the answer.
  void ClientLeft(size_t n);
  // It ends without an answer by the script's doing.
  void Excused(size_t n, Excuse excuse);
  // The client sends it again on another connection.
  void SentAgain(Excuse excuse) { ++counts_.excused[static_cast<size_t>(excuse)]; }
  // How much later than its deadline its answer may come. Asked for at the deadline, once: later
  // calls give the same. See set_delay_of.
  Duration DelayOf(size_t n);
  // No try of it will follow.
  void Over(Time now, size_t ask);
  // More came on a connection than was asked for.
  void Extra(Time now, size_t n, std::string_view what);

  // ---- The hosts' side ----------------------------------------------------------------------
  // The try with this id; SIZE_MAX for an id that no client sent.
  [[nodiscard]] size_t Find(std::string_view id) const;
  [[nodiscard]] std::string IdOf(size_t n) const;
  [[nodiscard]] int ReceiptsOf(size_t n) const { return tries_[n].receipts; }
  [[nodiscard]] const AskFacts& FactsOf(size_t n) const { return asks_[tries_[n].ask].facts; }
  // A host has a try's last byte; its first came at `first`. The receipt's number.
  uint64_t Received(Time now, size_t n, size_t host, int zone, int cell, Time first);
  // The host did not run it and says so.
  void TurnedAway(uint64_t receipt);
  // What it was received on is over: answered here, or given up by the end of the connection.
  void Done(Time now, uint64_t receipt, bool answered);
  // A request with an id that no client sent, or one hidden in another's body.
  void Invented(Time now, std::string_view id, std::string_view what);
  void FellOver(Time now, const std::string& host);

  // ---- The source's side --------------------------------------------------------------------
  // A gateway was told that a host drains or is gone.
  void Told(Time now, size_t gateway, size_t host);
  // A gateway that starts anew knows nothing.
  void Forgets(size_t gateway);
  // What the script delays a try by.
  struct Delay {
    Duration by{0};
    Excuse excuse = Excuse::kProcessStopped;
  };
  // Called once for a try that has no answer at its deadline; nullopt: nothing delays it.
  void set_delay_of(std::function<std::optional<Delay>(size_t n)> delay_of) {
    delay_of_ = std::move(delay_of);
  }
  // Called for a try that has no answer in its time: where its connection is, told with the breach.
  // Empty where that is not known.
  void set_describe_connection(std::function<std::string(size_t n)> describe_connection) {
    describe_connection_ = std::move(describe_connection);
  }

  // Told of each receipt of a client's try: the try, the host, and the how manieth it is of those
  // that may run.
  void OnReceipt(std::function<void(Time now, size_t n, size_t host, size_t copy)> then) {
    receipt_ = std::move(then);
  }
  [[nodiscard]] size_t GatewayOf(size_t n) const { return tries_[n].gateway; }
  [[nodiscard]] Time HandedAt(size_t n) const { return tries_[n].handed; }
  [[nodiscard]] Time DeadlineOf(size_t n) const { return tries_[n].deadline; }

  // ---- The account --------------------------------------------------------------------------
  // Looks at what is due: answers that never came, copies still out. `lag`: what the lab itself was
  // late of late, which nobody else is blamed for.
  void Advance(Time now, Duration lag);

  struct Counts {
    uint64_t asked = 0, served = 0, late = 0, refused = 0, failed = 0, lost = 0, answered_twice = 0;
    uint64_t tries = 0, left = 0;
    std::array<uint64_t, kExcuses> excused{};
    double worth_asked = 0, worth_served = 0;
    uint64_t receipts = 0, twice_unlawful = 0, late_sends = 0, fell_over = 0;
    // Keys whose effect came about twice over all of a client's tries, whoever's doing it was.
    uint64_t keys_run_again = 0;
    std::array<uint64_t, kRules> breaches{};
    Time first_breach{0}, last_breach{0};  // of any rule
    [[nodiscard]] uint64_t all_breaches() const;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  // The first ones of each rule.
  [[nodiscard]] const std::vector<Breach>& breaches() const { return breaches_; }
  [[nodiscard]] bool broken() const { return !breaches_.empty(); }

  // By the second in which a request was asked for.
  struct Window {
    uint64_t asked = 0, served = 0, late = 0, refused = 0, failed = 0;
    double worth_asked = 0, worth_served = 0;
    std::vector<uint32_t> latency_us;  // of the answers served, from the first try on
  };
  [[nodiscard]] const std::vector<Window>& windows() const { return windows_; }
  [[nodiscard]] size_t open() const { return open_; }
  // What the lab itself was late of late.
  [[nodiscard]] Duration lag() const { return lag_; }

 private:
  struct AskState {
    AskFacts facts;
    Time asked{0};
    bool over = false, served = false;
    int last_status = 0;
  };
  struct TryState {
    size_t ask = 0, gateway = 0;
    Time deadline{0}, handed{0};
    bool taken = false, over = false, lost = false;
    std::optional<Delay> delay = std::nullopt;  // once asked for
    int receipts = 0;
    uint64_t last_receipt = 0;  // number + 1
  };
  struct Receipt {
    size_t n = 0, host = 0;
    Time at{0};
    int zone = 0, cell = 0;
    bool open = true, may_have_run = true;
    uint64_t before = 0;  // the one before of the same try, number + 1
  };
  void Break(Rule rule, Time at, std::string id, std::string what);
  // A try that nobody answered in its time.
  void Unanswered(Time now, size_t n);
  // Whether one more breach of the rule is told by itself, and not only counted.
  [[nodiscard]] bool IsTold(Rule rule) const;
  Window& WindowOf(Time asked);
  void CountKey(const Receipt& receipt);

  LedgerRules rules_;
  std::vector<AskState> asks_;
  std::vector<TryState> tries_;
  std::vector<Receipt> receipts_;
  std::multimap<Time, size_t> due_;  // tries that may have no answer yet, by deadline
  struct Suspect {
    Time at{0};
    uint64_t first = 0, second = 0;
    bool sure = false;
  };
  std::deque<Suspect> suspects_;                    // copies received while an earlier one was out
  std::map<std::pair<size_t, size_t>, Time> told_;  // by gateway and host
  std::unordered_map<uint64_t, Time> keys_;         // when each key's effect last came about
  std::multimap<Time, size_t> delayed_;  // tries without an answer at their deadline, by when due
  std::function<std::optional<Delay>(size_t)> delay_of_;
  std::function<std::string(size_t)> describe_connection_;
  std::function<void(Time, size_t, size_t, size_t)> receipt_;
  Duration lag_{0};
  Counts counts_;
  std::vector<Breach> breaches_;
  std::vector<Window> windows_;
  size_t open_ = 0;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_LEDGER_H_
