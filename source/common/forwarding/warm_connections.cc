#include "common/forwarding/warm_connections.h"

namespace juniperway::forwarding {

void WarmConnections::OnSent(MonotonicTime now) {
  while (!unused_since_.empty() && now - unused_since_.front() >= kept_) {
    unused_since_.pop_front();
  }
  if (!unused_since_.empty()) {
    unused_since_.pop_front();
  }
}

}  // namespace juniperway::forwarding
