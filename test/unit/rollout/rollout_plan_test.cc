// When a roll-out goes on, ends well or is rolled back.
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
          .watched = elapsed,
          .in_phase = seconds(1),
          .canary_answers = 40,
          .other_answers = 500,
          .canaries = 3,
          .known = true};
}

TEST_CASE("three quarters of the limit's share are spent while observing") {
  CHECK(ObservingShare(kLimit) == 75);
  CHECK(ObservingShare({.share = 0, .slack = 0}) == 0);
}

TEST_CASE("a good version goes from phase to phase and is complete") {
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
  // What the replaced versions work on has time to end.
  CHECK_FALSE(NextStep(rollout, FactsAt(milliseconds(10100)), kLimit));
  RolloutFacts drained = FactsAt(milliseconds(10800));
  drained.in_phase = milliseconds(1500);
  step = NextStep(rollout, drained, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kComplete);
}

TEST_CASE("no phase begins before the one before is known") {
  for (const auto phase : {RolloutPhase::kObserving, RolloutPhase::kWidening,
                           RolloutPhase::kFull, RolloutPhase::kReplacing}) {
    RolloutFacts facts = FactsAt(seconds(11));
    facts.known = false;
    facts.in_phase = Duration(0);
    CHECK_FALSE(NextStep(MakeRollout(phase), facts, kLimit));
  }
}

TEST_CASE("a new leader goes on only once every router has reported to it") {
  RolloutFacts facts = FactsAt(milliseconds(5500));
  facts.watched = milliseconds(1400);
  const auto rollout = MakeRollout(RolloutPhase::kObserving);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.watched = milliseconds(1500);
  CHECK(NextStep(rollout, facts, kLimit));
}

TEST_CASE("a new leader goes on as soon as most routers have reported to it") {
  RolloutFacts facts = FactsAt(milliseconds(5500));
  facts.watched = milliseconds(300);
  facts.heard = true;
  CHECK(NextStep(MakeRollout(RolloutPhase::kObserving), facts, kLimit));
}

TEST_CASE("a new leader takes up a phase that has brought answers") {
  Rollout rollout = MakeRollout(RolloutPhase::kWidening);
  rollout.answers_before_phase = 20;
  RolloutFacts facts = FactsAt(seconds(8));
  facts.in_phase = milliseconds(100);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.since_phase_began = seconds(1);
  CHECK(NextStep(rollout, facts, kLimit));
  facts.canary_answers = 39;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
}

TEST_CASE("a share above the base share is renewed by a leader that knows") {
  Rollout rollout = MakeRollout(RolloutPhase::kWidening);
  rollout.base_share_permille = 75;
  rollout.share_permille = 75;
  RolloutFacts facts = FactsAt(seconds(6));
  CHECK_FALSE(MayRenewShare(rollout, facts));
  rollout.share_permille = 300;
  CHECK(MayRenewShare(rollout, facts));
  facts.suspicion = kSuspicious;
  CHECK_FALSE(MayRenewShare(rollout, facts));
  facts.suspicion = 0;
  facts.watched = milliseconds(100);
  CHECK_FALSE(MayRenewShare(rollout, facts));
  facts.heard = true;
  CHECK(MayRenewShare(rollout, facts));
}

TEST_CASE("replaced versions end at once when no router uses them") {
  RolloutFacts facts = FactsAt(milliseconds(10'100));
  const auto rollout = MakeRollout(RolloutPhase::kReplacing);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.released = true;
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kComplete);
}

TEST_CASE("a version that answers speak for is late, and not undone") {
  const auto rollout = MakeRollout(RolloutPhase::kWidening);
  RolloutFacts facts = FactsAt(milliseconds(11'500));
  facts.known = false;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.suspicion = kSuspiciousBeforeFull;
  CHECK(NextStep(rollout, facts, kLimit));
  facts.suspicion = 0;
  facts.elapsed = seconds(18);
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kRolledBack);
}

TEST_CASE("nothing goes on in doubt, or before a phase has brought answers") {
  RolloutFacts facts = FactsAt(seconds(8));
  const auto rollout = MakeRollout(RolloutPhase::kWidening);
  CHECK(NextStep(rollout, facts, kLimit));
  facts.suspicion = kSuspicious;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.suspicion = 0;
  facts.in_phase = milliseconds(900);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
}

TEST_CASE("canaries get everything only while hardly anything speaks against") {
  RolloutFacts facts = FactsAt(seconds(8));
  facts.suspicion = kSuspiciousBeforeFull;
  CHECK(NextStep(MakeRollout(RolloutPhase::kObserving), facts, kLimit));
  CHECK_FALSE(NextStep(MakeRollout(RolloutPhase::kWidening), facts, kLimit));
}

TEST_CASE("one answer of few requests is enough where all would do no harm") {
  const auto rollout = MakeRollout(RolloutPhase::kFull);
  RolloutFacts facts = FactsAt(milliseconds(10'300));
  facts.canary_answers = 1;
  facts.other_answers = 19;
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->phase == RolloutPhase::kReplacing);
  facts.canary_answers = 0;
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.canary_answers = 1;
  facts.other_answers = 10'000;
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

TEST_CASE("a version that nobody could judge is rolled back in time") {
  RolloutFacts facts = FactsAt(seconds(6));
  facts.canaries = 0;
  facts.canary_answers = 0;
  const auto rollout = MakeRollout(RolloutPhase::kObserving);
  CHECK_FALSE(NextStep(rollout, facts, kLimit));
  facts.elapsed = milliseconds(11500);
  const auto step = NextStep(rollout, facts, kLimit);
  REQUIRE(step);
  CHECK(step->state == RolloutState::kRolledBack);
  CHECK(step->reason == "it could not be judged in time");
}

TEST_CASE("few requests are no reason to wait, many without answers are") {
  const auto rollout = MakeRollout(RolloutPhase::kObserving);
  RolloutFacts facts = FactsAt(seconds(6));
  facts.canary_answers = 0;
  facts.other_answers = 30;
  CHECK(NextStep(rollout, facts, kLimit));
  // 500 a second: what finding a fault takes is more than is left.
  facts.other_answers = 3000;
  facts.canary_answers = 19;
  facts.canaries = 1;
  CHECK(NextStep(rollout, facts, kLimit));
  facts.canary_answers = 10;
  ExposureLimit small = kLimit;
  small.share = 0.01;
  small.slack = 10;
  CHECK_FALSE(NextStep(rollout, facts, small));
}

TEST_CASE("of a service without requests no more can be known") {
  RolloutFacts facts = FactsAt(seconds(10));
  facts.canary_answers = 0;
  facts.other_answers = 0;
  CHECK(NextStep(MakeRollout(RolloutPhase::kFull), facts, kLimit));
}

}  // namespace
}  // namespace juniperway::rollout
