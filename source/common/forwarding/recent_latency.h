// RecentLatency is the median of the latest latencies of a backend. BackendPool
// owns one for each backend. With the median, a single pause does not make a
// backend count as slow. A slow backend is recognized after three slow answers
// of the latest five if answers are frequent, and after two of the latest three
// if they are rare: a third rare answer could take seconds to arrive. Callers
// pass the current time.
#pragma once

#include <array>
#include <cstddef>

#include "common/base/time.h"

namespace juniperway::forwarding {

// Median of the recent latencies of one backend.
class RecentLatency {
 public:
  // Both sample counts are odd, so that the median is a sample.
  static constexpr std::size_t kSamples = 5;
  // Number of samples used unless the last kSamples were taken within
  // kFrequentWindow.
  static constexpr std::size_t kInfrequentSamples = 3;
  static constexpr Duration kFrequentWindow = milliseconds(1500);
  // A sample expires after this time, and `assumed` replaces it.
  static constexpr Duration kSampleTimeToLive = seconds(8);

  // Adds a sample. Ignores an attempt that was sent before the last sample was
  // taken, so that all attempts in flight during one pause give one sample.
  void Record(Duration latency, MonotonicTime sent, MonotonicTime now);
  // Returns the median of the latest kSamples or kInfrequentSamples samples.
  // @param assumed replaces each missing or expired sample.
  Duration Median(MonotonicTime now, Duration assumed) const;

 private:
  struct Sample {
    Duration latency{};
    MonotonicTime taken = MonotonicTime::min();
  };

  // Ring buffer; the oldest sample is at next_.
  std::array<Sample, kSamples> samples_{};
  MonotonicTime last_taken_ = MonotonicTime::min();
  // Index of the next sample to write.
  std::size_t next_ = 0;
};

}  // namespace juniperway::forwarding
