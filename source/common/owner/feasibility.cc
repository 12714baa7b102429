#include "common/owner/feasibility.h"

namespace juniperway::owner {

std::vector<SubqueryId> FindInfeasible(const FairQueue::Backlog& backlog,
                                       const FeasibilityEstimate& estimate) {
  const Duration mean = estimate.mean_service_time;
  const double slots = estimate.slots * backlog.share;
  std::vector<SubqueryId> infeasible;
  std::int64_t ahead = 0;
  for (const FairQueue::Entry& entry : *backlog.entries) {
    const Duration wait(static_cast<Duration::rep>(
        static_cast<double>(mean.count() * (ahead + 1)) / slots));
    if (estimate.first_start + wait + mean > entry.deadline) {
      infeasible.push_back(entry.id);
    } else {
      ++ahead;
    }
  }
  return infeasible;
}

}  // namespace juniperway::owner
