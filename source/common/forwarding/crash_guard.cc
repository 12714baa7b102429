#include "common/forwarding/crash_guard.h"

#include <algorithm>

namespace juniperway::forwarding {

void CrashGuard::OnView(const session::FleetView& view) {
  fleet_verdicts_ = view.crashing_requests;
  quarantined_ = static_cast<std::size_t>(std::count_if(
      fleet_verdicts_.begin(), fleet_verdicts_.end(),
      [](const auto& entry) { return entry.second.quarantined; }));
}

void CrashGuard::OnBackendsCrashed(RequestFingerprint request,
                                   const std::vector<std::string>& backends,
                                   MonotonicTime now) {
  Observation& observation = observations_[request];
  observation.crashed_backends.insert(backends.begin(), backends.end());
  observation.latest = now;
  if (observations_.size() > kMaximumObservations) {
    EvictOldest();
  }
}

bool CrashGuard::OnSurvived(RequestFingerprint request) {
  const bool seen_here = observations_.erase(request) > 0;
  return seen_here || fleet_verdicts_.find(request) != fleet_verdicts_.end();
}

RequestHandling CrashGuard::HandlingOf(RequestFingerprint request,
                                       MonotonicTime now) const {
  const auto verdict = fleet_verdicts_.find(request);
  if (verdict != fleet_verdicts_.end()) {
    return verdict->second.quarantined ? RequestHandling::kRefuse
                                       : RequestHandling::kTrial;
  }
  const auto own = observations_.find(request);
  const bool suspected =
      own != observations_.end() &&
      now - own->second.latest < kObservationTimeToLive &&
      own->second.crashed_backends.size() >= kMinimumCrashedBackends;
  return suspected ? RequestHandling::kTrial : RequestHandling::kNone;
}

void CrashGuard::EvictOldest() {
  observations_.erase(std::ranges::min_element(
      observations_, {},
      [](const auto& entry) { return entry.second.latest; }));
}

}  // namespace juniperway::forwarding
