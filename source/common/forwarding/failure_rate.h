// FailureRate is the share of recent attempts at a backend that ended without a
// successful answer, for example because the backend shed or failed them.
// BackendPool owns one for each backend, and does not record abandoned
// attempts. Callers pass the current time.
//
// Backoffs and ejections mostly last less than one or two seconds. A router of
// a large fleet sends to a given backend at intervals of about that length, so
// a backoff or ejection has ended before the next request of the router to that
// backend. The failure rate decays more slowly and still affects that request.
#pragma once

#include "common/base/time.h"

namespace juniperway::forwarding {

// Exponentially decayed failure rate of one backend.
class FailureRate {
 public:
  // Time constant of the exponential decay. It spans several requests of a
  // router that sends two per second to a backend.
  static constexpr Duration kDecayTime = seconds(8);

  // Counts an attempt that has ended.
  void Record(bool failed, MonotonicTime now);

  // @return failure rate, 0 to 1. One successful attempt is added to the count,
  //   so that a single failure of a rarely used backend gives one half.
  double Get(MonotonicTime now) const;

  // Returns the decayed number of attempts that the rate is based on.
  double DecayedAttempts(MonotonicTime now) const {
    return ended_ * DecayFactor(now);
  }

 private:
  // Returns the factor by which the counts have decayed since the last recorded
  // attempt, 0 to 1.
  double DecayFactor(MonotonicTime now) const;

  MonotonicTime last_{};
  double failed_ = 0;
  double ended_ = 0;
};

}  // namespace juniperway::forwarding
