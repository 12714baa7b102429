// How long ago a client asked for the first time.
#include "common/forwarding/usual_deadline.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

constexpr MonotonicTime kNow{seconds(100)};

TEST_CASE("a request with less time than usual was tried before") {
  UsualDeadline usual;
  CHECK(usual.ElapsedBefore(seconds(3), kNow) == Duration(0));
  CHECK(usual.ElapsedBefore(seconds(2), kNow) == seconds(1));
  CHECK(usual.ElapsedBefore(seconds(3), kNow) == Duration(0));
}

TEST_CASE("a long deadline that does not come again is forgotten") {
  UsualDeadline usual;
  usual.ElapsedBefore(seconds(12), kNow);
  MonotonicTime now = kNow;
  for (int i = 0; i < 3; ++i) {
    now += UsualDeadline::kPeriod;
    usual.ElapsedBefore(seconds(3), now);
  }
  CHECK(usual.ElapsedBefore(seconds(3), now) == Duration(0));
}

TEST_CASE("what is usual outlasts one period") {
  UsualDeadline usual;
  usual.ElapsedBefore(seconds(3), kNow);
  CHECK(usual.ElapsedBefore(seconds(2), kNow + UsualDeadline::kPeriod) ==
        seconds(1));
}

}  // namespace
}  // namespace juniperway::forwarding
