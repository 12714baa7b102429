// The time that clients usually give a request of one route. A request that
// comes with less has most likely been tried before: what is missing is how
// long ago the client asked for the first time. Pure.
#pragma once

#include "common/base/time.h"

namespace juniperway::forwarding {

class UsualDeadline {
 public:
  // What was seen counts for one to two of these: clients' settings change, and
  // a single long deadline must not make all others look old for good.
  static constexpr Duration kPeriod = seconds(10);

  // @param allowed the time that a request came with.
  // @return how long before `now` the client asked for the first time, as far
  //   as can be told; zero at least.
  Duration ElapsedBefore(Duration allowed, MonotonicTime now);

 private:
  MonotonicTime period_began_ = MonotonicTime::min();
  Duration longest_{};
  Duration longest_before_{};
};

}  // namespace juniperway::forwarding
