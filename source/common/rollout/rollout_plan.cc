#include "common/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>

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

// A phase with more canaries, and what has to be known before it.
struct Share {
  RolloutPhase phase;
  std::uint32_t permille;
  // Answers of canaries. Twice as many before they get everything; chosen, not
  // measured alone.
  std::uint64_t least_answers;
};
constexpr Share kWidening{RolloutPhase::kWidening, kWideningPermille,
                          kLeastAnswers};
constexpr Share kFull{RolloutPhase::kFull, kWholePermille, 2 * kLeastAnswers};

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

// A phase with this share of canaries stays within what is left of the limit,
// even if the version is bad.
bool IsHarmless(const Rollout& rollout, const RolloutFacts& facts,
                const ExposureLimit& limit, std::uint32_t share_permille) {
  const auto requests = static_cast<double>(RequestsOf(facts));
  const double left = limit.share * requests + limit.slack -
                      static_cast<double>(facts.canary_answers);
  const double rate = requests / std::max(ToSeconds(facts.elapsed), 1.0);
  const double exposed_rate = rate * share_permille / kWholePermille;
  const double phase = kPhaseShare * ToSeconds(rollout.duration);
  // The whole phase, or what it takes to find a fault and to tell all routers.
  const double exposed =
      std::min(exposed_rate * phase,
               kFindingAnswers + exposed_rate * ToSeconds(kTellingTime));
  return exposed <= left * kUsedPart;
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
  return facts.watched >= AtMostPart(rollout, kReportTime, kReportShare);
}

// The phase is known everywhere, and what its answers say as well.
bool IsReadyForStep(const Rollout& rollout, const RolloutFacts& facts) {
  return facts.in_force && facts.suspicion < kSuspicious &&
         KnowsAnswers(rollout, facts) &&
         facts.in_phase >= AtMostPart(rollout, kLeastPhase, kLeastPhaseShare);
}

// Canaries may take the place of the others.
bool MayReplace(const Rollout& rollout, const RolloutFacts& facts,
                const ExposureLimit& limit) {
  if (!LacksAnswers(facts, kLeastAnswers)) {
    return true;
  }
  return facts.canary_answers > 0 &&
         IsPast(rollout, facts, kReplaceWithFewAfter) &&
         IsHarmless(rollout, facts, limit, kWholePermille);
}

// The next step of a phase that every router knows of.
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
                     MayReplace(rollout, facts, limit)
                 ? std::optional(GoOn(RolloutPhase::kReplacing, kWholePermille))
                 : std::nullopt;
    case RolloutPhase::kReplacing:
      break;
  }
  const Duration drain = std::min(
      kLongestDrain, FromSeconds(ToSeconds(rollout.duration) * kDrainShare));
  if (facts.in_phase < drain) {
    return std::nullopt;
  }
  return RolloutStep{.state = RolloutState::kComplete,
                     .phase = rollout.phase,
                     .share_permille = kWholePermille,
                     .reason = {}};
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
      IsPast(rollout, facts, kUndoAfter)) {
    return RollBack(rollout, "it could not be judged in time");
  }
  return std::nullopt;
}

}  // namespace juniperway::rollout
