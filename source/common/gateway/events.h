// Log events of the front tier (3000-3199). Catalogue: docs/EVENTS.md.
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::gateway {

inline constexpr logging::EventType kFrontListening{3000, "front_listening",
                                                    logging::Severity::kInfo};
inline constexpr logging::EventType kFrontStopping{3001, "front_stopping",
                                                   logging::Severity::kInfo};
inline constexpr logging::EventType kFrontDrained{3002, "front_drained",
                                                  logging::Severity::kInfo};
inline constexpr logging::EventType kPeerConnected{3010, "peer_connected",
                                                   logging::Severity::kInfo};
inline constexpr logging::EventType kPeerUnreachable{
    3011, "peer_unreachable", logging::Severity::kWarning};
inline constexpr logging::EventType kPeerLost{3012, "peer_lost",
                                              logging::Severity::kWarning};
inline constexpr logging::EventType kPeerMalformedFrame{
    3013, "peer_malformed_frame", logging::Severity::kError};
inline constexpr logging::EventType kClaimUnknown{3020, "claim_unknown",
                                                  logging::Severity::kWarning};

}  // namespace juniperway::gateway
