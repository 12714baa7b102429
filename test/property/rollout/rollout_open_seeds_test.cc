// Guards against two failures under single seeds: a bad version exceeds the
// exposure limit while repeated leader changes leave no leader to evaluate it,
// and a good version of a service with few requests is rolled back or completed
// late. Unlike rollout_seeds_test.cc, this test also checks the time of
// completion. The checks are those of rollout_test.cc.
#include <doctest/doctest.h>

#include "property/rollout/rollout_world.h"

namespace juniperway::test {
namespace {

void CheckExposure(const RolloutWorldOptions& options) {
  const RolloutReport report = RolloutWorld(options).Run();
  CHECK(static_cast<double>(report.canary_requests) <=
        kWorldExposure.share * static_cast<double>(report.requests) +
            kWorldExposure.slack);
}

void CheckCompleteInTime(const RolloutWorldOptions& options) {
  const RolloutReport report = RolloutWorld(options).Run();
  CHECK(report.state == rollout::RolloutState::kComplete);
  CHECK(report.decided_after <= options.duration);
}

TEST_CASE("repeated leader changes while canaries get a larger share") {
  CheckExposure({.seed = 363,
                 .fault = VersionFault::kFailsOnOneRoute,
                 .daemon_faults = true});
  CheckExposure({.seed = 43,
                 .routers = 300,
                 .fault = VersionFault::kFailsOnOneRoute,
                 .daemon_faults = true});
  CheckExposure({.seed = 102,
                 .routers = 300,
                 .fault = VersionFault::kFailsUnderLoad,
                 .daemon_faults = true});
}

TEST_CASE("good versions of services with few requests") {
  // Three of 51 answers are slow because of pauses, two of them on the rarer
  // route.
  CheckCompleteInTime({.seed = 366, .requests_per_second = 20});
  // The first canary answer comes after 11 s.
  CheckCompleteInTime({.seed = 945, .requests_per_second = 2});
}

}  // namespace
}  // namespace juniperway::test
