// Tests HTTP forwarding with real processes: routes, splits, scatters, drains,
// resent and concurrent tables, graceful shutdowns, and control nodes that lost
// their disk.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <map>

#include "integration/forwarding/route_fleet.h"
#include "lab/wait.h"

namespace juniperway::test {
namespace {

constexpr Duration kLimit = seconds(60);

std::string Table(int version, const std::string& plain_service = "s1") {
  return fmt::format(
      R"({{"version": {}, "routes": [
      {{"name": "all", "host": "test.example", "path_prefix": "/all/",
        "execution": "repeatable", "timeout_ms": 15000, "target_ms": 10000,
        "maximum_attempts": 3, "scatter": ["s1", "s2"], "top_k": 3,
        "minimum_coverage": 0.5}},
      {{"name": "one", "host": "test.example", "path_prefix": "/one/",
        "execution": "at_most_once", "timeout_ms": 15000,
        "maximum_attempts": 2, "service": "{}"}},
      {{"name": "split", "host": "test.example", "path_prefix": "/split/",
        "execution": "repeatable", "timeout_ms": 15000,
        "split": [{{"service": "s1", "weight": 3}},
                  {{"service": "s2", "weight": 1}}]}}],
      "services": [{{"name": "s1", "maximum_connections": 100}},
                   {{"name": "s2", "maximum_connections": 100}}]}})",
      version, plain_service);
}

std::string HeaderOf(const net::HttpClientResponse& response,
                     const std::string& name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? "" : found->second;
}

// Guards against a client that gets the records of another request: a backend
// may send the late answer to one request in place of the answer to the next
// one. The router must not accept an answer without a request id from a service
// whose other answers have one.
TEST_CASE("an answer without a request id is discarded where others have one") {
  RouteFleet fleet(1);
  auto& one = fleet.AddBackend("b1", "s1");
  auto& two = fleet.AddBackend("b2", "s2");
  one.SetAnswering(Answering::kWithoutId);
  two.SetAnswering(Answering::kWithoutId);
  REQUIRE(fleet.PutTable(Table(5)) == 200);
  // The router accepts answers without a request id from services that have
  // never echoed one.
  REQUIRE(fleet.AwaitStatus("/one/x", 200));
  REQUIRE(fleet.AwaitStatus("/all/x", 200));

  one.SetAnswering(Answering::kSucceeds);
  CHECK(fleet.Request("/one/named").status == 200);
  one.SetAnswering(Answering::kWithoutId);
  CHECK(fleet.Request("/one/unnamed").status == 502);
  const auto scatter = fleet.Request("/all/unnamed", "id-8");
  CHECK(scatter.status == 200);
  CHECK(HeaderOf(scatter, "x-shard-signatures") == "b2/id-8");
  CHECK(HeaderOf(scatter, "x-missing-shards") == "1");
}

TEST_CASE("requests are routed by the route table") {
  RouteFleet fleet(1);
  auto& one = fleet.AddBackend("b1", "s1");
  auto& two = fleet.AddBackend("b2", "s2");
  CHECK(fleet.Request("/one/x").status == 503);  // no table yet
  REQUIRE(fleet.PutTable(Table(5)) == 200);
  REQUIRE(fleet.AwaitStatus("/one/x?y=%20z", 200));
  CHECK(std::ranges::count(one.Targets(), "/one/x?y=%20z") == 1);
  CHECK(fleet.Request("/none/").status == 404);

  const auto all = fleet.Request("/all/", "id-7");
  CHECK(all.status == 200);
  CHECK(HeaderOf(all, "x-shard-signatures") == "b1/id-7, b2/id-7");
  CHECK(HeaderOf(all, "x-missing-shards") == "0");
  CHECK(all.body == "b2..............b1..............");

  std::map<std::string, int> shares;
  for (int i = 0; i < 40; ++i) {
    ++shares[HeaderOf(fleet.Request("/split/", "id"), "x-signature")];
  }
  CHECK(shares["b1/id"] == 30);
  CHECK(shares["b2/id"] == 10);

  // The router does not retry a request that may have run, may retry a shed
  // one, and discards the answer to another request.
  two.SetAnswering(Answering::kFails);
  one.SetAnswering(Answering::kFails);
  CHECK(fleet.Request("/one/failing").status == 500);
  CHECK(std::ranges::count(one.Targets(), "/one/failing") == 1);
  one.SetAnswering(Answering::kForeignId);
  CHECK(fleet.Request("/one/foreign").status == 502);
  CHECK(std::ranges::count(one.Targets(), "/one/foreign") == 1);
  one.SetAnswering(Answering::kSheds);
  const auto shed = fleet.Request("/one/shed");
  CHECK(shed.status == 503);
  CHECK_FALSE(HeaderOf(shed, "retry-after").empty());
  one.SetAnswering(Answering::kSucceeds);
  two.SetAnswering(Answering::kSucceeds);
  // The only backend is in backoff after the shed request, and the request
  // waits for it.
  CHECK(fleet.Request("/one/after-shed").status == 200);

  // A draining backend gets no more requests.
  REQUIRE(fleet.AwaitStatus("/one/", 200));
  auto& replacement = fleet.AddBackend("b3", "s1");
  one.draining = true;
  fleet.PublishDiscoveryList();
  REQUIRE(lab::WaitFor(kLimit, [&] {
    return HeaderOf(fleet.Request("/one/", "id"), "x-signature") == "b3/id";
  }));
  const std::size_t before = one.Targets().size();
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.Request("/one/").status == 200);
  }
  CHECK(one.Targets().size() == before);
  CHECK_FALSE(replacement.Targets().empty());
}

