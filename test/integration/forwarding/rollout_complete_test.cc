// A roll-out with real processes: a good version takes over although the leader
// is lost meanwhile.
#include <doctest/doctest.h>

#include <string>

#include "integration/forwarding/rollout_fleet.h"

namespace juniperway::test {
namespace {

TEST_CASE("a good version takes over, and nothing goes to the old one") {
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
  const auto old_requests = [&fleet] {
    return fleet.fleet.backends()[0]->Targets().size() +
           fleet.fleet.backends()[1]->Targets().size();
  };
  const std::size_t before = old_requests();
  for (int i = 0; i < 100; ++i) {
    fleet.Request();
  }
  CHECK(old_requests() == before);
}

}  // namespace
}  // namespace juniperway::test
