#include "common/owner/ownership_tracker.h"

#include <algorithm>
#include <utility>

namespace juniperway::owner {

OwnershipTracker::OwnershipTracker(std::string daemon_id)
    : daemon_id_(std::move(daemon_id)) {}

OwnershipTracker::Change OwnershipTracker::OnView(
    const session::FleetViewPointer& view) {
  Change change;
  if (table_ && view->revision <= table_->view()->revision) {
    return change;
  }
  auto table = std::make_unique<routing::OwnershipTable>(view, table_.get());
  const resources::Revision before = table_ ? table_->view()->revision : 0;
  const bool skips = leased_ && view->revision != before + 1;
  if (skips && view->revision > in_force_) {
    skipping_views_.emplace(view->revision, before);
  }
  std::map<std::string, resources::Revision> owned;
  for (const std::string& backend : table->OwnedBy(daemon_id_)) {
    const auto known = required_release_.find(backend);
    if (known == required_release_.end()) {
      change.gained.push_back(backend);
      owned[backend] = view->revision;
    } else {
      const bool in_use = AccessTo(backend) == GateAccess::kOpen;
      owned[backend] = in_use || !skips ? known->second : view->revision;
    }
  }
  for (const auto& [backend, required] : required_release_) {
    if (!owned.contains(backend)) {
      change.lost.push_back(backend);
      releasing_.emplace(backend, before);
    }
  }
  required_release_ = std::move(owned);
  table_ = std::move(table);
  return change;
}

void OwnershipTracker::OnZoneReleased(resources::Revision revision) {
  zone_released_ = std::max(zone_released_, revision);
}

void OwnershipTracker::OnInForce(resources::Revision revision) {
  in_force_ = std::max(in_force_, revision);
  skipping_views_.erase(skipping_views_.begin(),
                        skipping_views_.upper_bound(in_force_));
}

void OwnershipTracker::OnBackendReleased(const std::string& backend) {
  releasing_.erase(backend);
}

void OwnershipTracker::OnLeaseLost() {
  leased_ = false;
  releasing_.clear();
  skipping_views_.clear();
}

void OwnershipTracker::OnLeaseGained() {
  leased_ = true;
  const resources::Revision revision = table_ ? table_->view()->revision : 0;
  for (auto& [backend, required] : required_release_) {
    required = revision;
  }
}

GateAccess OwnershipTracker::AccessTo(const std::string& backend) const {
  const auto owned = required_release_.find(backend);
  if (!leased_ || owned == required_release_.end()) {
    return GateAccess::kClosed;
  }
  const bool usable =
      zone_released_ >= owned->second && !releasing_.contains(backend);
  return usable ? GateAccess::kOpen : GateAccess::kAwaitingRelease;
}

resources::Revision OwnershipTracker::released() const {
  resources::Revision released = table_ ? table_->view()->revision : 0;
  for (const auto& [backend, revision] : releasing_) {
    released = std::min(released, revision);
  }
  if (!skipping_views_.empty()) {
    released = std::min(released, skipping_views_.begin()->second);
  }
  return released;
}

}  // namespace juniperway::owner
