// Seeded source of random values for the simulated zone.
#pragma once

#include <cstdint>
#include <random>

#include "common/base/time.h"

namespace juniperway::owner::testing {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}

  // Draws a uniformly distributed value; both bounds are included.
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }
  bool Percent(int percent) { return Between(1, 100) <= percent; }
  Duration Delay(std::int64_t low_ms, std::int64_t high_ms) {
    return Duration(Between(low_ms * 1000, high_ms * 1000));
  }
  std::uint64_t Seed() { return random_(); }

 private:
  std::mt19937_64 random_;
};

}  // namespace juniperway::owner::testing
