// Time as typed values. Decision code never reads a clock: it is handed a
// MonotonicTime (and, where expiry is agreed with callers, a WallTime).
#pragma once

#include <chrono>
#include <cstdint>

namespace juniperway {

// All durations in the product are microseconds unless a name says otherwise.
using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Tag of the machine's clock that never steps. It has no now(): only the I/O
// shell (ReadMonotonicClock) and the simulation may produce values.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};
using MonotonicTime = MonotonicClock::time_point;

// Tag of the clock shared with callers (Unix epoch, may step).
struct WallClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock, Duration>;
  static constexpr bool is_steady = false;
};
using WallTime = WallClock::time_point;

// Reads the machine's clock that never steps and counts the time in which the
// machine is suspended, as all others see it pass: a lease, or what else a
// process believes for a time, has then run out when it wakes. Timers of the
// event loop do not count that time and fire late; whoever handles one reads
// this clock again. For I/O shells only.
MonotonicTime ReadMonotonicClock();
// Reads the machine's system clock. For I/O shells only.
WallTime ReadWallClock();

// Whole milliseconds in `duration`, rounded down.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Seconds in `duration`, with fractions.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}
// The duration of so many seconds, rounded down to whole microseconds.
inline Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

}  // namespace juniperway
