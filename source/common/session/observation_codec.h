// Observations of back ends to and from their frames.
#pragma once

#include "common/observation/backend_observation.h"
#include "common/protocol/control_generated.h"

namespace juniperway::session {

protocol::BackendObservationsT EncodeObservations(
    const observation::BackendObservations& observations);
observation::BackendObservations DecodeObservations(
    const protocol::BackendObservationsT& message);

}  // namespace juniperway::session
