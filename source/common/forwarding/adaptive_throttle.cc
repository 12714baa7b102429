#include "common/forwarding/adaptive_throttle.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace juniperway::forwarding {

void AdaptiveThrottle::Advance(MonotonicTime now) {
  const std::chrono::duration<double> passed = now - advanced_to_;
  const std::chrono::duration<double> memory = kMemory;
  const double kept = std::exp(-passed / memory);
  ended_ *= kept;
  turned_away_ *= kept;
  share_ = std::min(1.0, share_ + kGrowth * passed.count());
  advanced_to_ = now;
}

bool AdaptiveThrottle::Admit(MonotonicTime now) {
  Advance(now);
  std::uniform_real_distribution<double> draw(0, 1);
  return share_ >= 1 || draw(random_) < share_;
}

void AdaptiveThrottle::OnEnded(bool turned_away, MonotonicTime now) {
  Advance(now);
  ++ended_;
  if (!turned_away) {
    return;
  }
  ++turned_away_;
  if (turned_away_ < kFewestTurnedAway) {
    return;
  }
  const double fall = std::min(kLargestFall, kFall / ended_);
  share_ = std::max(kSmallestShare, share_ * (1 - fall));
}

}  // namespace juniperway::forwarding
