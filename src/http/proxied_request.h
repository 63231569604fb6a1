// A request on its way through the gateway: what the downstream and the upstream side share.
#ifndef PADDLESTILE_HTTP_PROXIED_REQUEST_H_
#define PADDLESTILE_HTTP_PROXIED_REQUEST_H_

#include <cstddef>
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

// A message with the memory that it lies in.
struct BufferedMessage {
  Buffer bytes;                                     // head and body; of a streaming one the head
  HttpMessage message;                              // refers to `bytes`
  std::shared_ptr<StreamingBody> streaming_body{};  // null: the body is in `bytes`
  [[nodiscard]] std::string_view body() const { return message.body.In(bytes.view()); }
};

// The response to a client: an upstream one that is passed on, or one of the gateway's own.
struct Response {
  int status = 0;
  std::shared_ptr<const BufferedMessage> upstream_message{};  // null: the gateway's own
  Duration retry_after{0};                                    // of a rejection; 0: no such header
  std::string reason{};  // body of the gateway's own; empty: none
};

// One response is sent: the first of Respond, unless Abandon comes before. Shared by the gateway,
// the client's connection and those of its attempts; all use it on the event loop's thread.
class ProxiedRequest {
 public:
  using ResponseCallback = std::function<void(const Response&)>;

  // `request_class` stays as it was when the request came, whatever settings follow.
  ProxiedRequest(std::string id, BufferedMessage request, Time deadline,
                 std::shared_ptr<const RequestClass> request_class,
                 ResponseCallback response_callback)
      : id_(std::move(id)),
        message_(std::move(request)),
        deadline_(deadline),
        request_class_(std::move(request_class)),
        response_callback_(std::move(response_callback)) {}

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const BufferedMessage& message() const { return message_; }
  [[nodiscard]] Time deadline() const { return deadline_; }
  void set_deadline(Time deadline) { deadline_ = deadline; }
  // How long the client waits for the response, from the last byte of its request on.
  [[nodiscard]] Duration client_timeout() const { return client_timeout_; }
  void set_client_timeout(Duration timeout) { client_timeout_ = timeout; }
  // Whether a part of a streaming body has been passed on: the request cannot be sent again.
  [[nodiscard]] bool body_consumed() const {
    return message_.streaming_body && message_.streaming_body->begun();
  }
  [[nodiscard]] const RequestClass& request_class() const { return *request_class_; }

  // Whether it has had its response, or was abandoned.
  [[nodiscard]] bool done() const { return done_; }

  // Sends the response; false, without effect, where the request is done.
  bool Respond(const Response& response) {
    if (done_) {
      return false;
    }
    done_ = true;
    const ResponseCallback callback = std::exchange(response_callback_, nullptr);
    callback(response);
    return true;
  }
  // The client has left: no response is to be sent.
  void Abandon() {
    done_ = true;
    response_callback_ = nullptr;
  }

  // Returns the number of the attempt: from 0, in the order of the calls.
  size_t BeginAttempt() {
    ++attempts_in_flight_;
    return attempt_count_++;
  }
  void EndAttempt() { --attempts_in_flight_; }
  [[nodiscard]] size_t attempt_count() const { return attempt_count_; }
  // A streamed response has begun on this attempt. False where one has on another attempt, or the
  // request is done: the client gets the first only.
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
  ResponseCallback response_callback_;  // null once done
  size_t attempt_count_ = 0;
  int attempts_in_flight_ = 0;
  std::optional<size_t> committed_attempt_;
  bool done_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_PROXIED_REQUEST_H_
