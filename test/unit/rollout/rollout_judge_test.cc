// Tests the leader's evaluation of routers' reports in each phase.
#include "common/rollout/rollout_judge.h"

#include <doctest/doctest.h>

namespace juniperway::rollout {
namespace {

const std::string kService = "s";

AnswerReport Report(bool canary, std::uint32_t answers, Duration latency) {
  AnswerReport report;
  report.group = {.service = kService, .route = "r", .canary = canary};
  report.rollout = 1;
  report.counts.timed.at(LatencyStepOf(latency)) = answers;
  return report;
}

// Whether a rollout is rolled back when five routers report typical latencies
// of the baseline version and slow answers of canaries.
bool IsRolledBack(RolloutPhase phase) {
  Rollouts rollouts;
  Rollout& rollout = rollouts[kService];
  rollout.number = 1;
  rollout.duration = seconds(12);
  rollout.phase = phase;
  const RolloutJudge::Fleet fleet{
      .routers = 5,
      .progress =
          [](std::uint64_t) {
            return RouterProgress{.confirmed = 1, .released = 1};
          },
      .count_backends = [](const std::string&,
                           const std::string&) { return std::size_t{3}; }};
  MonotonicTime now{seconds(100)};
  RolloutJudge judge(ExposureLimit{});
  judge.TakeSteps(rollouts, fleet, now);
  for (int router = 0; router < 5; ++router) {
    judge.OnReport("router-" + std::to_string(router), 1,
                   {Report(false, 50, milliseconds(13)),
                    Report(true, 4, milliseconds(60))},
                   rollouts, now);
  }
  now += milliseconds(1100);
  const auto steps = judge.TakeSteps(rollouts, fleet, now);
  return !steps.empty() &&
         steps.front().step.state == RolloutState::kRolledBack;
}

TEST_CASE("slow canaries are rolled back while the baseline gets requests") {
  CHECK(IsRolledBack(RolloutPhase::kObserving));
  CHECK(IsRolledBack(RolloutPhase::kWidening));
  CHECK(IsRolledBack(RolloutPhase::kFull));
  // In the phase kReplacing the baseline version gets no requests, so there are
  // no answers to compare with.
  CHECK_FALSE(IsRolledBack(RolloutPhase::kReplacing));
}

// Whether the leader takes the step after this phase while this share of the
// routers has confirmed the phase.
bool TakesStep(RolloutPhase phase, double confirmed) {
  Rollouts rollouts;
  Rollout& rollout = rollouts[kService];
  rollout.number = 1;
  rollout.duration = seconds(12);
  rollout.phase = phase;
  const RolloutJudge::Fleet fleet{
      .wall_time = WallTime{seconds(8)},
      .routers = 20,
      .progress =
          [confirmed](std::uint64_t) {
            return RouterProgress{.confirmed = confirmed, .released = 1};
          },
      .count_backends = [](const std::string&,
                           const std::string&) { return std::size_t{3}; }};
  RolloutJudge judge(ExposureLimit{});
  judge.TakeSteps(rollouts, fleet, MonotonicTime{seconds(100)});
  return !judge.TakeSteps(rollouts, fleet, MonotonicTime{milliseconds(101600)})
              .empty();
}

TEST_CASE("nine in ten routers allow each step except the last one") {
  CHECK_FALSE(TakesStep(RolloutPhase::kFull, 0.85));
  CHECK(TakesStep(RolloutPhase::kFull, 0.95));
  // All routers must have confirmed the phase kReplacing; otherwise the
  // replaced backends would stop while a router still uses them.
  CHECK_FALSE(TakesStep(RolloutPhase::kReplacing, 0.95));
  CHECK(TakesStep(RolloutPhase::kReplacing, 1));
}

}  // namespace
}  // namespace juniperway::rollout
