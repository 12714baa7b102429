#include "common/control/fleet_store.h"

#include <algorithm>

namespace juniperway::control {
namespace {

using resources::Backend;
using resources::IndexSnapshot;
using resources::Kind;
using resources::Machine;
using resources::Resource;
using resources::ResourceId;
using resources::Service;

template <typename Specification>
const Specification* SpecificationOf(const Resource* resource) {
  return resource == nullptr
             ? nullptr
             : std::get_if<Specification>(&resource->specification);
}

// Removes `member` from the entry of `key`, and the entry when it becomes
// empty.
template <typename Index, typename Member>
void EraseFromIndex(Index& index, const std::string& key,
                    const Member& member) {
  auto entry = index.find(key);
  if (entry == index.end()) {
    return;
  }
  entry->second.erase(member);
  if (entry->second.empty()) {
    index.erase(entry);
  }
}

}  // namespace

const Resource* FleetStore::Find(const ResourceId& id) const {
  auto resource = resources_.find(id);
  return resource == resources_.end() ? nullptr : &resource->second;
}

const Service* FleetStore::FindService(const std::string& name) const {
  return SpecificationOf<Service>(Find({Kind::kService, name}));
}

const Backend* FleetStore::FindBackend(const std::string& name) const {
  return SpecificationOf<Backend>(Find({Kind::kBackend, name}));
}

const IndexSnapshot* FleetStore::FindSnapshot(
    const std::string& service, resources::IndexVersion version) const {
  const auto& snapshots = SnapshotsOf(service);
  auto snapshot = snapshots.find(version);
  if (snapshot == snapshots.end()) {
    return nullptr;
  }
  return SpecificationOf<IndexSnapshot>(
      Find({Kind::kIndexSnapshot, snapshot->second}));
}

void FleetStore::Put(const Resource& resource) {
  Erase(resource.id);
  resources_.emplace(resource.id, resource);
  const std::string& name = resource.id.name;
  if (const auto* backend = SpecificationOf<Backend>(&resource)) {
    backends_by_service_[backend->service].insert(name);
    backends_by_address_[backend->address] = name;
  }
  if (const auto* snapshot = SpecificationOf<IndexSnapshot>(&resource)) {
    snapshots_by_service_[snapshot->service][snapshot->index_version] = name;
  }
}

void FleetStore::Erase(const ResourceId& id) {
  auto resource = resources_.find(id);
  if (resource == resources_.end()) {
    return;
  }
  Unindex(resource->second);
  resources_.erase(resource);
}

const std::set<std::string>& FleetStore::BackendsOf(
    const std::string& service) const {
  static const std::set<std::string> kNone;
  auto backends = backends_by_service_.find(service);
  return backends == backends_by_service_.end() ? kNone : backends->second;
}

const std::map<resources::IndexVersion, std::string>& FleetStore::SnapshotsOf(
    const std::string& service) const {
  static const std::map<resources::IndexVersion, std::string> kNone;
  auto snapshots = snapshots_by_service_.find(service);
  return snapshots == snapshots_by_service_.end() ? kNone : snapshots->second;
}

std::string FleetStore::BackendAt(const std::string& address) const {
  auto backend = backends_by_address_.find(address);
  return backend == backends_by_address_.end() ? std::string()
                                               : backend->second;
}

bool FleetStore::IsDraining(const std::string& backend) const {
  const Backend* specification = FindBackend(backend);
  if (specification != nullptr && specification->drain) {
    return true;
  }
  auto report = reports.find(backend);
  if (report != reports.end() && report->second.draining) {
    return true;
  }
  return platform_leaving.contains(backend);
}

std::size_t FleetStore::CountDiscovered(const std::string& service,
                                        const std::string& version) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(discovered, [&](const auto& entry) {
        const session::DiscoveredBackend& backend = entry.second;
        return backend.service == service && backend.version == version &&
               !backend.draining;
      }));
}

bool FleetStore::IsLeaving(const session::Member& member) const {
  const auto* machine =
      SpecificationOf<Machine>(Find({Kind::kMachine, member.daemon_id}));
  const bool by_operator = machine != nullptr && machine->leaving;
  return member.leaving || by_operator ||
         platform_leaving.contains(member.daemon_id);
}

void FleetStore::Unindex(const Resource& resource) {
  const std::string& name = resource.id.name;
  if (const auto* backend = SpecificationOf<Backend>(&resource)) {
    EraseFromIndex(backends_by_service_, backend->service, name);
    auto at_address = backends_by_address_.find(backend->address);
    // Another backend of the same set may already have this address.
    if (at_address != backends_by_address_.end() &&
        at_address->second == name) {
      backends_by_address_.erase(at_address);
    }
  }
  if (const auto* snapshot = SpecificationOf<IndexSnapshot>(&resource)) {
    EraseFromIndex(snapshots_by_service_, snapshot->service,
                   snapshot->index_version);
  }
}

}  // namespace juniperway::control
