#include "common/rollout/rollout_judge.h"

#include <algorithm>

namespace juniperway::rollout {
namespace {

// Routers report answers of the baseline version with their heartbeats. The
// leader therefore receives these answers at most one heartbeat interval
// (session::SessionTiming) later than answers of canaries.
constexpr Duration kBaselineReportDelay = seconds(1);

// While the canaries get a small share, the leader evaluates an answer only
// after all routers have reported their answers of the same second. In later
// phases each second of waiting would use up a large part of the exposure
// limit.
VersionComparison::EvaluationRule EvaluationRuleOf(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kObserving:
      return {.failures_after = kBaselineReportDelay,
              .latencies_after = kBaselineReportDelay};
    case RolloutPhase::kWidening:
    case RolloutPhase::kFull:
      return {.latencies_after = VersionComparison::kTimeSlotReportDelay,
              .within_time_slots = true};
    case RolloutPhase::kReplacing:
      break;
  }
  return {};
}

// A router's first report to a new leader holds the answers of both versions
// over the same time, so the evaluation needs no delay.
constexpr VersionComparison::EvaluationRule kEvaluateAtOnce{.latencies_after =
                                                                Duration(0)};

// Share of the routers that must have confirmed a phase, or have reported to a
// new leader. If all routers were required, one partitioned router would block
// the rollout until the router's lease expires, which takes a third of the
// duration of a short rollout.
constexpr double kMinimumRouterShare = 0.9;

bool IsConfirmed(RolloutPhase phase, double confirmed_share) {
  // The replaced backends stop after this phase, so no router may still use
  // them.
  return confirmed_share >=
         (phase == RolloutPhase::kReplacing ? 1.0 : kMinimumRouterShare);
}

}  // namespace

void RolloutJudge::Stop() {
  evaluations_.clear();
  reported_routers_.clear();
}

bool RolloutJudge::HaveMostReported(const Fleet& fleet) const {
  return static_cast<double>(reported_routers_.size()) >=
         kMinimumRouterShare * static_cast<double>(fleet.routers);
}

RolloutJudge::Evaluation& RolloutJudge::EvaluationOf(const std::string& service,
                                                     const Rollout& rollout,
                                                     WallTime wall_time,
                                                     MonotonicTime now) {
  Evaluation& evaluation = evaluations_[service];
  if (evaluation.number != rollout.number) {
    const Duration passed = wall_time - rollout.ordered_at;
    evaluation = Evaluation{};
    evaluation.number = rollout.number;
    evaluation.evaluated_since = now;
    // Wall clocks of two leaders differ, and may jump.
    evaluation.elapsed_before =
        std::clamp(passed, Duration(0), rollout.duration);
  }
  return evaluation;
}

void RolloutJudge::RemoveEnded(const Rollouts& rollouts) {
  std::erase_if(evaluations_, [&](const auto& entry) {
    const auto rollout = rollouts.find(entry.first);
    return rollout == rollouts.end() || !rollout->second.running();
  });
}

void RolloutJudge::OnReport(const std::string& router,
                            std::uint64_t incarnation,
                            const std::vector<AnswerReport>& reports,
                            const Rollouts& rollouts, MonotonicTime now) {
  for (const AnswerReport& report : reports) {
    const auto rollout = rollouts.find(report.group.service);
    const bool current = rollout != rollouts.end() &&
                         rollout->second.running() &&
                         rollout->second.number == report.rollout;
    const auto evaluation = evaluations_.find(report.group.service);
    if (current && evaluation != evaluations_.end() &&
        evaluation->second.number == report.rollout) {
      evaluation->second.comparison.OnReport(router, incarnation, report, now);
    }
  }
}

std::vector<ServiceStep> RolloutJudge::TakeSteps(const Rollouts& rollouts,
                                                 const Fleet& fleet,
                                                 MonotonicTime now) {
  RemoveEnded(rollouts);
  std::vector<ServiceStep> steps;
  for (const auto& [service, rollout] : rollouts) {
    if (!rollout.running()) {
      continue;
    }
    Evaluation& evaluation =
        EvaluationOf(service, rollout, fleet.wall_time, now);
    const RouterProgress progress = fleet.progress(rollout.revision);
    const bool phase_confirmed = IsConfirmed(rollout.phase, progress.confirmed);
    if (evaluation.phase != rollout.phase || !phase_confirmed) {
      evaluation.phase = rollout.phase;
      evaluation.phase_confirmed_since = MonotonicTime::max();
    }
    if (phase_confirmed) {
      evaluation.phase_confirmed_since =
          std::min(evaluation.phase_confirmed_since, now);
    }
    if (!evaluation.most_reported && HaveMostReported(fleet)) {
      evaluation.most_reported = true;
      evaluation.comparison.Evaluate(now, kEvaluateAtOnce);
    }
    evaluation.comparison.Evaluate(now, EvaluationRuleOf(rollout.phase));
    const Evidence evidence = evaluation.comparison.Describe();
    const RolloutFacts facts{
        .elapsed =
            evaluation.elapsed_before + (now - evaluation.evaluated_since),
        .evaluated_for = now - evaluation.evaluated_since,
        .most_reported = evaluation.most_reported,
        .time_in_phase = phase_confirmed
                             ? Duration(now - evaluation.phase_confirmed_since)
                             : Duration(0),
        .since_phase_began =
            std::clamp(Duration(fleet.wall_time - rollout.phase_began_at),
                       Duration(0), rollout.duration),
        .canaries_worse = evaluation.comparison.IsWorse(fleet.routers),
        .relative_score = evaluation.comparison.RelativeScore(),
        .canary_answers = evidence.canary_answers,
        .baseline_answers = evidence.baseline_answers,
        .canary_backends =
            fleet.count_backends(service, rollout.target_version),
        .change_confirmed = phase_confirmed,
        .released = progress.released >= 1};
    evaluation.renews_share = MayRenewShare(rollout, facts);
    if (auto step = NextStep(rollout, facts, limit_)) {
      steps.push_back({.service = service,
                       .rollout = rollout.number,
                       .step = std::move(*step),
                       .evidence = evidence});
    }
  }
  return steps;
}

std::vector<RolloutNumber> RolloutJudge::RenewedShares() const {
  std::vector<RolloutNumber> renewed;
  for (const auto& [service, evaluation] : evaluations_) {
    if (evaluation.renews_share) {
      renewed.push_back(evaluation.number);
    }
  }
  return renewed;
}

Evidence RolloutJudge::EvidenceOf(const std::string& service) const {
  const auto evaluation = evaluations_.find(service);
  return evaluation == evaluations_.end()
             ? Evidence{}
             : evaluation->second.comparison.Describe();
}

}  // namespace juniperway::rollout
