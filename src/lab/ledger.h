// Records what happens in an experiment: requests, what hosts received, responses and notices from
// discovery. Determines which rule was broken, by which request or host, and when. No I/O; all
// times are relative to the start of the experiment.
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

// A client's request, which may take several attempts.
struct RequestSpec {
  size_t class_index = 0, tenant_index = 0;
  uint64_t key = 0;  // idempotency key, for a keyed class
  Duration work{0}, wait{0};
  size_t body_bytes = 0, response_bytes = 0;
};

enum class Rule {
  kLost,
  kDuplicateResponse,
  kWrongResponse,
  kUnlawfulResend,
  kRejectedAfterExecution,
  kSentToDrainingHost,
  kColdHostCollapse,
  kUnrequestedSend
};
inline constexpr size_t kRuleCount = 8;
std::string_view NameOf(Rule rule);

// Why the failure or delay of an attempt is caused by a fault of the experiment and not by the
// gateway.
enum class Excuse {
  kProcessKilled,   // its connection belonged to a process that was killed
  kProcessStopped,  // late by no more than the time for which the process was stopped
  kInAcceptQueue,   // late by no more than the time its connection waited to be accepted
  kGatewayDown,     // refused while the gateway was down
  kCloseRace,  // an idle connection was closed as the request was written; the client resent it
  kNoLabConnection,  // the lab had reached its own connection limit
  kHostTruncated     // its host ended the response midway after the client had its first bytes
};
inline constexpr size_t kExcuseCount = 7;
std::string_view NameOf(Excuse excuse);

struct Breach {
  Rule rule = Rule::kLost;
  Time at{0};
  std::string id;  // of the request or host
  std::string what;
};

// Parameters of the rules.
struct LedgerRules {
  std::vector<RequestClass> classes;
  Duration drain_grace{1'000'000};
  Duration time_tolerance{50'000};  // added to each time limit, for transmission
  std::string id_prefix = "r";
};

// The response body for one receipt of a request. No two receipts have the same body.
std::string MakeResponseBody(std::string_view id, uint64_t receipt, size_t size);

class Ledger {
 public:
  explicit Ledger(LedgerRules rules) : rules_(std::move(rules)) {}

  // ---- Events of the clients ----------------------------------------------------------------
  // Adds a request and returns its index.
  size_t AddRequest(Time now, const RequestSpec& spec);
  // Adds an attempt to send the request to a gateway and returns its number, which is part of its
  // id.
  size_t AddAttempt(Time now, size_t request, size_t gateway, Time deadline);
  // The last byte of the attempt was written to a connection that the gateway had accepted.
  void OnRequestSent(size_t attempt) { attempts_[attempt].request_sent = true; }
  // The last byte of an attempt that is sent in pieces was written. Its time begins now.
  void OnSlowRequestSent(Time now, size_t attempt);
  // A complete response arrived. `body` is checked if the status is 200.
  void OnResponse(Time now, size_t attempt, int status, std::string_view body);
  // The first bytes of a response arrived.
  void OnResponseBegun(Time now, size_t attempt);
  // The gateway closed the connection before a complete response.
  void OnConnectionLost(Time now, size_t attempt, std::string_view why);
  // A gateway that should be serving refused the connection.
  void OnConnectionRefused(Time now, size_t attempt, std::string_view why);
  // The client disconnected before the response.
  void OnClientDisconnected(size_t attempt);
  // The attempt ends without a response because of a fault of the experiment.
  void ExcuseAttempt(size_t attempt, Excuse excuse);
  // The client resends an attempt on another connection.
  void CountResend(Excuse excuse) { ++counts_.excused[static_cast<size_t>(excuse)]; }
  // How long after its deadline the response may arrive. The part that set_delay_provider gives is
  // determined once, at the deadline. A long response may be completed later if it has begun.
  Duration AllowedDelay(size_t attempt);
  // The request is finished: no further attempt follows.
  void OnRequestFinished(Time now, size_t request);
  // More data arrived on a connection than was requested.
  void OnUnexpectedData(Time now, size_t attempt, std::string_view what);

