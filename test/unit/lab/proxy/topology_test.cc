#include "lab/proxy/topology.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace juniperway::lab {
namespace {

Topology ThreeMachines() {
  Topology topology;
  const auto set = topology.SetMachines(nlohmann::json::parse(R"({
    "delays": {"same_region_ms": 1, "other_region_ms": 12, "client_ms": 3},
    "machines": [
      {"name": "a1", "address": "127.0.1.1", "zone": "a", "region": "north"},
      {"name": "b1", "address": "127.0.1.2", "zone": "b", "region": "north"},
      {"name": "c1", "address": "127.0.1.3", "zone": "c", "region": "south"}
    ]})"));
  CHECK(set.has_value());
  return topology;
}

TEST_CASE("delays follow zones, regions and clients") {
  const Topology topology = ThreeMachines();
  CHECK(topology.Quality("a1", "a1").delay == milliseconds(0));
  CHECK(topology.Quality("a1", "b1").delay == milliseconds(1));
  CHECK(topology.Quality("a1", "c1").delay == milliseconds(12));
  const std::string client = topology.MachineAt("127.0.0.1");
  CHECK(client == kClientMachine);
  CHECK(topology.Quality(client, "c1").delay == milliseconds(3));
  CHECK(topology.MachineAt("127.0.1.2") == "b1");
}

TEST_CASE("a cut counts one way unless it is for both") {
  Topology topology = ThreeMachines();
  REQUIRE(topology
              .SetFaults({{"faults",
                           {{{"from", "zone:a"},
                             {"to", "region:south"},
                             {"blocked", true}}}}})
              .has_value());
  CHECK(topology.Quality("a1", "c1").blocked);
  CHECK_FALSE(topology.Quality("c1", "a1").blocked);
  CHECK_FALSE(topology.Quality("b1", "c1").blocked);
  REQUIRE(
      topology
          .SetFaults(
              {{"faults",
                {{{"from", "machine:c1"}, {"both", true}, {"blocked", true}}}}})
          .has_value());
  CHECK(topology.Quality("a1", "c1").blocked);
  CHECK(topology.Quality("c1", "a1").blocked);
  CHECK_FALSE(topology.Quality("a1", "b1").blocked);
}

TEST_CASE("a damaged fault list changes nothing") {
  Topology topology = ThreeMachines();
  REQUIRE(topology.SetFaults({{"faults", {{{"blocked", true}}}}}).has_value());
  const auto refused =
      topology.SetFaults({{"faults", {{{"from", "planet:x"}}}}});
  CHECK_FALSE(refused.has_value());
  CHECK(topology.Quality("a1", "b1").blocked);
}

}  // namespace
}  // namespace juniperway::lab
