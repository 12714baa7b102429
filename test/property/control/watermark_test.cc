// Checks that the watermarks `in force` and `zone released` are never announced
// too early under any faults. Each defect disables a mechanism that this
// guarantee depends on, and the check must detect the defect.
#include <doctest/doctest.h>

#include <string>

#include "property/control/control_world.h"

namespace juniperway::control::testing {
namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr std::uint64_t kDefectSeeds = 40;

std::string FindViolation(Defect defect) {
  for (std::uint64_t seed = 1; seed <= kDefectSeeds; ++seed) {
    const WorldReport report =
        ControlWorld({.seed = seed, .defect = defect}).Run();
    if (!report.violation.empty()) {
      MESSAGE("seed " << seed << ": " << report.violation);
      return report.violation;
    }
  }
  return "";
}

TEST_CASE("Watermarks hold for every daemon with a lease on all seeds") {
  WorldReport total;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const WorldReport report = ControlWorld({.seed = seed}).Run();
    CAPTURE(seed);
    CHECK(report.violation == "");
    // The watermark advanced in spite of the faults.
    CHECK(report.in_force > report.revision / 4);
    total.leaders += report.leaders;
    total.grants += report.grants;
    total.lost_leases += report.lost_leases;
    total.revision += report.revision;
    total.in_force += report.in_force;
  }
  CHECK(total.leaders > kSeeds * 5);
  CHECK(total.grants > kSeeds * 100);
  CHECK(total.lost_leases > kSeeds);
  CHECK(total.revision > kSeeds * 30);
  MESSAGE("leaders " << total.leaders << ", grants " << total.grants
                     << ", lost leases " << total.lost_leases << ", revisions "
                     << total.revision << ", in force " << total.in_force);
}

TEST_CASE("A leader that uses its leader lease too long is detected") {
  CHECK(FindViolation(Defect::kLeaderLeaseTooLong) != "");
}

TEST_CASE("A new leader that ignores the leases of members is detected") {
  CHECK(FindViolation(Defect::kDropsLeases) != "");
}

TEST_CASE("A lease counted from the answer is detected") {
  CHECK(FindViolation(Defect::kLeaseFromAnswer) != "");
}

TEST_CASE("A confirmation before the daemon uses the revision is detected") {
  CHECK(FindViolation(Defect::kEarlyConfirmation) != "");
}

TEST_CASE("A report of a release before the release is detected") {
  CHECK(FindViolation(Defect::kEarlyRelease) != "");
}

TEST_CASE("Clocks that drift beyond the configured maximum are detected") {
  CHECK(FindViolation(Defect::kExcessiveClockDrift) != "");
}

}  // namespace
}  // namespace juniperway::control::testing
