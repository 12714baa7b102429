// A suspended control node must not carry out an order that operators overtook.
#include <doctest/doctest.h>

#include <csignal>

#include "integration/forwarding/route_fleet.h"

namespace juniperway::test {
namespace {

const std::string kTable = R"({"version": 1, "routes": [
  {"name": "one", "host": "test.example", "path_prefix": "/one/",
   "execution": "repeatable", "timeout_ms": 3000, "service": "s1"}],
  "services": [{"name": "s1", "maximum_connections": 10}]})";
// The zone of all backends of the fixture.
const std::string kEvacuation = "/v1/evacuations/z";
// How long an operator waits before it calls another control node.
constexpr Duration kPatience = milliseconds(200);
constexpr Duration kCallLimit = seconds(30);

TEST_CASE("an overtaken end of an evacuation does not return the zone to use") {
  RouteFleet fleet(3);
  StandInBackend& backend = fleet.AddBackend("b1", "s1");
  REQUIRE(fleet.PutTable(kTable) == 200);
  REQUIRE(fleet.AwaitStatus("/one/a", 200));
  const int leader = fleet.LeaderNumber();
  const int suspended = (leader + 1) % fleet.control_nodes();
  const auto order = [&](int node, const std::string& method,
                         const std::string& path) {
    return fleet.CallControlNode(node, method, path, kCallLimit).status;
  };

  REQUIRE(order(leader, "PUT", kEvacuation) == 200);
  REQUIRE(fleet.AwaitStatus("/one/b", 503));
  fleet.control(suspended).Signal(SIGSTOP);
  const auto unanswered =
      fleet.CallControlNode(suspended, "DELETE", kEvacuation, kPatience);
  CHECK(unanswered.status == 0);
  REQUIRE(order(leader, "DELETE", kEvacuation) == 200);
  REQUIRE(order(leader, "PUT", kEvacuation) == 200);
  REQUIRE(fleet.AwaitStatus("/one/c", 503));
  const std::size_t before = backend.Targets().size();

  fleet.control(suspended).Signal(SIGCONT);
  // A later order through the same node: once it is accepted, the fate of the
  // earlier one is decided.
  REQUIRE(order(suspended, "PUT", "/v1/evacuations/other") == 200);
  const auto evacuations =
      fleet.CallControlNode(leader, "GET", "/v1/evacuations", kCallLimit);
  CHECK(evacuations.body.find(R"("zone":"z")") != std::string::npos);
  CHECK(fleet.Request("/one/d").status == 503);
  CHECK(backend.Targets().size() == before);
}

}  // namespace
}  // namespace juniperway::test
