#include "common/owner/circuit_breaker.h"

#include <algorithm>

namespace juniperway::owner {
namespace {

constexpr std::uint32_t kFailuresToOpen = 5;
constexpr Duration kInitialBackoff = milliseconds(100);
constexpr Duration kMaximumBackoff = seconds(5);

}  // namespace

CircuitBreaker::CircuitBreaker(std::uint64_t seed) : random_(seed) {}

void CircuitBreaker::SetMayOpen(bool may_open) {
  may_open_ = may_open;
  if (!may_open) {
    open_ = false;
    consecutive_failures_ = 0;
  }
}

void CircuitBreaker::OnAnswer() {
  open_ = false;
  consecutive_failures_ = 0;
  backoff_ = Duration::zero();
}

void CircuitBreaker::OnFailure(MonotonicTime now) {
  ++consecutive_failures_;
  if (!may_open_) {
    return;
  }
  // Failures of subqueries that were sent before the breaker opened do not
  // lengthen the backoff.
  if (State(now) == BreakerState::kHalfOpen ||
      (!open_ && consecutive_failures_ >= kFailuresToOpen)) {
    Open(now);
  }
}

void CircuitBreaker::EndBackoff(MonotonicTime now) {
  if (open_) {
    retry_at_ = std::min(retry_at_, now);
  }
}

BreakerState CircuitBreaker::State(MonotonicTime now) const {
  if (!open_) {
    return BreakerState::kClosed;
  }
  return now < retry_at_ ? BreakerState::kOpen : BreakerState::kHalfOpen;
}

void CircuitBreaker::Open(MonotonicTime now) {
  open_ = true;
  backoff_ = backoff_ == Duration::zero()
                 ? kInitialBackoff
                 : std::min(kMaximumBackoff, backoff_ * 2);
  // The jitter spans 0.5 to 1.5 times the backoff, so that owners do not retry
  // at the same time.
  std::uniform_int_distribution<Duration::rep> jitter(backoff_.count() / 2,
                                                      backoff_.count() * 3 / 2);
  retry_at_ = now + Duration(jitter(random_));
}

}  // namespace juniperway::owner
