#include "common/forwarding/recent_latency.h"

#include <algorithm>

namespace juniperway::forwarding {

void RecentLatency::Record(Duration latency, MonotonicTime sent,
                           MonotonicTime now) {
  if (sent < last_taken_) {
    return;
  }
  last_taken_ = now;
  samples_.at(next_) = {latency, now};
  next_ = (next_ + 1) % kSamples;
}

Duration RecentLatency::Median(MonotonicTime now, Duration assumed) const {
  std::array<Duration, kSamples> latencies{};
  std::ranges::transform(
      samples_, latencies.begin(), [&](const Sample& sample) {
        const bool counts = sample.taken != MonotonicTime::min() &&
                            now - sample.taken <= kMemory;
        return counts ? sample.latency : assumed;
      });
  const auto middle = latencies.begin() + kSamples / 2;
  std::ranges::nth_element(latencies, middle);
  return *middle;
}

}  // namespace juniperway::forwarding
