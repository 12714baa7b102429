// Times of a router's graceful shutdown, computed from the time until the
// process is killed. Pure functions and values.
#pragma once

#include "common/base/time.h"

namespace juniperway::forwarding {

// The schedule of one graceful shutdown; RouterServer owns it.
struct StopPlan {
  // The router accepts new requests until this time: load balancers notice only
  // after a delay that the router is no longer ready.
  MonotonicTime accept_until;
  // At this time the router abandons the requests in flight and answers their
  // clients. The remaining time is for writing these answers, leaving the fleet
  // and ending the process.
  MonotonicTime abandon_at;
};

// Computes the schedule of a graceful shutdown.
// @param began when the shutdown was requested.
// @param timeout time from `began` until the process is killed.
// @param notice maximum time that load balancers take to notice the shutdown.
StopPlan PlanStop(MonotonicTime began, Duration timeout, Duration notice);

}  // namespace juniperway::forwarding
