// The part of the replicated state that daemons see: resources, members, back
// ends' reports and serving index versions, with the indexes over them.
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

// The routing configuration as it was written; see routes/route_table.h.
struct StoredRouteTable {
  std::uint64_t version = 0;  // 0: none was written
  CompressedBytes content;
};

class FleetStore {
 public:
  // The resource, or null.
  const resources::Resource* Find(const resources::ResourceId& id) const;
  // Its specification when it exists, else null.
  const resources::Service* FindService(const std::string& name) const;
  const resources::Backend* FindBackend(const std::string& name) const;
  // The snapshot of a service at an index version, or null.
  const resources::IndexSnapshot* FindSnapshot(
      const std::string& service, resources::IndexVersion version) const;

  // Writes a resource, whatever was there before.
  void Put(const resources::Resource& resource);
  void Erase(const resources::ResourceId& id);

  const std::map<resources::ResourceId, resources::Resource>& resources()
      const {
    return resources_;
  }
  // Back ends of a service, by name.
  const std::set<std::string>& BackendsOf(const std::string& service) const;
  // Snapshots of a service: index version to resource name.
  const std::map<resources::IndexVersion, std::string>& SnapshotsOf(
      const std::string& service) const;
  // The back end declared with that address, or empty.
  std::string BackendAt(const std::string& address) const;

  // A back end gets no new work: by the operator, the platform or itself.
  bool IsDraining(const std::string& backend) const;
  // Back ends of a service with this version that are in use.
  std::size_t CountDiscovered(const std::string& service,
                              const std::string& version) const;
  // A daemon owns nothing and gets no new work: by itself, the platform or the
  // operator.
  bool IsLeaving(const session::Member& member) const;

  // As replicated; the sources of IsDraining and IsLeaving are apart.
  std::map<std::string, session::Member> members;
  std::map<std::string, session::BackendReport> reports;
  std::map<std::string, resources::IndexVersion> serving;
  // Highest index version ever published, by service; outlives the service.
  std::map<std::string, resources::IndexVersion> published;
  std::set<std::string> platform_leaving;
  StoredRouteTable route_table;
  // Back ends for HTTP forwarding, by id.
  std::map<std::string, session::DiscoveredBackend> discovered;
  // By zone.
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
