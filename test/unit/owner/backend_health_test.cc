#include "common/owner/backend_health.h"

#include <doctest/doctest.h>

#include <string>

#include "unit/owner/gate_fixture.h"

namespace juniperway::owner::testing {
namespace {

using Versions = std::set<resources::IndexVersion>;

net::HttpClientResponse Health(const std::string& body) {
  net::HttpClientResponse response;
  response.progress = net::HttpProgress::kAnswered;
  response.status = 200;
  response.body = body;
  return response;
}

TEST_CASE("A health answer is parsed") {
  const auto report =
      ParseHealth(Health(R"({"state":"cold","running":1,"slots":5,
                 "index_versions":{"7":["a","b"],"8":["a"]}})"));
  REQUIRE(report);
  CHECK(report->cold);
  CHECK_FALSE(report->draining);
  CHECK(report->index_versions.at(7) == std::set<std::string>{"a", "b"});
}

TEST_CASE("The state or the header reports a drain") {
  CHECK(ParseHealth(Health(R"({"state":"draining","index_versions":{}})"))
            ->draining);
  net::HttpClientResponse response =
      Health(R"({"state":"ok","index_versions":{}})");
  response.headers["x-draining"] = "true";
  CHECK(ParseHealth(response)->draining);
}

TEST_CASE("A malformed or missing health answer gives no report") {
  CHECK_FALSE(ParseHealth(net::HttpClientResponse()));
  CHECK_FALSE(ParseHealth(Health("")));
  CHECK_FALSE(ParseHealth(Health(R"({"state":"ok"})")));
  CHECK_FALSE(ParseHealth(Health(R"({"index_versions":{}})")));
  CHECK_FALSE(
      ParseHealth(Health(R"({"state":"ok","index_versions":{"x":[]}})")));
  CHECK_FALSE(
      ParseHealth(Health(R"({"state":"ok","index_versions":{"7":[1]}})")));
  net::HttpClientResponse failed =
      Health(R"({"state":"ok","index_versions":{}})");
  failed.status = 500;
  CHECK_FALSE(ParseHealth(failed));
}

TEST_CASE("A backend holds a version if it has all required shards of it") {
  const RequiredShards required = {
      {7, {"a", "b"}}, {8, {"a", "c"}}, {9, {"a"}}, {10, {}}};
  HealthReport report;
  report.index_versions = {
      {7, {"a", "b", "x"}}, {8, {"a"}}, {10, {"a"}}, {11, {"a"}}};
  HeldVersions held;
  held.Start({9});
  CHECK(held.held() == Versions{9});
  held.OnHealth(report, required, At(0));
  CHECK(held.held() == Versions{7});
}

TEST_CASE("Answers to searches take precedence over health for a time") {
  const RequiredShards required = {{7, {"a"}}, {8, {"a"}}};
  HealthReport report;
  report.index_versions = {{7, {"a"}}};
  HeldVersions held;
  held.OnAnswer(7, false, At(0));
  held.OnAnswer(8, true, At(0));
  held.OnHealth(report, required, At(1000));
  CHECK(held.held() == Versions{8});
  held.OnHealth(report, required,
                At(0) + HeldVersions::kAnswerPrecedenceWindow);
  CHECK(held.held() == Versions{7});
}

}  // namespace
}  // namespace juniperway::owner::testing
