// A back end that leaves gets no new work once its owner knows, whichever way
// the owner learns of it; and a back end that only seems to leave is kept.
#include <doctest/doctest.h>

#include "integration/gateway/owner_fixture.h"

namespace juniperway::test {
namespace {

using routing::SubqueryOutcome;

void SetDraining(lab::BackendServer& server, bool draining) {
  lab::Behaviour behaviour = server.model().behaviour();
  behaviour.draining = draining;
  server.model().SetBehaviour(behaviour, ReadMonotonicClock());
}

// Until health was asked and answered anew.
void WaitForProbes(OwnerFixture& fixture) {
  const double probes = fixture.Metric("juniperway_owner_probes_total");
  REQUIRE(fixture.RunUntil([&] {
    return fixture.Metric("juniperway_owner_probes_total") > probes + 2;
  }));
}

// `server` gets nothing although it is asked for.
void CheckGetsNothing(OwnerFixture& fixture, lab::BackendServer& server) {
  const auto before = server.model().counters().arrived;
  const auto outcomes = fixture.Flood("b", 20);
  CHECK(outcomes.at(SubqueryOutcome::kDraining) == 20);
  CHECK(server.model().counters().arrived == before);
}

TEST_CASE("An answer's header drains, although health is never asked") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 2, milliseconds(2)));
  fixture.Start();
  CHECK(fixture.OutcomeOf(fixture.Ask("b")) == SubqueryOutcome::kRows);
  SetDraining(server, true);
  // The one that learns of it is answered all the same.
  CHECK(fixture.OutcomeOf(fixture.Ask("b")) == SubqueryOutcome::kRows);
  CheckGetsNothing(fixture, server);
  CHECK(fixture.session.reports().at("b").draining);
}

TEST_CASE("A header outweighs health that lags and still says ok") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 2, milliseconds(2)));
  fixture.Start(milliseconds(5));
  lab::Behaviour behaviour;
  behaviour.draining = true;
  behaviour.claimed_state = "ok";
  server.model().SetBehaviour(behaviour, ReadMonotonicClock());
  CHECK(fixture.OutcomeOf(fixture.Ask("b")) == SubqueryOutcome::kRows);
  WaitForProbes(fixture);
  CheckGetsNothing(fixture, server);
}

TEST_CASE("Health drains, although there was no answer to learn from") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 2, milliseconds(2)));
  SetDraining(server, true);
  fixture.Start(milliseconds(5));
  REQUIRE(fixture.RunUntil([&] { return fixture.Probed("b"); }));
  CheckGetsNothing(fixture, server);
  SUBCASE("and ends the drain") {
    SetDraining(server, false);
    REQUIRE(fixture.RunUntil(
        [&] { return !fixture.session.reports().at("b").draining; }));
    CHECK(fixture.OutcomeOf(fixture.Ask("b")) == SubqueryOutcome::kRows);
  }
}

TEST_CASE("The operator's or the platform's word drains at once") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 1, milliseconds(100)));
  fixture.Start();
  const auto running = fixture.Ask("b");
  REQUIRE(fixture.RunUntil([&] { return server.model().running() == 1; }));
  const auto queued = fixture.Ask("b");
  SUBCASE("operator") { fixture.view.backends["b"].drain = true; }
  SUBCASE("platform") { fixture.view.machines["b"].leaving = true; }
  REQUIRE(fixture.RunUntil([&] { return fixture.owner->in_flight() == 2; }));
  fixture.Publish();
  CHECK(fixture.OutcomeOf(queued) == SubqueryOutcome::kDraining);
  CHECK_FALSE(fixture.Has(running));
  CheckGetsNothing(fixture, server);
  CHECK(fixture.OutcomeOf(running) == SubqueryOutcome::kRows);
}

TEST_CASE("Health that falsely says draining is found out by a real answer") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 2, milliseconds(300)));
  fixture.Start(milliseconds(5));
  const auto running = fixture.Ask("b");
  REQUIRE(fixture.RunUntil([&] { return server.model().running() == 1; }));
  lab::Behaviour behaviour;
  behaviour.claimed_state = "draining";
  server.model().SetBehaviour(behaviour, ReadMonotonicClock());
  REQUIRE(fixture.RunUntil([&] {
    return fixture.Metric("juniperway_owner_backend_draining") == 1;
  }));
  REQUIRE_FALSE(fixture.Has(running));
  CheckGetsNothing(fixture, server);
  CHECK(fixture.OutcomeOf(running) == SubqueryOutcome::kRows);
  // Health goes on lying, and is not believed any more.
  WaitForProbes(fixture);
  CHECK(fixture.OutcomeOf(fixture.Ask("b")) == SubqueryOutcome::kRows);
}

}  // namespace
}  // namespace juniperway::test
