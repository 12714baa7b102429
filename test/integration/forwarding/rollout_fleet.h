// A fleet of real processes with a rollout, and the requests that decide the
// rollout. Each test owns its fleet.
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
// The duration in the order leaves time for a leader election after each phase
// on slow hardware.
inline const std::string kRolloutOrder =
    R"({"service": "s1", "target_version": "v2", "duration_s": 20})";

// Three routers over two backends of the baseline version.
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

  // Sends one request, to the routers in turn; one of three requests uses the
  // rare route.
  void Request() {
    ++requests;
    const std::size_t round =
        rare_at_one_router ? requests : requests / kRolloutRouters;
    const std::string target =
        (round % 3 == 0 ? "/rare/" : "/often/") + std::to_string(requests);
    latest_router = static_cast<int>(requests % kRolloutRouters);
    const auto answer =
        fleet.Request(target, "request-" + target, latest_router);
    failed += answer.status == 200 ? 0 : 1;
  }

  // Sends requests until the rollout is decided.
  // @return its state.
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

  // Whether all requests of the rare route go to the first router.
  bool rare_at_one_router = false;
  std::size_t requests = 0;
  // The router that got the latest request.
  int latest_router = 0;
  // Requests that were not answered with 200.
  std::size_t failed = 0;
  RouteFleet fleet;
};

}  // namespace juniperway::test
