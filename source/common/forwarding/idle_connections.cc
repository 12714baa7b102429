#include "common/forwarding/idle_connections.h"

namespace juniperway::forwarding {

void IdleConnections::OnSent(MonotonicTime now) {
  std::erase_if(idle_since_, [&](MonotonicTime since) {
    return now - since >= idle_timeout_;
  });
  if (!idle_since_.empty()) {
    idle_since_.erase(idle_since_.begin());
  }
}

}  // namespace juniperway::forwarding
