#include "common/rollout/answer_counts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace juniperway::rollout {
namespace {

constexpr Duration kFirstStepUpperBound = microseconds(500);
constexpr double kStepsPerOctave = 2;

}  // namespace

std::size_t LatencyStepOf(Duration latency) {
  if (latency <= kFirstStepUpperBound) {
    return 0;
  }
  const double octaves =
      std::log2(static_cast<double>(latency.count()) /
                static_cast<double>(kFirstStepUpperBound.count()));
  const auto step =
      static_cast<std::size_t>(std::ceil(octaves * kStepsPerOctave));
  return std::min(step, kLatencySteps - 1);
}

std::uint32_t AnswerCounts::answered() const {
  return std::accumulate(timed.begin(), timed.end(), untimed);
}

std::uint32_t AnswerCounts::CountFromStep(std::size_t step) const {
  const std::size_t first = std::min(step, kLatencySteps);
  return std::accumulate(timed.begin() + static_cast<std::ptrdiff_t>(first),
                         timed.end(), std::uint32_t{0});
}

AnswerCounts& AnswerCounts::operator+=(const AnswerCounts& other) {
  failed += other.failed;
  untimed += other.untimed;
  for (std::size_t step = 0; step < kLatencySteps; ++step) {
    timed[step] += other.timed[step];
  }
  return *this;
}

}  // namespace juniperway::rollout
