// Sends the ids of admitted requests to the other process of a hot restart.
#ifndef PADDLESTILE_GATEWAY_HOT_RESTART_REQUEST_IDS_H_
#define PADDLESTILE_GATEWAY_HOT_RESTART_REQUEST_IDS_H_

#include <memory>
#include <string>

#include "event/event_loop.h"
#include "event/stream.h"

namespace paddlestile::hot_restart {

// Writes `took` lines once the other process has read the earlier ones, so that few of them are
// queued in the stream ahead of other lines.
class RequestIdSender {
 public:
  // `loop` and `stream` must outlive this object.
  RequestIdSender(EventLoop& loop, Stream& stream) : loop_(loop), stream_(stream) {}

  // Queues the id, and writes it after the running handler if Allow was called. Drops it if Forbid
  // was called, the stream is closed, or too many bytes are queued.
  void Send(const std::string& id);
  // The other process accepts ids.
  void Allow();
  [[nodiscard]] bool allowed() const { return permission_ == Permission::kAllowed; }
  // The other process does not accept ids. No effect after Allow.
  void Forbid();
  // Must be called when all written data was passed to the kernel.
  void OnWriteComplete() { Flush(); }

 private:
  enum class Permission {
    kUnknown,  // ids are queued until the other process has told
    kAllowed,
    kForbidden
  };
  void FlushAfterHandler();
  void Flush();

  EventLoop& loop_;
  Stream& stream_;
  Permission permission_ = Permission::kUnknown;
  std::string unsent_lines_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this object
};

}  // namespace paddlestile::hot_restart

#endif  // PADDLESTILE_GATEWAY_HOT_RESTART_REQUEST_IDS_H_
