// Finds queued subqueries that cannot be answered before their deadline. The
// code does no I/O.
#pragma once

#include <vector>

#include "common/base/time.h"
#include "common/owner/fair_queue.h"

namespace juniperway::owner {

// The gate's estimate of how fast the backend serves the queue.
struct FeasibilityEstimate {
  // Earliest time at which the next subquery can start.
  MonotonicTime first_start;
  Duration mean_service_time{0};
  // Number of slots that all classes share.
  double slots = 1;
};

// Returns the subqueries of one class that would end after their deadline,
// given the class's share of the slots and the feasible subqueries queued
// before them in the class.
std::vector<SubqueryId> FindInfeasible(const FairQueue::Backlog& backlog,
                                       const FeasibilityEstimate& estimate);

}  // namespace juniperway::owner
