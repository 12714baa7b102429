// Tests a rollout with real processes whose canaries have more than the base
// share when all control nodes crash.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>

#include "integration/forwarding/rollout_fleet.h"

namespace juniperway::test {
namespace {

// For 9 s of this rollout, canaries have more than the base share while the
// baseline version still gets requests.
const std::string kLongOrder =
    R"({"service": "s1", "target_version": "v2", "duration_s": 30})";
constexpr std::uint32_t kPromotedShare = 300;
constexpr int kBatch = 200;
// Of 200 requests, a canary gets 15 at the base share of 75 per mille, and 60
// after its promotion.
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

// @return the canaries' share of the requests, in thousandths.
std::uint32_t ShareOfRunningRollout(RolloutFleet& fleet) {
  const RolloutStatus status = fleet.fleet.GetRollout("s1");
  REQUIRE_MESSAGE(status.state != "rolled_back", status.reason);
  return status.share_permille;
}

// Sends 200 requests to each router.
// @return the most that a canary got from one router.
std::size_t MostFromOneRouter(RolloutFleet& fleet,
                              const StandInBackend& canary) {
  std::array<std::size_t, kRolloutRouters> requests{};
  for (int request = 0; request < kBatch * kRolloutRouters; ++request) {
    const std::size_t before = canary.Targets().size();
    fleet.Request();
    requests.at(fleet.latest_router) += canary.Targets().size() - before;
  }
  return std::ranges::max(requests);
}

// Guards against canaries that keep a larger share while no leader evaluates
// them.
TEST_CASE("routers return to the base share without a leader") {
  RolloutFleet fleet;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kLongOrder) == 200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  while (ShareOfRunningRollout(fleet) < kPromotedShare) {
    CanaryRequests(fleet, canary, 1);
  }
  while (CanaryRequests(fleet, canary, 1) <= kNearBaseShare) {
    ShareOfRunningRollout(fleet);
  }
  for (int number = 0; number < 3; ++number) {
    fleet.fleet.control(number).Kill();
  }
  // Each router has its own lease on the share, so they return one by one.
  while (MostFromOneRouter(fleet, canary) > kNearBaseShare) {
  }
  CHECK(CanaryRequests(fleet, canary, 3) <= kMaximumOfThreeBatches);
  CHECK(fleet.failed == 0);
}

}  // namespace
}  // namespace juniperway::test
