// Seeds that showed a fault once: bad versions beyond the limit while no leader
// judged, good ones of services with few requests undone or late. The checks
// are those of rollout_test.cc.
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

TEST_CASE("leaders that are lost one after the other while canaries get more") {
  CheckExposure(
      {.seed = 363, .fault = VersionFault::kFailsOnOneRoute, .trouble = true});
  CheckExposure({.seed = 43,
                 .routers = 300,
                 .fault = VersionFault::kFailsOnOneRoute,
                 .trouble = true});
  CheckExposure({.seed = 102,
                 .routers = 300,
                 .fault = VersionFault::kFailsUnderLoad,
                 .trouble = true});
}

TEST_CASE("good versions of services with few requests") {
  // Three pauses among 51 answers, two of them of the rarer route.
  CheckCompleteInTime({.seed = 366, .requests_per_second = 20});
  // The first canary answers after 11 s.
  CheckCompleteInTime({.seed = 945, .requests_per_second = 2});
}

}  // namespace
}  // namespace juniperway::test
