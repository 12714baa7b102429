#include "common/owner/service_time.h"

namespace juniperway::owner {
namespace {

// Weight of one observation is 1 / kSmoothing.
constexpr int kSmoothing = 8;

}  // namespace

void ServiceTimeEstimate::Observe(Duration elapsed) {
  if (mean_ == Duration::zero()) {
    mean_ = elapsed;
    return;
  }
  mean_ += (elapsed - mean_) / kSmoothing;
}

void ServiceTimeEstimate::ObserveAtLeast(Duration elapsed) {
  if (elapsed > mean_) {
    Observe(elapsed);
  }
}

}  // namespace juniperway::owner
