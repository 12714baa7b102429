#include "common/rollout/rollout.h"

namespace juniperway::rollout {

const char* NameOf(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kComplete:
      return "complete";
    case RolloutState::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

const char* NameOf(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kObserving:
      return "observing";
    case RolloutPhase::kWidening:
      return "widening";
    case RolloutPhase::kFull:
      return "full";
    case RolloutPhase::kReplacing:
      return "replacing";
  }
  return "unknown";
}

}  // namespace juniperway::rollout
