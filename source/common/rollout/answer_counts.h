// How the attempts at a group of back ends ended: how many failed, and how long
// the others took. Pure types.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "common/base/time.h"
#include "common/rollout/rollout.h"

namespace juniperway::rollout {

// Latencies are counted by steps of a half octave: from 0.5 ms, the fastest
// that is told apart, to 23 s.
inline constexpr std::size_t kLatencySteps = 32;

// The step that a latency falls into.
std::size_t LatencyStepOf(Duration latency);

struct AnswerCounts {
  std::uint32_t failed = 0;
  // Answered, but how long it took says nothing about the version: the back end
  // was cold, or lies in another region.
  std::uint32_t untimed = 0;
  std::array<std::uint32_t, kLatencySteps> timed{};

  std::uint32_t answered() const;
  std::uint32_t total() const { return failed + answered(); }
  // That took this step or a higher one.
  std::uint32_t SlowerFrom(std::size_t step) const;

  AnswerCounts& operator+=(const AnswerCounts& other);
  bool operator==(const AnswerCounts&) const = default;
};

// What is counted apart from each other.
struct AnswerGroup {
  std::string service;
  std::string route;
  bool canary = false;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AnswerGroup&) const = default;
};

// What a router says of one group: all since its process knows of the roll-out,
// so that a report that is lost is made good by the next one.
struct AnswerReport {
  AnswerGroup group;
  RolloutNumber rollout = 0;
  AnswerCounts counts;
};

}  // namespace juniperway::rollout
