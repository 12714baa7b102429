// How long ago a client asked for the first time.
#include "common/forwarding/usual_deadline.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

constexpr MonotonicTime kNow{seconds(100)};

TEST_CASE("a request with less time than estimate was tried before") {
  UsualDeadline estimate;
  CHECK(estimate.ElapsedBefore(seconds(3), kNow) == Duration(0));
  CHECK(estimate.ElapsedBefore(seconds(2), kNow) == seconds(1));
  CHECK(estimate.ElapsedBefore(seconds(3), kNow) == Duration(0));
}

TEST_CASE("a long deadline that does not come again is forgotten") {
  UsualDeadline estimate;
  estimate.ElapsedBefore(seconds(12), kNow);
  MonotonicTime now = kNow;
  for (int i = 0; i < 3; ++i) {
    now += UsualDeadline::kWindow;
    estimate.ElapsedBefore(seconds(3), now);
  }
  CHECK(estimate.ElapsedBefore(seconds(3), now) == Duration(0));
}

TEST_CASE("what is estimate outlasts one period") {
  UsualDeadline estimate;
  estimate.ElapsedBefore(seconds(3), kNow);
  CHECK(estimate.ElapsedBefore(seconds(2), kNow + UsualDeadline::kWindow) ==
        seconds(1));
}

}  // namespace
}  // namespace juniperway::forwarding
