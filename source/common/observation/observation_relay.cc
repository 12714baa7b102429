#include "common/observation/observation_relay.h"

#include <algorithm>

namespace juniperway::observation {

void ObservationQueue::Add(const BackendObservation& observation) {
  const auto [queued, is_new] =
      queued_.try_emplace(observation.backend, observation);
  if (is_new) {
    order_.push_back(observation.backend);
  } else {
    AddCounts(queued->second, observation);
  }
}

BackendObservations ObservationQueue::Take(std::size_t maximum) {
  BackendObservations taken;
  taken.reserve(std::min(maximum, order_.size()));
  while (!order_.empty() && taken.size() < maximum) {
    taken.push_back(queued_.at(order_.front()));
    queued_.erase(order_.front());
    order_.pop_front();
  }
  return taken;
}

void ObservationRelay::OnReport(const BackendObservations& observations) {
  for (const BackendObservation& observation : observations) {
    for_control_nodes_.Add(observation);
    for_daemons_.Add(observation);
  }
}

void ObservationRelay::OnDigest(const BackendObservations& observations) {
  for (const BackendObservation& observation : observations) {
    for_daemons_.Add(observation);
  }
}

}  // namespace juniperway::observation
