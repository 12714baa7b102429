// How far two places are apart.
#include "common/base/locality.h"

#include <doctest/doctest.h>

namespace juniperway {
namespace {

TEST_CASE("the zone is nearer than the region, and that than the rest") {
  const Place own{"zone-1", "region-1"};
  CHECK(LocalityBetween(own, own) == Locality::kSameZone);
  CHECK(LocalityBetween(own, {"zone-2", "region-1"}) == Locality::kSameRegion);
  CHECK(LocalityBetween(own, {"zone-3", "region-2"}) == Locality::kOtherRegion);
  CHECK(Locality::kSameZone < Locality::kSameRegion);
  CHECK(Locality::kSameRegion < Locality::kOtherRegion);
}

TEST_CASE("a place that is not known is far") {
  CHECK(LocalityBetween({}, {}) == Locality::kOtherRegion);
  CHECK(LocalityBetween({"zone-1", ""}, {"zone-2", ""}) ==
        Locality::kOtherRegion);
}

}  // namespace
}  // namespace juniperway
