// A single HTTP call to a gateway on a new connection; reports whether the response is 200.
#ifndef PADDLESTILE_LAB_HEALTH_CALL_H_
#define PADDLESTILE_LAB_HEALTH_CALL_H_

#include <functional>
#include <memory>
#include <string_view>

#include "base/address.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "http/http_parser.h"

namespace paddlestile::lab {

class HealthCall final : public Stream::Listener {
 public:
  // Starts immediately. `on_done` runs once, never within the constructor: true for a response with
  // status 200, false otherwise. Destruction cancels the call. `call`: method and path.
  HealthCall(EventLoop& loop, const Address& address, std::function<void(bool)> on_done,
             std::string_view call = "GET /_health");
  HealthCall(const HealthCall&) = delete;
  HealthCall& operator=(const HealthCall&) = delete;
  virtual ~HealthCall() = default;

 private:
  void OnData() override;
  void OnError() override { Finish(false); }
  void Finish(bool succeeded);

  EventLoop& loop_;
  std::function<void(bool)> on_done_;
  std::unique_ptr<Stream> stream_;
  HttpParser parser_{HttpParser::Kind::kResponse};
  bool is_finished_ = false;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_HEALTH_CALL_H_
