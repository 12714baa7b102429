#include "common/session/observation_codec.h"

namespace juniperway::session {

protocol::BackendObservationsT EncodeObservations(
    const observation::BackendObservations& observations) {
  protocol::BackendObservationsT message;
  for (const observation::BackendObservation& observation : observations) {
    message.backends.push_back(observation.backend);
    message.failed.push_back(observation.failed);
    message.answered.push_back(observation.answered);
  }
  return message;
}

observation::BackendObservations DecodeObservations(
    const protocol::BackendObservationsT& message) {
  const auto at = [](const std::vector<std::uint8_t>& counts,
                     std::size_t index) {
    return index < counts.size() ? counts[index] : std::uint8_t{0};
  };
  observation::BackendObservations observations;
  observations.reserve(message.backends.size());
  for (std::size_t index = 0; index < message.backends.size(); ++index) {
    observations.push_back({.backend = message.backends[index],
                            .failed = at(message.failed, index),
                            .answered = at(message.answered, index)});
  }
  return observations;
}

}  // namespace juniperway::session
