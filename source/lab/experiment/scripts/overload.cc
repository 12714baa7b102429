// More queries than the back ends of a service can run.
#include <cmath>

#include "lab/experiment/run.h"
#include "lab/experiment/scripts/scripts.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

// Back ends are slowed, so that a load that this machine bears is too much.
constexpr double kSlowFactor = 10;
constexpr double kOfCapacity = 2;
constexpr double kRangeShare = 0;
constexpr Duration kOverloaded = seconds(8);

// Queries a second that the back ends of the service can run.
double CapacityOf(const ServiceLayout& service) {
  const double median_seconds =
      static_cast<double>(service.plan.median_service_time.count()) / 1e6;
  const double sigma = service.plan.service_time_sigma;
  const double mean_seconds =
      median_seconds * std::exp(sigma * sigma / 2) * kSlowFactor;
  const double slots = service.plan.slots * service.plan.backends;
  return slots / mean_seconds / service.plan.shards;
}

}  // namespace

Result<void> RunOverload(ExperimentRun& run) {
  const ServiceLayout& service = run.fleet().layout().services.front();
  Result<void> slowed = SetBehaviour(run, NamesOf(service.backends),
                                     {{"slow_factor", kSlowFactor}});
  if (!slowed) {
    return slowed;
  }
  WorkloadSettings workload = run.DefaultWorkload();
  workload.services.resize(1);
  workload.services.front().range_share = kRangeShare;
  workload.rate = CapacityOf(service) * kOfCapacity;
  run.Measure("capacity_qps", CapacityOf(service));
  const MonotonicTime begin = ReadMonotonicClock();
  run.StartLoad(workload);
  run.RunFor(kOverloaded);
  run.StopLoad();
  run.MeasureGoodput(ReadMonotonicClock() - begin);
  Result<void> restored =
      SetBehaviour(run, NamesOf(service.backends), {{"slow_factor", 1}});
  return restored ? AwaitRecovery(run) : restored;
}

}  // namespace juniperway::lab
