// Tests when a rollout enters its next phase, is complete or is rolled back.
#include "common/rollout/rollout_plan.h"

#include <doctest/doctest.h>

namespace juniperway::rollout {
namespace {

constexpr ExposureLimit kLimit{.share = 0.1, .slack = 50};

Rollout MakeRollout(RolloutPhase phase) {
  Rollout rollout;
  rollout.number = 1;
  rollout.target_version = "v2";
  rollout.duration = seconds(12);
  rollout.phase = phase;
  return rollout;
}

RolloutFacts FactsAt(Duration elapsed) {
  return {.elapsed = elapsed,
          .evaluated_for = elapsed,
          .time_in_phase = seconds(1),
          .canary_answers = 40,
          .baseline_answers = 500,
          .canary_backends = 3,
          .change_confirmed = true};
}

TEST_CASE("observing uses three quarters of the limit's share") {
  CHECK(ObservingShare(kLimit) == 75);
  CHECK(ObservingShare({.share = 0, .slack = 0}) == 0);
}

TEST_CASE("a good version passes through all phases and is complete") {
  auto rollout = MakeRollout(RolloutPhase::kObserving);
  CHECK_FALSE(NextStep(rollout, FactsAt(seconds(5)), kLimit));
  auto step = NextStep(rollout, FactsAt(milliseconds(5500)), kLimit);
  REQUIRE(step);
  CHECK(step->phase == RolloutPhase::kWidening);
  CHECK(step->share_permille == 300);
  rollout.phase = step->phase;
  CHECK_FALSE(NextStep(rollout, FactsAt(seconds(7)), kLimit));
  step = NextStep(rollout, FactsAt(milliseconds(7300)), kLimit);
  REQUIRE(step);
  CHECK(step->phase == RolloutPhase::kFull);
  CHECK(step->share_permille == kFullPermille);
  rollout.phase = step->phase;
  step = NextStep(rollout, FactsAt(milliseconds(9100)), kLimit);
  REQUIRE(step);
  CHECK(step->phase == RolloutPhase::kReplacing);
  CHECK(step->state == RolloutState::kRunning);
  rollout.phase = step->phase;
  // Requests in flight at the replaced versions have time to finish.
  CHECK_FALSE(NextStep(rollout, FactsAt(milliseconds(10100)), kLimit));
  RolloutFacts drained = FactsAt(milliseconds(10800));
  drained.time_in_phase = milliseconds(1500);
  step = NextStep(rollout, drained, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kComplete);
}

TEST_CASE("no phase begins before the previous one is confirmed") {
  for (const auto phase : {RolloutPhase::kObserving, RolloutPhase::kWidening,
                           RolloutPhase::kFull, RolloutPhase::kReplacing}) {
    RolloutFacts facts = FactsAt(seconds(11));
    facts.change_confirmed = false;
    facts.time_in_phase = Duration(0);
    CHECK_FALSE(NextStep(MakeRollout(phase), facts, kLimit));
  }
}

TEST_CASE("a new leader waits for reports before it takes a step") {
  RolloutFacts facts = FactsAt(milliseconds(5500));
  facts.evaluated_for = milliseconds(1400);
  const auto rollout = MakeRollout(RolloutPhase::kObserving);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.evaluated_for = milliseconds(1500);
  CHECK(NextStep(rollout, facts, kLimit));
}

TEST_CASE("a new leader takes a step once most routers have reported to it") {
  RolloutFacts facts = FactsAt(milliseconds(5500));
  facts.evaluated_for = milliseconds(300);
  facts.most_reported = true;
  CHECK(NextStep(MakeRollout(RolloutPhase::kObserving), facts, kLimit));
}

TEST_CASE("a new leader counts the time of a phase that has brought answers") {
  Rollout rollout = MakeRollout(RolloutPhase::kWidening);
  rollout.answers_before_phase = 20;
  RolloutFacts facts = FactsAt(seconds(8));
  facts.time_in_phase = milliseconds(100);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.since_phase_began = seconds(1);
  CHECK(NextStep(rollout, facts, kLimit));
  facts.canary_answers = 39;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
}

TEST_CASE("a leader renews a share only with complete and good reports") {
  Rollout rollout = MakeRollout(RolloutPhase::kWidening);
  rollout.base_share_permille = 75;
  rollout.share_permille = 75;
  RolloutFacts facts = FactsAt(seconds(6));
  CHECK_FALSE(MayRenewShare(rollout, facts));
  rollout.share_permille = 300;
  CHECK(MayRenewShare(rollout, facts));
  facts.relative_score = kMaximumScoreForStep;
  CHECK_FALSE(MayRenewShare(rollout, facts));
  facts.relative_score = 0;
  facts.evaluated_for = milliseconds(100);
  CHECK_FALSE(MayRenewShare(rollout, facts));
  facts.most_reported = true;
  CHECK(MayRenewShare(rollout, facts));
}

TEST_CASE("the rollout is complete once no router uses the replaced versions") {
  RolloutFacts facts = FactsAt(milliseconds(10'100));
  const auto rollout = MakeRollout(RolloutPhase::kReplacing);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.released = true;
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kComplete);
}

TEST_CASE("a version with good answers may be late") {
  const auto rollout = MakeRollout(RolloutPhase::kWidening);
  RolloutFacts facts = FactsAt(milliseconds(11'500));
  facts.change_confirmed = false;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.relative_score = kMaximumScoreBeforeFull;
  CHECK(NextStep(rollout, facts, kLimit));
  facts.relative_score = 0;
  facts.elapsed = seconds(18);
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kRolledBack);
}

TEST_CASE("a high score or a short phase delays the next step") {
  RolloutFacts facts = FactsAt(seconds(8));
  const auto rollout = MakeRollout(RolloutPhase::kWidening);
  CHECK(NextStep(rollout, facts, kLimit));
  facts.relative_score = kMaximumScoreForStep;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.relative_score = 0;
  facts.time_in_phase = milliseconds(900);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
}

TEST_CASE("canaries get nearly all requests only with a low score") {
  RolloutFacts facts = FactsAt(seconds(8));
  facts.relative_score = kMaximumScoreBeforeFull;
  CHECK(NextStep(MakeRollout(RolloutPhase::kObserving), facts, kLimit));
  CHECK_FALSE(NextStep(MakeRollout(RolloutPhase::kWidening), facts, kLimit));
}

TEST_CASE("late in the rollout one answer is enough within the limit") {
  const auto rollout = MakeRollout(RolloutPhase::kFull);
  RolloutFacts facts = FactsAt(milliseconds(10'300));
  facts.canary_answers = 1;
  facts.baseline_answers = 19;
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->phase == RolloutPhase::kReplacing);
  facts.canary_answers = 0;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.canary_answers = 1;
  facts.baseline_answers = 10'000;
  CHECK_FALSE(NextStep(rollout, facts, {.share = 0.001, .slack = 5}));
}

TEST_CASE("worse canaries are rolled back in each phase") {
  for (const auto phase : {RolloutPhase::kObserving, RolloutPhase::kWidening,
                           RolloutPhase::kFull, RolloutPhase::kReplacing}) {
    RolloutFacts facts = FactsAt(seconds(1));
    facts.canaries_worse = true;
    const auto step = NextStep(MakeRollout(phase), facts, kLimit);
    REQUIRE(step);
    CHECK(step->state == RolloutState::kRolledBack);
    CHECK(step->share_permille == 0);
  }
}

TEST_CASE("evidence that stays undecided does not keep a rollout running") {
  const auto rollout = MakeRollout(RolloutPhase::kReplacing);
  RolloutFacts facts = FactsAt(milliseconds(17'900));
  facts.relative_score = 0.9;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.elapsed = seconds(18);
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kRolledBack);
  CHECK(step->reason == "it could not be judged in time");
}

TEST_CASE("a version that could not be evaluated is rolled back") {
  RolloutFacts facts = FactsAt(seconds(6));
  facts.canary_backends = 0;
  facts.canary_answers = 0;
  const auto rollout = MakeRollout(RolloutPhase::kObserving);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.elapsed = milliseconds(11500);
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kRolledBack);
  CHECK(step->reason == "it could not be judged in time");
}

TEST_CASE("the rollout waits for answers only if there are requests") {
  const auto rollout = MakeRollout(RolloutPhase::kObserving);
  RolloutFacts facts = FactsAt(seconds(6));
  facts.canary_answers = 0;
  facts.baseline_answers = 30;
  CHECK(NextStep(rollout, facts, kLimit));
  // At 500 requests per second, finding a fault costs more requests than the
  // remaining limit allows.
  facts.baseline_answers = 3000;
  facts.canary_answers = 19;
  facts.canary_backends = 1;
  CHECK(NextStep(rollout, facts, kLimit));
  facts.canary_answers = 10;
  ExposureLimit small = kLimit;
  small.share = 0.01;
  small.slack = 10;
  CHECK_FALSE(NextStep(rollout, facts, small));
}

TEST_CASE("a service without requests needs no answers") {
  RolloutFacts facts = FactsAt(seconds(10));
  facts.canary_answers = 0;
  facts.baseline_answers = 0;
  CHECK(NextStep(MakeRollout(RolloutPhase::kFull), facts, kLimit));
}

}  // namespace
}  // namespace juniperway::rollout
