#include "common/forwarding/failure_rate.h"

#include <cmath>

namespace juniperway::forwarding {

double FailureRate::FadeTo(MonotonicTime now) const {
  const std::chrono::duration<double> passed = now - last_;
  return std::exp(-passed / std::chrono::duration<double>(kMemory));
}

void FailureRate::Record(bool failed, MonotonicTime now) {
  const double left = FadeTo(now);
  failed_ = failed_ * left + (failed ? 1 : 0);
  ended_ = ended_ * left + 1;
  last_ = now;
}

double FailureRate::Get(MonotonicTime now) const {
  const double left = FadeTo(now);
  return failed_ * left / (ended_ * left + 1);
}

}  // namespace juniperway::forwarding
