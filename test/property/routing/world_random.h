// Seeded chance of a simulated world.
#pragma once

#include <cstdint>
#include <random>

#include "common/base/time.h"

namespace juniperway::routing::testing {

class WorldRandom {
 public:
  explicit WorldRandom(std::uint64_t seed) : engine_(seed) {}

  // Below `bound`.
  std::uint64_t Draw(std::uint64_t bound) { return engine_() % bound; }
  bool Chance(double probability) {
    constexpr std::uint64_t kResolution = 1'000'000;
    return static_cast<double>(Draw(kResolution)) < probability * kResolution;
  }
  Duration Between(int low_ms, int high_ms) {
    return microseconds(low_ms * 1000 +
                        static_cast<int>(Draw((high_ms - low_ms) * 1000 + 1)));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace juniperway::routing::testing
