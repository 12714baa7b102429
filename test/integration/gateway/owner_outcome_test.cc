// What the front is told, and what reaches the back ends, when these refuse,
// lie, are cancelled or die.
#include <doctest/doctest.h>

#include <algorithm>

#include "integration/gateway/owner_fixture.h"

namespace juniperway::test {
namespace {

using routing::SubqueryOutcome;

lab::Behaviour ShedsEverything() {
  lab::Behaviour behaviour;
  behaviour.shed_probability = 1;
  return behaviour;
}

TEST_CASE("A back end that says ok but answers 503 is not flooded") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 4, milliseconds(2)));
  server.model().SetBehaviour(ShedsEverything(), ReadMonotonicClock());
  fixture.Start(milliseconds(5));
  const auto outcomes = fixture.Flood("b", 200, milliseconds(100));
  // Each was either shed by the back end or never sent: none may have run.
  CHECK(outcomes.at(SubqueryOutcome::kShed) > 0);
  for (const auto& entry : outcomes) {
    CAPTURE(static_cast<int>(entry.first));
    CHECK((entry.first == SubqueryOutcome::kShed ||
           entry.first == SubqueryOutcome::kExpiredUnstarted));
  }
  CHECK(server.model().counters().arrived <= 20);
  CHECK(server.model().counters().begun == 0);
}

TEST_CASE("A 503 without X-Not-Run counts as may have run") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 1, milliseconds(2)));
  lab::Behaviour behaviour = ShedsEverything();
  SUBCASE("without the header") {
    behaviour.omit_not_run_header = true;
    server.model().SetBehaviour(behaviour, ReadMonotonicClock());
    fixture.Start();
    CHECK(fixture.OutcomeOf(fixture.Ask("b")) == SubqueryOutcome::kLost);
  }
  SUBCASE("with it") {
    server.model().SetBehaviour(behaviour, ReadMonotonicClock());
    fixture.Start();
    CHECK(fixture.OutcomeOf(fixture.Ask("b")) == SubqueryOutcome::kShed);
  }
}

TEST_CASE("A cancellation reaches the back end and frees its slot") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 1, seconds(1000)));
  fixture.Start();
  const auto running = fixture.Ask("b", seconds(2000));
  const auto queued = fixture.Ask("b", seconds(2000));
  REQUIRE(fixture.RunUntil([&] {
    return server.model().running() == 1 && fixture.owner->in_flight() == 2;
  }));
  fixture.Cancel(queued);
  CHECK(fixture.OutcomeOf(queued) == SubqueryOutcome::kExpiredUnstarted);
  fixture.Cancel(running);
  CHECK(fixture.OutcomeOf(running) == SubqueryOutcome::kExpiredStarted);
  const lab::BackendCounters& counters = server.model().counters();
  REQUIRE(fixture.RunUntil([&] { return server.model().running() == 0; }));
  CHECK(counters.cancelled == 1);
  CHECK(counters.begun == 1);
  // By the cancel call, not because its connection was closed.
  CHECK(fixture.Metric("juniperway_owner_closed_connections_total") == 0);
  // The slot is free for the next one.
  fixture.Ask("b", seconds(2000));
  CHECK(fixture.RunUntil([&] { return server.model().running() == 1; }));
}

// Most breakers open at once, looked at after each turn of the loop, until
// each of `names` was tried `failures` times.
double MostOpen(OwnerFixture& fixture, const std::vector<std::string>& names,
                int failures) {
  double most = 0;
  for (int i = 0; i < failures; ++i) {
    std::vector<OwnerFixture::AttemptId> attempts;
    attempts.reserve(names.size());
    for (const std::string& name : names) {
      attempts.push_back(fixture.Ask(name));
    }
    REQUIRE(fixture.RunUntil([&] {
      most = std::max(most,
                      fixture.Metric("juniperway_owner_backend_breaker_open"));
      return std::ranges::all_of(
          attempts, [&](auto attempt) { return fixture.Has(attempt); });
    }));
  }
  return most;
}

TEST_CASE("Breakers never take out more than the set share of the replicas") {
  OwnerFixture fixture;
  const std::vector<std::string> names = {"b1", "b2", "b3", "b4"};
  for (const std::string& name : names) {
    fixture.Add(StandIn(name, 1, milliseconds(1)));
  }
  double share = 0;
  double allowed = 0;
  SUBCASE("one of four") { share = 0.34, allowed = 1; }
  SUBCASE("half of them") { share = 0.5, allowed = 2; }
  SUBCASE("none") { share = 0.2, allowed = 0; }
  fixture.view.services["logs"].maximum_ejected_share = share;
  fixture.Start();
  for (const auto& server : fixture.servers) {
    server->Crash();
  }
  CHECK(MostOpen(fixture, names, 12) == allowed);
}

TEST_CASE("A planned stop refuses what waits and lets the rest finish") {
  OwnerFixture fixture;
  lab::BackendServer& server = fixture.Add(StandIn("b", 1, milliseconds(100)));
  fixture.Start();
  const auto running = fixture.Ask("b");
  const auto queued = fixture.Ask("b");
  REQUIRE(fixture.RunUntil([&] {
    return server.model().running() == 1 && fixture.owner->in_flight() == 2;
  }));
  bool stopped = false;
  fixture.owner->Stop(seconds(60), [&stopped] { stopped = true; });
  CHECK(fixture.OutcomeOf(queued) == SubqueryOutcome::kNotOwner);
  CHECK(fixture.OutcomeOf(running) == SubqueryOutcome::kRows);
  CHECK(fixture.RunUntil([&stopped] { return stopped; }));
}

}  // namespace
}  // namespace juniperway::test
