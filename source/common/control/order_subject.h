// Names of what operators' orders are about; see control/order_table.h. Part of
// the replicated state.
#pragma once

#include <string>

#include "common/base/request_fingerprint.h"

namespace juniperway::control {

inline std::string EvacuationSubject(const std::string& zone) {
  return "evacuation/" + zone;
}

// All removals of resources: a creation is refused if it was started before the
// latest of them.
inline constexpr const char* kResourceRemovalSubject = "resource-removal";

inline std::string RolloutSubject(const std::string& service) {
  return "rollout/" + service;
}

inline std::string CrashingRequestSubject(RequestFingerprint request) {
  return "crashing-request/" + ToText(request);
}

}  // namespace juniperway::control
