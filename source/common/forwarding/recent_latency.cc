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
  const Sample& oldest = samples_.at(next_);
  const bool frequent = oldest.taken != MonotonicTime::min() &&
                        now - oldest.taken <= kFrequentWindow;
  const std::size_t count = frequent ? kSamples : kInfrequentSamples;
  std::array<Duration, kSamples> latencies{};
  for (std::size_t age = 0; age < count; ++age) {
    const Sample& sample = samples_.at((next_ + kSamples - 1 - age) % kSamples);
    const bool counts = sample.taken != MonotonicTime::min() &&
                        now - sample.taken <= kSampleTimeToLive;
    latencies.at(age) = counts ? sample.latency : assumed;
  }
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(count / 2);
  std::nth_element(latencies.begin(), middle,
                   latencies.begin() + static_cast<std::ptrdiff_t>(count));
  return *middle;
}

}  // namespace juniperway::forwarding
