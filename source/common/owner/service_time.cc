#include "common/owner/service_time.h"

namespace juniperway::owner {
namespace {

// One observation has the weight 1 / kInverseObservationWeight in the mean.
constexpr int kInverseObservationWeight = 8;

}  // namespace

void ServiceTimeEstimate::Observe(Duration elapsed) {
  if (mean_ == Duration::zero()) {
    mean_ = elapsed;
    return;
  }
  mean_ += (elapsed - mean_) / kInverseObservationWeight;
}

void ServiceTimeEstimate::ObserveAtLeast(Duration elapsed) {
  if (elapsed > mean_) {
    Observe(elapsed);
  }
}

}  // namespace juniperway::owner
