// A roll-out: the order to move a service from the versions of its back ends
// that run now to another one, and how far that has come. Pure types.
//
// Back ends of the target version are canaries until the roll-out is decided.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "common/base/time.h"

namespace juniperway::rollout {

// Names one order; it grows with each order of the fleet.
using RolloutNumber = std::uint64_t;

enum class RolloutState : std::uint8_t {
  kRunning = 0,
  // All requests go to the target version.
  kComplete = 1,
  // No request goes to the target version.
  kRolledBack = 2,
};

// How much of the service's requests canaries get while the roll-out runs.
enum class RolloutPhase : std::uint8_t {
  // A share that cannot do much harm.
  kObserving = 0,
  // More, so that a fault under load shows.
  kWidening = 1,
  // Nearly all first attempts; the other version gets what it takes to show how
  // long it would take.
  kFull = 2,
  // The replaced versions get nothing, but are there still; what they work on
  // ends.
  kReplacing = 3,
};

inline constexpr std::uint32_t kWholePermille = 1000;
// Share of canaries in the phase kFull. What the other version gets has to show
// within half a second whether answers have become slower in general.
inline constexpr std::uint32_t kFullPermille = 900;

// What the fleet may send to canaries that turn out bad, summed over all
// routers, from the order to the end of its duration.
struct ExposureLimit {
  // Of all requests that reach the service.
  double share = 0.1;
  // Requests besides.
  double slack = 10;
};

// As replicated.
struct Rollout {
  RolloutNumber number = 0;
  std::string target_version;
  // Versions of the service's back ends when it was ordered, without the
  // target.
  std::set<std::string> replaced_versions;
  // By the leader's clock.
  WallTime ordered_at{};
  Duration duration{};
  RolloutState state = RolloutState::kRunning;
  RolloutPhase phase = RolloutPhase::kObserving;
  // By the leader's clock.
  WallTime phase_began_at{};
  // Answers of canaries that the leader knew of then.
  std::uint64_t answers_before_phase = 0;
  // Share of each router's requests that goes to canaries, in thousandths.
  std::uint32_t share_permille = 0;
  // Share of a router whose share no leader renews (canary_allowance.h).
  std::uint32_t base_share_permille = 0;
  // Revision of its last change.
  std::uint64_t revision = 0;
  // The change that ordered it.
  std::string change_id;
  // Why it was rolled back.
  std::string reason;

  bool running() const { return state == RolloutState::kRunning; }
  bool operator==(const Rollout&) const = default;
};

// By service.
using Rollouts = std::map<std::string, Rollout>;

// Whether a back end of this version gets no new work.
inline bool IsWithdrawn(const Rollout& rollout, const std::string& version) {
  const bool is_target = version == rollout.target_version;
  if (rollout.state == RolloutState::kRolledBack) {
    return is_target;
  }
  const bool replaces = rollout.state == RolloutState::kComplete ||
                        rollout.phase == RolloutPhase::kReplacing;
  return replaces && rollout.replaced_versions.contains(version);
}

// Whether back ends of this version get a limited share of the requests.
inline bool IsCanary(const Rollout& rollout, const std::string& version) {
  return rollout.running() && version == rollout.target_version;
}

const char* NameOf(RolloutState state);
const char* NameOf(RolloutPhase phase);

}  // namespace juniperway::rollout
