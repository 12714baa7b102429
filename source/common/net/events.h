// Log events of the network shells (1100-1199).
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::net {

inline constexpr logging::EventType kAcceptFailed{1100, "accept_failed",
                                                  logging::Severity::kWarning};
inline constexpr logging::EventType kFrameTooLarge{1101, "frame_too_large",
                                                   logging::Severity::kWarning};
inline constexpr logging::EventType kHttpHandlerFailed{
    1102, "http_handler_failed", logging::Severity::kError};
inline constexpr logging::EventType kPeerTooSlow{1103, "peer_too_slow",
                                                 logging::Severity::kWarning};
inline constexpr logging::EventType kTlsHandshakeFailed{
    1104, "tls_handshake_failed", logging::Severity::kWarning};

}  // namespace juniperway::net
