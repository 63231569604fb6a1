#include "simulator/protocol.h"

namespace paddlestile::simulator {
namespace {

constexpr int64_t kMicrosPerMilli = 1000;
constexpr size_t kFractionDigits = 3;

void AppendWord(std::string_view word, std::string& out) {
  out += ' ';
  out += word;
}

// Appends a duration in milliseconds with three decimal places.
void AppendMillis(Duration value, std::string& out) {
  const int64_t micros = value.count();
  const int64_t magnitude = micros < 0 ? -micros : micros;
  const std::string fraction = std::to_string(magnitude % kMicrosPerMilli);
  out += micros < 0 ? " -" : " ";
  out += std::to_string(magnitude / kMicrosPerMilli);
  out += '.';
  out.append(kFractionDigits - fraction.size(), '0');
  out += fraction;
}

// Appends an action's line without its newline.
class ActionPrinter {
 public:
  ActionPrinter(int64_t instance, std::string& out) : instance_(instance), out_(out) {}

  void operator()(const StartAttempt& action) const {
    Begin("place");
    AppendWord(action.id, out_);
    AppendWord(action.endpoint, out_);
    AppendMillis(action.timeout, out_);
  }
  void operator()(const RejectRequest& action) const {
    Begin("push_back");
    AppendWord(action.id, out_);
    AppendMillis(action.retry_after, out_);
  }
  void operator()(const FailRequest& action) const {
    Begin("surrender");
    AppendWord(action.id, out_);
  }
  void operator()(const CancelAttempt& action) const {
    Begin("revoke");
    AppendWord(action.id, out_);
    AppendWord(std::to_string(action.attempt), out_);
  }
  void operator()(const SetTimer& action) const {
    Begin("arm");
    AppendMillis(action.after, out_);
    AppendWord(action.token, out_);
  }
  void operator()(const StartProbe& action) const {
    Begin("ping");
    AppendWord(action.endpoint, out_);
  }
  void operator()(const CloseIdleConnections& action) const {
    Begin("free_links");
    AppendWord(action.endpoint, out_);
  }
  void operator()(const WatchEndpoints& action) const {
    Begin("follow");
    AppendWord(action.on ? "1" : "0", out_);
  }
  void operator()(const PollEndpoints& /*action*/) const { Begin("read_list"); }
  void operator()(const LogMessage& action) const {
    Begin("debug");
    AppendWord(action.text, out_);
  }

 private:
  void Begin(std::string_view tag) const {
    out_ += tag;
    AppendWord(std::to_string(instance_), out_);
  }

  int64_t instance_;
  std::string& out_;
};

}  // namespace

void PrintAction(int64_t instance, const Action& action, std::string& out) {
  std::visit(ActionPrinter(instance, out), action);
  out += '\n';
}

void PrintPanic(int64_t instance, std::string_view reason, std::string& out) {
  out += "panic " + std::to_string(instance) + ' ';
  for (const char character : reason) {
    const bool ends_line = character == '\n' || character == '\r';
    out += ends_line ? ' ' : character;
  }
  out += '\n';
}

void PrintEnd(std::string_view sequence, std::string& out) {
  out += "end ";
  out += sequence;
  out += '\n';
}

}  // namespace paddlestile::simulator
