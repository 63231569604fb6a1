#include "gateway/hot_restart.h"

#include <fmt/format.h>

namespace paddlestile {

std::string HotRestartSocketPath(const char* tmpdir, const Address& listen) {
  if (tmpdir == nullptr || *tmpdir != '/') {
    return {};
  }
  return fmt::format("{}/paddlestile-{}.sock", tmpdir, ToText(listen));
}

}  // namespace paddlestile
