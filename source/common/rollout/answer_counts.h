// Counts of how attempts at a group of backends ended: failures, and a latency
// histogram of the answers. Routers fill the counts (AnswerTally) and report
// them to the leader (VersionComparison). Plain values without I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "common/base/time.h"
#include "common/rollout/rollout.h"

namespace juniperway::rollout {

// Number of latency steps. Two steps make an octave (a doubling); step 0 covers
// latencies up to 0.5 ms, and the last step covers all latencies above 16.4 s.
inline constexpr std::size_t kLatencySteps = 32;

// Returns the step that contains the latency.
std::size_t LatencyStepOf(Duration latency);

struct AnswerCounts {
  std::uint32_t failed = 0;
  // Number of answers whose latency does not depend on the version, because the
  // backend was cold or lies in another region.
  std::uint32_t untimed = 0;
  std::array<std::uint32_t, kLatencySteps> timed{};

  std::uint32_t answered() const;
  std::uint32_t total() const { return failed + answered(); }
  // Returns the number of timed answers in this step or a higher one.
  std::uint32_t CountFromStep(std::size_t step) const;

  AnswerCounts& operator+=(const AnswerCounts& other);
  bool operator==(const AnswerCounts&) const = default;
};

// The key under which answers are counted separately.
struct AnswerGroup {
  std::string service;
  std::string route;
  bool canary = false;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AnswerGroup&) const = default;
};

// A router's counts of one group since its process learned of the rollout. The
// counts are totals, so the next report makes up for a lost one.
struct AnswerReport {
  AnswerGroup group;
  RolloutNumber rollout = 0;
  AnswerCounts counts;
};

}  // namespace juniperway::rollout
