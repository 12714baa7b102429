// Log events of the lab (9000-9199); catalogue: docs/EVENTS.md.
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::lab {

inline constexpr logging::EventType kBackendCrashed{9000, "backend_crashed",
                                                    logging::Severity::kInfo};
inline constexpr logging::EventType kBackendRestarted{9001, "backend_restarted",
                                                      logging::Severity::kInfo};
inline constexpr logging::EventType kBehaviourChanged{9002, "behaviour_changed",
                                                      logging::Severity::kInfo};
inline constexpr logging::EventType kProxyRulesChanged{
    9010, "proxy_rules_changed", logging::Severity::kInfo};
inline constexpr logging::EventType kProcessStarted{9020, "process_started",
                                                    logging::Severity::kInfo};
inline constexpr logging::EventType kProcessEnded{9021, "process_ended",
                                                  logging::Severity::kInfo};

}  // namespace juniperway::lab
