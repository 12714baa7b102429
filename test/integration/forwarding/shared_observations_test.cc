// Tests with real processes that routers use other routers' observations of a
// backend to which they have sent nothing.
#include <doctest/doctest.h>

#include <string>

#include "integration/forwarding/route_fleet.h"
#include "lab/wait.h"

namespace juniperway::test {
namespace {

const std::string kTable = R"({"version": 1, "routes": [
  {"name": "r", "host": "test.example", "path_prefix": "/r/",
   "execution": "repeatable", "timeout_ms": 3000, "service": "s1",
   "maximum_attempts": 2}],
  "services": [{"name": "s1", "maximum_connections": 200}]})";
// With several reporting routers, their observations count for ten seconds.
constexpr int kReportingRouters = 3;
constexpr int kRouters = 7;
constexpr Duration kLimit = seconds(30);

TEST_CASE("routers avoid a backend that sheds at other routers") {
  RouteFleet fleet(3, kRouters);
  StandInBackend& shedding = fleet.AddBackend("a", "s1");
  shedding.SetAnswering(Answering::kSheds);
  REQUIRE(fleet.PutTable(kTable) == 200);
  for (int witness = 0; witness < kReportingRouters; ++witness) {
    const std::size_t before = shedding.Targets().size();
    REQUIRE(lab::WaitFor(kLimit, [&] {
      fleet.Request("/r/1", "witness", witness);
      return shedding.Targets().size() > before;
    }));
  }
  for (int router = kReportingRouters; router < kRouters; ++router) {
    REQUIRE(lab::WaitFor(kLimit, [&] {
      return fleet.RouterMetric(router, "juniperway_router_shared_failures") ==
             1;
    }));
  }
  fleet.AddBackend("b", "s1");
  const std::size_t before = shedding.Targets().size();
  for (int router = kReportingRouters; router < kRouters; ++router) {
    // Until the router has discovered the second backend, the router can only
    // use the shedding one.
    REQUIRE(lab::WaitFor(kLimit, [&] {
      return fleet.RouterMetric(router, "juniperway_router_backends") == 2;
    }));
    CHECK(fleet.Request("/r/2", "other", router).status == 200);
  }
  // Without observations, about half of the requests would go to each backend.
  CHECK(shedding.Targets().size() == before);
}

}  // namespace
}  // namespace juniperway::test
