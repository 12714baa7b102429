// When a roll-out goes on to its next phase, is complete, or is rolled back.
// Pure: decided from how much of its time has passed and what was found.
//
// The fleet may send a bad version (limit.share x all requests) + limit.slack
// requests until the end of the roll-out's duration. Three quarters of the
// share are spent while observing; the rest and the slack are there for a fault
// that shows only later or under load, until it is found and all routers know
// it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/base/time.h"
#include "common/rollout/rollout.h"

namespace juniperway::rollout {

// What the plan goes by.
struct RolloutFacts {
  // Since it was ordered.
  Duration elapsed{};
  // Since this leader hears the routers' reports of it.
  Duration watched{};
  // Most routers have reported everything to this leader.
  bool heard = false;
  // Since this leader saw that its phase is known.
  Duration in_phase{};
  // Since the step to its phase, by the wall clocks.
  Duration since_phase_began{};
  // The canaries do worse than the others (version_comparison.h).
  bool canaries_worse = false;
  // How far the comparison has come towards that: 1 is there.
  double suspicion = 0;
  std::uint64_t canary_answers = 0;
  std::uint64_t other_answers = 0;
  // Back ends of the target version that are listed and not leaving.
  std::size_t canaries = 0;
  // Most routers with a lease know of the last change of the roll-out; in the
  // last phase all of them do.
  bool known = false;
  // No router has anything under way at back ends that get no new work.
  bool released = false;
};

// A change of a roll-out that is under way.
struct RolloutStep {
  RolloutState state = RolloutState::kRunning;
  RolloutPhase phase = RolloutPhase::kObserving;
  std::uint32_t share_permille = 0;
  // Of kRolledBack.
  std::string reason;

  bool operator==(const RolloutStep&) const = default;
};

// The parts of a roll-out's time after which it goes on at the earliest. What
// remains is for the replaced versions to end their work.
inline constexpr double kWidenAfter = 0.45;
inline constexpr double kFullAfter = 0.6;
inline constexpr double kReplaceAfter = 0.75;
// From there on a few answers do, where the exposure limit has room for all
// requests: of 1,000 good versions with 2 requests a second one saw no second
// request in 4 s, and was undone (property.rollout/rollout).
inline constexpr double kReplaceWithFewAfter = 0.85;
// Without enough answers it waits, but no longer than this part.
inline constexpr double kUndoAfter = 0.95;
// One whose answers speak for it may be late, but ends within this time:
// leaders that were lost one after the other have held it up.
inline constexpr double kUndoLateAfter = 1.5;
// A version is taken for suspicious from these parts of the way to a verdict,
// and waits for more answers. At a third, 4 of 100 good versions whose service
// failed in 30 % of all answers for four seconds were not judged in time; at
// two thirds none. It is a third before canaries get nearly everything, and
// before they replace the others: a fault of one route in six of a hundred
// answers got there otherwise.
inline constexpr double kSuspicious = 2.0 / 3;
inline constexpr double kSuspiciousBeforeFull = 1.0 / 3;
// Answers of canaries without which nothing is known of the version. Of a
// version that fails in a third of its answers 20 show none in 0.03 %.
inline constexpr std::uint64_t kLeastAnswers = 20;
// A leader that is new knows nothing of the answers before the routers have
// reported. Those that it has not heard by then are cut off: each reports once
// a second.
inline constexpr Duration kReportTime = milliseconds(1500);
inline constexpr double kReportShare = 0.125;
// Every phase lasts this long at the least once it is known, also when a new
// leader is late: the answers that it brings have to come in.
inline constexpr Duration kLeastPhase = seconds(1);
inline constexpr double kLeastPhaseShare = 0.08;
// Work of the replaced versions that is under way when they get nothing more
// has this time to end, as far as the roll-out's own time has room for it. It
// is not waited for once all routers have said that nothing is under way.
inline constexpr Duration kLongestDrain = milliseconds(1500);
inline constexpr double kDrainShare = 0.125;

// First share of canaries, in thousandths.
std::uint32_t ObservingShare(const ExposureLimit& limit);

// Whether routers may use a share above the base share: the leader knows the
// answers so far, and they do not speak against the version.
bool MayRenewShare(const Rollout& rollout, const RolloutFacts& facts);

// @return nothing: it stays as it is for now.
std::optional<RolloutStep> NextStep(const Rollout& rollout,
                                    const RolloutFacts& facts,
                                    const ExposureLimit& limit);

}  // namespace juniperway::rollout
