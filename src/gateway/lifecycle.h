// The one life of a gateway: told by `serve` and `admin`, read by `clients`. What the health calls
// say derives from it and from nothing else.
#ifndef PADDLESTILE_GATEWAY_LIFECYCLE_H_
#define PADDLESTILE_GATEWAY_LIFECYCLE_H_

#include <functional>
#include <utility>

namespace paddlestile {

enum class LifecycleStage {
  kStarting,       // takes no clients yet
  kServing,        //
  kDrained,        // emptied by an operator; stays, and serves again at a word
  kHotRestarting,  // another process has the clients' address; ends what is open
  kEnding          // told to end
};

// Its name in the log.
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

// The same as one word, in counters.
inline const char* CounterName(LifecycleStage stage) {
  return stage == LifecycleStage::kHotRestarting ? "handing_over" : ToText(stage);
}

class Lifecycle {
 public:
  // A process whose clients' address nobody else holds may serve at once.
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

  // What clients should do. Once handed over, the address is another's that serves.
  [[nodiscard]] bool healthy() const { return replaced_ || stage() == LifecycleStage::kServing; }
  // Whether this process can serve, whatever an operator has told it.
  [[nodiscard]] bool can_serve() const { return ready_ && !replaced_ && !ending_; }
  // Whether connections that wait in the queue are this process's to take.
  [[nodiscard]] bool accepts() const { return ready_ && !replaced_; }
  // Whether clients' connections are to end after their answers.
  [[nodiscard]] bool draining() const {
    return stage() != LifecycleStage::kStarting && stage() != LifecycleStage::kServing;
  }
  [[nodiscard]] bool replaced() const { return replaced_; }

  void set_ready() { Set(ready_, true); }
  void set_drained(bool drained) { Set(drained_, drained); }
  void set_replaced(bool handed_over) { Set(replaced_, handed_over); }
  void set_ending() { Set(ending_, true); }

  // Runs after each change; one listener.
  void SetChangeCallback(std::function<void()> then) { change_callback_ = std::move(then); }

 private:
  void Set(bool& what, bool to) {
    if (std::exchange(what, to) != to && change_callback_) {
      change_callback_();
    }
  }
  bool ready_, drained_ = false, replaced_ = false, ending_ = false;
  std::function<void()> change_callback_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LIFECYCLE_H_
