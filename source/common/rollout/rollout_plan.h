// Decides when a rollout enters its next phase, is complete or is rolled back,
// from its elapsed time and the leader's evaluation. Stateless functions
// without I/O; RolloutJudge calls them.
//
// Until the end of the rollout's duration the fleet may send a bad version
// (limit.share x all requests) + limit.slack requests. The phase kObserving
// uses three quarters of the share. The rest and the slack cover a fault that
// appears later or only under load, until it is found and all routers know the
// verdict.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/base/time.h"
#include "common/rollout/rollout.h"

namespace juniperway::rollout {

// The facts from which NextStep decides.
struct RolloutFacts {
  // Time since the rollout was ordered.
  Duration elapsed{};
  // Time since this leader began to receive the routers' reports on the
  // rollout.
  Duration evaluated_for{};
  // Whether most routers have reported all of their counts to this leader.
  bool most_reported = false;
  // Time since this leader saw that enough routers had confirmed the phase.
  Duration time_in_phase{};
  // Time since the step to the phase, by the wall clocks.
  Duration since_phase_began{};
  // The verdict: the canaries do worse than the baseline
  // (version_comparison.h).
  bool canaries_worse = false;
  // The comparison's highest score divided by the score that gives a verdict.
  double relative_score = 0;
  std::uint64_t canary_answers = 0;
  std::uint64_t baseline_answers = 0;
  // Number of listed backends of the target version that are not draining.
  std::size_t canary_backends = 0;
  // Whether enough routers with a lease have confirmed the rollout's last
  // change: most of them, in the phase kReplacing all of them.
  bool change_confirmed = false;
  // Whether no router has a request in flight at backends that get no new
  // requests.
  bool released = false;
};

// A change of a running rollout.
struct RolloutStep {
  RolloutState state = RolloutState::kRunning;
  RolloutPhase phase = RolloutPhase::kObserving;
  std::uint32_t share_permille = 0;
  // Set for kRolledBack only.
  std::string reason;

  bool operator==(const RolloutStep&) const = default;
};

// Shares of the rollout's duration after which the next phase may begin. In the
// time after the last share, the replaced versions finish their requests.
inline constexpr double kWidenAfterShare = 0.45;
inline constexpr double kFullAfterShare = 0.6;
inline constexpr double kReplaceAfterShare = 0.75;
// After this share of the duration a single canary answer is enough if the
// exposure limit has capacity for all remaining requests. Otherwise one in
// 1,000 good versions of services with 2 requests per second, which may see no
// second request for 4 s, would be rolled back.
inline constexpr double kReplaceWithFewAnswersAfterShare = 0.85;
// A rollout without enough answers is rolled back after this share of its
// duration.
inline constexpr double kRollBackAfterShare = 0.95;
// A rollout with enough good answers may be late, since several leader changes
// can delay its steps, but the rollout is rolled back after this multiple of
// its duration.
inline constexpr double kRollBackLateAfterShare = 1.5;
// Relative scores from which on the rollout waits for more answers before its
// next step. When both versions fail in 30 % of their answers for four seconds,
// the bound 1/3 would leave 4 of 100 good versions without an evaluation in
// time; the bound 2/3 leaves none. The lower bound applies before canaries get
// nearly all requests and before they replace the baseline; without it a
// version with a fault on one route, in 6 of 100 answers, would be promoted.
inline constexpr double kMaximumScoreForStep = 2.0 / 3;
inline constexpr double kMaximumScoreBeforeFull = 1.0 / 3;
// Number of canary answers needed to evaluate a version. A version that fails
// in a third of its answers shows no failure in 20 answers with a probability
// of 0.03 %.
inline constexpr std::uint64_t kMinimumAnswers = 20;
// How long a new leader waits for routers' reports before it takes a step,
// bounded by a share of the rollout's duration. Routers report once per second,
// so those that are still missing after this time are partitioned.
inline constexpr Duration kReportTimeout = milliseconds(1500);
inline constexpr double kReportTimeoutShare = 0.125;
// Minimum duration of a confirmed phase, also after a leader change, so that
// routers can report the answers of the phase. It is bounded by a share of the
// rollout's duration.
inline constexpr Duration kMinimumPhaseDuration = seconds(1);
inline constexpr double kMinimumPhaseShare = 0.08;
// How long the rollout waits for requests in flight at the replaced versions,
// bounded by a share of the rollout's duration. The wait ends early once all
// routers report that none is in flight.
inline constexpr Duration kDrainTimeout = milliseconds(1500);
inline constexpr double kDrainTimeoutShare = 0.125;

// Returns the canaries' share in the phase kObserving, in thousandths.
std::uint32_t ObservingShare(const ExposureLimit& limit);

// Whether routers may use a share above the base share: this leader has
// received the counts of the answers so far, the canaries do no worse than the
// baseline version, and their score is below kMaximumScoreForStep.
bool MayRenewShare(const Rollout& rollout, const RolloutFacts& facts);

// Returns the step that is due, or nothing if the rollout stays as it is.
std::optional<RolloutStep> NextStep(const Rollout& rollout,
                                    const RolloutFacts& facts,
                                    const ExposureLimit& limit);

}  // namespace juniperway::rollout
