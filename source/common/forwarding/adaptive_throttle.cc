#include "common/forwarding/adaptive_throttle.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace juniperway::forwarding {

void AdaptiveThrottle::Advance(MonotonicTime now) {
  const std::chrono::duration<double> passed = now - advanced_to_;
  const std::chrono::duration<double> decay_time = kDecayTime;
  const double factor = std::exp(-passed / decay_time);
  ended_ *= factor;
  shed_ *= factor;
  share_ = std::min(1.0, share_ + kGrowthPerSecond * passed.count());
  advanced_to_ = now;
}

bool AdaptiveThrottle::Admit(MonotonicTime now) {
  Advance(now);
  std::uniform_real_distribution<double> draw(0, 1);
  return share_ >= 1 || draw(random_) < share_;
}

void AdaptiveThrottle::OnEnded(bool shed, MonotonicTime now) {
  Advance(now);
  ++ended_;
  if (!shed) {
    return;
  }
  ++shed_;
  if (shed_ < kMinimumShedRequests) {
    return;
  }
  const double decrease = std::min(kMaximumDecrease, kDecreaseFactor / ended_);
  share_ = std::max(kMinimumShare, share_ * (1 - decrease));
}

}  // namespace juniperway::forwarding