  // ---- Events of the hosts ------------------------------------------------------------------
  // The attempt with this id, or SIZE_MAX for an id that no client sent.
  [[nodiscard]] size_t FindAttempt(std::string_view id) const;
  [[nodiscard]] std::string AttemptId(size_t attempt) const;
  [[nodiscard]] int ReceiptCount(size_t attempt) const { return attempts_[attempt].receipts; }
  [[nodiscard]] const RequestSpec& RequestOf(size_t attempt) const {
    return requests_[attempts_[attempt].request].spec;
  }
  // A host received the last byte of an attempt; its first byte arrived at `first_byte_at`. Returns
  // the number of the receipt.
  uint64_t OnHostReceived(Time now, size_t attempt, size_t host, int zone, int cell,
                          Time first_byte_at);
  // The host rejected the request without running it.
  void OnHostRejected(uint64_t receipt);
  // The receipt is closed: answered by the host, or given up because the connection ended.
  void OnHostFinished(Time now, uint64_t receipt, bool answered);
  // The host ends the response midway.
  void OnHostTruncated(uint64_t receipt) { receipts_[receipt].truncated = true; }
  // The gateway ended the connection while the host, which is not at fault, was writing a response
  // that it would have completed at `complete_at`.
  void OnResponseCut(uint64_t receipt, Time complete_at) {
    receipts_[receipt].cut_before = complete_at;
  }
  // Whether a host has ended a response to the attempt midway.
  [[nodiscard]] bool IsTruncatedByHost(size_t attempt) const;
  // A host received a request with an id that no client sent, or one hidden in the body of another.
  void OnUnknownRequest(Time now, std::string_view id, std::string_view what);
  void OnHostCollapsed(Time now, const std::string& host);

  // ---- Notices of discovery -----------------------------------------------------------------
  // Discovery told a gateway that a host is draining or gone.
  void OnGatewayNotified(Time now, size_t gateway, size_t host);
  // A restarted gateway has received no notices.
  void OnGatewayRestarted(size_t gateway);
  // A permitted delay of an attempt, caused by a fault of the experiment.
  struct Delay {
    Duration duration{0};
    Excuse excuse = Excuse::kProcessStopped;
  };
  // Called once for an attempt without a response at its deadline. nullopt means no permitted
  // delay.
  void set_delay_provider(std::function<std::optional<Delay>(size_t attempt)> provider) {
    delay_provider_ = std::move(provider);
  }
  // Called for an attempt that is judged lost. Returns where its connection is, for the text of the
  // breach; empty if unknown.
  void set_describe_connection(std::function<std::string(size_t attempt)> describe_connection) {
    describe_connection_ = std::move(describe_connection);
  }

  // Called for each receipt of an attempt by a host. `copy` counts, from 1, the receipts of the
  // attempt that may have run.
  void set_receipt_callback(
      std::function<void(Time now, size_t attempt, size_t host, size_t copy)> callback) {
    receipt_callback_ = std::move(callback);
  }
  [[nodiscard]] size_t GatewayOf(size_t attempt) const { return attempts_[attempt].gateway; }
  [[nodiscard]] Time SentAt(size_t attempt) const { return attempts_[attempt].sent_at; }
  [[nodiscard]] Time DeadlineOf(size_t attempt) const { return attempts_[attempt].deadline; }

  // ---- Results ------------------------------------------------------------------------------
  // Judges what is due by `now`: missing responses, and duplicates whose earlier copy is still
  // open. `lag` is how late the lab itself was recently, which is added to all limits.
  void Advance(Time now, Duration lag);

  struct Counts {
    uint64_t asked = 0, served = 0, late = 0, refused = 0, failed = 0, lost = 0, answered_twice = 0;
    uint64_t attempts = 0, client_disconnects = 0;
    std::array<uint64_t, kExcuseCount> excused{};
    double worth_asked = 0, worth_served = 0;
    uint64_t receipts = 0, twice_unlawful = 0, late_sends = 0, fell_over = 0;
    // Keys that hosts executed twice, over all attempts of a client, whoever caused it.
    uint64_t keys_run_again = 0;
    std::array<uint64_t, kRuleCount> breaches{};
    Time first_breach{0}, last_breach{0};  // over all rules
    [[nodiscard]] uint64_t all_breaches() const;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  // The first breaches of each rule, up to a limit per rule.
  [[nodiscard]] const std::vector<Breach>& breaches() const { return breaches_; }
  [[nodiscard]] bool broken() const { return !breaches_.empty(); }

