// Guards against two failures under single seeds: a bad version exceeds the
// exposure limit because few answers show its fault or because leaders change
// late in the rollout, and a good version is rolled back.
// rollout_open_seeds_test.cc covers repeated leader changes and late
// completion. The checks are those of rollout_test.cc.
#include <doctest/doctest.h>

#include <vector>

#include "property/rollout/rollout_world.h"

namespace juniperway::test {
namespace {

double ExposureOf(const RolloutReport& report) {
  return static_cast<double>(report.canary_requests) /
         (kWorldExposure.share * static_cast<double>(report.requests) +
          kWorldExposure.slack);
}

TEST_CASE("a fault of one route that few answers show late") {
  CHECK(ExposureOf(
            RolloutWorld({.seed = 471, .fault = VersionFault::kFailsOnOneRoute})
                .Run()) <= 1);
}

TEST_CASE("leader changes once canaries get all requests") {
  for (const std::uint64_t seed : {124U, 779U}) {
    CHECK(ExposureOf(RolloutWorld({.seed = seed,
                                   .fault = VersionFault::kFailsOnOneRoute,
                                   .daemon_faults = true})
                         .Run()) <= 1);
  }
  for (const std::uint64_t seed : {511U, 788U}) {
    CHECK(ExposureOf(RolloutWorld({.seed = seed,
                                   .fault = VersionFault::kFailsUnderLoad,
                                   .daemon_faults = true})
                         .Run()) <= 1);
  }
}

TEST_CASE("good versions that were rolled back") {
  CHECK(RolloutWorld({.seed = 367, .requests_per_second = 2}).Run().state ==
        rollout::RolloutState::kComplete);
  for (const std::uint64_t seed : {110U, 237U, 425U, 899U}) {
    CHECK(RolloutWorld({.seed = seed, .fault = VersionFault::kBothFail})
              .Run()
              .state == rollout::RolloutState::kComplete);
  }
}

}  // namespace
}  // namespace juniperway::test
