#include "common/session/fleet_view.h"

namespace juniperway::session {

std::string IncarnationName(const DiscoveredBackend& backend) {
  if (backend.start == WallTime{}) {
    return backend.id;
  }
  const Duration since_epoch = backend.start.time_since_epoch();
  return backend.id + "@" + std::to_string(ToMilliseconds(since_epoch));
}

}  // namespace juniperway::session
