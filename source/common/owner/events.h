// Log events of the owner tier. Catalogue: docs/EVENTS.md.
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::owner {

using logging::EventType;
using logging::Severity;

inline constexpr EventType kBackendGained{3200, "backend_gained",
                                          Severity::kInfo};
inline constexpr EventType kBackendReleased{3201, "backend_released",
                                            Severity::kInfo};
inline constexpr EventType kBackendDraining{3202, "backend_draining",
                                            Severity::kWarning};
inline constexpr EventType kBackendDrainEnded{3203, "backend_drain_ended",
                                              Severity::kInfo};
inline constexpr EventType kBreakerOpened{3204, "breaker_opened",
                                          Severity::kWarning};
inline constexpr EventType kBreakerClosed{3205, "breaker_closed",
                                          Severity::kInfo};
inline constexpr EventType kBodyMismatch{3206, "foreign_body",
                                         Severity::kError};
inline constexpr EventType kRowsOutOfRange{3207, "rows_out_of_range",
                                           Severity::kError};
inline constexpr EventType kOwnerLeaseLost{3208, "owner_lease_lost",
                                           Severity::kWarning};
inline constexpr EventType kOwnerLeaseGained{3209, "owner_lease_gained",
                                             Severity::kInfo};
inline constexpr EventType kOwnerStopped{3210, "owner_stopped",
                                         Severity::kInfo};

}  // namespace juniperway::owner
