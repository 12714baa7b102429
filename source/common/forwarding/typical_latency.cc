#include "common/forwarding/typical_latency.h"

#include <algorithm>

namespace juniperway::forwarding {
namespace {

// Lower bound of the estimate. An estimate of zero could not grow by a ratio.
constexpr Duration kMinimumEstimate = microseconds(100);

}  // namespace

void TypicalLatency::Record(Duration latency) {
  if (!estimate_) {
    estimate_ = std::max(latency, kMinimumEstimate);
    return;
  }
  const double ratio = latency > *estimate_
                           ? 1 + kRelativeStep * kQuantile
                           : 1 - kRelativeStep * (1 - kQuantile);
  const Duration moved(static_cast<Duration::rep>(
      static_cast<double>(estimate_->count()) * ratio));
  estimate_ = std::max(moved, kMinimumEstimate);
}

}  // namespace juniperway::forwarding
