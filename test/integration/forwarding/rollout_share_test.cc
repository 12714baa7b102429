// Tests a rollout with real processes whose canaries have more than the base
// share when all control nodes crash.
#include <doctest/doctest.h>

#include "integration/forwarding/rollout_fleet.h"

namespace juniperway::test {
namespace {

// For 9 s of this rollout, canaries have more than the base share while the
// baseline version still gets requests.
const std::string kLongOrder =
    R"({"service": "s1", "target_version": "v2", "duration_s": 30})";
constexpr int kBatch = 200;
// A canary gets 15 requests of a batch at the base share of 75 per mille, and
// 60 after its promotion.
constexpr std::size_t kNearBaseShare = 30;
// A canary gets 45 requests of three batches at the base share, with a standard
// deviation of 6.5.
constexpr std::size_t kMaximumOfThreeBatches = 80;

std::size_t CanaryRequests(RolloutFleet& fleet, const StandInBackend& canary,
                           int batches) {
  const std::size_t before = canary.Targets().size();
  for (int request = 0; request < batches * kBatch; ++request) {
    fleet.Request();
  }
  return canary.Targets().size() - before;
}

// Guards against canaries that keep a larger share while no leader evaluates
// them.
TEST_CASE("routers return to the base share without a leader") {
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
  CHECK(CanaryRequests(fleet, canary, 3) <= kMaximumOfThreeBatches);
  CHECK(fleet.failed == 0);
}

}  // namespace
}  // namespace juniperway::test
