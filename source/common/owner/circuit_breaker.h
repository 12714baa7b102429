// Stops sending to a backend after consecutive failures, and sends a trial
// subquery after a growing backoff with jitter. The code does no I/O.
#pragma once

#include <cstdint>
#include <random>

#include "common/base/time.h"

namespace juniperway::owner {

enum class BreakerState {
  kClosed,    // Subqueries are sent.
  kOpen,      // No subquery is sent until retry_at().
  kHalfOpen,  // The backoff is over: one subquery at a time is sent as a trial.
};

// Circuit breaker of one backend, owned by its BackendGate.
class CircuitBreaker {
 public:
  // @param seed seed of the jitter.
  explicit CircuitBreaker(std::uint64_t seed);

  // Sets whether the breaker may open. `false` closes the breaker and keeps it
  // closed, because too large a share of the replicas would be ejected
  // otherwise.
  void SetMayOpen(bool may_open);

  // Closes the breaker and resets the backoff, because the backend answered,
  // with any status.
  void OnAnswer();

  // Records that the connection could not be opened or broke, or that no answer
  // came before the deadline.
  void OnFailure(MonotonicTime now);

  // Ends the current backoff, because the backend answered a probe.
  void EndBackoff(MonotonicTime now);

  BreakerState State(MonotonicTime now) const;

  // Returns the end of the backoff. The value is meaningful only while the
  // breaker is open.
  MonotonicTime retry_at() const { return retry_at_; }

 private:
  void Open(MonotonicTime now);

  std::mt19937_64 random_;
  bool may_open_ = true;
  bool open_ = false;
  std::uint32_t consecutive_failures_ = 0;
  Duration backoff_{0};
  MonotonicTime retry_at_;
};

}  // namespace juniperway::owner
