// Streaming quantiles of a service's subquery latency, used for the hedge
// delay. The tracker keeps a logarithmic histogram and halves all counts
// whenever their sum reaches kDecayThreshold, so that old samples lose weight.
// Each bucket is 5 % wide and a quantile is the geometric middle of its bucket:
// the relative error is at most 2.5 % between kMinimumLatency and
// kMaximumLatency. Latencies outside are clamped.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/base/time.h"

namespace juniperway::routing {

// Latency histogram of one service. Each ServiceState owns one, so there is one
// per service and front.
class LatencyTracker {
 public:
  static constexpr Duration kMinimumLatency = microseconds(50);
  static constexpr Duration kMaximumLatency = seconds(60);
  // Quantile returns nothing below this many samples.
  static constexpr std::uint64_t kMinimumSamples = 32;
  // Sum of all counts at which the tracker halves the counts.
  static constexpr std::uint64_t kDecayThreshold = 8192;

  // Adds one sample.
  // @param latency latency of an answered subquery, or the time that the front
  //   had waited for an abandoned one. The wait is a lower bound of the
  //   latency; without such samples the quantile would fall with each hedge
  //   that wins.
  void Record(Duration latency);

  // Returns a quantile of the recorded latencies.
  // @param quantile the quantile, in [0, 1].
  // @return nothing while there are fewer than kMinimumSamples samples.
  std::optional<Duration> Quantile(double quantile) const;

 private:
  // Number of histogram buckets:
  // ln(kMaximumLatency / kMinimumLatency) / ln(1.05), rounded up.
  static constexpr std::size_t kBuckets = 288;

  static std::size_t BucketOf(Duration latency);
  static Duration MiddleOf(std::size_t bucket);
  void HalveCounts();

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint64_t total_ = 0;
};

}  // namespace juniperway::routing
