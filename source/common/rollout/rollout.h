// The replicated state of a rollout: the gradual change of a service from the
// versions that its backends run to a target version. Plain values without I/O.
//
// Backends of the target version are canaries until the rollout is complete or
// rolled back.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "common/base/time.h"

namespace juniperway::rollout {

// Identifies one rollout. Each new rollout in the fleet gets a higher number.
using RolloutNumber = std::uint64_t;

enum class RolloutState : std::uint8_t {
  kRunning = 0,
  // All requests go to the target version.
  kComplete = 1,
  // No request goes to the target version.
  kRolledBack = 2,
};

// How large a share of the service's requests the canaries get while the
// rollout is running.
enum class RolloutPhase : std::uint8_t {
  // The canaries get so small a share that a bad version stays within the
  // exposure limit.
  kObserving = 0,
  // The canaries get a larger share of the requests, which reveals faults that
  // appear only under load.
  kWidening = 1,
  // The canaries get the first attempt of nearly all requests. The baseline
  // version keeps enough requests to measure its latency for the comparison.
  kFull = 2,
  // The replaced versions get no new requests, but their backends still run and
  // finish the requests in flight.
  kReplacing = 3,
};

inline constexpr std::uint32_t kWholePermille = 1000;
// Share of the requests that goes to the canaries in the phase kFull. The
// remaining 100 per mille go to the baseline version and must show within half
// a second whether its answers have become slower too.
inline constexpr std::uint32_t kFullPermille = 900;

// Bounds how many requests the fleet may send to a bad version: share x
// requests + slack. Both numbers of requests are sums over all routers from the
// order to the end of the rollout's duration.
struct ExposureLimit {
  // Share of all requests that reach the service.
  double share = 0.1;
  // Number of requests in addition to the share.
  double slack = 10;
};

// One rollout as the control group replicates it.
struct Rollout {
  RolloutNumber number = 0;
  std::string target_version;
  // Versions of the service's backends at the time of the order, except the
  // target version.
  std::set<std::string> replaced_versions;
  // By the leader's clock.
  WallTime ordered_at{};
  Duration duration{};
  RolloutState state = RolloutState::kRunning;
  RolloutPhase phase = RolloutPhase::kObserving;
  // By the leader's clock.
  WallTime phase_began_at{};
  // Number of canary answers that the leader knew of when the phase began.
  std::uint64_t answers_before_phase = 0;
  // Share of each router's requests that goes to the canaries, in thousandths.
  std::uint32_t share_permille = 0;
  // Share that a router uses while no leader renews the router's lease on
  // share_permille, in thousandths (canary_allowance.h).
  std::uint32_t base_share_permille = 0;
  // Revision of the control state in which the rollout last changed.
  std::uint64_t revision = 0;
  // Identifies the operator's change that ordered the rollout.
  std::string change_id;
  // Why the rollout was rolled back, for operators.
  std::string reason;

  bool running() const { return state == RolloutState::kRunning; }
  bool operator==(const Rollout&) const = default;
};

// Rollouts by service.
using Rollouts = std::map<std::string, Rollout>;

// Whether backends of this version get no new requests.
inline bool IsWithdrawn(const Rollout& rollout, const std::string& version) {
  const bool is_target = version == rollout.target_version;
  if (rollout.state == RolloutState::kRolledBack) {
    return is_target;
  }
  const bool replaces = rollout.state == RolloutState::kComplete ||
                        rollout.phase == RolloutPhase::kReplacing;
  return replaces && rollout.replaced_versions.contains(version);
}

// Whether backends of this version get a limited share of the requests.
inline bool IsCanary(const Rollout& rollout, const std::string& version) {
  return rollout.running() && version == rollout.target_version;
}

const char* NameOf(RolloutState state);
const char* NameOf(RolloutPhase phase);

}  // namespace juniperway::rollout
