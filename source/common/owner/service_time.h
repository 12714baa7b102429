// What the owner has learned about how long a back end takes for a subquery.
#pragma once

#include "common/base/time.h"

namespace juniperway::owner {

// Exponentially weighted mean of observed service times. Zero until the first
// observation: nothing is refused on a guess.
class ServiceTimeEstimate {
 public:
  // A subquery that was answered after `elapsed`.
  void Observe(Duration elapsed);

  // A subquery given up after `elapsed`: its service time is at least that, so
  // it only ever raises the estimate.
  void ObserveAtLeast(Duration elapsed);

  Duration mean() const { return mean_; }

 private:
  Duration mean_{0};
};

}  // namespace juniperway::owner
