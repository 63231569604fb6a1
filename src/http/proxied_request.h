// The one thing that the client side and the server side share: a request, its attempts and its
// one answer.
#ifndef PADDLESTILE_HTTP_PROXIED_REQUEST_H_
#define PADDLESTILE_HTTP_PROXIED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "balancer/load_balancer.h"
#include "event/buffer.h"
#include "http/http_parser.h"
#include "http/streaming_body.h"

namespace paddlestile {

// A message together with the memory that it lies in. Of one too large to be held it is the head;
// the body passes on by `rest`.
struct Held {
  Buffer bytes;
  Message message;
  std::shared_ptr<Body> rest{};
  [[nodiscard]] std::string_view body() const { return message.body.In(bytes.view()); }
};

struct Answer {
  int status = 0;
  std::shared_ptr<const Held> from{};  // a host's answer to pass on, or none
  Duration retry_after{0};             // of a refusal
  std::string why{};                   // told to a client whose request was not understood
};

class Exchange {
 public:
  using Reply = std::function<void(const Answer&)>;

  // `cls` stays as it was when the request came, whatever settings follow.
  Exchange(std::string id, Held request, Time deadline, std::shared_ptr<const RequestClass> cls,
           Reply reply)
      : id_(std::move(id)),
        request_(std::move(request)),
        deadline_(deadline),
        cls_(std::move(cls)),
        reply_(std::move(reply)) {}

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const Held& request() const { return request_; }
  [[nodiscard]] Time deadline() const { return deadline_; }
  void set_deadline(Time deadline) { deadline_ = deadline; }
  // How long the client waits from its last byte on.
  [[nodiscard]] Duration patience() const { return patience_; }
  void set_patience(Duration patience) { patience_ = patience; }
  // Whether a part of the request is no longer held: it cannot be sent again.
  [[nodiscard]] bool spent() const { return request_.rest && request_.rest->begun(); }
  [[nodiscard]] const RequestClass& cls() const { return *cls_; }

  // Whether it has had its one answer, or nobody waits for it any more.
  [[nodiscard]] bool over() const { return over_; }

  // Gives the one answer; false where there is no more to give one to.
  bool Finish(const Answer& answer) {
    if (over_) return false;
    over_ = true;
    const Reply reply = std::exchange(reply_, nullptr);
    reply(answer);
    return true;
  }
  // The client has gone.
  void Abandon() {
    over_ = true;
    reply_ = nullptr;
  }

  // Attempts are numbered from 0 in the order of their sends.
  size_t NextAttempt() {
    ++out_;
    return attempts_++;
  }
  void AttemptEnded() { --out_; }
  [[nodiscard]] size_t attempts() const { return attempts_; }
  // A streamed answer has begun on this attempt, the first to do so: it alone is the client's.
  bool Establish(size_t attempt) {
    if (over_ || stream_) return false;
    stream_ = attempt;
    return true;
  }
  [[nodiscard]] const std::optional<size_t>& stream() const { return stream_; }
  [[nodiscard]] int out() const { return out_; }

 private:
  std::string id_;
  Held request_;
  Time deadline_;
  Duration patience_{0};
  std::shared_ptr<const RequestClass> cls_;
  Reply reply_;
  size_t attempts_ = 0;
  int out_ = 0;
  std::optional<size_t> stream_;
  bool over_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_PROXIED_REQUEST_H_
