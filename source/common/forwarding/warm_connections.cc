#include "common/forwarding/warm_connections.h"

namespace juniperway::forwarding {

void WarmConnections::OnSent(MonotonicTime now) {
  std::erase_if(unused_since_,
                [&](MonotonicTime since) { return now - since >= kept_; });
  if (!unused_since_.empty()) {
    unused_since_.erase(unused_since_.begin());
  }
}

}  // namespace juniperway::forwarding
