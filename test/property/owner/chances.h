// The seeded randomness of the simulated zone.
#pragma once

#include <cstdint>
#include <random>

#include "common/base/time.h"

namespace juniperway::owner::testing {

class Chances {
 public:
  explicit Chances(std::uint64_t seed) : random_(seed) {}

  // Both ends are possible.
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
