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
struct BufferedMessage {
  Buffer bytes;
  HttpMessage message;
  std::shared_ptr<StreamingBody> streaming_body{};
  [[nodiscard]] std::string_view body() const { return message.body.In(bytes.view()); }
};

struct Response {
  int status = 0;
  std::shared_ptr<const BufferedMessage> upstream_message{};  // a host's answer to pass on, or none
  Duration retry_after{0};                                    // of a refusal
  std::string reason{};  // told to a client whose request was not understood
};

class ProxiedRequest {
 public:
  using ResponseCallback = std::function<void(const Response&)>;

  // `cls` stays as it was when the request came, whatever settings follow.
  ProxiedRequest(std::string id, BufferedMessage request, Time deadline,
                 std::shared_ptr<const RequestClass> cls, ResponseCallback reply)
      : id_(std::move(id)),
        message_(std::move(request)),
        deadline_(deadline),
        request_class_(std::move(cls)),
        response_callback_(std::move(reply)) {}

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const BufferedMessage& message() const { return message_; }
  [[nodiscard]] Time deadline() const { return deadline_; }
  void set_deadline(Time deadline) { deadline_ = deadline; }
  // How long the client waits from its last byte on.
  [[nodiscard]] Duration client_timeout() const { return client_timeout_; }
  void set_client_timeout(Duration patience) { client_timeout_ = patience; }
  // Whether a part of the request is no longer held: it cannot be sent again.
  [[nodiscard]] bool body_consumed() const {
    return message_.streaming_body && message_.streaming_body->begun();
  }
  [[nodiscard]] const RequestClass& request_class() const { return *request_class_; }

  // Whether it has had its one answer, or nobody waits for it any more.
  [[nodiscard]] bool done() const { return done_; }

  // Gives the one answer; false where there is no more to give one to.
  bool Respond(const Response& answer) {
    if (done_) {
      return false;
    }
    done_ = true;
    const ResponseCallback reply = std::exchange(response_callback_, nullptr);
    reply(answer);
    return true;
  }
  // The client has gone.
  void Abandon() {
    done_ = true;
    response_callback_ = nullptr;
  }

  // Attempts are numbered from 0 in the order of their sends.
  size_t BeginAttempt() {
    ++attempts_in_flight_;
    return attempt_count_++;
  }
  void EndAttempt() { --attempts_in_flight_; }
  [[nodiscard]] size_t attempt_count() const { return attempt_count_; }
  // A streamed answer has begun on this attempt, the first to do so: it alone is the client's.
  bool CommitTo(size_t attempt) {
    if (done_ || committed_attempt_) {
      return false;
    }
    committed_attempt_ = attempt;
    return true;
  }
  [[nodiscard]] const std::optional<size_t>& committed_attempt() const {
    return committed_attempt_;
  }
  [[nodiscard]] int attempts_in_flight() const { return attempts_in_flight_; }

 private:
  std::string id_;
  BufferedMessage message_;
  Time deadline_;
  Duration client_timeout_{0};
  std::shared_ptr<const RequestClass> request_class_;
  ResponseCallback response_callback_;
  size_t attempt_count_ = 0;
  int attempts_in_flight_ = 0;
  std::optional<size_t> committed_attempt_;
  bool done_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_PROXIED_REQUEST_H_
