// A fleet of real processes with a roll-out under way, and the requests that
// decide it.
#pragma once

#include <doctest/doctest.h>

#include <string>

#include "integration/forwarding/route_fleet.h"

namespace juniperway::test {

inline const std::string kRolloutTable = R"({"version": 1, "routes": [
  {"name": "often", "host": "test.example", "path_prefix": "/often/",
   "execution": "repeatable", "timeout_ms": 3000, "service": "s1",
   "maximum_attempts": 2},
  {"name": "rare", "host": "test.example", "path_prefix": "/rare/",
   "execution": "repeatable", "timeout_ms": 3000, "service": "s1",
   "maximum_attempts": 2}],
  "services": [{"name": "s1", "maximum_connections": 200}]})";
inline constexpr int kRolloutRouters = 3;
// Enough for an election and a slow machine after each phase.
inline const std::string kRolloutOrder =
    R"({"service": "s1", "target_version": "v2", "duration_s": 20})";

struct RolloutFleet {
  RolloutFleet() : fleet(3, kRolloutRouters) {
    fleet.AddBackend("old-1", "s1");
    fleet.AddBackend("old-2", "s1");
    REQUIRE(fleet.PutTable(kRolloutTable) == 200);
    for (int router = 0; router < kRolloutRouters; ++router) {
      while (fleet.Request("/often/a", "warm", router).status != 200) {
      }
    }
  }

  // One request at one router after the other; one of three is of the rare
  // route.
  void Request() {
    ++requests;
    const std::size_t round =
        rare_at_one_router ? requests : requests / kRolloutRouters;
    const std::string target =
        (round % 3 == 0 ? "/rare/" : "/often/") + std::to_string(requests);
    const auto answer =
        fleet.Request(target, "request-" + target,
                      static_cast<int>(requests % kRolloutRouters));
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

}  // namespace juniperway::test
