// A roll-out with real processes whose canaries get more than the base share
// when all control machines are lost.
#include <doctest/doctest.h>

#include "integration/forwarding/rollout_fleet.h"

namespace juniperway::test {
namespace {

// Canaries get more than the base share, and the other version is still there,
// for 9 s of it.
const std::string kLongOrder =
    R"({"service": "s1", "target_version": "v2", "duration_s": 30})";
constexpr int kBatch = 200;
// 15 of a batch at the base share of 75 in a thousand, 60 while widening.
constexpr std::size_t kNearBaseShare = 30;
// 45 of three batches at the base share, 6.5 of a standard deviation.
constexpr std::size_t kMostOfThreeBatches = 80;

std::size_t CanaryRequests(RolloutFleet& fleet, const StandInBackend& canary,
                           int batches) {
  const std::size_t before = canary.Targets().size();
  for (int request = 0; request < batches * kBatch; ++request) {
    fleet.Request();
  }
  return canary.Targets().size() - before;
}

// Guards against canaries that keep a larger share while no leader judges them.
TEST_CASE("routers go back to the base share without a leader") {
  RolloutFleet fleet;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kLongOrder) == 200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  while (fleet.fleet.GetRollout("s1").share_permille < 300) {
    CanaryRequests(fleet, canary, 1);
  }
  while (CanaryRequests(fleet, canary, 1) <= kNearBaseShare) {
  }
  for (int number = 0; number < 3; ++number) {
    fleet.fleet.control(number).Kill();
  }
  while (CanaryRequests(fleet, canary, 1) > kNearBaseShare) {
  }
  CHECK(CanaryRequests(fleet, canary, 3) <= kMostOfThreeBatches);
  CHECK(fleet.failed == 0);
}

}  // namespace
}  // namespace juniperway::test