TEST_CASE("while backends shed, a share is refused at once and never sent") {
  RouteFleet fleet(1);
  auto& backend = fleet.AddBackend("b1", "s1");
  fleet.AddBackend("b2", "s2");
  REQUIRE(fleet.PutTable(Table(5)) == 200);
  REQUIRE(fleet.AwaitStatus("/one/", 200));
  backend.SetAnswering(Answering::kSheds);
  int number = 0;
  std::string target;
  net::HttpClientResponse refused;
  REQUIRE(lab::WaitFor(kLimit, [&] {
    target = fmt::format("/one/{}", ++number);
    refused = fleet.Request(target);
    return refused.body.find("overloaded") != std::string::npos;
  }));
  CHECK(refused.status == 503);
  const double retry_after = std::stod(HeaderOf(refused, "retry-after"));
  CHECK(retry_after >= 0.5);
  CHECK(retry_after <= 1.5);
  // The router has told the client that the request did not run, and therefore
  // must never send it.
  backend.SetAnswering(Answering::kSucceeds);
  CHECK(fleet.AwaitStatus("/one/", 200));
  CHECK(std::ranges::count(backend.Targets(), target) == 0);
}

TEST_CASE("resent, concurrent, older and invalid tables change nothing") {
  RouteFleet fleet(1);
  fleet.AddBackend("b1", "s1");
  fleet.AddBackend("b2", "s2");
  REQUIRE(fleet.PutTable(Table(5)) == 200);
  CHECK(fleet.PutTable(Table(5)) == 200);
  CHECK(fleet.PutTable(Table(5, "s2")) == 200);  // the first of two stays
  CHECK(fleet.PutTable(Table(4, "s2")) == 200);  // an older one changes nothing
  CHECK(fleet.PutTable(Table(9, "nowhere")) == 400);
  CHECK(fleet.PutTable(Table(9).substr(0, 200)) == 400);
  CHECK(fleet.GetTable() == Table(5));
  REQUIRE(fleet.AwaitStatus("/one/", 200));
  CHECK(HeaderOf(fleet.Request("/one/", "id"), "x-signature") == "b1/id");
  CHECK(fleet.PutTable(Table(9, "s2")) == 200);
  REQUIRE(lab::WaitFor(kLimit, [&] {
    return HeaderOf(fleet.Request("/one/", "id"), "x-signature") == "b2/id";
  }));
}

TEST_CASE("a graceful shutdown answers the requests in flight") {
  RouteFleet fleet(1);
  auto& one = fleet.AddBackend("b1", "s1");
  fleet.AddBackend("b2", "s2");
  REQUIRE(fleet.PutTable(Table(1)) == 200);
  REQUIRE(fleet.AwaitStatus("/one/", 200));
  one.SetAnswering(Answering::kWithholds);
  auto answer = std::async(std::launch::async,
                           [&] { return fleet.Request("/one/held"); });
  REQUIRE(lab::WaitFor(kLimit, [&] {
    return std::ranges::count(one.Targets(), "/one/held") == 1;
  }));
  fleet.router().Signal(SIGTERM);
  one.SetAnswering(Answering::kSucceeds);
  CHECK(answer.get().status == 200);
  CHECK(fleet.router().Wait(kLimit) == 0);
}

TEST_CASE("the control group survives the loss of each node's disk in turn") {
  RouteFleet fleet(3);
  fleet.AddBackend("b1", "s1");
  fleet.AddBackend("b2", "s2");
  int version = 1;
  REQUIRE(fleet.PutTable(Table(version)) == 200);
  REQUIRE(fleet.AwaitStatus("/one/", 200));
  for (int node = 0; node < fleet.control_nodes(); ++node) {
    CAPTURE(node);
    fleet.WipeControl(node);
    REQUIRE(fleet.AwaitRepaired());
    CHECK(fleet.GetTable() == Table(version));
    REQUIRE(fleet.PutTable(Table(++version)) == 200);
  }
  CHECK(fleet.GetTable() == Table(version));
  CHECK(fleet.Request("/one/").status == 200);
}

TEST_CASE("acknowledged tables survive a crash of all control nodes") {
  RouteFleet fleet(3);
  fleet.AddBackend("b1", "s1");
  fleet.AddBackend("b2", "s2");
  REQUIRE(fleet.PutTable(Table(7)) == 200);
  fleet.RestartControls();
  CHECK(fleet.GetTable() == Table(7));
  CHECK(fleet.AwaitStatus("/one/", 200));
}

}  // namespace
}  // namespace juniperway::test
