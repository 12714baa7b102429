#include "common/base/time.h"

#include <glog/logging.h>

#include <ctime>

namespace juniperway {

MonotonicTime ReadMonotonicClock() {
  // Not std::chrono::steady_clock, which stands while the machine is suspended:
  // a leader that wakes would take its lease for valid while another one leads
  // (property.raft/planted_defect).
  timespec time{};
  PCHECK(clock_gettime(CLOCK_BOOTTIME, &time) == 0);
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime ReadWallClock() {
  return WallTime(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

}  // namespace juniperway
