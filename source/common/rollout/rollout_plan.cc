#include "common/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>

#include "common/rollout/version_comparison.h"

namespace juniperway::rollout {
namespace {

// The canaries' share in the phase kObserving, as a share of
// ExposureLimit::share.
constexpr double kObservingLimitShare = 0.75;
// The canaries' share in the phase kWidening. The leader finds a fault that
// appears under this load after about 25 requests; routers send more during the
// half second until all of them know the verdict.
constexpr std::uint32_t kWideningPermille = 300;
// For a service with few requests, the canaries must have given at least one in
// this many of all answers since the rollout was ordered.
constexpr std::uint64_t kMinimumAnswersDivisor = 8;
// Number of canary answers after which the comparison finds a version that
// fails in a third of its answers.
constexpr double kDetectionAnswers = 25;
constexpr Duration kNotificationDelay = milliseconds(500);
// Share of the remaining exposure limit that a phase may use; the rest covers
// routers that learn of a verdict late.
constexpr double kUsableLimitShare = 0.8;
// Share of the rollout's duration that one phase takes.
constexpr double kPhaseDurationShare = kFullAfterShare - kWidenAfterShare;

// Number of canary answers from which on the canaries may get the largest
// shares without a check against the exposure limit.
constexpr std::uint64_t kSufficientAnswers = 2 * kMinimumAnswers;

// A phase in which the canaries get a larger share of the requests, and the
// number of canary answers that the phase requires.
struct Promotion {
  RolloutPhase phase;
  std::uint32_t permille;
  std::uint64_t minimum_answers;
};
constexpr Promotion kWidening{RolloutPhase::kWidening, kWideningPermille,
                              kMinimumAnswers};
constexpr Promotion kFull{RolloutPhase::kFull, kFullPermille,
                          kSufficientAnswers};

std::uint64_t TotalAnswers(const RolloutFacts& facts) {
  return facts.canary_answers + facts.baseline_answers;
}

RolloutStep RollBack(const Rollout& rollout, const char* reason) {
  return {.state = RolloutState::kRolledBack,
          .phase = rollout.phase,
          .share_permille = 0,
          .reason = reason};
}

RolloutStep PromoteTo(RolloutPhase phase, std::uint32_t share_permille) {
  return {.phase = phase, .share_permille = share_permille, .reason = {}};
}

bool IsPast(const Rollout& rollout, const RolloutFacts& facts,
            double duration_share) {
  return ToSeconds(facts.elapsed) >=
         duration_share * ToSeconds(rollout.duration);
}

// Whether the canaries have too few answers although the service had enough
// requests to give them more. A service with few requests cannot give more, so
// its canaries need fewer answers.
bool LacksAnswers(const RolloutFacts& facts, std::uint64_t minimum) {
  return facts.canary_answers <
         std::min(minimum, TotalAnswers(facts) / kMinimumAnswersDivisor);
}

// Returns how many requests a phase may still send to a version that may turn
// out bad.
double UsableExposure(const RolloutFacts& facts, const ExposureLimit& limit) {
  const double remaining =
      limit.share * static_cast<double>(TotalAnswers(facts)) + limit.slack -
      static_cast<double>(facts.canary_answers);
  return remaining * kUsableLimitShare;
}

// Returns the service's requests per second since the order.
double RequestRate(const RolloutFacts& facts) {
  return static_cast<double>(TotalAnswers(facts)) /
         std::max(ToSeconds(facts.elapsed), 1.0);
}

// Whether a phase in which the canaries get this share of the requests stays
// within the remaining exposure limit even if the version is bad.
bool FitsExposureLimit(const Rollout& rollout, const RolloutFacts& facts,
                       const ExposureLimit& limit,
                       std::uint32_t share_permille) {
  const double exposed_rate =
      RequestRate(facts) * share_permille / kWholePermille;
  const double phase = kPhaseDurationShare * ToSeconds(rollout.duration);
  // A bad version gets the canaries' requests of the whole phase, or only those
  // until the fault is found and all routers know the verdict.
  const double exposed = std::min(
      exposed_rate * phase,
      kDetectionAnswers + exposed_rate * ToSeconds(kNotificationDelay));
  return exposed <= UsableExposure(facts, limit);
}

// Whether the remaining exposure limit covers a bad version that gets all
// requests until the end of the rollout's duration. The limit must cover all of
// them because a complete rollout is not rolled back, whatever fault appears
// later.
bool FitsExposureLimitToTheEnd(const Rollout& rollout,
                               const RolloutFacts& facts,
                               const ExposureLimit& limit) {
  const double remaining =
      std::max(0.0, ToSeconds(rollout.duration - facts.elapsed));
  return RequestRate(facts) * remaining <= UsableExposure(facts, limit);
}

std::optional<RolloutStep> PromoteIfAllowed(const Rollout& rollout,
                                            const RolloutFacts& facts,
                                            const ExposureLimit& limit,
                                            const Promotion& promotion) {
  const bool is_allowed =
      !LacksAnswers(facts, promotion.minimum_answers) ||
      FitsExposureLimit(rollout, facts, limit, promotion.permille);
  return facts.canary_backends > 0 && is_allowed
             ? std::optional(PromoteTo(promotion.phase, promotion.permille))
             : std::nullopt;
}

Duration BoundByDurationShare(const Rollout& rollout, Duration maximum,
                              double duration_share) {
  return std::min(maximum,
                  FromSeconds(ToSeconds(rollout.duration) * duration_share));
}

// Whether this leader has received the counts of the answers so far.
bool HasReceivedReports(const Rollout& rollout, const RolloutFacts& facts) {
  return facts.most_reported ||
         facts.evaluated_for >=
             BoundByDurationShare(rollout, kReportTimeout, kReportTimeoutShare);
}

// Whether the phase has lasted long enough for routers to report its answers.
// Enough canary answers since the phase began show that routers have used the
// share of the phase. A new leader then counts the time from the beginning of
// the phase and not from the start of its own term.
bool HasLasted(const Rollout& rollout, const RolloutFacts& facts) {
  const Duration minimum =
      BoundByDurationShare(rollout, kMinimumPhaseDuration, kMinimumPhaseShare);
  const bool answers_came =
      facts.canary_answers >= rollout.answers_before_phase + kMinimumAnswers;
  if (facts.time_in_phase >= minimum ||
      (answers_came && facts.since_phase_began >= minimum)) {
    return true;
  }
  // With so few requests the phase kReplacing cannot reach a verdict, so the
  // rollout does not wait for one.
  const bool too_few_requests =
      RequestRate(facts) * ToSeconds(minimum) <
      static_cast<double>(VersionComparison::kMinimumWitnesses);
  return rollout.phase == RolloutPhase::kReplacing && too_few_requests;
}

// Whether the routers have confirmed the phase and its answers allow the next
// step.
bool IsReadyForStep(const Rollout& rollout, const RolloutFacts& facts) {
  return facts.change_confirmed &&
         facts.relative_score < kMaximumScoreForStep &&
         HasReceivedReports(rollout, facts) && HasLasted(rollout, facts);
}

// Whether the canaries may replace the baseline version.
bool MayReplace(const Rollout& rollout, const RolloutFacts& facts,
                const ExposureLimit& limit) {
  if (facts.canary_answers >= kSufficientAnswers) {
    return true;
  }
  const bool is_late = IsPast(rollout, facts, kReplaceWithFewAnswersAfterShare);
  const bool has_answers = !LacksAnswers(facts, kMinimumAnswers) ||
                           (is_late && facts.canary_answers > 0);
  return has_answers && FitsExposureLimitToTheEnd(rollout, facts, limit);
}

// Returns the step that follows a confirmed phase that has lasted long enough.
std::optional<RolloutStep> StepAfter(const Rollout& rollout,
                                     const RolloutFacts& facts,
                                     const ExposureLimit& limit) {
  switch (rollout.phase) {
    case RolloutPhase::kObserving:
      return IsPast(rollout, facts, kWidenAfterShare)
                 ? PromoteIfAllowed(rollout, facts, limit, kWidening)
                 : std::nullopt;
    case RolloutPhase::kWidening:
      return IsPast(rollout, facts, kFullAfterShare) &&
                     facts.relative_score < kMaximumScoreBeforeFull
                 ? PromoteIfAllowed(rollout, facts, limit, kFull)
                 : std::nullopt;
    case RolloutPhase::kFull:
      return IsPast(rollout, facts, kReplaceAfterShare) &&
                     facts.relative_score < kMaximumScoreBeforeFull &&
                     MayReplace(rollout, facts, limit)
                 ? std::optional(
                       PromoteTo(RolloutPhase::kReplacing, kWholePermille))
                 : std::nullopt;
    case RolloutPhase::kReplacing:
      break;
  }
  if (!facts.released &&
      facts.time_in_phase <
          BoundByDurationShare(rollout, kDrainTimeout, kDrainTimeoutShare)) {
    return std::nullopt;
  }
  return RolloutStep{.state = RolloutState::kComplete,
                     .phase = rollout.phase,
                     .share_permille = kWholePermille,
                     .reason = {}};
}

// Whether the rollout may end late: the canaries' answers are good, but the
// steps were delayed.
bool MayFinishLate(const Rollout& rollout, const RolloutFacts& facts,
                   const ExposureLimit& limit) {
  const bool has_enough_answers =
      facts.canary_answers >= kSufficientAnswers ||
      (facts.canary_answers > 0 &&
       FitsExposureLimitToTheEnd(rollout, facts, limit));
  return has_enough_answers && facts.relative_score < kMaximumScoreBeforeFull &&
         !IsPast(rollout, facts, kRollBackLateAfterShare);
}

// Whether the rollout has taken so long that it is rolled back.
bool IsOverdue(const Rollout& rollout, const RolloutFacts& facts,
               const ExposureLimit& limit) {
  if (rollout.phase == RolloutPhase::kReplacing) {
    // Slow answers are not evaluated in this phase, so their score may stay too
    // high for the last step and too low for a verdict.
    return IsPast(rollout, facts, kRollBackLateAfterShare) &&
           facts.relative_score >= kMaximumScoreForStep;
  }
  return IsPast(rollout, facts, kRollBackAfterShare) &&
         !MayFinishLate(rollout, facts, limit);
}

}  // namespace

std::uint32_t ObservingShare(const ExposureLimit& limit) {
  return static_cast<std::uint32_t>(
      std::floor(limit.share * kObservingLimitShare * kWholePermille));
}

bool MayRenewShare(const Rollout& rollout, const RolloutFacts& facts) {
  return rollout.share_permille > rollout.base_share_permille &&
         HasReceivedReports(rollout, facts) && !facts.canaries_worse &&
         facts.relative_score < kMaximumScoreForStep;
}

std::optional<RolloutStep> NextStep(const Rollout& rollout,
                                    const RolloutFacts& facts,
                                    const ExposureLimit& limit) {
  // The replaced backends run until the rollout is complete, so that it can be
  // rolled back in every phase.
  if (facts.canaries_worse) {
    return RollBack(rollout, "its answers are worse");
  }
  if (IsReadyForStep(rollout, facts)) {
    if (auto step = StepAfter(rollout, facts, limit)) {
      return step;
    }
  }
  if (IsOverdue(rollout, facts, limit)) {
    return RollBack(rollout, "it could not be judged in time");
  }
  return std::nullopt;
}

}  // namespace juniperway::rollout
