#include "common/observation/shared_failures.h"

#include <cmath>
#include <random>

#include "common/observation/observation_log.h"

namespace juniperway::observation {
namespace {

// Faded below this, a witness says nothing any more: after 18 s.
constexpr double kNegligible = 0.1;

}  // namespace

SharedFailures::SharedFailures(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> draw(kLowestThreshold,
                                              kHighestThreshold);
  threshold_ = draw(random);
}

double SharedFailures::FadeTo(const Rate& rate, MonotonicTime now) {
  return std::exp(-ToSeconds(now - rate.faded_at) / ToSeconds(kMemory));
}

void SharedFailures::Add(const BackendObservation& observation,
                         MonotonicTime now) {
  ForgetOld(now);
  if (observation.failed == 0 && !IsKnown(observation.backend)) {
    return;
  }
  Rate& rate = rates_[observation.backend];
  const double left = FadeTo(rate, now);
  rate.failed = rate.failed * left + observation.failed;
  rate.answered = rate.answered * left + observation.answered;
  rate.faded_at = now;
}

double SharedFailures::SuspicionOf(BackendHash backend,
                                   MonotonicTime now) const {
  const auto found = rates_.find(backend);
  if (found == rates_.end()) {
    return 0;
  }
  const Rate& rate = found->second;
  const double left = FadeTo(rate, now);
  const double share =
      rate.failed * left / ((rate.failed + rate.answered) * left + 1);
  return share < threshold_ ? 0 : share;
}

void SharedFailures::ForgetOld(MonotonicTime now) {
  if (now < next_forget_) {
    return;
  }
  next_forget_ = now + kMemory;
  std::erase_if(rates_, [now](const auto& entry) {
    return entry.second.failed * FadeTo(entry.second, now) < kNegligible;
  });
}

}  // namespace juniperway::observation
