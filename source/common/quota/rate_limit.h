// Limits on the request rate of a whole fleet of routers, for example for the
// requests of one tenant. Types only.
#pragma once

#include "common/base/time.h"

namespace juniperway::quota {

// Requests that may start over the whole fleet: a token bucket with this rate
// and depth.
struct RateLimit {
  // Requests a second; above 0.
  double per_second = 0;
  // Requests.
  double burst = 0;

  bool operator==(const RateLimit&) const = default;
};

// How far the fleet may exceed a limit: in any time of length `window` at most
// (per_second x window + burst) x (1 + overage) + slack requests. Without this
// tolerance, routers cannot keep tokens in reserve.
struct RateTolerance {
  Duration window = seconds(5);
  // Requests in excess of the limit, as a share of the limit.
  double overage = 0;
  // Requests.
  double slack = 0;
};

// How long a holder uses a lease, counted from the report that requested it.
// This is shorter than the time for which a router stays a member after its
// last heartbeat (4 s of lease and 2 s until it is removed,
// control/lease_table.h), so that only members hold leases.
inline constexpr Duration kRateLeaseDuration = milliseconds(5500);
// A holder uses the tokens of an answer only this long after the holder
// requested them, because the tokens of a delayed answer would add to those of
// later grants. The value equals about ten round trips between regions (24 ms
// each).
inline constexpr Duration kMaximumGrantAge = milliseconds(250);
// Hops of a grant: from the leader to a pool, and from there to a router.
inline constexpr int kGrantHops = 2;

}  // namespace juniperway::quota
