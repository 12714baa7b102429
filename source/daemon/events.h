// Log events of the daemon itself (1000-1099). Catalogue: docs/EVENTS.md.
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::daemon {

using logging::EventType;
using logging::Severity;

inline constexpr EventType kDaemonStarted{1000, "daemon_started",
                                          Severity::kInfo};
inline constexpr EventType kStopRequested{1001, "stop_requested",
                                          Severity::kInfo};
inline constexpr EventType kStopStep{1002, "stop_step", Severity::kInfo};
inline constexpr EventType kStopIncomplete{1003, "stop_incomplete",
                                           Severity::kWarning};
inline constexpr EventType kDaemonStopped{1004, "daemon_stopped",
                                          Severity::kInfo};
inline constexpr EventType kDaemonFailed{1005, "daemon_failed",
                                         Severity::kError};
inline constexpr EventType kSettingsReloaded{1006, "settings_reloaded",
                                             Severity::kInfo};
inline constexpr EventType kSettingsRefused{1007, "settings_refused",
                                            Severity::kWarning};
inline constexpr EventType kAwaitingDiskSpace{1008, "awaiting_disk_space",
                                              Severity::kError};

inline constexpr EventType kMetricsNotServed{1009, "metrics_not_served",
                                             Severity::kWarning};
inline constexpr EventType kNodeIdReplaced{1010, "node_id_replaced",
                                           Severity::kWarning};

}  // namespace juniperway::daemon
