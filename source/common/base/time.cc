#include "common/base/time.h"

namespace juniperway {

MonotonicTime ReadMonotonicClock() {
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime ReadWallClock() {
  return WallTime(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

}  // namespace juniperway
