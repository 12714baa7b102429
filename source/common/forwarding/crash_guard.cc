#include "common/forwarding/crash_guard.h"

#include <algorithm>

namespace juniperway::forwarding {

void CrashGuard::OnView(const session::FleetView& view) {
  fleet_ = view.crashing_requests;
  quarantined_ = static_cast<std::size_t>(std::count_if(
      fleet_.begin(), fleet_.end(),
      [](const auto& entry) { return entry.second.quarantined; }));
}

void CrashGuard::OnBackendsEnded(RequestFingerprint request,
                                 const std::vector<std::string>& backends,
                                 MonotonicTime now) {
  Observation& observation = own_[request];
  observation.ended_backends.insert(backends.begin(), backends.end());
  observation.latest = now;
  if (own_.size() > kMaximumRemembered) {
    ForgetOldest();
  }
}

bool CrashGuard::OnSurvived(RequestFingerprint request) {
  const bool seen_here = own_.erase(request) > 0;
  return seen_here || fleet_.find(request) != fleet_.end();
}

Caution CrashGuard::CautionFor(RequestFingerprint request,
                               MonotonicTime now) const {
  const auto verdict = fleet_.find(request);
  if (verdict != fleet_.end()) {
    return verdict->second.quarantined ? Caution::kRefuse : Caution::kTrial;
  }
  const auto own = own_.find(request);
  const bool suspected = own != own_.end() &&
                         now - own->second.latest < kMemory &&
                         own->second.ended_backends.size() >= kSuspectedAfter;
  return suspected ? Caution::kTrial : Caution::kNone;
}

void CrashGuard::ForgetOldest() {
  own_.erase(std::ranges::min_element(
      own_, {}, [](const auto& entry) { return entry.second.latest; }));
}

}  // namespace juniperway::forwarding
