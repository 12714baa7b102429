#include "common/base/locality.h"

namespace juniperway {

Locality LocalityBetween(const Place& one, const Place& other) {
  if (!one.zone.empty() && one.zone == other.zone) {
    return Locality::kSameZone;
  }
  if (!one.region.empty() && one.region == other.region) {
    return Locality::kSameRegion;
  }
  return Locality::kOtherRegion;
}

}  // namespace juniperway
