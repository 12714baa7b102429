// Log events of the daemon's side of control sessions.
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::session {

using logging::EventType;
using logging::Severity;

inline constexpr EventType kSessionConnected{2300, "session_connected",
                                             Severity::kInfo};
inline constexpr EventType kSessionLost{2301, "session_lost",
                                        Severity::kWarning};
// The session leaves a control machine that is well for a nearer one.
inline constexpr EventType kNearerControlTried{2308, "nearer_control_tried",
                                               Severity::kInfo};
inline constexpr EventType kSessionRefused{2302, "session_refused",
                                           Severity::kError};
inline constexpr EventType kLeaseGained{2303, "lease_gained", Severity::kInfo};
inline constexpr EventType kLeaseLost{2304, "lease_lost", Severity::kWarning};
inline constexpr EventType kUpdateRefused{2305, "update_refused",
                                          Severity::kWarning};
inline constexpr EventType kRevisionNotKept{2306, "revision_not_kept",
                                            Severity::kError};
inline constexpr EventType kCrashReportLost{2309, "crash_report_lost",
                                            Severity::kWarning};
inline constexpr EventType kFrameInvalid{2307, "session_frame_invalid",
                                         Severity::kError};

}  // namespace juniperway::session
