#include "common/owner/circuit_breaker.h"

#include <doctest/doctest.h>

#include <set>

#include "unit/owner/gate_fixture.h"

namespace juniperway::owner::testing {
namespace {

void FailUntilOpen(CircuitBreaker& breaker, MonotonicTime now) {
  for (int i = 0; i < 100 && breaker.State(now) != BreakerState::kOpen; ++i) {
    breaker.OnFailure(now);
  }
  REQUIRE(breaker.State(now) == BreakerState::kOpen);
}

TEST_CASE("An answer between failures keeps the breaker closed") {
  CircuitBreaker breaker(1);
  for (int i = 0; i < 100; ++i) {
    breaker.OnFailure(At(i));
    breaker.OnFailure(At(i));
    breaker.OnAnswer();
  }
  CHECK(breaker.State(At(100)) == BreakerState::kClosed);
}

TEST_CASE("The backoff grows, is bounded, and differs between owners") {
  CircuitBreaker breaker(1);
  FailUntilOpen(breaker, At(0));
  const Duration first = breaker.retry_at() - At(0);
  Duration longest = first;
  MonotonicTime now = breaker.retry_at();
  for (int i = 0; i < 20; ++i) {
    REQUIRE(breaker.State(now) == BreakerState::kHalfOpen);
    breaker.OnFailure(now);
    longest = std::max(longest, breaker.retry_at() - now);
    now = breaker.retry_at();
  }
  CHECK(longest > first * 5);
  CHECK(longest <= seconds(8));

  std::set<MonotonicTime> retries;
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    CircuitBreaker other(seed);
    FailUntilOpen(other, At(0));
    retries.insert(other.retry_at());
  }
  CHECK(retries.size() > 4);
}

TEST_CASE("Late failures of earlier searches do not lengthen the backoff") {
  CircuitBreaker breaker(1);
  FailUntilOpen(breaker, At(0));
  const MonotonicTime retry_at = breaker.retry_at();
  breaker.OnFailure(At(1));
  CHECK(breaker.retry_at() == retry_at);
}

TEST_CASE("An answer closes the breaker") {
  CircuitBreaker breaker(1);
  FailUntilOpen(breaker, At(0));
  breaker.OnAnswer();
  CHECK(breaker.State(At(0)) == BreakerState::kClosed);
}

TEST_CASE("A breaker that may not open closes and stays closed") {
  CircuitBreaker breaker(1);
  FailUntilOpen(breaker, At(0));
  breaker.SetMayOpen(false);
  CHECK(breaker.State(At(0)) == BreakerState::kClosed);
  for (int i = 0; i < 100; ++i) {
    breaker.OnFailure(At(1));
  }
  CHECK(breaker.State(At(1)) == BreakerState::kClosed);
}

}  // namespace
}  // namespace juniperway::owner::testing
