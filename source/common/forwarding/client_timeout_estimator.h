// ClientTimeoutEstimator records the longest timeout that clients recently gave
// requests of one route. A client most likely retries a request that comes with
// a shorter timeout, and the difference shows how long ago it sent the request
// for the first time. The router owns one for each route. Callers pass the
// current time.
#pragma once

#include "common/base/time.h"

namespace juniperway::forwarding {

// Estimates how long ago the client of a request sent that request for the
// first time.
class ClientTimeoutEstimator {
 public:
  // The estimator uses a timeout for one to two of these windows. Settings of
  // clients change, and a single long timeout must not make all later requests
  // count as retries.
  static constexpr Duration kWindow = seconds(10);

  // @param allowed the timeout that a request came with.
  // @return the estimated time between the first request of the client and
  //   `now`, at least zero.
  Duration EstimateElapsed(Duration allowed, MonotonicTime now);

 private:
  MonotonicTime window_start_ = MonotonicTime::min();
  Duration maximum_{};
  Duration previous_maximum_{};
};

}  // namespace juniperway::forwarding
