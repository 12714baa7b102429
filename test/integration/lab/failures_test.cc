// Daemons stop, die and fall silent under load, and no promise breaks.
#include <doctest/doctest.h>

#include "support/experiment_fixture.h"

namespace juniperway {

TEST_CASE("a planned stop of each daemon cuts off nothing") {
  test::CheckScenario("planned-stop", "lin");
}

TEST_CASE("non-repeatable queries run at most once when a gateway dies") {
  test::CheckScenario("gateway-killed", "tadamoun");
}

TEST_CASE("a silent control leader loses and reverts no change") {
  test::CheckScenario("control-silent", "tadamoun");
}

}  // namespace juniperway
