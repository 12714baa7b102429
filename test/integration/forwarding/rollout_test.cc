// Roll-outs with real processes: a good version takes over although the leader
// is lost meanwhile, and one that fails on a single route is undone.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "integration/forwarding/route_fleet.h"

namespace juniperway::test {
namespace {

const std::string kTable = R"({"version": 1, "routes": [
  {"name": "often", "host": "test.example", "path_prefix": "/often/",
   "execution": "repeatable", "timeout_ms": 3000, "service": "s1",
   "maximum_attempts": 2},
  {"name": "rare", "host": "test.example", "path_prefix": "/rare/",
   "execution": "repeatable", "timeout_ms": 3000, "service": "s1",
   "maximum_attempts": 2}],
  "services": [{"name": "s1", "maximum_connections": 200}]})";
constexpr int kRouters = 3;
// Enough for an election and a slow machine after each phase.
const std::string kOrder =
    R"({"service": "s1", "target_version": "v2", "duration_s": 20})";

struct Fleet {
  Fleet() : fleet(3, kRouters) {
    fleet.AddBackend("old-1", "s1");
    fleet.AddBackend("old-2", "s1");
    REQUIRE(fleet.PutTable(kTable) == 200);
    for (int router = 0; router < kRouters; ++router) {
      while (fleet.Request("/often/a", "warm", router).status != 200) {
      }
    }
  }

  // One request at one router after the other; one of three is of the rare
  // route.
  void Request() {
    ++requests;
    const std::size_t round =
        rare_at_one_router ? requests : requests / kRouters;
    const std::string target =
        (round % 3 == 0 ? "/rare/" : "/often/") + std::to_string(requests);
    const auto answer = fleet.Request(target, "request-" + target,
                                      static_cast<int>(requests % kRouters));
    failed += answer.status == 200 ? 0 : 1;
  }

  // Requests until the roll-out is decided.
  std::string RequestUntilDecided() {
    std::string state = "running";
    while (state == "running" || state.empty()) {
      for (int i = 0; i < 50; ++i) {
        Request();
      }
      state = fleet.GetRollout("s1").state;
    }
    return state;
  }

  // All requests of the rare route go to the first router.
  bool rare_at_one_router = false;
  std::size_t requests = 0;
  std::size_t failed = 0;
  RouteFleet fleet;
};

TEST_CASE("a good version takes over, and nothing goes to the old one") {
  Fleet fleet;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kOrder) == 200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  while (canary.Targets().size() < 5) {
    fleet.Request();
  }
  const int leader = fleet.fleet.LeaderNumber();
  fleet.fleet.control(leader).Kill();
  CHECK(fleet.RequestUntilDecided() == "complete");
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

// The canary got no more than its share of the requests so far.
void CheckExposure(const Fleet& fleet, const StandInBackend& canary) {
  constexpr std::size_t kSlack = 10;
  CHECK(canary.Targets().size() <= fleet.requests / 10 + kSlack);
}

// Nothing reaches the canary once its withdrawal is in force at every router.
// `rolled_back` alone says that it is replicated: routers that have not heard
// of it go on with the share that they know.
void CheckWithdrawn(Fleet& fleet, const StandInBackend& canary) {
  REQUIRE(fleet.fleet.AwaitRolloutInForce("s1"));
  const std::size_t before = canary.Targets().size();
  for (int i = 0; i < 100; ++i) {
    fleet.Request();
  }
  CHECK(canary.Targets().size() == before);
}

TEST_CASE("a version that fails on one route is undone and gets nothing more") {
  Fleet fleet;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kOrder) == 200);
  // Sent again: the same order.
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kOrder) == 200);
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
  Fleet fleet;
  fleet.rare_at_one_router = true;
  REQUIRE(fleet.fleet.CallControl("POST", "/v1/rollouts", kOrder) == 200);
  StandInBackend& canary = fleet.fleet.AddBackend("new-1", "s1", "v2");
  canary.FailOn("/rare/");
  // One router alone sees failures: it does not decide, and what nobody could
  // judge in time is undone as well.
  CHECK(fleet.RequestUntilDecided() == "rolled_back");
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
  Fleet fleet;
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
