// Queries through a fleet of real processes: control machines, gateways, back
// ends.
#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "integration/daemon/fleet_fixture.h"
#include "lab/promises/history_check.h"
#include "lab/wait.h"

namespace juniperway::test {
namespace {

constexpr Duration kLimit = seconds(60);

}  // namespace

TEST_CASE("A query gets the whole answer, also when a replica is lost") {
  TestFleet test({.control_machines = 3});
  test.CheckWholeAnswer("a-gateway-1");
  test.CheckWholeAnswer("a-gateway-2");

  REQUIRE(
      test.fleet->stand_ins().ChangeBackend("search-b1", {{"crash", true}}));
  for (int round = 0; round < 20; ++round) {
    test.CheckWholeAnswer("a-gateway-1");
    test.CheckWholeAnswer("a-gateway-2");
  }
}

TEST_CASE("A killed gateway's back ends go to the others") {
  // Without replicas every back end is needed.
  TestFleet test({.replicas = 1});
  test.fleet->Kill("a-gateway-2");
  // Until its lease has run out, its back ends cannot be used.
  const bool whole = lab::WaitFor(
      kLimit, [&] { return test.Query("a-gateway-1").status == 200; });
  REQUIRE(whole);
  test.CheckWholeAnswer("a-gateway-1");
  const auto view = test.fleet->GetFromGateway("a-gateway-1", "/v1/view");
  REQUIRE(view.has_value());
  CHECK(view->at("members").size() == 1);
}

TEST_CASE("A planned stop of a gateway under load cuts nothing off") {
  // Searches take long, so that many are under way when the signal comes.
  TestFleet test({.service_time = milliseconds(60)});
  BackgroundLoad load(*test.fleet, /*rate=*/60, /*seed=*/1);
  // Until back ends of both gateways have work.
  const auto busy = [&] {
    const auto limits = test.fleet->stand_ins().ReadLimits();
    return limits && std::ranges::all_of(*limits, [](const auto& limit) {
             return limit.arrived > 50;
           });
  };
  REQUIRE(lab::WaitFor(kLimit, busy));
  const auto stop = test.fleet->Stop("a-gateway-1", kLimit);
  REQUIRE(stop.has_value());
  CHECK(stop->exit_status == 0);
  test.CheckWholeAnswer("a-gateway-2");
  const lab::LoadResult result = load.Finish();

  lab::PromiseReport report = result.report;
  lab::CheckPlannedStops({*stop}, result.history, report);
  const auto ledger = test.fleet->stand_ins().ReadLedgers();
  REQUIRE(ledger.has_value());
  const auto by_request = lab::GroupByRequest(*ledger);
  lab::CheckRefusals(result.history, by_request, report);
  lab::CheckAtMostOnce(result.history, by_request, report);
  const auto limits = test.fleet->stand_ins().ReadLimits();
  REQUIRE(limits.has_value());
  lab::CheckLimits(*limits, report);
  for (const std::string& example : report.examples()) {
    FAIL_CHECK(example);
  }
  CHECK(report.violations() == 0);

  // What had been taken when the signal came was answered, whole; the rest was
  // refused unrun.
  std::size_t under_way = 0;
  for (const lab::QueryRecord& record : result.history) {
    for (const lab::Attempt& attempt : record.attempts) {
      if (attempt.gateway == "a-gateway-1" && attempt.sent < stop->signalled &&
          attempt.ended > stop->signalled) {
        const bool answered = attempt.outcome == lab::AttemptOutcome::kAnswered;
        under_way += answered ? 1 : 0;
        CAPTURE(record.query.id);
        CAPTURE(attempt.error_code);
        CHECK((answered ? attempt.share == 1.0
                        : attempt.execution == ExecutionState::kNotRun));
      }
    }
  }
  CHECK(under_way > 0);
  // And so was every query at last, at the other gateway if need be.
  for (const lab::QueryRecord& record : result.history) {
    CAPTURE(record.query.id);
    CHECK((record.answered() || !record.query.repeatable));
  }
}

}  // namespace juniperway::test
