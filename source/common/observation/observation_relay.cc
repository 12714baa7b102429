#include "common/observation/observation_relay.h"

#include <algorithm>

namespace juniperway::observation {

void ObservationQueue::Add(const BackendObservation& observation) {
  const auto [waiting, is_new] =
      waiting_.try_emplace(observation.backend, observation);
  if (is_new) {
    order_.push_back(observation.backend);
  } else {
    Merge(waiting->second, observation);
  }
}

BackendObservations ObservationQueue::Take(std::size_t most) {
  BackendObservations taken;
  taken.reserve(std::min(most, order_.size()));
  while (!order_.empty() && taken.size() < most) {
    taken.push_back(waiting_.at(order_.front()));
    waiting_.erase(order_.front());
    order_.pop_front();
  }
  return taken;
}

void ObservationRelay::OnReport(const BackendObservations& observations) {
  for (const BackendObservation& observation : observations) {
    for_machines_.Add(observation);
    for_daemons_.Add(observation);
  }
}

void ObservationRelay::OnDigest(const BackendObservations& observations) {
  for (const BackendObservation& observation : observations) {
    for_daemons_.Add(observation);
  }
}

}  // namespace juniperway::observation
