// Tests the schedule of a graceful shutdown.
#include "common/forwarding/stop_plan.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

const MonotonicTime kBegan(seconds(1000));
constexpr Duration kNotice = milliseconds(2500);

TEST_CASE("an eighth of the timeout is reserved for the end of the process") {
  const StopPlan plan = PlanStop(kBegan, seconds(6), kNotice);
  CHECK(plan.abandon_at == kBegan + milliseconds(5250));
}

TEST_CASE("new requests are accepted for the notice time") {
  const StopPlan plan = PlanStop(kBegan, seconds(6), kNotice);
  CHECK(plan.accept_until == kBegan + kNotice);
}

TEST_CASE("new requests are accepted for at most half of the timeout") {
  const StopPlan plan = PlanStop(kBegan, seconds(2), kNotice);
  CHECK(plan.accept_until == kBegan + seconds(1));
  CHECK(plan.abandon_at > plan.accept_until);
}

}  // namespace
}  // namespace juniperway::forwarding
