// A run passes only when nothing broke and everything due was checked.
#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>

#include "lab/experiment/report_table.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

Scenario DrainScenario() {
  Scenario scenario;
  scenario.name = "drain";
  scenario.exercises = {Promise::kNoWorkAfterDrain};
  return scenario;
}

PromiseReport ReportOf(const Scenario& scenario) {
  PromiseReport report;
  for (const Promise promise : AlwaysExercised()) {
    report.Check(promise, true, "");
  }
  for (const Promise promise : scenario.exercises) {
    report.Check(promise, true, "");
  }
  return report;
}

TEST_CASE("an exercised promise that was never checked fails the run") {
  const Scenario scenario = DrainScenario();
  RunResult result;
  result.outcome.report = ReportOf(scenario);
  result.unchecked = UncheckedPromises(scenario, result.outcome.report);
  CHECK(result.passed());
  result.outcome.report = ReportOf(Scenario());
  result.unchecked = UncheckedPromises(scenario, result.outcome.report);
  REQUIRE(result.unchecked.size() == 1);
  CHECK(result.unchecked.front() == "no_work_after_drain");
  CHECK_FALSE(result.passed());
  CHECK(ResultToJson(result)["passed"] == false);
}

TEST_CASE("a violation or a failed step fails the run") {
  RunResult result;
  result.outcome.report = ReportOf(Scenario());
  SUBCASE("violation") {
    result.outcome.report.Check(Promise::kAtMostOnce, false, "twice");
  }
  SUBCASE("step") { result.failure = "no leader"; }
  CHECK_FALSE(result.passed());
}

TEST_CASE("every scenario has its own name and a script") {
  std::set<std::string> names;
  for (const Scenario& scenario : Scenarios()) {
    CHECK(names.insert(scenario.name).second);
    CHECK(scenario.script);
  }
  for (const NamedDisturbance& disturbance : Disturbances()) {
    CHECK(names.contains(disturbance.name));
  }
}

TEST_CASE("each shard keeps a holder when the spare back ends go") {
  for (const std::string name : {"lin", "tadamoun"}) {
    const auto deployment = ReadDeployment(
        std::string(JUNIPERWAY_SOURCE_FOLDER) + "/deploy/" + name + ".json");
    REQUIRE(deployment);
    const Layout layout = MakeLayout(*deployment);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      std::mt19937_64 random(seed);
      std::set<std::string> gone;
      for (const BackendPlan& backend : SpareBackends(layout, random)) {
        gone.insert(backend.name);
      }
      CHECK_FALSE(gone.empty());
      for (const ServiceLayout& service : layout.services) {
        std::set<std::string> held;
        for (const BackendPlan& backend : service.backends) {
          if (!gone.contains(backend.name)) {
            held.insert(backend.shards.begin(), backend.shards.end());
          }
        }
        CHECK(held.size() == service.partitions.size());
      }
    }
  }
}

}  // namespace
}  // namespace juniperway::lab
