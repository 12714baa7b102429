// A query's whole path in one process: caller's HTTP, front, owners, stand-in
// back ends, and back. Refusals: refusal_path_test.cc.
#include <doctest/doctest.h>

#include "common/net/address.h"
#include "support/event_loop.h"
#include "support/in_process_fleet.h"

namespace juniperway::test {
namespace {

using nlohmann::json;

json ToJson(KeyRange range) {
  return {{"begin", range.begin}, {"end", range.end}};
}

json Missing(KeyRange range, const std::string& reason) {
  json missing = ToJson(range);
  missing["reason"] = reason;
  return missing;
}

void Crash(lab::BackendServer& backend) { backend.Crash(); }

void Slow(lab::BackendServer& backend) {
  lab::Behaviour behaviour;
  behaviour.slow_factor = 100'000;
  backend.model().SetBehaviour(behaviour, ReadMonotonicClock());
}

// Every back end drops version 1 and holds version 2.
void MoveToVersionTwo(InProcessFleet& fleet) {
  fleet.ForEachBackend([](lab::BackendServer& backend) {
    lab::Holding holding = backend.model().settings().holdings.front();
    holding.index_version = 2;
    backend.model().Hold(holding);
    backend.model().Retire(1);
  });
}

// Version 2 is served, and known to be held.
void ServeVersionTwo(InProcessFleet& fleet) {
  resources::IndexSnapshot snapshot = fleet.view.snapshots.at({"search", 1});
  snapshot.index_version = 2;
  fleet.view.snapshots[{"search", 2}] = snapshot;
  fleet.view.serving["search"] = 2;
  fleet.ForEachBackend([&](lab::BackendServer& backend) {
    fleet.view.reports[backend.model().settings().name].held_versions = {2};
  });
  fleet.Publish();
}

}  // namespace

TEST_CASE("a whole answer: every row once, at one snapshot, fully covered") {
  InProcessFleet fleet;
  CallerRequest request;
  request.headers = {{"X-Request-Id", "mine"}};
  const Exchange exchange = fleet.Ask(request);
  REQUIRE(exchange.status() == 200);
  const json answer = exchange.body();
  CHECK(answer["request_id"] == "mine");
  CHECK(answer["service"] == "search");
  CHECK(answer["snapshot"] == 1);
  CHECK(answer["execution"] == "ran");
  CHECK(answer["truncated"] == false);
  const KeyRange all{0, kKeySpaceEnd};
  CHECK((answer["rows"] == fleet.RowsOf(1, {all})));
  CHECK(answer["coverage"]["share"] == 1.0);
  CHECK(answer["coverage"]["searched"] == json::array({ToJson(all)}));
  CHECK(answer["coverage"]["missing"] == json::array());
  CHECK(answer["configuration"]["revision"] == fleet.view.revision);
  CHECK(answer["configuration"]["confirmed"] == true);
}

TEST_CASE("a range and a limit: only what was asked, and said to be cut") {
  InProcessFleet fleet;
  const KeyRange asked{fleet.RangeOf(1).begin + 5, fleet.RangeOf(2).end - 5};
  CallerRequest request;
  request.body = {{"query", "*"}, {"range", ToJson(asked)}, {"limit", 10}};
  const json answer = fleet.Ask(request).body();
  json expected = fleet.RowsOf(1, {asked});
  REQUIRE(expected.size() > 10);
  expected.erase(expected.begin() + 10, expected.end());
  CHECK((answer["rows"] == expected));
  CHECK(answer["truncated"] == true);
  CHECK(answer["coverage"]["searched"] == json::array({ToJson(asked)}));
}

TEST_CASE("a lost shard is named in the coverage, its rows are not there") {
  InProcessFleet fleet;
  Crash(fleet.Backend(1, 0));
  SUBCASE("one replica lost: the answer is whole all the same") {
    const Exchange exchange = fleet.Ask({});
    CHECK(exchange.status() == 200);
    CHECK((exchange.body()["rows"] == fleet.RowsOf(1, {{0, kKeySpaceEnd}})));
  }
  SUBCASE("both lost") {
    Crash(fleet.Backend(1, 1));
    const Exchange exchange = fleet.Ask({});
    REQUIRE(exchange.status() == 206);
    const json answer = exchange.body();
    const KeyRange before = fleet.RangeOf(0);
    const KeyRange after{fleet.RangeOf(2).begin, kKeySpaceEnd};
    CHECK(answer["coverage"]["share"] == 0.75);
    CHECK(answer["coverage"]["searched"] ==
          json::array({ToJson(before), ToJson(after)}));
    CHECK(answer["coverage"]["missing"] ==
          json::array({Missing(fleet.RangeOf(1), "unreachable")}));
    CHECK((answer["rows"] == fleet.RowsOf(1, {before, after})));
    CHECK(answer["execution"] == "may-have-run");
  }
}

TEST_CASE("a retired snapshot: the query starts over, whole, on the newer") {
  InProcessFleet fleet;
  // One partition answers at version 1 before the others refuse.
  const auto exchange = fleet.Start({});
  MoveToVersionTwo(fleet);
  fleet.Backend(0, 0).model().Hold(
      fleet.Backend(0, 0).model().settings().holdings.front());
  fleet.Backend(0, 1).model().Hold(
      fleet.Backend(0, 1).model().settings().holdings.front());
  REQUIRE(fleet.Run([&] {
    return fleet.Total(&lab::BackendCounters::refused_wrong_version) >= 3 &&
           fleet.Total(&lab::BackendCounters::finished) >= 1;
  }));
  CHECK(!exchange->done());
  ServeVersionTwo(fleet);
  REQUIRE(fleet.Run([&] { return exchange->done(); }));
  REQUIRE(exchange->status() == 200);
  const json answer = exchange->body();
  CHECK(answer["snapshot"] == 2);
  CHECK((answer["rows"] == fleet.RowsOf(2, {{0, kKeySpaceEnd}})));
  CHECK(answer["configuration"]["revision"] == fleet.view.revision);
  CHECK(fleet.Metric("juniperway_front_restarts_total") == 1);
}

TEST_CASE("at the deadline: what was searched, and why the rest was not") {
  InProcessFleet fleet;
  Slow(fleet.Backend(2, 0));
  Slow(fleet.Backend(2, 1));
  CallerRequest request;
  request.headers = {{"X-Deadline-Ms", "400"}};
  const Exchange exchange = fleet.Ask(request);
  REQUIRE(exchange.status() == 206);
  const json answer = exchange.body();
  CHECK(answer["coverage"]["missing"] ==
        json::array({Missing(fleet.RangeOf(2), "deadline")}));
  CHECK((answer["rows"] ==
         fleet.RowsOf(1, {{0, fleet.RangeOf(1).end}, {fleet.RangeOf(3)}})));
  // What can no longer count does not go on running.
  CHECK(fleet.Run([&] {
    return fleet.Backend(2, 0).model().running() == 0 &&
           fleet.Backend(2, 1).model().running() == 0;
  }));
}

TEST_CASE("a caller that hangs up cancels its subqueries at the back ends") {
  InProcessFleet fleet;
  fleet.ForEachBackend(Slow);
  CallerRequest request;
  request.headers = {{"X-Deadline-Ms", "10000"}};
  const auto exchange = fleet.Start(request);
  REQUIRE(fleet.Run(
      [&] { return fleet.Total(&lab::BackendCounters::begun) == 4; }));
  fleet.HangUp(*exchange);
  CHECK(fleet.Run(
      [&] { return fleet.Total(&lab::BackendCounters::cancelled) == 4; }));
  CHECK(fleet.Total(&lab::BackendCounters::deadline_passed) == 0);
  CHECK(fleet.fronts[0]->running_queries() == 0);
}

TEST_CASE(
    "without a lease, where the service allows it: answered and marked so") {
  InProcessFleet fleet;
  fleet.service().serve_unconfirmed = true;
  fleet.Publish();
  REQUIRE(fleet.Ask({}).body()["configuration"]["confirmed"] == true);
  fleet.session.SetLease(false);
  const Exchange exchange = fleet.Ask({});
  REQUIRE(exchange.status() == 200);
  CHECK(exchange.body()["configuration"]["confirmed"] == false);
}

TEST_CASE("a planned stop: what runs is answered, what comes is refused") {
  InProcessFleet fleet;
  fleet.ForEachBackend([](lab::BackendServer& backend) {
    lab::Behaviour behaviour;
    behaviour.slow_factor = 50;
    backend.model().SetBehaviour(behaviour, ReadMonotonicClock());
  });
  const auto running = fleet.Start({});
  REQUIRE(fleet.Run(
      [&] { return fleet.Total(&lab::BackendCounters::begun) == 4; }));
  bool drained = false;
  fleet.fronts[0]->Stop([&] { drained = true; });
  const Exchange refused = fleet.Ask({});
  CHECK(refused.status() == 503);
  CHECK(refused.body()["execution"] == "not-run");
  CHECK(!drained);
  REQUIRE(fleet.Run([&] { return running->done() && drained; }));
  CHECK(running->status() == 200);
}

}  // namespace juniperway::test
