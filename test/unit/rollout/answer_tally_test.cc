// Tests how a router counts attempts and reports the counts to the leader.
#include "common/rollout/answer_tally.h"

#include <doctest/doctest.h>

namespace juniperway::rollout {
namespace {

const AnswerGroup kCanaries{.service = "s", .route = "r", .canary = true};
const AnswerGroup kBaseline{.service = "s", .route = "r", .canary = false};

TEST_CASE("latencies fall into steps of a half octave") {
  CHECK(LatencyStepOf(Duration(0)) == 0);
  CHECK(LatencyStepOf(microseconds(500)) == 0);
  CHECK(LatencyStepOf(microseconds(501)) == 1);
  CHECK(LatencyStepOf(milliseconds(1)) == 2);
  CHECK(LatencyStepOf(milliseconds(2)) == 4);
  CHECK(LatencyStepOf(seconds(1000)) == kLatencySteps - 1);
}

TEST_CASE("nothing is counted without a rollout") {
  AnswerTally tally;
  tally.Count(kCanaries, {.failed = true});
  CHECK(tally.MakeReport().empty());
  CHECK_FALSE(tally.has_new_canary_answers());
}

TEST_CASE("a report holds the changed groups as totals, canaries first") {
  AnswerTally tally;
  tally.SetRollouts({{"s", 7}});
  tally.Count(kBaseline, {.latency = milliseconds(1)});
  CHECK_FALSE(tally.has_new_canary_answers());
  tally.Count(kCanaries, {.failed = true});
  tally.Count(kCanaries, {.timed = false});
  CHECK(tally.has_new_canary_answers());
  const auto report = tally.MakeReport();
  REQUIRE(report.size() == 2);
  CHECK(report[0].group.canary);
  CHECK(report[0].rollout == 7);
  CHECK(report[0].counts.failed == 1);
  CHECK(report[0].counts.untimed == 1);
  CHECK(report[1].counts.timed[2] == 1);
  CHECK_FALSE(tally.has_new_canary_answers());
  CHECK(tally.MakeReport().empty());
  tally.Count(kCanaries, {.failed = true});
  REQUIRE(tally.MakeReport().size() == 1);
  tally.ReportAllAgain();
  const auto again = tally.MakeReport();
  REQUIRE(again.size() == 2);
  CHECK(again[0].counts.failed == 2);
}

TEST_CASE("a report is bounded, and the next ones hold the rest") {
  AnswerTally tally;
  std::map<std::string, RolloutNumber> rollouts;
  constexpr std::size_t kServices = 40;
  for (std::size_t i = 0; i < kServices; ++i) {
    rollouts["s" + std::to_string(i)] = i + 1;
  }
  tally.SetRollouts(rollouts);
  for (const auto& [service, number] : rollouts) {
    tally.Count({.service = service, .route = "r", .canary = false}, {});
  }
  std::size_t reported = 0;
  for (int reports = 0; reports < 3; ++reports) {
    const auto report = tally.MakeReport();
    CHECK(report.size() <= AnswerTally::kMaximumReportedGroups);
    reported += report.size();
  }
  CHECK(reported == kServices);
}

TEST_CASE("a new rollout of the service counts from zero") {
  AnswerTally tally;
  tally.SetRollouts({{"s", 7}});
  tally.Count(kCanaries, {.failed = true});
  tally.SetRollouts({{"s", 8}});
  CHECK(tally.MakeReport().empty());
  tally.Count(kCanaries, {.failed = true});
  const auto report = tally.MakeReport();
  REQUIRE(report.size() == 1);
  CHECK(report[0].counts.failed == 1);
  CHECK(report[0].rollout == 8);
}

}  // namespace
}  // namespace juniperway::rollout
