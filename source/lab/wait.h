// Waiting on a condition, for scenario scripts.
#pragma once

#include <thread>

#include "common/base/time.h"

namespace juniperway::lab {

// Asks `condition` until it holds. @return false when it does not in time.
template <typename Condition>
bool WaitFor(Duration timeout, Condition condition,
             Duration interval = milliseconds(20)) {
  const MonotonicTime deadline = ReadMonotonicClock() + timeout;
  while (!condition()) {
    if (ReadMonotonicClock() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(interval);
  }
  return true;
}

}  // namespace juniperway::lab
