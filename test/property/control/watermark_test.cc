// In force and released are never said too early, whatever fails; and each
// mechanism that this rests on is missed when it is taken away.
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
    // It got on in spite of the faults.
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

TEST_CASE("A leader that trusts its lease too long is found") {
  CHECK(FindViolation(Defect::kLeaderLeaseTooLong) != "");
}

TEST_CASE("A new leader that forgets the leases is found") {
  CHECK(FindViolation(Defect::kForgetsLeases) != "");
}

TEST_CASE("A lease counted from the answer is found") {
  CHECK(FindViolation(Defect::kLeaseFromAnswer) != "");
}

TEST_CASE("A confirmation before the use is found") {
  CHECK(FindViolation(Defect::kConfirmsEarly) != "");
}

TEST_CASE("A release before the letting go is found") {
  CHECK(FindViolation(Defect::kReleasesEarly) != "");
}

TEST_CASE("Clocks that drift beyond the stated bound are found") {
  CHECK(FindViolation(Defect::kClocksDrift) != "");
}

}  // namespace
}  // namespace juniperway::control::testing
