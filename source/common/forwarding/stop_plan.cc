#include "common/forwarding/stop_plan.h"

#include <algorithm>

namespace juniperway::forwarding {
namespace {

// An eighth of the timeout is reserved for ending the process.
constexpr int kReserveDivisor = 8;
// The router accepts new requests for at most half of the timeout.
constexpr int kNoticeDivisor = 2;

}  // namespace

StopPlan PlanStop(MonotonicTime began, Duration timeout, Duration notice) {
  StopPlan plan;
  plan.accept_until = began + std::min(notice, timeout / kNoticeDivisor);
  plan.abandon_at = began + timeout - timeout / kReserveDivisor;
  return plan;
}

}  // namespace juniperway::forwarding
