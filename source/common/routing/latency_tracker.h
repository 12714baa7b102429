// Streaming quantiles of a service's subquery latency, for hedging. A
// log-spaced histogram whose counts are halved now and then, so that old
// samples fade. Each bucket is 5 % wide and a quantile answers the bucket's
// geometric middle: the relative error of the value is at most 2.5 % between
// kLowest and kHighest; outside, the value is clamped.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/base/time.h"

namespace juniperway::routing {

class LatencyTracker {
 public:
  static constexpr Duration kLowest = microseconds(50);
  static constexpr Duration kHighest = seconds(60);
  // Below this many samples there is no quantile.
  static constexpr std::uint64_t kMinimumSamples = 32;
  // Counts are halved when their sum reaches this.
  static constexpr std::uint64_t kFadeAt = 8192;

  // @param latency of an answered subquery, or how long a cancelled one had
  //   been waited for (a lower bound: leaving it out would make the quantile
  //   fall with each hedge that wins).
  void Record(Duration latency);

  // @param quantile in [0, 1].
  // @return nothing before kMinimumSamples.
  std::optional<Duration> Quantile(double quantile) const;

 private:
  // ln(kHighest / kLowest) / ln(1.05), rounded up.
  static constexpr std::size_t kBuckets = 288;

  static std::size_t BucketOf(Duration latency);
  static Duration MiddleOf(std::size_t bucket);
  void Fade();

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint64_t total_ = 0;
};

}  // namespace juniperway::routing
