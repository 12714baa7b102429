// Which waiting subqueries cannot be answered in their remaining time. Pure.
#pragma once

#include <vector>

#include "common/base/time.h"
#include "common/owner/fair_queue.h"

namespace juniperway::owner {

struct FeasibilityEstimate {
  // When the next slot may be used at the earliest.
  MonotonicTime first_start;
  Duration mean_service_time{0};
  // Slots that all classes share.
  double slots = 1;
};

// Those of one class that would end after their deadline, with all that wait
// before them in their class and the class's share of the slots.
std::vector<SubqueryId> InfeasibleOf(const FairQueue::Backlog& backlog,
                                     const FeasibilityEstimate& estimate);

}  // namespace juniperway::owner
