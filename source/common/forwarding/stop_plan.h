// The moments of a router's planned stop, worked out from the time that the
// process gets before it is killed. Pure.
#pragma once

#include "common/base/time.h"

namespace juniperway::forwarding {

struct StopPlan {
  // Until then new requests are taken: load balancers take a while to see that
  // this router is not ready any more.
  MonotonicTime notice_until;
  // From then on what is under way is answered as given up. What is left of the
  // time is for writing these answers, leaving the fleet and ending.
  MonotonicTime abandon_at;
};

// @param began when the stop was asked for.
// @param timeout until the process is killed.
// @param notice how long callers take to notice at most.
StopPlan PlanStop(MonotonicTime began, Duration timeout, Duration notice);

}  // namespace juniperway::forwarding
