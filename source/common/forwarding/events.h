// Log events of HTTP forwarding, numbers 3400 to 3499. Catalogue:
// docs/EVENTS.md.
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::forwarding {

using logging::EventType;
using logging::Severity;
using logging::Volume;

inline constexpr EventType kRouterListening{3400, "router_listening",
                                            Severity::kInfo};
inline constexpr EventType kRouterReady{3401, "router_ready", Severity::kInfo};
inline constexpr EventType kRouterNotReady{3402, "router_not_ready",
                                           Severity::kWarning};
inline constexpr EventType kRouterStopping{3403, "router_stopping",
                                           Severity::kInfo};
inline constexpr EventType kRouterDrained{3404, "router_drained",
                                          Severity::kInfo};
inline constexpr EventType kRouteTableApplied{3405, "route_table_taken",
                                              Severity::kInfo};
inline constexpr EventType kZoneEvacuated{3406, "zone_evacuated",
                                          Severity::kWarning};
inline constexpr EventType kZoneReturned{3407, "zone_returned",
                                         Severity::kInfo};
inline constexpr EventType kCanariesShared{3408, "canaries_shared",
                                           Severity::kInfo};
inline constexpr EventType kCanaryShareExpired{3418, "canary_share_lapsed",
                                               Severity::kWarning};
inline constexpr EventType kCanaryShareRenewed{3419, "canary_share_renewed",
                                               Severity::kInfo};
inline constexpr EventType kCrashReportLimited{
    3416, "crash_report_limited", Severity::kWarning, Volume::kRequest};
// This event has volume kRequest: it is rate-limited like the other events
// about single requests.
inline constexpr EventType kBackendsCrashed{
    3415, "backends_ended", Severity::kWarning, Volume::kRequest};
inline constexpr EventType kRequestRefused{3410, "request_refused",
                                           Severity::kInfo, Volume::kRequest};
inline constexpr EventType kRequestEnded{3411, "request_ended", Severity::kInfo,
                                         Volume::kRequest};
inline constexpr EventType kAttemptFailed{3412, "attempt_failed",
                                          Severity::kInfo, Volume::kRequest};
inline constexpr EventType kClientGone{3413, "client_gone", Severity::kInfo,
                                       Volume::kRequest};
inline constexpr EventType kTenantRefused{3417, "tenant_refused",
                                          Severity::kInfo, Volume::kRequest};
inline constexpr EventType kRequestServed{3414, "request_served",
                                          Severity::kInfo, Volume::kSuccess};

}  // namespace juniperway::forwarding
