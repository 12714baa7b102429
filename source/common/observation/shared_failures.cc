#include "common/observation/shared_failures.h"

#include <cmath>
#include <random>

#include "common/observation/observation_log.h"

namespace juniperway::observation {
namespace {

// A backend is removed once its decayed failure count is below this value. A
// backend with one failure report is removed after 18 s.
constexpr double kNegligibleFailures = 0.1;

}  // namespace

SharedFailures::SharedFailures(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> draw(kMinimumThreshold,
                                              kMaximumThreshold);
  threshold_ = draw(random);
}

double SharedFailures::DecayFactor(const Rate& rate, MonotonicTime now) {
  return std::exp(-ToSeconds(now - rate.decayed_at) /
                  ToSeconds(kObservationDecayTime));
}

void SharedFailures::Add(const BackendObservation& observation,
                         MonotonicTime now) {
  RemoveExpired(now);
  if (observation.failed == 0 && !HasFailures(observation.backend)) {
    return;
  }
  Rate& rate = rates_[observation.backend];
  const double decay = DecayFactor(rate, now);
  rate.failed = rate.failed * decay + observation.failed;
  rate.answered = rate.answered * decay + observation.answered;
  rate.decayed_at = now;
}

double SharedFailures::SuspicionOf(BackendHash backend,
                                   MonotonicTime now) const {
  const auto found = rates_.find(backend);
  if (found == rates_.end()) {
    return 0;
  }
  const Rate& rate = found->second;
  const double decay = DecayFactor(rate, now);
  const double share =
      rate.failed * decay / ((rate.failed + rate.answered) * decay + 1);
  return share < threshold_ ? 0 : share;
}

void SharedFailures::RemoveExpired(MonotonicTime now) {
  if (now < next_removal_) {
    return;
  }
  next_removal_ = now + kObservationDecayTime;
  std::erase_if(rates_, [now](const auto& entry) {
    return entry.second.failed * DecayFactor(entry.second, now) <
           kNegligibleFailures;
  });
}

}  // namespace juniperway::observation
