// The part of the replicated state that daemons see: resources, members,
// reports of backends, serving index versions, the route table, discovered
// backends, zone evacuations, crash records and rollouts, with indexes over the
// resources. ControlState owns it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/base/compression.h"
#include "common/control/crash_record.h"
#include "common/resources/resource.h"
#include "common/session/fleet_view.h"

namespace juniperway::control {

// The route table as the operator wrote it; see routes/route_table.h.
struct StoredRouteTable {
  std::uint64_t version = 0;  // 0: there is no route table.
  CompressedBytes content;
};

// Keeps the indexes consistent with the resources.
class FleetStore {
 public:
  // Returns the resource, or null.
  const resources::Resource* Find(const resources::ResourceId& id) const;
  // Returns the specification of a resource, or null.
  const resources::Service* FindService(const std::string& name) const;
  const resources::Backend* FindBackend(const std::string& name) const;
  // Returns the snapshot of a service at an index version, or null.
  const resources::IndexSnapshot* FindSnapshot(
      const std::string& service, resources::IndexVersion version) const;

  // Adds or replaces a resource.
  void Put(const resources::Resource& resource);
  void Erase(const resources::ResourceId& id);

  const std::map<resources::ResourceId, resources::Resource>& resources()
      const {
    return resources_;
  }
  // Returns the names of the Backend resources of a service.
  const std::set<std::string>& BackendsOf(const std::string& service) const;
  // Returns the snapshots of a service as a map from index version to resource
  // name.
  const std::map<resources::IndexVersion, std::string>& SnapshotsOf(
      const std::string& service) const;
  // Returns the name of the Backend resource with this address, or an empty
  // string.
  std::string BackendAt(const std::string& address) const;

  // Whether the operator, the platform or the backend itself has requested that
  // the backend gets no new work.
  bool IsDraining(const std::string& backend) const;
  // Counts the discovered backends of a service that have this version and do
  // not drain.
  std::size_t CountDiscovered(const std::string& service,
                              const std::string& version) const;
  // Whether the daemon itself, the platform or the operator has requested that
  // the daemon owns no backends and gets no new work.
  bool IsLeaving(const session::Member& member) const;

  // The replicated values. IsDraining() and IsLeaving() combine several of
  // them.
  std::map<std::string, session::Member> members;
  std::map<std::string, session::BackendReport> reports;
  std::map<std::string, resources::IndexVersion> serving;
  // Highest index version ever published, by service. The entry remains when
  // the service is deleted.
  std::map<std::string, resources::IndexVersion> published;
  std::set<std::string> platform_leaving;
  StoredRouteTable route_table;
  // Backends for HTTP forwarding, by id.
  std::map<std::string, session::DiscoveredBackend> discovered;
  // Evacuations in effect, by zone.
  std::map<std::string, session::ZoneEvacuation> evacuations;
  CrashRecords crashes;
  rollout::Rollouts rollouts;

 private:
  void Unindex(const resources::Resource& resource);

  std::map<resources::ResourceId, resources::Resource> resources_;
  std::map<std::string, std::set<std::string>> backends_by_service_;
  std::map<std::string, std::string> backends_by_address_;
  std::map<std::string, std::map<resources::IndexVersion, std::string>>
      snapshots_by_service_;
};

}  // namespace juniperway::control
