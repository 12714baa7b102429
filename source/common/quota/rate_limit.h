// Limits on what a fleet of routers does together, for example on the requests
// of one tenant. Pure types.
#pragma once

#include "common/base/time.h"

namespace juniperway::quota {

// Requests that may start over the whole fleet: a token bucket of this rate and
// depth.
struct RateLimit {
  // Above 0.
  double per_second = 0;
  double burst = 0;

  bool operator==(const RateLimit&) const = default;
};

// How far the fleet may go beyond a limit: in any span of `window` at most
// (per_second x window + burst) x (1 + overage) + slack requests. Without room
// for this, routers cannot hold tokens ahead of need.
struct RateTolerance {
  Duration window = seconds(5);
  double overage = 0;
  double slack = 0;
};

// How long a router uses a lease, counted from when it asked for it. Shorter
// than a router stays a member after its last heartbeat (4 s of lease and 2 s
// until it is removed, control/lease_table.h): who is no member holds none.
inline constexpr Duration kRateLease = milliseconds(5500);
// Tokens that come with an answer are used only this long after they were asked
// for: an answer that a slow link held up would add to what is granted later.
// Ten round trips between regions (24 ms).
inline constexpr Duration kLongestGrantAge = milliseconds(250);
// From the leader to a pool, and from there to a router.
inline constexpr int kGrantHops = 2;

}  // namespace juniperway::quota
