#include "common/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>

#include "common/rollout/version_comparison.h"

namespace juniperway::rollout {
namespace {

// Of the exposure limit's share, for the time of observing.
constexpr double kObservingPart = 0.75;
// Share while widening. A fault that shows there costs some 25 requests to find
// and those of half a second until all routers know it.
constexpr std::uint32_t kWideningPermille = 300;
// Of a service with few requests, the part of them that canaries have to
// answer.
constexpr std::uint64_t kLeastAnswersPart = 8;
// Answers of a version that fails in a third of them until that is found, and
// the time until all routers know it (property.rollout/rollout).
constexpr double kFindingAnswers = 25;
constexpr Duration kTellingTime = milliseconds(500);
// Of what is left of the exposure limit; the rest is for routers that learn of
// a verdict late.
constexpr double kUsedPart = 0.8;
// Part of the roll-out's time that a phase takes.
constexpr double kPhaseShare = kFullAfter - kWidenAfter;

// Answers of canaries without which their share grows to everything only within
// the exposure limit.
constexpr std::uint64_t kManyAnswers = 2 * kLeastAnswers;

// A phase with more canaries, and what has to be known before it.
struct Share {
  RolloutPhase phase;
  std::uint32_t permille;
  // Answers of canaries.
  std::uint64_t least_answers;
};
constexpr Share kWidening{RolloutPhase::kWidening, kWideningPermille,
                          kLeastAnswers};
constexpr Share kFull{RolloutPhase::kFull, kFullPermille, kManyAnswers};

std::uint64_t RequestsOf(const RolloutFacts& facts) {
  return facts.canary_answers + facts.other_answers;
}

RolloutStep RollBack(const Rollout& rollout, const char* reason) {
  return {.state = RolloutState::kRolledBack,
          .phase = rollout.phase,
          .share_permille = 0,
          .reason = reason};
}

RolloutStep GoOn(RolloutPhase phase, std::uint32_t share_permille) {
  return {.phase = phase, .share_permille = share_permille, .reason = {}};
}

bool IsPast(const Rollout& rollout, const RolloutFacts& facts, double part) {
  return ToSeconds(facts.elapsed) >= part * ToSeconds(rollout.duration);
}

// Too few answers, although there were requests that could have shown more: of
// a service with few requests no more can be known.
bool LacksAnswers(const RolloutFacts& facts, std::uint64_t least) {
  return facts.canary_answers <
         std::min(least, RequestsOf(facts) / kLeastAnswersPart);
}

// What is left of the limit for a version that is not found bad yet.
double UsableLimit(const RolloutFacts& facts, const ExposureLimit& limit) {
  const double left = limit.share * static_cast<double>(RequestsOf(facts)) +
                      limit.slack - static_cast<double>(facts.canary_answers);
  return left * kUsedPart;
}

// Requests a second.
double RateOf(const RolloutFacts& facts) {
  return static_cast<double>(RequestsOf(facts)) /
         std::max(ToSeconds(facts.elapsed), 1.0);
}

// A phase with this share of canaries stays within what is left of the limit,
// even if the version is bad.
bool IsHarmless(const Rollout& rollout, const RolloutFacts& facts,
                const ExposureLimit& limit, std::uint32_t share_permille) {
  const double exposed_rate = RateOf(facts) * share_permille / kWholePermille;
  const double phase = kPhaseShare * ToSeconds(rollout.duration);
  // The whole phase, or what it takes to find a fault and to tell all routers.
  const double exposed =
      std::min(exposed_rate * phase,
               kFindingAnswers + exposed_rate * ToSeconds(kTellingTime));
  return exposed <= UsableLimit(facts, limit);
}

// The same of all requests until the roll-out's time is over, whether or not a
// fault is found: a version that is complete is not undone.
bool IsHarmlessToTheEnd(const Rollout& rollout, const RolloutFacts& facts,
                        const ExposureLimit& limit) {
  const double left =
      std::max(0.0, ToSeconds(rollout.duration - facts.elapsed));
  return RateOf(facts) * left <= UsableLimit(facts, limit);
}

std::optional<RolloutStep> Widen(const Rollout& rollout,
                                 const RolloutFacts& facts,
                                 const ExposureLimit& limit,
                                 const Share& share) {
  const bool may = !LacksAnswers(facts, share.least_answers) ||
                   IsHarmless(rollout, facts, limit, share.permille);
  return facts.canaries > 0 && may
             ? std::optional(GoOn(share.phase, share.permille))
             : std::nullopt;
}

Duration AtMostPart(const Rollout& rollout, Duration longest, double part) {
  return std::min(longest, FromSeconds(ToSeconds(rollout.duration) * part));
}

// The leader has been told of all answers so far.
bool KnowsAnswers(const Rollout& rollout, const RolloutFacts& facts) {
  return facts.heard ||
         facts.watched >= AtMostPart(rollout, kReportTime, kReportShare);
}

// The phase has lasted long enough for its answers to come in. A new leader
// takes answers that came after the step as a sign that routers knew of it.
bool HasLasted(const Rollout& rollout, const RolloutFacts& facts) {
  const Duration least = AtMostPart(rollout, kLeastPhase, kLeastPhaseShare);
  const bool answers_came =
      facts.canary_answers >= rollout.answers_before_phase + kLeastAnswers;
  if (facts.in_phase >= least ||
      (answers_came && facts.since_phase_began >= least)) {
    return true;
  }
  // With so few requests the last phase brings no verdict.
  const bool too_few = RateOf(facts) * ToSeconds(least) <
                       static_cast<double>(VersionComparison::kWitnesses);
  return rollout.phase == RolloutPhase::kReplacing && too_few;
}

// The phase is known, and what its answers say as well.
bool IsReadyForStep(const Rollout& rollout, const RolloutFacts& facts) {
  return facts.known && facts.suspicion < kSuspicious &&
         KnowsAnswers(rollout, facts) && HasLasted(rollout, facts);
}

// Canaries may take the place of the others.
bool MayReplace(const Rollout& rollout, const RolloutFacts& facts,
                const ExposureLimit& limit) {
  if (facts.canary_answers >= kManyAnswers) {
    return true;
  }
  const bool is_late = IsPast(rollout, facts, kReplaceWithFewAfter);
  const bool has_answers = !LacksAnswers(facts, kLeastAnswers) ||
                           (is_late && facts.canary_answers > 0);
  return has_answers && IsHarmlessToTheEnd(rollout, facts, limit);
}

// The next step of a phase that is known and has lasted.
std::optional<RolloutStep> StepAfter(const Rollout& rollout,
                                     const RolloutFacts& facts,
                                     const ExposureLimit& limit) {
  switch (rollout.phase) {
    case RolloutPhase::kObserving:
      return IsPast(rollout, facts, kWidenAfter)
                 ? Widen(rollout, facts, limit, kWidening)
                 : std::nullopt;
    case RolloutPhase::kWidening:
      return IsPast(rollout, facts, kFullAfter) &&
                     facts.suspicion < kSuspiciousBeforeFull
                 ? Widen(rollout, facts, limit, kFull)
                 : std::nullopt;
    case RolloutPhase::kFull:
      return IsPast(rollout, facts, kReplaceAfter) &&
                     facts.suspicion < kSuspiciousBeforeFull &&
                     MayReplace(rollout, facts, limit)
                 ? std::optional(GoOn(RolloutPhase::kReplacing, kWholePermille))
                 : std::nullopt;
    case RolloutPhase::kReplacing:
      break;
  }
  if (!facts.released &&
      facts.in_phase < AtMostPart(rollout, kLongestDrain, kDrainShare)) {
    return std::nullopt;
  }
  return RolloutStep{.state = RolloutState::kComplete,
                     .phase = rollout.phase,
                     .share_permille = kWholePermille,
                     .reason = {}};
}

// Answers speak for the version, and only time was short.
bool MayBeLate(const Rollout& rollout, const RolloutFacts& facts,
               const ExposureLimit& limit) {
  const bool is_judged =
      facts.canary_answers >= kManyAnswers ||
      (facts.canary_answers > 0 && IsHarmlessToTheEnd(rollout, facts, limit));
  return is_judged && facts.suspicion < kSuspiciousBeforeFull &&
         !IsPast(rollout, facts, kUndoLateAfter);
}

}  // namespace

std::uint32_t ObservingShare(const ExposureLimit& limit) {
  return static_cast<std::uint32_t>(
      std::floor(limit.share * kObservingPart * kWholePermille));
}

bool MayRenewShare(const Rollout& rollout, const RolloutFacts& facts) {
  return rollout.share_permille > rollout.base_share_permille &&
         KnowsAnswers(rollout, facts) && !facts.canaries_worse &&
         facts.suspicion < kSuspicious;
}

std::optional<RolloutStep> NextStep(const Rollout& rollout,
                                    const RolloutFacts& facts,
                                    const ExposureLimit& limit) {
  // Until it is complete the replaced versions are there to go back to.
  if (facts.canaries_worse) {
    return RollBack(rollout, "its answers are worse");
  }
  if (IsReadyForStep(rollout, facts)) {
    if (auto step = StepAfter(rollout, facts, limit)) {
      return step;
    }
  }
  if (rollout.phase != RolloutPhase::kReplacing &&
      IsPast(rollout, facts, kUndoAfter) && !MayBeLate(rollout, facts, limit)) {
    return RollBack(rollout, "it could not be judged in time");
  }
  return std::nullopt;
}

}  // namespace juniperway::rollout
