// A short call to a gateway, on a connection of its own: whether it says yes.
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
  // Begins at once. `done` runs once, never within this call: true for an answer of 200, false for
  // any other end. Destroyed before, it asks no more. `call`: method and path.
  HealthCall(EventLoop& loop, const Address& to, std::function<void(bool)> done,
             std::string_view call = "GET /_health");
  HealthCall(const HealthCall&) = delete;
  HealthCall& operator=(const HealthCall&) = delete;
  virtual ~HealthCall() = default;

 private:
  void OnData() override;
  void OnError() override { Finish(false); }
  void Finish(bool good);

  EventLoop& loop_;
  std::function<void(bool)> done_;
  std::unique_ptr<Stream> stream_;
  HttpParser parser_{HttpParser::Kind::kResponse};
  bool finished_ = false;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_HEALTH_CALL_H_
