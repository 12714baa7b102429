// Tests a rollout with real processes: a good version is promoted to completion
// although the leader crashes during the rollout.
#include <doctest/doctest.h>

#include <string>

#include "integration/forwarding/rollout_fleet.h"

namespace juniperway::test {
namespace {

TEST_CASE("a good version completes, and the baseline gets no more requests") {
  RolloutFleet fleet;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kRolloutOrder) ==
          200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  while (canary.Targets().size() < 5) {
    fleet.Request();
  }
  const int leader = fleet.fleet.LeaderNumber();
  fleet.fleet.control(leader).Kill();
  const std::string state = fleet.RequestUntilDecided();
  CAPTURE(fleet.fleet.GetRollout("s1").reason);
  CAPTURE(fleet.requests);
  CAPTURE(canary.Targets().size());
  CHECK(state == "complete");
  CHECK(fleet.failed == 0);
  const auto baseline_requests = [&fleet] {
    return fleet.fleet.backends()[0]->Targets().size() +
           fleet.fleet.backends()[1]->Targets().size();
  };
  const std::size_t before = baseline_requests();
  for (int i = 0; i < 100; ++i) {
    fleet.Request();
  }
  CHECK(baseline_requests() == before);
}

}  // namespace
}  // namespace juniperway::test
