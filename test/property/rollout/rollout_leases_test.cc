// Tests rollouts while leaders, routers and networks fail, for several request
// rates, durations and fleet sizes. The leader learns only from routers'
// heartbeats which changes are in force.
#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "property/rollout/rollout_world.h"

namespace juniperway::test {
namespace {

constexpr std::uint64_t kSeeds = 15;

const std::vector<RolloutWorldOptions> kFleets = {
    {.routers = 60, .requests_per_second = 100, .duration = seconds(12)},
    {.routers = 150, .requests_per_second = 200, .duration = seconds(8)},
    {.routers = 30, .requests_per_second = 40, .duration = seconds(30)},
    {.routers = 100, .requests_per_second = 400, .duration = seconds(20)}};

double ExposureOf(const RolloutReport& report) {
  return static_cast<double>(report.canary_requests) /
         (kWorldExposure.share * static_cast<double>(report.requests) +
          kWorldExposure.slack);
}

RolloutReport RunWorld(RolloutWorldOptions options, std::uint64_t seed) {
  options.seed = seed;
  options.leases = true;
  return RolloutWorld(options).Run();
}

// Guards against bad versions that get more requests than the limit, or whose
// rollout is completed.
TEST_CASE("bad versions stay within the limit despite leader changes") {
  for (RolloutWorldOptions options : kFleets) {
    options.daemon_faults = true;
    CAPTURE(options.routers);
    for (const VersionFault fault :
         {VersionFault::kFails, VersionFault::kSlow,
          VersionFault::kFailsOnOneRoute, VersionFault::kFailsLater,
          VersionFault::kFailsUnderLoad}) {
      options.fault = fault;
      CAPTURE(static_cast<int>(fault));
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(seed);
        const RolloutReport report = RunWorld(options, seed);
        CHECK(report.state == rollout::RolloutState::kRolledBack);
        CHECK(ExposureOf(report) <= 1);
        CHECK(report.late_canary_requests == 0);
      }
    }
  }
}

// Guards against canaries that keep their share while no leader evaluates them.
TEST_CASE("without leased shares the limit does not hold") {
  for (const std::uint64_t seed : {265U, 303U}) {
    RolloutWorldOptions options = kFleets[1];
    options.fault = VersionFault::kFailsUnderLoad;
    options.daemon_faults = true;
    CHECK(ExposureOf(RunWorld(options, seed)) <= 1);
    options.ignores_share_lease = true;
    CHECK(ExposureOf(RunWorld(options, seed)) > 1);
  }
}

TEST_CASE("good versions are complete in time") {
  for (const RolloutWorldOptions& options : kFleets) {
    CAPTURE(options.routers);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(seed);
      const RolloutReport report = RunWorld(options, seed);
      CHECK(report.state == rollout::RolloutState::kComplete);
      CHECK(report.decided_after <= options.duration);
    }
  }
}

// Guards against steps that wait for partitioned or restarted routers, and
// against a new leader that waits for reports it already has.
TEST_CASE("good versions are complete despite leader changes") {
  RolloutWorldOptions options = kFleets[2];
  options.daemon_faults = true;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CHECK(RunWorld(options, seed).state == rollout::RolloutState::kComplete);
  }
}

}  // namespace
}  // namespace juniperway::test
