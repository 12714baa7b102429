// Log events of the control nodes. Numbers and names are stable: operators'
// tools match them.
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::control {

using logging::EventType;
using logging::Severity;

inline constexpr EventType kControlStarted{2100, "control_started",
                                           Severity::kInfo};
inline constexpr EventType kStoreBootstrapped{2101, "store_bootstrapped",
                                              Severity::kInfo};
inline constexpr EventType kRoleChanged{2102, "role_changed", Severity::kInfo};
inline constexpr EventType kStoreFailed{2103, "store_failed", Severity::kError};
inline constexpr EventType kLogCompacted{2104, "log_compacted",
                                         Severity::kInfo};
inline constexpr EventType kSnapshotInstalled{2105, "snapshot_installed",
                                              Severity::kInfo};
inline constexpr EventType kPeerRefused{2106, "peer_refused",
                                        Severity::kWarning};
inline constexpr EventType kApiLoopbackOnly{2107, "api_loopback_only",
                                            Severity::kWarning};
inline constexpr EventType kStoreFull{2108, "store_full", Severity::kError};
inline constexpr EventType kStoreWritable{2109, "store_writable",
                                          Severity::kInfo};
inline constexpr EventType kDaemonConnected{2110, "daemon_connected",
                                            Severity::kInfo};
inline constexpr EventType kDaemonDisconnected{2111, "daemon_disconnected",
                                               Severity::kInfo};
inline constexpr EventType kDaemonRefused{2112, "daemon_refused",
                                          Severity::kWarning};
inline constexpr EventType kDaemonRemoved{2113, "daemon_removed",
                                          Severity::kWarning};
inline constexpr EventType kLeasesStarted{2114, "leases_started",
                                          Severity::kInfo};
inline constexpr EventType kMemberPromoted{2120, "member_promoted",
                                           Severity::kInfo};
inline constexpr EventType kMemberLostData{2121, "member_lost_data",
                                           Severity::kError};
inline constexpr EventType kPlatformUnreachable{2130, "platform_unreachable",
                                                Severity::kWarning};
inline constexpr EventType kPlatformListInvalid{2131, "platform_list_invalid",
                                                Severity::kWarning};
inline constexpr EventType kPlatformListChanged{2132, "platform_list_changed",
                                                Severity::kInfo};
inline constexpr EventType kDiscoveryChanged{2133, "discovery_changed",
                                             Severity::kInfo};
inline constexpr EventType kDiscoveryFailed{2134, "discovery_failed",
                                            Severity::kWarning};
inline constexpr EventType kDiscoveryEntriesFaulty{
    2135, "discovery_entries_faulty", Severity::kWarning};
inline constexpr EventType kBackendStartIgnored{2136, "backend_start_ignored",
                                                Severity::kWarning};
inline constexpr EventType kTenantLimitsUnreadable{
    2137, "tenant_limits_unreadable", Severity::kError};
inline constexpr EventType kChangeAccepted{2140, "change_accepted",
                                           Severity::kInfo};
inline constexpr EventType kChangeRefused{2141, "change_refused",
                                          Severity::kInfo};
inline constexpr EventType kRouteTableRefused{2142, "route_table_refused",
                                              Severity::kInfo};
inline constexpr EventType kEvacuationOrdered{2143, "evacuation_ordered",
                                              Severity::kWarning};
inline constexpr EventType kRequestQuarantined{2144, "request_quarantined",
                                               Severity::kWarning};
inline constexpr EventType kRequestReleased{2145, "request_released",
                                            Severity::kInfo};
inline constexpr EventType kRolloutOrdered{2146, "rollout_ordered",
                                           Severity::kInfo};
inline constexpr EventType kRolloutAdvanced{2147, "rollout_advanced",
                                            Severity::kInfo};
inline constexpr EventType kRolloutRolledBack{2148, "rollout_undone",
                                              Severity::kWarning};
inline constexpr EventType kJoinRequested{2150, "join_requested",
                                          Severity::kInfo};
inline constexpr EventType kMemberRemoved{2151, "member_removed",
                                          Severity::kWarning};
inline constexpr EventType kForwardedReplyIgnored{
    2152, "forwarded_reply_ignored", Severity::kInfo};
inline constexpr EventType kOrderReceived{2153, "order_received",
                                          Severity::kInfo};
inline constexpr EventType kOrderDropped{2155, "order_dropped",
                                         Severity::kWarning};
inline constexpr EventType kHeartbeatsRefused{2156, "heartbeats_refused",
                                              Severity::kWarning};
inline constexpr EventType kEvacuationApplied{2154, "evacuation_applied",
                                              Severity::kInfo};

}  // namespace juniperway::control
