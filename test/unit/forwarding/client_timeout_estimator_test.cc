// Tests the estimate of how long ago a client sent a request for the first
// time.
#include "common/forwarding/client_timeout_estimator.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

constexpr MonotonicTime kNow{seconds(100)};

TEST_CASE("a shorter timeout counts as a retry of an earlier request") {
  ClientTimeoutEstimator estimate;
  CHECK(estimate.EstimateElapsed(seconds(3), kNow) == Duration(0));
  CHECK(estimate.EstimateElapsed(seconds(2), kNow) == seconds(1));
  CHECK(estimate.EstimateElapsed(seconds(3), kNow) == Duration(0));
}

TEST_CASE("a long timeout that does not come again expires") {
  ClientTimeoutEstimator estimate;
  estimate.EstimateElapsed(seconds(12), kNow);
  MonotonicTime now = kNow;
  for (int i = 0; i < 3; ++i) {
    now += ClientTimeoutEstimator::kWindow;
    estimate.EstimateElapsed(seconds(3), now);
  }
  CHECK(estimate.EstimateElapsed(seconds(3), now) == Duration(0));
}

TEST_CASE("the maximum timeout of a window counts in the next one too") {
  ClientTimeoutEstimator estimate;
  estimate.EstimateElapsed(seconds(3), kNow);
  CHECK(estimate.EstimateElapsed(
            seconds(2), kNow + ClientTimeoutEstimator::kWindow) == seconds(1));
}

}  // namespace
}  // namespace juniperway::forwarding
