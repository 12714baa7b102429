#include "common/routing/latency_tracker.h"

#include <algorithm>
#include <cmath>

namespace juniperway::routing {
namespace {

constexpr double kBucketRatio = 1.05;

}  // namespace

void LatencyTracker::Record(Duration latency) {
  ++counts_[BucketOf(latency)];
  if (++total_ >= kDecayThreshold) {
    HalveCounts();
  }
}

std::optional<Duration> LatencyTracker::Quantile(double quantile) const {
  if (total_ < kMinimumSamples) {
    return std::nullopt;
  }
  const double bounded = std::clamp(quantile, 0.0, 1.0);
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(bounded * static_cast<double>(total_)));
  std::uint64_t cumulative_count = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    cumulative_count += counts_[bucket];
    if (cumulative_count >= rank && cumulative_count > 0) {
      return MiddleOf(bucket);
    }
  }
  return MiddleOf(kBuckets - 1);
}

std::size_t LatencyTracker::BucketOf(Duration latency) {
  const Duration bounded =
      std::clamp(latency, kMinimumLatency, kMaximumLatency);
  const double ratio = static_cast<double>(bounded.count()) /
                       static_cast<double>(kMinimumLatency.count());
  const auto bucket =
      static_cast<std::size_t>(std::log(ratio) / std::log(kBucketRatio));
  return std::min(bucket, kBuckets - 1);
}

Duration LatencyTracker::MiddleOf(std::size_t bucket) {
  const double exponent = static_cast<double>(bucket) + 0.5;
  const double value = static_cast<double>(kMinimumLatency.count()) *
                       std::pow(kBucketRatio, exponent);
  return Duration(std::llround(value));
}

void LatencyTracker::HalveCounts() {
  total_ = 0;
  for (std::uint32_t& count : counts_) {
    count /= 2;
    total_ += count;
  }
}

}  // namespace juniperway::routing
