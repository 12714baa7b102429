// Queries keep their promises on a whole fleet, undisturbed and under change.
#include <doctest/doctest.h>

#include "support/experiment_fixture.h"

namespace juniperway {

TEST_CASE("a steady fleet keeps every promise") {
  test::CheckScenario("steady", "tadamoun");
}

TEST_CASE("index versions change while queries run") {
  test::CheckScenario("index-change", "lin");
}

TEST_CASE("back ends that leave get no new work") {
  test::CheckScenario("drain-backend", "tadamoun");
}

}  // namespace juniperway
