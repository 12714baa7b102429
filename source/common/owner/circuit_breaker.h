// Stops sending to a back end that fails again and again, and tries it again
// after a growing, jittered pause.
#pragma once

#include <cstdint>
#include <random>

#include "common/base/time.h"

namespace juniperway::owner {

enum class BreakerState {
  kClosed,    // Traffic flows.
  kOpen,      // Nothing is sent until retry_at().
  kHalfOpen,  // The pause is over: one subquery at a time tries it.
};

class CircuitBreaker {
 public:
  // @param seed of the jitter.
  explicit CircuitBreaker(std::uint64_t seed);

  // False keeps the breaker closed, and closes it: too large a share of the
  // replicas would be out.
  void SetMayOpen(bool may_open);

  // The back end gave an answer, whatever it said.
  void OnAnswer();

  // No connection, a broken one, or no answer at all within the deadline.
  void OnFailure(MonotonicTime now);

  // There is a sign that the back end is back: ends a pause under way.
  void AllowTrial(MonotonicTime now);

  BreakerState State(MonotonicTime now) const;

  // End of the pause. Meaningful while open.
  MonotonicTime retry_at() const { return retry_at_; }

 private:
  void Open(MonotonicTime now);

  std::mt19937_64 random_;
  bool may_open_ = true;
  bool open_ = false;
  std::uint32_t consecutive_failures_ = 0;
  Duration pause_{0};
  MonotonicTime retry_at_;
};

}  // namespace juniperway::owner
