// A flood of searches with cancels and probes beside them, as the back end sees
// it: docs/design/ownership.md, "What is never exceeded".
#include <doctest/doctest.h>

#include <vector>

#include "integration/gateway/owner_fixture.h"

namespace juniperway::test {
namespace {

using routing::SubqueryOutcome;

TEST_CASE("A flood takes exactly the slots and no connection too many") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 4, milliseconds(3)));
  fixture.Start(milliseconds(4));
  const std::vector<OwnerFixture::AttemptId> attempts =
      fixture.AskTimes("b", 400);
  // Cancels and probes compete for the connections with the searches.
  for (std::size_t i = 0; i < attempts.size(); i += 2) {
    REQUIRE(fixture.RunUntil([&] {
      return server.model().counters().arrived > i / 2 ||
             fixture.Has(attempts.back());
    }));
    fixture.Cancel(attempts[i]);
  }
  int served = 0;
  for (const auto attempt : attempts) {
    served += fixture.OutcomeOf(attempt) == SubqueryOutcome::kRows ? 1 : 0;
  }
  const lab::BackendCounters& counters = server.model().counters();
  CHECK(served >= 200);
  CHECK(counters.arrived_over_slots == 0);
  CHECK(counters.peak_running == 4);
  CHECK(counters.peak_connections ==
        server.model().settings().maximum_connections);
}

}  // namespace
}  // namespace juniperway::test
