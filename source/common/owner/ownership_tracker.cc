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
  std::map<std::string, resources::Revision> owned;
  for (const std::string& backend : table->OwnedBy(daemon_id_)) {
    const auto known = owned_since_.find(backend);
    const bool continuous =
        known != owned_since_.end() &&
        !MayHaveBeenOwnedByOther(backend, *table_->view(), *view);
    owned[backend] = continuous ? known->second : view->revision;
    if (!continuous) {
      change.gained.push_back(backend);
    }
  }
  for (const auto& [backend, since] : owned_since_) {
    const auto still = owned.find(backend);
    if (still == owned.end() || still->second != since) {
      change.lost.push_back(backend);
      letting_go_.emplace(backend, before);
    }
  }
  owned_since_ = std::move(owned);
  table_ = std::move(table);
  return change;
}

void OwnershipTracker::OnZoneReleased(resources::Revision revision) {
  zone_released_ = std::max(zone_released_, revision);
}

void OwnershipTracker::OnLetGo(const std::string& backend) {
  letting_go_.erase(backend);
}

void OwnershipTracker::OnLeaseLost() {
  leased_ = false;
  letting_go_.clear();
}

void OwnershipTracker::OnLeaseGained() {
  leased_ = true;
  const resources::Revision revision = table_ ? table_->view()->revision : 0;
  for (auto& [backend, since] : owned_since_) {
    since = revision;
  }
}

GateAccess OwnershipTracker::AccessTo(const std::string& backend) const {
  const auto owned = owned_since_.find(backend);
  if (!leased_ || owned == owned_since_.end()) {
    return GateAccess::kClosed;
  }
  const bool usable =
      zone_released_ >= owned->second && !letting_go_.contains(backend);
  return usable ? GateAccess::kOpen : GateAccess::kWaiting;
}

resources::Revision OwnershipTracker::released() const {
  resources::Revision released = table_ ? table_->view()->revision : 0;
  for (const auto& [backend, revision] : letting_go_) {
    released = std::min(released, revision);
  }
  return released;
}

bool OwnershipTracker::MayHaveBeenOwnedByOther(
    const std::string& backend, const session::FleetView& before,
    const session::FleetView& after) const {
  if (after.revision == before.revision + 1) {
    return false;
  }
  // Only a gateway that came in between and is already leaving can have been:
  // one that stays is in the new view as an owner, and one that was removed has
  // let go of everything or lost its lease before its removal.
  const std::string& zone = after.backends.at(backend).zone;
  session::FleetView came_and_leaving;
  for (const auto& [daemon_id, member] : after.members) {
    const auto old = before.members.find(daemon_id);
    const bool came = old == before.members.end() ||
                      old->second.incarnation != member.incarnation;
    if (came && member.leaving) {
      session::Member candidate = member;
      candidate.leaving = false;
      came_and_leaving.members.emplace(daemon_id, std::move(candidate));
    }
  }
  if (came_and_leaving.members.empty()) {
    return false;
  }
  came_and_leaving.members.emplace(daemon_id_, after.members.at(daemon_id_));
  const session::Member* owner =
      routing::OwnerOf(backend, zone, came_and_leaving);
  return owner == nullptr || owner->daemon_id != daemon_id_;
}

}  // namespace juniperway::owner