  // Counts by the second in which a request was made.
  struct Window {
    uint64_t asked = 0, served = 0, late = 0, refused = 0, failed = 0;
    double worth_asked = 0, worth_served = 0;
    std::vector<uint32_t> latency_us;  // of served responses, since the first attempt
  };
  [[nodiscard]] const std::vector<Window>& windows() const { return windows_; }
  [[nodiscard]] size_t open_requests() const { return open_requests_; }
  // How late the lab itself was recently.
  [[nodiscard]] Duration lab_lag() const { return lab_lag_; }

 private:
  struct RequestState {
    RequestSpec spec;
    Time requested_at{0};
    bool finished = false, is_served = false;
    int last_status = 0;
  };
  struct AttemptState {
    size_t request = 0, gateway = 0;
    Time deadline{0}, sent_at{0};
    bool request_sent = false, finished = false, expired = false, response_begun = false;
    std::optional<Delay> delay = std::nullopt;  // set at the deadline
    int receipts = 0;
    uint64_t last_receipt = 0;  // receipt number + 1; 0: none
  };
  struct Receipt {
    size_t attempt = 0, host = 0;
    Time at{0};
    int zone = 0, cell = 0;
    bool open = true, may_have_run = true;
    uint64_t previous = 0;   // earlier receipt of the same attempt + 1; 0: none
    bool truncated = false;  // the host ended its response midway
    Time cut_before{0};      // see OnResponseCut; 0: was not cut
  };
  void RecordBreach(Rule rule, Time at, std::string id, std::string what);
  // Records an attempt without a response in its time as lost.
  void RecordUnanswered(Time now, size_t attempt);
  // Returns the sizes of an attempt's messages and the hosts that received it.
  [[nodiscard]] std::string DescribeProgress(size_t attempt) const;
  // Whether a further breach of the rule is reported individually, or only counted.
  [[nodiscard]] bool IsReported(Rule rule) const;
  Window& WindowOf(Time asked);
  void CountKeyExecution(const Receipt& receipt);
  // Records a breach if the response of a host was cut although it would have been complete well
  // before the deadline.
  void JudgeCutResponses(Time now, size_t attempt);
  // Calls `visit` with each receipt of the attempt, latest first.
  template <typename Visit>
  void ForEachReceipt(size_t attempt, const Visit& visit) const {
    for (uint64_t link = attempts_[attempt].last_receipt; link > 0;
         link = receipts_[link - 1].previous) {
      visit(receipts_[link - 1]);
    }
  }

  LedgerRules rules_;
  std::vector<RequestState> requests_;
  std::vector<AttemptState> attempts_;
  std::vector<Receipt> receipts_;
  std::multimap<Time, size_t> deadlines_;  // attempts that may still lack a response, by deadline
  struct PossibleDuplicate {
    Time at{0};
    uint64_t first = 0, second = 0;
    bool confirmed = false;
  };
  // Copies received while an earlier one was open.
  std::deque<PossibleDuplicate> possible_duplicates_;
  std::map<std::pair<size_t, size_t>, Time> drain_notices_;  // first notice, by gateway and host
  std::unordered_map<uint64_t, Time> last_key_execution_;    // when each key was last executed
  // Attempts with a permitted delay, by extended deadline.
  std::multimap<Time, size_t> delayed_deadlines_;
  std::function<std::optional<Delay>(size_t)> delay_provider_;
  std::function<std::string(size_t)> describe_connection_;
  std::function<void(Time, size_t, size_t, size_t)> receipt_callback_;
  Duration lab_lag_{0};
  Counts counts_;
  std::vector<Breach> breaches_;
  std::vector<Window> windows_;
  size_t open_requests_ = 0;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_LEDGER_H_
