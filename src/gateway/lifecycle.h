// The lifecycle of a gateway process. Health checks, accepting and draining derive from it alone.
#ifndef PADDLESTILE_GATEWAY_LIFECYCLE_H_
#define PADDLESTILE_GATEWAY_LIFECYCLE_H_

#include <functional>
#include <utility>

namespace paddlestile {

//   stage           | entered by                    | accepts | healthy | draining
//   ----------------+-------------------------------+---------+---------+---------
//   kStarting       | the start, until set_ready    | no      | no      | no
//   kServing        | set_ready                     | yes     | yes     | no
//   kDrained        | set_drained(true)             | yes     | no      | yes
//   kHotRestarting  | set_replaced(true)            | no      | yes     | yes
//   kEnding         | set_ending; final             | if ready| no      | yes
//
// Flags of several stages may be set; the last stage of the table that applies is the stage, with
// kStarting before kDrained. After set_replaced, kEnding accepts nothing and is healthy too: the
// address is served by the new process.
enum class LifecycleStage {
  kStarting,
  kServing,
  kDrained,
  kHotRestarting,
  kEnding
};

// The name in the log.
inline const char* ToText(LifecycleStage stage) {
  switch (stage) {
    case LifecycleStage::kStarting:
      return "starting";
    case LifecycleStage::kServing:
      return "serving";
    case LifecycleStage::kDrained:
      return "drained";
    case LifecycleStage::kHotRestarting:
      return "handing over";
    case LifecycleStage::kEnding:
      return "ending";
  }
  return "";
}

// The name in counters, which has no spaces.
inline const char* CounterName(LifecycleStage stage) {
  return stage == LifecycleStage::kHotRestarting ? "handing_over" : ToText(stage);
}

// Set by signals, the admin interface and hot restart; read by the downstream side.
class Lifecycle {
 public:
  // `ready`: serves at once. Not so where another process still serves the address.
  explicit Lifecycle(bool ready = true) : ready_(ready) {}

  [[nodiscard]] LifecycleStage stage() const {
    if (ending_) {
      return LifecycleStage::kEnding;
    }
    if (replaced_) {
      return LifecycleStage::kHotRestarting;
    }
    if (!ready_) {
      return LifecycleStage::kStarting;
    }
    return drained_ ? LifecycleStage::kDrained : LifecycleStage::kServing;
  }

  // Whether clients should send requests to the address, whichever process serves it.
  [[nodiscard]] bool healthy() const { return replaced_ || stage() == LifecycleStage::kServing; }
  // Whether this process can serve, drained by an operator or not.
  [[nodiscard]] bool can_serve() const { return ready_ && !replaced_ && !ending_; }
  // Whether this process accepts connections that wait at the address.
  [[nodiscard]] bool accepts() const { return ready_ && !replaced_; }
  // Whether clients' connections end after their responses.
  [[nodiscard]] bool draining() const {
    return stage() != LifecycleStage::kStarting && stage() != LifecycleStage::kServing;
  }
  // Whether a new process serves the address.
  [[nodiscard]] bool replaced() const { return replaced_; }

  void set_ready() { Set(ready_, true); }
  void set_drained(bool drained) { Set(drained_, drained); }
  void set_replaced(bool replaced) { Set(replaced_, replaced); }
  void set_ending() { Set(ending_, true); }

  // Runs after each change; one at a time, null: none.
  void SetChangeCallback(std::function<void()> callback) { change_callback_ = std::move(callback); }

 private:
  void Set(bool& flag, bool value) {
    if (std::exchange(flag, value) != value && change_callback_) {
      change_callback_();
    }
  }

  bool ready_;
  bool drained_ = false;   // by an operator
  bool replaced_ = false;  // by the new process of a hot restart
  bool ending_ = false;
  std::function<void()> change_callback_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LIFECYCLE_H_
