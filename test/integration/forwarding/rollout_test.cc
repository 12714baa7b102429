// Roll-outs with real processes that are refused or undone.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "integration/forwarding/rollout_fleet.h"

namespace juniperway::test {
namespace {

// The canary got no more than its share of the requests so far.
void CheckExposure(const RolloutFleet& fleet, const StandInBackend& canary) {
  constexpr std::size_t kSlack = 10;
  CHECK(canary.Targets().size() <= fleet.requests / 10 + kSlack);
}

// Nothing reaches the canary once its withdrawal is in force at every router.
// `rolled_back` alone says that it is replicated: routers that have not heard
// of it go on with the share that they know.
void CheckWithdrawn(RolloutFleet& fleet, const StandInBackend& canary) {
  REQUIRE(fleet.fleet.AwaitRolloutInForce("s1"));
  const std::size_t before = canary.Targets().size();
  for (int i = 0; i < 100; ++i) {
    fleet.Request();
  }
  CHECK(canary.Targets().size() == before);
}

TEST_CASE("a version that fails on one route is undone and gets nothing more") {
  RolloutFleet fleet;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kRolloutOrder) ==
          200);
  // Sent again: the same order.
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kRolloutOrder) ==
          200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  canary.FailOn("/rare/");
  CHECK(fleet.RequestUntilDecided() == "rolled_back");
  CHECK(fleet.fleet.GetRollout("s1").reason == "its answers are worse");
  // Retries at the old version keep the failures from the clients.
  CHECK(fleet.failed == 0);
  CheckExposure(fleet, canary);
  CheckWithdrawn(fleet, canary);
}

TEST_CASE("a verdict outlives the loss of all control machines") {
  RolloutFleet fleet;
  fleet.rare_at_one_router = true;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kRolloutOrder) ==
          200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  canary.FailOn("/rare/");
  // One router alone sees failures: it does not decide, and what nobody could
  // judge in time is undone as well.
  CHECK(fleet.RequestUntilDecided() == "rolled_back");
  CheckExposure(fleet, canary);
  // Before the routers have heard of it, most often.
  fleet.fleet.KillControls();
  CHECK(fleet.fleet.CallControl("GET", "/v1/rollouts/s1") == 200);
  CHECK(fleet.fleet.GetRollout("s1").state == "rolled_back");
  for (int i = 0; i < 100; ++i) {
    fleet.Request();
  }
  CheckWithdrawn(fleet, canary);
  CHECK(fleet.failed == 0);
  CheckExposure(fleet, canary);
}

TEST_CASE("an order with a fault is refused") {
  RolloutFleet fleet;
  for (const std::string order :
       {R"({"service": "s9", "target_version": "v2", "duration_s": 20})",
        R"({"service": "s1", "target_version": "", "duration_s": 20})",
        R"({"service": "s1", "target_version": "v2", "duration_s": 0})",
        R"({"service": "s1", "target_version": "v2"})", "{"}) {
    CAPTURE(order);
    CHECK(fleet.fleet.CallControl("POST", "/v1/rollouts", order) == 400);
  }
}

}  // namespace
}  // namespace juniperway::test
