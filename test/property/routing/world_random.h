// Seeded random generator of a simulated world.
#pragma once

#include <cstdint>
#include <random>

#include "common/base/time.h"

namespace juniperway::routing::testing {

// Owned by a World; the same seed gives the same sequence of draws.
class WorldRandom {
 public:
  explicit WorldRandom(std::uint64_t seed) : engine_(seed) {}

  // Draws a random integer from 0 to `bound` - 1.
  std::uint64_t Draw(std::uint64_t bound) { return engine_() % bound; }
  // Returns true with the given probability, from 0 to 1.
  bool Chance(double probability) {
    constexpr std::uint64_t kResolution = 1'000'000;
    return static_cast<double>(Draw(kResolution)) < probability * kResolution;
  }
  // Draws a random duration from `low_ms` to `high_ms`, in steps of a
  // microsecond.
  Duration Between(int low_ms, int high_ms) {
    return microseconds(low_ms * 1000 +
                        static_cast<int>(Draw((high_ms - low_ms) * 1000 + 1)));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace juniperway::routing::testing
