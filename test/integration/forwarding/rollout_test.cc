// Tests rollouts that are refused or rolled back, with real processes.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "integration/forwarding/rollout_fleet.h"

namespace juniperway::test {
namespace {

// Checks that the canary got no more than its share of the requests so far.
void CheckExposure(const RolloutFleet& fleet, const StandInBackend& canary) {
  constexpr std::size_t kTolerance = 10;
  CHECK(canary.Targets().size() <= fleet.requests / 10 + kTolerance);
}

// Checks that the canary gets no requests once the rollback is in force at
// every router. The state `rolled_back` alone shows only that the rollback is
// replicated: routers without the new view still use the previous share.
void CheckRolledBack(RolloutFleet& fleet, const StandInBackend& canary) {
  REQUIRE(fleet.fleet.AwaitRolloutInForce("s1"));
  const std::size_t before = canary.Targets().size();
  for (int i = 0; i < 100; ++i) {
    fleet.Request();
  }
  CHECK(canary.Targets().size() == before);
}

TEST_CASE("a version that fails on one route is rolled back") {
  RolloutFleet fleet;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kRolloutOrder) ==
          200);
  // A repeated order is accepted.
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kRolloutOrder) ==
          200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  canary.FailOn("/rare/");
  CHECK(fleet.RequestUntilDecided() == "rolled_back");
  CHECK(fleet.fleet.GetRollout("s1").reason == "its answers are worse");
  // Retries at the baseline version hide the failures from the clients.
  CHECK(fleet.failed == 0);
  CheckExposure(fleet, canary);
  CheckRolledBack(fleet, canary);
}

TEST_CASE("a verdict survives a crash of all control nodes") {
  RolloutFleet fleet;
  fleet.rare_at_one_router = true;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kRolloutOrder) ==
          200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  canary.FailOn("/rare/");
  // Only one router observes failures, which is not enough for a verdict. The
  // leader also rolls back a rollout that it cannot evaluate in time.
  CHECK(fleet.RequestUntilDecided() == "rolled_back");
  CheckExposure(fleet, canary);
  // At this time the routers have usually not received the rollback yet.
  fleet.fleet.RestartControls();
  CHECK(fleet.fleet.CallControl("GET", "/v1/rollouts/s1") == 200);
  CHECK(fleet.fleet.GetRollout("s1").state == "rolled_back");
  for (int i = 0; i < 100; ++i) {
    fleet.Request();
  }
  CheckRolledBack(fleet, canary);
  CHECK(fleet.failed == 0);
  CheckExposure(fleet, canary);
}

TEST_CASE("an invalid order is refused") {
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
