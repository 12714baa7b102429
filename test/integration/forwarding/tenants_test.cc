// Tests tenants with real processes: which keys are accepted, which headers
// backends get, and a limit that routers share, also during a leader change.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "common/base/text.h"
#include "integration/forwarding/route_fleet.h"
#include "lab/wait.h"

namespace juniperway::test {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr Duration kLimit = seconds(60);

// @param tenants JSON list; empty for a table without tenants.
std::string Table(int version, const std::string& tenants) {
  const std::string list =
      tenants.empty() ? "" : R"("tenants": )" + tenants + ",";
  return fmt::format(
      R"({{"version": {}, {} "routes": [
      {{"name": "one", "host": "test.example", "path_prefix": "/one/",
        "execution": "repeatable", "timeout_ms": 15000, "service": "s1"}},
      {{"name": "open", "host": "test.example", "path_prefix": "/open/",
        "execution": "repeatable", "timeout_ms": 15000, "service": "s1",
        "anonymous": true}}],
      "services": [{{"name": "s1", "maximum_connections": 100}}]}})",
      version, list);
}

Fields Key(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

// @return the values of this header in the backend's latest request; the name
// matches in upper or lower case.
std::vector<std::string> ValuesOf(const StandInBackend& backend,
                                  const std::string& name) {
  std::vector<std::string> values;
  for (const auto& [field, value] : backend.LatestFields()) {
    if (EqualsIgnoringCase(field, name)) {
      values.push_back(value);
    }
  }
  return values;
}

std::string ReadFile(const std::string& name) {
  std::ifstream stream(name);
  return {std::istreambuf_iterator<char>(stream), {}};
}

bool AwaitWith(RouteFleet& fleet, const Fields& fields, int status,
               int router = 0) {
  return lab::WaitFor(kLimit, [&] {
    return fleet.RequestWith(fields, "/one/x", router).status == status;
  });
}

TEST_CASE("a request needs a key, and its backend gets the tenant's name") {
  RouteFleet fleet(1);
  const auto& backend = fleet.AddBackend("b1", "s1");
  REQUIRE(fleet.PutTable(
              Table(1, R"([{"name": "t1", "api_keys": ["secret-1", "secret-2"]},
                     {"name": "t2", "api_keys": ["secret-3"]}])")) == 200);
  REQUIRE(AwaitWith(fleet, Key("secret-1"), 200));

  for (const Fields& fields :
       {Fields{}, Key("unknown"), Key(""), Fields{{"Authorization", "x"}},
        Fields{{"Authorization", "Basic secret-1"}},
        Fields{{"Authorization", "Bearer secret-1"},
               {"AUTHORIZATION", "Bearer secret-1"}},
        Key(std::string(10'000, 'x'))}) {
    const std::size_t before = backend.Targets().size();
    CHECK(fleet.RequestWith(fields, "/one/no").status == 401);
    CHECK(backend.Targets().size() == before);
  }

  // The router ignores the tenant name that the client claims.
  Fields forged = Key("secret-3");
  forged.insert(
      forged.end(),
      {{"X-Tenant", "t1"}, {"x-tenant", "t1"}, {"X-TENANT", "t1, t2"}});
  CHECK(fleet.RequestWith(forged, "/one/x").status == 200);
  CHECK(ValuesOf(backend, "x-tenant") == std::vector<std::string>{"t2"});
  CHECK(ValuesOf(backend, "authorization").empty());

  // Requests of an anonymous route have no tenant.
  CHECK(fleet.RequestWith(forged, "/open/x").status == 200);
  CHECK(ValuesOf(backend, "x-tenant").empty());
  CHECK(ValuesOf(backend, "authorization").empty());
  CHECK(fleet.RequestWith({}, "/open/x").status == 200);

  // The logs contain no key.
  for (const std::string& log : fleet.LogFiles()) {
    CHECK(ReadFile(log).find("secret") == std::string::npos);
  }
}

TEST_CASE("a table without tenants passes credentials on") {
  RouteFleet fleet(1);
  const auto& backend = fleet.AddBackend("b1", "s1");
  REQUIRE(fleet.PutTable(Table(1, "")) == 200);
  REQUIRE(fleet.AwaitStatus("/one/x", 200));
  Fields fields = Key("secret-1");
  fields.emplace_back("X-Tenant", "whoever");
  CHECK(fleet.RequestWith(fields, "/one/x").status == 200);
  CHECK(ValuesOf(backend, "authorization") ==
        std::vector<std::string>{"Bearer secret-1"});
  CHECK(ValuesOf(backend, "x-tenant") == std::vector<std::string>{"whoever"});
}

TEST_CASE("a new table adds and removes keys") {
  RouteFleet fleet(1);
  fleet.AddBackend("b1", "s1");
  REQUIRE(fleet.PutTable(
              Table(1, R"([{"name": "t1", "api_keys": ["a", "b"]}])")) == 200);
  REQUIRE(AwaitWith(fleet, Key("b"), 200));
  REQUIRE(fleet.PutTable(
              Table(2, R"([{"name": "t1", "api_keys": ["a", "c"]}])")) == 200);
  REQUIRE(AwaitWith(fleet, Key("b"), 401));
  CHECK(fleet.RequestWith(Key("a"), "/one/x").status == 200);
  CHECK(fleet.RequestWith(Key("c"), "/one/x").status == 200);
  // The control group refuses a table in which two tenants have the same key.
  CHECK(fleet.PutTable(Table(3, R"([{"name": "t1", "api_keys": ["a"]},
                                    {"name": "t2", "api_keys": ["a"]}])")) ==
        400);
  CHECK(fleet.RequestWith(Key("c"), "/one/x").status == 200);
}

// Numbers of answers by status.
struct Tally {
  int served = 0;
  int over_limit = 0;
  int other = 0;
};

// Sends requests of one tenant to two routers in turn.
Tally Send(RouteFleet& fleet, const std::string& key, int requests) {
  Tally tally;
  for (int i = 0; i < requests; ++i) {
    const auto response = fleet.RequestWith(Key(key), "/one/x", i % 2);
    tally.served += response.status == 200 ? 1 : 0;
    tally.over_limit += response.status == 429 ? 1 : 0;
    tally.other += response.status != 200 && response.status != 429 ? 1 : 0;
    if (response.status == 429) {
      CHECK(response.headers.contains("retry-after"));
    }
  }
  return tally;
}

constexpr const char* kLimited =
    R"([{"name": "small", "api_keys": ["a"], "requests_per_second": 0.001,
         "burst": 5},
        {"name": "free", "api_keys": ["b"]}])";

TEST_CASE(
    "routers share a tenant's limit, which does not affect other tenants") {
  RouteFleet fleet(1, /*routers=*/2);
  fleet.AddBackend("b1", "s1");
  REQUIRE(fleet.PutTable(Table(1, kLimited)) == 200);
  REQUIRE(AwaitWith(fleet, Key("b"), 200, 0));
  REQUIRE(AwaitWith(fleet, Key("b"), 200, 1));
  // The limit grants one token every 1000 s, so none is available.
  const Tally none = Send(fleet, "a", 20);
  CHECK(none.served == 0);
  CHECK(none.over_limit == 20);
  CHECK(Send(fleet, "b", 20).served == 20);

  REQUIRE(fleet.PutTable(Table(2, R"([{"name": "small", "api_keys": ["a"],
                            "requests_per_second": 1000, "burst": 5},
                           {"name": "free", "api_keys": ["b"]}])")) == 200);
  REQUIRE(AwaitWith(fleet, Key("a"), 200, 0));
  REQUIRE(AwaitWith(fleet, Key("a"), 200, 1));
}

TEST_CASE("a tenant within its limit is served during a leader change") {
  RouteFleet fleet(3, /*routers=*/2);
  fleet.AddBackend("b1", "s1");
  REQUIRE(fleet.PutTable(Table(1, R"([{"name": "t1", "api_keys": ["a"],
                            "requests_per_second": 10000, "burst": 10000}])")) ==
          200);
  REQUIRE(AwaitWith(fleet, Key("a"), 200, 0));
  REQUIRE(AwaitWith(fleet, Key("a"), 200, 1));
  // Waits until both routers hold leases large enough for several requests.
  REQUIRE(
      lab::WaitFor(kLimit, [&] { return Send(fleet, "a", 30).served == 30; }));

  fleet.control(fleet.LeaderNumber()).Kill();
  // The routers use the tokens that they hold, and then those of the next
  // leader.
  REQUIRE(
      lab::WaitFor(kLimit, [&] { return Send(fleet, "a", 30).served == 30; }));
  CHECK(Send(fleet, "unknown", 4).other == 4);
}

}  // namespace
}  // namespace juniperway::test
