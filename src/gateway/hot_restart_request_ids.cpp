#include "gateway/hot_restart_request_ids.h"

#include <cstddef>
#include <utility>

#include "gateway/hot_restart_protocol.h"

namespace paddlestile::hot_restart {
namespace {

// Ids that the other process has not read yet; further ones are not sent.
constexpr size_t kMaxUnsentBytes = 1U << 20;

}  // namespace

void RequestIdSender::Send(const std::string& id) {
  const bool may_be_read = permission_ != Permission::kForbidden && !stream_.closed();
  if (!may_be_read || unsent_lines_.size() > kMaxUnsentBytes) {
    return;
  }
  unsent_lines_ += TookLine(id) + '\n';
  FlushAfterHandler();
}

void RequestIdSender::Allow() {
  permission_ = Permission::kAllowed;
  FlushAfterHandler();
}

void RequestIdSender::Forbid() {
  if (permission_ == Permission::kUnknown) {
    permission_ = Permission::kForbidden;
    unsent_lines_ = {};
  }
}

void RequestIdSender::FlushAfterHandler() {
  loop_.RunDeferred([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      Flush();
    }
  });
}

void RequestIdSender::Flush() {
  const bool may_write =
      permission_ == Permission::kAllowed && !stream_.closed() && stream_.flushed();
  if (may_write && !unsent_lines_.empty()) {
    stream_.Write(std::exchange(unsent_lines_, {}));
  }
}

}  // namespace paddlestile::hot_restart
