// Tests that a bad version gets no more requests than the exposure limit and is
// rolled back, and that a good version is completed, whatever daemons fail
// meanwhile. To run more seeds or larger fleets, set
// JUNIPERWAY_ROLLOUT_SEEDS=1000 and JUNIPERWAY_ROLLOUT_ROUTERS=300.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

#include "property/rollout/rollout_world.h"

namespace juniperway::test {
namespace {

using rollout::RolloutState;

std::uint64_t EnvironmentOr(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

double AllowedExposure(const RolloutReport& report) {
  return kWorldExposure.share * static_cast<double>(report.requests) +
         kWorldExposure.slack;
}

struct Totals {
  std::size_t complete = 0;
  std::size_t rolled_back = 0;
  std::size_t running = 0;
  double maximum_exposure = 0;
  std::size_t maximum_bad = 0;
  Duration latest{};
};

Totals RunSeeds(RolloutWorldOptions options) {
  const std::uint64_t seeds = EnvironmentOr("JUNIPERWAY_ROLLOUT_SEEDS", 20);
  options.routers =
      EnvironmentOr("JUNIPERWAY_ROLLOUT_ROUTERS", options.routers);
  Totals totals;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    options.seed = seed;
    const RolloutReport report = RolloutWorld(options).Run();
    totals.complete += report.state == RolloutState::kComplete ? 1 : 0;
    totals.rolled_back += report.state == RolloutState::kRolledBack ? 1 : 0;
    totals.running += report.state == RolloutState::kRunning ? 1 : 0;
    totals.maximum_exposure = std::max(
        totals.maximum_exposure,
        static_cast<double>(report.canary_requests) / AllowedExposure(report));
    totals.maximum_bad =
        std::max(totals.maximum_bad, report.canary_bad_before_decision);
    totals.latest = std::max(totals.latest, report.decided_after);
    CHECK(report.late_canary_requests == 0);
  }
  MESSAGE("complete " << totals.complete << ", rolled back "
                      << totals.rolled_back << ", maximum exposure "
                      << totals.maximum_exposure
                      << " of the limit, maximum bad canary answers "
                      << totals.maximum_bad << ", decided after at most "
                      << ToSeconds(totals.latest) << " s");
  return totals;
}

const std::vector<VersionFault> kFaults = {
    VersionFault::kFails, VersionFault::kSlow, VersionFault::kFailsOnOneRoute,
    VersionFault::kFailsLater, VersionFault::kFailsUnderLoad};

TEST_CASE("a good version is complete within the rollout's duration") {
  for (const double rate : {2.0, 20.0, 100.0, 500.0}) {
    CAPTURE(rate);
    const Totals totals = RunSeeds({.requests_per_second = rate});
    CHECK(totals.rolled_back == 0);
    CHECK(totals.running == 0);
    CHECK(totals.latest <= seconds(12));
  }
}

TEST_CASE("a fault of both versions causes no rollback") {
  const Totals totals = RunSeeds({.fault = VersionFault::kBothFail});
  CHECK(totals.rolled_back == 0);
}

TEST_CASE("a bad version is rolled back within the exposure limit") {
  for (const VersionFault fault : kFaults) {
    CAPTURE(static_cast<int>(fault));
    const Totals totals = RunSeeds({.fault = fault});
    CHECK(totals.complete == 0);
    CHECK(totals.running == 0);
    CHECK(totals.maximum_exposure <= 1);
    CHECK(totals.maximum_bad <= 50);
  }
}

TEST_CASE("the limit holds while routers and leaders fail") {
  for (const VersionFault fault : kFaults) {
    CAPTURE(static_cast<int>(fault));
    const Totals totals = RunSeeds({.fault = fault, .daemon_faults = true});
    CHECK(totals.complete == 0);
    CHECK(totals.maximum_exposure <= 1);
  }
}

TEST_CASE("the limit holds in a fleet of many routers") {
  for (const VersionFault fault : {VersionFault::kFails, VersionFault::kSlow}) {
    const Totals totals =
        RunSeeds({.routers = 300, .fault = fault, .daemon_faults = true});
    CHECK(totals.complete == 0);
    CHECK(totals.maximum_exposure <= 1);
  }
}

TEST_CASE("a planted defect is found") {
  const RolloutReport report =
      RolloutWorld({.fault = VersionFault::kFailsLater, .ignores_share = true})
          .Run();
  CHECK(static_cast<double>(report.canary_requests) > AllowedExposure(report));
}

}  // namespace
}  // namespace juniperway::test
