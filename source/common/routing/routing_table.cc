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
  static const session::FleetView kEmptyView;
  if (previous != nullptr) {
    backends_by_service_ = previous->backends_by_service_;
  }
  UpdateServices(previous == nullptr ? kEmptyView : previous->view());
  if (previous != nullptr) {
    ReuseValidRoutes(*previous);
  }
}

void RoutingTable::UpdateServices(const session::FleetView& before) {
  // Copies of the name sets of the services that changed.
  std::map<std::string, std::shared_ptr<Names>> changed;
  const auto names_of = [&](const std::string& service) -> Names& {
    std::shared_ptr<Names>& names = changed[service];
    if (names == nullptr) {
      const auto known = backends_by_service_.find(service);
      names = known == backends_by_service_.end()
                  ? std::make_shared<Names>()
                  : std::make_shared<Names>(*known->second);
    }
    return *names;
  };
  decltype(before.backends)::ForEachDifference(
      before.backends, view().backends,
      [&names_of](const std::string& name,
                  const resources::Backend* old_backend,
                  const resources::Backend* new_backend) {
        if (old_backend != nullptr && new_backend != nullptr &&
            old_backend->service == new_backend->service) {
          return;
        }
        if (old_backend != nullptr) {
          names_of(old_backend->service).erase(name);
        }
        if (new_backend != nullptr) {
          names_of(new_backend->service).insert(name);
        }
      });
  for (auto& [service, names] : changed) {
    backends_by_service_[service] = std::move(names);
  }
}

void RoutingTable::ReuseValidRoutes(const RoutingTable& previous) {
  const Names changed = ChangedServices(previous);
  for (const auto& [key, route] : previous.routes_) {
    // Snapshots are immutable, so only a deleted one invalidates its routes.
    if (!changed.contains(key.first) && view().snapshots.contains(key)) {
      routes_.emplace(key, route);
    }
  }
}

RoutingTable::Names RoutingTable::ChangedServices(
    const RoutingTable& previous) const {
  Names services;
  const auto add_service_of = [this, &services](const std::string& backend) {
    const auto found = view().backends.find(backend);
    if (found != view().backends.end()) {
      services.insert(found->second.service);
    }
  };
  const auto add_named = [&add_service_of](const std::string& name, const auto*,
                                           const auto*) {
    add_service_of(name);
  };
  const session::FleetView& before = previous.view();
  decltype(before.backends)::ForEachDifference(
      before.backends, view().backends,
      [&services](const std::string&, const resources::Backend* old_backend,
                  const resources::Backend* new_backend) {
        for (const auto* backend : {old_backend, new_backend}) {
          if (backend != nullptr) {
            services.insert(backend->service);
          }
        }
      });
  decltype(before.reports)::ForEachDifference(before.reports, view().reports,
                                              add_named);
  decltype(before.machines)::ForEachDifference(before.machines, view().machines,
                                               add_named);
  for (const std::string& backend :
       ownership_.MovedSince(previous.ownership_)) {
    add_service_of(backend);
  }
  return services;
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
  const auto names = backends_by_service_.find(service);
  if (names != backends_by_service_.end()) {
    for (const std::string& name : *names->second) {
      for (const std::string& shard : view().backends.at(name).shards) {
        backends_by_shard[shard].push_back(name);
      }
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
  bool some_draining = false;
  for (const std::string& name : holders->second) {
    const auto report = view().reports.find(name);
    if (report == view().reports.end() ||
        !report->second.held_versions.contains(index_version)) {
      continue;
    }
    if (IsDraining(name, view())) {
      some_draining = true;
      continue;
    }
    const session::Member* owner = ownership_.OwnerOf(name);
    if (owner != nullptr) {
      route.replicas.push_back(
          {backend_names_.IdOf(name), owner_names_.IdOf(owner->daemon_id),
           view().backends.at(name).slots, LocalityOf(*owner)});
    }
  }
  route.all_draining = some_draining && route.replicas.empty();
  return route;
}

Locality RoutingTable::LocalityOf(const session::Member& owner) const {
  return LocalityBetween(place_, {owner.zone, owner.region});
}

const session::Member* RoutingTable::Owner(OwnerId owner) const {
  const auto member = view().members.find(owner_names_.NameOf(owner));
  return member == view().members.end() ? nullptr : &member->second;
}

}  // namespace juniperway::routing
