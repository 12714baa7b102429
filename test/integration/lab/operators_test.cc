// Operators race each other and resend changes whose answers were lost.
#include <doctest/doctest.h>

#include "support/experiment_fixture.h"

namespace juniperway {

TEST_CASE("one writer wins at an equal version") {
  test::CheckScenario("race-equal-version", "lin");
}

TEST_CASE("a resent change has one outcome and one effect") {
  test::CheckScenario("resend-lost-answer", "lin");
}

}  // namespace juniperway
