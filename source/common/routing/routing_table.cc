#include "common/routing/routing_table.h"

namespace juniperway::routing {

KeyRange SnapshotRoute::Extent() const {
  if (partitions.empty()) {
    return {};
  }
  return {partitions.front().range.begin, partitions.back().range.end};
}

bool IsDraining(const std::string& backend, const session::FleetView& view) {
  const auto resource = view.backends.find(backend);
  if (resource != view.backends.end() && resource->second.drain) {
    return true;
  }
  const auto report = view.reports.find(backend);
  if (report != view.reports.end() && report->second.draining) {
    return true;
  }
  const auto machine = view.machines.find(backend);
  return machine != view.machines.end() && machine->second.leaving;
}

RoutingTable::RoutingTable(session::FleetViewPointer view,
                           const RoutingTable* previous, Place place,
                           NameTable& backend_names, NameTable& owner_names)
    : ownership_(std::move(view),
                 previous == nullptr ? nullptr : &previous->ownership_),
      place_(std::move(place)),
      backend_names_(backend_names),
      owner_names_(owner_names) {
  for (const NamedBackend& backend : this->view().backends) {
    backends_by_service_[backend.second.service].push_back(&backend);
  }
}

const resources::Service* RoutingTable::FindService(
    const std::string& service) const {
  const auto found = view().services.find(service);
  return found == view().services.end() ? nullptr : &found->second;
}

SnapshotRoutePointer RoutingTable::Serving(const std::string& service) {
  const auto serving = view().serving.find(service);
  if (serving == view().serving.end()) {
    return nullptr;
  }
  return Route(service, serving->second);
}

SnapshotRoutePointer RoutingTable::Route(
    const std::string& service, resources::IndexVersion index_version) {
  const SnapshotKey key(service, index_version);
  const auto known = routes_.find(key);
  if (known != routes_.end()) {
    return known->second;
  }
  const auto snapshot = view().snapshots.find(key);
  if (snapshot == view().snapshots.end()) {
    return nullptr;
  }
  return routes_.emplace(key, Build(service, snapshot->second)).first->second;
}

SnapshotRoutePointer RoutingTable::Build(
    const std::string& service, const resources::IndexSnapshot& snapshot) {
  BackendsByShard backends_by_shard;
  for (const NamedBackend* backend : backends_by_service_[service]) {
    for (const std::string& shard : backend->second.shards) {
      backends_by_shard[shard].push_back(backend);
    }
  }
  auto route = std::make_shared<SnapshotRoute>();
  route->index_version = snapshot.index_version;
  route->partitions.reserve(snapshot.partitions.size());
  for (const resources::Partition& partition : snapshot.partitions) {
    route->partitions.push_back(
        BuildPartition(partition, snapshot.index_version, backends_by_shard));
  }
  return route;
}

PartitionRoute RoutingTable::BuildPartition(
    const resources::Partition& partition,
    resources::IndexVersion index_version,
    const BackendsByShard& backends_by_shard) {
  PartitionRoute route{partition.range, partition.shard, {}, false};
  const auto holders = backends_by_shard.find(partition.shard);
  if (holders == backends_by_shard.end()) {
    return route;
  }
  bool some_drain = false;
  for (const NamedBackend* holder : holders->second) {
    const auto& [name, backend] = *holder;
    const auto report = view().reports.find(name);
    if (report == view().reports.end() ||
        !report->second.held_versions.contains(index_version)) {
      continue;
    }
    if (IsDraining(name, view())) {
      some_drain = true;
      continue;
    }
    const session::Member* owner = ownership_.OwnerOf(name);
    if (owner != nullptr) {
      route.replicas.push_back({backend_names_.IdOf(name),
                                owner_names_.IdOf(owner->daemon_id),
                                backend.slots, LocalityOf(*owner)});
    }
  }
  route.all_draining = some_drain && route.replicas.empty();
  return route;
}

Locality RoutingTable::LocalityOf(const session::Member& owner) const {
  if (owner.zone == place_.zone) {
    return Locality::kSameZone;
  }
  return owner.region == place_.region ? Locality::kSameRegion
                                       : Locality::kOtherRegion;
}

const session::Member* RoutingTable::Owner(OwnerId owner) const {
  const auto member = view().members.find(owner_names_.NameOf(owner));
  return member == view().members.end() ? nullptr : &member->second;
}

}  // namespace juniperway::routing
