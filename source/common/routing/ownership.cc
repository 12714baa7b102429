#include "common/routing/ownership.h"

#include <algorithm>
#include <utility>

namespace juniperway::routing {

const session::Member* OwnerOf(const std::string& backend,
                               const std::string& zone,
                               const session::FleetView& view) {
  const session::Member* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& [daemon_id, member] : view.members) {
    if (!CanOwnBackends(member) || member.zone != zone) {
      continue;
    }
    const std::uint64_t weight = OwnerWeightOf(backend, OwnerSeedOf(daemon_id));
    if (TakesPrecedence(weight, member, best_weight, best)) {
      best = &member;
      best_weight = weight;
    }
  }
  return best;
}

OwnershipTable::OwnershipTable(session::FleetViewPointer view,
                               const OwnershipTable* previous)
    : view_(std::move(view)) {
  static const session::FleetView kEmptyView;
  static const ZoneOwners kEmptyZone;
  if (previous != nullptr) {
    zones_ = previous->zones_;
  }
  const ZoneChanges changes =
      ChangesOf(previous == nullptr ? kEmptyView : *previous->view_, *view_);
  for (const auto& [zone, change] : changes) {
    std::shared_ptr<const ZoneOwners>& owners = zones_[zone];
    owners = std::make_shared<const ZoneOwners>(
        owners == nullptr ? kEmptyZone : *owners, change);
    if (owners->empty()) {
      zones_.erase(zone);
    }
  }
}

OwnershipTable::ZoneChanges OwnershipTable::ChangesOf(
    const session::FleetView& before, const session::FleetView& after) {
  ZoneChanges changes;
  decltype(after.members)::ForEachDifference(
      before.members, after.members,
      [&changes](const std::string& daemon_id,
                 const session::Member* old_member,
                 const session::Member* new_member) {
        const bool owned = old_member != nullptr && CanOwnBackends(*old_member);
        const bool owns = new_member != nullptr && CanOwnBackends(*new_member);
        if (owned && !(owns && new_member->zone == old_member->zone)) {
          changes[old_member->zone].removed_members.push_back(daemon_id);
        }
        if (owns) {
          changes[new_member->zone].upserted_members.push_back(
              std::make_shared<const session::Member>(*new_member));
        }
      });
  decltype(after.backends)::ForEachDifference(
      before.backends, after.backends,
      [&changes](const std::string& name, const resources::Backend* old_backend,
                 const resources::Backend* new_backend) {
        if (old_backend != nullptr && new_backend != nullptr &&
            old_backend->zone == new_backend->zone) {
          return;
        }
        if (old_backend != nullptr) {
          changes[old_backend->zone].removed_backends.push_back(name);
        }
        if (new_backend != nullptr) {
          changes[new_backend->zone].added_backends.push_back(name);
        }
      });
  return changes;
}

const session::Member* OwnershipTable::OwnerOf(
    const std::string& backend) const {
  const auto resource = view_->backends.find(backend);
  if (resource == view_->backends.end()) {
    return nullptr;
  }
  const auto zone = zones_.find(resource->second.zone);
  return zone == zones_.end() ? nullptr : zone->second->OwnerOf(backend);
}

std::vector<std::string> OwnershipTable::OwnedBy(
    const std::string& daemon_id) const {
  const auto member = view_->members.find(daemon_id);
  if (member == view_->members.end()) {
    return {};
  }
  const auto zone = zones_.find(member->second.zone);
  if (zone == zones_.end()) {
    return {};
  }
  std::vector<std::string> names = zone->second->OwnedBy(daemon_id);
  std::ranges::sort(names);
  return names;
}

std::vector<std::string> OwnershipTable::MovedSince(
    const OwnershipTable& previous) const {
  static const ZoneOwners kEmptyZone;
  std::vector<std::string> names;
  for (const auto& [zone, owners] : zones_) {
    const auto before = previous.zones_.find(zone);
    if (before != previous.zones_.end() && before->second == owners) {
      continue;
    }
    std::ranges::move(
        owners->MovedSince(before == previous.zones_.end() ? kEmptyZone
                                                           : *before->second),
        std::back_inserter(names));
  }
  return names;
}

}  // namespace juniperway::routing
