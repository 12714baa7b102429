#include "common/forwarding/usual_deadline.h"

#include <algorithm>

namespace juniperway::forwarding {

Duration UsualDeadline::ElapsedBefore(Duration allowed, MonotonicTime now) {
  // The first request starts the first window.
  const bool over =
      period_began_ == MonotonicTime::min() || now - period_began_ >= kPeriod;
  if (over) {
    longest_before_ = longest_;
    longest_ = Duration(0);
    period_began_ = now;
  }
  longest_ = std::max(longest_, allowed);
  return std::max(longest_, longest_before_) - allowed;
}

}  // namespace juniperway::forwarding
