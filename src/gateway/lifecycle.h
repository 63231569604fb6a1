// The lifecycle of a gateway process. Whether the process is healthy, accepts connections and
// drains is derived from it alone.
#ifndef PADDLESTILE_GATEWAY_LIFECYCLE_H_
#define PADDLESTILE_GATEWAY_LIFECYCLE_H_

#include <functional>
#include <utility>

namespace paddlestile {

//   stage           | entered by                    | accepts | healthy | draining
//   ----------------+-------------------------------+---------+---------+---------
//   kStarting       | construction                  | no      | no      | no
//   kServing        | set_ready                     | yes     | yes     | no
//   kDrained        | set_drained(true) or          | yes     | no      | yes
//                   | set_isolated(true)            |         |         |
//   kHotRestarting  | set_replaced(true)            | no      | yes     | yes
//   kEnding         | set_ending; final             | if ready| no      | yes
//
// The flags of several stages may be set at once. The order of precedence is kEnding,
// kHotRestarting, kStarting, kDrained, kServing. After set_replaced(true), kEnding does not accept
// and counts as healthy, because the new process serves the address.
enum class LifecycleStage {
  kStarting,
  kServing,
  kDrained,
  kHotRestarting,
  kEnding
};

// Returns the stage's name in the log.
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

// Returns the stage's name in counters, which has no spaces.
inline const char* CounterName(LifecycleStage stage) {
  return stage == LifecycleStage::kHotRestarting ? "handing_over" : ToText(stage);
}

// Holds the stage of this process. Signals, the admin interface and hot restarts change it; the
// downstream side reads it.
class Lifecycle {
 public:
  // `ready` must be false if another process still serves the address; set_ready is then called
  // later.
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
    return drained_ || isolated_ ? LifecycleStage::kDrained : LifecycleStage::kServing;
  }

  // Returns whether clients should send requests to the address, whichever process serves it.
  [[nodiscard]] bool healthy() const { return replaced_ || stage() == LifecycleStage::kServing; }
  // Returns whether this process could serve. Does not depend on whether an operator drained it.
  [[nodiscard]] bool can_serve() const { return ready_ && !replaced_ && !ending_; }
  // Returns whether this process accepts the connections that arrive at the address.
  [[nodiscard]] bool accepts() const { return ready_ && !replaced_; }
  // Returns whether client connections are closed after their responses.
  [[nodiscard]] bool draining() const {
    return stage() != LifecycleStage::kStarting && stage() != LifecycleStage::kServing;
  }
  // Returns whether the cluster agent drains this process.
  [[nodiscard]] bool isolated() const { return isolated_; }
  // Returns whether another process of a hot restart serves the address.
  [[nodiscard]] bool replaced() const { return replaced_; }

  void set_ready() { Set(ready_, true); }
  void set_drained(bool drained) { Set(drained_, drained); }
  void set_isolated(bool isolated) { Set(isolated_, isolated); }
  void set_replaced(bool replaced) { Set(replaced_, replaced); }
  void set_ending() { Set(ending_, true); }

  // Sets the callback that runs after each change, and replaces an earlier one. Null removes it.
  void SetChangeCallback(std::function<void()> callback) { change_callback_ = std::move(callback); }

 private:
  void Set(bool& flag, bool value) {
    if (std::exchange(flag, value) != value && change_callback_) {
      change_callback_();
    }
  }

  bool ready_;
  bool drained_ = false;  // by an operator
  bool isolated_ =
      false;  // by the cluster agent: drains until it is connected to the cluster again
  bool replaced_ = false;  // by another process of a hot restart
  bool ending_ = false;
  std::function<void()> change_callback_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LIFECYCLE_H_
