// Tests the failure rate of recent attempts and its decay.
#include "common/forwarding/failure_rate.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

TEST_CASE("the rate follows the attempts and decays") {
  FailureRate rate;
  MonotonicTime now(seconds(100));
  CHECK(rate.Get(now) == 0);
  rate.Record(/*failed=*/true, now);
  CHECK(rate.Get(now) == doctest::Approx(0.5));
  for (int i = 0; i < 9; ++i) {
    rate.Record(/*failed=*/false, now);
  }
  CHECK(rate.Get(now) == doctest::Approx(1.0 / 11));
  const double before = rate.Get(now);
  now += 5 * FailureRate::kDecayTime;
  CHECK(rate.Get(now) < before / 10);
}

TEST_CASE("failures of a rarely used backend count for longer than a backoff") {
  FailureRate rate;
  MonotonicTime now(seconds(100));
  for (int i = 0; i < 5; ++i) {
    rate.Record(/*failed=*/i % 5 < 3, now);
    now += milliseconds(600);
  }
  CHECK(rate.Get(now + seconds(3)) > 0.25);
}

}  // namespace
}  // namespace juniperway::forwarding
