// How long a back end's answers take of late: the median of the last samples,
// so that one pause does not make a back end slow, and a slow one shows after a
// few: after three of five where answers come often, and after two of three
// where they are rare, because there three would take seconds. Pure.
#pragma once

#include <array>
#include <cstddef>

#include "common/base/time.h"

namespace juniperway::forwarding {

class RecentLatency {
 public:
  // Odd, as the next: the median is a sample.
  static constexpr std::size_t kSamples = 5;
  // So many decide unless all kSamples were taken within kOften.
  static constexpr std::size_t kRareSamples = 3;
  static constexpr Duration kOften = milliseconds(1500);
  // A sample counts for this long; after that `assumed` stands for it.
  static constexpr Duration kMemory = seconds(8);

  // An attempt that was sent before the last sample was taken tells of the same
  // moment and does not count again: all that are under way in a pause are one.
  void Record(Duration latency, MonotonicTime sent, MonotonicTime now);
  // @param assumed stands for each sample that there is not.
  Duration Median(MonotonicTime now, Duration assumed) const;

 private:
  struct Sample {
    Duration latency{};
    MonotonicTime taken = MonotonicTime::min();
  };

  // The oldest is at next_.
  std::array<Sample, kSamples> samples_{};
  MonotonicTime last_taken_ = MonotonicTime::min();
  // Where the next sample goes.
  std::size_t next_ = 0;
};

}  // namespace juniperway::forwarding
