// The one life of a gateway: told by `serve` and `admin`, read by `clients`. What the health calls
// say derives from it and from nothing else.
#ifndef PADDLESTILE_GATEWAY_LIFECYCLE_H_
#define PADDLESTILE_GATEWAY_LIFECYCLE_H_

#include <functional>
#include <utility>

namespace paddlestile {

enum class Stage {
  kStarting,     // takes no clients yet
  kServing,      //
  kDrained,      // emptied by an operator; stays, and serves again at a word
  kHandingOver,  // another process has the clients' address; ends what is open
  kEnding        // told to end
};

// Its name in the log.
inline const char* ToText(Stage stage) {
  switch (stage) {
    case Stage::kStarting: return "starting";
    case Stage::kServing: return "serving";
    case Stage::kDrained: return "drained";
    case Stage::kHandingOver: return "handing over";
    case Stage::kEnding: return "ending";
  }
  return "";
}

// The same as one word, in counters.
inline const char* Word(Stage stage) {
  return stage == Stage::kHandingOver ? "handing_over" : ToText(stage);
}

class Life {
 public:
  // A process whose clients' address nobody else holds may serve at once.
  explicit Life(bool ready = true) : ready_(ready) {}

  [[nodiscard]] Stage stage() const {
    if (ending_) return Stage::kEnding;
    if (handed_over_) return Stage::kHandingOver;
    if (!ready_) return Stage::kStarting;
    return drained_ ? Stage::kDrained : Stage::kServing;
  }

  // What clients should do. Once handed over, the address is another's that serves.
  [[nodiscard]] bool wants_clients() const { return handed_over_ || stage() == Stage::kServing; }
  // Whether this process can serve, whatever an operator has told it.
  [[nodiscard]] bool can_serve() const { return ready_ && !handed_over_ && !ending_; }
  // Whether connections that wait in the queue are this process's to take.
  [[nodiscard]] bool accepts() const { return ready_ && !handed_over_; }
  // Whether clients' connections are to end after their answers.
  [[nodiscard]] bool empties() const {
    return stage() != Stage::kStarting && stage() != Stage::kServing;
  }
  [[nodiscard]] bool handed_over() const { return handed_over_; }

  void set_ready() { Set(ready_, true); }
  void set_drained(bool drained) { Set(drained_, drained); }
  void set_handed_over(bool handed_over) { Set(handed_over_, handed_over); }
  void set_ending() { Set(ending_, true); }

  // Runs after each change; one listener.
  void OnChange(std::function<void()> then) { then_ = std::move(then); }

 private:
  void Set(bool& what, bool to) {
    if (std::exchange(what, to) != to && then_) then_();
  }
  bool ready_, drained_ = false, handed_over_ = false, ending_ = false;
  std::function<void()> then_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LIFECYCLE_H_
