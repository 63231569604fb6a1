#include "lab/health_call.h"

#include <string>
#include <utility>

#include "event/socket.h"

namespace paddlestile::lab {

HealthCall::HealthCall(EventLoop& loop, const Address& address, std::function<void(bool)> on_done,
                       std::string_view call)
    : loop_(loop), on_done_(std::move(on_done)) {
  bool refused = false;
  auto socket = Connect(address, nullptr, refused);
  if (socket) {
    stream_ = std::make_unique<Stream>(loop, std::move(*socket), this, true);
  }
  if (stream_ && stream_->Start()) {
    stream_->Write(std::string(call) + " HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
  } else {
    Finish(false);
  }
}

void HealthCall::OnData() {
  if (parser_.Feed(stream_->input()) == ParseProgress::kDone) {
    return Finish(parser_.message().status == 200);
  }
  if (stream_->ended()) {
    Finish(false);
  }
}

void HealthCall::Finish(bool succeeded) {
  if (std::exchange(is_finished_, true)) {
    return;
  }
  if (stream_) {
    stream_->Close();
  }
  loop_.RunDeferred([done = on_done_, succeeded] { done(succeeded); });
}

}  // namespace paddlestile::lab
