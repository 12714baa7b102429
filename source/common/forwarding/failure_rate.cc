#include "common/forwarding/failure_rate.h"

#include <cmath>

namespace juniperway::forwarding {

double FailureRate::DecayFactor(MonotonicTime now) const {
  const std::chrono::duration<double> passed = now - last_;
  return std::exp(-passed / std::chrono::duration<double>(kDecayTime));
}

void FailureRate::Record(bool failed, MonotonicTime now) {
  const double factor = DecayFactor(now);
  failed_ = failed_ * factor + (failed ? 1 : 0);
  ended_ = ended_ * factor + 1;
  last_ = now;
}

double FailureRate::Get(MonotonicTime now) const {
  const double factor = DecayFactor(now);
  return failed_ * factor / (ended_ * factor + 1);
}

}  // namespace juniperway::forwarding
