// Estimates how long a backend takes for a subquery. The code does no I/O.
#pragma once

#include "common/base/time.h"

namespace juniperway::owner {

// Exponentially weighted mean of the observed service times of one backend,
// owned by its BackendGate. The mean is zero until the first observation, so
// that the gate refuses no subquery without an observation.
class ServiceTimeEstimate {
 public:
  // Records that the backend answered a subquery after `elapsed`.
  void Observe(Duration elapsed);

  // Records that a subquery was abandoned after `elapsed`. The subquery's
  // service time is at least `elapsed`, so this call can only raise the mean.
  void ObserveAtLeast(Duration elapsed);

  Duration mean() const { return mean_; }

 private:
  Duration mean_{0};
};

}  // namespace juniperway::owner
