#include "common/forwarding/client_timeout_estimator.h"

#include <algorithm>

namespace juniperway::forwarding {

Duration ClientTimeoutEstimator::EstimateElapsed(Duration allowed,
                                                 MonotonicTime now) {
  // The first request starts the first window.
  const bool window_ended =
      window_start_ == MonotonicTime::min() || now - window_start_ >= kWindow;
  if (window_ended) {
    previous_maximum_ = maximum_;
    maximum_ = Duration(0);
    window_start_ = now;
  }
  maximum_ = std::max(maximum_, allowed);
  return std::max(maximum_, previous_maximum_) - allowed;
}

}  // namespace juniperway::forwarding
